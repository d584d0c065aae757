//! The followed kinds: what is known of each, from the store or at second hand.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use tokio::sync::watch;

use super::feed_log::{FeedLog, FeedNews};
use super::kinds::{Change, Changes, KindObject, Listing, Revision};
use crate::util::lock;

/// Takes in changes of a kind.
pub(crate) trait KindSink: Send + Sync {
    /// One change that was not known before.
    fn learn(&self, change: Change);
}

/// One followed kind.
pub(crate) struct KindFeed {
    /// Name of the kind.
    pub kind: &'static str,
    sink: Arc<dyn KindSink>,
    log: Mutex<FeedLog>,
    /// True while this router's own watch is in step with the store.
    is_current: AtomicBool,
    news: watch::Sender<()>,
}

impl KindFeed {
    /// A feed of which nothing is known. `news` is told of all changes.
    pub(crate) fn new(
        kind: &'static str,
        sink: Arc<dyn KindSink>,
        news: watch::Sender<()>,
    ) -> Self {
        Self {
            kind,
            sink,
            log: Mutex::default(),
            is_current: AtomicBool::new(false),
            news,
        }
    }

    /// Revision up to which all changes are known.
    pub(crate) fn revision(&self) -> Option<Revision> {
        lock(&self.log).revision()
    }

    /// The objects as known.
    pub(crate) fn objects(&self) -> Vec<KindObject> {
        lock(&self.log).objects().cloned().collect()
    }

    /// Takes in all objects at once.
    pub(crate) fn learn_listing(&self, listing: Listing) {
        self.learn(|log| log.learn_listing(listing));
    }

    /// Takes in all objects as they were at some time. The store's revision in such a listing may
    /// be newer than the state that it shows.
    pub(crate) fn learn_old_listing(&self, mut listing: Listing) {
        let revisions = listing.objects.iter().map(|object| object.revision);
        listing.revision = revisions.max().unwrap_or_default();
        self.learn_listing(listing);
    }

    /// Takes in changes.
    pub(crate) fn learn_changes(&self, changes: Changes) {
        self.learn(|log| log.learn_changes(changes));
    }

    /// Takes in what another router knows.
    pub(crate) fn learn_news(&self, news: FeedNews) {
        self.learn(|log| log.learn_news(news));
    }

    /// What another router lacks that knows all up to a revision.
    pub(crate) fn news_after(&self, known: Option<Revision>) -> Option<FeedNews> {
        lock(&self.log).news_after(known)
    }

    /// Notes whether this router's own watch is in step with the store.
    pub(crate) fn set_current(&self, is_current: bool) {
        self.is_current.store(is_current, Ordering::Relaxed);
    }

    /// True while this router's own watch is in step with the store.
    pub(crate) fn is_current(&self) -> bool {
        self.is_current.load(Ordering::Relaxed)
    }

    fn learn<F>(&self, action: F)
    where
        F: FnOnce(&mut FeedLog) -> Vec<Change>,
    {
        // The sink is told under the lock, so that it hears changes in their order.
        let mut log = lock(&self.log);
        let changes = action(&mut log);
        let has_news = !changes.is_empty();
        for change in changes {
            self.sink.learn(change);
        }
        drop(log);
        if has_news {
            self.news.send_replace(());
        }
    }
}

/// All followed kinds, in the order in which all routers name them to one another.
#[derive(Clone)]
pub(crate) struct Feed {
    kinds: Arc<[Arc<KindFeed>]>,
    news: watch::Sender<()>,
}

impl Feed {
    /// A feed of some kinds, which tell `news` of their changes.
    pub(crate) fn new<I>(kinds: I, news: watch::Sender<()>) -> Self
    where
        I: IntoIterator<Item = Arc<KindFeed>>,
    {
        Self {
            kinds: kinds.into_iter().collect(),
            news,
        }
    }

    /// The kinds.
    pub(crate) fn kinds(&self) -> &[Arc<KindFeed>] {
        &self.kinds
    }

    /// Tells of changes of any kind.
    pub(crate) fn news(&self) -> watch::Receiver<()> {
        self.news.subscribe()
    }

    /// True while this router's own watches of all kinds are in step with the store.
    pub(crate) fn is_current(&self) -> bool {
        self.kinds.iter().all(|kind| kind.is_current())
    }
}
