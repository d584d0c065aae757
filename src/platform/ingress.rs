//! HTTP server for callers: decodes requests for the exchange and encodes its answers.

use std::convert::Infallible;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use async_stream::stream;
use bytes::Bytes;
use futures::StreamExt;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, Version};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited, StreamBody};
use hyper::body::{Frame, Incoming};
use slog::Logger;
use strum::IntoStaticStr;
use tokio::net::TcpListener;
use tokio::time::Instant;

use super::activity::Activity;
use super::caller_request::{CallerRequest, RequestCounts};
use super::client_connections::{ClientConnections, ClientLimits, ConnectionBounds};
use super::request_headers::{attempt_id, decode_request, decode_time_left};
use crate::exchange::engine::Exchange;
use crate::exchange::request::{BodyStream, BrokenBody, Rejection, Reply, ReplyBody};

/// Limits until a configuration is in force.
const DEFAULT_MAX_HEAD_BYTES: usize = 16 * 1024;
const DEFAULT_MAX_BODY_BYTES: usize = 4 << 20;
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for receiving a body if the request has no deadline header.
const DEFAULT_BODY_TIMEOUT: Duration = Duration::from_secs(30);

type ResponseBody = UnsyncBoxBody<Bytes, BrokenBody>;

/// The callers' side of an exchange.
#[derive(Debug)]
pub(crate) struct Ingress {
    exchange: Arc<Exchange>,
    connections: Arc<ClientConnections>,
    is_leaving: AtomicBool,
    counts: RequestCounts,
}

impl Ingress {
    /// Creates the callers' side of an exchange, for a number of connections.
    pub(crate) fn new(exchange: Arc<Exchange>, bounds: ConnectionBounds, log: &Logger) -> Self {
        let metrics = exchange.metrics();
        let counts = RequestCounts {
            in_progress: Arc::default(),
            metrics: Arc::clone(metrics),
            log: log.clone(),
        };
        let limits = caller_limits(&exchange);
        let connections =
            ClientConnections::new("callers", bounds, limits, Arc::clone(metrics), log);
        Self {
            exchange,
            connections,
            is_leaving: AtomicBool::new(false),
            counts,
        }
    }

    /// Sends `Connection: close` with each answer from now on, so that callers reconnect to another
    /// router.
    pub(crate) fn start_leaving(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
    }

    /// Closes idle connections now, and all others as soon as they become idle.
    pub(crate) fn close_idle(&self) {
        self.connections.close_idle();
    }

    /// Closes all connections now, including those with a request in progress.
    pub(crate) fn close_all(&self) {
        self.connections.close_all();
    }

    /// Returns the number of open connections.
    pub(crate) fn connection_count(&self) -> usize {
        self.connections.count()
    }

    /// Returns the number of requests in progress.
    pub(crate) fn request_count(&self) -> usize {
        self.counts.in_progress.load(Ordering::Relaxed)
    }

    /// Accepts connections of callers until the task is aborted.
    pub(crate) async fn accept(self: Arc<Self>, listener: TcpListener) {
        let connections = Arc::clone(&self.connections);
        let service = move |request, activity| {
            let ingress = Arc::clone(&self);
            async move { ingress.respond(request, activity).await }
        };
        connections.accept(listener, service).await;
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

/// Returns the limits for the connections of callers, by the configuration in force.
pub(super) fn caller_limits(
    exchange: &Arc<Exchange>,
) -> Box<dyn Fn() -> ClientLimits + Send + Sync> {
    let exchange = Arc::clone(exchange);
    Box::new(move || {
        exchange.catalog().map_or(
            ClientLimits {
                idle_timeout: DEFAULT_IDLE_TIMEOUT,
                head_timeout: DEFAULT_HEAD_TIMEOUT,
                max_head_bytes: DEFAULT_MAX_HEAD_BYTES,
            },
            |catalog| {
                let limits = catalog.limits();
                ClientLimits {
                    idle_timeout: limits.idle_timeout,
                    head_timeout: limits.head_timeout,
                    max_head_bytes: limits.max_head_bytes,
                }
            },
        )
    })
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
