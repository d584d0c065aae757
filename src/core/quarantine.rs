//! Requests that crash the replicas they run on.
//!
//! Routers tell one another which requests were in progress on each crashed replica. A suspect
//! runs apart from other suspects, so that its next crash tells them apart: from then on a request
//! that crashed a replica as the only suspect there, and that alone explains all its crashes, is
//! quarantined.

use std::collections::BTreeMap;
use std::fmt;
use std::hash::Hasher;

use serde::{Deserialize, Serialize};
use twox_hash::XxHash64;

use super::ids::{ReplicaId, TeamId};

/// Crashes from which on a request can be quarantined.
const CRASHES_TO_QUARANTINE: usize = 2;
/// Requests remembered; the oldest are dropped beyond this number.
const MAX_REQUESTS: usize = 1_024;

/// Digest of a request's team and content, the same whichever router gets it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Digests a request.
    #[must_use]
    pub fn new(team: &TeamId, content: &[u8]) -> Self {
        let mut hasher = XxHash64::with_seed(0);
        hasher.write(team.as_str().as_bytes());
        hasher.write_u8(0);
        hasher.write(content);
        Self(hasher.finish())
    }

    /// Digests a request by its parts in order.
    ///
    /// ```
    /// use currantlever::Fingerprint;
    /// let of = |parts: &[&[u8]]| Fingerprint::from_parts(parts);
    /// assert_eq!(of(&[b"POST", b"/x"]), of(&[b"POST", b"/x"]));
    /// assert_ne!(of(&[b"POST", b"/x"]), of(&[b"POST/", b"x"]));
    /// ```
    #[must_use]
    pub fn from_parts(parts: &[&[u8]]) -> Self {
        let mut hasher = XxHash64::with_seed(0);
        for part in parts {
            hasher.write_u64(part.len() as u64);
            hasher.write(part);
        }
        Self(hasher.finish())
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// How far a request is under suspicion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Suspicion {
    /// It was on no crashed replica.
    Clear,
    /// It was on a crashed replica and must run apart from other suspects.
    Suspect,
    /// It is the one explanation of two crashes or more and must not run.
    Quarantined,
}

/// The crashes known to one router.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    crashes: BTreeMap<Fingerprint, BTreeMap<ReplicaId, bool>>,
    order: Vec<Fingerprint>,
}

impl Quarantine {
    /// Nothing known yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that a request was in progress on a replica that crashed, and whether it ran there
    /// as the only suspect. Repeats change nothing.
    pub fn record(&mut self, fingerprint: Fingerprint, replica: ReplicaId, alone: bool) {
        if !self.crashes.contains_key(&fingerprint) {
            self.order.push(fingerprint);
        }
        let replicas = self.crashes.entry(fingerprint).or_default();
        *replicas.entry(replica).or_default() |= alone;
        if self.order.len() > MAX_REQUESTS {
            let oldest = self.order.remove(0);
            self.crashes.remove(&oldest);
        }
    }

    /// Clears a request that ran to its end.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        if self.suspicion(fingerprint) == Suspicion::Suspect {
            self.crashes.remove(&fingerprint);
            self.order.retain(|known| *known != fingerprint);
        }
    }

    /// How far a request is under suspicion.
    #[must_use]
    pub fn suspicion(&self, fingerprint: Fingerprint) -> Suspicion {
        let Some(replicas) = self.crashes.get(&fingerprint) else {
            return Suspicion::Clear;
        };
        let was_alone = replicas.values().any(|alone| *alone);
        if replicas.len() < CRASHES_TO_QUARANTINE || !was_alone {
            return Suspicion::Suspect;
        }
        let explains_all = |(other, others): (&Fingerprint, &BTreeMap<ReplicaId, bool>)| {
            *other != fingerprint && replicas.keys().all(|replica| others.contains_key(replica))
        };
        if self.crashes.iter().any(explains_all) {
            return Suspicion::Suspect;
        }
        Suspicion::Quarantined
    }

    /// All crashes known, to tell peers.
    pub fn reports(&self) -> impl Iterator<Item = (Fingerprint, &ReplicaId, bool)> {
        self.crashes.iter().flat_map(|(fingerprint, replicas)| {
            replicas
                .iter()
                .map(move |(replica, alone)| (*fingerprint, replica, *alone))
        })
    }
}
