//! The routers of the fleet as this one sees them: a hint for callers and for choices, never what
//! safety rests on.
//!
//! Routers enter themselves in the store once. From then on they tell one another, by datagrams,
//! that they are there and what work they have at each replica.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use compact_str::CompactString;
use rand::seq::IteratorRandom;
use rand::Rng;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::pooling::ToldGrants;
use super::pools::ToldNotice;
use super::suspects::ToldSuspicion;
use crate::core::duty::{distributor_count, ledger_order, store_watchers, DutyCandidate};
use crate::core::ids::FailureDomain;
use crate::core::placement::ReplicaLoad;
use crate::core::presence::{OwnWord, Presence, PresenceTable, GONE_AFTER_MS};
use crate::core::subset::{weighted_subset, SubsetCandidate};
use crate::util::{lock, millis, stable_hash};

/// Silence after which a router counts as gone, in multiples of the time between its hellos.
pub(super) const SILENT_HELLOS: u32 = 5;
/// Time after the start within which routers that start with this one have an entry that stale
/// readings show: half a second for the starts, a second for the age of a reading.
const ALL_ENTERED: Duration = Duration::from_millis(1_500);
/// Time after the start within which routers that have an entry are heard, if they are there.
const FIRST_HEARD: Duration = Duration::from_secs(3);
/// Room of a router that has not told any.
const FULL_ROOM_PERCENT: u8 = 100;
/// Tokens in one unit of a hello's unread work.
const UNREAD_UNIT_TOKENS: u64 = 64;

/// A router's entry in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RouterEntry {
    /// Where callers connect.
    pub callers_address: SocketAddr,
    /// Where other routers send hellos.
    pub peer_address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Processor time that its VM has, in thousandths of a core.
    pub cpu_millis: u32,
}

impl RouterEntry {
    fn candidate(&self) -> DutyCandidate {
        DutyCandidate {
            failure_domain: self.failure_domain.clone(),
            cpu_millis: self.cpu_millis,
            order: stable_hash(&["distributor", &self.peer_address.to_string()]),
        }
    }
}

/// Work at one replica, as told in a hello.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ToldLoad {
    /// Short digest of the replica's id.
    pub replica: u32,
    /// Requests there.
    pub requests: u16,
    /// Prompt tokens to be read there, in units of 64.
    pub unread_units: u16,
}

impl ToldLoad {
    /// The load of a replica by its digest.
    pub(crate) fn new(replica: u32, load: ReplicaLoad) -> Self {
        let unread_units = load.unread_tokens.div_ceil(UNREAD_UNIT_TOKENS);
        Self {
            replica,
            requests: u16::try_from(load.requests).unwrap_or(u16::MAX),
            unread_units: u16::try_from(unread_units).unwrap_or(u16::MAX),
        }
    }

    fn load(self) -> ReplicaLoad {
        ReplicaLoad {
            requests: u32::from(self.requests),
            unread_tokens: u64::from(self.unread_units) * UNREAD_UNIT_TOKENS,
        }
    }
}

/// What a router tells the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Hello {
    /// Who says it, as entered in the store.
    pub entry: RouterEntry,
    /// Start of its process, as a random number.
    pub process: u64,
    /// Rises with each hello of a process.
    pub sequence: u64,
    /// True when it takes requests.
    pub is_ready: bool,
    /// How much more it can take on, in hundredths.
    pub room_percent: u8,
    /// Time until its next hello to the same router, in milliseconds.
    pub interval_ms: u32,
    /// Its work at each replica that has some.
    pub loads: Vec<ToldLoad>,
    /// What replicas said of themselves to it.
    pub notices: Vec<ToldNotice>,
    /// Its grants.
    pub grants: ToldGrants,
    /// Requests under which servers ended.
    pub suspicions: Vec<ToldSuspicion>,
}

#[derive(Debug)]
struct Member {
    entry: RouterEntry,
    /// Kept, since the duty is worked out many times a second.
    candidate: DutyCandidate,
    heard: Option<Heard>,
}

