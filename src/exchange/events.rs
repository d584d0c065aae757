//! Splits a byte stream into complete events, so that a partial event is never forwarded.

use bytes::{Bytes, BytesMut};
use thiserror::Error;

use super::event_ids::EventIds;
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

/// May precede the first line of a stream.
const BYTE_ORDER_MARK: &[u8] = "\u{feff}".as_bytes();

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
    /// Id of the first event, if it has one.
    pub first_id: Option<u64>,
}

/// Buffers bytes until events are complete.
#[derive(Debug)]
pub(crate) struct EventSplitter {
    buffer: BytesMut,
    lines: LineScanner,
    ids: EventIds,
    quota: StreamQuota,
}

impl EventSplitter {
    /// Creates a splitter; `ids` are those of the events before, if the stream is resumed.
    pub(crate) fn new(ids: EventIds, quota: StreamQuota) -> Self {
        Self {
            buffer: BytesMut::new(),
            lines: LineScanner::new(),
            ids,
            quota,
        }
    }

    /// Returns the remaining quota.
    pub(crate) const fn quota(&self) -> StreamQuota {
        self.quota
    }

    /// Returns the ids of the complete events, those before the stream was resumed included.
    pub(crate) const fn ids(&self) -> EventIds {
        self.ids
    }

    /// Appends bytes and returns the events that they complete. Blocks of comments and empty lines
    /// are returned too, but not counted as events.
    ///
    /// # Errors
    ///
    /// Fails when the stream exceeds its quota.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<EventBatch, StreamTooLong> {
        let scanned = self.buffer.len();
        self.buffer.extend_from_slice(bytes);
        let mut end = 0;
        let mut count = 0;
        let mut first_id = None;
        for index in scanned..self.buffer.len() {
            match self.lines.push(self.buffer[index]) {
                LineEvent::EmptyLine => {
                    let block = &self.buffer[end..=index];
                    let id = event_id(block);
                    if let Some(id) = id {
                        self.ids.record(id);
                    }
                    if count == 0 {
                        first_id = id;
                    }
                    count += u64::from(has_field(block));
                    end = index + 1;
                }
                LineEvent::EndOfCrLf if end == index => end = index + 1,
                LineEvent::EndOfCrLf | LineEvent::Other => {}
            }
        }
        if self.buffer.len() - end > MAX_EVENT_BYTES {
            return Err(StreamTooLong::Event);
        }
        let batch = EventBatch {
            bytes: self.buffer.split_to(end).freeze(),
            count,
            first_id,
        };
        self.quota.consume(&batch)?;
        Ok(batch)
    }

    /// Returns true if the bytes received last belong to an event that is not complete.
    pub(crate) fn is_inside_event(&self) -> bool {
        has_field(&self.buffer)
    }

    /// Returns the bytes after the last complete event.
    pub(crate) fn take_remainder(&mut self) -> Bytes {
        self.buffer.split().freeze()
    }
}

/// What a byte means for the lines of a stream, which end with `\n`, `\r\n` or `\r`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LineEvent {
    /// It ends an empty line.
    EmptyLine,
    /// It is the `\n` after the `\r` that ended a line.
    EndOfCrLf,
    /// It belongs to a line or ends one that is not empty.
    Other,
}

/// Finds empty lines in a stream of bytes.
#[derive(Debug)]
struct LineScanner {
    is_at_line_start: bool,
    is_after_cr: bool,
}

impl LineScanner {
    const fn new() -> Self {
        Self {
            is_at_line_start: true,
            is_after_cr: false,
        }
    }

    fn push(&mut self, byte: u8) -> LineEvent {
        let was_after_cr = std::mem::replace(&mut self.is_after_cr, byte == b'\r');
        if was_after_cr && byte == b'\n' {
            return LineEvent::EndOfCrLf;
        }
        let is_line_end = matches!(byte, b'\r' | b'\n');
        let was_at_line_start = std::mem::replace(&mut self.is_at_line_start, is_line_end);
        if is_line_end && was_at_line_start {
            LineEvent::EmptyLine
        } else {
            LineEvent::Other
        }
    }
}

/// Returns the lines that are neither empty nor comments.
fn field_lines(block: &[u8]) -> impl Iterator<Item = &[u8]> {
    let lines = block.split(|byte| matches!(byte, b'\r' | b'\n'));
    let lines = lines.map(|line| line.strip_prefix(BYTE_ORDER_MARK).unwrap_or(line));
    lines.filter(|line| !line.is_empty() && !line.starts_with(b":"))
}

fn has_field(block: &[u8]) -> bool {
    field_lines(block).next().is_some()
}

fn event_id(block: &[u8]) -> Option<u64> {
    field_lines(block).find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
