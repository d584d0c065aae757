//! The ledger: who holds how much of each budget.
//!
//! One platform object holds the entries of one budget shard and is changed only by conditional
//! update. All counters are cumulative and only grow, so an update can be repeated without harm.
//!
//! Invariant: the sum over all rows of `granted_tokens - returned_tokens` never exceeds the
//! `paid_tokens` that was in force when the newest grant was made.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::ids::{BudgetId, HolderId};
use super::units::Tokens;

/// Version of the accepted lists, rising by one with each accepted change.
pub type Generation = u64;

/// Horizons at which witnesses were sealed, by witness.
pub type SealedHorizons = BTreeMap<HolderId, Tokens>;

/// The router processes that acknowledge a holder's horizon. Any one of them suffices.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WitnessSet {
    /// Processes in other failure domains. All of them must be sealed to reclaim.
    pub far: BTreeSet<HolderId>,
    /// A process in the holder's own failure domain, for when the domain is cut off.
    pub near: Option<HolderId>,
    /// How far beyond the far witnesses' horizon the near one may acknowledge. Lost to the budget
    /// when holder and near witness die together.
    pub near_allowance_tokens: Tokens,
}

impl WitnessSet {
    /// True when nobody acknowledges, so that the grant cannot be reclaimed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.far.is_empty()
    }

    /// True for the set of a grant that has no witness at all.
    fn names_nobody(&self) -> bool {
        self == &Self::default()
    }

    /// All processes of the set.
    pub fn all(&self) -> impl Iterator<Item = HolderId> + '_ {
        self.far.iter().copied().chain(self.near)
    }

    /// The highest consumption that a holder can have reached, given where its witnesses were
    /// sealed, or none while a far one is not sealed.
    #[must_use]
    pub fn highest_horizon(&self, sealed: &SealedHorizons) -> Option<Tokens> {
        let far: Option<Vec<Tokens>> = self
            .far
            .iter()
            .map(|witness| sealed.get(witness).copied())
            .collect();
        let far_tokens = far?.into_iter().max()?;
        let Some(near) = self.near else {
            return Some(far_tokens);
        };
        match sealed.get(&near) {
            Some(near_tokens) => Some(far_tokens.max(*near_tokens)),
            None => Some(far_tokens + self.near_allowance_tokens),
        }
    }
}

/// The value of one ledger object: the entries of a budget shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LedgerShard {
    /// Entry of each budget in the shard that was ever drawn on.
    pub entries: BTreeMap<BudgetId, BudgetEntry>,
}

/// The ledger entry of one budget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BudgetEntry {
    /// Cumulative prepaid amount by the newest list seen here.
    pub paid_tokens: Tokens,
    /// Generation of that list.
    pub generation: Generation,
    /// Tokens granted to rows that were folded: their processes have ended.
    #[serde(default, skip_serializing_if = "Tokens::is_zero")]
    pub folded_tokens: Tokens,
    /// Tokens that folded rows gave back. A holder may give back what another one handed to it,
    /// so this is kept apart until both are folded.
    #[serde(default, skip_serializing_if = "Tokens::is_zero")]
    pub folded_returned_tokens: Tokens,
    /// One row for each router process that holds a grant of this budget, or ever held one.
    pub rows: BTreeMap<HolderId, GrantRow>,
}

/// What one holder has of one budget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrantRow {
    /// Number of the holder's last update that took effect.
    pub seq: u64,
    /// Cumulative tokens granted to the holder.
    pub granted_tokens: Tokens,
    /// Cumulative tokens that the holder, or a reclaimer after sealing, gave back.
    #[serde(default, skip_serializing_if = "Tokens::is_zero")]
    pub returned_tokens: Tokens,
    /// Cumulative tokens received from other holders, as last reported.
    #[serde(default, skip_serializing_if = "Tokens::is_zero")]
    pub received_tokens: Tokens,
    /// Cumulative tokens handed to each other holder, as last reported.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub sent: BTreeMap<HolderId, Tokens>,
    /// Cumulative tokens spent on requests, as last reported.
    #[serde(default, skip_serializing_if = "Tokens::is_zero")]
    pub spent_tokens: Tokens,
    /// The router processes that acknowledge the holder's horizon.
    #[serde(default, skip_serializing_if = "WitnessSet::names_nobody")]
    pub witnesses: WitnessSet,
    /// Consumption that is allowed without an acknowledgement by the present witnesses.
    #[serde(default, skip_serializing_if = "Tokens::is_zero")]
    pub horizon_floor_tokens: Tokens,
    /// A sealed row gets no further grants.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub sealed: bool,
}

