//! Fleet membership as known to this router. It is a hint for callers and for scheduling; safety
//! never depends on it.
//!
//! Each router registers in the store once. After that, routers exchange hellos as datagrams,
//! which report that they are alive and their load at each replica.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use compact_str::CompactString;
use rand::seq::IteratorRandom;
use rand::Rng;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::brittleness::BrittleReport;
use super::hello_sender::HelloSender;
use super::limits::LimitReport;
use super::pooling::GrantReport;
use super::replica_reports::ReplicaStatusReport;
use super::suspects::SuspicionReport;
use crate::core::duty::{distributor_count, ledger_order, store_watchers, DutyCandidate};
use crate::core::ids::FailureDomain;
use crate::core::placement::ReplicaLoad;
use crate::core::presence::{PresenceTable, RouterState, HEARTBEAT_TIMEOUT_MS};
use crate::core::reported_load::ReportedLoads;
use crate::util::{lock, millis, stable_hash};

/// Timeout of a router without hellos, in multiples of its hello interval.
pub(super) const TIMEOUT_HELLOS: u32 = 5;
/// Time after the start until stale reads show the entries of all routers that start together with
/// this one: half a second for the starts, a second for the age of a read.
const REGISTRATION_TIME: Duration = Duration::from_millis(1_500);
/// Time after the start until every live router with an entry has sent a hello.
pub(super) const DISCOVERY_TIME: Duration = Duration::from_secs(3);
/// Tokens in one unit of the pending prefill tokens in a hello.
const PREFILL_UNIT_TOKENS: u64 = 64;

/// A router's entry in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RouterEntry {
    /// Address for callers.
    pub callers_address: SocketAddr,
    /// Address for hellos of other routers.
    pub peer_address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Processor capacity of its VM, in thousandths of a core.
    pub cpu_millis: u32,
}

impl RouterEntry {
    fn candidate(&self) -> DutyCandidate {
        DutyCandidate {
            failure_domain: self.failure_domain.clone(),
            cpu_millis: self.cpu_millis,
            tie_breaker: stable_hash(&["distributor", &self.peer_address.to_string()]),
        }
    }
}

/// Load at one replica, as reported in a hello.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ReplicaLoadReport {
    /// Short digest of the replica's id.
    pub replica: u32,
    /// Requests in progress there.
    pub requests: u16,
    /// Prompt tokens not yet processed there, in units of 64.
    pub prefill_units: u16,
}

impl ReplicaLoadReport {
    /// Encodes the load of the replica with the given digest.
    pub(crate) fn new(replica: u32, load: ReplicaLoad) -> Self {
        let prefill_units = load.prefill_tokens.div_ceil(PREFILL_UNIT_TOKENS);
        Self {
            replica,
            requests: u16::try_from(load.requests).unwrap_or(u16::MAX),
            prefill_units: u16::try_from(prefill_units).unwrap_or(u16::MAX),
        }
    }

    fn load(self) -> (u32, ReplicaLoad) {
        let load = ReplicaLoad {
            requests: u32::from(self.requests),
            prefill_tokens: u64::from(self.prefill_units) * PREFILL_UNIT_TOKENS,
        };
        (self.replica, load)
    }
}

/// Hello: the state that a router reports to the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Hello {
    /// The sender's entry in the store.
    pub entry: RouterEntry,
    /// Random number that identifies the start of its process.
    pub process: u64,
    /// Sequence number; increases with each hello of a process.
    pub sequence: u64,
    /// True if it accepts requests.
    pub is_ready: bool,
    /// Its spare capacity, in hundredths.
    pub headroom_percent: u8,
    /// False if it has no path to the replicas.
    pub has_path: bool,
    /// Time until its next hello to the same router, in milliseconds.
    pub interval_ms: u32,
    /// Its load at each replica that has any.
    pub loads: Vec<ReplicaLoadReport>,
    /// Notices that it received from replicas.
    pub status_reports: Vec<ReplicaStatusReport>,
    /// Changes of replicas' rate limits that it observed.
    pub limits: Vec<LimitReport>,
    /// Pools with brittle replicas.
    pub brittle: Vec<BrittleReport>,
    /// Report on its grants.
    pub grants: GrantReport,
    /// Suspect requests, during which servers crashed.
    pub suspicions: Vec<SuspicionReport>,
}

