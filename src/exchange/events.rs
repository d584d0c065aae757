//! Cuts a stream of bytes into whole events, so that a broken one is never passed on.

use bytes::{Bytes, BytesMut};
use thiserror::Error;

use crate::core::units::Tokens;

/// Largest event.
const MAX_EVENT_BYTES: usize = 64 * 1024;
/// Bytes of a stream for each token that its request reserved.
const BYTES_PER_TOKEN: u64 = 1_024;
/// Events beyond one for each token that the request reserved, such as marks of the end.
const SPARE_EVENTS: u64 = 16;
/// Bytes beyond those for the tokens that the request reserved.
const SPARE_BYTES: u64 = 64 * 1024;
/// Bytes of a stream whose request reserved no tokens.
const MAX_UNRESERVED_BYTES: u64 = 16 * 1024 * 1024;

/// A stream goes beyond what its request reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum StreamTooLong {
    /// One event is longer than any may be.
    #[error("an event of over {MAX_EVENT_BYTES} bytes")]
    Event,
    /// There are more events than tokens.
    #[error("more events than tokens were reserved")]
    Events,
    /// The whole is too long.
    #[error("more bytes than the reserved tokens take")]
    Bytes,
}

/// What a stream may still hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StreamBound {
    events_left: u64,
    bytes_left: u64,
}

impl StreamBound {
    /// What a request's answer may hold by the output tokens that it reserved.
    pub(crate) fn new(max_output_tokens: Option<Tokens>) -> Self {
        max_output_tokens.map_or(
            Self {
                events_left: u64::MAX,
                bytes_left: MAX_UNRESERVED_BYTES,
            },
            |tokens| Self {
                events_left: tokens.get().saturating_add(SPARE_EVENTS),
                bytes_left: tokens
                    .get()
                    .saturating_mul(BYTES_PER_TOKEN)
                    .saturating_add(SPARE_BYTES),
            },
        )
    }

    /// Takes events off what is left.
    fn take(&mut self, batch: &EventBatch) -> Result<(), StreamTooLong> {
        self.events_left = self
            .events_left
            .checked_sub(batch.count)
            .ok_or(StreamTooLong::Events)?;
        self.bytes_left = self
            .bytes_left
            .checked_sub(batch.bytes.len() as u64)
            .ok_or(StreamTooLong::Bytes)?;
        Ok(())
    }
}

/// Whole events, ready to be passed on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct EventBatch {
    /// Their bytes.
    pub bytes: Bytes,
    /// How many there are.
    pub count: u64,
}

/// Collects bytes until events are whole.
#[derive(Debug)]
pub(crate) struct EventSplitter {
    rest: BytesMut,
    last_id: Option<u64>,
    bound: StreamBound,
}

impl EventSplitter {
    /// A splitter of a stream that goes on after an event and may hold so much.
    pub(crate) fn new(last_id: Option<u64>, bound: StreamBound) -> Self {
        Self {
            rest: BytesMut::new(),
            last_id,
            bound,
        }
    }

    /// What the stream may still hold.
    pub(crate) const fn bound(&self) -> StreamBound {
        self.bound
    }

    /// Id of the last whole event.
    pub(crate) const fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Takes in bytes and gives back the events that they complete.
    ///
    /// # Errors
    ///
    /// Fails when the stream goes beyond its bound.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<EventBatch, StreamTooLong> {
        let searched = self.rest.len().saturating_sub(3);
        self.rest.extend_from_slice(bytes);
        let mut end = 0;
        let mut count = 0;
        let mut start = searched;
        while let Some(next) = find_event_end(&self.rest[start.max(end)..]) {
            let event_end = start.max(end) + next;
            if let Some(id) = event_id(&self.rest[end..event_end]) {
                self.last_id = Some(id);
            }
            count += 1;
            end = event_end;
            start = event_end;
        }
        if self.rest.len() - end > MAX_EVENT_BYTES {
            return Err(StreamTooLong::Event);
        }
        let batch = EventBatch {
            bytes: self.rest.split_to(end).freeze(),
            count,
        };
        self.bound.take(&batch)?;
        Ok(batch)
    }

    /// Bytes after the last whole event.
    pub(crate) fn take_rest(&mut self) -> Bytes {
        self.rest.split().freeze()
    }
}

/// End of the first event: behind an empty line.
fn find_event_end(bytes: &[u8]) -> Option<usize> {
    let mut index = 0;
    while let Some(found) = bytes[index..].iter().position(|byte| *byte == b'\n') {
        let line_end = index + found + 1;
        match &bytes[line_end..] {
            [b'\n', ..] => return Some(line_end + 1),
            [b'\r', b'\n', ..] => return Some(line_end + 2),
            _ => index = line_end,
        }
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
