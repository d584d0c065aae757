//! State of one budget in a router process.

use std::sync::Arc;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::core::holder::{Holder, ReserveError, UpdateParams};
use crate::core::ids::HolderId;
use crate::core::ledger::{Generation, HolderUpdate, LedgerError};
use crate::core::policy::GrantView;
use crate::core::share::BudgetShare;
use crate::core::units::Tokens;
use crate::router::ledger_client::{EntryView, LedgerAnswer, OtherHolder};

/// Tokens reserved for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// The holder that reserved them.
    pub holder: HolderId,
    /// Reserved tokens.
    pub tokens: Tokens,
}

/// A router process's grant of one budget, with its former incarnations.
#[derive(Debug)]
pub(super) struct Account {
    share: BudgetShare,
    former: Vec<Holder>,
    ledger_paid_tokens: Tokens,
    ledger_generation: Generation,
    others: Vec<OtherHolder>,
    reported_spent_tokens: Tokens,
    pub(super) recent_refusal: Option<RecentRefusal>,
    pub(super) availability_changed: Arc<Notify>,
    pub(super) slow_path_lock: Arc<tokio::sync::Mutex<()>>,
}

/// The last reservation that was refused for lack of tokens.
#[derive(Clone, Copy, Debug)]
pub(super) struct RecentRefusal {
    pub(super) at: Instant,
    pub(super) tokens: Tokens,
}

impl Account {
    pub(super) fn new(holder: HolderId) -> Self {
        Self {
            share: BudgetShare::new(holder),
            former: Vec::new(),
            ledger_paid_tokens: Tokens::ZERO,
            ledger_generation: 0,
            others: Vec::new(),
            reported_spent_tokens: Tokens::ZERO,
            recent_refusal: None,
            availability_changed: Arc::default(),
            slow_path_lock: Arc::default(),
        }
    }

    pub(super) fn holder(&self) -> &Holder {
        self.share.holder()
    }

    pub(super) fn share(&self) -> &BudgetShare {
        &self.share
    }

    pub(super) fn holder_mut(&mut self) -> &mut Holder {
        self.share.holder_mut()
    }

    pub(super) fn others(&self) -> &[OtherHolder] {
        &self.others
    }

    pub(super) fn available_tokens(&self) -> Tokens {
        self.share.totals().available_tokens
    }

    pub(super) fn reserve(&mut self, tokens: Tokens) -> Result<Reservation, ReserveError> {
        self.share.holder_mut().reserve(tokens)?;
        self.share.demand_mut().record(tokens);
        Ok(Reservation {
            holder: self.share.holder().id(),
            tokens,
        })
    }

    pub(super) fn record_unmet_demand(&mut self, tokens: Tokens) {
        self.share.demand_mut().record(tokens);
    }

    pub(super) fn settle(&mut self, reservation: Reservation, actual_tokens: Tokens) {
        let holders = std::iter::once(self.share.holder_mut()).chain(&mut self.former);
        for holder in holders {
            if holder.id() == reservation.holder {
                holder.settle(reservation.tokens, actual_tokens);
                break;
            }
        }
        self.recent_refusal = None;
        self.availability_changed.notify_waiters();
    }

    /// Returns the incarnation of a process from which the current holder last received tokens.
    pub(super) fn sender_of(&self, process: HolderId) -> Option<HolderId> {
        self.share
            .holder()
            .senders()
            .filter(|sender| sender.process() == process)
            .last()
    }

    pub(super) fn received_from_process(&self, process: HolderId) -> Tokens {
        self.sender_of(process).map_or(Tokens::ZERO, |sender| {
            self.share.holder().received_from(sender)
        })
    }

    /// Credits tokens to the holder that requested them, which may be a former incarnation by now.
    pub(super) fn receive(&mut self, receiver: HolderId, sender: HolderId, total_tokens: Tokens) {
        let holders = std::iter::once(self.share.holder_mut()).chain(&mut self.former);
        for holder in holders {
            if holder.id() == receiver {
                holder.receive(sender, total_tokens);
            }
        }
        self.availability_changed.notify_waiters();
    }

    pub(super) fn end_interval(&mut self, interval_ms: u64) {
        self.share.demand_mut().end_interval(interval_ms);
    }

    pub(super) fn view(&self, paid_tokens: Tokens) -> GrantView {
        self.share.view(paid_tokens)
    }

    /// Returns true if newer lists lower the prepaid amount and the ledger was not read since they
    /// came into force.
    pub(super) fn is_plan_lowered(&self, generation: Generation, paid_tokens: Tokens) -> bool {
        generation > self.ledger_generation && paid_tokens < self.ledger_paid_tokens
    }

    pub(super) fn has_unreported_spend(&self) -> bool {
        self.share.holder().spent_tokens() > self.reported_spent_tokens
    }

    pub(super) fn has_pending(&self) -> bool {
        self.share.holder().pending().is_some()
    }

    /// Returns true if the account holds no state that is still needed.
    pub(super) fn is_removable(&self) -> bool {
        self.former.is_empty() && self.share.is_unused()
    }

    pub(super) fn prepare(&mut self, update_request: &UpdateParams) -> HolderUpdate {
        self.share.holder_mut().prepare_update(update_request)
    }

    /// Returns updates that report the former incarnations' spending and return their free tokens.
    pub(super) fn prepare_former(
        &mut self,
        generation: Generation,
        paid_tokens: Tokens,
    ) -> Vec<HolderUpdate> {
        let prepare = |holder: &mut Holder| {
            let update_request = UpdateParams {
                generation,
                paid_tokens,
                draw_tokens: Tokens::ZERO,
                return_tokens: holder.free_tokens(),
                witnesses: holder.witnesses().clone(),
            };
            holder.prepare_update(&update_request)
        };
        self.former.iter_mut().map(prepare).collect()
    }

    pub(super) fn apply_answer(&mut self, update: &HolderUpdate, answer: &LedgerAnswer) {
        if update.holder != self.share.holder().id() {
            self.apply_former_answer(update.holder, &answer.view);
            return;
        }
        self.share.set_totals(answer.view.totals);
        self.ledger_paid_tokens = answer.view.paid_tokens;
        self.ledger_generation = update.generation;
        self.others.clone_from(&answer.view.others);
        if self.share.holder_mut().confirm(&answer.view.row) {
            self.reported_spent_tokens = update.spent_tokens;
        } else if matches!(answer.refusal, Some(LedgerError::StaleList { .. })) {
            self.share.holder_mut().cancel_draw();
        }
        if self.share.holder().is_sealed() {
            self.start_incarnation();
        }
        self.availability_changed.notify_waiters();
    }

    fn apply_former_answer(&mut self, id: HolderId, view: &EntryView) {
        for holder in &mut self.former {
            if holder.id() == id {
                holder.confirm(&view.row);
            }
        }
        self.former
            .retain(|holder| !holder.is_idle() || holder.pending().is_some());
    }

    fn start_incarnation(&mut self) {
        let next = self.share.holder().id().next_incarnation();
        let former = self.share.replace_holder(next);
        self.former.push(former);
        self.reported_spent_tokens = Tokens::ZERO;
    }
}