impl Member {
    fn new(entry: RouterEntry) -> Self {
        Self {
            candidate: entry.candidate(),
            entry,
            heard: None,
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
struct Heard {
    at: Instant,
    process: u64,
    sequence: u64,
    is_ready: bool,
    room_percent: u8,
    interval: Duration,
    loads: Vec<ToldLoad>,
    /// True once its silence was noticed.
    is_silent: bool,
}

impl Heard {
    fn is_alive(&self) -> bool {
        self.at.elapsed() < self.interval * SILENT_HELLOS
    }
}

/// Which routers draw on the ledger for all.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LedgerDuty {
    /// Routers whose turn it is to draw, by their addresses for hellos.
    pub distributors: Vec<SocketAddr>,
    /// This router's place in the order of all routers.
    pub place: usize,
    /// True when this router draws.
    pub distributes: bool,
    /// True once the entries of the whole fleet were read, so that even shares are not too large.
    pub is_fleet_found: bool,
}

/// Which routers watch the store for all.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct WatchDuty {
    /// True when this router watches.
    pub watches: bool,
    /// Other routers of its failure domain that do, by their addresses for hellos.
    pub near: Vec<SocketAddr>,
    /// Those of other failure domains, in an order that differs from router to router.
    pub far: Vec<SocketAddr>,
}

/// What this router says of itself now.
pub(crate) type OwnWordSource = Arc<dyn Fn() -> OwnWord + Send + Sync>;

#[derive(Debug, Default)]
struct Others {
    members: HashMap<SocketAddr, Member>,
    /// Routers of this router's failure domain by their addresses for hellos.
    presence: PresenceTable<SocketAddr>,
    is_fleet_found: bool,
    loads: HashMap<u32, ReplicaLoad>,
    turn: usize,
}

impl Others {
    /// Routers that are there. Shortly after the start those count that were not heard yet.
    fn present(&self, is_starting: bool) -> impl Iterator<Item = (SocketAddr, &DutyCandidate)> {
        let present = self.members.iter().filter(move |(_, member)| {
            let heard = member.heard.as_ref();
            heard.map_or(is_starting, Heard::is_alive)
        });
        present.map(|(address, member)| (*address, &member.candidate))
    }
}

/// The fleet.
#[derive(Debug)]
pub(crate) struct Members {
    own: RouterEntry,
    own_candidate: DutyCandidate,
    started: Instant,
    others: Mutex<Others>,
}

impl Members {
    /// A fleet of one.
    pub(crate) fn new(own: RouterEntry) -> Self {
        Self {
            own_candidate: own.candidate(),
            own,
            started: Instant::now(),
            others: Mutex::default(),
        }
    }

    /// This router's entry.
    pub(crate) const fn own(&self) -> &RouterEntry {
        &self.own
    }

    /// Takes in the entries in the store. `had_entry` tells that this router's entry is from before
    /// its start, so those of the others are too.
    pub(crate) fn learn_entries(&self, entries: Vec<RouterEntry>, had_entry: bool) {
        let mut others = lock(&self.others);
        let known: Vec<SocketAddr> = entries.iter().map(|entry| entry.peer_address).collect();
        let is_late = had_entry || self.started.elapsed() >= ALL_ENTERED;
        others.is_fleet_found |= is_late && known.contains(&self.own.peer_address);
        others.members.retain(|address, member| {
            known.contains(address) || member.heard.as_ref().is_some_and(Heard::is_alive)
        });
        for entry in entries {
            if entry.peer_address == self.own.peer_address {
                continue;
            }
            let member = others.members.entry(entry.peer_address);
            member.or_insert_with(|| Member::new(entry));
        }
    }

    /// Takes in a hello. Returns true when its router was silent or unknown before.
    pub(crate) fn learn_hello(&self, hello: Hello) -> bool {
        if hello.entry.peer_address == self.own.peer_address {
            return false;
        }
        let mut others = lock(&self.others);
        let others = &mut *others;
        let member = others
            .members
            .entry(hello.entry.peer_address)
            .or_insert_with(|| Member::new(hello.entry.clone()));
        let was_silent = member.heard.as_ref().is_none_or(|heard| heard.is_silent);
        if let Some(heard) = &member.heard {
            if heard.process == hello.process && heard.sequence >= hello.sequence {
                return false;
            }
            subtract(&mut others.loads, &heard.loads);
        }
        for told in &hello.loads {
            let sum = others.loads.entry(told.replica).or_default();
            let load = told.load();
            sum.requests += load.requests;
            sum.unread_tokens += load.unread_tokens;
        }
        member.set_entry(hello.entry);
        member.heard = Some(Heard {
            at: Instant::now(),
            process: hello.process,
            sequence: hello.sequence,
            is_ready: hello.is_ready,
            room_percent: hello.room_percent,
            interval: Duration::from_millis(u64::from(hello.interval_ms)),
            loads: hello.loads,
            is_silent: false,
        });
        was_silent
    }

