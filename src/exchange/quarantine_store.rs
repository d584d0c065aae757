//! Persists quarantined requests and prompt parts in the store, so that the quarantine survives a
//! restart of all routers.
//!
//! The routers that observed crashes of servers write the object. If they do not within
//! `OBSERVER_WRITE_TIME`, the routers that watch the store do. An operator releases a request by
//! removing its object.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use compact_str::{CompactString, ToCompactString};
use serde::{Deserialize, Serialize};
use slog::{info, warn, Logger};
use tokio::time::Instant;

use super::members::Members;
use super::suspects::Suspects;
use crate::core::ids::{IdError, ReplicaId};
use crate::core::part_quarantine::PartId;
use crate::core::quarantine::{Fingerprint, ServerCrash};
use crate::store::feed::{KindFeed, KindSink};
use crate::store::kinds::{Change, KindError, KindObject, KindStore, Revision};

/// Object kind of quarantined requests in the store.
pub(crate) const QUARANTINE_KIND: &str = "quarantined-requests";
/// Interval between two comparisons of the store with the quarantined requests.
const SYNC_INTERVAL: Duration = Duration::from_millis(200);
/// Time for the routers that observed crashes of servers to write the object.
const OBSERVER_WRITE_TIME: Duration = Duration::from_secs(2);
/// First pause after a failed write to the store.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
/// Longest pause after a failed write to the store.
const MAX_PAUSE: Duration = Duration::from_secs(8);

/// Prefix of the names of objects for parts.
const PART_PREFIX: &str = "part-";

/// What is quarantined. Its text is the name of the object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Suspect {
    Request(Fingerprint),
    Part(PartId),
}

impl fmt::Display for Suspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(fingerprint) => write!(f, "{fingerprint}"),
            Self::Part(part) => write!(f, "{PART_PREFIX}{part}"),
        }
    }
}

impl FromStr for Suspect {
    type Err = IdError;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        match name.strip_prefix(PART_PREFIX) {
            Some(part) => part.parse().map(Self::Part),
            None => name.parse().map(Self::Request),
        }
    }
}

impl Suspect {
    fn release(self, suspects: &Suspects) {
        match self {
            Self::Request(fingerprint) => suspects.release(fingerprint),
            Self::Part(part) => suspects.parts().release(part),
        }
    }
}

/// A quarantined request or part, to be written to the store.
struct Quarantined {
    suspect: Suspect,
    crashes: Vec<ServerCrash>,
    is_observed_locally: bool,
    age: Duration,
}

/// Returns all quarantined requests and parts.
fn all_quarantined(suspects: &Suspects) -> Vec<Quarantined> {
    let requests = suspects.quarantined().into_iter();
    let requests = requests.map(|request| Quarantined {
        suspect: Suspect::Request(request.fingerprint),
        crashes: request.crashes,
        is_observed_locally: request.is_observed_locally,
        age: request.age,
    });
    let parts = suspects.parts().quarantined().into_iter();
    let parts = parts.map(|part| Quarantined {
        suspect: Suspect::Part(part.part),
        crashes: part.crashes,
        is_observed_locally: part.is_observed_locally,
        age: part.age,
    });
    requests.chain(parts).collect()
}

#[derive(Debug, Serialize, Deserialize)]
struct StoredCrash {
    replica: ReplicaId,
    request: CompactString,
    #[serde(rename = "seen_by")]
    observer: CompactString,
}

#[derive(Debug, Serialize, Deserialize)]
struct StoredRequest {
    ended_servers: Vec<StoredCrash>,
}

impl StoredRequest {
    fn new(crashes: &[ServerCrash]) -> Self {
        let crashes = crashes.iter().map(|crash| StoredCrash {
            replica: crash.replica.clone(),
            request: crash.request.clone(),
            observer: crash.observer.clone(),
        });
        Self {
            ended_servers: crashes.collect(),
        }
    }

    fn into_crashes(self) -> Vec<ServerCrash> {
        let crashes = self.ended_servers.into_iter();
        crashes
            .map(|crash| {
                ServerCrash::new(crash.replica, 0).with_source(crash.request, crash.observer)
            })
            .collect()
    }
}

/// Applies changes of quarantined requests in the store.
pub(crate) struct QuarantineSink {
    suspects: Arc<Suspects>,
    log: Logger,
}

impl QuarantineSink {
    /// Creates a sink that updates a router's suspects.
    pub(crate) const fn new(suspects: Arc<Suspects>, log: Logger) -> Self {
        Self { suspects, log }
    }
}

impl KindSink for QuarantineSink {
    fn apply(&self, change: Change) {
        let object = &change.object;
        let Ok(suspect) = object.name.parse::<Suspect>() else {
            warn!(self.log, "cannot parse a quarantined request"; "object" => object.name.as_str(),
                "reason" => "object name is neither a fingerprint nor a part");
            return;
        };
        if change.is_removed {
            suspect.release(&self.suspects);
            return;
        }
        match serde_json::from_str::<StoredRequest>(object.value.get()) {
            Ok(stored) => match suspect {
                Suspect::Request(fingerprint) => self
                    .suspects
                    .apply_stored(fingerprint, stored.into_crashes()),
                Suspect::Part(part) => self
                    .suspects
                    .parts()
                    .apply_stored(part, stored.into_crashes()),
            },
            Err(error) => {
                warn!(self.log, "cannot parse a quarantined request";
                    "object" => object.name.as_str(), "reason" => error.to_string());
            }
        }
    }

