//! An entry router: the exchange between callers and replicas on one VM of a platform.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use slog::{info, o, Logger};
use thiserror::Error;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{watch, Mutex};
use tokio::time::Instant;

use crate::body_memory::BodyMemory;
use crate::core::policy::PolicyName;
use crate::core::presence::RouterState;
use crate::entry_parts::{
    count_connections, new_directory, new_headroom, new_ingress, new_origins, new_permits,
    new_pools, new_server_crashes, new_transport, own_entry,
};
use crate::entry_settings::EntrySettings;
use crate::exchange::directory::Directory;
use crate::exchange::engine::{Exchange, ExchangeParts};
use crate::exchange::feed_link::FeedContext;
use crate::exchange::feed_sync::FeedSync;
use crate::exchange::grants::{holder_on_vm, Grants};
use crate::exchange::headroom::Headroom;
use crate::exchange::hellos::{
    deregister, receive_datagrams, send_hellos, send_part_reports, send_suspicions, sync_entries,
    HelloContext, RouterSink, ROUTER_KIND,
};
use crate::exchange::ledger_sync::LedgerSync;
use crate::exchange::limits::ReplicaLimits;
use crate::exchange::members::{Members, RouterStateSource};
use crate::exchange::metrics::ExchangeMetrics;
use crate::exchange::path_monitor::PathMonitor;
use crate::exchange::peer_link::serve_routers;
use crate::exchange::permits::Permits;
use crate::exchange::pools::Pools;
use crate::exchange::quarantine_store::{QuarantineSink, QuarantineWriter, QUARANTINE_KIND};
use crate::exchange::single_version::SingleVersions;
use crate::exchange::stream_origins::StreamOrigins;
use crate::exchange::suspects::Suspects;
use crate::exchange::transfers::send_transfers;
use crate::exchange::tunnel::TunnelServer;
use crate::platform::ingress::Ingress;
use crate::platform::names::{CONFIG_KIND, SERVER_KIND};
use crate::platform::objects::PlatformStore;
use crate::platform::registry::RouterEndpoints;
use crate::platform::sinks::{ConfigSink, ReplicaSink};
use crate::platform::transport::HttpTransport;
use crate::store::feed::{Feed, KindFeed, KindSink};
use crate::store::health::StoreHealth;
use crate::store::kind_watcher::KindWatcher;
use crate::store::kinds::{Freshness, KindStore};
use crate::tcp::{listen_within, ListenBounds};
use crate::util::stable_hash;

