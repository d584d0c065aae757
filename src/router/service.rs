//! Calls of plain services, forwarded by method and path.

use std::sync::Arc;
use std::time::Duration;

use opentelemetry::trace::SpanKind;
use rand::RngExt;
use slog::{info, warn};
use tokio::time::Instant;

use super::caller::Caller;
use super::refusal::{Refusal, RefusalKind, RunState};
use super::replicas::{ChosenReplica, ReplicaQuery};
use super::requests::StoredAnswer;
use super::spending::Reservation;
use super::Router;
use crate::backend::chat::Usage;
use crate::backend::{BackendError, CallContext, ServiceAnswer, ServiceCall};
use crate::core::bill::RunEnd;
use crate::core::claim::{Claim, ClaimKey, ClaimOutcome, ClaimState};
use crate::core::ids::ReplicaId;
use crate::core::quarantine::{Fingerprint, Suspicion};
use crate::core::units::Tokens;
use crate::lists::PlanService;
use crate::peer::RequestLookup;
use crate::telemetry::{ActiveSpan, SpanParent};
use crate::util::lock;

/// Attempts per call, the first included.
const MAX_ATTEMPTS: u32 = 3;
/// Delay before a retry, multiplied by the number of attempts so far.
const RETRY_BASE_DELAY: Duration = Duration::from_millis(25);
/// Retry-After of refused calls.
const SERVICE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A service call in progress.
struct ServiceRun<'a> {
    router: &'a Arc<Router>,
    caller: &'a Caller,
    rules: &'a PlanService,
    call: &'a ServiceCall,
    fingerprint: Fingerprint,
    span: ActiveSpan,
}

impl Router {
    /// Calls a plain service and returns its complete answer.
    ///
    /// The call runs in its own task: it is finished and billed even when the caller disconnects.
    ///
    /// # Errors
    ///
    /// Returns a refusal with the run state of the call, which is [`RunState::NotRun`] only when
    /// no byte reached a backend server.
    pub async fn call_service(
        self: &Arc<Self>,
        caller: Caller,
        rules: PlanService,
        call: ServiceCall,
    ) -> Result<StoredAnswer, Refusal> {
        let router = Arc::clone(self);
        let task = tokio::spawn(async move { router.run_call(caller, rules, call).await });
        task.await.unwrap_or_else(|_| {
            let message = "the call ended in an error of the router";
            Err(Refusal::new(RefusalKind::BackendFailed, message)
                .with_run(RunState::OutcomeUnknown))
        })
    }

    async fn run_call(
        self: &Arc<Self>,
        caller: Caller,
        rules: PlanService,
        call: ServiceCall,
    ) -> Result<StoredAnswer, Refusal> {
        let team = &caller.account.team.team;
        match self.requests.register(team, &caller.request) {
            RequestLookup::Running { .. } => return Err(duplicate(RunState::RunningElsewhere)),
            RequestLookup::Finished(answer) => return Ok(answer),
            RequestLookup::Unknown => {}
        }
        let span = self
            .telemetry
            .start_span("request", SpanKind::Server, &caller.parent);
        let fingerprint =
            Fingerprint::new(team, format!("{} {}", call.method, call.path).as_bytes());
        let mut run = ServiceRun {
            router: self,
            caller: &caller,
            rules: &rules,
            call: &call,
            fingerprint,
            span,
        };
        let result = run.run().await;
        match &result {
            Ok(answer) => {
                self.telemetry.count_request("whole");
                self.requests.finish(team, &caller.request, answer.clone());
            }
            Err(refusal) => {
                self.telemetry.count_request(&refusal.kind.to_string());
                self.requests.abandon(team, &caller.request);
            }
        }
        result
    }
}

fn duplicate(run: RunState) -> Refusal {
    let message = match run {
        RunState::Done => "the same request ran to its end before",
        RunState::OutcomeUnknown => "the same request was dispatched and its outcome is unknown",
        RunState::RunningElsewhere | RunState::NotRun => "the same request is in progress",
    };
    Refusal::new(RefusalKind::Duplicate, message)
        .with_run(run)
        .with_retry_after(SERVICE_RETRY_AFTER)
}

