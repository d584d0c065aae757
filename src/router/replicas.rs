//! The pools of replicas as this router sees them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::SeedableRng;
use tokio::time::Instant;

use crate::catalog::Catalog;
use crate::core::ids::{FailureDomain, PoolId, ReplicaId};
use crate::core::quarantine::{Fingerprint, Quarantine, ServerCrash, Suspicion};
use crate::core::routing::{PoolState, PrefixKey, ReplicaState, RoutingPolicy, RoutingRequest};
use crate::peer::CrashReport;
use crate::util::lock;
use crate::vm_list::{VmRecord, VmRole, VmState};

/// Time for which a replica that was found gone is told to peers, unless it answers again.
const GONE_MEMORY: Duration = Duration::from_secs(30);

/// A replica chosen for one try of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chosen {
    /// Its pool.
    pub pool: PoolId,
    /// The replica.
    pub replica: ReplicaId,
    /// Its address.
    pub address: SocketAddr,
    fingerprint: Fingerprint,
    is_suspect: bool,
}

impl Chosen {
    /// Digest of the request's content.
    #[must_use]
    pub const fn fingerprint(&self) -> Fingerprint {
        self.fingerprint
    }

    /// True when the request is under suspicion.
    #[must_use]
    pub const fn is_suspect(&self) -> bool {
        self.is_suspect
    }
}

/// What a request wants of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaQuery<'a> {
    /// The pool.
    pub pool: &'a PoolId,
    /// Starts of the prompt, longest first.
    pub prefixes: &'a [PrefixKey],
    /// Replicas that were tried already.
    pub excluded: &'a [ReplicaId],
    /// Digest of the request's content.
    pub fingerprint: Fingerprint,
}

/// A replica that refused connections.
#[derive(Clone, Copy, Debug)]
struct Gone {
    since: Instant,
    /// True when this router saw it itself; only such findings are told to peers.
    is_own: bool,
}

#[derive(Debug, Default)]
struct Pools {
    pools: HashMap<PoolId, PoolState>,
    addresses: HashMap<ReplicaId, SocketAddr>,
    in_flight: HashMap<ReplicaId, Vec<(Fingerprint, bool)>>,
    gone: BTreeMap<ReplicaId, Gone>,
}

/// The replicas of all pools.
#[derive(Debug)]
pub struct Replicas {
    failure_domain: FailureDomain,
    policy: Box<dyn RoutingPolicy>,
    started: Instant,
    pools: Mutex<Pools>,
    rng: Mutex<StdRng>,
    quarantine: Mutex<Quarantine>,
}

impl Replicas {
    /// No replicas yet.
    #[must_use]
    pub fn new(failure_domain: FailureDomain, policy: Box<dyn RoutingPolicy>, seed: u64) -> Self {
        Self {
            failure_domain,
            policy,
            started: Instant::now(),
            pools: Mutex::default(),
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
            quarantine: Mutex::default(),
        }
    }

    /// Takes in the VM list and the pools' rules.
    pub fn apply_vms(&self, vms: &[VmRecord], catalog: &Catalog) {
        let mut state = lock(&self.pools);
        let mut listed = BTreeSet::new();
        for record in vms {
            let VmRole::Replica {
                replica,
                pool,
                address,
            } = &record.role
            else {
                continue;
            };
            let slots = catalog.pool(pool).map_or(1, |pool| pool.replica_slots);
            let domain = record.failure_domain.clone();
            let entry = state.pools.entry(pool.clone()).or_default();
            let index = entry.add(ReplicaState::new(replica.clone(), domain, slots));
            let is_leaving = record.state == VmState::Leaving;
            entry.replica_mut(index).is_leaving = is_leaving;
            let former = state.addresses.insert(replica.clone(), *address);
            if former.is_some_and(|former| former != *address) {
                state.gone.remove(replica);
            }
            listed.insert(replica.clone());
        }
        state.mark_unlisted(&listed);
        state.mark_gone();
    }

