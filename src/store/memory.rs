//! An in-memory object store with fault injection, a fake of the platform for tests and the demo.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use tokio::sync::watch;

use super::{Expected, Object, ObjectKey, ObjectStore, StoreError, Version, MAX_VALUE_BYTES};
use crate::util::lock;

/// Faults to inject in tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreFaults {
    /// Every call fails without effect.
    pub down: bool,
    /// Number of next writes that take effect but whose answers are lost.
    pub lost_answers: u32,
    /// Delay before each call, in milliseconds.
    pub delay_ms: u64,
}

/// Numbers of calls served so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreCounts {
    /// Reads, lists and watches.
    pub reads: u64,
    /// Writes, conflicting ones included.
    pub writes: u64,
}

#[derive(Debug, Default)]
struct Objects {
    last_version: Version,
    by_key: BTreeMap<ObjectKey, Object>,
}

/// An in-memory object store.
#[derive(Debug)]
pub struct MemoryStore {
    objects: Mutex<Objects>,
    faults: Mutex<StoreFaults>,
    reads: AtomicU64,
    writes: AtomicU64,
    changed: watch::Sender<Version>,
}

impl Default for MemoryStore {
    fn default() -> Self {
        Self::new()
    }
}

impl MemoryStore {
    /// Creates an empty store without faults.
    #[must_use]
    pub fn new() -> Self {
        Self {
            objects: Mutex::default(),
            faults: Mutex::default(),
            reads: AtomicU64::new(0),
            writes: AtomicU64::new(0),
            changed: watch::Sender::new(0),
        }
    }

    /// Sets the faults to inject from now on.
    pub fn set_faults(&self, faults: StoreFaults) {
        *lock(&self.faults) = faults;
    }

    /// Returns the numbers of calls served so far.
    #[must_use]
    pub fn counts(&self) -> StoreCounts {
        StoreCounts {
            reads: self.reads.load(Ordering::Relaxed),
            writes: self.writes.load(Ordering::Relaxed),
        }
    }

    async fn inject_faults(&self) -> Result<(), StoreError> {
        let faults = *lock(&self.faults);
        if faults.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        if faults.down {
            return Err(StoreError::Unavailable {
                reason: "store is down".to_owned(),
            });
        }
        Ok(())
    }

    fn consume_lost_answer(&self) -> bool {
        let mut faults = lock(&self.faults);
        let is_lost = faults.lost_answers > 0;
        faults.lost_answers = faults.lost_answers.saturating_sub(1);
        is_lost
    }

    fn write(
        &self,
        key: &ObjectKey,
        value: Bytes,
        expected: Expected,
    ) -> Result<Version, StoreError> {
        let mut objects = lock(&self.objects);
        let found = objects.by_key.get(key).map(|object| object.version);
        let wanted = match expected {
            Expected::Absent => None,
            Expected::Version(version) => Some(version),
        };
        if found != wanted {
            return Err(StoreError::Conflict { key: key.clone() });
        }
        objects.last_version += 1;
        let version = objects.last_version;
        objects
            .by_key
            .insert(key.clone(), Object { version, value });
        drop(objects);
        self.changed.send_replace(version);
        Ok(version)
    }

    fn get_newer(&self, key: &ObjectKey, after: Version) -> Option<Object> {
        let objects = lock(&self.objects);
        objects
            .by_key
            .get(key)
            .filter(|object| object.version > after)
            .cloned()
    }
}

#[async_trait]
impl ObjectStore for MemoryStore {
    async fn get(&self, key: &ObjectKey) -> Result<Option<Object>, StoreError> {
        self.inject_faults().await?;
        self.reads.fetch_add(1, Ordering::Relaxed);
        Ok(self.get_newer(key, 0))
    }

    async fn put(
        &self,
        key: &ObjectKey,
        value: Bytes,
        expected: Expected,
    ) -> Result<Version, StoreError> {
        self.inject_faults().await?;
        self.writes.fetch_add(1, Ordering::Relaxed);
        if value.len() > MAX_VALUE_BYTES {
            let reason = format!(
                "value of {} bytes is larger than {MAX_VALUE_BYTES}",
                value.len()
            );
            return Err(StoreError::Refused { reason });
        }
        let version = self.write(key, value, expected)?;
        if self.consume_lost_answer() {
            return Err(StoreError::Unavailable {
                reason: "answer lost".to_owned(),
            });
        }
        Ok(version)
    }

    async fn list(&self, prefix: &str) -> Result<Vec<ObjectKey>, StoreError> {
        self.inject_faults().await?;
        self.reads.fetch_add(1, Ordering::Relaxed);
        let objects = lock(&self.objects);
        let keys = objects
            .by_key
            .keys()
            .filter(|key| key.as_str().starts_with(prefix));
        Ok(keys.cloned().collect())
    }

    async fn watch(
        &self,
        key: &ObjectKey,
        after: Version,
        wait: Duration,
    ) -> Result<Option<Object>, StoreError> {
        self.inject_faults().await?;
        self.reads.fetch_add(1, Ordering::Relaxed);
        let mut changed = self.changed.subscribe();
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            if let Some(object) = self.get_newer(key, after) {
                return Ok(Some(object));
            }
            let next = tokio::time::timeout_at(deadline, changed.changed()).await;
            if next.is_err() {
                return Ok(None);
            }
        }
    }
}
