//! This router's spare capacity, used to weight the addresses returned to callers.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use super::path_monitor::PathMonitor;
use crate::util::millis;

/// Timer lag of the process at which its spare capacity is zero, in milliseconds.
const MAX_LAG_MS: u64 = 500;
/// Weight of a new sample in the moving average of the lag, in hundredths.
const LAG_WEIGHT_PERCENT: u64 = 20;

/// Spare capacity reported by a router without a path to the replicas, so that callers are told
/// others while these have more.
const NO_PATH_HEADROOM_PERCENT: u8 = 5;

/// Returns the number of open connections.
pub(crate) type OpenConnections = Box<dyn Fn() -> usize + Send + Sync>;

/// Spare capacity of one router.
pub(crate) struct Headroom {
    max_connections: u64,
    open_connections: OpenConnections,
    paths: Arc<PathMonitor>,
    lag_ms: AtomicU64,
}

impl fmt::Debug for Headroom {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Headroom").finish_non_exhaustive()
    }
}

impl Headroom {
    /// Creates the capacity for a number of connections, which is not zero.
    pub(crate) fn new(
        max_connections: usize,
        open_connections: OpenConnections,
        paths: Arc<PathMonitor>,
    ) -> Self {
        Self {
            max_connections: max_connections as u64,
            open_connections,
            paths,
            lag_ms: AtomicU64::new(0),
        }
    }

    /// Records how late a timer fired.
    pub(crate) fn record_lag(&self, lag: Duration) {
        let before = self.lag_ms.load(Ordering::Relaxed);
        let average =
            (before * (100 - LAG_WEIGHT_PERCENT) + millis(lag) * LAG_WEIGHT_PERCENT) / 100;
        self.lag_ms.store(average, Ordering::Relaxed);
    }

    /// Returns the free share of connections or of timer lag, whichever is less, in hundredths; a
    /// small share while this router has no path to the replicas.
    pub(crate) fn percent(&self) -> u8 {
        let open = (self.open_connections)() as u64;
        let free = self.max_connections.saturating_sub(open) * 100 / self.max_connections;
        let lag_ms = self.lag_ms.load(Ordering::Relaxed).min(MAX_LAG_MS);
        let time = (MAX_LAG_MS - lag_ms) * 100 / MAX_LAG_MS;
        let percent = u8::try_from(free.min(time)).unwrap_or(100);
        if self.paths.has_path() {
            percent
        } else {
            percent.min(NO_PATH_HEADROOM_PERCENT)
        }
    }
}
