//! Grant size policies, which trade platform writes against false refusals.

use std::fmt::Debug;

use strum::{Display, EnumIter, EnumString};

use super::cover::CoverPolicy;
use super::units::Tokens;

/// Inputs of a policy: one budget at one holder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GrantView {
    /// Tokens in the ledger that are not granted, as last read.
    pub available_tokens: Tokens,
    /// Unspent tokens of other holders, as last read.
    pub others_free_tokens: Tokens,
    /// Prepaid amount in the holder's list.
    pub paid_tokens: Tokens,
    /// Tokens that the ledger counts as granted or spent, as last read.
    pub charged_tokens: Tokens,
    /// Tokens that this holder can still reserve below its limit.
    pub free_tokens: Tokens,
    /// Tokens reserved for requests in progress.
    pub reserved_tokens: Tokens,
    /// Tokens reserved per second at this holder, averaged over recent seconds.
    pub demand_tokens_per_s: u64,
    /// Largest recent reservation.
    pub largest_request_tokens: Tokens,
    /// Tokens that recent demand needs during the longest partition from the ledger.
    pub cover_tokens: Tokens,
    /// Number of routers that draw on the budget.
    pub holder_count: u64,
}

/// A policy's decision for one budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GrantDecision {
    /// Tokens to draw from the ledger.
    pub draw_tokens: Tokens,
    /// Tokens to return to the ledger.
    pub return_tokens: Tokens,
}

impl GrantDecision {
    /// Limits the decision to the prepaid amount.
    ///
    /// A plan's amount may be lowered while grants exist. Then nothing is drawn, and what is
    /// granted beyond the amount is returned as far as it is free.
    ///
    /// ```
    /// use currantlever::{GrantDecision, GrantView, Tokens};
    ///
    /// let view = GrantView {
    ///     paid_tokens: Tokens::new(50),
    ///     charged_tokens: Tokens::new(80),
    ///     free_tokens: Tokens::new(70),
    ///     ..GrantView::default()
    /// };
    /// let decision = GrantDecision::default().within_paid(&view);
    /// assert_eq!(decision.return_tokens, Tokens::new(30));
    /// ```
    #[must_use]
    pub fn within_paid(self, view: &GrantView) -> Self {
        let excess_tokens = view.charged_tokens - view.paid_tokens;
        if excess_tokens == Tokens::ZERO {
            return self;
        }
        Self {
            draw_tokens: Tokens::ZERO,
            return_tokens: self.return_tokens.max(excess_tokens.min(view.free_tokens)),
        }
    }
}

/// Decides the size of grants.
pub trait GrantPolicy: Debug + Send + Sync {
    /// Decides for one budget at one holder.
    fn decide(&self, view: &GrantView) -> GrantDecision;

    /// Decides for a request that needs more than the holder has.
    fn decide_for_request(&self, view: &GrantView, needed_tokens: Tokens) -> GrantDecision {
        let mut decision = self.decide(view);
        decision.return_tokens = Tokens::ZERO;
        decision.draw_tokens = decision.draw_tokens.max(needed_tokens - view.free_tokens);
        decision
    }

    /// Returns true when holders transfer tokens to one another.
    fn allows_transfers(&self) -> bool {
        false
    }
}

/// The policies that can be selected by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum PolicyName {
    /// A fixed size, independent of demand.
    Fixed,
    /// Some seconds of recent demand.
    Proportional,
    /// Some seconds of recent demand, but at most a share of the remaining budget.
    Shrinking,
    /// As shrinking, with transfers between holders.
    HandOver,
    /// An even share of the remaining budget, with transfers between holders.
    Stocked,
    /// Recent demand over the longest partition to be covered.
    Cover,
}

impl PolicyName {
    /// Creates the policy.
    #[must_use]
    pub fn build(self) -> Box<dyn GrantPolicy> {
        match self {
            Self::Fixed => Box::new(FixedPolicy::new(FIXED_GRANT_TOKENS)),
            Self::Proportional => Box::new(ProportionalPolicy::new(COVER_S)),
            Self::Shrinking => Box::new(ShrinkingPolicy::new(COVER_S)),
            Self::HandOver => Box::new(HandOverPolicy::new(COVER_S)),
            Self::Stocked => Box::new(StockedPolicy::new(STOCK_S)),
            Self::Cover => Box::new(CoverPolicy),
        }
    }
}

