//! Answers that are read into memory, within the limit for all bodies.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use super::request::{AnswerBody, BodyEnd, BodyPart, BrokenBody};
use crate::body_memory::{AnswerBuffer, BodyError, BodyMemory};

/// Largest body that is buffered, in bytes; a longer one fails the try.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Timeout for reading the rest of an answer that is not forwarded.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(50);

/// Reads a body into memory until its end.
///
/// # Errors
///
/// Fails when the body breaks off, is too long, or there is no memory left for it.
pub(super) async fn read_body(
    memory: &Arc<BodyMemory>,
    body: &mut AnswerBody,
) -> Result<(Bytes, BodyEnd), BrokenBody> {
    let mut buffer = AnswerBuffer::new(memory, MAX_BODY_BYTES);
    loop {
        match body.next().await? {
            BodyPart::Data(chunk) => buffer.push(&chunk).map_err(not_held)?,
            BodyPart::End(end) => return Ok((buffer.into_bytes(), end)),
        }
    }
}

/// Reads and drops the rest of a body, so that its connection can be reused.
pub(super) async fn discard_body(mut body: AnswerBody) {
    let rest = async {
        let mut length = 0;
        while let Ok(BodyPart::Data(chunk)) = body.next().await {
            length += chunk.len();
            if length > MAX_BODY_BYTES {
                return;
            }
        }
    };
    // After a timeout only the connection is lost.
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, rest).await;
}

fn not_held(error: BodyError) -> BrokenBody {
    BrokenBody {
        reason: compact_str::format_compact!("{error}"),
        is_connection_lost: false,
    }
}
