//! HTTP server for callers: decodes requests for the exchange and encodes its answers.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use async_stream::stream;
use bytes::Bytes;
use futures::StreamExt;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, Version};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use slog::{info, warn, Logger};
use strum::IntoStaticStr;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;

use super::activity::Activity;
use super::caller_request::{CallerRequest, RequestCounts};
use super::caller_stream::CallerStream;
use super::request_headers::{attempt_id, decode_request, decode_time_left};
use super::transport::describe;
use crate::exchange::engine::Exchange;
use crate::exchange::request::{BodyStream, BrokenBody, Rejection, Reply, ReplyBody};
use crate::tcp::set_keepalive;

/// Time without TCP acknowledgement after which a caller's connection counts as lost.
const CALLER_TCP_USER_TIMEOUT: Duration = Duration::from_secs(4);
/// Limits until a configuration is in force.
const DEFAULT_MAX_HEAD_BYTES: usize = 16 * 1024;
const DEFAULT_MAX_BODY_BYTES: usize = 4 << 20;
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for receiving a body if the request has no deadline header.
const DEFAULT_BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Idle timeout while there are more connections than memory or descriptors allow for.
const CROWDED_IDLE_TIMEOUT: Duration = Duration::from_millis(500);
/// Share of these connections, in percent, at which the usual idle timeout applies again.
const UNCROWDED_PERCENT: usize = 80;
/// Smallest buffer that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// Delay after a failed accept, which is mostly due to a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

type ResponseBody = UnsyncBoxBody<Bytes, BrokenBody>;

/// State shared by all connections of callers.
#[derive(Debug)]
pub(crate) struct Ingress {
    exchange: Arc<Exchange>,
    log: Logger,
    is_leaving: AtomicBool,
    max_connections: usize,
    open_connections: AtomicUsize,
    /// True while idle connections are closed sooner.
    is_crowded: watch::Sender<bool>,
    counts: RequestCounts,
    closing: watch::Sender<Closing>,
}

impl Ingress {
    /// Creates the callers' side of an exchange, for a number of connections.
    pub(crate) fn new(exchange: Arc<Exchange>, max_connections: usize, log: Logger) -> Self {
        let counts = RequestCounts {
            in_progress: Arc::default(),
            metrics: Arc::clone(exchange.metrics()),
            log: log.clone(),
        };
        Self {
            exchange,
            log,
            is_leaving: AtomicBool::new(false),
            max_connections,
            open_connections: AtomicUsize::new(0),
            is_crowded: watch::Sender::new(false),
            counts,
            closing: watch::Sender::new(Closing::No),
        }
    }

    /// Sends `Connection: close` with each answer from now on, so that callers reconnect to another
    /// router.
    pub(crate) fn start_leaving(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
    }

    /// Closes idle connections now, and all others as soon as they become idle.
    pub(crate) fn close_idle(&self) {
        self.closing.send_replace(Closing::WhenIdle);
    }

    /// Closes all connections now, including those with a request in progress.
    pub(crate) fn close_all(&self) {
        self.closing.send_replace(Closing::Now);
    }

    /// Returns the number of open connections.
    pub(crate) fn connection_count(&self) -> usize {
        self.open_connections.load(Ordering::Relaxed)
    }

    /// Returns the number of requests in progress.
    pub(crate) fn request_count(&self) -> usize {
        self.counts.in_progress.load(Ordering::Relaxed)
    }