fn duplicate_of_claim(claim: &Claim) -> Refusal {
    duplicate(match claim.state {
        ClaimState::Claimed => RunState::RunningElsewhere,
        ClaimState::Done => RunState::Done,
        ClaimState::Unknown | ClaimState::NotRun => RunState::OutcomeUnknown,
    })
}

impl ServiceRun<'_> {
    async fn run(&mut self) -> Result<StoredAnswer, Refusal> {
        // Peers are asked only for a stored answer; the claim decides whether a run is in progress.
        if let Some(RequestLookup::Finished(answer)) = self.router.find_at_peers(self.caller).await
        {
            return Ok(answer);
        }
        let call_tokens = self.rules.call_tokens;
        let budget = &self.caller.budget;
        let spender = &self.router.spender;
        let reservation = spender
            .reserve(budget, call_tokens, self.caller.deadline)
            .await?;
        let path = &self.call.path;
        let result = if self.rules.is_idempotent(&self.call.method, path) {
            self.run_idempotent().await
        } else {
            self.run_non_idempotent().await
        };
        match result {
            Ok(answer) => {
                self.bill(reservation).await;
                Ok(answer)
            }
            Err(refusal) => {
                self.settle_failed(reservation, &refusal);
                Err(refusal)
            }
        }
    }

    /// Settles a failed call. A call that may have run is charged with a waived bill, so that the
    /// budget's accounts stay consistent.
    fn settle_failed(&mut self, reservation: Reservation, refusal: &Refusal) {
        self.span.set_error(refusal.to_string());
        if refusal.run == RunState::OutcomeUnknown {
            self.charge(reservation, RunEnd::Broken);
        } else {
            self.router
                .spender
                .settle(&self.caller.budget, reservation, Tokens::ZERO);
        }
    }

    /// Settles the price of the call and queues the bill; returns the bill's number.
    fn charge(&self, reservation: Reservation, end: RunEnd) -> u64 {
        let usage = Usage::new(self.rules.call_tokens.get(), 0);
        self.router.charge(self.caller, reservation, usage, end)
    }

    async fn run_idempotent(&self) -> Result<StoredAnswer, Refusal> {
        let mut excluded = Vec::new();
        let mut attempts = 0;
        let mut run = RunState::NotRun;
        loop {
            attempts += 1;
            let answer = self.dispatch(&mut excluded).await;
            let error = match answer.map_err(|refusal| refusal.with_run(run))? {
                Ok(answer) => return Ok(to_stored_answer(answer)),
                Err(error) => error,
            };
            if !error.is_not_run() {
                run = RunState::OutcomeUnknown;
            }
            let may_retry = attempts < MAX_ATTEMPTS && lock(&self.router.retry_budget).try_retry();
            if !may_retry || Instant::now() >= self.caller.deadline {
                return Err(Refusal::from(error)
                    .with_run(run)
                    .with_retry_after(SERVICE_RETRY_AFTER));
            }
            self.router.telemetry.count_retry();
            tokio::time::sleep(RETRY_BASE_DELAY * attempts).await;
        }
    }

    /// Claims the request in the platform, then runs it at most once.
    async fn run_non_idempotent(&self) -> Result<StoredAnswer, Refusal> {
        let team = self.caller.account.team.team.clone();
        let key = ClaimKey::new(team, self.caller.request.clone());
        let nonce: u64 = lock(&self.router.rng).random();
        match self.router.claims.acquire(&key, nonce).await {
            Ok(ClaimOutcome::Acquired) => {}
            Ok(ClaimOutcome::AlreadyClaimed(claim)) => return Err(duplicate_of_claim(&claim)),
            Err(error) => {
                info!(self.router.log, "claim not acquired; call refused"; "reason" => error.to_string());
                let message = "the request cannot be claimed while the platform is out of reach";
                return Err(Refusal::new(RefusalKind::ClaimOutOfReach, message)
                    .with_retry_after(SERVICE_RETRY_AFTER));
            }
        }
        let result = self.dispatch_claimed().await;
        let state = match &result {
            Ok(_) => ClaimState::Done,
            Err(refusal) if refusal.run == RunState::NotRun => ClaimState::NotRun,
            Err(_) => ClaimState::Unknown,
        };
        self.finish_claim(key, nonce, state).await;
        result
    }

    /// Dispatches to replicas in turn, only while no byte of the request can have reached one.
    async fn dispatch_claimed(&self) -> Result<StoredAnswer, Refusal> {
        let mut excluded = Vec::new();
        for attempt in 1..=MAX_ATTEMPTS {
            match self.dispatch(&mut excluded).await? {
                Ok(answer) => return Ok(to_stored_answer(answer)),
                Err(error) if !error.is_not_run() || attempt == MAX_ATTEMPTS => {
                    return Err(Refusal::from(error).with_retry_after(SERVICE_RETRY_AFTER));
                }
                Err(_) => {}
            }
        }
        Err(self.no_replica())
    }

    async fn finish_claim(&self, key: ClaimKey, nonce: u64, state: ClaimState) {
        if state == ClaimState::NotRun {
            let _ = self.router.claims.finish(&key, nonce, state).await;
            return;
        }
        let router = Arc::clone(self.router);
        tokio::spawn(async move {
            if let Err(error) = router.claims.finish(&key, nonce, state).await {
                warn!(router.log, "claim outcome not recorded"; "reason" => error.to_string());
            }
        });
    }

    async fn dispatch(
        &self,
        excluded: &mut Vec<ReplicaId>,
    ) -> Result<Result<ServiceAnswer, BackendError>, Refusal> {
        let suspicion = self.router.replicas.suspicion(self.fingerprint);
        if suspicion == Suspicion::Quarantined {
            let message = format!("request {} crashed replicas", self.fingerprint);
            return Err(Refusal::new(RefusalKind::Quarantined, message));
        }
        let query = ReplicaQuery {
            pool: &self.rules.pool,
            prefixes: &[],
            excluded,
            fingerprint: self.fingerprint,
        };
        let chosen = self
            .router
            .replicas
            .start(&query)
            .ok_or_else(|| self.no_replica())?;
        let answer = self.call_replica(&chosen).await;
        self.router.replicas.end(&chosen);
        match &answer {
            Ok(_) => self.router.replicas.record_success(&chosen),
            Err(BackendError::NotConnected { .. }) => {
                self.router.replicas.mark_unreachable(&chosen.replica);
            }
            Err(_) => self.router.replicas.record_failure(&chosen),
        }
        excluded.push(chosen.replica);
        Ok(answer)
    }

    async fn call_replica(&self, chosen: &ChosenReplica) -> Result<ServiceAnswer, BackendError> {
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
        let answer = self
            .router
            .external_systems
            .service
            .call(chosen.address, self.call, &context)
            .await;
        if let Err(error) = &answer {
            span.set_error(error.to_string());
        }
        answer
    }

    async fn bill(&self, reservation: Reservation) {
        let router = self.router;
        let number = self.charge(reservation, RunEnd::Whole);
        router.telemetry.count_tokens(self.rules.call_tokens.get());
        router.wait_bill_durable(self.caller, number).await;
    }

    fn no_replica(&self) -> Refusal {
        let message = format!("no replica of pool {} is in service", self.rules.pool);
        Refusal::new(RefusalKind::NoReplica, message).with_retry_after(SERVICE_RETRY_AFTER)
    }
}

fn to_stored_answer(answer: ServiceAnswer) -> StoredAnswer {
    StoredAnswer {
        status: answer.status,
        content_type: answer.content_type,
        body: answer.body.to_vec(),
    }
}
