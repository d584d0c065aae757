//! Token transfers between routers: grant reports, transfer requests and replies.
//!
//! Transferred amounts are sent as running totals of one pair of processes, so that a lost, late
//! or duplicated message changes nothing.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::grants::{GrantState, Grants, TeamGrant};
use crate::core::cover::PRIORITY_RANKS;
use crate::core::holdings::RouterHoldings;
use crate::core::ids::{BudgetId, HolderId};
use crate::core::units::Tokens;
use crate::util::{lock, stable_hash};

/// Tokens in one unit of the reported holdings.
const UNIT_TOKENS: u64 = 64;
/// Timeout of a transfer request: several round trips within a region.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(40);
/// Longest time that a transfer request waits for the ledger: the rest of a write in progress, the
/// pause after it and a further write, both writes with some conflicts.
const LEDGER_WAIT: Duration = Duration::from_millis(400);
/// Time for which a router without tokens of a budget gets no further requests for it.
const EXHAUSTED_PAUSE: Duration = Duration::from_millis(400);

/// A router's reported holdings of one budget, in units of `UNIT_TOKENS`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct HoldingsReport {
    pub(super) budget: u32,
    free_units: u32,
    reserved_units: u32,
    demand_units_per_s: [u32; PRIORITY_RANKS],
    /// Cumulative tokens that the ledger has granted to the router.
    pub(super) granted_tokens: Tokens,
}

impl HoldingsReport {
    fn new(budget: u32, holdings: &RouterHoldings, granted_tokens: Tokens) -> Self {
        let units = |tokens: u64| u32::try_from(tokens / UNIT_TOKENS).unwrap_or(u32::MAX);
        Self {
            budget,
            free_units: units(holdings.free_tokens.get()),
            reserved_units: units(holdings.reserved_tokens.get()),
            demand_units_per_s: holdings.demand_tokens_per_s.map(units),
            granted_tokens,
        }
    }

    fn is_empty(&self) -> bool {
        self.granted_tokens.is_zero()
            && self.free_units == 0
            && self.reserved_units == 0
            && self.demand_units_per_s.iter().all(|units| *units == 0)
    }

    pub(super) fn holdings(&self) -> RouterHoldings {
        let tokens = |units: u32| u64::from(units) * UNIT_TOKENS;
        RouterHoldings {
            free_tokens: Tokens::new(tokens(self.free_units)),
            reserved_tokens: Tokens::new(tokens(self.reserved_units)),
            demand_tokens_per_s: self.demand_units_per_s.map(tokens),
        }
    }
}

/// A router's report on its grants of all budgets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct GrantReport {
    /// Holder id of its grants.
    pub holder: HolderId,
    /// True if it can draw on the ledger.
    pub reaches_ledger: bool,
    /// Its non-empty holdings.
    pub holdings: Vec<HoldingsReport>,
}

/// Request for tokens of another router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TransferRequest {
    /// The budget.
    pub budget: BudgetId,
    /// Requesting process.
    pub requester: HolderId,
    /// Addressed process; another process on its VM does not answer.
    pub sender: HolderId,
    /// Running total that the requester has received from the sender.
    pub received_tokens: Tokens,
    /// Tokens that a request lacks.
    pub needed_tokens: Tokens,
    /// Tokens that the requester prefers to get.
    pub wanted_tokens: Tokens,
}

/// Reply to a transfer request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TransferReply {
    /// The budget.
    pub budget: BudgetId,
    /// Requesting process.
    pub requester: HolderId,
    /// Replying process.
    pub sender: HolderId,
    /// Running total that the sender has transferred to the requester.
    pub total_tokens: Tokens,
    /// Free tokens left at the sender.
    pub left_tokens: Tokens,
    /// Undrawn tokens in the ledger, if the sender has just read it.
    pub available_tokens: Option<Tokens>,
    /// True if the sender is drawing the lacking tokens from the ledger; another reply follows.
    pub is_drawing: bool,
}