    /// Accepts connections of callers until the task is aborted.
    pub(crate) async fn accept(self: Arc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, peer)) => {
                    let ingress = Arc::clone(&self);
                    tokio::spawn(async move { ingress.serve_connection(stream, peer).await });
                }
                Err(error) => {
                    warn!(self.log, "failed to accept connection"; "reason" => error.to_string());
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn serve_connection(self: Arc<Self>, stream: TcpStream, peer: SocketAddr) {
        if let Err(error) = set_keepalive(&stream, CALLER_TCP_USER_TIMEOUT) {
            warn!(self.log, "failed to set socket options of connection";
                "peer" => peer.to_string(), "reason" => error.to_string());
        }
        self.open_connections.fetch_add(1, Ordering::Relaxed);
        self.update_crowded();
        let activity = Arc::new(Activity::new());
        let service = {
            let (ingress, activity) = (Arc::clone(&self), Arc::clone(&activity));
            service_fn(move |request| {
                let (ingress, activity) = (Arc::clone(&ingress), Arc::clone(&activity));
                async move { Ok::<_, Infallible>(ingress.respond(request, activity).await) }
            })
        };
        let max_head_bytes = self
            .exchange
            .catalog()
            .map_or(DEFAULT_MAX_HEAD_BYTES, |catalog| {
                catalog.limits().max_head_bytes
            });
        let stream = CallerStream::new(stream, Arc::clone(&activity));
        let connection = http1::Builder::new()
            .max_buf_size(max_head_bytes.max(MIN_BUFFER_BYTES))
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        let mut closing = self.closing.subscribe();
        let mut is_crowded = self.is_crowded.subscribe();
        let mut is_closing = *closing.borrow() != Closing::No;
        if is_closing {
            connection.as_mut().graceful_shutdown();
        }
        loop {
            let (mut idle_timeout, head_timeout) = self.caller_timeouts();
            if *is_crowded.borrow_and_update() {
                idle_timeout = idle_timeout.min(CROWDED_IDLE_TIMEOUT);
            }
            let head_deadline = activity.head_since().map(|since| since + head_timeout);
            let next_idle_check = if activity.is_busy() {
                Instant::now() + idle_timeout
            } else {
                activity.idle_since() + idle_timeout
            };
            tokio::select! {
                // Received bytes are read before the head can time out.
                biased;
                // A caller that has closed its connection needs no answer.
                result = connection.as_mut() => {
                    let reason = match result {
                        Ok(()) => "closed by the caller".into(),
                        Err(error) => describe(&error),
                    };
                    activity.set_end_reason(reason);
                    break;
                }
                () = activity.head_started(), if head_deadline.is_none() => {}
                () = sleep_until(head_deadline), if head_deadline.is_some() => {
                    let is_head_late = activity.head_since().is_some_and(|since| {
                        since + head_timeout <= Instant::now()
                    });
                    if is_head_late {
                        info!(self.log, "connection closed: request head timed out";
                            "peer" => peer.to_string());
                        break;
                    }
                }
                Ok(()) = closing.changed() => {
                    if *closing.borrow_and_update() == Closing::Now {
                        activity.set_end_reason("the router exits".into());
                        break;
                    }
                    is_closing = true;
                    connection.as_mut().graceful_shutdown();
                }
                Ok(()) = is_crowded.changed() => {}
                () = tokio::time::sleep_until(next_idle_check), if !is_closing => {
                    let is_idle = activity.idle_since() + idle_timeout <= Instant::now();
                    if is_idle && !activity.is_busy() {
                        is_closing = true;
                        connection.as_mut().graceful_shutdown();
                    }
                }
            }
        }
        self.open_connections.fetch_sub(1, Ordering::Relaxed);
        self.update_crowded();
    }

    /// Closes idle connections sooner while there are too many.
    fn update_crowded(&self) {
        let open = self.connection_count();
        let is_changed = self.is_crowded.send_if_modified(|is_crowded| {
            let limit = if *is_crowded {
                self.max_connections * UNCROWDED_PERCENT / 100
            } else {
                self.max_connections
            };
            let was_crowded = std::mem::replace(is_crowded, open > limit);
            *is_crowded != was_crowded
        });
        if is_changed {
            info!(self.log, "idle timeout of callers changed"; "connections" => open,
                "max_connections" => self.max_connections,
                "is_crowded" => *self.is_crowded.borrow());
        }
    }

    /// Returns the idle timeout and the timeout for receiving a head.
    fn caller_timeouts(&self) -> (Duration, Duration) {
        let catalog = self.exchange.catalog();
        catalog.map_or((DEFAULT_IDLE_TIMEOUT, DEFAULT_HEAD_TIMEOUT), |catalog| {
            let limits = catalog.limits();
            (limits.idle_timeout, limits.head_timeout)
        })
    }

    async fn respond(
        self: &Arc<Self>,
        request: Request<Incoming>,
        activity: Arc<Activity>,
    ) -> Response<ResponseBody> {
        let attempt = attempt_id(request.headers());
        let mut caller_request = CallerRequest::new(self.counts.clone(), activity, attempt);
        let arrived = Instant::now();
        let version = request.version();
        let (parts, body) = request.into_parts();
        let body = match self.read_body(&parts.headers, body).await {
            Ok(body) => body,
            Err(error) => {
                if error != UnreadBody::Broken {
                    caller_request.record_answer();
                }
                return error_response(error.status(), error.into(), caller_request);
            }
        };
        caller_request.record_body();
        let request = decode_request(parts, body, arrived);
        let reply = self.exchange.serve(request).await;
        let mut response = encode_reply(reply, caller_request, version);
        if self.is_leaving.load(Ordering::Relaxed) {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert("connection", close);
        }
        response
    }

    async fn read_body(&self, headers: &HeaderMap, body: Incoming) -> Result<Bytes, UnreadBody> {
        let catalog = self.exchange.catalog();
        let max_body_bytes = catalog.map_or(DEFAULT_MAX_BODY_BYTES, |catalog| {
            catalog.limits().max_body_bytes
        });
        let body = Limited::new(body, max_body_bytes).collect();
        let body_timeout = decode_time_left(headers).unwrap_or(DEFAULT_BODY_TIMEOUT);
        match tokio::time::timeout(body_timeout, body).await {
            Ok(Ok(body)) => Ok(body.to_bytes()),
            Ok(Err(error)) if error.is::<LengthLimitError>() => Err(UnreadBody::TooLarge),
            Ok(Err(_)) => Err(UnreadBody::Broken),
            Err(_) => Err(UnreadBody::TooSlow),
        }
    }
}

