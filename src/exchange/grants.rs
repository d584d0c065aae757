//! What this router may spend of each team's prepaid budget.
//!
//! A reservation is made in memory from a grant. Grants come from the ledger in the store, where
//! they count as spent from the moment they are made; what is not needed is given back.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::{watch, Notify};
use tokio::time::Instant;

use super::catalog::Catalog;
use super::request::{RejectKind, Rejection};
use crate::core::cover::{CoverPolicy, RankedDemand, CUT_S};
use crate::core::holder::{Holder, UpdateWish};
use crate::core::ids::{BudgetId, HolderId};
use crate::core::ledger::{BudgetEntry, Generation, LedgerShard, UpdateOutcome, WitnessSet};
use crate::core::policy::{GrantDecision, GrantPolicy, GrantView};
use crate::core::share::LedgerTotals;
use crate::core::units::Tokens;
use crate::util::{lock, short_digest};

/// Longest wait of a request for the ledger: several of its answers, each some milliseconds.
const LEDGER_WAIT: Duration = Duration::from_millis(250);
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
/// Time for which others are told that a budget is short.
const SHORT_TIME: Duration = Duration::from_millis(600);

/// One team's grant.
#[derive(Debug)]
struct TeamGrant {
    holder: Holder,
    demand: RankedDemand,
    totals: LedgerTotals,
    paid_tokens: Tokens,
    /// Largest request that found too little since the last look at the ledger.
    unmet_tokens: Tokens,
    /// When the ledger was last seen with this budget.
    seen: Option<Instant>,
    /// Short name of the budget in hellos.
    digest: u32,
    /// Until when this router tells others that it is short.
    short_until: Option<Instant>,
    /// True when another holder was short since the last look at the grants.
    is_others_short: bool,
}

impl TeamGrant {
    fn new(holder: HolderId, budget: &BudgetId, paid_tokens: Tokens) -> Self {
        Self {
            digest: short_digest(budget.as_str()),
            short_until: None,
            is_others_short: false,
            holder: Holder::new(holder),
            demand: RankedDemand::default(),
            totals: LedgerTotals::default(),
            paid_tokens,
            unmet_tokens: Tokens::ZERO,
            seen: None,
        }
    }

    /// How long the rest of the budget lasts at the demand of all holders, in seconds. This
    /// holder's part of that demand is taken to be its part of what was spent.
    #[allow(clippy::cast_precision_loss, reason = "an estimate")]
    fn rest_s(&self, available_tokens: Tokens) -> f64 {
        let own_spent = self.holder.spent_tokens().get() as f64;
        let all_spent = own_spent + self.totals.others_spent_tokens.get() as f64;
        let own_demand = self.demand.tokens_per_s() as f64;
        if own_spent < 1.0 || own_demand < 1.0 {
            return f64::INFINITY;
        }
        let rest_tokens =
            available_tokens + self.totals.others_free_tokens + self.holder.free_tokens();
        let all_demand = own_demand * all_spent / own_spent;
        rest_tokens.get() as f64 / all_demand
    }

    fn view(&self, holders: usize) -> GrantView {
        let available_tokens = match self.seen {
            Some(_) => self.paid_tokens - self.totals.charged_tokens,
            None => self.paid_tokens,
        };
        GrantView {
            available_tokens,
            others_free_tokens: self.totals.others_free_tokens,
            paid_tokens: self.paid_tokens,
            charged_tokens: self.totals.charged_tokens,
            free_tokens: self.holder.free_tokens(),
            reserved_tokens: self.holder.reserved_tokens(),
            demand_tokens_per_s: self.demand.tokens_per_s(),
            largest_request_tokens: self.demand.largest_tokens(),
            cover_tokens: self.demand.cover_tokens(self.rest_s(available_tokens)),
            holder_count: (self.totals.other_count + 1).max(holders as u64),
        }
    }
}

#[derive(Debug)]
struct GrantState {
    teams: HashMap<BudgetId, TeamGrant>,
    generation: Generation,
    /// When the ledger could first not be reached, since it last could.
    cut_off_since: Option<Instant>,
}

/// All grants of this router.
#[derive(Debug)]
pub(crate) struct Grants {
    holder: HolderId,
    policy: Box<dyn GrantPolicy>,
    state: Mutex<GrantState>,
    wake: Notify,
    looks: watch::Sender<u64>,
}

/// Tokens set aside for one request. What was not spent comes back when it is dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    grants: Arc<Grants>,
    budget: BudgetId,
    rank: u8,
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
                .note(self.rank, self.spent_tokens, self.reserved_tokens);
        }
    }
}

/// What was asked of the ledger for one budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct GrantAsk {
    budget: BudgetId,
    draw_tokens: Tokens,
    return_tokens: Tokens,
}

