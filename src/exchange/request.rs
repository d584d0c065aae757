//! An opaque request on its way through the exchange, and its answer.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use futures::stream::BoxStream;
use http::{HeaderMap, Method};
use strum::Display;
use thiserror::Error;
use tokio::time::Instant;

use crate::core::ids::ReplicaId;
use crate::core::units::Tokens;

/// One part of a prompt, as replicas cache it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PromptPart {
    /// Digest of the part.
    pub id: u64,
    /// Its length.
    pub length_tokens: u32,
}

/// What a request may consume.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TokenBound {
    /// Length of the prompt.
    pub prompt_tokens: Tokens,
    /// The most that the answer may hold.
    pub max_output_tokens: Tokens,
}

impl TokenBound {
    /// The most that the request may consume.
    pub(crate) fn total_tokens(&self) -> Tokens {
        self.prompt_tokens + self.max_output_tokens
    }
}

/// A caller's request with its body, opaque but for what the decisions need.
#[derive(Debug)]
pub(crate) struct ExchangeRequest {
    /// The caller's name for this try; no two tries share one.
    pub attempt: CompactString,
    /// HTTP method.
    pub method: Method,
    /// Path and query as received.
    pub target: CompactString,
    /// Host that the caller named, without a port.
    pub host: CompactString,
    /// Headers that go to the replica.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// API key, if the caller sent one.
    pub key: Option<CompactString>,
    /// When the router had read the head.
    pub arrived: Instant,
    /// How long the caller waits, from `arrived`; none if it did not say.
    pub patience: Option<Duration>,
    /// What it may consume, if it says so.
    pub tokens: Option<TokenBound>,
    /// The prompt's parts in order.
    pub prompt_parts: Vec<PromptPart>,
    /// Last event that the caller already has of a resumed stream.
    pub resume_after: Option<u64>,
}

impl ExchangeRequest {
    /// The path without its query.
    pub(crate) fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

/// A replica as a dispatch needs it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ReplicaAddress {
    /// Its name; changes with each incarnation.
    pub id: ReplicaId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Connections that this router may hold open there.
    pub connection_limit: usize,
    /// Connections that it may keep idle there.
    pub idle_limit: usize,
}

/// One try of a request at one replica.
#[derive(Clone, Debug)]
pub(crate) struct Dispatch<'a> {
    /// The request.
    pub request: &'a ExchangeRequest,
    /// The replica.
    pub replica: &'a ReplicaAddress,
    /// Time left for the replica.
    pub time_left: Duration,
    /// Name of the team that pays.
    pub team: Option<&'a str>,
    /// Rank for the replica's own queue, 0 first.
    pub rank: u8,
    /// Last event received of a stream that goes on here.
    pub resume_after: Option<u64>,
    /// True when the request must not run twice, so that it may only use a connection that
    /// cannot have been dropped unnoticed.
    pub runs_once: bool,
}

/// Why nothing was sent to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UnsentCause {
    /// Nobody listens at its address.
    Refused,
    /// It does not answer.
    Unreachable,
    /// The connection was closed before it was used.
    ConnectionClosed,
    /// This router may open no more connections to it.
    NoConnectionLeft,
    /// The request cannot be sent on.
    BadRequest,
}

/// What a replica says of itself in the head of any answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ReplicaNotice {
    /// True when it is about to leave.
    pub is_leaving: bool,
    /// Time for which it wants no requests.
    pub quiet: Option<Duration>,
}

/// Why one try brought no answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(crate) enum DispatchError {
    /// No byte reached the replica.
    #[error("not sent: {reason}")]
    NotSent {
        /// Why.
        cause: UnsentCause,
        /// What the transport saw.
        reason: CompactString,
    },
    /// The request may have run.
    #[error("outcome unknown: {reason}")]
    Unknown {
        /// What the transport saw.
        reason: CompactString,
        /// What the replica said of itself, if the head of an answer came.
        notice: ReplicaNotice,
        /// True when the connection broke, so that the replica may have ended.
        is_connection_lost: bool,
    },
}

/// The answer's body broke off before its end.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("answer broke off: {reason}")]
pub(crate) struct BrokenBody {
    /// What the transport saw.
    pub reason: CompactString,
    /// True when the connection broke or fell silent, so that the replica may have ended.
    pub is_connection_lost: bool,
}

