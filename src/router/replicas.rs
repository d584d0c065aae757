//! This router's view of the replicas of all pools: load, failures, crashes and quarantine.

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

/// Time for which a replica stays marked unreachable, and is reported so to peers, unless it
/// answers again.
const UNREACHABLE_TTL: Duration = Duration::from_secs(30);

/// A replica chosen for one attempt of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChosenReplica {
    /// Its pool.
    pub pool: PoolId,
    /// The replica.
    pub replica: ReplicaId,
    /// Its address.
    pub address: SocketAddr,
    fingerprint: Fingerprint,
    is_suspect: bool,
}

impl ChosenReplica {
    /// Returns the digest of the request's content.
    #[must_use]
    pub const fn fingerprint(&self) -> Fingerprint {
        self.fingerprint
    }

    /// Returns true when the request is suspected of crashing replicas.
    #[must_use]
    pub const fn is_suspect(&self) -> bool {
        self.is_suspect
    }
}

/// What a request needs of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaQuery<'a> {
    /// The pool.
    pub pool: &'a PoolId,
    /// Hashes of the prompt's prefixes, longest first.
    pub prefixes: &'a [PrefixKey],
    /// Replicas that must not be chosen, such as those of earlier attempts.
    pub excluded: &'a [ReplicaId],
    /// Digest of the request's content.
    pub fingerprint: Fingerprint,
}

/// The mark of a replica that refused connections.
#[derive(Clone, Copy, Debug)]
struct UnreachableMark {
    since: Instant,
    /// True when this router observed it itself; only such marks are reported to peers.
    is_observed: bool,
}

#[derive(Debug, Default)]
struct Pools {
    pools: HashMap<PoolId, PoolState>,
    addresses: HashMap<ReplicaId, SocketAddr>,
    in_flight: HashMap<ReplicaId, Vec<(Fingerprint, bool)>>,
    unreachable: BTreeMap<ReplicaId, UnreachableMark>,
}

