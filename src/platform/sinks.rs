//! Hands what is followed in the store to the exchange.

use std::sync::{Arc, Mutex};

use slog::{info, warn, Logger};
use tokio::time::Instant;

use super::config::decode_catalog;
use super::names::CONFIG_NAME;
use super::replica_entry::decode_replica;
use crate::core::ids::ReplicaId;
use crate::exchange::directory::Directory;
use crate::exchange::engine::Exchange;
use crate::store::follow::KindSink;
use crate::store::kinds::{Change, KindObject};
use crate::util::lock;

/// Puts the operator's lists in force.
pub(crate) struct ConfigSink {
    exchange: Arc<Exchange>,
    log: Logger,
}

impl ConfigSink {
    /// A sink for an exchange.
    pub(crate) fn new(exchange: Arc<Exchange>, log: Logger) -> Self {
        Self { exchange, log }
    }

    fn learn_object(&self, object: &KindObject) {
        if object.name != CONFIG_NAME {
            return;
        }
        match decode_catalog(object.value.get()) {
            Ok(catalog) => {
                let version = catalog.version();
                if self.exchange.learn_catalog(catalog) {
                    info!(self.log, "configuration in force"; "config_version" => version,
                        "revision" => object.revision);
                }
            }
            Err(error) => {
                warn!(self.log, "configuration not readable"; "revision" => object.revision,
                    "reason" => error.to_string());
            }
        }
    }
}

impl KindSink for ConfigSink {
    fn learn_all(&self, objects: Vec<KindObject>) {
        for object in &objects {
            self.learn_object(object);
        }
    }

    fn learn(&self, change: Change) {
        if !change.is_removed {
            self.learn_object(&change.object);
        }
    }
}

/// Keeps the directory of replicas.
pub(crate) struct ReplicaSink {
    directory: Arc<Directory>,
    known: Mutex<Vec<ReplicaId>>,
}

impl ReplicaSink {
    /// A sink for a directory.
    pub(crate) fn new(directory: Arc<Directory>) -> Self {
        Self {
            directory,
            known: Mutex::default(),
        }
    }
}

impl KindSink for ReplicaSink {
    fn learn_all(&self, objects: Vec<KindObject>) {
        let entries: Vec<_> = objects.iter().filter_map(decode_replica).collect();
        let mut known = lock(&self.known);
        self.directory.learn_all(&entries, &known, Instant::now());
        *known = entries.into_iter().map(|entry| entry.id).collect();
    }

    fn learn(&self, change: Change) {
        let mut known = lock(&self.known);
        match decode_replica(&change.object) {
            Some(entry) if !change.is_removed => {
                if !known.contains(&entry.id) {
                    known.push(entry.id.clone());
                }
                self.directory.learn_entry(&entry, Instant::now());
            }
            _ => {
                // A removed entry, or one that was overwritten with something else.
                if let Ok(id) = ReplicaId::new(change.object.name) {
                    known.retain(|other| *other != id);
                    self.directory.learn_removed(&id, Instant::now());
                }
            }
        }
    }
}
