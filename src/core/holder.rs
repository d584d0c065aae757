//! The holder's state of one grant: what a router process may still spend of one budget.
//!
//! Consumption is `spent + sent + reserved`. It has two bounds: the limit granted by the ledger,
//! and the horizon acknowledged by any one of the witnesses. Both are enforced in memory, so a
//! reservation makes no remote call.

use std::collections::BTreeMap;

use thiserror::Error;

use super::ids::HolderId;
use super::ledger::{Generation, GrantRow, HolderUpdate, WitnessSet};
use super::units::Tokens;
use super::witness::WitnessRecord;

/// Reason for which a reservation was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ReserveError {
    /// The grant is too small. More tokens may be drawn from the ledger or transferred from another
    /// holder.
    #[error("the grant has {free_tokens} tokens left")]
    Grant {
        /// Tokens left below the limit.
        free_tokens: Tokens,
    },
    /// The grant suffices but the witnesses have not acknowledged enough of it.
    #[error("the witness has acknowledged {free_tokens} more tokens")]
    Horizon {
        /// Tokens left below the horizon.
        free_tokens: Tokens,
    },
}

/// Parameters of a holder's next ledger update.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpdateParams {
    /// Generation of the holder's list.
    pub generation: Generation,
    /// Prepaid amount in that list.
    pub paid_tokens: Tokens,
    /// Tokens to draw.
    pub draw_tokens: Tokens,
    /// Tokens to return to the ledger.
    pub return_tokens: Tokens,
    /// Witnesses from this update on.
    pub witnesses: WitnessSet,
}

/// One router process's share of one budget.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    id: HolderId,
    granted_tokens: Tokens,
    returned_tokens: Tokens,
    received: BTreeMap<HolderId, Tokens>,
    sent: BTreeMap<HolderId, Tokens>,
    spent_tokens: Tokens,
    reserved_tokens: Tokens,
    witnesses: WitnessSet,
    horizon_tokens: Tokens,
    far_horizon_tokens: Tokens,
    seq: u64,
    pending: Option<HolderUpdate>,
    row_sealed: bool,
    witness_sealed: bool,
    reports_send_sum: bool,
}

impl Holder {
    /// Creates a holder without a grant.
    ///
    /// ```
    /// use currantlever::{Holder, HolderId, Tokens};
    /// let mut holder = Holder::new(HolderId::new(1));
    /// assert!(holder.reserve(Tokens::new(1)).is_err());
    /// ```
    #[must_use]
    pub fn new(id: HolderId) -> Self {
        Self {
            id,
            granted_tokens: Tokens::ZERO,
            returned_tokens: Tokens::ZERO,
            received: BTreeMap::new(),
            sent: BTreeMap::new(),
            spent_tokens: Tokens::ZERO,
            reserved_tokens: Tokens::ZERO,
            witnesses: WitnessSet::default(),
            far_horizon_tokens: Tokens::ZERO,
            horizon_tokens: Tokens::ZERO,
            seq: 0,
            pending: None,
            row_sealed: false,
            witness_sealed: false,
            reports_send_sum: false,
        }
    }

    /// Makes updates report only the sum of all transfers to others, under the holder's own id, so
    /// that the row stays small. The row of such a holder cannot be reclaimed, only folded.
    #[must_use]
    pub const fn with_send_sum(mut self) -> Self {
        self.reports_send_sum = true;
        self
    }

    /// Returns the id of this holder.
    #[must_use]
    pub const fn id(&self) -> HolderId {
        self.id
    }

    /// Returns the witnesses of the last confirmed update, or before the first confirmation those
    /// of the pending update.
    ///
    /// Until the first update is confirmed, the ledger has either no witnesses, so that the grant
    /// cannot be reclaimed, or those of that update; their acknowledgement suffices in both cases.
    #[must_use]
    pub fn witnesses(&self) -> &WitnessSet {
        match &self.pending {
            Some(pending) if self.witnesses.is_empty() => &pending.witnesses,
            _ => &self.witnesses,
        }
    }

    /// Returns true once a reclaimer sealed the ledger row. Such a holder receives no further
    /// grants.
    #[must_use]
    pub const fn is_sealed(&self) -> bool {
        self.row_sealed
    }

    /// Returns true while a current witness refuses to extend the horizon, so that other witnesses
    /// are needed.
    #[must_use]
    pub const fn is_witness_sealed(&self) -> bool {
        self.witness_sealed
    }

    /// Returns the update whose outcome is not known yet.
    #[must_use]
    pub const fn pending(&self) -> Option<&HolderUpdate> {
        self.pending.as_ref()
    }

    /// Returns the cumulative tokens that the ledger has granted.
    #[must_use]
    pub const fn granted_tokens(&self) -> Tokens {
        self.granted_tokens
    }

