//! Fleet-wide isolation of suspects: at most one request suspected of crashing replicas runs on a
//! replica at a time.
//!
//! One router coordinates the isolation locks of a pool; routers with the same membership view
//! pick the same coordinator. When it does not answer, a suspect runs by its router's local view,
//! which may crash one more replica.

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
use crate::peer::{PlaceAction, PlaceCall};
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
            match self.request_isolation(&chosen, PlaceAction::Hold).await {
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

    /// Counts an attempt as ended and releases a suspect's isolation lock.
    pub(super) fn end_attempt(self: &Arc<Self>, chosen: ChosenReplica) {
        self.replicas.end(&chosen);
        if !chosen.is_suspect() {
            return;
        }
        let router = Arc::clone(self);
        tokio::spawn(async move {
            router
                .request_isolation(&chosen, PlaceAction::Release)
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

    /// Sends a lock request to the pool's coordinator, which may be this router.
    ///
    /// The lock counts as granted when the coordinator does not answer.
    async fn request_isolation(
        &self,
        chosen: &ChosenReplica,
        action: PlaceAction,
    ) -> ReservationOutcome {
        let call = PlaceCall {
            replica: chosen.replica.clone(),
            run: SuspectRun {
                fingerprint: chosen.fingerprint(),
                router: self.holder(),
            },
            action,
        };
        let Some(coordinator) = self.fleet.keeper_of(&chosen.pool) else {
            return self.keep_place(&call);
        };
        let peer = self.borders.network.peer(coordinator);
        match tokio::time::timeout(COORDINATOR_TIMEOUT, peer.place_suspect(call)).await {
            Ok(Ok(verdict)) => verdict,
            Ok(Err(_)) | Err(_) => ReservationOutcome::Granted,
        }
    }

    /// Handles a lock request as the coordinator, releasing the locks of routers that seem gone first.
    pub(super) fn keep_place(&self, call: &PlaceCall) -> ReservationOutcome {
        let mut locks = lock(&self.suspects);
        locks.release_routers_where(|router| self.fleet.seems_gone(router));
        match call.action {
            PlaceAction::Hold => locks.reserve(&call.replica, call.run, self.replicas.now_ms()),
            PlaceAction::Release => {
                locks.release(&call.replica, call.run);
                ReservationOutcome::Granted
            }
        }
    }
}
