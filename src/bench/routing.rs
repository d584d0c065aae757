//! Compares routing policies on the same seeded requests.
//!
//! A simulation in which each replica has a queue and its load reports reach routers with a delay.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use strum::IntoEnumIterator;

use super::sites::{Deployment, SiteSize};
use crate::core::ids::{FailureDomain, ReplicaId};
use crate::core::routing::{
    PoolState, PrefixKey, ReplicaState, RoutingPolicy, RoutingPolicyName, RoutingRequest,
};

/// Length of one run.
const RUN_MS: u64 = 600_000;
/// Interval between two load reports of a replica.
const REPORT_INTERVAL_MS: u64 = 250;
/// Delay between a load report and its receipt by a router.
const REPORT_DELAY_MS: u64 = 500;
/// Requests that a replica runs concurrently.
const SLOTS: u32 = 8;
/// Prompt prefixes that a replica's KV cache holds.
const CACHED_PREFIXES: usize = 24;
/// Mean slot utilization when no prefix is cached, in percent.
const UTILIZATION_PERCENT: u64 = 88;
/// Prefill time per uncached prompt token.
const PREFILL_US: u64 = 400;
/// Decode time per answer token.
const DECODE_US: u64 = 12_000;
/// Number of concurrent conversations.
const CONVERSATIONS: u64 = 300;
/// Time to first token beyond which a request counts as late.
const MAX_FIRST_TOKEN_MS: u64 = 1_300;

/// Result of one policy on one deployment.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RoutingResult {
    /// The deployment.
    pub deployment: String,
    /// The policy.
    pub policy: String,
    /// Number of requests.
    pub requests: u64,
    /// Time to first token, median.
    pub p50_ms: u64,
    /// Time to first token, 95th percentile.
    pub p95_ms: u64,
    /// Time to first token, 99th percentile.
    pub p99_ms: u64,
    /// Percentage of requests whose first token was late.
    pub late_percent: f64,
    /// Percentage of requests whose conversation was cached on the chosen replica.
    pub hit_percent: f64,
}

/// Runs every policy on both deployments.
#[must_use]
pub fn run_all(seed: u64, rounds: u64) -> Vec<RoutingResult> {
    let sites = Deployment::iter();
    let runs = sites.flat_map(|site| RoutingPolicyName::iter().map(move |name| (site, name)));
    runs.map(|(site, name)| run_policy(site, name, seed, rounds))
        .collect()
}

#[derive(Debug, Default)]
struct Counts {
    requests: u64,
    late: u64,
    hits: u64,
}

fn run_policy(site: Deployment, name: RoutingPolicyName, seed: u64, rounds: u64) -> RoutingResult {
    let times = Histogram::<u64>::new_with_max(RUN_MS * 1_000, 3);
    let mut times = times.unwrap_or_else(|_| unreachable!("the bounds are valid"));
    let mut counts = Counts::default();
    for round in 0..rounds {
        let mut run = Run::new(site.size(), name, seed + round);
        run.run(&mut times, &mut counts);
    }
    RoutingResult {
        deployment: site.to_string(),
        policy: name.to_string(),
        requests: counts.requests,
        p50_ms: times.value_at_quantile(0.5) / 1_000,
        p95_ms: times.value_at_quantile(0.95) / 1_000,
        p99_ms: times.value_at_quantile(0.99) / 1_000,
        late_percent: percent(counts.late, counts.requests),
        hit_percent: percent(counts.hits, counts.requests),
    }
}

#[allow(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn percent(count: u64, of: u64) -> f64 {
    count as f64 * 100.0 / of.max(1) as f64
}

/// A replica: the time at which each slot becomes free, the end times of its requests, and the
/// cached prefixes with the most recently used one first.
#[derive(Debug, Default)]
struct Replica {
    free_at_us: BinaryHeap<Reverse<u64>>,
    ends_us: Vec<u64>,
    cached: VecDeque<PrefixKey>,
}

impl Replica {
    /// Starts or queues a request and returns the times of its first token and its end.
    fn start(&mut self, now_us: u64, prefill_us: u64, decode_us: u64) -> (u64, u64) {
        let slot_us = self.free_at_us.pop().map_or(0, |Reverse(at)| at);
        let first_us = slot_us.max(now_us) + prefill_us;
        let end_us = first_us + decode_us;
        self.free_at_us.push(Reverse(end_us));
        self.ends_us.push(end_us);
        (first_us, end_us)
    }

    fn requests(&mut self, now_us: u64) -> u32 {
        self.ends_us.retain(|end| *end > now_us);
        u32::try_from(self.ends_us.len()).unwrap_or(u32::MAX)
    }

    /// Looks up a prefix in the LRU cache, inserts it, and returns whether it was cached.
    fn use_cache(&mut self, prefix: PrefixKey) -> bool {
        let index = self.cached.iter().position(|cached| *cached == prefix);
        if let Some(index) = index {
            self.cached.remove(index);
        }
        self.cached.push_front(prefix);
        self.cached.truncate(CACHED_PREFIXES);
        index.is_some()
    }
}

/// A router and its view of the pool.
#[derive(Debug)]
struct Router {
    domain: FailureDomain,
    pool: PoolState,
    ends: BinaryHeap<Reverse<(u64, usize)>>,
    reports: VecDeque<(u64, Vec<(u32, u32)>)>,
}

