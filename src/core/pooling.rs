//! Token holdings of the whole fleet, for times when the ledger is unreachable or exhausted.
//!
//! Demand is uneven across routers and shifts during a partition from the ledger. Routers report
//! their holdings to one another, and one that runs short requests a transfer, so the fleet serves
//! a partition from its combined holdings.

use super::cover::RANKS;
use super::units::Tokens;

/// Lookahead of a transfer request, in milliseconds of demand beyond the request's need, so that
/// not each request needs a transfer.
const LOOKAHEAD_MS: u64 = 1_000;

/// One router's holdings of one budget, and its demand.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouterStock {
    /// Tokens that can be reserved.
    pub free_tokens: Tokens,
    /// Tokens reserved for requests in progress; a part of them becomes free again.
    pub reserved_tokens: Tokens,
    /// Demand by priority rank, in tokens per second.
    pub demand_tokens_per_s: [u64; RANKS],
}

impl RouterStock {
    /// Returns the demand of all ranks, in tokens per second.
    #[must_use]
    pub fn all_demand_tokens_per_s(&self) -> u64 {
        self.demand_tokens_per_s.iter().sum()
    }

    /// Returns the tokens to transfer to another router: all that its request needs, and of the
    /// amount wanted beyond that no more than half of the free tokens.
    ///
    /// ```
    /// use currantlever::{RouterStock, Tokens};
    /// let stock = RouterStock {
    ///     free_tokens: Tokens::new(1_000),
    ///     ..RouterStock::default()
    /// };
    /// let sent = |needed, wanted| stock.given_tokens(Tokens::new(needed), Tokens::new(wanted));
    /// assert_eq!(sent(100, 5_000), Tokens::new(500));
    /// assert_eq!(sent(700, 5_000), Tokens::new(700));
    /// assert_eq!(sent(3_000, 5_000), Tokens::new(1_000));
    /// ```
    #[must_use]
    pub fn given_tokens(&self, needed_tokens: Tokens, wanted_tokens: Tokens) -> Tokens {
        let half_tokens = self.free_tokens.scaled(1, 2);
        let max_tokens = needed_tokens.min(self.free_tokens).max(half_tokens);
        wanted_tokens.max(needed_tokens).min(max_tokens)
    }

    /// Returns the tokens to request from another router when a request needs more than is free.
    #[must_use]
    pub fn wanted_tokens(&self, needed_tokens: Tokens) -> Tokens {
        needed_tokens - self.free_tokens + self.ahead_tokens()
    }

    /// Returns the tokens that a router that does not draw on the ledger keeps for its own
    /// requests.
    #[must_use]
    pub fn ahead_tokens(&self) -> Tokens {
        Tokens::new(self.all_demand_tokens_per_s()).scaled(LOOKAHEAD_MS, 1_000)
    }
}

/// Combined holdings of one budget at all routers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetStock {
    /// The sum over the routers.
    pub sum: RouterStock,
}

impl FleetStock {
    /// Adds a router's holdings.
    pub fn add(&mut self, stock: &RouterStock) {
        self.sum.free_tokens += stock.free_tokens;
        self.sum.reserved_tokens += stock.reserved_tokens;
        let rank_demands = self.sum.demand_tokens_per_s.iter_mut();
        for (sum, demand) in rank_demands.zip(stock.demand_tokens_per_s) {
            *sum = sum.saturating_add(demand);
        }
    }

    /// Returns the tokens that requests of higher priority than a rank need for a period.
    #[must_use]
    pub fn higher_priority_tokens(&self, rank: u8, period_s: f64) -> Tokens {
        let higher_priority_demand =
            &self.sum.demand_tokens_per_s[..usize::from(rank).min(RANKS - 1)];
        Tokens::from_estimate(
            Tokens::new(higher_priority_demand.iter().sum()).as_estimate() * period_s,
        )
    }

    /// Returns true when a request may be served during a partition that lasts for `remaining_s`
    /// more seconds: the tokens left must still serve the requests of higher priority.
    ///
    /// ```
    /// use currantlever::{FleetStock, RouterStock, Tokens};
    /// let mut fleet = FleetStock::default();
    /// let stock = RouterStock {
    ///     free_tokens: Tokens::new(500),
    ///     demand_tokens_per_s: [100, 0, 0],
    ///     ..RouterStock::default()
    /// };
    /// fleet.add(&stock);
    /// fleet.add(&stock);
    /// assert!(fleet.admits(0, Tokens::new(900), 4.0));
    /// assert!(!fleet.admits(1, Tokens::new(900), 4.0));
    /// ```
    #[must_use]
    pub fn admits(&self, rank: u8, tokens: Tokens, remaining_s: f64) -> bool {
        self.sum.free_tokens >= tokens + self.higher_priority_tokens(rank, remaining_s)
    }
}
