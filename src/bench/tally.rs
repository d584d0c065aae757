//! Counters of the budget benchmark and the results computed from them.

use serde::Serialize;

use super::demand::{Case, RUN_MS};
use super::scaled_f64;
use super::sites::Deployment;

/// Result of one case and policy.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BudgetResult {
    /// The deployment.
    pub deployment: String,
    /// The case.
    pub case: String,
    /// The policy, or `ideal` for the central counter.
    pub policy: String,
    /// Requests in all runs.
    pub requests: u64,
    /// Requests refused, correctly or falsely.
    pub refused: u64,
    /// Tokens served beyond what was paid.
    pub overspent_tokens: u64,
    /// Falsely refused requests per million.
    pub false_refusals_per_million: f64,
    /// False refusals per million, without those that only stranded tokens would have covered.
    pub avoidable_refusals_per_million: f64,
    /// Tokens stranded at the end of the run.
    pub stranded_tokens: u64,
    /// Writes to the platform per second.
    pub platform_writes_per_s: f64,
}

/// Counters summed over runs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Requests.
    pub requests: u64,
    /// Requests refused, correctly or falsely.
    pub refused: u64,
    /// Requests refused although the budget had enough uncommitted tokens.
    pub falsely_refused: u64,
    /// False refusals without those that only stranded tokens would have covered.
    pub avoidably_refused: u64,
    /// Tokens served beyond what was paid.
    pub overspent_tokens: u64,
    /// Tokens stranded at the end of the run.
    pub stranded_tokens: u64,
    /// Writes to the platform.
    pub writes: u64,
}

impl Counts {
    /// Adds the counters of another run.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.refused += other.refused;
        self.falsely_refused += other.falsely_refused;
        self.avoidably_refused += other.avoidably_refused;
        self.overspent_tokens += other.overspent_tokens;
        self.stranded_tokens += other.stranded_tokens;
        self.writes += other.writes;
    }

    #[allow(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
    /// Returns the result over `rounds` runs.
    #[must_use]
    pub fn result(
        self,
        deployment: Deployment,
        case: Case,
        policy: &str,
        rounds: u64,
    ) -> BudgetResult {
        let seconds = (rounds * RUN_MS) as f64 / 1_000.0;
        BudgetResult {
            deployment: deployment.to_string(),
            case: case.to_string(),
            policy: policy.to_owned(),
            requests: self.requests,
            refused: self.refused,
            overspent_tokens: self.overspent_tokens,
            false_refusals_per_million: per_million(self.falsely_refused, self.requests),
            avoidable_refusals_per_million: per_million(self.avoidably_refused, self.requests),
            stranded_tokens: self.stranded_tokens,
            platform_writes_per_s: self.writes as f64 / seconds,
        }
    }
}

fn per_million(count: u64, of: u64) -> f64 {
    scaled_f64(count) * 1e6 / scaled_f64(of.max(1))
}