    /// Chooses a replica and counts the request as in progress there.
    pub fn start(&self, query: &ReplicaQuery<'_>) -> Option<Chosen> {
        let is_suspect = self.suspicion(query.fingerprint) == Suspicion::Suspect;
        let mut state = lock(&self.pools);
        let pool = state.pools.get_mut(query.pool)?;
        let route = RoutingRequest {
            now_ms: self.now_ms(),
            failure_domain: &self.failure_domain,
            prefixes: query.prefixes,
            excluded: query.excluded,
            isolate_suspect: is_suspect,
        };
        let index = self.policy.choose(pool, &route, &mut *lock(&self.rng))?;
        let prefixes = if self.policy.uses_prefixes() {
            query.prefixes
        } else {
            &[]
        };
        pool.begin_request(index, prefixes, is_suspect);
        let replica = pool.replica(index).id.clone();
        let address = *state.addresses.get(&replica)?;
        state
            .in_flight
            .entry(replica.clone())
            .or_default()
            .push((query.fingerprint, is_suspect));
        let fingerprint = query.fingerprint;
        Some(Chosen {
            pool: query.pool.clone(),
            replica,
            address,
            fingerprint,
            is_suspect,
        })
    }

    /// Counts a request as ended.
    pub fn end(&self, chosen: &Chosen) {
        let mut state = lock(&self.pools);
        if let Some(pool) = state.pools.get_mut(&chosen.pool) {
            if let Some(index) = pool.index_of(&chosen.replica) {
                pool.end_request(index, chosen.is_suspect);
            }
        }
        if let Some(in_flight) = state.in_flight.get_mut(&chosen.replica) {
            if let Some(place) = in_flight.iter().position(|(f, _)| *f == chosen.fingerprint) {
                in_flight.swap_remove(place);
            }
        }
    }

    /// Notes that a replica answered a request whole.
    pub fn record_success(&self, chosen: &Chosen) {
        let mut state = lock(&self.pools);
        if state.gone.remove(&chosen.replica).is_some() {
            state.mark_gone();
        }
        state.with_replica(&chosen.pool, &chosen.replica, |pool, index| {
            pool.record_success(index);
        });
        drop(state);
        let now_ms = self.now_ms();
        lock(&self.quarantine).record_completion(chosen.fingerprint, now_ms);
    }

    /// Notes that a replica failed a request but is there.
    pub fn record_failure(&self, chosen: &Chosen) {
        let now_ms = self.now_ms();
        lock(&self.pools).with_replica(&chosen.pool, &chosen.replica, |pool, index| {
            pool.record_failure(index, now_ms);
        });
    }

    /// Notes that a replica refuses connections: it gets no new work, and peers are told.
    pub fn record_gone(&self, replica: &ReplicaId) {
        let mut state = lock(&self.pools);
        state.gone.insert(
            replica.clone(),
            Gone {
                since: Instant::now(),
                is_own: true,
            },
        );
        state.mark_gone();
    }

    /// Notes a crash: all requests in progress there come under suspicion.
    pub fn record_crash(&self, chosen: &Chosen) {
        let in_flight = lock(&self.pools).in_flight.get(&chosen.replica).cloned();
        let server_crash = ServerCrash::new(chosen.replica.clone(), self.now_ms());
        let mut quarantine = lock(&self.quarantine);
        for (fingerprint, is_sole_suspect) in in_flight.unwrap_or_default() {
            quarantine.record(
                fingerprint,
                server_crash.clone().with_sole_suspect(is_sole_suspect),
            );
        }
        quarantine.record(
            chosen.fingerprint,
            server_crash.with_sole_suspect(chosen.is_suspect),
        );
        drop(quarantine);
        self.record_gone(&chosen.replica);
    }

    /// Takes in what a peer found.
    pub fn apply_peer_report(&self, gone: &[ReplicaId], crashes: &[CrashReport]) {
        let now_ms = self.now_ms();
        let mut quarantine = lock(&self.quarantine);
        for crash in crashes {
            let at_ms = now_ms.saturating_sub(crash.age_ms);
            let server_crash =
                ServerCrash::new(crash.replica.clone(), at_ms).with_sole_suspect(crash.alone);
            quarantine.record(crash.fingerprint, server_crash);
        }
        drop(quarantine);
        let mut state = lock(&self.pools);
        for replica in gone {
            let found = Gone {
                since: Instant::now(),
                is_own: false,
            };
            state.gone.entry(replica.clone()).or_insert(found);
        }
        state.mark_gone();
    }

