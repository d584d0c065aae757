//! Objects by kind and name, as the fleet's own state and the operators' lists are kept.

use std::fmt;
use std::time::Duration;

use async_trait::async_trait;
use compact_str::CompactString;
use serde_json::value::RawValue;
use thiserror::Error;

/// Revision of the store or of an object; rises with every change.
pub type Revision = u64;

/// One object as read.
#[derive(Clone, Debug)]
pub struct KindObject {
    /// Its name within its kind.
    pub name: CompactString,
    /// Revision of its last change.
    pub revision: Revision,
    /// Its value as JSON.
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

/// One change of an object.
#[derive(Clone, Debug)]
pub struct Change {
    /// The object after the change, or before its removal.
    pub object: KindObject,
    /// True when it was removed.
    pub is_removed: bool,
}

/// What a watch has seen.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    /// The changes in order.
    pub changes: Vec<Change>,
    /// Revision from which to watch on.
    pub revision: Revision,
}

impl Changes {
    /// Revision up to which a kind must have been followed to have seen all of the changes. The
    /// store's own is too high for that: changes of other kinds raise it too.
    #[must_use]
    pub fn newest_revision(&self) -> Option<Revision> {
        let revisions = self.changes.iter().map(|change| {
            if change.is_removed {
                // The object bears the revision of its last change, not that of its removal.
                self.revision
            } else {
                change.object.revision
            }
        });
        revisions.max()
    }
}

/// How fresh an answer must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// As of now.
    Linearizable,
    /// Possibly seconds old, at a lower price.
    Stale,
}

/// Why a call on kinds failed.
#[derive(Debug, Error)]
pub enum KindError {
    /// The object is not at the expected revision; nothing was written.
    #[error("the object has changed")]
    Conflict(Option<Box<KindObject>>),
    /// No such object exists.
    #[error("no such object")]
    NotFound,
    /// The history from which to watch is gone; list anew.
    #[error("the history is gone")]
    HistoryGone,
    /// The store did nothing, and says so.
    #[error("the store did nothing: status {status}")]
    Busy {
        /// HTTP status.
        status: u16,
    },
    /// No answer came. A write may take effect, also later.
    #[error("the store gave no answer: {reason}")]
    NoAnswer {
        /// What the transport saw.
        reason: CompactString,
    },
    /// The answer cannot be read.
    #[error("the store's answer cannot be read: {reason}")]
    Decode {
        /// What is wrong with it.
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

    /// Waits for changes of a kind after a revision, at most for the given time.
    ///
    /// # Errors
    ///
    /// Fails when the store gives no readable answer or the history is gone.
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
    /// Fails when there is none, or the store gives no readable answer.
    async fn get(&self, kind: &str, name: &str) -> Result<KindObject, KindError>;

    /// Creates an object and returns its revision.
    ///
    /// # Errors
    ///
    /// Fails with a conflict when it exists.
    async fn create(&self, kind: &str, name: &str, value: &RawValue)
        -> Result<Revision, KindError>;

    /// Replaces an object that is at a revision, and returns the new one.
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

    /// Removes an object that is at a revision.
    ///
    /// # Errors
    ///
    /// Fails with a conflict when it is at another revision.
    async fn remove(&self, kind: &str, name: &str, expected: Revision) -> Result<(), KindError>;
}
