//! Seeded demand on budgets: the cases, what is paid, and the requests.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use strum::{Display, EnumIter, EnumString};

use super::sites::SiteSize;
use super::{scaled, scaled_f64};
use crate::core::share::ROUTERS_PER_TEAM;

/// Length of one run.
pub const RUN_MS: u64 = 600_000;
/// Longest time that a request waits for reservations that may come back.
const WAIT_MS: u64 = 5_000;
/// Mean tokens that a request spends.
const MEAN_ACTUAL_TOKENS: f64 = 740.0;
/// When links part, and when they heal.
const PARTED_MS: std::ops::Range<u64> = 150_000..390_000;
/// When budgets are topped up in the cases that do so.
const TOP_UP_MS: u64 = 270_000;
/// When routers die.
const DEATHS_MS: [u64; 3] = [120_000, 240_000, 400_000];

/// What happens in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Case {
    /// The spring peak: budgets suffice.
    SpringPeak,
    /// The year-end rush: half of the budgets run out, and some are topped up.
    YearEndRush,
    /// Two of four failure domains lose the others and the platform; top-ups come meanwhile.
    HalvesPart,
    /// One failure domain loses the others and the platform; top-ups come meanwhile.
    DomainParts,
    /// Routers die and are replaced while budgets run out.
    RouterDeaths,
    /// The platform is out for minutes; top-ups come meanwhile.
    PlatformOut,
}

impl Case {
    /// True when half of the budgets run out.
    #[must_use]
    pub const fn runs_out(self) -> bool {
        matches!(self, Self::YearEndRush | Self::RouterDeaths)
    }

    /// True when links or the platform are down for minutes.
    #[must_use]
    pub const fn is_parted(self) -> bool {
        matches!(
            self,
            Self::HalvesPart | Self::DomainParts | Self::PlatformOut
        )
    }

    /// The side of a failure domain while links are parted. The platform is on side 0.
    const fn side(self, domain: usize) -> usize {
        match self {
            Self::HalvesPart => (domain >= 2) as usize,
            Self::DomainParts => (domain == 3) as usize,
            _ => 0,
        }
    }

    fn is_parted_at(self, now_ms: u64) -> bool {
        self.is_parted() && PARTED_MS.contains(&now_ms)
    }

    /// True when routers of a failure domain reach the platform.
    #[must_use]
    pub fn reaches_platform(self, now_ms: u64, domain: usize) -> bool {
        let is_cut = self == Self::PlatformOut || self.side(domain) != 0;
        !(self.is_parted_at(now_ms) && is_cut)
    }

    /// True when routers of two failure domains reach one another.
    #[must_use]
    pub fn are_linked(self, now_ms: u64, one: usize, other: usize) -> bool {
        !self.is_parted_at(now_ms) || self.side(one) == self.side(other)
    }

    /// True when operators have topped up budgets.
    #[must_use]
    pub fn is_top_up_due(self, now_ms: u64) -> bool {
        let at_ms = match self {
            Self::PlatformOut => PARTED_MS.end,
            _ => TOP_UP_MS,
        };
        (self.is_parted() || self == Self::YearEndRush) && now_ms >= at_ms
    }
}

/// One request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Request {
    /// Place of the router that it goes to.
    pub router: usize,
    /// Place of its budget.
    pub budget: usize,
    /// Tokens that it may spend.
    pub reserve_tokens: u64,
    /// Tokens that it spends.
    pub actual_tokens: u64,
    /// How long it runs.
    pub duration_ms: u64,
    /// When it is refused at the latest.
    pub deadline_ms: u64,
}

/// The demand of one run.
#[derive(Debug)]
pub struct Demand {
    size: SiteSize,
    case: Case,
    rng: StdRng,
    weights: Vec<f64>,
}

impl Demand {
    /// The demand of a case at a size; the same seed gives the same requests.
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

    /// What is paid for each budget.
    #[must_use]
    pub fn paid_tokens(&self) -> Vec<u64> {
        let paid = |(place, expected): (usize, u64)| {
            let factor = match place % 2 {
                0 if self.case.runs_out() => 0.6,
                0 if self.case.is_parted() => 0.8,
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

    /// All requests with the times at which they arrive, in milliseconds.
    pub fn draw_requests(&mut self) -> Vec<(u64, Request)> {
        let mut requests = Vec::new();
        let mut at_ms = 0.0;
        loop {
            let uniform: f64 = self.rng.random();
            at_ms -= (1.0 - uniform).ln() * 1_000.0 / self.size.requests_per_s;
            if at_ms >= scaled_f64(RUN_MS) {
                return requests;
            }
            let request = self.draw_request(scaled(1, at_ms));
            requests.push((scaled(1, at_ms), request));
        }
    }

    /// Routers that die, with the times in milliseconds.
    pub fn draw_deaths(&mut self) -> Vec<(u64, usize)> {
        if self.case != Case::RouterDeaths {
            return Vec::new();
        }
        let router_count = self.size.routers;
        let death = |at_ms| (at_ms, self.rng.random_range(0..router_count));
        DEATHS_MS.into_iter().map(death).collect()
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

    fn draw_request(&mut self, at_ms: u64) -> Request {
        let total: f64 = self.weights.iter().sum();
        let mut point = self.rng.random::<f64>() * total;
        let mut budget = 0;
        while budget + 1 < self.weights.len() && point >= self.weights[budget] {
            point -= self.weights[budget];
            budget += 1;
        }
        let choice = self.rng.random_range(0..ROUTERS_PER_TEAM);
        let prompt = self.rng.random_range(50..600);
        let output_limit = self.rng.random_range(200..1_200);
        let output = output_limit * self.rng.random_range(20..100) / 100;
        Request {
            router: (budget * 2 + choice) % self.size.routers,
            budget,
            reserve_tokens: prompt * 3 + output_limit,
            actual_tokens: prompt + output,
            duration_ms: 200 + output * 8,
            deadline_ms: at_ms + WAIT_MS,
        }
    }
}
