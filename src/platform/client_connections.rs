//! The connections of one listener for clients: how many there may be, and how long each may wait
//! for its client.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use compact_str::CompactString;
use http::{Request, Response};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use slog::{info, o, warn, Logger};
use strum::IntoStaticStr;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;

use super::activity::{Activity, ClientWait};
use super::caller_stream::CallerStream;
use super::transport::describe;
use crate::exchange::metrics::ExchangeMetrics;
use crate::tcp::set_keepalive;
use crate::util::lock;

/// Time without TCP acknowledgement after which a client's connection counts as lost.
const CLIENT_TCP_USER_TIMEOUT: Duration = Duration::from_secs(4);
/// Idle timeout while there are more connections than memory allows for.
const CROWDED_IDLE_TIMEOUT: Duration = Duration::from_millis(500);
/// Share of the connections that count as a crowd, as a divisor, by which their number must fall
/// below it before the usual idle timeout applies again.
const UNCROWDED_DIVISOR: usize = 5;
/// Smallest buffer that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// Delay after a failed accept, which is mostly due to a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time for which a connection may wait for its first request before it is closed in favour of
/// another one: enough for a request that is on its way.
const MIN_CLIENT_WAIT: Duration = Duration::from_millis(250);
/// Interval at which a lack of connections is logged, at most.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// How long a connection may wait for its client, and how much it buffers.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClientLimits {
    /// Longest time between requests, and without progress in reading an answer.
    pub(super) idle_timeout: Duration,
    /// Longest time for sending a head.
    pub(super) head_timeout: Duration,
    /// Longest head.
    pub(super) max_head_bytes: usize,
}

/// How many connections there may be.
pub(crate) struct ConnectionBounds {
    /// Returns how many may be open now.
    pub(crate) max_open: Box<dyn Fn() -> usize + Send + Sync>,
    /// Number from which on idle ones are closed sooner.
    pub(crate) crowded_from: usize,
}

/// Why a connection was closed or refused in favour of others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
enum Shortage {
    /// It waited for its client, and another one was opened.
    Displaced,
    /// All others have a request in progress.
    Refused,
}

/// Which connections are closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Closing {
    No,
    WhenIdle,
    Now,
}

/// The open connections of a listener.
pub(super) struct ClientConnections {
    bounds: ConnectionBounds,
    limits: Box<dyn Fn() -> ClientLimits + Send + Sync>,
    open: Mutex<OpenConnections>,
    /// True while idle connections are closed sooner.
    is_crowded: watch::Sender<bool>,
    closing: watch::Sender<Closing>,
    listener_name: &'static str,
    metrics: Arc<ExchangeMetrics>,
    log: Logger,
}

#[derive(Debug, Default)]
struct OpenConnections {
    next_id: u64,
    by_id: BTreeMap<u64, Arc<Activity>>,
    shortage_logged: Option<Instant>,
}

impl fmt::Debug for ClientConnections {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ClientConnections")
            .field("listener", &self.listener_name)
            .finish_non_exhaustive()
    }
}

impl ClientConnections {
    /// Creates the connections of a listener.
    pub(super) fn new(
        listener_name: &'static str,
        bounds: ConnectionBounds,
        limits: Box<dyn Fn() -> ClientLimits + Send + Sync>,
        metrics: Arc<ExchangeMetrics>,
        log: &Logger,
    ) -> Arc<Self> {
        Arc::new(Self {
            bounds,
            limits,
            open: Mutex::default(),
            is_crowded: watch::Sender::new(false),
            closing: watch::Sender::new(Closing::No),
            listener_name,
            metrics,
            log: log.new(o!("listener" => listener_name)),
        })
    }

    /// Returns the number of open connections.
    pub(super) fn count(&self) -> usize {
        lock(&self.open).by_id.len()
    }

    /// Closes idle connections now, and all others as soon as they become idle.
    pub(super) fn close_idle(&self) {
        self.closing.send_replace(Closing::WhenIdle);
    }

    /// Closes all connections now, including those with a request in progress.
    pub(super) fn close_all(&self) {
        self.closing.send_replace(Closing::Now);
    }

