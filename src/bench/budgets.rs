//! Compares grant policies on the same seeded demand.
//!
//! A discrete-event simulation over the ledger, holder, witness and policy code that routers run.
//! Links are up or down; nothing else of a network is modelled. Each policy is compared with an
//! ideal central counter that has complete information. A refusal counts as false when the
//! requested amount of the budget was neither spent nor reserved anywhere at that moment.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use strum::IntoEnumIterator;

use super::budget_state::BudgetState;
use super::demand::{Case, Demand, Request, RUN_MS};
use super::sites::{Deployment, SiteSize};
use super::tally::{BudgetResult, Counts};
use crate::core::holder::UpdateParams;
use crate::core::ids::{BudgetId, FailureDomain, HolderId};
use crate::core::ledger::{SealedHorizons, WitnessSet};
use crate::core::policy::{GrantDecision, GrantPolicy, GrantView, PolicyName};
use crate::core::share::{BudgetShare, LedgerTotals, WitnessCandidate};
use crate::core::units::Tokens;
use crate::core::witness::Witness;

/// Interval between two maintenance passes over all grants.
const MAINTENANCE_INTERVAL_MS: u64 = 250;
/// Interval at which routers report their spending to the ledger.
const REPORT_INTERVAL_MS: u64 = 5_000;
/// Delay between a router's crash and the reclaiming of its grants.
const RECLAIM_DELAY_MS: u64 = 10_000;

/// Runs every case under every policy.
#[must_use]
pub fn run_all(seed: u64, rounds: u64) -> Vec<BudgetResult> {
    let mut results = Vec::new();
    let cases = Deployment::iter().flat_map(|site| Case::iter().map(move |case| (site, case)));
    std::thread::scope(|scope| {
        let threads: Vec<_> = cases
            .map(|(site, case)| scope.spawn(move || run_case(site, case, seed, rounds)))
            .collect();
        for thread in threads {
            results.extend(thread.join().unwrap_or_default());
        }
    });
    results
}

fn run_case(deployment: Deployment, case: Case, seed: u64, rounds: u64) -> Vec<BudgetResult> {
    let mut results = Vec::new();
    let mut ideal = Counts::default();
    for policy in PolicyName::iter() {
        let mut counts = Counts::default();
        ideal = Counts::default();
        for round in 0..rounds {
            let mut run = Run::new(deployment.size(), case, policy, seed + round);
            run.run();
            counts.add(&run.counts);
            ideal.add(&run.ideal_counts);
        }
        results.push(counts.result(deployment, case, &policy.to_string(), rounds));
    }
    results.push(ideal.result(deployment, case, "ideal", rounds));
    results
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Maintain,
    Arrive(Request),
    End { request: Request, holder: u64 },
    IdealEnd { request: Request },
    RouterCrash { router: usize, crashed_holder: u64 },
}

#[derive(Debug)]
struct Account {
    share: BudgetShare,
    reported_tokens: Tokens,
    waiting: VecDeque<Request>,
}

#[derive(Debug)]
struct Router {
    id: HolderId,
    domain: usize,
    failure_domain: FailureDomain,
    witness: Witness,
    accounts: Vec<Account>,
}

struct Run {
    size: SiteSize,
    case: Case,
    policy: Box<dyn GrantPolicy>,
    now_ms: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    event_count: u64,
    routers: Vec<Router>,
    budgets: Vec<BudgetState>,
    budget_ids: Vec<BudgetId>,
    started_routers: u64,
    counts: Counts,
    ideal_counts: Counts,
}

fn budget_id(index: usize) -> BudgetId {
    let name = format!("budget-{index}");
    BudgetId::new(name).unwrap_or_else(|_| unreachable!("the name is valid"))
}

fn domain_name(index: usize) -> FailureDomain {
    let name = format!("domain-{index}");
    FailureDomain::new(name).unwrap_or_else(|_| unreachable!("the name is valid"))
}

impl Run {
    fn new(size: SiteSize, case: Case, policy: PolicyName, seed: u64) -> Self {
        let mut run = Self {
            size,
            case,
            policy: policy.build(),
            now_ms: 0,
            events: BinaryHeap::new(),
            event_count: 0,
            routers: Vec::new(),
            budgets: vec![BudgetState::default(); size.teams],
            budget_ids: (0..size.teams).map(budget_id).collect(),
            started_routers: 0,
            counts: Counts::default(),
            ideal_counts: Counts::default(),
        };
        for index in 0..size.routers {
            let router = run.start_router(index);
            run.routers.push(router);
        }
        let mut demand = Demand::new(size, case, seed);
        for (budget, paid) in run.budgets.iter_mut().zip(demand.paid_tokens()) {
            budget.paid = paid;
            budget.generation = 1;
        }
        for (at_ms, request) in demand.generate_requests() {
            run.push(at_ms, Event::Arrive(request));
        }
        run.push(MAINTENANCE_INTERVAL_MS, Event::Maintain);
        for (at_ms, router) in demand.generate_crashes() {
            run.push(
                at_ms,
                Event::RouterCrash {
                    router,
                    crashed_holder: 0,
                },
            );
        }
        run
    }

