//! Prompt parts that crash backend servers, as this router knows them, and the reports on them.
//!
//! A router sends each new fact to some others at once, and each of these forwards it once
//! (epidemic broadcast). Reports may arrive in any order and more than once.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use slog::{info, Logger};
use tokio::sync::Notify;
use tokio::time::Instant;

use super::metrics::ExchangeMetrics;
use super::server_crashes::LostConnection;
use crate::core::ids::ReplicaId;
use crate::core::part_quarantine::{PartId, PartQuarantine, MAX_ACCUSED_PARTS};
use crate::core::quarantine::{ServerCrash, Suspicion, QUARANTINE_RETENTION_MS};
use crate::util::{lock, millis};

/// Interval between two repetitions of the reports on one of the quarantined parts, for routers
/// that missed them and cannot reach the store.
const REMINDER_INTERVAL: Duration = Duration::from_secs(1);
/// Time in which a first token with the same part is reported once.
const CLEARED_REPORT_INTERVAL_MS: u64 = 500;
/// Number of routers that this router sends its own reports to.
const FANOUT: usize = 12;
/// Number of routers that this router forwards the reports of others to, and repeats reports to.
const FORWARD_FANOUT: usize = 4;
/// Maximum number of parts in all reports of a message, and in one report.
const MAX_PARTS_PER_MESSAGE: usize = MAX_ACCUSED_PARTS;
/// Maximum number of unsent reports; the oldest are dropped first.
const MAX_UNSENT_REPORTS: usize = 512;
/// Maximum number of reports in one message.
const MAX_REPORTS_PER_MESSAGE: usize = 16;

/// A report to other routers about parts of prompts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PartReport {
    /// A server crashed on which a request with the parts waited for its first token.
    Accused {
        /// The parts, without those known not to crash servers.
        parts: Vec<PartId>,
        /// Id of the server.
        replica: ReplicaId,
        /// Attempt id that the caller chose.
        request: CompactString,
        /// Router that observed the crash.
        observer: CompactString,
        /// Time since then, in milliseconds.
        age_ms: u64,
    },
    /// A request with the part got its first token.
    Cleared {
        /// The part.
        part: PartId,
        /// Time since then, in milliseconds.
        age_ms: u64,
    },
}

/// A report, with times of the local clock.
#[derive(Clone, Debug)]
enum PendingReport {
    Accused(Vec<PartId>, ServerCrash),
    Cleared(PartId, u64),
}

impl PendingReport {
    fn part_count(&self) -> usize {
        match self {
            Self::Accused(parts, _) => parts.len(),
            Self::Cleared(..) => 1,
        }
    }

    fn into_message(self, now_ms: u64) -> PartReport {
        match self {
            Self::Accused(parts, crash) => PartReport::Accused {
                parts,
                replica: crash.replica,
                request: crash.request,
                observer: crash.observer,
                age_ms: now_ms.saturating_sub(crash.at_ms),
            },
            Self::Cleared(part, at_ms) => PartReport::Cleared {
                part,
                age_ms: now_ms.saturating_sub(at_ms),
            },
        }
    }
}

/// A report to send to other routers.
#[derive(Clone, Debug)]
struct UnsentReport {
    report: PendingReport,
    /// Number of routers to send it to.
    fanout: usize,
}

/// Reports for one message.
#[derive(Debug)]
pub(crate) struct PartReportBatch {
    /// The reports.
    pub reports: Vec<PartReport>,
    /// Number of routers to send them to.
    pub fanout: usize,
}

#[derive(Debug, Default)]
struct State {
    quarantine: PartQuarantine,
    unsent_reports: VecDeque<UnsentReport>,
    /// Parts whose first token was reported, with the time of the report in milliseconds.
    reported_cleared: HashMap<PartId, u64>,
    /// Parts known to be quarantined, with the time at which that became known.
    quarantined: HashMap<PartId, Instant>,
    reminder_count: usize,
}

/// A quarantined part.
#[derive(Clone, Debug)]
pub(crate) struct QuarantinedPart {
    /// The part.
    pub part: PartId,
    /// Crashes of servers on which requests with the part waited for their first token.
    pub crashes: Vec<ServerCrash>,
    /// True if this router observed one of the crashes.
    pub is_observed_locally: bool,
    /// Time since this router learned of the quarantine.
    pub age: Duration,
}

/// Suspect and quarantined parts of prompts as known to one router.
#[derive(Debug)]
pub(crate) struct SuspectParts {
    vm: CompactString,
    metrics: Arc<ExchangeMetrics>,
    log: Logger,
    started: Instant,
    state: Mutex<State>,
    has_unsent_reports: Notify,
}

impl SuspectParts {
    /// Creates an empty set of suspects. `vm` identifies this router as observer in reports.
    pub(crate) fn new(vm: CompactString, metrics: Arc<ExchangeMetrics>, log: Logger) -> Self {
        Self {
            vm,
            metrics,
            log,
            started: Instant::now(),
            state: Mutex::default(),
            has_unsent_reports: Notify::new(),
        }
    }

