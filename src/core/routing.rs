//! Which replica of a pool gets a request.

use std::collections::HashMap;
use std::fmt::Debug;

use rand::{Rng, RngExt};
use strum::{Display, EnumIter, EnumString};

use super::ids::{FailureDomain, ReplicaId};

/// Random replicas looked at before the eligible ones are listed.
const SAMPLE_REPLICAS: usize = 8;
/// Replicas remembered for each prefix.
const REPLICAS_PER_PREFIX: usize = 4;
/// Prefixes remembered.
const MAX_PREFIXES: usize = 65_536;
/// Failures in a row after which a replica is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// First time of ejection; doubles with each one.
const EJECT_MS: u64 = 1_000;
/// Longest time of ejection.
const MAX_EJECT_MS: u64 = 30_000;
/// Load, in shares of a replica's slots, that another failure domain costs.
const DOMAIN_COST: f64 = 0.02;
/// A replica that holds the prefix is chosen only below this load.
const HOLDER_LOAD_BOUND: f64 = 0.6;
/// Starts of the prompt for which holders are sought, the longest first.
const AFFINE_PREFIXES: usize = 1;

/// Digest of the start of a prompt, longest start first in lists.
pub type PrefixKey = u64;

/// Place of a replica in its pool.
pub type ReplicaIndex = usize;

/// One replica as this router sees it.
#[derive(Clone, Debug)]
pub struct ReplicaState {
    /// Its name.
    pub id: ReplicaId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Requests that it works on at a time.
    pub slots: u32,
    /// Requests of this router in progress there.
    pub own_in_flight: u32,
    /// Requests there by its last report, running and queued.
    pub reported: u32,
    /// Requests of this router there when that report was made, as far as known.
    pub own_at_report: u32,
    /// Gets no new work: its VM leaves.
    pub leaving: bool,
    /// Gets no new work: it refused connections.
    pub gone: bool,
    /// Failures in a row.
    pub failures: u32,
    /// Ejected until then, on the router's monotonic clock.
    pub ejected_until_ms: u64,
    /// Requests under suspicion in progress there.
    pub suspects: u32,
}

impl ReplicaState {
    /// A replica of which nothing is known yet.
    #[must_use]
    pub const fn new(id: ReplicaId, failure_domain: FailureDomain, slots: u32) -> Self {
        Self {
            id,
            failure_domain,
            slots,
            own_in_flight: 0,
            reported: 0,
            own_at_report: 0,
            leaving: false,
            gone: false,
            failures: 0,
            ejected_until_ms: 0,
            suspects: 0,
        }
    }

    /// Requests there now: the report, with this router's own part replaced by what it knows.
    #[must_use]
    pub fn estimated_requests(&self) -> u32 {
        self.reported.saturating_sub(self.own_at_report) + self.own_in_flight
    }

    /// True unless its VM leaves or it refused connections.
    #[must_use]
    pub const fn is_in_service(&self) -> bool {
        !self.leaving && !self.gone
    }

    fn load(&self) -> f64 {
        f64::from(self.estimated_requests()) / f64::from(self.slots.max(1))
    }

    fn cost(&self, wish: &RouteWish<'_>) -> f64 {
        let is_near = self.failure_domain == *wish.failure_domain;
        self.load() + if is_near { 0.0 } else { DOMAIN_COST }
    }

    fn is_eligible(&self, wish: &RouteWish<'_>) -> bool {
        self.is_in_service()
            && self.ejected_until_ms <= wish.now_ms
            && !(wish.keep_apart && self.suspects > 0)
            && !wish.avoid.contains(&self.id)
    }
}

/// What a request wants of a replica.
#[derive(Clone, Copy, Debug)]
pub struct RouteWish<'a> {
    /// The router's monotonic clock.
    pub now_ms: u64,
    /// The router's failure domain.
    pub failure_domain: &'a FailureDomain,
    /// Starts of the prompt, longest first.
    pub prefixes: &'a [PrefixKey],
    /// Replicas that were tried already.
    pub avoid: &'a [ReplicaId],
    /// True for a request under suspicion, which must run apart from other suspects.
    pub keep_apart: bool,
}

/// Chooses replicas.
pub trait RoutingPolicy: Debug + Send + Sync {
    /// Chooses among the eligible replicas, or none if there is none.
    fn choose(
        &self,
        pool: &PoolState,
        wish: &RouteWish<'_>,
        rng: &mut dyn Rng,
    ) -> Option<ReplicaIndex>;

    /// True when choices depend on where prefixes were sent, so that these are to be remembered.
    fn reads_prefixes(&self) -> bool {
        false
    }
}

/// Which replicas were sent a prefix lately. A hint: replicas evict, and their reports lag.
#[derive(Clone, Debug, Default)]
struct PrefixIndex {
    holders: HashMap<PrefixKey, Vec<ReplicaIndex>>,
}

