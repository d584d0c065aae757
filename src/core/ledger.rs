//! The ledger: the grants of each budget and their holders.
//!
//! One platform object stores the entries of one budget shard and is changed only by conditional
//! update. All counters are cumulative and never decrease, so repeating an update is safe.
//!
//! Invariant: the sum over all rows of `granted_tokens - returned_tokens` never exceeds the
//! `paid_tokens` that was in force when the newest grant was made.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::ids::{BudgetId, HolderId};
use super::units::Tokens;

/// Maximum number of folded holders that an entry remembers.
const MAX_RECENTLY_FOLDED: usize = 8;

/// Version of the accepted lists; each accepted change increments it by one.
pub type Generation = u64;

/// Horizon in each witness's sealed record, by witness.
pub type SealedHorizons = BTreeMap<HolderId, Tokens>;

/// The router processes that acknowledge a holder's horizon. Any one of them suffices.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WitnessSet {
    /// Processes in other failure domains. All of them must be sealed before a reclaim.
    pub far: BTreeSet<HolderId>,
    /// A process in the holder's own failure domain, used when the domain is partitioned from the
    /// others.
    pub near: Option<HolderId>,
    /// How far the near witness may acknowledge beyond the far witnesses' horizon. The budget loses
    /// this amount when holder and near witness fail together.
    pub near_allowance_tokens: Tokens,
}

impl WitnessSet {
    /// Returns true when there is no far witness, so that the grant cannot be reclaimed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.far.is_empty()
    }

    /// Returns true for a grant without witnesses.
    fn has_no_witness(&self) -> bool {
        self == &Self::default()
    }

    /// Iterates over the far and near witnesses.
    pub fn all(&self) -> impl Iterator<Item = HolderId> + '_ {
        self.far.iter().copied().chain(self.near)
    }

    /// Returns the highest consumption that the holder can have reached, given its witnesses'
    /// sealed horizons, or `None` while a far witness is not sealed.
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
    /// True while holders put back what the store has lost. A router draws only after it has seen
    /// this for the settling time.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_settling: bool,
}

/// The ledger entry of one budget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BudgetEntry {
    /// Cumulative prepaid amount in the newest list applied to this entry.
    pub paid_tokens: Tokens,
    /// Generation of that list.
    pub generation: Generation,
    /// Tokens granted to folded rows, whose processes have ended.
    #[serde(default, skip_serializing_if = "Tokens::is_zero")]
    pub folded_tokens: Tokens,
    /// Tokens returned by folded rows. Kept apart from `folded_tokens` until both holders are
    /// folded, because a holder may return tokens that another one transferred to it.
    #[serde(default, skip_serializing_if = "Tokens::is_zero")]
    pub folded_returned_tokens: Tokens,
    /// Holders that were folded last, in case more turns out to have been granted to them.
    #[serde(default, skip_serializing_if = "VecDeque::is_empty")]
    pub recently_folded: VecDeque<FoldedGrant>,
    /// One row for each router process that holds or ever held a grant of this budget.
    pub rows: BTreeMap<HolderId, GrantRow>,
}

/// The grant of a folded holder, which is part of `folded_tokens`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FoldedGrant {
    /// The holder.
    pub holder: HolderId,
    /// Cumulative tokens granted to it.
    pub granted_tokens: Tokens,
}

/// One holder's grant of one budget.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrantRow {
    /// Sequence number of the holder's last applied update.
    pub seq: u64,
    /// Cumulative tokens granted to the holder.
    pub granted_tokens: Tokens,
    /// Cumulative tokens returned by the holder, or by a reclaimer after sealing.
    #[serde(default, skip_serializing_if = "Tokens::is_zero")]
    pub returned_tokens: Tokens,
    /// Cumulative tokens received from other holders, as last reported.
    #[serde(default, skip_serializing_if = "Tokens::is_zero")]
    pub received_tokens: Tokens,
    /// Cumulative tokens transferred to each other holder, as last reported.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub sent: BTreeMap<HolderId, Tokens>,
    /// Cumulative tokens spent on requests, as last reported.
    #[serde(default, skip_serializing_if = "Tokens::is_zero")]
    pub spent_tokens: Tokens,
    /// The router processes that acknowledge the holder's horizon.
    #[serde(default, skip_serializing_if = "WitnessSet::has_no_witness")]
    pub witnesses: WitnessSet,
    /// Consumption allowed without an acknowledgement by the current witnesses.
    #[serde(default, skip_serializing_if = "Tokens::is_zero")]
    pub horizon_floor_tokens: Tokens,
    /// A sealed row receives no further grants.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub sealed: bool,
}

