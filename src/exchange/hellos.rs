//! Sends hellos to other routers and receives their datagrams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::{debug, info, warn, Logger};
use tokio::net::UdpSocket;
use tokio::time::Instant;

use super::grants::Grants;
use super::headroom::Headroom;
use super::hello_sender::HelloSender;
use super::members::{entry_name, Hello, Members, RouterEntry, RouterStateSource, TIMEOUT_HELLOS};
use super::path_monitor::PathMonitor;
use super::permits::Permits;
use super::pools::Pools;
use super::stream_origins::StreamOrigins;
use super::suspects::Suspects;
use super::transfers::{handle_transfer, PeerMessage};
use crate::store::feed::{KindFeed, KindSink};
use crate::store::kinds::{Change, Freshness, KindError, KindObject, KindStore, Revision};

/// Kind of the routers' entries.
pub(crate) const ROUTER_KIND: &str = "routers";
/// Interval between rounds of hellos.
const ROUND_INTERVAL: Duration = Duration::from_millis(150);
/// Maximum number of hellos sent in one round.
const HELLOS_PER_ROUND: usize = 12;
/// Routers that tell a router which has started of the crashes that it does not know.
const CRASH_REPORTERS: usize = 8;
/// Minimum interval between messages with reports on suspect requests.
const REPORT_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which the entries are checked.
const ENTRIES_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between two registrations in one era of the store, at least: routers that are cut off
/// from this one may remove its entry again and again.
const MIN_REGISTRATION_INTERVAL: Duration = Duration::from_secs(5);
/// Time without a hello after which a router's entry is removed from the store.
const ENTRY_LIFETIME: Duration = Duration::from_secs(120);
/// Size of the receive buffer and of the largest datagram.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// Sources of this router's hellos and destinations of received ones.
#[derive(Clone)]
pub(crate) struct HelloContext {
    /// Routers of the fleet.
    pub members: Arc<Members>,
    /// This router's grants.
    pub grants: Arc<Grants>,
    /// The replicas and this router's load there.
    pub pools: Arc<Pools>,
    /// This router's spare capacity.
    pub headroom: Arc<Headroom>,
    /// This router's path to the replicas.
    pub paths: Arc<PathMonitor>,
    /// Suspect requests, during which servers crashed.
    pub suspects: Arc<Suspects>,
    /// Permits for rate-limited replicas.
    pub permits: Arc<Permits>,
    /// Origins of streams.
    pub origins: Arc<StreamOrigins>,
    /// Log of membership changes and receive errors.
    pub log: Logger,
}

/// Sends this router's hellos in rounds.
pub(crate) async fn send_hellos(
    socket: Arc<UdpSocket>,
    context: HelloContext,
    process: u64,
    own_state: RouterStateSource,
) {
    let HelloContext {
        members,
        grants,
        pools,
        headroom,
        paths,
        suspects,
        log,
        ..
    } = context;
    let mut sequence = 0;
    let mut sent_reach = true;
    let mut previous_reach = true;
    loop {
        for router in members.drop_timed_out_loads() {
            info!(log, "router timed out"; "router" => router.to_string(),
                "known" => members.known_count());
        }
        sequence += 1;
        let grant_report = grants.report();
        // A change of ledger access is sent to all routers at once, since it decides where they
        // request tokens. It must hold for two rounds, so that one slow answer does not count.
        let reach = grant_report.reaches_ledger;
        let has_reach_changed = reach != sent_reach && reach == previous_reach;
        if has_reach_changed {
            sent_reach = reach;
        }
        previous_reach = reach;
        let limit = if has_reach_changed {
            usize::MAX
        } else {
            HELLOS_PER_ROUND
        };
        let own_state = own_state();
        let (receivers, count) = members.next_receivers(limit);
        let rounds = count.div_ceil(HELLOS_PER_ROUND).max(1);
        let interval = ROUND_INTERVAL * u32::try_from(rounds).unwrap_or(u32::MAX);
        let hello = Hello {
            entry: members.own().clone(),
            process,
            sequence,
            is_ready: own_state.is_ready,
            headroom_percent: own_state.headroom_percent,
            has_path: paths.has_path(),
            interval_ms: u32::try_from(interval.as_millis()).unwrap_or(u32::MAX),
            loads: pools.load_reports(),
            status_reports: pools.status_reports(),
            limits: pools.limits().recent_reports(),
            brittle: pools.brittleness().reports(),
            grants: grant_report,
            suspicions: suspects.reports(),
        };
        PeerMessage::Hello(hello).send_all(&socket, &receivers);
        let due = Instant::now() + ROUND_INTERVAL;
        tokio::time::sleep_until(due).await;
        headroom.record_lag(due.elapsed());
    }
}

