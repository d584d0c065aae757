//! Fleet-wide isolation of suspects: at most one request suspected of crashing replicas runs on a
//! replica at a time.
//!
//! One router, the coordinator, keeps the reservations of a pool's replicas for suspects; routers
//! with the same membership view pick the same coordinator. When it does not answer, a suspect runs
//! by its router's local view, which may crash one more replica.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::chat::{no_replica, quarantined};
use super::refusal::Refusal;
use super::replicas::{ChosenReplica, ReplicaQuery};
use super::Router;
use crate::core::ids::ReplicaId;
use crate::core::quarantine::Suspicion;
use crate::core::suspect_reservations::{ReservationOutcome, SuspectRun};
use crate::peer::{ReservationAction, ReservationCall};
use crate::util::lock;

/// Delay before a suspect retries to get a replica without another suspect.
const ISOLATION_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Timeout of a call to the coordinator.
const COORDINATOR_TIMEOUT: Duration = Duration::from_millis(200);

impl Router {
    /// Chooses a replica for an attempt; a suspect waits for one that runs no other suspect.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the request is quarantined, or when no replica is available before
    /// the deadline.
    pub(super) async fn start_attempt(
        &self,
        query: &ReplicaQuery<'_>,
        deadline: Instant,
    ) -> Result<ChosenReplica, Refusal> {
        let mut taken: Vec<ReplicaId> = Vec::new();
        loop {
            if self.replicas.suspicion(query.fingerprint) == Suspicion::Quarantined {
                return Err(quarantined(query.fingerprint));
            }
            let Some(chosen) = self.start_excluding(query, &taken) else {
                self.wait_for_isolation(query, deadline).await?;
                taken.clear();
                continue;
            };
            if !chosen.is_suspect() {
                return Ok(chosen);
            }
            match self
                .call_coordinator(&chosen, ReservationAction::Hold)
                .await
            {
                ReservationOutcome::Granted => return Ok(chosen),
                ReservationOutcome::ReplicaTaken => {
                    self.replicas.end(&chosen);
                    taken.push(chosen.replica);
                }
                ReservationOutcome::RequestRunning => {
                    self.replicas.end(&chosen);
                    self.wait_for_isolation(query, deadline).await?;
                }
            }
        }
    }

    /// Counts an attempt as ended and releases a suspect's reservation.
    pub(super) fn end_attempt(self: &Arc<Self>, chosen: ChosenReplica) {
        self.replicas.end(&chosen);
        if !chosen.is_suspect() {
            return;
        }
        let router = Arc::clone(self);
        tokio::spawn(async move {
            router
                .call_coordinator(&chosen, ReservationAction::Release)
                .await;
        });
    }

    /// Chooses a replica that is not taken, preferring those not tried in earlier attempts.
    fn start_excluding(
        &self,
        query: &ReplicaQuery<'_>,
        taken: &[ReplicaId],
    ) -> Option<ChosenReplica> {
        let tried_or_taken = [query.excluded, taken].concat();
        let choose_avoiding = |excluded| {
            let query = ReplicaQuery {
                excluded,
                ..query.clone()
            };
            self.replicas.start(&query)
        };
        choose_avoiding(&tried_or_taken).or_else(|| choose_avoiding(taken))
    }

    async fn wait_for_isolation(
        &self,
        query: &ReplicaQuery<'_>,
        deadline: Instant,
    ) -> Result<(), Refusal> {
        let may_wait = self.replicas.suspicion(query.fingerprint) == Suspicion::Suspect
            && self.replicas.has_in_service(query.pool)
            && Instant::now() + ISOLATION_RETRY_DELAY < deadline;
        if !may_wait {
            return Err(no_replica(query.pool));
        }
        tokio::time::sleep(ISOLATION_RETRY_DELAY).await;
        Ok(())
    }

    /// Sends a reservation call to the pool's coordinator, which may be this router.
    ///
    /// The reservation counts as granted when the coordinator does not answer.
    async fn call_coordinator(
        &self,
        chosen: &ChosenReplica,
        action: ReservationAction,
    ) -> ReservationOutcome {
        let call = ReservationCall {
            replica: chosen.replica.clone(),
            run: SuspectRun {
                fingerprint: chosen.fingerprint(),
                router: self.holder(),
            },
            action,
        };
        let Some(coordinator) = self.fleet.coordinator_of(&chosen.pool) else {
            return self.handle_reservation_call(&call);
        };
        let peer = self.external_systems.network.peer(coordinator);
        match tokio::time::timeout(COORDINATOR_TIMEOUT, peer.reserve_replica(call)).await {
            Ok(Ok(verdict)) => verdict,
            Ok(Err(_)) | Err(_) => ReservationOutcome::Granted,
        }
    }

    /// Handles a reservation call as the coordinator, after releasing the reservations of failed
    /// routers.
    pub(super) fn handle_reservation_call(&self, call: &ReservationCall) -> ReservationOutcome {
        let mut reservations = lock(&self.suspects);
        reservations.release_routers_where(|router| self.fleet.is_presumed_failed(router));
        match call.action {
            ReservationAction::Hold => {
                reservations.reserve(&call.replica, call.run, self.replicas.now_ms())
            }
            ReservationAction::Release => {
                reservations.release(&call.replica, call.run);
                ReservationOutcome::Granted
            }
        }
    }
}
