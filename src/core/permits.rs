//! Token bucket by which a router issues permits for requests to a rate-limited replica.
//!
//! [`ISSUER_COUNT`] routers issue permits for a replica. The first issues them at the replica's
//! limit. The others stand in for it, each at a smaller share, and need not know whether it is
//! alive: all shares together stay within one and a half times the limit.

use super::rate_limit::RateLimit;

/// Routers that may issue permits for one replica.
pub const ISSUER_COUNT: usize = 4;
/// Share of the limit that each issuer may use, in percent.
const SHARES_PERCENT: [u64; ISSUER_COUNT] = [100, 25, 12, 6];
/// Permits that each issuer may accumulate.
const CAPACITIES: [u64; ISSUER_COUNT] = [2, 1, 1, 1];
/// Time in which the first issuer may accumulate permits beyond its capacity, in milliseconds.
const BURST_WINDOW_MS: u64 = 200;
/// Smallest rate of the first issuer, in thousandths of a permit per second. Only the answer to a
/// request shows that a limit has changed.
const MIN_RATE_MILLI: u64 = 200;
/// Units of a bucket in one permit: thousandths of a permit per second times milliseconds.
const UNITS_PER_PERMIT: u64 = 1_000_000;
/// Permits that less urgent requests leave in the bucket while more urgent ones are denied.
const URGENT_RESERVE: u64 = 1;
/// Time for which a denied request counts as demand of its rank, in milliseconds.
const DEMAND_WINDOW_MS: u64 = 2_000;
/// One permit in so many is issued regardless of rank.
const OPEN_PERMIT_INTERVAL: u64 = 4;
/// Longest time after which a denied request may be repeated, in milliseconds.
const MAX_WAIT_MS: u64 = 5_000;

/// No permit is available.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermitDenial {
    /// Time until the next permit for this rank, in milliseconds.
    pub wait_ms: u64,
    /// Time after which a refused caller may repeat its request, in milliseconds. It grows with
    /// the number of requests denied since the last permit.
    pub retry_after_ms: u64,
}

/// Permits of one issuer for one replica.
///
/// ```
/// use currantlever::{PermitBucket, RateLimit};
/// let mut bucket = PermitBucket::new(0);
/// let limit = RateLimit::new(1_000);
/// assert_eq!(bucket.try_take(0, limit, 0, 0).unwrap_err().wait_ms, 1_000);
/// assert!(bucket.try_take(1_000, limit, 0, 0).is_ok());
/// ```
#[derive(Clone, Debug)]
pub struct PermitBucket {
    units: u64,
    updated_ms: u64,
    issued: u64,
    denied_since_issue: u64,
    /// Most urgent rank denied within the demand window, and when.
    urgent_denial: Option<(u8, u64)>,
}

impl PermitBucket {
    /// Creates an empty bucket.
    #[must_use]
    pub const fn new(now_ms: u64) -> Self {
        Self {
            units: 0,
            updated_ms: now_ms,
            issued: 0,
            denied_since_issue: 0,
            urgent_denial: None,
        }
    }

    /// Takes a permit for a request of a rank; 0 is the most urgent one. `position` is the place of
    /// this router among the issuers.
    ///
    /// # Errors
    ///
    /// Fails when no permit is available for this rank.
    pub fn try_take(
        &mut self,
        now_ms: u64,
        limit: RateLimit,
        position: usize,
        rank: u8,
    ) -> Result<(), PermitDenial> {
        let rate = rate_milli(limit, position);
        let capacity = capacity_units(rate, position);
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms);
        self.updated_ms = self.updated_ms.max(now_ms);
        self.units = self
            .units
            .saturating_add(rate.saturating_mul(elapsed_ms))
            .min(capacity);
        let reserved = if self.is_reserved(now_ms, rank) {
            URGENT_RESERVE * UNITS_PER_PERMIT
        } else {
            0
        };
        let needed = (UNITS_PER_PERMIT + reserved).min(capacity);
        if capacity >= UNITS_PER_PERMIT && self.units >= needed {
            self.units -= UNITS_PER_PERMIT;
            self.issued += 1;
            self.denied_since_issue = 0;
            return Ok(());
        }
        self.record_denial(now_ms, rank);
        let time_for = |units: u64| units.div_ceil(rate.max(1)).min(MAX_WAIT_MS);
        let wait_ms = time_for(needed - self.units.min(needed)).max(1);
        let queue_ms = time_for(UNITS_PER_PERMIT).saturating_mul(self.denied_since_issue - 1) / 2;
        Err(PermitDenial {
            wait_ms,
            retry_after_ms: (wait_ms + queue_ms).min(MAX_WAIT_MS),
        })
    }

    /// Returns true if a request of this rank leaves a permit for more urgent ones.
    fn is_reserved(&self, now_ms: u64, rank: u8) -> bool {
        let is_open = self.issued % OPEN_PERMIT_INTERVAL == OPEN_PERMIT_INTERVAL - 1;
        let has_more_urgent = self.urgent_denial.is_some_and(|(urgent_rank, at_ms)| {
            urgent_rank < rank && now_ms.saturating_sub(at_ms) < DEMAND_WINDOW_MS
        });
        has_more_urgent && !is_open
    }

    fn record_denial(&mut self, now_ms: u64, rank: u8) {
        self.denied_since_issue += 1;
        let is_superseded = self.urgent_denial.is_none_or(|(urgent_rank, at_ms)| {
            rank <= urgent_rank || now_ms.saturating_sub(at_ms) >= DEMAND_WINDOW_MS
        });
        if is_superseded {
            self.urgent_denial = Some((rank, now_ms));
        }
    }
}

/// Returns the rate of an issuer, in thousandths of a permit per second.
fn rate_milli(limit: RateLimit, position: usize) -> u64 {
    let share_percent = SHARES_PERCENT.get(position).copied().unwrap_or(0);
    let rate = u64::from(limit.milli_per_second()) * share_percent / 100;
    if position == 0 {
        rate.max(MIN_RATE_MILLI)
    } else {
        rate
    }
}

fn capacity_units(rate: u64, position: usize) -> u64 {
    let permits = CAPACITIES.get(position).copied().unwrap_or(0);
    let burst = if position == 0 {
        rate.saturating_mul(BURST_WINDOW_MS)
    } else {
        0
    };
    permits * UNITS_PER_PERMIT + burst
}
