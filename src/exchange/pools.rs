//! The replicas of all pools, the load that this router puts on them, and the choice of a replica.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use compact_str::CompactString;
use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::SeedableRng;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::catalog::{Catalog, EngineRules};
use super::limits::{LimitReport, ReplicaKey, ReplicaLimits};
use super::members::{Members, ReplicaLoadReport};
use super::request::{ReplicaAddress, ReplicaStatus};
use crate::core::ids::{FailureDomain, PoolId, ReplicaId};
use crate::core::placement::{
    choose_replica, Admission, PlacementOutcome, PlacementRequest, PromptInfo, PromptMix,
    ReplicaCandidate,
};
use crate::core::retry_share::{RetryRule, RetryShare};
use crate::util::{lock, millis, short_digest};

/// Minimum connection limit per router and replica, however large the fleet.
const MIN_CONNECTIONS: u32 = 4;
/// Admission at a rate-limited replica for requests that may not request a permit.
const UNREQUESTED: Admission = Admission::Denied {
    left_ms: 1,
    retry_after_ms: 500,
};
/// Slots assumed for a replica whose entry does not state a number.
const DEFAULT_SLOTS: u32 = 1;
/// Number of replicas sampled at random for a suspect request. Without sampling, requests that were
/// on the same server when it crashed would meet again on the next one, by load and shared prompts.
const SUSPECT_SAMPLE_SIZE: usize = 2;

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
}

/// One incarnation of a replica: the time from a start of its process to the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Incarnation {
    /// Start time, if the entry states one, in milliseconds since the Unix epoch.
    pub born_ms: Option<u64>,
}

#[derive(Debug)]
struct Replica {
    address: SocketAddr,
    digest: u32,
    born_ms: Option<u64>,
    /// True if it reported to this router, in an answer, that it is leaving.
    has_reported_leaving: bool,
    /// Suspect requests of this router in progress there.
    suspect_requests: u32,
}

impl Replica {
    const fn key(&self) -> ReplicaKey {
        ReplicaKey {
            replica: self.digest,
            born_ms: self.born_ms,
        }
    }
}

#[derive(Debug, Default)]
struct Pool {
    candidates: Vec<ReplicaCandidate>,
    replicas: Vec<Replica>,
    connection_limit: u32,
    engine: Option<EngineRules>,
    retries: Option<RetryShare>,
    mix: PromptMix,
}

impl Pool {
    fn index_of(&self, id: &ReplicaId) -> Option<usize> {
        self.candidates
            .iter()
            .position(|candidate| candidate.id == *id)
    }

    fn remove_at(&mut self, index: usize) {
        self.candidates.swap_remove(index);
        self.replicas.swap_remove(index);
    }
}

#[derive(Debug)]
struct State {
    pools: HashMap<PoolId, Pool>,
    rng: SmallRng,
}

/// A replica chosen for one try. Dropping it removes the request from the replica's load.
#[derive(Debug)]
pub(crate) struct ChosenReplica {
    pools: Arc<Pools>,
    pool: PoolId,
    /// The replica.
    pub replica: ReplicaAddress,
    /// Its incarnation.
    pub key: ReplicaKey,
    /// Time of the choice.
    pub chosen_at: Instant,
    prefill_tokens: u64,
    is_suspect: bool,
}

impl ChosenReplica {
    /// Records the first token: the prompt has been read and no longer counts as load.
    pub(crate) fn record_first_token(&mut self) {
        let prefill_tokens = std::mem::take(&mut self.prefill_tokens);
        self.pools
            .with_candidate(&self.pool, &self.replica.id, |candidate, _| {
                candidate.own_load.finish_prefill(prefill_tokens);
            });
    }

    /// Records a successful answer.
    pub(crate) fn record_success(&self) {
        self.pools
            .with_candidate(&self.pool, &self.replica.id, |candidate, _| {
                candidate.record_success();
            });
    }

