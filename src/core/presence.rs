//! Failure detection among the routers of a failure domain, by heartbeats.
//!
//! Routers send heartbeats to two hubs; the tables that hubs report are merged by the newest
//! heartbeat. A router counts as gone when no hub has received a heartbeat from it for a time, as
//! long as hub reports arrive; without them the state of a router is unknown.

use std::collections::HashMap;
use std::hash::Hash;

/// Heartbeat timeout after which a router counts as gone, in milliseconds.
pub const GONE_AFTER_MS: u64 = 2_000;
/// Age of the last hub report, in milliseconds, from which on missing heartbeats prove nothing.
const HUB_REPORT_TTL_MS: u64 = 1_500;
/// Age at which the last heartbeat of a router is discarded, in milliseconds.
const RETENTION_MS: u64 = 60_000;

/// State that a router reports in its heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnWord {
    /// True when the router accepts requests.
    pub is_ready: bool,
    /// Spare capacity, in percent.
    pub room_percent: u8,
}

/// Liveness of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// No hub has reported the router, or no recent hub report exists.
    Unknown,
    /// A recent heartbeat reported this state.
    There(OwnWord),
    /// No hub has received a heartbeat within the timeout.
    Gone,
}

#[derive(Clone, Copy, Debug)]
struct TimedHeartbeat {
    at_ms: u64,
    state: OwnWord,
}

/// Last heartbeats of the routers of a failure domain.
#[derive(Clone, Debug)]
pub struct PresenceTable<K> {
    heartbeats: HashMap<K, TimedHeartbeat>,
    /// Time of the last hub report; a hub counts its own table as one.
    last_hub_report_ms: Option<u64>,
}

impl<K> Default for PresenceTable<K> {
    fn default() -> Self {
        Self {
            heartbeats: HashMap::new(),
            last_hub_report_ms: None,
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

    /// Records a heartbeat received directly or reported by a hub, unless a newer one is known.
    pub fn learn(&mut self, router: K, state: OwnWord, at_ms: u64) {
        let last = self
            .heartbeats
            .entry(router)
            .or_insert(TimedHeartbeat { at_ms, state });
        if last.at_ms <= at_ms {
            *last = TimedHeartbeat { at_ms, state };
        }
    }

    /// Records that a hub report on the failure domain arrived now, and discards old heartbeats.
    pub fn note_hub(&mut self, now_ms: u64) {
        self.last_hub_report_ms = self.last_hub_report_ms.max(Some(now_ms));
        self.heartbeats
            .retain(|_, last| now_ms.saturating_sub(last.at_ms) < RETENTION_MS);
    }

    /// Returns the liveness of a router.
    #[must_use]
    pub fn presence(&self, router: &K, now_ms: u64) -> Presence {
        let has_hub_report = self
            .last_hub_report_ms
            .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < HUB_REPORT_TTL_MS);
        match self.heartbeats.get(router) {
            Some(last) if now_ms.saturating_sub(last.at_ms) < GONE_AFTER_MS => {
                Presence::There(last.state)
            }
            Some(_) if has_hub_report => Presence::Gone,
            _ => Presence::Unknown,
        }
    }

    /// Returns all heartbeats within the timeout, with their ages in milliseconds.
    pub fn ages(&self, now_ms: u64) -> impl Iterator<Item = (K, OwnWord, u64)> + '_ {
        let ages = self
            .heartbeats
            .iter()
            .map(move |(router, last)| (*router, last.state, now_ms.saturating_sub(last.at_ms)));
        ages.filter(|(.., age_ms)| *age_ms < GONE_AFTER_MS)
    }
}
