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
use crate::core::ids::{ReplicaId, ReplicaVersion};
use crate::store::health::{LastOutage, StoreHealth};
use crate::util::{lock, millis};

/// Time after an outage within which expired entries are registered again, as the platform
/// specifies.
const REGISTRATION_GRACE: Duration = Duration::from_millis(2_300);
/// Time in which the entry of a replica that has ended expires.
const EXPIRY_TIME: Duration = Duration::from_secs(6);
/// Time for which a departed incarnation is remembered, so that a stale entry does not put it back
/// in service.
const DEPARTED_RETENTION: Duration = Duration::from_secs(60);

/// Reason to remove a replica whose entry may have expired in an outage and did not return.
const NOT_REGISTERED: &str = "entry was not registered again in time";
/// Reason to remove a replica that was kept for a supposed outage.
const NO_OUTAGE: &str = "the store answered other routers when the entry was removed";

#[derive(Debug, Default)]
struct State {
    /// Replicas whose entries have expired, with the end of the grace period.
    missing: HashMap<ReplicaId, Instant>,
    /// Incarnations that reported that they were leaving and whose entries were then removed, with
    /// the time of removal.
    departed: HashMap<ReplicaId, (Incarnation, Instant)>,
    /// Incarnations whose entries were removed although they had not reported that they were
    /// leaving, with the time of removal.
    removed: HashMap<ReplicaId, (Incarnation, Instant)>,
    /// Entries of such incarnations that a copy of the store has brought back, with the time until
    /// which they are held back.
    held_back: HashMap<ReplicaId, (ReplicaEntry, Instant)>,
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
        let is_of_copy = state
            .removed
            .get(&entry.id)
            .is_some_and(|(incarnation, since)| {
                incarnation.born_ms == entry.born_ms
                    && self.store_health.has_era_changed_since(*since)
            });
        if is_of_copy {
            let end = now + EXPIRY_TIME;
            let held_back = state.held_back.entry(entry.id.clone());
            held_back.or_insert_with(|| (entry.clone(), end)).0 = entry.clone();
            info!(self.log, "entry of a removed replica is back; held back for now";
                "replica" => entry.id.as_str(), "born_ms" => entry.born_ms);
            return;
        }
        state.removed.remove(&entry.id);
        drop(state);
        self.update_pools(entry);
    }

    fn update_pools(&self, entry: &ReplicaEntry) {
        if self.pools.upsert_replica(entry) {
            let born_ms = entry.born_ms;
            self.server_crashes
                .apply_entry(&entry.id, Incarnation { born_ms });
            info!(self.log, "replica added or updated"; "replica" => entry.id.as_str(),
                "pool" => entry.pool.as_str(), "address" => entry.address.to_string(),
                "draining" => entry.is_draining, "born_ms" => entry.born_ms,
                "version" => entry.version.as_ref().map(ReplicaVersion::as_str));
        }
    }

    /// Applies the removal of an entry.
    pub(crate) fn apply_removed(&self, id: &ReplicaId, now: Instant) {
        let mut state = lock(&self.state);
        state.held_back.remove(id);
        if let Some(incarnation) = self.pools.leaving_incarnation(id) {
            state.departed.insert(id.clone(), (incarnation, now));
        } else if let Some(deadline) = registration_deadline(self.store_health.last_outage(), now) {
            state.missing.entry(id.clone()).or_insert(deadline);
            info!(self.log, "entry expired; kept for now"; "replica" => id.as_str(),
                "left_ms" => millis(deadline - now));
            return;
        }
        state.missing.remove(id);
        if let Some(incarnation) = self.pools.incarnation(id) {
            state.removed.insert(id.clone(), (incarnation, now));
        }
        drop(state);
        self.remove_from_pools(id, "entry removed");
    }

    /// Removes replicas whose grace period is over, and all that were kept if it turns out that the
    /// store answered other routers meanwhile, so that nothing expired.
    pub(crate) fn remove_expired(&self, now: Instant) {
        let was_outage = self.store_health.last_outage() != LastOutage::Disproved;
        let expired: Vec<ReplicaId> = {
            let state = lock(&self.state);
            let expired = state
                .missing
                .iter()
                .filter(|(_, deadline)| **deadline <= now || !was_outage);
            expired.map(|(id, _)| id.clone()).collect()
        };
        for id in expired {
            lock(&self.state).missing.remove(&id);
            let reason = if was_outage {
                NOT_REGISTERED
            } else {
                NO_OUTAGE
            };
            self.remove_from_pools(&id, reason);
        }
        for entry in self.take_confirmed(now) {
            self.update_pools(&entry);
        }
    }

    /// Removes and returns the entries that have not expired while they were held back, so their
    /// replicas live.
    fn take_confirmed(&self, now: Instant) -> Vec<ReplicaEntry> {
        let mut state = lock(&self.state);
        state
            .removed
            .retain(|_, (_, since)| now - *since < DEPARTED_RETENTION);
        let mut confirmed = Vec::new();
        let State {
            held_back, removed, ..
        } = &mut *state;
        held_back.retain(|id, (entry, end)| {
            let is_confirmed = *end <= now;
            if is_confirmed {
                removed.remove(id);
                confirmed.push(entry.clone());
            }
            !is_confirmed
        });
        confirmed
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
fn registration_deadline(last_outage: LastOutage, now: Instant) -> Option<Instant> {
    let LastOutage::At(end) = last_outage else {
        return None;
    };
    let deadline = end + REGISTRATION_GRACE;
    (deadline > now).then_some(deadline)
}