    /// Returns the rest of the quarantine of the first quarantined part, if there is one.
    pub(crate) fn quarantined_for(&self, parts: &[PartId]) -> Option<(PartId, Duration)> {
        let now_ms = self.now_ms();
        let state = lock(&self.state);
        parts.iter().find_map(|part| {
            let left_ms = state.quarantine.quarantine_left_ms(*part, now_ms)?;
            Some((*part, Duration::from_millis(left_ms)))
        })
    }

    /// Returns true if a server crashed on which a request with one of the parts waited for its
    /// first token.
    pub(crate) fn is_suspect(&self, parts: &[PartId]) -> bool {
        let now_ms = self.now_ms();
        let state = lock(&self.state);
        let mut parts = parts.iter();
        parts.any(|part| state.quarantine.suspicion(*part, now_ms) != Suspicion::Clear)
    }

    /// Returns true if a request with the parts must not be retried.
    pub(crate) fn is_in_doubt(&self, parts: &[PartId]) -> bool {
        let now_ms = self.now_ms();
        let state = lock(&self.state);
        let mut parts = parts.iter();
        parts.any(|part| state.quarantine.is_in_doubt(*part, now_ms))
    }

    /// Records that a server crashed on which a request of this router waited for its first token.
    pub(crate) fn record_server_crash(&self, lost: &LostConnection, since: Instant) {
        if lost.waiting_parts.is_empty() {
            return;
        }
        let at_ms = self.now_ms().saturating_sub(millis(since.elapsed()));
        let crash = ServerCrash::new(lost.replica.id.clone(), at_ms)
            .with_source(lost.request.clone(), self.vm.clone());
        self.apply_crash(&mut lock(&self.state), &lost.waiting_parts, &crash);
    }

    /// Records that a request of this router got its first token.
    pub(crate) fn record_first_token(&self, parts: &[PartId]) {
        let now_ms = self.now_ms();
        let mut state = lock(&self.state);
        for part in parts {
            self.apply_first_token(&mut state, *part, now_ms);
        }
    }

    /// Applies reports of another router.
    pub(crate) fn apply_reports(&self, reports: Vec<PartReport>) {
        let now_ms = self.now_ms();
        let mut state = lock(&self.state);
        for report in reports {
            match report {
                PartReport::Accused {
                    mut parts,
                    replica,
                    request,
                    observer,
                    age_ms,
                } => {
                    parts.truncate(MAX_PARTS_PER_MESSAGE);
                    let crash = ServerCrash::new(replica, now_ms.saturating_sub(age_ms))
                        .with_source(request, observer);
                    self.apply_crash(&mut state, &parts, &crash);
                }
                PartReport::Cleared { part, age_ms } => {
                    self.apply_first_token(&mut state, part, now_ms.saturating_sub(age_ms));
                }
            }
        }
    }

    /// Applies a quarantined part from the store. Its crashes are dated now, since the store does
    /// not keep their times.
    pub(crate) fn apply_stored(&self, part: PartId, crashes: Vec<ServerCrash>) {
        let now_ms = self.now_ms();
        let mut state = lock(&self.state);
        let crashes = crashes.into_iter().map(|crash| ServerCrash {
            at_ms: now_ms,
            ..crash
        });
        let crashes: Vec<ServerCrash> = crashes.collect();
        state.quarantine.record_peer_quarantine(part, &crashes);
        self.mark_quarantined(&mut state, part);
    }

    /// Releases a part that was removed from the store.
    pub(crate) fn release(&self, part: PartId) {
        let now_ms = self.now_ms();
        let mut state = lock(&self.state);
        state.quarantine.release(part, now_ms);
        self.mark_released(&mut state, part, "its object was removed from the store");
    }

    /// Returns all quarantined parts, and logs those that no longer are.
    pub(crate) fn quarantined(&self) -> Vec<QuarantinedPart> {
        let now_ms = self.now_ms();
        let mut state = lock(&self.state);
        let quarantined = state.quarantine.quarantined(now_ms);
        let known: Vec<PartId> = state.quarantined.keys().copied().collect();
        for part in known.iter().filter(|part| !quarantined.contains(part)) {
            self.mark_released(&mut state, *part, "its servers crashed too long ago");
        }
        let parts = quarantined.into_iter().map(|part| {
            let crashes = state.quarantine.crashes(part, now_ms);
            let crashes: Vec<ServerCrash> = crashes.cloned().collect();
            let since = state.quarantined.get(&part);
            QuarantinedPart {
                part,
                is_observed_locally: crashes.iter().any(|crash| crash.observer == self.vm),
                crashes,
                age: since.map_or(Duration::ZERO, Instant::elapsed),
            }
        });
        parts.collect()
    }

    /// Waits for reports to send and returns them.
    pub(crate) async fn next_reports(&self) -> PartReportBatch {
        loop {
            if let Some(batch) = self.take_reports() {
                return batch;
            }
            let notified = self.has_unsent_reports.notified();
            if tokio::time::timeout(REMINDER_INTERVAL, notified)
                .await
                .is_err()
            {
                self.queue_reminder();
            }
        }
    }

