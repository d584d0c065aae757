//! The choice of a replica for one try of a request.

use std::borrow::Cow;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use tokio::time::Instant;

use super::chosen_replica::ChosenReplica;
use super::limits::ReplicaKey;
use super::pools::{Pool, Pools};
use super::request::{ConnectionShare, ReplicaAddress, ResumePoint};
use crate::core::ids::{PoolId, ReplicaId};
use crate::core::placement::{
    choose_replica, Admission, PlacementOutcome, PlacementRequest, PromptInfo, ReplicaCandidate,
};
use crate::util::lock;

/// Minimum connection limit per router and replica, however large the fleet.
const MIN_CONNECTIONS: u32 = 4;
/// Admission at a rate-limited replica for requests that may not request a permit.
const UNREQUESTED: Admission = Admission::Denied {
    left_ms: 1,
    retry_after_ms: 500,
};
/// Number of replicas sampled at random for a suspect request. Without sampling, requests that were
/// on the same server when it crashed would meet again on the next one, by load and shared prompts.
const SUSPECT_SAMPLE_SIZE: usize = 2;

/// Result of a search for a replica.
#[derive(Debug)]
pub(crate) enum SearchResult {
    /// A replica was chosen.
    Found(Box<ChosenReplica>),
    /// All replicas are full.
    Full,
    /// The best replica has a rate limit or is brittle, so the request needs a permit or a place first.
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
    /// All replicas in service are ejected: they failed or could not be reached.
    Unreachable,
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
    /// Where the stream goes on, if the request resumes one; only replicas with the version that
    /// began it are chosen.
    pub resume: Option<&'a ResumePoint>,
    /// False if rate-limited replicas count as denied, unless the request has a permit.
    pub may_request_permit: bool,
}

impl Pools {
    /// Chooses a replica and adds the request to its load.
    pub(crate) fn choose(self: &Arc<Self>, query: &ReplicaQuery<'_>) -> SearchResult {
        let now_ms = self.now_ms();
        let routers = u32::try_from(self.members.known_count()).unwrap_or(u32::MAX);
        let mut state = lock(&self.state);
        let state = &mut *state;
        let Some(pool) = state.pools.get_mut(query.pool) else {
            return SearchResult::NoReplica;
        };
        self.update_candidates(pool, query);
        let excluded = excluded_replicas(pool, query);
        let placement_request = PlacementRequest {
            now_ms,
            failure_domain: &self.failure_domain,
            excluded: &excluded,
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
        let choice = match choice {
            PlacementOutcome::NoReplica | PlacementOutcome::Unreachable
                if query.resume.is_some() =>
            {
                choose_ejected(pool, &placement_request, &mut state.rng)
            }
            choice => choice,
        };
        match choice {
            PlacementOutcome::Replica {
                index,
                prefill_tokens,
                probe,
            } => {
                let candidate = &mut pool.candidates[index];
                if candidate.admission != Admission::Open {
                    if let Some(probe) = probe {
                        candidate.conclude_probe(probe);
                    }
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
                let in_use = candidate.slots.saturating_add(candidate.slots / 2);
                SearchResult::Found(Box::new(ChosenReplica {
                    pools: Arc::clone(self),
                    pool: query.pool.clone(),
                    replica: ReplicaAddress {
                        id: candidate.id.clone(),
                        born_ms: pool.replicas[index].born_ms,
                        address: pool.replicas[index].address,
                    },
                    connections: ConnectionShare {
                        max_open: share.saturating_add(in_use) as usize,
                        max_idle: share as usize,
                    },
                    key: pool.replicas[index].key(),
                    version: pool.replicas[index].version.clone(),
                    version_since: pool.replicas[index].version_since,
                    chosen_at: Instant::now(),
                    prefill_tokens,
                    is_suspect: query.is_suspect,
                    probe,
                    place: None,
                }))
            }
            PlacementOutcome::Full => SearchResult::Full,
            PlacementOutcome::BackingOff { left_ms } => {
                SearchResult::BackingOff(Duration::from_millis(left_ms))
            }
            PlacementOutcome::RateLimited { retry_after_ms } => {
                SearchResult::RateLimited(Duration::from_millis(retry_after_ms))
            }
            PlacementOutcome::Unreachable => SearchResult::Unreachable,
            PlacementOutcome::NoReplica => SearchResult::NoReplica,
        }
    }
}

impl Pools {
    /// Updates what other routers and the limits of the replicas mean for this choice.
    fn update_candidates(&self, pool: &mut Pool, query: &ReplicaQuery<'_>) {
        let admissions = self.limits.admissions(query.permit_rank);
        let is_brittle = self.brittleness.is_brittle(query.pool);
        for (candidate, replica) in pool.candidates.iter_mut().zip(&pool.replicas) {
            candidate.peer_load = self.members.others_load(replica.digest);
            let admission = admissions.get(&replica.key()).copied();
            let admission = match admission.unwrap_or_default() {
                Admission::Open if is_brittle => self.brittleness.admission(replica.key()),
                admission => admission,
            };
            candidate.admission = match admission {
                _ if query.permitted == Some(replica.key()) => Admission::Open,
                Admission::NeedsPermit if !query.may_request_permit => UNREQUESTED,
                admission => admission,
            };
        }
    }
}

/// Returns the replicas that were tried and those at which the stream must not go on.
fn excluded_replicas<'a>(pool: &Pool, query: &ReplicaQuery<'a>) -> Cow<'a, [ReplicaId]> {
    let Some(resume) = query.resume else {
        return Cow::Borrowed(query.excluded);
    };
    let mut excluded = pool.other_versions(&resume.origin);
    excluded.extend_from_slice(query.excluded);
    Cow::Owned(excluded)
}

/// Chooses a replica for a stream to resume when all replicas of its version are ejected: it cannot
/// go on at any other.
fn choose_ejected(
    pool: &Pool,
    request: &PlacementRequest<'_>,
    rng: &mut SmallRng,
) -> PlacementOutcome {
    let mut candidates: Vec<ReplicaCandidate> = pool
        .candidates
        .iter()
        .map(ReplicaCandidate::without_ejection)
        .collect();
    choose_replica(&mut candidates, request, &pool.mix, rng)
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
