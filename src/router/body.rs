//! Reads the bodies of callers' requests, within the memory for all of them.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use rocket::data::{ByteUnit, Data, DataStream};
use rocket::request::{FromRequest, Outcome, Request};
use tokio::io::AsyncReadExt;
use tokio::time::Instant;

use super::refusal::{Refusal, RefusalKind};
use super::Router;
use crate::body_memory::{BodyError, RequestBuffer};

/// Bytes that are read from a connection at once.
const PIECE_BYTES: usize = 16 * 1_024;
/// Time after which a caller may send a request again for whose body there was no memory.
const MEMORY_RETRY: Duration = Duration::from_millis(250);

/// Reads the body of a request until its deadline.
///
/// # Errors
///
/// Returns the refusal to send if the body is too long or too slow, or there is no memory for it.
pub(super) async fn read_body(
    router: &Router,
    announced: AnnouncedLength,
    deadline: Instant,
    data: Data<'_>,
) -> Result<Bytes, Refusal> {
    let limit_bytes = router.settings.max_body_bytes;
    let refuse = |error| refusal_of(error, limit_bytes);
    let max_bytes = usize::try_from(limit_bytes).unwrap_or(usize::MAX);
    let mut buffer = RequestBuffer::new(&router.body_memory, max_bytes);
    if let Some(length) = announced.0 {
        buffer.reserve(length).map_err(refuse)?;
    }
    // One byte more than allowed shows that a body is too long.
    let data = data.open(ByteUnit::from(limit_bytes + 1));
    let body = tokio::time::timeout_at(deadline, receive(data, buffer, limit_bytes));
    body.await
        .unwrap_or_else(|_| Err(refusal_of(BodyError::Displaced, limit_bytes)))
}

async fn receive(
    mut data: DataStream<'_>,
    mut buffer: RequestBuffer,
    limit_bytes: u64,
) -> Result<Bytes, Refusal> {
    let refuse = |error| refusal_of(error, limit_bytes);
    let mut piece = vec![0; PIECE_BYTES];
    loop {
        let read = tokio::select! {
            read = data.read(&mut piece) => read,
            () = buffer.displaced() => return Err(refuse(BodyError::Displaced)),
        };
        let length = read.map_err(|error| {
            let message = format!("body cannot be read: {error}");
            Refusal::new(RefusalKind::BadRequest, message)
        })?;
        if length == 0 {
            return buffer.into_bytes().map_err(refuse);
        }
        buffer.push(&piece[..length]).map_err(refuse)?;
    }
}

/// The length that a request announces for its body, if it does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AnnouncedLength(Option<u64>);

impl AnnouncedLength {
    /// Returns the length that is in a request's head.
    pub(super) fn of(request: &Request<'_>) -> Self {
        let length = request.headers().get_one("Content-Length");
        Self(length.and_then(|length| length.parse().ok()))
    }
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for AnnouncedLength {
    type Error = Infallible;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Infallible> {
        Outcome::Success(Self::of(request))
    }
}

fn refusal_of(error: BodyError, limit_bytes: u64) -> Refusal {
    match error {
        BodyError::TooLong => {
            let message = format!("the body has more than {limit_bytes} bytes");
            Refusal::new(RefusalKind::BodyTooLarge, message)
        }
        BodyError::OutOfMemory => Refusal::new(RefusalKind::BodyOutOfMemory, error.to_string())
            .with_retry_after(MEMORY_RETRY),
        BodyError::Displaced => {
            let message = "the body was not received in time";
            Refusal::new(RefusalKind::BodyTooSlow, message)
        }
    }
}
