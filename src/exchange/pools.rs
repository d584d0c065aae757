//! The replicas of all pools and the load that this router puts on them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use compact_str::CompactString;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::SeedableRng;
use tokio::time::Instant;

use super::brittleness::Brittleness;
use super::catalog::{Catalog, EngineRules};
use super::limits::{ReplicaKey, ReplicaLimits};
use super::members::Members;
use super::request::ReplicaAddress;
use crate::core::ids::{FailureDomain, PoolId, ReplicaId, ReplicaVersion};
use crate::core::placement::{PromptMix, ReplicaCandidate};
use crate::core::retry_share::{RetryRule, RetryShare};
use crate::core::version_history::VersionHistory;
use crate::util::{lock, millis, short_digest};

/// Slots assumed for a replica whose entry does not state a number.
const DEFAULT_SLOTS: u32 = 1;

/// A replica's entry in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ReplicaEntry {
    /// Id of the replica.
    pub id: ReplicaId,
    /// Pool of the replica.
    pub pool: PoolId,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Requests that it runs concurrently, if stated.
    pub slots: Option<u32>,
    /// True if the replica is leaving.
    pub is_draining: bool,
    /// Start of this incarnation, in milliseconds since the Unix epoch.
    pub born_ms: Option<u64>,
    /// Version of its software; `None` if the entry states no usable one.
    pub version: Option<ReplicaVersion>,
}

/// One incarnation of a replica: the time from a start of its process to the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Incarnation {
    /// Start time, if the entry states one, in milliseconds since the Unix epoch.
    pub born_ms: Option<u64>,
}

#[derive(Debug)]
pub(super) struct Replica {
    pub(super) address: SocketAddr,
    pub(super) digest: u32,
    pub(super) born_ms: Option<u64>,
    /// Version of its software, if known.
    pub(super) version: Option<ReplicaVersion>,
    /// When the version became known.
    pub(super) version_since: Instant,
    /// True if this incarnation is known to have ended. The version of the next one is not known
    /// before its entry, though it may answer already.
    pub(super) has_ended: bool,
    /// True if it reported to this router, in an answer, that it is leaving.
    pub(super) has_reported_leaving: bool,
    /// Suspect requests of this router in progress there.
    pub(super) suspect_requests: u32,
}

impl Replica {
    pub(super) const fn key(&self) -> ReplicaKey {
        ReplicaKey {
            replica: self.digest,
            born_ms: self.born_ms,
        }
    }
}

#[derive(Debug, Default)]
pub(super) struct Pool {
    pub(super) candidates: Vec<ReplicaCandidate>,
    pub(super) replicas: Vec<Replica>,
    pub(super) connection_limit: u32,
    pub(super) engine: Option<EngineRules>,
    pub(super) retries: Option<RetryShare>,
    pub(super) mix: PromptMix,
    /// Versions of its replicas since the start of the process.
    pub(super) versions: VersionHistory,
}

impl Pool {
    pub(super) fn index_of(&self, id: &ReplicaId) -> Option<usize> {
        self.candidates
            .iter()
            .position(|candidate| candidate.id == *id)
    }

    fn address_at(&self, index: usize) -> ReplicaAddress {
        ReplicaAddress {
            id: self.candidates[index].id.clone(),
            born_ms: self.replicas[index].born_ms,
            address: self.replicas[index].address,
        }
    }

    fn remove_at(&mut self, index: usize, now_ms: u64) {
        self.candidates.swap_remove(index);
        let replica = self.replicas.swap_remove(index);
        self.versions.remove(replica.version.as_ref(), now_ms);
    }

    /// Sets a replica's version. Returns false if it has that version already.
    fn set_version(&mut self, index: usize, version: Option<&ReplicaVersion>, now_ms: u64) -> bool {
        let replica = &mut self.replicas[index];
        if replica.version.as_ref() == version {
            return false;
        }
        self.versions.remove(replica.version.as_ref(), now_ms);
        self.versions.add(version);
        replica.version = version.cloned();
        replica.version_since = Instant::now();
        true
    }
}

