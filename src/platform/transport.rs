//! Sends requests to replicas over HTTP and checks that each answer comes from the right replica.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_stream::stream;
use async_trait::async_trait;
use bytes::Bytes;
use compact_str::{CompactString, ToCompactString};
use futures::stream::BoxStream;
use futures::StreamExt;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper_util::rt::TokioIo;
use tokio::time::Instant;

use super::connections::{Connection, IdleConnections, OpenCounts};
use super::names;
use crate::exchange::path_monitor::PathMonitor;
use crate::exchange::replica_dialer::{DialError, Dialed, ReplicaDialer};
use crate::exchange::request::{
    AnswerBody, BodyEnd, BrokenBody, Dispatch, DispatchError, ProbeResult, ReplicaAddress,
    ReplicaAnswer, ReplicaStatus, ReplicaTransport, StatedLimit, UnsentCause,
};
use crate::tcp::LossTrackingStream;
use crate::util::lock;

/// Idle time after which a connection is not reused, unless its replica's keep-alive timeout ends
/// sooner.
const IDLE_LIMIT: Duration = Duration::from_secs(4);
/// Idle time after which a connection is not reused for requests that must not run twice. A replica
/// may have closed an idle connection without this router's notice yet; only an idle time of a few
/// round trips rules this out.
const RUN_ONCE_IDLE_LIMIT: Duration = Duration::from_millis(100);
/// Margin before the keep-alive timeout that a replica sends.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_secs(1);
/// Largest head of an answer, and most bytes that are read from a connection at once.
const MAX_HEAD_BYTES: usize = 16 * 1_024;
/// Characters of an unusable header value that are logged.
const MAX_LOGGED_CHARS: usize = 40;

/// HTTP client for replicas, with a pool of idle connections.
#[derive(Debug)]
pub(crate) struct HttpTransport {
    dialer: Arc<ReplicaDialer>,
    idle: Arc<IdleConnections>,
    open_counts: Arc<OpenCounts>,
}

impl HttpTransport {
    /// Creates a client without connections.
    pub(crate) fn new(dialer: Arc<ReplicaDialer>) -> Self {
        Self {
            dialer,
            idle: Arc::default(),
            open_counts: Arc::default(),
        }
    }

    /// Closes idle connections whose timeout has passed.
    pub(crate) fn close_expired_connections(&self) {
        self.idle
            .close_expired(|router| self.dialer.may_use_router(router));
    }

    /// Returns the number of open connections to replicas.
    pub(crate) fn connection_count(&self) -> usize {
        lock(&self.open_counts.by_address).values().sum()
    }

    async fn connection(&self, dispatch: &Dispatch<'_>) -> Result<Connection, DispatchError> {
        let replica = dispatch.replica;
        let limit = if dispatch.runs_once {
            RUN_ONCE_IDLE_LIMIT
        } else {
            IDLE_LIMIT
        };
        let attempt = dispatch.request.attempt.as_str();
        let is_working = |connection: &Connection| {
            self.dialer
                .may_reuse(replica, connection.via, connection.idle_since)
        };
        let idle = self.idle.take(replica.address, limit, attempt, is_working);
        if let Some(connection) = idle {
            return Ok(connection);
        }
        let guard = self.reserve_connection(dispatch)?;
        let Dialed { stream, via } = self.dialer.dial(replica, attempt).await.map_err(|error| {
            let cause = match error {
                DialError::Refused(_) => UnsentCause::Refused,
                DialError::Unreachable(_) => UnsentCause::Unreachable,
            };
            not_sent(cause, error)
        })?;
        let (sender, connection) = hyper::client::conn::http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(LossTrackingStream::new(stream)))
            .await
            .map_err(|error| not_sent(UnsentCause::Unreachable, error))?;
        // Errors of the connection are returned by the request on it.
        let task = tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(Connection {
            sender,
            task: task.abort_handle(),
            address: replica.address,
            via,
            is_used: false,
            idle_since: Instant::now(),
            usable_until: Instant::now() + IDLE_LIMIT,
            open_counts: guard.into_counts(),
            refused_attempts: Vec::new(),
        })
    }

    fn reserve_connection(&self, dispatch: &Dispatch<'_>) -> Result<OpenCountGuard, DispatchError> {
        let address = dispatch.replica.address;
        let mut open = lock(&self.open_counts.by_address);
        let count = open.entry(address).or_default();
        if *count >= dispatch.connections.max_open {
            let reason = "the share of the replica's connections is used up";
            return Err(not_sent(UnsentCause::NoConnectionLeft, reason));
        }
        *count += 1;
        Ok(OpenCountGuard {
            address,
            open_counts: Some(Arc::clone(&self.open_counts)),
        })
    }
}

