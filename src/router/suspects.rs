//! Requests under suspicion run apart from one another, over the whole fleet.
//!
//! The places of a pool are kept by one router, the same for all that see the same fleet. When it
//! does not answer, a suspect runs by its router's own view, which may cost one replica more.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::chat::{no_replica, quarantined};
use super::refusal::Refusal;
use super::replicas::{Chosen, ReplicaQuery};
use super::Router;
use crate::core::ids::ReplicaId;
use crate::core::quarantine::Suspicion;
use crate::core::suspect_reservations::{ReservationOutcome, SuspectRun};
use crate::peer::{PlaceAction, PlaceCall};
use crate::util::lock;

/// Pause before a suspect looks again for a replica without another suspect.
const PLACE_PAUSE: Duration = Duration::from_millis(50);
/// Longest wait for the router that keeps the places.
const PLACE_WAIT: Duration = Duration::from_millis(200);

impl Router {
    /// Chooses a replica for a try; a suspect waits until one is free of other suspects.
    pub(super) async fn start_try(
        &self,
        query: &ReplicaQuery<'_>,
        deadline: Instant,
    ) -> Result<Chosen, Refusal> {
        let mut taken: Vec<ReplicaId> = Vec::new();
        loop {
            if self.replicas.suspicion(query.fingerprint) == Suspicion::Quarantined {
                return Err(quarantined(query.fingerprint));
            }
            let Some(chosen) = self.start_beside(query, &taken) else {
                self.wait_for_place(query, deadline).await?;
                taken.clear();
                continue;
            };
            if !chosen.is_suspect() {
                return Ok(chosen);
            }
            match self.place_suspect(&chosen, PlaceAction::Hold).await {
                ReservationOutcome::Granted => return Ok(chosen),
                ReservationOutcome::ReplicaTaken => {
                    self.replicas.end(&chosen);
                    taken.push(chosen.replica);
                }
                ReservationOutcome::RequestRunning => {
                    self.replicas.end(&chosen);
                    self.wait_for_place(query, deadline).await?;
                }
            }
        }
    }

    /// Counts a try as ended and gives a suspect's place free.
    pub(super) fn end_try(self: &Arc<Self>, chosen: Chosen) {
        self.replicas.end(&chosen);
        if !chosen.is_suspect() {
            return;
        }
        let router = Arc::clone(self);
        tokio::spawn(async move {
            router.place_suspect(&chosen, PlaceAction::Release).await;
        });
    }

    /// Chooses among replicas that are not taken; when all others were tried, one that was tried.
    fn start_beside(&self, query: &ReplicaQuery<'_>, taken: &[ReplicaId]) -> Option<Chosen> {
        let tried = [query.excluded, taken].concat();
        let with_excluded = |excluded| {
            let query = ReplicaQuery {
                excluded,
                ..query.clone()
            };
            self.replicas.start(&query)
        };
        with_excluded(&tried).or_else(|| with_excluded(taken))
    }

    async fn wait_for_place(
        &self,
        query: &ReplicaQuery<'_>,
        deadline: Instant,
    ) -> Result<(), Refusal> {
        let may_wait = self.replicas.suspicion(query.fingerprint) == Suspicion::Suspect
            && self.replicas.has_in_service(query.pool)
            && Instant::now() + PLACE_PAUSE < deadline;
        if !may_wait {
            return Err(no_replica(query.pool));
        }
        tokio::time::sleep(PLACE_PAUSE).await;
        Ok(())
    }

    /// Asks the router that keeps the pool's places.
    async fn place_suspect(&self, chosen: &Chosen, action: PlaceAction) -> ReservationOutcome {
        let call = PlaceCall {
            replica: chosen.replica.clone(),
            run: SuspectRun {
                fingerprint: chosen.fingerprint(),
                router: self.holder(),
            },
            action,
        };
        let Some(keeper) = self.fleet.keeper_of(&chosen.pool) else {
            return self.keep_place(&call);
        };
        let peer = self.borders.network.peer(keeper);
        match tokio::time::timeout(PLACE_WAIT, peer.place_suspect(call)).await {
            Ok(Ok(verdict)) => verdict,
            Ok(Err(_)) | Err(_) => ReservationOutcome::Granted,
        }
    }

    /// Answers as the router that keeps the places.
    pub(super) fn keep_place(&self, call: &PlaceCall) -> ReservationOutcome {
        let mut reservations = lock(&self.suspects);
        reservations.release_routers_where(|router| self.fleet.seems_gone(router));
        match call.action {
            PlaceAction::Hold => {
                reservations.reserve(&call.replica, call.run, self.replicas.now_ms())
            }
            PlaceAction::Release => {
                reservations.release(&call.replica, call.run);
                ReservationOutcome::Granted
            }
        }
    }
}