#[derive(Debug)]
pub(super) struct Member {
    pub(super) entry: RouterEntry,
    /// Cached, since duties are computed many times a second.
    pub(super) candidate: DutyCandidate,
    pub(super) last_hello: Option<LastHello>,
}

impl Member {
    fn new(entry: RouterEntry) -> Self {
        Self {
            candidate: entry.candidate(),
            entry,
            last_hello: None,
        }
    }

    fn set_entry(&mut self, entry: RouterEntry) {
        if self.entry != entry {
            self.candidate = entry.candidate();
            self.entry = entry;
        }
    }
}

#[derive(Debug)]
pub(super) struct LastHello {
    at: Instant,
    process: u64,
    sequence: u64,
    pub(super) is_ready: bool,
    pub(super) headroom_percent: u8,
    has_path: bool,
    interval: Duration,
    /// True once its timeout was handled.
    is_timed_out: bool,
}

impl LastHello {
    pub(super) fn is_alive(&self) -> bool {
        self.at.elapsed() < self.interval * TIMEOUT_HELLOS
    }

    /// Returns true if the router connects others to replicas.
    fn opens_tunnels(&self) -> bool {
        self.is_alive() && self.is_ready && self.has_path
    }
}

/// Which routers draw on the ledger for all.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LedgerDuty {
    /// Hello addresses of the distributors, which draw on the ledger for all.
    pub distributors: Vec<SocketAddr>,
    /// This router's position in the order of all routers.
    pub position: usize,
    /// True if this router draws.
    pub is_distributor: bool,
    /// True once the entries of the whole fleet were read; before, even shares would be too large.
    pub is_fleet_found: bool,
}

/// Which routers watch the store for all.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct WatchDuty {
    /// True if this router watches.
    pub watches: bool,
    /// Hello addresses of the other watchers in its failure domain.
    pub local: Vec<SocketAddr>,
    /// Hello addresses of the watchers in other failure domains, in an order that differs from
    /// router to router.
    pub remote: Vec<SocketAddr>,
}

/// Returns this router's current status.
pub(crate) type RouterStateSource = Arc<dyn Fn() -> RouterState + Send + Sync>;

#[derive(Debug, Default)]
pub(super) struct Others {
    pub(super) members: HashMap<SocketAddr, Member>,
    /// Routers of this router's failure domain by hello address.
    pub(super) presence: PresenceTable<SocketAddr>,
    is_fleet_found: bool,
    loads: ReportedLoads<SocketAddr>,
    turn: usize,
}

impl Others {
    /// Returns the live routers. Shortly after the start, those without a hello count as live.
    fn present(&self, is_starting: bool) -> impl Iterator<Item = (SocketAddr, &DutyCandidate)> {
        let present = self.members.iter().filter(move |(_, member)| {
            let last_hello = member.last_hello.as_ref();
            last_hello.map_or(is_starting, LastHello::is_alive)
        });
        present.map(|(address, member)| (*address, &member.candidate))
    }
}

/// Routers of the fleet that this one knows.
#[derive(Debug)]
pub(crate) struct Members {
    pub(super) own: RouterEntry,
    pub(super) own_candidate: DutyCandidate,
    pub(super) started: Instant,
    pub(super) others: Mutex<Others>,
    is_leaving: AtomicBool,
}

impl Members {
    /// Creates a fleet of this router alone.
    pub(crate) fn new(own: RouterEntry) -> Self {
        Self {
            own_candidate: own.candidate(),
            own,
            started: Instant::now(),
            others: Mutex::default(),
            is_leaving: AtomicBool::new(false),
        }
    }

    /// Returns this router's entry.
    pub(crate) const fn own(&self) -> &RouterEntry {
        &self.own
    }

    /// Ends this router's registration: its entry is about to be removed.
    pub(super) fn start_leaving(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
    }

    /// Returns true once this router is to have no entry any more.
    pub(super) fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    /// Applies the entries in the store. `had_entry` means that this router's entry is older than
    /// its process, and so are those of the others.
    pub(crate) fn apply_entries(&self, entries: Vec<RouterEntry>, had_entry: bool) {
        let mut others = lock(&self.others);
        let others = &mut *others;
        let known: Vec<SocketAddr> = entries.iter().map(|entry| entry.peer_address).collect();
        let is_late = had_entry || self.started.elapsed() >= REGISTRATION_TIME;
        others.is_fleet_found |= is_late && known.contains(&self.own.peer_address);
        others.members.retain(|address, member| {
            known.contains(address) || member.last_hello.as_ref().is_some_and(LastHello::is_alive)
        });
        // The load of a router that is forgotten before it has timed out would count for ever.
        others
            .loads
            .retain(|router| others.members.contains_key(router));
        for entry in entries {
            if entry.peer_address == self.own.peer_address {
                continue;
            }
            let member = others.members.entry(entry.peer_address);
            member.or_insert_with(|| Member::new(entry));
        }
    }

