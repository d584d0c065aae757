//! Tokens handed from router to router: what this one tells, asks for and gives.
//!
//! All amounts that are handed over are told as running totals of one pair of processes, so a
//! message that is lost, late or doubled changes nothing.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::grants::{GrantState, Grants, TeamGrant};
use crate::core::cover::RANKS;
use crate::core::ids::{BudgetId, HolderId};
use crate::core::pooling::RouterStock;
use crate::core::units::Tokens;
use crate::util::{lock, stable_hash};

/// Tokens in one unit of a told stock.
const UNIT_TOKENS: u64 = 64;
/// Longest wait for a router that was asked: some round trips within a region.
const ASK_WAIT: Duration = Duration::from_millis(40);
/// Longest time that an ask waits for the ledger: the end of a write, the pause after it and a
/// write of its own, both with some conflicts.
const LEDGER_WAIT: Duration = Duration::from_millis(400);
/// Time for which a router that had nothing is not asked again for that budget.
const DRY_TIME: Duration = Duration::from_millis(400);

/// What a router tells of one budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ToldStock {
    budget: u32,
    free_units: u32,
    reserved_units: u32,
    demand_units_per_s: [u32; RANKS],
}

impl ToldStock {
    fn new(budget: u32, stock: &RouterStock) -> Self {
        let units = |tokens: u64| u32::try_from(tokens / UNIT_TOKENS).unwrap_or(u32::MAX);
        Self {
            budget,
            free_units: units(stock.free_tokens.get()),
            reserved_units: units(stock.reserved_tokens.get()),
            demand_units_per_s: stock.demand_tokens_per_s.map(units),
        }
    }

    fn is_empty(&self) -> bool {
        self.free_units == 0
            && self.reserved_units == 0
            && self.demand_units_per_s.iter().all(|units| *units == 0)
    }

    fn stock(&self) -> RouterStock {
        let tokens = |units: u32| u64::from(units) * UNIT_TOKENS;
        RouterStock {
            free_tokens: Tokens::new(tokens(self.free_units)),
            reserved_tokens: Tokens::new(tokens(self.reserved_units)),
            demand_tokens_per_s: self.demand_units_per_s.map(tokens),
        }
    }
}

/// What a router tells of all budgets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ToldGrants {
    /// The holder of its grants.
    pub holder: HolderId,
    /// True when the ledger answers it.
    pub reaches_ledger: bool,
    /// Its stocks that are not empty.
    pub stocks: Vec<ToldStock>,
}

/// Asks a router for tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TokenAsk {
    /// The budget.
    pub budget: BudgetId,
    /// Who asks.
    pub asker: HolderId,
    /// Who is asked; another process on its VM does not answer.
    pub giver: HolderId,
    /// What the asker has from the giver so far.
    pub received_tokens: Tokens,
    /// What a request lacks.
    pub needed_tokens: Tokens,
    /// What the asker would like.
    pub wanted_tokens: Tokens,
}

/// Answers an ask for tokens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TokenGive {
    /// The budget.
    pub budget: BudgetId,
    /// Who asked.
    pub asker: HolderId,
    /// Who answers.
    pub giver: HolderId,
    /// All that the giver has handed to the asker so far.
    pub total_tokens: Tokens,
    /// What the giver has left.
    pub left_tokens: Tokens,
    /// What the ledger has left, where the giver has just seen it.
    pub available_tokens: Option<Tokens>,
    /// True when the ledger is being asked for what is lacking, so a further answer comes.
    pub is_drawing: bool,
}

/// What a router looks for at others.
#[derive(Clone, Copy, Debug)]
pub(super) struct StockWish {
    /// The budget, as hellos name it.
    pub budget: u32,
    /// Who asks.
    pub asker: HolderId,
    /// What it would like to have.
    pub wanted_tokens: Tokens,
    /// True when a router that reaches the ledger may get what it does not have yet.
    pub may_draw: bool,
}

/// An ask that is not answered yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OpenAsk {
    router: SocketAddr,
    until: Instant,
}

/// An ask of another router that waits for the ledger.
#[derive(Clone, Debug)]
pub(crate) struct WaitingAsk {
    router: SocketAddr,
    ask: TokenAsk,
    until: Instant,
}

/// What another router told.
#[derive(Debug)]
pub(crate) struct OtherRouter {
    holder: HolderId,
    reaches_ledger: bool,
    stocks: HashMap<u32, RouterStock>,
    dry: HashMap<u32, Instant>,
    valid_until: Instant,
}

impl OtherRouter {
    /// Its stock of a budget, while it is believed.
    pub(super) fn stock(&self, budget: u32) -> Option<&RouterStock> {
        self.stocks.get(&budget).filter(|_| self.is_valid())
    }

    /// True when the ledger answers it.
    pub(super) fn reaches_ledger(&self) -> bool {
        self.reaches_ledger && self.is_valid()
    }

