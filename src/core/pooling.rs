//! A budget as the whole fleet holds it, for times when the ledger is out of reach or empty.
//!
//! Demand is spread unevenly over routers, and in a cut from the ledger it goes on where it likes.
//! Routers tell one another what they hold, and one that runs short asks another for tokens, so a
//! cut is ridden out with what all of them hold together.

use super::cover::RANKS;
use super::units::Tokens;

/// Time of demand that a router asks for beyond what a request needs, in milliseconds, so that not
/// each request asks.
const AHEAD_MS: u64 = 1_000;

/// What one router holds of one budget, and the demand there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouterStock {
    /// Tokens that can be reserved.
    pub free_tokens: Tokens,
    /// Tokens reserved for requests in progress; a part of them becomes free again.
    pub reserved_tokens: Tokens,
    /// Demand by rank, in tokens a second.
    pub demand_tokens_per_s: [u64; RANKS],
}

impl RouterStock {
    /// Demand of all ranks, in tokens a second.
    #[must_use]
    pub fn all_demand_tokens_per_s(&self) -> u64 {
        self.demand_tokens_per_s.iter().sum()
    }

    /// What is handed to another router that asks: all that its request needs, and of what it
    /// would like beyond that no more than leaves it and this router alike.
    ///
    /// ```
    /// use currantlever::{RouterStock, Tokens};
    /// let stock = RouterStock {
    ///     free_tokens: Tokens::new(1_000),
    ///     ..RouterStock::default()
    /// };
    /// let given = |needed, wanted| stock.given_tokens(Tokens::new(needed), Tokens::new(wanted));
    /// assert_eq!(given(100, 5_000), Tokens::new(500));
    /// assert_eq!(given(700, 5_000), Tokens::new(700));
    /// assert_eq!(given(3_000, 5_000), Tokens::new(1_000));
    /// ```
    #[must_use]
    pub fn given_tokens(&self, needed_tokens: Tokens, wanted_tokens: Tokens) -> Tokens {
        let even_tokens = self.free_tokens.scaled(1, 2);
        let most_tokens = needed_tokens.min(self.free_tokens).max(even_tokens);
        wanted_tokens.max(needed_tokens).min(most_tokens)
    }

    /// What to ask for when a request needs more than is free.
    #[must_use]
    pub fn wanted_tokens(&self, needed_tokens: Tokens) -> Tokens {
        needed_tokens - self.free_tokens + self.ahead_tokens()
    }

    /// What a router that does not draw on the ledger keeps for its own requests.
    #[must_use]
    pub fn ahead_tokens(&self) -> Tokens {
        Tokens::new(self.all_demand_tokens_per_s()).scaled(AHEAD_MS, 1_000)
    }
}

/// What all routers hold of one budget together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetStock {
    /// The sum over the routers.
    pub sum: RouterStock,
}

impl FleetStock {
    /// Adds a router.
    pub fn add(&mut self, stock: &RouterStock) {
        self.sum.free_tokens += stock.free_tokens;
        self.sum.reserved_tokens += stock.reserved_tokens;
        let demands = self.sum.demand_tokens_per_s.iter_mut();
        for (sum, demand) in demands.zip(stock.demand_tokens_per_s) {
            *sum = sum.saturating_add(demand);
        }
    }

    /// What requests more urgent than a rank need for a time.
    #[must_use]
    pub fn more_urgent_tokens(&self, rank: u8, time_s: f64) -> Tokens {
        let urgent = &self.sum.demand_tokens_per_s[..usize::from(rank).min(RANKS - 1)];
        Tokens::from_estimate(Tokens::new(urgent.iter().sum()).as_estimate() * time_s)
    }

    /// True when a request may be served in a cut that lasts for a further time: what is left then
    /// still serves the more urgent ones.
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
    pub fn admits(&self, rank: u8, tokens: Tokens, rest_s: f64) -> bool {
        self.sum.free_tokens >= tokens + self.more_urgent_tokens(rank, rest_s)
    }
}