    /// Returns the tokens spent on finished requests.
    #[must_use]
    pub const fn spent_tokens(&self) -> Tokens {
        self.spent_tokens
    }

    /// Returns the tokens reserved for requests in progress.
    #[must_use]
    pub const fn reserved_tokens(&self) -> Tokens {
        self.reserved_tokens
    }

    /// Returns the most that may be consumed according to the ledger and to transfers.
    #[must_use]
    pub fn limit_tokens(&self) -> Tokens {
        self.granted_tokens + self.total_received() - self.returned_tokens
    }

    /// Returns the tokens spent, sent or reserved.
    #[must_use]
    pub fn consumed_tokens(&self) -> Tokens {
        self.spent_tokens + self.total_sent() + self.reserved_tokens
    }

    /// Returns the unconsumed tokens below the limit.
    #[must_use]
    pub fn free_tokens(&self) -> Tokens {
        self.limit_tokens() - self.consumed_tokens()
    }

    /// Returns the tokens that can be reserved at once, below both limit and horizon.
    #[must_use]
    pub fn spendable_tokens(&self) -> Tokens {
        self.free_tokens()
            .min(self.horizon_tokens() - self.consumed_tokens())
    }

    /// Returns the consumption up to which no further acknowledgement is needed.
    ///
    /// Without a far witness the grant cannot be reclaimed, so only the limit applies.
    #[must_use]
    pub fn horizon_tokens(&self) -> Tokens {
        let has_no_horizon =
            self.witnesses.is_empty() && !self.row_sealed && !self.is_changing_witness();
        if has_no_horizon {
            return self.limit_tokens().max(self.horizon_tokens);
        }
        self.horizon_tokens
    }

    /// Reserves tokens for a request.
    ///
    /// # Errors
    ///
    /// Fails when the tokens exceed the limit or the horizon; the holder is unchanged then.
    pub fn reserve(&mut self, tokens: Tokens) -> Result<(), ReserveError> {
        let free_tokens = self.free_tokens();
        if tokens > free_tokens {
            return Err(ReserveError::Grant { free_tokens });
        }
        let acknowledged_tokens = self.horizon_tokens() - self.consumed_tokens();
        if tokens > acknowledged_tokens {
            return Err(ReserveError::Horizon {
                free_tokens: acknowledged_tokens,
            });
        }
        self.reserved_tokens += tokens;
        Ok(())
    }

    /// Ends a reservation and records its actual spend, never more than was reserved.
    pub fn settle(&mut self, reserved_tokens: Tokens, actual_tokens: Tokens) {
        self.reserved_tokens -= reserved_tokens;
        self.spent_tokens += actual_tokens.min(reserved_tokens);
    }

    /// Applies a witness's record.
    ///
    /// While a change of witnesses is pending, the horizon is not raised: the ledger may already
    /// list the next ones, with the current horizon as their floor.
    pub fn acknowledge(&mut self, witness: HolderId, record: WitnessRecord) {
        let is_far = self.witnesses().far.contains(&witness);
        let is_near = self.witnesses.near == Some(witness);
        let is_horizon_frozen = self.is_changing_witness() && !self.witnesses.is_empty();
        if !(is_far || is_near) || is_horizon_frozen {
            return;
        }
        let mut horizon_tokens = record.horizon_tokens;
        if is_far {
            self.far_horizon_tokens = self.far_horizon_tokens.max(horizon_tokens);
        } else {
            horizon_tokens = horizon_tokens.min(self.near_horizon_limit_tokens());
        }
        self.horizon_tokens = self.horizon_tokens.max(horizon_tokens);
        self.witness_sealed |= record.sealed;
    }

    /// Returns the highest horizon that the near witness may acknowledge now.
    #[must_use]
    pub fn near_horizon_limit_tokens(&self) -> Tokens {
        self.far_horizon_tokens + self.witnesses.near_allowance_tokens
    }

    /// Prepares the next ledger update, or returns the pending one to be repeated.
    ///
    /// Returned tokens cannot be spent from here on, whatever the outcome of the update.
    pub fn prepare_update(&mut self, params: &UpdateParams) -> HolderUpdate {
        if let Some(pending) = &self.pending {
            return pending.clone();
        }
        self.returned_tokens += params.return_tokens.min(self.free_tokens());
        if self.row_sealed || self.witnesses != params.witnesses {
            self.horizon_tokens = self.horizon_tokens().min(self.limit_tokens());
        }
        let update = HolderUpdate {
            holder: self.id,
            seq: self.seq + 1,
            generation: params.generation,
            paid_tokens: params.paid_tokens,
            draw_tokens: if self.row_sealed {
                Tokens::ZERO
            } else {
                params.draw_tokens
            },
            returned_tokens: self.returned_tokens,
            received_tokens: self.total_received(),
            sent: self.sends_to_report(),
            spent_tokens: self.spent_tokens,
            witnesses: self.next_witnesses(params),
            horizon_floor_tokens: self.horizon_tokens.min(self.limit_tokens()),
        };
        self.pending = Some(update.clone());
        update
    }

