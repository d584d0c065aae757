//! One budget as this router process holds it.

use std::sync::Arc;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::core::holder::{Holder, ReserveError, UpdateWish};
use crate::core::ids::HolderId;
use crate::core::ledger::{Generation, HolderUpdate, LedgerError};
use crate::core::policy::{near_allowance, DemandMeter, GrantView};
use crate::core::units::Tokens;
use crate::router::fleet::ADDRESS_COUNT;
use crate::router::ledger_client::{EntryView, LedgerAnswer, OtherHolder};

/// Horizons reach this many times the largest recent request ahead.
const HORIZON_REQUESTS: u64 = 4;
/// Horizons reach this many seconds of demand ahead.
const HORIZON_S: u64 = 2;

/// Tokens set aside for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reserved {
    /// The holder that set them aside.
    pub holder: HolderId,
    /// How many.
    pub tokens: Tokens,
}

/// One budget as this router process holds it.
#[derive(Debug)]
pub(super) struct Account {
    current: Holder,
    former: Vec<Holder>,
    demand: DemandMeter,
    available_tokens: Tokens,
    charged_tokens: Tokens,
    ledger_paid_tokens: Tokens,
    ledger_generation: Generation,
    others: Vec<OtherHolder>,
    reported_spent_tokens: Tokens,
    pub(super) refused: Option<Refused>,
    pub(super) freed: Arc<Notify>,
    pub(super) turn: Arc<tokio::sync::Mutex<()>>,
}

/// A recent vain search for tokens.
#[derive(Clone, Copy, Debug)]
pub(super) struct Refused {
    pub(super) at: Instant,
    pub(super) tokens: Tokens,
}

impl Account {
    pub(super) fn new(holder: HolderId) -> Self {
        Self {
            current: Holder::new(holder),
            former: Vec::new(),
            demand: DemandMeter::default(),
            available_tokens: Tokens::ZERO,
            charged_tokens: Tokens::ZERO,
            ledger_paid_tokens: Tokens::ZERO,
            ledger_generation: 0,
            others: Vec::new(),
            reported_spent_tokens: Tokens::ZERO,
            refused: None,
            freed: Arc::default(),
            turn: Arc::default(),
        }
    }

    pub(super) fn holder(&self) -> &Holder {
        &self.current
    }

    pub(super) fn holder_mut(&mut self) -> &mut Holder {
        &mut self.current
    }

    pub(super) fn others(&self) -> &[OtherHolder] {
        &self.others
    }

    pub(super) fn available_tokens(&self) -> Tokens {
        self.available_tokens
    }

    pub(super) fn reserve(&mut self, tokens: Tokens) -> Result<Reserved, ReserveError> {
        self.current.reserve(tokens)?;
        self.demand.note(tokens);
        Ok(Reserved {
            holder: self.current.id(),
            tokens,
        })
    }

    pub(super) fn note_unmet(&mut self, tokens: Tokens) {
        self.demand.note(tokens);
    }

    pub(super) fn settle(&mut self, reserved: Reserved, actual_tokens: Tokens) {
        let holders = std::iter::once(&mut self.current).chain(&mut self.former);
        for holder in holders {
            if holder.id() == reserved.holder {
                holder.settle(reserved.tokens, actual_tokens);
                break;
            }
        }
        self.refused = None;
        self.freed.notify_waiters();
    }

    /// The incarnation of a process from which the current holder last received tokens.
    pub(super) fn sender_of(&self, process: HolderId) -> Option<HolderId> {
        self.current
            .senders()
            .filter(|sender| sender.process() == process)
            .last()
    }

    pub(super) fn received_from_process(&self, process: HolderId) -> Tokens {
        self.sender_of(process)
            .map_or(Tokens::ZERO, |sender| self.current.received_from(sender))
    }

    /// Credits tokens to the holder that asked for them, which may have been succeeded meanwhile.
    pub(super) fn receive(&mut self, receiver: HolderId, sender: HolderId, total_tokens: Tokens) {
        let holders = std::iter::once(&mut self.current).chain(&mut self.former);
        for holder in holders {
            if holder.id() == receiver {
                holder.receive(sender, total_tokens);
            }
        }
        self.freed.notify_waiters();
    }

    pub(super) fn end_interval(&mut self, interval_ms: u64) {
        self.demand.end_interval(interval_ms);
    }

    pub(super) fn view(&self, paid_tokens: Tokens) -> GrantView {
        GrantView {
            available_tokens: self.available_tokens,
            others_free_tokens: self.others.iter().map(|other| other.unspent_tokens).sum(),
            paid_tokens,
            charged_tokens: self.charged_tokens,
            free_tokens: self.current.free_tokens(),
            reserved_tokens: self.current.reserved_tokens(),
            demand_tokens_per_s: self.demand.tokens_per_s(),
            largest_request_tokens: self.demand.largest_tokens(),
            holder_count: (self.others.len() as u64 + 1).max(ADDRESS_COUNT as u64),
        }
    }

