//! Keeps quarantined requests in the store, so that they stay so when all routers restart.
//!
//! The routers that saw servers end write; if they did not soon after, those that watch the store do.
//! An operator releases a request by removing its object.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use compact_str::{CompactString, ToCompactString};
use serde::{Deserialize, Serialize};
use slog::{info, warn, Logger};
use tokio::time::Instant;

use super::members::Members;
use super::suspects::{QuarantinedRequest, Suspects};
use crate::core::ids::ReplicaId;
use crate::core::quarantine::{Fingerprint, ServerEnd};
use crate::store::feed::{KindFeed, KindSink};
use crate::store::kinds::{Change, KindError, KindObject, KindStore, Revision};

/// Kind of the quarantined requests.
pub(crate) const QUARANTINE_KIND: &str = "quarantined-requests";
/// Time between two looks at what is to be written.
const LOOK: Duration = Duration::from_millis(200);
/// Time that routers which saw servers end have to write that.
const OWN_WRITE_TIME: Duration = Duration::from_secs(2);
/// First pause after the store did not take a write.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause after the store did not take a write.
const MAX_PAUSE: Duration = Duration::from_secs(8);

#[derive(Debug, Serialize, Deserialize)]
struct StoredEnd {
    replica: ReplicaId,
    request: CompactString,
    seen_by: CompactString,
}

#[derive(Debug, Serialize, Deserialize)]
struct StoredRequest {
    ended_servers: Vec<StoredEnd>,
}

impl StoredRequest {
    fn new(ends: &[ServerEnd]) -> Self {
        let ends = ends.iter().map(|end| StoredEnd {
            replica: end.replica.clone(),
            request: end.request.clone(),
            seen_by: end.seen_by.clone(),
        });
        Self {
            ended_servers: ends.collect(),
        }
    }

    fn into_ends(self) -> Vec<ServerEnd> {
        let ends = self.ended_servers.into_iter();
        ends.map(|end| ServerEnd::new(end.replica, 0).with_source(end.request, end.seen_by))
            .collect()
    }
}

/// Takes in what the store keeps.
pub(crate) struct QuarantineSink {
    suspects: Arc<Suspects>,
    log: Logger,
}

impl QuarantineSink {
    /// A sink for a router's suspects.
    pub(crate) const fn new(suspects: Arc<Suspects>, log: Logger) -> Self {
        Self { suspects, log }
    }
}

impl KindSink for QuarantineSink {
    fn learn(&self, change: Change) {
        let object = &change.object;
        let Ok(fingerprint) = object.name.parse::<Fingerprint>() else {
            warn!(self.log, "quarantined request not readable"; "object" => object.name.as_str(),
                "reason" => "its name is no fingerprint");
            return;
        };
        if change.is_removed {
            self.suspects.release(fingerprint);
            return;
        }
        match serde_json::from_str::<StoredRequest>(object.value.get()) {
            Ok(stored) => self.suspects.learn_stored(fingerprint, stored.into_ends()),
            Err(error) => {
                warn!(self.log, "quarantined request not readable";
                    "object" => object.name.as_str(), "reason" => error.to_string());
            }
        }
    }
}

/// Writes quarantined requests to the store and removes those that may run again.
pub(crate) struct QuarantineKeeper {
    store: Arc<dyn KindStore>,
    feed: Arc<KindFeed>,
    suspects: Arc<Suspects>,
    members: Arc<Members>,
    log: Logger,
    /// Objects that this router wrote or found, until they are heard of, with their revisions if
    /// these are known.
    entered: HashMap<Fingerprint, Option<Revision>>,
    pause: Duration,
    next_write: Instant,
}

impl QuarantineKeeper {
    /// A keeper of what is followed in `feed`.
    pub(crate) fn new(
        store: Arc<dyn KindStore>,
        feed: Arc<KindFeed>,
        suspects: Arc<Suspects>,
        members: Arc<Members>,
        log: Logger,
    ) -> Self {
        Self {
            store,
            feed,
            suspects,
            members,
            log,
            entered: HashMap::new(),
            pause: FIRST_PAUSE,
            next_write: Instant::now(),
        }
    }

