//! What this router may spend of each team's prepaid budget.
//!
//! A reservation is made in memory from a grant. Grants come from the ledger in the store, where
//! they count as spent from the moment they are made, or from another router's grant; what is not
//! needed is given back.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::{watch, Notify};
use tokio::time::Instant;

use super::catalog::Catalog;
use super::members::LedgerDuty;
use super::pooling::{OpenAsk, OtherRouter, StockWish, WaitingAsk};
use super::request::{RejectKind, Rejection};
use crate::core::cover::{fleet_cover_tokens, RankedDemand, CUT_S};
use crate::core::holder::Holder;
use crate::core::ids::{BudgetId, HolderId};
use crate::core::ledger::Generation;
use crate::core::policy::{GrantPolicy, GrantView};
use crate::core::pooling::{FleetStock, RouterStock};
use crate::core::share::LedgerTotals;
use crate::core::units::Tokens;
use crate::util::{lock, short_digest};

/// Longest wait of a request for tokens: an ask of a router that died, and one of a router that
/// draws on the ledger for it. Coming back after a refusal takes longer.
const TOKENS_WAIT: Duration = Duration::from_millis(600);
/// Time after which a ledger that has not answered counts as slow, so that other routers are
/// asked: ten times its usual answer.
const SLOW_LEDGER: Duration = Duration::from_millis(40);
/// Time after which a caller may come back when the ledger cannot be reached: time to reach
/// another router, or for a short cut to end.
const OUT_OF_REACH_RETRY: Duration = Duration::from_millis(1_500);
/// Longest advice in a cut, since it may end sooner than the longest one.
const MAX_CUT_RETRY: Duration = Duration::from_secs(3);
/// Time after which a caller may come back when reservations of others may be freed.
const RESERVED_RETRY: Duration = Duration::from_millis(800);
/// Age up to which a look at the ledger that found nothing is believed.
const EMPTY_LEDGER_AGE: Duration = Duration::from_millis(400);
/// Least time for which a cut from the ledger is expected to last on, in seconds.
const LEAST_CUT_REST_S: f64 = 1.0;

/// One team's grant.
#[derive(Debug)]
pub(super) struct TeamGrant {
    pub(super) holder: Holder,
    pub(super) demand: RankedDemand,
    pub(super) totals: LedgerTotals,
    /// Tokens that holders which are not heard may have left, by the ledger.
    pub(super) unheard_tokens: Tokens,
    pub(super) paid_tokens: Tokens,
    /// Largest request that found too little since the last look at the ledger.
    pub(super) unmet_tokens: Tokens,
    /// When the ledger was last seen with this budget.
    pub(super) seen: Option<Instant>,
    /// Short name of the budget in hellos.
    pub(super) digest: u32,
    /// Largest request that waits for another router's tokens.
    pub(super) asked_tokens: Tokens,
    /// The router that is asked now.
    pub(super) open_ask: Option<OpenAsk>,
}

impl TeamGrant {
    fn new(holder: HolderId, budget: &BudgetId, paid_tokens: Tokens) -> Self {
        Self {
            digest: short_digest(budget.as_str()),
            holder: Holder::new(holder).with_summed_sends(),
            demand: RankedDemand::default(),
            totals: LedgerTotals::default(),
            unheard_tokens: Tokens::ZERO,
            paid_tokens,
            unmet_tokens: Tokens::ZERO,
            seen: None,
            asked_tokens: Tokens::ZERO,
            open_ask: None,
        }
    }

    /// This router's stock, as it tells others.
    pub(super) fn stock(&self) -> RouterStock {
        RouterStock {
            free_tokens: self.holder.free_tokens(),
            reserved_tokens: self.holder.reserved_tokens(),
            demand_tokens_per_s: self.demand.rank_tokens_per_s(),
        }
    }

    /// What to look for at other routers when a request needs some tokens.
    pub(super) fn wish(&self, tokens: Tokens, may_draw: bool) -> StockWish {
        StockWish {
            budget: self.digest,
            asker: self.holder.id(),
            wanted_tokens: self.stock().wanted_tokens(tokens),
            may_draw,
        }
    }

    /// Tokens in the ledger that nobody holds.
    pub(super) fn available_tokens(&self) -> Tokens {
        self.paid_tokens - self.totals.charged_tokens
    }

    /// Tokens in the ledger that nobody holds, if that was seen a moment ago.
    pub(super) fn just_seen_available_tokens(&self) -> Option<Tokens> {
        let is_fresh = self
            .seen
            .is_some_and(|seen| seen.elapsed() < EMPTY_LEDGER_AGE);
        (is_fresh && self.holder.pending().is_none()).then(|| self.available_tokens())
    }

