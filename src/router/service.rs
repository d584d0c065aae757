//! Calls of plain services, passed through by method and path.

use std::sync::Arc;
use std::time::Duration;

use opentelemetry::trace::SpanKind;
use rand::RngExt;
use slog::{info, warn};
use tokio::time::Instant;

use super::caller::Caller;
use super::refusal::{Refusal, RefusalKind, RunState};
use super::replicas::{Chosen, ReplicaQuery};
use super::requests::StoredAnswer;
use super::spending::Reserved;
use super::Router;
use crate::backend::chat::Usage;
use crate::backend::{BackendError, CallContext, ServiceAnswer, ServiceCall};
use crate::core::bill::RunEnd;
use crate::core::claim::{Claim, ClaimKey, ClaimOutcome, ClaimState};
use crate::core::ids::ReplicaId;
use crate::core::quarantine::{Fingerprint, Suspicion};
use crate::core::units::Tokens;
use crate::lists::PlanService;
use crate::peer::FoundRequest;
use crate::telemetry::{HopSpan, SpanParent};
use crate::util::lock;

/// Tries of an idempotent call, the first included.
const MAX_TRIES: u32 = 3;
/// Pause before a retry, times the number of tries so far.
const RETRY_PAUSE: Duration = Duration::from_millis(25);
/// Time after which a caller may ask again.
const ASK_AGAIN: Duration = Duration::from_secs(1);

/// A service call on its way.
struct ServiceRun<'a> {
    router: &'a Arc<Router>,
    caller: &'a Caller,
    rules: &'a PlanService,
    call: &'a ServiceCall,
    fingerprint: Fingerprint,
    span: HopSpan,
}

impl Router {
    /// Makes a call of a plain service.
    ///
    /// The work goes on when the caller goes away, so that a call that has begun is finished and
    /// billed whatever its caller does.
    ///
    /// # Errors
    ///
    /// Refuses with a run state that is true: "not run" only where no byte reached a backend
    /// server.
    pub async fn call_service(
        self: &Arc<Self>,
        caller: Caller,
        rules: PlanService,
        call: ServiceCall,
    ) -> Result<StoredAnswer, Refusal> {
        let router = Arc::clone(self);
        let work = tokio::spawn(async move { router.do_call(caller, rules, call).await });
        work.await.unwrap_or_else(|_| {
            let message = "the call ended in an error of the router";
            Err(Refusal::new(RefusalKind::BackendFailed, message)
                .with_run(RunState::OutcomeUnknown))
        })
    }

