//! Applies changes of the change feed to the exchange.

use std::sync::Arc;

use slog::{error, info, warn, Logger};
use tokio::time::Instant;

use super::config::{decode_catalog, LeftOut};
use super::names::CONFIG_NAME;
use super::replica_entry::decode_replica;
use crate::core::ids::ReplicaId;
use crate::exchange::directory::Directory;
use crate::exchange::engine::Exchange;
use crate::store::feed::KindSink;
use crate::store::kinds::{Change, KindObject};

/// Most parts of a configuration that are logged one by one when they are left out.
const MAX_LOGGED_PARTS: usize = 20;

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
            Ok((catalog, left_out)) => {
                let version = catalog.version();
                if self.exchange.apply_catalog(catalog) {
                    self.log_left_out(version, &left_out);
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

impl ConfigSink {
    fn log_left_out(&self, version: u64, left_out: &[LeftOut]) {
        for left_out in left_out.iter().take(MAX_LOGGED_PARTS) {
            error!(self.log, "part of the configuration left out"; "config_version" => version,
                "part" => left_out.part, "index" => left_out.index,
                "reason" => left_out.reason.as_str());
        }
        if left_out.len() > MAX_LOGGED_PARTS {
            error!(self.log, "more parts of the configuration left out";
                "config_version" => version, "count" => left_out.len() - MAX_LOGGED_PARTS);
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
