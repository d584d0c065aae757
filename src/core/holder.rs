//! The holder's side of one grant: what a router process may still spend of one budget.
//!
//! Consumption is `spent + sent + reserved`. It is bounded twice: by the limit that the ledger
//! granted, and by the horizon that any one of its witnesses acknowledged. Both are enforced in
//! memory, so a reservation makes no call.

use std::collections::BTreeMap;

use thiserror::Error;

use super::ids::HolderId;
use super::ledger::{Generation, GrantRow, HolderUpdate, WitnessSet};
use super::units::Tokens;
use super::witness::WitnessRecord;

/// Why a reservation was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ReserveError {
    /// The grant is too small. More may be drawn from the ledger or from another holder.
    #[error("the grant has {free_tokens} tokens left")]
    Grant {
        /// Tokens left below the limit.
        free_tokens: Tokens,
    },
    /// The grant suffices but the witness has not acknowledged enough of it.
    #[error("the witness has acknowledged {free_tokens} more tokens")]
    Horizon {
        /// Tokens left below the horizon.
        free_tokens: Tokens,
    },
}

/// What a holder asks of the ledger when it prepares an update.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpdateWish {
    /// Generation of the list that the holder has.
    pub generation: Generation,
    /// Prepaid amount in that list.
    pub paid_tokens: Tokens,
    /// Tokens to draw.
    pub draw_tokens: Tokens,
    /// Tokens to give back.
    pub return_tokens: Tokens,
    /// Witnesses from now on.
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
    sums_sends: bool,
}