/// Why the body of a request was not read whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
enum UnreadBody {
    #[strum(serialize = "body_too_slow")]
    TooSlow,
    #[strum(serialize = "body_too_large")]
    TooLarge,
    #[strum(serialize = "body_broken")]
    Broken,
}

impl UnreadBody {
    const fn status(self) -> StatusCode {
        match self {
            Self::TooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Broken => StatusCode::BAD_REQUEST,
        }
    }
}

/// Which connections are closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Closing {
    No,
    WhenIdle,
    Now,
}

async fn sleep_until(end: Option<Instant>) {
    if let Some(end) = end {
        tokio::time::sleep_until(end).await;
    }
}

fn encode_reply(
    reply: Reply,
    mut request: CallerRequest,
    version: Version,
) -> Response<ResponseBody> {
    match reply {
        Reply::Rejected(rejection) => encode_rejection(&rejection, request),
        Reply::Answer {
            status,
            headers,
            body,
        } => {
            let body = match body {
                ReplyBody::Buffered(body) => {
                    request.record_answer();
                    full_body(body, request)
                }
                ReplyBody::Streamed(pieces) => streamed_body(pieces, request, version),
            };
            let mut response = Response::new(body);
            *response.status_mut() =
                StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
            *response.headers_mut() = headers;
            response
        }
    }
}

fn encode_rejection(rejection: &Rejection, mut request: CallerRequest) -> Response<ResponseBody> {
    let status =
        StatusCode::from_u16(rejection.kind.status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    request.record_answer();
    let mut response = error_response(status, &rejection.kind.to_string(), request);
    if let Some(time) = rejection.retry_after {
        let seconds = format!("{:.2}", time.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert("retry-after", value);
        }
    }
    response
}

fn error_response(
    status: StatusCode,
    reason: &str,
    request: CallerRequest,
) -> Response<ResponseBody> {
    let body = serde_json::json!({ "error": reason }).to_string();
    let mut response = Response::new(full_body(Bytes::from(body), request));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert("content-type", json);
    response
}

/// Returns a body that is known. The request stays in progress until the body is dropped.
fn full_body(body: Bytes, request: CallerRequest) -> ResponseBody {
    Full::new(body)
        .map_err(move |never: Infallible| {
            let _request = &request;
            match never {}
        })
        .boxed_unsync()
}

/// Returns a body that is forwarded as it is received. The request stays in progress until the body
/// is dropped.
fn streamed_body(
    mut pieces: BodyStream,
    mut request: CallerRequest,
    version: Version,
) -> ResponseBody {
    if version < Version::HTTP_11 {
        request.record_unstated_end();
    }
    let frames = stream! {
        while let Some(piece) = pieces.next().await {
            if piece.is_err() {
                request.record_cut();
            }
            yield piece.map(Frame::data);
        }
        request.record_answer();
    };
    StreamBody::new(frames).boxed_unsync()
}