    /// True while a replica counts as gone.
    #[must_use]
    pub fn is_gone(&self, replica: &ReplicaId) -> bool {
        lock(&self.pools).gone.contains_key(replica)
    }

    /// Notes that a replica answers, whatever it was said to be.
    pub fn record_alive(&self, replica: &ReplicaId) {
        let mut state = lock(&self.pools);
        if state.gone.remove(replica).is_some() {
            state.mark_gone();
        }
    }

    /// Replicas that this router itself found gone.
    #[must_use]
    pub fn gone(&self) -> Vec<ReplicaId> {
        let state = lock(&self.pools);
        let own = state.gone.iter().filter(|(_, gone)| gone.is_own);
        own.map(|(replica, _)| replica.clone()).collect()
    }

    /// All crashes known.
    #[must_use]
    pub fn crashes(&self) -> Vec<CrashReport> {
        let now_ms = self.now_ms();
        let quarantine = lock(&self.quarantine);
        let reports = quarantine.all_crashes(now_ms);
        reports
            .map(|(fingerprint, crash)| CrashReport {
                fingerprint,
                replica: crash.replica.clone(),
                alone: crash.is_sole_suspect,
                age_ms: now_ms.saturating_sub(crash.at_ms),
            })
            .collect()
    }

    /// How far a request is under suspicion.
    #[must_use]
    pub fn suspicion(&self, fingerprint: Fingerprint) -> Suspicion {
        lock(&self.quarantine).suspicion(fingerprint, self.now_ms())
    }

    /// Addresses of all replicas in service, to ask them for their load.
    #[must_use]
    pub fn addresses(&self) -> Vec<(PoolId, ReplicaId, SocketAddr)> {
        let state = lock(&self.pools);
        let mut found = Vec::new();
        for (pool, entry) in &state.pools {
            for replica in entry
                .replicas()
                .iter()
                .filter(|replica| !replica.is_leaving)
            {
                if let Some(address) = state.addresses.get(&replica.id) {
                    found.push((pool.clone(), replica.id.clone(), *address));
                }
            }
        }
        found
    }

    /// This router's requests in progress at a replica.
    #[must_use]
    pub fn own_in_flight(&self, replica: &ReplicaId) -> u32 {
        let state = lock(&self.pools);
        let count = state.in_flight.get(replica).map_or(0, Vec::len);
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Takes in a load report.
    pub fn record_load(&self, pool: &PoolId, replica: &ReplicaId, requests: u32, own: u32) {
        lock(&self.pools).with_replica(pool, replica, |pool, index| {
            pool.record_load(index, requests, own);
        });
    }

    /// Requests that this router may have in progress in a pool: its slots less what others use.
    #[must_use]
    pub fn pool_room(&self, pool: &PoolId) -> u64 {
        lock(&self.pools)
            .pools
            .get(pool)
            .map_or(0, PoolState::available_slots)
    }

    /// True when a pool has a replica that may get work, taken or not.
    #[must_use]
    pub fn has_in_service(&self, pool: &PoolId) -> bool {
        let state = lock(&self.pools);
        let pool = state.pools.get(pool);
        pool.is_some_and(|pool| pool.replicas().iter().any(ReplicaState::is_in_service))
    }

    /// This router's monotonic clock, in milliseconds since it started.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

impl Pools {
    fn with_replica<F>(&mut self, pool: &PoolId, replica: &ReplicaId, action: F)
    where
        F: FnOnce(&mut PoolState, usize),
    {
        if let Some(pool) = self.pools.get_mut(pool) {
            if let Some(index) = pool.index_of(replica) {
                action(pool, index);
            }
        }
    }

    fn mark_unlisted(&mut self, listed: &BTreeSet<ReplicaId>) {
        for pool in self.pools.values_mut() {
            for index in 0..pool.replicas().len() {
                if !listed.contains(&pool.replica(index).id) {
                    pool.replica_mut(index).is_leaving = true;
                }
            }
        }
    }

    fn mark_gone(&mut self) {
        self.gone
            .retain(|_, gone| gone.since.elapsed() < GONE_MEMORY);
        for pool in self.pools.values_mut() {
            for index in 0..pool.replicas().len() {
                let is_gone = self.gone.contains_key(&pool.replica(index).id);
                pool.replica_mut(index).is_unreachable = is_gone;
            }
        }
    }
}
