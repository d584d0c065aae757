//! The accepted lists in force at this router. Their generation never decreases.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;
use slog::{info, warn};

use super::Router;
use crate::accepted::{head_key, AcceptedLists, Head, ListsDelta};
use crate::catalog::Catalog;
use crate::core::ledger::Generation;
use crate::store::Version;
use crate::util::lock;

/// Number of routers that watch the platform; the others get new lists from their peers.
const WATCHER_COUNT: usize = 3;
/// Timeout of one watch.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay after a failed watch, and between two checks of whether this router is a watcher.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(500);

/// The accepted lists in force at this router.
#[derive(Debug)]
pub struct Configuration {
    lists: Mutex<Arc<AcceptedLists>>,
    catalog: Arc<ArcSwap<Catalog>>,
}

impl Configuration {
    /// Creates a configuration without lists.
    #[must_use]
    pub fn new(catalog: Arc<ArcSwap<Catalog>>) -> Self {
        Self {
            lists: Mutex::default(),
            catalog,
        }
    }

    /// Returns the lists in force.
    #[must_use]
    pub fn lists(&self) -> Arc<AcceptedLists> {
        Arc::clone(&lock(&self.lists))
    }

    /// Returns the generation of the lists in force.
    #[must_use]
    pub fn generation(&self) -> Generation {
        lock(&self.lists).generation()
    }

    /// Puts newer lists in force. Returns false if they are not newer.
    pub fn put_in_force(&self, lists: AcceptedLists) -> bool {
        let mut current = lock(&self.lists);
        if lists.generation() <= current.generation() {
            return false;
        }
        self.catalog.store(Arc::new(Catalog::new(&lists)));
        *current = Arc::new(lists);
        true
    }

    /// Applies a peer's delta and puts the result in force. Returns false if it is not newer.
    pub fn put_delta_in_force(&self, delta: ListsDelta) -> bool {
        let mut lists = AcceptedLists::clone(&self.lists());
        lists.apply_delta(delta) && self.put_in_force(lists)
    }
}

impl Router {
    /// Watches the platform for newer lists, while this router is a watcher or has no lists yet.
    pub(super) async fn run_platform_watch(self: Arc<Self>) {
        let mut last_version: Version = 0;
        loop {
            let is_watcher = self.fleet.is_watcher(WATCHER_COUNT);
            if !is_watcher && self.configuration.generation() > 0 {
                tokio::time::sleep(WATCH_RETRY_DELAY).await;
                continue;
            }
            match self
                .external_systems
                .store
                .watch(&head_key(), last_version, WATCH_TIMEOUT)
                .await
            {
                Ok(Some(object)) => {
                    if self.load_head(&object.value).await {
                        last_version = object.version;
                    } else {
                        tokio::time::sleep(WATCH_RETRY_DELAY).await;
                    }
                }
                Ok(None) => {}
                Err(error) => {
                    warn!(self.log, "lists cannot be watched"; "reason" => error.to_string());
                    tokio::time::sleep(WATCH_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn load_head(&self, value: &[u8]) -> bool {
        let Ok(head) = serde_json::from_slice::<Head>(value) else {
            warn!(self.log, "head of the lists cannot be parsed");
            return false;
        };
        let current = self.configuration.lists();
        match AcceptedLists::load_parts(self.external_systems.store.as_ref(), head, &current).await
        {
            Ok(lists) => {
                self.put_in_force(lists);
                true
            }
            Err(error) => {
                warn!(self.log, "lists cannot be read"; "reason" => error.to_string());
                false
            }
        }
    }

    fn put_in_force(&self, lists: AcceptedLists) {
        let generation = lists.generation();
        if self.configuration.put_in_force(lists) {
            info!(self.log, "lists in force"; "generation" => generation, "from" => "platform");
        }
    }

    /// Puts newer lists received from a peer in force.
    pub(super) fn apply_lists_delta(&self, delta: ListsDelta) {
        let generation = delta.generation;
        if self.configuration.put_delta_in_force(delta) {
            info!(self.log, "lists in force"; "generation" => generation, "from" => "peer");
        }
    }
}
