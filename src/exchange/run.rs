//! Runs one admitted request: sends it to replicas until one gives a usable answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rand::RngExt;
use slog::info;
use tokio::time::error::Elapsed;
use tokio::time::Instant;

use super::answer_buffer::{self, discard_body};
use super::catalog::{Route, RouteKind, Team};
use super::chosen_replica::ChosenReplica;
use super::dispatch_progress::DispatchProgress;
use super::engine::Exchange;
use super::event_ids::EventIds;
use super::events::StreamQuota;
use super::grants::Reservation;
use super::record::RequestRecord;
use super::request::{
    AnswerBody, BodyEnd, BrokenBody, Dispatch, DispatchError, ExchangeRequest, RejectKind,
    Rejection, ReplicaAnswer, Reply, ReplyBody, ResumePoint, StatedLimit, UnsentCause,
};
use crate::core::ids::{PoolId, ReplicaId};
use crate::core::part_quarantine::PartId;
use crate::core::placement::PromptInfo;
use crate::core::quarantine::Fingerprint;
use crate::core::stream_origin::StreamOrigin;
use crate::core::units::Tokens;
use crate::util::millis;

/// Tries that may fail without the request being sent, before it is rejected; refused connections
/// not counted.
const MAX_UNSENT_TRIES: u32 = 4;
/// Connections that may be refused before a request is rejected. That takes milliseconds, and
/// servers that have just ended are not known to be down yet.
const MAX_REFUSED_TRIES: u32 = 16;
/// Smallest `Retry-After` when all replicas are full.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(400);
/// Jitter added to `OVERLOAD_RETRY_AFTER`, in milliseconds, so that callers do not retry at the
/// same time.
const OVERLOAD_JITTER_MS: u64 = 800;
/// Minimum time before the deadline that makes another try worthwhile.
pub(super) const MIN_TIME_LEFT: Duration = Duration::from_millis(5);

/// State of an admitted request.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) exchange: Arc<Exchange>,
    pub(super) request: ExchangeRequest,
    pub(super) route: Arc<Route>,
    pub(super) pool: PoolId,
    pub(super) deadline: Instant,
    pub(super) record: RequestRecord,
    pub(super) reservation: Option<Reservation>,
    pub(super) team: Option<Arc<Team>>,
    pub(super) prompt: Option<PromptInfo>,
    pub(super) rank: u8,
    pub(super) fingerprint: Fingerprint,
    /// Parts of the prompt, without the last, which no other request shares.
    pub(super) parts: Arc<[PartId]>,
    pub(super) has_first_token: bool,
    /// Where the stream goes on that the caller takes up, if it does.
    pub(super) resume: Option<ResumePoint>,
    /// What began the stream in this run, once its first event was received.
    pub(super) origin: Option<StreamOrigin>,
    pub(super) tried_replicas: Vec<ReplicaId>,
    pub(super) sent_count: u32,
    pub(super) unsent_count: u32,
    pub(super) refused_count: u32,
    pub(super) may_have_run: bool,
    pub(super) output_tokens: Tokens,
    pub(super) progress: DispatchProgress,
}

/// An answer with its replica. The load of the request is counted there until this is dropped.
#[derive(Debug)]
pub(super) struct AnsweredTry {
    pub(super) answer: ReplicaAnswer,
    pub(super) chosen: ChosenReplica,
}

type TimedSendResult = Result<Result<ReplicaAnswer, DispatchError>, Elapsed>;

pub(super) fn overload_retry_after() -> Duration {
    let jitter_ms = rand::rng().random_range(0..OVERLOAD_JITTER_MS);
    OVERLOAD_RETRY_AFTER + Duration::from_millis(jitter_ms)
}

impl Run {
    /// Serves the request until the answer is complete, or until the first event of a stream.
    pub(super) async fn serve(mut self) -> Reply {
        self.exchange.pools.record_request(&self.pool);
        let served = if self.route.kind.is_stream() {
            self.serve_stream().await
        } else {
            self.serve_buffered().await
        };
        match served {
            Ok(ServedAnswer::Buffered {
                status,
                headers,
                body,
            }) => {
                self.record.status = status;
                self.record.set_outcome("answered");
                Reply::Answer {
                    status,
                    headers,
                    body: ReplyBody::Buffered(body),
                }
            }
            Ok(ServedAnswer::Stream(open_stream)) => {
                let (status, headers) = (open_stream.status, open_stream.headers.clone());
                self.record.status = status;
                Reply::Answer {
                    status,
                    headers,
                    body: ReplyBody::Streamed(super::relay::relay_stream(self, *open_stream)),
                }
            }
            Err(rejection) => {
                self.record.set_rejected(rejection.kind);
                Reply::Rejected(rejection)
            }
        }
    }

