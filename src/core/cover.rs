//! Grants for a fleet whose ledger lies in a store that it is cut off from now and then.
//!
//! A grant counts as spent when it is made, and is lost when its holder dies. So a holder keeps
//! what the longest cut would need and no more, and while it is cut off the tokens that are left
//! are kept for the more urgent requests of the team.

use super::policy::{GrantDecision, GrantPolicy, GrantView};
use super::units::Tokens;

/// Ranks of requests that are told apart; those beyond count as the last.
pub const RANKS: usize = 3;
/// Longest cut that grants cover, in seconds; deployments see 7 to 9.
pub const CUT_S: f64 = 10.0;
/// Time for which the rest of a budget must last for full covers, in seconds. As it runs out,
/// covers shrink with it, since what is lost with a holder is then refused to callers.
const FULL_COVER_REST_S: f64 = 60.0;
/// Least part of the full cover.
const LEAST_COVER_PART: f64 = 0.03;
/// Seconds of its own demand that a router covers by itself: time to draw again or to ask others.
const OWN_COVER_S: f64 = 2.0;
/// Seconds of the fleet's demand that all grants together cover beyond that, for each rank. What is
/// granted is lost when all routers die at once, so the less urgent ranks are covered for a part of
/// the longest cut.
const FLEET_COVER_S: [f64; RANKS] = [8.5, 7.0, 6.0];

/// The part of the full cover that is kept while the rest of a budget lasts for a time.
fn cover_part(rest_s: f64) -> f64 {
    let part = (rest_s / FULL_COVER_REST_S).min(1.0).powi(2);
    part.max(LEAST_COVER_PART)
}

/// What one of some holders keeps for the demand of the whole fleet in a cut from the ledger, or a
/// part of that as the budget runs out. It is spread evenly, so that the death of the busiest router
/// strands no more than that of another.
///
/// ```
/// use currantlever::{fleet_cover_tokens, Tokens};
/// let full = fleet_cover_tokens([900, 0, 0], 9, f64::INFINITY);
/// assert_eq!(full, Tokens::new(850));
/// assert!(fleet_cover_tokens([900, 0, 0], 9, 10.0) < full);
/// ```
#[must_use]
pub fn fleet_cover_tokens(demand_tokens_per_s: [u64; RANKS], holders: u64, rest_s: f64) -> Tokens {
    let demands = demand_tokens_per_s.iter().zip(FLEET_COVER_S);
    let full: f64 = demands
        .map(|(demand, cover_s)| Tokens::new(*demand).as_estimate() * cover_s)
        .sum();
    Tokens::from_estimate(full * cover_part(rest_s)).scaled(1, holders.max(1))
}

/// Covers recent demand for some seconds, so that a router that is cut off from the ledger for
/// that long refuses nobody, and holds no more, since what it holds is lost when it dies.
#[derive(Clone, Copy, Debug)]
pub struct CoverPolicy;

/// Part of a holder's even share of the rest of a budget that it stocks before any demand. Other
/// routers hand over what its first requests need beyond that.
const UNSEEN_DEMAND_PART: u64 = 40;
/// A covered holder draws at most this part of what is available, unless a request needs more.
const AVAILABLE_PART: u64 = 2;

impl CoverPolicy {
    fn target_tokens(view: &GrantView) -> Tokens {
        let holders = view.holder_count.max(1);
        let rest_tokens = view.available_tokens + view.others_free_tokens + view.free_tokens;
        let unseen_tokens = rest_tokens.scaled(1, UNSEEN_DEMAND_PART * holders);
        view.cover_tokens.max(unseen_tokens)
    }
}

impl GrantPolicy for CoverPolicy {
    fn decide(&self, view: &GrantView) -> GrantDecision {
        let target_tokens = Self::target_tokens(view);
        let mut decision = GrantDecision::default();
        if view.free_tokens < target_tokens.scaled(9, 10) {
            let lacking_tokens = target_tokens - view.free_tokens;
            let most_tokens = view.available_tokens.scaled(1, AVAILABLE_PART);
            decision.draw_tokens = lacking_tokens.min(most_tokens);
        }
        let spare_tokens = target_tokens.scaled(1, 2);
        if view.free_tokens > target_tokens + spare_tokens {
            decision.return_tokens = view.free_tokens - target_tokens;
        }
        decision
    }
}

/// Recent demand as an average that is right from its first second on: what was seen is divided
/// by the weight of the time in which it was seen.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WarmMeter {
    tokens: f64,
    squares: f64,
    seconds: f64,
    largest_tokens: Tokens,
}

/// Weight of the requests before when the end of a further one is counted.
const REQUEST_MEMORY: f64 = 0.95;
/// Time in which the weight of past demand falls to a third, in seconds.
const WARM_MEMORY_S: f64 = 6.0;