    /// Takes in what another router has just seen in the ledger.
    pub(super) fn learn_available(&mut self, available_tokens: Tokens) {
        self.seen = Some(Instant::now());
        self.totals.charged_tokens = self.paid_tokens - available_tokens;
    }

    /// True when the ledger was just seen to hold too little for a request. While an update is on
    /// its way, what it draws or gives back is in neither count.
    pub(super) fn is_ledger_short(&self, tokens: Tokens) -> bool {
        self.just_seen_available_tokens()
            .is_some_and(|available| available + self.holder.free_tokens() < tokens)
    }

    /// How long the rest of the budget lasts at the demand of all routers, in seconds.
    fn rest_s(&self, fleet: &FleetStock) -> f64 {
        let demand = Tokens::new(fleet.sum.all_demand_tokens_per_s()).as_estimate();
        if demand < 1.0 {
            return f64::INFINITY;
        }
        let others_tokens = self
            .totals
            .others_free_tokens
            .max(fleet.sum.free_tokens - self.holder.free_tokens());
        let rest_tokens = self.available_tokens() + others_tokens + self.holder.free_tokens();
        rest_tokens.as_estimate() / demand
    }

    /// What the policy sees. `holders` is the number of routers that draw on the ledger.
    pub(super) fn view(&self, fleet: &FleetStock, holders: usize) -> GrantView {
        let rest_s = self.rest_s(fleet);
        let fleet_demand = fleet.sum.demand_tokens_per_s;
        let fleet_cover_tokens = fleet_cover_tokens(fleet_demand, holders as u64, rest_s);
        GrantView {
            available_tokens: self.available_tokens(),
            others_free_tokens: self.totals.others_free_tokens,
            paid_tokens: self.paid_tokens,
            charged_tokens: self.totals.charged_tokens,
            free_tokens: self.holder.free_tokens(),
            reserved_tokens: self.holder.reserved_tokens(),
            demand_tokens_per_s: self.demand.tokens_per_s(),
            largest_request_tokens: self.demand.largest_tokens(),
            cover_tokens: self.demand.own_cover_tokens(rest_s) + fleet_cover_tokens,
            holder_count: (self.totals.other_count + 1).max(holders as u64),
        }
    }

    /// The rejection of a request that finds too little in the ledger and at other routers.
    fn short_rejection(&self, tokens: Tokens, fleet: &FleetStock) -> Rejection {
        let held_tokens = fleet.sum.free_tokens + fleet.sum.reserved_tokens + self.unheard_tokens;
        if self.is_ledger_short(tokens) && self.available_tokens() + held_tokens < tokens {
            return Rejection::new(RejectKind::BudgetUsed);
        }
        Rejection::new(RejectKind::BudgetOutOfReach).with_retry_after(RESERVED_RETRY)
    }
}

#[derive(Debug)]
pub(super) struct GrantState {
    pub(super) teams: HashMap<BudgetId, TeamGrant>,
    pub(super) generation: Generation,
    /// Which routers draw on the ledger.
    pub(super) duty: LedgerDuty,
    /// When no other router reached the ledger any more.
    pub(super) others_cut_off_since: Option<Instant>,
    /// When the ledger could first not be reached, since it last could.
    pub(super) cut_off_since: Option<Instant>,
    /// Since when the ledger has not answered.
    pub(super) ledger_call_since: Option<Instant>,
    /// What other routers told of themselves.
    pub(super) others: HashMap<SocketAddr, OtherRouter>,
    /// Asks of other routers that wait for the ledger.
    pub(super) waiting_asks: Vec<WaitingAsk>,
}

impl GrantState {
    /// Since when the ledger, or the routers that draw on it for this one, are out of reach.
    fn cut_off_since(&self) -> Option<Instant> {
        if self.duty.distributes {
            self.cut_off_since
        } else {
            self.others_cut_off_since
        }
    }

    /// True when this router can draw on the ledger now.
    pub(super) fn can_draw(&self) -> bool {
        self.duty.distributes && !self.is_ledger_slow()
    }

    /// True when another router tells that it can.
    pub(super) fn can_others_draw(&self) -> bool {
        self.others.values().any(OtherRouter::reaches_ledger)
    }

    /// True when the ledger does not answer in time.
    pub(super) fn is_ledger_slow(&self) -> bool {
        self.cut_off_since.is_some()
            || self
                .ledger_call_since
                .is_some_and(|since| since.elapsed() > SLOW_LEDGER)
    }
}