    async fn do_call(
        self: &Arc<Self>,
        caller: Caller,
        rules: PlanService,
        call: ServiceCall,
    ) -> Result<StoredAnswer, Refusal> {
        let team = &caller.account.team.team;
        match self.requests.arrive(team, &caller.request) {
            FoundRequest::Running { .. } => return Err(ask_again(RunState::RunningElsewhere)),
            FoundRequest::Finished(answer) => return Ok(answer),
            FoundRequest::Unheard => {}
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

fn ask_again(run: RunState) -> Refusal {
    let message = match run {
        RunState::Done => "the same request ran to its end before",
        RunState::OutcomeUnknown => "the same request was dispatched and its outcome is unknown",
        RunState::RunningElsewhere | RunState::NotRun => "the same request is in progress",
    };
    Refusal::new(RefusalKind::Duplicate, message)
        .with_run(run)
        .with_retry_after(ASK_AGAIN)
}

fn refuse_held(claim: &Claim) -> Refusal {
    ask_again(match claim.state {
        ClaimState::Claimed => RunState::RunningElsewhere,
        ClaimState::Done => RunState::Done,
        ClaimState::Unknown | ClaimState::NotRun => RunState::OutcomeUnknown,
    })
}

impl ServiceRun<'_> {
    async fn run(&mut self) -> Result<StoredAnswer, Refusal> {
        // Whether another run is in progress is for the claim to say, not for peers.
        if let Some(FoundRequest::Finished(answer)) = self.router.find_at_peers(self.caller).await {
            return Ok(answer);
        }
        let call_tokens = self.rules.call_tokens;
        let budget = &self.caller.budget;
        let spender = &self.router.spender;
        let reserved = spender
            .reserve(budget, call_tokens, self.caller.deadline)
            .await?;
        let path = &self.call.path;
        let result = if self.rules.is_idempotent(&self.call.method, path) {
            self.run_idempotent().await
        } else {
            self.run_once().await
        };
        match result {
            Ok(answer) => {
                self.bill(reserved).await;
                Ok(answer)
            }
            Err(refusal) => {
                self.give_up(reserved, &refusal);
                Err(refusal)
            }
        }
    }

    /// A call that may have run is paid for by a waived bill, so that the budget stays true.
    fn give_up(&mut self, reserved: Reserved, refusal: &Refusal) {
        self.span.fail(refusal.to_string());
        if refusal.run == RunState::OutcomeUnknown {
            self.book(reserved, RunEnd::Broken);
        } else {
            self.router
                .spender
                .settle(&self.caller.budget, reserved, Tokens::ZERO);
        }
    }

    /// Books the price of the call and queues the bill.
    fn book(&self, reserved: Reserved, end: RunEnd) -> u64 {
        let usage = Usage::new(self.rules.call_tokens.get(), 0);
        self.router.book(self.caller, reserved, usage, end)
    }

    async fn run_idempotent(&self) -> Result<StoredAnswer, Refusal> {
        let mut excluded = Vec::new();
        let mut tries = 0;
        let mut run = RunState::NotRun;
        loop {
            tries += 1;
            let answer = self.dispatch(&mut excluded).await;
            let error = match answer.map_err(|refusal| refusal.with_run(run))? {
                Ok(answer) => return Ok(stored(answer)),
                Err(error) => error,
            };
            if !error.is_not_run() {
                run = RunState::OutcomeUnknown;
            }
            let may_retry = tries < MAX_TRIES && lock(&self.router.retry_budget).try_retry();
            if !may_retry || Instant::now() >= self.caller.deadline {
                return Err(Refusal::from(error)
                    .with_run(run)
                    .with_retry_after(ASK_AGAIN));
            }
            self.router.telemetry.count_retry();
            tokio::time::sleep(RETRY_PAUSE * tries).await;
        }
    }

    /// Claims the request, then dispatches it at most once.
    async fn run_once(&self) -> Result<StoredAnswer, Refusal> {
        let team = self.caller.account.team.team.clone();
        let key = ClaimKey::new(team, self.caller.request.clone());
        let nonce: u64 = lock(&self.router.rng).random();
        match self.router.claims.take(&key, nonce).await {
            Ok(ClaimOutcome::Won) => {}
            Ok(ClaimOutcome::Held(claim)) => return Err(refuse_held(&claim)),
            Err(error) => {
                info!(self.router.log, "claim cannot be made"; "reason" => error.to_string());
                let message = "the request cannot be claimed while the platform is out of reach";
                return Err(
                    Refusal::new(RefusalKind::ClaimOutOfReach, message).with_retry_after(ASK_AGAIN)
                );
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

    /// Tries further replicas only while it is certain that no byte reached one.
    async fn dispatch_claimed(&self) -> Result<StoredAnswer, Refusal> {
        let mut excluded = Vec::new();
        for tries in 1..=MAX_TRIES {
            match self.dispatch(&mut excluded).await? {
                Ok(answer) => return Ok(stored(answer)),
                Err(error) if !error.is_not_run() || tries == MAX_TRIES => {
                    return Err(Refusal::from(error).with_retry_after(ASK_AGAIN));
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
                warn!(router.log, "claim cannot be finished"; "reason" => error.to_string());
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
                self.router.replicas.record_gone(&chosen.replica);
            }
            Err(_) => self.router.replicas.record_failure(&chosen),
        }
        excluded.push(chosen.replica);
        Ok(answer)
    }

    async fn call_replica(&self, chosen: &Chosen) -> Result<ServiceAnswer, BackendError> {
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
        let answer = self
            .router
            .borders
            .service
            .call(chosen.address, self.call, &context)
            .await;
        if let Err(error) = &answer {
            span.fail(error.to_string());
        }
        answer
    }

    async fn bill(&self, reserved: Reserved) {
        let router = self.router;
        let number = self.book(reserved, RunEnd::Whole);
        router.telemetry.count_tokens(self.rules.call_tokens.get());
        router.wait_billed(self.caller, number).await;
    }

    fn no_replica(&self) -> Refusal {
        let message = format!("no replica of pool {} is in service", self.rules.pool);
        Refusal::new(RefusalKind::NoReplica, message).with_retry_after(ASK_AGAIN)
    }
}

fn stored(answer: ServiceAnswer) -> StoredAnswer {
    StoredAnswer {
        status: answer.status,
        content_type: answer.content_type,
        body: answer.body.to_vec(),
    }
}
