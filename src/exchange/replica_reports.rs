//! What routers report to one another on replicas: their load, status and rate limits.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::limits::{LimitReport, ReplicaKey};
use super::members::ReplicaLoadReport;
use super::pools::Pools;
use crate::core::ids::ReplicaId;
use crate::util::lock;

/// A replica's status as reported to other routers in a hello.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ReplicaStatusReport {
    /// Short digest of the replica's id.
    pub replica: u32,
    /// Start of its incarnation.
    pub born_ms: Option<u64>,
    /// True if the replica is leaving.
    pub is_leaving: bool,
    /// Rest of the back-off that it requested from the reporting router, in milliseconds.
    pub backoff_ms: u32,
}

impl Pools {
    /// Returns the load that this router puts on replicas, for hellos.
    pub(crate) fn load_reports(&self) -> Vec<ReplicaLoadReport> {
        let state = lock(&self.state);
        let mut loads = Vec::new();
        for pool in state.pools.values() {
            for (candidate, replica) in pool.candidates.iter().zip(&pool.replicas) {
                if candidate.own_load.requests > 0 {
                    loads.push(ReplicaLoadReport::new(replica.digest, candidate.own_load));
                }
            }
        }
        loads
    }

    /// Returns the status that replicas reported to this router, for hellos.
    pub(crate) fn status_reports(&self) -> Vec<ReplicaStatusReport> {
        let now_ms = self.now_ms();
        let state = lock(&self.state);
        let mut status_reports = Vec::new();
        for pool in state.pools.values() {
            for (candidate, replica) in pool.candidates.iter().zip(&pool.replicas) {
                let backoff_ms = candidate.backoff_left_ms(now_ms);
                if replica.has_reported_leaving || backoff_ms > 0 {
                    status_reports.push(ReplicaStatusReport {
                        replica: replica.digest,
                        born_ms: replica.born_ms,
                        is_leaving: replica.has_reported_leaving,
                        backoff_ms: u32::try_from(backoff_ms).unwrap_or(u32::MAX),
                    });
                }
            }
        }
        status_reports
    }

    /// Applies the status that replicas reported to another router. Returns those that were not
    /// known to be leaving.
    pub(crate) fn apply_status_reports(
        &self,
        status_reports: &[ReplicaStatusReport],
    ) -> Vec<ReplicaId> {
        let mut leaving = Vec::new();
        if status_reports.is_empty() {
            return leaving;
        }
        let now_ms = self.now_ms();
        let mut state = lock(&self.state);
        for pool in state.pools.values_mut() {
            for (candidate, replica) in pool.candidates.iter_mut().zip(&pool.replicas) {
                let concerns_replica = |replica_status: &&ReplicaStatusReport| {
                    (replica_status.replica, replica_status.born_ms)
                        == (replica.digest, replica.born_ms)
                };
                let Some(replica_status) = status_reports.iter().find(concerns_replica) else {
                    continue;
                };
                if replica_status.backoff_ms > 0 {
                    candidate.record_backoff_hint(now_ms, u64::from(replica_status.backoff_ms));
                }
                if replica_status.is_leaving && !candidate.is_leaving {
                    candidate.is_leaving = true;
                    leaving.push(candidate.id.clone());
                }
            }
        }
        leaving
    }

    /// Applies what another router knows of replicas' rate limits.
    pub(crate) fn apply_limit_reports(&self, router: SocketAddr, reports: &[LimitReport]) {
        for report in reports {
            // Only listed replicas can be chosen.
            if let Some(id) = self.id_of(report.key) {
                self.limits.apply_report(router, id.as_str(), report);
            }
        }
    }

    fn id_of(&self, key: ReplicaKey) -> Option<ReplicaId> {
        let state = lock(&self.state);
        state.pools.values().find_map(|pool| {
            let index = pool
                .replicas
                .iter()
                .position(|replica| replica.key() == key)?;
            Some(pool.candidates[index].id.clone())
        })
    }
}