/// Decrements the count of open connections if the connection is not opened.
struct OpenCountGuard {
    address: SocketAddr,
    open_counts: Option<Arc<OpenCounts>>,
}

impl OpenCountGuard {
    fn into_counts(mut self) -> Arc<OpenCounts> {
        self.open_counts.take().unwrap_or_default()
    }
}

impl Drop for OpenCountGuard {
    fn drop(&mut self) {
        if let Some(open) = self.open_counts.take() {
            if let Some(count) = lock(&open.by_address).get_mut(&self.address) {
                *count = count.saturating_sub(1);
            }
        }
    }
}

fn not_sent(cause: UnsentCause, reason: impl std::fmt::Display) -> DispatchError {
    DispatchError::NotSent {
        cause,
        reason: compact_str::format_compact!("{reason}"),
    }
}

fn outcome_unknown(reason: impl std::fmt::Display) -> DispatchError {
    DispatchError::Unknown {
        reason: compact_str::format_compact!("{reason}"),
        replica_status: ReplicaStatus::default(),
        is_connection_lost: true,
    }
}

/// Builds the request to send to a replica.
fn build_request(dispatch: &Dispatch<'_>) -> Result<Request<Full<Bytes>>, DispatchError> {
    let source = dispatch.request;
    let mut request = Request::builder()
        .method(source.method.clone())
        .uri(source.target.as_str())
        .body(Full::new(source.body.clone()))
        .map_err(|error| not_sent(UnsentCause::BadRequest, error))?;
    let headers = request.headers_mut();
    headers.clone_from(&source.headers);
    let deadline_ms = dispatch.time_left.as_millis().to_compact_string();
    set_header(headers, names::DEADLINE_MS, &deadline_ms);
    set_header(headers, names::EXPECT_REPLICA, dispatch.replica.id.as_str());
    set_header(
        headers,
        names::REQUEST_PRIORITY,
        &dispatch.rank.min(9).to_compact_string(),
    );
    if let Some(team) = dispatch.team {
        // A name with control characters cannot be stated, and without it the replica would take
        // the request for one of no team.
        let team = HeaderValue::from_bytes(team.as_bytes())
            .map_err(|error| not_sent(UnsentCause::BadRequest, error))?;
        headers.insert(HeaderName::from_static(names::TENANT), team);
    }
    if let Some(resume) = dispatch.resume {
        let last_event_id = resume.last_event_id.to_compact_string();
        set_header(headers, names::LAST_EVENT_ID, &last_event_id);
    }
    Ok(request)
}

fn set_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