impl PrefixIndex {
    fn learn(&mut self, prefix: PrefixKey, replica: ReplicaIndex) {
        if self.holders.len() >= MAX_PREFIXES && !self.holders.contains_key(&prefix) {
            self.holders.clear();
        }
        let holders = self.holders.entry(prefix).or_default();
        holders.retain(|holder| *holder != replica);
        holders.insert(0, replica);
        holders.truncate(REPLICAS_PER_PREFIX);
    }

    fn forget(&mut self, prefix: PrefixKey, replica: ReplicaIndex) {
        if let Some(holders) = self.holders.get_mut(&prefix) {
            holders.retain(|holder| *holder != replica);
        }
    }

    fn holders(&self, prefix: PrefixKey) -> &[ReplicaIndex] {
        self.holders.get(&prefix).map_or(&[], Vec::as_slice)
    }
}

/// The replicas of one pool.
#[derive(Clone, Debug, Default)]
pub struct PoolState {
    replicas: Vec<ReplicaState>,
    by_id: HashMap<ReplicaId, ReplicaIndex>,
    prefixes: PrefixIndex,
}

impl PoolState {
    /// A pool without replicas.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a replica, or says that a known one stays.
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

    /// All replicas.
    #[must_use]
    pub fn replicas(&self) -> &[ReplicaState] {
        &self.replicas
    }

    /// One replica.
    #[must_use]
    pub fn replica(&self, index: ReplicaIndex) -> &ReplicaState {
        &self.replicas[index]
    }

    /// One replica, to change.
    pub fn replica_mut(&mut self, index: ReplicaIndex) -> &mut ReplicaState {
        &mut self.replicas[index]
    }

    /// The place of a replica by its name.
    #[must_use]
    pub fn index_of(&self, id: &ReplicaId) -> Option<ReplicaIndex> {
        self.by_id.get(id).copied()
    }

    /// Notes that a request goes to a replica.
    pub fn start(&mut self, index: ReplicaIndex, prefixes: &[PrefixKey], is_suspect: bool) {
        let replica = &mut self.replicas[index];
        replica.own_in_flight += 1;
        replica.suspects += u32::from(is_suspect);
        for prefix in prefixes {
            self.prefixes.learn(*prefix, index);
        }
    }

    /// Notes that a request at a replica has ended.
    pub fn end(&mut self, index: ReplicaIndex, is_suspect: bool) {
        let replica = &mut self.replicas[index];
        replica.own_in_flight = replica.own_in_flight.saturating_sub(1);
        replica.suspects = replica.suspects.saturating_sub(u32::from(is_suspect));
    }

    /// Takes in a load report, and how many requests this router had there when it was made.
    pub fn learn_load(&mut self, index: ReplicaIndex, requests: u32, own_requests: u32) {
        let replica = &mut self.replicas[index];
        replica.reported = requests;
        replica.own_at_report = own_requests.min(requests);
    }

    /// Takes in that a replica dropped a prefix from its cache.
    pub fn learn_evicted(&mut self, index: ReplicaIndex, prefix: PrefixKey) {
        self.prefixes.forget(prefix, index);
    }

    /// Notes that a replica answered.
    pub fn learn_success(&mut self, index: ReplicaIndex) {
        let replica = &mut self.replicas[index];
        replica.failures = 0;
        replica.ejected_until_ms = 0;
    }

    /// Notes that a replica failed; after several failures it is ejected for a time.
    pub fn learn_failure(&mut self, index: ReplicaIndex, now_ms: u64) {
        let replica = &mut self.replicas[index];
        replica.failures = replica.failures.saturating_add(1);
        if replica.failures >= FAILURES_TO_EJECT {
            self.eject(index, now_ms);
        }
    }

    /// Takes a replica out for a time that grows with its failures.
    pub fn eject(&mut self, index: ReplicaIndex, now_ms: u64) {
        let replica = &mut self.replicas[index];
        replica.failures = replica.failures.max(FAILURES_TO_EJECT);
        let doublings = (replica.failures - FAILURES_TO_EJECT).min(5);
        let time_ms = (EJECT_MS << doublings).min(MAX_EJECT_MS);
        replica.ejected_until_ms = now_ms + time_ms;
    }

    /// Requests that this router may have in progress: all slots less what others use.
    #[must_use]
    pub fn room(&self) -> u64 {
        let staying = self
            .replicas
            .iter()
            .filter(|replica| replica.is_in_service());
        let room = staying.map(|replica| {
            let others = replica.reported.saturating_sub(replica.own_at_report);
            u64::from(replica.slots.saturating_sub(others))
        });
        room.sum()
    }