/// Query for a router that can supply tokens.
#[derive(Clone, Copy, Debug)]
pub(super) struct HoldingsQuery {
    /// Digest of the budget, as in hellos.
    pub budget: u32,
    /// Requesting process.
    pub requester: HolderId,
    /// Tokens that it prefers to get.
    pub wanted_tokens: Tokens,
    /// True if a router that reaches the ledger may draw the tokens that it lacks.
    pub may_draw: bool,
}

/// A transfer request awaiting its reply.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingTransfer {
    router: SocketAddr,
    until: Instant,
}

/// Another router's transfer request, queued until the ledger answers.
#[derive(Clone, Debug)]
pub(crate) struct QueuedTransfer {
    router: SocketAddr,
    request: TransferRequest,
    until: Instant,
}

/// Grants that another router has reported.
#[derive(Debug)]
pub(crate) struct PeerGrants {
    holder: HolderId,
    reaches_ledger: bool,
    holdings: HashMap<u32, RouterHoldings>,
    exhausted_until: HashMap<u32, Instant>,
    valid_until: Instant,
}

impl PeerGrants {
    /// Returns its holdings of a budget while the report is valid.
    pub(super) fn holdings(&self, budget: u32) -> Option<&RouterHoldings> {
        self.holdings.get(&budget).filter(|_| self.is_valid())
    }

    /// Returns true if a valid report says that it can draw on the ledger.
    pub(super) fn reaches_ledger(&self) -> bool {
        self.reaches_ledger && self.is_valid()
    }

    /// Returns true if there is a valid report from a holder.
    pub(super) fn has_valid_report(others: &HashMap<SocketAddr, Self>, holder: HolderId) -> bool {
        let mut others = others.values();
        others.any(|other| other.holder == holder && other.is_valid())
    }

    fn is_valid(&self) -> bool {
        self.valid_until > Instant::now()
    }

    /// Returns the tokens that it could transfer, or `None` if it should get no request. Routers
    /// that reach the ledger can draw for one that does not.
    fn offer_tokens(&self, budget: u32, may_draw: bool) -> Option<Tokens> {
        let is_exhausted = self
            .exhausted_until
            .get(&budget)
            .is_some_and(|until| *until > Instant::now());
        if is_exhausted || !self.is_valid() {
            return None;
        }
        let holdings = self.holdings(budget);
        let free_tokens = holdings.map_or(Tokens::ZERO, |holdings| holdings.free_tokens);
        let may_draw = may_draw && self.reaches_ledger;
        (may_draw || !free_tokens.is_zero()).then_some(free_tokens)
    }

    /// Selects the router to request tokens from: one that has all wanted tokens, chosen by a hash
    /// that spreads requesters; otherwise one that can draw them; otherwise the one with the most.
    pub(super) fn best(
        others: &HashMap<SocketAddr, Self>,
        query: &HoldingsQuery,
    ) -> Option<SocketAddr> {
        let requester = query.requester.to_string();
        let offers = others.iter().filter_map(|(router, other)| {
            let free_tokens = other.offer_tokens(query.budget, query.may_draw)?;
            let offered_tokens = free_tokens.min(query.wanted_tokens);
            let has_all = offered_tokens == query.wanted_tokens;
            let can_draw = query.may_draw && other.reaches_ledger();
            let spread = stable_hash(&[&requester, &other.holder.to_string()]);
            Some((has_all, can_draw, offered_tokens, spread, *router))
        });
        offers.max().map(|(.., router)| router)
    }

    fn mark_exhausted(&mut self, budget: u32) {
        self.exhausted_until
            .insert(budget, Instant::now() + EXHAUSTED_PAUSE);
    }
}

impl Grants {
    /// Returns this router's report on its grants.
    pub(crate) fn report(&self) -> GrantReport {
        let state = lock(&self.state);
        let holdings = state.teams.values().map(|team| {
            let granted_tokens = team.holder.granted_tokens();
            HoldingsReport::new(team.digest, &team.holdings(), granted_tokens)
        });
        GrantReport {
            holder: self.holder,
            reaches_ledger: state.can_draw(),
            holdings: holdings.filter(|report| !report.is_empty()).collect(),
        }
    }

