//! Types of a request, its dispatch to a replica, and its answer. Bodies are opaque.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use futures::stream::BoxStream;
use futures::StreamExt;
use http::{HeaderMap, Method};
use strum::Display;
use thiserror::Error;
use tokio::time::Instant;

use super::dispatch_progress::DispatchProgress;
use crate::core::ids::ReplicaId;
use crate::core::rate_limit::RateLimit;
use crate::core::stream_origin::StreamOrigin;
use crate::core::units::Tokens;

/// One part of a prompt: the unit in which replicas cache prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PromptPart {
    /// Digest of the part.
    pub id: u64,
    /// Length of the part, in tokens.
    pub length_tokens: u32,
}

/// Upper bound of the tokens that a request may spend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TokenBound {
    /// Length of the prompt, in tokens.
    pub prompt_tokens: Tokens,
    /// Upper bound of the output tokens.
    pub max_output_tokens: Tokens,
}

impl TokenBound {
    /// Returns the upper bound of prompt and output tokens together.
    pub(crate) fn total_tokens(&self) -> Tokens {
        self.prompt_tokens + self.max_output_tokens
    }
}

/// A caller's request; only the fields that admission and routing need are parsed.
#[derive(Debug)]
pub(crate) struct ExchangeRequest {
    /// Attempt id that the caller chose; unique for each attempt.
    pub attempt: CompactString,
    /// HTTP method.
    pub method: Method,
    /// Path and query as received.
    pub target: CompactString,
    /// Requested host, without the port.
    pub host: CompactString,
    /// Headers to forward to the replica.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// API key, if the caller sent one.
    pub key: Option<CompactString>,
    /// Time at which the router had read the request head.
    pub arrived: Instant,
    /// Time limit that the caller sent, counted from `arrived`.
    pub time_left: Option<Duration>,
    /// Upper bound of the tokens, if the request states one.
    pub tokens: Option<TokenBound>,
    /// Parts of the prompt, in order.
    pub prompt_parts: Vec<PromptPart>,
    /// The stream that the caller takes up, if it does.
    pub resume: Option<ResumeRequest>,
}

/// A stream that a caller takes up, as stated by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ResumeRequest {
    /// Id of the last event that the caller has received.
    pub last_event_id: u64,
    /// Attempt id of the caller's try that brought the first event, if stated.
    pub first_attempt: Option<CompactString>,
}

/// Where a stream goes on: after which event, and what began it. Only replicas with the version of
/// its origin may go on with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ResumePoint {
    /// Id of the last event that the caller has received.
    pub last_event_id: u64,
    /// What began the stream.
    pub origin: StreamOrigin,
}

impl ExchangeRequest {
    /// Returns the path without the query.
    pub(crate) fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

/// An incarnation of a replica and its address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ReplicaAddress {
    /// Id of the replica.
    pub id: ReplicaId,
    /// Start of the incarnation, in milliseconds since the Unix epoch, if stated.
    pub born_ms: Option<u64>,
    /// Address that the replica listens on.
    pub address: SocketAddr,
}

/// This router's share of a replica's connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ConnectionShare {
    /// Maximum number of open connections.
    pub max_open: usize,
    /// Maximum number of idle connections.
    pub max_idle: usize,
}

/// One try of a request at one replica.
#[derive(Clone, Debug)]
pub(crate) struct Dispatch<'a> {
    /// The request.
    pub request: &'a ExchangeRequest,
    /// The replica.
    pub replica: &'a ReplicaAddress,
    /// Connections to it that may be open.
    pub connections: ConnectionShare,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// Name of the team that is billed.
    pub team: Option<&'a str>,
    /// Priority rank in the replica's queue; 0 is the highest.
    pub rank: u8,
    /// Where the stream goes on, if this try resumes one.
    pub resume: Option<&'a ResumePoint>,
    /// True if the request must not run twice. It may then only use a connection that the replica
    /// cannot have closed without the router's knowledge.
    pub runs_once: bool,
    /// Told when the request is sent on an open connection.
    pub progress: &'a DispatchProgress,
}

