//! Forwards a stream of events to the caller and resumes it at another replica if the route allows.

use std::fmt;
use std::time::Duration;

use async_stream::stream;
use bytes::{Bytes, BytesMut};
use compact_str::ToCompactString;
use futures::StreamExt;
use http::HeaderMap;
use tokio::time::Instant;

use super::catalog::RouteKind;
use super::chosen_replica::ChosenReplica;
use super::event_ids::EventIds;
use super::events::{EventSplitter, StreamQuota, StreamTooLong};
use super::request::{AnswerBody, BodyEnd, BodyPart, BodyStream, BrokenBody, ReplicaAnswer};
use super::run::{discard_body, AnsweredTry, Run};

/// Minimum time without an event after which a resumable stream is resumed elsewhere.
const MIN_STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Stall timeout as a multiple of the route's longest allowed pause between two events.
const STALL_TIMEOUT_PAUSES: u32 = 4;

/// Content type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";

/// A stream from one replica, after its first event or its end was received.
pub(super) struct OpenStream {
    pub(super) status: u16,
    pub(super) headers: HeaderMap,
    pub(super) chosen: Option<ChosenReplica>,
    body: AnswerBody,
    splitter: EventSplitter,
    /// Ids of the events before, if the stream is resumed.
    ids_before: Option<EventIds>,
    first_bytes: Bytes,
    first_events: u64,
    end: Option<BodyEnd>,
}

impl fmt::Debug for OpenStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OpenStream")
            .field("status", &self.status)
            .finish_non_exhaustive()
    }
}

impl OpenStream {
    /// Creates a stream; `ids_before` are those of the events that it resumes after, if any.
    pub(super) fn new(
        answer: ReplicaAnswer,
        ids_before: Option<EventIds>,
        quota: StreamQuota,
    ) -> Self {
        Self {
            status: answer.status,
            headers: answer.headers,
            chosen: None,
            body: answer.body,
            splitter: EventSplitter::new(ids_before.unwrap_or_default(), quota),
            ids_before,
            first_bytes: Bytes::new(),
            first_events: 0,
            end: None,
        }
    }

    /// Reads until the first complete event or the end of the stream.
    ///
    /// # Errors
    ///
    /// Fails when the body breaks off or exceeds its quota, or does not continue the stream that it
    /// should.
    pub(super) async fn read_first_event(&mut self) -> Result<(), BrokenBody> {
        if self.ids_before.is_some() && !is_event_stream(&self.headers) {
            return Err(not_continued_error("no stream of events"));
        }
        let mut first_bytes = BytesMut::new();
        let mut first_id = None;
        while self.first_events == 0 && self.end.is_none() {
            match self.body.next().await? {
                BodyPart::Data(chunk) => {
                    let batch = self.splitter.push(&chunk).map_err(too_long_error)?;
                    first_bytes.extend_from_slice(&batch.bytes);
                    self.first_events = batch.count;
                    first_id = batch.first_id;
                }
                BodyPart::End(end) => self.end = Some(end),
            }
        }
        self.first_bytes = first_bytes.freeze();
        if self.first_events == 0 {
            self.check_event_end()?;
        }
        self.check_continuation(first_id)
    }

    /// Checks that a resumed stream begins where the events before it ended. A stream without
    /// events must state its end and have nothing else either.
    fn check_continuation(&self, first_id: Option<u64>) -> Result<(), BrokenBody> {
        let Some(ids_before) = self.ids_before else {
            return Ok(());
        };
        let is_empty = !self.has_events();
        if is_empty && (self.end != Some(BodyEnd::Stated) || self.splitter.is_inside_event()) {
            return Err(not_continued_error("no event and no stated end"));
        }
        if !is_empty && !ids_before.is_continued_by(first_id) {
            return Err(not_continued_error("the first event is not the next one"));
        }
        Ok(())
    }

    /// Returns true if an event was received.
    pub(super) const fn has_events(&self) -> bool {
        self.first_events > 0
    }

    /// Checks that a stream did not end inside an event, unless the server stated that end.
    fn check_event_end(&self) -> Result<(), BrokenBody> {
        if self.end == Some(BodyEnd::ConnectionClosed) && self.splitter.is_inside_event() {
            return Err(BrokenBody {
                reason: "the connection was closed inside an event".into(),
                is_connection_lost: true,
            });
        }
        Ok(())
    }
}

fn too_long_error(error: StreamTooLong) -> BrokenBody {
    BrokenBody {
        reason: error.to_compact_string(),
        is_connection_lost: false,
    }
}

fn not_continued_error(reason: &str) -> BrokenBody {
    BrokenBody {
        reason: reason.into(),
        is_connection_lost: false,
    }
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get("content-type");
    let content_type = content_type.and_then(|content_type| content_type.to_str().ok());
    content_type.is_some_and(|content_type| {
        let essence = content_type.split(';').next().unwrap_or_default();
        essence.trim().eq_ignore_ascii_case(EVENT_STREAM)
    })
}

fn timed_out_error() -> BrokenBody {
    BrokenBody {
        reason: "the route's time is over".into(),
        is_connection_lost: false,
    }
}

/// How the segment of a stream that one replica generated has ended.
enum SegmentEnd {
    Complete(BodyEnd),
    Broken(BrokenBody),
    Stalled,
    TimedOut,
    TooLong(StreamTooLong),
}

