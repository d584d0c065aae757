//! Grant sizes that cover temporary partitions between the routers and the ledger.
//!
//! A grant counts as spent when it is made, and is lost when its holder crashes. So a holder's
//! cover, the tokens that it keeps for a partition, is only what the longest partition needs.
//! During a partition the remaining tokens are kept for the team's requests of higher priority.

use super::policy::{GrantDecision, GrantPolicy, GrantView};
use super::units::Tokens;

/// Number of priority ranks; a rank beyond the last counts as the last.
pub const PRIORITY_RANKS: usize = 3;
/// Longest partition that grants cover, in seconds; deployments see 7 to 9.
pub const MAX_PARTITION_S: f64 = 10.0;
/// Time to exhaustion of the budget, in seconds, below which covers shrink. Near exhaustion, tokens
/// that are lost with a holder cause refusals.
const FULL_COVER_MIN_TIME_TO_EXHAUSTION_S: f64 = 60.0;
/// Minimum fraction of the full cover.
const MIN_COVER_FRACTION: f64 = 0.03;
/// Seconds of its own demand that a router covers: the time to draw again or to request transfers.
const OWN_COVER_S: f64 = 2.0;
/// Seconds of the fleet's demand that all grants together cover beyond that, by rank. All grants
/// are lost when all routers crash at once, so the lower-priority ranks are covered for only a part
/// of the longest partition.
const FLEET_COVER_S: [f64; PRIORITY_RANKS] = [8.5, 7.0, 6.0];

/// Returns the fraction of the full cover to keep at a time to exhaustion.
fn cover_fraction(time_to_exhaustion_s: f64) -> f64 {
    let fraction = (time_to_exhaustion_s / FULL_COVER_MIN_TIME_TO_EXHAUSTION_S)
        .min(1.0)
        .powi(2);
    fraction.max(MIN_COVER_FRACTION)
}

/// Returns one holder's even share of the tokens that cover the whole fleet's demand during a
/// partition, reduced as the budget nears exhaustion. Even shares keep the loss from a crash of the
/// busiest router no larger than from that of any other.
///
/// ```
/// use currantlever::{fleet_cover_tokens, Tokens};
/// let full_tokens = fleet_cover_tokens([900, 0, 0], 9, f64::INFINITY);
/// assert_eq!(full_tokens, Tokens::new(850));
/// assert!(fleet_cover_tokens([900, 0, 0], 9, 10.0) < full_tokens);
/// ```
#[must_use]
pub fn fleet_cover_tokens(
    demand_tokens_per_s: [u64; PRIORITY_RANKS],
    holders: u64,
    time_to_exhaustion_s: f64,
) -> Tokens {
    let rank_covers = demand_tokens_per_s.iter().zip(FLEET_COVER_S);
    let full_tokens: f64 = rank_covers
        .map(|(demand, cover_s)| Tokens::new(*demand).as_estimate() * cover_s)
        .sum();
    Tokens::from_estimate(full_tokens * cover_fraction(time_to_exhaustion_s))
        .scaled(1, holders.max(1))
}

/// Covers some seconds of recent demand, so that a router that is partitioned from the ledger for
/// that long refuses no request, and holds no more, since its tokens are lost when it crashes.
#[derive(Clone, Copy, Debug)]
pub struct CoverPolicy;

/// Before any demand is measured, a holder draws its even share of the remaining budget divided by
/// this. Transfers from other routers supply what its first requests need beyond that.
const INITIAL_SHARE_DIVISOR: u64 = 40;
/// A draw takes at most the available tokens divided by this, unless a request needs more.
const AVAILABLE_DIVISOR: u64 = 2;

impl CoverPolicy {
    fn target_tokens(view: &GrantView) -> Tokens {
        let holders = view.holder_count.max(1);
        let remaining_tokens = view.available_tokens + view.others_free_tokens + view.free_tokens;
        let initial_tokens = remaining_tokens.scaled(1, INITIAL_SHARE_DIVISOR * holders);
        view.cover_tokens.max(initial_tokens)
    }
}

impl GrantPolicy for CoverPolicy {
    fn decide(&self, view: &GrantView) -> GrantDecision {
        let target_tokens = Self::target_tokens(view);
        let mut decision = GrantDecision::default();
        if view.free_tokens < target_tokens.scaled(9, 10) {
            let deficit_tokens = target_tokens - view.free_tokens;
            let max_draw_tokens = view.available_tokens.scaled(1, AVAILABLE_DIVISOR);
            decision.draw_tokens = deficit_tokens.min(max_draw_tokens);
        }
        let tolerance_tokens = target_tokens.scaled(1, 2);
        if view.free_tokens > target_tokens + tolerance_tokens {
            decision.return_tokens = view.free_tokens - target_tokens;
        }
        decision
    }
}

/// Exponentially decaying average of demand without startup bias: the weighted sum is divided by
/// the weight of the time observed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DemandRate {
    tokens: f64,
    token_squares: f64,
    seconds: f64,
    largest_tokens: Tokens,
}

/// Decay factor of the spent fraction's history for each request that ends.
const REQUEST_DECAY: f64 = 0.95;
/// Time constant of the decay of past demand, in seconds: its weight falls to 1/e, about a third.
const DEMAND_TIME_CONSTANT_S: f64 = 6.0;