impl GrantRow {
    /// The most that the holder may consume, as far as the ledger knows.
    #[must_use]
    pub fn limit_tokens(&self) -> Tokens {
        self.granted_tokens + self.received_tokens - self.returned_tokens
    }

    /// Cumulative tokens handed to other holders.
    #[must_use]
    pub fn sent_tokens(&self) -> Tokens {
        self.sent.values().copied().sum()
    }

    /// Tokens that are neither spent, sent nor given back.
    #[must_use]
    pub fn unspent_tokens(&self) -> Tokens {
        self.limit_tokens() - self.spent_tokens - self.sent_tokens()
    }
}

/// One numbered change of a holder's own row.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct HolderUpdate {
    /// The router process that asks.
    pub holder: HolderId,
    /// Number of this update, one more than the last that took effect.
    pub seq: u64,
    /// Generation of the list that the holder has.
    pub generation: Generation,
    /// Prepaid amount in that list.
    pub paid_tokens: Tokens,
    /// Tokens wanted now; less may be granted.
    pub draw_tokens: Tokens,
    /// Cumulative tokens given back, including by this update.
    pub returned_tokens: Tokens,
    /// Cumulative tokens received from other holders.
    pub received_tokens: Tokens,
    /// Cumulative tokens handed to each other holder.
    pub sent: BTreeMap<HolderId, Tokens>,
    /// Cumulative tokens spent on requests.
    pub spent_tokens: Tokens,
    /// Witnesses from this update on.
    pub witnesses: WitnessSet,
    /// Consumption already allowed by the former witnesses.
    pub horizon_floor_tokens: Tokens,
}

/// What an update led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum UpdateOutcome {
    /// The update changed the entry.
    Applied,
    /// The update had taken effect before; nothing changed.
    AlreadyApplied,
}

/// Why an update changed nothing.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LedgerError {
    /// The holder's list is older than the newest list that granted from this budget.
    #[error("list generation {held} is older than generation {newest} in the ledger")]
    StaleList {
        /// Generation that the holder has.
        held: Generation,
        /// Generation in the entry.
        newest: Generation,
    },
    /// The row was sealed by a reclaimer.
    #[error("the grant of holder {holder} is sealed")]
    Sealed {
        /// The holder.
        holder: HolderId,
    },
    /// The update gives back more than the holder has, or a counter falls.
    #[error("update {seq} of holder {holder} does not fit its row")]
    Inconsistent {
        /// The holder.
        holder: HolderId,
        /// Number of the update.
        seq: u64,
    },
    /// The row named is not in the entry.
    #[error("holder {holder} has no row")]
    NoRow {
        /// The holder.
        holder: HolderId,
    },
    /// The row names no witness, or one that was not sealed.
    #[error("not all witnesses of holder {holder} are sealed")]
    NotSealed {
        /// The holder.
        holder: HolderId,
    },
}

impl BudgetEntry {
    /// Tokens charged against the budget: granted and not given back.
    #[must_use]
    pub fn charged_tokens(&self) -> Tokens {
        let granted: Tokens = self.rows.values().map(|row| row.granted_tokens).sum();
        let returned: Tokens = self.rows.values().map(|row| row.returned_tokens).sum();
        (self.folded_tokens + granted) - (self.folded_returned_tokens + returned)
    }

    /// Replaces the row of an ended process by what it may have spent: all that it held.
    ///
    /// A write of that process that is still under way cannot bring the row back, since it
    /// expects an older version of the object.
    pub fn fold(&mut self, holder: HolderId) {
        if let Some(row) = self.rows.remove(&holder) {
            self.folded_tokens += row.granted_tokens;
            self.folded_returned_tokens += row.returned_tokens;
        }
    }

    /// Tokens that can still be granted.
    #[must_use]
    pub fn available_tokens(&self) -> Tokens {
        self.paid_tokens - self.charged_tokens()
    }

    /// Tokens spent on requests, as reported by all holders.
    #[must_use]
    pub fn spent_tokens(&self) -> Tokens {
        self.rows.values().map(|row| row.spent_tokens).sum()
    }

    /// Tokens that sealed holders may still have spent or may still spend; never granted again.
    #[must_use]
    pub fn stranded_tokens(&self) -> Tokens {
        let sealed = self.rows.values().filter(|row| row.sealed);
        sealed.map(GrantRow::unspent_tokens).sum()
    }