impl GrantRow {
    /// Returns the most that the holder may consume according to the ledger.
    #[must_use]
    pub fn limit_tokens(&self) -> Tokens {
        self.granted_tokens + self.received_tokens - self.returned_tokens
    }

    /// Returns the cumulative tokens transferred to other holders.
    #[must_use]
    pub fn sent_tokens(&self) -> Tokens {
        self.sent.values().copied().sum()
    }

    /// Returns the tokens that are neither spent, transferred nor returned.
    #[must_use]
    pub fn unspent_tokens(&self) -> Tokens {
        self.limit_tokens() - self.spent_tokens - self.sent_tokens()
    }
}

/// One numbered update of a holder's own row.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct HolderUpdate {
    /// The router process that sends the update.
    pub holder: HolderId,
    /// Sequence number of this update, one more than that of the last applied one.
    pub seq: u64,
    /// Generation of the holder's list.
    pub generation: Generation,
    /// Prepaid amount in that list.
    pub paid_tokens: Tokens,
    /// Tokens requested now; less may be granted.
    pub draw_tokens: Tokens,
    /// Cumulative tokens returned, including by this update.
    pub returned_tokens: Tokens,
    /// Cumulative tokens received from other holders.
    pub received_tokens: Tokens,
    /// Cumulative tokens transferred to each other holder.
    pub sent: BTreeMap<HolderId, Tokens>,
    /// Cumulative tokens spent on requests.
    pub spent_tokens: Tokens,
    /// Witnesses from this update on.
    pub witnesses: WitnessSet,
    /// Consumption already acknowledged by the previous witnesses.
    pub horizon_floor_tokens: Tokens,
}

/// Result of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum UpdateOutcome {
    /// The update changed the entry.
    Applied,
    /// The update had already been applied; nothing changed.
    AlreadyApplied,
}

/// Reason for which an update was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LedgerError {
    /// The holder's list is older than the newest list that granted from this budget.
    #[error("list generation {held} is older than generation {newest} in the ledger")]
    StaleList {
        /// Generation of the holder's list.
        held: Generation,
        /// Generation of the entry.
        newest: Generation,
    },
    /// The row was sealed by a reclaimer.
    #[error("the grant of holder {holder} is sealed")]
    Sealed {
        /// The holder.
        holder: HolderId,
    },
    /// The update returns more than the holder has, or a counter decreases.
    #[error("update {seq} of holder {holder} does not fit its row")]
    Inconsistent {
        /// The holder.
        holder: HolderId,
        /// Number of the update.
        seq: u64,
    },
    /// The entry has no row for the holder.
    #[error("holder {holder} has no row")]
    NoRow {
        /// The holder.
        holder: HolderId,
    },
    /// The row has no far witness, or one that is not sealed.
    #[error("not all witnesses of holder {holder} are sealed")]
    NotSealed {
        /// The holder.
        holder: HolderId,
    },
}

impl BudgetEntry {
    /// Returns the tokens charged against the budget: granted and not returned.
    #[must_use]
    pub fn charged_tokens(&self) -> Tokens {
        let granted: Tokens = self.rows.values().map(|row| row.granted_tokens).sum();
        let returned: Tokens = self.rows.values().map(|row| row.returned_tokens).sum();
        (self.folded_tokens + granted) - (self.folded_returned_tokens + returned)
    }

    /// Removes the row of an ended process and charges all that it held as spent.
    ///
    /// An in-flight write of that process cannot restore the row, since it expects an older version
    /// of the object.
    pub fn fold(&mut self, holder: HolderId) {
        if let Some(row) = self.rows.remove(&holder) {
            self.folded_tokens += row.granted_tokens;
            self.folded_returned_tokens += row.returned_tokens;
            self.recently_folded.push_back(FoldedGrant {
                holder,
                granted_tokens: row.granted_tokens,
            });
            if self.recently_folded.len() > MAX_RECENTLY_FOLDED {
                self.recently_folded.pop_front();
            }
        }
    }

