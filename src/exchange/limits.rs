//! Rate limits that replicas state in their answers, as this router knows them.
//!
//! The newest statement counts, whichever router received it. Routers report their own changes with
//! hellos, and what they know when they request or issue permits.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use compact_str::{CompactString, ToCompactString};
use serde::{Deserialize, Serialize};
use slog::{info, warn, Logger};
use tokio::time::Instant;

use super::metrics::ExchangeMetrics;
use super::request::StatedLimit;
use crate::core::permits::PermitDenial;
use crate::core::placement::Admission;
use crate::core::rate_limit::RateLimit;
use crate::util::{lock, millis};

/// Time for which hellos report a change that this router observed.
const REPORT_TIME: Duration = Duration::from_secs(5);
/// Maximum number of changes reported in one hello, the newest first.
const MAX_REPORTS: usize = 8;
/// Time after which what is known about an unused replica is dropped.
const RETENTION: Duration = Duration::from_secs(600);
/// Number of known replicas from which on unused ones are dropped.
const PRUNE_COUNT: usize = 1_024;

/// One incarnation of a replica, as named between routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct ReplicaKey {
    /// Short digest of the replica's id.
    pub replica: u32,
    /// Start of its incarnation.
    pub born_ms: Option<u64>,
}

/// What a router knows of a replica's limit, as sent to other routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LimitReport {
    /// The replica.
    pub key: ReplicaKey,
    /// Its limit; `None` if it has none any more.
    pub limit: Option<RateLimit>,
    /// Time since the answer that stated it, in milliseconds.
    pub age_ms: u32,
}

/// The last known statement of a replica, and the last denied permit.
#[derive(Clone, Debug)]
struct LimitBelief {
    id: CompactString,
    limit: Option<RateLimit>,
    observed_at: Instant,
    /// Router that reported it; `None` for an answer to this router.
    source: Option<SocketAddr>,
    /// When the limit changed, if this router observed that.
    own_change_at: Option<Instant>,
    denial: Option<RecentDenial>,
    /// Last unusable text, so that it is logged once.
    unusable: Option<CompactString>,
}

impl LimitBelief {
    fn new(id: &str) -> Self {
        Self {
            id: id.into(),
            limit: None,
            observed_at: Instant::now(),
            source: None,
            own_change_at: None,
            denial: None,
            unusable: None,
        }
    }

    fn report(&self, key: ReplicaKey) -> LimitReport {
        let age_ms = millis(self.observed_at.elapsed());
        LimitReport {
            key,
            limit: self.limit,
            age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
        }
    }

