//! Selection of the routers of a large fleet that draw on the ledger and watch the store for all
//! others. Each router computes the same selection.
//!
//! All budgets are in one object that is changed by conditional updates, so many writers mostly
//! cause conflicts: calls are wasted, and the slowest writers starve. If all routers watched the
//! store, the cost of a change would grow with the fleet.

use std::collections::HashMap;

use super::ids::FailureDomain;

/// Largest fleet in which each router draws and watches for itself.
const MAX_DIRECT_ROUTERS: usize = 12;
/// Number of routers that draw for a larger fleet. Each writes at most ten times a second and a
/// write takes some ten milliseconds, so five leave half of the time free.
const MAX_DISTRIBUTORS: usize = 5;
/// Interval between the attempts to stand in of the first router in the order, in milliseconds.
const STAND_IN_INTERVAL_MS: u64 = 1_000;
/// Increase of that interval for each further position in the order, in milliseconds.
const STAND_IN_INTERVAL_STEP_MS: u64 = 250;
/// Number of routers of each failure domain that watch the store in a larger fleet. The others
/// query them in turn, so that a watcher that lags is noticed.
const WATCHERS_PER_DOMAIN: usize = 2;

/// A router that may draw on the ledger or watch the store for others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyCandidate {
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// CPU capacity of its VM, in thousandths of a core.
    pub cpu_millis: u32,
    /// Hash of its address: a tie-breaker that is the same at all routers.
    pub tie_breaker: u64,
}

/// Returns the number of routers that draw on the ledger in a fleet of the given size.
///
/// ```
/// use currantlever::distributor_count;
/// assert_eq!(distributor_count(9), 9);
/// assert_eq!(distributor_count(90), 5);
/// ```
#[must_use]
pub const fn distributor_count(routers: usize) -> usize {
    if routers <= MAX_DIRECT_ROUTERS {
        return routers;
    }
    MAX_DISTRIBUTORS
}

/// Returns the order in which routers draw on the ledger, as indices into the list: the most
/// capable one of each failure domain, then the next one of each. The first [`distributor_count`]
/// routers are on duty; the others stand in, in this order, when none of those reaches the ledger.
///
/// ```
/// use currantlever::{ledger_order, DutyCandidate, FailureDomain};
/// let candidate = |domain: &str, cpu_millis| DutyCandidate {
///     failure_domain: FailureDomain::new(domain).unwrap(),
///     cpu_millis,
///     tie_breaker: u64::from(cpu_millis),
/// };
/// let fleet = [candidate("a", 500), candidate("a", 120), candidate("b", 250)];
/// assert_eq!(ledger_order(&fleet.iter().collect::<Vec<_>>()), [0, 2, 1]);
/// ```
#[must_use]
pub fn ledger_order(candidates: &[&DutyCandidate]) -> Vec<usize> {
    let order = order_by_round(candidates);
    order.into_iter().map(|(_, index)| index).collect()
}

/// Returns the interval between a router's attempts to stand in for those on duty, by its position
/// in the order, in milliseconds.
///
/// All routers try during an outage. The first that reach the ledger again stand in before the
/// others are notified, so their number is bounded by the attempts of the whole fleet in that time,
/// which grow with the logarithm of the fleet's size.
///
/// ```
/// use currantlever::stand_in_interval_ms;
/// assert_eq!(stand_in_interval_ms(0), 1_000);
/// assert_eq!(stand_in_interval_ms(294), 74_500);
/// ```
#[must_use]
pub const fn stand_in_interval_ms(position: usize) -> u64 {
    STAND_IN_INTERVAL_MS + STAND_IN_INTERVAL_STEP_MS * position as u64
}

/// Returns the routers that watch the store for all, as indices into the list: the two most capable
/// of each failure domain, or all of a small fleet.
///
/// ```
/// use currantlever::{store_watchers, DutyCandidate, FailureDomain};
/// let candidate = |number: u64| DutyCandidate {
///     failure_domain: FailureDomain::new(if number % 2 == 0 { "a" } else { "b" }).unwrap(),
///     cpu_millis: 250,
///     tie_breaker: number,
/// };
/// let fleet: Vec<_> = (0..40).map(candidate).collect();
/// let watchers = store_watchers(&fleet.iter().collect::<Vec<_>>());
/// assert_eq!(watchers, [0, 1, 2, 3]);
/// ```
#[must_use]
pub fn store_watchers(candidates: &[&DutyCandidate]) -> Vec<usize> {
    let rounds = if candidates.len() <= MAX_DIRECT_ROUTERS {
        candidates.len()
    } else {
        WATCHERS_PER_DOMAIN
    };
    let order = order_by_round(candidates).into_iter();
    let watchers = order.take_while(|(round, _)| *round < rounds);
    watchers.map(|(_, index)| index).collect()
}

/// Returns the candidates' rounds and indices, sorted by round. A round has the next most capable
/// candidate of each failure domain and is itself sorted by capacity.
fn order_by_round(candidates: &[&DutyCandidate]) -> Vec<(usize, usize)> {
    let mut by_capacity: Vec<usize> = (0..candidates.len()).collect();
    by_capacity.sort_by_key(|index| {
        let candidate = candidates[*index];
        (
            std::cmp::Reverse(candidate.cpu_millis),
            candidate.tie_breaker,
        )
    });
    let mut domain_counts: HashMap<&FailureDomain, usize> = HashMap::new();
    let mut rounds_and_indices: Vec<(usize, usize)> = Vec::with_capacity(by_capacity.len());
    for index in by_capacity {
        let count = domain_counts
            .entry(&candidates[index].failure_domain)
            .or_default();
        rounds_and_indices.push((*count, index));
        *count += 1;
    }
    // The sort is stable, so the order by capacity remains within a round.
    rounds_and_indices.sort_by_key(|(round, _)| *round);
    rounds_and_indices
}
