//! Opens connections to replicas, directly or through another router.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::seq::SliceRandom;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_util::either::Either;

use super::members::Members;
use super::metrics::ExchangeMetrics;
use super::path_monitor::PathMonitor;
use super::peer_link::{open_link, receive, send, PeerRequest};
use super::pools::Pools;
use super::request::{ProbeResult, ReplicaAddress};
use super::tunnel::{TunnelAnswer, TunnelRequest};
use super::tunnel_stream::{TunnelFormat, TunnelStream};
use crate::core::replica_path::PathChoice;
use crate::tcp::{connect, set_keepalive};
use crate::util::lock;

/// Timeout for connecting to a replica, which is in the same region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time in which a replica acknowledges nothing or takes no bytes, after which its connection counts
/// as lost. Longer than the silence of a sound replica and the next TCP retransmission after it.
pub(super) const REPLICA_TCP_USER_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Time without an answer to a direct connection attempt after which other routers are asked as well.
const TUNNEL_DELAY: Duration = Duration::from_millis(100);
/// Timeout for one router to open a tunnel.
const TUNNEL_TIMEOUT: Duration = Duration::from_millis(250);
/// Most routers that are asked for one connection.
const MAX_ROUTERS: usize = 4;
/// Routers of the own failure domain that are asked first.
const LOCAL_ROUTERS_FIRST: usize = 1;
/// Time for which a router that opened no tunnel is asked last.
const ROUTER_BACKOFF: Duration = Duration::from_secs(1);
/// Most times that other routers are asked to confirm that a replica refuses connections.
const MAX_CONFIRMATIONS: u32 = 3;
/// Pause between these.
const CONFIRMATION_PAUSE: Duration = Duration::from_millis(100);
/// Interval at which the path is checked while there is reason to.
const CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Replicas that are connected to for one check.
const CHECKED_REPLICAS: usize = 2;

/// Why no connection to a replica was opened.
#[derive(Debug, Error)]
pub(crate) enum DialError {
    /// Its address refuses connections.
    #[error("{0}")]
    Refused(io::Error),
    /// It cannot be reached.
    #[error("{0}")]
    Unreachable(io::Error),
}

fn is_refused(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::ConnectionRefused
}

impl From<io::Error> for DialError {
    fn from(error: io::Error) -> Self {
        if is_refused(&error) {
            Self::Refused(error)
        } else {
            Self::Unreachable(error)
        }
    }
}

/// Why no tunnel to a replica was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
enum TunnelError {
    /// Another router, which reaches other replicas, reports that it refuses connections.
    #[error("another router was refused as well")]
    Refused,
    /// Other routers were asked, and none reached it.
    #[error("no other router reached it")]
    NotReached,
    /// No other router with a path is known.
    #[error("no other router is known")]
    NoRouter,
}

/// A connection to a replica.
#[derive(Debug)]
pub(crate) struct Dialed {
    /// The connection, directly or through another router.
    pub stream: Either<TcpStream, TunnelStream>,
    /// Router through which it leads, by its hello address; `None` if it is direct.
    pub via: Option<SocketAddr>,
}

/// Opens connections to replicas.
#[derive(Debug)]
pub(crate) struct ReplicaDialer {
    members: Arc<Members>,
    pools: Arc<Pools>,
    paths: Arc<PathMonitor>,
    metrics: Arc<ExchangeMetrics>,
    /// Routers that opened no tunnel, with the time.
    failed_routers: Mutex<Vec<(SocketAddr, Instant)>>,
}

impl ReplicaDialer {
    /// Creates a dialer that learns of other routers from `members`.
    pub(crate) fn new(
        members: Arc<Members>,
        pools: Arc<Pools>,
        paths: Arc<PathMonitor>,
        metrics: Arc<ExchangeMetrics>,
    ) -> Self {
        Self {
            members,
            pools,
            paths,
            metrics,
            failed_routers: Mutex::default(),
        }
    }

    /// Returns what is known of this router's own path to the replicas.
    pub(crate) const fn paths(&self) -> &Arc<PathMonitor> {
        &self.paths
    }