    /// Applies a hello, and returns whether its router was known before.
    pub(crate) fn apply_hello(&self, hello: Hello) -> HelloSender {
        if hello.entry.peer_address == self.own.peer_address {
            return HelloSender::Known;
        }
        let mut others = lock(&self.others);
        let others = &mut *others;
        let member = others
            .members
            .entry(hello.entry.peer_address)
            .or_insert_with(|| Member::new(hello.entry.clone()));
        let sender = match &member.last_hello {
            Some(last_hello) if last_hello.is_timed_out => HelloSender::Discovered,
            Some(last_hello) if last_hello.process != hello.process => HelloSender::Restarted,
            Some(_) => HelloSender::Known,
            None => HelloSender::Discovered,
        };
        if let Some(last_hello) = &member.last_hello {
            if last_hello.process == hello.process && last_hello.sequence >= hello.sequence {
                return HelloSender::Known;
            }
        }
        let loads = hello.loads.iter().map(|reported| reported.load());
        others.loads.set(hello.entry.peer_address, loads.collect());
        member.set_entry(hello.entry);
        member.last_hello = Some(LastHello {
            at: Instant::now(),
            process: hello.process,
            sequence: hello.sequence,
            is_ready: hello.is_ready,
            headroom_percent: hello.headroom_percent,
            has_path: hello.has_path,
            interval: Duration::from_millis(u64::from(hello.interval_ms)),
            is_timed_out: false,
        });
        sender
    }

    /// Discards the load of timed out routers. Returns those that timed out since the last call.
    pub(crate) fn drop_timed_out_loads(&self) -> Vec<SocketAddr> {
        let mut others = lock(&self.others);
        let others = &mut *others;
        let mut timed_out = Vec::new();
        for (address, member) in &mut others.members {
            let last_hello = member.last_hello.as_mut();
            if let Some(last_hello) =
                last_hello.filter(|last_hello| !last_hello.is_timed_out && !last_hello.is_alive())
            {
                last_hello.is_timed_out = true;
                others.loads.remove(address);
                timed_out.push(*address);
            }
        }
        timed_out
    }

    /// Returns the other routers' load at a replica.
    pub(crate) fn others_load(&self, replica: u32) -> ReplicaLoad {
        lock(&self.others).loads.at(replica)
    }

    /// Returns true once the entries of the whole fleet were read.
    pub(crate) fn is_fleet_found(&self) -> bool {
        lock(&self.others).is_fleet_found
    }

    /// Returns the routers that draw on the ledger for all. Routers compute the same ones as far as
    /// they receive hellos from the same routers; a disagreement does no harm.
    pub(crate) fn ledger_duty(&self) -> LedgerDuty {
        let others = lock(&self.others);
        let (addresses, candidates) = self.candidates(&others);
        let order = ledger_order(&candidates);
        let distributors = order.iter().take(distributor_count(order.len()));
        LedgerDuty {
            is_distributor: distributors.clone().any(|index| *index == 0),
            distributors: distributors.map(|index| addresses[*index]).collect(),
            position: order.iter().position(|index| *index == 0).unwrap_or(0),
            is_fleet_found: others.is_fleet_found,
        }
    }

    /// Returns the routers that watch the store for all. This router watches only once the fleet is
    /// known.
    pub(crate) fn watch_duty(&self) -> WatchDuty {
        let others = lock(&self.others);
        let (addresses, candidates) = self.candidates(&others);
        let watchers = store_watchers(&candidates);
        let is_local =
            |index: &usize| candidates[*index].failure_domain == self.own_candidate.failure_domain;
        let address = |index: usize| addresses[index];
        let (local, remote): (Vec<usize>, Vec<usize>) = watchers
            .iter()
            .filter(|index| **index != 0)
            .partition(|index| is_local(index));
        let mut remote: Vec<SocketAddr> = remote.into_iter().map(address).collect();
        let own = self.own.peer_address.to_string();
        remote.sort_by_cached_key(|address| stable_hash(&[&own, &address.to_string()]));
        WatchDuty {
            watches: others.is_fleet_found && watchers.contains(&0),
            local: local.into_iter().map(address).collect(),
            remote,
        }
    }