/// How a reservation found its tokens, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct GrantNote {
    /// Tokens left in this router's grant.
    pub free_tokens: Tokens,
    /// Age of the ledger as last seen.
    pub ledger_age: Option<Duration>,
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
                cut_off_since: None,
            }),
            wake: Notify::new(),
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

    /// Reserves tokens, asking the ledger for more if the grant is too small.
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
        let give_up = Instant::now() + LEDGER_WAIT;
        let mut looks = self.looks.subscribe();
        loop {
            match self.try_reserve(budget, rank, tokens) {
                Ok(reservation) => return Ok(reservation),
                Err(Some(rejection)) => return Err(rejection),
                Err(None) => {}
            }
            self.wake.notify_one();
            if tokio::time::timeout_at(give_up, looks.changed())
                .await
                .is_err()
            {
                return self
                    .try_reserve(budget, rank, tokens)
                    .map_err(|_| out_of_reach());
            }
        }
    }

    /// Reserves from the present grant. An error without a rejection means: ask the ledger.
    fn try_reserve(
        self: &Arc<Self>,
        budget: &BudgetId,
        rank: u8,
        tokens: Tokens,
    ) -> Result<Reservation, Option<Rejection>> {
        let mut state = lock(&self.state);
        let cut_off_since = state.cut_off_since;
        let Some(team) = state.teams.get_mut(budget) else {
            return Err(Some(out_of_reach()));
        };
        if let Some(since) = cut_off_since {
            let rest_s = (CUT_S - since.elapsed().as_secs_f64()).max(LEAST_CUT_REST_S);
            let kept_tokens = team.demand.more_urgent_tokens(rank, rest_s);
            if team.holder.free_tokens() < tokens + kept_tokens {
                return Err(Some(cut_off(rest_s)));
            }
        }
        if team.holder.reserve(tokens).is_ok() {
            return Ok(Reservation {
                grants: Arc::clone(self),
                budget: budget.clone(),
                rank,
                reserved_tokens: tokens,
                spent_tokens: Tokens::ZERO,
            });
        }
        let is_fresh = team
            .seen
            .is_some_and(|seen| seen.elapsed() < EMPTY_LEDGER_AGE);
        let available_tokens = team.paid_tokens - team.totals.charged_tokens;
        let free_tokens = team.holder.free_tokens();
        if is_fresh && available_tokens + free_tokens < tokens {
            team.short_until = Some(Instant::now() + SHORT_TIME);
            let hidden_tokens = team.totals.others_free_tokens + team.holder.reserved_tokens();
            if available_tokens + free_tokens + hidden_tokens < tokens {
                return Err(Some(Rejection::new(RejectKind::BudgetUsed)));
            }
            let rejection = Rejection::new(RejectKind::BudgetOutOfReach);
            return Err(Some(rejection.with_retry_after(RESERVED_RETRY)));
        }
        team.unmet_tokens = team.unmet_tokens.max(tokens);
        Err(None)
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

    /// Budgets of which requests found too little and the ledger has no more, as short digests.
    pub(crate) fn short_budgets(&self) -> Vec<u32> {
        let state = lock(&self.state);
        let short = state
            .teams
            .values()
            .filter(|team| team.short_until.is_some_and(|until| until > Instant::now()));
        short.map(|team| team.digest).collect()
    }

    /// Notes budgets of which other holders are short.
    pub(crate) fn learn_short(&self, budgets: &[u32]) {
        if budgets.is_empty() {
            return;
        }
        let mut state = lock(&self.state);
        for team in state.teams.values_mut() {
            team.is_others_short |= budgets.contains(&team.digest);
        }
    }

    /// Decides what to ask of the ledger. Nothing is asked when the list is empty.
    pub(crate) fn prepare(&self, holders: usize, is_leaving: bool) -> Vec<GrantAsk> {
        let mut state = lock(&self.state);
        let generation = state.generation;
        let mut asked = Vec::new();
        for (budget, team) in &mut state.teams {
            if let Some(pending) = team.holder.pending() {
                asked.push(GrantAsk {
                    budget: budget.clone(),
                    draw_tokens: pending.draw_tokens,
                    return_tokens: Tokens::ZERO,
                });
                continue;
            }
            let view = team.view(holders);
            let is_others_short = std::mem::take(&mut team.is_others_short);
            let is_short = team.short_until.is_some_and(|until| until > Instant::now());
            let mut decision = if is_leaving {
                GrantDecision {
                    draw_tokens: Tokens::ZERO,
                    return_tokens: view.free_tokens,
                }
            } else if is_others_short && !is_short {
                CoverPolicy::decide_for_short(&view).within_paid(&view)
            } else {
                let mut decision = self.policy.decide(&view);
                let lacking_tokens = team.unmet_tokens - view.free_tokens;
                if lacking_tokens > view.available_tokens {
                    // Too little is left for the request. Small rests of several holders may add
                    // up to one that can be served.
                    decision.draw_tokens = Tokens::ZERO;
                    if is_others_short {
                        decision.return_tokens = view.free_tokens;
                    }
                } else if !lacking_tokens.is_zero() {
                    decision.draw_tokens = decision.draw_tokens.max(lacking_tokens);
                    decision.return_tokens = Tokens::ZERO;
                }
                decision.within_paid(&view)
            };
            let is_unread = team.seen.is_none();
            let is_unmet = team.unmet_tokens > Tokens::ZERO;
            let is_idle = decision.draw_tokens.is_zero() && decision.return_tokens.is_zero();
            if is_idle && !is_unmet && (!is_unread || is_leaving) {
                continue;
            }
            if is_unmet {
                decision.draw_tokens = decision.draw_tokens.max(Tokens::new(1));
            }
            team.unmet_tokens = Tokens::ZERO;
            team.holder.prepare_update(&UpdateWish {
                generation,
                paid_tokens: team.paid_tokens,
                draw_tokens: decision.draw_tokens,
                return_tokens: decision.return_tokens,
                witnesses: WitnessSet::default(),
            });
            asked.push(GrantAsk {
                budget: budget.clone(),
                draw_tokens: decision.draw_tokens,
                return_tokens: decision.return_tokens,
            });
        }
        asked
    }

    /// Puts all pending updates into a copy of the ledger. Returns false when it holds them all.
    pub(crate) fn apply_to(&self, shard: &mut LedgerShard) -> bool {
        let mut state = lock(&self.state);
        let mut is_changed = false;
        for entry in shard.entries.values_mut() {
            is_changed |= self.fold_ended(entry);
        }
        for (budget, team) in &mut state.teams {
            let Some(update) = team.holder.pending().cloned() else {
                continue;
            };
            let entry = shard.entries.entry(budget.clone()).or_default();
            if let Ok(outcome) = entry.apply(&update) {
                is_changed |= outcome == UpdateOutcome::Applied;
                continue;
            }
            // Newer lists granted from the budget already: what is given back still holds.
            team.holder.abandon_draw();
            if let Some(update) = team.holder.pending() {
                is_changed |= entry.apply(update).is_ok();
            }
        }
        is_changed
    }

    /// Folds rows of processes that ran on this VM before: only one runs at a time.
    fn fold_ended(&self, entry: &mut BudgetEntry) -> bool {
        let is_ended = |holder: &&HolderId| {
            vm_part(**holder) == vm_part(self.holder) && holder.process() != self.holder.process()
        };
        let ended: Vec<HolderId> = entry.rows.keys().filter(is_ended).copied().collect();
        for holder in &ended {
            entry.fold(*holder);
        }
        !ended.is_empty()
    }

    /// Takes in the ledger as it stands in the store.
    pub(crate) fn learn_ledger(&self, shard: &LedgerShard) {
        let mut state = lock(&self.state);
        state.cut_off_since = None;
        for (budget, team) in &mut state.teams {
            team.seen = Some(Instant::now());
            let Some(entry) = shard.entries.get(budget) else {
                continue;
            };
            if let Some(row) = entry.rows.get(&self.holder) {
                team.holder.confirm(row);
            }
            team.totals = LedgerTotals::of(entry, self.holder);
        }
        drop(state);
        self.looks.send_modify(|count| *count += 1);
    }

    /// Notes that the ledger could not be reached.
    pub(crate) fn learn_unreachable(&self) {
        lock(&self.state)
            .cut_off_since
            .get_or_insert_with(Instant::now);
        self.looks.send_modify(|count| *count += 1);
    }

    /// What the log says of the grants that a look at the ledger changed or asked for.
    pub(crate) fn describe(&self, asked: &[GrantAsk]) -> String {
        let state = lock(&self.state);
        let mut text = String::new();
        for ask in asked {
            let Some(team) = state.teams.get(&ask.budget) else {
                continue;
            };
            let available_tokens = team.paid_tokens - team.totals.charged_tokens;
            // Writing to a string cannot fail.
            let _ = write!(
                text,
                "{} draw={} return={} free={} reserved={} paid={} available={} others={}; ",
                ask.budget,
                ask.draw_tokens,
                ask.return_tokens,
                team.holder.free_tokens(),
                team.holder.reserved_tokens(),
                team.paid_tokens,
                available_tokens,
                team.totals.others_free_tokens,
            );
        }
        text
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
const fn vm_part(holder: HolderId) -> u64 {
    holder.get() >> 32
}

/// The id of a process start on a VM.
pub(crate) fn holder_on_vm(vm_hash: u64, random: u64) -> HolderId {
    let vm = vm_hash & 0xffff_ffff;
    HolderId::from_random((vm << 32) | (random & 0xffff_ffff))
}