    fn eligible<'a>(&'a self, wish: &'a RouteWish<'_>) -> impl Iterator<Item = ReplicaIndex> + 'a {
        let indexed = self.replicas.iter().enumerate();
        indexed
            .filter(|(_, replica)| replica.is_eligible(wish))
            .map(|(index, _)| index)
    }

    fn random_eligible(&self, wish: &RouteWish<'_>, rng: &mut dyn Rng) -> Option<ReplicaIndex> {
        for _ in 0..SAMPLE_REPLICAS {
            let index = rng.random_range(0..self.replicas.len().max(1));
            if self.replicas.get(index)?.is_eligible(wish) {
                return Some(index);
            }
        }
        let eligible: Vec<ReplicaIndex> = self.eligible(wish).collect();
        let place = rng.random_range(0..eligible.len().max(1));
        eligible.get(place).copied()
    }

    fn least<F, I>(&self, candidates: I, cost: F) -> Option<ReplicaIndex>
    where
        F: Fn(&ReplicaState) -> f64,
        I: Iterator<Item = ReplicaIndex>,
    {
        candidates.min_by(|a, b| cost(&self.replicas[*a]).total_cmp(&cost(&self.replicas[*b])))
    }
}

/// The routing policies that can be chosen by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum RoutingName {
    /// Any replica.
    Random,
    /// One after the other.
    RoundRobin,
    /// The least loaded by the last reports.
    LeastReported,
    /// The less loaded of two random ones, by own requests in progress.
    TwoChoices,
    /// Prefix affinity with bounded load, else in turn.
    Affinity,
}

impl RoutingName {
    /// Builds the policy.
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

/// Any eligible replica.
#[derive(Clone, Copy, Debug)]
pub struct RandomPolicy;

impl RoutingPolicy for RandomPolicy {
    fn choose(
        &self,
        pool: &PoolState,
        wish: &RouteWish<'_>,
        rng: &mut dyn Rng,
    ) -> Option<ReplicaIndex> {
        pool.random_eligible(wish, rng)
    }
}

/// One eligible replica after the other.
#[derive(Debug, Default)]
pub struct RoundRobinPolicy {
    next: std::sync::atomic::AtomicUsize,
}

impl RoutingPolicy for RoundRobinPolicy {
    fn choose(
        &self,
        pool: &PoolState,
        wish: &RouteWish<'_>,
        _: &mut dyn Rng,
    ) -> Option<ReplicaIndex> {
        let count = pool.replicas.len();
        let start = self.next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let places = (0..count).map(|step| (start + step) % count);
        places
            .into_iter()
            .find(|index| pool.replicas[*index].is_eligible(wish))
    }
}

/// The eligible replica with the lowest reported load.
#[derive(Clone, Copy, Debug)]
pub struct LeastReportedPolicy;

impl RoutingPolicy for LeastReportedPolicy {
    fn choose(
        &self,
        pool: &PoolState,
        wish: &RouteWish<'_>,
        _: &mut dyn Rng,
    ) -> Option<ReplicaIndex> {
        let cost = |replica: &ReplicaState| f64::from(replica.reported) / f64::from(replica.slots);
        pool.least(pool.eligible(wish), cost)
    }
}

/// The better of two random eligible replicas, by this router's requests in progress.
#[derive(Clone, Copy, Debug)]
pub struct TwoChoicesPolicy;

impl RoutingPolicy for TwoChoicesPolicy {
    fn choose(
        &self,
        pool: &PoolState,
        wish: &RouteWish<'_>,
        rng: &mut dyn Rng,
    ) -> Option<ReplicaIndex> {
        let first = pool.random_eligible(wish, rng)?;
        let second = pool.random_eligible(wish, rng)?;
        let cost = |replica: &ReplicaState| f64::from(replica.own_in_flight);
        pool.least([first, second].into_iter(), cost)
    }
}

/// A replica that holds the prompt's start while it has room, else the next in turn.
///
/// Taking turns is what balances: choosing the lowest reported load sends all routers to the same
/// replicas until the next report.
#[derive(Debug, Default)]
pub struct AffinityPolicy {
    turns: RoundRobinPolicy,
}

impl AffinityPolicy {
    /// The least loaded holder of the longest start that any replica with room holds.
    fn holder_with_room(pool: &PoolState, wish: &RouteWish<'_>) -> Option<ReplicaIndex> {
        let has_room = |index: &ReplicaIndex| {
            let replica = &pool.replicas[*index];
            replica.is_eligible(wish) && replica.load() < HOLDER_LOAD_BOUND
        };
        wish.prefixes
            .iter()
            .take(AFFINE_PREFIXES)
            .find_map(|prefix| {
                let holders = pool.prefixes.holders(*prefix).iter().copied();
                pool.least(holders.filter(has_room), |replica| replica.cost(wish))
            })
    }
}

impl RoutingPolicy for AffinityPolicy {
    fn choose(
        &self,
        pool: &PoolState,
        wish: &RouteWish<'_>,
        rng: &mut dyn Rng,
    ) -> Option<ReplicaIndex> {
        Self::holder_with_room(pool, wish).or_else(|| self.turns.choose(pool, wish, rng))
    }

    fn reads_prefixes(&self) -> bool {
        true
    }
}
