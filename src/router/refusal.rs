//! Typed refusals: each says whether the request ran.

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
    /// No byte of it can have reached a backend server.
    NotRun,
    /// It is in progress, here or at another router.
    RunningElsewhere,
    /// It ran to its end before.
    Done,
    /// It may have run.
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
    /// The body is larger than the router takes.
    BodyTooLarge,
    /// The plan does not include the model or service.
    NotInPlan,
    /// The budget has too little left.
    BudgetExhausted,
    /// More tokens may exist but cannot be reached now.
    BudgetOutOfReach,
    /// The pool has no room within the deadline.
    Overloaded,
    /// No replica of the pool is in service.
    NoReplica,
    /// The request crashed replicas and is not run again.
    Quarantined,
    /// The same request is or was run already.
    Duplicate,
    /// The claim of a non-idempotent request cannot be made now.
    ClaimOutOfReach,
    /// The backend server failed.
    BackendFailed,
    /// This router has no accepted lists yet.
    NotReady,
}

/// A refusal as it is told to the caller.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{kind}: {message}")]
pub struct Refusal {
    /// Why.
    pub kind: RefusalKind,
    /// Whether the request ran.
    pub run: RunState,
    /// For people.
    pub message: String,
    /// When to come back, where that may help.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal of a request that did not run.
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

    /// The same with another run state.
    #[must_use]
    pub const fn with_run(mut self, run: RunState) -> Self {
        self.run = run;
        self
    }

    /// The same with a time after which to come back.
    #[must_use]
    pub const fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// The HTTP status.
    #[must_use]
    pub const fn status(&self) -> u16 {
        match self.kind {
            RefusalKind::UnknownKey => 401,
            RefusalKind::BadRequest => 400,
            RefusalKind::BodyTooLarge => 413,
            RefusalKind::NotInPlan => 403,
            RefusalKind::BudgetExhausted => 402,
            RefusalKind::Overloaded => 429,
            RefusalKind::Quarantined => 422,
            RefusalKind::Duplicate => 409,
            RefusalKind::BackendFailed => 502,
            RefusalKind::BudgetOutOfReach
            | RefusalKind::NoReplica
            | RefusalKind::ClaimOutOfReach
            | RefusalKind::NotReady => 503,
        }
    }
}

/// Time after which to come back while the platform is out of reach.
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

/// A refusal as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}

/// The error in an [`ErrorBody`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Why the request was refused.
    #[serde(rename = "type")]
    pub kind: RefusalKind,
    /// Whether it ran.
    pub run: RunState,
    /// For people.
    pub message: String,
    /// The request's id, where it is known.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_id: Option<String>,
    /// When to come back.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl ErrorBody {
    /// The JSON form of a refusal.
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