/// Sends reports on suspect requests as soon as this router has any.
pub(crate) async fn send_suspicions(
    socket: Arc<UdpSocket>,
    members: Arc<Members>,
    suspects: Arc<Suspects>,
) {
    loop {
        let reports = suspects.next_reports().await;
        let receivers = members.some_receivers(HELLOS_PER_ROUND, &mut rand::rng());
        PeerMessage::Suspicions(reports).send_all(&socket, &receivers);
        tokio::time::sleep(REPORT_INTERVAL).await;
    }
}

/// Sends reports on suspect parts of prompts as soon as this router has any.
pub(crate) async fn send_part_reports(
    socket: Arc<UdpSocket>,
    members: Arc<Members>,
    suspects: Arc<Suspects>,
) {
    loop {
        let batch = suspects.parts().next_reports().await;
        let receivers = members.some_receivers(batch.fanout, &mut rand::rng());
        PeerMessage::Parts(batch.reports).send_all(&socket, &receivers);
        tokio::time::sleep(REPORT_INTERVAL).await;
    }
}

/// Receives datagrams of other routers and applies them.
pub(crate) async fn receive_datagrams(socket: Arc<UdpSocket>, context: HelloContext) {
    let log = &context.log;
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length_bytes, router)) => {
                match postcard::from_bytes(&buffer[..length_bytes]) {
                    Ok(PeerMessage::Hello(hello)) => {
                        apply_hello(&socket, router, hello, &context);
                    }
                    Ok(PeerMessage::Suspicions(reports)) => context.suspects.apply_reports(reports),
                    Ok(PeerMessage::Parts(reports)) => {
                        context.suspects.parts().apply_reports(reports);
                    }
                    Ok(PeerMessage::Limit(report)) => {
                        context.pools.apply_limit_reports(router, &[report]);
                    }
                    Ok(PeerMessage::PermitRequest(request)) => {
                        context.permits.handle_request(router, request);
                    }
                    Ok(PeerMessage::PermitReply(reply)) => {
                        context.permits.apply_reply(router, &reply);
                    }
                    Ok(PeerMessage::Place(report)) => context.permits.apply_place_report(report),
                    Ok(PeerMessage::StreamOrigin(report)) => {
                        context.origins.handle_report(router, &report);
                    }
                    Ok(PeerMessage::OriginAck(ack)) => context.origins.apply_ack(router, ack),
                    Ok(PeerMessage::OriginQuery(query)) => {
                        context.origins.handle_query(router, &query);
                    }
                    Ok(PeerMessage::OriginReply(reply)) => {
                        context.origins.apply_reply(router, reply);
                    }
                    Ok(message) => handle_transfer(&socket, router, message, &context.grants, log),
                    // Sent by another version of this program or by another program.
                    Err(error) => debug!(log, "datagram cannot be decoded";
                        "router" => router.to_string(), "reason" => error.to_string()),
                }
            }
            Err(error) => {
                warn!(log, "datagram cannot be received"; "reason" => error.to_string());
                tokio::time::sleep(ROUND_INTERVAL).await;
            }
        }
    }
}

fn apply_hello(socket: &UdpSocket, router: SocketAddr, mut hello: Hello, context: &HelloContext) {
    let interval = Duration::from_millis(u64::from(hello.interval_ms));
    context
        .grants
        .apply_report(router, &hello.grants, interval * TIMEOUT_HELLOS);
    for replica in context.pools.apply_status_reports(&hello.status_reports) {
        info!(context.log, "replica is leaving, reported by another router";
            "replica" => replica.as_str(), "router" => router.to_string());
    }
    context.pools.apply_limit_reports(router, &hello.limits);
    for report in &hello.brittle {
        context.pools.brittleness().apply_report(router, report);
    }
    context
        .suspects
        .apply_reports(std::mem::take(&mut hello.suspicions));
    let sender = context.members.apply_hello(hello);
    if sender == HelloSender::Discovered {
        info!(context.log, "router discovered"; "router" => router.to_string(),
            "known" => context.members.known_count());
    }
    if sender != HelloSender::Known {
        send_known_crashes(socket, router, context);
    }
}

/// Tells a router that may have started just now of the crashes that it does not know. In a large
/// fleet only some do so.
fn send_known_crashes(socket: &UdpSocket, router: SocketAddr, context: &HelloContext) {
    let known_count = context.members.known_count().max(1);
    if rand::random_range(0..known_count) >= CRASH_REPORTERS {
        return;
    }
    let batches = context.suspects.known_crashes();
    if !batches.is_empty() {
        info!(context.log, "known crashes of servers reported to a router";
            "router" => router.to_string(), "messages" => batches.len());
    }
    for reports in batches {
        PeerMessage::Suspicions(reports).send_all(socket, &[router]);
    }
}

/// Logs unusable entries of routers. The others are polled instead.
pub(crate) struct RouterSink {
    log: Logger,
}

