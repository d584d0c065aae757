//! Grant policies on the same seeded demand.
//!
//! One loop over the ledger, holder, witness and policy code that routers run. Links are up or
//! down; nothing else of a network is modelled. Beside each policy stands one ideal central
//! counter that knows everything. A refusal counts as false when that much of the budget was
//! neither spent nor reserved anywhere at that moment.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use strum::{Display, EnumIter, EnumString, IntoEnumIterator};

use super::sites::{Deployment, SiteSize};
use crate::core::holder::{Holder, UpdateWish};
use crate::core::ids::{BudgetId, HolderId};
use crate::core::ledger::{BudgetEntry, SealedHorizons, WitnessSet};
use crate::core::policy::{
    near_allowance, DemandMeter, GrantDecision, GrantPolicy, GrantView, PolicyName,
};
use crate::core::units::Tokens;
use crate::core::witness::Witness;

/// Length of one run.
const RUN_MS: u64 = 600_000;
/// Time between two looks at the grants.
const TEND_MS: u64 = 250;
/// Time between two reports of spending to the ledger.
const REPORT_MS: u64 = 5_000;
/// Longest time that a request waits for reservations that may come back.
const WAIT_MS: u64 = 5_000;
/// Time after which a dead router's grants are reclaimed.
const RECLAIM_MS: u64 = 10_000;
/// Routers among which a team's callers choose.
const ROUTERS_PER_TEAM: usize = 3;
/// When links part, and when they heal.
const PARTED_MS: std::ops::Range<u64> = 150_000..390_000;
/// When budgets are topped up in the cases that do so.
const TOP_UP_MS: u64 = 270_000;
/// When routers die.
const DEATHS_MS: [u64; 3] = [120_000, 240_000, 400_000];

/// What happens in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Case {
    /// The spring peak: budgets suffice.
    SpringPeak,
    /// The year-end rush: half of the budgets run out, and some are topped up.
    YearEndRush,
    /// Two of four failure domains lose the others and the platform; top-ups come meanwhile.
    HalvesPart,
    /// One failure domain loses the others and the platform; top-ups come meanwhile.
    DomainParts,
    /// Routers die and are replaced while budgets run out.
    RouterDeaths,
    /// The platform is out for minutes; top-ups come meanwhile.
    PlatformOut,
}

impl Case {
    const fn runs_out(self) -> bool {
        matches!(self, Self::YearEndRush | Self::RouterDeaths)
    }

    const fn is_parted(self) -> bool {
        matches!(
            self,
            Self::HalvesPart | Self::DomainParts | Self::PlatformOut
        )
    }
}

/// Result of one case and policy.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BudgetResult {
    /// The deployment.
    pub deployment: String,
    /// The case.
    pub case: String,
    /// The policy, or `ideal` for the central counter.
    pub policy: String,
    /// Requests in all runs.
    pub requests: u64,
    /// Requests refused, rightly or falsely.
    pub refused: u64,
    /// Tokens served beyond what was paid.
    pub overspent_tokens: u64,
    /// Falsely refused requests in a million.
    pub false_refusals_per_million: f64,
    /// The same without those for which only stranded tokens would have sufficed.
    pub avoidable_refusals_per_million: f64,
    /// Tokens stranded at the end.
    pub stranded_tokens: u64,
    /// Writes to the platform.
    pub platform_writes_per_s: f64,
}

/// Runs every case under every policy.
#[must_use]
pub fn run_all(seed: u64, rounds: u64) -> Vec<BudgetResult> {
    let mut results = Vec::new();
    let cases = Deployment::iter().flat_map(|site| Case::iter().map(move |case| (site, case)));
    std::thread::scope(|scope| {
        let work: Vec<_> = cases
            .map(|(site, case)| scope.spawn(move || run_case(site, case, seed, rounds)))
            .collect();
        for thread in work {
            results.extend(thread.join().unwrap_or_default());
        }
    });
    results
}