    fn apply_lost(&self, object: KindObject) {
        // The request stays quarantined; the writer creates the object again.
        info!(self.log, "quarantined request missing in the store";
            "fingerprint" => object.name.as_str(), "revision" => object.revision);
    }
}

/// Writes quarantined requests to the store and removes those that were released.
pub(crate) struct QuarantineWriter {
    store: Arc<dyn KindStore>,
    feed: Arc<KindFeed>,
    suspects: Arc<Suspects>,
    members: Arc<Members>,
    log: Logger,
    /// Objects that this router wrote or found to exist, until the change feed delivers them, with
    /// their revisions if known.
    unconfirmed: HashMap<Suspect, Option<Revision>>,
    pause: Duration,
    next_write: Instant,
}

impl QuarantineWriter {
    /// Creates a writer; `feed` is the change feed of `QUARANTINE_KIND`.
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
            unconfirmed: HashMap::new(),
            pause: FIRST_PAUSE,
            next_write: Instant::now(),
        }
    }

    /// Synchronizes the store until the process ends.
    pub(crate) async fn run(mut self) {
        loop {
            tokio::time::sleep(SYNC_INTERVAL).await;
            let quarantined = all_quarantined(&self.suspects);
            let stored = self.stored_objects();
            self.drop_confirmed(&quarantined, &stored);
            if self.feed.revision().is_none() || self.next_write > Instant::now() {
                continue;
            }
            let has_watch_duty = self.members.watch_duty().watches;
            for request in &quarantined {
                let is_due = request.is_observed_locally
                    || (has_watch_duty && request.age >= OBSERVER_WRITE_TIME);
                let is_stored = stored.contains_key(&request.suspect)
                    || self.unconfirmed.contains_key(&request.suspect);
                if is_due && !is_stored {
                    self.create_object(request).await;
                }
            }
            if has_watch_duty {
                for (suspect, object) in &stored {
                    let is_released = quarantined
                        .iter()
                        .all(|request| request.suspect != *suspect);
                    if is_released {
                        self.remove_object(*suspect, object).await;
                    }
                }
            }
        }
    }

    /// Drops objects that the change feed has delivered, and releases the requests of those that
    /// were removed before. Objects written in an earlier era may be lost, and are written again.
    fn drop_confirmed(
        &mut self,
        quarantined: &[Quarantined],
        stored: &BTreeMap<Suspect, KindObject>,
    ) {
        let feed_revision = self.feed.revision();
        let suspects = &self.suspects;
        self.unconfirmed.retain(|suspect, revision| {
            let is_quarantined = quarantined
                .iter()
                .any(|request| request.suspect == *suspect);
            if !is_quarantined || stored.contains_key(suspect) {
                return false;
            }
            let is_of_earlier_era = feed_revision
                .zip(*revision)
                .is_some_and(|(feed, written)| feed.era() > written.era());
            if is_of_earlier_era {
                return false;
            }
            let is_removed = revision.is_some() && feed_revision >= *revision;
            if is_removed {
                suspect.release(suspects);
            }
            !is_removed
        });
    }

    fn stored_objects(&self) -> BTreeMap<Suspect, KindObject> {
        let objects = self.feed.objects().into_iter();
        objects
            .filter_map(|object| Some((object.name.parse().ok()?, object)))
            .collect()
    }

    async fn create_object(&mut self, request: &Quarantined) {
        let name = request.suspect.to_compact_string();
        let stored = StoredRequest::new(&request.crashes);
        let value = match serde_json::value::to_raw_value(&stored) {
            Ok(value) => value,
            Err(error) => {
                warn!(self.log, "quarantined request could not be serialized";
                    "fingerprint" => name.as_str(), "reason" => error.to_string());
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
                self.unconfirmed.insert(request.suspect, revision);
                self.pause = FIRST_PAUSE;
                info!(self.log, "quarantined request written to the store";
                    "fingerprint" => name.as_str(), "was_there" => written.is_err());
            }
            Err(error) => {
                info!(self.log, "quarantined request not written to the store; will retry";
                    "fingerprint" => name.as_str(), "reason" => error.to_string());
                self.delay_next_write();
            }
        }
    }

    async fn remove_object(&mut self, suspect: Suspect, object: &KindObject) {
        let removed = self
            .store
            .remove(QUARANTINE_KIND, &object.name, object.revision)
            .await;
        info!(self.log, "quarantined request removed from the store";
            "fingerprint" => suspect.to_string(),
            "failure" => removed.as_ref().err().map(ToString::to_string));
        if removed.is_err() {
            self.delay_next_write();
        }
    }

    fn delay_next_write(&mut self) {
        self.next_write = Instant::now() + self.pause;
        self.pause = (self.pause * 2).min(MAX_PAUSE);
    }
}
