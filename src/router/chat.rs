//! Chat completions: from the caller's request to the end of its answer.

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
use super::replicas::{Chosen, ReplicaQuery};
use super::requests::StoredAnswer;
use super::spending::Reserved;
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
use crate::peer::FoundRequest;
use crate::telemetry::{HopSpan, SpanParent};
use crate::util::{lock, stable_hash};

/// Tries of one request, the first included.
const MAX_TRIES: usize = 4;
/// First pause before a retry.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// Longest pause before a retry.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Events that may wait for a slow caller.
const EVENT_QUEUE: usize = 64;
/// Longest silence of an engine in mid-stream.
const STREAM_SILENCE: Duration = Duration::from_secs(30);
/// Longest wait for peers that may have run the request before.
const FIND_WAIT: Duration = Duration::from_millis(50);
/// Runs that began within this time count as begun together; the lower holder id goes first.
const SAME_TIME_MS: u64 = 100;
/// Time after which a caller may ask again for a request that is running.
const RUNNING_RETRY: Duration = Duration::from_secs(1);
/// Time after which a caller may come back when no replica is in service.
const NO_REPLICA_RETRY: Duration = Duration::from_secs(1);
/// Peers asked for an earlier run: the other addresses that the team's callers are told.
const FIND_PEERS: usize = 3;

/// One step of an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum ChatEvent {
    /// More text.
    Chunk(ChatChunk),
    /// The whole answer was given and its bill is durable.
    End(Usage),
    /// The answer broke off.
    Failed(Refusal),
}

/// How a chat request is answered.
#[derive(Debug)]
pub enum ChatAnswer {
    /// Events as they come.
    Events(mpsc::Receiver<ChatEvent>),
    /// The whole answer of an earlier run.
    Stored(StoredAnswer),
}

/// Why one try ended.
enum TryEnd {
    Whole,
    CallerGone,
    Failed(BackendError),
}

/// What was produced so far.
#[derive(Debug, Default)]
struct Produced {
    text: String,
    chunks: u64,
    prompt_tokens: u64,
    completion_tokens: u64,
    finish_reason: Option<String>,
    last_chunk: Option<ChatChunk>,
    forwarded: bool,
}

/// A chat request on its way.
struct ChatRun {
    router: Arc<Router>,
    caller: Caller,
    request: ChatRequest,
    pool: PoolId,
    resumes_streams: bool,
    prompt_bound_tokens: Tokens,
    reserved: Reserved,
    fingerprint: Fingerprint,
    prefixes: Vec<PrefixKey>,
    events: mpsc::Sender<ChatEvent>,
    span: HopSpan,
    started: Instant,
    _permit: Permit,
}