fn run_case(deployment: Deployment, case: Case, seed: u64, rounds: u64) -> Vec<BudgetResult> {
    let mut results = Vec::new();
    let mut ideal = Sums::default();
    for policy in PolicyName::iter() {
        let mut sums = Sums::default();
        ideal = Sums::default();
        for round in 0..rounds {
            let mut run = Run::new(deployment.size(), case, policy, seed + round);
            run.run();
            sums.add(&run.sums);
            ideal.add(&run.ideal_sums);
        }
        results.push(sums.result(deployment, case, &policy.to_string(), rounds));
    }
    results.push(ideal.result(deployment, case, "ideal", rounds));
    results
}

#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    requests: u64,
    refused: u64,
    falsely_refused: u64,
    avoidably_refused: u64,
    overspent: u64,
    stranded: u64,
    writes: u64,
}

impl Sums {
    fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.refused += other.refused;
        self.falsely_refused += other.falsely_refused;
        self.avoidably_refused += other.avoidably_refused;
        self.overspent += other.overspent;
        self.stranded += other.stranded;
        self.writes += other.writes;
    }

    #[allow(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
    fn result(self, deployment: Deployment, case: Case, policy: &str, rounds: u64) -> BudgetResult {
        let seconds = (rounds * RUN_MS) as f64 / 1_000.0;
        BudgetResult {
            deployment: deployment.to_string(),
            case: case.to_string(),
            policy: policy.to_owned(),
            requests: self.requests,
            refused: self.refused,
            overspent_tokens: self.overspent,
            false_refusals_per_million: per_million(self.falsely_refused, self.requests),
            avoidable_refusals_per_million: per_million(self.avoidably_refused, self.requests),
            stranded_tokens: self.stranded,
            platform_writes_per_s: self.writes as f64 / seconds,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Request {
    router: usize,
    budget: usize,
    reserve: u64,
    actual: u64,
    duration_ms: u64,
    deadline_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tend,
    Arrive(Request),
    End { request: Request, holder: u64 },
    IdealEnd { request: Request },
    Replace { router: usize, dead: u64 },
}

#[derive(Debug, Default)]
struct Account {
    holder: Option<Holder>,
    demand: DemandMeter,
    /// The ledger as this account last read it.
    available: Tokens,
    others: Tokens,
    other_count: usize,
    reported: Tokens,
    waiting: VecDeque<Request>,
}

#[derive(Debug)]
struct Router {
    id: HolderId,
    domain: usize,
    witness: Witness,
    accounts: Vec<Account>,
}

#[derive(Clone, Debug, Default)]
struct Budget {
    paid: u64,
    generation: u64,
    entry: BudgetEntry,
    served: u64,
    reserved: u64,
    ideal_served: u64,
    served_by: BTreeMap<HolderId, u64>,
    ideal_reserved: u64,
}

impl Budget {
    fn serve(&mut self, holder: HolderId, tokens: u64) {
        self.served += tokens;
        *self.served_by.entry(holder).or_default() += tokens;
    }

    /// What sealed holders may have used beyond what they are known to have served.
    fn stranded(&self) -> u64 {
        let sealed = self.entry.rows.iter().filter(|(_, row)| row.sealed);
        let left = sealed.map(|(id, row)| {
            let served = self.served_by.get(id).copied().unwrap_or(0);
            (row.limit_tokens() - row.sent_tokens())
                .get()
                .saturating_sub(served)
        });
        left.sum()
    }
}

struct Run {
    size: SiteSize,
    case: Case,
    policy: Box<dyn GrantPolicy>,
    rng: StdRng,
    now_ms: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    event_count: u64,
    routers: Vec<Router>,
    budgets: Vec<Budget>,
    weights: Vec<f64>,
    budget_ids: Vec<BudgetId>,
    starts: u64,
    sums: Sums,
    ideal_sums: Sums,
}

fn budget_id(place: usize) -> BudgetId {
    let name = format!("budget-{place}");
    BudgetId::new(name).unwrap_or_else(|_| unreachable!("the name is valid"))
}

impl Run {
    fn new(size: SiteSize, case: Case, policy: PolicyName, seed: u64) -> Self {
        let mut run = Self {
            size,
            case,
            policy: policy.build(),
            rng: StdRng::seed_from_u64(seed),
            now_ms: 0,
            events: BinaryHeap::new(),
            event_count: 0,
            routers: Vec::new(),
            budgets: vec![Budget::default(); size.teams],
            weights: (1..=size.teams)
                .map(|rank| 1.0 / scaled_f64(rank as u64))
                .collect(),
            budget_ids: (0..size.teams).map(budget_id).collect(),
            starts: 0,
            sums: Sums::default(),
            ideal_sums: Sums::default(),
        };
        for place in 0..size.routers {
            let router = run.start_router(place);
            run.routers.push(router);
        }
        run.set_budgets();
        run.draw_demand();
        run
    }

    fn start_router(&mut self, place: usize) -> Router {
        self.starts += 1;
        Router {
            id: HolderId::new(self.starts << 8),
            domain: place % self.size.domains,
            witness: Witness::new(),
            accounts: (0..self.size.teams).map(|_| Account::default()).collect(),
        }
    }

    fn set_budgets(&mut self) {
        let expected = self.expected_tokens();
        for (place, expected) in expected.into_iter().enumerate() {
            let factor = match place % 2 {
                0 if self.case.runs_out() => 0.6,
                0 if self.case.is_parted() => 0.8,
                _ => 1.6,
            };
            self.budgets[place].paid = scaled(expected, factor);
            self.budgets[place].generation = 1;
        }
    }

    fn expected_tokens(&self) -> Vec<u64> {
        let total: f64 = self.weights.iter().sum();
        let seconds = f64::from(u32::try_from(RUN_MS / 1_000).unwrap_or(0));
        let tokens = self.size.requests_per_s * seconds * MEAN_ACTUAL_TOKENS;
        self.weights
            .iter()
            .map(|weight| scaled(1, tokens * weight / total))
            .collect()
    }

    /// Draws all requests, the look at the grants and the deaths.
    fn draw_demand(&mut self) {
        let mut at_ms = 0.0;
        loop {
            let uniform: f64 = self.rng.random();
            at_ms -= (1.0 - uniform).ln() * 1_000.0 / self.size.requests_per_s;
            if at_ms >= scaled_f64(RUN_MS) {
                break;
            }
            let request = self.draw_request(scaled(1, at_ms));
            self.push(scaled(1, at_ms), Event::Arrive(request));
        }
        self.push(TEND_MS, Event::Tend);
        if self.case == Case::RouterDeaths {
            for at_ms in DEATHS_MS {
                let router = self.rng.random_range(0..self.size.routers);
                self.push(at_ms, Event::Replace { router, dead: 0 });
            }
        }
    }

    fn draw_request(&mut self, at_ms: u64) -> Request {
        let total: f64 = self.weights.iter().sum();
        let mut point = self.rng.random::<f64>() * total;
        let mut budget = 0;
        while budget + 1 < self.weights.len() && point >= self.weights[budget] {
            point -= self.weights[budget];
            budget += 1;
        }
        let choice = self.rng.random_range(0..ROUTERS_PER_TEAM);
        let prompt = self.rng.random_range(50..600);
        let output_limit = self.rng.random_range(200..1_200);
        let output = output_limit * self.rng.random_range(20..100) / 100;
        Request {
            router: (budget * 2 + choice) % self.size.routers,
            budget,
            reserve: prompt * 3 + output_limit,
            actual: prompt + output,
            duration_ms: 200 + output * 8,
            deadline_ms: at_ms + WAIT_MS,
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
                Event::Tend => self.tend(),
                Event::Arrive(request) => self.arrive(request),
                Event::End { request, holder } => self.end(request, HolderId::new(holder)),
                Event::IdealEnd { request } => {
                    let budget = &mut self.budgets[request.budget];
                    budget.ideal_reserved -= request.reserve;
                    budget.ideal_served += request.actual;
                }
                Event::Replace { router, dead: 0 } => self.kill(router),
                Event::Replace { router, dead } => self.reclaim(router, HolderId::new(dead)),
            }
        }
        for budget in &self.budgets {
            self.sums.overspent += budget.served.saturating_sub(budget.paid);
            self.sums.stranded += budget.stranded();
        }
    }

    fn is_parted(&self) -> bool {
        self.case.is_parted() && PARTED_MS.contains(&self.now_ms)
    }

    /// The side of a failure domain while links are parted. The platform is on side 0.
    fn side(&self, router: usize) -> usize {
        let domain = self.routers[router].domain;
        match self.case {
            Case::HalvesPart => usize::from(domain >= 2),
            Case::DomainParts => usize::from(domain == 3),
            _ => 0,
        }
    }

    fn reaches_platform(&self, router: usize) -> bool {
        let is_cut = self.case == Case::PlatformOut || self.side(router) != 0;
        !(self.is_parted() && is_cut)
    }

    fn are_linked(&self, one: usize, other: usize) -> bool {
        !self.is_parted() || self.side(one) == self.side(other)
    }

    fn top_up(&mut self) {
        let is_due = self.case.is_parted() || self.case == Case::YearEndRush;
        let at_ms = if self.case == Case::PlatformOut {
            PARTED_MS.end
        } else {
            TOP_UP_MS
        };
        if !is_due || self.now_ms < at_ms {
            return;
        }
        for budget in self
            .budgets
            .iter_mut()
            .step_by(4)
            .filter(|budget| budget.generation == 1)
        {
            budget.generation = 2;
            budget.paid += budget.paid;
        }
    }

    fn tend(&mut self) {
        self.top_up();
        for router in 0..self.routers.len() {
            for budget in 0..self.budgets.len() {
                self.tend_account(router, budget);
            }
        }
        if self.now_ms < RUN_MS {
            self.push(self.now_ms + TEND_MS, Event::Tend);
        }
    }

    fn tend_account(&mut self, router: usize, budget: usize) {
        let account = &mut self.routers[router].accounts[budget];
        account.demand.end_interval(TEND_MS);
        if account.holder.is_none() {
            return;
        }
        let decision = self.policy.decide(&self.view(router, budget));
        let is_due = decision != GrantDecision::default()
            || self.lacks_witness(router, budget)
            || self.is_report_due(router, budget);
        if is_due {
            self.sync(router, budget, decision);
        }
        self.extend(router, budget, 0);
        self.retry_waiting(router, budget);
    }

    fn view(&self, router: usize, budget: usize) -> GrantView {
        let account = &self.routers[router].accounts[budget];
        let holder = account.holder.as_ref();
        GrantView {
            available_tokens: account.available,
            charged_tokens: Tokens::ZERO,
            others_free_tokens: account.others,
            paid_tokens: Tokens::new(self.budgets[budget].paid),
            free_tokens: holder.map(Holder::free_tokens).unwrap_or_default(),
            reserved_tokens: holder.map(Holder::reserved_tokens).unwrap_or_default(),
            demand_tokens_per_s: account.demand.tokens_per_s(),
            largest_request_tokens: account.demand.largest_tokens(),
            holder_count: (account.other_count + 1).max(ROUTERS_PER_TEAM) as u64,
        }
    }

    /// Brings the router's row up to date, if the platform is in reach.
    fn sync(&mut self, router: usize, budget: usize, decision: GrantDecision) -> bool {
        if !self.reaches_platform(router) {
            return false;
        }
        let witnesses = self.choose_witnesses(router, budget);
        let id = self.routers[router].id;
        let state = &mut self.budgets[budget];
        let account = &mut self.routers[router].accounts[budget];
        let holder = account.holder.get_or_insert_with(|| Holder::new(id));
        let update = holder.prepare_update(&UpdateWish {
            generation: state.generation,
            paid_tokens: Tokens::new(state.paid),
            draw_tokens: decision.draw_tokens,
            return_tokens: decision.return_tokens,
            witnesses,
        });
        self.sums.writes += 1;
        let is_applied = state.entry.apply(&update).is_ok();
        if let Some(row) = state.entry.rows.get(&id) {
            holder.confirm(row);
        }
        let others = state.entry.rows.iter().filter(|(other, _)| **other != id);
        let others: Vec<Tokens> = others.map(|(_, row)| row.unspent_tokens()).collect();
        account.reported = update.spent_tokens;
        account.available = state.entry.available_tokens();
        account.others = others.iter().copied().sum();
        account.other_count = others
            .iter()
            .filter(|unspent| **unspent > Tokens::ZERO)
            .count();
        is_applied
    }

    /// The present witnesses while all are in reach, else one in each other failure domain and
    /// one in the same.
    fn choose_witnesses(&self, router: usize, budget: usize) -> WitnessSet {
        let account = &self.routers[router].accounts[budget];
        let present = account
            .holder
            .as_ref()
            .map(Holder::witnesses)
            .cloned()
            .unwrap_or_default();
        let limit_tokens = account
            .holder
            .as_ref()
            .map(Holder::limit_tokens)
            .unwrap_or_default();
        let near_allowance_tokens = near_allowance(limit_tokens, &account.demand);
        let is_large_enough = present.near_allowance_tokens >= near_allowance_tokens.scaled(1, 2);
        let is_in_reach = present.all().all(|id| self.is_linked_to(router, id));
        if !present.is_empty() && is_large_enough && is_in_reach {
            return present;
        }
        let count = self.routers.len();
        let own_domain = self.routers[router].domain;
        let mut domains = BTreeSet::from([own_domain]);
        let mut best = WitnessSet {
            near_allowance_tokens,
            ..WitnessSet::default()
        };
        let others = (1..count).map(|step| (router + step) % count);
        for other in others.filter(|other| self.are_linked(router, *other)) {
            let Router { id, domain, .. } = self.routers[other];
            if domains.insert(domain) {
                best.far.insert(id);
            }
            if domain == own_domain && best.near.is_none() {
                best.near = Some(id);
            }
        }
        if best.is_empty() {
            return present;
        }
        best
    }

    /// True at intervals, while there is spending to report or a grant to learn about.
    fn is_report_due(&self, router: usize, budget: usize) -> bool {
        let account = &self.routers[router].accounts[budget];
        let spent_tokens = account
            .holder
            .as_ref()
            .map(Holder::spent_tokens)
            .unwrap_or_default();
        self.now_ms.is_multiple_of(REPORT_MS) && spent_tokens > account.reported
    }

    /// True when a witness of a grant is gone or out of reach.
    fn lacks_witness(&self, router: usize, budget: usize) -> bool {
        let holder = self.routers[router].accounts[budget].holder.as_ref();
        holder.is_some_and(|holder| {
            let is_lost = |id| !self.is_linked_to(router, id);
            holder.limit_tokens() > Tokens::ZERO && holder.witnesses().all().any(is_lost)
        })
    }

    fn is_linked_to(&self, router: usize, id: HolderId) -> bool {
        let place = self.routers.iter().position(|other| other.id == id);
        place.is_some_and(|other| self.are_linked(router, other))
    }

    /// Has the witness acknowledge some seconds of demand, or what one request needs.
    fn extend(&mut self, router: usize, budget: usize, needed: u64) {
        let account = &self.routers[router].accounts[budget];
        let Some(holder) = &account.holder else {
            return;
        };
        let largest = account.demand.largest_tokens().get();
        let ahead = (largest * 4)
            .max(account.demand.tokens_per_s() * 2)
            .max(needed);
        let wanted = (holder.consumed_tokens() + Tokens::new(ahead)).min(holder.limit_tokens());
        let rest = holder.horizon_tokens() - holder.consumed_tokens();
        let is_low = rest < Tokens::new(ahead / 2) || rest < Tokens::new(needed);
        if !is_low || wanted <= holder.horizon_tokens() {
            return;
        }
        let id = holder.id();
        let is_in_reach = |witness: &HolderId| self.is_linked_to(router, *witness);
        let reached = holder.witnesses().all().find(is_in_reach);
        let Some(witness) = reached else {
            return;
        };
        let name = self.budget_ids[budget].clone();
        let mut others = self.routers.iter_mut();
        let record = others
            .find(|other| other.id == witness)
            .map(|other| other.witness.extend(id, &name, wanted));
        let account = &mut self.routers[router].accounts[budget];
        if let (Some(holder), Some(record)) = (&mut account.holder, record) {
            holder.acknowledge(witness, record);
        }
    }

    fn arrive(&mut self, request: Request) {
        self.sums.requests += 1;
        self.ideal_sums.requests += 1;
        let budget = &mut self.budgets[request.budget];
        let ideal_rest = budget
            .paid
            .saturating_sub(budget.ideal_served + budget.ideal_reserved);
        if ideal_rest >= request.reserve {
            budget.ideal_reserved += request.reserve;
            self.push(
                self.now_ms + request.duration_ms,
                Event::IdealEnd { request },
            );
        } else {
            self.ideal_sums.refused += 1;
        }
        if !self.search(request) {
            self.wait_or_refuse(request);
        }
    }

    /// Looks for tokens as a router does: own grant, witness, ledger, peers.
    fn search(&mut self, request: Request) -> bool {
        let Request {
            router,
            budget,
            reserve,
            ..
        } = request;
        let account = &mut self.routers[router].accounts[budget];
        account.demand.note(Tokens::new(reserve));
        if self.try_start(request) {
            return true;
        }
        let view = self.view(router, budget);
        let decision = self.policy.decide_for_request(&view, Tokens::new(reserve));
        self.sync(router, budget, decision);
        if self.try_start(request) {
            return true;
        }
        if self.policy.hands_over() {
            self.take_from_peers(router, budget, reserve);
        }
        self.try_start(request)
    }

    fn try_start(&mut self, request: Request) -> bool {
        let is_reserved = self.reserve(request) || {
            self.extend(request.router, request.budget, request.reserve);
            self.reserve(request)
        };
        if is_reserved {
            let holder = self.routers[request.router].id.get();
            self.budgets[request.budget].reserved += request.reserve;
            self.push(
                self.now_ms + request.duration_ms,
                Event::End { request, holder },
            );
        }
        is_reserved
    }

    fn reserve(&mut self, request: Request) -> bool {
        let account = &mut self.routers[request.router].accounts[request.budget];
        let tokens = Tokens::new(request.reserve);
        account
            .holder
            .as_mut()
            .is_some_and(|holder| holder.reserve(tokens).is_ok())
    }

    fn take_from_peers(&mut self, router: usize, budget: usize, needed: u64) {
        let id = self.routers[router].id;
        let linked = (0..self.routers.len())
            .filter(|other| *other != router && self.are_linked(router, *other));
        for giver in linked.collect::<Vec<_>>() {
            let free = |holder: &Holder| holder.free_tokens();
            let own = self.routers[router].accounts[budget]
                .holder
                .as_ref()
                .map(free);
            let lacking = Tokens::new(needed) - own.unwrap_or_default();
            if lacking == Tokens::ZERO {
                return;
            }
            self.extend(giver, budget, lacking.get());
            let sender = self.routers[giver].id;
            let taker = &mut self.routers[router].accounts[budget];
            let taker = taker.holder.get_or_insert_with(|| Holder::new(id));
            let known = taker.received_from(sender);
            let Some(holder) = &mut self.routers[giver].accounts[budget].holder else {
                continue;
            };
            let total = holder.send(id, known, lacking);
            if let Some(taker) = &mut self.routers[router].accounts[budget].holder {
                taker.receive(sender, total);
            }
        }
    }

    /// Waits while reservations of the router may come back, else refuses.
    fn wait_or_refuse(&mut self, request: Request) {
        let account = &mut self.routers[request.router].accounts[request.budget];
        let may_come_back = account.holder.as_ref().is_some_and(|holder| {
            let most = holder.free_tokens() + holder.reserved_tokens();
            holder.reserved_tokens() > Tokens::ZERO && most >= Tokens::new(request.reserve)
        });
        if may_come_back && self.now_ms < request.deadline_ms {
            account.waiting.push_back(request);
            return;
        }
        let budget = &self.budgets[request.budget];
        let rest = budget.paid.saturating_sub(budget.served + budget.reserved);
        self.sums.refused += 1;
        self.sums.falsely_refused += u64::from(rest >= request.reserve);
        let stranded = budget.stranded();
        let is_avoidable = rest.saturating_sub(stranded) >= request.reserve;
        self.sums.avoidably_refused += u64::from(is_avoidable);
    }

    fn retry_waiting(&mut self, router: usize, budget: usize) {
        let waiting = std::mem::take(&mut self.routers[router].accounts[budget].waiting);
        for request in waiting {
            if !self.search(request) {
                self.wait_or_refuse(request);
            }
        }
    }

    fn end(&mut self, request: Request, holder_id: HolderId) {
        let budget = &mut self.budgets[request.budget];
        budget.reserved -= request.reserve;
        let router = &mut self.routers[request.router];
        if router.id != holder_id {
            // Its router died: about half of the answer had been served.
            budget.serve(holder_id, request.actual / 2);
            return;
        }
        budget.serve(holder_id, request.actual);
        if let Some(holder) = &mut router.accounts[request.budget].holder {
            holder.settle(Tokens::new(request.reserve), Tokens::new(request.actual));
        }
        self.retry_waiting(request.router, request.budget);
    }

    fn kill(&mut self, router: usize) {
        let dead = self.routers[router].id.get();
        self.routers[router] = self.start_router(router);
        self.push(self.now_ms + RECLAIM_MS, Event::Replace { router, dead });
    }

    /// Seals a dead router's grants at their witnesses; without all of them nothing is freed.
    fn reclaim(&mut self, router: usize, dead: HolderId) {
        if !self.reaches_platform(router) {
            return;
        }
        for budget in 0..self.budgets.len() {
            let Some(row) = self.budgets[budget].entry.rows.get(&dead) else {
                continue;
            };
            let name = &self.budget_ids[budget];
            let mut sealed = SealedHorizons::new();
            for other in &mut self.routers {
                if row.witnesses.all().any(|witness| witness == other.id) {
                    sealed.insert(other.id, other.witness.seal(dead, name).horizon_tokens);
                }
            }
            let _ = self.budgets[budget].entry.reclaim(dead, &sealed);
            self.sums.writes += 1;
        }
    }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "amounts are positive and far below 2^52"
)]
fn scaled(amount: u64, factor: f64) -> u64 {
    (scaled_f64(amount) * factor) as u64
}

fn per_million(count: u64, of: u64) -> f64 {
    scaled_f64(count) * 1e6 / scaled_f64(of.max(1))
}

#[allow(clippy::cast_precision_loss, reason = "amounts are far below 2^52")]
fn scaled_f64(amount: u64) -> f64 {
    amount as f64
}

/// Mean tokens that a request spends.
const MEAN_ACTUAL_TOKENS: f64 = 740.0;