    /// Applies the ledger row as read after the pending update was tried.
    ///
    /// Returns true when the pending update was applied. A row that is older than the pending
    /// update does not prove that it failed, so the update stays pending and must be repeated.
    pub fn confirm(&mut self, row: &GrantRow) -> bool {
        if row.sealed {
            self.apply_seal(row);
        }
        let Some(pending) = self.pending.take_if(|pending| pending.seq <= row.seq) else {
            return false;
        };
        if self.witnesses != row.witnesses {
            self.witness_sealed = false;
            self.far_horizon_tokens = self.far_horizon_tokens.max(row.horizon_floor_tokens);
        }
        self.seq = pending.seq;
        self.granted_tokens = row.granted_tokens;
        self.witnesses.clone_from(&row.witnesses);
        true
    }

    /// Removes the draw from the pending update after the ledger rejected it.
    ///
    /// An in-flight copy of the update may still be applied; `confirm` takes the granted amount
    /// from the row.
    pub fn cancel_draw(&mut self) {
        if let Some(pending) = &mut self.pending {
            pending.draw_tokens = Tokens::ZERO;
        }
    }

    /// Debits a transfer to another holder and returns the cumulative amount to report to it.
    ///
    /// `already_received_tokens` is the cumulative amount that the receiver reports from this
    /// holder. While an earlier transfer has not arrived, its amount is repeated and nothing more
    /// is debited.
    pub fn send(
        &mut self,
        receiver: HolderId,
        already_received_tokens: Tokens,
        wanted_tokens: Tokens,
    ) -> Tokens {
        let sent_tokens = self.sent_to(receiver);
        if sent_tokens > already_received_tokens {
            return sent_tokens;
        }
        let debit_tokens = wanted_tokens.min(self.spendable_tokens());
        let total_tokens = sent_tokens + debit_tokens;
        if debit_tokens > Tokens::ZERO {
            self.sent.insert(receiver, total_tokens);
        }
        total_tokens
    }

    /// Returns the cumulative tokens transferred to one holder.
    #[must_use]
    pub fn sent_to(&self, receiver: HolderId) -> Tokens {
        self.sent.get(&receiver).copied().unwrap_or_default()
    }

    /// Credits the cumulative amount that another holder reports as sent. Repeats change nothing.
    pub fn receive(&mut self, sender: HolderId, total_tokens: Tokens) {
        let received = self.received.entry(sender).or_default();
        *received = (*received).max(total_tokens);
    }

    /// Iterates over the holders that transferred tokens to this one, in the order of their ids.
    pub fn senders(&self) -> impl Iterator<Item = HolderId> + '_ {
        self.received.keys().copied()
    }

    /// Returns the cumulative tokens received from one holder.
    #[must_use]
    pub fn received_from(&self, sender: HolderId) -> Tokens {
        self.received.get(&sender).copied().unwrap_or_default()
    }

    /// Returns true when no tokens are reserved or free.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.reserved_tokens == Tokens::ZERO && self.free_tokens() == Tokens::ZERO
    }

    fn sends_to_report(&self) -> BTreeMap<HolderId, Tokens> {
        if !self.reports_send_sum {
            return self.sent.clone();
        }
        let sum = Some(self.total_sent()).filter(|sum| !sum.is_zero());
        sum.map(|sum| (self.id, sum)).into_iter().collect()
    }

    fn next_witnesses(&self, params: &UpdateParams) -> WitnessSet {
        if self.row_sealed {
            return self.witnesses.clone();
        }
        params.witnesses.clone()
    }

    fn apply_seal(&mut self, row: &GrantRow) {
        self.row_sealed = true;
        self.returned_tokens = self.returned_tokens.max(row.returned_tokens);
        if let Some(pending) = &mut self.pending {
            pending.draw_tokens = Tokens::ZERO;
            pending.returned_tokens = self.returned_tokens;
            pending.witnesses.clone_from(&row.witnesses);
        }
    }

    fn is_changing_witness(&self) -> bool {
        self.pending
            .as_ref()
            .is_some_and(|pending| pending.witnesses != self.witnesses)
    }

    fn total_received(&self) -> Tokens {
        self.received.values().copied().sum()
    }

    fn total_sent(&self) -> Tokens {
        self.sent.values().copied().sum()
    }
}
