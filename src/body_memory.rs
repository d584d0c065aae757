//! Memory for the bodies of requests and answers, within one limit for all of this router.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use thiserror::Error;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::util::lock;

/// Bytes of each body that do not count towards the limit for all, so that small bodies are read
/// whatever others send.
const UNCOUNTED_BYTES: usize = 16 * 1_024;
/// Share of the limit that requests may use, in percent. The rest is for answers, which are lost if
/// they cannot be held.
const REQUEST_PERCENT: usize = 75;
/// Most bytes of all answers. They are small, but for those of faulty servers.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Time after which a request that is still being received yields to another one.
const MIN_RECEIVE_TIME: Duration = Duration::from_secs(1);

/// Why a body cannot be held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BodyError {
    /// It is longer than a single body may be.
    #[error("longer than what is held")]
    TooLong,
    /// The bodies that are held already leave too little memory.
    #[error("the bodies in progress use up the memory for bodies")]
    OutOfMemory,
    /// It was received for so long that another body got its memory.
    #[error("too slow while the memory for bodies is used up")]
    Displaced,
}

/// Limit for the bytes of all bodies that are held in memory.
#[derive(Debug)]
pub struct BodyMemory {
    limit_bytes: usize,
    held: Mutex<Held>,
}

/// What is held beyond the uncounted bytes.
#[derive(Debug, Default)]
struct Held {
    bytes: usize,
    /// Those of answers alone.
    answer_bytes: usize,
    next_id: u64,
    /// Requests that are being received, in the order in which they began.
    receiving: BTreeMap<u64, ReceivedRequest>,
}

/// A request that is being received.
#[derive(Debug)]
struct ReceivedRequest {
    began: Instant,
    /// Counted bytes.
    share_bytes: usize,
    part: Arc<ReceivedPart>,
}

/// The part of a request's body that was received; `None` once its memory was given to another
/// body.
#[derive(Debug)]
struct ReceivedPart {
    bytes: Mutex<Option<Vec<u8>>>,
    displaced: Notify,
}

/// Whose body it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Owner {
    Request,
    Answer,
}

impl BodyMemory {
    /// Creates a limit, in bytes, of which nothing is used.
    #[must_use]
    pub fn new(limit_bytes: usize) -> Arc<Self> {
        Arc::new(Self {
            limit_bytes,
            held: Mutex::default(),
        })
    }

    /// Returns the counted bytes.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        lock(&self.held).bytes
    }

    /// Adds to the counted bytes of one body, which had `own_bytes` before. A single body is always
    /// held.
    fn reserve(
        &self,
        held: &mut Held,
        owner: Owner,
        own_bytes: usize,
        added_bytes: usize,
    ) -> Result<(), BodyError> {
        let (limit_bytes, min_age) = match owner {
            Owner::Request => (self.limit_bytes * REQUEST_PERCENT / 100, MIN_RECEIVE_TIME),
            Owner::Answer => (self.limit_bytes, Duration::ZERO),
        };
        if owner == Owner::Answer && held.answer_bytes + added_bytes > MAX_ANSWER_BYTES {
            return Err(BodyError::OutOfMemory);
        }
        let others_bytes = held.bytes - own_bytes;
        let excess_bytes = (held.bytes + added_bytes).saturating_sub(limit_bytes);
        if others_bytes > 0 && excess_bytes > 0 {
            held.displace(excess_bytes.min(others_bytes), min_age)?;
        }
        held.bytes += added_bytes;
        if owner == Owner::Answer {
            held.answer_bytes += added_bytes;
        }
        Ok(())
    }

    /// Adds to the counted bytes of a request that is being received.
    fn extend_request(&self, id: u64, added_bytes: usize) -> Result<(), BodyError> {
        let mut held = lock(&self.held);
        // Taken out, as it must not be displaced by itself.
        let mut request = held.receiving.remove(&id).ok_or(BodyError::Displaced)?;
        let own_bytes = request.share_bytes;
        let result = self.reserve(&mut held, Owner::Request, own_bytes, added_bytes);
        if result.is_ok() {
            request.share_bytes += added_bytes;
        }
        held.receiving.insert(id, request);
        result
    }
}

impl Held {
    /// Frees memory by dropping the requests that have been received for the longest time.
    fn displace(&mut self, wanted_bytes: usize, min_age: Duration) -> Result<(), BodyError> {
        let mut freed_bytes = 0;
        let mut displaced = Vec::new();
        for (id, request) in &self.receiving {
            if freed_bytes >= wanted_bytes || request.began.elapsed() < min_age {
                break;
            }
            freed_bytes += request.share_bytes;
            displaced.push(*id);
        }
        if freed_bytes < wanted_bytes {
            return Err(BodyError::OutOfMemory);
        }
        for id in displaced {
            if let Some(request) = self.receiving.remove(&id) {
                self.bytes -= request.share_bytes;
                lock(&request.part.bytes).take();
                request.part.displaced.notify_one();
            }
        }
        Ok(())
    }
}

