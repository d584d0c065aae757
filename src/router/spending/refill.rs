//! Refilling of grants and horizons, in the background and for single requests.

use std::collections::BTreeMap;
use std::time::Duration;

use futures::future::join_all;
use slog::{info, warn};
use tokio::time::Instant;

use super::Spender;
use crate::core::holder::UpdateParams;
use crate::core::ids::{BudgetId, HolderId};
use crate::core::ledger::{HolderUpdate, WitnessSet};
use crate::core::policy::GrantDecision;
use crate::core::units::Tokens;
use crate::peer::HorizonExtension;
use crate::router::ledger_client::LedgerChange;

/// Timeout for a ledger update in the request path.
const LEDGER_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for a call to a witness.
const WITNESS_TIMEOUT: Duration = Duration::from_millis(500);
/// Rounds between spending reports of a budget whose grant needs no other update.
const REPORT_EVERY_ROUNDS: u64 = 20;

impl Spender {
    /// Runs one maintenance round over all budgets: returns surplus tokens, draws tokens, reports
    /// spending and extends horizons.
    pub async fn maintain(&self, interval_ms: u64, round: u64) {
        let is_report_round = round.is_multiple_of(REPORT_EVERY_ROUNDS);
        let mut decisions = Vec::new();
        for budget in self.held_budgets() {
            if let Some(decision) = self.decide(&budget, interval_ms, is_report_round) {
                decisions.push((budget, decision));
            }
        }
        join_all(
            decisions
                .iter()
                .map(|(budget, decision)| self.sync(budget, *decision)),
        )
        .await;
        self.extend_all_horizons().await;
        self.remove_unused();
    }

    /// Returns all unreserved tokens to the ledger.
    ///
    /// Returns true if the ledger has confirmed all of them.
    pub async fn return_all(&self) -> bool {
        let mut is_all_returned = true;
        for budget in self.held_budgets() {
            let free_tokens = self.with_account(&budget, |account| account.holder().free_tokens());
            let decision = GrantDecision {
                draw_tokens: Tokens::ZERO,
                return_tokens: free_tokens,
            };
            let is_synced = self.sync(&budget, decision).await;
            let has_rest = self.with_account(&budget, |account| {
                account.has_pending() || account.holder().free_tokens() > Tokens::ZERO
            });
            is_all_returned &= is_synced && !has_rest;
        }
        is_all_returned
    }

    /// Draws the tokens that one request needs from the ledger.
    ///
    /// Returns true if the ledger answered.
    pub(super) async fn refill_for(
        &self,
        budget: &BudgetId,
        tokens: Tokens,
        deadline: Instant,
    ) -> bool {
        let paid_tokens = self.paid_tokens(budget);
        let view = self.with_account(budget, |account| account.view(paid_tokens));
        let decision = self.deps.policy.decide_for_request(&view, tokens);
        let deadline = deadline.min(Instant::now() + LEDGER_TIMEOUT);
        let has_ledger_answered =
            tokio::time::timeout_at(deadline, self.sync(budget, decision)).await == Ok(true);
        let view = self.with_account(budget, |account| account.view(paid_tokens));
        let is_insufficient = view.free_tokens < tokens && view.available_tokens > Tokens::ZERO;
        if has_ledger_answered && is_insufficient {
            let draw_tokens = tokens - view.free_tokens;
            let decision = GrantDecision {
                draw_tokens,
                return_tokens: Tokens::ZERO,
            };
            return tokio::time::timeout_at(deadline, self.sync(budget, decision)).await
                == Ok(true);
        }
        has_ledger_answered
    }

    /// Extends one budget's horizon now, and assigns other witnesses if no current one answers.
    pub(super) async fn extend_horizon(
        &self,
        budget: &BudgetId,
        tokens: Tokens,
        deadline: Instant,
    ) {
        let wanted = self.with_account(budget, |account| account.share().wanted_horizon(tokens));
        if let Some(horizon_tokens) = wanted {
            if self.extend_at_any_witness(budget, horizon_tokens).await {
                return;
            }
        }
        if Instant::now() >= deadline || !self.sync(budget, GrantDecision::default()).await {
            return;
        }
        let wanted = self.with_account(budget, |account| account.share().wanted_horizon(tokens));
        if let Some(horizon_tokens) = wanted {
            self.extend_at_any_witness(budget, horizon_tokens).await;
        }
    }

    /// Tries the witnesses one after the other, reachable ones first.
    async fn extend_at_any_witness(&self, budget: &BudgetId, horizon_tokens: Tokens) -> bool {
        let (holder, witnesses) = self.with_account(budget, |account| {
            (account.holder().id(), account.holder().witnesses().clone())
        });
        for witness in self.deps.fleet.reachable_first(&witnesses) {
            let horizon = HorizonExtension {
                holder,
                budget: budget.clone(),
                horizon_tokens,
            };
            if self.extend_at_witness(witness, vec![horizon]).await {
                return true;
            }
        }
        false
    }

    /// Returns the prepaid amount in the lists in force; zero for a budget no longer listed.
    fn paid_tokens(&self, budget: &BudgetId) -> Tokens {
        let catalog = self.deps.catalog.load();
        catalog.paid_tokens(budget).unwrap_or_default()
    }