struct Run {
    size: SiteSize,
    policy: Box<dyn RoutingPolicy>,
    rng: StdRng,
    replicas: Vec<Replica>,
    routers: Vec<Router>,
}

impl Run {
    fn new(size: SiteSize, name: RoutingPolicyName, seed: u64) -> Self {
        let domain = |index: usize| {
            let name = format!("domain-{}", index % size.domains);
            FailureDomain::new(name).unwrap_or_else(|_| unreachable!("the name is valid"))
        };
        let mut pool = PoolState::new();
        for index in 0..size.replicas {
            let id = ReplicaId::new(format!("replica-{index}"));
            let id = id.unwrap_or_else(|_| unreachable!("the name is valid"));
            pool.add(ReplicaState::new(id, domain(index), SLOTS));
        }
        let new_replica = || Replica {
            free_at_us: (0..SLOTS).map(|_| Reverse(0)).collect(),
            ..Replica::default()
        };
        let router = |index| Router {
            domain: domain(index),
            pool: pool.clone(),
            ends: BinaryHeap::new(),
            reports: VecDeque::new(),
        };
        Self {
            size,
            policy: name.build(),
            rng: StdRng::seed_from_u64(seed),
            replicas: (0..size.replicas).map(|_| new_replica()).collect(),
            routers: (0..size.routers).map(router).collect(),
        }
    }

    fn run(&mut self, times: &mut Histogram<u64>, counts: &mut Counts) {
        // Mean prompt 1,100 and mean answer 200 tokens; see `request`.
        let mean_us = 1_100 * PREFILL_US + 200 * DECODE_US;
        let slots = self.size.replicas as u64 * u64::from(SLOTS);
        let gap_us = mean_us * 100 / (slots * UTILIZATION_PERCENT);
        let mut now_us = 0;
        let mut next_report_us = 0;
        while now_us < RUN_MS * 1_000 {
            now_us += self.rng.random_range(0..gap_us * 2);
            while next_report_us <= now_us {
                self.report(next_report_us);
                next_report_us += REPORT_INTERVAL_MS * 1_000;
            }
            self.request(now_us, times, counts);
        }
    }

    /// Collects the replicas' load and schedules its delivery to the routers.
    fn report(&mut self, now_us: u64) {
        let loads: Vec<u32> = self
            .replicas
            .iter_mut()
            .map(|replica| replica.requests(now_us))
            .collect();
        for router in &mut self.routers {
            router.end_requests_until(now_us);
            let own = router
                .pool
                .replicas()
                .iter()
                .map(|replica| replica.own_in_flight);
            let report = loads.iter().copied().zip(own).collect();
            router
                .reports
                .push_back((now_us + REPORT_DELAY_MS * 1_000, report));
        }
    }

    fn request(&mut self, now_us: u64, times: &mut Histogram<u64>, counts: &mut Counts) {
        let conversation = self.rng.random_range(0..CONVERSATIONS);
        let team = conversation % 10;
        let prefixes = [1_000 + conversation, team];
        let prompt_tokens = self.rng.random_range(200..2_000);
        let answer_tokens = self.rng.random_range(50..350);
        let router_index = usize::try_from(team).unwrap_or(0) * 2 + self.rng.random_range(0..3);
        let count = self.routers.len();
        let router = &mut self.routers[router_index % count];
        router.apply_reports(now_us);
        let routing_request = RoutingRequest {
            now_ms: now_us / 1_000,
            failure_domain: &router.domain,
            prefixes: &prefixes,
            excluded: &[],
            isolate_suspect: false,
        };
        let Some(index) = self
            .policy
            .choose(&router.pool, &routing_request, &mut self.rng)
        else {
            return;
        };
        router.pool.begin_request(index, &prefixes, false);
        let replica = &mut self.replicas[index];
        let is_hit = replica.use_cache(prefixes[0]);
        let is_team_hit = replica.use_cache(prefixes[1]);
        // A cached conversation leaves a fifth of the prompt to prefill; a cached system prompt
        // leaves four fifths.
        let uncached_tokens = match (is_hit, is_team_hit) {
            (true, _) => prompt_tokens / 5,
            (false, true) => prompt_tokens * 4 / 5,
            (false, false) => prompt_tokens,
        };
        let prefill_us = uncached_tokens * PREFILL_US;
        let (first_us, end_us) = replica.start(now_us, prefill_us, answer_tokens * DECODE_US);
        router.ends.push(Reverse((end_us, index)));
        times.saturating_record(first_us - now_us);
        counts.requests += 1;
        counts.late += u64::from(first_us - now_us > MAX_FIRST_TOKEN_MS * 1_000);
        counts.hits += u64::from(is_hit);
    }
}

impl Router {
    fn apply_reports(&mut self, now_us: u64) {
        self.end_requests_until(now_us);
        while self
            .reports
            .front()
            .is_some_and(|(at_us, _)| *at_us <= now_us)
        {
            let Some((_, report)) = self.reports.pop_front() else {
                return;
            };
            for (index, (requests, own)) in report.into_iter().enumerate() {
                self.pool.record_load(index, requests, own);
            }
        }
    }

    fn end_requests_until(&mut self, now_us: u64) {
        while self
            .ends
            .peek()
            .is_some_and(|Reverse((end_us, _))| *end_us <= now_us)
        {
            if let Some(Reverse((_, index))) = self.ends.pop() {
                self.pool.end_request(index, false);
            }
        }
    }
}
