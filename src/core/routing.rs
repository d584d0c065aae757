//! Routing policies that choose the replica of a pool for a request.

use std::collections::HashMap;
use std::fmt::Debug;

use rand::{Rng, RngExt};
use strum::{Display, EnumIter, EnumString};

use super::ids::{FailureDomain, ReplicaId};

/// Random draws for an eligible replica before all replicas are filtered.
const MAX_RANDOM_DRAWS: usize = 8;
/// Upper bound on replicas recorded for each prefix.
const REPLICAS_PER_PREFIX: usize = 4;
/// Upper bound on recorded prefixes.
const MAX_PREFIXES: usize = 65_536;
/// Consecutive failures after which a replica is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// Duration of the first ejection; doubles with each further failure.
const BASE_EJECTION_MS: u64 = 1_000;
/// Longest duration of an ejection.
const MAX_EJECTION_MS: u64 = 30_000;
/// Cost of a replica in another failure domain, as a fraction of its slots.
const REMOTE_DOMAIN_COST: f64 = 0.02;
/// Load, as a fraction of its slots, below which a replica is chosen for prefix affinity.
const MAX_AFFINITY_LOAD: f64 = 0.6;
/// Number of prompt prefixes, longest first, that are looked up for affinity.
const AFFINITY_PREFIXES: usize = 1;

/// Digest of a prompt prefix. Lists of them start with the longest prefix.
pub type PrefixKey = u64;

/// Index of a replica in its pool.
pub type ReplicaIndex = usize;

/// State of a replica, as known to this router.
#[derive(Clone, Debug)]
pub struct ReplicaState {
    /// Name of the replica.
    pub id: ReplicaId,
    /// Failure domain of the replica.
    pub failure_domain: FailureDomain,
    /// Requests that the replica runs concurrently.
    pub slots: u32,
    /// Requests of this router in progress at the replica.
    pub own_in_flight: u32,
    /// Requests at the replica by its last load report, running and queued.
    pub reported: u32,
    /// Requests of this router at the replica when that report was made, as far as known.
    pub own_at_report: u32,
    /// True if it gets no new requests because its VM is leaving.
    pub is_leaving: bool,
    /// True if it gets no new requests because it refused connections.
    pub is_unreachable: bool,
    /// Consecutive failures.
    pub failures: u32,
    /// End of the ejection, on the router's monotonic clock.
    pub ejected_until_ms: u64,
    /// Suspect requests in progress at the replica.
    pub suspects: u32,
}

impl ReplicaState {
    /// Creates a replica in service without load or failures.
    #[must_use]
    pub const fn new(id: ReplicaId, failure_domain: FailureDomain, slots: u32) -> Self {
        Self {
            id,
            failure_domain,
            slots,
            own_in_flight: 0,
            reported: 0,
            own_at_report: 0,
            is_leaving: false,
            is_unreachable: false,
            failures: 0,
            ejected_until_ms: 0,
            suspects: 0,
        }
    }

    /// Estimates the requests at the replica now: the last load report, with this router's share of
    /// it replaced by its current number of requests there.
    #[must_use]
    pub fn estimated_requests(&self) -> u32 {
        self.reported.saturating_sub(self.own_at_report) + self.own_in_flight
    }

    /// Returns true unless its VM is leaving or it refused connections.
    #[must_use]
    pub const fn is_in_service(&self) -> bool {
        !self.is_leaving && !self.is_unreachable
    }

    fn load(&self) -> f64 {
        f64::from(self.estimated_requests()) / f64::from(self.slots.max(1))
    }

    fn cost(&self, request: &RoutingRequest<'_>) -> f64 {
        let is_same_domain = self.failure_domain == *request.failure_domain;
        self.load()
            + if is_same_domain {
                0.0
            } else {
                REMOTE_DOMAIN_COST
            }
    }

    fn is_eligible(&self, request: &RoutingRequest<'_>) -> bool {
        self.is_in_service()
            && self.ejected_until_ms <= request.now_ms
            && !(request.isolate_suspect && self.suspects > 0)
            && !request.excluded.contains(&self.id)
    }
}

