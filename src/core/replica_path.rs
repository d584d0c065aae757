//! What a router knows of its own network path to the replicas.
//!
//! A connection that fails does not tell a replica that is down from a path that is cut. The
//! difference is that another router still reaches the replica. Such an observation blocks the
//! direct path to that replica for a time; several of them, with no direct connection opened in
//! between while no replica sends anything, show that this router has no path to any replica.

use std::collections::HashMap;

use super::ids::ReplicaId;

/// Replicas reached only through other routers, with no direct connection opened since, from which
/// on the path to all replicas counts as lost.
const LOST_PATH_REPLICAS: usize = 2;
/// Time without a byte from any replica from which on these observations count for all replicas.
const MIN_SILENCE_MS: u64 = 250;
/// Time for which a replica that was reached only through another router is not tried directly.
const RETRY_DIRECT_AFTER_MS: u64 = 1_000;

/// How to connect to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathChoice {
    /// Directly, and through another router if that fails.
    Direct,
    /// Through another router.
    Tunnel {
        /// Age of the observation that the direct path does not work, in milliseconds.
        age_ms: u64,
    },
}

/// What this router knows of its path to the replicas.
#[derive(Clone, Debug, Default)]
pub struct ReplicaPath {
    /// When replicas were last reached only through another router.
    blocked_ms: HashMap<ReplicaId, u64>,
    /// When the path to all replicas was lost; `None` while there is one.
    lost_since_ms: Option<u64>,
}

impl ReplicaPath {
    /// Creates the state of a router that knows of no lost path.
    ///
    /// ```
    /// use currantlever::{PathChoice, ReplicaId, ReplicaPath};
    /// let (first, second) = (ReplicaId::new("a").unwrap(), ReplicaId::new("b").unwrap());
    /// let mut path = ReplicaPath::new();
    /// assert!(!path.record_tunnel(&first, 10, 400));
    /// assert!(path.record_tunnel(&second, 20, 410));
    /// assert_eq!(path.choose(&first, 5_020), PathChoice::Tunnel { age_ms: 5_000 });
    /// assert_eq!(path.record_direct(&second, 6_000), Some(5_980));
    /// assert_eq!(path.choose(&first, 6_000), PathChoice::Direct);
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a replica was reached through another router, but not directly, when no replica
    /// had sent anything for `silent_ms`. Returns true if the path to all replicas is lost since now.
    pub fn record_tunnel(&mut self, replica: &ReplicaId, now_ms: u64, silent_ms: u64) -> bool {
        self.blocked_ms.insert(replica.clone(), now_ms);
        let is_lost = self.blocked_ms.len() >= LOST_PATH_REPLICAS && silent_ms >= MIN_SILENCE_MS;
        if self.lost_since_ms.is_some() || !is_lost {
            return false;
        }
        self.lost_since_ms = Some(now_ms);
        true
    }

    /// Records that a direct connection to a replica was opened. Returns for how many milliseconds
    /// there was no path, if there was none.
    pub fn record_direct(&mut self, replica: &ReplicaId, now_ms: u64) -> Option<u64> {
        let lost_since_ms = self.lost_since_ms.take();
        if lost_since_ms.is_some() {
            self.blocked_ms.clear();
        } else {
            self.blocked_ms.remove(replica);
            self.blocked_ms
                .retain(|_, blocked_ms| now_ms.saturating_sub(*blocked_ms) < RETRY_DIRECT_AFTER_MS);
        }
        lost_since_ms.map(|since_ms| now_ms.saturating_sub(since_ms))
    }

    /// Returns how to connect to a replica.
    #[must_use]
    pub fn choose(&self, replica: &ReplicaId, now_ms: u64) -> PathChoice {
        if let Some(since_ms) = self.lost_since_ms {
            return PathChoice::Tunnel {
                age_ms: now_ms.saturating_sub(since_ms),
            };
        }
        let age_ms = self
            .blocked_ms
            .get(replica)
            .map(|blocked_ms| now_ms.saturating_sub(*blocked_ms));
        match age_ms {
            Some(age_ms) if age_ms < RETRY_DIRECT_AFTER_MS => PathChoice::Tunnel { age_ms },
            _ => PathChoice::Direct,
        }
    }

    /// Returns true if replicas were reached only through other routers and no direct connection was
    /// opened since.
    #[must_use]
    pub fn is_in_doubt(&self) -> bool {
        !self.blocked_ms.is_empty()
    }

    /// Returns when the path to all replicas was lost; `None` while there is one.
    #[must_use]
    pub const fn lost_since_ms(&self) -> Option<u64> {
        self.lost_since_ms
    }
}
