//! Prepares this router's ledger updates and applies the ledger's state to its grants.

use std::fmt::Write;
use std::net::SocketAddr;

use tokio::time::Instant;

use super::grants::{fleet_holdings, vm_part, GrantState, Grants};
use super::members::LedgerDuty;
use super::pooling::PeerGrants;
use crate::core::holder::UpdateParams;
use crate::core::ids::{BudgetId, HolderId};
use crate::core::ledger::{BudgetEntry, LedgerShard, UpdateOutcome, WitnessSet};
use crate::core::policy::{GrantDecision, GrantView};
use crate::core::share::LedgerTotals;
use crate::core::units::Tokens;
use crate::util::lock;

/// Planned ledger update of one budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PlannedUpdate {
    budget: BudgetId,
    decision: GrantDecision,
}

/// Tokens put back into a ledger that has lost writes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RestoredGrants {
    /// Tokens that were granted.
    pub known_tokens: Tokens,
    /// Tokens that routers which are silent now may have been granted; charged as spent.
    pub unseen_tokens: Tokens,
}

impl RestoredGrants {
    /// Returns true if the ledger lacked nothing.
    pub(crate) fn is_empty(&self) -> bool {
        self.known_tokens.is_zero() && self.unseen_tokens.is_zero()
    }
}

/// Reason for a ledger update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpdateReason {
    /// This router draws on the ledger.
    Duty,
    /// This router no longer draws on the ledger and keeps only what its own requests need.
    DutyEnded,
    /// The process is shutting down.
    Leaving,
}

/// Extends a policy decision by the tokens that a waiting request lacks.
fn with_unmet(
    policy_decision: GrantDecision,
    unmet_tokens: Tokens,
    view: &GrantView,
) -> GrantDecision {
    if unmet_tokens.is_zero() {
        return policy_decision.within_paid(view);
    }
    let deficit_tokens = unmet_tokens - view.free_tokens;
    let draw_tokens = if deficit_tokens > view.available_tokens {
        // The ledger has too few tokens for the request; they are requested from other routers.
        Tokens::ZERO
    } else {
        policy_decision.draw_tokens.max(deficit_tokens)
    };
    let decision = GrantDecision {
        draw_tokens,
        // The waiting request will reserve the free tokens.
        return_tokens: Tokens::ZERO,
    };
    let mut decision = decision.within_paid(view);
    // Forces a ledger read in any case.
    decision.draw_tokens = decision.draw_tokens.max(Tokens::new(1));
    decision
}

impl Grants {
    /// Sets which routers draw on the ledger. Returns true if this router's duty changed.
    pub(crate) fn set_duty(&self, duty: LedgerDuty) -> bool {
        let mut state = lock(&self.state);
        let is_changed = state.duty.is_distributor != duty.is_distributor;
        state.duty = duty;
        is_changed
    }

    /// Returns true if one of the given routers reports access to the ledger.
    pub(crate) fn is_ledger_reachable_by(&self, routers: &[SocketAddr]) -> bool {
        let state = lock(&self.state);
        let mut others = routers.iter().filter_map(|router| state.others.get(router));
        others.any(PeerGrants::reaches_ledger)
    }

    /// Returns since when no other router has reported access to the ledger.
    pub(crate) fn others_unreachable_since(&self) -> Option<Instant> {
        lock(&self.state).others_unreachable_since
    }

    /// Prepares the ledger updates. An empty list means that no update is needed.
    pub(crate) fn prepare(&self, update_reason: UpdateReason) -> Vec<PlannedUpdate> {
        let mut state = lock(&self.state);
        let GrantState {
            teams,
            others,
            generation,
            ledger_call_since,
            duty,
            ..
        } = &mut *state;
        let mut planned = Vec::new();
        for (budget, team) in teams {
            let decision = if let Some(pending) = team.holder.pending() {
                GrantDecision {
                    draw_tokens: pending.draw_tokens,
                    return_tokens: Tokens::ZERO,
                }
            } else if update_reason != UpdateReason::Duty {
                let holdings = team.holdings();
                let kept_tokens = match update_reason {
                    UpdateReason::Leaving => Tokens::ZERO,
                    _ => holdings.lookahead_tokens(),
                };
                GrantDecision {
                    draw_tokens: Tokens::ZERO,
                    return_tokens: holdings.free_tokens - kept_tokens,
                }
            } else if !duty.is_distributor {
                continue;
            } else if team.ledger_read_at.is_none() {
                // Only reads: the first draw depends on what the other holders have.
                GrantDecision::default()
            } else {
                let view = team.view(&fleet_holdings(team, others), duty.distributors.len());
                // An even share would be too large while the fleet is only partly discovered.
                let policy_decision = if duty.is_fleet_found {
                    self.policy.decide(&view)
                } else {
                    GrantDecision::default()
                };
                with_unmet(policy_decision, team.unmet_tokens, &view)
            };
            let is_first_read =
                team.ledger_read_at.is_none() && update_reason == UpdateReason::Duty;
            let is_idle = decision.draw_tokens.is_zero() && decision.return_tokens.is_zero();
            let is_unmet = !team.unmet_tokens.is_zero();
            if team.holder.pending().is_none() && !is_first_read {
                if is_idle && (!is_unmet || update_reason != UpdateReason::Duty) {
                    continue;
                }
                team.unmet_tokens = Tokens::ZERO;
                team.holder.prepare_update(&UpdateParams {
                    generation: *generation,
                    paid_tokens: team.paid_tokens,
                    draw_tokens: decision.draw_tokens,
                    return_tokens: decision.return_tokens,
                    witnesses: WitnessSet::default(),
                });
            }
            planned.push(PlannedUpdate {
                budget: budget.clone(),
                decision,
            });
        }
        if !planned.is_empty() {
            ledger_call_since.get_or_insert_with(Instant::now);
        }
        planned
    }

