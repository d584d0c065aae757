//! One router's share of one budget: its holder, its demand and the last ledger read.
//!
//! Routers and the policy benchmark choose horizons and witnesses with this code.

use std::collections::BTreeSet;

use super::holder::Holder;
use super::ids::{FailureDomain, HolderId};
use super::ledger::{BudgetEntry, WitnessSet};
use super::policy::{near_allowance, DemandMeter, GrantView, COVER_S};
use super::units::Tokens;

/// Number of routers that a team's callers choose from.
pub const ROUTERS_PER_TEAM: usize = 3;
/// Maximum number of a grant's witnesses in other failure domains, each in a different domain.
const MAX_FAR_WITNESSES: usize = 3;
/// Horizon lookahead, as a multiple of the largest recent request.
const HORIZON_REQUESTS: u64 = 4;
/// Horizon lookahead, in seconds of demand.
const HORIZON_S: u64 = 2;

/// Totals of a budget's ledger entry, as seen by one holder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LedgerTotals {
    /// Tokens that can still be granted.
    pub available_tokens: Tokens,
    /// Tokens granted and not returned.
    pub charged_tokens: Tokens,
    /// Unspent tokens of other holders.
    pub others_free_tokens: Tokens,
    /// Number of other holders with unspent tokens.
    pub other_count: u64,
    /// Tokens that other holders reported as spent, or that were lost when they ended.
    pub others_spent_tokens: Tokens,
}

impl LedgerTotals {
    /// Computes the totals of an entry for one of its holders.
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

/// One router's share of one budget.
#[derive(Clone, Debug)]
pub struct BudgetShare {
    holder: Holder,
    demand: DemandMeter,
    totals: LedgerTotals,
}

impl BudgetShare {
    /// Creates a share without a grant.
    #[must_use]
    pub fn new(holder: HolderId) -> Self {
        Self {
            holder: Holder::new(holder),
            demand: DemandMeter::default(),
            totals: LedgerTotals::default(),
        }
    }

    /// Returns the holder.
    #[must_use]
    pub const fn holder(&self) -> &Holder {
        &self.holder
    }

    /// Returns a mutable reference to the holder.
    pub fn holder_mut(&mut self) -> &mut Holder {
        &mut self.holder
    }

    /// Replaces the holder, whose row was sealed, with a new one, and returns the old holder.
    pub fn replace_holder(&mut self, next: HolderId) -> Holder {
        std::mem::replace(&mut self.holder, Holder::new(next))
    }

    /// Returns a mutable reference to the demand meter.
    pub fn demand_mut(&mut self) -> &mut DemandMeter {
        &mut self.demand
    }

    /// Returns the totals of the last ledger read.
    #[must_use]
    pub const fn totals(&self) -> &LedgerTotals {
        &self.totals
    }

    /// Stores the totals of a ledger read.
    pub fn set_totals(&mut self, totals: LedgerTotals) {
        self.totals = totals;
    }

    /// Returns the inputs of the grant policy.
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

    /// Returns true when no tokens are held, no update is pending and there is no recent demand.
    #[must_use]
    pub fn is_unused(&self) -> bool {
        self.holder.limit_tokens() == Tokens::ZERO
            && self.holder.consumed_tokens() == Tokens::ZERO
            && self.holder.pending().is_none()
            && self.demand.tokens_per_s() == 0
    }

    /// Returns true when the end of current reservations may free enough tokens for a request.
    #[must_use]
    pub fn may_be_freed(&self, tokens: Tokens) -> bool {
        let reserved_tokens = self.holder.reserved_tokens();
        reserved_tokens > Tokens::ZERO && self.holder.free_tokens() + reserved_tokens >= tokens
    }

    /// Returns the horizon to request from the witnesses, or `None` while the current one is high
    /// enough or cannot be extended.
    #[must_use]
    pub fn wanted_horizon(&self, needed_tokens: Tokens) -> Option<Tokens> {
        let holder = &self.holder;
        if holder.witnesses().is_empty() || holder.is_witness_sealed() {
            return None;
        }
        let requests_tokens = self.demand.largest_tokens().scaled(HORIZON_REQUESTS, 1);
        let demand_tokens = Tokens::new(self.demand.tokens_per_s().saturating_mul(HORIZON_S));
        let lookahead_tokens = requests_tokens.max(demand_tokens).max(needed_tokens);
        let wanted_tokens =
            (holder.consumed_tokens() + lookahead_tokens).min(holder.limit_tokens());
        let acknowledged_tokens = holder.horizon_tokens() - holder.consumed_tokens();
        let needs_extension = acknowledged_tokens < lookahead_tokens.scaled(1, 2)
            || acknowledged_tokens < needed_tokens;
        (needs_extension && wanted_tokens > holder.horizon_tokens()).then_some(wanted_tokens)
    }

    /// Returns the witnesses that the grant should have: the current ones while they are reachable
    /// and usable, else the best candidates, or the current ones when there is no candidate.
    ///
    /// `candidates` is called only when the current witnesses must change: ranking a large fleet is
    /// too expensive for each update.
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
        let current = self.holder.witnesses();
        let is_stale = self.holder.is_witness_sealed() || self.is_allowance_small();
        if !current.is_empty() && !is_stale && current.all().all(is_reachable) {
            return current.clone();
        }
        let selected = select_witnesses(own_domain, &candidates(), self.near_allowance());
        if selected.is_empty() {
            return current.clone();
        }
        selected
    }

    /// Returns the amount that the near witness may acknowledge beyond the far ones while the
    /// failure domain is partitioned.
    fn near_allowance(&self) -> Tokens {
        near_allowance(self.holder.limit_tokens(), &self.demand)
    }

    /// Returns true when demand has grown to more than twice the allowance in the ledger.
    fn is_allowance_small(&self) -> bool {
        let current = self.holder.witnesses();
        current.near.is_some() && current.near_allowance_tokens < self.near_allowance().scaled(1, 2)
    }
}

/// A router that may become a witness.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WitnessCandidate {
    /// The router process.
    pub holder: HolderId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
}

/// Selects the first candidate in each of up to `MAX_FAR_WITNESSES` other failure domains, and the
/// first in the own domain.
fn select_witnesses(
    own_domain: &FailureDomain,
    candidates: &[WitnessCandidate],
    near_allowance_tokens: Tokens,
) -> WitnessSet {
    let mut domains = BTreeSet::new();
    let mut selected = WitnessSet {
        near_allowance_tokens,
        ..WitnessSet::default()
    };
    for candidate in candidates {
        if !domains.insert(&candidate.failure_domain) {
            continue;
        }
        if candidate.failure_domain == *own_domain {
            selected.near = Some(candidate.holder);
        } else if selected.far.len() < MAX_FAR_WITNESSES {
            selected.far.insert(candidate.holder);
        }
    }
    selected
}