impl RouterSink {
    /// Creates a sink that writes to a log.
    pub(crate) const fn new(log: Logger) -> Self {
        Self { log }
    }
}

impl KindSink for RouterSink {
    fn apply(&self, change: Change) {
        if change.is_removed {
            return;
        }
        let object = &change.object;
        if let Err(error) = serde_json::from_str::<RouterEntry>(object.value.get()) {
            warn!(self.log, "router's entry cannot be used"; "object" => object.name.as_str(),
                "revision" => object.revision, "reason" => error.to_string());
        }
    }

    fn apply_lost(&self, _: KindObject) {}
}

/// Registers this router in the store and periodically applies the other routers' entries.
pub(crate) async fn sync_entries(
    store: Arc<dyn KindStore>,
    members: Arc<Members>,
    feed: Arc<KindFeed>,
    log: Logger,
) {
    let mut registration: Option<Registration> = None;
    loop {
        let revision = feed.revision();
        if registration.is_some_and(|known| is_entry_lost(&feed, &members, known, revision)) {
            info!(log, "own entry missing in the store; registering again";
                "revision" => revision);
            registration = None;
        }
        if registration.is_none() && !members.is_leaving() {
            registration = register(&*store, &members, &log).await;
        }
        if !members.is_fleet_found() {
            read_entries(&*store, &feed).await;
        }
        let objects = feed.objects();
        let entries: Vec<RouterEntry> = objects
            .iter()
            .filter_map(|object| serde_json::from_str(object.value.get()).ok())
            .collect();
        let had_entry = registration.is_some_and(|registration| registration.was_listed);
        members.apply_entries(entries, had_entry);
        if members.watch_duty().watches {
            remove_timed_out(&*store, &members, &objects, &log).await;
        }
        tokio::time::sleep(ENTRIES_INTERVAL).await;
    }
}

/// Reads the entries from the store until the fleet, which otherwise supplies them, is known.
async fn read_entries(store: &dyn KindStore, feed: &KindFeed) {
    // A failed read is repeated; the store's client counts it.
    if let Ok(listing) = store.list(feed.kind, Freshness::Stale).await {
        feed.apply_stale_listing(listing);
    }
}

/// This router's entry in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Registration {
    /// True if an earlier process on this VM created it.
    was_listed: bool,
    /// Revision of the entry.
    revision: Revision,
    at: Instant,
}

/// Returns true if the store does not have this router's entry any more: it returned from a copy
/// without it, or the entry was removed by a late call of the process before on this VM, or by
/// routers that were cut off from this one.
fn is_entry_lost(
    feed: &KindFeed,
    members: &Members,
    registration: Registration,
    revision: Option<Revision>,
) -> bool {
    let is_later = revision.is_some_and(|revision| {
        revision.era() > registration.revision.era()
            || revision > registration.revision
                && registration.at.elapsed() >= MIN_REGISTRATION_INTERVAL
    });
    let name = entry_name(members.own().peer_address);
    !members.is_leaving() && is_later && feed.objects().iter().all(|object| object.name != name)
}

async fn register(store: &dyn KindStore, members: &Members, log: &Logger) -> Option<Registration> {
    let name = entry_name(members.own().peer_address);
    let value = serde_json::value::to_raw_value(members.own()).ok()?;
    let registration = match store.create(ROUTER_KIND, &name, &value).await {
        Ok(revision) => Registration {
            was_listed: false,
            revision,
            at: Instant::now(),
        },
        Err(KindError::Conflict(object)) => Registration {
            was_listed: true,
            revision: object.map(|object| object.revision).unwrap_or_default(),
            at: Instant::now(),
        },
        Err(error) => {
            info!(log, "router registration failed"; "reason" => error.to_string());
            return None;
        }
    };
    info!(log, "router registered"; "entry" => name.as_str(),
        "was_listed" => registration.was_listed, "revision" => registration.revision);
    Some(registration)
}

async fn remove_timed_out(
    store: &dyn KindStore,
    members: &Members,
    objects: &[KindObject],
    log: &Logger,
) {
    for address in members.timed_out_for(ENTRY_LIFETIME) {
        let name = entry_name(address);
        let Some(object) = objects.iter().find(|object| object.name == name) else {
            continue;
        };
        if store
            .remove(ROUTER_KIND, &name, object.revision)
            .await
            .is_ok()
        {
            info!(log, "entry of a timed out router removed"; "entry" => name.as_str());
        }
    }
}

/// Removes this router's entry from the store.
pub(crate) async fn deregister(store: &dyn KindStore, members: &Members) {
    members.start_leaving();
    let name = entry_name(members.own().peer_address);
    if let Ok(object) = store.get(ROUTER_KIND, &name).await {
        // If this fails, another router removes the entry after `ENTRY_LIFETIME`.
        let _ = store.remove(ROUTER_KIND, &name, object.revision).await;
    }
}
