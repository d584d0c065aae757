//! Keeps the pools up with the replicas' entries in the store.
//!
//! Entries lapse when the store cannot be written, so an entry that is gone right after an outage
//! proves little: its replica stays in service for a short time, within which it comes back.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use slog::{info, Logger};
use tokio::time::Instant;

use super::pools::{Incarnation, Pools, ReplicaEntry};
use super::server_ends::ServerEnds;
use crate::core::ids::ReplicaId;
use crate::store::health::StoreHealth;
use crate::util::lock;

/// Time after an outage within which lapsed entries come back, by the platform's word.
const RETURN_TIME: Duration = Duration::from_millis(2_300);
/// Time for which an incarnation that left is remembered, so that an old entry does not bring it
/// back.
const LEFT_MEMORY: Duration = Duration::from_secs(60);

#[derive(Debug, Default)]
struct State {
    /// Replicas whose entries may come back until then.
    missing: HashMap<ReplicaId, Instant>,
    /// Incarnations that said that they leave and did, with the time of that.
    left: HashMap<ReplicaId, (Incarnation, Instant)>,
}

/// The replicas' entries as this router knows them.
#[derive(Debug)]
pub(crate) struct Directory {
    pools: Arc<Pools>,
    server_ends: Arc<ServerEnds>,
    store_health: Arc<StoreHealth>,
    log: Logger,
    state: Mutex<State>,
}

impl Directory {
    /// A directory without entries.
    pub(crate) fn new(
        pools: Arc<Pools>,
        server_ends: Arc<ServerEnds>,
        store_health: Arc<StoreHealth>,
        log: Logger,
    ) -> Self {
        Self {
            pools,
            server_ends,
            store_health,
            log,
            state: Mutex::default(),
        }
    }

    /// Takes in an entry.
    pub(crate) fn learn_entry(&self, entry: &ReplicaEntry, now: Instant) {
        let mut state = lock(&self.state);
        state
            .left
            .retain(|_, (_, since)| now - *since < LEFT_MEMORY);
        let has_left = state
            .left
            .get(&entry.id)
            .is_some_and(|(incarnation, _)| incarnation.born_ms == entry.born_ms);
        if has_left {
            return;
        }
        state.missing.remove(&entry.id);
        drop(state);
        if self.pools.learn_replica(entry) {
            let born_ms = entry.born_ms;
            self.server_ends
                .learn_entry(&entry.id, Incarnation { born_ms });
            info!(self.log, "replica learned"; "replica" => entry.id.as_str(),
                "pool" => entry.pool.as_str(), "address" => entry.address.to_string(),
                "draining" => entry.is_draining, "born_ms" => entry.born_ms);
        }
    }

    /// Takes in that an entry is gone.
    pub(crate) fn learn_removed(&self, id: &ReplicaId, now: Instant) {
        let mut state = lock(&self.state);
        if let Some(incarnation) = self.pools.leaving_incarnation(id) {
            state.left.insert(id.clone(), (incarnation, now));
        } else if let Some(end) = return_limit(self.store_health.last_outage(), now) {
            state.missing.entry(id.clone()).or_insert(end);
            info!(self.log, "entry lapsed; kept for now"; "replica" => id.as_str());
            return;
        }
        state.missing.remove(id);
        drop(state);
        self.drop_replica(id, "entry removed");
    }

    /// Removes replicas whose entries did not come back.
    pub(crate) fn drop_missing(&self, now: Instant) {
        let late: Vec<ReplicaId> = {
            let state = lock(&self.state);
            let late = state.missing.iter().filter(|(_, end)| **end <= now);
            late.map(|(id, _)| id.clone()).collect()
        };
        for id in late {
            lock(&self.state).missing.remove(&id);
            self.drop_replica(&id, "entry did not come back");
        }
    }

    fn drop_replica(&self, id: &ReplicaId, reason: &str) {
        if self.pools.leaving_incarnation(id).is_none() {
            self.server_ends.learn_removed(id);
        }
        if self.pools.forget_replica(id) {
            info!(self.log, "replica gone"; "replica" => id.as_str(), "reason" => reason);
        }
    }
}

/// Until when a lapsed entry may come back, if there was an outage just now.
fn return_limit(last_outage: Option<Instant>, now: Instant) -> Option<Instant> {
    let end = last_outage? + RETURN_TIME;
    (end > now).then_some(end)
}
