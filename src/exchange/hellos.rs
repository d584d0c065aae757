//! Sends hellos to other routers and takes in their datagrams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::{debug, info, warn, Logger};
use tokio::net::UdpSocket;
use tokio::time::Instant;

use super::grants::Grants;
use super::members::{entry_name, Hello, Members, OwnWordSource, RouterEntry, SILENT_HELLOS};
use super::pools::Pools;
use super::room::Room;
use super::suspects::Suspects;
use super::transfers::{learn_transfer, PeerMessage};
use crate::store::feed::{KindFeed, KindSink};
use crate::store::kinds::{Change, Freshness, KindError, KindObject, KindStore};

/// Kind of the routers' entries.
pub(crate) const ROUTER_KIND: &str = "routers";
/// Time between two rounds of hellos.
const ROUND: Duration = Duration::from_millis(150);
/// Most hellos sent in one round.
const HELLOS_PER_ROUND: usize = 12;
/// Least time between two messages with news of requests under which servers ended.
const NEWS_PAUSE: Duration = Duration::from_millis(10);
/// Time between two looks at the entries.
const ENTRIES_INTERVAL: Duration = Duration::from_millis(500);
/// Silence after which a router's entry is removed from the store.
const ENTRY_LIFETIME: Duration = Duration::from_secs(120);
/// Largest datagram.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// What this router tells others, and where it keeps what they tell.
#[derive(Clone)]
pub(crate) struct HelloParts {
    /// The fleet.
    pub members: Arc<Members>,
    /// This router's grants.
    pub grants: Arc<Grants>,
    /// The replicas and this router's work there.
    pub pools: Arc<Pools>,
    /// How much more this router can take on.
    pub room: Arc<Room>,
    /// Requests under which servers ended.
    pub suspects: Arc<Suspects>,
    /// For what this router comes to believe.
    pub log: Logger,
}

/// Sends this router's hellos round by round.
pub(crate) async fn send_hellos(
    socket: Arc<UdpSocket>,
    parts: HelloParts,
    process: u64,
    own_word: OwnWordSource,
) {
    let HelloParts {
        members,
        grants,
        pools,
        room,
        suspects,
        log,
    } = parts;
    let mut sequence = 0;
    let mut told_reach = true;
    let mut reach_before = true;
    loop {
        for router in members.drop_silent_loads() {
            info!(log, "router silent"; "router" => router.to_string(),
                "known" => members.known_count());
        }
        sequence += 1;
        let told_grants = grants.told();
        // All are told at once where to ask for tokens now, but not of a single slow answer.
        let reach = told_grants.reaches_ledger;
        let is_news = reach != told_reach && reach == reach_before;
        if is_news {
            told_reach = reach;
        }
        reach_before = reach;
        let most = if is_news {
            usize::MAX
        } else {
            HELLOS_PER_ROUND
        };
        let own_word = own_word();
        let (receivers, count) = members.next_receivers(most);
        let rounds = count.div_ceil(HELLOS_PER_ROUND).max(1);
        let interval = ROUND * u32::try_from(rounds).unwrap_or(u32::MAX);
        let hello = Hello {
            entry: members.own().clone(),
            process,
            sequence,
            is_ready: own_word.is_ready,
            room_percent: own_word.room_percent,
            interval_ms: u32::try_from(interval.as_millis()).unwrap_or(u32::MAX),
            loads: pools.told_loads(),
            notices: pools.told_notices(),
            grants: told_grants,
            suspicions: suspects.told(),
        };
        PeerMessage::Hello(hello).send_all(&socket, &receivers);
        let due = Instant::now() + ROUND;
        tokio::time::sleep_until(due).await;
        room.note_lag(due.elapsed());
    }
}

/// Sends news of requests under which servers ended, as soon as this router learns of them.
pub(crate) async fn send_suspicions(
    socket: Arc<UdpSocket>,
    members: Arc<Members>,
    suspects: Arc<Suspects>,
) {
    loop {
        let told = suspects.next_news().await;
        let receivers = members.some_receivers(HELLOS_PER_ROUND, &mut rand::rng());
        PeerMessage::Suspicions(told).send_all(&socket, &receivers);
        tokio::time::sleep(NEWS_PAUSE).await;
    }
}

