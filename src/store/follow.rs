//! Follows all objects of a kind in the store while this router is one that watches: lists them,
//! then watches, and lists anew when history is gone.

use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn, Logger};
use tokio::sync::watch;

use super::feed::KindFeed;
use super::health::StoreHealth;
use super::kinds::{Freshness, KindError, KindStore, Revision};

/// Pause after changes before the next watch, so that changes which come in quick succession share
/// one priced answer. What it delays has to be in force within two seconds.
const SETTLE_PAUSE: Duration = Duration::from_millis(500);
/// First pause after the store gave no answer.
const FIRST_PAUSE: Duration = Duration::from_millis(40);
/// Longest pause after the store gave no answer. Each try is priced, and the end of an outage is
/// mostly noticed by cheaper calls.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Follows one kind.
pub(crate) struct Follower {
    /// The store.
    pub store: Arc<dyn KindStore>,
    /// Whether it answers.
    pub health: Arc<StoreHealth>,
    /// The kind and what is known of it.
    pub feed: Arc<KindFeed>,
    /// How fresh the watch has to be.
    pub freshness: Freshness,
    /// Longest wait of one watch. Each answer is priced.
    pub watch_wait: Duration,
    /// True while this router watches the store.
    pub is_watching: watch::Receiver<bool>,
    /// For what the follower comes to believe.
    pub log: Logger,
}

impl Follower {
    /// Follows the kind until the process ends, whenever this router watches the store.
    pub(crate) async fn run(self) {
        let mut is_watching = self.is_watching.clone();
        // The sender lives as long as the process.
        while is_watching.wait_for(|watches| *watches).await.is_ok() {
            tokio::select! {
                () = self.follow() => {}
                _ = is_watching.wait_for(|watches| !*watches) => {}
            }
            self.feed.set_current(false);
        }
    }

    /// Follows the kind.
    ///
    /// When other calls show that an outage has ended, the kind is listed anew: a watch from before
    /// may hang, and what it missed is not told later.
    async fn follow(&self) {
        let kind = self.feed.kind;
        let log = &self.log;
        let mut recoveries = self.health.recoveries();
        let mut pause = FIRST_PAUSE;
        let mut is_lost = false;
        let mut revision = None;
        loop {
            let after = revision;
            let found = match after {
                None => {
                    let found = self.list().await;
                    if found.is_ok() {
                        recoveries.mark_unchanged();
                    }
                    found
                }
                Some(after) => tokio::select! {
                    found = self.next_changes(after) => found,
                    Ok(()) = recoveries.changed() => {
                        info!(log, "outage ended; listing anew"; "kind" => kind, "revision" => after);
                        revision = None;
                        continue;
                    }
                },
            };
            self.feed.set_current(found.is_ok());
            match found {
                Ok(watched) => {
                    revision = Some(watched.revision);
                    pause = FIRST_PAUSE;
                    if std::mem::take(&mut is_lost) {
                        info!(log, "store regained"; "kind" => kind, "revision" => revision);
                    }
                    if watched.has_changes {
                        tokio::time::sleep(SETTLE_PAUSE).await;
                    }
                }
                Err(KindError::HistoryGone) => {
                    info!(log, "history gone; listing anew"; "kind" => kind, "revision" => revision);
                    revision = None;
                }
                Err(error) => {
                    // A watch from before a cut may wait for ever: the store tells that the history
                    // is gone only with the next change.
                    revision = None;
                    if !std::mem::replace(&mut is_lost, true) {
                        warn!(log, "store lost"; "kind" => kind, "revision" => after,
                            "reason" => error.to_string());
                    }
                    // Either end leads to the next try.
                    let _ = tokio::time::timeout(pause, recoveries.changed()).await;
                    pause = (pause * 2).min(MAX_PAUSE);
                }
            }
        }
    }

    /// Lists all objects as they are now.
    async fn list(&self) -> Result<Watched, KindError> {
        let listing = self
            .store
            .list(self.feed.kind, Freshness::Linearizable)
            .await?;
        let revision = listing.revision;
        self.feed.learn_listing(listing);
        Ok(Watched {
            revision,
            has_changes: false,
        })
    }

    /// Waits for changes.
    async fn next_changes(&self, after: Revision) -> Result<Watched, KindError> {
        let mut changes = self
            .store
            .watch(self.feed.kind, after, self.watch_wait, self.freshness)
            .await?;
        if self.freshness == Freshness::Stale {
            // The store's revision may be newer than the state that an old answer shows.
            changes.revision = changes.newest_revision().unwrap_or(after);
        }
        let watched = Watched {
            revision: changes.revision,
            has_changes: !changes.changes.is_empty(),
        };
        self.feed.learn_changes(changes);
        Ok(watched)
    }
}

/// What one call has brought.
struct Watched {
    /// Revision from which to watch on.
    revision: Revision,
    has_changes: bool,
}
