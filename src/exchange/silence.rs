//! Moves a stream from a silent replica to another one.
//!
//! A sound replica may be silent for seconds, so silence alone does not end a stream. It keeps its
//! replica until another one has taken it: was sent the request and did not refuse it. The silent
//! replica is left at that moment, so that the two work on the stream together only briefly.

use std::time::Duration;

use slog::info;
use tokio::time::Instant;

use super::catalog::RouteKind;
use super::events::EventBatch;
use super::relay::{resume, OpenStream, SegmentEnd};
use super::retries::NotResumed;
use super::run::Run;
use crate::core::ids::ReplicaId;
use crate::util::millis;

/// Minimum time without an event after which another replica is asked to take a stream.
const MIN_SILENCE: Duration = Duration::from_secs(2);
/// The same as a multiple of the route's longest allowed pause between two events.
const SILENCE_PAUSES: u32 = 4;

/// The silence of a stream since its last event.
#[derive(Debug)]
pub(super) struct Silence {
    since: Instant,
    next_request_after: Duration,
    first_request_after: Duration,
}

impl Silence {
    /// Creates the state of a stream of which an event was just received.
    pub(super) fn new(run: &Run) -> Self {
        let pause = run.route.event_gap_target.unwrap_or_default();
        let first_request_after = (pause * SILENCE_PAUSES).max(MIN_SILENCE);
        Self {
            since: Instant::now(),
            next_request_after: first_request_after,
            first_request_after,
        }
    }

    /// Records an event.
    pub(super) fn record_event(&mut self) {
        self.since = Instant::now();
        self.next_request_after = self.first_request_after;
    }

    /// Returns when the next replica is asked, if the silence lasts. Each time the silence must be
    /// twice as long, so that a silent replica uses up few retries.
    pub(super) fn next_request(&self) -> Instant {
        self.since + self.next_request_after
    }

    fn elapsed(&self) -> Duration {
        self.since.elapsed()
    }
}

/// Result of asking other replicas to take the stream of a silent one.
#[derive(Debug)]
pub(super) enum Handover {
    /// The silent replica went on.
    WentOn(Result<Option<EventBatch>, SegmentEnd>),
    /// No replica took the stream, which stays at the silent one.
    Kept,
    /// Another replica took it.
    Moved(Box<OpenStream>),
    /// Another replica took it and then did not go on.
    Lost(NotResumed),
}

/// Asks other replicas to take the stream of a silent one.
pub(super) async fn hand_over(
    run: &mut Run,
    stream: &mut OpenStream,
    silence: &mut Silence,
) -> Handover {
    silence.next_request_after *= 2;
    if run.route.kind != RouteKind::ResumableStream {
        return Handover::Kept;
    }
    let silent_ms = millis(silence.elapsed());
    let tried_before = run.tried_replicas.len();
    let sent_before = run.sent_count;
    let handover = request_successor(run, stream).await;
    if matches!(handover, Handover::WentOn(_)) {
        run.record_abandoned_try(tried_before, sent_before);
    }
    let (result, reason) = match &handover {
        Handover::WentOn(_) => ("went_on", None),
        Handover::Kept => ("kept", None),
        Handover::Moved(_) => ("moved", None),
        Handover::Lost(reason) => ("cut", Some(reason.to_string())),
    };
    run.exchange.metrics.count_stream_left(result);
    let silent = stream.chosen.as_ref().map(|chosen| &chosen.replica.id);
    let asked: Vec<&str> = run.tried_replicas[tried_before..]
        .iter()
        .map(ReplicaId::as_str)
        .collect();
    info!(run.exchange.log, "replica silent in mid-stream";
        "request" => run.request.attempt.as_str(),
        "replica" => silent.map(ReplicaId::as_str), "silent_ms" => silent_ms,
        "asked" => asked.join(" "), "result" => result, "reason" => reason);
    handover
}

/// Resumes the stream at another replica while the silent one may still go on.
async fn request_successor(run: &mut Run, stream: &mut OpenStream) -> Handover {
    let position = stream.position();
    run.progress.reset();
    let taken = run.progress.watch().taken();
    let mut taken = std::pin::pin!(taken);
    let mut resumed = std::pin::pin!(resume(run, position));
    let result = loop {
        tokio::select! {
            biased;
            batch = stream.next_batch() => {
                let has_nothing = matches!(&batch, Ok(Some(batch)) if batch.bytes.is_empty());
                if !has_nothing {
                    return Handover::WentOn(batch);
                }
            }
            result = resumed.as_mut() => break result,
            () = taken.as_mut() => {
                stream.close();
                return match resumed.await {
                    Ok(successor) => Handover::Moved(Box::new(successor)),
                    Err(reason) => Handover::Lost(reason),
                };
            }
        }
    };
    match result {
        Ok(successor) => {
            stream.close();
            Handover::Moved(Box::new(successor))
        }
        Err(_) => Handover::Kept,
    }
}

impl Run {
    /// Counts a try that was dropped while it may have been on its way.
    fn record_abandoned_try(&mut self, tried_before: usize, sent_before: u32) {
        let tried = self.tried_replicas.len().saturating_sub(tried_before);
        let ended = self.sent_count.saturating_sub(sent_before) as usize;
        if tried > ended {
            self.sent_count += 1;
            if let Some(id) = self.tried_replicas.last().cloned() {
                self.record
                    .add_try(id.as_str(), "dropped, the silent replica went on");
            }
        }
    }
}