/// Pieces of a body as they come.
pub(crate) type BodyStream = BoxStream<'static, Result<Bytes, BrokenBody>>;

/// A replica's answer to one try, known to belong to the request.
pub(crate) struct ReplicaAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers that go to the caller.
    pub headers: HeaderMap,
    /// True when the replica states that it did not run the request.
    pub is_not_run: bool,
    /// True when another replica has the address.
    pub is_other_replica: bool,
    /// What the replica says of itself.
    pub notice: ReplicaNotice,
    /// The body.
    pub body: BodyStream,
}

impl fmt::Debug for ReplicaAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ReplicaAnswer")
            .field("status", &self.status)
            .field("is_not_run", &self.is_not_run)
            .finish_non_exhaustive()
    }
}

/// Whether somebody listens at an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Listening {
    /// A connection was accepted.
    Listens,
    /// The connection was refused.
    Refused,
    /// No answer came in time.
    Silent,
}

/// Sends requests to replicas.
#[async_trait::async_trait]
pub(crate) trait ReplicaTransport: fmt::Debug + Send + Sync {
    /// Sends one try and waits for the head of the answer.
    async fn send(&self, dispatch: Dispatch<'_>) -> Result<ReplicaAnswer, DispatchError>;

    /// Opens a connection, without a request, to see whether a replica is there.
    async fn probe(&self, address: SocketAddr) -> Listening;
}

/// Why the router answers a request itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum RejectKind {
    /// No accepted configuration is known, or it may be out of date.
    NotReady,
    /// The router is shutting down.
    Leaving,
    /// The request lacks something.
    BadRequest,
    /// No team has the key.
    UnknownKey,
    /// No route matches.
    NoRoute,
    /// The prepaid budget is used up.
    BudgetUsed,
    /// The budget may have tokens left, but this router cannot draw them now.
    BudgetOutOfReach,
    /// No replica is in service.
    NoReplica,
    /// All replicas are full or their queues are too long.
    Overloaded,
    /// All replicas asked for quiet.
    ReplicasQuiet,
    /// Replicas refused the request and stated that it did not run.
    ReplicasRefused,
    /// Servers ended under the same request before.
    Quarantined,
    /// The request may have run and its answer was lost.
    AnswerLost,
    /// The route's time is over.
    TimedOut,
    /// The time is over and no replica was sent the request.
    TimedOutUnsent,
}

impl RejectKind {
    /// The HTTP status. Those that promise that nothing ran are 429 and 503.
    pub(crate) const fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::UnknownKey => 401,
            Self::BudgetUsed => 402,
            Self::NoRoute => 404,
            Self::BudgetOutOfReach => 429,
            Self::NotReady
            | Self::Leaving
            | Self::NoReplica
            | Self::Overloaded
            | Self::ReplicasQuiet
            | Self::ReplicasRefused
            | Self::Quarantined
            | Self::TimedOutUnsent => 503,
            Self::AnswerLost => 502,
            Self::TimedOut => 504,
        }
    }
}

/// An answer of the router itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Rejection {
    /// Why.
    pub kind: RejectKind,
    /// When the caller may come back, for those that promise that nothing ran.
    pub retry_after: Option<Duration>,
}

impl Rejection {
    /// A rejection without advice.
    pub(crate) const fn new(kind: RejectKind) -> Self {
        Self {
            kind,
            retry_after: None,
        }
    }

    /// Tells the caller when to come back.
    pub(crate) const fn with_retry_after(mut self, time: Duration) -> Self {
        self.retry_after = Some(time);
        self
    }
}

/// The body of an answer to a caller.
pub(crate) enum ReplyBody {
    /// All of it.
    Whole(Bytes),
    /// Pieces as they come; an error breaks the connection off.
    Pieces(BodyStream),
}

/// What a caller gets.
pub(crate) enum Reply {
    /// A replica's answer.
    Answer {
        /// HTTP status.
        status: u16,
        /// Headers.
        headers: HeaderMap,
        /// Body.
        body: ReplyBody,
    },
    /// The router's own answer.
    Rejected(Rejection),
}