    /// True when newer lists lower the prepaid amount and the ledger was not read under them.
    pub(super) fn is_plan_lowered(&self, generation: Generation, paid_tokens: Tokens) -> bool {
        generation > self.ledger_generation && paid_tokens < self.ledger_paid_tokens
    }

    pub(super) fn is_spent_unreported(&self) -> bool {
        self.current.spent_tokens() > self.reported_spent_tokens
    }

    pub(super) fn has_pending(&self) -> bool {
        self.current.pending().is_some()
    }

    /// True when nothing of the account is needed any more.
    pub(super) fn is_forgettable(&self) -> bool {
        self.former.is_empty()
            && self.current.limit_tokens() == Tokens::ZERO
            && self.demand.tokens_per_s() == 0
            && !self.has_pending()
            && self.current.consumed_tokens() == Tokens::ZERO
    }

    pub(super) fn prepare(&mut self, wish: &UpdateWish) -> HolderUpdate {
        self.current.prepare_update(wish)
    }

    /// Updates by which former incarnations report what they spent and give back the rest.
    pub(super) fn prepare_former(
        &mut self,
        generation: Generation,
        paid_tokens: Tokens,
    ) -> Vec<HolderUpdate> {
        let prepare = |holder: &mut Holder| {
            let wish = UpdateWish {
                generation,
                paid_tokens,
                draw_tokens: Tokens::ZERO,
                return_tokens: holder.free_tokens(),
                witnesses: holder.witnesses().clone(),
            };
            holder.prepare_update(&wish)
        };
        self.former.iter_mut().map(prepare).collect()
    }

    pub(super) fn take_in(&mut self, update: &HolderUpdate, answer: &LedgerAnswer) {
        if update.holder != self.current.id() {
            self.take_in_former(update.holder, &answer.view);
            return;
        }
        self.available_tokens = answer.view.available_tokens;
        self.charged_tokens = answer.view.charged_tokens;
        self.ledger_paid_tokens = answer.view.paid_tokens;
        self.ledger_generation = update.generation;
        self.others.clone_from(&answer.view.others);
        if self.current.confirm(&answer.view.row) {
            self.reported_spent_tokens = update.spent_tokens;
        } else if matches!(answer.refusal, Some(LedgerError::StaleList { .. })) {
            self.current.abandon_draw();
        }
        if self.current.is_sealed() {
            self.start_incarnation();
        }
        self.freed.notify_waiters();
    }

    fn take_in_former(&mut self, id: HolderId, view: &EntryView) {
        for holder in &mut self.former {
            if holder.id() == id {
                holder.confirm(&view.row);
            }
        }
        self.former
            .retain(|holder| !holder.is_idle() || holder.pending().is_some());
    }

    fn start_incarnation(&mut self) {
        let next = Holder::new(self.current.id().next_incarnation());
        let former = std::mem::replace(&mut self.current, next);
        self.former.push(former);
        self.reported_spent_tokens = Tokens::ZERO;
    }

    /// What the near witness may acknowledge while the failure domain is cut off.
    pub(super) fn near_allowance(&self) -> Tokens {
        near_allowance(self.current.limit_tokens(), &self.demand)
    }

    /// True when demand has grown far beyond the allowance in the ledger.
    pub(super) fn is_allowance_small(&self) -> bool {
        let present_tokens = self.current.witnesses().near_allowance_tokens;
        self.current.witnesses().near.is_some()
            && present_tokens < self.near_allowance().scaled(1, 2)
    }

    /// The horizon that should be acknowledged, if it is higher than the present one by enough.
    pub(super) fn wanted_horizon(&self, needed_tokens: Tokens) -> Option<Tokens> {
        let holder = &self.current;
        if holder.witnesses().is_empty() || holder.is_witness_sealed() {
            return None;
        }
        let requests_tokens = self.demand.largest_tokens().scaled(HORIZON_REQUESTS, 1);
        let seconds_tokens = Tokens::new(self.demand.tokens_per_s().saturating_mul(HORIZON_S));
        let ahead_tokens = requests_tokens.max(seconds_tokens).max(needed_tokens);
        let wanted_tokens = (holder.consumed_tokens() + ahead_tokens).min(holder.limit_tokens());
        let rest_tokens = holder.horizon_tokens() - holder.consumed_tokens();
        let is_low = rest_tokens < ahead_tokens.scaled(1, 2) || rest_tokens < needed_tokens;
        (is_low && wanted_tokens > holder.horizon_tokens()).then_some(wanted_tokens)
    }
}
