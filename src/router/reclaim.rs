//! Reclaiming the grants of routers that are gone.
//!
//! The guess that a router is gone may be wrong: sealing at the witness makes it harmless.

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

/// Time between two looks at the ledger.
const RECLAIM_INTERVAL: Duration = Duration::from_secs(5);
/// Longest wait for a witness.
const SEAL_WAIT: Duration = Duration::from_secs(1);

impl Router {
    /// Looks for grants of routers that are gone, while this router is one that does.
    pub(super) async fn run_reclaiming(self: Arc<Self>) {
        let mut suspects = BTreeSet::new();
        loop {
            tokio::time::sleep(RECLAIM_INTERVAL).await;
            if self.fleet.is_watcher(1) && !self.fleet.is_draining() {
                suspects = self.reclaim_all(&suspects).await;
            }
        }
    }

    /// Reclaims the grants of routers that seem gone and seemed so at the last look already.
    ///
    /// Returns all that seem gone now.
    pub async fn reclaim_all(&self, suspects: &BTreeSet<HolderId>) -> BTreeSet<HolderId> {
        let mut gone = BTreeSet::new();
        let entries = match self.ledger.read_all().await {
            Ok(shard) => shard.entries,
            Err(error) => {
                warn!(self.log, "ledger cannot be read"; "reason" => error.to_string());
                return gone;
            }
        };
        for (budget, entry) in entries {
            for (holder, row) in entry.rows {
                let is_open = !row.sealed && row.unspent_tokens() > Tokens::ZERO;
                if !is_open || !self.fleet.seems_gone(holder) {
                    continue;
                }
                gone.insert(holder);
                if suspects.contains(&holder) {
                    self.reclaim(&budget, holder, &row).await;
                }
            }
        }
        gone
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
        let member = self.fleet.member_of(witness)?;
        let peer = self.borders.network.peer(member.peer_address);
        let call = peer.seal(witness, holder, budget.clone());
        let answer = tokio::time::timeout(SEAL_WAIT, call).await;
        answer
            .ok()?
            .ok()
            .map(|record| (witness, record.horizon_tokens))
    }
}