/// Counted bytes of one body, returned when it is dropped.
#[derive(Debug)]
struct Share {
    memory: Arc<BodyMemory>,
    owner: Owner,
    bytes: usize,
}

impl Share {
    fn new(memory: &Arc<BodyMemory>, owner: Owner) -> Self {
        Self {
            memory: Arc::clone(memory),
            owner,
            bytes: 0,
        }
    }

    /// Counts a body of this capacity.
    fn extend_to(&mut self, capacity: usize) -> Result<(), BodyError> {
        let added_bytes = counted_part(capacity).saturating_sub(self.bytes);
        if added_bytes > 0 {
            let mut held = lock(&self.memory.held);
            self.memory
                .reserve(&mut held, self.owner, self.bytes, added_bytes)?;
            self.bytes += added_bytes;
        }
        Ok(())
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        if self.bytes == 0 {
            return;
        }
        let mut held = lock(&self.memory.held);
        held.bytes -= self.bytes;
        if self.owner == Owner::Answer {
            held.answer_bytes -= self.bytes;
        }
    }
}

/// The body of an answer while it is received.
#[derive(Debug)]
pub struct AnswerBuffer {
    max_bytes: usize,
    bytes: Vec<u8>,
    share: Share,
}

impl AnswerBuffer {
    /// Creates the buffer of an answer of at most this many bytes.
    #[must_use]
    pub fn new(memory: &Arc<BodyMemory>, max_bytes: usize) -> Self {
        Self {
            max_bytes,
            bytes: Vec::new(),
            share: Share::new(memory, Owner::Answer),
        }
    }

    /// Adds received bytes.
    ///
    /// # Errors
    ///
    /// Fails when the body gets too long, or there is no memory left for it.
    pub fn push(&mut self, chunk: &[u8]) -> Result<(), BodyError> {
        let length = self.bytes.len() + chunk.len();
        let capacity = grown_capacity(length, self.bytes.capacity(), self.max_bytes)?;
        self.share.extend_to(capacity)?;
        append(&mut self.bytes, chunk, capacity);
        Ok(())
    }

    /// Returns the whole body, which keeps its share of the memory until it is dropped.
    #[must_use]
    pub fn into_bytes(self) -> Bytes {
        counted_bytes(self.bytes, self.share)
    }
}

/// The body of a request while it is received.
#[derive(Debug)]
pub struct RequestBuffer {
    memory: Arc<BodyMemory>,
    max_bytes: usize,
    state: BufferState,
}

#[derive(Debug)]
enum BufferState {
    /// All of it is uncounted.
    Small(Vec<u8>),
    /// It counts, so its memory may be given to another body.
    Counted {
        id: u64,
        share_bytes: usize,
        part: Arc<ReceivedPart>,
    },
}

impl RequestBuffer {
    /// Creates the buffer of a request of at most this many bytes.
    #[must_use]
    pub fn new(memory: &Arc<BodyMemory>, max_bytes: usize) -> Self {
        Self {
            memory: Arc::clone(memory),
            max_bytes,
            state: BufferState::Small(Vec::new()),
        }
    }

    /// Returns true if a body of this length would count towards the limit for all.
    #[must_use]
    pub const fn is_counted(length: u64) -> bool {
        length > UNCOUNTED_BYTES as u64
    }

    /// Reserves memory for a body whose length was announced.
    ///
    /// # Errors
    ///
    /// Fails when it is too long, or there is no memory left for it.
    pub fn reserve(&mut self, length: u64) -> Result<(), BodyError> {
        let length = usize::try_from(length).map_err(|_| BodyError::TooLong)?;
        if length > self.max_bytes {
            return Err(BodyError::TooLong);
        }
        self.max_bytes = length;
        if length <= UNCOUNTED_BYTES {
            return Ok(());
        }
        self.hold(length)
    }

