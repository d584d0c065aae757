//! Availability of the store, from all calls of this process and from reports of other routers.
//!
//! A pending watch receives nothing, so it does not show that the store is unreachable; other calls
//! do.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use crate::util::lock;

/// Largest age of an answer to an own call that counts as evidence that the store is available.
const MAX_ANSWER_AGE: Duration = Duration::from_secs(6);
/// Largest time between failures at two routers that can belong to the same outage.
const SAME_OUTAGE_WINDOW: Duration = Duration::from_secs(3);
/// Time for which lists that were current count as such. Routers that watch the store confirm it
/// several times a second.
const LISTS_CURRENT_TTL: Duration = Duration::from_millis(1_500);
/// Time after the beginning of an era in which the operator and the replicas write again what the
/// store has lost.
const REWRITE_TIME: Duration = Duration::from_millis(2_300);
/// Largest age of a report from another router. Reports arrive several times a second.
const MAX_REPORT_AGE: Duration = Duration::from_secs(2);

#[derive(Debug, Default)]
struct State {
    failing_since: Option<Instant>,
    last_answer: Option<Instant>,
    last_failure: Option<Instant>,
    /// True while this router's own calls show all outages.
    is_watching: bool,
    /// Newest known era of the store, and when it became known.
    era: Option<(u64, Instant)>,
    /// When an era followed a known one.
    era_changed_at: Option<Instant>,
    /// When the lists were last known to be current.
    lists_current_at: Option<Instant>,
    /// Since when they have been without a gap.
    lists_current_since: Option<Instant>,
    /// Reports of other routers, by their addresses.
    reports: HashMap<SocketAddr, PeerReport>,
}

/// Another router's report of the store.
#[derive(Clone, Copy, Debug)]
struct PeerReport {
    received: Instant,
    /// True when the store is available to that router.
    is_available: bool,
    /// When a call of that router last failed.
    last_failure: Option<Instant>,
}

impl State {
    fn is_available(&self) -> bool {
        let is_recent = |at: Instant| at.elapsed() < MAX_ANSWER_AGE;
        self.failing_since.is_none() && self.last_answer.is_some_and(is_recent)
    }

    fn fresh_reports(&self) -> impl Iterator<Item = &PeerReport> {
        let reports = self.reports.values();
        reports.filter(|report| report.received.elapsed() < MAX_REPORT_AGE)
    }
}

/// Tracks the availability of the store.
#[derive(Debug, Default)]
pub(crate) struct StoreHealth {
    state: Mutex<State>,
    recoveries: watch::Sender<u64>,
}

impl StoreHealth {
    /// Records whether a call was answered.
    pub(crate) fn record_call(&self, is_answered: bool) {
        let mut state = lock(&self.state);
        let now = Instant::now();
        if is_answered {
            state.last_answer = Some(now);
            if state.failing_since.take().is_some() {
                self.recoveries.send_modify(|count| *count += 1);
            }
            return;
        }
        state.failing_since.get_or_insert(now);
        state.last_failure = Some(now);
    }

    /// Sets whether this router watches the store, so that its own calls show all outages.
    pub(crate) fn set_watching(&self, is_watching: bool) {
        lock(&self.state).is_watching = is_watching;
    }

    /// Records another router's report: whether the store is available to it, and the time since
    /// its last failed call.
    pub(crate) fn record_peer_report(
        &self,
        router: SocketAddr,
        is_available: bool,
        failure_age: Option<Duration>,
    ) {
        let now = Instant::now();
        // A router in an outage reports the age of its last try, but the outage is ongoing.
        let failure_age = if is_available {
            failure_age
        } else {
            Some(Duration::ZERO)
        };
        let report = PeerReport {
            received: now,
            is_available,
            last_failure: failure_age.and_then(|age| now.checked_sub(age)),
        };
        let mut state = lock(&self.state);
        state
            .reports
            .retain(|_, report| report.received.elapsed() < MAX_REPORT_AGE);
        state.reports.insert(router, report);
    }

