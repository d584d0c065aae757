//! Names of headers and kinds on the platform's wire.

/// The caller's name for one try of a request; replicas echo it.
pub(crate) const ATTEMPT_ID: &str = "currantlever-attempt-id";
/// Milliseconds that the caller, and then the replica, has left.
pub(crate) const DEADLINE_MS: &str = "currantlever-deadline-ms";
/// Prompt tokens and the most output tokens, separated by a comma.
pub(crate) const TOKEN_USAGE: &str = "currantlever-token-usage";
/// The prompt's parts. The name misleads: it is a list of ids with lengths, not one hash.
pub(crate) const PREFIX_PARTS: &str = "currantlever-prefix-hash";
/// The replica that a request is meant for; any other answers 421.
pub(crate) const EXPECT_REPLICA: &str = "currantlever-expect-replica";
/// Name of the team that pays.
pub(crate) const TENANT: &str = "currantlever-tenant";
/// Rank in the replica's queue, 0 to 9, 0 first.
pub(crate) const REQUEST_PRIORITY: &str = "currantlever-request-priority";
/// Marks an answer whose request did not run.
pub(crate) const NOT_EXECUTED: &str = "currantlever-not-executed";
/// Marks all answers of a replica that is about to leave.
pub(crate) const LEAVING: &str = "server-leaving";
/// Value of that mark.
pub(crate) const LEAVING_VALUE: &str = "1";
/// Seconds, with fractions, after which to come back.
pub(crate) const RETRY_AFTER: &str = "retry-after";
/// Proof that a body is the replica's.
pub(crate) const SIGNATURE: &str = "currantlever-replica-signature";
/// Last event that the receiver of a stream has.
pub(crate) const LAST_EVENT_ID: &str = "last-event-id";
/// Headers that callers may not set: they steer replicas.
pub(crate) const RESERVED: [&str; 9] = [
    EXPECT_REPLICA,
    TENANT,
    REQUEST_PRIORITY,
    "currantlever-expect-version",
    "currantlever-hold",
    "currantlever-pin-ms",
    "currantlever-kv-backup",
    "kv-from",
    "kv-fetch",
];
/// Headers that concern one connection only.
pub(crate) const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Kind of the operator's lists.
pub(crate) const CONFIG_KIND: &str = "config";
/// Name of the object with the newest lists.
pub(crate) const CONFIG_NAME: &str = "main";
/// Kind of the replicas' entries.
pub(crate) const SERVER_KIND: &str = "servers";
