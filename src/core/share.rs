//! One budget's share at one router: the holder, the demand on it and the ledger as last read.
//!
//! Routers and the bench decide on horizons and witnesses with this code.

use std::collections::BTreeSet;

use super::holder::Holder;
use super::ids::{FailureDomain, HolderId};
use super::ledger::{BudgetEntry, WitnessSet};
use super::policy::{near_allowance, DemandMeter, GrantView, COVER_S};
use super::units::Tokens;

/// Routers among which a team's callers choose.
pub const ROUTERS_PER_TEAM: usize = 3;
/// Witnesses of one grant in other failure domains, each in a domain of its own.
const MAX_FAR_WITNESSES: usize = 3;
/// Horizons reach this many times the largest recent request ahead.
const HORIZON_REQUESTS: u64 = 4;
/// Horizons reach this many seconds of demand ahead.
const HORIZON_S: u64 = 2;

/// What a holder reads of a budget's entry beside its own row.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LedgerTotals {
    /// Tokens that can still be granted.
    pub available_tokens: Tokens,
    /// Tokens granted or spent.
    pub charged_tokens: Tokens,
    /// Tokens that other holders have left.
    pub others_free_tokens: Tokens,
    /// Other holders with tokens left.
    pub other_count: u64,
    /// Tokens that other holders reported as spent, or that were lost with them.
    pub others_spent_tokens: Tokens,
}

impl LedgerTotals {
    /// Reads the totals of an entry for one of its holders.
    #[must_use]
    pub fn of(entry: &BudgetEntry, holder: HolderId) -> Self {
        let others = entry.rows.iter().filter(|(id, _)| **id != holder);
        let others_spent: Tokens = others.clone().map(|(_, row)| row.spent_tokens).sum();
        let unspent = others.map(|(_, row)| row.unspent_tokens());
        let unspent: Vec<Tokens> = unspent.filter(|tokens| *tokens > Tokens::ZERO).collect();
        Self {
            available_tokens: entry.available_tokens(),
            charged_tokens: entry.charged_tokens(),
            others_free_tokens: unspent.iter().copied().sum(),
            other_count: unspent.len() as u64,
            others_spent_tokens: others_spent + entry.folded_tokens - entry.folded_returned_tokens,
        }
    }
}

/// One budget's share at one router.
#[derive(Clone, Debug)]
pub struct BudgetShare {
    holder: Holder,
    demand: DemandMeter,
    totals: LedgerTotals,
}

impl BudgetShare {
    /// A share without a grant.
    #[must_use]
    pub fn new(holder: HolderId) -> Self {
        Self {
            holder: Holder::new(holder),
            demand: DemandMeter::default(),
            totals: LedgerTotals::default(),
        }
    }

    /// The holder.
    #[must_use]
    pub const fn holder(&self) -> &Holder {
        &self.holder
    }

    /// The holder, to change.
    pub fn holder_mut(&mut self) -> &mut Holder {
        &mut self.holder
    }

    /// Puts a new holder in the place of one whose row was sealed, and gives that one back.
    pub fn succeed(&mut self, next: HolderId) -> Holder {
        std::mem::replace(&mut self.holder, Holder::new(next))
    }

    /// Recent demand, to change.
    pub fn demand_mut(&mut self) -> &mut DemandMeter {
        &mut self.demand
    }

    /// The ledger as last read.
    #[must_use]
    pub const fn totals(&self) -> &LedgerTotals {
        &self.totals
    }

    /// Takes in the ledger.
    pub fn learn_totals(&mut self, totals: LedgerTotals) {
        self.totals = totals;
    }

    /// What the policy sees.
    #[must_use]
    pub fn view(&self, paid_tokens: Tokens) -> GrantView {
        GrantView {
            available_tokens: self.totals.available_tokens,
            others_free_tokens: self.totals.others_free_tokens,
            paid_tokens,
            charged_tokens: self.totals.charged_tokens,
            free_tokens: self.holder.free_tokens(),
            reserved_tokens: self.holder.reserved_tokens(),
            demand_tokens_per_s: self.demand.tokens_per_s(),
            largest_request_tokens: self.demand.largest_tokens(),
            cover_tokens: Tokens::new(self.demand.tokens_per_s().saturating_mul(COVER_S)),
            holder_count: (self.totals.other_count + 1).max(ROUTERS_PER_TEAM as u64),
        }
    }