#[async_trait]
impl ReplicaTransport for HttpTransport {
    async fn send(&self, dispatch: Dispatch<'_>) -> Result<ReplicaAnswer, DispatchError> {
        let request = build_request(&dispatch)?;
        let mut connection = self.connection(&dispatch).await?;
        let is_first = !std::mem::replace(&mut connection.is_used, true);
        dispatch.progress.record_sent();
        let paths = connection.via.is_none().then(|| self.dialer.paths());
        let waiting = paths.map(PathMonitor::start_waiting);
        let sent = connection.sender.try_send_request(request).await;
        drop(waiting);
        let response = match sent {
            Ok(response) => {
                if let Some(paths) = paths {
                    paths.record_received();
                }
                response
            }
            Err(mut error) => {
                let was_sent = error.take_message().is_none();
                let error = error.into_error();
                return Err(if was_sent {
                    outcome_unknown(describe_on(&error, connection.via))
                } else {
                    not_sent(UnsentCause::ConnectionClosed, describe(&error))
                });
            }
        };
        let mut replica_status = decode_replica_status(&response);
        if let Err(reason) = check_answer(&dispatch, &response, is_first) {
            if replica_status.limit == StatedLimit::None {
                replica_status.limit = StatedLimit::Unknown;
            }
            let reason = CompactString::const_new(reason);
            return Err(DispatchError::Unknown {
                reason,
                replica_status,
                is_connection_lost: false,
            });
        }
        Ok(self.answer(response, replica_status, connection, &dispatch))
    }

    async fn probe(&self, replica: &ReplicaAddress) -> ProbeResult {
        self.dialer.probe(replica).await
    }
}

/// Checks that an answer belongs to the request and comes from the replica itself.
fn check_answer(
    dispatch: &Dispatch<'_>,
    response: &Response<Incoming>,
    is_first: bool,
) -> Result<(), &'static str> {
    if !is_final_status(response.status()) {
        return Err("status is none of a final answer");
    }
    let headers = response.headers();
    let echoed = headers.get(names::ATTEMPT_ID).map(HeaderValue::as_bytes);
    match echoed {
        Some(echoed) if echoed == dispatch.request.attempt.as_bytes() => {}
        None if is_first => {}
        _ => return Err("answer of another request"),
    }
    if headers.contains_key("content-encoding") {
        return Err("body is encoded");
    }
    if response.status().is_success() && !headers.contains_key(names::SIGNATURE) {
        return Err("success without signature");
    }
    if dispatch.runs_once && promises_not_run(response.status()) && !is_not_run(response) {
        return Err("refusal that does not state that the request was not run");
    }
    Ok(())
}

/// Returns true for a status of a final answer. Higher codes are invalid. 101 switches protocols,
/// which no request to a replica asks for.
fn is_final_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Returns true for a status by which callers are promised that the request was not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Returns true if an answer states that the request was not run.
fn is_not_run(response: &Response<Incoming>) -> bool {
    response.status() == StatusCode::MISDIRECTED_REQUEST
        || response.headers().contains_key(names::NOT_EXECUTED)
}

/// Decodes the state that a replica reports in its answer. An answer 421 comes from a replica that
/// the request was not meant for, so it says nothing about the intended one.
fn decode_replica_status(response: &Response<Incoming>) -> ReplicaStatus {
    if response.status() == StatusCode::MISDIRECTED_REQUEST {
        return ReplicaStatus::default();
    }
    let text = |name: &str| {
        let value = response.headers().get(name)?;
        value.to_str().ok().map(str::trim)
    };
    let backoff = text(names::RETRY_AFTER)
        .filter(|_| response.status() == StatusCode::SERVICE_UNAVAILABLE)
        .and_then(|seconds| seconds.parse().ok())
        .and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    ReplicaStatus {
        is_leaving: text(names::LEAVING) == Some(names::LEAVING_VALUE),
        backoff,
        limit: decode_limit(text(names::SERVER_LIMIT)),
        max_rejections: text(names::SERVER_BRITTLE).map(decode_max_rejections),
    }
}

/// Decodes how many rejections in a second a brittle replica bears; none if the text is no number.
fn decode_max_rejections(text: &str) -> u32 {
    text.parse().unwrap_or(0)
}

fn decode_limit(text: Option<&str>) -> StatedLimit {
    text.map_or(StatedLimit::None, |text| match text.parse() {
        Ok(limit) => StatedLimit::Rate(limit),
        Err(_) => StatedLimit::Unusable(text.chars().take(MAX_LOGGED_CHARS).collect()),
    })
}

