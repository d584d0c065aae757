//! Callers' HTTP: decodes requests for the exchange and encodes its answers.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use slog::{info, warn, Logger};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;

use super::activity::Activity;
use super::caller_stream::CallerStream;
use super::names;
use super::transport::remove_connection_headers;
use crate::core::units::Tokens;
use crate::exchange::engine::Exchange;
use crate::exchange::request::{
    BrokenBody, ExchangeRequest, PromptPart, Rejection, Reply, ReplyBody, TokenBound,
};
use crate::tcp::notice_silence;

/// Time without acknowledgement after which a caller counts as gone.
const CALLER_SILENCE_LIMIT: Duration = Duration::from_secs(4);
/// Limits before any configuration is known.
const FIRST_MAX_HEAD_BYTES: usize = 16 * 1024;
const FIRST_MAX_BODY_BYTES: usize = 4 << 20;
const FIRST_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const FIRST_HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time to send a body if the request names no deadline.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Smallest buffer that the HTTP library takes.
const LEAST_BUFFER_BYTES: usize = 8 * 1024;
/// Pause after a connection could not be accepted, mostly for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

type ReplyStream = UnsyncBoxBody<Bytes, BrokenBody>;

/// What all connections of callers share.
#[derive(Debug)]
pub(crate) struct Ingress {
    exchange: Arc<Exchange>,
    log: Logger,
    is_leaving: AtomicBool,
    open: AtomicUsize,
    busy: AtomicUsize,
    closing: watch::Sender<bool>,
}

impl Ingress {
    /// The callers' side of an exchange.
    pub(crate) fn new(exchange: Arc<Exchange>, log: Logger) -> Self {
        Self {
            exchange,
            log,
            is_leaving: AtomicBool::new(false),
            open: AtomicUsize::new(0),
            busy: AtomicUsize::new(0),
            closing: watch::Sender::new(false),
        }
    }

    /// Tells callers with each answer to use another router next.
    pub(crate) fn start_leaving(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
    }

    /// Closes connections as soon as they carry no request.
    pub(crate) fn close_idle(&self) {
        self.closing.send_replace(true);
    }