/// Inputs for choosing the replica of a request.
#[derive(Clone, Copy, Debug)]
pub struct RoutingRequest<'a> {
    /// Current time on the router's monotonic clock.
    pub now_ms: u64,
    /// Failure domain of the router.
    pub failure_domain: &'a FailureDomain,
    /// Digests of the prompt's prefixes, longest first.
    pub prefixes: &'a [PrefixKey],
    /// Replicas already tried, which are excluded.
    pub excluded: &'a [ReplicaId],
    /// True for a suspect request, which must not share a replica with other suspects.
    pub isolate_suspect: bool,
}

/// Policy for choosing a replica.
pub trait RoutingPolicy: Debug + Send + Sync {
    /// Returns the index of an eligible replica, or `None` if no replica is eligible.
    fn choose(
        &self,
        pool: &PoolState,
        request: &RoutingRequest<'_>,
        rng: &mut dyn Rng,
    ) -> Option<ReplicaIndex>;

    /// Returns true if choices depend on where prefixes were sent, so that the pool must record it.
    fn uses_prefixes(&self) -> bool {
        false
    }
}

/// Replicas that recently received each prefix. The index is a hint: replicas evict cached
/// prefixes, and their cache events lag.
#[derive(Clone, Debug, Default)]
struct PrefixIndex {
    replicas: HashMap<PrefixKey, Vec<ReplicaIndex>>,
}

impl PrefixIndex {
    fn record(&mut self, prefix: PrefixKey, replica: ReplicaIndex) {
        if self.replicas.len() >= MAX_PREFIXES && !self.replicas.contains_key(&prefix) {
            self.replicas.clear();
        }
        let replicas = self.replicas.entry(prefix).or_default();
        replicas.retain(|known| *known != replica);
        replicas.insert(0, replica);
        replicas.truncate(REPLICAS_PER_PREFIX);
    }

    fn remove(&mut self, prefix: PrefixKey, replica: ReplicaIndex) {
        if let Some(replicas) = self.replicas.get_mut(&prefix) {
            replicas.retain(|known| *known != replica);
        }
    }

    fn replicas_of(&self, prefix: PrefixKey) -> &[ReplicaIndex] {
        self.replicas.get(&prefix).map_or(&[], Vec::as_slice)
    }
}

/// State of the replicas of one pool.
#[derive(Clone, Debug, Default)]
pub struct PoolState {
    replicas: Vec<ReplicaState>,
    by_id: HashMap<ReplicaId, ReplicaIndex>,
    prefixes: PrefixIndex,
}

impl PoolState {
    /// Creates a pool without replicas.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a replica, or updates the slots of a known one, and returns its index.
    pub fn add(&mut self, replica: ReplicaState) -> ReplicaIndex {
        if let Some(index) = self.by_id.get(&replica.id) {
            self.replicas[*index].slots = replica.slots;
            return *index;
        }
        let index = self.replicas.len();
        self.by_id.insert(replica.id.clone(), index);
        self.replicas.push(replica);
        index
    }

    /// Returns all replicas.
    #[must_use]
    pub fn replicas(&self) -> &[ReplicaState] {
        &self.replicas
    }

    /// Returns a replica.
    #[must_use]
    pub fn replica(&self, index: ReplicaIndex) -> &ReplicaState {
        &self.replicas[index]
    }

    /// Returns a replica for modification.
    pub fn replica_mut(&mut self, index: ReplicaIndex) -> &mut ReplicaState {
        &mut self.replicas[index]
    }

    /// Returns the index of a replica by its name.
    #[must_use]
    pub fn index_of(&self, id: &ReplicaId) -> Option<ReplicaIndex> {
        self.by_id.get(id).copied()
    }

    /// Records that a request with these prefixes is sent to a replica.
    pub fn begin_request(&mut self, index: ReplicaIndex, prefixes: &[PrefixKey], is_suspect: bool) {
        let replica = &mut self.replicas[index];
        replica.own_in_flight += 1;
        replica.suspects += u32::from(is_suspect);
        for prefix in prefixes {
            self.prefixes.record(*prefix, index);
        }
    }

