//! Rate limits that replicas state in their answers, as this router knows them.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use slog::{info, warn, Logger};
use tokio::time::Instant;

use super::metrics::ExchangeMetrics;
use super::request::StatedLimit;
use crate::core::rate_limit::RateLimit;
use crate::util::lock;

/// One incarnation of a replica, as named between routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct ReplicaKey {
    /// Short digest of the replica's id.
    pub replica: u32,
    /// Start of its incarnation.
    pub born_ms: Option<u64>,
}

/// What an answer of a replica stated last.
#[derive(Clone, Debug)]
struct LimitBelief {
    id: CompactString,
    limit: Option<RateLimit>,
    observed_at: Instant,
    /// Last unusable text, so that it is logged once.
    unusable: Option<CompactString>,
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

    /// Applies what a replica stated in the answer to a request.
    pub(crate) fn record_answer(
        &self,
        key: ReplicaKey,
        id: &str,
        stated: &StatedLimit,
        request: &str,
    ) {
        let mut beliefs = lock(&self.beliefs);
        if !beliefs.contains_key(&key) && matches!(stated, StatedLimit::Unknown | StatedLimit::None)
        {
            return;
        }
        let now = Instant::now();
        let belief = beliefs.entry(key).or_insert_with(|| LimitBelief {
            id: id.into(),
            limit: None,
            observed_at: now,
            unusable: None,
        });
        let limit = match stated {
            StatedLimit::Unknown => return,
            StatedLimit::Unusable(text) => {
                if belief.unusable.as_ref() != Some(text) {
                    warn!(self.log, "replica stated an unusable rate limit"; "replica" => id,
                        "limit" => text.as_str(), "request" => request);
                    belief.unusable = Some(text.clone());
                }
                return;
            }
            StatedLimit::None => None,
            StatedLimit::Rate(limit) => Some(*limit),
        };
        let before = std::mem::replace(&mut belief.limit, limit);
        belief.observed_at = now;
        if before != limit {
            self.metrics.set_rate_limit(&belief.id, limit);
            info!(self.log, "replica's rate limit changed"; "replica" => id,
                "limit" => limit.map(|limit| limit.to_string()),
                "before" => before.map(|before| before.to_string()), "request" => request);
        }
    }

    /// Returns the limit of a replica and how long ago an answer stated it.
    pub(crate) fn note(&self, key: ReplicaKey) -> Option<(RateLimit, std::time::Duration)> {
        let beliefs = lock(&self.beliefs);
        let belief = beliefs.get(&key)?;
        Some((belief.limit?, belief.observed_at.elapsed()))
    }
}
