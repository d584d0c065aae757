//! Chat completions: admission, dispatch with retries, streaming and billing of a request.

use std::sync::Arc;
use std::time::Duration;

use backon::{BackoffBuilder, ExponentialBuilder};
use futures::StreamExt;
use opentelemetry::trace::SpanKind;
use slog::{info, warn};
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::admission::Permit;
use super::caller::Caller;
use super::refusal::{Refusal, RefusalKind, RunState};
use super::replicas::{ChosenReplica, ReplicaQuery};
use super::requests::StoredAnswer;
use super::spending::Reservation;
use super::Router;
use crate::backend::chat::{ChatChunk, ChatCompletion, ChatRequest, ChunkChoice, Usage};
use crate::backend::{BackendError, CallContext, ChunkStream};
use crate::catalog::Account;
use crate::core::bill::RunEnd;
use crate::core::fair_queue::QueueKey;
use crate::core::ids::{ModelId, PoolId, ReplicaId, RequestId};
use crate::core::quarantine::{Fingerprint, Suspicion};
use crate::core::routing::PrefixKey;
use crate::core::units::Tokens;
use crate::peer::RequestLookup;
use crate::telemetry::{ActiveSpan, SpanParent};
use crate::util::{lock, stable_hash};

/// Attempts per request, the first included.
const MAX_ATTEMPTS: usize = 4;
/// Delay before the first retry, without jitter.
const RETRY_BASE_DELAY: Duration = Duration::from_millis(20);
/// Upper bound of the delay before a retry.
const RETRY_MAX_DELAY: Duration = Duration::from_millis(500);
/// Capacity of the event channel to a caller.
const EVENT_CHANNEL_CAPACITY: usize = 64;
/// Longest time between two chunks of a stream.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout for asking peers about an earlier run of a request.
const PEER_LOOKUP_TIMEOUT: Duration = Duration::from_millis(50);
/// Runs that started within this time count as simultaneous; the lower holder id takes precedence.
const SIMULTANEOUS_START_MS: u64 = 100;
/// Retry-After for a request that is already running.
const RUNNING_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Retry-After when no replica is in service.
const NO_REPLICA_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Peers asked about an earlier run: the other addresses advertised to the team's callers.
const PEER_LOOKUP_COUNT: usize = 3;

/// An event of an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum ChatEvent {
    /// The next piece of text.
    Chunk(ChatChunk),
    /// The answer is complete and its bill is durable.
    End(Usage),
    /// The answer failed; no further events follow.
    Failed(Refusal),
}

/// How a chat request is answered.
#[derive(Debug)]
pub enum ChatAnswer {
    /// Events of a run in progress.
    Events(mpsc::Receiver<ChatEvent>),
    /// The complete answer of an earlier run.
    Stored(StoredAnswer),
}

/// The outcome of one attempt.
enum AttemptOutcome {
    Completed,
    CallerDisconnected,
    Failed(BackendError),
}

/// The part of an answer received so far.
#[derive(Debug, Default)]
struct PartialAnswer {
    text: String,
    chunks: u64,
    prompt_tokens: u64,
    completion_tokens: u64,
    finish_reason: Option<String>,
    last_chunk: Option<ChatChunk>,
    forwarded: bool,
}

/// A chat request in progress.
struct ChatRun {
    router: Arc<Router>,
    caller: Caller,
    request: ChatRequest,
    pool: PoolId,
    resumes_streams: bool,
    prompt_bound_tokens: Tokens,
    reservation: Reservation,
    fingerprint: Fingerprint,
    prefixes: Vec<PrefixKey>,
    events: mpsc::Sender<ChatEvent>,
    span: ActiveSpan,
    started: Instant,
    _permit: Permit,
}

