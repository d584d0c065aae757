//! Access log line and metrics of one request, written once when it ends.

use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use slog::{info, Logger};
use strum::Display;
use tokio::time::Instant;

use super::grants::GrantNote;
use super::limits::LimitNote;
use super::metrics::ExchangeMetrics;
use super::permits::PermitAnswer;
use super::request::RejectKind;
use crate::core::ids::ReplicaVersion;
use crate::core::part_quarantine::PartId;
use crate::core::quarantine::Fingerprint;
use crate::util::millis;

/// The version of a stream, and how it is known.
#[derive(Clone, Debug)]
pub(crate) struct OriginNote {
    /// Version of the replica that began the stream.
    pub version: ReplicaVersion,
    /// What states it.
    pub source: CompactString,
    /// Since when it has been known.
    pub known_at: Option<Instant>,
}

/// Why a stream that broke off may not go on at another replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum RefusedResume {
    /// The version that began it is unknown.
    OriginUnknown,
    /// The replica that began it has another version now, perhaps since before the first event.
    OriginUncertain,
    /// No replica in service has its version.
    VersionGone,
}

/// Collects the access log fields of one request. Logged on drop, so also when the caller
/// disconnects.
#[derive(Debug)]
pub(crate) struct RequestRecord {
    log: Logger,
    metrics: Arc<ExchangeMetrics>,
    arrived: Instant,
    /// Attempt id that the caller chose.
    pub attempt: CompactString,
    /// Digest of the request's content, the same for each attempt of a caller.
    pub fingerprint: Option<Fingerprint>,
    /// Part of the prompt for which the request was refused.
    pub quarantined_part: Option<PartId>,
    /// Version of the configuration in force when the request was admitted.
    pub config_version: u64,
    /// Name of the route.
    pub route: CompactString,
    /// Name of the team.
    pub team: CompactString,
    /// Name of the pool.
    pub pool: CompactString,
    /// State of the grant after the reservation.
    pub grant: Option<GrantNote>,
    /// Priority rank; 0 is the highest.
    pub rank: u8,
    /// Reserved tokens.
    pub reserved_tokens: u64,
    /// Spent tokens.
    pub spent_tokens: u64,
    /// HTTP status sent to the caller.
    pub status: u16,
    /// Attempt id of the caller's try that began the stream which this request takes up.
    pub resumes: Option<CompactString>,
    /// Version of the stream.
    pub origin: Option<OriginNote>,
    /// Router through which the last answer came, by its hello address; `None` if directly.
    pub via: Option<SocketAddr>,
    refused_resume: Option<RefusedResume>,
    tries: CompactString,
    limits: CompactString,
    try_count: u32,
    events: u64,
    first_event: Option<Duration>,
    outcome: Option<CompactString>,
}

impl RequestRecord {
    /// Creates the record of a request that has just arrived.
    pub(crate) fn new(
        log: Logger,
        metrics: Arc<ExchangeMetrics>,
        attempt: CompactString,
        arrived: Instant,
    ) -> Self {
        Self {
            log,
            metrics,
            arrived,
            attempt,
            fingerprint: None,
            quarantined_part: None,
            config_version: 0,
            route: CompactString::default(),
            team: CompactString::default(),
            pool: CompactString::default(),
            grant: None,
            rank: 0,
            reserved_tokens: 0,
            spent_tokens: 0,
            status: 0,
            resumes: None,
            origin: None,
            via: None,
            refused_resume: None,
            tries: CompactString::default(),
            limits: CompactString::default(),
            try_count: 0,
            events: 0,
            first_event: None,
            outcome: None,
        }
    }

    /// Adds the result of one try at a replica.
    pub(crate) fn add_try(&mut self, replica: &str, result: impl std::fmt::Display) {
        if !self.tries.is_empty() {
            self.tries.push_str("; ");
        }
        let at_ms = self.arrived.elapsed().as_millis();
        // Writing to a string cannot fail.
        let _ = write!(self.tries, "{replica} at {at_ms} ms: {result}");
        self.try_count += 1;
    }

