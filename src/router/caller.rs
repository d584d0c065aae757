//! Who sends a request, and how it is paid for.

use std::sync::Arc;
use std::time::Duration;

use slog::warn;
use tokio::time::Instant;

use super::spending::Reserved;
use super::Router;
use crate::backend::chat::Usage;
use crate::catalog::Account;
use crate::core::bill::{Bill, RunEnd};
use crate::core::ids::{BudgetId, RequestId};
use crate::core::units::Tokens;
use crate::telemetry::SpanParent;

/// Longest wait for a bill to become durable. It stays queued after that.
const BILL_WAIT: Duration = Duration::from_secs(10);

/// What goes with a caller's request.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The team and its plan.
    pub account: Arc<Account>,
    /// The budget drawn on.
    pub budget: BudgetId,
    /// The request's id.
    pub request: RequestId,
    /// True when the caller named the request, so that it may come again.
    pub is_named: bool,
    /// Latest time for the first token.
    pub deadline: Instant,
    /// The caller's trace.
    pub parent: SpanParent,
}

impl Router {
    /// Books what a run spent, queues its bill and returns the bill's number.
    pub(super) fn book(
        &self,
        caller: &Caller,
        reserved: Reserved,
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
        self.spender.settle(&caller.budget, reserved, spent_tokens);
        number
    }

    /// Waits until a bill is durable, so that the end of its answer may be released.
    pub(super) async fn wait_billed(&self, caller: &Caller, number: u64) {
        let is_durable = self.biller.wait_durable(number);
        if tokio::time::timeout(BILL_WAIT, is_durable).await.is_err() {
            warn!(self.log, "answer released before its bill is durable";
                "request" => caller.request.as_str());
        }
    }
}
