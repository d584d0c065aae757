//! Activity of a caller's connection, for its idle and head timeouts.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::OnceLock;
use std::time::Duration;

use compact_str::CompactString;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::util::millis;

/// Marks the absence of a time.
const NO_TIME: u64 = u64::MAX;

/// Tracks the requests and partial request heads of a connection.
#[derive(Debug)]
pub(super) struct Activity {
    started: Instant,
    last_end_ms: AtomicU64,
    in_progress: AtomicUsize,
    head_since_ms: AtomicU64,
    head_started: Notify,
    must_reset: AtomicBool,
    end_reason: OnceLock<CompactString>,
}

impl Activity {
    /// Creates the state of a connection that was just opened.
    pub(super) fn new() -> Self {
        Self {
            started: Instant::now(),
            last_end_ms: AtomicU64::new(0),
            in_progress: AtomicUsize::new(0),
            head_since_ms: AtomicU64::new(NO_TIME),
            head_started: Notify::new(),
            must_reset: AtomicBool::new(false),
            end_reason: OnceLock::new(),
        }
    }

    /// Returns when the last request ended, or the connection was opened.
    pub(super) fn idle_since(&self) -> Instant {
        self.started + Duration::from_millis(self.last_end_ms.load(Ordering::Relaxed))
    }

    /// Returns true while a request is in progress, from the end of its head on.
    pub(super) fn is_busy(&self) -> bool {
        self.in_progress.load(Ordering::Relaxed) > 0
    }

    /// Returns when the first bytes of an incomplete head were received, if there is one.
    pub(super) fn head_since(&self) -> Option<Instant> {
        let since_ms = self.head_since_ms.load(Ordering::Relaxed);
        (since_ms != NO_TIME).then(|| self.started + Duration::from_millis(since_ms))
    }

    /// Waits for the first bytes of a head.
    pub(super) async fn head_started(&self) {
        self.head_started.notified().await;
    }

    /// Records that bytes were received.
    pub(super) fn record_bytes(&self) {
        if !self.is_busy() && self.head_since().is_none() {
            self.head_since_ms.store(self.now_ms(), Ordering::Relaxed);
            self.head_started.notify_one();
        }
    }

    /// Records that the head of a request is complete.
    pub(super) fn begin_request(&self) {
        self.in_progress.fetch_add(1, Ordering::Relaxed);
        self.head_since_ms.store(NO_TIME, Ordering::Relaxed);
    }

    /// Records that a request has ended.
    pub(super) fn end_request(&self) {
        self.last_end_ms.store(self.now_ms(), Ordering::Relaxed);
        self.in_progress.fetch_sub(1, Ordering::Relaxed);
    }

    /// Sets whether the connection must end with a reset, since its regular end would state the end
    /// of an answer that is not whole.
    pub(super) fn set_must_reset(&self, must_reset: bool) {
        self.must_reset.store(must_reset, Ordering::Relaxed);
    }

    /// Returns true if the connection must end with a reset.
    pub(super) fn must_reset(&self) -> bool {
        self.must_reset.load(Ordering::Relaxed)
    }

    /// Records why the connection ends. Only the first reason is kept.
    pub(super) fn set_end_reason(&self, reason: CompactString) {
        let _ = self.end_reason.set(reason);
    }

    /// Returns why the connection ends, if it does.
    pub(super) fn end_reason(&self) -> Option<&str> {
        self.end_reason.get().map(CompactString::as_str)
    }

    fn now_ms(&self) -> u64 {
        millis(self.started.elapsed())
    }
}