#[derive(Debug)]
pub(super) struct State {
    pub(super) pools: HashMap<PoolId, Pool>,
    pub(super) rng: SmallRng,
}

/// The replicas of all pools.
#[derive(Debug)]
pub(crate) struct Pools {
    pub(super) failure_domain: FailureDomain,
    pub(super) members: Arc<Members>,
    pub(super) limits: Arc<ReplicaLimits>,
    pub(super) brittleness: Brittleness,
    retry_rule: RetryRule,
    started: Instant,
    pub(super) state: Mutex<State>,
}

impl Pools {
    /// Creates the pools, without replicas.
    pub(crate) fn new(
        failure_domain: FailureDomain,
        members: Arc<Members>,
        limits: Arc<ReplicaLimits>,
        brittleness: Brittleness,
        retry_rule: RetryRule,
        seed: u64,
    ) -> Self {
        Self {
            brittleness,
            failure_domain,
            members,
            limits,
            retry_rule,
            started: Instant::now(),
            state: Mutex::new(State {
                pools: HashMap::new(),
                rng: SmallRng::seed_from_u64(seed),
            }),
        }
    }

    /// Returns the rate limits that replicas stated.
    pub(crate) const fn limits(&self) -> &Arc<ReplicaLimits> {
        &self.limits
    }

    /// Returns which pools have brittle replicas.
    pub(crate) const fn brittleness(&self) -> &Brittleness {
        &self.brittleness
    }

    /// Returns the number of requests that a replica runs at once, if it is known.
    pub(super) fn slots_of(&self, key: ReplicaKey) -> Option<u32> {
        let state = lock(&self.state);
        state.pools.values().find_map(|pool| {
            let mut replicas = pool.candidates.iter().zip(&pool.replicas);
            let found = replicas.find(|(_, replica)| replica.key() == key);
            found.map(|(candidate, _)| candidate.slots)
        })
    }

    /// Returns true once the other routers of the fleet are known.
    pub(crate) fn is_fleet_found(&self) -> bool {
        self.members.is_fleet_found()
    }

    /// Applies the rules of the pools in a catalog.
    pub(crate) fn apply_catalog(&self, catalog: &Catalog) {
        let mut state = lock(&self.state);
        for (id, rules) in catalog.pools() {
            let pool = state.pools.entry(id.clone()).or_default();
            pool.connection_limit = rules.connection_limit;
            pool.engine.clone_from(&rules.engine);
        }
    }

    /// Adds a replica or updates it from its entry. Returns true if the replica is new, has a new
    /// incarnation or version, moved to another pool, or began to leave.
    pub(crate) fn upsert_replica(&self, entry: &ReplicaEntry) -> bool {
        let now_ms = self.now_ms();
        let mut state = lock(&self.state);
        let state = &mut *state;
        let moved = state
            .pools
            .iter_mut()
            .filter(|(id, _)| **id != entry.pool)
            .find_map(|(_, pool)| pool.index_of(&entry.id).map(|index| (pool, index)));
        let mut is_leaving = entry.is_draining;
        let mut has_ended = false;
        if let Some((pool, index)) = moved {
            // A leaving replica never returns to service in the same incarnation.
            let is_same = pool.replicas[index].born_ms == entry.born_ms;
            is_leaving |= is_same && pool.candidates[index].is_leaving;
            has_ended = is_same && pool.replicas[index].has_ended;
            pool.remove_at(index, now_ms);
        }
        let pool = state.pools.entry(entry.pool.clone()).or_default();
        let slots = entry.slots.unwrap_or(DEFAULT_SLOTS);
        if let Some(index) = pool.index_of(&entry.id) {
            let has_new_incarnation = pool.replicas[index].born_ms != entry.born_ms;
            if !has_new_incarnation {
                let candidate = &mut pool.candidates[index];
                let is_changed = entry.is_draining && !candidate.is_leaving;
                candidate.is_leaving |= entry.is_draining;
                candidate.slots = slots;
                let has_new_version = pool.set_version(index, entry.version.as_ref(), now_ms);
                return is_changed || has_new_version;
            }
            // An older copy of the store may bring back the entry of an incarnation that has ended.
            has_ended = entry.born_ms < pool.replicas[index].born_ms;
            pool.remove_at(index, now_ms);
        }
        let mut candidate =
            ReplicaCandidate::new(entry.id.clone(), entry.failure_domain.clone(), slots);
        candidate.is_leaving = is_leaving;
        pool.candidates.push(candidate);
        pool.versions.add(entry.version.as_ref());
        pool.replicas.push(Replica {
            address: entry.address,
            digest: short_digest(entry.id.as_str()),
            born_ms: entry.born_ms,
            version: entry.version.clone(),
            version_since: Instant::now(),
            has_ended,
            has_reported_leaving: false,
            suspect_requests: 0,
        });
        true
    }