    /// Opens a connection to a replica for a request, directly or through another router.
    ///
    /// # Errors
    ///
    /// Fails if neither this router nor the others that were asked get a connection.
    pub(crate) async fn dial(
        &self,
        replica: &ReplicaAddress,
        request: &str,
    ) -> Result<Dialed, DialError> {
        if matches!(self.paths.choose(&replica.id), PathChoice::Tunnel { .. }) {
            match self.dial_tunnel(replica, request).await {
                Ok(tunnel) => return Ok(tunnel),
                Err(TunnelError::Refused) => {
                    return Err(DialError::Refused(io::ErrorKind::ConnectionRefused.into()));
                }
                Err(error @ TunnelError::NotReached) => {
                    return Err(DialError::Unreachable(io::Error::other(error)));
                }
                Err(TunnelError::NoRouter) => {}
            }
        }
        self.dial_any(replica, request).await
    }

    /// Opens a connection without using it, to check whether a server listens. A refusal that no
    /// other router confirms is checked again.
    pub(crate) async fn probe(&self, replica: &ReplicaAddress) -> ProbeResult {
        for _ in 0..MAX_CONFIRMATIONS {
            match self.dial(replica, "").await {
                Ok(_) => return ProbeResult::Accepted,
                Err(DialError::Refused(_)) => return ProbeResult::Refused,
                Err(DialError::Unreachable(error)) if is_refused(&error) => {}
                Err(DialError::Unreachable(_)) => return ProbeResult::NoAnswer,
            }
            tokio::time::sleep(CONFIRMATION_PAUSE).await;
        }
        ProbeResult::NoAnswer
    }

    /// Returns true if an idle connection can be expected to work. A tunnel is given up as soon as
    /// the direct path works or the other router leaves.
    pub(crate) fn may_reuse(
        &self,
        replica: &ReplicaAddress,
        via: Option<SocketAddr>,
        idle_since: Instant,
    ) -> bool {
        match via {
            None => self.paths.may_reuse(&replica.id, idle_since),
            Some(router) => {
                self.paths.choose(&replica.id) != PathChoice::Direct && self.may_use_router(router)
            }
        }
    }

    /// Returns true if connections through another router may be kept.
    pub(crate) fn may_use_router(&self, router: SocketAddr) -> bool {
        self.members.opens_tunnels(router)
    }