    /// Records the era of an answer, this router's or another one's. A new era counts as an outage.
    pub(crate) fn record_era(&self, era: u64) {
        let mut state = lock(&self.state);
        let known = state.era;
        if known.is_some_and(|(known, _)| known >= era) {
            return;
        }
        let now = Instant::now();
        state.era = Some((era, now));
        if known.is_some() {
            state.era_changed_at = Some(now);
            // Watches of the last era may wait forever.
            self.recoveries.send_modify(|count| *count += 1);
        }
    }

    /// Returns the newest known era of the store; none before the first answer that states one.
    pub(crate) fn known_era(&self) -> Option<u64> {
        lock(&self.state).era.map(|(era, _)| era)
    }

    /// Returns the newest known era of the store. A store that states none has one era only.
    pub(crate) fn era(&self) -> u64 {
        self.known_era().unwrap_or_default()
    }

    /// Returns true if the store returned from an older copy after a time.
    pub(crate) fn has_era_changed_since(&self, time: Instant) -> bool {
        let era_changed_at = lock(&self.state).era_changed_at;
        era_changed_at.is_some_and(|at| at > time)
    }

    /// Records that the lists of this router are current: by its own watches, or by the answer of a
    /// router whose watches are.
    pub(crate) fn record_lists_current(&self) {
        let mut state = lock(&self.state);
        let now = Instant::now();
        let is_gapless = state.lists_current_at.is_some_and(is_recently_current);
        if !is_gapless {
            state.lists_current_since = Some(now);
        }
        state.lists_current_at = Some(now);
    }

    /// Returns since when the lists have been current without a gap, if they are.
    pub(crate) fn lists_current_since(&self) -> Option<Instant> {
        if !self.are_lists_current() {
            return None;
        }
        let state = lock(&self.state);
        let settled_at = state.era.map(|(_, at)| at + REWRITE_TIME);
        state.lists_current_since.max(settled_at)
    }

    /// Returns true if a newer list would be known by now. Lists of a new era are not current until
    /// what was lost is written again.
    pub(crate) fn are_lists_current(&self) -> bool {
        let state = lock(&self.state);
        let is_settled = |(_, at): (u64, Instant)| at.elapsed() >= REWRITE_TIME;
        state.lists_current_at.is_some_and(is_recently_current) && state.era.is_none_or(is_settled)
    }

    /// Returns a receiver that is notified when a call is answered after a failed one.
    pub(crate) fn recoveries(&self) -> watch::Receiver<u64> {
        self.recoveries.subscribe()
    }

    /// Returns true when the last call of this process failed.
    pub(crate) fn is_call_failing(&self) -> bool {
        lock(&self.state).failing_since.is_some()
    }

    /// Returns true when neither own calls nor reports show that the store is available.
    pub(crate) fn is_unavailable(&self) -> bool {
        let state = lock(&self.state);
        !state.is_available() && !state.fresh_reports().any(|report| report.is_available)
    }

    /// Returns when the store was last unreachable, or returned from an older copy, leaving out
    /// failures that only this router or only one other saw.
    pub(crate) fn last_outage(&self) -> Option<Instant> {
        let state = lock(&self.state);
        state.last_shared_failure().max(state.era_changed_at)
    }

    /// Returns the time since a call of this process last failed.
    pub(crate) fn failure_age(&self) -> Option<Duration> {
        lock(&self.state).last_failure.map(|at| at.elapsed())
    }
}

fn is_recently_current(at: Instant) -> bool {
    at.elapsed() < LISTS_CURRENT_TTL
}

impl State {
    /// Returns when calls of several routers last failed.
    fn last_shared_failure(&self) -> Option<Instant> {
        if self.is_watching || self.fresh_reports().next().is_none() {
            return self.last_failure;
        }
        let newest = self
            .fresh_reports()
            .filter_map(|report| report.last_failure)
            .max()?;
        let was_unaffected = |report: &PeerReport| {
            let is_earlier_outage = |failure: Instant| failure + SAME_OUTAGE_WINDOW < newest;
            report.received > newest && report.last_failure.is_none_or(is_earlier_outage)
        };
        // A router that reached the store meanwhile shows that the failure was local to another.
        let is_local_failure = self.fresh_reports().any(was_unaffected);
        (!is_local_failure).then_some(newest)
    }
}