    /// Records that an incarnation of a replica has crashed, which ejects it for a time.
    pub(crate) fn mark_crashed(&self, id: &ReplicaId, incarnation: Incarnation) {
        let now_ms = self.now_ms();
        let mut state = lock(&self.state);
        for pool in state.pools.values_mut() {
            if let Some(index) = pool.index_of(id) {
                pool.candidates[index].record_unreachable(now_ms);
                let replica = &mut pool.replicas[index];
                replica.has_ended |= replica.born_ms == incarnation.born_ms;
            }
        }
    }

    /// Returns an incarnation of a replica, unless it is unknown or leaving.
    pub(super) fn find_replica(
        &self,
        id: &ReplicaId,
        born_ms: Option<u64>,
    ) -> Option<ReplicaAddress> {
        let state = lock(&self.state);
        state.pools.values().find_map(|pool| {
            let index = pool.index_of(id)?;
            let replica = pool.address_at(index);
            (replica.born_ms == born_ms && !pool.candidates[index].is_leaving).then_some(replica)
        })
    }

    /// Returns a random sample of the replicas in service, those without failures first.
    pub(super) fn sample_replicas(&self, count: usize) -> Vec<ReplicaAddress> {
        let mut state = lock(&self.state);
        let State { pools, rng } = &mut *state;
        let mut in_service: Vec<(bool, ReplicaAddress)> = Vec::new();
        for pool in pools.values() {
            let candidates = pool.candidates.iter().enumerate();
            let usable = candidates.filter(|(_, candidate)| !candidate.is_leaving);
            in_service.extend(
                usable.map(|(index, candidate)| (candidate.needs_probe(), pool.address_at(index))),
            );
        }
        in_service.shuffle(rng);
        in_service.sort_by_key(|(has_failed, _)| *has_failed);
        let replicas = in_service.into_iter().map(|(_, replica)| replica);
        replicas.take(count).collect()
    }

    /// Ends all ejections, after the path to the replicas has changed.
    pub(super) fn end_ejections(&self) {
        let mut state = lock(&self.state);
        let pools = state.pools.values_mut();
        for candidate in pools.flat_map(|pool| &mut pool.candidates) {
            candidate.record_success();
        }
    }

    /// Returns the current incarnation of a replica, if it is known.
    pub(crate) fn incarnation(&self, id: &ReplicaId) -> Option<Incarnation> {
        let state = lock(&self.state);
        state.pools.values().find_map(|pool| {
            let born_ms = pool.replicas[pool.index_of(id)?].born_ms;
            Some(Incarnation { born_ms })
        })
    }

    /// Returns the current incarnation of a replica if it is leaving.
    pub(crate) fn leaving_incarnation(&self, id: &ReplicaId) -> Option<Incarnation> {
        let state = lock(&self.state);
        state.pools.values().find_map(|pool| {
            let index = pool.index_of(id)?;
            let is_leaving = pool.candidates[index].is_leaving;
            is_leaving.then_some(Incarnation {
                born_ms: pool.replicas[index].born_ms,
            })
        })
    }