    /// Sets why a broken stream may not go on at another replica.
    pub(crate) fn set_refused_resume(&mut self, reason: RefusedResume) {
        self.refused_resume = Some(reason);
        self.count_stream_resume(&reason.to_string());
    }

    /// Counts a stream that a caller takes up, or that breaks off in this answer, by what became of
    /// it.
    pub(crate) fn count_stream_resume(&self, result: &str) {
        self.metrics.count_stream_resume(result);
    }

    /// Adds the decision on a permit for a rate-limited replica.
    pub(crate) fn add_limit(&mut self, replica: &str, note: &LimitNote, answer: &PermitAnswer) {
        if !self.limits.is_empty() {
            self.limits.push_str("; ");
        }
        let (at_ms, age_ms) = (millis(self.arrived.elapsed()), millis(note.age));
        let (limit, origin) = (note.limit, note.origin());
        // Writing to a string cannot fail.
        let _ = write!(
            self.limits,
            "{replica} at {at_ms} ms: limit {limit} by {origin} {age_ms} ms ago, permit "
        );
        let _ = match (answer.decision, answer.issuer) {
            (Ok(()), Some(issuer)) => write!(self.limits, "granted by {issuer}"),
            (Ok(()), None) => write!(self.limits, "not needed"),
            (Err(denial), Some(issuer)) => {
                write!(self.limits, "denied by {issuer} for {} ms", denial.wait_ms)
            }
            (Err(_), None) => write!(self.limits, "denied as no issuer replied"),
        };
    }

    /// Counts forwarded events.
    pub(crate) fn add_events(&mut self, count: u64) {
        self.events += count;
        if count > 0 && self.first_event.is_none() {
            let time = self.arrived.elapsed();
            self.first_event = Some(time);
            self.metrics.observe_first_event(time);
        }
    }

    /// Sets status and outcome to those of a rejection by the router.
    pub(crate) fn set_rejected(&mut self, kind: RejectKind) {
        self.status = kind.status();
        self.outcome = Some(compact_str::format_compact!("{kind}"));
    }

    /// Sets the outcome of the request.
    pub(crate) fn set_outcome(&mut self, outcome: &str) {
        self.outcome = Some(outcome.into());
    }
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        let elapsed = self.arrived.elapsed();
        let outcome = self.outcome.take();
        let outcome = outcome.as_deref().unwrap_or("caller_left");
        let origin = self.origin.as_ref();
        let version_known_at = origin.and_then(|origin| origin.known_at);
        self.metrics
            .record_request(outcome, elapsed, self.try_count);
        info!(self.log, "request";
            "request" => self.attempt.as_str(),
            "fingerprint" => self.fingerprint.map(|fingerprint| fingerprint.to_string()),
            "quarantined_part" => self.quarantined_part.map(|part| part.to_string()),
            "outcome" => outcome,
            "status" => self.status,
            "route" => self.route.as_str(),
            "team" => self.team.as_str(),
            "pool" => self.pool.as_str(),
            "rank" => self.rank,
            "config_version" => self.config_version,
            "tries" => self.tries.as_str(),
            "limits" => self.limits.as_str(),
            "via" => self.via.map(|router| router.to_string()),
            "resumes" => self.resumes.as_deref(),
            "stream_version" => origin.map(|origin| origin.version.as_str()),
            "version_source" => origin.map(|origin| origin.source.as_str()),
            "version_age_ms" => version_known_at.map(|at| millis(at.elapsed())),
            "resume_refused" => self.refused_resume.map(|reason| reason.to_string()),
            "reserved_tokens" => self.reserved_tokens,
            "spent_tokens" => self.spent_tokens,
            "grant_free_tokens" => self.grant.map(|grant| grant.free_tokens.get()),
            "ledger_age_ms" => self.grant.and_then(|grant| grant.ledger_age).map(millis),
            "events" => self.events,
            "first_event_ms" => self.first_event.map(millis),
            "elapsed_ms" => millis(elapsed));
    }
}
