//! Keeping grants and horizons ahead of demand, off the path of requests.

use std::collections::BTreeMap;
use std::time::Duration;

use futures::future::join_all;
use slog::{info, warn};
use tokio::time::Instant;

use super::Spender;
use crate::core::holder::UpdateWish;
use crate::core::ids::{BudgetId, HolderId};
use crate::core::ledger::HolderUpdate;
use crate::core::policy::GrantDecision;
use crate::core::units::Tokens;
use crate::peer::Horizon;
use crate::router::ledger_client::LedgerChange;

/// Longest wait for one answer of the platform on the path of a request.
const LEDGER_WAIT: Duration = Duration::from_secs(2);
/// Longest wait for a witness.
const WITNESS_WAIT: Duration = Duration::from_millis(500);
/// Witnesses tried before a horizon counts as out of reach.
const MAX_WITNESS_CHANGES: usize = 3;
/// Intervals after which a budget's spending is reported although its grant needs nothing.
const REPORT_INTERVALS: u64 = 20;

impl Spender {
    /// Looks at all budgets once: gives back, draws, reports and extends horizons.
    pub async fn tend(&self, interval_ms: u64, round: u64) {
        let is_report_round = round.is_multiple_of(REPORT_INTERVALS);
        let mut wishes = Vec::new();
        for budget in self.held_budgets() {
            if let Some(decision) = self.decide(&budget, interval_ms, is_report_round) {
                wishes.push((budget, decision));
            }
        }
        join_all(wishes.iter().map(|(budget, wish)| self.sync(budget, *wish))).await;
        self.extend_all().await;
        self.forget_unused();
    }

    /// Gives back everything that is not reserved.
    ///
    /// Returns true when the ledger has taken all of it.
    pub async fn return_all(&self) -> bool {
        let mut is_all_done = true;
        for budget in self.held_budgets() {
            let free_tokens = self.with_account(&budget, |account| account.holder().free_tokens());
            let wish = GrantDecision {
                draw_tokens: Tokens::ZERO,
                return_tokens: free_tokens,
            };
            let is_synced = self.sync(&budget, wish).await;
            let rest = self.with_account(&budget, |account| {
                account.has_pending() || account.holder().free_tokens() > Tokens::ZERO
            });
            is_all_done &= is_synced && !rest;
        }
        is_all_done
    }

    /// Asks the ledger for what one request needs. Returns true when the ledger answered.
    pub(super) async fn refill_for(
        &self,
        budget: &BudgetId,
        tokens: Tokens,
        deadline: Instant,
    ) -> bool {
        let view = self.with_account(budget, |account| account.view(Tokens::ZERO));
        let decision = self.parts.policy.decide_for_request(&view, tokens);
        let deadline = deadline.min(Instant::now() + LEDGER_WAIT);
        let is_heard =
            tokio::time::timeout_at(deadline, self.sync(budget, decision)).await == Ok(true);
        let view = self.with_account(budget, |account| account.view(Tokens::ZERO));
        let is_short = view.free_tokens < tokens && view.available_tokens > Tokens::ZERO;
        if is_heard && is_short {
            let draw_tokens = tokens - view.free_tokens;
            let decision = GrantDecision {
                draw_tokens,
                return_tokens: Tokens::ZERO,
            };
            return tokio::time::timeout_at(deadline, self.sync(budget, decision)).await
                == Ok(true);
        }
        is_heard
    }

    /// Raises one budget's horizon now, with another witness where the present one is silent.
    pub(super) async fn extend_for(&self, budget: &BudgetId, tokens: Tokens, deadline: Instant) {
        for _ in 0..MAX_WITNESS_CHANGES {
            let wanted = self.with_account(budget, |account| {
                let witness = account.holder().witness()?;
                let horizon_tokens = account.wanted_horizon(tokens)?;
                let holder = account.holder().id();
                Some((
                    witness,
                    Horizon {
                        holder,
                        budget: budget.clone(),
                        horizon_tokens,
                    },
                ))
            });
            if let Some((witness, horizon)) = wanted {
                if self.extend_at(witness, vec![horizon]).await {
                    return;
                }
            }
            if Instant::now() >= deadline || !self.sync(budget, GrantDecision::default()).await {
                return;
            }
        }
    }

