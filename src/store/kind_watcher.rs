//! Lists and watches all objects of a kind in the store while this router has watch duty, and lists
//! again when the watch history has expired.

use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn, Logger};
use tokio::sync::watch;

use super::feed::KindFeed;
use super::health::StoreHealth;
use super::kinds::{Freshness, KindError, KindStore, Revision};

/// Delay between received changes and the next watch, which batches changes in quick succession
/// into one answer, as each is charged for. Changes must be in force within two seconds.
const BATCH_DELAY: Duration = Duration::from_millis(500);
/// Shortest retry delay after a failed call.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(40);
/// Longest retry delay after a failed call. Each try is charged for, and cheaper calls mostly
/// detect the end of an outage first.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Lists and watches one kind.
pub(crate) struct KindWatcher {
    /// The store.
    pub store: Arc<dyn KindStore>,
    /// Availability of the store.
    pub health: Arc<StoreHealth>,
    /// The change feed to update.
    pub feed: Arc<KindFeed>,
    /// Required freshness of the watch.
    pub freshness: Freshness,
    /// Longest wait of one watch call. Each answer is charged for.
    pub watch_wait: Duration,
    /// True while this router has watch duty.
    pub is_watching: watch::Receiver<bool>,
    /// Logs when the store becomes unavailable or available again.
    pub log: Logger,
}

impl KindWatcher {
    /// Watches the kind whenever this router has watch duty, until the process ends.
    pub(crate) async fn run(self) {
        let mut is_watching = self.is_watching.clone();
        // The sender is never dropped while the process runs.
        while is_watching.wait_for(|watches| *watches).await.is_ok() {
            tokio::select! {
                () = self.list_and_watch() => {}
                _ = is_watching.wait_for(|watches| !*watches) => {}
            }
            self.feed.set_current(false);
        }
    }

    /// Lists the kind, then watches it.
    ///
    /// When other calls show that an outage has ended, the kind is listed again: a watch from
    /// before the outage may hang, and changes that it missed are not sent later.
    async fn list_and_watch(&self) {
        let kind = self.feed.kind;
        let log = &self.log;
        let mut recoveries = self.health.recoveries();
        let mut retry_delay = MIN_RETRY_DELAY;
        let mut is_store_unavailable = false;
        let mut revision = None;
        loop {
            let after = revision;
            let result = match after {
                None => {
                    let result = self.list().await;
                    if result.is_ok() {
                        recoveries.mark_unchanged();
                    }
                    result
                }
                Some(after) => tokio::select! {
                    result = self.next_changes(after) => result,
                    Ok(()) = recoveries.changed() => {
                        info!(log, "store outage ended; listing again"; "kind" => kind,
                            "revision" => after);
                        revision = None;
                        continue;
                    }
                },
            };
            self.feed.set_current(result.is_ok());
            match result {
                Ok(received) => {
                    revision = Some(received.revision);
                    retry_delay = MIN_RETRY_DELAY;
                    if std::mem::take(&mut is_store_unavailable) {
                        info!(log, "store available again"; "kind" => kind, "revision" => revision);
                    }
                    if received.has_changes {
                        tokio::time::sleep(BATCH_DELAY).await;
                    }
                }
                Err(KindError::HistoryGone) => {
                    info!(log, "watch history expired; listing again"; "kind" => kind,
                        "revision" => revision);
                    revision = None;
                }
                Err(error) => {
                    // List again: a watch from before a disconnection may wait forever, as the
                    // store reports an expired history only with the next change.
                    revision = None;
                    if !std::mem::replace(&mut is_store_unavailable, true) {
                        warn!(log, "store unavailable"; "kind" => kind, "revision" => after,
                            "reason" => error.to_string());
                    }
                    // The next try follows a recovery or the delay, whichever comes first.
                    let _ = tokio::time::timeout(retry_delay, recoveries.changed()).await;
                    retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
                }
            }
        }
    }

    /// Applies a linearizable listing of all objects.
    async fn list(&self) -> Result<CallResult, KindError> {
        let listing = self
            .store
            .list(self.feed.kind, Freshness::Linearizable)
            .await?;
        let revision = listing.revision;
        self.feed.apply_listing(listing);
        Ok(CallResult {
            revision,
            has_changes: false,
        })
    }

    /// Waits for changes and applies them.
    async fn next_changes(&self, after: Revision) -> Result<CallResult, KindError> {
        let mut changes = self
            .store
            .watch(self.feed.kind, after, self.watch_wait, self.freshness)
            .await?;
        if self.freshness == Freshness::Stale {
            // The store's revision may be newer than the state that a stale answer shows.
            changes.revision = changes.newest_revision().unwrap_or(after);
        }
        let received = CallResult {
            revision: changes.revision,
            has_changes: !changes.changes.is_empty(),
        };
        self.feed.apply_changes(changes);
        Ok(received)
    }
}

/// Result of one list or watch call.
struct CallResult {
    /// Revision after which to continue the watch.
    revision: Revision,
    has_changes: bool,
}
