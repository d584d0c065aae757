//! Answers that are read into memory, within a limit for all answers of this router together.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use compact_str::CompactString;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::request::{AnswerBody, BodyEnd, BodyPart, BrokenBody};

/// Largest body that is buffered, in bytes; a longer one fails the try.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Bytes of each body that do not count towards the limit for all, so that small answers are read
/// whatever others send.
const UNCOUNTED_BYTES: usize = 16 * 1_024;
/// Units of 1,024 bytes that all bodies together may hold beyond that.
const MAX_SHARED_UNITS: usize = 16 * 1_024;
/// Bytes in a unit.
const UNIT_BYTES: usize = 1_024;
/// Timeout for reading the rest of an answer that is not forwarded.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(50);

/// Limit for the bytes of all answers that are held in memory.
#[derive(Clone, Debug)]
pub(crate) struct AnswerMemory(Arc<Semaphore>);

impl AnswerMemory {
    /// Creates a limit of which nothing is used.
    pub(crate) fn new() -> Self {
        Self(Arc::new(Semaphore::new(MAX_SHARED_UNITS)))
    }

    /// Reads a body into memory until its end.
    ///
    /// # Errors
    ///
    /// Fails when the body breaks off, is too long, or there is no memory left for it.
    pub(super) async fn read_body(
        &self,
        body: &mut AnswerBody,
    ) -> Result<(Bytes, BodyEnd), BrokenBody> {
        let mut buffer = AnswerBuffer::new(self.clone());
        loop {
            match body.next().await? {
                BodyPart::Data(chunk) => buffer.push(&chunk)?,
                BodyPart::End(end) => return Ok((buffer.into_bytes(), end)),
            }
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

/// The part of a body that was read, with its share of the memory for all.
struct AnswerBuffer {
    memory: AnswerMemory,
    bytes: BytesMut,
    share: Option<OwnedSemaphorePermit>,
}

impl AnswerBuffer {
    fn new(memory: AnswerMemory) -> Self {
        Self {
            memory,
            bytes: BytesMut::new(),
            share: None,
        }
    }

    fn push(&mut self, chunk: &[u8]) -> Result<(), BrokenBody> {
        let length = self.bytes.len() + chunk.len();
        if length > MAX_BODY_BYTES {
            return Err(not_held("longer than what is held"));
        }
        self.extend_share(length)?;
        self.bytes.extend_from_slice(chunk);
        Ok(())
    }

    fn extend_share(&mut self, length: usize) -> Result<(), BrokenBody> {
        let units = length.saturating_sub(UNCOUNTED_BYTES).div_ceil(UNIT_BYTES);
        let held = self
            .share
            .as_ref()
            .map_or(0, OwnedSemaphorePermit::num_permits);
        let missing = u32::try_from(units.saturating_sub(held)).unwrap_or(u32::MAX);
        if missing == 0 {
            return Ok(());
        }
        let added = Arc::clone(&self.memory.0)
            .try_acquire_many_owned(missing)
            .map_err(|_| not_held("the answers in progress use up the memory for answers"))?;
        match &mut self.share {
            Some(share) => share.merge(added),
            None => self.share = Some(added),
        }
        Ok(())
    }

    /// Returns the bytes, which keep their share of the memory until they are dropped.
    fn into_bytes(self) -> Bytes {
        let bytes = self.bytes.freeze();
        match self.share {
            None => bytes,
            Some(share) => Bytes::from_owner(CountedBytes {
                bytes,
                _share: share,
            }),
        }
    }
}

fn not_held(reason: &'static str) -> BrokenBody {
    BrokenBody {
        reason: CompactString::const_new(reason),
        is_connection_lost: false,
    }
}

/// Bytes that hold a share of the memory for all answers.
struct CountedBytes {
    bytes: Bytes,
    _share: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for CountedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
