//! Reservations of replicas for suspect requests.
//!
//! If suspects of two routers ran on the same replica, a crash there could not be attributed to
//! either. One router of the fleet therefore keeps the reservations of a pool, so that a suspect
//! never shares a replica with another suspect and runs on one replica at a time.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::ids::{HolderId, ReplicaId};
use super::quarantine::Fingerprint;

/// Time after which a reservation that was not released expires, in milliseconds.
const MAX_RESERVATION_MS: u64 = 60_000;

/// One run of a suspect request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SuspectRun {
    /// Digest of the request's team and content.
    pub fingerprint: Fingerprint,
    /// The router that runs the request.
    pub router: HolderId,
}

/// Result of reserving a replica for a suspect request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReservationOutcome {
    /// The replica is reserved until it is released.
    Granted,
    /// The replica is reserved for another run.
    ReplicaTaken,
    /// The same request has a reservation on another replica, by any router.
    RequestRunning,
}

#[derive(Clone, Debug)]
struct SuspectReservation {
    run: SuspectRun,
    expires_ms: u64,
}

/// Reservations for suspect requests that one router keeps.
#[derive(Clone, Debug, Default)]
pub struct SuspectReservations {
    reservations: BTreeMap<ReplicaId, SuspectReservation>,
}

impl SuspectReservations {
    /// Creates an empty set of reservations.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Reserves a replica for a run unless another run has it; repeated calls renew it.
    ///
    /// ```
    /// use currantlever::{Fingerprint, HolderId, ReplicaId, SuspectRun};
    /// use currantlever::{ReservationOutcome, SuspectReservations};
    ///
    /// let replica = ReplicaId::new("assistant-1").unwrap();
    /// let run = |text: &str| SuspectRun {
    ///     fingerprint: Fingerprint::new(&"team".parse().unwrap(), text.as_bytes()),
    ///     router: HolderId::new(1),
    /// };
    /// let mut reservations = SuspectReservations::new();
    /// assert_eq!(reservations.reserve(&replica, run("one"), 0), ReservationOutcome::Granted);
    /// assert_eq!(reservations.reserve(&replica, run("two"), 5), ReservationOutcome::ReplicaTaken);
    /// reservations.release(&replica, run("one"));
    /// assert_eq!(reservations.reserve(&replica, run("two"), 9), ReservationOutcome::Granted);
    /// ```
    pub fn reserve(
        &mut self,
        replica: &ReplicaId,
        run: SuspectRun,
        now_ms: u64,
    ) -> ReservationOutcome {
        self.reservations
            .retain(|_, reservation| reservation.expires_ms > now_ms);
        if let Some(reservation) = self.reservations.get(replica) {
            if reservation.run != run {
                return ReservationOutcome::ReplicaTaken;
            }
        }
        let runs_elsewhere = |(other, reservation): (&ReplicaId, &SuspectReservation)| {
            other != replica && reservation.run.fingerprint == run.fingerprint
        };
        if self.reservations.iter().any(runs_elsewhere) {
            return ReservationOutcome::RequestRunning;
        }
        let expires_ms = now_ms.saturating_add(MAX_RESERVATION_MS);
        self.reservations
            .insert(replica.clone(), SuspectReservation { run, expires_ms });
        ReservationOutcome::Granted
    }

    /// Releases a replica if it is reserved for the run.
    pub fn release(&mut self, replica: &ReplicaId, run: SuspectRun) {
        if self
            .reservations
            .get(replica)
            .is_some_and(|reservation| reservation.run == run)
        {
            self.reservations.remove(replica);
        }
    }

    /// Releases all reservations of routers for which `is_gone` returns true.
    pub fn release_routers_where<F>(&mut self, is_gone: F)
    where
        F: Fn(HolderId) -> bool,
    {
        self.reservations
            .retain(|_, reservation| !is_gone(reservation.run.router));
    }
}
