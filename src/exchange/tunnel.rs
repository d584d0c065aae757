//! Connections to replicas on behalf of routers that have no path to them.
//!
//! A tunnel forwards bytes between another router and a replica and knows nothing of the requests
//! in them: which request runs where, and what it costs, is decided by the router that received it.
//! A tunnel leads to a replica that this router knows by its id, never to any other address, and
//! through one router only. A close of the replica's connection is stated to the other router.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use slog::{info, Logger};
use strum::Display;
use tokio::io::{AsyncReadExt, AsyncWriteExt, ReadHalf, WriteHalf};
use tokio::net::tcp;
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::members::RouterStateSource;
use super::metrics::ExchangeMetrics;
use super::path_monitor::PathMonitor;
use super::peer_link::{send, Link};
use super::pools::Pools;
use super::replica_dialer::REPLICA_TCP_USER_TIMEOUT;
use super::request::ReplicaAddress;
use super::tunnel_stream::{AnswerWriter, TunnelFormat, MAX_MESSAGE_BYTES};
use crate::core::ids::ReplicaId;
use crate::tcp::{close_regularly, connect, reset_on_close, set_keepalive, LossTrackingStream};
use crate::util::{lock, millis};

/// Timeout for connecting to a replica; shorter than that of the router that waits for it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Time in which the other router takes no bytes of an answer, after which its connection counts as
/// lost. Longer than that of callers, for which it may have to wait.
const ROUTER_TCP_USER_TIMEOUT: Duration = Duration::from_secs(5);
/// Spare capacity, in percent, below which a router opens no tunnels, which its own callers need.
const MIN_HEADROOM_PERCENT: u8 = 20;
/// Most other replicas that are connected to, to tell a replica that refuses from a path that is cut.
/// Several replicas may be down at once.
const MAX_CHECKED_REPLICAS: usize = 8;
/// Time for which it is remembered that none of them accepted a connection.
const UNREACHED_RETENTION: Duration = Duration::from_millis(250);
/// Bytes forwarded at once in one direction.
const BUFFER_BYTES: usize = MAX_MESSAGE_BYTES;
/// Time in which the other router must close its connection after the replica closed its own.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Request for a connection to a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct TunnelRequest {
    /// Router that requests it, by its hello address.
    pub router: SocketAddr,
    /// The replica.
    pub replica: ReplicaId,
    /// Its incarnation.
    pub born_ms: Option<u64>,
    /// Attempt id of the first request on it; empty for a probe.
    pub request: CompactString,
}

/// Answer to a request for a tunnel. After `Opened` the connection is the replica's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
pub(super) enum TunnelAnswer {
    /// The replica accepted a connection.
    Opened,
    /// The replica's address refuses connections, and other replicas accept them.
    Refused,
    /// The replica cannot be reached from here.
    Unreachable,
    /// This router has no path to replicas itself.
    NoPath,
    /// This router needs its capacity for its own callers.
    Busy,
    /// This router is leaving.
    Leaving,
    /// This router knows no such incarnation.
    UnknownReplica,
}

/// Opens connections to replicas for other routers.
pub(crate) struct TunnelServer {
    pools: Arc<Pools>,
    paths: Arc<PathMonitor>,
    own_state: RouterStateSource,
    open_count: Arc<AtomicUsize>,
    /// When no replica was found that accepts connections.
    unreached_at: Mutex<Option<Instant>>,
    metrics: Arc<ExchangeMetrics>,
    log: Logger,
}

impl TunnelServer {
    /// Creates a server whose open tunnels are counted.
    pub(crate) fn new(
        pools: Arc<Pools>,
        paths: Arc<PathMonitor>,
        own_state: RouterStateSource,
        open_count: Arc<AtomicUsize>,
        metrics: Arc<ExchangeMetrics>,
        log: Logger,
    ) -> Self {
        Self {
            pools,
            paths,
            own_state,
            open_count,
            unreached_at: Mutex::default(),
            metrics,
            log,
        }
    }

    /// Opens a connection to a replica and forwards bytes until it ends.
    ///
    /// # Errors
    ///
    /// Fails if the connection to the other router breaks before the answer was sent.
    pub(super) async fn serve(
        &self,
        mut link: Link,
        request: TunnelRequest,
        format: TunnelFormat,
    ) -> io::Result<()> {
        let opened = self.open(&request).await;
        let answer = match &opened {
            Ok(_) => TunnelAnswer::Opened,
            Err(answer) => *answer,
        };
        let metrics = self.metrics.paths();
        metrics.count_tunnel_served(&answer.to_string());
        send(&mut link, &answer).await?;
        let Ok(replica) = opened else {
            info!(self.log, "tunnel not opened"; "router" => request.router.to_string(),
                "replica" => request.replica.as_str(), "request" => request.request.as_str(),
                "reason" => answer.to_string());
            return Ok(());
        };
        let opened_at = Instant::now();
        let _open = OpenTunnel::new(&self.open_count);
        let bytes = Forwarded::default();
        let router = link.into_inner();
        set_keepalive(&router, ROUTER_TCP_USER_TIMEOUT)?;
        let end = forward(router, replica, format, &bytes).await;
        info!(self.log, "tunnel closed"; "router" => request.router.to_string(),
            "replica" => request.replica.as_str(), "request" => request.request.as_str(),
            "open_ms" => millis(opened_at.elapsed()),
            "request_bytes" => bytes.to_replica.load(Ordering::Relaxed),
            "answer_bytes" => bytes.to_router.load(Ordering::Relaxed),
            "end" => end.to_string());
        Ok(())
    }