impl WarmMeter {
    /// Counts a request by what it is expected to spend and what it reserves.
    pub fn note(&mut self, expected_tokens: Tokens, reserved_tokens: Tokens) {
        let tokens = expected_tokens.as_estimate();
        self.tokens += tokens;
        self.squares += tokens * tokens;
        self.largest_tokens = self.largest_tokens.max(reserved_tokens);
    }

    /// Lets time pass. Time before the first demand does not count.
    pub fn pass(&mut self, interval_s: f64) {
        if self.tokens <= 0.0 && self.seconds <= 0.0 {
            return;
        }
        let kept = (-interval_s / WARM_MEMORY_S).exp();
        self.tokens *= kept;
        self.squares *= kept;
        self.seconds = self.seconds * kept + interval_s;
        if self.tokens < 1.0 {
            *self = Self::default();
        }
    }

    /// Tokens spent a second.
    ///
    /// ```
    /// use currantlever::{Tokens, WarmMeter};
    /// let mut meter = WarmMeter::default();
    /// for _ in 0..10 {
    ///     meter.note(Tokens::new(100), Tokens::new(150));
    ///     meter.pass(0.1);
    /// }
    /// assert!((900..1100).contains(&meter.tokens_per_s()));
    /// ```
    #[must_use]
    pub fn tokens_per_s(&self) -> u64 {
        Tokens::from_estimate(self.tokens / self.seconds.max(1.0)).get()
    }

    /// What a time of this demand needs: its average and one standard deviation, for requests
    /// that come independently of one another.
    #[must_use]
    pub fn need_tokens(&self, time_s: f64) -> Tokens {
        let seconds = self.seconds.max(1.0);
        let average = self.tokens / seconds * time_s;
        let spread = (self.squares / seconds * time_s).sqrt();
        Tokens::from_estimate(average + spread)
    }

    /// Largest reservation since the demand was last zero.
    #[must_use]
    pub const fn largest_tokens(&self) -> Tokens {
        self.largest_tokens
    }
}

/// Recent demand on one budget by the rank of the requests.
///
/// A request counts from its start, by the part of reservations that requests before it spent:
/// streams last for seconds, and demand that is only seen at their end is seen too late.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RankedDemand {
    meters: [WarmMeter; RANKS],
    handed: WarmMeter,
    ended_reserved_tokens: f64,
    ended_spent_tokens: f64,
}

impl RankedDemand {
    /// Counts a request that has just reserved its tokens.
    pub fn note_start(&mut self, rank: u8, reserved_tokens: Tokens) {
        let index = usize::from(rank).min(RANKS - 1);
        let expected_tokens = reserved_tokens.as_estimate() * self.spent_part();
        self.meters[index].note(Tokens::from_estimate(expected_tokens), reserved_tokens);
    }

    /// Counts tokens handed to another router, which are its demand and not told as this one's.
    pub fn note_handed(&mut self, tokens: Tokens) {
        self.handed.note(tokens, tokens);
    }

    /// Takes in what a request spent of its reservation.
    pub fn note_end(&mut self, spent_tokens: Tokens, reserved_tokens: Tokens) {
        self.ended_reserved_tokens =
            self.ended_reserved_tokens * REQUEST_MEMORY + reserved_tokens.as_estimate();
        self.ended_spent_tokens =
            self.ended_spent_tokens * REQUEST_MEMORY + spent_tokens.as_estimate();
    }

    /// The part of reservations that is spent; all before any request has ended.
    fn spent_part(&self) -> f64 {
        if self.ended_reserved_tokens < 1.0 {
            return 1.0;
        }
        self.ended_spent_tokens / self.ended_reserved_tokens
    }

    /// Lets time pass.
    pub fn pass(&mut self, interval_s: f64) {
        for meter in self.meters.iter_mut().chain([&mut self.handed]) {
            meter.pass(interval_s);
        }
    }

    /// Tokens spent a second.
    #[must_use]
    pub fn tokens_per_s(&self) -> u64 {
        self.meters.iter().map(WarmMeter::tokens_per_s).sum()
    }

    /// Tokens spent a second, by rank.
    #[must_use]
    pub fn rank_tokens_per_s(&self) -> [u64; RANKS] {
        self.meters.each_ref().map(WarmMeter::tokens_per_s)
    }

    /// Largest reservation seen lately.
    #[must_use]
    pub fn largest_tokens(&self) -> Tokens {
        let largest = self.meters.iter().map(WarmMeter::largest_tokens);
        largest.max().unwrap_or_default()
    }

    /// What this router's requests and the routers that ask it need until it can draw again or ask
    /// others, or a part of that as the budget runs out: the rest lasts for `rest_s` at the present
    /// demand of all holders.
    #[must_use]
    pub fn own_cover_tokens(&self, rest_s: f64) -> Tokens {
        let cover_s = OWN_COVER_S * cover_part(rest_s);
        let meters = self.meters.iter().chain([&self.handed]);
        meters.map(|meter| meter.need_tokens(cover_s)).sum()
    }
}
