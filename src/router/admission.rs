//! Admission control of a pool: queues requests by priority and fair share, and sheds those that
//! cannot start before their deadline.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;

use super::refusal::{Refusal, RefusalKind};
use super::replicas::Replicas;
use crate::core::fair_queue::{FairQueue, QueueKey};
use crate::core::ids::PoolId;
use crate::util::lock;

/// Divisor of the newest sample's weight in the moving average of the service time.
const SERVICE_TIME_DIVISOR: u32 = 8;
/// Lower bound of Retry-After from an overloaded pool.
const MIN_RETRY: Duration = Duration::from_millis(200);

/// Requests of one pool: the number in progress, and the queue of waiting ones.
#[derive(Debug, Default)]
struct PoolQueue {
    in_progress: u64,
    service_time: Duration,
    queue: FairQueue<oneshot::Sender<Permit>>,
}

impl PoolQueue {
    fn expected_wait(&self, ahead: usize, limit: u64) -> Duration {
        let ahead = u32::try_from(ahead + 1).unwrap_or(u32::MAX);
        let limit = u32::try_from(limit).unwrap_or(u32::MAX);
        self.service_time.saturating_mul(ahead) / limit
    }

    fn record_service_time(&mut self, time: Duration) {
        if self.service_time.is_zero() {
            self.service_time = time;
            return;
        }
        let decayed = self.service_time / SERVICE_TIME_DIVISOR * (SERVICE_TIME_DIVISOR - 1);
        self.service_time = decayed + time / SERVICE_TIME_DIVISOR;
    }
}

#[derive(Debug)]
struct Shared {
    replicas: Arc<Replicas>,
    pools: Mutex<HashMap<PoolId, PoolQueue>>,
}

/// Admission control of all pools.
#[derive(Clone, Debug)]
pub struct Admission {
    shared: Arc<Shared>,
}

/// One unit of a pool's concurrency limit. Dropping it admits the next waiting request.
#[derive(Debug)]
pub struct Permit {
    shared: Arc<Shared>,
    pool: PoolId,
    started: Instant,
    is_counted: bool,
}

impl Permit {
    fn new(shared: &Arc<Shared>, pool: &PoolId) -> Self {
        let shared = Arc::clone(shared);
        Self {
            shared,
            pool: pool.clone(),
            started: Instant::now(),
            is_counted: true,
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if !self.is_counted {
            return;
        }
        let mut pools = lock(&self.shared.pools);
        let pool_queue = pools.entry(self.pool.clone()).or_default();
        pool_queue.in_progress = pool_queue.in_progress.saturating_sub(1);
        pool_queue.record_service_time(self.started.elapsed());
        drop(pools);
        self.shared.admit_waiting(&self.pool);
    }
}

impl Shared {
    /// Admits waiting requests up to the pool's concurrency limit.
    fn admit_waiting(self: &Arc<Self>, pool: &PoolId) {
        let limit = self.replicas.concurrency_limit(pool).max(1);
        let mut undelivered = Vec::new();
        let mut pools = lock(&self.pools);
        let Some(pool_queue) = pools.get_mut(pool) else {
            return;
        };
        while pool_queue.in_progress < limit {
            let Some(waiter) = pool_queue.queue.pop() else {
                break;
            };
            match waiter.send(Permit::new(self, pool)) {
                Ok(()) => pool_queue.in_progress += 1,
                Err(mut permit) => {
                    permit.is_counted = false;
                    undelivered.push(permit);
                }
            }
        }
        drop(pools);
        // Dropped after the lock is released, because dropping a permit acquires it.
        drop(undelivered);
    }
}

impl Admission {
    /// Creates an admission control whose limits follow the capacity of the pools' replicas.
    #[must_use]
    pub fn new(replicas: Arc<Replicas>) -> Self {
        Self {
            shared: Arc::new(Shared {
                replicas,
                pools: Mutex::default(),
            }),
        }
    }

    /// Waits for a permit of a pool until the deadline.
    ///
    /// # Errors
    ///
    /// Returns [`RefusalKind::Overloaded`] at once when the expected wait exceeds the time left,
    /// and otherwise at the deadline.
    pub async fn acquire(
        &self,
        pool: &PoolId,
        queue_key: &QueueKey,
        deadline: Instant,
    ) -> Result<Permit, Refusal> {
        let limit = self.shared.replicas.concurrency_limit(pool).max(1);
        let (receiver, position) = {
            let mut pools = lock(&self.shared.pools);
            let pool_queue = pools.entry(pool.clone()).or_default();
            if pool_queue.queue.is_empty() && pool_queue.in_progress < limit {
                pool_queue.in_progress += 1;
                return Ok(Permit::new(&self.shared, pool));
            }
            let wait =
                pool_queue.expected_wait(pool_queue.queue.ahead_of(queue_key.priority), limit);
            if Instant::now() + wait > deadline {
                return Err(overloaded(pool, wait));
            }
            let (sender, receiver) = oneshot::channel();
            let position = pool_queue.queue.push(queue_key, sender);
            (receiver, position)
        };
        if let Ok(Ok(permit)) = tokio::time::timeout_at(deadline, receiver).await {
            return Ok(permit);
        }
        let mut pools = lock(&self.shared.pools);
        let pool_queue = pools.entry(pool.clone()).or_default();
        pool_queue.queue.remove(position);
        let wait = pool_queue.expected_wait(pool_queue.queue.ahead_of(queue_key.priority), limit);
        Err(overloaded(pool, wait))
    }

    /// Admits waiting requests of all pools, after a change of the replicas or their reported load.
    pub fn admit_all_waiting(&self) {
        let pools: Vec<PoolId> = lock(&self.shared.pools).keys().cloned().collect();
        for pool in pools {
            self.shared.admit_waiting(&pool);
        }
    }

    /// Returns the number of waiting requests over all pools.
    #[must_use]
    pub fn waiting_count(&self) -> usize {
        lock(&self.shared.pools)
            .values()
            .map(|pool| pool.queue.len())
            .sum()
    }
}

fn overloaded(pool: &PoolId, wait: Duration) -> Refusal {
    let message = format!("pool {pool} has no room within the deadline");
    Refusal::new(RefusalKind::Overloaded, message).with_retry_after(wait.max(MIN_RETRY))
}
