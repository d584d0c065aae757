//! What began a stream: the replica and software version of its first event.
//!
//! A stream may go on only at the version that began it. A caller names the stream by the attempt
//! that brought its first event, at any router.

use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::ids::{IdError, PoolId, ReplicaVersion};

/// Time for which an origin is kept, in milliseconds; longer than any stream lives.
pub const ORIGIN_RETENTION_MS: u64 = 120_000;
/// Upper bound on the origins in a table; beyond it, the oldest is evicted.
pub const MAX_ORIGINS: usize = 16_384;
/// Length of a stream id, in bytes.
const STREAM_ID_BYTES: usize = 16;

/// Digest of a team and the attempt that brought the first event of a stream, the same on all
/// routers.
///
/// ```
/// use currantlever::StreamId;
/// let stream = StreamId::new("red", "attempt-1");
/// assert_eq!(stream.to_string().parse(), Ok(stream));
/// assert_ne!(stream, StreamId::new("reda", "ttempt-1"));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamId([u8; STREAM_ID_BYTES]);

impl StreamId {
    /// Digests a team, empty if there is none, and the id of an attempt.
    #[must_use]
    pub fn new(team: &str, attempt: &str) -> Self {
        let mut hasher = Sha256::new();
        for part in [team, attempt] {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        let digest = hasher.finalize();
        let mut bytes = [0; STREAM_ID_BYTES];
        bytes.copy_from_slice(&digest[..STREAM_ID_BYTES]);
        Self(bytes)
    }

    /// Returns the digest.
    #[must_use]
    pub const fn as_bytes(&self) -> &[u8; STREAM_ID_BYTES] {
        &self.0
    }
}

impl fmt::Display for StreamId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&hex::encode(self.0))
    }
}

impl FromStr for StreamId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut bytes = [0; STREAM_ID_BYTES];
        hex::decode_to_slice(text, &mut bytes).map_err(|_| IdError::NotHex)?;
        Ok(Self(bytes))
    }
}

/// The replica and software version that sent the first event of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Pool of the replica.
    pub pool: PoolId,
    /// Short digest of the replica's id.
    pub replica: u32,
    /// Start of its incarnation, in milliseconds since the Unix epoch.
    pub born_ms: Option<u64>,
    /// Version of its software.
    pub version: ReplicaVersion,
}

impl StreamOrigin {
    /// Returns true if a stream of either origin may go on at the other.
    fn is_compatible(&self, other: &Self) -> bool {
        self.pool == other.pool && self.version == other.version
    }
}

/// What a table knows of the origin of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KnownOrigin {
    /// The one origin, or the first of several of one version.
    Origin(StreamOrigin),
    /// Origins of several versions were recorded.
    Conflicting,
}

/// Result of recording an origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginOutcome {
    /// The stream was unknown.
    New,
    /// Nothing changed: the origin is known or expired.
    Unchanged,
    /// An origin of another version is known, so that neither counts from now on.
    NewConflict,
}

#[derive(Clone, Debug)]
struct OriginRecord {
    known: KnownOrigin,
    at_ms: u64,
}

/// Origins of streams that one router knows, up to [`MAX_ORIGINS`] of them for
/// [`ORIGIN_RETENTION_MS`].
///
/// Times are those of a clock that starts at [`ORIGIN_RETENTION_MS`] at least, so that the age of
/// an origin that still counts can be subtracted.
///
/// ```
/// use currantlever::{KnownOrigin, OriginTable, ReplicaVersion, StreamId, StreamOrigin};
/// let origin = StreamOrigin {
///     pool: "chat".parse()?,
///     replica: 7,
///     born_ms: None,
///     version: ReplicaVersion::new("1.4")?,
/// };
/// let other = StreamOrigin { version: ReplicaVersion::new("1.5")?, ..origin.clone() };
/// let stream = StreamId::new("red", "attempt-1");
/// let mut table = OriginTable::new();
/// table.record(stream, &origin, 200_000, 200_000);
/// assert_eq!(table.find(stream, 200_500), Some((KnownOrigin::Origin(origin), 500)));
/// table.record(stream, &other, 200_600, 200_600);
/// assert_eq!(table.find(stream, 200_600), Some((KnownOrigin::Conflicting, 0)));
/// # Ok::<(), currantlever::IdError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct OriginTable {
    records: HashMap<StreamId, OriginRecord>,
    /// The same streams, the oldest first.
    by_age: BTreeSet<(u64, StreamId)>,
}

impl OriginTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that an origin began a stream at a time. A repetition does not extend its retention.
    pub fn record(
        &mut self,
        stream: StreamId,
        origin: &StreamOrigin,
        at_ms: u64,
        now_ms: u64,
    ) -> OriginOutcome {
        let at_ms = at_ms.min(now_ms);
        self.remove_expired(now_ms);
        if is_expired(at_ms, now_ms) {
            return OriginOutcome::Unchanged;
        }
        match self.records.get(&stream).map(|record| &record.known) {
            None => {
                self.insert(stream, KnownOrigin::Origin(origin.clone()), at_ms);
                OriginOutcome::New
            }
            Some(KnownOrigin::Origin(known)) if !known.is_compatible(origin) => {
                self.record_conflict(stream, at_ms, now_ms);
                OriginOutcome::NewConflict
            }
            Some(_) => OriginOutcome::Unchanged,
        }
    }

    /// Records that a stream has origins of several versions.
    pub fn record_conflict(&mut self, stream: StreamId, at_ms: u64, now_ms: u64) {
        let at_ms = at_ms.min(now_ms);
        self.remove_expired(now_ms);
        if is_expired(at_ms, now_ms) {
            return;
        }
        // A conflict lasts as long as the later of its origins.
        let known_ms = self.records.get(&stream).map(|record| record.at_ms);
        self.insert(
            stream,
            KnownOrigin::Conflicting,
            known_ms.map_or(at_ms, |known_ms| known_ms.max(at_ms)),
        );
    }

    /// Returns what is known of a stream, and its age in milliseconds.
    #[must_use]
    pub fn find(&self, stream: StreamId, now_ms: u64) -> Option<(KnownOrigin, u64)> {
        let record = self.records.get(&stream)?;
        let age_ms = now_ms.saturating_sub(record.at_ms);
        (!is_expired(record.at_ms, now_ms)).then(|| (record.known.clone(), age_ms))
    }

    /// Returns the number of streams in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns true if the table is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn insert(&mut self, stream: StreamId, known: KnownOrigin, at_ms: u64) {
        let replaced = self.records.insert(stream, OriginRecord { known, at_ms });
        if let Some(replaced) = replaced {
            self.by_age.remove(&(replaced.at_ms, stream));
        }
        self.by_age.insert((at_ms, stream));
        while self.records.len() > MAX_ORIGINS {
            self.remove_oldest();
        }
    }

    fn remove_expired(&mut self, now_ms: u64) {
        let is_oldest_expired = |(at_ms, _): &(u64, StreamId)| is_expired(*at_ms, now_ms);
        while self.by_age.first().is_some_and(is_oldest_expired) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((_, stream)) = self.by_age.pop_first() {
            self.records.remove(&stream);
        }
    }
}

const fn is_expired(at_ms: u64, now_ms: u64) -> bool {
    now_ms.saturating_sub(at_ms) >= ORIGIN_RETENTION_MS
}
