//! Follows all objects of a kind: lists them, then watches, and lists anew when history is gone.

use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn, Logger};

use super::health::StoreHealth;
use super::kinds::{Change, Freshness, KindError, KindObject, KindStore};

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

/// Follows a kind until the process ends.
///
/// When other calls show that an outage has ended, the kind is listed anew: a watch from before may
/// hang, and what it missed is not told later.
pub(crate) async fn follow(
    store: Arc<dyn KindStore>,
    health: Arc<StoreHealth>,
    kind: &'static str,
    sink: Arc<dyn KindSink>,
    log: Logger,
) {
    let mut recoveries = health.recoveries();
    let mut pause = FIRST_PAUSE;
    let mut is_lost = false;
    let mut revision = None;
    loop {
        let after = revision;
        let step = match after {
            None => {
                let step = list(&*store, kind, &*sink).await;
                if step.is_ok() {
                    recoveries.mark_unchanged();
                }
                step
            }
            Some(after) => tokio::select! {
                step = watch(&*store, kind, after, &*sink) => step,
                Ok(()) = recoveries.changed() => {
                    info!(log, "outage ended; listing anew"; "kind" => kind, "revision" => after);
                    revision = None;
                    continue;
                }
            },
        };
        match step {
            Ok(next) => {
                revision = Some(next);
                pause = FIRST_PAUSE;
                if std::mem::take(&mut is_lost) {
                    info!(log, "store regained"; "kind" => kind, "revision" => next);
                }
            }
            Err(KindError::HistoryGone) => {
                info!(log, "history gone; listing anew"; "kind" => kind, "revision" => revision);
                revision = None;
            }
            Err(error) => {
                // A watch from before a cut may wait for ever: the store tells that the history is
                // gone only with the next change.
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

async fn list(store: &dyn KindStore, kind: &str, sink: &dyn KindSink) -> Result<u64, KindError> {
    let listing = store.list(kind, Freshness::Linearizable).await?;
    sink.learn_all(listing.objects);
    Ok(listing.revision)
}

async fn watch(
    store: &dyn KindStore,
    kind: &str,
    after: u64,
    sink: &dyn KindSink,
) -> Result<u64, KindError> {
    let changes = store.watch(kind, after, WATCH_WAIT).await?;
    let has_changes = !changes.changes.is_empty();
    for change in changes.changes {
        sink.learn(change);
    }
    if has_changes {
        tokio::time::sleep(SETTLE_PAUSE).await;
    }
    Ok(changes.revision)
}
