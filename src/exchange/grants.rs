//! This router's grants from each team's prepaid budget.
//!
//! Reservations are made in memory from a grant. A grant is drawn from the ledger in the store,
//! which counts it as spent as soon as it is made, or transferred from another router's grant.
//! Unneeded tokens are returned to the ledger.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::{watch, Notify};
use tokio::time::Instant;

use super::catalog::Catalog;
use super::members::LedgerDuty;
use super::pooling::{HoldingsQuery, PeerGrants, PendingTransfer, QueuedTransfer};
use super::reported_grants::ReportedGrants;
use super::request::{RejectKind, Rejection};
use crate::core::cover::{fleet_cover_tokens, RankedDemand, MAX_PARTITION_S};
use crate::core::holder::Holder;
use crate::core::holdings::{FleetHoldings, RouterHoldings};
use crate::core::ids::{BudgetId, HolderId};
use crate::core::ledger::Generation;
use crate::core::policy::{GrantPolicy, GrantView};
use crate::core::share::LedgerTotals;
use crate::core::units::Tokens;
use crate::util::{lock, short_digest};

/// Longest wait of a request for tokens. Covers a transfer request to a dead router followed by one
/// to a router that draws on the ledger. A retry after a refusal takes longer.
const TOKENS_WAIT: Duration = Duration::from_millis(600);
/// Response time above which the ledger counts as slow and tokens are requested from other
/// routers: ten times its usual response time.
const SLOW_LEDGER: Duration = Duration::from_millis(40);
/// Retry delay sent to callers while the ledger is unreachable: enough to reach another router or
/// for a short network partition to end.
const UNREACHABLE_RETRY: Duration = Duration::from_millis(1_500);
/// Longest retry delay during a partition, which may end sooner than the longest one expected.
const MAX_PARTITION_RETRY: Duration = Duration::from_secs(3);
/// Retry delay sent to callers when other requests may release reserved tokens.
const RESERVED_RETRY: Duration = Duration::from_millis(800);
/// Longest time for which a ledger read stays valid for deciding that tokens have run out.
const LEDGER_READ_VALIDITY: Duration = Duration::from_millis(400);
/// Lower bound on the expected remaining duration of a partition from the ledger, in seconds.
const MIN_PARTITION_LEFT_S: f64 = 1.0;

/// One team's grant.
#[derive(Debug)]
pub(super) struct TeamGrant {
    pub(super) holder: Holder,
    pub(super) demand: RankedDemand,
    pub(super) totals: LedgerTotals,
    /// Unspent tokens, by the ledger, of holders without a current report.
    pub(super) unreported_tokens: Tokens,
    pub(super) paid_tokens: Tokens,
    /// Largest request that lacked tokens since the last ledger update was prepared.
    pub(super) unmet_tokens: Tokens,
    /// When this router last received the budget's state in the ledger.
    pub(super) ledger_read_at: Option<Instant>,
    /// Digest that identifies the budget in hellos.
    pub(super) digest: u32,
    /// Largest request waiting for a transfer from another router.
    pub(super) requested_tokens: Tokens,
    /// The transfer request in flight.
    pub(super) pending_transfer: Option<PendingTransfer>,
}

impl TeamGrant {
    fn new(holder: HolderId, budget: &BudgetId, paid_tokens: Tokens) -> Self {
        Self {
            digest: short_digest(budget.as_str()),
            holder: Holder::new(holder).with_send_sum(),
            demand: RankedDemand::default(),
            totals: LedgerTotals::default(),
            unreported_tokens: Tokens::ZERO,
            paid_tokens,
            unmet_tokens: Tokens::ZERO,
            ledger_read_at: None,
            requested_tokens: Tokens::ZERO,
            pending_transfer: None,
        }
    }

    /// Returns this router's holdings, as reported to other routers.
    pub(super) fn holdings(&self) -> RouterHoldings {
        RouterHoldings {
            free_tokens: self.holder.free_tokens(),
            reserved_tokens: self.holder.reserved_tokens(),
            demand_tokens_per_s: self.demand.rank_tokens_per_s(),
        }
    }

    /// Builds the query for routers that can supply a request's tokens.
    pub(super) fn query(&self, tokens: Tokens, may_draw: bool) -> HoldingsQuery {
        HoldingsQuery {
            budget: self.digest,
            requester: self.holder.id(),
            wanted_tokens: self.holdings().wanted_tokens(tokens),
            may_draw,
        }
    }