/// Why a request was not sent to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UnsentCause {
    /// The connection was refused.
    Refused,
    /// The replica did not answer.
    Unreachable,
    /// The connection was closed before the request was sent.
    ConnectionClosed,
    /// This router has reached its connection limit for the replica.
    NoConnectionLeft,
    /// The request cannot be forwarded.
    BadRequest,
}

/// Status that a replica reports in the head of an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct ReplicaStatus {
    /// True if the replica is leaving.
    pub is_leaving: bool,
    /// Back-off that the replica requests: time in which to send it no requests.
    pub backoff: Option<Duration>,
    /// Rate limit for the requests of all routers together.
    pub limit: StatedLimit,
    /// Rejections in a second that the replica bears, if it is brittle.
    pub max_rejections: Option<u32>,
}

/// What an answer states on the replica's rate limit.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) enum StatedLimit {
    /// Nothing: no head was received, or it may not be the replica's own.
    #[default]
    Unknown,
    /// The replica has no limit.
    None,
    /// The replica has this limit.
    Rate(RateLimit),
    /// The text is not a limit.
    Unusable(CompactString),
}

/// Why a try brought no answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(crate) enum DispatchError {
    /// Nothing was sent to the replica.
    #[error("not sent: {reason}")]
    NotSent {
        /// Cause of the failure.
        cause: UnsentCause,
        /// Error that the transport reported.
        reason: CompactString,
    },
    /// The request may have run.
    #[error("outcome unknown: {reason}")]
    Unknown {
        /// Error that the transport reported.
        reason: CompactString,
        /// Status that the replica reported, if the head of an answer was received.
        replica_status: ReplicaStatus,
        /// True if the connection was lost, so the replica may have crashed.
        is_connection_lost: bool,
    },
}

/// The body of an answer ended prematurely.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("answer broke off: {reason}")]
pub(crate) struct BrokenBody {
    /// Error that the transport reported.
    pub reason: CompactString,
    /// True if the connection was lost or stalled, so the replica may have crashed.
    pub is_connection_lost: bool,
}

/// Chunks of a body as they are received.
pub(crate) type BodyStream = BoxStream<'static, Result<Bytes, BrokenBody>>;

/// How the end of an answer is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub(crate) enum BodyEnd {
    /// The server stated it, by a length or a last chunk.
    #[strum(serialize = "end stated")]
    Stated,
    /// The server closed the connection, which it may also have done before the end.
    #[strum(serialize = "end not stated, connection closed")]
    ConnectionClosed,
}

/// The next part of an answer's body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum BodyPart {
    /// Bytes of the body.
    Data(Bytes),
    /// The end of the body.
    End(BodyEnd),
}

/// Body of a replica's answer.
pub(crate) struct AnswerBody {
    chunks: BodyStream,
    end: BodyEnd,
}

impl AnswerBody {
    /// Creates a body whose end, if it is reached, is known in the given way.
    pub(crate) const fn new(chunks: BodyStream, end: BodyEnd) -> Self {
        Self { chunks, end }
    }

    /// Waits for the next part.
    ///
    /// # Errors
    ///
    /// Fails when the body breaks off.
    pub(crate) async fn next(&mut self) -> Result<BodyPart, BrokenBody> {
        match self.chunks.next().await {
            Some(chunk) => chunk.map(BodyPart::Data),
            None => Ok(BodyPart::End(self.end)),
        }
    }
}

/// A replica's answer to one try, verified to belong to the request.
pub(crate) struct ReplicaAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers to forward to the caller.
    pub headers: HeaderMap,
    /// True if the replica states that it did not run the request.
    pub is_not_run: bool,
    /// True if another replica listens on the address now.
    pub is_misdirected: bool,
    /// Status that the replica reports.
    pub replica_status: ReplicaStatus,
    /// Router through which it came, by its hello address; `None` if directly.
    pub via: Option<SocketAddr>,
    /// Body.
    pub body: AnswerBody,
}

impl fmt::Debug for ReplicaAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ReplicaAnswer")
            .field("status", &self.status)
            .field("is_not_run", &self.is_not_run)
            .finish_non_exhaustive()
    }
}

