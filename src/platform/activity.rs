//! Activity of a client's connection, for its timeouts and for the choice of connections to close.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::OnceLock;
use std::time::Duration;

use compact_str::CompactString;
use strum::IntoStaticStr;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::util::millis;

/// Marks the absence of a time.
const NO_TIME: u64 = u64::MAX;

/// What a connection waits for its client to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum ClientWait {
    /// To send a request.
    Idle,
    /// To send the rest of a request head.
    Head,
    /// To send the rest of a body.
    Body,
    /// To read an answer.
    Reading,
}

/// Tracks the requests, partial request heads and blocked writes of a connection.
#[derive(Debug)]
pub(super) struct Activity {
    started: Instant,
    last_end_ms: AtomicU64,
    in_progress: AtomicUsize,
    head_since: OptionalTime,
    body_since: OptionalTime,
    write_blocked_since: OptionalTime,
    has_answered: AtomicBool,
    wait_started: Notify,
    close_requested: Notify,
    must_reset: AtomicBool,
    end_reason: OnceLock<CompactString>,
}

/// A time in milliseconds since the connection was opened, or none.
#[derive(Debug)]
struct OptionalTime(AtomicU64);

impl OptionalTime {
    const fn none() -> Self {
        Self(AtomicU64::new(NO_TIME))
    }

    fn get(&self) -> Option<u64> {
        let ms = self.0.load(Ordering::Relaxed);
        (ms != NO_TIME).then_some(ms)
    }

    fn set(&self, ms: u64) {
        self.0.store(ms, Ordering::Relaxed);
    }

    fn clear(&self) {
        self.set(NO_TIME);
    }
}

impl Activity {
    /// Creates the state of a connection that was just opened.
    pub(super) fn new() -> Self {
        Self {
            started: Instant::now(),
            last_end_ms: AtomicU64::new(0),
            in_progress: AtomicUsize::new(0),
            head_since: OptionalTime::none(),
            body_since: OptionalTime::none(),
            write_blocked_since: OptionalTime::none(),
            has_answered: AtomicBool::new(false),
            wait_started: Notify::new(),
            close_requested: Notify::new(),
            must_reset: AtomicBool::new(false),
            end_reason: OnceLock::new(),
        }
    }

    /// Returns what the connection waits for its client to do and since when; `None` while the
    /// router works on a request.
    pub(super) fn client_wait(&self) -> Option<(ClientWait, Instant)> {
        let (wait, since_ms) = if let Some(ms) = self.write_blocked_since.get() {
            (ClientWait::Reading, ms)
        } else if let Some(ms) = self.body_since.get() {
            (ClientWait::Body, ms)
        } else if self.is_busy() {
            return None;
        } else if let Some(ms) = self.head_since.get() {
            (ClientWait::Head, ms)
        } else {
            (ClientWait::Idle, self.last_end_ms.load(Ordering::Relaxed))
        };
        Some((wait, self.started + Duration::from_millis(since_ms)))
    }

    /// Returns true if a request was answered on this connection.
    pub(super) fn has_answered(&self) -> bool {
        self.has_answered.load(Ordering::Relaxed)
    }

    /// Waits for the first bytes of a head, or for a write that does not proceed.
    pub(super) async fn wait_started(&self) {
        self.wait_started.notified().await;
    }

    /// Records that bytes were received.
    pub(super) fn record_bytes(&self) {
        if !self.is_busy() && self.head_since.get().is_none() {
            self.head_since.set(self.now_ms());
            self.wait_started.notify_one();
        }
    }

    /// Records whether a write proceeded.
    pub(super) fn record_write(&self, is_blocked: bool) {
        if !is_blocked {
            self.write_blocked_since.clear();
        } else if self.write_blocked_since.get().is_none() {
            self.write_blocked_since.set(self.now_ms());
            self.wait_started.notify_one();
        }
    }

    /// Records that the head of a request is complete.
    pub(super) fn begin_request(&self) {
        self.in_progress.fetch_add(1, Ordering::Relaxed);
        self.head_since.clear();
        self.body_since.set(self.now_ms());
    }

    /// Records that the body of the request was read or is not waited for.
    pub(super) fn end_body(&self) {
        self.body_since.clear();
    }

    /// Records that a request was answered.
    pub(super) fn record_answer(&self) {
        self.has_answered.store(true, Ordering::Relaxed);
    }

    /// Records that a request has ended.
    pub(super) fn end_request(&self) {
        self.end_body();
        self.last_end_ms.store(self.now_ms(), Ordering::Relaxed);
        self.in_progress.fetch_sub(1, Ordering::Relaxed);
    }

    /// Requests that the connection is closed, whatever happens on it.
    pub(super) fn request_close(&self) {
        self.close_requested.notify_one();
    }

    /// Waits until the connection is to be closed.
    pub(super) async fn close_requested(&self) {
        self.close_requested.notified().await;
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

    fn is_busy(&self) -> bool {
        self.in_progress.load(Ordering::Relaxed) > 0
    }

    fn now_ms(&self) -> u64 {
        millis(self.started.elapsed())
    }
}