    /// Puts back into a copy of the ledger what this router knows to be granted: to itself, and to
    /// others by their last reports.
    pub(crate) fn put_back(&self, shard: &mut LedgerShard) -> RestoredGrants {
        let state = lock(&self.state);
        let mut restored = RestoredGrants::default();
        for (budget, team) in &state.teams {
            let own = (self.holder, team.holder.granted_tokens(), Tokens::ZERO);
            let reported = state
                .reported_grants
                .iter()
                .filter_map(|(holder, reported)| {
                    let (granted, unreported) = reported.granted_tokens(team.digest)?;
                    Some((*holder, granted, unreported))
                });
            for (holder, granted_tokens, unreported_tokens) in reported.chain([own]) {
                let total_tokens = granted_tokens + unreported_tokens;
                if total_tokens.is_zero() {
                    continue;
                }
                let entry = shard.entries.entry(budget.clone()).or_default();
                let added_tokens = entry.restore_grant(holder, total_tokens);
                let unseen_tokens = added_tokens.min(unreported_tokens);
                restored.unseen_tokens += unseen_tokens;
                restored.known_tokens += added_tokens - unseen_tokens;
            }
        }
        restored
    }

    /// Charges in the ledger of an earlier era what routers of which no report is known may have been
    /// granted in writes that it lacks. Returns the tokens charged.
    pub(crate) fn charge_lost_grants(&self, shard: &mut LedgerShard) -> Tokens {
        let state = lock(&self.state);
        let is_known =
            |holder| holder == self.holder || state.reported_grants.contains_key(&holder);
        let entries = shard.entries.values_mut();
        entries
            .map(|entry| entry.charge_lost_grants(is_known))
            .sum()
    }

    /// Returns true if the ledger has granted tokens to this router.
    pub(crate) fn has_grants(&self) -> bool {
        let state = lock(&self.state);
        let mut teams = state.teams.values();
        teams.any(|team| !team.holder.granted_tokens().is_zero())
    }

    /// Applies all pending updates to a copy of the ledger. Returns false if it has them all.
    pub(crate) fn apply_to(&self, shard: &mut LedgerShard) -> bool {
        let mut state = lock(&self.state);
        let mut is_changed = false;
        for entry in shard.entries.values_mut() {
            is_changed |= self.fold_previous_processes(entry);
        }
        for (budget, team) in &mut state.teams {
            let Some(update) = team.holder.pending().cloned() else {
                continue;
            };
            let entry = shard.entries.entry(budget.clone()).or_default();
            // The ledger may have lost what it granted.
            entry.restore_grant(self.holder, team.holder.granted_tokens());
            if let Ok(outcome) = entry.apply(&update) {
                is_changed |= outcome == UpdateOutcome::Applied;
                continue;
            }
            // Newer lists already granted from this budget: the draw is dropped, the return stays.
            team.holder.cancel_draw();
            if let Some(update) = team.holder.pending() {
                is_changed |= entry.apply(update).is_ok();
            }
        }
        is_changed
    }

    /// Folds the rows of earlier processes on this VM, where only one process runs at a time.
    fn fold_previous_processes(&self, entry: &mut BudgetEntry) -> bool {
        let is_ended = |holder: &&HolderId| {
            vm_part(**holder) == vm_part(self.holder) && holder.process() != self.holder.process()
        };
        let ended: Vec<HolderId> = entry.rows.keys().filter(is_ended).copied().collect();
        for holder in &ended {
            entry.fold(*holder);
        }
        !ended.is_empty()
    }

    /// Applies the ledger's state in the store to the grants.
    pub(crate) fn apply_ledger(&self, shard: &LedgerShard) {
        let mut state = lock(&self.state);
        state.unreachable_since = None;
        state.ledger_call_since = None;
        let GrantState { teams, others, .. } = &mut *state;
        for (budget, team) in teams {
            team.ledger_read_at = Some(Instant::now());
            let Some(entry) = shard.entries.get(budget) else {
                continue;
            };
            if let Some(row) = entry.rows.get(&self.holder) {
                team.holder.confirm(row);
            }
            team.totals = LedgerTotals::of(entry, self.holder);
            let unreported = entry.rows.iter().filter(|(holder, _)| {
                **holder != self.holder && !PeerGrants::has_valid_report(others, **holder)
            });
            team.unreported_tokens = unreported.map(|(_, row)| row.unspent_tokens()).sum();
        }
        drop(state);
        self.wake_waiting();
        self.transfers.notify_one();
    }

    /// Records that the ledger answered, although other routers had changed it.
    pub(crate) fn record_ledger_answer(&self) {
        lock(&self.state).ledger_call_since = Some(Instant::now());
    }

    /// Records that the ledger is unreachable.
    pub(crate) fn record_unreachable(&self) {
        lock(&self.state)
            .unreachable_since
            .get_or_insert_with(Instant::now);
        self.transfers.notify_one();
        self.wake_waiting();
    }

    /// Formats the updated grants for the log.
    pub(crate) fn describe(&self, planned: &[PlannedUpdate]) -> String {
        let state = lock(&self.state);
        let mut text = String::new();
        for update in planned {
            let Some(team) = state.teams.get(&update.budget) else {
                continue;
            };
            let available_tokens = team.available_tokens();
            // Writing to a string cannot fail.
            let _ = write!(
                text,
                "{} draw={} return={} free={} reserved={} paid={} available={} others={}; ",
                update.budget,
                update.decision.draw_tokens,
                update.decision.return_tokens,
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