    /// Raises a holder's grant to what it is known to be, after the ledger has lost writes. Returns
    /// the tokens added; the prepaid amount does not bound them, as they may be spent.
    pub fn restore_grant(&mut self, holder: HolderId, granted_tokens: Tokens) -> Tokens {
        let mut folded = self.recently_folded.iter_mut();
        if let Some(folded) = folded.find(|folded| folded.holder == holder) {
            let added_tokens = granted_tokens - folded.granted_tokens;
            folded.granted_tokens += added_tokens;
            self.folded_tokens += added_tokens;
            return added_tokens;
        }
        let known = self.rows.get(&holder).map(|row| row.granted_tokens);
        let added_tokens = granted_tokens - known.unwrap_or_default();
        if !added_tokens.is_zero() {
            let row = self.rows.entry(holder).or_default();
            row.granted_tokens = granted_tokens;
        }
        added_tokens
    }

    /// Charges what holders may have been granted in writes that the ledger has lost: for each one
    /// whose grant is not known otherwise as much as it last held unspent. Returns the tokens
    /// charged.
    ///
    /// ```
    /// use currantlever::{BudgetEntry, HolderId, Tokens};
    /// let mut entry = BudgetEntry::default();
    /// entry.update_paid(1, Tokens::new(100));
    /// entry.restore_grant(HolderId::new(1), Tokens::new(30));
    /// assert_eq!(entry.charge_lost_grants(|_| false), Tokens::new(30));
    /// assert_eq!(entry.available_tokens(), Tokens::new(40));
    /// ```
    pub fn charge_lost_grants<F>(&mut self, is_known: F) -> Tokens
    where
        F: Fn(HolderId) -> bool,
    {
        let unknown = self.rows.iter().filter(|(holder, _)| !is_known(**holder));
        let unspent_tokens: Tokens = unknown.map(|(_, row)| row.unspent_tokens()).sum();
        let charged_tokens = unspent_tokens.min(self.available_tokens());
        self.folded_tokens += charged_tokens;
        charged_tokens
    }

    /// Returns the tokens that can still be granted.
    #[must_use]
    pub fn available_tokens(&self) -> Tokens {
        self.paid_tokens - self.charged_tokens()
    }

    /// Returns the tokens spent on requests, as reported by all holders.
    #[must_use]
    pub fn spent_tokens(&self) -> Tokens {
        self.rows.values().map(|row| row.spent_tokens).sum()
    }

    /// Returns the tokens that sealed holders may have spent or may still spend; they are never
    /// granted again.
    #[must_use]
    pub fn stranded_tokens(&self) -> Tokens {
        let sealed = self.rows.values().filter(|row| row.sealed);
        sealed.map(GrantRow::unspent_tokens).sum()
    }

    /// Applies the prepaid amount of a newer list.
    ///
    /// An amount below what is granted does not recall grants; it stops new ones.
    pub fn update_paid(&mut self, generation: Generation, paid_tokens: Tokens) {
        if generation > self.generation {
            self.generation = generation;
            self.paid_tokens = paid_tokens;
        }
    }

    /// Applies a holder's numbered update.
    ///
    /// # Errors
    ///
    /// Fails, leaving the entry unchanged, when the update draws and the holder's list is older
    /// than the entry's or the row is sealed, or when the counters do not fit the row.
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
        self.update_paid(update.generation, update.paid_tokens);
        self.rows.insert(update.holder, next.clone());
        next.granted_tokens += update.draw_tokens.min(self.available_tokens());
        self.rows.insert(update.holder, next);
        Ok(UpdateOutcome::Applied)
    }

    /// Seals the grant of a holder whose far witnesses are all sealed, and frees the tokens beyond
    /// the highest horizon that a witness can have acknowledged.
    ///
    /// Returns the tokens freed.
    ///
    /// Tokens that other holders report as sent to this one count as received, whether or not they
    /// arrived: their senders will not spend them, and the holder cannot use them beyond its
    /// horizon.
    ///
    /// # Errors
    ///
    /// Fails when the row is missing, has no far witness, or has one that is not sealed.
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
    let has_decrease = update.returned_tokens < row.returned_tokens
        || (!row.sealed && update.received_tokens < row.received_tokens)
        || row
            .sent
            .iter()
            .any(|(to, sent)| update.sent.get(to) < Some(sent))
        || update.spent_tokens < row.spent_tokens;
    let consumed_tokens = update.spent_tokens + update.sent.values().copied().sum();
    let held_tokens = row.granted_tokens + update.received_tokens.max(row.received_tokens);
    if has_decrease || consumed_tokens + update.returned_tokens > held_tokens {
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
