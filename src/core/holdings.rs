//! Token holdings of the whole fleet, for times when the ledger is unreachable or exhausted.
//!
//! Demand is uneven across routers and shifts during a partition from the ledger. Routers report
//! their holdings to one another, and one that runs short requests a transfer, so the fleet serves
//! a partition from its combined holdings.

use super::cover::PRIORITY_RANKS;
use super::units::Tokens;

/// Lookahead of a transfer request, in milliseconds of demand beyond the request's need, so that
/// not each request needs a transfer.
const LOOKAHEAD_MS: u64 = 1_000;

/// One router's holdings of one budget, and its demand.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouterHoldings {
    /// Tokens that can be reserved.
    pub free_tokens: Tokens,
    /// Tokens reserved for requests in progress; a part of them becomes free again.
    pub reserved_tokens: Tokens,
    /// Demand by priority rank, in tokens per second.
    pub demand_tokens_per_s: [u64; PRIORITY_RANKS],
}

impl RouterHoldings {
    /// Returns the demand of all ranks, in tokens per second.
    #[must_use]
    pub fn total_demand_tokens_per_s(&self) -> u64 {
        self.demand_tokens_per_s.iter().sum()
    }

    /// Returns the tokens to transfer to another router: all that its request needs, and of the
    /// amount wanted beyond that no more than half of the free tokens.
    ///
    /// ```
    /// use currantlever::{RouterHoldings, Tokens};
    /// let holdings = RouterHoldings {
    ///     free_tokens: Tokens::new(1_000),
    ///     ..RouterHoldings::default()
    /// };
    /// let sent = |needed, wanted| holdings.transfer_tokens(Tokens::new(needed), Tokens::new(wanted));
    /// assert_eq!(sent(100, 5_000), Tokens::new(500));
    /// assert_eq!(sent(700, 5_000), Tokens::new(700));
    /// assert_eq!(sent(3_000, 5_000), Tokens::new(1_000));
    /// ```
    #[must_use]
    pub fn transfer_tokens(&self, needed_tokens: Tokens, wanted_tokens: Tokens) -> Tokens {
        let half_tokens = self.free_tokens.scaled(1, 2);
        let max_tokens = needed_tokens.min(self.free_tokens).max(half_tokens);
        wanted_tokens.max(needed_tokens).min(max_tokens)
    }

    /// Returns the tokens to request from another router when a request needs more than is free.
    #[must_use]
    pub fn wanted_tokens(&self, needed_tokens: Tokens) -> Tokens {
        needed_tokens - self.free_tokens + self.lookahead_tokens()
    }

    /// Returns the tokens that a router that does not draw on the ledger keeps for its own
    /// requests.
    #[must_use]
    pub fn lookahead_tokens(&self) -> Tokens {
        Tokens::new(self.total_demand_tokens_per_s()).scaled(LOOKAHEAD_MS, 1_000)
    }
}

/// Combined holdings of one budget at all routers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetHoldings {
    /// The sum over the routers.
    pub sum: RouterHoldings,
}

impl FleetHoldings {
    /// Adds a router's holdings.
    pub fn add(&mut self, holdings: &RouterHoldings) {
        self.sum.free_tokens += holdings.free_tokens;
        self.sum.reserved_tokens += holdings.reserved_tokens;
        let rank_demands = self.sum.demand_tokens_per_s.iter_mut();
        for (sum, demand) in rank_demands.zip(holdings.demand_tokens_per_s) {
            *sum = sum.saturating_add(demand);
        }
    }

    /// Returns the tokens that requests of higher priority than a rank need for a period.
    #[must_use]
    pub fn higher_priority_tokens(&self, rank: u8, period_s: f64) -> Tokens {
        let higher_priority_demand =
            &self.sum.demand_tokens_per_s[..usize::from(rank).min(PRIORITY_RANKS - 1)];
        Tokens::from_estimate(
            Tokens::new(higher_priority_demand.iter().sum()).as_estimate() * period_s,
        )
    }

    /// Returns true when a request may be served during a partition that lasts for `remaining_s`
    /// more seconds: the tokens left must still serve the requests of higher priority.
    ///
    /// ```
    /// use currantlever::{FleetHoldings, RouterHoldings, Tokens};
    /// let mut fleet = FleetHoldings::default();
    /// let holdings = RouterHoldings {
    ///     free_tokens: Tokens::new(500),
    ///     demand_tokens_per_s: [100, 0, 0],
    ///     ..RouterHoldings::default()
    /// };
    /// fleet.add(&holdings);
    /// fleet.add(&holdings);
    /// assert!(fleet.admits(0, Tokens::new(900), 4.0));
    /// assert!(!fleet.admits(1, Tokens::new(900), 4.0));
    /// ```
    #[must_use]
    pub fn admits(&self, rank: u8, tokens: Tokens, remaining_s: f64) -> bool {
        self.sum.free_tokens >= tokens + self.higher_priority_tokens(rank, remaining_s)
    }
}