/// This router's view of the replicas of all pools.
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
    /// Creates a view without replicas; `seed` seeds the routing policy's random choices.
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

    /// Updates the replicas from the VM list and their slot counts from the catalog.
    ///
    /// Replicas that are no longer listed count as leaving.
    pub fn update_vms(&self, vms: &[VmRecord], catalog: &Catalog) {
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
                state.unreachable.remove(replica);
            }
            listed.insert(replica.clone());
        }
        state.set_unlisted_leaving(&listed);
        state.refresh_unreachable();
    }

    /// Chooses a replica and counts the request as in progress there.
    ///
    /// Returns `None` when no replica of the pool is eligible.
    pub fn start(&self, query: &ReplicaQuery<'_>) -> Option<ChosenReplica> {
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
        Some(ChosenReplica {
            pool: query.pool.clone(),
            replica,
            address,
            fingerprint,
            is_suspect,
        })
    }

    /// Counts a request as ended.
    pub fn end(&self, chosen: &ChosenReplica) {
        let mut state = lock(&self.pools);
        if let Some(pool) = state.pools.get_mut(&chosen.pool) {
            if let Some(index) = pool.index_of(&chosen.replica) {
                pool.end_request(index, chosen.is_suspect);
            }
        }
        if let Some(in_flight) = state.in_flight.get_mut(&chosen.replica) {
            if let Some(position) = in_flight.iter().position(|(f, _)| *f == chosen.fingerprint) {
                in_flight.swap_remove(position);
            }
        }
    }

    /// Records a completed request, which also clears an unreachable mark.
    pub fn record_success(&self, chosen: &ChosenReplica) {
        let mut state = lock(&self.pools);
        if state.unreachable.remove(&chosen.replica).is_some() {
            state.refresh_unreachable();
        }
        state.with_replica(&chosen.pool, &chosen.replica, |pool, index| {
            pool.record_success(index);
        });
        drop(state);
        let now_ms = self.now_ms();
        lock(&self.quarantine).record_completion(chosen.fingerprint, now_ms);
    }

    /// Records a failed request at a replica that is still reachable.
    pub fn record_failure(&self, chosen: &ChosenReplica) {
        let now_ms = self.now_ms();
        lock(&self.pools).with_replica(&chosen.pool, &chosen.replica, |pool, index| {
            pool.record_failure(index, now_ms);
        });
    }

    /// Marks a replica that refuses connections as unreachable.
    ///
    /// It gets no new requests, and the mark is reported to peers.
    pub fn mark_unreachable(&self, replica: &ReplicaId) {
        let mut state = lock(&self.pools);
        state.unreachable.insert(
            replica.clone(),
            UnreachableMark {
                since: Instant::now(),
                is_observed: true,
            },
        );
        state.refresh_unreachable();
    }

    /// Records a crash as evidence against all requests in progress at the replica.
    pub fn record_crash(&self, chosen: &ChosenReplica) {
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
        self.mark_unreachable(&chosen.replica);
    }

    /// Merges the unreachable replicas and crashes reported by a peer.
    pub fn merge_peer_reports(&self, unreachable: &[ReplicaId], crashes: &[CrashReport]) {
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
        for replica in unreachable {
            let mark = UnreachableMark {
                since: Instant::now(),
                is_observed: false,
            };
            state.unreachable.entry(replica.clone()).or_insert(mark);
        }
        state.refresh_unreachable();
    }

    /// Returns true while a replica is marked unreachable.
    #[must_use]
    pub fn is_unreachable(&self, replica: &ReplicaId) -> bool {
        lock(&self.pools).unreachable.contains_key(replica)
    }

    /// Clears the unreachable mark of a replica that answers, whoever set it.
    pub fn mark_reachable(&self, replica: &ReplicaId) {
        let mut state = lock(&self.pools);
        if state.unreachable.remove(replica).is_some() {
            state.refresh_unreachable();
        }
    }

    /// Returns the replicas that this router itself observed as unreachable.
    #[must_use]
    pub fn observed_unreachable(&self) -> Vec<ReplicaId> {
        let state = lock(&self.pools);
        let own = state
            .unreachable
            .iter()
            .filter(|(_, mark)| mark.is_observed);
        own.map(|(replica, _)| replica.clone()).collect()
    }

    /// Returns reports of all known crashes.
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

    /// Returns the quarantine state of a request's content.
    #[must_use]
    pub fn suspicion(&self, fingerprint: Fingerprint) -> Suspicion {
        lock(&self.quarantine).suspicion(fingerprint, self.now_ms())
    }

    /// Returns the addresses of all replicas that are not leaving, for polling their load.
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

    /// Returns the number of this router's requests in progress at a replica.
    #[must_use]
    pub fn own_in_flight(&self, replica: &ReplicaId) -> u32 {
        let state = lock(&self.pools);
        let count = state.in_flight.get(replica).map_or(0, Vec::len);
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Records a load report: all requests at the replica, and this router's share of them.
    pub fn record_load(&self, pool: &PoolId, replica: &ReplicaId, requests: u32, own: u32) {
        lock(&self.pools).with_replica(pool, replica, |pool, index| {
            pool.record_load(index, requests, own);
        });
    }

    /// Returns this router's concurrency limit in a pool: all slots less those used by others.
    #[must_use]
    pub fn concurrency_limit(&self, pool: &PoolId) -> u64 {
        lock(&self.pools)
            .pools
            .get(pool)
            .map_or(0, PoolState::concurrency_limit)
    }

    /// Returns true when a pool has a replica in service, whether or not a suspect occupies it.
    #[must_use]
    pub fn has_in_service(&self, pool: &PoolId) -> bool {
        let state = lock(&self.pools);
        let pool = state.pools.get(pool);
        pool.is_some_and(|pool| pool.replicas().iter().any(ReplicaState::is_in_service))
    }

    /// Returns the time since this view was created, in milliseconds of the monotonic clock.
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

    fn set_unlisted_leaving(&mut self, listed: &BTreeSet<ReplicaId>) {
        for pool in self.pools.values_mut() {
            for index in 0..pool.replicas().len() {
                if !listed.contains(&pool.replica(index).id) {
                    pool.replica_mut(index).is_leaving = true;
                }
            }
        }
    }

    fn refresh_unreachable(&mut self) {
        self.unreachable
            .retain(|_, mark| mark.since.elapsed() < UNREACHABLE_TTL);
        for pool in self.pools.values_mut() {
            for index in 0..pool.replicas().len() {
                let is_unreachable = self.unreachable.contains_key(&pool.replica(index).id);
                pool.replica_mut(index).is_unreachable = is_unreachable;
            }
        }
    }
}
