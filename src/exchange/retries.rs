//! Whether a run may send its request to one more replica.

use thiserror::Error;
use tokio::time::Instant;

use super::request::RejectKind;
use super::run::{Run, MIN_TIME_LEFT};

/// Why a run may not send its request once more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum NoRetry {
    /// The request was sent to as many replicas as its route allows.
    #[error("max_attempts of the route are used up")]
    TriesUsedUp,
    /// The prompt may crash another server.
    #[error("the prompt may have crashed a server")]
    PromptInDoubt,
    /// The deadline is too close.
    #[error("no time left")]
    NoTimeLeft,
    /// This router's share of the retry budget is used up.
    #[error("the retry budget is used up")]
    BudgetUsedUp,
}

/// Why a stream was not resumed at another replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum NotResumed {
    /// The route does not allow it.
    #[error("the route does not allow it")]
    NotResumable,
    /// No event with an id was received.
    #[error("no event id was received")]
    NoEventId,
    /// The version that began it is unknown, or no replica in service has it.
    #[error("its version is unknown or gone")]
    VersionUnavailable,
    /// No further try is allowed.
    #[error("no further try: {0}")]
    NoRetry(#[from] NoRetry),
    /// No replica was found, or all refused.
    #[error("no replica took it: {0}")]
    Rejected(RejectKind),
    /// The route's time was over before the first event.
    #[error("no event in time")]
    NoEventInTime,
}

impl Run {
    /// Takes one retry from the retry budget.
    ///
    /// # Errors
    ///
    /// Returns the reason if no further try is allowed, in particular if the prompt may crash another
    /// server.
    pub(super) fn take_retry(&self) -> Result<(), NoRetry> {
        let suspects = &self.exchange.suspects;
        if self.sent_count >= self.route.max_tries {
            return Err(NoRetry::TriesUsedUp);
        }
        if !self.has_first_token && suspects.parts().is_in_doubt(&self.parts) {
            return Err(NoRetry::PromptInDoubt);
        }
        if Instant::now() + MIN_TIME_LEFT >= self.deadline {
            return Err(NoRetry::NoTimeLeft);
        }
        if !self.exchange.pools.try_retry(&self.pool) {
            return Err(NoRetry::BudgetUsedUp);
        }
        Ok(())
    }
}
