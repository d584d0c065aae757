//! Watches this router's network path to the replicas.
//!
//! The path is observed on connections that requests need anyway. Connections are opened only to
//! check it when it is lost, or when requests wait and no replica has sent anything for a time.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use slog::{info, warn, Logger};
use tokio::time::Instant;

use super::metrics::ExchangeMetrics;
use crate::core::ids::ReplicaId;
use crate::core::replica_path::{PathChoice, ReplicaPath};
use crate::util::{lock, millis};

/// Time without a byte from any replica after which waiting requests are a reason to check the path.
const MAX_SILENCE: Duration = Duration::from_millis(600);

/// This router's path to the replicas, and how it is observed.
#[derive(Debug)]
pub(crate) struct PathMonitor {
    started: Instant,
    path: Mutex<ReplicaPath>,
    /// When bytes were last received on a direct connection.
    last_received_ms: AtomicU64,
    /// Requests sent on direct connections that wait for the head of an answer.
    waiting: AtomicUsize,
    metrics: Arc<ExchangeMetrics>,
    log: Logger,
}

impl PathMonitor {
    /// Creates the monitor of a router that knows of no lost path.
    pub(crate) fn new(metrics: Arc<ExchangeMetrics>, log: Logger) -> Self {
        metrics.paths().set_has_path(true);
        Self {
            started: Instant::now(),
            path: Mutex::default(),
            last_received_ms: AtomicU64::new(0),
            waiting: AtomicUsize::new(0),
            metrics,
            log,
        }
    }

    /// Returns false while this router has no path to any replica.
    pub(crate) fn has_path(&self) -> bool {
        lock(&self.path).lost_since_ms().is_none()
    }

    /// Returns how to connect to a replica.
    pub(super) fn choose(&self, replica: &ReplicaId) -> PathChoice {
        lock(&self.path).choose(replica, self.now_ms())
    }

    /// Records that a direct connection to a replica was opened. Returns true if the path to the
    /// replicas was lost until now.
    pub(super) fn record_direct(&self, replica: &ReplicaId) -> bool {
        self.record_received();
        let lost_for_ms = lock(&self.path).record_direct(replica, self.now_ms());
        if let Some(lost_for_ms) = lost_for_ms {
            self.metrics.paths().set_has_path(true);
            info!(self.log, "path to replicas regained"; "replica" => replica.as_str(),
                "lost_for_ms" => lost_for_ms);
        }
        lost_for_ms.is_some()
    }

    /// Records that a replica was reached through another router, but not directly. Returns true if
    /// the path to the replicas is lost since now.
    pub(super) fn record_tunnel(&self, replica: &ReplicaId, router: SocketAddr) -> bool {
        let silent_ms = self.silent_ms();
        let is_lost = lock(&self.path).record_tunnel(replica, self.now_ms(), silent_ms);
        if is_lost {
            self.metrics.paths().set_has_path(false);
            warn!(self.log, "path to replicas lost"; "replica" => replica.as_str(),
                "reached_by" => router.to_string(), "silent_ms" => silent_ms);
        }
        is_lost
    }

    /// Records bytes received on a direct connection.
    pub(crate) fn record_received(&self) {
        self.last_received_ms
            .store(self.now_ms(), Ordering::Relaxed);
    }

    /// Counts a request that waits for an answer on a direct connection until the guard is dropped.
    pub(crate) fn start_waiting(self: &Arc<Self>) -> WaitingRequest {
        if self.waiting.fetch_add(1, Ordering::Relaxed) == 0 {
            // The silence before this request proves nothing.
            self.record_received();
        }
        WaitingRequest(Arc::clone(self))
    }

    /// Returns true if a direct connection that has been idle since a time can be expected to work:
    /// not while the path is lost, unless the connection was used after that.
    pub(crate) fn may_reuse(&self, replica: &ReplicaId, idle_since: Instant) -> bool {
        match self.choose(replica) {
            PathChoice::Direct => true,
            PathChoice::Tunnel { age_ms } => millis(idle_since.elapsed()) < age_ms,
        }
    }

    /// Returns true if the path should be checked: it is lost, or no replica sends anything while
    /// requests wait or a replica was reached only through another router.
    pub(super) fn needs_check(&self) -> bool {
        let is_waiting = self.waiting.load(Ordering::Relaxed) > 0;
        let (is_in_doubt, has_path) = {
            let path = lock(&self.path);
            (path.is_in_doubt(), path.lost_since_ms().is_none())
        };
        !has_path || (is_waiting || is_in_doubt) && self.silent_ms() >= millis(MAX_SILENCE)
    }

    /// Returns the time since bytes were last received on a direct connection, in milliseconds.
    fn silent_ms(&self) -> u64 {
        self.now_ms()
            .saturating_sub(self.last_received_ms.load(Ordering::Relaxed))
    }

    fn now_ms(&self) -> u64 {
        millis(self.started.elapsed())
    }
}

/// A request that waits for the head of an answer on a direct connection.
#[derive(Debug)]
pub(crate) struct WaitingRequest(Arc<PathMonitor>);

impl Drop for WaitingRequest {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}
