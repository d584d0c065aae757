//! Client of the token ledger, which is stored in the platform.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use super::group_commit::{GroupCommitWriter, ObjectChange};
use crate::core::ids::{BudgetId, HolderId};
use crate::core::ledger::{
    BudgetEntry, GrantRow, HolderUpdate, LedgerError, LedgerShard, SealedHorizons, UpdateOutcome,
};
use crate::core::share::LedgerTotals;
use crate::core::units::Tokens;
use crate::store::update::{read_json, UpdateError};
use crate::store::{ObjectKey, ObjectStore};
use crate::util::{lock, stable_hash};

/// Number of ledger objects among which the budgets are sharded.
pub const LEDGER_SHARD_COUNT: u64 = 256;
/// Key prefix of ledger objects.
pub const LEDGER_PREFIX: &str = "ledger/";

/// One budget's ledger entry from a holder's point of view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryView {
    /// The holder's own row.
    pub row: GrantRow,
    /// Sums over the rest of the entry.
    pub totals: LedgerTotals,
    /// Prepaid amount recorded in the ledger.
    pub paid_tokens: Tokens,
    /// Other holders with unspent tokens, in descending order of these.
    pub others: Vec<OtherHolder>,
}

/// Summary of another holder's row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OtherHolder {
    /// The holder.
    pub holder: HolderId,
    /// Tokens that it had not spent at its last update.
    pub unspent_tokens: Tokens,
    /// True if the row is sealed.
    pub sealed: bool,
}

/// A change of one budget's entry.
#[derive(Clone, Debug)]
pub enum LedgerChange {
    /// Updates a holder's own row.
    Update {
        /// The budget.
        budget: BudgetId,
        /// The update.
        update: HolderUpdate,
    },
    /// Closes another holder's grant after its records at the witnesses were sealed.
    Reclaim {
        /// The budget.
        budget: BudgetId,
        /// The holder whose grant is closed.
        holder: HolderId,
        /// The horizons at which the records were sealed, by witness.
        sealed: SealedHorizons,
    },
}

/// Result of a ledger change.
#[derive(Clone, Debug)]
pub struct LedgerAnswer {
    /// Reason for which the change was refused, if it was.
    pub refusal: Option<LedgerError>,
    /// The entry after the change, from the holder's point of view.
    pub view: EntryView,
}

impl ObjectChange<LedgerShard> for LedgerChange {
    type Output = LedgerAnswer;

    fn apply(&self, shard: &mut LedgerShard) -> (LedgerAnswer, bool) {
        match self {
            Self::Update { budget, update } => {
                let entry = shard.entries.entry(budget.clone()).or_default();
                let result = entry.apply(update);
                let is_changed = matches!(result, Ok(UpdateOutcome::Applied));
                let answer = LedgerAnswer {
                    refusal: result.err(),
                    view: view_of(entry, update.holder),
                };
                (answer, is_changed)
            }
            Self::Reclaim {
                budget,
                holder,
                sealed,
            } => {
                let entry = shard.entries.entry(budget.clone()).or_default();
                let was_sealed = entry.rows.get(holder).is_some_and(|row| row.sealed);
                let result = entry.reclaim(*holder, sealed);
                let is_changed = result.is_ok() && !was_sealed;
                let answer = LedgerAnswer {
                    refusal: result.err(),
                    view: view_of(entry, *holder),
                };
                (answer, is_changed)
            }
        }
    }
}

fn view_of(entry: &BudgetEntry, holder: HolderId) -> EntryView {
    let others = entry.rows.iter().filter(|(id, _)| **id != holder);
    let mut others: Vec<OtherHolder> = others
        .map(|(id, row)| OtherHolder {
            holder: *id,
            unspent_tokens: row.unspent_tokens(),
            sealed: row.sealed,
        })
        .filter(|other| other.unspent_tokens > Tokens::ZERO)
        .collect();
    others.sort_by_key(|other| std::cmp::Reverse(other.unspent_tokens));
    EntryView {
        row: entry.rows.get(&holder).cloned().unwrap_or_default(),
        totals: LedgerTotals::of(entry, holder),
        paid_tokens: entry.paid_tokens,
        others,
    }
}

type ShardWriter = GroupCommitWriter<LedgerShard, LedgerChange>;

/// Reads and changes the ledger.
#[derive(Debug)]
pub struct LedgerClient {
    store: Arc<dyn ObjectStore>,
    writers: Mutex<HashMap<ObjectKey, Arc<ShardWriter>>>,
}

/// Returns the key of the ledger object that contains a budget's entry.
#[must_use]
pub fn ledger_key(budget: &BudgetId) -> ObjectKey {
    let shard = stable_hash(&[budget.as_str()]) % LEDGER_SHARD_COUNT;
    ObjectKey::new(format!("{LEDGER_PREFIX}{shard:03}"))
}

impl LedgerClient {
    /// Creates a client of the ledger in a store.
    #[must_use]
    pub fn new(store: Arc<dyn ObjectStore>) -> Self {
        Self {
            store,
            writers: Mutex::default(),
        }
    }

    /// Applies a change, combined in one write with other queued changes of the same shard.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer. The change may still have taken effect.
    pub async fn apply(&self, change: LedgerChange) -> Result<LedgerAnswer, UpdateError> {
        let budget = match &change {
            LedgerChange::Update { budget, .. } | LedgerChange::Reclaim { budget, .. } => budget,
        };
        let writer = self.writer(ledger_key(budget));
        writer.apply(change).await
    }

    /// Reads all entries.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer or an object cannot be parsed.
    pub async fn read_all(&self) -> Result<LedgerShard, UpdateError> {
        let mut all = LedgerShard::default();
        for key in self.store.list(LEDGER_PREFIX).await? {
            let (shard, _) = read_json::<LedgerShard>(self.store.as_ref(), &key).await?;
            all.entries.extend(shard.entries);
        }
        Ok(all)
    }

    fn writer(&self, key: ObjectKey) -> Arc<ShardWriter> {
        let mut writers = lock(&self.writers);
        let store = Arc::clone(&self.store);
        let writer = writers
            .entry(key.clone())
            .or_insert_with(|| Arc::new(GroupCommitWriter::new(store, key)));
        Arc::clone(writer)
    }
}