    /// Sends the request to replicas until one gives a complete answer.
    async fn serve_buffered(&mut self) -> Result<ServedAnswer, Rejection> {
        loop {
            let AnsweredTry { mut answer, chosen } = self.next_answer(None).await?;
            let body = self.read_body(&mut answer.body, &chosen);
            match tokio::time::timeout_at(self.deadline, body).await {
                Ok(Ok(body)) => {
                    if answer.status >= 500 && self.route.kind == RouteKind::Idempotent {
                        chosen.record_failure();
                        self.record
                            .add_try(chosen.replica.id.as_str(), answer.status);
                        if self.take_retry().is_ok() {
                            continue;
                        }
                    } else {
                        chosen.record_success();
                        self.record_completion(answer.status);
                        self.record
                            .add_try(chosen.replica.id.as_str(), answer.status);
                    }
                    if (200..300).contains(&answer.status) {
                        self.spend_whole_output();
                    }
                    return Ok(ServedAnswer::Buffered {
                        status: answer.status,
                        headers: answer.headers,
                        body,
                    });
                }
                Ok(Err(error)) => {
                    self.record_broken(&chosen, &error).await;
                    if !self.route.kind.may_retry() || self.take_retry().is_err() {
                        return Err(Rejection::new(RejectKind::AnswerLost));
                    }
                }
                Err(_) => return Err(Rejection::new(RejectKind::TimedOut)),
            }
        }
    }

    /// Sends the request to replicas until the first event of a stream is received.
    async fn serve_stream(&mut self) -> Result<ServedAnswer, Rejection> {
        let resume = self.resume.clone();
        loop {
            let AnsweredTry {
                mut answer,
                mut chosen,
            } = self.next_answer(resume.as_ref()).await?;
            if !(200..300).contains(&answer.status) {
                let body = self.read_body(&mut answer.body, &chosen);
                let body = tokio::time::timeout_at(self.deadline, body).await;
                chosen.record_failure();
                self.record
                    .add_try(chosen.replica.id.as_str(), answer.status);
                let body = body
                    .map_err(|_| Rejection::new(RejectKind::TimedOut))?
                    .map_err(|_| Rejection::new(RejectKind::AnswerLost))?;
                return Ok(ServedAnswer::Buffered {
                    status: answer.status,
                    headers: answer.headers,
                    body,
                });
            }
            let output_tokens = self.request.tokens.map(|bound| bound.max_output_tokens);
            let quota = StreamQuota::new(output_tokens);
            let ids_before = resume
                .as_ref()
                .map(|resume| EventIds::ending_with(resume.last_event_id));
            let mut open_stream = super::relay::OpenStream::new(answer, ids_before, quota);
            match tokio::time::timeout_at(self.deadline, open_stream.read_first_event()).await {
                Ok(Ok(())) if !self.may_forward(&open_stream, &chosen, resume.as_ref()) => {
                    if self.take_retry().is_err() {
                        return Err(Rejection::new(RejectKind::AnswerLost));
                    }
                }
                Ok(Ok(())) => {
                    if open_stream.has_events() {
                        self.record_first_token(&mut chosen);
                        self.record_origin(&chosen);
                    }
                    open_stream.chosen = Some(chosen);
                    return Ok(ServedAnswer::Stream(Box::new(open_stream)));
                }
                Ok(Err(error)) => {
                    self.record_broken(&chosen, &error).await;
                    if !self.route.kind.may_retry() || self.take_retry().is_err() {
                        return Err(Rejection::new(RejectKind::AnswerLost));
                    }
                }
                Err(_) => {
                    self.record
                        .add_try(chosen.replica.id.as_str(), "no event in time");
                    return Err(Rejection::new(RejectKind::TimedOut));
                }
            }
        }
    }

