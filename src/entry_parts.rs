//! Creates the parts of an entry router from its settings.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use slog::Logger;
use tokio::net::UdpSocket;

use crate::core::ids::PoolId;
use crate::entry_settings::EntrySettings;
use crate::exchange::brittleness::Brittleness;
use crate::exchange::directory::Directory;
use crate::exchange::engine::Exchange;
use crate::exchange::headroom::{Headroom, OpenConnections};
use crate::exchange::limits::ReplicaLimits;
use crate::exchange::members::{Members, RouterEntry};
use crate::exchange::metrics::ExchangeMetrics;
use crate::exchange::path_monitor::PathMonitor;
use crate::exchange::permits::Permits;
use crate::exchange::pools::Pools;
use crate::exchange::replica_dialer::ReplicaDialer;
use crate::exchange::server_crashes::ServerCrashes;
use crate::exchange::single_version::SingleVersions;
use crate::exchange::stream_origins::StreamOrigins;
use crate::exchange::suspects::Suspects;
use crate::platform::client_connections::ConnectionBounds;
use crate::platform::ingress::Ingress;
use crate::platform::transport::HttpTransport;
use crate::store::health::StoreHealth;

/// Returns the entry by which this router registers in the store.
pub(crate) fn own_entry(settings: &EntrySettings) -> RouterEntry {
    RouterEntry {
        callers_address: settings.callers_listen,
        peer_address: settings.peer_listen,
        failure_domain: settings.failure_domain.clone(),
        cpu_millis: settings.cpu_millis(),
    }
}

pub(crate) fn new_pools(
    settings: &EntrySettings,
    members: &Arc<Members>,
    limits: ReplicaLimits,
    log: &Logger,
    seed: u64,
) -> Arc<Pools> {
    Arc::new(Pools::new(
        settings.failure_domain.clone(),
        Arc::clone(members),
        Arc::new(limits),
        Brittleness::new(log.clone()),
        settings.retries.rule(),
        seed,
    ))
}

pub(crate) fn new_directory(
    pools: &Arc<Pools>,
    server_crashes: &Arc<ServerCrashes>,
    store_health: &Arc<StoreHealth>,
    log: &Logger,
) -> Arc<Directory> {
    Arc::new(Directory::new(
        Arc::clone(pools),
        Arc::clone(server_crashes),
        Arc::clone(store_health),
        log.clone(),
    ))
}

pub(crate) fn new_origins(
    members: &Arc<Members>,
    socket: &Arc<UdpSocket>,
    metrics: &Arc<ExchangeMetrics>,
    single_versions: &Arc<SingleVersions>,
    log: &Logger,
) -> Arc<StreamOrigins> {
    let single_versions = Arc::clone(single_versions);
    let single_version = move |pool: &PoolId| {
        let single = single_versions.find_in_pool(pool);
        single.map(|single| single.version)
    };
    Arc::new(StreamOrigins::new(
        Arc::clone(members),
        Arc::clone(socket),
        Arc::clone(metrics),
        Arc::new(single_version),
        log.clone(),
    ))
}

pub(crate) fn new_server_crashes(
    vm: &str,
    transport: &Arc<HttpTransport>,
    pools: &Arc<Pools>,
    metrics: &Arc<ExchangeMetrics>,
    log: &Logger,
) -> Arc<ServerCrashes> {
    let suspects = Suspects::new(vm.into(), Arc::clone(metrics), log.clone());
    Arc::new(ServerCrashes::new(
        Arc::clone(transport) as _,
        Arc::clone(pools),
        suspects,
        Arc::clone(metrics),
        log.clone(),
    ))
}

/// Returns a count of this router's connections to replicas. A tunnel has two.
fn count_replica_connections(
    transport: &Arc<HttpTransport>,
    tunnel_count: &Arc<AtomicUsize>,
) -> OpenConnections {
    let (transport, tunnel_count) = (Arc::clone(transport), Arc::clone(tunnel_count));
    Box::new(move || transport.connection_count() + 2 * tunnel_count.load(Ordering::Relaxed))
}

/// Returns a count of this router's connections to callers and replicas.
pub(crate) fn count_connections(
    ingress: &Arc<Ingress>,
    transport: &Arc<HttpTransport>,
    tunnel_count: &Arc<AtomicUsize>,
) -> OpenConnections {
    let ingress = Arc::clone(ingress);
    let replica_connections = count_replica_connections(transport, tunnel_count);
    Box::new(move || ingress.connection_count() + replica_connections())
}

/// Creates the client for replicas, and starts to watch the path to them.
pub(crate) fn new_transport(
    members: &Arc<Members>,
    pools: &Arc<Pools>,
    paths: &Arc<PathMonitor>,
    metrics: &Arc<ExchangeMetrics>,
) -> Arc<HttpTransport> {
    let dialer = Arc::new(ReplicaDialer::new(
        Arc::clone(members),
        Arc::clone(pools),
        Arc::clone(paths),
        Arc::clone(metrics),
    ));
    tokio::spawn(Arc::clone(&dialer).watch_path());
    Arc::new(HttpTransport::new(dialer))
}

pub(crate) fn new_permits(
    members: &Arc<Members>,
    pools: &Arc<Pools>,
    socket: &Arc<UdpSocket>,
    metrics: &Arc<ExchangeMetrics>,
    log: &Logger,
) -> Arc<Permits> {
    Arc::new(Permits::new(
        Arc::clone(members),
        Arc::clone(pools),
        Arc::clone(socket),
        Arc::clone(metrics),
        log.clone(),
    ))
}

/// Creates the callers' side of an exchange. Connections to replicas leave fewer for callers.
pub(crate) fn new_ingress(
    settings: &EntrySettings,
    exchange: &Arc<Exchange>,
    transport: &Arc<HttpTransport>,
    tunnel_count: &Arc<AtomicUsize>,
    log: &Logger,
) -> Arc<Ingress> {
    let replica_connections = count_replica_connections(transport, tunnel_count);
    let crowded_from = settings.crowded_from();
    let settings = settings.clone();
    let bounds = ConnectionBounds {
        max_open: Box::new(move || settings.max_callers(replica_connections())),
        crowded_from,
    };
    Arc::new(Ingress::new(Arc::clone(exchange), bounds, log))
}

/// Creates the spare capacity of a router, by its open connections.
pub(crate) fn new_headroom(
    settings: &EntrySettings,
    connections: OpenConnections,
    paths: &Arc<PathMonitor>,
) -> Arc<Headroom> {
    let headroom = Headroom::new(settings.max_connections(), connections, Arc::clone(paths));
    Arc::new(headroom)
}