    /// Forgets the work of routers that fell silent, and names those that did since last time.
    pub(crate) fn drop_silent_loads(&self) -> Vec<SocketAddr> {
        let mut others = lock(&self.others);
        let others = &mut *others;
        let mut silent = Vec::new();
        for (address, member) in &mut others.members {
            let heard = member.heard.as_mut();
            if let Some(heard) = heard.filter(|heard| !heard.is_silent && !heard.is_alive()) {
                heard.is_silent = true;
                subtract(&mut others.loads, &std::mem::take(&mut heard.loads));
                silent.push(*address);
            }
        }
        silent
    }

    /// Work of the other routers at a replica.
    pub(crate) fn others_load(&self, replica: u32) -> ReplicaLoad {
        let others = lock(&self.others);
        others.loads.get(&replica).copied().unwrap_or_default()
    }

    /// True once the entries of the whole fleet were read.
    pub(crate) fn is_fleet_found(&self) -> bool {
        lock(&self.others).is_fleet_found
    }

    /// The routers that draw on the ledger for all. All routers work out the same ones as far as
    /// they hear the same routers; where they differ nothing breaks.
    pub(crate) fn ledger_duty(&self) -> LedgerDuty {
        let others = lock(&self.others);
        let (addresses, candidates) = self.candidates(&others);
        let order = ledger_order(&candidates);
        let distributors = order.iter().take(distributor_count(order.len()));
        LedgerDuty {
            distributes: distributors.clone().any(|index| *index == 0),
            distributors: distributors.map(|index| addresses[*index]).collect(),
            place: order.iter().position(|index| *index == 0).unwrap_or(0),
            is_fleet_found: others.is_fleet_found,
        }
    }

    /// The routers that watch the store for all. Before the fleet was found, this one does not.
    pub(crate) fn watch_duty(&self) -> WatchDuty {
        let others = lock(&self.others);
        let (addresses, candidates) = self.candidates(&others);
        let watchers = store_watchers(&candidates);
        let is_near =
            |index: &usize| candidates[*index].failure_domain == self.own_candidate.failure_domain;
        let address = |index: usize| addresses[index];
        let (near, far): (Vec<usize>, Vec<usize>) = watchers
            .iter()
            .filter(|index| **index != 0)
            .partition(|index| is_near(index));
        let mut far: Vec<SocketAddr> = far.into_iter().map(address).collect();
        let own = self.own.peer_address.to_string();
        far.sort_by_cached_key(|address| stable_hash(&[&own, &address.to_string()]));
        WatchDuty {
            watches: others.is_fleet_found && watchers.contains(&0),
            near: near.into_iter().map(address).collect(),
            far,
        }
    }

    /// Routers that may have a duty, this one first.
    fn candidates<'a>(&'a self, others: &'a Others) -> (Vec<SocketAddr>, Vec<&'a DutyCandidate>) {
        let is_starting = self.started.elapsed() < FIRST_HEARD;
        let own = (self.own.peer_address, &self.own_candidate);
        [own].into_iter().chain(others.present(is_starting)).unzip()
    }

    /// Takes in a heartbeat of a router of this failure domain.
    pub(crate) fn learn_presence(&self, router: SocketAddr, word: OwnWord, age: Duration) {
        let at_ms = self.now_ms().saturating_sub(millis(age));
        lock(&self.others).presence.learn(router, word, at_ms);
    }

    /// Notes that a router that watches for others tells of its failure domain now.
    pub(crate) fn note_hub(&self) {
        let now_ms = self.now_ms();
        lock(&self.others).presence.note_hub(now_ms);
    }

    /// Routers of this failure domain that are there, with the ages of their heartbeats in
    /// milliseconds.
    pub(crate) fn present_routers(&self) -> Vec<(SocketAddr, OwnWord, u64)> {
        let now_ms = self.now_ms();
        lock(&self.others).presence.ages(now_ms).collect()
    }

    /// The process's monotonic clock. It starts at a time that no heartbeat is older than.
    fn now_ms(&self) -> u64 {
        millis(self.started.elapsed()) + GONE_AFTER_MS
    }

    /// Routers known, this one included.
    pub(crate) fn known_count(&self) -> usize {
        lock(&self.others).members.len() + 1
    }

