//! Ejection of a replica after failures, and the probes by which it returns to service.

use rand::{Rng, RngExt};

/// Consecutive failures after which a replica is ejected for a time.
const FAILURES_TO_EJECT: u32 = 3;
/// Duration of the first ejection; doubles with each further failure.
const BASE_EJECTION_MS: u64 = 500;
/// Longest duration of an ejection.
const MAX_EJECTION_MS: u64 = 8_000;
/// Time after which another probe may be sent, whatever became of the one before.
const MAX_PROBE_MS: u64 = 4_000;

/// Identifies the probe of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeId(u64);

/// A request that shows whether an ejected replica works again.
#[derive(Clone, Copy, Debug)]
struct Probe {
    id: ProbeId,
    started_ms: u64,
}

/// The failures of a replica in a row and what follows from them.
#[derive(Clone, Debug, Default)]
pub(super) struct Ejection {
    failures: u32,
    until_ms: u64,
    probe: Option<Probe>,
}

impl Ejection {
    /// Records a success, which ends the ejection.
    pub(super) fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a failure.
    pub(super) fn record_failure(&mut self, now_ms: u64) {
        self.failures = self.failures.saturating_add(1);
        self.probe = None;
        if self.failures >= FAILURES_TO_EJECT {
            self.eject(now_ms);
        }
    }

    /// Records that the replica accepts no connections.
    pub(super) fn record_unreachable(&mut self, now_ms: u64) {
        self.failures = self.failures.saturating_add(1).max(FAILURES_TO_EJECT);
        self.probe = None;
        self.eject(now_ms);
    }

    fn eject(&mut self, now_ms: u64) {
        let doublings = (self.failures - FAILURES_TO_EJECT).min(5);
        self.until_ms = now_ms + (BASE_EJECTION_MS << doublings).min(MAX_EJECTION_MS);
    }

    /// Returns true if the replica was ejected, so that it first gets a single probe request.
    pub(super) const fn needs_probe(&self) -> bool {
        self.failures >= FAILURES_TO_EJECT
    }

    /// Returns true if a request may be sent to the replica.
    pub(super) const fn allows_request(&self, now_ms: u64) -> bool {
        let awaits_probe = match self.probe {
            Some(probe) => now_ms.saturating_sub(probe.started_ms) < MAX_PROBE_MS,
            None => false,
        };
        self.until_ms <= now_ms && !(self.needs_probe() && awaits_probe)
    }

    /// Records that a request is sent to the replica. Returns the probe that it is, if the replica
    /// was ejected.
    pub(super) fn record_request<R>(&mut self, now_ms: u64, rng: &mut R) -> Option<ProbeId>
    where
        R: Rng,
    {
        self.probe = self.needs_probe().then(|| Probe {
            id: ProbeId(rng.random()),
            started_ms: now_ms,
        });
        self.probe.map(|probe| probe.id)
    }

    /// Records that a probe ended, whatever it showed. The probe may have been concluded before.
    pub(super) fn conclude_probe(&mut self, id: ProbeId) {
        if self.probe.is_some_and(|probe| probe.id == id) {
            self.probe = None;
        }
    }
}