impl Router {
    /// Starts a chat request, or returns the stored answer of an earlier run.
    ///
    /// # Errors
    ///
    /// Returns a refusal, before any dispatch, when the plan, the budget, the pool's load or
    /// quarantine rules the request out, or when the same request is in progress.
    pub async fn chat(
        self: &Arc<Self>,
        caller: Caller,
        request: ChatRequest,
    ) -> Result<ChatAnswer, Refusal> {
        let team = &caller.account.team.team;
        match self.requests.register(team, &caller.request) {
            RequestLookup::Running { .. } => return Err(running_elsewhere()),
            RequestLookup::Finished(answer) => return Ok(ChatAnswer::Stored(answer)),
            RequestLookup::Unknown => {}
        }
        let result = self.start_chat(caller.clone(), request).await;
        if !matches!(result, Ok(ChatAnswer::Events(_))) {
            self.requests
                .abandon(&caller.account.team.team, &caller.request);
        }
        result
    }

    async fn start_chat(
        self: &Arc<Self>,
        caller: Caller,
        mut request: ChatRequest,
    ) -> Result<ChatAnswer, Refusal> {
        let parent = &caller.parent;
        let mut span = self
            .telemetry
            .start_span("request", SpanKind::Server, parent);
        span.set_attribute("team", caller.account.team.team.to_string());
        span.set_attribute("request", caller.request.to_string());
        let pool = find_pool(&caller.account, &request)?;
        let rules = self.catalog.load().pool(&pool).cloned();
        let rules = rules.ok_or_else(|| no_replica(&pool))?;
        let fingerprint = fingerprint_of(&caller, &request);
        if self.replicas.suspicion(fingerprint) == Suspicion::Quarantined {
            return Err(quarantined(fingerprint));
        }
        let plan = &caller.account.plan;
        let limit_tokens = plan.max_output_tokens.get();
        let output_tokens = request.max_tokens.unwrap_or(limit_tokens).min(limit_tokens);
        request.max_tokens = Some(output_tokens);
        let prompt_bound_tokens = request.prompt_bound_tokens(rules.template_overhead_tokens);
        let needed_tokens = prompt_bound_tokens + Tokens::new(output_tokens);
        let (earlier, reservation) = tokio::join!(
            self.find_earlier_run(&caller),
            self.spender
                .reserve(&caller.budget, needed_tokens, caller.deadline),
        );
        let reservation = reservation?;
        if let Some(found) = earlier {
            self.spender
                .settle(&caller.budget, reservation, Tokens::ZERO);
            return found;
        }
        let queue_key = QueueKey {
            team: caller.account.team.team.clone(),
            priority: plan.priority,
            weight: plan.weight,
        };
        let permit = match self
            .admission
            .acquire(&pool, &queue_key, caller.deadline)
            .await
        {
            Ok(permit) => permit,
            Err(refusal) => {
                self.spender
                    .settle(&caller.budget, reservation, Tokens::ZERO);
                return Err(refusal);
            }
        };
        let (events, receiver) = mpsc::channel(EVENT_CHANNEL_CAPACITY);
        let run = ChatRun {
            router: Arc::clone(self),
            prefixes: prefixes_of(&request),
            resumes_streams: rules.resumes_streams,
            started: Instant::now(),
            caller,
            request,
            pool,
            prompt_bound_tokens,
            reservation,
            fingerprint,
            events,
            span,
            _permit: permit,
        };
        tokio::spawn(run.run());
        Ok(ChatAnswer::Events(receiver))
    }

    /// Asks the routers advertised to the team's callers for an earlier run of the request.
    ///
    /// Returns `None` when this run may go ahead.
    async fn find_earlier_run(&self, caller: &Caller) -> Option<Result<ChatAnswer, Refusal>> {
        match self.find_at_peers(caller).await? {
            RequestLookup::Unknown => None,
            RequestLookup::Running { holder, age_ms } => {
                let is_earlier = age_ms > SIMULTANEOUS_START_MS || holder < self.holder();
                is_earlier.then(|| Err(running_elsewhere()))
            }
            RequestLookup::Finished(answer) => Some(Ok(ChatAnswer::Stored(answer))),
        }
    }