    /// The next routers to send a hello to, in turn, and the number of all.
    pub(crate) fn next_receivers(&self, most: usize) -> (Vec<SocketAddr>, usize) {
        let mut others = lock(&self.others);
        let mut addresses: Vec<SocketAddr> = others.members.keys().copied().collect();
        addresses.sort_unstable();
        let count = addresses.len();
        if count > most {
            let start = others.turn % count;
            addresses.rotate_left(start);
            addresses.truncate(most);
            others.turn = (start + most) % count;
        }
        (addresses, count)
    }

    /// Some routers, for news that are told at once.
    pub(crate) fn some_receivers<R>(&self, most: usize, rng: &mut R) -> Vec<SocketAddr>
    where
        R: Rng,
    {
        let others = lock(&self.others);
        others.members.keys().copied().sample(rng, most)
    }

    /// Addresses of routers that entries exist for but that were silent for long.
    pub(crate) fn silent_for(&self, time: Duration) -> Vec<SocketAddr> {
        if self.started.elapsed() < time {
            return Vec::new();
        }
        let others = lock(&self.others);
        let silent = others.members.values().filter(|member| {
            member
                .heard
                .as_ref()
                .is_none_or(|heard| heard.at.elapsed() > time)
        });
        silent.map(|member| member.entry.peer_address).collect()
    }

    /// Addresses for a caller in a failure domain. `own_room_percent` is none while this router
    /// takes no requests.
    ///
    /// When this router hears nobody, it is probably itself that is cut off, so it goes on naming
    /// the routers that it knows.
    pub(crate) fn addresses_for(
        &self,
        domain: &str,
        own_room_percent: Option<u8>,
    ) -> Vec<SocketAddr> {
        let others = lock(&self.others);
        let known: Vec<&Member> = others.members.values().collect();
        let now_ms = self.now_ms();
        let is_usable = |member: &&&Member| {
            let presence = self.presence(&others, member, now_ms);
            match presence {
                Presence::There(word) => word.is_ready,
                Presence::Gone => false,
                Presence::Unknown => {
                    let heard = member.heard.as_ref();
                    heard.is_some_and(|heard| heard.is_alive() && heard.is_ready)
                }
            }
        };
        let alive: Vec<&Member> = known.iter().filter(is_usable).copied().collect();
        let hears_nobody = alive.is_empty() && self.started.elapsed() > FIRST_HEARD;
        let usable = if hears_nobody { known } else { alive };
        let own = own_room_percent.map(|room| (&self.own, &self.own_candidate, room));
        let usable = usable.iter().map(|member| {
            let heard = member.heard.as_ref();
            let room = match self.presence(&others, member, now_ms) {
                Presence::There(word) => word.room_percent,
                _ => heard.map_or(FULL_ROOM_PERCENT, |heard| heard.room_percent),
            };
            (&member.entry, &member.candidate, room)
        });
        let mut listed: Vec<_> = usable.chain(own).collect();
        listed.sort_unstable_by_key(|(entry, ..)| entry.callers_address);
        let candidates: Vec<SubsetCandidate> = listed
            .iter()
            .map(|(entry, candidate, room_percent)| SubsetCandidate {
                hash: candidate.order,
                failure_domain: entry.failure_domain.clone(),
                cpu_millis: entry.cpu_millis,
                room_percent: *room_percent,
            })
            .collect();
        let subset = weighted_subset(&candidates, domain, self.own_candidate.order);
        let addresses = subset.into_iter().map(|index| listed[index].0);
        addresses.map(|entry| entry.callers_address).collect()
    }

    /// What heartbeats tell of a router. They are only complete for the own failure domain.
    fn presence(&self, others: &Others, member: &Member, now_ms: u64) -> Presence {
        if member.entry.failure_domain != self.own.failure_domain {
            return Presence::Unknown;
        }
        let router = &member.entry.peer_address;
        others.presence.presence(router, now_ms)
    }
}

fn subtract(sums: &mut HashMap<u32, ReplicaLoad>, loads: &[ToldLoad]) {
    for told in loads {
        if let Some(sum) = sums.get_mut(&told.replica) {
            let load = told.load();
            sum.requests = sum.requests.saturating_sub(load.requests);
            sum.unread_tokens = sum.unread_tokens.saturating_sub(load.unread_tokens);
        }
    }
}

/// Name of a router's entry in the store.
pub(crate) fn entry_name(address: SocketAddr) -> CompactString {
    compact_str::format_compact!("{}-{}", address.ip(), address.port())
}
