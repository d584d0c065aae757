//! What this router asks of the ledger, and what it takes in from it.

use std::collections::HashSet;
use std::fmt::Write;
use std::net::SocketAddr;

use tokio::time::Instant;

use super::grants::{fleet_stock, vm_part, GrantState, Grants};
use super::pooling::OtherRouter;
use crate::core::holder::UpdateWish;
use crate::core::ids::{BudgetId, HolderId};
use crate::core::ledger::{BudgetEntry, LedgerShard, UpdateOutcome, WitnessSet};
use crate::core::policy::GrantDecision;
use crate::core::share::LedgerTotals;
use crate::core::units::Tokens;
use crate::util::lock;

/// What was asked of the ledger for one budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct GrantAsk {
    budget: BudgetId,
    draw_tokens: Tokens,
    return_tokens: Tokens,
}

impl Grants {
    /// Takes in which routers draw on the ledger, and whether this one does. Returns true when
    /// that changed for this one.
    pub(crate) fn learn_distributors(
        &self,
        distributors: HashSet<SocketAddr>,
        distributes: bool,
    ) -> bool {
        let mut state = lock(&self.state);
        state.distributors = distributors;
        std::mem::replace(&mut state.distributes, distributes) != distributes
    }

    /// Decides what to ask of the ledger. Nothing is asked when the list is empty.
    pub(crate) fn prepare(&self, is_leaving: bool) -> Vec<GrantAsk> {
        let mut state = lock(&self.state);
        let GrantState {
            teams,
            others,
            generation,
            ledger_call_since,
            distributors,
            distributes,
            ..
        } = &mut *state;
        let mut asked = Vec::new();
        for (budget, team) in teams {
            if let Some(pending) = team.holder.pending() {
                asked.push(GrantAsk {
                    budget: budget.clone(),
                    draw_tokens: pending.draw_tokens,
                    return_tokens: Tokens::ZERO,
                });
                continue;
            }
            if !*distributes && !is_leaving {
                continue;
            }
            if team.seen.is_none() && !is_leaving {
                // A look only: who holds what decides on the first draw.
                asked.push(GrantAsk {
                    budget: budget.clone(),
                    draw_tokens: Tokens::ZERO,
                    return_tokens: Tokens::ZERO,
                });
                continue;
            }
            let is_unmet = !team.unmet_tokens.is_zero();
            let fleet = fleet_stock(team, others);
            let view = team.view(&fleet, distributors.len());
            let mut decision = if is_leaving {
                GrantDecision {
                    draw_tokens: Tokens::ZERO,
                    return_tokens: view.free_tokens,
                }
            } else {
                let mut decision = self.policy.decide(&view);
                if is_unmet {
                    // A request that waits is about to take what is free.
                    decision.return_tokens = Tokens::ZERO;
                }
                let lacking_tokens = team.unmet_tokens - view.free_tokens;
                if lacking_tokens > view.available_tokens {
                    // Too little is left for the request; other routers are asked for theirs.
                    decision.draw_tokens = Tokens::ZERO;
                } else if !lacking_tokens.is_zero() {
                    decision.draw_tokens = decision.draw_tokens.max(lacking_tokens);
                }
                decision.within_paid(&view)
            };
            let is_idle = decision.draw_tokens.is_zero() && decision.return_tokens.is_zero();
            if is_idle && !is_unmet {
                continue;
            }
            if is_unmet {
                decision.draw_tokens = decision.draw_tokens.max(Tokens::new(1));
            }
            team.unmet_tokens = Tokens::ZERO;
            team.holder.prepare_update(&UpdateWish {
                generation: *generation,
                paid_tokens: team.paid_tokens,
                draw_tokens: decision.draw_tokens,
                return_tokens: decision.return_tokens,
                witnesses: WitnessSet::default(),
            });
            asked.push(GrantAsk {
                budget: budget.clone(),
                draw_tokens: decision.draw_tokens,
                return_tokens: decision.return_tokens,
            });
        }
        if !asked.is_empty() {
            ledger_call_since.get_or_insert_with(Instant::now);
        }
        asked
    }

    /// Puts all pending updates into a copy of the ledger. Returns false when it holds them all.
    pub(crate) fn apply_to(&self, shard: &mut LedgerShard) -> bool {
        let mut state = lock(&self.state);
        let mut is_changed = false;
        for entry in shard.entries.values_mut() {
            is_changed |= self.fold_ended(entry);
        }
        for (budget, team) in &mut state.teams {
            let Some(update) = team.holder.pending().cloned() else {
                continue;
            };
            let entry = shard.entries.entry(budget.clone()).or_default();
            if let Ok(outcome) = entry.apply(&update) {
                is_changed |= outcome == UpdateOutcome::Applied;
                continue;
            }
            // Newer lists granted from the budget already: what is given back still holds.
            team.holder.abandon_draw();
            if let Some(update) = team.holder.pending() {
                is_changed |= entry.apply(update).is_ok();
            }
        }
        is_changed
    }

    /// Folds rows of processes that ran on this VM before: only one runs at a time.
    fn fold_ended(&self, entry: &mut BudgetEntry) -> bool {
        let is_ended = |holder: &&HolderId| {
            vm_part(**holder) == vm_part(self.holder) && holder.process() != self.holder.process()
        };
        let ended: Vec<HolderId> = entry.rows.keys().filter(is_ended).copied().collect();
        for holder in &ended {
            entry.fold(*holder);
        }
        !ended.is_empty()
    }

    /// Takes in the ledger as it stands in the store.
    pub(crate) fn learn_ledger(&self, shard: &LedgerShard) {
        let mut state = lock(&self.state);
        state.cut_off_since = None;
        state.ledger_call_since = None;
        let GrantState { teams, others, .. } = &mut *state;
        for (budget, team) in teams {
            team.seen = Some(Instant::now());
            let Some(entry) = shard.entries.get(budget) else {
                continue;
            };
            if let Some(row) = entry.rows.get(&self.holder) {
                team.holder.confirm(row);
            }
            team.totals = LedgerTotals::of(entry, self.holder);
            let unheard = entry.rows.iter().filter(|(holder, _)| {
                **holder != self.holder && !OtherRouter::is_heard(others, **holder)
            });
            team.unheard_tokens = unheard.map(|(_, row)| row.unspent_tokens()).sum();
        }
        drop(state);
        self.wake_waiting();
        self.transfers.notify_one();
    }

    /// Notes that the ledger could not be reached.
    pub(crate) fn learn_unreachable(&self) {
        lock(&self.state)
            .cut_off_since
            .get_or_insert_with(Instant::now);
        self.transfers.notify_one();
        self.wake_waiting();
    }

    /// What the log says of the grants that a look at the ledger changed or asked for.
    pub(crate) fn describe(&self, asked: &[GrantAsk]) -> String {
        let state = lock(&self.state);
        let mut text = String::new();
        for ask in asked {
            let Some(team) = state.teams.get(&ask.budget) else {
                continue;
            };
            let available_tokens = team.available_tokens();
            // Writing to a string cannot fail.
            let _ = write!(
                text,
                "{} draw={} return={} free={} reserved={} paid={} available={} others={}; ",
                ask.budget,
                ask.draw_tokens,
                ask.return_tokens,
                team.holder.free_tokens(),
                team.holder.reserved_tokens(),
                team.paid_tokens,
                available_tokens,
                team.totals.others_free_tokens,
            );
        }
        text
    }
}
