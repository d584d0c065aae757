//! Requests that crash backend servers (poison requests), as this router knows them, and their
//! reports to other routers.
//!
//! A report is sent to some routers immediately and to others with the next hellos; receivers
//! forward it (epidemic broadcast). Reports of crashed servers and of completed requests may arrive
//! in any order and more than once.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use slog::{info, Logger};
use tokio::sync::Notify;
use tokio::time::Instant;

use super::metrics::ExchangeMetrics;
use super::server_crashes::LostConnection;
use super::suspect_parts::SuspectParts;
use crate::core::ids::ReplicaId;
use crate::core::quarantine::{
    CrashRecordOutcome, Fingerprint, Quarantine, ServerCrash, Suspicion, QUARANTINE_RETENTION_MS,
};
use crate::util::{lock, millis};

/// Time for which a report is included in hellos.
const REPORT_TIME: Duration = Duration::from_secs(1);
/// Interval between hellos that repeat a report about a quarantined request.
const REMINDER_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of reports in one message.
const MAX_REPORTS_PER_MESSAGE: usize = 8;
/// Maximum number of crashes that a router which has started is told of.
const MAX_KNOWN_CRASHES: usize = 64;
/// Maximum number of reports kept for hellos; the oldest are dropped first.
const MAX_RECENT_REPORTS: usize = 512;

/// A report to other routers about a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum SuspicionReport {
    /// A server crashed with the request in progress.
    ServerEnded {
        /// Digest of its content.
        fingerprint: Fingerprint,
        /// Id of the server.
        replica: ReplicaId,
        /// Attempt id that the caller chose.
        request: CompactString,
        /// Router that observed the crash.
        observer: CompactString,
        /// Time for which the request had been there, in milliseconds.
        running_ms: u64,
        /// Time since then, in milliseconds.
        age_ms: u64,
    },
    /// The request ran to completion.
    Completed {
        /// Digest of its content.
        fingerprint: Fingerprint,
        /// Time since then, in milliseconds.
        age_ms: u64,
    },
}

/// Source of a fact. Local facts are reported immediately and with hellos, those from other routers
/// with hellos only; facts from the store are not reported, since all routers read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    Local,
    Router,
    Store,
}

/// A report, with times of the local clock.
#[derive(Clone, Debug)]
enum PendingReport {
    ServerEnded(Fingerprint, ServerCrash),
    Completed(Fingerprint, u64),
}

#[derive(Debug, Default)]
struct State {
    quarantine: Quarantine,
    recent_reports: VecDeque<(Instant, PendingReport)>,
    /// Reports to send immediately. Hellos include those that do not fit.
    unsent_reports: Vec<PendingReport>,
    /// Requests known to be quarantined, with the time at which that became known.
    quarantined: HashMap<Fingerprint, Instant>,
    reminder_count: usize,
    last_reminder: Option<Instant>,
}

/// A quarantined request, to be written to the store.
#[derive(Clone, Debug)]
pub(crate) struct QuarantinedRequest {
    /// Digest of its content.
    pub fingerprint: Fingerprint,
    /// Crashes of servers with the request in progress.
    pub crashes: Vec<ServerCrash>,
    /// True if this router observed one of the crashes.
    pub is_observed_locally: bool,
    /// Time since this router learned of the quarantine.
    pub age: Duration,
}

/// Suspect and quarantined requests as known to one router.
#[derive(Debug)]
pub(crate) struct Suspects {
    vm: CompactString,
    metrics: Arc<ExchangeMetrics>,
    log: Logger,
    started: Instant,
    state: Mutex<State>,
    has_unsent_reports: Notify,
    parts: SuspectParts,
}

impl Suspects {
    /// Creates an empty set of suspects. `vm` identifies this router as observer in reports.
    pub(crate) fn new(vm: CompactString, metrics: Arc<ExchangeMetrics>, log: Logger) -> Self {
        let parts = SuspectParts::new(vm.clone(), Arc::clone(&metrics), log.clone());
        Self {
            vm,
            metrics,
            log,
            started: Instant::now(),
            state: Mutex::default(),
            has_unsent_reports: Notify::new(),
            parts,
        }
    }