/// Returns the chunks for the caller. An error means that the stream ended prematurely.
pub(super) fn relay_stream(mut run: Run, open_stream: OpenStream) -> BodyStream {
    let chunks = stream! {
        let mut open_stream = open_stream;
        loop {
            let first_bytes = std::mem::take(&mut open_stream.first_bytes);
            run.spend_events(open_stream.first_events);
            if !first_bytes.is_empty() {
                yield Ok(first_bytes);
            }
            let stall_timeout = stall_timeout(&run);
            // Bytes that complete no event do not reset the timeout.
            let mut last_event = Instant::now();
            let end = loop {
                if let Some(end) = open_stream.end {
                    if let Err(error) = open_stream.check_event_end() {
                        break SegmentEnd::Broken(error);
                    }
                    if let Some(chosen) = &open_stream.chosen {
                        if let Err(error) = run.check_end(end, chosen).await {
                            break SegmentEnd::Broken(error);
                        }
                    }
                    break SegmentEnd::Complete(end);
                }
                let read_deadline = run.deadline.min(last_event + stall_timeout);
                let chunk = match tokio::time::timeout_at(read_deadline, open_stream.body.next())
                    .await
                {
                    Ok(Ok(BodyPart::Data(chunk))) => chunk,
                    Ok(Ok(BodyPart::End(end))) => {
                        open_stream.end = Some(end);
                        continue;
                    }
                    Ok(Err(error)) => break SegmentEnd::Broken(error),
                    Err(_) if Instant::now() >= run.deadline => break SegmentEnd::TimedOut,
                    Err(_) => break SegmentEnd::Stalled,
                };
                let batch = match open_stream.splitter.push(&chunk) {
                    Ok(batch) => batch,
                    Err(error) => break SegmentEnd::TooLong(error),
                };
                run.spend_events(batch.count);
                if batch.count > 0 {
                    last_event = Instant::now();
                }
                if !batch.bytes.is_empty() {
                    yield Ok(batch.bytes);
                }
            };
            let replica = open_stream.chosen.as_ref().map(|chosen| chosen.replica.id.clone());
            let replica = replica.as_ref().map_or("", |id| id.as_str());
            let reason = match end {
                SegmentEnd::Complete(body_end) => {
                    let remainder = open_stream.splitter.take_remainder();
                    if !remainder.is_empty() {
                        yield Ok(remainder);
                    }
                    if let Some(chosen) = &open_stream.chosen {
                        chosen.record_success();
                    }
                    run.record_whole_stream(open_stream.status, replica, body_end);
                    return;
                }
                SegmentEnd::TimedOut => {
                    run.record.add_try(replica, "route's time over in mid-stream");
                    run.record.set_outcome("stream_timed_out");
                    yield Err(timed_out_error());
                    return;
                }
                SegmentEnd::TooLong(error) => {
                    run.record.add_try(replica, error);
                    run.record.set_outcome("stream_too_long");
                    if let Some(chosen) = &open_stream.chosen {
                        chosen.record_failure();
                    }
                    yield Err(too_long_error(error));
                    return;
                }
                SegmentEnd::Broken(error) => error,
                SegmentEnd::Stalled => BrokenBody {
                    reason: "the replica fell silent".into(),
                    is_connection_lost: true,
                },
            };
            let (status, ids) = (open_stream.status, open_stream.splitter.ids());
            let quota = open_stream.splitter.quota();
            let chosen = open_stream.chosen.take();
            // Closes the connection before the stream is resumed at another replica.
            drop(open_stream);
            if let Some(chosen) = chosen {
                run.record_broken(&chosen, &reason).await;
            }
            let Some(resumed) = resume(&mut run, status, ids, quota).await else {
                run.record.set_outcome("stream_broken");
                yield Err(reason);
                return;
            };
            open_stream = resumed;
        }
    };
    chunks.boxed()
}

/// Returns the longest time without an event. For a stream that cannot be resumed elsewhere it is
/// the route's timeout.
fn stall_timeout(run: &Run) -> Duration {
    if run.route.kind != RouteKind::ResumableStream {
        return run.route.timeout;
    }
    let timeout = run.route.event_gap_target.unwrap_or_default() * STALL_TIMEOUT_PAUSES;
    timeout.max(MIN_STALL_TIMEOUT)
}

/// Resumes a stream at another replica. Returns `None` if that is not allowed or fails.
async fn resume(
    run: &mut Run,
    status: u16,
    ids: EventIds,
    quota: StreamQuota,
) -> Option<OpenStream> {
    if run.route.kind != RouteKind::ResumableStream {
        return None;
    }
    let last_id = ids.last()?;
    while run.take_resume() {
        let AnsweredTry { answer, mut chosen } = run.next_answer(Some(last_id)).await.ok()?;
        if answer.status != status {
            chosen.record_failure();
            run.record
                .add_try(chosen.replica.id.as_str(), answer.status);
            discard_body(answer.body).await;
            continue;
        }
        let mut open_stream = OpenStream::new(answer, Some(ids), quota);
        let first_event = tokio::time::timeout_at(run.deadline, open_stream.read_first_event())
            .await
            .ok()?;
        if let Err(error) = first_event {
            run.record_broken(&chosen, &error).await;
            continue;
        }
        if open_stream.has_events() {
            run.record_first_token(&mut chosen);
        }
        open_stream.chosen = Some(chosen);
        return Some(open_stream);
    }
    None
}
