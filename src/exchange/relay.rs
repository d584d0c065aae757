//! Forwards a stream of events to the caller and resumes it at another replica if the route allows.

use std::fmt;

use async_stream::stream;
use bytes::{Bytes, BytesMut};
use compact_str::ToCompactString;
use futures::StreamExt;
use http::HeaderMap;
use slog::info;
use tokio::time::Instant;

use super::answer_buffer::discard_body;
use super::catalog::RouteKind;
use super::chosen_replica::ChosenReplica;
use super::event_ids::EventIds;
use super::events::{EventBatch, EventSplitter, StreamQuota, StreamTooLong};
use super::request::{AnswerBody, BodyEnd, BodyPart, BodyStream, BrokenBody, ReplicaAnswer};
use super::retries::NotResumed;
use super::run::{AnsweredTry, Run};
use super::silence::{hand_over, Handover, Silence};

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

    /// Reads the next bytes, and returns the events that they complete, or `None` at the end. Safe
    /// to cancel.
    ///
    /// # Errors
    ///
    /// Fails when the body breaks off or exceeds its quota.
    pub(super) async fn next_batch(&mut self) -> Result<Option<EventBatch>, SegmentEnd> {
        match self.body.next().await.map_err(SegmentEnd::Broken)? {
            BodyPart::Data(chunk) => {
                let batch = self.splitter.push(&chunk).map_err(SegmentEnd::TooLong)?;
                Ok(Some(batch))
            }
            BodyPart::End(end) => {
                self.end = Some(end);
                Ok(None)
            }
        }
    }

    /// Returns where the stream stands.
    pub(super) const fn position(&self) -> StreamPosition {
        StreamPosition {
            status: self.status,
            ids: self.splitter.ids(),
            quota: self.splitter.quota(),
        }
    }

    /// Closes the connection to the replica, if its answer has not ended.
    pub(super) fn close(&mut self) {
        self.body = AnswerBody::new(futures::stream::pending().boxed(), BodyEnd::Stated);
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

/// Where a stream stands, for another replica to go on.
#[derive(Clone, Copy, Debug)]
pub(super) struct StreamPosition {
    status: u16,
    ids: EventIds,
    quota: StreamQuota,
}

/// How the segment of a stream that one replica generated has ended.
#[derive(Debug)]
pub(super) enum SegmentEnd {
    Complete(BodyEnd),
    Broken(BrokenBody),
    Moved(Box<OpenStream>),
    /// The stream left a silent replica for one that did not go on.
    Lost,
    TimedOut,
    TooLong(StreamTooLong),
}

/// Returns the chunks for the caller. An error means that the stream ended prematurely.
pub(super) fn relay_stream(mut run: Run, open_stream: OpenStream) -> BodyStream {
    let chunks = stream! {
        let mut open_stream = open_stream;
        if !is_event_stream(&open_stream.headers) {
            run.spend_whole_output();
        }
        loop {
            let first_bytes = std::mem::take(&mut open_stream.first_bytes);
            run.spend_events(open_stream.first_events);
            if !first_bytes.is_empty() {
                yield Ok(first_bytes);
            }
            let mut silence = Silence::new(&run);
            let end = loop {
                match next_events(&mut run, &mut open_stream, &mut silence).await {
                    Ok(bytes) if bytes.is_empty() => {}
                    Ok(bytes) => yield Ok(bytes),
                    Err(end) => break end,
                }
            };
            if matches!(end, SegmentEnd::Complete(_)) {
                let remainder = open_stream.splitter.take_remainder();
                if !remainder.is_empty() {
                    yield Ok(remainder);
                }
            }
            match end_segment(&mut run, open_stream, end).await {
                Ok(Some(resumed)) => open_stream = resumed,
                Ok(None) => return,
                Err(error) => {
                    yield Err(error);
                    return;
                }
            }
        }
    };
    chunks.boxed()
}

/// Waits for the next bytes to forward, while the stream is at one replica.
///
/// # Errors
///
/// Returns how that has ended.
async fn next_events(
    run: &mut Run,
    open_stream: &mut OpenStream,
    silence: &mut Silence,
) -> Result<Bytes, SegmentEnd> {
    if let Some(end) = open_stream.end {
        open_stream.check_event_end().map_err(SegmentEnd::Broken)?;
        if let Some(chosen) = &open_stream.chosen {
            run.check_end(end, chosen)
                .await
                .map_err(SegmentEnd::Broken)?;
        }
        return Err(SegmentEnd::Complete(end));
    }
    let read_deadline = run.deadline.min(silence.next_request());
    let batch = match tokio::time::timeout_at(read_deadline, open_stream.next_batch()).await {
        Ok(batch) => batch?,
        Err(_) if Instant::now() >= run.deadline => return Err(SegmentEnd::TimedOut),
        Err(_) => match hand_over(run, open_stream, silence).await {
            Handover::WentOn(batch) => batch?,
            Handover::Kept => None,
            Handover::Moved(successor) => return Err(SegmentEnd::Moved(successor)),
            Handover::Lost(_) => return Err(SegmentEnd::Lost),
        },
    };
    let batch = batch.unwrap_or_default();
    run.spend_events(batch.count);
    // Bytes that complete no event do not end a silence.
    if batch.count > 0 {
        silence.record_event();
    }
    Ok(batch.bytes)
}

/// Records how the stream ended at one replica, and resumes it elsewhere if it broke off. Returns
/// `None` if it is complete.
///
/// # Errors
///
/// Fails if the stream ends prematurely.
async fn end_segment(
    run: &mut Run,
    mut open_stream: OpenStream,
    end: SegmentEnd,
) -> Result<Option<OpenStream>, BrokenBody> {
    let position = open_stream.position();
    let chosen = open_stream.chosen.take();
    // Closes the connection before the stream is resumed at another replica.
    drop(open_stream);
    let replica = chosen
        .as_ref()
        .map_or("", |chosen| chosen.replica.id.as_str());
    match end {
        SegmentEnd::Complete(body_end) => {
            if let Some(chosen) = &chosen {
                chosen.record_success();
            }
            run.record_whole_stream(position.status, replica, body_end);
            Ok(None)
        }
        SegmentEnd::TimedOut => {
            run.record
                .add_try(replica, "route's time over in mid-stream");
            run.record.set_outcome("stream_timed_out");
            Err(timed_out_error())
        }
        SegmentEnd::TooLong(error) => {
            run.record.add_try(replica, error);
            run.record.set_outcome("stream_too_long");
            if let Some(chosen) = &chosen {
                chosen.record_failure();
            }
            Err(too_long_error(error))
        }
        SegmentEnd::Moved(successor) => {
            if let Some(chosen) = &chosen {
                run.record_left(chosen);
            }
            Ok(Some(*successor))
        }
        SegmentEnd::Lost => {
            if let Some(chosen) = &chosen {
                run.record_left(chosen);
            }
            run.record.set_outcome("stream_broken");
            Err(silent_error())
        }
        SegmentEnd::Broken(error) => {
            if let Some(chosen) = &chosen {
                run.record_broken(chosen, &error).await;
            }
            let resumed = resume_broken(run, position, &error).await;
            resumed.map(Some).ok_or(error)
        }
    }
}

fn silent_error() -> BrokenBody {
    BrokenBody {
        reason: "the replica fell silent".into(),
        is_connection_lost: false,
    }
}

/// Resumes a stream that broke off, and records what came of it.
async fn resume_broken(
    run: &mut Run,
    position: StreamPosition,
    cause: &BrokenBody,
) -> Option<OpenStream> {
    match resume(run, position).await {
        Ok(resumed) => {
            run.exchange.metrics.count_stream_left("resumed");
            run.record.count_stream_resume("resumed");
            Some(resumed)
        }
        Err(error) => {
            info!(run.exchange.log, "stream cut";
                "request" => run.request.attempt.as_str(), "cause" => cause.reason.as_str(),
                "not_resumed" => error.to_string());
            run.exchange.metrics.count_stream_left("cut");
            run.record.set_outcome("stream_broken");
            None
        }
    }
}

/// Resumes a stream at another replica.
///
/// # Errors
///
/// Returns the reason if that is not allowed or fails.
pub(super) async fn resume(
    run: &mut Run,
    position: StreamPosition,
) -> Result<OpenStream, NotResumed> {
    if run.route.kind != RouteKind::ResumableStream {
        return Err(NotResumed::NotResumable);
    }
    let last_id = position.ids.last().ok_or(NotResumed::NoEventId)?;
    loop {
        let point = run
            .resume_point(last_id)
            .ok_or(NotResumed::VersionUnavailable)?;
        run.take_retry()?;
        let answered = run.next_answer(Some(&point)).await;
        let AnsweredTry { answer, mut chosen } =
            answered.map_err(|rejection| NotResumed::Rejected(rejection.kind))?;
        if answer.status != position.status {
            chosen.record_failure();
            run.record
                .add_try(chosen.replica.id.as_str(), answer.status);
            discard_body(answer.body).await;
            continue;
        }
        let mut open_stream = OpenStream::new(answer, Some(position.ids), position.quota);
        let first_event = tokio::time::timeout_at(run.deadline, open_stream.read_first_event())
            .await
            .map_err(|_| NotResumed::NoEventInTime)?;
        if let Err(error) = first_event {
            run.record_broken(&chosen, &error).await;
            continue;
        }
        if !run.may_forward(&open_stream, &chosen, Some(&point)) {
            continue;
        }
        if open_stream.has_events() {
            run.record_first_token(&mut chosen);
        }
        open_stream.chosen = Some(chosen);
        return Ok(open_stream);
    }
}
