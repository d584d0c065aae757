//! The witness: records the horizons up to which other holders may consume their grants.
//!
//! A witness is a router process in another failure domain than the holder, or the near witness in
//! the holder's own domain. A ledger row lists a few: one acknowledgement suffices to consume, and
//! all far ones must be sealed to reclaim. Witnesses are identified by process start, so a
//! restarted router never answers for its earlier process.

use std::collections::BTreeMap;

use super::ids::{BudgetId, HolderId};
use super::units::Tokens;

/// A witness's record of one holder's grant of one budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WitnessRecord {
    /// Highest consumption acknowledged.
    pub horizon_tokens: Tokens,
    /// A sealed record is never extended.
    pub sealed: bool,
}

/// The records that one router process keeps for other holders.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Witness {
    records: BTreeMap<(HolderId, BudgetId), WitnessRecord>,
}

impl Witness {
    /// Creates a witness without records.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Raises a holder's horizon unless its record is sealed, and returns the record.
    ///
    /// ```
    /// use currantlever::{HolderId, Tokens, Witness};
    /// let mut witness = Witness::new();
    /// let budget = "spring".parse().unwrap();
    /// let holder = HolderId::new(1);
    /// witness.extend(holder, &budget, Tokens::new(50));
    /// witness.seal(holder, &budget);
    /// let record = witness.extend(holder, &budget, Tokens::new(90));
    /// assert_eq!(record.horizon_tokens, Tokens::new(50));
    /// ```
    pub fn extend(
        &mut self,
        holder: HolderId,
        budget: &BudgetId,
        horizon_tokens: Tokens,
    ) -> WitnessRecord {
        let record = self.records.entry((holder, budget.clone())).or_default();
        if !record.sealed {
            record.horizon_tokens = record.horizon_tokens.max(horizon_tokens);
        }
        *record
    }

    /// Seals a holder's record permanently and returns it.
    pub fn seal(&mut self, holder: HolderId, budget: &BudgetId) -> WitnessRecord {
        let record = self.records.entry((holder, budget.clone())).or_default();
        record.sealed = true;
        *record
    }

    /// Returns the number of records.
    #[must_use]
    pub fn record_count(&self) -> usize {
        self.records.len()
    }
}
