//! Which replica is kept for which request under suspicion.
//!
//! Two suspects of different routers on one replica would share its crash, and nothing would tell
//! them apart. One router of the fleet keeps the places of a pool, so that a suspect runs apart
//! from all others, and on one replica at a time.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::ids::{HolderId, ReplicaId};
use super::quarantine::Fingerprint;

/// Longest time for which a place is kept without its release, in milliseconds.
const HOLD_MS: u64 = 60_000;

/// One run of a request under suspicion.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SuspectRun {
    /// Digest of the request's content.
    pub fingerprint: Fingerprint,
    /// The router that runs it.
    pub router: HolderId,
}

/// Whether a suspect may run on a replica now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlaceVerdict {
    /// It may: no other suspect gets the replica until it is released.
    Granted,
    /// Another suspect is on the replica.
    ReplicaTaken,
    /// The same request is running on another replica or for another router.
    RequestRunning,
}

#[derive(Clone, Debug)]
struct Place {
    run: SuspectRun,
    until_ms: u64,
}

/// The places of suspects that one router keeps.
#[derive(Clone, Debug, Default)]
pub struct SuspectPlaces {
    places: BTreeMap<ReplicaId, Place>,
}

impl SuspectPlaces {
    /// No places kept.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Keeps a replica for a run, if no other suspect has it. Repeats are granted again.
    ///
    /// ```
    /// use currantlever::{Fingerprint, HolderId, PlaceVerdict, ReplicaId, SuspectPlaces, SuspectRun};
    ///
    /// let replica = ReplicaId::new("assistant-1").unwrap();
    /// let run = |text: &str| SuspectRun {
    ///     fingerprint: Fingerprint::new(&"team".parse().unwrap(), text.as_bytes()),
    ///     router: HolderId::new(1),
    /// };
    /// let mut places = SuspectPlaces::new();
    /// assert_eq!(places.hold(&replica, run("one"), 0), PlaceVerdict::Granted);
    /// assert_eq!(places.hold(&replica, run("two"), 5), PlaceVerdict::ReplicaTaken);
    /// places.release(&replica, run("one"));
    /// assert_eq!(places.hold(&replica, run("two"), 9), PlaceVerdict::Granted);
    /// ```
    pub fn hold(&mut self, replica: &ReplicaId, run: SuspectRun, now_ms: u64) -> PlaceVerdict {
        self.places.retain(|_, place| place.until_ms > now_ms);
        if let Some(place) = self.places.get(replica) {
            if place.run != run {
                return PlaceVerdict::ReplicaTaken;
            }
        }
        let is_elsewhere = |(at, place): (&ReplicaId, &Place)| {
            at != replica && place.run.fingerprint == run.fingerprint
        };
        if self.places.iter().any(is_elsewhere) {
            return PlaceVerdict::RequestRunning;
        }
        let until_ms = now_ms.saturating_add(HOLD_MS);
        self.places.insert(replica.clone(), Place { run, until_ms });
        PlaceVerdict::Granted
    }

    /// Gives a replica free again, if that run has it.
    pub fn release(&mut self, replica: &ReplicaId, run: SuspectRun) {
        if self
            .places
            .get(replica)
            .is_some_and(|place| place.run == run)
        {
            self.places.remove(replica);
        }
    }

    /// Gives all places of routers free that are gone.
    pub fn release_where<F>(&mut self, is_gone: F)
    where
        F: Fn(HolderId) -> bool,
    {
        self.places.retain(|_, place| !is_gone(place.run.router));
    }
}
