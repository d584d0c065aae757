//! Cuts a stream of bytes into whole events, so that a broken one is never passed on.

use bytes::{Bytes, BytesMut};

/// Largest event; a longer one is passed on in pieces.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Whole events, ready to be passed on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct EventBatch {
    /// Their bytes.
    pub bytes: Bytes,
    /// How many there are.
    pub count: u64,
}

/// Collects bytes until events are whole.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    rest: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// A splitter of a stream that goes on after an event.
    pub(crate) fn new(last_id: Option<u64>) -> Self {
        Self {
            rest: BytesMut::new(),
            last_id,
        }
    }

    /// Id of the last whole event.
    pub(crate) const fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Takes in bytes and gives back the events that they complete.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> EventBatch {
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
        if end == 0 && self.rest.len() > MAX_EVENT_BYTES {
            end = self.rest.len();
        }
        EventBatch {
            bytes: self.rest.split_to(end).freeze(),
            count,
        }
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