    /// Returns the suspect parts of prompts.
    pub(crate) const fn parts(&self) -> &SuspectParts {
        &self.parts
    }

    /// Returns the rest of a request's quarantine, or `None` if the request may run.
    pub(crate) fn quarantined_for(&self, fingerprint: Fingerprint) -> Option<Duration> {
        let now_ms = self.now_ms();
        let state = lock(&self.state);
        let left_ms = state.quarantine.quarantine_left_ms(fingerprint, now_ms)?;
        Some(Duration::from_millis(left_ms))
    }

    /// Returns true if a server crashed with the request in progress, quarantined or not.
    pub(crate) fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        let now_ms = self.now_ms();
        lock(&self.state).quarantine.suspicion(fingerprint, now_ms) != Suspicion::Clear
    }

    /// Records that a server crashed with a request of this router in progress.
    pub(crate) fn record_server_crash(&self, lost: &LostConnection, since: Instant) {
        let at_ms = self.now_ms().saturating_sub(millis(since.elapsed()));
        let crash = ServerCrash::new(lost.replica.id.clone(), at_ms)
            .with_source(lost.request.clone(), self.vm.clone())
            .with_running_ms(millis(lost.ran));
        self.apply_crash(
            &mut lock(&self.state),
            lost.fingerprint,
            crash,
            Source::Local,
        );
    }

    /// Records that a request of this router ran to completion.
    pub(crate) fn record_completion(&self, fingerprint: Fingerprint) {
        let now_ms = self.now_ms();
        self.apply_completion(&mut lock(&self.state), fingerprint, now_ms, Source::Local);
    }

    /// Applies reports of another router.
    pub(crate) fn apply_reports(&self, reports: Vec<SuspicionReport>) {
        if reports.is_empty() {
            return;
        }
        let now_ms = self.now_ms();
        let mut state = lock(&self.state);
        for report in reports {
            match report {
                SuspicionReport::ServerEnded {
                    fingerprint,
                    replica,
                    request,
                    observer,
                    running_ms,
                    age_ms,
                } => {
                    let crash = ServerCrash::new(replica, now_ms.saturating_sub(age_ms))
                        .with_source(request, observer)
                        .with_running_ms(running_ms);
                    self.apply_crash(&mut state, fingerprint, crash, Source::Router);
                }
                SuspicionReport::Completed {
                    fingerprint,
                    age_ms,
                } => {
                    let at_ms = now_ms.saturating_sub(age_ms);
                    self.apply_completion(&mut state, fingerprint, at_ms, Source::Router);
                }
            }
        }
    }

    /// Applies a quarantined request from the store. Its crashes are dated now, since the store
    /// does not keep their times.
    pub(crate) fn apply_stored(&self, fingerprint: Fingerprint, crashes: Vec<ServerCrash>) {
        let now_ms = self.now_ms();
        let mut state = lock(&self.state);
        let crashes = crashes.into_iter().map(|crash| ServerCrash {
            at_ms: now_ms,
            ..crash
        });
        state
            .quarantine
            .record_peer_quarantine(fingerprint, crashes.collect());
        self.mark_quarantined(&mut state, fingerprint, now_ms);
    }

    /// Releases a request that was removed from the store.
    pub(crate) fn release(&self, fingerprint: Fingerprint) {
        let now_ms = self.now_ms();
        self.apply_completion(&mut lock(&self.state), fingerprint, now_ms, Source::Store);
    }

    /// Returns all quarantined requests, and logs those that no longer are.
    pub(crate) fn quarantined(&self) -> Vec<QuarantinedRequest> {
        let now_ms = self.now_ms();
        let mut state = lock(&self.state);
        let quarantined = state.quarantine.quarantined(now_ms);
        state.quarantined.retain(|fingerprint, _| {
            let is_quarantined = quarantined.contains(fingerprint);
            if !is_quarantined {
                info!(self.log, "request released"; "fingerprint" => fingerprint.to_string(),
                    "reason" => "its servers crashed too long ago, or together with others");
            }
            is_quarantined
        });
        let state = &*state;
        let requests = quarantined
            .into_iter()
            .map(|fingerprint| QuarantinedRequest {
                fingerprint,
                is_observed_locally: state
                    .quarantine
                    .crashes(fingerprint, now_ms)
                    .any(|crash| crash.observer == self.vm),
                crashes: state
                    .quarantine
                    .crashes(fingerprint, now_ms)
                    .cloned()
                    .collect(),
                age: state
                    .quarantined
                    .get(&fingerprint)
                    .map_or(Duration::ZERO, Instant::elapsed),
            });
        requests.collect()
    }

    /// Returns the reports for the next hello: the newest ones and, once per `REMINDER_INTERVAL`,
    /// one crash of a quarantined request in round-robin order, for routers that missed the report
    /// and cannot reach the store.
    pub(crate) fn reports(&self) -> Vec<SuspicionReport> {
        let now_ms = self.now_ms();
        let mut state = lock(&self.state);
        state
            .recent_reports
            .retain(|(since, _)| since.elapsed() < REPORT_TIME);
        let mut reports: Vec<SuspicionReport> = state
            .recent_reports
            .iter()
            .rev()
            .take(MAX_REPORTS_PER_MESSAGE)
            .map(|(_, report)| report_message(report, now_ms))
            .collect();
        let is_reminder_recent = state
            .last_reminder
            .is_some_and(|last| last.elapsed() < REMINDER_INTERVAL);
        if is_reminder_recent || state.quarantined.is_empty() {
            return reports;
        }
        state.last_reminder = Some(Instant::now());
        state.reminder_count = state.reminder_count.wrapping_add(1);
        let quarantined: Vec<Fingerprint> = state.quarantined.keys().copied().collect();
        let crashes: Vec<(Fingerprint, &ServerCrash)> = quarantined
            .iter()
            .flat_map(|fingerprint| {
                let crashes = state.quarantine.crashes(*fingerprint, now_ms);
                crashes.map(|crash| (*fingerprint, crash))
            })
            .collect();
        if let Some(index) = state.reminder_count.checked_rem(crashes.len()) {
            let (fingerprint, crash) = crashes[index];
            reports.push(report_message(
                &PendingReport::ServerEnded(fingerprint, crash.clone()),
                now_ms,
            ));
        }
        reports
    }

    /// Returns reports of the crashes known, in messages for a router that knows none of them. Those
    /// of requests with the most crashes come first, and are all that are sent of many.
    pub(crate) fn known_crashes(&self) -> Vec<Vec<SuspicionReport>> {
        let now_ms = self.now_ms();
        let state = lock(&self.state);
        let mut by_request: BTreeMap<Fingerprint, Vec<&ServerCrash>> = BTreeMap::new();
        for (fingerprint, crash) in state.quarantine.all_crashes(now_ms) {
            by_request.entry(fingerprint).or_default().push(crash);
        }
        let mut requests: Vec<_> = by_request.into_iter().collect();
        requests.sort_by_key(|(_, crashes)| std::cmp::Reverse(crashes.len()));
        let reports = requests.into_iter().flat_map(|(fingerprint, crashes)| {
            let crashes = crashes.into_iter().cloned();
            crashes.map(move |crash| PendingReport::ServerEnded(fingerprint, crash))
        });
        let reports: Vec<SuspicionReport> = reports
            .take(MAX_KNOWN_CRASHES)
            .map(|report| report_message(&report, now_ms))
            .collect();
        let batches = reports.chunks(MAX_REPORTS_PER_MESSAGE);
        batches.map(<[SuspicionReport]>::to_vec).collect()
    }

    /// Waits for reports that have to be sent immediately and returns them.
    pub(crate) async fn next_reports(&self) -> Vec<SuspicionReport> {
        loop {
            let now_ms = self.now_ms();
            let unsent = std::mem::take(&mut lock(&self.state).unsent_reports);
            if !unsent.is_empty() {
                return unsent
                    .iter()
                    .map(|report| report_message(report, now_ms))
                    .collect();
            }
            self.has_unsent_reports.notified().await;
        }
    }

    fn apply_crash(
        &self,
        state: &mut State,
        fingerprint: Fingerprint,
        crash: ServerCrash,
        source: Source,
    ) {
        let now_ms = self.now_ms();
        match state.quarantine.record(fingerprint, crash.clone()) {
            CrashRecordOutcome::New => {
                self.queue_report(
                    state,
                    PendingReport::ServerEnded(fingerprint, crash),
                    source,
                );
                self.mark_quarantined(state, fingerprint, now_ms);
            }
            CrashRecordOutcome::Exonerated => {
                if let Some(at_ms) = state.quarantine.completed_ms(fingerprint) {
                    self.queue_completion(state, fingerprint, at_ms, Source::Local);
                }
            }
            CrashRecordOutcome::Duplicate => {}
        }
    }

    fn apply_completion(
        &self,
        state: &mut State,
        fingerprint: Fingerprint,
        at_ms: u64,
        source: Source,
    ) {
        if !state.quarantine.record_completion(fingerprint, at_ms) {
            return;
        }
        self.queue_completion(state, fingerprint, at_ms, source);
        if state.quarantined.remove(&fingerprint).is_some() {
            info!(self.log, "request released"; "fingerprint" => fingerprint.to_string(),
            "reason" => match source {
                Source::Local => "it ran to completion",
                Source::Router => "another router reported that it ran to completion",
                Source::Store => "its object was removed from the store",
            });
        }
    }

    fn mark_quarantined(&self, state: &mut State, fingerprint: Fingerprint, now_ms: u64) {
        let is_quarantined =
            state.quarantine.suspicion(fingerprint, now_ms) == Suspicion::Quarantined;
        if !is_quarantined || state.quarantined.contains_key(&fingerprint) {
            return;
        }
        state.quarantined.insert(fingerprint, Instant::now());
        self.metrics.count_quarantined();
        let crashes = state.quarantine.crashes(fingerprint, now_ms).map(|crash| {
            let age_ms = now_ms.saturating_sub(crash.at_ms);
            format!(
                "{} under {} after {} ms seen by {} {age_ms} ms ago",
                crash.replica, crash.request, crash.running_ms, crash.observer
            )
        });
        let crashes: Vec<String> = crashes.collect();
        info!(self.log, "request quarantined"; "fingerprint" => fingerprint.to_string(),
            "ended_servers" => crashes.join("; "));
    }

    /// Queues a report of a completion, unless one of the same request is recent, however many
    /// routers report crashes.
    fn queue_completion(
        &self,
        state: &mut State,
        fingerprint: Fingerprint,
        at_ms: u64,
        source: Source,
    ) {
        let is_reported = state.recent_reports.iter().any(|(since, report)| {
            since.elapsed() < REPORT_TIME
                && matches!(report, PendingReport::Completed(other, _) if *other == fingerprint)
        });
        if !is_reported {
            self.queue_report(state, PendingReport::Completed(fingerprint, at_ms), source);
        }
    }

    fn queue_report(&self, state: &mut State, report: PendingReport, source: Source) {
        if source == Source::Store {
            return;
        }
        if source == Source::Local && state.unsent_reports.len() < MAX_REPORTS_PER_MESSAGE {
            state.unsent_reports.push(report.clone());
            self.has_unsent_reports.notify_one();
        }
        state.recent_reports.push_back((Instant::now(), report));
        if state.recent_reports.len() > MAX_RECENT_REPORTS {
            state.recent_reports.pop_front();
        }
    }

    /// Returns the process's clock. It starts at `QUARANTINE_RETENTION_MS`, so that subtracting the
    /// age of a crash that still counts never saturates.
    fn now_ms(&self) -> u64 {
        millis(self.started.elapsed()) + QUARANTINE_RETENTION_MS
    }
}

fn report_message(report: &PendingReport, now_ms: u64) -> SuspicionReport {
    match report {
        PendingReport::ServerEnded(fingerprint, crash) => SuspicionReport::ServerEnded {
            fingerprint: *fingerprint,
            replica: crash.replica.clone(),
            request: crash.request.clone(),
            observer: crash.observer.clone(),
            running_ms: crash.running_ms,
            age_ms: now_ms.saturating_sub(crash.at_ms),
        },
        PendingReport::Completed(fingerprint, at_ms) => SuspicionReport::Completed {
            fingerprint: *fingerprint,
            age_ms: now_ms.saturating_sub(*at_ms),
        },
    }
}