    /// Records that a request at a replica has ended.
    pub fn end_request(&mut self, index: ReplicaIndex, is_suspect: bool) {
        let replica = &mut self.replicas[index];
        replica.own_in_flight = replica.own_in_flight.saturating_sub(1);
        replica.suspects = replica.suspects.saturating_sub(u32::from(is_suspect));
    }

    /// Records a load report, and how many requests this router had there when it was made.
    pub fn record_load(&mut self, index: ReplicaIndex, requests: u32, own_requests: u32) {
        let replica = &mut self.replicas[index];
        replica.reported = requests;
        replica.own_at_report = own_requests.min(requests);
    }

    /// Records that a replica evicted a prefix from its cache.
    pub fn record_eviction(&mut self, index: ReplicaIndex, prefix: PrefixKey) {
        self.prefixes.remove(prefix, index);
    }

    /// Records that a replica answered, and ends its ejection.
    pub fn record_success(&mut self, index: ReplicaIndex) {
        let replica = &mut self.replicas[index];
        replica.failures = 0;
        replica.ejected_until_ms = 0;
    }

    /// Records a failure of a replica; several consecutive ones eject it for a time.
    pub fn record_failure(&mut self, index: ReplicaIndex, now_ms: u64) {
        let replica = &mut self.replicas[index];
        replica.failures = replica.failures.saturating_add(1);
        if replica.failures >= FAILURES_TO_EJECT {
            self.eject(index, now_ms);
        }
    }

    /// Ejects a replica for a time that grows with its consecutive failures.
    pub fn eject(&mut self, index: ReplicaIndex, now_ms: u64) {
        let replica = &mut self.replicas[index];
        replica.failures = replica.failures.max(FAILURES_TO_EJECT);
        let doublings = (replica.failures - FAILURES_TO_EJECT).min(5);
        let ejection_ms = (BASE_EJECTION_MS << doublings).min(MAX_EJECTION_MS);
        replica.ejected_until_ms = now_ms + ejection_ms;
    }

    /// Returns how many requests this router may have in progress: the slots of the replicas in
    /// service minus the requests reported for other routers.
    #[must_use]
    pub fn concurrency_limit(&self) -> u64 {
        let in_service = self
            .replicas
            .iter()
            .filter(|replica| replica.is_in_service());
        let available_slots = in_service.map(|replica| {
            let others = replica.reported.saturating_sub(replica.own_at_report);
            u64::from(replica.slots.saturating_sub(others))
        });
        available_slots.sum()
    }

    fn eligible<'a>(
        &'a self,
        request: &'a RoutingRequest<'_>,
    ) -> impl Iterator<Item = ReplicaIndex> + 'a {
        let indexed = self.replicas.iter().enumerate();
        indexed
            .filter(|(_, replica)| replica.is_eligible(request))
            .map(|(index, _)| index)
    }

    fn random_eligible(
        &self,
        request: &RoutingRequest<'_>,
        rng: &mut dyn Rng,
    ) -> Option<ReplicaIndex> {
        for _ in 0..MAX_RANDOM_DRAWS {
            let index = rng.random_range(0..self.replicas.len().max(1));
            if self.replicas.get(index)?.is_eligible(request) {
                return Some(index);
            }
        }
        let eligible: Vec<ReplicaIndex> = self.eligible(request).collect();
        let position = rng.random_range(0..eligible.len().max(1));
        eligible.get(position).copied()
    }

    fn cheapest<F, I>(&self, candidates: I, cost: F) -> Option<ReplicaIndex>
    where
        F: Fn(&ReplicaState) -> f64,
        I: Iterator<Item = ReplicaIndex>,
    {
        candidates.min_by(|a, b| cost(&self.replicas[*a]).total_cmp(&cost(&self.replicas[*b])))
    }
}

/// Names of the routing policies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum RoutingPolicyName {
    /// A random eligible replica.
    Random,
    /// The eligible replicas in turn.
    RoundRobin,
    /// The eligible replica with the lowest load by the last reports.
    LeastReported,
    /// The less loaded of two random eligible replicas, by this router's requests in progress.
    TwoChoices,
    /// Prefix affinity with bounded load, with round robin as the fallback.
    Affinity,
}