    /// Records a failure of the replica.
    pub(crate) fn record_failure(&self) {
        self.pools.with_candidate(
            &self.pool,
            &self.replica.id,
            ReplicaCandidate::record_failure,
        );
    }

    /// Applies the status that the replica reported and returns what is new in it.
    pub(crate) fn apply_status(&self, replica_status: &ReplicaStatus) -> StatusChange {
        let mut change = StatusChange::default();
        self.pools
            .with_candidate(&self.pool, &self.replica.id, |candidate, now_ms| {
                change.is_leaving = replica_status.is_leaving && !candidate.is_leaving;
                candidate.is_leaving |= replica_status.is_leaving;
                if let Some(backoff) = replica_status.backoff {
                    change.is_new_backoff = candidate.backoff_left_ms(now_ms) == 0;
                    candidate.record_backoff(now_ms, millis(backoff));
                }
            });
        if change.is_leaving {
            self.pools
                .mark_reported_leaving(&self.pool, &self.replica.id);
        }
        change
    }

    /// Records that the replica accepts no connections.
    pub(crate) fn record_unreachable(&self) {
        self.pools.with_candidate(
            &self.pool,
            &self.replica.id,
            ReplicaCandidate::record_unreachable,
        );
    }
}

impl Drop for ChosenReplica {
    fn drop(&mut self) {
        let prefill_tokens = self.prefill_tokens;
        self.pools
            .with_candidate(&self.pool, &self.replica.id, |candidate, _| {
                candidate.own_load.finish_prefill(prefill_tokens);
                candidate.own_load.remove();
            });
        if self.is_suspect {
            self.pools
                .remove_suspect_request(&self.pool, &self.replica.id);
        }
    }
}

/// What a replica's status changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct StatusChange {
    /// True if the replica was not known to be leaving.
    pub is_leaving: bool,
    /// True if a back-off began.
    pub is_new_backoff: bool,
}

/// A replica's status as reported to other routers in a hello.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ReplicaStatusReport {
    /// Short digest of the replica's id.
    pub replica: u32,
    /// Start of its incarnation.
    pub born_ms: Option<u64>,
    /// True if the replica is leaving.
    pub is_leaving: bool,
    /// Rest of the back-off that it requested from the reporting router, in milliseconds.
    pub backoff_ms: u32,
}

/// Result of a search for a replica.
#[derive(Debug)]
pub(crate) enum SearchResult {
    /// A replica was chosen.
    Found(ChosenReplica),
    /// All replicas are full.
    Full,
    /// The best replica has a rate limit, so the request needs a permit first.
    NeedsPermit {
        /// Id of the replica.
        id: ReplicaId,
        /// Its incarnation.
        key: ReplicaKey,
    },
    /// All replicas are in a back-off; the first of these ends after this time.
    BackingOff(Duration),
    /// All replicas are in a back-off or at their rate limit; a refused caller may repeat its
    /// request after this time.
    RateLimited(Duration),
    /// No replica is in service.
    NoReplica,
}

/// Requirements of a request for the choice of a replica.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplicaQuery<'a> {
    /// Pool of the request.
    pub pool: &'a PoolId,
    /// Replicas that were already tried.
    pub excluded: &'a [ReplicaId],
    /// Priority rank; 0 is the highest.
    pub rank: u32,
    /// Prompt, if the request has one.
    pub prompt: Option<PromptInfo>,
    /// True if servers crashed while running the request, so that it must not share a replica with
    /// other suspects.
    pub is_suspect: bool,
    /// Rank by which permits for rate-limited replicas are issued; 0 is the most urgent one.
    pub permit_rank: u8,
    /// Replica for which the request has a permit.
    pub permitted: Option<ReplicaKey>,
    /// False if rate-limited replicas count as denied, unless the request has a permit.
    pub may_request_permit: bool,
}

/// The replicas of all pools.
#[derive(Debug)]
pub(crate) struct Pools {
    failure_domain: FailureDomain,
    members: Arc<Members>,
    limits: Arc<ReplicaLimits>,
    retry_rule: RetryRule,
    started: Instant,
    state: Mutex<State>,
}

