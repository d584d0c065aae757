//! A running router: its HTTP server, its router-to-router RPC server and its background tasks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::{info, Logger};
use thiserror::Error;
use tokio::task::JoinSet;

use crate::backend::http::HttpBackend;
use crate::http_server::{HttpServer, StartError};
use crate::peer::rpc::{FleetSecret, RpcError, RpcNetwork};
use crate::peer::{PeerNetwork, PeerRouter};
use crate::router::{web, ExternalSystems, Router, RouterOptions};
use crate::settings::Settings;
use crate::store::http::HttpStore;
use crate::telemetry::TelemetryError;
use crate::vm_list::HttpVmList;

/// Timeout for connecting to a backend server or the platform.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle timeout of pooled connections, shorter than the usual keep-alive timeout of servers.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Why a router did not start.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// The HTTP server could not be started.
    #[error(transparent)]
    Http(#[from] StartError),
    /// The router-to-router RPC server could not be started.
    #[error(transparent)]
    Rpc(#[from] RpcError),
    /// The metrics exporter could not be set up.
    #[error(transparent)]
    Telemetry(#[from] TelemetryError),
    /// The HTTP client could not be set up.
    #[error("HTTP client: {0}")]
    Client(#[from] reqwest::Error),
}

/// A running router.
#[derive(Debug)]
pub struct Daemon {
    router: Arc<Router>,
    server: HttpServer,
    peer_address: SocketAddr,
    tasks: JoinSet<()>,
}

/// Creates the HTTP client for calls to the platform and backend servers.
///
/// # Errors
///
/// Fails when the TLS library cannot be set up.
pub fn http_client() -> Result<reqwest::Client, reqwest::Error> {
    reqwest::Client::builder()
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .tcp_nodelay(true)
        .build()
}

impl Daemon {
    /// Starts a router that reaches its peers and other dependencies over the network.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound or a library cannot be set up.
    pub async fn start(
        mut settings: Settings,
        secret: FleetSecret,
        options: RouterOptions,
        log: &Logger,
    ) -> Result<Self, DaemonError> {
        let network = RpcNetwork::start(settings.peer_listen, secret)?;
        settings.peer_listen = network.address();
        let external_systems = external_systems(&settings, Arc::new(network.clone()))?;
        let daemon =
            Self::start_with_external_systems(settings, external_systems, options, log).await?;
        let router: Arc<dyn PeerRouter> = daemon.router();
        network.serve(router).await;
        Ok(daemon)
    }

    /// Starts a router with the given clients for its external dependencies.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound or a library cannot be set up.
    pub async fn start_with_external_systems(
        settings: Settings,
        external_systems: ExternalSystems,
        options: RouterOptions,
        log: &Logger,
    ) -> Result<Self, DaemonError> {
        let peer_address = settings.peer_address();
        let advertise = settings.advertise;
        let router = Arc::new(Router::new(settings, external_systems, options, log)?);
        let server = HttpServer::start(web::build(&router)).await?;
        router
            .fleet
            .set_address(advertise.unwrap_or(server.address()));
        let mut tasks = JoinSet::new();
        router.start(&mut tasks);
        info!(router.log, "listening"; "address" => server.address().to_string(),
            "peer_address" => peer_address.to_string());
        Ok(Self {
            router,
            server,
            peer_address,
            tasks,
        })
    }

    /// Returns the router.
    #[must_use]
    pub fn router(&self) -> Arc<Router> {
        Arc::clone(&self.router)
    }

    /// Returns the bound address for callers.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the address for other routers.
    #[must_use]
    pub const fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Drains and stops the router. Returns true when no request was left running, all grants were
    /// returned and all bills were written.
    pub async fn drain_and_stop(self) -> bool {
        let is_clean = self.router.drain().await;
        self.server.stop().await;
        is_clean
    }

    /// Stops the router without draining, as in a crash.
    pub fn abort(mut self) {
        self.tasks.abort_all();
        self.server.abort();
    }
}

/// Creates the clients that reach a router's external dependencies over the network.
///
/// # Errors
///
/// Fails when the HTTP client cannot be set up.
pub fn external_systems(
    settings: &Settings,
    network: Arc<dyn PeerNetwork>,
) -> Result<ExternalSystems, DaemonError> {
    let client = http_client()?;
    let backend = Arc::new(HttpBackend::new(client.clone()));
    Ok(ExternalSystems {
        store: Arc::new(HttpStore::new(client.clone(), &settings.platform_url)),
        vm_list: Arc::new(HttpVmList::new(client, &settings.platform_url)),
        network,
        engine: Arc::clone(&backend) as _,
        service: backend,
    })
}
