//! The change feed: the replicated state of each kind, from the store or from other routers.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use prometheus::IntGauge;
use tokio::sync::watch;

use super::feed_log::{FeedDelta, FeedLog};
use super::kinds::{Change, Changes, KindObject, Listing, Revision};
use crate::util::lock;

/// Consumes the changes of a kind.
pub(crate) trait KindSink: Send + Sync {
    /// Applies a change that was not known before.
    fn apply(&self, change: Change);

    /// Applies that an object is missing since the store returned from an older copy. Nobody has
    /// removed it, and its writer may write it again.
    fn apply_lost(&self, object: KindObject);
}

/// The change feed of one kind.
pub(crate) struct KindFeed {
    /// The kind.
    pub kind: &'static str,
    sink: Arc<dyn KindSink>,
    log: Mutex<FeedLog>,
    /// True while this router's own watch is up to date with the store.
    is_current: AtomicBool,
    /// Length of all values held, in bytes.
    value_bytes: IntGauge,
    changed: watch::Sender<()>,
}

impl KindFeed {
    /// Creates an empty feed. `value_bytes` is set to the length of all values held, and `changed`
    /// notified, after every change.
    pub(crate) fn new(
        kind: &'static str,
        sink: Arc<dyn KindSink>,
        value_bytes: IntGauge,
        changed: watch::Sender<()>,
    ) -> Self {
        Self {
            kind,
            sink,
            log: Mutex::default(),
            is_current: AtomicBool::new(false),
            value_bytes,
            changed,
        }
    }

    /// Returns the revision up to which all changes are known.
    pub(crate) fn revision(&self) -> Option<Revision> {
        lock(&self.log).revision()
    }

    /// Returns the known objects.
    pub(crate) fn objects(&self) -> Vec<KindObject> {
        lock(&self.log).objects().cloned().collect()
    }

    /// Applies a listing of all objects.
    pub(crate) fn apply_listing(&self, listing: Listing) {
        self.apply(|log| log.apply_listing(listing));
    }

    /// Applies a listing that may be stale. The store's revision in such a listing may be newer
    /// than the state that it shows, so the newest revision of an object is used instead.
    pub(crate) fn apply_stale_listing(&self, mut listing: Listing) {
        let revisions = listing.objects.iter().map(|object| object.revision);
        listing.revision = revisions.max().unwrap_or_default();
        self.apply_listing(listing);
    }

    /// Applies changes.
    pub(crate) fn apply_changes(&self, changes: Changes) {
        self.apply(|log| log.apply_changes(changes));
    }

    /// Applies a delta or snapshot from another router.
    pub(crate) fn apply_delta(&self, delta: FeedDelta) {
        self.apply(|log| log.apply_delta(delta));
    }

    /// Returns what a router that knows all changes up to a revision is missing; none if nothing.
    pub(crate) fn delta_since(&self, known: Option<Revision>) -> Option<FeedDelta> {
        lock(&self.log).delta_since(known)
    }

    /// Sets whether this router's own watch is up to date with the store.
    pub(crate) fn set_current(&self, is_current: bool) {
        self.is_current.store(is_current, Ordering::Relaxed);
    }

    /// Returns true while this router's own watch is up to date with the store.
    pub(crate) fn is_current(&self) -> bool {
        self.is_current.load(Ordering::Relaxed)
    }

    fn apply<F>(&self, action: F)
    where
        F: FnOnce(&mut FeedLog) -> Vec<Change>,
    {
        // The sink is called under the lock, so that it receives changes in order.
        let mut log = lock(&self.log);
        let changes = action(&mut log);
        let has_changes = !changes.is_empty();
        let value_bytes = i64::try_from(log.value_bytes());
        self.value_bytes.set(value_bytes.unwrap_or(i64::MAX));
        let era = log.revision().map_or(0, Revision::era);
        for change in changes {
            if change.is_removed && change.object.revision.era() < era {
                self.sink.apply_lost(change.object);
            } else {
                self.sink.apply(change);
            }
        }
        drop(log);
        if has_changes {
            self.changed.send_replace(());
        }
    }
}

/// The feeds of all kinds. Messages between routers refer to kinds by their order here.
#[derive(Clone)]
pub(crate) struct Feed {
    kinds: Arc<[Arc<KindFeed>]>,
    changed: watch::Sender<()>,
}

impl Feed {
    /// Creates a feed of some kinds, which notify `changed` of their changes.
    pub(crate) fn new<I>(kinds: I, changed: watch::Sender<()>) -> Self
    where
        I: IntoIterator<Item = Arc<KindFeed>>,
    {
        Self {
            kinds: kinds.into_iter().collect(),
            changed,
        }
    }

    /// Returns the feeds of the kinds, in order.
    pub(crate) fn kinds(&self) -> &[Arc<KindFeed>] {
        &self.kinds
    }

    /// Returns a receiver that is notified of changes of any kind.
    pub(crate) fn subscribe(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// Returns true while this router's own watches of all kinds are up to date with the store.
    pub(crate) fn is_current(&self) -> bool {
        self.kinds.iter().all(|kind| kind.is_current())
    }
}