    /// Returns the tokens in the ledger that no holder has drawn.
    pub(super) fn available_tokens(&self) -> Tokens {
        self.paid_tokens - self.totals.charged_tokens
    }

    /// Returns the undrawn tokens in the ledger if that figure is fresh and no update is pending.
    pub(super) fn fresh_available_tokens(&self) -> Option<Tokens> {
        let is_fresh = self
            .ledger_read_at
            .is_some_and(|read_at| read_at.elapsed() < LEDGER_READ_VALIDITY);
        (is_fresh && self.holder.pending().is_none()).then(|| self.available_tokens())
    }

    /// Records the undrawn tokens that another router has just read from the ledger.
    pub(super) fn record_available(&mut self, available_tokens: Tokens) {
        self.ledger_read_at = Some(Instant::now());
        self.totals.charged_tokens = self.paid_tokens - available_tokens;
    }

    /// Returns true if a fresh ledger read shows too few tokens for a request. Not decided while an
    /// update is in flight, since the tokens that it draws or returns are in neither count.
    pub(super) fn is_ledger_short(&self, tokens: Tokens) -> bool {
        self.fresh_available_tokens()
            .is_some_and(|available| available + self.holder.free_tokens() < tokens)
    }

    /// Returns how long the remaining budget lasts at the fleet's demand, in seconds.
    fn time_to_exhaustion_s(&self, fleet: &FleetHoldings) -> f64 {
        let demand = Tokens::new(fleet.sum.total_demand_tokens_per_s()).as_estimate();
        if demand < 1.0 {
            return f64::INFINITY;
        }
        let others_tokens = self
            .totals
            .others_free_tokens
            .max(fleet.sum.free_tokens - self.holder.free_tokens());
        let remaining_tokens = self.available_tokens() + others_tokens + self.holder.free_tokens();
        remaining_tokens.as_estimate() / demand
    }

    /// Returns the policy's input. `holders` is the number of routers that draw on the ledger.
    pub(super) fn view(&self, fleet: &FleetHoldings, holders: usize) -> GrantView {
        let time_to_exhaustion_s = self.time_to_exhaustion_s(fleet);
        let fleet_demand = fleet.sum.demand_tokens_per_s;
        let fleet_cover_tokens =
            fleet_cover_tokens(fleet_demand, holders as u64, time_to_exhaustion_s);
        GrantView {
            available_tokens: self.available_tokens(),
            others_free_tokens: self.totals.others_free_tokens,
            paid_tokens: self.paid_tokens,
            charged_tokens: self.totals.charged_tokens,
            free_tokens: self.holder.free_tokens(),
            reserved_tokens: self.holder.reserved_tokens(),
            demand_tokens_per_s: self.demand.tokens_per_s(),
            largest_request_tokens: self.demand.largest_tokens(),
            cover_tokens: self.demand.own_cover_tokens(time_to_exhaustion_s) + fleet_cover_tokens,
            holder_count: (self.totals.other_count + 1).max(holders as u64),
        }
    }

    /// Returns the rejection when the ledger and the other routers have too few tokens.
    fn short_rejection(&self, tokens: Tokens, fleet: &FleetHoldings) -> Rejection {
        let held_tokens =
            fleet.sum.free_tokens + fleet.sum.reserved_tokens + self.unreported_tokens;
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
    /// Since when no other router has reported access to the ledger.
    pub(super) others_unreachable_since: Option<Instant>,
    /// Since when this router has been unable to reach the ledger.
    pub(super) unreachable_since: Option<Instant>,
    /// Since when a ledger call has been waiting for an answer.
    pub(super) ledger_call_since: Option<Instant>,
    /// Grants reported by other routers.
    pub(super) others: HashMap<SocketAddr, PeerGrants>,
    /// Grants of other routers, to put back what the ledger may lose.
    pub(super) reported_grants: HashMap<HolderId, ReportedGrants>,
    /// Transfer requests of other routers that wait for a draw on the ledger.
    pub(super) queued_transfers: Vec<QueuedTransfer>,
}

impl GrantState {
    /// Returns since when the ledger, or the routers that draw on it for this one, are unreachable.
    fn unreachable_since(&self) -> Option<Instant> {
        if self.duty.is_distributor {
            self.unreachable_since
        } else {
            self.others_unreachable_since
        }
    }

    /// Returns true if this router can draw on the ledger now.
    pub(super) fn can_draw(&self) -> bool {
        self.duty.is_distributor && !self.is_ledger_slow()
    }

