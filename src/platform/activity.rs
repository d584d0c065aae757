//! What goes on on a caller's connection.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::util::millis;

/// Stands for no time.
const NEVER: u64 = u64::MAX;

/// When a connection was last in use.
#[derive(Debug)]
pub(super) struct Activity {
    started: Instant,
    last_ms: AtomicU64,
    busy: AtomicUsize,
    head_since_ms: AtomicU64,
    head_began: Notify,
}

impl Activity {
    /// A connection that was just opened.
    pub(super) fn new() -> Self {
        Self {
            started: Instant::now(),
            last_ms: AtomicU64::new(0),
            busy: AtomicUsize::new(0),
            head_since_ms: AtomicU64::new(NEVER),
            head_began: Notify::new(),
        }
    }

    /// End of the last request.
    pub(super) fn idle_since(&self) -> Instant {
        self.started + Duration::from_millis(self.last_ms.load(Ordering::Relaxed))
    }

    /// True while a request is in progress, from the end of its head.
    pub(super) fn is_busy(&self) -> bool {
        self.busy.load(Ordering::Relaxed) > 0
    }

    /// When the first bytes of a head came that is not whole yet.
    pub(super) fn head_since(&self) -> Option<Instant> {
        let since_ms = self.head_since_ms.load(Ordering::Relaxed);
        (since_ms != NEVER).then(|| self.started + Duration::from_millis(since_ms))
    }

    /// Waits for the first bytes of a head.
    pub(super) async fn head_began(&self) {
        self.head_began.notified().await;
    }

    /// Notes bytes from the caller.
    pub(super) fn note_bytes(&self) {
        if !self.is_busy() && self.head_since().is_none() {
            self.head_since_ms.store(self.now_ms(), Ordering::Relaxed);
            self.head_began.notify_one();
        }
    }

    /// Notes that the head of a request is whole.
    pub(super) fn begin_request(&self) {
        self.busy.fetch_add(1, Ordering::Relaxed);
        self.head_since_ms.store(NEVER, Ordering::Relaxed);
    }

    /// Notes that a request is over.
    pub(super) fn end_request(&self) {
        self.last_ms.store(self.now_ms(), Ordering::Relaxed);
        self.busy.fetch_sub(1, Ordering::Relaxed);
    }

    fn now_ms(&self) -> u64 {
        millis(self.started.elapsed())
    }
}