    /// Keeps the store up to date until the process ends.
    pub(crate) async fn run(mut self) {
        loop {
            tokio::time::sleep(LOOK).await;
            let quarantined = self.suspects.quarantined();
            let stored = self.stored();
            self.drop_entered(&quarantined, &stored);
            if self.feed.revision().is_none() || self.next_write > Instant::now() {
                continue;
            }
            let watches = self.members.watch_duty().watches;
            for request in &quarantined {
                let is_due = request.is_own || (watches && request.age >= OWN_WRITE_TIME);
                let is_known = stored.contains_key(&request.fingerprint)
                    || self.entered.contains_key(&request.fingerprint);
                if is_due && !is_known {
                    self.enter(request).await;
                }
            }
            if watches {
                for (fingerprint, object) in &stored {
                    let may_run = quarantined
                        .iter()
                        .all(|request| request.fingerprint != *fingerprint);
                    if may_run {
                        self.remove(*fingerprint, object).await;
                    }
                }
            }
        }
    }

    /// Drops objects that were heard of, and releases the requests of those that were removed before.
    fn drop_entered(
        &mut self,
        quarantined: &[QuarantinedRequest],
        stored: &BTreeMap<Fingerprint, KindObject>,
    ) {
        let known_revision = self.feed.revision();
        let suspects = &self.suspects;
        self.entered.retain(|known, revision| {
            let is_quarantined = quarantined
                .iter()
                .any(|request| request.fingerprint == *known);
            if !is_quarantined || stored.contains_key(known) {
                return false;
            }
            let is_removed = revision.is_some() && known_revision >= *revision;
            if is_removed {
                suspects.release(*known);
            }
            !is_removed
        });
    }

    fn stored(&self) -> BTreeMap<Fingerprint, KindObject> {
        let objects = self.feed.objects().into_iter();
        objects
            .filter_map(|object| Some((object.name.parse().ok()?, object)))
            .collect()
    }

    async fn enter(&mut self, request: &QuarantinedRequest) {
        let name = request.fingerprint.to_compact_string();
        let stored = StoredRequest::new(&request.ends);
        let value = match serde_json::value::to_raw_value(&stored) {
            Ok(value) => value,
            Err(error) => {
                warn!(self.log, "quarantined request not written"; "fingerprint" => name.as_str(),
                    "reason" => error.to_string());
                return;
            }
        };
        let written = self.store.create(QUARANTINE_KIND, &name, &value).await;
        match written {
            Ok(_) | Err(KindError::Conflict(_)) => {
                let revision = match &written {
                    Ok(revision) => Some(*revision),
                    Err(KindError::Conflict(object)) => {
                        object.as_ref().map(|object| object.revision)
                    }
                    Err(_) => None,
                };
                self.entered.insert(request.fingerprint, revision);
                self.pause = FIRST_PAUSE;
                info!(self.log, "quarantined request written"; "fingerprint" => name.as_str(),
                    "was_there" => written.is_err());
            }
            Err(error) => {
                info!(self.log, "quarantined request not written yet";
                    "fingerprint" => name.as_str(), "reason" => error.to_string());
                self.back_off();
            }
        }
    }

    async fn remove(&mut self, fingerprint: Fingerprint, object: &KindObject) {
        let removed = self
            .store
            .remove(QUARANTINE_KIND, &object.name, object.revision)
            .await;
        info!(self.log, "quarantined request removed from the store";
            "fingerprint" => fingerprint.to_string(),
            "failure" => removed.as_ref().err().map(ToString::to_string));
        if removed.is_err() {
            self.back_off();
        }
    }

    fn back_off(&mut self) {
        self.next_write = Instant::now() + self.pause;
        self.pause = (self.pause * 2).min(MAX_PAUSE);
    }
}
