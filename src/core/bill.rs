//! Bills and their settlement. Each request is billed once, whichever router served it.

use std::collections::btree_map::Entry;
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use super::ids::{BudgetId, HolderId, RequestId, TeamId};
use super::units::Tokens;

/// How a run of a request ended. Of several runs, the one whose end comes first in this order is
/// billed.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum RunEnd {
    /// The answer was complete.
    Whole,
    /// The caller disconnected; the tokens generated until then are billed.
    Cancelled,
    /// The backend server failed. The tokens are spent but waived.
    Broken,
}

/// Identifies one run of one request: the router process and a number that it uses once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunId {
    /// The router process that dispatched the run.
    pub holder: HolderId,
    /// Sequence number of the run at that process.
    pub number: u64,
}

/// The tokens that one run of a request used.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bill {
    /// The run.
    pub run: RunId,
    /// The team that is billed.
    pub team: TeamId,
    /// The budget that the tokens are charged to.
    pub budget: BudgetId,
    /// The request, unique within the team.
    pub request: RequestId,
    /// How the run ended.
    pub end: RunEnd,
    /// Tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// Tokens of the answer.
    pub completion_tokens: Tokens,
}

impl Bill {
    /// Returns the tokens of prompt and answer together.
    #[must_use]
    pub fn total_tokens(&self) -> Tokens {
        self.prompt_tokens + self.completion_tokens
    }

    fn billing_order(&self) -> (RunEnd, RunId) {
        (self.end, self.run)
    }
}

/// A batch of bills: one platform object, written once.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BillBatch {
    /// The bills, in the order in which the requests ended.
    pub bills: Vec<Bill>,
}

/// Totals of one budget after settlement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BudgetTotals {
    /// Number of requests billed.
    pub request_count: u64,
    /// Tokens billed.
    pub billed_tokens: Tokens,
    /// Tokens spent on runs that are not billed: broken ones, and further runs of a billed request.
    pub waived_tokens: Tokens,
}

/// Settles bills. The result does not depend on the order of the bills or on duplicates.
#[derive(Clone, Debug, Default)]
pub struct Settlement {
    runs: BTreeMap<(TeamId, RequestId), BTreeMap<RunId, Bill>>,
}

impl Settlement {
    /// Creates a settlement without bills.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a bill. Returns false when the run was already added.
    pub fn add(&mut self, bill: Bill) -> bool {
        let key = (bill.team.clone(), bill.request.clone());
        let runs = self.runs.entry(key).or_default();
        match runs.entry(bill.run) {
            Entry::Occupied(_) => false,
            Entry::Vacant(slot) => {
                slot.insert(bill);
                true
            }
        }
    }

    /// Returns the totals by budget.
    #[must_use]
    pub fn totals(&self) -> BTreeMap<BudgetId, BudgetTotals> {
        let mut totals: BTreeMap<BudgetId, BudgetTotals> = BTreeMap::new();
        for runs in self.runs.values() {
            let billed = runs
                .values()
                .filter(|bill| bill.end != RunEnd::Broken)
                .min_by_key(|b| b.billing_order());
            for bill in runs.values() {
                let sums = totals.entry(bill.budget.clone()).or_default();
                if billed.is_some_and(|billed| billed.run == bill.run) {
                    sums.request_count += 1;
                    sums.billed_tokens += bill.total_tokens();
                } else {
                    sums.waived_tokens += bill.total_tokens();
                }
            }
        }
        totals
    }
}