impl RoutingPolicyName {
    /// Creates the policy.
    #[must_use]
    pub fn build(self) -> Box<dyn RoutingPolicy> {
        match self {
            Self::Random => Box::new(RandomPolicy),
            Self::RoundRobin => Box::new(RoundRobinPolicy::default()),
            Self::LeastReported => Box::new(LeastReportedPolicy),
            Self::TwoChoices => Box::new(TwoChoicesPolicy),
            Self::Affinity => Box::new(AffinityPolicy::default()),
        }
    }
}

/// Chooses a random eligible replica.
#[derive(Clone, Copy, Debug)]
pub struct RandomPolicy;

impl RoutingPolicy for RandomPolicy {
    fn choose(
        &self,
        pool: &PoolState,
        request: &RoutingRequest<'_>,
        rng: &mut dyn Rng,
    ) -> Option<ReplicaIndex> {
        pool.random_eligible(request, rng)
    }
}

/// Chooses the eligible replicas in turn.
#[derive(Debug, Default)]
pub struct RoundRobinPolicy {
    next: std::sync::atomic::AtomicUsize,
}

impl RoutingPolicy for RoundRobinPolicy {
    fn choose(
        &self,
        pool: &PoolState,
        request: &RoutingRequest<'_>,
        _: &mut dyn Rng,
    ) -> Option<ReplicaIndex> {
        let count = pool.replicas.len();
        let start = self.next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let indices = (0..count).map(|step| (start + step) % count);
        indices
            .into_iter()
            .find(|index| pool.replicas[*index].is_eligible(request))
    }
}

/// Chooses the eligible replica with the lowest reported load.
#[derive(Clone, Copy, Debug)]
pub struct LeastReportedPolicy;

impl RoutingPolicy for LeastReportedPolicy {
    fn choose(
        &self,
        pool: &PoolState,
        request: &RoutingRequest<'_>,
        _: &mut dyn Rng,
    ) -> Option<ReplicaIndex> {
        let cost = |replica: &ReplicaState| f64::from(replica.reported) / f64::from(replica.slots);
        pool.cheapest(pool.eligible(request), cost)
    }
}

/// Chooses the less loaded of two random eligible replicas, by this router's requests in progress.
#[derive(Clone, Copy, Debug)]
pub struct TwoChoicesPolicy;

impl RoutingPolicy for TwoChoicesPolicy {
    fn choose(
        &self,
        pool: &PoolState,
        request: &RoutingRequest<'_>,
        rng: &mut dyn Rng,
    ) -> Option<ReplicaIndex> {
        let first = pool.random_eligible(request, rng)?;
        let second = pool.random_eligible(request, rng)?;
        let cost = |replica: &ReplicaState| f64::from(replica.own_in_flight);
        pool.cheapest([first, second].into_iter(), cost)
    }
}

/// Chooses a replica that received the prompt's prefix while its load is low, else the next replica
/// in turn.
///
/// The fallback is round robin because choosing the lowest reported load sends the requests of all
/// routers to the same replicas until the next report.
#[derive(Debug, Default)]
pub struct AffinityPolicy {
    round_robin: RoundRobinPolicy,
}

impl AffinityPolicy {
    /// Returns the cheapest replica below the load bound that received the longest prefix for which
    /// there is one.
    fn replica_by_affinity(pool: &PoolState, request: &RoutingRequest<'_>) -> Option<ReplicaIndex> {
        let low_load = |index: &ReplicaIndex| {
            let replica = &pool.replicas[*index];
            replica.is_eligible(request) && replica.load() < MAX_AFFINITY_LOAD
        };
        request
            .prefixes
            .iter()
            .take(AFFINITY_PREFIXES)
            .find_map(|prefix| {
                let replicas = pool.prefixes.replicas_of(*prefix).iter().copied();
                pool.cheapest(replicas.filter(low_load), |replica| replica.cost(request))
            })
    }
}

impl RoutingPolicy for AffinityPolicy {
    fn choose(
        &self,
        pool: &PoolState,
        request: &RoutingRequest<'_>,
        rng: &mut dyn Rng,
    ) -> Option<ReplicaIndex> {
        Self::replica_by_affinity(pool, request)
            .or_else(|| self.round_robin.choose(pool, request, rng))
    }

    fn uses_prefixes(&self) -> bool {
        true
    }
}