    /// Applies another router's report, which expires after `valid`.
    pub(crate) fn apply_report(&self, router: SocketAddr, report: &GrantReport, valid: Duration) {
        let mut state = lock(&self.state);
        let now = Instant::now();
        state.others.retain(|_, other| other.valid_until > now);
        let exhausted_until = state
            .others
            .remove(&router)
            .filter(|other| other.holder == report.holder)
            .map(|other| other.exhausted_until)
            .unwrap_or_default();
        let holdings = report.holdings.iter();
        let other = PeerGrants {
            holder: report.holder,
            reaches_ledger: report.reaches_ledger,
            holdings: holdings
                .map(|report| (report.budget, report.holdings()))
                .collect(),
            exhausted_until,
            valid_until: now + valid,
        };
        state.others.insert(router, other);
        if state.can_others_draw() {
            state.others_unreachable_since = None;
        } else {
            state.others_unreachable_since.get_or_insert(now);
        }
        state.record_reported_grants(report, now + valid);
    }

    /// Waits until transfers may have to be requested or answered.
    pub(crate) async fn transfers_needed(&self) {
        self.transfers.notified().await;
    }

    /// Returns the transfer requests that are due, each with its destination.
    pub(crate) fn due_requests(&self) -> Vec<(SocketAddr, TransferRequest)> {
        let mut state = lock(&self.state);
        let needs_others = !state.can_draw();
        let GrantState { teams, others, .. } = &mut *state;
        let now = Instant::now();
        let mut due = Vec::new();
        for (budget, team) in teams {
            if let Some(open) = team.pending_transfer {
                if open.until > now {
                    continue;
                }
                if let Some(other) = others.get_mut(&open.router) {
                    other.mark_exhausted(team.digest);
                }
                team.pending_transfer = None;
                self.wake_waiting();
            }
            let holdings = team.holdings();
            if team.requested_tokens <= holdings.free_tokens {
                team.requested_tokens = Tokens::ZERO;
                continue;
            }
            let may_draw = needs_others && !team.is_ledger_short(team.requested_tokens);
            let query = team.query(team.requested_tokens, may_draw);
            let Some(router) = PeerGrants::best(others, &query) else {
                team.requested_tokens = Tokens::ZERO;
                self.wake_waiting();
                continue;
            };
            let Some(other) = others.get(&router) else {
                continue;
            };
            let until = now + REQUEST_TIMEOUT;
            team.pending_transfer = Some(PendingTransfer { router, until });
            let request = TransferRequest {
                budget: budget.clone(),
                requester: self.holder,
                sender: other.holder,
                received_tokens: team.holder.received_from(other.holder),
                needed_tokens: team.requested_tokens - holdings.free_tokens,
                wanted_tokens: query.wanted_tokens,
            };
            due.push((router, request));
        }
        due
    }

    /// Returns true if a transfer request of this router or of another one is pending.
    pub(crate) fn has_pending_transfers(&self) -> bool {
        let state = lock(&self.state);
        let mut teams = state.teams.values();
        !state.queued_transfers.is_empty() || teams.any(|team| team.pending_transfer.is_some())
    }

    /// Answers a transfer request, or queues it until the lacking tokens are drawn from the ledger.
    pub(crate) fn handle_request(
        &self,
        router: SocketAddr,
        request: TransferRequest,
    ) -> Option<TransferReply> {
        if request.sender != self.holder || request.requester == self.holder {
            return None;
        }
        let mut state = lock(&self.state);
        let may_draw = state.can_draw();
        let team = state.teams.get_mut(&request.budget)?;
        let free_tokens = team.holder.free_tokens();
        let is_short = free_tokens < request.needed_tokens;
        let needed_tokens = free_tokens + request.needed_tokens;
        if is_short && may_draw && !team.is_ledger_short(needed_tokens) {
            team.unmet_tokens = team.unmet_tokens.max(free_tokens) + request.wanted_tokens;
            let early_reply = self.build_reply(team, &request, true);
            state.queued_transfers.push(QueuedTransfer {
                router,
                request,
                until: Instant::now() + LEDGER_WAIT,
            });
            drop(state);
            self.wake.notify_one();
            return Some(early_reply);
        }
        self.transfer(&mut state, &request)
    }