/// Size of a fixed grant.
pub const FIXED_GRANT_TOKENS: Tokens = Tokens::new(200_000);
/// Seconds of recent demand that a grant covers.
pub const COVER_S: u64 = 20;
/// Seconds of recent demand that a stocked grant covers, longer than most partitions.
pub const STOCK_S: u64 = 900;
/// A stocked holder draws only when its deficit exceeds its free tokens divided by this, and its
/// largest request.
const MIN_DRAW_DIVISOR: u64 = 16;
/// Seconds of recent demand that the near witness of a grant may acknowledge beyond the far ones.
const NEAR_ALLOWANCE_S: u64 = 300;
/// A holder's first draw is an even share of the prepaid amount, divided by this.
const FIRST_DRAW_DIVISOR: u64 = 2;
/// A stocked holder returns its excess over its target only when that exceeds the target divided by
/// this, plus the minimum change.
const EXCESS_DIVISOR: u64 = 10;
/// A holder returns its excess over its target when it has more than this many times the target.
const SURPLUS_FACTOR: u64 = 3;
/// A shrinking grant is at most an even share of the remaining budget divided by this.
const REMAINING_SHARE_DIVISOR: u64 = 2;

/// Draws a fixed amount whenever less than half of it is left.
#[derive(Clone, Copy, Debug)]
pub struct FixedPolicy {
    size_tokens: Tokens,
}

impl FixedPolicy {
    /// Creates a policy with grants of the given size.
    #[must_use]
    pub const fn new(size_tokens: Tokens) -> Self {
        Self { size_tokens }
    }
}

impl GrantPolicy for FixedPolicy {
    fn decide(&self, view: &GrantView) -> GrantDecision {
        let has_demand = view.demand_tokens_per_s > 0;
        if has_demand && view.free_tokens < self.size_tokens.scaled(1, 2) {
            return GrantDecision {
                draw_tokens: self.size_tokens,
                ..GrantDecision::default()
            };
        }
        GrantDecision::default()
    }
}

/// Keeps some seconds of recent demand and returns a large surplus.
#[derive(Clone, Copy, Debug)]
pub struct ProportionalPolicy {
    cover_s: u64,
}

impl ProportionalPolicy {
    /// Creates a policy whose grants cover the given seconds of demand.
    #[must_use]
    pub const fn new(cover_s: u64) -> Self {
        Self { cover_s }
    }

    fn target_tokens(self, view: &GrantView) -> Tokens {
        let demand_tokens = Tokens::new(view.demand_tokens_per_s.saturating_mul(self.cover_s));
        if demand_tokens == Tokens::ZERO {
            return Tokens::ZERO;
        }
        demand_tokens.max(view.largest_request_tokens.scaled(2, 1))
    }
}

impl GrantPolicy for ProportionalPolicy {
    fn decide(&self, view: &GrantView) -> GrantDecision {
        adjust_to_target(view.free_tokens, self.target_tokens(view))
    }
}

/// As proportional, but takes at most a share of the remaining budget as it runs low.
#[derive(Clone, Copy, Debug)]
pub struct ShrinkingPolicy {
    proportional: ProportionalPolicy,
}

impl ShrinkingPolicy {
    /// Creates a policy whose grants cover the given seconds of demand while the budget is full.
    #[must_use]
    pub const fn new(cover_s: u64) -> Self {
        Self {
            proportional: ProportionalPolicy::new(cover_s),
        }
    }

    fn target_tokens(self, view: &GrantView) -> Tokens {
        let wanted_tokens = self.proportional.target_tokens(view);
        let remaining_tokens = view.available_tokens + view.free_tokens;
        let share_tokens =
            remaining_tokens.scaled(1, REMAINING_SHARE_DIVISOR * view.holder_count.max(1));
        wanted_tokens.min(share_tokens)
    }
}

impl GrantPolicy for ShrinkingPolicy {
    fn decide(&self, view: &GrantView) -> GrantDecision {
        adjust_to_target(view.free_tokens, self.target_tokens(view))
    }
}

/// As shrinking, but requests transfers from other holders before it refuses.
#[derive(Clone, Copy, Debug)]
pub struct HandOverPolicy {
    shrinking: ShrinkingPolicy,
}

impl HandOverPolicy {
    /// Creates a policy whose grants cover the given seconds of demand while the budget is full.
    #[must_use]
    pub const fn new(cover_s: u64) -> Self {
        Self {
            shrinking: ShrinkingPolicy::new(cover_s),
        }
    }
}

impl GrantPolicy for HandOverPolicy {
    fn decide(&self, view: &GrantView) -> GrantDecision {
        self.shrinking.decide(view)
    }

    fn allows_transfers(&self) -> bool {
        true
    }
}

/// Takes an even share of the remaining budget, up to many minutes of demand.
///
/// Grants can be large because horizons bound what a crashed router strands, and must be large to
/// last through a partition, which cannot be predicted.
#[derive(Clone, Copy, Debug)]
pub struct StockedPolicy {
    proportional: ProportionalPolicy,
}

