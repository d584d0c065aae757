//! Progress of a try at a replica, observed while another replica still serves the stream.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

/// Time after sending without a refusal, after which a try counts as taken. Replicas refuse at
/// once; the head of an answer may take as long as its first event.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(250);

/// When the present try was sent; `None` if it was not sent yet or has ended without an answer.
#[derive(Debug)]
pub(crate) struct DispatchProgress {
    sent_at: watch::Sender<Option<Instant>>,
}

impl DispatchProgress {
    /// Creates the progress of a run that has sent nothing.
    pub(crate) fn new() -> Self {
        Self {
            sent_at: watch::Sender::new(None),
        }
    }

    /// Records that the request is being sent on an open connection.
    pub(crate) fn record_sent(&self) {
        self.sent_at.send_replace(Some(Instant::now()));
    }

    /// Records that a try has ended or has not begun yet.
    pub(super) fn reset(&self) {
        self.sent_at.send_replace(None);
    }

    /// Returns a view of the progress that does not borrow the run.
    pub(super) fn watch(&self) -> DispatchWatch {
        DispatchWatch {
            sent_at: self.sent_at.subscribe(),
        }
    }
}

/// A view of the progress of a run's tries.
#[derive(Debug)]
pub(super) struct DispatchWatch {
    sent_at: watch::Receiver<Option<Instant>>,
}

impl DispatchWatch {
    /// Waits until a try was sent and not refused for a time.
    pub(super) async fn taken(mut self) {
        loop {
            let sent_at = *self.sent_at.borrow_and_update();
            let changed = self.sent_at.changed();
            let is_closed = match sent_at {
                Some(sent_at) => {
                    match tokio::time::timeout_at(sent_at + REFUSAL_TIMEOUT, changed).await {
                        Ok(changed) => changed.is_err(),
                        Err(_) => return,
                    }
                }
                None => changed.await.is_err(),
            };
            if is_closed {
                return std::future::pending().await;
            }
        }
    }
}