/// All grants of this router.
#[derive(Debug)]
pub(crate) struct Grants {
    pub(super) holder: HolderId,
    pub(super) policy: Box<dyn GrantPolicy>,
    pub(super) state: Mutex<GrantState>,
    pub(super) wake: Notify,
    pub(super) transfers: Notify,
    pub(super) looks: watch::Sender<u64>,
}

/// Tokens set aside for one request. What was not spent comes back when it is dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    grants: Arc<Grants>,
    budget: BudgetId,
    reserved_tokens: Tokens,
    spent_tokens: Tokens,
}

impl Reservation {
    /// Says what was spent so far.
    pub(crate) fn set_spent(&mut self, tokens: Tokens) {
        self.spent_tokens = tokens;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut state = lock(&self.grants.state);
        if let Some(team) = state.teams.get_mut(&self.budget) {
            team.holder.settle(self.reserved_tokens, self.spent_tokens);
            team.demand
                .note_end(self.spent_tokens, self.reserved_tokens);
        }
    }
}

/// How a reservation found its tokens, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct GrantNote {
    /// Tokens left in this router's grant.
    pub free_tokens: Tokens,
    /// Age of the ledger as last seen.
    pub ledger_age: Option<Duration>,
}

/// Why a reservation cannot be made at once.
enum Short {
    /// The ledger may have more.
    AskLedger,
    /// The ledger is being asked.
    AwaitLedger,
    /// Another router may have more.
    AskRouters,
    /// Nobody is known to have more.
    Rejected(Rejection),
}

impl Grants {
    /// No grants yet.
    pub(crate) fn new(holder: HolderId, policy: Box<dyn GrantPolicy>) -> Self {
        Self {
            holder,
            policy,
            state: Mutex::new(GrantState {
                teams: HashMap::new(),
                generation: 0,
                duty: LedgerDuty {
                    distributors: Vec::new(),
                    place: 0,
                    distributes: true,
                    is_fleet_found: false,
                },
                others_cut_off_since: None,
                cut_off_since: None,
                ledger_call_since: None,
                others: HashMap::new(),
                waiting_asks: Vec::new(),
            }),
            wake: Notify::new(),
            transfers: Notify::new(),
            looks: watch::Sender::new(0),
        }
    }

    /// Takes in the teams and prepaid amounts of newer lists.
    pub(crate) fn learn_catalog(&self, catalog: &Catalog) {
        let mut state = lock(&self.state);
        if catalog.version() <= state.generation {
            return;
        }
        state.generation = catalog.version();
        for team in catalog.teams() {
            let Some(paid_tokens) = team.paid_tokens else {
                continue;
            };
            let holder = self.holder;
            let grant = state
                .teams
                .entry(team.budget.clone())
                .or_insert_with(|| TeamGrant::new(holder, &team.budget, paid_tokens));
            grant.paid_tokens = paid_tokens;
        }
        drop(state);
        self.wake.notify_one();
    }

    /// Reserves tokens, asking the ledger or other routers for more if the grant is too small.
    ///
    /// # Errors
    ///
    /// Rejects the request when the budget is used up or cannot be drawn on now.
    pub(crate) async fn reserve(
        self: &Arc<Self>,
        budget: &BudgetId,
        rank: u8,
        tokens: Tokens,
    ) -> Result<Reservation, Rejection> {
        let give_up = Instant::now() + TOKENS_WAIT;
        let mut looks = self.looks.subscribe();
        loop {
            match self.try_reserve(budget, rank, tokens) {
                Ok(reservation) => return Ok(reservation),
                Err(Short::Rejected(rejection)) => return Err(rejection),
                Err(_) if Instant::now() >= give_up => return Err(out_of_reach()),
                Err(Short::AskLedger) => self.wake.notify_one(),
                Err(Short::AskRouters) => self.transfers.notify_one(),
                Err(Short::AwaitLedger) => {}
            }
            let next_look = give_up.min(Instant::now() + SLOW_LEDGER);
            // After the time the state is looked at anew, as after a change.
            let _ = tokio::time::timeout_at(next_look, looks.changed()).await;
        }
    }