    fn start_router(&mut self, index: usize) -> Router {
        self.started_routers += 1;
        let id = HolderId::new(self.started_routers << 8);
        let domain = index % self.size.domains;
        let account = || Account {
            share: BudgetShare::new(id),
            reported_tokens: Tokens::ZERO,
            waiting: VecDeque::new(),
        };
        Router {
            id,
            domain,
            failure_domain: domain_name(domain),
            witness: Witness::new(),
            accounts: (0..self.size.teams).map(|_| account()).collect(),
        }
    }

    fn push(&mut self, at_ms: u64, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at_ms, self.event_count, event)));
    }

    fn run(&mut self) {
        while let Some(Reverse((at_ms, _, event))) = self.events.pop() {
            self.now_ms = at_ms;
            match event {
                Event::Maintain => self.maintain(),
                Event::Arrive(request) => self.arrive(request),
                Event::End { request, holder } => self.end(request, HolderId::new(holder)),
                Event::IdealEnd { request } => self.budgets[request.budget].ideal_settle(&request),
                Event::RouterCrash {
                    router,
                    crashed_holder: 0,
                } => self.crash_router(router),
                Event::RouterCrash {
                    router,
                    crashed_holder,
                } => self.reclaim(router, HolderId::new(crashed_holder)),
            }
        }
        for budget in &self.budgets {
            self.counts.overspent_tokens += budget.served.saturating_sub(budget.paid);
            self.counts.stranded_tokens += budget.stranded();
        }
    }

    fn reaches_platform(&self, router: usize) -> bool {
        let domain = self.routers[router].domain;
        self.case.reaches_platform(self.now_ms, domain)
    }

    fn are_linked(&self, one: usize, other: usize) -> bool {
        let (one, other) = (self.routers[one].domain, self.routers[other].domain);
        self.case.are_linked(self.now_ms, one, other)
    }

    fn top_up(&mut self) {
        if !self.case.is_top_up_due(self.now_ms) {
            return;
        }
        let budgets = self.budgets.iter_mut().step_by(4);
        for budget in budgets.filter(|budget| budget.generation == 1) {
            budget.generation = 2;
            budget.paid += budget.paid;
        }
    }

    fn maintain(&mut self) {
        self.top_up();
        for router in 0..self.routers.len() {
            for budget in 0..self.budgets.len() {
                self.maintain_account(router, budget);
            }
        }
        if self.now_ms < RUN_MS {
            self.push(self.now_ms + MAINTENANCE_INTERVAL_MS, Event::Maintain);
        }
    }

    fn maintain_account(&mut self, router: usize, budget: usize) {
        let account = &mut self.routers[router].accounts[budget];
        account
            .share
            .demand_mut()
            .end_interval(MAINTENANCE_INTERVAL_MS);
        if account.share.is_unused() {
            return;
        }
        let decision = self.policy.decide(&self.view(router, budget));
        let is_due = decision != GrantDecision::default()
            || self.has_lost_witness(router, budget)
            || self.is_report_due(router, budget);
        if is_due {
            self.update_ledger(router, budget, decision);
        }
        self.extend_horizon(router, budget, 0);
        self.retry_waiting(router, budget);
    }

    fn view(&self, router: usize, budget: usize) -> GrantView {
        let paid_tokens = Tokens::new(self.budgets[budget].paid);
        self.routers[router].accounts[budget]
            .share
            .view(paid_tokens)
    }

    /// Writes the router's row to the ledger, if it reaches the platform.
    fn update_ledger(&mut self, router: usize, budget: usize, decision: GrantDecision) -> bool {
        if !self.reaches_platform(router) {
            return false;
        }
        let witnesses = self.choose_witnesses(router, budget);
        let id = self.routers[router].id;
        let state = &mut self.budgets[budget];
        let account = &mut self.routers[router].accounts[budget];
        let update = account.share.holder_mut().prepare_update(&UpdateParams {
            generation: state.generation,
            paid_tokens: Tokens::new(state.paid),
            draw_tokens: decision.draw_tokens,
            return_tokens: decision.return_tokens,
            witnesses,
        });
        self.counts.writes += 1;
        let is_applied = state.entry.apply(&update).is_ok();
        if let Some(row) = state.entry.rows.get(&id) {
            account.share.holder_mut().confirm(row);
        }
        account.reported_tokens = update.spent_tokens;
        account.share.set_totals(LedgerTotals::of(&state.entry, id));
        is_applied
    }

    fn choose_witnesses(&self, router: usize, budget: usize) -> WitnessSet {
        let count = self.routers.len();
        let others = (1..count).map(|step| (router + step) % count);
        let candidates = || {
            others
                .filter(|other| self.are_linked(router, *other))
                .map(|other| WitnessCandidate {
                    holder: self.routers[other].id,
                    failure_domain: self.routers[other].failure_domain.clone(),
                })
                .collect::<Vec<_>>()
        };
        let own = &self.routers[router];
        let is_reachable = |id| self.is_linked_to(router, id);
        own.accounts[budget]
            .share
            .choose_witnesses(&own.failure_domain, candidates, is_reachable)
    }

    /// Returns true once per report interval while the router has unreported spending.
    fn is_report_due(&self, router: usize, budget: usize) -> bool {
        let account = &self.routers[router].accounts[budget];
        let spent_tokens = account.share.holder().spent_tokens();
        self.now_ms.is_multiple_of(REPORT_INTERVAL_MS) && spent_tokens > account.reported_tokens
    }

    /// Returns true when a witness of the grant is gone or unreachable.
    fn has_lost_witness(&self, router: usize, budget: usize) -> bool {
        let holder = self.routers[router].accounts[budget].share.holder();
        let is_lost = |id| !self.is_linked_to(router, id);
        holder.limit_tokens() > Tokens::ZERO && holder.witnesses().all().any(is_lost)
    }

    fn is_linked_to(&self, router: usize, id: HolderId) -> bool {
        let index = self.routers.iter().position(|other| other.id == id);
        index.is_some_and(|other| self.are_linked(router, other))
    }

    /// Extends the horizon at a reachable witness by some seconds of demand or by `needed` tokens.
    fn extend_horizon(&mut self, router: usize, budget: usize, needed: u64) {
        let share = &self.routers[router].accounts[budget].share;
        let Some(wanted) = share.wanted_horizon(Tokens::new(needed)) else {
            return;
        };
        let holder = share.holder();
        let id = holder.id();
        let is_reachable = |witness: &HolderId| self.is_linked_to(router, *witness);
        let reachable = holder.witnesses().all().find(is_reachable);
        let Some(witness) = reachable else {
            return;
        };
        let name = self.budget_ids[budget].clone();
        let mut others = self.routers.iter_mut();
        let record = others
            .find(|other| other.id == witness)
            .map(|other| other.witness.extend(id, &name, wanted));
        let share = &mut self.routers[router].accounts[budget].share;
        if let Some(record) = record {
            share.holder_mut().acknowledge(witness, record);
        }
    }

    fn arrive(&mut self, request: Request) {
        self.counts.requests += 1;
        self.ideal_counts.requests += 1;
        if self.budgets[request.budget].ideal_reserve(&request) {
            let at_ms = self.now_ms + request.duration_ms;
            self.push(at_ms, Event::IdealEnd { request });
        } else {
            self.ideal_counts.refused += 1;
        }
        if !self.try_admit(request) {
            self.queue_or_refuse(request);
        }
    }

    /// Tries to start a request with tokens from the sources that a router uses, in order: its own
    /// grant, a witness, the ledger, its peers.
    fn try_admit(&mut self, request: Request) -> bool {
        let Request {
            router,
            budget,
            reserve_tokens,
            ..
        } = request;
        let account = &mut self.routers[router].accounts[budget];
        account
            .share
            .demand_mut()
            .record(Tokens::new(reserve_tokens));
        if self.try_start(request) {
            return true;
        }
        let view = self.view(router, budget);
        let decision = self
            .policy
            .decide_for_request(&view, Tokens::new(reserve_tokens));
        self.update_ledger(router, budget, decision);
        if self.try_start(request) {
            return true;
        }
        if self.policy.allows_transfers() {
            self.request_transfers(router, budget, reserve_tokens);
        }
        self.try_start(request)
    }

    fn try_start(&mut self, request: Request) -> bool {
        let is_reserved = self.reserve(request) || {
            self.extend_horizon(request.router, request.budget, request.reserve_tokens);
            self.reserve(request)
        };
        if is_reserved {
            let holder = self.routers[request.router].id.get();
            self.budgets[request.budget].reserved += request.reserve_tokens;
            self.push(
                self.now_ms + request.duration_ms,
                Event::End { request, holder },
            );
        }
        is_reserved
    }

    fn reserve(&mut self, request: Request) -> bool {
        let account = &mut self.routers[request.router].accounts[request.budget];
        let tokens = Tokens::new(request.reserve_tokens);
        account.share.holder_mut().reserve(tokens).is_ok()
    }

    fn request_transfers(&mut self, router: usize, budget: usize, needed: u64) {
        let id = self.routers[router].id;
        let linked = (0..self.routers.len())
            .filter(|other| *other != router && self.are_linked(router, *other));
        for peer in linked.collect::<Vec<_>>() {
            let own = &self.routers[router].accounts[budget].share;
            let shortfall = Tokens::new(needed) - own.holder().free_tokens();
            if shortfall == Tokens::ZERO {
                return;
            }
            self.extend_horizon(peer, budget, shortfall.get());
            let sender = self.routers[peer].id;
            let receiver = &self.routers[router].accounts[budget].share;
            let received_tokens = receiver.holder().received_from(sender);
            let sender_share = &mut self.routers[peer].accounts[budget].share;
            let total = sender_share
                .holder_mut()
                .send(id, received_tokens, shortfall);
            let receiver = &mut self.routers[router].accounts[budget].share;
            receiver.holder_mut().receive(sender, total);
        }
    }

    /// Queues the request while the router's reservations may free enough tokens, or refuses it.
    fn queue_or_refuse(&mut self, request: Request) {
        let account = &mut self.routers[request.router].accounts[request.budget];
        let may_be_freed = account
            .share
            .may_be_freed(Tokens::new(request.reserve_tokens));
        if may_be_freed && self.now_ms < request.deadline_ms {
            account.waiting.push_back(request);
            return;
        }
        let budget = &self.budgets[request.budget];
        let uncommitted = budget.uncommitted();
        self.counts.refused += 1;
        self.counts.falsely_refused += u64::from(uncommitted >= request.reserve_tokens);
        let stranded = budget.stranded();
        let is_avoidable = uncommitted.saturating_sub(stranded) >= request.reserve_tokens;
        self.counts.avoidably_refused += u64::from(is_avoidable);
    }

    fn retry_waiting(&mut self, router: usize, budget: usize) {
        let waiting = std::mem::take(&mut self.routers[router].accounts[budget].waiting);
        for request in waiting {
            if !self.try_admit(request) {
                self.queue_or_refuse(request);
            }
        }
    }

    fn end(&mut self, request: Request, holder_id: HolderId) {
        let budget = &mut self.budgets[request.budget];
        budget.reserved -= request.reserve_tokens;
        let router = &mut self.routers[request.router];
        if router.id != holder_id {
            // The router crashed: about half of the answer had been served.
            budget.record_served(holder_id, request.actual_tokens / 2);
            return;
        }
        budget.record_served(holder_id, request.actual_tokens);
        let holder = router.accounts[request.budget].share.holder_mut();
        holder.settle(
            Tokens::new(request.reserve_tokens),
            Tokens::new(request.actual_tokens),
        );
        self.retry_waiting(request.router, request.budget);
    }

    fn crash_router(&mut self, router: usize) {
        let crashed_holder = self.routers[router].id.get();
        self.routers[router] = self.start_router(router);
        self.push(
            self.now_ms + RECLAIM_DELAY_MS,
            Event::RouterCrash {
                router,
                crashed_holder,
            },
        );
    }

    /// Seals a crashed router's grants at their witnesses and reclaims them. Nothing is freed
    /// unless all witnesses of a grant are sealed.
    fn reclaim(&mut self, router: usize, crashed_holder: HolderId) {
        if !self.reaches_platform(router) {
            return;
        }
        for budget in 0..self.budgets.len() {
            let Some(row) = self.budgets[budget].entry.rows.get(&crashed_holder) else {
                continue;
            };
            let name = &self.budget_ids[budget];
            let mut sealed = SealedHorizons::new();
            for other in &mut self.routers {
                if row.witnesses.all().any(|witness| witness == other.id) {
                    sealed.insert(
                        other.id,
                        other.witness.seal(crashed_holder, name).horizon_tokens,
                    );
                }
            }
            let _ = self.budgets[budget].entry.reclaim(crashed_holder, &sealed);
            self.counts.writes += 1;
        }
    }
}
