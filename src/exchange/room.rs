//! How much more this router can take on, for those that tell callers where to connect.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::util::millis;

/// Descriptors that are not for connections: files, listeners, the store and other routers.
const RESERVED_DESCRIPTORS: u64 = 300;
/// Lag of the process's own timers at which it has no room, in milliseconds.
const MOST_LAG_MS: u64 = 500;
/// Part of a new lag in the average, in hundredths.
const NEW_LAG_PERCENT: u64 = 20;

/// Counts open connections.
pub(crate) type OpenConnections = Box<dyn Fn() -> usize + Send + Sync>;

/// Room of one router.
pub(crate) struct Room {
    descriptors: u64,
    open_connections: OpenConnections,
    lag_ms: AtomicU64,
}

impl fmt::Debug for Room {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Room").finish_non_exhaustive()
    }
}

impl Room {
    /// Room within a number of descriptors.
    pub(crate) fn new(max_descriptors: u32, open_connections: OpenConnections) -> Self {
        Self {
            descriptors: u64::from(max_descriptors)
                .saturating_sub(RESERVED_DESCRIPTORS)
                .max(1),
            open_connections,
            lag_ms: AtomicU64::new(0),
        }
    }

    /// Notes how late a timer fired.
    pub(crate) fn note_lag(&self, lag: Duration) {
        let before = self.lag_ms.load(Ordering::Relaxed);
        let average = (before * (100 - NEW_LAG_PERCENT) + millis(lag) * NEW_LAG_PERCENT) / 100;
        self.lag_ms.store(average, Ordering::Relaxed);
    }

    /// What is left of descriptors or of time, whichever is less, in hundredths.
    pub(crate) fn percent(&self) -> u8 {
        let open = (self.open_connections)() as u64;
        let free = self.descriptors.saturating_sub(open) * 100 / self.descriptors;
        let lag_ms = self.lag_ms.load(Ordering::Relaxed).min(MOST_LAG_MS);
        let time = (MOST_LAG_MS - lag_ms) * 100 / MOST_LAG_MS;
        u8::try_from(free.min(time)).unwrap_or(100)
    }
}