impl Router {
    /// Takes on a chat request.
    ///
    /// # Errors
    ///
    /// Refuses, with nothing run, when the plan, the budget, the pool or quarantine forbid it.
    pub async fn chat(
        self: &Arc<Self>,
        caller: Caller,
        request: ChatRequest,
    ) -> Result<ChatAnswer, Refusal> {
        let team = &caller.account.team.team;
        match self.requests.arrive(team, &caller.request) {
            FoundRequest::Running { .. } => return Err(running_elsewhere()),
            FoundRequest::Finished(answer) => return Ok(ChatAnswer::Stored(answer)),
            FoundRequest::Unheard => {}
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
        span.set("team", caller.account.team.team.to_string());
        span.set("request", caller.request.to_string());
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
        let (earlier, reserved) = tokio::join!(
            self.find_earlier_run(&caller),
            self.spender
                .reserve(&caller.budget, needed_tokens, caller.deadline),
        );
        let reserved = reserved?;
        if let Some(found) = earlier {
            self.spender.settle(&caller.budget, reserved, Tokens::ZERO);
            return found;
        }
        let queue_key = QueueKey {
            team: caller.account.team.team.clone(),
            priority: plan.priority,
            weight: plan.weight,
        };
        let permit = match self
            .admission
            .enter(&pool, &queue_key, caller.deadline)
            .await
        {
            Ok(permit) => permit,
            Err(refusal) => {
                self.spender.settle(&caller.budget, reserved, Tokens::ZERO);
                return Err(refusal);
            }
        };
        let (events, receiver) = mpsc::channel(EVENT_QUEUE);
        let run = ChatRun {
            router: Arc::clone(self),
            prefixes: prefixes_of(&request),
            resumes_streams: rules.resumes_streams,
            started: Instant::now(),
            caller,
            request,
            pool,
            prompt_bound_tokens,
            reserved,
            fingerprint,
            events,
            span,
            _permit: permit,
        };
        tokio::spawn(run.run());
        Ok(ChatAnswer::Events(receiver))
    }

    /// Asks the routers to which the team's callers are sent whether one ran the request.
    async fn find_earlier_run(&self, caller: &Caller) -> Option<Result<ChatAnswer, Refusal>> {
        match self.find_at_peers(caller).await? {
            FoundRequest::Unheard => None,
            FoundRequest::Running { holder, age_ms } => {
                let is_earlier = age_ms > SAME_TIME_MS || holder < self.holder();
                is_earlier.then(|| Err(running_elsewhere()))
            }
            FoundRequest::Finished(answer) => Some(Ok(ChatAnswer::Stored(answer))),
        }
    }

    /// What the first peer says that knows of a request.
    pub(super) async fn find_at_peers(&self, caller: &Caller) -> Option<FoundRequest> {
        if !caller.is_named {
            return None;
        }
        let team = &caller.account.team.team;
        let addresses = self.fleet.addresses_for(team, FIND_PEERS);
        let members = self.fleet.members();
        let asked = members
            .iter()
            .filter(|member| addresses.contains(&member.address));
        let mut calls = futures::stream::FuturesUnordered::new();
        for member in asked {
            let peer = self.borders.network.peer(member.peer_address);
            let (team, request) = (team.clone(), caller.request.clone());
            calls.push(async move { peer.find_request(team, request).await });
        }
        let search = async {
            while let Some(answer) = calls.next().await {
                match answer {
                    Ok(FoundRequest::Unheard) | Err(_) => {}
                    Ok(found) => return Some(found),
                }
            }
            None
        };
        tokio::time::timeout(FIND_WAIT, search).await.ok().flatten()
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

/// Digests of the conversation's starts: up to the first user message, and the first message.
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
        .with_retry_after(RUNNING_RETRY)
}

pub(super) fn no_replica(pool: &PoolId) -> Refusal {
    let message = format!("no replica of pool {pool} is in service");
    Refusal::new(RefusalKind::NoReplica, message).with_retry_after(NO_REPLICA_RETRY)
}

pub(super) fn quarantined(fingerprint: Fingerprint) -> Refusal {
    let message = format!("request content {fingerprint} crashed the replicas that ran it");
    Refusal::new(RefusalKind::Quarantined, message)
}

impl Produced {
    /// Counts a chunk. Engines report the tokens so far with each; without that a chunk counts as
    /// one token.
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
        let mut produced = Produced::default();
        let end = self.try_replicas(&mut produced).await;
        match end {
            Ok(RunEnd::Whole) => self.finish_whole(produced).await,
            Ok(end) => self.finish_partial(&produced, end),
            Err(refusal) => {
                self.finish_partial(&produced, RunEnd::Broken);
                self.span.fail(refusal.to_string());
                self.router
                    .telemetry
                    .count_request(&refusal.kind.to_string());
                let _ = self.events.send(ChatEvent::Failed(refusal)).await;
            }
        }
    }

    async fn try_replicas(&mut self, produced: &mut Produced) -> Result<RunEnd, Refusal> {
        let pauses = ExponentialBuilder::default()
            .with_min_delay(RETRY_PAUSE)
            .with_max_delay(MAX_RETRY_PAUSE)
            .with_max_times(MAX_TRIES - 1)
            .with_jitter()
            .build();
        let mut pauses = pauses.into_iter();
        let mut excluded: Vec<ReplicaId> = Vec::new();
        let mut run = RunState::NotRun;
        loop {
            let chosen = self
                .start_try(&excluded)
                .await
                .map_err(|refusal| refusal.with_run(run))?;
            let replica = chosen.replica.clone();
            let end = self.try_replica(&chosen, produced).await;
            self.router.end_try(chosen);
            let error = match end {
                TryEnd::Whole => return Ok(RunEnd::Whole),
                TryEnd::CallerGone => return Ok(RunEnd::Cancelled),
                TryEnd::Failed(error) => error,
            };
            info!(self.router.log, "try failed"; "request" => self.caller.request.as_str(),
                "replica" => replica.as_str(), "reason" => error.to_string());
            excluded.push(replica);
            if !error.is_not_run() {
                run = RunState::OutcomeUnknown;
            }
            if produced.forwarded {
                let message = format!("answer broke off after {} chunks: {error}", produced.chunks);
                return Err(Refusal::new(RefusalKind::BackendFailed, message)
                    .with_run(RunState::OutcomeUnknown)
                    .with_retry_after(RETRY_PAUSE));
            }
            produced.clear();
            if self.router.replicas.suspicion(self.fingerprint) == Suspicion::Quarantined {
                return Err(quarantined(self.fingerprint).with_run(run));
            }
            let Some(pause) = pauses.next().filter(|_| self.may_retry()) else {
                return Err(Refusal::from(error)
                    .with_run(run)
                    .with_retry_after(MAX_RETRY_PAUSE));
            };
            self.router.telemetry.count_retry();
            tokio::time::sleep(pause).await;
        }
    }

    fn may_retry(&self) -> bool {
        lock(&self.router.retry_budget).try_retry()
    }

    async fn start_try(&self, excluded: &[ReplicaId]) -> Result<Chosen, Refusal> {
        let query = ReplicaQuery {
            pool: &self.pool,
            prefixes: &self.prefixes,
            excluded,
            fingerprint: self.fingerprint,
        };
        self.router.start_try(&query, self.caller.deadline).await
    }

    async fn try_replica(&mut self, chosen: &Chosen, produced: &mut Produced) -> TryEnd {
        let parent = SpanParent::Span(self.span.context());
        let mut span = self
            .router
            .telemetry
            .start_span("dispatch", SpanKind::Client, &parent);
        span.set("replica", chosen.replica.to_string());
        let context = CallContext {
            request: self.caller.request.clone(),
            traceparent: span.traceparent(),
            time_left: self
                .caller
                .deadline
                .saturating_duration_since(Instant::now()),
        };
        let engine = Arc::clone(&self.router.borders.engine);
        let events = self.events.clone();
        let opened = tokio::select! {
            opened = engine.chat(chosen.address, &self.request, &context) => opened,
            () = events.closed() => return TryEnd::CallerGone,
        };
        let mut end = match opened {
            Ok(stream) => self.pass_on(stream, produced).await,
            Err(error) => TryEnd::Failed(error),
        };
        let can_resume = self.resumes_streams && produced.chunks > 0;
        if let (TryEnd::Failed(BackendError::Broken { .. }), true) = (&end, can_resume) {
            if let Ok(stream) = engine
                .resume(chosen.address, produced.chunks, &context)
                .await
            {
                self.router.telemetry.count_retry();
                end = self.pass_on(stream, produced).await;
            }
        }
        match &end {
            TryEnd::Whole => self.router.replicas.record_success(chosen),
            TryEnd::CallerGone => {}
            TryEnd::Failed(error) => {
                span.fail(error.to_string());
                self.record_failure(chosen, error).await;
            }
        }
        end
    }

    /// Tells a refused connection, a crash and a passing failure apart.
    async fn record_failure(&self, chosen: &Chosen, error: &BackendError) {
        let replicas = &self.router.replicas;
        match error {
            BackendError::NotConnected { .. } => replicas.record_gone(&chosen.replica),
            BackendError::Refused { .. } => replicas.record_failure(chosen),
            BackendError::Broken { .. } | BackendError::Mismatched { .. } => {
                let service = &self.router.borders.service;
                if service.is_reachable(chosen.address).await {
                    replicas.record_failure(chosen);
                    return;
                }
                warn!(self.router.log, "replica crashed";
                    "replica" => chosen.replica.as_str(),
                    "fingerprint" => self.fingerprint.to_string());
                replicas.record_crash(chosen);
                self.router.greet_all().await;
            }
        }
    }

    async fn pass_on(&mut self, mut stream: ChunkStream, produced: &mut Produced) -> TryEnd {
        loop {
            let wait = if produced.chunks == 0 {
                self.caller
                    .deadline
                    .saturating_duration_since(Instant::now())
            } else {
                STREAM_SILENCE
            };
            let next = tokio::select! {
                next = tokio::time::timeout(wait, stream.next()) => next,
                () = self.events.closed() => return TryEnd::CallerGone,
            };
            let chunk = match next {
                Err(_) => return broken("engine is silent"),
                Ok(None) if produced.finish_reason.is_some() => return TryEnd::Whole,
                Ok(None) => return broken("stream ended early"),
                Ok(Some(Err(error))) => return TryEnd::Failed(error),
                Ok(Some(Ok(chunk))) => chunk,
            };
            if let Some(end) = self.take_chunk(chunk, produced).await {
                return end;
            }
        }
    }

    /// Passes a chunk on. The one that ends the answer is held back until the bill is durable.
    async fn take_chunk(&mut self, chunk: ChatChunk, produced: &mut Produced) -> Option<TryEnd> {
        if produced.chunks == 0 {
            self.router
                .telemetry
                .record_first_token(self.started.elapsed());
        }
        produced.add(&chunk);
        let is_limit_reached = self.is_limit_reached(produced);
        if is_limit_reached && produced.finish_reason.is_none() {
            produced.finish_reason = Some("length".to_owned());
        }
        if produced.finish_reason.is_some() {
            produced.last_chunk = Some(chunk);
            return is_limit_reached.then_some(TryEnd::Whole);
        }
        if !self.request.stream {
            return None;
        }
        produced.forwarded = true;
        let chunk = ChatChunk {
            usage: None,
            ..chunk
        };
        match self.events.send(ChatEvent::Chunk(chunk)).await {
            Ok(()) => None,
            Err(_) => Some(TryEnd::CallerGone),
        }
    }

    fn is_limit_reached(&self, produced: &Produced) -> bool {
        let output_tokens = self.reserved.tokens - self.prompt_bound_tokens;
        produced.completion_tokens >= output_tokens.get()
    }

    fn usage(&self, produced: &Produced) -> Usage {
        let prompt_tokens = produced.prompt_tokens.min(self.prompt_bound_tokens.get());
        let output_tokens = self.reserved.tokens - self.prompt_bound_tokens;
        let completion_tokens = produced.completion_tokens.min(output_tokens.get());
        Usage::new(prompt_tokens, completion_tokens)
    }

    async fn finish_whole(mut self, produced: Produced) {
        let usage = self.usage(&produced);
        let number = self.book(usage, RunEnd::Whole);
        self.router.wait_billed(&self.caller, number).await;
        self.store(&produced, usage);
        self.router.telemetry.count_request("whole");
        self.router.telemetry.count_tokens(usage.total_tokens);
        self.span.set(
            "tokens",
            i64::try_from(usage.total_tokens).unwrap_or(i64::MAX),
        );
        if self.request.stream {
            if let Some(chunk) = self.last_chunk(&produced) {
                let _ = self.events.send(ChatEvent::Chunk(chunk)).await;
            }
        } else {
            let chunk = whole_as_chunk(&self.caller.request, &self.request, &produced);
            let _ = self.events.send(ChatEvent::Chunk(chunk)).await;
        }
        let _ = self.events.send(ChatEvent::End(usage)).await;
    }

    fn finish_partial(&self, produced: &Produced, end: RunEnd) {
        let team = &self.caller.account.team.team;
        let is_served = produced.forwarded || end == RunEnd::Cancelled;
        if is_served && produced.chunks > 0 {
            self.book(self.usage(produced), end);
        } else {
            self.router
                .spender
                .settle(&self.caller.budget, self.reserved, Tokens::ZERO);
        }
        if end == RunEnd::Cancelled {
            self.router.telemetry.count_request("cancelled");
        }
        self.router.requests.abandon(team, &self.caller.request);
    }

    /// Books what was spent and queues the bill.
    fn book(&self, usage: Usage, end: RunEnd) -> u64 {
        self.router.book(&self.caller, self.reserved, usage, end)
    }

    fn store(&self, produced: &Produced, usage: Usage) {
        let completion = ChatCompletion::new(
            self.caller.request.as_str(),
            &self.request.model,
            produced.text.clone(),
            produced.finish_reason.as_deref().unwrap_or("stop"),
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

    fn last_chunk(&self, produced: &Produced) -> Option<ChatChunk> {
        let mut chunk = produced.last_chunk.clone()?;
        chunk.usage = None;
        chunk.model.clone_from(&self.request.model);
        for choice in &mut chunk.choices {
            choice.finish_reason = produced.finish_reason.as_deref().map(Into::into);
        }
        Some(chunk)
    }
}

fn broken(reason: &str) -> TryEnd {
    TryEnd::Failed(BackendError::Broken {
        reason: reason.to_owned(),
    })
}

/// The whole text as one chunk, for callers that do not stream.
fn whole_as_chunk(id: &RequestId, request: &ChatRequest, produced: &Produced) -> ChatChunk {
    let mut chunk = produced.last_chunk.clone().unwrap_or_default();
    chunk.id = id.as_str().into();
    chunk.model.clone_from(&request.model);
    chunk.usage = None;
    if chunk.choices.is_empty() {
        chunk.choices.push(ChunkChoice::default());
    }
    chunk.choices.truncate(1);
    chunk.choices[0].delta.content = Some(produced.text.clone());
    chunk.choices[0].finish_reason = produced.finish_reason.as_deref().map(Into::into);
    chunk
}