    /// True while a holder tells what it has.
    pub(super) fn is_heard(others: &HashMap<SocketAddr, Self>, holder: HolderId) -> bool {
        let mut others = others.values();
        others.any(|other| other.holder == holder && other.is_valid())
    }

    fn is_valid(&self) -> bool {
        self.valid_until > Instant::now()
    }

    /// What it could hand over; none if it should not be asked. Routers that reach the ledger can
    /// draw for one that does not.
    fn offer_tokens(&self, budget: u32, may_draw: bool) -> Option<Tokens> {
        let is_dry = self
            .dry
            .get(&budget)
            .is_some_and(|until| *until > Instant::now());
        if is_dry || !self.is_valid() {
            return None;
        }
        let stock = self.stock(budget);
        let free_tokens = stock.map_or(Tokens::ZERO, |stock| stock.free_tokens);
        let may_draw = may_draw && self.reaches_ledger;
        (may_draw || !free_tokens.is_zero()).then_some(free_tokens)
    }

    /// The router to ask: one that has all that is wanted, another one for each asker; if none
    /// has, one that can draw it; if none can, the one with the most.
    pub(super) fn best(others: &HashMap<SocketAddr, Self>, wish: &StockWish) -> Option<SocketAddr> {
        let asker = wish.asker.to_string();
        let offers = others.iter().filter_map(|(router, other)| {
            let free_tokens = other.offer_tokens(wish.budget, wish.may_draw)?;
            let offered_tokens = free_tokens.min(wish.wanted_tokens);
            let has_all = offered_tokens == wish.wanted_tokens;
            let can_draw = wish.may_draw && other.reaches_ledger();
            let spread = stable_hash(&[&asker, &other.holder.to_string()]);
            Some((has_all, can_draw, offered_tokens, spread, *router))
        });
        offers.max().map(|(.., router)| router)
    }

    fn note_dry(&mut self, budget: u32) {
        self.dry.insert(budget, Instant::now() + DRY_TIME);
    }
}

impl Grants {
    /// What this router tells others of its grants.
    pub(crate) fn told(&self) -> ToldGrants {
        let state = lock(&self.state);
        let stocks = state
            .teams
            .values()
            .map(|team| ToldStock::new(team.digest, &team.stock()));
        ToldGrants {
            holder: self.holder,
            reaches_ledger: state.can_draw(),
            stocks: stocks.filter(|told| !told.is_empty()).collect(),
        }
    }

    /// Takes in what another router tells, which holds for a time.
    pub(crate) fn learn_told(&self, router: SocketAddr, told: &ToldGrants, valid: Duration) {
        let mut state = lock(&self.state);
        let now = Instant::now();
        state.others.retain(|_, other| other.valid_until > now);
        let dry = state
            .others
            .remove(&router)
            .filter(|other| other.holder == told.holder)
            .map(|other| other.dry)
            .unwrap_or_default();
        let stocks = told.stocks.iter();
        let other = OtherRouter {
            holder: told.holder,
            reaches_ledger: told.reaches_ledger,
            stocks: stocks.map(|told| (told.budget, told.stock())).collect(),
            dry,
            valid_until: now + valid,
        };
        state.others.insert(router, other);
        if state.can_others_draw() {
            state.others_cut_off_since = None;
        } else {
            state.others_cut_off_since.get_or_insert(now);
        }
    }

    /// Waits until a request needs other routers' tokens.
    pub(crate) async fn transfers_wanted(&self) {
        self.transfers.notified().await;
    }

    /// The asks that are due, each with the router that gets it.
    pub(crate) fn due_asks(&self) -> Vec<(SocketAddr, TokenAsk)> {
        let mut state = lock(&self.state);
        let needs_others = !state.can_draw();
        let GrantState { teams, others, .. } = &mut *state;
        let now = Instant::now();
        let mut due = Vec::new();
        for (budget, team) in teams {
            if let Some(open) = team.open_ask {
                if open.until > now {
                    continue;
                }
                if let Some(other) = others.get_mut(&open.router) {
                    other.note_dry(team.digest);
                }
                team.open_ask = None;
                self.wake_waiting();
            }
            let stock = team.stock();
            if team.asked_tokens <= stock.free_tokens {
                team.asked_tokens = Tokens::ZERO;
                continue;
            }
            let may_draw = needs_others && !team.is_ledger_short(team.asked_tokens);
            let wish = team.wish(team.asked_tokens, may_draw);
            let Some(router) = OtherRouter::best(others, &wish) else {
                team.asked_tokens = Tokens::ZERO;
                self.wake_waiting();
                continue;
            };
            let Some(other) = others.get(&router) else {
                continue;
            };
            let until = now + ASK_WAIT;
            team.open_ask = Some(OpenAsk { router, until });
            let ask = TokenAsk {
                budget: budget.clone(),
                asker: self.holder,
                giver: other.holder,
                received_tokens: team.holder.received_from(other.holder),
                needed_tokens: team.asked_tokens - stock.free_tokens,
                wanted_tokens: wish.wanted_tokens,
            };
            due.push((router, ask));
        }
        due
    }