impl Holder {
    /// A holder that was granted nothing yet.
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
            sums_sends: false,
        }
    }

    /// Reports only the sum of what was handed to others, under the holder's own id, so that the
    /// row stays small. The row of such a holder cannot be reclaimed, only folded.
    #[must_use]
    pub const fn with_summed_sends(mut self) -> Self {
        self.sums_sends = true;
        self
    }

    /// The process start that this share belongs to.
    #[must_use]
    pub const fn id(&self) -> HolderId {
        self.id
    }

    /// The witnesses by the last confirmed update, or before the first one those that it names.
    ///
    /// Until the first update is confirmed the ledger names either nobody, so that nobody can
    /// reclaim, or the witnesses of that update; their acknowledgement is enough in both cases.
    #[must_use]
    pub fn witnesses(&self) -> &WitnessSet {
        match &self.pending {
            Some(pending) if self.witnesses.is_empty() => &pending.witnesses,
            _ => &self.witnesses,
        }
    }

    /// True once the ledger row was sealed by a reclaimer. Such a holder gets no further grants.
    #[must_use]
    pub const fn is_sealed(&self) -> bool {
        self.row_sealed
    }

    /// True while a present witness refuses to extend the horizon, so that others are needed.
    #[must_use]
    pub const fn is_witness_sealed(&self) -> bool {
        self.witness_sealed
    }

    /// The update whose outcome is not known yet.
    #[must_use]
    pub const fn pending(&self) -> Option<&HolderUpdate> {
        self.pending.as_ref()
    }

    /// Tokens spent on finished requests.
    #[must_use]
    pub const fn spent_tokens(&self) -> Tokens {
        self.spent_tokens
    }

    /// Tokens reserved for requests in progress.
    #[must_use]
    pub const fn reserved_tokens(&self) -> Tokens {
        self.reserved_tokens
    }

    /// The most that may be consumed by the ledger and by transfers.
    #[must_use]
    pub fn limit_tokens(&self) -> Tokens {
        self.granted_tokens + self.total_received() - self.returned_tokens
    }

    /// Tokens spent, sent or reserved.
    #[must_use]
    pub fn consumed_tokens(&self) -> Tokens {
        self.spent_tokens + self.total_sent() + self.reserved_tokens
    }

    /// Tokens below the limit that nothing has a claim on.
    #[must_use]
    pub fn free_tokens(&self) -> Tokens {
        self.limit_tokens() - self.consumed_tokens()
    }

    /// Tokens that can be reserved at once, below both limit and horizon.
    #[must_use]
    pub fn spendable_tokens(&self) -> Tokens {
        self.free_tokens()
            .min(self.horizon_tokens() - self.consumed_tokens())
    }

    /// The consumption up to which no further acknowledgement is needed.
    ///
    /// Without a witness nobody can reclaim the grant, so the limit alone binds.
    #[must_use]
    pub fn horizon_tokens(&self) -> Tokens {
        let is_unbound =
            self.witnesses.is_empty() && !self.row_sealed && !self.is_changing_witness();
        if is_unbound {
            return self.limit_tokens().max(self.horizon_tokens);
        }
        self.horizon_tokens
    }

    /// Sets tokens aside for a request.
    ///
    /// # Errors
    ///
    /// Fails when the limit or the horizon is too near; nothing is changed then.
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

    /// Ends a reservation and books what was spent of it, never more than was reserved.
    pub fn settle(&mut self, reserved_tokens: Tokens, actual_tokens: Tokens) {
        self.reserved_tokens -= reserved_tokens;
        self.spent_tokens += actual_tokens.min(reserved_tokens);
    }

    /// Takes in a witness's record.
    ///
    /// While a change of witnesses is pending the horizon stands still: the ledger may already
    /// name the next ones, with the present horizon as their floor.
    pub fn acknowledge(&mut self, witness: HolderId, record: WitnessRecord) {
        let is_far = self.witnesses().far.contains(&witness);
        let is_near = self.witnesses.near == Some(witness);
        let is_frozen = self.is_changing_witness() && !self.witnesses.is_empty();
        if !(is_far || is_near) || is_frozen {
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

    /// The highest horizon that the near witness may acknowledge now.
    #[must_use]
    pub fn near_horizon_limit_tokens(&self) -> Tokens {
        self.far_horizon_tokens + self.witnesses.near_allowance_tokens
    }

    /// Prepares the next ledger update, or repeats the one whose outcome is not known.
    ///
    /// Tokens given back are out of reach from here on, whatever becomes of the update.
    pub fn prepare_update(&mut self, wish: &UpdateWish) -> HolderUpdate {
        if let Some(pending) = &self.pending {
            return pending.clone();
        }
        self.returned_tokens += wish.return_tokens.min(self.free_tokens());
        if self.row_sealed || self.witnesses != wish.witnesses {
            self.horizon_tokens = self.horizon_tokens().min(self.limit_tokens());
        }
        let update = HolderUpdate {
            holder: self.id,
            seq: self.seq + 1,
            generation: wish.generation,
            paid_tokens: wish.paid_tokens,
            draw_tokens: if self.row_sealed {
                Tokens::ZERO
            } else {
                wish.draw_tokens
            },
            returned_tokens: self.returned_tokens,
            received_tokens: self.total_received(),
            sent: self.reported_sends(),
            spent_tokens: self.spent_tokens,
            witnesses: self.next_witnesses(wish),
            horizon_floor_tokens: self.horizon_tokens.min(self.limit_tokens()),
        };
        self.pending = Some(update.clone());
        update
    }

    /// Takes in the row as the ledger has it after the pending update was tried.
    ///
    /// Returns true when the pending update took effect. A row that is older than the pending
    /// update proves nothing yet, so the update stays pending and is to be repeated.
    pub fn confirm(&mut self, row: &GrantRow) -> bool {
        if row.sealed {
            self.learn_sealed(row);
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

    /// Takes the draw out of the pending update, after the ledger refused it.
    ///
    /// A copy of the update that is still under way may apply all the same; `confirm` takes what
    /// was granted from the row.
    pub fn abandon_draw(&mut self) {
        if let Some(pending) = &mut self.pending {
            pending.draw_tokens = Tokens::ZERO;
        }
    }

    /// Debits tokens for another holder and returns the cumulative amount to tell it.
    ///
    /// `already_received_tokens` is what the receiver says it has from this holder. Where an
    /// earlier transfer has not arrived, its amount is told again and nothing more is debited.
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

    /// Cumulative tokens handed to one holder.
    #[must_use]
    pub fn sent_to(&self, receiver: HolderId) -> Tokens {
        self.sent.get(&receiver).copied().unwrap_or_default()
    }

    /// Credits the cumulative amount that another holder says it sent. Repeats change nothing.
    pub fn receive(&mut self, sender: HolderId, total_tokens: Tokens) {
        let received = self.received.entry(sender).or_default();
        *received = (*received).max(total_tokens);
    }

    /// The holders that handed over tokens, in the order of their ids.
    pub fn senders(&self) -> impl Iterator<Item = HolderId> + '_ {
        self.received.keys().copied()
    }

    /// Cumulative tokens received from one holder.
    #[must_use]
    pub fn received_from(&self, sender: HolderId) -> Tokens {
        self.received.get(&sender).copied().unwrap_or_default()
    }

    /// True when nothing is reserved, free or unreported.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.reserved_tokens == Tokens::ZERO && self.free_tokens() == Tokens::ZERO
    }

    fn reported_sends(&self) -> BTreeMap<HolderId, Tokens> {
        if !self.sums_sends {
            return self.sent.clone();
        }
        let sum = Some(self.total_sent()).filter(|sum| !sum.is_zero());
        sum.map(|sum| (self.id, sum)).into_iter().collect()
    }

    fn next_witnesses(&self, wish: &UpdateWish) -> WitnessSet {
        if self.row_sealed {
            return self.witnesses.clone();
        }
        wish.witnesses.clone()
    }

    fn learn_sealed(&mut self, row: &GrantRow) {
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
