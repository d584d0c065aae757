//! Passes a stream of events on to the caller, and goes on at another replica where that is
//! allowed.

use std::fmt;
use std::time::Duration;

use async_stream::stream;
use bytes::Bytes;
use compact_str::ToCompactString;
use futures::StreamExt;
use http::HeaderMap;
use tokio::time::Instant;

use super::catalog::RouteKind;
use super::events::{EventSplitter, StreamBound, StreamTooLong};
use super::pools::ChosenReplica;
use super::request::{BodyStream, BrokenBody, ReplicaAnswer};
use super::run::{Answered, Run};

/// Least silence after which a stream that may go on elsewhere does.
const LEAST_SILENCE: Duration = Duration::from_secs(1);
/// The same in multiples of the longest pause that is still on time.
const SILENCE_PAUSES: u32 = 4;

/// A stream whose first event has come.
pub(super) struct Opened {
    pub(super) status: u16,
    pub(super) headers: HeaderMap,
    pub(super) chosen: Option<ChosenReplica>,
    body: BodyStream,
    splitter: EventSplitter,
    first: Bytes,
    first_events: u64,
    is_over: bool,
}

impl fmt::Debug for Opened {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Opened")
            .field("status", &self.status)
            .finish_non_exhaustive()
    }
}

impl Opened {
    /// A stream that goes on after an event.
    pub(super) fn new(answer: ReplicaAnswer, last_id: Option<u64>, bound: StreamBound) -> Self {
        Self {
            status: answer.status,
            headers: answer.headers,
            chosen: None,
            body: answer.body,
            splitter: EventSplitter::new(last_id, bound),
            first: Bytes::new(),
            first_events: 0,
            is_over: false,
        }
    }

    /// Waits for the first whole event or the end.
    pub(super) async fn read_first(&mut self) -> Result<(), BrokenBody> {
        while let Some(piece) = self.body.next().await {
            let batch = self.splitter.push(&piece?).map_err(too_long)?;
            if !batch.bytes.is_empty() {
                self.first = batch.bytes;
                self.first_events = batch.count;
                return Ok(());
            }
        }
        self.first = self.splitter.take_rest();
        self.is_over = true;
        Ok(())
    }
}

fn too_long(error: StreamTooLong) -> BrokenBody {
    BrokenBody {
        reason: error.to_compact_string(),
        is_connection_lost: false,
    }
}

/// How the part of a stream that one replica made has ended.
enum PartEnd {
    Whole,
    Broken(BrokenBody),
    Silent,
    TimedOut,
    TooLong(StreamTooLong),
}

/// The pieces for the caller. An error means that the stream broke off.
pub(super) fn relay_stream(mut run: Run, opened: Opened) -> BodyStream {
    let pieces = stream! {
        let mut opened = opened;
        loop {
            let first = std::mem::take(&mut opened.first);
            run.spend_events(opened.first_events);
            if !first.is_empty() {
                yield Ok(first);
            }
            let silence = silence_limit(&run);
            // Bytes that complete no event are silence, too.
            let mut last_event = Instant::now();
            let end = loop {
                if opened.is_over {
                    break PartEnd::Whole;
                }
                let limit = run.deadline.min(last_event + silence);
                let piece = match tokio::time::timeout_at(limit, opened.body.next()).await {
                    Ok(Some(Ok(piece))) => piece,
                    Ok(Some(Err(error))) => break PartEnd::Broken(error),
                    Ok(None) => break PartEnd::Whole,
                    Err(_) if Instant::now() >= run.deadline => break PartEnd::TimedOut,
                    Err(_) => break PartEnd::Silent,
                };
                let batch = match opened.splitter.push(&piece) {
                    Ok(batch) => batch,
                    Err(error) => break PartEnd::TooLong(error),
                };
                run.spend_events(batch.count);
                if !batch.bytes.is_empty() {
                    yield Ok(batch.bytes);
                    last_event = Instant::now();
                }
            };
            let replica = opened.chosen.as_ref().map(|chosen| chosen.replica.id.clone());
            let replica = replica.as_ref().map_or("", |id| id.as_str());
            let reason = match end {
                PartEnd::Whole => {
                    let rest = opened.splitter.take_rest();
                    if !rest.is_empty() {
                        yield Ok(rest);
                    }
                    if let Some(chosen) = &opened.chosen {
                        chosen.learn_success();
                    }
                    run.note_completed(opened.status);
                    run.record.note_try(replica, "whole");
                    run.record.note_outcome("answered");
                    return;
                }
                PartEnd::TimedOut => {
                    run.record.note_try(replica, "route's time over in mid-stream");
                    run.record.note_outcome("stream_timed_out");
                    yield Err(BrokenBody {
                        reason: "the route's time is over".into(),
                        is_connection_lost: false,
                    });
                    return;
                }
                PartEnd::TooLong(error) => {
                    run.record.note_try(replica, error);
                    run.record.note_outcome("stream_too_long");
                    if let Some(chosen) = &opened.chosen {
                        chosen.learn_failure();
                    }
                    yield Err(too_long(error));
                    return;
                }
                PartEnd::Broken(error) => error,
                PartEnd::Silent => BrokenBody {
                    reason: "the replica fell silent".into(),
                    is_connection_lost: true,
                },
            };
            run.record.note_try(replica, &reason);
            let last_id = opened.splitter.last_id();
            let bound = opened.splitter.bound();
            let chosen = opened.chosen.take();
            // The connection is closed before another replica goes on.
            drop(opened);
            if let Some(chosen) = chosen {
                chosen.learn_failure();
                if reason.is_connection_lost {
                    run.learn_lost(&chosen).await;
                }
            }
            let Some(next) = resume(&mut run, last_id, bound).await else {
                run.record.note_outcome("stream_broken");
                yield Err(reason);
                return;
            };
            opened = next;
        }
    };
    pieces.boxed()
}

/// Silence that is borne. A stream that cannot go on elsewhere bears all until the deadline.
fn silence_limit(run: &Run) -> Duration {
    if run.route.kind != RouteKind::ResumableStream {
        return run.route.timeout;
    }
    let pauses = run.route.event_pause.unwrap_or_default() * SILENCE_PAUSES;
    pauses.max(LEAST_SILENCE)
}

/// Opens the rest of a stream at another replica.
async fn resume(run: &mut Run, last_id: Option<u64>, bound: StreamBound) -> Option<Opened> {
    if run.route.kind != RouteKind::ResumableStream {
        return None;
    }
    let last_id = last_id?;
    while run.may_resume() {
        let Answered { answer, mut chosen } = run.next_answer(Some(last_id)).await.ok()?;
        if !(200..300).contains(&answer.status) {
            run.record
                .note_try(chosen.replica.id.as_str(), answer.status);
            continue;
        }
        let mut opened = Opened::new(answer, Some(last_id), bound);
        let first = tokio::time::timeout_at(run.deadline, opened.read_first())
            .await
            .ok()?;
        if let Err(error) = first {
            run.record.note_try(chosen.replica.id.as_str(), &error);
            chosen.learn_failure();
            if error.is_connection_lost {
                run.learn_lost(&chosen).await;
            }
            continue;
        }
        chosen.note_first_token();
        opened.chosen = Some(chosen);
        return Some(opened);
    }
    None
}