/// Result of a connection probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbeResult {
    /// A connection was accepted.
    Accepted,
    /// The connection was refused.
    Refused,
    /// The probe timed out.
    NoAnswer,
}

/// Sends requests to replicas.
#[async_trait::async_trait]
pub(crate) trait ReplicaTransport: fmt::Debug + Send + Sync {
    /// Sends a request and waits for the head of the answer.
    async fn send(&self, dispatch: Dispatch<'_>) -> Result<ReplicaAnswer, DispatchError>;

    /// Opens a connection without sending a request, to check whether a server listens.
    async fn probe(&self, replica: &ReplicaAddress) -> ProbeResult;
}

/// Why the router rejects a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum RejectKind {
    /// No accepted configuration is known, or it may be out of date.
    NotReady,
    /// The router is shutting down.
    Leaving,
    /// The request is malformed or incomplete.
    BadRequest,
    /// The body is longer than the configuration allows.
    BodyTooLarge,
    /// The body was not received in time.
    BodyTooSlow,
    /// There is no memory left for the body.
    BodyOutOfMemory,
    /// The API key belongs to no team.
    UnknownKey,
    /// No route matches.
    NoRoute,
    /// The prepaid budget is used up.
    BudgetUsed,
    /// The budget may have tokens left, but this router cannot obtain them now.
    BudgetOutOfReach,
    /// No replica is in service.
    NoReplica,
    /// All replicas in service have failed repeatedly or cannot be reached.
    ReplicasUnreachable,
    /// The slots and queues of all replicas are full.
    Overloaded,
    /// All replicas are in a back-off that they requested.
    ReplicasQuiet,
    /// All replicas are at the rate limit that they stated.
    ReplicasRateLimited,
    /// Replicas refused the request and stated that it did not run, or it could not be sent.
    ReplicasRefused,
    /// The request is quarantined: backend servers crashed while running it.
    Quarantined,
    /// The version of the replica that began the stream to resume is unknown.
    OriginUnknown,
    /// No replica in service has the version that began the stream to resume.
    VersionGone,
    /// The request may have run and its answer was lost.
    AnswerLost,
    /// The deadline passed; the request may have run.
    TimedOut,
    /// The deadline passed before the request was sent to a replica.
    TimedOutUnsent,
}

impl RejectKind {
    /// Returns the HTTP status. 408, 429 and 503 guarantee that the request did not run.
    pub(crate) const fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::UnknownKey => 401,
            Self::BudgetUsed => 402,
            Self::NoRoute => 404,
            Self::BodyTooSlow => 408,
            Self::BodyTooLarge => 413,
            Self::BudgetOutOfReach => 429,
            Self::NotReady
            | Self::Leaving
            | Self::BodyOutOfMemory
            | Self::NoReplica
            | Self::ReplicasUnreachable
            | Self::Overloaded
            | Self::ReplicasQuiet
            | Self::ReplicasRateLimited
            | Self::ReplicasRefused
            | Self::Quarantined
            | Self::OriginUnknown
            | Self::VersionGone
            | Self::TimedOutUnsent => 503,
            Self::AnswerLost => 502,
            Self::TimedOut => 504,
        }
    }
}

/// A refusal by the router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Rejection {
    /// Reason for the rejection.
    pub kind: RejectKind,
    /// When to retry, for the kinds that guarantee that the request did not run.
    pub retry_after: Option<Duration>,
}

impl Rejection {
    /// Creates a rejection without `Retry-After`.
    pub(crate) const fn new(kind: RejectKind) -> Self {
        Self {
            kind,
            retry_after: None,
        }
    }

    /// Sets `Retry-After`.
    pub(crate) const fn with_retry_after(mut self, time: Duration) -> Self {
        self.retry_after = Some(time);
        self
    }
}

/// The body of an answer to a caller.
pub(crate) enum ReplyBody {
    /// Complete body.
    Buffered(Bytes),
    /// Chunks as they are received; an error aborts the connection.
    Streamed(BodyStream),
}

/// The answer to a caller.
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
    /// A refusal by the router.
    Rejected(Rejection),
}
