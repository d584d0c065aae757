//! HTTP server for callers: decodes requests for the exchange and encodes its answers.

use std::convert::Infallible;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use async_stream::stream;
use bytes::Bytes;
use futures::{FutureExt, StreamExt};
use http::{HeaderValue, Request, Response, StatusCode, Version};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body, Frame, Incoming};
use slog::Logger;
use tokio::net::TcpListener;
use tokio::time::Instant;

use super::activity::Activity;
use super::caller_request::{CallerRequest, RequestCounts};
use super::client_connections::{ClientConnections, ClientLimits, ConnectionBounds};
use super::request_headers::{attempt_id, decode_request};
use crate::body_memory::{BodyError, RequestBuffer};
use crate::exchange::engine::Exchange;
use crate::exchange::record::RequestRecord;
use crate::exchange::request::{
    BodyStream, BrokenBody, ExchangeRequest, RejectKind, Rejection, Reply, ReplyBody,
};

/// Limits until a configuration is in force.
const DEFAULT_MAX_HEAD_BYTES: usize = 16 * 1024;
const DEFAULT_MAX_BODY_BYTES: usize = 4 << 20;
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// `Retry-After` of a request for whose body there is no memory.
const BODY_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Time and bytes for which the rest of a body is read that was refused, so that its sender receives
/// the refusal instead of a reset.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_DISCARDED_BYTES: usize = 256 * 1024;

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
        let version = request.version();
        let (parts, mut body) = request.into_parts();
        let awaits_continue = parts.headers.contains_key("expect");
        let mut request = decode_request(parts, Instant::now());
        let mut record = self.exchange.new_record(&request);
        match self.read_body(&request, &mut record, &mut body).await {
            Ok(body) => request.body = body,
            Err(UnreadBody::Broken) => {
                record.set_outcome("body_broken");
                let kind = RejectKind::BadRequest;
                return error_response(kind, "body_broken", caller_request);
            }
            Err(UnreadBody::Rejected(rejection)) => {
                record.set_rejected(rejection.kind);
                // A sender that waits for the permission to go on sends nothing.
                if !awaits_continue {
                    tokio::spawn(discard_rest(body));
                }
                let response = encode_rejection(&rejection, caller_request);
                return with_close(response);
            }
        }
        caller_request.record_body();
        let reply = self.exchange.serve(request, record).await;
        let response = encode_reply(reply, caller_request, version);
        if self.is_leaving.load(Ordering::Relaxed) {
            return with_close(response);
        }
        response
    }

    /// Reads the body of a request into memory, unless the request is to be rejected.
    async fn read_body(
        &self,
        request: &ExchangeRequest,
        record: &mut RequestRecord,
        body: &mut Incoming,
    ) -> Result<Bytes, UnreadBody> {
        let catalog = self.exchange.catalog();
        let max_body_bytes = catalog.map_or(DEFAULT_MAX_BODY_BYTES, |catalog| {
            catalog.limits().max_body_bytes
        });
        let length = body.size_hint().exact();
        if length == Some(0) {
            return Ok(Bytes::new());
        }
        if length.is_some_and(|length| length > max_body_bytes as u64) {
            return Err(BodyError::TooLong.into());
        }
        let mut buffer = RequestBuffer::new(self.exchange.body_memory(), max_body_bytes);
        let mut is_checked = false;
        if let Some(length) = length.filter(|length| RequestBuffer::is_counted(*length)) {
            self.exchange.check_unread(request, record)?;
            is_checked = true;
            buffer.reserve(length)?;
        }
        let receive = async {
            let mut received: u64 = 0;
            while let Some(data) = next_data(body, &buffer).await? {
                received += data.len() as u64;
                if !is_checked && RequestBuffer::is_counted(received) {
                    self.exchange.check_unread(request, record)?;
                    is_checked = true;
                }
                buffer.push(&data)?;
            }
            Ok(buffer.into_bytes()?)
        };
        let mut receive = std::pin::pin!(receive);
        // Most bodies have arrived with their heads and need no timeout.
        if let Some(result) = receive.as_mut().now_or_never() {
            return result;
        }
        let deadline = self.exchange.body_deadline(request);
        tokio::time::timeout_at(deadline, receive)
            .await
            .unwrap_or(Err(UnreadBody::Rejected(Rejection::new(
                RejectKind::BodyTooSlow,
            ))))
    }
}

/// Waits for the next bytes of a body whose buffer may be given to another one.
async fn next_data(
    body: &mut Incoming,
    buffer: &RequestBuffer,
) -> Result<Option<Bytes>, UnreadBody> {
    loop {
        let frame = tokio::select! {
            biased;
            frame = body.frame() => frame,
            () = buffer.displaced() => return Err(BodyError::Displaced.into()),
        };
        let Some(frame) = frame else {
            return Ok(None);
        };
        let frame = frame.map_err(|_| UnreadBody::Broken)?;
        // Trailers are not forwarded.
        if let Ok(data) = frame.into_data() {
            return Ok(Some(data));
        }
    }
}

/// Reads and drops the rest of a body, within limits.
async fn discard_rest(mut body: Incoming) {
    let rest = async {
        let mut length = 0;
        while let Some(Ok(frame)) = body.frame().await {
            length += frame.data_ref().map_or(0, Bytes::len);
            if length > MAX_DISCARDED_BYTES {
                return;
            }
        }
    };
    // After a timeout only the connection is lost, which is closed anyway.
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, rest).await;
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

/// Why a request is not served, of whose body nothing or only a part was read.
#[derive(Clone, Debug, PartialEq, Eq)]
enum UnreadBody {
    /// The connection broke or the body is malformed.
    Broken,
    /// The request is rejected.
    Rejected(Rejection),
}

impl From<Rejection> for UnreadBody {
    fn from(rejection: Rejection) -> Self {
        Self::Rejected(rejection)
    }
}

impl From<BodyError> for UnreadBody {
    fn from(error: BodyError) -> Self {
        Self::Rejected(match error {
            BodyError::TooLong => Rejection::new(RejectKind::BodyTooLarge),
            BodyError::Displaced => Rejection::new(RejectKind::BodyTooSlow),
            BodyError::OutOfMemory => {
                Rejection::new(RejectKind::BodyOutOfMemory).with_retry_after(BODY_RETRY_AFTER)
            }
        })
    }
}

fn with_close(mut response: Response<ResponseBody>) -> Response<ResponseBody> {
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert("connection", close);
    response
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
    request.record_answer();
    let reason = rejection.kind.to_string();
    let mut response = error_response(rejection.kind, &reason, request);
    if let Some(time) = rejection.retry_after {
        let seconds = format!("{:.2}", time.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert("retry-after", value);
        }
    }
    response
}

fn error_response(
    kind: RejectKind,
    reason: &str,
    request: CallerRequest,
) -> Response<ResponseBody> {
    let body = serde_json::json!({ "error": reason }).to_string();
    let mut response = Response::new(full_body(Bytes::from(body), request));
    *response.status_mut() =
        StatusCode::from_u16(kind.status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
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