    /// Accepts connections until the task is aborted.
    pub(super) async fn accept<S, F, B>(self: Arc<Self>, listener: TcpListener, service: S)
    where
        S: Fn(Request<Incoming>, Arc<Activity>) -> F + Clone + Send + 'static,
        F: Future<Output = Response<B>> + Send + 'static,
        B: Body + Send + 'static,
        B::Data: Send,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        loop {
            match listener.accept().await {
                Ok((stream, peer)) => {
                    let Some((connection, displaced_count)) = self.admit() else {
                        continue;
                    };
                    let connections = Arc::clone(&self);
                    let service = service.clone();
                    tokio::spawn(async move {
                        connections.serve(stream, peer, connection, service).await;
                    });
                    if displaced_count > 0 {
                        // Lets the displaced connections be closed before the next one is opened.
                        tokio::task::yield_now().await;
                    }
                }
                Err(error) => {
                    warn!(self.log, "failed to accept connection"; "reason" => error.to_string());
                    self.displace_one();
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Registers a connection, if there may be one more. Others that wait for their clients are
    /// closed in its favour.
    fn admit(self: &Arc<Self>) -> Option<(OpenConnection, usize)> {
        let max_open = (self.bounds.max_open)().max(1);
        let mut open = lock(&self.open);
        let mut displaced_count = 0;
        while open.by_id.len() >= max_open {
            if !open.displace_waiting() {
                self.record_shortage(&mut open, Shortage::Refused, max_open);
                return None;
            }
            displaced_count += 1;
            self.record_shortage(&mut open, Shortage::Displaced, max_open);
        }
        let id = open.next_id;
        open.next_id += 1;
        let activity = Arc::new(Activity::new());
        open.by_id.insert(id, Arc::clone(&activity));
        drop(open);
        self.update_crowded();
        let connection = OpenConnection {
            connections: Arc::clone(self),
            id,
            activity,
        };
        Some((connection, displaced_count))
    }

    fn displace_one(&self) {
        let mut open = lock(&self.open);
        let max_open = open.by_id.len();
        if open.displace_waiting() {
            self.record_shortage(&mut open, Shortage::Displaced, max_open);
        }
    }

    fn record_shortage(&self, open: &mut OpenConnections, shortage: Shortage, max_open: usize) {
        self.metrics
            .count_connection_shortage(self.listener_name, shortage.into());
        let was_logged = open.shortage_logged.map(|at| at.elapsed());
        if was_logged.is_some_and(|elapsed| elapsed < LOG_INTERVAL) {
            return;
        }
        open.shortage_logged = Some(Instant::now());
        let result: &str = shortage.into();
        warn!(self.log, "connections of clients used up"; "connections" => open.by_id.len(),
            "max_connections" => max_open, "result" => result);
    }

    /// Closes idle connections sooner while there are too many.
    fn update_crowded(&self) {
        let open = self.count();
        let is_changed = self.is_crowded.send_if_modified(|is_crowded| {
            let limit = if *is_crowded {
                self.bounds.crowded_from - self.bounds.crowded_from / UNCROWDED_DIVISOR
            } else {
                self.bounds.crowded_from
            };
            let was_crowded = std::mem::replace(is_crowded, open > limit);
            *is_crowded != was_crowded
        });
        if is_changed {
            info!(self.log, "idle timeout of callers changed"; "connections" => open,
                "max_connections" => self.bounds.crowded_from,
                "is_crowded" => *self.is_crowded.borrow());
        }
    }

    async fn serve<S, F, B>(
        self: Arc<Self>,
        stream: TcpStream,
        peer: SocketAddr,
        open: OpenConnection,
        service: S,
    ) where
        S: Fn(Request<Incoming>, Arc<Activity>) -> F + Send + 'static,
        F: Future<Output = Response<B>> + Send + 'static,
        B: Body + Send + 'static,
        B::Data: Send,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        if let Err(error) = set_keepalive(&stream, CLIENT_TCP_USER_TIMEOUT) {
            warn!(self.log, "failed to set socket options of connection";
                "peer" => peer.to_string(), "reason" => error.to_string());
        }
        let activity = Arc::clone(&open.activity);
        let service = {
            let activity = Arc::clone(&activity);
            service_fn(move |request| {
                // On the heap, so that a connection without a request does not hold its size.
                let answer = Box::pin(service(request, Arc::clone(&activity)));
                async move { Ok::<_, Infallible>(answer.await) }
            })
        };
        let stream = CallerStream::new(stream, Arc::clone(&activity));
        let max_head_bytes = (self.limits)().max_head_bytes;
        let connection = http1::Builder::new()
            .max_buf_size(max_head_bytes.max(MIN_BUFFER_BYTES))
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        let reason = self.run(connection.as_mut(), &activity).await;
        if let EndReason::TimedOut(wait) = &reason {
            info!(self.log, "connection closed: the client timed out";
                "peer" => peer.to_string(), "waited_for" => <&str>::from(*wait));
        }
        activity.set_end_reason(reason.text());
    }

    /// Runs a connection until it ends or is to be closed.
    async fn run<S, B>(
        &self,
        mut connection: Pin<&mut http1::Connection<TokioIo<CallerStream>, S>>,
        activity: &Activity,
    ) -> EndReason
    where
        S: hyper::service::HttpService<Incoming, ResBody = B>,
        S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
        B: Body + 'static,
        B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    {
        let mut closing = self.closing.subscribe();
        let mut is_crowded = self.is_crowded.subscribe();
        let mut is_closing = *closing.borrow() != Closing::No;
        if is_closing {
            connection.as_mut().graceful_shutdown();
        }
        loop {
            let mut limits = (self.limits)();
            if *is_crowded.borrow_and_update() {
                limits.idle_timeout = limits.idle_timeout.min(CROWDED_IDLE_TIMEOUT);
            }
            let deadline = client_deadline(activity, &limits, is_closing);
            // A request ends without notice, so that idle connections are checked after a while.
            let next_check = deadline.map_or_else(
                || Instant::now() + limits.idle_timeout,
                |(_, deadline)| deadline,
            );
            tokio::select! {
                // Received bytes are read before their absence can time out.
                biased;
                // A caller that has closed its connection needs no answer.
                result = connection.as_mut() => {
                    return EndReason::Ended(match result {
                        Ok(()) => "closed by the caller".into(),
                        Err(error) => describe(&error),
                    });
                }
                () = activity.close_requested() => return EndReason::Displaced,
                () = activity.wait_started() => {}
                Ok(()) = closing.changed() => {
                    if *closing.borrow_and_update() == Closing::Now {
                        return EndReason::RouterExits;
                    }
                    is_closing = true;
                    connection.as_mut().graceful_shutdown();
                }
                Ok(()) = is_crowded.changed() => {}
                () = tokio::time::sleep_until(next_check) => {
                    match client_deadline(activity, &limits, is_closing) {
                        Some((_, deadline)) if deadline > Instant::now() => {}
                        Some((ClientWait::Idle, _)) => {
                            is_closing = true;
                            connection.as_mut().graceful_shutdown();
                        }
                        Some((wait, _)) => return EndReason::TimedOut(wait),
                        None => {}
                    }
                }
            }
        }
    }
}

/// Returns until when a connection waits for its client. The time for a body depends on its request
/// and is bounded elsewhere.
fn client_deadline(
    activity: &Activity,
    limits: &ClientLimits,
    is_closing: bool,
) -> Option<(ClientWait, Instant)> {
    let (wait, since) = activity.client_wait()?;
    let timeout = match wait {
        ClientWait::Idle if is_closing => return None,
        ClientWait::Body => return None,
        ClientWait::Idle | ClientWait::Reading => limits.idle_timeout,
        ClientWait::Head => limits.head_timeout,
    };
    Some((wait, since + timeout))
}

/// Why a connection ended.
enum EndReason {
    Ended(CompactString),
    Displaced,
    RouterExits,
    TimedOut(ClientWait),
}

impl EndReason {
    fn text(self) -> CompactString {
        match self {
            Self::Ended(reason) => reason,
            Self::Displaced => "closed in favour of another client".into(),
            Self::RouterExits => "the router exits".into(),
            Self::TimedOut(wait) => {
                compact_str::format_compact!("the client timed out: {}", <&str>::from(wait))
            }
        }
    }
}

impl OpenConnections {
    /// Closes the connection that has waited for its client the longest; first of those on which no
    /// request was answered yet. If the first requests of all of them may still be on their way, the
    /// newest one is closed. Returns false if none waits for its client.
    fn displace_waiting(&mut self) -> bool {
        let mut longest = None;
        let mut newest = None;
        for (id, activity) in &self.by_id {
            let Some((_, since)) = activity.client_wait() else {
                continue;
            };
            let has_answered = activity.has_answered();
            if has_answered || since.elapsed() >= MIN_CLIENT_WAIT {
                let rank = (has_answered, since, *id);
                longest =
                    Some(longest.map_or(rank, |longest: (bool, Instant, u64)| longest.min(rank)));
            } else {
                newest = Some(*id);
            }
        }
        let Some(id) = longest.map(|(_, _, id)| id).or(newest) else {
            return false;
        };
        if let Some(activity) = self.by_id.remove(&id) {
            activity.request_close();
        }
        true
    }
}

/// An open connection, counted until it is dropped.
struct OpenConnection {
    connections: Arc<ClientConnections>,
    id: u64,
    activity: Arc<Activity>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        lock(&self.connections.open).by_id.remove(&self.id);
        self.connections.update_crowded();
    }
}