/// Interval of housekeeping.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(250);
/// Longest wait of a watch call on a kind whose changes must be received at once. It is long, as
/// each answer is charged for; other calls show when the store is unreachable.
const LONG_WATCH_WAIT: Duration = Duration::from_secs(25);
/// Longest wait of a watch call on the routers' entries. Its frequent answers let a router with
/// watch duty detect that it cannot reach the store.
const ENTRY_WATCH_WAIT: Duration = Duration::from_secs(1);
/// Longest time after SIGTERM for which requests are still accepted. Within it, callers that cache
/// this router's address receive those of other routers.
const MAX_LEAVING_PERIOD: Duration = Duration::from_millis(2_500);
/// Share of the grace period for which requests are accepted, as a divisor. The rest is for those in
/// progress, which are cut at its end.
const LEAVING_PERIOD_DIVISOR: u32 = 3;
/// Margin by which the process ends before the grace period does.
const GRACE_MARGIN: Duration = Duration::from_millis(400);
/// Receive buffer of a caller's connection.
const CALLER_BUFFER_BYTES: u32 = 32 * 1_024;
/// The same for the endpoints, which read no bodies.
const ENDPOINT_BUFFER_BYTES: u32 = 8 * 1_024;
/// Connections for the questions of callers which addresses to use.
const MAX_REGISTRY_CONNECTIONS: usize = 128;
/// Connections for each of readiness checks and metrics.
const MAX_CHECK_CONNECTIONS: usize = 16;
/// Poll interval for requests and connections that remain while draining.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Error of starting an entry router.
#[derive(Debug, Error)]
pub(crate) enum EntryError {
    /// The router cannot listen on an address.
    #[error("{setting} {address}: {source}")]
    Listen {
        /// The setting.
        setting: &'static str,
        /// The address.
        address: SocketAddr,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The metrics cannot be registered.
    #[error("metrics: {0}")]
    Metrics(#[from] prometheus::Error),
}

/// A running entry router.
pub(crate) struct EntryRouter {
    settings: EntrySettings,
    exchange: Arc<Exchange>,
    ingress: Arc<Ingress>,
    router_endpoints: Arc<RouterEndpoints>,
    members: Arc<Members>,
    store: Arc<dyn KindStore>,
    ledger_task: tokio::task::JoinHandle<()>,
    last_sync: Arc<Mutex<LedgerSync>>,
    grants: Arc<Grants>,
    /// Tunnels of other routers to replicas.
    tunnel_count: Arc<AtomicUsize>,
    log: Logger,
}

impl EntryRouter {
    /// Starts the listeners and the background tasks.
    pub(crate) async fn start(settings: EntrySettings, log: &Logger) -> Result<Self, EntryError> {
        let log = log.new(o!("vm" => settings.vm.to_string()));
        let process: u64 = rand::rng().random();
        let metrics = Arc::new(ExchangeMetrics::new()?);
        let store_health = Arc::new(StoreHealth::default());
        let store: Arc<dyn KindStore> = Arc::new(PlatformStore::new(
            settings.store_address,
            Arc::clone(&metrics),
            Arc::clone(&store_health),
        ));
        let members = Arc::new(Members::new(own_entry(&settings)));
        let limits = ReplicaLimits::new(Arc::clone(&metrics), log.clone());
        let pools = new_pools(&settings, &members, limits, &log, process);
        let vm_hash = stable_hash(&[&settings.callers_listen.to_string()]);
        let holder = holder_on_vm(vm_hash, process);
        let grants = Arc::new(Grants::new(holder, PolicyName::Cover.build()));
        let paths = Arc::new(PathMonitor::new(Arc::clone(&metrics), log.clone()));
        let transport = new_transport(&members, &pools, &paths, &metrics);
        let tunnel_count = Arc::new(AtomicUsize::new(0));
        let vm = settings.vm.as_str();
        let server_crashes = new_server_crashes(vm, &transport, &pools, &metrics, &log);
        let socket = bind_datagrams(&settings).await?;
        let permits = new_permits(&members, &pools, &socket, &metrics, &log);
        let single_versions = SingleVersions::new(Arc::clone(&pools), Arc::clone(&store_health));
        let single_versions = Arc::new(single_versions);
        let origins = new_origins(&members, &socket, &metrics, &single_versions, &log);
        let parts = ExchangeParts {
            pools: Arc::clone(&pools),
            grants: Arc::clone(&grants),
            transport: Arc::clone(&transport) as _,
            server_crashes: Arc::clone(&server_crashes),
            permits: Arc::clone(&permits),
            origins: Arc::clone(&origins),
            single_versions,
            store_health: Arc::clone(&store_health),
            body_memory: BodyMemory::new(settings.body_memory_bytes()),
            metrics: Arc::clone(&metrics),
        };
        let exchange = Arc::new(Exchange::new(parts, log.clone()));
        let directory = new_directory(&pools, &server_crashes, &store_health, &log);
        let ingress = new_ingress(&settings, &exchange, &transport, &tunnel_count, &log);
        let connections = count_connections(&ingress, &transport, &tunnel_count);
        let headroom = new_headroom(&settings, connections, &paths);
        let router_endpoints = Arc::new(RouterEndpoints::new(
            Arc::clone(&members),
            Arc::clone(&exchange),
            Arc::clone(&pools),
            Arc::clone(&headroom),
            log.clone(),
        ));
        listen_all(&settings, &ingress, &router_endpoints)?;
        let feed_listener = listen("peer_listen", settings.peer_listen).await?;
        BackgroundTasks {
            store: &store,
            store_health: &store_health,
            exchange: &exchange,
            directory: &directory,
            members: &members,
            pools: &pools,
            grants: &grants,
            router_endpoints: &router_endpoints,
            headroom: &headroom,
            suspects: server_crashes.suspects(),
            permits: &permits,
            origins: &origins,
            transport: &transport,
            paths: &paths,
            tunnel_count: &tunnel_count,
            metrics: &metrics,
            log: &log,
        }
        .spawn(socket, feed_listener, process);
        let new_sync = || {
            LedgerSync::new(
                Arc::clone(&store),
                Arc::clone(&store_health),
                Arc::clone(&grants),
                Arc::clone(&members),
                log.clone(),
            )
        };
        let ledger_task = tokio::spawn(new_sync().run());
        info!(log, "started"; "holder" => holder.to_string(),
            "failure_domain" => settings.failure_domain.to_string(),
            "callers_listen" => settings.callers_listen.to_string(),
            "version" => env!("CARGO_PKG_VERSION"));
        Ok(Self {
            last_sync: Arc::new(Mutex::new(new_sync())),
            settings,
            exchange,
            ingress,
            router_endpoints,
            members,
            store,
            ledger_task,
            grants,
            tunnel_count,
            log,
        })
    }

    /// Leaves the fleet: accepts requests for a short time, waits for those in progress, then
    /// returns the grants.
    pub(crate) async fn drain_and_stop(self) {
        let requested_at = Instant::now();
        let grace = Duration::try_from_secs_f64(self.settings.grace_s).unwrap_or_default();
        let end = requested_at + grace.saturating_sub(GRACE_MARGIN);
        info!(self.log, "leaving"; "busy" => self.ingress.request_count(),
            "connections" => self.ingress.connection_count());
        self.router_endpoints.start_leaving();
        self.ingress.start_leaving();
        let removal = deregister(&*self.store, &self.members);
        let leaving_period = MAX_LEAVING_PERIOD.min(grace / LEAVING_PERIOD_DIVISOR);
        // If this fails, another router removes the entry.
        let _ = tokio::time::timeout(leaving_period, removal).await;
        tokio::time::sleep_until(requested_at + leaving_period).await;
        self.exchange.close();
        let is_busy =
            || self.ingress.request_count() > 0 || self.tunnel_count.load(Ordering::Relaxed) > 0;
        while is_busy() && Instant::now() < end {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        self.ingress.close_idle();
        self.ledger_task.abort();
        let return_grants = async { self.last_sync.lock().await.return_grants().await };
        let is_returned = tokio::time::timeout_at(end, return_grants)
            .await
            .unwrap_or(false);
        while self.ingress.connection_count() > 0 && Instant::now() < end {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        let cut_requests = self.ingress.request_count();
        self.ingress.close_all();
        // Lets each request that is cut be logged.
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        let spent = self.grants.spent();
        let spent: Vec<String> = spent
            .iter()
            .map(|(team, tokens)| format!("{team}={tokens}"))
            .collect();
        info!(self.log, "stopped"; "busy" => cut_requests,
            "grants_given_back" => is_returned && self.grants.is_returned(),
            "spent_tokens" => spent.join(" "));
    }
}

/// Parts that the background tasks share.
struct BackgroundTasks<'a> {
    store: &'a Arc<dyn KindStore>,
    store_health: &'a Arc<StoreHealth>,
    exchange: &'a Arc<Exchange>,
    directory: &'a Arc<Directory>,
    members: &'a Arc<Members>,
    pools: &'a Arc<Pools>,
    grants: &'a Arc<Grants>,
    router_endpoints: &'a Arc<RouterEndpoints>,
    headroom: &'a Arc<Headroom>,
    suspects: &'a Arc<Suspects>,
    permits: &'a Arc<Permits>,
    origins: &'a Arc<StreamOrigins>,
    transport: &'a Arc<HttpTransport>,
    paths: &'a Arc<PathMonitor>,
    tunnel_count: &'a Arc<AtomicUsize>,
    metrics: &'a Arc<ExchangeMetrics>,
    log: &'a Logger,
}

impl BackgroundTasks<'_> {
    fn spawn(&self, socket: Arc<UdpSocket>, feed_listener: TcpListener, process: u64) {
        let store = || Arc::clone(self.store);
        let members = || Arc::clone(self.members);
        let grants = || Arc::clone(self.grants);
        let log = || self.log.clone();
        let routers = self.spawn_feed(feed_listener);
        let context = HelloContext {
            members: members(),
            grants: grants(),
            pools: Arc::clone(self.pools),
            headroom: Arc::clone(self.headroom),
            paths: Arc::clone(self.paths),
            suspects: Arc::clone(self.suspects),
            permits: Arc::clone(self.permits),
            origins: Arc::clone(self.origins),
            log: log(),
        };
        let send_socket = Arc::clone(&socket);
        tokio::spawn(send_hellos(
            send_socket,
            context.clone(),
            process,
            self.own_state(),
        ));
        let suspects = || Arc::clone(self.suspects);
        tokio::spawn(send_suspicions(Arc::clone(&socket), members(), suspects()));
        tokio::spawn(send_part_reports(
            Arc::clone(&socket),
            members(),
            suspects(),
        ));
        tokio::spawn(Arc::clone(self.origins).send_repeats());
        tokio::spawn(send_transfers(Arc::clone(&socket), grants()));
        tokio::spawn(receive_datagrams(socket, context));
        tokio::spawn(sync_entries(store(), members(), routers, log()));
        let transport = Arc::clone(self.transport);
        tokio::spawn(run_housekeeping(Arc::clone(self.directory), transport));
    }
}

impl BackgroundTasks<'_> {
    /// Starts the tasks that watch the kinds, and the change feed. Returns the feed of the routers'
    /// entries.
    fn spawn_feed(&self, listener: TcpListener) -> Arc<KindFeed> {
        let store = || Arc::clone(self.store);
        let health = || Arc::clone(self.store_health);
        let config: Arc<dyn KindSink> =
            Arc::new(ConfigSink::new(Arc::clone(self.exchange), self.log.clone()));
        let replicas: Arc<dyn KindSink> = Arc::new(ReplicaSink::new(
            Arc::clone(self.directory),
            self.log.clone(),
        ));
        let changed = watch::Sender::default();
        let new_kind = |kind, sink| {
            let value_bytes = self.metrics.feed_bytes(kind);
            Arc::new(KindFeed::new(kind, sink, value_bytes, changed.clone()))
        };
        let routers = new_kind(ROUTER_KIND, Arc::new(RouterSink::new(self.log.clone())));
        let sink = QuarantineSink::new(Arc::clone(self.suspects), self.log.clone());
        let quarantined = new_kind(QUARANTINE_KIND, Arc::new(sink));
        let kinds = [
            new_kind(CONFIG_KIND, config),
            new_kind(SERVER_KIND, replicas),
            Arc::clone(&routers),
            Arc::clone(&quarantined),
        ];
        let feed = Feed::new(kinds, changed.clone());
        let is_watching = watch::Sender::new(false);
        for kind in feed.kinds() {
            let (freshness, watch_wait) = if kind.kind == ROUTER_KIND {
                (Freshness::Stale, ENTRY_WATCH_WAIT)
            } else {
                (Freshness::Linearizable, LONG_WATCH_WAIT)
            };
            let watcher = KindWatcher {
                store: store(),
                health: health(),
                feed: Arc::clone(kind),
                freshness,
                watch_wait,
                is_watching: is_watching.subscribe(),
                log: self.log.clone(),
            };
            tokio::spawn(watcher.run());
        }
        let context = FeedContext {
            feed,
            health: health(),
            members: Arc::clone(self.members),
            own_state: self.own_state(),
        };
        let tunnels = Arc::new(TunnelServer::new(
            Arc::clone(self.pools),
            Arc::clone(self.paths),
            self.own_state(),
            Arc::clone(self.tunnel_count),
            Arc::clone(self.metrics),
            self.log.clone(),
        ));
        tokio::spawn(serve_routers(
            listener,
            context.clone(),
            tunnels,
            self.log.clone(),
        ));
        let feed_sync = FeedSync::new(store(), context, is_watching, self.log.clone());
        tokio::spawn(feed_sync.run());
        let quarantine_writer = QuarantineWriter::new(
            store(),
            quarantined,
            Arc::clone(self.suspects),
            Arc::clone(self.members),
            self.log.clone(),
        );
        tokio::spawn(quarantine_writer.run());
        routers
    }

    fn own_state(&self) -> RouterStateSource {
        let (router_endpoints, headroom) =
            (Arc::clone(self.router_endpoints), Arc::clone(self.headroom));
        Arc::new(move || RouterState {
            is_ready: router_endpoints.is_ready(),
            headroom_percent: headroom.percent(),
        })
    }
}

fn listen_error(setting: &'static str, address: SocketAddr, source: std::io::Error) -> EntryError {
    EntryError::Listen {
        setting,
        address,
        source,
    }
}

async fn listen(setting: &'static str, address: SocketAddr) -> Result<TcpListener, EntryError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| listen_error(setting, address, source))
}

async fn bind_datagrams(settings: &EntrySettings) -> Result<Arc<UdpSocket>, EntryError> {
    let address = settings.peer_listen;
    let socket = UdpSocket::bind(address).await;
    let socket = socket.map_err(|source| listen_error("peer_listen", address, source))?;
    Ok(Arc::new(socket))
}

fn listen_all(
    settings: &EntrySettings,
    ingress: &Arc<Ingress>,
    router_endpoints: &Arc<RouterEndpoints>,
) -> Result<(), EntryError> {
    let listen = |setting, address, buffer_bytes| {
        let bounds = ListenBounds {
            backlog: settings.accept_backlog(),
            buffer_bytes,
        };
        listen_within(address, bounds).map_err(|source| listen_error(setting, address, source))
    };
    let callers = settings.callers_listen;
    let callers = listen("callers_listen", callers, CALLER_BUFFER_BYTES)?;
    tokio::spawn(Arc::clone(ingress).accept(callers));
    let endpoints = [
        ("ready_listen", settings.ready_listen, MAX_CHECK_CONNECTIONS),
        (
            "registry_listen",
            settings.registry_listen,
            MAX_REGISTRY_CONNECTIONS,
        ),
        (
            "metrics_listen",
            settings.metrics_listen,
            MAX_CHECK_CONNECTIONS,
        ),
    ];
    for (setting, address, max_connections) in endpoints {
        let listener = listen(setting, address, ENDPOINT_BUFFER_BYTES)?;
        let endpoints = Arc::clone(router_endpoints);
        tokio::spawn(endpoints.accept(setting, max_connections, listener));
    }
    Ok(())
}

async fn run_housekeeping(directory: Arc<Directory>, transport: Arc<HttpTransport>) {
    loop {
        tokio::time::sleep(HOUSEKEEPING_INTERVAL).await;
        directory.remove_expired(Instant::now());
        transport.close_expired_connections();
    }
}