impl Pools {
    /// Creates the pools, without replicas.
    pub(crate) fn new(
        failure_domain: FailureDomain,
        members: Arc<Members>,
        limits: Arc<ReplicaLimits>,
        retry_rule: RetryRule,
        seed: u64,
    ) -> Self {
        Self {
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
    /// incarnation, moved to another pool, or began to leave.
    pub(crate) fn upsert_replica(&self, entry: &ReplicaEntry) -> bool {
        let mut state = lock(&self.state);
        let state = &mut *state;
        let moved = state
            .pools
            .iter_mut()
            .filter(|(id, _)| **id != entry.pool)
            .find_map(|(_, pool)| pool.index_of(&entry.id).map(|index| (pool, index)));
        let mut is_leaving = entry.is_draining;
        if let Some((pool, index)) = moved {
            // A leaving replica never returns to service in the same incarnation.
            let is_same = pool.replicas[index].born_ms == entry.born_ms;
            is_leaving |= is_same && pool.candidates[index].is_leaving;
            pool.remove_at(index);
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
                return is_changed;
            }
            pool.remove_at(index);
        }
        let mut candidate =
            ReplicaCandidate::new(entry.id.clone(), entry.failure_domain.clone(), slots);
        candidate.is_leaving = is_leaving;
        pool.candidates.push(candidate);
        pool.replicas.push(Replica {
            address: entry.address,
            digest: short_digest(entry.id.as_str()),
            born_ms: entry.born_ms,
            has_reported_leaving: false,
            suspect_requests: 0,
        });
        true
    }

    /// Records that a replica has crashed, which ejects it for a time.
    pub(crate) fn mark_crashed(&self, id: &ReplicaId) {
        let now_ms = self.now_ms();
        let mut state = lock(&self.state);
        for pool in state.pools.values_mut() {
            if let Some(index) = pool.index_of(id) {
                pool.candidates[index].record_unreachable(now_ms);
            }
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
        let mut state = lock(&self.state);
        let known = state
            .pools
            .values_mut()
            .find_map(|pool| pool.index_of(id).map(|index| (pool, index)));
        let Some((pool, index)) = known else {
            return false;
        };
        pool.remove_at(index);
        true
    }

    /// Chooses a replica and adds the request to its load.
    pub(crate) fn choose(self: &Arc<Self>, query: &ReplicaQuery<'_>) -> SearchResult {
        let now_ms = self.now_ms();
        let routers = u32::try_from(self.members.known_count()).unwrap_or(u32::MAX);
        let mut state = lock(&self.state);
        let state = &mut *state;
        let Some(pool) = state.pools.get_mut(query.pool) else {
            return SearchResult::NoReplica;
        };
        let admissions = self.limits.admissions(query.permit_rank);
        for (candidate, replica) in pool.candidates.iter_mut().zip(&pool.replicas) {
            candidate.peer_load = self.members.others_load(replica.digest);
            let admission = admissions.get(&replica.key()).copied();
            candidate.admission = match admission.unwrap_or_default() {
                _ if query.permitted == Some(replica.key()) => Admission::Open,
                Admission::NeedsPermit if !query.may_request_permit => UNREQUESTED,
                admission => admission,
            };
        }
        let placement_request = PlacementRequest {
            now_ms,
            failure_domain: &self.failure_domain,
            excluded: query.excluded,
            rank: query.rank,
            prompt: query.prompt.filter(|_| pool.engine.is_some()),
        };
        let permitted = query
            .permitted
            .and_then(|key| choose_permitted(pool, &placement_request, key, &mut state.rng));
        let choice = if let Some(permitted) = permitted {
            permitted
        } else if query.is_suspect {
            choose_isolated(pool, &placement_request, &mut state.rng)
        } else {
            choose_replica(
                &mut pool.candidates,
                &placement_request,
                &pool.mix,
                &mut state.rng,
            )
        };
        match choice {
            PlacementOutcome::Replica {
                index,
                prefill_tokens,
            } => {
                let candidate = &mut pool.candidates[index];
                if candidate.admission != Admission::Open {
                    candidate.cancel_probe();
                    return SearchResult::NeedsPermit {
                        id: candidate.id.clone(),
                        key: pool.replicas[index].key(),
                    };
                }
                pool.replicas[index].suspect_requests += u32::from(query.is_suspect);
                let candidate = &mut pool.candidates[index];
                candidate.own_load.add(prefill_tokens);
                if placement_request.prompt.is_some() {
                    pool.mix.record(prefill_tokens);
                }
                // Idle connections are divided evenly among routers; those in use are bounded by
                // the slots.
                let share = (pool.connection_limit / routers).max(MIN_CONNECTIONS);
                let in_use = candidate.slots + candidate.slots / 2;
                SearchResult::Found(ChosenReplica {
                    pools: Arc::clone(self),
                    pool: query.pool.clone(),
                    replica: ReplicaAddress {
                        id: candidate.id.clone(),
                        address: pool.replicas[index].address,
                        connection_limit: (share + in_use) as usize,
                        max_idle: share as usize,
                    },
                    key: pool.replicas[index].key(),
                    chosen_at: Instant::now(),
                    prefill_tokens,
                    is_suspect: query.is_suspect,
                })
            }
            PlacementOutcome::Full => SearchResult::Full,
            PlacementOutcome::BackingOff { left_ms } => {
                SearchResult::BackingOff(Duration::from_millis(left_ms))
            }
            PlacementOutcome::RateLimited { retry_after_ms } => {
                SearchResult::RateLimited(Duration::from_millis(retry_after_ms))
            }
            PlacementOutcome::NoReplica => SearchResult::NoReplica,
        }
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

    /// Returns the load that this router puts on replicas, for hellos.
    pub(crate) fn load_reports(&self) -> Vec<ReplicaLoadReport> {
        let state = lock(&self.state);
        let mut loads = Vec::new();
        for pool in state.pools.values() {
            for (candidate, replica) in pool.candidates.iter().zip(&pool.replicas) {
                if candidate.own_load.requests > 0 {
                    loads.push(ReplicaLoadReport::new(replica.digest, candidate.own_load));
                }
            }
        }
        loads
    }

    /// Returns the status that replicas reported to this router, for hellos.
    pub(crate) fn status_reports(&self) -> Vec<ReplicaStatusReport> {
        let now_ms = self.now_ms();
        let state = lock(&self.state);
        let mut status_reports = Vec::new();
        for pool in state.pools.values() {
            for (candidate, replica) in pool.candidates.iter().zip(&pool.replicas) {
                let backoff_ms = candidate.backoff_left_ms(now_ms);
                if replica.has_reported_leaving || backoff_ms > 0 {
                    status_reports.push(ReplicaStatusReport {
                        replica: replica.digest,
                        born_ms: replica.born_ms,
                        is_leaving: replica.has_reported_leaving,
                        backoff_ms: u32::try_from(backoff_ms).unwrap_or(u32::MAX),
                    });
                }
            }
        }
        status_reports
    }

    /// Applies the status that replicas reported to another router. Returns those that were not
    /// known to be leaving.
    pub(crate) fn apply_status_reports(
        &self,
        status_reports: &[ReplicaStatusReport],
    ) -> Vec<ReplicaId> {
        let mut leaving = Vec::new();
        if status_reports.is_empty() {
            return leaving;
        }
        let now_ms = self.now_ms();
        let mut state = lock(&self.state);
        for pool in state.pools.values_mut() {
            for (candidate, replica) in pool.candidates.iter_mut().zip(&pool.replicas) {
                let concerns_replica = |replica_status: &&ReplicaStatusReport| {
                    (replica_status.replica, replica_status.born_ms)
                        == (replica.digest, replica.born_ms)
                };
                let Some(replica_status) = status_reports.iter().find(concerns_replica) else {
                    continue;
                };
                if replica_status.backoff_ms > 0 {
                    candidate.record_backoff_hint(now_ms, u64::from(replica_status.backoff_ms));
                }
                if replica_status.is_leaving && !candidate.is_leaving {
                    candidate.is_leaving = true;
                    leaving.push(candidate.id.clone());
                }
            }
        }
        leaving
    }

    /// Applies what another router knows of replicas' rate limits.
    pub(crate) fn apply_limit_reports(&self, router: SocketAddr, reports: &[LimitReport]) {
        for report in reports {
            // Only listed replicas can be chosen.
            if let Some(id) = self.id_of(report.key) {
                self.limits.apply_report(router, id.as_str(), report);
            }
        }
    }

    fn id_of(&self, key: ReplicaKey) -> Option<ReplicaId> {
        let state = lock(&self.state);
        state.pools.values().find_map(|pool| {
            let index = pool
                .replicas
                .iter()
                .position(|replica| replica.key() == key)?;
            Some(pool.candidates[index].id.clone())
        })
    }

    fn remove_suspect_request(&self, pool: &PoolId, id: &ReplicaId) {
        let mut state = lock(&self.state);
        if let Some(pool) = state.pools.get_mut(pool) {
            if let Some(index) = pool.index_of(id) {
                let count = &mut pool.replicas[index].suspect_requests;
                *count = count.saturating_sub(1);
            }
        }
    }

    fn mark_reported_leaving(&self, pool: &PoolId, id: &ReplicaId) {
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

    fn now_ms(&self) -> u64 {
        millis(self.started.elapsed())
    }

    fn with_candidate<F>(&self, pool: &PoolId, id: &ReplicaId, action: F)
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

/// Chooses the replica that the request has a permit for, if it is still usable.
fn choose_permitted(
    pool: &mut Pool,
    request: &PlacementRequest<'_>,
    key: ReplicaKey,
    rng: &mut SmallRng,
) -> Option<PlacementOutcome> {
    let candidates = pool.candidates.iter().zip(&pool.replicas);
    let others = candidates.filter(|(candidate, replica)| {
        replica.key() != key || request.excluded.contains(&candidate.id)
    });
    let excluded: Vec<ReplicaId> = others.map(|(candidate, _)| candidate.id.clone()).collect();
    let permitted_request = PlacementRequest {
        excluded: &excluded,
        ..*request
    };
    let choice = choose_replica(&mut pool.candidates, &permitted_request, &pool.mix, rng);
    matches!(choice, PlacementOutcome::Replica { .. }).then_some(choice)
}

/// Chooses among a few random replicas without another suspect request, or among all replicas if
/// none of these is usable.
fn choose_isolated(
    pool: &mut Pool,
    request: &PlacementRequest<'_>,
    rng: &mut SmallRng,
) -> PlacementOutcome {
    let candidates = pool.candidates.iter().zip(&pool.replicas);
    let candidates = candidates.filter(|(candidate, replica)| {
        replica.suspect_requests == 0
            && !candidate.is_leaving
            && !request.excluded.contains(&candidate.id)
    });
    let sampled = candidates.map(|(candidate, _)| candidate.id.clone());
    let sampled = sampled.sample(rng, SUSPECT_SAMPLE_SIZE);
    let all = pool.candidates.iter().map(|candidate| candidate.id.clone());
    let excluded: Vec<ReplicaId> = all.filter(|id| !sampled.contains(id)).collect();
    let isolated_request = PlacementRequest {
        excluded: &excluded,
        ..*request
    };
    let choice = choose_replica(&mut pool.candidates, &isolated_request, &pool.mix, rng);
    if matches!(choice, PlacementOutcome::Replica { .. }) {
        return choice;
    }
    choose_replica(&mut pool.candidates, request, &pool.mix, rng)
}
