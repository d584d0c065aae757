//! What other routers last reported of their grants, to put back what the ledger may lose.

use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

use super::grants::GrantState;
use super::pooling::GrantReport;
use crate::core::units::Tokens;

/// Time for which the last report of a silent router is kept: longer than what a copy of the store
/// may lack.
const REPORT_RETENTION: Duration = Duration::from_secs(60);
/// Time of its demand that a router may have drawn and spent after its last report.
const UNREPORTED_TIME_S: u64 = 1;

/// What a router last reported of its grants; kept when the report expires.
#[derive(Debug)]
pub(super) struct ReportedGrants {
    granted: HashMap<u32, GrantedAmount>,
    valid_until: Instant,
}

#[derive(Clone, Copy, Debug)]
struct GrantedAmount {
    granted_tokens: Tokens,
    demand_tokens_per_s: u64,
}

impl ReportedGrants {
    fn new(report: &GrantReport, valid_until: Instant) -> Self {
        let granted = report.holdings.iter();
        let granted = granted.filter(|report| !report.granted_tokens.is_zero());
        Self {
            granted: granted
                .map(|report| {
                    let amount = GrantedAmount {
                        granted_tokens: report.granted_tokens,
                        demand_tokens_per_s: report.holdings().demand_tokens_per_s.iter().sum(),
                    };
                    (report.budget, amount)
                })
                .collect(),
            valid_until,
        }
    }

    /// Returns the reported grant of a budget, and what a router that has fallen silent may have
    /// been granted and spent after its last report.
    pub(super) fn granted_tokens(&self, budget: u32) -> Option<(Tokens, Tokens)> {
        let amount = self.granted.get(&budget)?;
        let is_silent = self.valid_until <= Instant::now();
        let unreported_s = if is_silent { UNREPORTED_TIME_S } else { 0 };
        let unreported_tokens = amount.demand_tokens_per_s.saturating_mul(unreported_s);
        Some((amount.granted_tokens, Tokens::new(unreported_tokens)))
    }
}

impl GrantState {
    /// Keeps a report beyond the life of its router.
    pub(super) fn record_reported_grants(&mut self, report: &GrantReport, valid_until: Instant) {
        let reported = ReportedGrants::new(report, valid_until);
        if reported.granted.is_empty() {
            return;
        }
        let oldest = Instant::now().checked_sub(REPORT_RETENTION);
        self.reported_grants
            .retain(|_, reported| Some(reported.valid_until) > oldest);
        self.reported_grants.insert(report.holder, reported);
    }
}
