//! Which pools have brittle replicas, as these state in their answers. The newest statement counts,
//! whichever router received it; hellos report it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use slog::{info, Logger};
use tokio::time::Instant;

use super::limits::ReplicaKey;
use crate::core::ids::PoolId;
use crate::core::placement::Admission;
use crate::util::{lock, millis, short_digest};

/// Time for which hellos report that a pool is no longer brittle.
const REPORT_TIME: Duration = Duration::from_secs(5);
/// Time after a denial in which no place at the replica is requested.
const DENIAL_TIME: Duration = Duration::from_millis(60);

/// What a router knows of a pool's brittleness, as sent to other routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct BrittleReport {
    /// Short digest of the pool's id.
    pool: u32,
    /// Rejections in a second that a replica bears; `None` if it is not brittle any more.
    max_rejections: Option<u32>,
    /// Time since the answer that stated it, in milliseconds.
    age_ms: u32,
}

#[derive(Clone, Copy, Debug)]
struct Belief {
    max_rejections: Option<u32>,
    observed_at: Instant,
}

#[derive(Debug, Default)]
struct State {
    pools: HashMap<u32, Belief>,
    denied_until: HashMap<ReplicaKey, Instant>,
}

/// The pools with brittle replicas.
#[derive(Debug)]
pub(crate) struct Brittleness {
    log: Logger,
    state: Mutex<State>,
}

fn digest(pool: &PoolId) -> u32 {
    short_digest(pool.as_str())
}

impl Brittleness {
    /// Creates the state in which no pool is brittle.
    pub(crate) fn new(log: Logger) -> Self {
        Self {
            log,
            state: Mutex::default(),
        }
    }

    /// Applies what a replica stated in the answer to a request.
    pub(crate) fn record_answer(&self, pool: &PoolId, stated: Option<u32>, request: &str) {
        let mut state = lock(&self.state);
        let known = state.pools.get(&digest(pool));
        if known.is_none() && stated.is_none() {
            return;
        }
        let before = known.and_then(|belief| belief.max_rejections);
        let belief = Belief {
            max_rejections: stated,
            observed_at: Instant::now(),
        };
        state.pools.insert(digest(pool), belief);
        if before != stated {
            info!(self.log, "brittleness of replicas changed"; "pool" => pool.as_str(),
                "max_rejections_per_s" => stated, "before" => before, "request" => request);
        }
    }

    /// Applies the report of another router, unless something newer is known.
    pub(crate) fn apply_report(&self, router: SocketAddr, report: &BrittleReport) {
        let age = Duration::from_millis(u64::from(report.age_ms));
        let Some(observed_at) = Instant::now().checked_sub(age) else {
            return;
        };
        let mut state = lock(&self.state);
        let known = state.pools.get(&report.pool);
        let is_news = known.map_or(report.max_rejections.is_some(), |known| {
            known.observed_at < observed_at
        });
        if !is_news {
            return;
        }
        let before = known.and_then(|belief| belief.max_rejections);
        let belief = Belief {
            max_rejections: report.max_rejections,
            observed_at,
        };
        state.pools.insert(report.pool, belief);
        if before != report.max_rejections {
            info!(self.log, "brittleness of replicas changed, reported by another router";
                "pool_digest" => report.pool, "max_rejections_per_s" => report.max_rejections,
                "before" => before, "router" => router.to_string(), "age_ms" => millis(age));
        }
    }

    /// Returns what is known, for hellos.
    pub(crate) fn reports(&self) -> Vec<BrittleReport> {
        let state = lock(&self.state);
        let reported = state.pools.iter().filter(|(_, belief)| {
            belief.max_rejections.is_some() || belief.observed_at.elapsed() < REPORT_TIME
        });
        reported
            .map(|(pool, belief)| BrittleReport {
                pool: *pool,
                max_rejections: belief.max_rejections,
                age_ms: u32::try_from(millis(belief.observed_at.elapsed())).unwrap_or(u32::MAX),
            })
            .collect()
    }

    /// Returns true if the replicas of a pool are brittle.
    pub(crate) fn is_brittle(&self, pool: &PoolId) -> bool {
        let state = lock(&self.state);
        let belief = state.pools.get(&digest(pool));
        belief.is_some_and(|belief| belief.max_rejections.is_some())
    }

    /// Returns whether a request may be sent to a brittle replica.
    pub(crate) fn admission(&self, key: ReplicaKey) -> Admission {
        let state = lock(&self.state);
        let denied_until = state.denied_until.get(&key);
        let left = denied_until.map_or(Duration::ZERO, |until| {
            until.saturating_duration_since(Instant::now())
        });
        if left.is_zero() {
            return Admission::NeedsPermit;
        }
        Admission::Denied {
            left_ms: millis(left).max(1),
            retry_after_ms: millis(left).max(1),
        }
    }

    /// Records that no place at a replica was free.
    pub(crate) fn record_denial(&self, key: ReplicaKey) {
        let now = Instant::now();
        let mut state = lock(&self.state);
        state.denied_until.retain(|_, until| *until > now);
        state.denied_until.insert(key, now + DENIAL_TIME);
    }
}