    /// Sends the request to one replica after another until the head of an answer is received
    /// that does not state that the request was not run.
    ///
    /// # Errors
    ///
    /// Returns a rejection when no further try is allowed or the deadline has passed.
    pub(super) async fn next_answer(
        &mut self,
        resume: Option<&ResumePoint>,
    ) -> Result<AnsweredTry, Rejection> {
        loop {
            if let Some(remaining) = self.exchange.suspects.quarantined_for(self.fingerprint) {
                return Err(self.quarantine_rejection(remaining));
            }
            if let Some((part, remaining)) = self.exchange.quarantined_part(&self.parts) {
                self.record.quarantined_part = Some(part);
                return Err(self.quarantine_rejection(remaining));
            }
            let chosen = self.choose_replica(resume).await?;
            self.tried_replicas.push(chosen.replica.id.clone());
            let time_left = self.deadline.saturating_duration_since(Instant::now());
            if time_left < MIN_TIME_LEFT {
                return Err(self.timeout_rejection());
            }
            let transport = Arc::clone(&self.exchange.transport);
            self.spend_prompt();
            let dispatch = Dispatch {
                request: &self.request,
                replica: &chosen.replica,
                connections: chosen.connections,
                time_left,
                team: self.team.as_ref().map(|team| team.name.as_str()),
                rank: self.rank,
                resume,
                runs_once: !self.route.kind.may_retry(),
                progress: &self.progress,
            };
            let sent = tokio::time::timeout_at(self.deadline, transport.send(dispatch)).await;
            if has_not_run(&sent) {
                self.progress.reset();
            }
            let replica = chosen.replica.id.as_str();
            self.apply_status(&chosen, &sent);
            match sent {
                Ok(Ok(answer)) if answer.is_not_run || answer.is_misdirected => {
                    self.sent_count += 1;
                    self.revert_prompt_spend();
                    self.record
                        .add_try(replica, format_args!("{} not run", answer.status));
                    if answer.is_misdirected {
                        chosen.record_unreachable();
                    }
                    discard_body(answer.body).await;
                    if self.take_retry().is_err() {
                        return Err(self.refused_rejection());
                    }
                }
                Ok(Ok(answer)) => {
                    self.sent_count += 1;
                    self.may_have_run = true;
                    self.record.via = answer.via;
                    return Ok(AnsweredTry { answer, chosen });
                }
                Ok(Err(error @ DispatchError::NotSent { cause, .. })) => {
                    self.revert_prompt_spend();
                    self.record.add_try(replica, &error);
                    match cause {
                        UnsentCause::Refused => chosen.record_refused(),
                        UnsentCause::Unreachable => chosen.record_failure(),
                        UnsentCause::ConnectionClosed
                        | UnsentCause::NoConnectionLeft
                        | UnsentCause::BadRequest => {}
                    }
                    let (count, limit) = if cause == UnsentCause::Refused {
                        (&mut self.refused_count, MAX_REFUSED_TRIES)
                    } else {
                        (&mut self.unsent_count, MAX_UNSENT_TRIES)
                    };
                    *count += 1;
                    if *count > limit {
                        return Err(self.refused_rejection());
                    }
                }
                Ok(Err(
                    ref error @ DispatchError::Unknown {
                        is_connection_lost, ..
                    },
                )) => {
                    self.sent_count += 1;
                    self.may_have_run = true;
                    chosen.record_failure();
                    self.record.add_try(replica, error);
                    if is_connection_lost {
                        self.investigate_lost_connection(&chosen).await;
                    }
                    if !self.route.kind.may_retry() || self.take_retry().is_err() {
                        return Err(Rejection::new(RejectKind::AnswerLost));
                    }
                }
                Err(_) => {
                    self.may_have_run = true;
                    self.record.add_try(replica, "no answer in time");
                    return Err(Rejection::new(RejectKind::TimedOut));
                }
            }
        }
    }

    /// Applies the status that the replica reported, whatever the result of the request.
    fn apply_status(&self, chosen: &ChosenReplica, sent: &TimedSendResult) {
        let replica_status = match sent {
            Ok(Ok(answer)) => &answer.replica_status,
            Ok(Err(DispatchError::Unknown { replica_status, .. })) => replica_status,
            _ => return,
        };
        let replica = chosen.replica.id.as_str();
        let request = self.request.attempt.as_str();
        let limits = self.exchange.pools.limits();
        let changed = limits.record_answer(chosen.key, replica, &replica_status.limit, request);
        if let Some(report) = changed {
            self.exchange.permits.report_change(report);
        }
        if replica_status.limit != StatedLimit::Unknown {
            let brittleness = self.exchange.pools.brittleness();
            brittleness.record_answer(&self.pool, replica_status.max_rejections, request);
        }
        let is_rejected = matches!(sent, Ok(Ok(answer)) if answer.is_not_run);
        if is_rejected && replica_status.max_rejections.is_some() {
            self.exchange.permits.report_rejection(chosen.key);
        }
        if !replica_status.is_leaving && replica_status.backoff.is_none() {
            return;
        }
        let change = chosen.apply_status(replica_status);
        let log = &self.exchange.log;
        if change.is_leaving {
            info!(log, "replica is leaving, reported in an answer"; "replica" => replica,
                "request" => request);
        }
        if change.is_new_backoff {
            info!(log, "replica requested a back-off"; "replica" => replica,
                "request" => request, "quiet_ms" => replica_status.backoff.map(millis));
        }
    }