    /// Returns the replies to queued transfer requests that are due.
    pub(crate) fn due_replies(&self) -> Vec<(SocketAddr, TransferReply)> {
        let mut state = lock(&self.state);
        let now = Instant::now();
        let is_ledger_slow = state.is_ledger_slow();
        let waiting = std::mem::take(&mut state.queued_transfers);
        let is_due = |waiting: &QueuedTransfer| {
            let team = state.teams.get(&waiting.request.budget);
            waiting.until <= now
                || is_ledger_slow
                || team.is_none_or(|team| {
                    let free_tokens = team.holder.free_tokens();
                    free_tokens >= waiting.request.needed_tokens
                        || team.is_ledger_short(free_tokens + waiting.request.needed_tokens)
                })
        };
        let (due, waiting) = waiting.into_iter().partition::<Vec<_>, _>(is_due);
        state.queued_transfers = waiting;
        let replies = due
            .into_iter()
            .filter_map(|due| Some((due.router, self.transfer(&mut state, &due.request)?)));
        replies.collect()
    }

    fn transfer(&self, state: &mut GrantState, request: &TransferRequest) -> Option<TransferReply> {
        let team = state.teams.get_mut(&request.budget)?;
        let holdings = team.holdings();
        let transfer_tokens =
            holdings.transfer_tokens(request.needed_tokens, request.wanted_tokens);
        team.holder
            .send(request.requester, request.received_tokens, transfer_tokens);
        team.demand.record_transfer(transfer_tokens);
        Some(self.build_reply(team, request, false))
    }

    /// Builds the reply to a transfer request from the running total.
    fn build_reply(
        &self,
        team: &TeamGrant,
        request: &TransferRequest,
        is_drawing: bool,
    ) -> TransferReply {
        TransferReply {
            budget: request.budget.clone(),
            requester: request.requester,
            sender: self.holder,
            total_tokens: team.holder.sent_to(request.requester),
            left_tokens: team.holder.free_tokens(),
            available_tokens: team.fresh_available_tokens(),
            is_drawing,
        }
    }

    /// Applies tokens transferred by another router. Returns the number of new tokens.
    pub(crate) fn apply_reply(&self, router: SocketAddr, reply: &TransferReply) -> Tokens {
        if reply.requester != self.holder {
            return Tokens::ZERO;
        }
        let mut state = lock(&self.state);
        let GrantState {
            teams,
            others,
            duty,
            ..
        } = &mut *state;
        let Some(team) = teams.get_mut(&reply.budget) else {
            return Tokens::ZERO;
        };
        let known_tokens = team.holder.received_from(reply.sender);
        team.holder.receive(reply.sender, reply.total_tokens);
        let new_tokens = reply.total_tokens - known_tokens;
        if let Some(open) = team
            .pending_transfer
            .as_mut()
            .filter(|open| open.router == router)
        {
            if reply.is_drawing && new_tokens.is_zero() {
                open.until = Instant::now() + LEDGER_WAIT + REQUEST_TIMEOUT;
                return new_tokens;
            }
            team.pending_transfer = None;
        }
        if let Some(available_tokens) = reply.available_tokens.filter(|_| !duty.is_distributor) {
            team.record_available(available_tokens);
        }
        if let Some(other) = others.get_mut(&router) {
            if new_tokens.is_zero() {
                other.mark_exhausted(team.digest);
            }
            let holdings = other.holdings.entry(team.digest).or_default();
            holdings.free_tokens = reply.left_tokens;
        }
        drop(state);
        self.wake_waiting();
        new_tokens
    }
}