impl HttpTransport {
    fn answer(
        &self,
        response: Response<Incoming>,
        replica_status: ReplicaStatus,
        mut connection: Connection,
        dispatch: &Dispatch<'_>,
    ) -> ReplicaAnswer {
        let is_not_run = is_not_run(&response);
        let (parts, body) = response.into_parts();
        let end = body_end(&parts.headers, &body);
        let via = connection.via;
        let paths = via.is_none().then(|| Arc::clone(self.dialer.paths()));
        let is_misdirected = parts.status == StatusCode::MISDIRECTED_REQUEST;
        if is_not_run {
            connection.record_refused(dispatch.request.attempt.clone());
        }
        let is_reusable = end == BodyEnd::Stated && connection.may_refuse_more();
        let reuse_limit = reuse_limit(&parts.headers).filter(|_| is_reusable);
        let mut headers = parts.headers;
        remove_connection_headers(&mut headers);
        ReplicaAnswer {
            status: parts.status.as_u16(),
            headers,
            is_not_run,
            is_misdirected,
            replica_status,
            via,
            body: AnswerBody::new(
                read_body(
                    body,
                    connection,
                    reuse_limit,
                    (Arc::clone(&self.idle), dispatch.connections.max_idle),
                    paths,
                ),
                end,
            ),
        }
    }
}

/// Returns how the end of a body will be known: by its framing, if it has any.
fn body_end(headers: &HeaderMap, body: &Incoming) -> BodyEnd {
    let is_chunked = headers
        .get("transfer-encoding")
        .and_then(|value| value.to_str().ok())
        .is_some_and(|value| value.to_ascii_lowercase().contains("chunked"));
    if is_chunked || body.size_hint().exact().is_some() {
        BodyEnd::Stated
    } else {
        BodyEnd::ConnectionClosed
    }
}

/// Returns the idle time within which the connection may be reused; none if it must be closed.
fn reuse_limit(headers: &HeaderMap) -> Option<Duration> {
    let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
    if text("connection").is_some_and(|value| value.to_ascii_lowercase().contains("close")) {
        return None;
    }
    let named = text("keep-alive")
        .and_then(|value| {
            value
                .split(',')
                .find_map(|part| part.trim().strip_prefix("timeout="))
        })
        .and_then(|seconds| seconds.trim().parse().ok())
        .map(Duration::from_secs);
    let limit = named.map_or(IDLE_LIMIT, |named| named.saturating_sub(KEEP_ALIVE_MARGIN));
    Some(limit.min(IDLE_LIMIT))
}

fn read_body(
    mut body: Incoming,
    mut connection: Connection,
    reuse_limit: Option<Duration>,
    (idle, max_idle): (Arc<IdleConnections>, usize),
    paths: Option<Arc<PathMonitor>>,
) -> BoxStream<'static, Result<Bytes, BrokenBody>> {
    let pieces = stream! {
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => {
                    if let Some(paths) = &paths {
                        paths.record_received();
                    }
                    if let Ok(piece) = frame.into_data() {
                        yield Ok(piece);
                    }
                }
                Err(error) => {
                    yield Err(BrokenBody {
                        reason: describe(&error),
                        is_connection_lost: true,
                    });
                    return;
                }
            }
        }
        if let Some(limit) = reuse_limit {
            connection.idle_since = Instant::now();
            connection.usable_until = connection.idle_since + limit;
            idle.put_back(connection, max_idle);
        }
    };
    pieces.boxed()
}

/// Removes hop-by-hop headers, including those that `Connection` names.
pub(crate) fn remove_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in names::HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove("content-length");
}

/// Formats an error of a connection, with the router through which it led, if any.
fn describe_on(error: &hyper::Error, via: Option<SocketAddr>) -> CompactString {
    let reason = describe(error);
    match via {
        Some(router) => compact_str::format_compact!("{reason}, via {router}"),
        None => reason,
    }
}

/// Formats an error with its cause.
pub(super) fn describe(error: &hyper::Error) -> CompactString {
    let cause = std::error::Error::source(error);
    match cause {
        Some(cause) => compact_str::format_compact!("{error}: {cause}"),
        None => compact_str::format_compact!("{error}"),
    }
}