    fn admission(&self, rank: u8) -> Admission {
        if self.limit.is_none() {
            return Admission::Open;
        }
        let denial = self.denial.filter(|denial| rank >= denial.rank);
        let left_ms = denial.map_or(0, |denial| {
            millis(denial.until.saturating_duration_since(Instant::now()))
        });
        match denial {
            Some(denial) if left_ms > 0 => Admission::Denied {
                left_ms,
                retry_after_ms: denial.retry_after_ms.max(left_ms),
            },
            _ => Admission::NeedsPermit,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct RecentDenial {
    /// Most urgent rank that it applies to.
    rank: u8,
    until: Instant,
    retry_after_ms: u64,
}

/// A replica's limit, with the origin of the knowledge, for the request log.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LimitNote {
    /// The limit.
    pub limit: RateLimit,
    /// Time since the answer that stated it.
    pub age: Duration,
    /// Router that reported it; `None` for an answer to this router.
    pub source: Option<SocketAddr>,
}

/// Rate limits of replicas.
#[derive(Debug)]
pub(crate) struct ReplicaLimits {
    metrics: Arc<ExchangeMetrics>,
    log: Logger,
    beliefs: Mutex<HashMap<ReplicaKey, LimitBelief>>,
}

impl ReplicaLimits {
    /// Creates the limits; no replica has one.
    pub(crate) fn new(metrics: Arc<ExchangeMetrics>, log: Logger) -> Self {
        Self {
            metrics,
            log,
            beliefs: Mutex::default(),
        }
    }

    /// Applies what a replica stated in the answer to a request. Returns a report if the limit
    /// changed.
    pub(crate) fn record_answer(
        &self,
        key: ReplicaKey,
        id: &str,
        stated: &StatedLimit,
        request: &str,
    ) -> Option<LimitReport> {
        let mut beliefs = lock(&self.beliefs);
        let is_unlimited = matches!(stated, StatedLimit::Unknown | StatedLimit::None);
        if is_unlimited && !beliefs.contains_key(&key) {
            return None;
        }
        prune(&mut beliefs);
        let belief = beliefs.entry(key).or_insert_with(|| LimitBelief::new(id));
        let limit = match stated {
            StatedLimit::Unknown => return None,
            StatedLimit::Unusable(text) => {
                if belief.unusable.as_ref() != Some(text) {
                    warn!(self.log, "replica stated an unusable rate limit"; "replica" => id,
                        "limit" => text.as_str(), "request" => request);
                    belief.unusable = Some(text.clone());
                }
                return None;
            }
            StatedLimit::None => None,
            StatedLimit::Rate(limit) => Some(*limit),
        };
        belief.observed_at = Instant::now();
        belief.source = None;
        let before = std::mem::replace(&mut belief.limit, limit);
        if before == limit {
            return None;
        }
        belief.own_change_at = Some(belief.observed_at);
        self.announce_change(belief, before, Some(request));
        Some(belief.report(key))
    }

    /// Applies the report of another router, unless something newer is known. `id` is the
    /// replica's id.
    pub(crate) fn apply_report(&self, router: SocketAddr, id: &str, report: &LimitReport) {
        let age = Duration::from_millis(u64::from(report.age_ms));
        let Some(observed_at) = Instant::now().checked_sub(age) else {
            return;
        };
        let mut beliefs = lock(&self.beliefs);
        let known = beliefs.get(&report.key);
        let is_news = known.map_or(report.limit.is_some(), |known| {
            known.observed_at < observed_at
        });
        if !is_news {
            return;
        }
        prune(&mut beliefs);
        let belief = beliefs
            .entry(report.key)
            .or_insert_with(|| LimitBelief::new(id));
        belief.observed_at = observed_at;
        belief.source = Some(router);
        let before = std::mem::replace(&mut belief.limit, report.limit);
        if before != report.limit {
            self.announce_change(belief, before, None);
        }
    }

    fn announce_change(
        &self,
        belief: &mut LimitBelief,
        before: Option<RateLimit>,
        request: Option<&str>,
    ) {
        belief.denial = None;
        self.metrics.set_rate_limit(&belief.id, belief.limit);
        info!(self.log, "replica's rate limit changed"; "replica" => belief.id.as_str(),
            "limit" => belief.limit.map(|limit| limit.to_string()),
            "before" => before.map(|before| before.to_string()), "request" => request,
            "reported_by" => belief.source.map(|router| router.to_string()),
            "age_ms" => millis(belief.observed_at.elapsed()));
    }

    /// Records that no permit was available for requests of a rank and less urgent ones.
    pub(crate) fn record_denial(&self, key: ReplicaKey, rank: u8, denial: PermitDenial) {
        if let Some(belief) = lock(&self.beliefs).get_mut(&key) {
            belief.denial = Some(RecentDenial {
                rank,
                until: Instant::now() + Duration::from_millis(denial.wait_ms),
                retry_after_ms: denial.retry_after_ms,
            });
        }
    }

    /// Returns, for the replicas with a limit, whether requests of a rank may be sent there.
    pub(crate) fn admissions(&self, rank: u8) -> HashMap<ReplicaKey, Admission> {
        let beliefs = lock(&self.beliefs);
        let limited = beliefs.iter().filter(|(_, belief)| belief.limit.is_some());
        limited
            .map(|(key, belief)| (*key, belief.admission(rank)))
            .collect()
    }

    /// Returns the limit of a replica, if it has one.
    pub(crate) fn note(&self, key: ReplicaKey) -> Option<LimitNote> {
        let beliefs = lock(&self.beliefs);
        let belief = beliefs.get(&key)?;
        Some(LimitNote {
            limit: belief.limit?,
            age: belief.observed_at.elapsed(),
            source: belief.source,
        })
    }

    /// Returns what is known of a replica's limit, for another router.
    pub(crate) fn report(&self, key: ReplicaKey) -> Option<LimitReport> {
        let beliefs = lock(&self.beliefs);
        beliefs.get(&key).map(|belief| belief.report(key))
    }

    /// Returns the newest changes that this router observed, for hellos.
    pub(crate) fn recent_reports(&self) -> Vec<LimitReport> {
        let beliefs = lock(&self.beliefs);
        let mut recent: Vec<(Duration, LimitReport)> = beliefs
            .iter()
            .filter_map(|(key, belief)| {
                let age = belief.own_change_at?.elapsed();
                (age < REPORT_TIME).then(|| (age, belief.report(*key)))
            })
            .collect();
        recent.sort_unstable_by_key(|(age, report)| (*age, report.key.replica));
        let newest = recent.into_iter().take(MAX_REPORTS);
        newest.map(|(_, report)| report).collect()
    }
}

fn prune(beliefs: &mut HashMap<ReplicaKey, LimitBelief>) {
    if beliefs.len() >= PRUNE_COUNT {
        beliefs.retain(|_, belief| belief.observed_at.elapsed() < RETENTION);
    }
}

impl LimitNote {
    /// Returns the origin of the knowledge for the log.
    pub(crate) fn origin(&self) -> CompactString {
        let source = self.source.map(|router| router.to_compact_string());
        source.unwrap_or_else(|| "own answer".into())
    }
}
