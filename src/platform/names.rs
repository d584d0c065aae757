//! Names of HTTP headers and of kinds in the platform's store.

/// The caller's id of one try of a request; replicas echo it.
pub(crate) const ATTEMPT_ID: &str = "currantlever-attempt-id";
/// Time left until the deadline of the caller or, when sent on, of the replica, in milliseconds.
pub(crate) const DEADLINE_MS: &str = "currantlever-deadline-ms";
/// Number of prompt tokens and largest number of output tokens, separated by a comma.
pub(crate) const TOKEN_USAGE: &str = "currantlever-token-usage";
/// Ids and lengths of the prompt's parts; a list in spite of its name, not one hash.
pub(crate) const PREFIX_PARTS: &str = "currantlever-prefix-hash";
/// Id of the replica that a request is sent to; any other replica answers 421.
pub(crate) const EXPECT_REPLICA: &str = "currantlever-expect-replica";
/// Name of the team that pays.
pub(crate) const TENANT: &str = "currantlever-tenant";
/// Rank in the replica's queue, from 0 (first) to 9.
pub(crate) const REQUEST_PRIORITY: &str = "currantlever-request-priority";
/// Set in the answer to a request that was not executed.
pub(crate) const NOT_EXECUTED: &str = "currantlever-not-executed";
/// Set in all answers of a replica that is leaving.
pub(crate) const LEAVING: &str = "server-leaving";
/// Value of `LEAVING` when set.
pub(crate) const LEAVING_VALUE: &str = "1";
/// Requests per second that a replica accepts from all routers together; a decimal number.
pub(crate) const SERVER_LIMIT: &str = "server-limit";
/// Requests that a brittle replica may turn away in a second without falling over.
pub(crate) const SERVER_BRITTLE: &str = "server-brittle";
/// Time after which to retry, in fractional seconds.
pub(crate) const RETRY_AFTER: &str = "retry-after";
/// Era of the store, in all its answers; rises each time that it returns from an older copy.
pub(crate) const STORE_ERA: &str = "store-era";
/// Proof that a body comes from the replica.
pub(crate) const SIGNATURE: &str = "currantlever-replica-signature";
/// Id of the last event of a stream that its receiver has.
pub(crate) const LAST_EVENT_ID: &str = "last-event-id";
/// Attempt id of the caller's try that brought the first event of the stream that it takes up.
pub(crate) const RESUMES: &str = "resumes";
/// Headers that are removed from callers' requests, as they control replicas.
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
/// Hop-by-hop headers, which apply to one connection only.
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

/// Kind of the operator's configuration.
pub(crate) const CONFIG_KIND: &str = "config";
/// Name of the object that holds the newest configuration.
pub(crate) const CONFIG_NAME: &str = "main";
/// Kind of the entries by which replicas register.
pub(crate) const SERVER_KIND: &str = "servers";