    /// Reads a body into memory until its end.
    ///
    /// # Errors
    ///
    /// Fails when the body breaks off, is too long, or there is no memory left for it.
    async fn read_body(
        &self,
        body: &mut AnswerBody,
        chosen: &ChosenReplica,
    ) -> Result<Bytes, BrokenBody> {
        let (bytes, end) = answer_buffer::read_body(&self.exchange.body_memory, body).await?;
        self.check_end(end, chosen).await?;
        Ok(bytes)
    }

    /// Records that the request ran to completion. Only success counts: a failure status may come
    /// from a server that did not run it.
    pub(super) fn record_completion(&self, status: u16) {
        if (200..300).contains(&status) {
            self.exchange.suspects.record_completion(self.fingerprint);
        }
    }

    /// Records that a stream was forwarded whole.
    pub(super) fn record_whole_stream(&mut self, status: u16, replica: &str, end: BodyEnd) {
        self.record_completion(status);
        self.record.add_try(replica, format_args!("whole, {end}"));
        self.record.set_outcome("answered");
    }

    fn quarantine_rejection(&self, remaining: Duration) -> Rejection {
        if self.may_have_run {
            return Rejection::new(RejectKind::AnswerLost);
        }
        Rejection::new(RejectKind::Quarantined).with_retry_after(remaining)
    }

    fn refused_rejection(&self) -> Rejection {
        if self.may_have_run {
            return Rejection::new(RejectKind::AnswerLost);
        }
        Rejection::new(RejectKind::ReplicasRefused).with_retry_after(overload_retry_after())
    }

    fn timeout_rejection(&self) -> Rejection {
        if self.may_have_run {
            return Rejection::new(RejectKind::TimedOut);
        }
        Rejection::new(RejectKind::TimedOutUnsent).with_retry_after(OVERLOAD_RETRY_AFTER)
    }

    /// Counts the prompt as spent, since the request may run from now on.
    fn spend_prompt(&mut self) {
        let prompt_tokens = self.request.tokens.map(|bound| bound.prompt_tokens);
        self.set_spent(prompt_tokens.unwrap_or_default() + self.output_tokens);
    }

    fn revert_prompt_spend(&mut self) {
        if !self.may_have_run {
            self.set_spent(Tokens::ZERO);
        }
    }

    /// Counts the tokens of forwarded events as spent.
    pub(super) fn spend_events(&mut self, events: u64) {
        self.record.add_events(events);
        let Some(bound) = self.request.tokens else {
            return;
        };
        let event_tokens = self.exchange.pools.event_tokens(&self.pool);
        self.output_tokens += Tokens::new(events.saturating_mul(event_tokens));
        self.output_tokens = self.output_tokens.min(bound.max_output_tokens);
        self.set_spent(bound.prompt_tokens + self.output_tokens);
    }

    /// Counts all output that the request may have as spent. An answer that is no stream of events
    /// does not tell how much it holds.
    pub(super) fn spend_whole_output(&mut self) {
        let Some(bound) = self.request.tokens else {
            return;
        };
        self.output_tokens = bound.max_output_tokens;
        self.set_spent(bound.total_tokens());
    }

    fn set_spent(&mut self, tokens: Tokens) {
        if let Some(reservation) = &mut self.reservation {
            reservation.set_spent(tokens);
            self.record.spent_tokens = tokens.get();
        }
    }
}

/// The answer for the caller.
enum ServedAnswer {
    Buffered {
        status: u16,
        headers: http::HeaderMap,
        body: Bytes,
    },
    Stream(Box<super::relay::OpenStream>),
}

/// Returns true if it is certain that the replica did not run the request.
const fn has_not_run(sent: &TimedSendResult) -> bool {
    match sent {
        Ok(Ok(answer)) => answer.is_not_run || answer.is_misdirected,
        Ok(Err(DispatchError::NotSent { .. })) => true,
        Ok(Err(DispatchError::Unknown { .. })) | Err(_) => false,
    }
}