    fn decide(
        &self,
        budget: &BudgetId,
        interval_ms: u64,
        is_report_round: bool,
    ) -> Option<GrantDecision> {
        let catalog = self.deps.catalog.load();
        let generation = catalog.generation();
        let paid_tokens = catalog.paid_tokens(budget).unwrap_or_default();
        drop(catalog);
        self.with_account(budget, |account| {
            account.end_interval(interval_ms);
            let view = account.view(paid_tokens);
            let decision = self.deps.policy.decide(&view).within_paid(&view);
            let decision = if account.available_tokens() == Tokens::ZERO && !is_report_round {
                GrantDecision {
                    draw_tokens: Tokens::ZERO,
                    ..decision
                }
            } else {
                decision
            };
            let has_grant = account.holder().limit_tokens() > Tokens::ZERO;
            let is_due = decision != GrantDecision::default()
                || account.has_pending()
                || account.is_plan_lowered(generation, paid_tokens)
                || account.holder().is_witness_sealed()
                || (has_grant
                    && !self
                        .deps
                        .fleet
                        .are_all_reachable(account.holder().witnesses()))
                || (is_report_round && account.has_unreported_spend());
            is_due.then_some(decision)
        })
    }

    /// Updates one budget's row in the ledger. Returns true if the ledger answered.
    pub(super) async fn sync(&self, budget: &BudgetId, decision: GrantDecision) -> bool {
        let catalog = self.deps.catalog.load();
        let update_request = UpdateParams {
            generation: catalog.generation(),
            paid_tokens: catalog.paid_tokens(budget).unwrap_or_default(),
            draw_tokens: decision.draw_tokens,
            return_tokens: decision.return_tokens,
            witnesses: self.choose_witnesses(budget),
        };
        drop(catalog);
        let current = self.current_witnesses(budget);
        if current == update_request.witnesses || !self.can_extend_horizon(budget, &current) {
            return self.update(budget, &update_request).await;
        }
        // The horizon cannot be extended while a change of witnesses is pending. The change starts
        // only after the ledger has answered, so the current witnesses stay usable in an outage.
        let unchanged = UpdateParams {
            witnesses: current,
            ..update_request.clone()
        };
        if !self.update(budget, &unchanged).await {
            return false;
        }
        let change = UpdateParams {
            draw_tokens: Tokens::ZERO,
            return_tokens: Tokens::ZERO,
            ..update_request
        };
        self.update(budget, &change).await
    }

    fn current_witnesses(&self, budget: &BudgetId) -> WitnessSet {
        self.with_account(budget, |account| account.holder().witnesses().clone())
    }

    /// Returns true if one of the current witnesses can extend the horizon now.
    fn can_extend_horizon(&self, budget: &BudgetId, current: &WitnessSet) -> bool {
        let is_sealed = self.with_account(budget, |account| account.holder().is_witness_sealed());
        !is_sealed && self.deps.fleet.is_any_reachable(current)
    }

    async fn update(&self, budget: &BudgetId, update_request: &UpdateParams) -> bool {
        let updates = self.with_account(budget, |account| {
            let mut updates =
                account.prepare_former(update_request.generation, update_request.paid_tokens);
            updates.push(account.prepare(update_request));
            updates
        });
        let mut has_ledger_answered = true;
        for update in updates {
            has_ledger_answered &= self.apply(budget, update).await;
        }
        has_ledger_answered
    }

    async fn apply(&self, budget: &BudgetId, update: HolderUpdate) -> bool {
        let change = LedgerChange::Update {
            budget: budget.clone(),
            update: update.clone(),
        };
        match self.deps.ledger.apply(change).await {
            Ok(answer) => {
                if let Some(refusal) = &answer.refusal {
                    info!(self.deps.log, "ledger refused an update";
                        "budget" => budget.as_str(), "reason" => refusal.to_string());
                }
                self.with_account(budget, |account| account.apply_answer(&update, &answer));
                true
            }
            Err(error) => {
                warn!(self.deps.log, "ledger cannot be updated";
                    "budget" => budget.as_str(), "reason" => error.to_string());
                false
            }
        }
    }

    fn choose_witnesses(&self, budget: &BudgetId) -> WitnessSet {
        let fleet = &self.deps.fleet;
        let own_domain = &fleet.identity().failure_domain;
        self.with_account(budget, |account| {
            let is_reachable = |holder| fleet.is_reachable(holder);
            let candidates = || fleet.witness_candidates();
            account
                .share()
                .choose_witnesses(own_domain, candidates, is_reachable)
        })
    }

    async fn extend_all_horizons(&self) {
        let fleet = &self.deps.fleet;
        let mut by_witness: BTreeMap<HolderId, Vec<HorizonExtension>> = BTreeMap::new();
        for budget in self.held_budgets() {
            self.with_account(&budget, |account| {
                let horizon_tokens = account.share().wanted_horizon(Tokens::ZERO)?;
                let holder = account.holder();
                let witnesses = fleet.reachable_first(holder.witnesses());
                let witness = witnesses.into_iter().next()?;
                let holder = holder.id();
                let horizon = HorizonExtension {
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
            .map(|(witness, horizons)| self.extend_at_witness(witness, horizons));
        join_all(calls).await;
    }

    async fn extend_at_witness(&self, witness: HolderId, horizons: Vec<HorizonExtension>) -> bool {
        let Some(member) = self.deps.fleet.member_by_holder(witness) else {
            return false;
        };
        let peer = self.deps.network.peer(member.peer_address);
        let call = peer.extend(witness, horizons.clone());
        let Ok(Ok(records)) = tokio::time::timeout(WITNESS_TIMEOUT, call).await else {
            self.deps.fleet.record_failure(&member.vm);
            return false;
        };
        for (horizon, record) in horizons.iter().zip(records) {
            self.with_account(&horizon.budget, |account| {
                if account.holder().id() == horizon.holder {
                    account.holder_mut().acknowledge(witness, record);
                    account.availability_changed.notify_waiters();
                }
            });
        }
        true
    }

    fn remove_unused(&self) {
        for shard in &self.shards {
            crate::util::lock(shard).retain(|_, account| !account.is_removable());
        }
    }
}