/// Takes in datagrams of other routers.
pub(crate) async fn receive_datagrams(socket: Arc<UdpSocket>, parts: HelloParts) {
    let log = &parts.log;
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length_bytes, router)) => {
                match postcard::from_bytes(&buffer[..length_bytes]) {
                    Ok(PeerMessage::Hello(hello)) => {
                        learn_hello(router, hello, &parts);
                    }
                    Ok(PeerMessage::Suspicions(told)) => parts.suspects.learn_told(told),
                    Ok(message) => learn_transfer(&socket, router, message, &parts.grants, log),
                    // Another version of this program, or somebody else.
                    Err(error) => debug!(log, "datagram not understood";
                        "router" => router.to_string(), "reason" => error.to_string()),
                }
            }
            Err(error) => {
                warn!(log, "datagram cannot be received"; "reason" => error.to_string());
                tokio::time::sleep(ROUND).await;
            }
        }
    }
}

fn learn_hello(router: SocketAddr, mut hello: Hello, parts: &HelloParts) {
    let interval = Duration::from_millis(u64::from(hello.interval_ms));
    parts
        .grants
        .learn_told(router, &hello.grants, interval * SILENT_HELLOS);
    for replica in parts.pools.learn_notices(&hello.notices) {
        info!(parts.log, "a replica is leaving, by another router's word";
            "replica" => replica.as_str(), "router" => router.to_string());
    }
    parts
        .suspects
        .learn_told(std::mem::take(&mut hello.suspicions));
    if parts.members.learn_hello(hello) {
        info!(parts.log, "router heard"; "router" => router.to_string(),
            "known" => parts.members.known_count());
    }
}

/// Hears of the routers' entries. They are looked at in turn, so each change need not be taken in.
pub(crate) struct EntrySink;

impl KindSink for EntrySink {
    fn learn(&self, _: Change) {}
}

/// Enters this router in the store and takes in the other entries again and again.
pub(crate) async fn keep_entries(
    store: Arc<dyn KindStore>,
    members: Arc<Members>,
    feed: Arc<KindFeed>,
    log: Logger,
) {
    let mut entered = None;
    loop {
        if entered.is_none() {
            entered = enter(&*store, &members, &log).await;
        }
        if !members.is_fleet_found() {
            read_entries(&*store, &feed).await;
        }
        let objects = feed.objects();
        let entries: Vec<RouterEntry> = objects
            .iter()
            .filter_map(|object| serde_json::from_str(object.value.get()).ok())
            .collect();
        members.learn_entries(entries, entered == Some(Entered::Before));
        if members.watch_duty().watches {
            remove_silent(&*store, &members, &objects, &log).await;
        }
        tokio::time::sleep(ENTRIES_INTERVAL).await;
    }
}

/// Reads the entries before the fleet is known from which they are heard otherwise.
async fn read_entries(store: &dyn KindStore, feed: &KindFeed) {
    // A reading that failed is repeated, and the store's client counts it.
    if let Ok(listing) = store.list(feed.kind, Freshness::Stale).await {
        feed.learn_old_listing(listing);
    }
}

/// How this router's entry came into the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Entered {
    /// By this process.
    Now,
    /// By an earlier process on this VM.
    Before,
}

async fn enter(store: &dyn KindStore, members: &Members, log: &Logger) -> Option<Entered> {
    let name = entry_name(members.own().peer_address);
    let value = serde_json::value::to_raw_value(members.own()).ok()?;
    let entered = match store.create(ROUTER_KIND, &name, &value).await {
        Ok(_) => Entered::Now,
        Err(KindError::Conflict(_)) => Entered::Before,
        Err(error) => {
            info!(log, "router not entered yet"; "reason" => error.to_string());
            return None;
        }
    };
    info!(log, "router entered"; "entry" => name.as_str(),
        "was_listed" => entered == Entered::Before);
    Some(entered)
}

async fn remove_silent(
    store: &dyn KindStore,
    members: &Members,
    objects: &[KindObject],
    log: &Logger,
) {
    for address in members.silent_for(ENTRY_LIFETIME) {
        let name = entry_name(address);
        let Some(object) = objects.iter().find(|object| object.name == name) else {
            continue;
        };
        if store
            .remove(ROUTER_KIND, &name, object.revision)
            .await
            .is_ok()
        {
            info!(log, "entry of a silent router removed"; "entry" => name.as_str());
        }
    }
}

/// Takes this router's entry out of the store.
pub(crate) async fn leave(store: &dyn KindStore, members: &Members) {
    let name = entry_name(members.own().peer_address);
    if let Ok(object) = store.get(ROUTER_KIND, &name).await {
        // An entry that stays is removed by another router once this one is silent.
        let _ = store.remove(ROUTER_KIND, &name, object.revision).await;
    }
}