    /// True when nothing is held and nothing was asked for lately.
    #[must_use]
    pub fn is_unused(&self) -> bool {
        self.holder.limit_tokens() == Tokens::ZERO
            && self.holder.consumed_tokens() == Tokens::ZERO
            && self.holder.pending().is_none()
            && self.demand.tokens_per_s() == 0
    }

    /// True when reservations that end here may free enough.
    #[must_use]
    pub fn may_come_back(&self, tokens: Tokens) -> bool {
        let reserved_tokens = self.holder.reserved_tokens();
        reserved_tokens > Tokens::ZERO && self.holder.free_tokens() + reserved_tokens >= tokens
    }

    /// The horizon that should be acknowledged, if it is higher than the present one by enough.
    #[must_use]
    pub fn wanted_horizon(&self, needed_tokens: Tokens) -> Option<Tokens> {
        let holder = &self.holder;
        if holder.witnesses().is_empty() || holder.is_witness_sealed() {
            return None;
        }
        let requests_tokens = self.demand.largest_tokens().scaled(HORIZON_REQUESTS, 1);
        let seconds_tokens = Tokens::new(self.demand.tokens_per_s().saturating_mul(HORIZON_S));
        let ahead_tokens = requests_tokens.max(seconds_tokens).max(needed_tokens);
        let wanted_tokens = (holder.consumed_tokens() + ahead_tokens).min(holder.limit_tokens());
        let rest_tokens = holder.horizon_tokens() - holder.consumed_tokens();
        let is_low = rest_tokens < ahead_tokens.scaled(1, 2) || rest_tokens < needed_tokens;
        (is_low && wanted_tokens > holder.horizon_tokens()).then_some(wanted_tokens)
    }

    /// The witnesses that the grant should have: the present ones while they are in reach and
    /// good enough, else the best candidates, and the present ones if there are none.
    ///
    /// The candidates are asked for only when the present ones do not stay: ranking a large fleet
    /// is too much for each update.
    #[must_use]
    pub fn choose_witnesses<C, R>(
        &self,
        own_domain: &FailureDomain,
        candidates: C,
        is_reachable: R,
    ) -> WitnessSet
    where
        C: FnOnce() -> Vec<WitnessCandidate>,
        R: Fn(HolderId) -> bool,
    {
        let present = self.holder.witnesses();
        let is_stale = self.holder.is_witness_sealed() || self.is_allowance_small();
        if !present.is_empty() && !is_stale && present.all().all(is_reachable) {
            return present.clone();
        }
        let best = best_witnesses(own_domain, &candidates(), self.near_allowance());
        if best.is_empty() {
            return present.clone();
        }
        best
    }

    /// What the near witness may acknowledge while the failure domain is cut off.
    fn near_allowance(&self) -> Tokens {
        near_allowance(self.holder.limit_tokens(), &self.demand)
    }

    /// True when demand has grown far beyond the allowance in the ledger.
    fn is_allowance_small(&self) -> bool {
        let present = self.holder.witnesses();
        present.near.is_some() && present.near_allowance_tokens < self.near_allowance().scaled(1, 2)
    }
}

/// A router that may be named as a witness.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WitnessCandidate {
    /// The process there.
    pub holder: HolderId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
}

/// One witness in each of a few other failure domains, and one in the own, the first of each.
fn best_witnesses(
    own_domain: &FailureDomain,
    candidates: &[WitnessCandidate],
    near_allowance_tokens: Tokens,
) -> WitnessSet {
    let mut domains = BTreeSet::new();
    let mut best = WitnessSet {
        near_allowance_tokens,
        ..WitnessSet::default()
    };
    for candidate in candidates {
        if !domains.insert(&candidate.failure_domain) {
            continue;
        }
        if candidate.failure_domain == *own_domain {
            best.near = Some(candidate.holder);
        } else if best.far.len() < MAX_FAR_WITNESSES {
            best.far.insert(candidate.holder);
        }
    }
    best
}