    /// Adds received bytes.
    ///
    /// # Errors
    ///
    /// Fails when the body gets too long, or there is no memory left for it.
    pub fn push(&mut self, chunk: &[u8]) -> Result<(), BodyError> {
        if let BufferState::Small(bytes) = &mut self.state {
            let length = bytes.len() + chunk.len();
            if length > self.max_bytes {
                return Err(BodyError::TooLong);
            }
            if length <= UNCOUNTED_BYTES {
                bytes.extend_from_slice(chunk);
                return Ok(());
            }
            self.hold(length)?;
        }
        let BufferState::Counted {
            id,
            share_bytes,
            part,
        } = &mut self.state
        else {
            return Ok(());
        };
        // The memory is locked before the part elsewhere, so both are not locked together here.
        let (length, capacity) = {
            let bytes = lock(&part.bytes);
            let bytes = bytes.as_ref().ok_or(BodyError::Displaced)?;
            (bytes.len() + chunk.len(), bytes.capacity())
        };
        let capacity = grown_capacity(length, capacity, self.max_bytes)?;
        let missing_bytes = counted_part(capacity).saturating_sub(*share_bytes);
        if missing_bytes > 0 {
            self.memory.extend_request(*id, missing_bytes)?;
            *share_bytes += missing_bytes;
        }
        let mut bytes = lock(&part.bytes);
        let bytes = bytes.as_mut().ok_or(BodyError::Displaced)?;
        append(bytes, chunk, capacity);
        Ok(())
    }

    /// Waits until the memory of this body is given to another one.
    pub async fn displaced(&self) {
        match &self.state {
            BufferState::Small(_) => std::future::pending().await,
            BufferState::Counted { part, .. } => part.displaced.notified().await,
        }
    }

    /// Returns the whole body, which keeps its share of the memory until it is dropped.
    ///
    /// # Errors
    ///
    /// Fails when its memory was given to another body.
    pub fn into_bytes(mut self) -> Result<Bytes, BodyError> {
        match &mut self.state {
            BufferState::Small(bytes) => Ok(Bytes::from(std::mem::take(bytes))),
            BufferState::Counted { id, part, .. } => {
                let removed = lock(&self.memory.held).receiving.remove(id);
                let request = removed.ok_or(BodyError::Displaced)?;
                let share = Share {
                    memory: Arc::clone(&self.memory),
                    owner: Owner::Request,
                    bytes: request.share_bytes,
                };
                let bytes = lock(&part.bytes).take().unwrap_or_default();
                Ok(counted_bytes(bytes, share))
            }
        }
    }

    /// Makes the body count, with a share for this length.
    fn hold(&mut self, length: usize) -> Result<(), BodyError> {
        let BufferState::Small(bytes) = &mut self.state else {
            return Ok(());
        };
        let share_bytes = counted_part(length);
        let mut held = lock(&self.memory.held);
        self.memory
            .reserve(&mut held, Owner::Request, 0, share_bytes)?;
        let part = Arc::new(ReceivedPart {
            bytes: Mutex::new(Some(std::mem::take(bytes))),
            displaced: Notify::new(),
        });
        let id = held.next_id;
        held.next_id += 1;
        let request = ReceivedRequest {
            began: Instant::now(),
            share_bytes,
            part: Arc::clone(&part),
        };
        held.receiving.insert(id, request);
        drop(held);
        self.state = BufferState::Counted {
            id,
            share_bytes,
            part,
        };
        Ok(())
    }
}

impl Drop for RequestBuffer {
    fn drop(&mut self) {
        if let BufferState::Counted { id, .. } = &self.state {
            let mut held = lock(&self.memory.held);
            if let Some(request) = held.receiving.remove(id) {
                held.bytes -= request.share_bytes;
            }
        }
    }
}

/// Returns the bytes of a body that count towards the limit for all.
const fn counted_part(capacity: usize) -> usize {
    capacity.saturating_sub(UNCOUNTED_BYTES)
}

/// Returns the capacity that a buffer needs for a body of this length.
fn grown_capacity(length: usize, capacity: usize, max_bytes: usize) -> Result<usize, BodyError> {
    if length > max_bytes {
        return Err(BodyError::TooLong);
    }
    if length <= capacity {
        return Ok(capacity);
    }
    Ok((2 * capacity).clamp(length, max_bytes))
}

/// Appends received bytes to a buffer. All chunks are copied into one, as each chunk of its own would
/// keep more memory than its bytes.
fn append(bytes: &mut Vec<u8>, chunk: &[u8], capacity: usize) {
    if capacity > bytes.capacity() {
        bytes.reserve_exact(capacity - bytes.len());
    }
    bytes.extend_from_slice(chunk);
}

fn counted_bytes(bytes: Vec<u8>, share: Share) -> Bytes {
    if share.bytes == 0 {
        return Bytes::from(bytes);
    }
    Bytes::from_owner(CountedBytes {
        bytes,
        _share: share,
    })
}

/// Bytes that hold a share of the memory for all bodies.
struct CountedBytes {
    bytes: Vec<u8>,
    _share: Share,
}

impl AsRef<[u8]> for CountedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
