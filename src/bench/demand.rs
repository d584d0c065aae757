//! Seeded demand on budgets: the cases, the paid amounts and the requests.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use strum::{Display, EnumIter, EnumString};

use super::sites::SiteSize;
use super::{scaled, scaled_f64};
use crate::core::share::ROUTERS_PER_TEAM;

/// Length of one run.
pub const RUN_MS: u64 = 600_000;
/// Longest time that a request waits for other requests' reservations to be released.
const MAX_WAIT_MS: u64 = 5_000;
/// Mean tokens that a request spends.
const MEAN_ACTUAL_TOKENS: f64 = 740.0;
/// Period of the network or platform outage.
const OUTAGE_MS: std::ops::Range<u64> = 150_000..390_000;
/// Time of the top-ups; with a platform outage they follow at its end instead.
const TOP_UP_MS: u64 = 270_000;
/// Times of the router crashes.
const ROUTER_CRASHES_MS: [u64; 3] = [120_000, 240_000, 400_000];

/// Scenario of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Case {
    /// The spring peak: budgets suffice.
    SpringPeak,
    /// The year-end rush: half of the budgets run out, and some are topped up.
    YearEndRush,
    /// Two of four failure domains are partitioned from the others and the platform; top-ups happen
    /// during the partition.
    HalvesPart,
    /// One failure domain is partitioned from the others and the platform; top-ups happen during
    /// the partition.
    DomainParts,
    /// Routers crash and are replaced while budgets run out.
    RouterDeaths,
    /// The platform is unreachable for minutes; top-ups follow when it is reachable again.
    PlatformOut,
}

impl Case {
    /// Returns true when half of the budgets run out.
    #[must_use]
    pub const fn exhausts_budgets(self) -> bool {
        matches!(self, Self::YearEndRush | Self::RouterDeaths)
    }

    /// Returns true when links or the platform are down for minutes.
    #[must_use]
    pub const fn has_outage(self) -> bool {
        matches!(
            self,
            Self::HalvesPart | Self::DomainParts | Self::PlatformOut
        )
    }

    /// Returns the partition that a failure domain is in during the outage. The platform is in
    /// partition 0.
    const fn partition_of(self, domain: usize) -> usize {
        match self {
            Self::HalvesPart => (domain >= 2) as usize,
            Self::DomainParts => (domain == 3) as usize,
            _ => 0,
        }
    }

    fn is_outage_at(self, now_ms: u64) -> bool {
        self.has_outage() && OUTAGE_MS.contains(&now_ms)
    }

    /// Returns true when routers of a failure domain reach the platform.
    #[must_use]
    pub fn reaches_platform(self, now_ms: u64, domain: usize) -> bool {
        let is_unreachable = self == Self::PlatformOut || self.partition_of(domain) != 0;
        !(self.is_outage_at(now_ms) && is_unreachable)
    }

    /// Returns true when routers of two failure domains reach one another.
    #[must_use]
    pub fn are_linked(self, now_ms: u64, one: usize, other: usize) -> bool {
        !self.is_outage_at(now_ms) || self.partition_of(one) == self.partition_of(other)
    }

    /// Returns true once operators have topped up budgets.
    #[must_use]
    pub fn is_top_up_due(self, now_ms: u64) -> bool {
        let at_ms = match self {
            Self::PlatformOut => OUTAGE_MS.end,
            _ => TOP_UP_MS,
        };
        (self.has_outage() || self == Self::YearEndRush) && now_ms >= at_ms
    }
}

/// A simulated request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Request {
    /// Index of the router that receives it.
    pub router: usize,
    /// Index of its budget.
    pub budget: usize,
    /// Tokens reserved for it, an upper bound of its spending.
    pub reserve_tokens: u64,
    /// Tokens that it spends.
    pub actual_tokens: u64,
    /// Duration of the request once started.
    pub duration_ms: u64,
    /// Time up to which it may wait; it is refused after that.
    pub deadline_ms: u64,
}

/// Generator of the demand of one run.
#[derive(Debug)]
pub struct Demand {
    size: SiteSize,
    case: Case,
    rng: StdRng,
    weights: Vec<f64>,
}

impl Demand {
    /// Creates the demand of a case for a deployment size; the same seed gives the same requests.
    #[must_use]
    pub fn new(size: SiteSize, case: Case, seed: u64) -> Self {
        let ranks = 1..=size.teams as u64;
        Self {
            size,
            case,
            rng: StdRng::seed_from_u64(seed),
            weights: ranks.map(|rank| 1.0 / scaled_f64(rank)).collect(),
        }
    }

    /// Returns the paid tokens of each budget.
    #[must_use]
    pub fn paid_tokens(&self) -> Vec<u64> {
        let paid = |(index, expected): (usize, u64)| {
            let factor = match index % 2 {
                0 if self.case.exhausts_budgets() => 0.6,
                0 if self.case.has_outage() => 0.8,
                _ => 1.6,
            };
            scaled(expected, factor)
        };
        self.expected_tokens()
            .into_iter()
            .enumerate()
            .map(paid)
            .collect()
    }

    /// Generates all requests with their arrival times in milliseconds.
    pub fn generate_requests(&mut self) -> Vec<(u64, Request)> {
        let mut requests = Vec::new();
        let mut at_ms = 0.0;
        loop {
            let uniform: f64 = self.rng.random();
            at_ms -= (1.0 - uniform).ln() * 1_000.0 / self.size.requests_per_s;
            if at_ms >= scaled_f64(RUN_MS) {
                return requests;
            }
            let request = self.generate_request(scaled(1, at_ms));
            requests.push((scaled(1, at_ms), request));
        }
    }

    /// Generates the router crashes, as times in milliseconds and router indices.
    pub fn generate_crashes(&mut self) -> Vec<(u64, usize)> {
        if self.case != Case::RouterDeaths {
            return Vec::new();
        }
        let router_count = self.size.routers;
        let crash = |at_ms| (at_ms, self.rng.random_range(0..router_count));
        ROUTER_CRASHES_MS.into_iter().map(crash).collect()
    }

    fn expected_tokens(&self) -> Vec<u64> {
        let total: f64 = self.weights.iter().sum();
        let seconds = f64::from(u32::try_from(RUN_MS / 1_000).unwrap_or(0));
        let tokens = self.size.requests_per_s * seconds * MEAN_ACTUAL_TOKENS;
        self.weights
            .iter()
            .map(|weight| scaled(1, tokens * weight / total))
            .collect()
    }

    fn generate_request(&mut self, at_ms: u64) -> Request {
        let total: f64 = self.weights.iter().sum();
        let mut sample = self.rng.random::<f64>() * total;
        let mut budget = 0;
        while budget + 1 < self.weights.len() && sample >= self.weights[budget] {
            sample -= self.weights[budget];
            budget += 1;
        }
        let router_offset = self.rng.random_range(0..ROUTERS_PER_TEAM);
        let prompt = self.rng.random_range(50..600);
        let output_limit = self.rng.random_range(200..1_200);
        let output = output_limit * self.rng.random_range(20..100) / 100;
        Request {
            router: (budget * 2 + router_offset) % self.size.routers,
            budget,
            reserve_tokens: prompt * 3 + output_limit,
            actual_tokens: prompt + output,
            duration_ms: 200 + output * 8,
            deadline_ms: at_ms + MAX_WAIT_MS,
        }
    }
}