    /// Returns true if another router reports that it can draw on the ledger.
    pub(super) fn can_others_draw(&self) -> bool {
        self.others.values().any(PeerGrants::reaches_ledger)
    }

    /// Returns true if the ledger is unreachable or exceeds its response time limit.
    pub(super) fn is_ledger_slow(&self) -> bool {
        self.unreachable_since.is_some()
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
    pub(super) state_changes: watch::Sender<u64>,
}

/// Tokens reserved for one request. Dropping it settles the request and releases unspent tokens.
#[derive(Debug)]
pub(crate) struct Reservation {
    grants: Arc<Grants>,
    budget: BudgetId,
    reserved_tokens: Tokens,
    spent_tokens: Tokens,
}

impl Reservation {
    /// Sets the tokens spent so far.
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
                .record_end(self.spent_tokens, self.reserved_tokens);
        }
    }
}

/// State of a grant, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct GrantNote {
    /// Tokens left in this router's grant.
    pub free_tokens: Tokens,
    /// Age of the last known ledger state.
    pub ledger_age: Option<Duration>,
}

/// Next step of a reservation that cannot be made at once.
enum ReserveStep {
    /// Draw from the ledger, which may have more.
    DrawFromLedger,
    /// Wait for the pending ledger update.
    AwaitLedger,
    /// Request a transfer from another router, which may have more.
    RequestTransfer,
    /// Reject the request: no known source has more.
    Rejected(Rejection),
}

impl Grants {
    /// Creates an empty set of grants.
    pub(crate) fn new(holder: HolderId, policy: Box<dyn GrantPolicy>) -> Self {
        Self {
            holder,
            policy,
            state: Mutex::new(GrantState {
                teams: HashMap::new(),
                generation: 0,
                duty: LedgerDuty {
                    distributors: Vec::new(),
                    position: 0,
                    is_distributor: true,
                    is_fleet_found: false,
                },
                others_unreachable_since: None,
                unreachable_since: None,
                ledger_call_since: None,
                others: HashMap::new(),
                reported_grants: HashMap::new(),
                queued_transfers: Vec::new(),
            }),
            wake: Notify::new(),
            transfers: Notify::new(),
            state_changes: watch::Sender::new(0),
        }
    }

    /// Applies the teams and prepaid amounts of newer lists.
    pub(crate) fn apply_catalog(&self, catalog: &Catalog) {
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

    /// Reserves tokens, drawing from the ledger or other routers if the grant is too small.
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
        let deadline = Instant::now() + TOKENS_WAIT;
        let mut state_changes = self.state_changes.subscribe();
        loop {
            match self.try_reserve(budget, rank, tokens) {
                Ok(reservation) => return Ok(reservation),
                Err(ReserveStep::Rejected(rejection)) => return Err(rejection),
                Err(_) if Instant::now() >= deadline => return Err(unreachable_rejection()),
                Err(ReserveStep::DrawFromLedger) => self.wake.notify_one(),
                Err(ReserveStep::RequestTransfer) => self.transfers.notify_one(),
                Err(ReserveStep::AwaitLedger) => {}
            }
            let next_check = deadline.min(Instant::now() + SLOW_LEDGER);
            // A timeout re-checks the state, as a change does.
            let _ = tokio::time::timeout_at(next_check, state_changes.changed()).await;
        }
    }