    /// Removes a replica. Returns true if it was known.
    pub(crate) fn remove_replica(&self, id: &ReplicaId) -> bool {
        let now_ms = self.now_ms();
        let mut state = lock(&self.state);
        let known = state
            .pools
            .values_mut()
            .find_map(|pool| pool.index_of(id).map(|index| (pool, index)));
        let Some((pool, index)) = known else {
            return false;
        };
        pool.remove_at(index, now_ms);
        true
    }

    /// Counts a request for a pool, which adds to the retry budget.
    pub(crate) fn record_request(&self, pool: &PoolId) {
        let now_ms = self.now_ms();
        self.with_retries(pool, |retries| retries.record_request(now_ms));
    }

    /// Takes one retry from this router's share of a pool's retry budget. Returns false if none is
    /// left.
    pub(crate) fn try_retry(&self, pool: &PoolId) -> bool {
        let now_ms = self.now_ms();
        let routers = self.members.known_count();
        self.with_retries(pool, |retries| retries.try_retry(now_ms, routers))
    }

    /// Returns the maximum number of tokens in one event of a pool's streams.
    pub(crate) fn event_tokens(&self, pool: &PoolId) -> u64 {
        let state = lock(&self.state);
        let pool = state.pools.get(pool);
        let engine = pool.and_then(|pool| pool.engine.as_ref());
        engine.map_or(1, |engine| engine.event_tokens)
    }

    pub(super) fn remove_suspect_request(&self, pool: &PoolId, id: &ReplicaId) {
        let mut state = lock(&self.state);
        if let Some(pool) = state.pools.get_mut(pool) {
            if let Some(index) = pool.index_of(id) {
                let count = &mut pool.replicas[index].suspect_requests;
                *count = count.saturating_sub(1);
            }
        }
    }

    pub(super) fn mark_reported_leaving(&self, pool: &PoolId, id: &ReplicaId) {
        let mut state = lock(&self.state);
        if let Some(pool) = state.pools.get_mut(pool) {
            if let Some(index) = pool.index_of(id) {
                pool.replicas[index].has_reported_leaving = true;
            }
        }
    }

    /// Returns for each pool the numbers of in-service and of all replicas, for the metrics.
    pub(crate) fn counts(&self) -> Vec<(CompactString, usize, usize)> {
        let state = lock(&self.state);
        let pools = state.pools.iter();
        pools
            .map(|(id, pool)| {
                let in_service = pool
                    .candidates
                    .iter()
                    .filter(|candidate| !candidate.is_leaving);
                (
                    id.as_str().into(),
                    in_service.count(),
                    pool.candidates.len(),
                )
            })
            .collect()
    }

    pub(super) fn now_ms(&self) -> u64 {
        millis(self.started.elapsed())
    }

    pub(super) fn with_candidate<F>(&self, pool: &PoolId, id: &ReplicaId, action: F)
    where
        F: FnOnce(&mut ReplicaCandidate, u64),
    {
        let now_ms = self.now_ms();
        let mut state = lock(&self.state);
        if let Some(pool) = state.pools.get_mut(pool) {
            if let Some(index) = pool.index_of(id) {
                action(&mut pool.candidates[index], now_ms);
            }
        }
    }

    fn with_retries<F, T>(&self, pool: &PoolId, action: F) -> T
    where
        F: FnOnce(&mut RetryShare) -> T,
    {
        let rule = self.retry_rule;
        let mut state = lock(&self.state);
        let pool = state.pools.entry(pool.clone()).or_default();
        // Retry slack accrues from the start of the process, not from the first request of a pool.
        action(pool.retries.get_or_insert_with(|| RetryShare::new(rule, 0)))
    }
}
