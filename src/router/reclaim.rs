//! Reclaiming the grants of failed routers.
//!
//! Failure detection may be wrong. That is safe, because sealing the record at the witnesses stops
//! the holder from spending more.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use slog::{info, warn};

use super::ledger_client::LedgerChange;
use super::Router;
use crate::core::ids::{BudgetId, HolderId};
use crate::core::ledger::{GrantRow, SealedHorizons};
use crate::core::units::Tokens;

/// Interval between two scans of the ledger.
const RECLAIM_INTERVAL: Duration = Duration::from_secs(5);
/// Timeout for sealing a record at a witness.
const SEAL_TIMEOUT: Duration = Duration::from_secs(1);

impl Router {
    /// Periodically reclaims the grants of failed routers, while this router is the watcher.
    pub(super) async fn run_reclaiming(self: Arc<Self>) {
        let mut presumed_failed = BTreeSet::new();
        loop {
            tokio::time::sleep(RECLAIM_INTERVAL).await;
            if self.fleet.is_watcher(1) && !self.fleet.is_draining() {
                presumed_failed = self.reclaim_all(&presumed_failed).await;
            }
        }
    }

    /// Reclaims the grants of routers presumed failed both now and in the previous scan.
    ///
    /// Returns all holders presumed failed now.
    pub async fn reclaim_all(&self, previously_failed: &BTreeSet<HolderId>) -> BTreeSet<HolderId> {
        let mut presumed_failed = BTreeSet::new();
        let entries = match self.ledger.read_all().await {
            Ok(shard) => shard.entries,
            Err(error) => {
                warn!(self.log, "ledger cannot be read"; "reason" => error.to_string());
                return presumed_failed;
            }
        };
        for (budget, entry) in entries {
            for (holder, row) in entry.rows {
                let is_open = !row.sealed && row.unspent_tokens() > Tokens::ZERO;
                if !is_open || !self.fleet.is_presumed_failed(holder) {
                    continue;
                }
                presumed_failed.insert(holder);
                if previously_failed.contains(&holder) {
                    self.reclaim(&budget, holder, &row).await;
                }
            }
        }
        presumed_failed
    }

    async fn reclaim(&self, budget: &BudgetId, holder: HolderId, row: &GrantRow) {
        let witnesses = row.witnesses.all();
        let seals = witnesses.map(|witness| self.seal(witness, holder, budget));
        let sealed: SealedHorizons = join_all(seals).await.into_iter().flatten().collect();
        let near = row.witnesses.near;
        let is_near_missing = near.is_some_and(|near| !sealed.contains_key(&near));
        if is_near_missing && self.fleet.is_listed(holder) {
            return;
        }
        let change = LedgerChange::Reclaim {
            budget: budget.clone(),
            holder,
            sealed,
        };
        match self.ledger.apply(change).await {
            Ok(answer) if answer.refusal.is_none() => {
                info!(self.log, "grant reclaimed"; "budget" => budget.as_str(),
                    "of" => holder.to_string(),
                    "stranded_tokens" => answer.view.row.unspent_tokens().get());
            }
            Ok(_) => {}
            Err(error) => {
                warn!(self.log, "grant cannot be reclaimed"; "reason" => error.to_string());
            }
        }
    }

    async fn seal(
        &self,
        witness: HolderId,
        holder: HolderId,
        budget: &BudgetId,
    ) -> Option<(HolderId, Tokens)> {
        if witness == self.holder() {
            let record = crate::util::lock(&self.witness).seal(holder, budget);
            return Some((witness, record.horizon_tokens));
        }
        let member = self.fleet.member_by_holder(witness)?;
        let peer = self.external_systems.network.peer(member.peer_address);
        let call = peer.seal(witness, holder, budget.clone());
        let answer = tokio::time::timeout(SEAL_TIMEOUT, call).await;
        answer
            .ok()?
            .ok()
            .map(|record| (witness, record.horizon_tokens))
    }
}
