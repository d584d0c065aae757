//! What this router asks of the ledger, and what it takes in from it.

use std::fmt::Write;
use std::net::SocketAddr;

use tokio::time::Instant;

use super::grants::{fleet_stock, vm_part, GrantState, Grants};
use super::members::LedgerDuty;
use super::pooling::OtherRouter;
use crate::core::holder::UpdateWish;
use crate::core::ids::{BudgetId, HolderId};
use crate::core::ledger::{BudgetEntry, LedgerShard, UpdateOutcome, WitnessSet};
use crate::core::policy::{GrantDecision, GrantView};
use crate::core::share::LedgerTotals;
use crate::core::units::Tokens;
use crate::util::lock;

/// What was asked of the ledger for one budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct GrantAsk {
    budget: BudgetId,
    decision: GrantDecision,
}

/// On what occasion the ledger is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LedgerTurn {
    /// This router draws on the ledger.
    Duty,
    /// This router draws no longer; it keeps what its own requests need.
    OffDuty,
    /// The process ends.
    Leaving,
}

/// A decision of the policy, with what a waiting request needs beyond it.
fn with_unmet(wish: GrantDecision, unmet_tokens: Tokens, view: &GrantView) -> GrantDecision {
    if unmet_tokens.is_zero() {
        return wish.within_paid(view);
    }
    let lacking_tokens = unmet_tokens - view.free_tokens;
    let draw_tokens = if lacking_tokens > view.available_tokens {
        // Too little is left for the request; other routers are asked for theirs.
        Tokens::ZERO
    } else {
        wish.draw_tokens.max(lacking_tokens)
    };
    let decision = GrantDecision {
        draw_tokens,
        // The request is about to take what is free.
        return_tokens: Tokens::ZERO,
    };
    let mut decision = decision.within_paid(view);
    // The ledger is looked at anew in any case.
    decision.draw_tokens = decision.draw_tokens.max(Tokens::new(1));
    decision
}

impl Grants {
    /// Takes in which routers draw on the ledger. Returns true when that changed for this one.
    pub(crate) fn learn_duty(&self, duty: LedgerDuty) -> bool {
        let mut state = lock(&self.state);
        let is_changed = state.duty.distributes != duty.distributes;
        state.duty = duty;
        is_changed
    }

    /// True when one of some routers tells that it reaches the ledger.
    pub(crate) fn is_reached_by(&self, routers: &[SocketAddr]) -> bool {
        let state = lock(&self.state);
        let mut others = routers.iter().filter_map(|router| state.others.get(router));
        others.any(OtherRouter::reaches_ledger)
    }

    /// Since when no other router has reached the ledger.
    pub(crate) fn others_cut_off_since(&self) -> Option<Instant> {
        lock(&self.state).others_cut_off_since
    }

    /// Decides what to ask of the ledger. Nothing is asked when the list is empty.
    pub(crate) fn prepare(&self, turn: LedgerTurn) -> Vec<GrantAsk> {
        let mut state = lock(&self.state);
        let GrantState {
            teams,
            others,
            generation,
            ledger_call_since,
            duty,
            ..
        } = &mut *state;
        let mut asked = Vec::new();
        for (budget, team) in teams {
            let decision = if let Some(pending) = team.holder.pending() {
                GrantDecision {
                    draw_tokens: pending.draw_tokens,
                    return_tokens: Tokens::ZERO,
                }
            } else if turn != LedgerTurn::Duty {
                let stock = team.stock();
                let kept_tokens = match turn {
                    LedgerTurn::Leaving => Tokens::ZERO,
                    _ => stock.ahead_tokens(),
                };
                GrantDecision {
                    draw_tokens: Tokens::ZERO,
                    return_tokens: stock.free_tokens - kept_tokens,
                }
            } else if !duty.distributes {
                continue;
            } else if team.seen.is_none() {
                // A look only: who holds what decides on the first draw.
                GrantDecision::default()
            } else {
                let view = team.view(&fleet_stock(team, others), duty.distributors.len());
                // The even share of a fleet that is still being found would be too large.
                let wish = if duty.is_fleet_found {
                    self.policy.decide(&view)
                } else {
                    GrantDecision::default()
                };
                with_unmet(wish, team.unmet_tokens, &view)
            };
            let is_first_look = team.seen.is_none() && turn == LedgerTurn::Duty;
            let is_idle = decision.draw_tokens.is_zero() && decision.return_tokens.is_zero();
            let is_unmet = !team.unmet_tokens.is_zero();
            if team.holder.pending().is_none() && !is_first_look {
                if is_idle && (!is_unmet || turn != LedgerTurn::Duty) {
                    continue;
                }
                team.unmet_tokens = Tokens::ZERO;
                team.holder.prepare_update(&UpdateWish {
                    generation: *generation,
                    paid_tokens: team.paid_tokens,
                    draw_tokens: decision.draw_tokens,
                    return_tokens: decision.return_tokens,
                    witnesses: WitnessSet::default(),
                });
            }
            asked.push(GrantAsk {
                budget: budget.clone(),
                decision,
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

    /// Notes that the ledger answered, though others had changed it.
    pub(crate) fn note_ledger_answer(&self) {
        lock(&self.state).ledger_call_since = Some(Instant::now());
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
                ask.decision.draw_tokens,
                ask.decision.return_tokens,
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
