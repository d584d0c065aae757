//! Applies changes of the change feed to the exchange.

use std::sync::Arc;

use slog::{info, warn, Logger};
use tokio::time::Instant;

use super::config::decode_catalog;
use super::names::CONFIG_NAME;
use super::replica_entry::decode_replica;
use crate::core::ids::ReplicaId;
use crate::exchange::directory::Directory;
use crate::exchange::engine::Exchange;
use crate::store::feed::KindSink;
use crate::store::kinds::{Change, KindObject};

/// Puts the operator's configuration in force.
pub(crate) struct ConfigSink {
    exchange: Arc<Exchange>,
    log: Logger,
}

impl ConfigSink {
    /// Creates a sink for an exchange.
    pub(crate) fn new(exchange: Arc<Exchange>, log: Logger) -> Self {
        Self { exchange, log }
    }

    fn apply_object(&self, object: &KindObject) {
        if object.name != CONFIG_NAME {
            return;
        }
        match decode_catalog(object.value.get()) {
            Ok(catalog) => {
                let version = catalog.version();
                if self.exchange.apply_catalog(catalog) {
                    info!(self.log, "configuration in force"; "config_version" => version,
                        "revision" => object.revision);
                }
            }
            Err(error) => {
                warn!(self.log, "failed to decode configuration"; "revision" => object.revision,
                    "reason" => error.to_string());
            }
        }
    }
}

impl KindSink for ConfigSink {
    fn apply(&self, change: Change) {
        if !change.is_removed {
            self.apply_object(&change.object);
        }
    }

    fn apply_lost(&self, object: KindObject) {
        warn!(self.log, "configuration missing in the store; the newest known stays in force";
            "object" => object.name.as_str(), "revision" => object.revision);
    }
}

/// Updates the directory of replicas.
pub(crate) struct ReplicaSink {
    directory: Arc<Directory>,
    log: Logger,
}

impl ReplicaSink {
    /// Creates a sink for a directory.
    pub(crate) const fn new(directory: Arc<Directory>, log: Logger) -> Self {
        Self { directory, log }
    }
}

impl KindSink for ReplicaSink {
    fn apply(&self, change: Change) {
        if change.is_removed {
            self.apply_lost(change.object);
            return;
        }
        match decode_replica(&change.object) {
            Ok(entry) => self.directory.apply_entry(&entry, Instant::now()),
            Err(error) => {
                warn!(self.log, "replica's entry cannot be used";
                    "object" => change.object.name.as_str(), "revision" => change.object.revision,
                    "reason" => error.to_string());
                // It may have overwritten a usable one.
                self.apply_lost(change.object);
            }
        }
    }

    fn apply_lost(&self, object: KindObject) {
        // The directory keeps the replica for the time in which it may register again.
        if let Ok(id) = ReplicaId::new(object.name) {
            self.directory.apply_removed(&id, Instant::now());
        }
    }
}