    /// Returns the first answer of a peer that knows the request.
    ///
    /// Requests without a caller-supplied id cannot repeat and are not looked up.
    pub(super) async fn find_at_peers(&self, caller: &Caller) -> Option<RequestLookup> {
        if !caller.has_supplied_id {
            return None;
        }
        let team = &caller.account.team.team;
        let addresses = self.fleet.addresses_for(team, PEER_LOOKUP_COUNT);
        let members = self.fleet.members();
        let targets = members
            .iter()
            .filter(|member| addresses.contains(&member.address));
        let mut calls = futures::stream::FuturesUnordered::new();
        for member in targets {
            let peer = self.external_systems.network.peer(member.peer_address);
            let (team, request) = (team.clone(), caller.request.clone());
            calls.push(async move { peer.find_request(team, request).await });
        }
        let search = async {
            while let Some(answer) = calls.next().await {
                match answer {
                    Ok(RequestLookup::Unknown) | Err(_) => {}
                    Ok(found) => return Some(found),
                }
            }
            None
        };
        tokio::time::timeout(PEER_LOOKUP_TIMEOUT, search)
            .await
            .ok()
            .flatten()
    }
}

fn find_pool(account: &Account, request: &ChatRequest) -> Result<PoolId, Refusal> {
    let not_in_plan = || {
        let message = format!(
            "plan {} has no model {:?}",
            account.plan.plan, request.model
        );
        Refusal::new(RefusalKind::NotInPlan, message)
    };
    let model = ModelId::new(request.model.clone()).map_err(|_| not_in_plan())?;
    account.model_pool(&model).cloned().ok_or_else(not_in_plan)
}

fn fingerprint_of(caller: &Caller, request: &ChatRequest) -> Fingerprint {
    let content = serde_json::to_vec(&request.messages).unwrap_or_default();
    Fingerprint::new(&caller.account.team.team, &content)
}

/// Returns hashes of the conversation's prefixes, longest first: up to the first user message
/// (at most two messages), and the first message alone.
fn prefixes_of(request: &ChatRequest) -> Vec<PrefixKey> {
    let texts: Vec<String> = request
        .messages
        .iter()
        .take(2)
        .map(|m| m.content.to_string())
        .collect();
    let mut prefixes = Vec::new();
    if texts.len() > 1 {
        prefixes.push(stable_hash(&[&request.model, &texts[0], &texts[1]]));
    }
    prefixes.extend(
        texts
            .first()
            .map(|first| stable_hash(&[&request.model, first])),
    );
    prefixes
}

fn running_elsewhere() -> Refusal {
    Refusal::new(RefusalKind::Duplicate, "the same request is in progress")
        .with_run(RunState::RunningElsewhere)
        .with_retry_after(RUNNING_RETRY_AFTER)
}

pub(super) fn no_replica(pool: &PoolId) -> Refusal {
    let message = format!("no replica of pool {pool} is in service");
    Refusal::new(RefusalKind::NoReplica, message).with_retry_after(NO_REPLICA_RETRY_AFTER)
}

pub(super) fn quarantined(fingerprint: Fingerprint) -> Refusal {
    let message = format!("request content {fingerprint} crashed the replicas that ran it");
    Refusal::new(RefusalKind::Quarantined, message)
}

impl PartialAnswer {
    /// Appends a chunk. Engines report cumulative token counts in each chunk; a chunk without one
    /// counts as one token.
    fn add(&mut self, chunk: &ChatChunk) {
        self.text.push_str(&chunk.text());
        self.chunks += 1;
        match &chunk.usage {
            Some(usage) => {
                self.prompt_tokens = usage.prompt_tokens;
                self.completion_tokens = self.completion_tokens.max(usage.completion_tokens);
            }
            None => self.completion_tokens += 1,
        }
        if let Some(reason) = chunk.finish_reason() {
            self.finish_reason = Some(reason.to_string());
        }
    }

    fn clear(&mut self) {
        *self = Self::default();
    }
}

