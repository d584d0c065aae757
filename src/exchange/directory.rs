//! Updates the pools from the replicas' entries in the store.
//!
//! Entries expire while the store cannot be written. An entry that is missing right after an outage
//! therefore does not prove that its replica ended: the replica stays in service for a grace period
//! in which it can register again.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use slog::{info, Logger};
use tokio::time::Instant;

use super::pools::{Incarnation, Pools, ReplicaEntry};
use super::server_crashes::ServerCrashes;
use crate::core::ids::ReplicaId;
use crate::store::health::StoreHealth;
use crate::util::lock;

/// Time after an outage within which expired entries are registered again, as the platform
/// specifies.
const REGISTRATION_GRACE: Duration = Duration::from_millis(2_300);
/// Time for which a departed incarnation is remembered, so that a stale entry does not put it back
/// in service.
const DEPARTED_RETENTION: Duration = Duration::from_secs(60);

#[derive(Debug, Default)]
struct State {
    /// Replicas whose entries have expired, with the end of the grace period.
    missing: HashMap<ReplicaId, Instant>,
    /// Incarnations that reported that they were leaving and whose entries were then removed, with
    /// the time of removal.
    departed: HashMap<ReplicaId, (Incarnation, Instant)>,
}

/// Tracks the replicas' entries of the store.
#[derive(Debug)]
pub(crate) struct Directory {
    pools: Arc<Pools>,
    server_crashes: Arc<ServerCrashes>,
    store_health: Arc<StoreHealth>,
    log: Logger,
    state: Mutex<State>,
}

impl Directory {
    /// Creates a directory without entries.
    pub(crate) fn new(
        pools: Arc<Pools>,
        server_crashes: Arc<ServerCrashes>,
        store_health: Arc<StoreHealth>,
        log: Logger,
    ) -> Self {
        Self {
            pools,
            server_crashes,
            store_health,
            log,
            state: Mutex::default(),
        }
    }

    /// Applies a new or changed entry.
    pub(crate) fn apply_entry(&self, entry: &ReplicaEntry, now: Instant) {
        let mut state = lock(&self.state);
        state
            .departed
            .retain(|_, (_, since)| now - *since < DEPARTED_RETENTION);
        let has_departed = state
            .departed
            .get(&entry.id)
            .is_some_and(|(incarnation, _)| incarnation.born_ms == entry.born_ms);
        if has_departed {
            return;
        }
        state.missing.remove(&entry.id);
        drop(state);
        if self.pools.upsert_replica(entry) {
            let born_ms = entry.born_ms;
            self.server_crashes
                .apply_entry(&entry.id, Incarnation { born_ms });
            info!(self.log, "replica added or updated"; "replica" => entry.id.as_str(),
                "pool" => entry.pool.as_str(), "address" => entry.address.to_string(),
                "draining" => entry.is_draining, "born_ms" => entry.born_ms);
        }
    }

    /// Applies the removal of an entry.
    pub(crate) fn apply_removed(&self, id: &ReplicaId, now: Instant) {
        let mut state = lock(&self.state);
        if let Some(incarnation) = self.pools.leaving_incarnation(id) {
            state.departed.insert(id.clone(), (incarnation, now));
        } else if let Some(deadline) = registration_deadline(self.store_health.last_outage(), now) {
            state.missing.entry(id.clone()).or_insert(deadline);
            info!(self.log, "entry expired; kept for now"; "replica" => id.as_str());
            return;
        }
        state.missing.remove(id);
        drop(state);
        self.remove_from_pools(id, "entry removed");
    }

    /// Removes replicas whose grace period is over.
    pub(crate) fn remove_expired(&self, now: Instant) {
        let expired: Vec<ReplicaId> = {
            let state = lock(&self.state);
            let expired = state
                .missing
                .iter()
                .filter(|(_, deadline)| **deadline <= now);
            expired.map(|(id, _)| id.clone()).collect()
        };
        for id in expired {
            lock(&self.state).missing.remove(&id);
            self.remove_from_pools(&id, "entry was not registered again in time");
        }
    }

    fn remove_from_pools(&self, id: &ReplicaId, reason: &str) {
        if self.pools.leaving_incarnation(id).is_none() {
            self.server_crashes.apply_removed(id);
        }
        if self.pools.remove_replica(id) {
            info!(self.log, "replica removed"; "replica" => id.as_str(), "reason" => reason);
        }
    }
}

/// Returns the end of the grace period for a missing entry, if there was a recent outage.
fn registration_deadline(last_outage: Option<Instant>, now: Instant) -> Option<Instant> {
    let deadline = last_outage? + REGISTRATION_GRACE;
    (deadline > now).then_some(deadline)
}
