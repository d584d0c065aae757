//! Admission to a pool: by deadline, priority and each team's fair share.

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

/// Weight of the newest request in the average service time, as a divisor.
const SERVICE_TIME_DIVISOR: u32 = 8;
/// Least time after which an overloaded pool may be tried again.
const MIN_RETRY: Duration = Duration::from_millis(200);

#[derive(Debug, Default)]
struct PoolQueue {
    in_progress: u64,
    service_time: Duration,
    queue: FairQueue<oneshot::Sender<Permit>>,
}

impl PoolQueue {
    fn expected_wait(&self, ahead: usize, room: u64) -> Duration {
        let ahead = u32::try_from(ahead + 1).unwrap_or(u32::MAX);
        let room = u32::try_from(room).unwrap_or(u32::MAX);
        self.service_time.saturating_mul(ahead) / room
    }

    fn record_service_time(&mut self, time: Duration) {
        if self.service_time.is_zero() {
            self.service_time = time;
            return;
        }
        let kept = self.service_time / SERVICE_TIME_DIVISOR * (SERVICE_TIME_DIVISOR - 1);
        self.service_time = kept + time / SERVICE_TIME_DIVISOR;
    }
}

#[derive(Debug)]
struct Shared {
    replicas: Arc<Replicas>,
    pools: Mutex<HashMap<PoolId, PoolQueue>>,
}

/// Lets requests into pools.
#[derive(Clone, Debug)]
pub struct Admission {
    shared: Arc<Shared>,
}

/// The right to one place in a pool. Dropping it lets the next request in.
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
        let entry = pools.entry(self.pool.clone()).or_default();
        entry.in_progress = entry.in_progress.saturating_sub(1);
        entry.record_service_time(self.started.elapsed());
        drop(pools);
        self.shared.let_in(&self.pool);
    }
}

impl Shared {
    /// Lets waiting requests in while the pool has room.
    fn let_in(self: &Arc<Self>, pool: &PoolId) {
        let room = self.replicas.pool_room(pool).max(1);
        let mut undelivered = Vec::new();
        let mut pools = lock(&self.pools);
        let Some(entry) = pools.get_mut(pool) else {
            return;
        };
        while entry.in_progress < room {
            let Some(waiting) = entry.queue.pop() else {
                break;
            };
            match waiting.send(Permit::new(self, pool)) {
                Ok(()) => entry.in_progress += 1,
                Err(mut permit) => {
                    permit.is_counted = false;
                    undelivered.push(permit);
                }
            }
        }
        drop(pools);
        // Dropped only now: a permit takes the lock when it ends.
        drop(undelivered);
    }
}

impl Admission {
    /// Admission by the room that the pools' replicas have.
    #[must_use]
    pub fn new(replicas: Arc<Replicas>) -> Self {
        Self {
            shared: Arc::new(Shared {
                replicas,
                pools: Mutex::default(),
            }),
        }
    }

    /// Waits for a place in a pool until the deadline.
    ///
    /// # Errors
    ///
    /// Refuses at once when the expected wait is longer than the time left, and at the deadline.
    pub async fn enter(
        &self,
        pool: &PoolId,
        queue_key: &QueueKey,
        deadline: Instant,
    ) -> Result<Permit, Refusal> {
        let room = self.shared.replicas.pool_room(pool).max(1);
        let (receiver, place) = {
            let mut pools = lock(&self.shared.pools);
            let entry = pools.entry(pool.clone()).or_default();
            if entry.queue.is_empty() && entry.in_progress < room {
                entry.in_progress += 1;
                return Ok(Permit::new(&self.shared, pool));
            }
            let wait = entry.expected_wait(entry.queue.ahead_of(queue_key.priority), room);
            if Instant::now() + wait > deadline {
                return Err(overloaded(pool, wait));
            }
            let (sender, receiver) = oneshot::channel();
            let place = entry.queue.push(queue_key, sender);
            (receiver, place)
        };
        if let Ok(Ok(permit)) = tokio::time::timeout_at(deadline, receiver).await {
            return Ok(permit);
        }
        let mut pools = lock(&self.shared.pools);
        let entry = pools.entry(pool.clone()).or_default();
        entry.queue.remove(place);
        let wait = entry.expected_wait(entry.queue.ahead_of(queue_key.priority), room);
        Err(overloaded(pool, wait))
    }

    /// Lets waiting requests in after load reports showed more room.
    pub fn look_again(&self) {
        let pools: Vec<PoolId> = lock(&self.shared.pools).keys().cloned().collect();
        for pool in pools {
            self.shared.let_in(&pool);
        }
    }

    /// Number of requests that wait, over all pools.
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