    /// True while an ask of this router or of another one waits.
    pub(crate) fn has_open_asks(&self) -> bool {
        let state = lock(&self.state);
        let mut teams = state.teams.values();
        !state.waiting_asks.is_empty() || teams.any(|team| team.open_ask.is_some())
    }

    /// Answers an ask, or keeps it until the ledger was asked for what is lacking.
    pub(crate) fn learn_ask(&self, router: SocketAddr, ask: TokenAsk) -> Option<TokenGive> {
        if ask.giver != self.holder || ask.asker == self.holder {
            return None;
        }
        let mut state = lock(&self.state);
        let may_draw = state.can_draw();
        let team = state.teams.get_mut(&ask.budget)?;
        let free_tokens = team.holder.free_tokens();
        let lacks = free_tokens < ask.needed_tokens;
        let needed_tokens = free_tokens + ask.needed_tokens;
        if lacks && may_draw && !team.is_ledger_short(needed_tokens) {
            team.unmet_tokens = team.unmet_tokens.max(free_tokens) + ask.wanted_tokens;
            let answer = self.answer(team, &ask, true);
            state.waiting_asks.push(WaitingAsk {
                router,
                ask,
                until: Instant::now() + LEDGER_WAIT,
            });
            drop(state);
            self.wake.notify_one();
            return Some(answer);
        }
        self.give(&mut state, &ask)
    }

    /// The answers to asks that have waited for the ledger.
    pub(crate) fn due_gives(&self) -> Vec<(SocketAddr, TokenGive)> {
        let mut state = lock(&self.state);
        let now = Instant::now();
        let is_ledger_slow = state.is_ledger_slow();
        let waiting = std::mem::take(&mut state.waiting_asks);
        let is_due = |waiting: &WaitingAsk| {
            let team = state.teams.get(&waiting.ask.budget);
            waiting.until <= now
                || is_ledger_slow
                || team.is_none_or(|team| {
                    let free_tokens = team.holder.free_tokens();
                    free_tokens >= waiting.ask.needed_tokens
                        || team.is_ledger_short(free_tokens + waiting.ask.needed_tokens)
                })
        };
        let (due, waiting) = waiting.into_iter().partition::<Vec<_>, _>(is_due);
        state.waiting_asks = waiting;
        let gives = due
            .into_iter()
            .filter_map(|due| Some((due.router, self.give(&mut state, &due.ask)?)));
        gives.collect()
    }

    fn give(&self, state: &mut GrantState, ask: &TokenAsk) -> Option<TokenGive> {
        let team = state.teams.get_mut(&ask.budget)?;
        let stock = team.stock();
        let given_tokens = stock.given_tokens(ask.needed_tokens, ask.wanted_tokens);
        team.holder
            .send(ask.asker, ask.received_tokens, given_tokens);
        team.demand.note_handed(given_tokens);
        Some(self.answer(team, ask, false))
    }

    /// The answer to an ask after what was handed over so far.
    fn answer(&self, team: &TeamGrant, ask: &TokenAsk, is_drawing: bool) -> TokenGive {
        TokenGive {
            budget: ask.budget.clone(),
            asker: ask.asker,
            giver: self.holder,
            total_tokens: team.holder.sent_to(ask.asker),
            left_tokens: team.holder.free_tokens(),
            available_tokens: team.just_seen_available_tokens(),
            is_drawing,
        }
    }

    /// Takes in tokens that another router has handed over. Returns how many are new.
    pub(crate) fn learn_give(&self, router: SocketAddr, give: &TokenGive) -> Tokens {
        if give.asker != self.holder {
            return Tokens::ZERO;
        }
        let mut state = lock(&self.state);
        let GrantState {
            teams,
            others,
            duty,
            ..
        } = &mut *state;
        let Some(team) = teams.get_mut(&give.budget) else {
            return Tokens::ZERO;
        };
        let known_tokens = team.holder.received_from(give.giver);
        team.holder.receive(give.giver, give.total_tokens);
        let new_tokens = give.total_tokens - known_tokens;
        if let Some(open) = team.open_ask.as_mut().filter(|open| open.router == router) {
            if give.is_drawing && new_tokens.is_zero() {
                open.until = Instant::now() + LEDGER_WAIT + ASK_WAIT;
                return new_tokens;
            }
            team.open_ask = None;
        }
        if let Some(available_tokens) = give.available_tokens.filter(|_| !duty.distributes) {
            team.learn_available(available_tokens);
        }
        if let Some(other) = others.get_mut(&router) {
            if new_tokens.is_zero() {
                other.note_dry(team.digest);
            }
            let stock = other.stocks.entry(team.digest).or_default();
            stock.free_tokens = give.left_tokens;
        }
        drop(state);
        self.wake_waiting();
        new_tokens
    }
}