    fn decide(
        &self,
        budget: &BudgetId,
        interval_ms: u64,
        is_report_round: bool,
    ) -> Option<GrantDecision> {
        let paid_tokens = self
            .parts
            .catalog
            .load()
            .paid_tokens(budget)
            .unwrap_or_default();
        self.with_account(budget, |account| {
            account.end_interval(interval_ms);
            let decision = self.parts.policy.decide(&account.view(paid_tokens));
            let decision = if account.available_tokens() == Tokens::ZERO && !is_report_round {
                GrantDecision {
                    draw_tokens: Tokens::ZERO,
                    ..decision
                }
            } else {
                decision
            };
            let is_due = decision != GrantDecision::default()
                || account.has_pending()
                || account.holder().is_witness_sealed()
                || (is_report_round && account.is_spent_unreported());
            is_due.then_some(decision)
        })
    }

    /// Brings one budget's row in the ledger up to date. Returns true when the ledger answered.
    pub(super) async fn sync(&self, budget: &BudgetId, decision: GrantDecision) -> bool {
        let catalog = self.parts.catalog.load();
        let generation = catalog.generation();
        let paid_tokens = catalog.paid_tokens(budget).unwrap_or_default();
        drop(catalog);
        let witness = self.choose_witness(budget);
        let wish = UpdateWish {
            generation,
            paid_tokens,
            draw_tokens: decision.draw_tokens,
            return_tokens: decision.return_tokens,
            witness,
        };
        let updates = self.with_account(budget, |account| {
            let mut updates = account.prepare_former(generation, paid_tokens);
            updates.push(account.prepare(&wish));
            updates
        });
        let mut is_heard = true;
        for update in updates {
            is_heard &= self.apply(budget, update).await;
        }
        is_heard
    }

    async fn apply(&self, budget: &BudgetId, update: HolderUpdate) -> bool {
        let change = LedgerChange::Update {
            budget: budget.clone(),
            update: update.clone(),
        };
        match self.parts.ledger.apply(change).await {
            Ok(answer) => {
                if let Some(refusal) = &answer.refusal {
                    info!(self.parts.log, "ledger refused an update";
                        "budget" => budget.as_str(), "reason" => refusal.to_string());
                }
                self.with_account(budget, |account| account.take_in(&update, &answer));
                true
            }
            Err(error) => {
                warn!(self.parts.log, "ledger cannot be updated";
                    "budget" => budget.as_str(), "reason" => error.to_string());
                false
            }
        }
    }

    /// The present witness while it is in reach, else the best other one.
    ///
    /// With nobody else in reach the present one stays: having none would make the whole grant
    /// unreclaimable.
    fn choose_witness(&self, budget: &BudgetId) -> Option<HolderId> {
        let (present, is_sealed) = self.with_account(budget, |account| {
            (
                account.holder().witness(),
                account.holder().is_witness_sealed(),
            )
        });
        let candidates = self.parts.fleet.witness_candidates();
        let is_candidate = |holder: HolderId| {
            candidates
                .iter()
                .any(|member| member.holder == Some(holder))
        };
        if let Some(present) = present.filter(|_| !is_sealed) {
            if is_candidate(present) {
                return Some(present);
            }
        }
        let others = candidates.iter().filter_map(|member| member.holder);
        let other = others
            .into_iter()
            .find(|holder| Some(*holder) != present || !is_sealed);
        other.or(present)
    }

    async fn extend_all(&self) {
        let mut by_witness: BTreeMap<HolderId, Vec<Horizon>> = BTreeMap::new();
        for budget in self.held_budgets() {
            self.with_account(&budget, |account| {
                let witness = account.holder().witness()?;
                let horizon_tokens = account.wanted_horizon(Tokens::ZERO)?;
                let holder = account.holder().id();
                let horizon = Horizon {
                    holder,
                    budget: budget.clone(),
                    horizon_tokens,
                };
                by_witness.entry(witness).or_default().push(horizon);
                Some(())
            });
        }
        let calls = by_witness
            .into_iter()
            .map(|(witness, horizons)| self.extend_at(witness, horizons));
        join_all(calls).await;
    }

    async fn extend_at(&self, witness: HolderId, horizons: Vec<Horizon>) -> bool {
        let Some(member) = self.parts.fleet.member_of(witness) else {
            return false;
        };
        let peer = self.parts.network.peer(member.peer_address);
        let call = peer.extend(witness, horizons.clone());
        let Ok(Ok(records)) = tokio::time::timeout(WITNESS_WAIT, call).await else {
            self.parts.fleet.learn_failure(&member.vm);
            return false;
        };
        for (horizon, record) in horizons.iter().zip(records) {
            self.with_account(&horizon.budget, |account| {
                if account.holder().id() == horizon.holder {
                    account.holder_mut().acknowledge(witness, record);
                    account.freed.notify_waiters();
                }
            });
        }
        true
    }

    fn forget_unused(&self) {
        for shard in &self.shards {
            crate::util::lock(shard).retain(|_, account| !account.is_forgettable());
        }
    }
}