    /// Takes over a prepaid amount from a newer list.
    ///
    /// A fall below what is granted does not recall grants; it stops new ones.
    pub fn learn_paid(&mut self, generation: Generation, paid_tokens: Tokens) {
        if generation > self.generation {
            self.generation = generation;
            self.paid_tokens = paid_tokens;
        }
    }

    /// Applies a holder's numbered update.
    ///
    /// # Errors
    ///
    /// Fails, leaving the entry unchanged, when the holder's list is older than the entry's, the
    /// row is sealed and the update draws, or the counters do not fit the row.
    pub fn apply(&mut self, update: &HolderUpdate) -> Result<UpdateOutcome, LedgerError> {
        let row = self.rows.get(&update.holder).cloned().unwrap_or_default();
        if row.seq >= update.seq {
            return Ok(UpdateOutcome::AlreadyApplied);
        }
        if row.sealed && update.draw_tokens > Tokens::ZERO {
            return Err(LedgerError::Sealed {
                holder: update.holder,
            });
        }
        if update.draw_tokens > Tokens::ZERO && update.generation < self.generation {
            return Err(LedgerError::StaleList {
                held: update.generation,
                newest: self.generation,
            });
        }
        let mut next = updated_row(&row, update)?;
        self.learn_paid(update.generation, update.paid_tokens);
        self.rows.insert(update.holder, next.clone());
        next.granted_tokens += update.draw_tokens.min(self.available_tokens());
        self.rows.insert(update.holder, next);
        Ok(UpdateOutcome::Applied)
    }

    /// Closes the grant of a holder whose far witnesses were all sealed, and frees what lies
    /// beyond the highest horizon that a witness can have acknowledged.
    ///
    /// Tokens that others say they sent to the holder count as received, whether they arrived or
    /// not: their senders will not spend them, and the holder cannot use them beyond its horizon.
    ///
    /// # Errors
    ///
    /// Fails when the row is missing, names no witness, or names one that was not sealed.
    pub fn reclaim(
        &mut self,
        holder: HolderId,
        sealed: &SealedHorizons,
    ) -> Result<Tokens, LedgerError> {
        let sent_to = self.rows.values().filter_map(|row| row.sent.get(&holder));
        let sent_tokens: Tokens = sent_to.copied().sum();
        let row = self
            .rows
            .get_mut(&holder)
            .ok_or(LedgerError::NoRow { holder })?;
        let mut sealed = sealed.clone();
        for horizon_tokens in sealed.values_mut() {
            *horizon_tokens = (*horizon_tokens).max(row.horizon_floor_tokens);
        }
        let highest = row.witnesses.highest_horizon(&sealed);
        let horizon_tokens = highest.ok_or(LedgerError::NotSealed { holder })?;
        row.received_tokens = row.received_tokens.max(sent_tokens);
        let returned_tokens = (row.granted_tokens + row.received_tokens) - horizon_tokens;
        let freed_tokens = returned_tokens - row.returned_tokens;
        row.returned_tokens = row.returned_tokens.max(returned_tokens);
        row.sealed = true;
        Ok(freed_tokens)
    }
}

fn updated_row(row: &GrantRow, update: &HolderUpdate) -> Result<GrantRow, LedgerError> {
    let inconsistent = LedgerError::Inconsistent {
        holder: update.holder,
        seq: update.seq,
    };
    let falls = update.returned_tokens < row.returned_tokens
        || (!row.sealed && update.received_tokens < row.received_tokens)
        || row
            .sent
            .iter()
            .any(|(to, sent)| update.sent.get(to) < Some(sent))
        || update.spent_tokens < row.spent_tokens;
    let consumed_tokens = update.spent_tokens + update.sent.values().copied().sum();
    let held_tokens = row.granted_tokens + update.received_tokens.max(row.received_tokens);
    if falls || consumed_tokens + update.returned_tokens > held_tokens {
        return Err(inconsistent);
    }
    let mut next = row.clone();
    next.seq = update.seq;
    next.returned_tokens = update.returned_tokens;
    next.received_tokens = row.received_tokens.max(update.received_tokens);
    next.sent.clone_from(&update.sent);
    next.spent_tokens = update.spent_tokens;
    if !row.sealed {
        next.witnesses.clone_from(&update.witnesses);
        next.horizon_floor_tokens = row.horizon_floor_tokens.max(update.horizon_floor_tokens);
    }
    Ok(next)
}
