//! Utility functions shared by several modules.

use std::hash::Hasher;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use twox_hash::XxHash64;

/// Locks a mutex, ignoring poisoning by a thread that panicked while it held the lock.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns a hash of several strings that is the same on all routers.
pub(crate) fn stable_hash(parts: &[&str]) -> u64 {
    let mut hasher = XxHash64::with_seed(0);
    for part in parts {
        hasher.write(part.as_bytes());
        hasher.write_u8(0);
    }
    hasher.finish()
}

/// Returns a 32-bit hash of a string that is the same on all routers.
#[allow(
    clippy::cast_possible_truncation,
    reason = "the low 32 bits are the digest"
)]
pub(crate) fn short_digest(text: &str) -> u32 {
    stable_hash(&[text]) as u32
}

/// Returns the seconds since the Unix epoch, for timestamps that people read and for the expiry of
/// old records.
pub(crate) fn unix_time_s() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_secs())
}

/// Returns a duration in whole milliseconds, saturating at `u64::MAX`.
pub(crate) fn millis(time: std::time::Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