impl ChatRun {
    async fn run(mut self) {
        lock(&self.router.retry_budget).record_request();
        let mut partial = PartialAnswer::default();
        let end = self.run_attempts(&mut partial).await;
        match end {
            Ok(RunEnd::Whole) => self.finish_complete(partial).await,
            Ok(end) => self.finish_partial(&partial, end),
            Err(refusal) => {
                self.finish_partial(&partial, RunEnd::Broken);
                self.span.set_error(refusal.to_string());
                self.router
                    .telemetry
                    .count_request(&refusal.kind.to_string());
                let _ = self.events.send(ChatEvent::Failed(refusal)).await;
            }
        }
    }

    async fn run_attempts(&mut self, partial: &mut PartialAnswer) -> Result<RunEnd, Refusal> {
        let delays = ExponentialBuilder::default()
            .with_min_delay(RETRY_BASE_DELAY)
            .with_max_delay(RETRY_MAX_DELAY)
            .with_max_times(MAX_ATTEMPTS - 1)
            .with_jitter()
            .build();
        let mut delays = delays.into_iter();
        let mut excluded: Vec<ReplicaId> = Vec::new();
        let mut run = RunState::NotRun;
        loop {
            let chosen = self
                .start_attempt(&excluded)
                .await
                .map_err(|refusal| refusal.with_run(run))?;
            let replica = chosen.replica.clone();
            let end = self.run_attempt(&chosen, partial).await;
            self.router.end_attempt(chosen);
            let error = match end {
                AttemptOutcome::Completed => return Ok(RunEnd::Whole),
                AttemptOutcome::CallerDisconnected => return Ok(RunEnd::Cancelled),
                AttemptOutcome::Failed(error) => error,
            };
            info!(self.router.log, "attempt failed"; "request" => self.caller.request.as_str(),
                "replica" => replica.as_str(), "reason" => error.to_string());
            excluded.push(replica);
            if !error.is_not_run() {
                run = RunState::OutcomeUnknown;
            }
            if partial.forwarded {
                let message = format!("answer broke off after {} chunks: {error}", partial.chunks);
                return Err(Refusal::new(RefusalKind::BackendFailed, message)
                    .with_run(RunState::OutcomeUnknown)
                    .with_retry_after(RETRY_BASE_DELAY));
            }
            partial.clear();
            if self.router.replicas.suspicion(self.fingerprint) == Suspicion::Quarantined {
                return Err(quarantined(self.fingerprint).with_run(run));
            }
            let Some(delay) = delays.next().filter(|_| self.may_retry()) else {
                return Err(Refusal::from(error)
                    .with_run(run)
                    .with_retry_after(RETRY_MAX_DELAY));
            };
            self.router.telemetry.count_retry();
            tokio::time::sleep(delay).await;
        }
    }

    fn may_retry(&self) -> bool {
        lock(&self.router.retry_budget).try_retry()
    }

    async fn start_attempt(&self, excluded: &[ReplicaId]) -> Result<ChosenReplica, Refusal> {
        let query = ReplicaQuery {
            pool: &self.pool,
            prefixes: &self.prefixes,
            excluded,
            fingerprint: self.fingerprint,
        };
        self.router
            .start_attempt(&query, self.caller.deadline)
            .await
    }

    async fn run_attempt(
        &mut self,
        chosen: &ChosenReplica,
        partial: &mut PartialAnswer,
    ) -> AttemptOutcome {
        let parent = SpanParent::Span(self.span.context());
        let mut span = self
            .router
            .telemetry
            .start_span("dispatch", SpanKind::Client, &parent);
        span.set_attribute("replica", chosen.replica.to_string());
        let context = CallContext {
            request: self.caller.request.clone(),
            traceparent: span.traceparent(),
            time_left: self
                .caller
                .deadline
                .saturating_duration_since(Instant::now()),
        };
        let engine = Arc::clone(&self.router.external_systems.engine);
        let events = self.events.clone();
        let opened = tokio::select! {
            opened = engine.chat(chosen.address, &self.request, &context) => opened,
            () = events.closed() => return AttemptOutcome::CallerDisconnected,
        };
        let mut end = match opened {
            Ok(stream) => self.forward_stream(stream, partial).await,
            Err(error) => AttemptOutcome::Failed(error),
        };
        let can_resume = self.resumes_streams && partial.chunks > 0;
        if let (AttemptOutcome::Failed(BackendError::Broken { .. }), true) = (&end, can_resume) {
            if let Ok(stream) = engine
                .resume(chosen.address, partial.chunks, &context)
                .await
            {
                self.router.telemetry.count_retry();
                end = self.forward_stream(stream, partial).await;
            }
        }
        match &end {
            AttemptOutcome::Completed => self.router.replicas.record_success(chosen),
            AttemptOutcome::CallerDisconnected => {}
            AttemptOutcome::Failed(error) => {
                span.set_error(error.to_string());
                self.record_failed_attempt(chosen, error).await;
            }
        }
        end
    }