impl StockedPolicy {
    /// Creates a policy whose grants cover up to the given seconds of demand.
    #[must_use]
    pub const fn new(cover_s: u64) -> Self {
        Self {
            proportional: ProportionalPolicy::new(cover_s),
        }
    }
}

impl GrantPolicy for StockedPolicy {
    fn decide(&self, view: &GrantView) -> GrantDecision {
        let wanted_tokens = self.proportional.target_tokens(view);
        let remaining_tokens = view.available_tokens + view.others_free_tokens + view.free_tokens;
        let share_tokens = remaining_tokens.scaled(1, view.holder_count.max(1));
        let target_tokens = wanted_tokens.min(share_tokens);
        let min_change_tokens = view
            .largest_request_tokens
            .max(view.free_tokens.scaled(1, MIN_DRAW_DIVISOR));
        let deficit_tokens = (target_tokens - view.free_tokens).min(view.available_tokens);
        let excess_tokens = view.free_tokens - target_tokens;
        let mut decision = GrantDecision::default();
        if deficit_tokens > min_change_tokens {
            decision.draw_tokens = deficit_tokens;
        }
        if excess_tokens > target_tokens.scaled(1, EXCESS_DIVISOR) + min_change_tokens {
            decision.return_tokens = excess_tokens;
        }
        decision
    }

    /// A holder that has not read the ledger yet draws a share of the prepaid amount, so that it
    /// has more than one request's tokens if an outage begins now.
    fn decide_for_request(&self, view: &GrantView, needed_tokens: Tokens) -> GrantDecision {
        let is_ledger_unread = view.available_tokens + view.others_free_tokens == Tokens::ZERO;
        let planned_tokens = if is_ledger_unread {
            view.paid_tokens
                .scaled(1, FIRST_DRAW_DIVISOR * view.holder_count.max(1))
        } else {
            self.decide(view).draw_tokens
        };
        let draw_tokens = planned_tokens.max(needed_tokens - view.free_tokens);
        GrantDecision {
            draw_tokens,
            return_tokens: Tokens::ZERO,
        }
    }

    fn allows_transfers(&self) -> bool {
        true
    }
}

/// Returns the amount that the near witness of a grant may acknowledge beyond the far ones: some
/// minutes of demand, at most the limit.
#[must_use]
pub fn near_allowance(limit_tokens: Tokens, demand: &DemandMeter) -> Tokens {
    let allowance_tokens = Tokens::new(demand.tokens_per_s().saturating_mul(NEAR_ALLOWANCE_S));
    allowance_tokens.min(limit_tokens)
}

/// Recent demand on one budget at one holder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DemandMeter {
    interval_tokens: u64,
    scaled_tokens_per_s: u64,
    largest_tokens: Tokens,
}

/// The newest interval has a weight of one divided by this in the average of demand.
const DEMAND_DIVISOR: u64 = 64;

impl DemandMeter {
    /// Counts a request by its reservation.
    pub fn record(&mut self, tokens: Tokens) {
        self.interval_tokens = self.interval_tokens.saturating_add(tokens.get());
        self.largest_tokens = self.largest_tokens.max(tokens);
    }

    /// Ends an interval and adds it to the average.
    pub fn end_interval(&mut self, interval_ms: u64) {
        let newest = self.interval_tokens.saturating_mul(1_000) / interval_ms.max(1);
        let decayed = self.scaled_tokens_per_s - self.scaled_tokens_per_s / DEMAND_DIVISOR;
        self.scaled_tokens_per_s = decayed.saturating_add(newest);
        self.interval_tokens = 0;
        if self.tokens_per_s() == 0 {
            self.scaled_tokens_per_s = 0;
            self.largest_tokens = Tokens::ZERO;
        }
    }

    /// Returns the tokens reserved per second.
    #[must_use]
    pub const fn tokens_per_s(&self) -> u64 {
        self.scaled_tokens_per_s / DEMAND_DIVISOR
    }

    /// Returns the largest reservation since the demand was last zero.
    #[must_use]
    pub const fn largest_tokens(&self) -> Tokens {
        self.largest_tokens
    }
}

fn adjust_to_target(free_tokens: Tokens, target_tokens: Tokens) -> GrantDecision {
    let mut decision = GrantDecision::default();
    if free_tokens < target_tokens.scaled(1, 2) {
        decision.draw_tokens = target_tokens - free_tokens;
    }
    if free_tokens > target_tokens.scaled(SURPLUS_FACTOR, 1) {
        decision.return_tokens = free_tokens - target_tokens;
    }
    decision
}