    /// Reserves from the present grant.
    fn try_reserve(
        self: &Arc<Self>,
        budget: &BudgetId,
        rank: u8,
        tokens: Tokens,
    ) -> Result<Reservation, Short> {
        let mut state = lock(&self.state);
        let state = &mut *state;
        let needs_others = !state.can_draw();
        let is_fleet_cut_off = state.cut_off_since().is_some() && !state.can_others_draw();
        let cut_rest_s = state
            .cut_off_since()
            .map(|since| (CUT_S - since.elapsed().as_secs_f64()).max(LEAST_CUT_REST_S));
        let Some(team) = state.teams.get_mut(budget) else {
            return Err(Short::Rejected(out_of_reach()));
        };
        if let Some(rest_s) = cut_rest_s.filter(|_| is_fleet_cut_off) {
            let fleet = fleet_stock(team, &state.others);
            if !fleet.admits(rank, tokens, rest_s) {
                return Err(Short::Rejected(cut_off(rest_s)));
            }
        }
        if team.holder.reserve(tokens).is_ok() {
            team.demand.note_start(rank, tokens);
            return Ok(Reservation {
                grants: Arc::clone(self),
                budget: budget.clone(),
                reserved_tokens: tokens,
                spent_tokens: Tokens::ZERO,
            });
        }
        let is_ledger_short = team.is_ledger_short(tokens);
        if needs_others || is_ledger_short {
            let wish = team.wish(tokens, needs_others && !is_ledger_short);
            if team.open_ask.is_some() || OtherRouter::best(&state.others, &wish).is_some() {
                team.asked_tokens = team.asked_tokens.max(tokens);
                return Err(Short::AskRouters);
            }
            if let Some(rest_s) = cut_rest_s {
                return Err(Short::Rejected(cut_off(rest_s)));
            }
            if is_ledger_short || !state.duty.distributes {
                let fleet = fleet_stock(team, &state.others);
                return Err(Short::Rejected(team.short_rejection(tokens, &fleet)));
            }
        }
        if team.holder.pending().is_some() {
            return Err(Short::AwaitLedger);
        }
        team.unmet_tokens = team.unmet_tokens.max(tokens);
        Err(Short::AskLedger)
    }

    /// What the log says of a team's grant.
    pub(crate) fn note(&self, budget: &BudgetId) -> Option<GrantNote> {
        let state = lock(&self.state);
        let team = state.teams.get(budget)?;
        Some(GrantNote {
            free_tokens: team.holder.free_tokens(),
            ledger_age: team.seen.map(|seen| seen.elapsed()),
        })
    }

    /// Lets requests that wait for tokens look anew.
    pub(super) fn wake_waiting(&self) {
        self.looks.send_modify(|count| *count += 1);
    }

    /// Has the ledger written again.
    pub(crate) fn want_ledger(&self) {
        self.wake.notify_one();
    }

    /// Waits until a request needs the ledger.
    pub(crate) async fn wanted(&self) {
        self.wake.notified().await;
    }

    /// Ends an interval of the meters of demand.
    pub(crate) fn end_interval(&self, interval: Duration) {
        for team in lock(&self.state).teams.values_mut() {
            team.demand.pass(interval.as_secs_f64());
        }
    }

    /// True when nothing is held or pending.
    pub(crate) fn is_given_back(&self) -> bool {
        let state = lock(&self.state);
        let mut teams = state.teams.values();
        teams.all(|team| team.holder.free_tokens().is_zero() && team.holder.pending().is_none())
    }

    /// Tokens spent of each budget by this process.
    pub(crate) fn spent(&self) -> BTreeMap<BudgetId, Tokens> {
        let state = lock(&self.state);
        let teams = state.teams.iter();
        teams
            .map(|(budget, team)| (budget.clone(), team.holder.spent_tokens()))
            .collect()
    }
}

/// What all routers hold of a budget, as they last told.
pub(super) fn fleet_stock(
    team: &TeamGrant,
    others: &HashMap<SocketAddr, OtherRouter>,
) -> FleetStock {
    let mut fleet = FleetStock::default();
    fleet.add(&team.stock());
    for other in others.values() {
        if let Some(stock) = other.stock(team.digest) {
            fleet.add(stock);
        }
    }
    fleet
}

/// A rejection in a cut that is expected to last for a time.
fn cut_off(rest_s: f64) -> Rejection {
    let back = Duration::try_from_secs_f64(rest_s).unwrap_or_default();
    let back = back.clamp(OUT_OF_REACH_RETRY, MAX_CUT_RETRY);
    Rejection::new(RejectKind::BudgetOutOfReach).with_retry_after(back)
}

fn out_of_reach() -> Rejection {
    Rejection::new(RejectKind::BudgetOutOfReach).with_retry_after(OUT_OF_REACH_RETRY)
}

/// The part of a holder id that names the VM.
pub(super) const fn vm_part(holder: HolderId) -> u64 {
    holder.get() >> 32
}

/// The id of a process start on a VM.
pub(crate) fn holder_on_vm(vm_hash: u64, random: u64) -> HolderId {
    let vm = vm_hash & 0xffff_ffff;
    HolderId::from_random((vm << 32) | (random & 0xffff_ffff))
}
