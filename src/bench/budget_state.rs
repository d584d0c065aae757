//! State of one budget in the benchmark: paid tokens, ledger entry and tokens actually served.

use std::collections::BTreeMap;

use super::demand::Request;
use crate::core::ids::HolderId;
use crate::core::ledger::BudgetEntry;

/// State of one budget. Amounts are in tokens.
#[derive(Clone, Debug, Default)]
pub struct BudgetState {
    /// Tokens paid for.
    pub paid: u64,
    /// Generation of the lists that set the paid amount.
    pub generation: u64,
    /// Ledger entry of the budget.
    pub entry: BudgetEntry,
    /// Tokens served.
    pub served: u64,
    /// Tokens reserved by requests in progress.
    pub reserved: u64,
    /// Tokens served by the ideal central counter.
    pub ideal_served: u64,
    /// Tokens served, by holder.
    pub served_by_holder: BTreeMap<HolderId, u64>,
    /// Tokens reserved by the ideal central counter.
    pub ideal_reserved: u64,
}

impl BudgetState {
    /// Records tokens that a holder served.
    pub fn record_served(&mut self, holder: HolderId, tokens: u64) {
        self.served += tokens;
        *self.served_by_holder.entry(holder).or_default() += tokens;
    }

    /// Returns the part of sealed holders' limits that they are not known to have served.
    #[must_use]
    pub fn stranded(&self) -> u64 {
        let sealed = self.entry.rows.iter().filter(|(_, row)| row.sealed);
        let unaccounted = sealed.map(|(id, row)| {
            let served = self.served_by_holder.get(id).copied().unwrap_or(0);
            (row.limit_tokens() - row.sent_tokens())
                .get()
                .saturating_sub(served)
        });
        unaccounted.sum()
    }

    /// Returns the paid tokens that are neither served nor reserved.
    #[must_use]
    pub fn uncommitted(&self) -> u64 {
        self.paid.saturating_sub(self.served + self.reserved)
    }

    /// Reserves a request's tokens on the central counter and returns whether they sufficed.
    pub fn ideal_reserve(&mut self, request: &Request) -> bool {
        let used = self.ideal_served + self.ideal_reserved;
        let is_covered = self.paid.saturating_sub(used) >= request.reserve_tokens;
        if is_covered {
            self.ideal_reserved += request.reserve_tokens;
        }
        is_covered
    }

    /// Settles a finished request on the central counter.
    pub fn ideal_settle(&mut self, request: &Request) {
        self.ideal_reserved -= request.reserve_tokens;
        self.ideal_served += request.actual_tokens;
    }
}