    /// Classifies a failed attempt as a refused connection, a crash or a transient failure.
    async fn record_failed_attempt(&self, chosen: &ChosenReplica, error: &BackendError) {
        let replicas = &self.router.replicas;
        match error {
            BackendError::NotConnected { .. } => replicas.mark_unreachable(&chosen.replica),
            BackendError::Refused { .. } => replicas.record_failure(chosen),
            BackendError::Broken { .. } | BackendError::Mismatched { .. } => {
                let service = &self.router.external_systems.service;
                if service.is_reachable(chosen.address).await {
                    replicas.record_failure(chosen);
                    return;
                }
                warn!(self.router.log, "replica crashed";
                    "replica" => chosen.replica.as_str(),
                    "fingerprint" => self.fingerprint.to_string());
                replicas.record_crash(chosen);
                self.router.send_greetings().await;
            }
        }
    }

    async fn forward_stream(
        &mut self,
        mut stream: ChunkStream,
        partial: &mut PartialAnswer,
    ) -> AttemptOutcome {
        loop {
            let wait = if partial.chunks == 0 {
                self.caller
                    .deadline
                    .saturating_duration_since(Instant::now())
            } else {
                STREAM_IDLE_TIMEOUT
            };
            let next = tokio::select! {
                next = tokio::time::timeout(wait, stream.next()) => next,
                () = self.events.closed() => return AttemptOutcome::CallerDisconnected,
            };
            let chunk = match next {
                Err(_) => return broken_stream("engine is silent"),
                Ok(None) if partial.finish_reason.is_some() => return AttemptOutcome::Completed,
                Ok(None) => return broken_stream("stream ended early"),
                Ok(Some(Err(error))) => return AttemptOutcome::Failed(error),
                Ok(Some(Ok(chunk))) => chunk,
            };
            if let Some(end) = self.forward_chunk(chunk, partial).await {
                return end;
            }
        }
    }

    /// Forwards a chunk. The final chunk is withheld until the bill is durable.
    async fn forward_chunk(
        &mut self,
        chunk: ChatChunk,
        partial: &mut PartialAnswer,
    ) -> Option<AttemptOutcome> {
        if partial.chunks == 0 {
            self.router
                .telemetry
                .record_first_token_latency(self.started.elapsed());
        }
        partial.add(&chunk);
        let is_limit_reached = self.is_limit_reached(partial);
        if is_limit_reached && partial.finish_reason.is_none() {
            partial.finish_reason = Some("length".to_owned());
        }
        if partial.finish_reason.is_some() {
            partial.last_chunk = Some(chunk);
            return is_limit_reached.then_some(AttemptOutcome::Completed);
        }
        if !self.request.stream {
            return None;
        }
        partial.forwarded = true;
        let chunk = ChatChunk {
            usage: None,
            ..chunk
        };
        match self.events.send(ChatEvent::Chunk(chunk)).await {
            Ok(()) => None,
            Err(_) => Some(AttemptOutcome::CallerDisconnected),
        }
    }

    fn is_limit_reached(&self, partial: &PartialAnswer) -> bool {
        let output_tokens = self.reservation.tokens - self.prompt_bound_tokens;
        partial.completion_tokens >= output_tokens.get()
    }

