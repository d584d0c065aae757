//! Failure detection among the routers of a failure domain, by heartbeats.
//!
//! Routers send heartbeats to two watchers; the tables that watchers report are merged by the
//! newest heartbeat. A router counts as gone when no watcher has received a heartbeat from it for a
//! time, as long as watcher reports arrive; without them the state of a router is unknown.

use std::collections::HashMap;
use std::hash::Hash;

/// Heartbeat timeout after which a router counts as gone, in milliseconds.
pub const HEARTBEAT_TIMEOUT_MS: u64 = 2_000;
/// Age of the last watcher report, in milliseconds, from which on missing heartbeats prove nothing.
const WATCHER_REPORT_TTL_MS: u64 = 1_500;
/// Age at which the last heartbeat of a router is discarded, in milliseconds.
const RETENTION_MS: u64 = 60_000;

/// State that a router reports in its heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouterState {
    /// True when the router accepts requests.
    pub is_ready: bool,
    /// Spare capacity, in percent.
    pub headroom_percent: u8,
}

/// Liveness of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// No watcher has reported the router, or no recent watcher report exists.
    Unknown,
    /// A recent heartbeat reported this state.
    Present(RouterState),
    /// No watcher has received a heartbeat within the timeout.
    Gone,
}

#[derive(Clone, Copy, Debug)]
struct TimedHeartbeat {
    at_ms: u64,
    state: RouterState,
}

/// Last heartbeats of the routers of a failure domain.
#[derive(Clone, Debug)]
pub struct PresenceTable<K> {
    heartbeats: HashMap<K, TimedHeartbeat>,
    /// Time of the last watcher report; a watcher counts its own table as one.
    last_watcher_report_ms: Option<u64>,
}

impl<K> Default for PresenceTable<K> {
    fn default() -> Self {
        Self {
            heartbeats: HashMap::new(),
            last_watcher_report_ms: None,
        }
    }
}

impl<K> PresenceTable<K>
where
    K: Copy + Eq + Hash,
{
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a heartbeat received directly or reported by a watcher, unless a newer one is known.
    pub fn record_heartbeat(&mut self, router: K, state: RouterState, at_ms: u64) {
        let last = self
            .heartbeats
            .entry(router)
            .or_insert(TimedHeartbeat { at_ms, state });
        if last.at_ms <= at_ms {
            *last = TimedHeartbeat { at_ms, state };
        }
    }

    /// Records that a watcher report on the failure domain arrived now, and discards old
    /// heartbeats.
    pub fn record_watcher_report(&mut self, now_ms: u64) {
        self.last_watcher_report_ms = self.last_watcher_report_ms.max(Some(now_ms));
        self.heartbeats
            .retain(|_, last| now_ms.saturating_sub(last.at_ms) < RETENTION_MS);
    }

    /// Returns the liveness of a router.
    #[must_use]
    pub fn presence(&self, router: &K, now_ms: u64) -> Presence {
        let has_watcher_report = self
            .last_watcher_report_ms
            .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < WATCHER_REPORT_TTL_MS);
        match self.heartbeats.get(router) {
            Some(last) if now_ms.saturating_sub(last.at_ms) < HEARTBEAT_TIMEOUT_MS => {
                Presence::Present(last.state)
            }
            Some(_) if has_watcher_report => Presence::Gone,
            _ => Presence::Unknown,
        }
    }

    /// Returns all heartbeats within the timeout, with their ages in milliseconds.
    pub fn recent_heartbeats(
        &self,
        now_ms: u64,
    ) -> impl Iterator<Item = (K, RouterState, u64)> + '_ {
        let ages = self
            .heartbeats
            .iter()
            .map(move |(router, last)| (*router, last.state, now_ms.saturating_sub(last.at_ms)));
        ages.filter(|(.., age_ms)| *age_ms < HEARTBEAT_TIMEOUT_MS)
    }
}
