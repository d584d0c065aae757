//! Follows all objects of a kind: lists them, then watches, and lists anew when history is gone.

use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn, Logger};

use super::health::StoreHealth;
use super::kinds::{Change, Changes, Freshness, KindError, KindObject, KindStore, Revision};
use super::progress::KindProgress;

/// Longest wait of one watch. Each answer is priced, so it is long; silent connections are found
/// by the transport's probes.
const WATCH_WAIT: Duration = Duration::from_secs(25);
/// Pause after changes before the next watch, so that changes which come in quick succession share
/// one priced answer. What it delays has to be in force within two seconds.
const SETTLE_PAUSE: Duration = Duration::from_millis(500);
/// First pause after the store gave no answer.
const FIRST_PAUSE: Duration = Duration::from_millis(40);
/// Longest pause after the store gave no answer. Each try is priced, and the end of an outage is
/// mostly noticed by cheaper calls.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Takes in what a follower sees.
pub(crate) trait KindSink: Send + Sync {
    /// All objects at once.
    fn learn_all(&self, objects: Vec<KindObject>);

    /// One change.
    fn learn(&self, change: Change);
}

/// Follows one kind.
pub(crate) struct Follower {
    /// The store.
    pub store: Arc<dyn KindStore>,
    /// Whether it answers.
    pub health: Arc<StoreHealth>,
    /// The kind, and how far others have seen it.
    pub progress: Arc<KindProgress>,
    /// Takes in what is seen.
    pub sink: Arc<dyn KindSink>,
    /// For what the follower comes to believe.
    pub log: Logger,
}

impl Follower {
    /// Follows the kind until the process ends.
    ///
    /// When other calls show that an outage has ended, the kind is listed anew: a watch from before
    /// may hang, and what it missed is not told later.
    pub(crate) async fn run(self) {
        let kind = self.progress.kind;
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
            match found {
                Ok(changes) => {
                    revision = Some(changes.revision);
                    pause = FIRST_PAUSE;
                    if std::mem::take(&mut is_lost) {
                        info!(log, "store regained"; "kind" => kind, "revision" => revision);
                    }
                    self.take_in(changes).await;
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

    /// Lists all objects. There are no changes to take in afterwards.
    async fn list(&self) -> Result<Changes, KindError> {
        let kind = self.progress.kind;
        let listing = self.store.list(kind, Freshness::Linearizable).await?;
        let newest = listing.objects.iter().map(|object| object.revision).max();
        self.progress.note_change(newest.unwrap_or_default());
        self.sink.learn_all(listing.objects);
        Ok(Changes {
            changes: Vec::new(),
            revision: listing.revision,
        })
    }

    /// Waits for changes, by a watch that may be old while others watch the newest state.
    async fn next_changes(&self, after: Revision) -> Result<Changes, KindError> {
        let kind = self.progress.kind;
        let watch = |wait, freshness| self.store.watch(kind, after, wait, freshness);
        if self.progress.is_guarded() {
            tokio::select! {
                found = watch(WATCH_WAIT, Freshness::Stale) => return found,
                () = self.progress.needs_newest(after) => {}
            }
        }
        let wait = if self.progress.is_guarded() {
            Duration::ZERO
        } else {
            WATCH_WAIT
        };
        let changes = watch(wait, Freshness::Linearizable).await?;
        if let Some(newest) = changes.newest_revision() {
            self.progress.note_change(newest);
        }
        Ok(changes)
    }

    async fn take_in(&self, changes: Changes) {
        let has_changes = !changes.changes.is_empty();
        for change in changes.changes {
            self.sink.learn(change);
        }
        if has_changes {
            tokio::time::sleep(SETTLE_PAUSE).await;
        }
    }
}
