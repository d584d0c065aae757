//! Keeping grants and horizons ahead of demand, off the path of requests.

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
use crate::peer::Horizon;
use crate::router::ledger_client::LedgerChange;

/// Longest wait for one answer of the platform on the path of a request.
const LEDGER_WAIT: Duration = Duration::from_secs(2);
/// Longest wait for a witness.
const WITNESS_WAIT: Duration = Duration::from_millis(500);
/// Intervals after which a budget's spending is reported although its grant needs nothing.
const REPORT_INTERVALS: u64 = 20;

impl Spender {
    /// Looks at all budgets once: gives back, draws, reports and extends horizons.
    pub async fn tend(&self, interval_ms: u64, round: u64) {
        let is_report_round = round.is_multiple_of(REPORT_INTERVALS);
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
            let decision = GrantDecision {
                draw_tokens: Tokens::ZERO,
                return_tokens: free_tokens,
            };
            let is_synced = self.sync(&budget, decision).await;
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
        let paid_tokens = self.paid_tokens(budget);
        let view = self.with_account(budget, |account| account.view(paid_tokens));
        let decision = self.parts.policy.decide_for_request(&view, tokens);
        let deadline = deadline.min(Instant::now() + LEDGER_WAIT);
        let is_heard =
            tokio::time::timeout_at(deadline, self.sync(budget, decision)).await == Ok(true);
        let view = self.with_account(budget, |account| account.view(paid_tokens));
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

    /// Raises one budget's horizon now, with other witnesses where all present ones are silent.
    pub(super) async fn extend_for(&self, budget: &BudgetId, tokens: Tokens, deadline: Instant) {
        let wanted = self.with_account(budget, |account| account.share().wanted_horizon(tokens));
        if let Some(horizon_tokens) = wanted {
            if self.extend_at_any(budget, horizon_tokens).await {
                return;
            }
        }
        if Instant::now() >= deadline || !self.sync(budget, GrantDecision::default()).await {
            return;
        }
        let wanted = self.with_account(budget, |account| account.share().wanted_horizon(tokens));
        if let Some(horizon_tokens) = wanted {
            self.extend_at_any(budget, horizon_tokens).await;
        }
    }

    /// Asks the witnesses one after the other, those in reach first.
    async fn extend_at_any(&self, budget: &BudgetId, horizon_tokens: Tokens) -> bool {
        let (holder, witnesses) = self.with_account(budget, |account| {
            (account.holder().id(), account.holder().witnesses().clone())
        });
        for witness in self.parts.fleet.in_order_of_reach(&witnesses) {
            let horizon = Horizon {
                holder,
                budget: budget.clone(),
                horizon_tokens,
            };
            if self.extend_at(witness, vec![horizon]).await {
                return true;
            }
        }
        false
    }

    /// The prepaid amount in the lists in force; none for a budget that left them.
    fn paid_tokens(&self, budget: &BudgetId) -> Tokens {
        let catalog = self.parts.catalog.load();
        catalog.paid_tokens(budget).unwrap_or_default()
    }

    fn decide(
        &self,
        budget: &BudgetId,
        interval_ms: u64,
        is_report_round: bool,
    ) -> Option<GrantDecision> {
        let catalog = self.parts.catalog.load();
        let generation = catalog.generation();
        let paid_tokens = catalog.paid_tokens(budget).unwrap_or_default();
        drop(catalog);
        self.with_account(budget, |account| {
            account.end_interval(interval_ms);
            let view = account.view(paid_tokens);
            let decision = self.parts.policy.decide(&view).within_paid(&view);
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
                        .parts
                        .fleet
                        .are_all_reachable(account.holder().witnesses()))
                || (is_report_round && account.is_spent_unreported());
            is_due.then_some(decision)
        })
    }

    /// Brings one budget's row in the ledger up to date. Returns true when the ledger answered.
    pub(super) async fn sync(&self, budget: &BudgetId, decision: GrantDecision) -> bool {
        let catalog = self.parts.catalog.load();
        let params = UpdateParams {
            generation: catalog.generation(),
            paid_tokens: catalog.paid_tokens(budget).unwrap_or_default(),
            draw_tokens: decision.draw_tokens,
            return_tokens: decision.return_tokens,
            witnesses: self.choose_witnesses(budget),
        };
        drop(catalog);
        let present = self.present_witnesses(budget);
        if present == params.witnesses || !self.may_acknowledge(budget, &present) {
            return self.update(budget, &params).await;
        }
        // The horizon stands still while a change of witnesses is pending, so none is begun before
        // the ledger is known to answer: in an outage the present witnesses go on.
        let unchanged = UpdateParams {
            witnesses: present,
            ..params.clone()
        };
        if !self.update(budget, &unchanged).await {
            return false;
        }
        let change = UpdateParams {
            draw_tokens: Tokens::ZERO,
            return_tokens: Tokens::ZERO,
            ..params
        };
        self.update(budget, &change).await
    }

    fn present_witnesses(&self, budget: &BudgetId) -> WitnessSet {
        self.with_account(budget, |account| account.holder().witnesses().clone())
    }

    /// True when one of the present witnesses can raise the horizon now.
    fn may_acknowledge(&self, budget: &BudgetId, present: &WitnessSet) -> bool {
        let is_sealed = self.with_account(budget, |account| account.holder().is_witness_sealed());
        !is_sealed && self.parts.fleet.is_any_reachable(present)
    }

    async fn update(&self, budget: &BudgetId, params: &UpdateParams) -> bool {
        let updates = self.with_account(budget, |account| {
            let mut updates = account.prepare_former(params.generation, params.paid_tokens);
            updates.push(account.prepare(params));
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

    fn choose_witnesses(&self, budget: &BudgetId) -> WitnessSet {
        let fleet = &self.parts.fleet;
        let own_domain = &fleet.identity().failure_domain;
        self.with_account(budget, |account| {
            let is_reachable = |holder| fleet.is_reachable(holder);
            let candidates = || fleet.witness_candidates();
            account
                .share()
                .choose_witnesses(own_domain, candidates, is_reachable)
        })
    }

    async fn extend_all(&self) {
        let fleet = &self.parts.fleet;
        let mut by_witness: BTreeMap<HolderId, Vec<Horizon>> = BTreeMap::new();
        for budget in self.held_budgets() {
            self.with_account(&budget, |account| {
                let horizon_tokens = account.share().wanted_horizon(Tokens::ZERO)?;
                let holder = account.holder();
                let witnesses = fleet.in_order_of_reach(holder.witnesses());
                let witness = witnesses.into_iter().next()?;
                let holder = holder.id();
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
            self.parts.fleet.record_failure(&member.vm);
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
