//! How far the changes of a kind were seen, here and by other routers.
//!
//! Watches that may be old cost a tenth. A router whose watch is one relies on others that watch the
//! newest state: they tell up to where they saw a change, and it asks for what it lacks.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use super::kinds::Revision;

/// Time for which an old answer may lag behind what others have seen before the newest state is
/// asked for: most changes come by the watch meanwhile.
const LAG_WAIT: Duration = Duration::from_millis(300);

#[derive(Clone, Copy, Debug, Default)]
struct Told {
    /// Newest revision at which another router saw a change.
    revision: Revision,
    /// Until when others are known to watch the newest state.
    guarded_until: Option<Instant>,
}

/// How far one kind was followed.
#[derive(Debug)]
pub(crate) struct KindProgress {
    /// Name of the kind.
    pub kind: &'static str,
    changed: AtomicU64,
    told: watch::Sender<Told>,
}

impl KindProgress {
    /// Nothing was seen yet.
    pub(crate) fn new(kind: &'static str) -> Self {
        Self {
            kind,
            changed: AtomicU64::new(0),
            told: watch::Sender::default(),
        }
    }

    /// Notes that all changes up to a revision were seen.
    pub(super) fn note_change(&self, revision: Revision) {
        self.changed.fetch_max(revision, Ordering::Relaxed);
    }

    /// Revision of the newest change seen here.
    pub(crate) fn changed(&self) -> Revision {
        self.changed.load(Ordering::Relaxed)
    }

    /// Takes in up to where another router, which watches the newest state, saw a change, and until
    /// when it is believed to watch.
    pub(crate) fn learn_told(&self, revision: Revision, guarded_until: Instant) {
        self.told.send_modify(|told| {
            told.revision = told.revision.max(revision);
            told.guarded_until = told.guarded_until.max(Some(guarded_until));
        });
    }

    /// True while others watch the newest state.
    pub(super) fn is_guarded(&self) -> bool {
        let until = self.told.borrow().guarded_until;
        until.is_some_and(|until| until > Instant::now())
    }

    /// Waits until others have seen more than this router for a time, or nobody guards any more.
    pub(super) async fn needs_newest(&self, seen: Revision) {
        let mut news = self.told.subscribe();
        let mut lagging_since = None;
        loop {
            let told = *news.borrow_and_update();
            let now = Instant::now();
            if told.revision > seen {
                lagging_since.get_or_insert(now);
            }
            let lag_end = lagging_since.map(|since| since + LAG_WAIT);
            let guard_end = told.guarded_until.unwrap_or(now);
            let end = lag_end.map_or(guard_end, |lag_end| lag_end.min(guard_end));
            if end <= now {
                return;
            }
            // After the time the state is looked at anew, as after news.
            let _ = tokio::time::timeout_at(end, news.changed()).await;
        }
    }
}
