//! One budget in the bench: what was paid, what the ledger has, and what was truly served.

use std::collections::BTreeMap;

use super::demand::Request;
use crate::core::ids::HolderId;
use crate::core::ledger::BudgetEntry;

/// One budget. Amounts are in tokens.
#[derive(Clone, Debug, Default)]
pub struct BudgetState {
    /// Tokens paid for.
    pub paid: u64,
    /// Generation of the lists that it was paid in.
    pub generation: u64,
    /// The entry in the ledger.
    pub entry: BudgetEntry,
    /// Tokens served.
    pub served: u64,
    /// Tokens reserved by requests in progress.
    pub reserved: u64,
    /// Tokens served under the central counter.
    pub ideal_served: u64,
    /// Tokens served, by holder.
    pub served_by: BTreeMap<HolderId, u64>,
    /// Tokens reserved under the central counter.
    pub ideal_reserved: u64,
}

impl BudgetState {
    /// Books what a holder served.
    pub fn serve(&mut self, holder: HolderId, tokens: u64) {
        self.served += tokens;
        *self.served_by.entry(holder).or_default() += tokens;
    }

    /// What sealed holders may have used beyond what they are known to have served.
    #[must_use]
    pub fn stranded(&self) -> u64 {
        let sealed = self.entry.rows.iter().filter(|(_, row)| row.sealed);
        let left = sealed.map(|(id, row)| {
            let served = self.served_by.get(id).copied().unwrap_or(0);
            (row.limit_tokens() - row.sent_tokens())
                .get()
                .saturating_sub(served)
        });
        left.sum()
    }

    /// Tokens that are neither served nor reserved.
    #[must_use]
    pub fn rest(&self) -> u64 {
        self.paid.saturating_sub(self.served + self.reserved)
    }

    /// Has the central counter set tokens aside for a request, if it has enough.
    pub fn ideal_reserve(&mut self, request: &Request) -> bool {
        let used = self.ideal_served + self.ideal_reserved;
        let is_enough = self.paid.saturating_sub(used) >= request.reserve_tokens;
        if is_enough {
            self.ideal_reserved += request.reserve_tokens;
        }
        is_enough
    }

    /// Has the central counter book a request that has ended.
    pub fn ideal_settle(&mut self, request: &Request) {
        self.ideal_reserved -= request.reserve_tokens;
        self.ideal_served += request.actual_tokens;
    }
}
