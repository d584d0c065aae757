//! Splits a byte stream into complete events, so that a partial event is never forwarded.

use bytes::{Bytes, BytesMut};
use thiserror::Error;

use crate::core::units::Tokens;

/// Largest event, in bytes.
const MAX_EVENT_BYTES: usize = 64 * 1024;
/// Bytes allowed for each output token that the request reserved.
const BYTES_PER_TOKEN: u64 = 1_024;
/// Events allowed in addition to one per reserved output token, such as end markers.
const EXTRA_EVENTS: u64 = 16;
/// Bytes allowed in addition to those for the reserved output tokens.
const EXTRA_BYTES: u64 = 64 * 1024;
/// Bytes allowed in a stream whose request reserved no tokens.
const MAX_UNRESERVED_BYTES: u64 = 16 * 1024 * 1024;

/// A stream exceeds what its request reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum StreamTooLong {
    /// An event exceeds the maximum length.
    #[error("an event of over {MAX_EVENT_BYTES} bytes")]
    Event,
    /// There are more events than the reserved tokens allow.
    #[error("more events than tokens were reserved")]
    Events,
    /// The stream has more bytes than the reserved tokens take.
    #[error("more bytes than the reserved tokens take")]
    Bytes,
}

/// Events and bytes that a stream may still contain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StreamQuota {
    events_left: u64,
    bytes_left: u64,
}

impl StreamQuota {
    /// Returns the quota for the output tokens that the request reserved.
    pub(crate) fn new(max_output_tokens: Option<Tokens>) -> Self {
        max_output_tokens.map_or(
            Self {
                events_left: u64::MAX,
                bytes_left: MAX_UNRESERVED_BYTES,
            },
            |tokens| Self {
                events_left: tokens.get().saturating_add(EXTRA_EVENTS),
                bytes_left: tokens
                    .get()
                    .saturating_mul(BYTES_PER_TOKEN)
                    .saturating_add(EXTRA_BYTES),
            },
        )
    }

    /// Deducts a batch of events from the quota.
    fn consume(&mut self, batch: &EventBatch) -> Result<(), StreamTooLong> {
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

/// Complete events, ready to be forwarded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct EventBatch {
    /// Bytes of the events.
    pub bytes: Bytes,
    /// Number of events.
    pub count: u64,
}

/// Buffers bytes until events are complete.
#[derive(Debug)]
pub(crate) struct EventSplitter {
    buffer: BytesMut,
    last_id: Option<u64>,
    quota: StreamQuota,
}

impl EventSplitter {
    /// Creates a splitter; `last_id` is the id of the event that the stream resumes after, if any.
    pub(crate) fn new(last_id: Option<u64>, quota: StreamQuota) -> Self {
        Self {
            buffer: BytesMut::new(),
            last_id,
            quota,
        }
    }

    /// Returns the remaining quota.
    pub(crate) const fn quota(&self) -> StreamQuota {
        self.quota
    }

    /// Returns the id of the last complete event.
    pub(crate) const fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Appends bytes and returns the events that they complete.
    ///
    /// # Errors
    ///
    /// Fails when the stream exceeds its quota.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<EventBatch, StreamTooLong> {
        let searched = self.buffer.len().saturating_sub(3);
        self.buffer.extend_from_slice(bytes);
        let mut end = 0;
        let mut count = 0;
        let mut start = searched;
        while let Some(next) = find_event_end(&self.buffer[start.max(end)..]) {
            let event_end = start.max(end) + next;
            if let Some(id) = event_id(&self.buffer[end..event_end]) {
                self.last_id = Some(id);
            }
            count += 1;
            end = event_end;
            start = event_end;
        }
        if self.buffer.len() - end > MAX_EVENT_BYTES {
            return Err(StreamTooLong::Event);
        }
        let batch = EventBatch {
            bytes: self.buffer.split_to(end).freeze(),
            count,
        };
        self.quota.consume(&batch)?;
        Ok(batch)
    }

    /// Returns the bytes after the last complete event.
    pub(crate) fn take_remainder(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }
}

/// Returns the end of the first event, which is after an empty line.
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