    /// Returns the routers eligible for a duty, this one first.
    fn candidates<'a>(&'a self, others: &'a Others) -> (Vec<SocketAddr>, Vec<&'a DutyCandidate>) {
        let is_starting = self.started.elapsed() < DISCOVERY_TIME;
        let own = (self.own.peer_address, &self.own_candidate);
        [own].into_iter().chain(others.present(is_starting)).unzip()
    }

    /// Records the presence of a router of this failure domain.
    pub(crate) fn record_heartbeat(&self, router: SocketAddr, state: RouterState, age: Duration) {
        let at_ms = self.now_ms().saturating_sub(millis(age));
        lock(&self.others)
            .presence
            .record_heartbeat(router, state, at_ms);
    }

    /// Records that a watcher of this failure domain has just reported which routers are present.
    pub(crate) fn record_watcher_report(&self) {
        let now_ms = self.now_ms();
        lock(&self.others).presence.record_watcher_report(now_ms);
    }

    /// Returns the routers present in this failure domain, with the ages of their presence records
    /// in milliseconds.
    pub(crate) fn present_routers(&self) -> Vec<(SocketAddr, RouterState, u64)> {
        let now_ms = self.now_ms();
        lock(&self.others)
            .presence
            .recent_heartbeats(now_ms)
            .collect()
    }

    /// Returns the process's monotonic clock, in milliseconds. It starts at `HEARTBEAT_TIMEOUT_MS`,
    /// so that no presence record predates its zero.
    pub(super) fn now_ms(&self) -> u64 {
        millis(self.started.elapsed()) + HEARTBEAT_TIMEOUT_MS
    }

    /// Returns the number of known routers, this one included.
    pub(crate) fn known_count(&self) -> usize {
        lock(&self.others).members.len() + 1
    }

    /// Returns the next routers to send a hello to, round robin, and the number of all others.
    pub(crate) fn next_receivers(&self, limit: usize) -> (Vec<SocketAddr>, usize) {
        let mut others = lock(&self.others);
        let mut addresses: Vec<SocketAddr> = others.members.keys().copied().collect();
        addresses.sort_unstable();
        let count = addresses.len();
        if count > limit {
            let start = others.turn % count;
            addresses.rotate_left(start);
            addresses.truncate(limit);
            others.turn = (start + limit) % count;
        }
        (addresses, count)
    }

    /// Returns a random sample of routers, for reports that are sent at once.
    pub(crate) fn some_receivers<R>(&self, limit: usize, rng: &mut R) -> Vec<SocketAddr>
    where
        R: Rng,
    {
        let others = lock(&self.others);
        others.members.keys().copied().sample(rng, limit)
    }

    /// Returns the routers that connect others to replicas, and whether each is in this router's
    /// failure domain.
    pub(crate) fn tunnel_routers(&self) -> Vec<(SocketAddr, bool)> {
        let others = lock(&self.others);
        let members = others.members.iter().filter(|(_, member)| {
            let last_hello = member.last_hello.as_ref();
            last_hello.is_some_and(LastHello::opens_tunnels)
        });
        members
            .map(|(address, member)| {
                let is_local = member.entry.failure_domain == self.own.failure_domain;
                (*address, is_local)
            })
            .collect()
    }

    /// Returns true if a router connects others to replicas.
    pub(crate) fn opens_tunnels(&self, router: SocketAddr) -> bool {
        let others = lock(&self.others);
        let member = others.members.get(&router);
        let last_hello = member.and_then(|member| member.last_hello.as_ref());
        last_hello.is_some_and(LastHello::opens_tunnels)
    }

    /// Returns the addresses of routers without a hello for at least `time`.
    pub(crate) fn timed_out_for(&self, time: Duration) -> Vec<SocketAddr> {
        if self.started.elapsed() < time {
            return Vec::new();
        }
        let others = lock(&self.others);
        let timed_out = others.members.values().filter(|member| {
            member
                .last_hello
                .as_ref()
                .is_none_or(|last_hello| last_hello.at.elapsed() > time)
        });
        timed_out.map(|member| member.entry.peer_address).collect()
    }
}

/// Returns the name of a router's entry in the store.
pub(crate) fn entry_name(address: SocketAddr) -> CompactString {
    compact_str::format_compact!("{}-{}", address.ip(), address.port())
}