    /// Reserves tokens from the current grant.
    fn try_reserve(
        self: &Arc<Self>,
        budget: &BudgetId,
        rank: u8,
        tokens: Tokens,
    ) -> Result<Reservation, ReserveStep> {
        let mut state = lock(&self.state);
        let state = &mut *state;
        let needs_others = !state.can_draw();
        let is_fleet_partitioned = state.unreachable_since().is_some() && !state.can_others_draw();
        let partition_left_s = state.unreachable_since().map(|since| {
            (MAX_PARTITION_S - since.elapsed().as_secs_f64()).max(MIN_PARTITION_LEFT_S)
        });
        let Some(team) = state.teams.get_mut(budget) else {
            return Err(ReserveStep::Rejected(unreachable_rejection()));
        };
        if let Some(left_s) = partition_left_s.filter(|_| is_fleet_partitioned) {
            let fleet = fleet_holdings(team, &state.others);
            if !fleet.admits(rank, tokens, left_s) {
                return Err(ReserveStep::Rejected(partition_rejection(left_s)));
            }
        }
        if team.holder.reserve(tokens).is_ok() {
            team.demand.record_start(rank, tokens);
            return Ok(Reservation {
                grants: Arc::clone(self),
                budget: budget.clone(),
                reserved_tokens: tokens,
                spent_tokens: Tokens::ZERO,
            });
        }
        let is_ledger_short = team.is_ledger_short(tokens);
        if needs_others || is_ledger_short {
            let query = team.query(tokens, needs_others && !is_ledger_short);
            if team.pending_transfer.is_some() || PeerGrants::best(&state.others, &query).is_some()
            {
                team.requested_tokens = team.requested_tokens.max(tokens);
                return Err(ReserveStep::RequestTransfer);
            }
            if let Some(left_s) = partition_left_s {
                return Err(ReserveStep::Rejected(partition_rejection(left_s)));
            }
            if is_ledger_short || !state.duty.is_distributor {
                let fleet = fleet_holdings(team, &state.others);
                return Err(ReserveStep::Rejected(team.short_rejection(tokens, &fleet)));
            }
        }
        if team.holder.pending().is_some() {
            return Err(ReserveStep::AwaitLedger);
        }
        team.unmet_tokens = team.unmet_tokens.max(tokens);
        Err(ReserveStep::DrawFromLedger)
    }

    /// Returns the state of a team's grant for the log.
    pub(crate) fn note(&self, budget: &BudgetId) -> Option<GrantNote> {
        let state = lock(&self.state);
        let team = state.teams.get(budget)?;
        Some(GrantNote {
            free_tokens: team.holder.free_tokens(),
            ledger_age: team.ledger_read_at.map(|read_at| read_at.elapsed()),
        })
    }

    /// Wakes the requests that wait for tokens.
    pub(super) fn wake_waiting(&self) {
        self.state_changes.send_modify(|count| *count += 1);
    }

    /// Schedules another ledger update.
    pub(crate) fn request_ledger_update(&self) {
        self.wake.notify_one();
    }

    /// Waits until a request needs the ledger.
    pub(crate) async fn ledger_update_needed(&self) {
        self.wake.notified().await;
    }

    /// Ends a measurement interval of the demand meters.
    pub(crate) fn end_interval(&self, interval: Duration) {
        for team in lock(&self.state).teams.values_mut() {
            team.demand.advance(interval.as_secs_f64());
        }
    }

    /// Returns true if no tokens are free and no update is pending.
    pub(crate) fn is_returned(&self) -> bool {
        let state = lock(&self.state);
        let mut teams = state.teams.values();
        teams.all(|team| team.holder.free_tokens().is_zero() && team.holder.pending().is_none())
    }

    /// Returns the tokens of each budget spent by this process.
    pub(crate) fn spent(&self) -> BTreeMap<BudgetId, Tokens> {
        let state = lock(&self.state);
        let teams = state.teams.iter();
        teams
            .map(|(budget, team)| (budget.clone(), team.holder.spent_tokens()))
            .collect()
    }
}

/// Sums the holdings of a budget over this router and the current reports of the others.
pub(super) fn fleet_holdings(
    team: &TeamGrant,
    others: &HashMap<SocketAddr, PeerGrants>,
) -> FleetHoldings {
    let mut fleet = FleetHoldings::default();
    fleet.add(&team.holdings());
    for other in others.values() {
        if let Some(holdings) = other.holdings(team.digest) {
            fleet.add(holdings);
        }
    }
    fleet
}

/// Returns the rejection during a partition with an expected remaining duration.
fn partition_rejection(left_s: f64) -> Rejection {
    let back = Duration::try_from_secs_f64(left_s).unwrap_or_default();
    let back = back.clamp(UNREACHABLE_RETRY, MAX_PARTITION_RETRY);
    Rejection::new(RejectKind::BudgetOutOfReach).with_retry_after(back)
}

fn unreachable_rejection() -> Rejection {
    Rejection::new(RejectKind::BudgetOutOfReach).with_retry_after(UNREACHABLE_RETRY)
}

/// Returns the part of a holder id that identifies the VM.
pub(super) const fn vm_part(holder: HolderId) -> u64 {
    holder.get() >> 32
}

/// Returns the holder id of a process on a VM.
pub(crate) fn holder_on_vm(vm_hash: u64, random: u64) -> HolderId {
    let vm = vm_hash & 0xffff_ffff;
    HolderId::from_random((vm << 32) | (random & 0xffff_ffff))
}
