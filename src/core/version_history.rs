//! Software versions of a pool's replicas that may have begun a stream which can still live.

use std::collections::BTreeMap;

use super::ids::ReplicaVersion;

/// Maximum number of remembered versions that no replica has any more.
const MAX_GONE_VERSIONS: usize = 64;

/// Replicas of one version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct VersionState {
    replicas: u32,
    last_seen_ms: u64,
}

/// The versions of a pool's replicas over time. An unknown version is `None`.
///
/// # Examples
///
/// ```
/// use currantlever::{ReplicaVersion, VersionHistory};
///
/// let version = ReplicaVersion::new("2.1")?;
/// let mut history = VersionHistory::new(0);
/// history.add(Some(&version));
/// assert_eq!(history.single_version(4_999, 5_000), None);
/// assert_eq!(history.single_version(5_000, 5_000), Some(&version));
/// # Ok::<(), currantlever::IdError>(())
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionHistory {
    /// Time since which no version was missed.
    complete_since_ms: u64,
    versions: BTreeMap<Option<ReplicaVersion>, VersionState>,
}

impl VersionHistory {
    /// Creates a history that begins now, without replicas.
    #[must_use]
    pub const fn new(now_ms: u64) -> Self {
        Self {
            complete_since_ms: now_ms,
            versions: BTreeMap::new(),
        }
    }

    /// Records that a replica appeared, or took this version.
    pub fn add(&mut self, version: Option<&ReplicaVersion>) {
        let state = self.versions.entry(version.cloned()).or_default();
        state.replicas = state.replicas.saturating_add(1);
    }

    /// Records that a replica of this version went, or took another version.
    pub fn remove(&mut self, version: Option<&ReplicaVersion>, now_ms: u64) {
        let state = self.versions.entry(version.cloned()).or_default();
        state.replicas = state.replicas.saturating_sub(1);
        state.last_seen_ms = now_ms;
        self.prune();
    }

    /// Returns the version of all streams that may be in progress, if they have the same one and it
    /// is known. A stream ends within `stream_life_ms` of its first event.
    #[must_use]
    pub fn single_version(&self, now_ms: u64, stream_life_ms: u64) -> Option<&ReplicaVersion> {
        let oldest_ms = now_ms.checked_sub(stream_life_ms)?;
        if self.complete_since_ms > oldest_ms {
            return None;
        }
        let mut versions = self
            .versions
            .iter()
            .filter(|(_, state)| state.replicas > 0 || state.last_seen_ms >= oldest_ms)
            .map(|(version, _)| version);
        let first = versions.next()?;
        match versions.next() {
            Some(_) => None,
            None => first.as_ref(),
        }
    }

    /// Drops the version that went first if too many are gone; the history is complete only since
    /// then.
    fn prune(&mut self) {
        let gone = self
            .versions
            .iter()
            .filter(|(_, state)| state.replicas == 0);
        if gone.clone().count() <= MAX_GONE_VERSIONS {
            return;
        }
        let oldest = gone.min_by_key(|(_, state)| state.last_seen_ms);
        let Some((version, last_seen_ms)) =
            oldest.map(|(version, state)| (version.clone(), state.last_seen_ms))
        else {
            return;
        };
        self.versions.remove(&version);
        self.complete_since_ms = self.complete_since_ms.max(last_seen_ms.saturating_add(1));
    }
}
