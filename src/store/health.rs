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

use crate::core::outage::{classify_failures, FailedCalls, OutageEvidence, StoreReport};
use crate::util::{lock, millis};

/// Largest age of an answer to an own call that counts as evidence that the store is available.
const MAX_ANSWER_AGE: Duration = Duration::from_secs(6);
/// Time for which lists that were current count as such. Routers that watch the store confirm it
/// several times a second.
const LISTS_CURRENT_TTL: Duration = Duration::from_millis(1_500);
/// Time after the beginning of an era in which the operator and the replicas write again what the
/// store has lost.
const REWRITE_TIME: Duration = Duration::from_millis(2_300);
/// Time of this process's start as a number. Failures more than this long before it are forgotten.
const START_MS: u64 = 86_400_000;
/// Largest age of a report from another router. Reports arrive several times a second.
const MAX_REPORT_AGE: Duration = Duration::from_secs(2);

/// Result of a call, as far as it shows whether the store is available.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallOutcome {
    /// The store answered.
    Answered,
    /// The store rejected the call because of the rate of calls, so it is up.
    RateLimited,
    /// The store gave no answer, or rejected the call for another reason.
    Failed,
}

/// Whether a missing entry may have expired in an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LastOutage {
    /// No outage is known.
    Unknown,
    /// The store answered other routers when calls failed.
    Disproved,
    /// The store was last unreachable at this time, or returned from an older copy.
    At(Instant),
}

#[derive(Debug, Default)]
struct State {
    /// Since when no call was answered.
    failing_since: Option<Instant>,
    last_answer: Option<Instant>,
    /// Begin and end of the last span of failed calls.
    last_failures: Option<(Instant, Instant)>,
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
    reports: HashMap<SocketAddr, (Instant, StoreReport)>,
}

impl State {
    fn is_available(&self) -> bool {
        let is_recent = |at: Instant| at.elapsed() < MAX_ANSWER_AGE;
        self.failing_since.is_none() && self.last_answer.is_some_and(is_recent)
    }

    fn fresh_reports(&self) -> impl Iterator<Item = StoreReport> + '_ {
        let reports = self.reports.values();
        let fresh = reports.filter(|(received, _)| received.elapsed() < MAX_REPORT_AGE);
        fresh.map(|(_, report)| *report)
    }
}

/// Tracks the availability of the store.
#[derive(Debug)]
pub(crate) struct StoreHealth {
    started: Instant,
    state: Mutex<State>,
    recoveries: watch::Sender<u64>,
}

impl Default for StoreHealth {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            state: Mutex::default(),
            recoveries: watch::Sender::default(),
        }
    }
}

impl StoreHealth {
    /// Records the outcome of a call.
    pub(crate) fn record_call(&self, outcome: CallOutcome) {
        let mut state = lock(&self.state);
        let now = Instant::now();
        if outcome == CallOutcome::Answered {
            state.last_answer = Some(now);
            if state.failing_since.take().is_some() {
                self.recoveries.send_modify(|count| *count += 1);
            }
            return;
        }
        let since = *state.failing_since.get_or_insert(now);
        if outcome == CallOutcome::Failed {
            state.last_failures = Some((since, now));
        }
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
        let report = StoreReport::new(self.ms_of(now), is_available, failure_age.map(millis));
        let mut state = lock(&self.state);
        state
            .reports
            .retain(|_, (received, _)| received.elapsed() < MAX_REPORT_AGE);
        let report = match state.reports.get(&router) {
            Some((_, previous)) => report.with_previous(previous),
            None => report,
        };
        state.reports.insert(router, (now, report));
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
    /// failures of some routers while the store answered others.
    pub(crate) fn last_outage(&self) -> LastOutage {
        let state = lock(&self.state);
        let own = state.last_failures.map(|(since, last)| FailedCalls {
            since_ms: self.ms_of(since),
            last_ms: self.ms_of(last),
        });
        let reports: Vec<StoreReport> = state.fresh_reports().collect();
        match classify_failures(own, state.is_watching, &reports) {
            OutageEvidence::Outage(at_ms) => {
                let at = self.at_ms(at_ms).max(state.era_changed_at);
                at.map_or(LastOutage::Unknown, LastOutage::At)
            }
            OutageEvidence::NoFailure => {
                let at = state.era_changed_at;
                at.map_or(LastOutage::Unknown, LastOutage::At)
            }
            OutageEvidence::Local => {
                let at = state.era_changed_at;
                let at = at.filter(|at| at.elapsed() < REWRITE_TIME);
                at.map_or(LastOutage::Disproved, LastOutage::At)
            }
        }
    }

    /// Returns the time since a call of this process last failed, leaving out those that were
    /// rejected because of the rate of calls.
    pub(crate) fn failure_age(&self) -> Option<Duration> {
        let last_failures = lock(&self.state).last_failures;
        last_failures.map(|(_, last)| last.elapsed())
    }

    /// Converts a time to milliseconds. Other routers report failures from before the start.
    fn ms_of(&self, at: Instant) -> u64 {
        START_MS + millis(at.saturating_duration_since(self.started))
    }

    /// Converts milliseconds to a time; none if it lies before the start of the machine.
    fn at_ms(&self, at_ms: u64) -> Option<Instant> {
        if at_ms < START_MS {
            return self
                .started
                .checked_sub(Duration::from_millis(START_MS - at_ms));
        }
        Some(self.started + Duration::from_millis(at_ms - START_MS))
    }
}

fn is_recently_current(at: Instant) -> bool {
    at.elapsed() < LISTS_CURRENT_TTL
}