    /// Connections open.
    pub(crate) fn open_count(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Requests in progress.
    pub(crate) fn busy_count(&self) -> usize {
        self.busy.load(Ordering::Relaxed)
    }

    /// Accepts callers until the listener is dropped.
    pub(crate) async fn accept(self: Arc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, peer)) => {
                    let ingress = Arc::clone(&self);
                    tokio::spawn(async move { ingress.serve_connection(stream, peer).await });
                }
                Err(error) => {
                    warn!(self.log, "connection not accepted"; "reason" => error.to_string());
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn serve_connection(self: Arc<Self>, stream: TcpStream, peer: SocketAddr) {
        if let Err(error) = notice_silence(&stream, CALLER_SILENCE_LIMIT) {
            warn!(self.log, "connection without options"; "peer" => peer.to_string(),
                "reason" => error.to_string());
        }
        self.open.fetch_add(1, Ordering::Relaxed);
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
            .map_or(FIRST_MAX_HEAD_BYTES, |catalog| {
                catalog.limits().max_head_bytes
            });
        let stream = CallerStream::new(stream, Arc::clone(&activity));
        let connection = http1::Builder::new()
            .max_buf_size(max_head_bytes.max(LEAST_BUFFER_BYTES))
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        let mut closing = self.closing.subscribe();
        let mut is_closing = *closing.borrow();
        if is_closing {
            connection.as_mut().graceful_shutdown();
        }
        loop {
            let (idle_timeout, head_timeout) = self.caller_timeouts();
            let head_end = activity.head_since().map(|since| since + head_timeout);
            let next_look = if activity.is_busy() {
                Instant::now() + idle_timeout
            } else {
                activity.idle_since() + idle_timeout
            };
            tokio::select! {
                // What has come is read before it counts as late.
                biased;
                // A caller that breaks its connection off needs no answer.
                _ = connection.as_mut() => break,
                () = activity.head_began(), if head_end.is_none() => {}
                () = sleep_until(head_end), if head_end.is_some() => {
                    let is_late = activity.head_since().is_some_and(|since| {
                        since + head_timeout <= Instant::now()
                    });
                    if is_late {
                        info!(self.log, "connection closed: no whole head in time";
                            "peer" => peer.to_string());
                        break;
                    }
                }
                _ = closing.changed(), if !is_closing => {
                    is_closing = true;
                    connection.as_mut().graceful_shutdown();
                }
                () = tokio::time::sleep_until(next_look), if !is_closing => {
                    let is_idle = activity.idle_since() + idle_timeout <= Instant::now();
                    if is_idle && !activity.is_busy() {
                        is_closing = true;
                        connection.as_mut().graceful_shutdown();
                    }
                }
            }
        }
        self.open.fetch_sub(1, Ordering::Relaxed);
    }

    /// Longest time between two requests, and to send a head.
    fn caller_timeouts(&self) -> (Duration, Duration) {
        let catalog = self.exchange.catalog();
        catalog.map_or((FIRST_IDLE_TIMEOUT, FIRST_HEAD_TIMEOUT), |catalog| {
            let limits = catalog.limits();
            (limits.idle_timeout, limits.head_timeout)
        })
    }

    async fn respond(
        self: &Arc<Self>,
        request: Request<Incoming>,
        activity: Arc<Activity>,
    ) -> Response<ReplyStream> {
        let busy = Busy::new(Arc::clone(self), activity);
        let arrived = Instant::now();
        let (parts, body) = request.into_parts();
        let max_body_bytes = self
            .exchange
            .catalog()
            .map_or(FIRST_MAX_BODY_BYTES, |catalog| {
                catalog.limits().max_body_bytes
            });
        let body = Limited::new(body, max_body_bytes).collect();
        let body_timeout = decode_patience(&parts.headers).unwrap_or(BODY_TIMEOUT);
        let Ok(body) = tokio::time::timeout(body_timeout, body).await else {
            return plain(StatusCode::REQUEST_TIMEOUT, "body_too_slow");
        };
        let body = match body {
            Ok(body) => body.to_bytes(),
            Err(error) if error.is::<LengthLimitError>() => {
                return plain(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large");
            }
            Err(_) => return plain(StatusCode::BAD_REQUEST, "body_broken"),
        };
        let request = decode_request(parts, body, arrived);
        let reply = self.exchange.serve(request).await;
        let mut response = encode_reply(reply, busy);
        if self.is_leaving.load(Ordering::Relaxed) {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert("connection", close);
        }
        response
    }
}

/// Counts a request until its answer has been passed on or dropped.
struct Busy {
    ingress: Arc<Ingress>,
    activity: Arc<Activity>,
}

impl Busy {
    fn new(ingress: Arc<Ingress>, activity: Arc<Activity>) -> Self {
        ingress.busy.fetch_add(1, Ordering::Relaxed);
        activity.begin_request();
        Self { ingress, activity }
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.activity.end_request();
        self.ingress.busy.fetch_sub(1, Ordering::Relaxed);
    }
}

fn decode_request(parts: http::request::Parts, body: Bytes, arrived: Instant) -> ExchangeRequest {
    let mut headers = parts.headers;
    let text = |name: &str| {
        let value = headers.get(name)?;
        value.to_str().ok().map(str::trim)
    };
    let attempt = text(names::ATTEMPT_ID).unwrap_or_default().into();
    let host = text("host").unwrap_or_default();
    let host = host.rsplit_once(':').map_or(host, |(host, _)| host).into();
    let key = text("authorization")
        .and_then(|value| value.strip_prefix("Token "))
        .map(|key| key.trim().into());
    let patience = decode_patience(&headers);
    let tokens = text(names::TOKEN_USAGE).and_then(decode_usage);
    let prompt_parts = text(names::PREFIX_PARTS)
        .map(decode_parts)
        .unwrap_or_default();
    let resume_after = text(names::LAST_EVENT_ID).and_then(|value| value.parse().ok());
    let target = parts
        .uri
        .path_and_query()
        .map_or("/", |target| target.as_str())
        .into();
    remove_caller_headers(&mut headers);
    ExchangeRequest {
        attempt,
        method: parts.method,
        target,
        host,
        headers,
        body,
        key,
        arrived,
        patience,
        tokens,
        prompt_parts,
        resume_after,
    }
}

/// How long the caller waits, if it says so.
fn decode_patience(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(names::DEADLINE_MS)?.to_str().ok()?;
    let patience_ms: f64 = value.trim().parse().ok()?;
    Duration::try_from_secs_f64(patience_ms / 1_000.0).ok()
}

async fn sleep_until(end: Option<Instant>) {
    if let Some(end) = end {
        tokio::time::sleep_until(end).await;
    }
}

/// Removes what replicas must not see: keys, and headers that only the router sets.
fn remove_caller_headers(headers: &mut HeaderMap) {
    remove_connection_headers(headers);
    for name in names::RESERVED {
        headers.remove(name);
    }
    for name in [
        "authorization",
        "expect",
        names::LAST_EVENT_ID,
        names::DEADLINE_MS,
    ] {
        headers.remove(name);
    }
}

fn decode_usage(value: &str) -> Option<TokenBound> {
    let (prompt, output) = value.split_once(',')?;
    Some(TokenBound {
        prompt_tokens: Tokens::new(prompt.trim().parse().ok()?),
        max_output_tokens: Tokens::new(output.trim().parse().ok()?),
    })
}

/// Parts that cannot be read are left out: they only guide the choice of a replica.
fn decode_parts(value: &str) -> Vec<PromptPart> {
    let parts = value.split(',').filter_map(|part| {
        let (id, length) = part.trim().split_once(':')?;
        Some(PromptPart {
            id: u64::from_str_radix(id, 16).ok()?,
            length_tokens: length.parse().ok()?,
        })
    });
    parts.collect()
}

fn encode_reply(reply: Reply, busy: Busy) -> Response<ReplyStream> {
    match reply {
        Reply::Rejected(rejection) => encode_rejection(&rejection),
        Reply::Answer {
            status,
            headers,
            body,
        } => {
            let body = match body {
                ReplyBody::Whole(body) => whole(body),
                ReplyBody::Pieces(pieces) => {
                    let frames = pieces.map(move |piece| {
                        // The request is in progress as long as the body lives.
                        let _ = &busy;
                        piece.map(Frame::data)
                    });
                    StreamBody::new(frames).boxed_unsync()
                }
            };
            let mut response = Response::new(body);
            *response.status_mut() =
                StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
            *response.headers_mut() = headers;
            response
        }
    }
}

fn encode_rejection(rejection: &Rejection) -> Response<ReplyStream> {
    let status =
        StatusCode::from_u16(rejection.kind.status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let mut response = plain(status, &rejection.kind.to_string());
    if let Some(time) = rejection.retry_after {
        let seconds = format!("{:.2}", time.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert("retry-after", value);
        }
    }
    response
}

fn plain(status: StatusCode, reason: &str) -> Response<ReplyStream> {
    let body = serde_json::json!({ "error": reason }).to_string();
    let mut response = Response::new(whole(Bytes::from(body)));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert("content-type", json);
    response
}

fn whole(body: Bytes) -> ReplyStream {
    Full::new(body)
        .map_err(|never| match never {})
        .boxed_unsync()
}