    async fn open(&self, request: &TunnelRequest) -> Result<TcpStream, TunnelAnswer> {
        let own_state = (self.own_state)();
        if !own_state.is_ready {
            return Err(TunnelAnswer::Leaving);
        }
        if !self.paths.has_path() {
            return Err(TunnelAnswer::NoPath);
        }
        if own_state.headroom_percent < MIN_HEADROOM_PERCENT {
            return Err(TunnelAnswer::Busy);
        }
        let replica = self
            .pools
            .find_replica(&request.replica, request.born_ms)
            .ok_or(TunnelAnswer::UnknownReplica)?;
        self.connect(&replica).await
    }

    async fn connect(&self, replica: &ReplicaAddress) -> Result<TcpStream, TunnelAnswer> {
        match self.connect_directly(replica).await {
            Ok(stream) => Ok(stream),
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                if self.reaches_other_replica(&replica.id).await {
                    Err(TunnelAnswer::Refused)
                } else {
                    Err(TunnelAnswer::Unreachable)
                }
            }
            Err(_) => Err(TunnelAnswer::Unreachable),
        }
    }

    async fn connect_directly(&self, replica: &ReplicaAddress) -> io::Result<TcpStream> {
        let result = connect(replica.address, CONNECT_TIMEOUT, REPLICA_TCP_USER_TIMEOUT).await;
        self.metrics.paths().count_connect(&result);
        if result.is_ok() {
            self.paths.record_direct(&replica.id);
        }
        result
    }

    /// Returns true if a replica other than this one accepts a connection now. Connections are also
    /// refused where this router's own path is cut, which would confirm a wrong conclusion.
    async fn reaches_other_replica(&self, refusing: &ReplicaId) -> bool {
        let is_known_to_fail =
            lock(&self.unreached_at).is_some_and(|at: Instant| at.elapsed() < UNREACHED_RETENTION);
        if is_known_to_fail {
            return false;
        }
        let mut others = self.pools.sample_replicas(MAX_CHECKED_REPLICAS + 1);
        others.retain(|replica| replica.id != *refusing);
        for replica in others.iter().take(MAX_CHECKED_REPLICAS) {
            if self.connect_directly(replica).await.is_ok() {
                return true;
            }
        }
        *lock(&self.unreached_at) = Some(Instant::now());
        false
    }
}

/// Counts a tunnel while it is open.
struct OpenTunnel<'a>(&'a AtomicUsize);

impl<'a> OpenTunnel<'a> {
    fn new(open_count: &'a AtomicUsize) -> Self {
        open_count.fetch_add(1, Ordering::Relaxed);
        Self(open_count)
    }
}

impl Drop for OpenTunnel<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Bytes forwarded so far.
#[derive(Debug, Default)]
struct Forwarded {
    to_replica: AtomicU64,
    to_router: AtomicU64,
}

/// How a tunnel ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
enum TunnelEnd {
    /// The other router closed or lost its connection.
    RouterLeft,
    /// The replica closed its connection.
    ReplicaClosed,
    /// The replica's connection was reset or lost.
    ReplicaLost,
}

type ReplicaStream = LossTrackingStream<TcpStream>;

/// Forwards bytes in both directions until one of the two connections ends, and then ends the other
/// one.
async fn forward(
    mut router: TcpStream,
    replica: TcpStream,
    format: TunnelFormat,
    bytes: &Forwarded,
) -> TunnelEnd {
    if format == TunnelFormat::Plain {
        // Also if this process is killed, when a close would stand for that of the replica.
        reset_on_close(&router);
    }
    // Owned halves would send the end of a whole answer before a reset.
    let (mut from_router, to_router) = router.split();
    let (mut from_replica, mut to_replica) = tokio::io::split(ReplicaStream::new(replica));
    let mut answer = AnswerWriter::new(to_router, format);
    let end = tokio::select! {
        () = copy_requests(&mut from_router, &mut to_replica, &bytes.to_replica) => {
            TunnelEnd::RouterLeft
        }
        end = copy_answers(&mut from_replica, &mut answer, &bytes.to_router) => end,
    };
    let is_end_sent = match end {
        TunnelEnd::RouterLeft => false,
        TunnelEnd::ReplicaClosed => answer.finish().await.is_ok(),
        TunnelEnd::ReplicaLost => answer.finish_lost().await.is_ok(),
    };
    if is_end_sent {
        // Closing at once would discard bytes that the router has not read yet.
        let mut sink = tokio::io::sink();
        let rest = tokio::io::copy(&mut from_router, &mut sink);
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, rest).await;
    }
    drop(answer);
    if is_end_sent && end == TunnelEnd::ReplicaClosed {
        close_regularly(&router);
    }
    end
}

/// Forwards requests until the router leaves.
async fn copy_requests(
    from_router: &mut tcp::ReadHalf<'_>,
    to_replica: &mut WriteHalf<ReplicaStream>,
    count: &AtomicU64,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(length @ 1..) = from_router.read(&mut buffer).await {
        if to_replica.write_all(&buffer[..length]).await.is_err() {
            // The replica may have answered before. The end of its answers is an error now.
            std::future::pending::<()>().await;
        }
        count.fetch_add(length as u64, Ordering::Relaxed);
    }
}

/// Forwards answers until the replica's connection ends or the router takes no more.
async fn copy_answers(
    from_replica: &mut ReadHalf<ReplicaStream>,
    answer: &mut AnswerWriter<'_>,
    count: &AtomicU64,
) -> TunnelEnd {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let length = match from_replica.read(&mut buffer).await {
            Ok(0) => return TunnelEnd::ReplicaClosed,
            Ok(length) => length,
            Err(_) => return TunnelEnd::ReplicaLost,
        };
        if answer.send(&buffer[..length]).await.is_err() {
            return TunnelEnd::RouterLeft;
        }
        count.fetch_add(length as u64, Ordering::Relaxed);
    }
}
