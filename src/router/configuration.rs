//! The accepted lists at this router. Their generation only rises.

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

/// Routers that watch the platform; the others hear from their peers.
const WATCHER_COUNT: usize = 3;
/// Longest time of one watch.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Pause after a failed watch, and between two looks at whether this router is to watch.
const WATCH_PAUSE: Duration = Duration::from_millis(500);

/// The accepted lists at this router.
#[derive(Debug)]
pub struct Configuration {
    lists: Mutex<Arc<AcceptedLists>>,
    catalog: Arc<ArcSwap<Catalog>>,
}

impl Configuration {
    /// No lists yet.
    #[must_use]
    pub fn new(catalog: Arc<ArcSwap<Catalog>>) -> Self {
        Self {
            lists: Mutex::default(),
            catalog,
        }
    }

    /// The lists in force.
    #[must_use]
    pub fn lists(&self) -> Arc<AcceptedLists> {
        Arc::clone(&lock(&self.lists))
    }

    /// The generation in force.
    #[must_use]
    pub fn generation(&self) -> Generation {
        lock(&self.lists).generation()
    }

    /// Puts newer lists in force. Returns false when they are not newer.
    pub fn put_in_force(&self, lists: AcceptedLists) -> bool {
        let mut present = lock(&self.lists);
        if lists.generation() <= present.generation() {
            return false;
        }
        self.catalog.store(Arc::new(Catalog::new(&lists)));
        *present = Arc::new(lists);
        true
    }

    /// Puts a peer's newer lists in force. Returns false when they are not newer.
    pub fn put_delta_in_force(&self, delta: ListsDelta) -> bool {
        let mut lists = AcceptedLists::clone(&self.lists());
        lists.apply_delta(delta) && self.put_in_force(lists)
    }
}

impl Router {
    /// Watches the platform for newer lists, while this router is one of the few that do.
    pub(super) async fn run_platform_watch(self: Arc<Self>) {
        let mut seen: Version = 0;
        loop {
            let is_watcher = self.fleet.is_watcher(WATCHER_COUNT);
            if !is_watcher && self.configuration.generation() > 0 {
                tokio::time::sleep(WATCH_PAUSE).await;
                continue;
            }
            match self
                .borders
                .store
                .watch(&head_key(), seen, WATCH_WAIT)
                .await
            {
                Ok(Some(object)) => {
                    if self.take_in_head(&object.value).await {
                        seen = object.version;
                    } else {
                        tokio::time::sleep(WATCH_PAUSE).await;
                    }
                }
                Ok(None) => {}
                Err(error) => {
                    warn!(self.log, "lists cannot be watched"; "reason" => error.to_string());
                    tokio::time::sleep(WATCH_PAUSE).await;
                }
            }
        }
    }

    async fn take_in_head(&self, value: &[u8]) -> bool {
        let Ok(head) = serde_json::from_slice::<Head>(value) else {
            warn!(self.log, "head of the lists is not readable");
            return false;
        };
        let known = self.configuration.lists();
        match AcceptedLists::load_parts(self.borders.store.as_ref(), head, &known).await {
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

    /// Takes in newer lists from a peer.
    pub(super) fn take_in_delta(&self, delta: ListsDelta) {
        let generation = delta.generation;
        if self.configuration.put_delta_in_force(delta) {
            info!(self.log, "lists in force"; "generation" => generation, "from" => "peer");
        }
    }
}
