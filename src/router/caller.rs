//! The caller of a request, and the billing of its run.

use std::sync::Arc;
use std::time::Duration;

use slog::warn;
use tokio::time::Instant;

use super::spending::Reservation;
use super::Router;
use crate::backend::chat::Usage;
use crate::catalog::Account;
use crate::core::bill::{Bill, RunEnd};
use crate::core::ids::{BudgetId, RequestId};
use crate::core::units::Tokens;
use crate::telemetry::SpanParent;

/// Timeout for a bill to become durable. The bill stays queued after it.
const BILL_DURABLE_TIMEOUT: Duration = Duration::from_secs(10);

/// The caller's identity and options for one request.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The team and its plan.
    pub account: Arc<Account>,
    /// The budget charged.
    pub budget: BudgetId,
    /// The request's id.
    pub request: RequestId,
    /// True when the caller supplied the request's id, so that the request may be repeated.
    pub has_supplied_id: bool,
    /// Latest time for the first token.
    pub deadline: Instant,
    /// Trace context received from the caller.
    pub parent: SpanParent,
}

impl Router {
    /// Settles the tokens spent by a run, queues its bill and returns the bill's number.
    pub(super) fn charge(
        &self,
        caller: &Caller,
        reservation: Reservation,
        usage: Usage,
        end: RunEnd,
    ) -> u64 {
        let number = self.biller.add(|run| Bill {
            run,
            team: caller.account.team.team.clone(),
            budget: caller.budget.clone(),
            request: caller.request.clone(),
            end,
            prompt_tokens: Tokens::new(usage.prompt_tokens),
            completion_tokens: Tokens::new(usage.completion_tokens),
        });
        let spent_tokens = Tokens::new(usage.total_tokens);
        self.spender
            .settle(&caller.budget, reservation, spent_tokens);
        number
    }

    /// Waits until a bill is durable, so that the end of its answer may be sent.
    ///
    /// On timeout it logs a warning and returns.
    pub(super) async fn wait_bill_durable(&self, caller: &Caller, number: u64) {
        let durable = self.biller.wait_durable(number);
        if tokio::time::timeout(BILL_DURABLE_TIMEOUT, durable)
            .await
            .is_err()
        {
            warn!(self.log, "timed out waiting for a durable bill; sending the end of the answer";
                "request" => caller.request.as_str());
        }
    }
}