impl DemandRate {
    /// Counts a request by its expected spend and its reservation.
    pub fn record(&mut self, expected_tokens: Tokens, reserved_tokens: Tokens) {
        let tokens = expected_tokens.as_estimate();
        self.tokens += tokens;
        self.token_squares += tokens * tokens;
        self.largest_tokens = self.largest_tokens.max(reserved_tokens);
    }

    /// Advances time by an interval and decays past demand. Time before the first demand does not
    /// count.
    pub fn advance(&mut self, interval_s: f64) {
        if self.tokens <= 0.0 && self.seconds <= 0.0 {
            return;
        }
        let decay = (-interval_s / DEMAND_TIME_CONSTANT_S).exp();
        self.tokens *= decay;
        self.token_squares *= decay;
        self.seconds = self.seconds * decay + interval_s;
        if self.tokens < 1.0 {
            *self = Self::default();
        }
    }

    /// Returns the demand in tokens per second.
    ///
    /// ```
    /// use currantlever::{Tokens, DemandRate};
    /// let mut rate = DemandRate::default();
    /// for _ in 0..10 {
    ///     rate.record(Tokens::new(100), Tokens::new(150));
    ///     rate.advance(0.1);
    /// }
    /// assert!((900..1100).contains(&rate.tokens_per_s()));
    /// ```
    #[must_use]
    pub fn tokens_per_s(&self) -> u64 {
        Tokens::from_estimate(self.tokens / self.seconds.max(1.0)).get()
    }

    /// Returns the mean demand of a period plus one standard deviation, for independent arrivals.
    #[must_use]
    pub fn need_tokens(&self, period_s: f64) -> Tokens {
        let seconds = self.seconds.max(1.0);
        let mean_tokens = self.tokens / seconds * period_s;
        let deviation_tokens = (self.token_squares / seconds * period_s).sqrt();
        Tokens::from_estimate(mean_tokens + deviation_tokens)
    }

    /// Returns the largest reservation since the demand was last zero.
    #[must_use]
    pub const fn largest_tokens(&self) -> Tokens {
        self.largest_tokens
    }
}

/// Recent demand on one budget, by priority rank.
///
/// A request counts from its start, by its reservation times the fraction that earlier requests
/// spent: streams last for seconds, so counting them at their end would measure demand too late.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RankedDemand {
    rates: [DemandRate; PRIORITY_RANKS],
    transferred: DemandRate,
    ended_reserved_tokens: f64,
    ended_spent_tokens: f64,
}

impl RankedDemand {
    /// Counts a request that has just reserved its tokens.
    pub fn record_start(&mut self, rank: u8, reserved_tokens: Tokens) {
        let index = usize::from(rank).min(PRIORITY_RANKS - 1);
        let expected_tokens = reserved_tokens.as_estimate() * self.spent_fraction();
        self.rates[index].record(Tokens::from_estimate(expected_tokens), reserved_tokens);
    }

    /// Counts tokens transferred to another router. They are part of that router's demand and are
    /// not reported as this one's.
    pub fn record_transfer(&mut self, tokens: Tokens) {
        self.transferred.record(tokens, tokens);
    }

    /// Records a request's spend and reservation at its end.
    pub fn record_end(&mut self, spent_tokens: Tokens, reserved_tokens: Tokens) {
        self.ended_reserved_tokens =
            self.ended_reserved_tokens * REQUEST_DECAY + reserved_tokens.as_estimate();
        self.ended_spent_tokens =
            self.ended_spent_tokens * REQUEST_DECAY + spent_tokens.as_estimate();
    }

    /// Returns the fraction of reservations that is spent; 1 before any request has ended.
    fn spent_fraction(&self) -> f64 {
        if self.ended_reserved_tokens < 1.0 {
            return 1.0;
        }
        self.ended_spent_tokens / self.ended_reserved_tokens
    }

    /// Advances time by an interval and decays past demand.
    pub fn advance(&mut self, interval_s: f64) {
        for rate in self.rates.iter_mut().chain([&mut self.transferred]) {
            rate.advance(interval_s);
        }
    }

    /// Returns the demand in tokens per second.
    #[must_use]
    pub fn tokens_per_s(&self) -> u64 {
        self.rates.iter().map(DemandRate::tokens_per_s).sum()
    }

    /// Returns the demand in tokens per second, by rank.
    #[must_use]
    pub fn rank_tokens_per_s(&self) -> [u64; PRIORITY_RANKS] {
        self.rates.each_ref().map(DemandRate::tokens_per_s)
    }

    /// Returns the largest recent reservation.
    #[must_use]
    pub fn largest_tokens(&self) -> Tokens {
        let largest = self.rates.iter().map(DemandRate::largest_tokens);
        largest.max().unwrap_or_default()
    }

    /// Returns the tokens that this router's requests and the transfers to other routers need until
    /// it can draw again or request transfers, reduced as the budget nears exhaustion.
    /// `time_to_exhaustion_s` assumes the current demand of all holders.
    #[must_use]
    pub fn own_cover_tokens(&self, time_to_exhaustion_s: f64) -> Tokens {
        let cover_s = OWN_COVER_S * cover_fraction(time_to_exhaustion_s);
        let rates = self.rates.iter().chain([&self.transferred]);
        rates.map(|rate| rate.need_tokens(cover_s)).sum()
    }
}
