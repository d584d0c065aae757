//! Typed refusals. Each states whether the request ran.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};
use thiserror::Error;

use super::spending::SpendError;
use crate::backend::BackendError;

/// What is known about the run of a refused request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum RunState {
    /// No byte of the request can have reached a backend server.
    NotRun,
    /// The same request is in progress, at this router or another.
    RunningElsewhere,
    /// An earlier run of the request completed.
    Done,
    /// The request may have run.
    OutcomeUnknown,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalKind {
    /// The key is missing or belongs to no team.
    UnknownKey,
    /// The request is not well formed.
    BadRequest,
    /// The body exceeds the router's size limit.
    BodyTooLarge,
    /// The body was not received in time.
    BodyTooSlow,
    /// The router has no memory left for the body.
    BodyOutOfMemory,
    /// The plan does not include the model or service.
    NotInPlan,
    /// The budget has too few tokens left.
    BudgetExhausted,
    /// The budget may have more tokens, but they cannot be reached now.
    BudgetOutOfReach,
    /// The pool has no free capacity before the deadline.
    Overloaded,
    /// No replica of the pool is in service.
    NoReplica,
    /// The request crashed replicas and is not run again.
    Quarantined,
    /// The same request is running or has run.
    Duplicate,
    /// A non-idempotent request cannot be claimed, because the platform is out of reach.
    ClaimOutOfReach,
    /// The backend server failed.
    BackendFailed,
    /// This router has no accepted lists yet.
    NotReady,
}

/// A refusal, as reported to the caller.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{kind}: {message}")]
pub struct Refusal {
    /// Why the request was refused.
    pub kind: RefusalKind,
    /// What is known about the request's run.
    pub run: RunState,
    /// Human-readable explanation.
    pub message: String,
    /// Time after which a retry may succeed; `None` when a retry cannot help.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal of a request that did not run.
    #[must_use]
    pub fn new<T>(kind: RefusalKind, message: T) -> Self
    where
        T: Into<String>,
    {
        Self {
            kind,
            run: RunState::NotRun,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Sets the run state.
    #[must_use]
    pub const fn with_run(mut self, run: RunState) -> Self {
        self.run = run;
        self
    }

    /// Sets the time after which the caller may retry.
    #[must_use]
    pub const fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Returns the HTTP status.
    #[must_use]
    pub const fn status(&self) -> u16 {
        match self.kind {
            RefusalKind::UnknownKey => 401,
            RefusalKind::BadRequest => 400,
            RefusalKind::BodyTooLarge => 413,
            RefusalKind::BodyTooSlow => 408,
            RefusalKind::NotInPlan => 403,
            RefusalKind::BudgetExhausted => 402,
            RefusalKind::Overloaded => 429,
            RefusalKind::Quarantined => 422,
            RefusalKind::Duplicate => 409,
            RefusalKind::BackendFailed => 502,
            RefusalKind::BodyOutOfMemory
            | RefusalKind::BudgetOutOfReach
            | RefusalKind::NoReplica
            | RefusalKind::ClaimOutOfReach
            | RefusalKind::NotReady => 503,
        }
    }
}

/// Retry-After while the platform is out of reach.
const PLATFORM_RETRY: Duration = Duration::from_secs(2);

impl From<SpendError> for Refusal {
    fn from(error: SpendError) -> Self {
        let message = error.to_string();
        match error {
            SpendError::UnknownBudget { .. } => Self::new(RefusalKind::NotInPlan, message),
            SpendError::Exhausted { .. } => Self::new(RefusalKind::BudgetExhausted, message),
            SpendError::OutOfReach { .. } => {
                Self::new(RefusalKind::BudgetOutOfReach, message).with_retry_after(PLATFORM_RETRY)
            }
        }
    }
}

impl From<BackendError> for Refusal {
    fn from(error: BackendError) -> Self {
        let run = if error.is_not_run() {
            RunState::NotRun
        } else {
            RunState::OutcomeUnknown
        };
        Self::new(RefusalKind::BackendFailed, error.to_string()).with_run(run)
    }
}

/// The JSON body of a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The refusal's details.
    pub error: ErrorDetail,
}

/// The error in an [`ErrorBody`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Why the request was refused.
    #[serde(rename = "type")]
    pub kind: RefusalKind,
    /// What is known about the request's run.
    pub run: RunState,
    /// Human-readable explanation.
    pub message: String,
    /// The request's id, where it is known.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_id: Option<String>,
    /// Time after which a retry may succeed, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl ErrorBody {
    /// Creates the JSON body of a refusal.
    #[must_use]
    pub fn new(refusal: &Refusal, request_id: Option<&str>) -> Self {
        let retry_after_ms = refusal
            .retry_after
            .and_then(|time| u64::try_from(time.as_millis()).ok());
        let error = ErrorDetail {
            kind: refusal.kind,
            run: refusal.run,
            message: refusal.message.clone(),
            request_id: request_id.map(ToOwned::to_owned),
            retry_after_ms,
        };
        Self { error }
    }
}