    fn usage(&self, partial: &PartialAnswer) -> Usage {
        let prompt_tokens = partial.prompt_tokens.min(self.prompt_bound_tokens.get());
        let output_tokens = self.reservation.tokens - self.prompt_bound_tokens;
        let completion_tokens = partial.completion_tokens.min(output_tokens.get());
        Usage::new(prompt_tokens, completion_tokens)
    }

    async fn finish_complete(mut self, partial: PartialAnswer) {
        let usage = self.usage(&partial);
        let number = self.charge(usage, RunEnd::Whole);
        self.router.wait_bill_durable(&self.caller, number).await;
        self.store_answer(&partial, usage);
        self.router.telemetry.count_request("whole");
        self.router.telemetry.count_tokens(usage.total_tokens);
        self.span.set_attribute(
            "tokens",
            i64::try_from(usage.total_tokens).unwrap_or(i64::MAX),
        );
        if self.request.stream {
            if let Some(chunk) = self.last_chunk(&partial) {
                let _ = self.events.send(ChatEvent::Chunk(chunk)).await;
            }
        } else {
            let chunk = to_single_chunk(&self.caller.request, &self.request, &partial);
            let _ = self.events.send(ChatEvent::Chunk(chunk)).await;
        }
        let _ = self.events.send(ChatEvent::End(usage)).await;
    }

    fn finish_partial(&self, partial: &PartialAnswer, end: RunEnd) {
        let team = &self.caller.account.team.team;
        let is_served = partial.forwarded || end == RunEnd::Cancelled;
        if is_served && partial.chunks > 0 {
            self.charge(self.usage(partial), end);
        } else {
            self.router
                .spender
                .settle(&self.caller.budget, self.reservation, Tokens::ZERO);
        }
        if end == RunEnd::Cancelled {
            self.router.telemetry.count_request("cancelled");
        }
        self.router.requests.abandon(team, &self.caller.request);
    }

    /// Settles the reservation and queues the bill; returns the bill's number.
    fn charge(&self, usage: Usage, end: RunEnd) -> u64 {
        self.router
            .charge(&self.caller, self.reservation, usage, end)
    }

    fn store_answer(&self, partial: &PartialAnswer, usage: Usage) {
        let completion = ChatCompletion::new(
            self.caller.request.as_str(),
            &self.request.model,
            partial.text.clone(),
            partial.finish_reason.as_deref().unwrap_or("stop"),
            usage,
        );
        let answer = StoredAnswer {
            status: 200,
            content_type: Some("application/json".into()),
            body: serde_json::to_vec(&completion).unwrap_or_default(),
        };
        self.router
            .requests
            .finish(&self.caller.account.team.team, &self.caller.request, answer);
    }

    fn last_chunk(&self, partial: &PartialAnswer) -> Option<ChatChunk> {
        let mut chunk = partial.last_chunk.clone()?;
        chunk.usage = None;
        chunk.model.clone_from(&self.request.model);
        for choice in &mut chunk.choices {
            choice.finish_reason = partial.finish_reason.as_deref().map(Into::into);
        }
        Some(chunk)
    }
}

fn broken_stream(reason: &str) -> AttemptOutcome {
    AttemptOutcome::Failed(BackendError::Broken {
        reason: reason.to_owned(),
    })
}

/// Builds one chunk with the complete text, for callers that do not stream.
fn to_single_chunk(id: &RequestId, request: &ChatRequest, partial: &PartialAnswer) -> ChatChunk {
    let mut chunk = partial.last_chunk.clone().unwrap_or_default();
    chunk.id = id.as_str().into();
    chunk.model.clone_from(&request.model);
    chunk.usage = None;
    if chunk.choices.is_empty() {
        chunk.choices.push(ChunkChoice::default());
    }
    chunk.choices.truncate(1);
    chunk.choices[0].delta.content = Some(partial.text.clone());
    chunk.choices[0].finish_reason = partial.finish_reason.as_deref().map(Into::into);
    chunk
}
