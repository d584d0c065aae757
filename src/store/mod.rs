//! The platform's object API: versions, conditional updates and watches.

pub(crate) mod feed;
pub mod feed_log;
pub(crate) mod health;
pub mod http;
pub(crate) mod kind_watcher;
pub mod kinds;
pub mod memory;
pub mod update;

use std::fmt;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Largest value that the platform accepts, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Name of an object: segments of letters, digits and `. _ : -` joined by `/`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ObjectKey(CompactString);

impl ObjectKey {
    /// Wraps a name.
    #[must_use]
    pub fn new<T>(name: T) -> Self
    where
        T: Into<CompactString>,
    {
        Self(name.into())
    }

    /// Returns the name as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Version of an object. Increases with every change of any object of the platform.
pub type Version = u64;

/// An object as read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Version of this value.
    pub version: Version,
    /// The value.
    pub value: Bytes,
}

/// Precondition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expected {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(Version),
}

/// Error of a call to the platform's object API.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StoreError {
    /// The precondition does not hold; nothing was written.
    #[error("object {key} has changed")]
    Conflict {
        /// The object.
        key: ObjectKey,
    },
    /// No answer was received. A write may or may not have taken effect.
    #[error("platform gave no answer: {reason}")]
    Unavailable {
        /// The transport error or HTTP status.
        reason: String,
    },
    /// The platform refused the call; a retry would be refused too.
    #[error("platform refused: {reason}")]
    Refused {
        /// The platform's reason.
        reason: String,
    },
}

/// A client of the platform's object API.
#[async_trait]
pub trait ObjectStore: fmt::Debug + Send + Sync {
    /// Reads an object.
    async fn get(&self, key: &ObjectKey) -> Result<Option<Object>, StoreError>;

    /// Writes an object if the precondition holds, and returns its new version.
    async fn put(
        &self,
        key: &ObjectKey,
        value: Bytes,
        expected: Expected,
    ) -> Result<Version, StoreError>;

    /// Returns the names of all objects that start with a prefix, in order.
    async fn list(&self, prefix: &str) -> Result<Vec<ObjectKey>, StoreError>;

    /// Waits until an object is newer than a version. Returns none if `wait` has passed before.
    async fn watch(
        &self,
        key: &ObjectKey,
        after: Version,
        wait: Duration,
    ) -> Result<Option<Object>, StoreError>;
}
