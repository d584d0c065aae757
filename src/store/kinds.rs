//! Objects by kind and name, which hold the fleet's own state and the operators' lists.

use std::fmt;
use std::time::Duration;

use async_trait::async_trait;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use thiserror::Error;

/// Revision of the store or of an object.
///
/// Its number increases with every change. When the store returns from an older copy, a new era
/// begins, in which numbers are given out again; so revisions are ordered by era first.
///
/// ```
/// use currantlever::Revision;
/// assert!(Revision::new(1, 10) > Revision::new(0, 20));
/// assert_eq!(Revision::new(1, 10).to_string(), "1:10");
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    era: u64,
    number: u64,
}

impl Revision {
    /// Creates a revision from an era and a number.
    #[must_use]
    pub const fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }

    /// Returns the era, which rises each time that the store returns from an older copy.
    #[must_use]
    pub const fn era(self) -> u64 {
        self.era
    }

    /// Returns the number, by which the store refers to the revision.
    #[must_use]
    pub const fn number(self) -> u64 {
        self.number
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era, self.number)
    }
}

impl slog::Value for Revision {
    fn serialize(
        &self,
        _: &slog::Record<'_>,
        key: slog::Key,
        serializer: &mut dyn slog::Serializer,
    ) -> slog::Result {
        serializer.emit_arguments(key, &format_args!("{self}"))
    }
}

/// One object as read.
#[derive(Clone, Debug)]
pub struct KindObject {
    /// Name within the kind.
    pub name: CompactString,
    /// Revision of the last change.
    pub revision: Revision,
    /// The value as JSON.
    pub value: Box<RawValue>,
}

/// All objects of a kind.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// The objects.
    pub objects: Vec<KindObject>,
    /// Revision of the store when they were read.
    pub revision: Revision,
}

/// A change of an object.
#[derive(Clone, Debug)]
pub struct Change {
    /// The object after the change, or before its removal.
    pub object: KindObject,
    /// True when the object was removed.
    pub is_removed: bool,
}

/// Changes received by one watch call.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    /// The changes in order.
    pub changes: Vec<Change>,
    /// Revision after which to continue the watch.
    pub revision: Revision,
}

impl Changes {
    /// Returns the revision up to which a watch of the kind must have come to include all of these
    /// changes; none without changes. The store's revision is too high for that, as changes of
    /// other kinds raise it too.
    #[must_use]
    pub fn newest_revision(&self) -> Option<Revision> {
        let revisions = self.changes.iter().map(|change| {
            if change.is_removed {
                // A removed object carries the revision of its last change, not of its removal.
                self.revision
            } else {
                change.object.revision
            }
        });
        revisions.max()
    }
}

/// Required freshness of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The latest state.
    Linearizable,
    /// A state that may be seconds old, at a lower price.
    Stale,
}

/// Error of a call to a kind store.
#[derive(Debug, Error)]
pub enum KindError {
    /// The object is not at the expected revision; nothing was written.
    #[error("the object has changed")]
    Conflict(Option<Box<KindObject>>),
    /// The object does not exist.
    #[error("no such object")]
    NotFound,
    /// The store no longer holds the history to watch from, or began a new era; list again.
    #[error("the watch history has expired")]
    HistoryGone,
    /// The store rejected the call without effect.
    #[error("the store rejected the call with status {status}")]
    Busy {
        /// HTTP status.
        status: u16,
    },
    /// No answer was received. A write may have taken effect or may still do so.
    #[error("the store gave no answer: {reason}")]
    NoAnswer {
        /// The transport error.
        reason: CompactString,
    },
    /// The answer cannot be decoded.
    #[error("the store's answer cannot be decoded: {reason}")]
    Decode {
        /// The decoding error.
        reason: CompactString,
    },
}

/// A client of a store of objects by kind and name.
#[async_trait]
pub trait KindStore: fmt::Debug + Send + Sync {
    /// Reads all objects of a kind.
    ///
    /// # Errors
    ///
    /// Fails when the store gives no readable answer.
    async fn list(&self, kind: &str, freshness: Freshness) -> Result<Listing, KindError>;

    /// Waits for changes of a kind after a revision, for at most `wait`.
    ///
    /// # Errors
    ///
    /// Fails when the store gives no readable answer or the history has expired.
    async fn watch(
        &self,
        kind: &str,
        after: Revision,
        wait: Duration,
        freshness: Freshness,
    ) -> Result<Changes, KindError>;

    /// Reads one object.
    ///
    /// # Errors
    ///
    /// Fails when the object does not exist or the store gives no readable answer.
    async fn get(&self, kind: &str, name: &str) -> Result<KindObject, KindError>;

    /// Creates an object and returns its revision.
    ///
    /// # Errors
    ///
    /// Fails with a conflict when the object exists.
    async fn create(&self, kind: &str, name: &str, value: &RawValue)
        -> Result<Revision, KindError>;

    /// Replaces an object that is at the expected revision, and returns its new revision.
    ///
    /// # Errors
    ///
    /// Fails with a conflict when it is at another revision.
    async fn replace(
        &self,
        kind: &str,
        name: &str,
        value: &RawValue,
        expected: Revision,
    ) -> Result<Revision, KindError>;

    /// Removes an object that is at the expected revision.
    ///
    /// # Errors
    ///
    /// Fails with a conflict when it is at another revision.
    async fn remove(&self, kind: &str, name: &str, expected: Revision) -> Result<(), KindError>;
}