    /// Checks the path for as long as the process runs, when there is reason to.
    pub(crate) async fn watch_path(self: Arc<Self>) {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            if self.paths.needs_check() {
                self.check_path().await;
            }
        }
    }

    async fn check_path(&self) {
        let replicas = self.pools.sample_replicas(CHECKED_REPLICAS);
        if self.paths.has_path() {
            futures::future::join_all(replicas.iter().map(|replica| self.dial_any(replica, "")))
                .await;
        } else if let Some(replica) = replicas.first() {
            // A connection that fails confirms what is known.
            let _ = self.dial_directly(replica).await;
        }
    }

    /// Tries the direct path, and asks other routers if it fails or takes long.
    async fn dial_any(&self, replica: &ReplicaAddress, request: &str) -> Result<Dialed, DialError> {
        let mut direct = std::pin::pin!(self.dial_directly(replica));
        let first = tokio::time::timeout(TUNNEL_DELAY, direct.as_mut()).await;
        let mut direct_error = match first {
            Ok(Ok(dialed)) => return Ok(dialed),
            Ok(Err(error)) => Some(error),
            Err(_) => None,
        };
        let mut tunnel = std::pin::pin!(self.dial_tunnel(replica, request));
        let mut tunnel_error = None;
        loop {
            tokio::select! {
                biased;
                result = direct.as_mut(), if direct_error.is_none() => match result {
                    Ok(dialed) => return Ok(dialed),
                    Err(error) => direct_error = Some(error),
                },
                result = tunnel.as_mut(), if tunnel_error.is_none() => match result {
                    Ok(dialed) => {
                        if let Some(router) = dialed.via {
                            self.record_tunnel(replica, router);
                        }
                        return Ok(dialed);
                    }
                    Err(error) => tunnel_error = Some(error),
                },
            }
            if let Some(tunnel_error) = tunnel_error {
                if let Some(error) = direct_error.take() {
                    return Err(match tunnel_error {
                        TunnelError::NoRouter | TunnelError::Refused => error.into(),
                        TunnelError::NotReached => DialError::Unreachable(error),
                    });
                }
            }
        }
    }

    async fn dial_directly(&self, replica: &ReplicaAddress) -> io::Result<Dialed> {
        let result = connect(replica.address, CONNECT_TIMEOUT, REPLICA_TCP_USER_TIMEOUT).await;
        self.metrics.paths().count_connect(&result);
        let stream = result?;
        if self.paths.record_direct(&replica.id) {
            self.pools.end_ejections();
        }
        Ok(Dialed {
            stream: Either::Left(stream),
            via: None,
        })
    }

    fn record_tunnel(&self, replica: &ReplicaAddress, router: SocketAddr) {
        if self.paths.record_tunnel(&replica.id, router) {
            // Replicas were ejected for failures of the path.
            self.pools.end_ejections();
        }
    }

    /// Asks other routers for a connection to a replica, one after the other.
    async fn dial_tunnel(
        &self,
        replica: &ReplicaAddress,
        request: &str,
    ) -> Result<Dialed, TunnelError> {
        let routers = self.routers_to_ask();
        let tunnel_request = TunnelRequest {
            router: self.members.own().peer_address,
            replica: replica.id.clone(),
            born_ms: replica.born_ms,
            request: request.into(),
        };
        for router in &routers {
            let answer = open_tunnel(*router, &tunnel_request);
            let (result, stream) = match tokio::time::timeout(TUNNEL_TIMEOUT, answer).await {
                Ok(Ok((answer, stream))) => (answer.to_string(), stream.ok_or(answer)),
                Ok(Err(_)) => ("failed".to_owned(), Err(TunnelAnswer::Unreachable)),
                Err(_) => ("timed_out".to_owned(), Err(TunnelAnswer::Unreachable)),
            };
            self.metrics.paths().count_tunnel(&result);
            match stream {
                Ok(stream) => {
                    return Ok(Dialed {
                        stream: Either::Right(stream),
                        via: Some(*router),
                    })
                }
                Err(TunnelAnswer::Refused) => return Err(TunnelError::Refused),
                Err(_) => lock(&self.failed_routers).push((*router, Instant::now())),
            }
        }
        if routers.is_empty() {
            Err(TunnelError::NoRouter)
        } else {
            Err(TunnelError::NotReached)
        }
    }

    /// Returns the routers to ask for a tunnel: a few of the own failure domain first, as it may
    /// have lost its paths as a whole, and those that have just failed last.
    fn routers_to_ask(&self) -> Vec<SocketAddr> {
        let mut failures = lock(&self.failed_routers);
        failures.retain(|(_, at)| at.elapsed() < ROUTER_BACKOFF);
        let has_failed = |router: &SocketAddr| failures.iter().any(|(failed, _)| failed == router);
        let mut routers = self.members.tunnel_routers();
        routers.shuffle(&mut rand::rng());
        let (failed, fresh): (Vec<_>, Vec<_>) = routers
            .into_iter()
            .partition(|(router, _)| has_failed(router));
        let (mut local, remote): (Vec<_>, Vec<_>) =
            fresh.into_iter().partition(|(_, is_local)| *is_local);
        let later_local = local.split_off(local.len().min(LOCAL_ROUTERS_FIRST));
        let ordered = local.into_iter().chain(remote).chain(later_local);
        let ordered = ordered.chain(failed).map(|(router, _)| router);
        ordered.take(MAX_ROUTERS).collect()
    }
}

/// Asks a router to open a tunnel, and returns its answer and the connection if it did. A router
/// that knows no stated ends is asked for a plain tunnel.
async fn open_tunnel(
    router: SocketAddr,
    request: &TunnelRequest,
) -> io::Result<(TunnelAnswer, Option<TunnelStream>)> {
    match request_tunnel(router, request, TunnelFormat::Stated).await {
        Err(error) if is_closed(&error) => {
            request_tunnel(router, request, TunnelFormat::Plain).await
        }
        result => result,
    }
}

/// Returns true if the other end closed the connection.
fn is_closed(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::UnexpectedEof | io::ErrorKind::ConnectionReset
    )
}

async fn request_tunnel(
    router: SocketAddr,
    request: &TunnelRequest,
    format: TunnelFormat,
) -> io::Result<(TunnelAnswer, Option<TunnelStream>)> {
    let mut link = open_link(router).await?;
    let message = match format {
        TunnelFormat::Plain => PeerRequest::Tunnel(request.clone()),
        TunnelFormat::Stated => PeerRequest::StatedTunnel(request.clone()),
    };
    send(&mut link, &message).await?;
    let answer: TunnelAnswer = receive(&mut link).await?;
    if answer != TunnelAnswer::Opened {
        return Ok((answer, None));
    }
    let stream = link.into_inner();
    // From here on it stands for a direct connection to the replica.
    set_keepalive(&stream, REPLICA_TCP_USER_TIMEOUT)?;
    Ok((answer, Some(TunnelStream::new(stream, format))))
}
