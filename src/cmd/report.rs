//! Budget reports of a site, combined from the lists, the ledger and the bills.

use std::collections::BTreeMap;

use serde::Serialize;

use super::CommandError;
use crate::accepted::AcceptedLists;
use crate::core::ids::BudgetId;
use crate::core::ledger::{BudgetEntry, GrantRow};
use crate::core::units::Tokens;
use crate::router::billing::settle_all;
use crate::router::ledger_client::LedgerClient;
use crate::store::ObjectStore;

/// The token totals of a budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(super) struct BudgetReport {
    pub(super) team: String,
    pub(super) budget: BudgetId,
    pub(super) paid_tokens: Tokens,
    pub(super) billed_tokens: Tokens,
    pub(super) waived_tokens: Tokens,
    pub(super) stranded_tokens: Tokens,
    pub(super) granted_tokens: Tokens,
    pub(super) available_tokens: Tokens,
    pub(super) requests: u64,
}

impl BudgetReport {
    /// Returns the paid tokens minus the sum of all other token fields; 0 if the budget reconciles.
    ///
    /// Granted tokens are those that live routers hold and have not spent.
    pub(super) fn difference_tokens(&self) -> i128 {
        let spent = self.billed_tokens + self.waived_tokens;
        let parts = spent + self.stranded_tokens + self.granted_tokens + self.available_tokens;
        i128::from(self.paid_tokens.get()) - i128::from(parts.get())
    }
}

/// Reads the reports of all budgets.
pub(super) async fn read_budgets(
    store: std::sync::Arc<dyn ObjectStore>,
) -> Result<Vec<BudgetReport>, CommandError> {
    let unavailable = |error: &dyn ToString| CommandError::Unavailable(error.to_string());
    let lists = AcceptedLists::load(store.as_ref(), &AcceptedLists::default())
        .await
        .map_err(|error| unavailable(&error))?;
    let totals = settle_all(store.as_ref())
        .await
        .map_err(|error| unavailable(&error))?
        .totals();
    let ledger = LedgerClient::new(store);
    let entries = ledger
        .read_all()
        .await
        .map_err(|error| unavailable(&error))?
        .entries;
    let mut reports = Vec::new();
    for team in lists.plans().teams {
        for budget in team.budgets {
            let totals = totals.get(&budget.budget).copied().unwrap_or_default();
            let entry = entry_or_empty(&entries, &budget.budget, budget.paid_tokens);
            let unspent: Tokens = entry.rows.values().map(GrantRow::unspent_tokens).sum();
            reports.push(BudgetReport {
                team: team.team.to_string(),
                paid_tokens: budget.paid_tokens,
                billed_tokens: totals.billed_tokens,
                waived_tokens: totals.waived_tokens,
                stranded_tokens: entry.stranded_tokens(),
                granted_tokens: unspent - entry.stranded_tokens(),
                available_tokens: budget.paid_tokens - entry.charged_tokens(),
                requests: totals.request_count,
                budget: budget.budget,
            });
        }
    }
    Ok(reports)
}

fn entry_or_empty(
    entries: &BTreeMap<BudgetId, BudgetEntry>,
    budget: &BudgetId,
    paid_tokens: Tokens,
) -> BudgetEntry {
    let empty_entry = BudgetEntry {
        paid_tokens,
        ..BudgetEntry::default()
    };
    entries.get(budget).cloned().unwrap_or(empty_entry)
}

/// Prints budgets as a table.
pub(super) fn print_budgets(reports: &[BudgetReport]) {
    println!(
        "{:<16} {:>10} {:>10} {:>8} {:>9} {:>9} {:>10} {:>8}",
        "budget", "paid", "billed", "waived", "stranded", "granted", "available", "requests"
    );
    for report in reports {
        println!(
            "{:<16} {:>10} {:>10} {:>8} {:>9} {:>9} {:>10} {:>8}",
            report.budget,
            report.paid_tokens,
            report.billed_tokens,
            report.waived_tokens,
            report.stranded_tokens,
            report.granted_tokens,
            report.available_tokens,
            report.requests,
        );
    }
}
