//! What the log and the metrics say of one request, written once when it ends.

use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use slog::{info, Logger};
use tokio::time::Instant;

use super::grants::GrantNote;
use super::metrics::ExchangeMetrics;
use super::request::RejectKind;
use crate::core::quarantine::Fingerprint;
use crate::util::millis;

/// The story of one request. Logged when dropped, so also when the caller leaves.
#[derive(Debug)]
pub(crate) struct RequestRecord {
    log: Logger,
    metrics: Arc<ExchangeMetrics>,
    arrived: Instant,
    /// The caller's name for the try.
    pub attempt: CompactString,
    /// Digest of the request's content, the same for each try of a caller.
    pub fingerprint: Option<Fingerprint>,
    /// Version of the configuration that decided.
    pub config_version: u64,
    /// The route.
    pub route: CompactString,
    /// The team.
    pub team: CompactString,
    /// The pool.
    pub pool: CompactString,
    /// The grant when the request was reserved.
    pub grant: Option<GrantNote>,
    /// Rank of the request, 0 first.
    pub rank: u8,
    /// Tokens reserved.
    pub reserved_tokens: u64,
    /// Tokens spent.
    pub spent_tokens: u64,
    /// Status told to the caller.
    pub status: u16,
    tries: CompactString,
    try_count: u32,
    events: u64,
    first_event: Option<Duration>,
    outcome: Option<CompactString>,
}

impl RequestRecord {
    /// The record of a request that has just arrived.
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
            config_version: 0,
            route: CompactString::default(),
            team: CompactString::default(),
            pool: CompactString::default(),
            grant: None,
            rank: 0,
            reserved_tokens: 0,
            spent_tokens: 0,
            status: 0,
            tries: CompactString::default(),
            try_count: 0,
            events: 0,
            first_event: None,
            outcome: None,
        }
    }

    /// Notes how one try ended.
    pub(crate) fn note_try(&mut self, replica: &str, result: impl std::fmt::Display) {
        if !self.tries.is_empty() {
            self.tries.push_str("; ");
        }
        let at_ms = self.arrived.elapsed().as_millis();
        // Writing to a string cannot fail.
        let _ = write!(self.tries, "{replica} at {at_ms} ms: {result}");
        self.try_count += 1;
    }

    /// Counts events passed on.
    pub(crate) fn note_events(&mut self, count: u64) {
        self.events += count;
        if count > 0 && self.first_event.is_none() {
            let time = self.arrived.elapsed();
            self.first_event = Some(time);
            self.metrics.note_first_event(time);
        }
    }

    /// Notes that the router itself answered.
    pub(crate) fn note_rejected(&mut self, kind: RejectKind) {
        self.status = kind.status();
        self.outcome = Some(compact_str::format_compact!("{kind}"));
    }

    /// Notes how the request ended.
    pub(crate) fn note_outcome(&mut self, outcome: &str) {
        self.outcome = Some(outcome.into());
    }
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        let elapsed = self.arrived.elapsed();
        let outcome = self.outcome.take();
        let outcome = outcome.as_deref().unwrap_or("caller_left");
        self.metrics.note_request(outcome, elapsed, self.try_count);
        info!(self.log, "request";
            "request" => self.attempt.as_str(),
            "fingerprint" => self.fingerprint.map(|fingerprint| fingerprint.to_string()),
            "outcome" => outcome,
            "status" => self.status,
            "route" => self.route.as_str(),
            "team" => self.team.as_str(),
            "pool" => self.pool.as_str(),
            "rank" => self.rank,
            "config_version" => self.config_version,
            "tries" => self.tries.as_str(),
            "reserved_tokens" => self.reserved_tokens,
            "spent_tokens" => self.spent_tokens,
            "grant_free_tokens" => self.grant.map(|grant| grant.free_tokens.get()),
            "ledger_age_ms" => self.grant.and_then(|grant| grant.ledger_age).map(millis),
            "events" => self.events,
            "first_event_ms" => self.first_event.map(millis),
            "elapsed_ms" => millis(elapsed));
    }
}