    /// Takes the oldest reports that go to the same number of routers and fit into one message.
    fn take_reports(&self) -> Option<PartReportBatch> {
        let now_ms = self.now_ms();
        let unsent = &mut lock(&self.state).unsent_reports;
        let fanout = unsent.front()?.fanout;
        let mut part_count = 0;
        let count = unsent
            .iter()
            .take(MAX_REPORTS_PER_MESSAGE)
            .take_while(|unsent| {
                part_count += unsent.report.part_count();
                unsent.fanout == fanout && part_count <= MAX_PARTS_PER_MESSAGE
            })
            .count();
        let reports = unsent.drain(..count.max(1));
        Some(PartReportBatch {
            reports: reports
                .map(|unsent| unsent.report.into_message(now_ms))
                .collect(),
            fanout,
        })
    }

    /// Queues the crashes of one quarantined part, in round-robin order.
    fn queue_reminder(&self) {
        let now_ms = self.now_ms();
        let mut state = lock(&self.state);
        let quarantined = state.quarantine.quarantined(now_ms);
        let Some(index) = state.reminder_count.checked_rem(quarantined.len()) else {
            return;
        };
        state.reminder_count = state.reminder_count.wrapping_add(1);
        let part = quarantined[index];
        let crashes = state.quarantine.crashes(part, now_ms).cloned();
        let crashes: Vec<ServerCrash> = crashes.collect();
        for crash in crashes {
            let report = PendingReport::Accused(vec![part], crash);
            self.queue(&mut state, report, FORWARD_FANOUT);
        }
    }

    fn apply_crash(&self, state: &mut State, parts: &[PartId], crash: &ServerCrash) {
        let outcome = state.quarantine.record_crash(parts, crash);
        if !outcome.accused.is_empty() {
            let is_own = crash.observer == self.vm;
            let fanout = if is_own { FANOUT } else { FORWARD_FANOUT };
            let report = PendingReport::Accused(outcome.accused, crash.clone());
            self.queue(state, report, fanout);
        }
        for (part, at_ms) in outcome.cleared {
            if crash.observer != self.vm {
                self.queue_cleared(state, part, at_ms);
            }
        }
        for part in outcome.quarantined {
            self.mark_quarantined(state, part);
        }
    }

    fn apply_first_token(&self, state: &mut State, part: PartId, at_ms: u64) {
        if !state.quarantine.record_first_token(part, at_ms) {
            return;
        }
        self.queue_cleared(state, part, at_ms);
        if state.quarantine.suspicion(part, self.now_ms()) == Suspicion::Clear {
            self.mark_released(state, part, "a request with it got its first token");
        }
    }

    fn queue_cleared(&self, state: &mut State, part: PartId, at_ms: u64) {
        let now_ms = self.now_ms();
        let is_recent = |reported_ms: &u64| now_ms < reported_ms + CLEARED_REPORT_INTERVAL_MS;
        state
            .reported_cleared
            .retain(|_, reported_ms| is_recent(reported_ms));
        if state.reported_cleared.insert(part, now_ms).is_none() {
            self.queue(state, PendingReport::Cleared(part, at_ms), FANOUT);
        }
    }

    fn queue(&self, state: &mut State, report: PendingReport, fanout: usize) {
        state
            .unsent_reports
            .push_back(UnsentReport { report, fanout });
        if state.unsent_reports.len() > MAX_UNSENT_REPORTS {
            state.unsent_reports.pop_front();
        }
        self.has_unsent_reports.notify_one();
    }

    fn mark_quarantined(&self, state: &mut State, part: PartId) {
        let now_ms = self.now_ms();
        let is_quarantined = state.quarantine.suspicion(part, now_ms) == Suspicion::Quarantined;
        if !is_quarantined || state.quarantined.contains_key(&part) {
            return;
        }
        state.quarantined.insert(part, Instant::now());
        self.metrics.count_quarantined_part();
        let crashes = state.quarantine.crashes(part, now_ms).map(|crash| {
            let age_ms = now_ms.saturating_sub(crash.at_ms);
            format!(
                "{} under {} seen by {} {age_ms} ms ago",
                crash.replica, crash.request, crash.observer
            )
        });
        let crashes: Vec<String> = crashes.collect();
        info!(self.log, "prompt part quarantined"; "part" => part.to_string(),
            "ended_servers" => crashes.join("; "));
    }

    fn mark_released(&self, state: &mut State, part: PartId, reason: &str) {
        if state.quarantined.remove(&part).is_some() {
            info!(self.log, "prompt part released"; "part" => part.to_string(),
                "reason" => reason);
        }
    }

    /// Returns the process's clock. It starts at `QUARANTINE_RETENTION_MS`, so that subtracting the
    /// age of a crash that still counts never saturates.
    fn now_ms(&self) -> u64 {
        millis(self.started.elapsed()) + QUARANTINE_RETENTION_MS
    }
}
