//! One request of a caller, from the end of its head until its answer was handed over.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use compact_str::CompactString;
use slog::{info, warn, Logger};
use strum::{Display, IntoStaticStr};
use tokio::time::Instant;

use super::activity::Activity;
use crate::exchange::metrics::ExchangeMetrics;
use crate::util::millis;

/// How a request ended whose head was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum RequestEnd {
    /// The whole answer was handed to the connection.
    Answered,
    /// The answer was cut, since the replica's answer ended early.
    AnswerCut,
    /// The connection ended before the whole body of the request was read.
    ConnectionEndedInBody,
    /// The connection ended before the whole answer was handed over.
    ConnectionEnded,
    /// The task of the connection panicked.
    Panicked,
}

/// How much of a request was processed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    ReadingBody,
    Serving,
    Answered,
    AnswerCut,
}

/// State that all requests share.
#[derive(Clone, Debug)]
pub(super) struct RequestCounts {
    pub(super) in_progress: Arc<AtomicUsize>,
    pub(super) metrics: Arc<ExchangeMetrics>,
    pub(super) log: Logger,
}

/// Counts a request as in progress until its answer was handed over, and logs one that ends without
/// a complete answer.
#[derive(Debug)]
pub(super) struct CallerRequest {
    counts: RequestCounts,
    activity: Arc<Activity>,
    attempt: CompactString,
    started: Instant,
    stage: Stage,
}

impl CallerRequest {
    /// Counts a request whose head was just read.
    pub(super) fn new(
        counts: RequestCounts,
        activity: Arc<Activity>,
        attempt: CompactString,
    ) -> Self {
        counts.in_progress.fetch_add(1, Ordering::Relaxed);
        counts.metrics.count_request_read();
        activity.begin_request();
        Self {
            counts,
            activity,
            attempt,
            started: Instant::now(),
            stage: Stage::ReadingBody,
        }
    }

    /// Records that the whole body was read.
    pub(super) fn record_body(&mut self) {
        self.stage = Stage::Serving;
        self.activity.end_body();
    }

    /// Records that the end of the answer will be that of the connection, which must not look
    /// regular before.
    pub(super) fn record_unstated_end(&self) {
        self.activity.set_must_reset(true);
    }

    /// Records that the whole answer was handed to the connection.
    pub(super) fn record_answer(&mut self) {
        if self.stage != Stage::AnswerCut {
            self.stage = Stage::Answered;
            self.activity.end_body();
            self.activity.record_answer();
            self.activity.set_must_reset(false);
        }
    }

    /// Records that the answer was cut.
    pub(super) fn record_cut(&mut self) {
        self.stage = Stage::AnswerCut;
    }

    fn end(&self) -> RequestEnd {
        match self.stage {
            Stage::Answered => RequestEnd::Answered,
            Stage::AnswerCut => RequestEnd::AnswerCut,
            _ if std::thread::panicking() => RequestEnd::Panicked,
            Stage::ReadingBody => RequestEnd::ConnectionEndedInBody,
            Stage::Serving => RequestEnd::ConnectionEnded,
        }
    }
}

impl Drop for CallerRequest {
    fn drop(&mut self) {
        self.activity.end_request();
        self.counts.in_progress.fetch_sub(1, Ordering::Relaxed);
        let end = self.end();
        self.counts.metrics.count_request_ended(end.into());
        let reason = self.activity.end_reason();
        match end {
            RequestEnd::Answered => {}
            RequestEnd::Panicked => warn!(self.counts.log, "request ended without whole answer";
                "request" => self.attempt.as_str(), "end" => end.to_string(),
                "elapsed_ms" => millis(self.started.elapsed())),
            _ => info!(self.counts.log, "request ended without whole answer";
                "request" => self.attempt.as_str(), "end" => end.to_string(),
                "reason" => reason, "elapsed_ms" => millis(self.started.elapsed())),
        }
    }
}
