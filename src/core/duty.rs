//! Which routers of a large fleet draw on the ledger and watch the store for all (a hub in each
//! group, by an order that all work out alike).
//!
//! All budgets lie in one object that is changed on condition, so many writers mostly meet one
//! another's changes: their calls are wasted, and the slowest of them never get through. Watches of
//! all routers would make the price of a change grow with the fleet.

use std::collections::HashMap;

use super::ids::FailureDomain;

/// Largest fleet in which each router draws and watches for itself.
const MOST_DIRECT_ROUTERS: usize = 12;
/// Routers that draw for a larger fleet. Each writes at most ten times a second and a write takes
/// some ten milliseconds, so five leave half of the time free.
const MOST_DISTRIBUTORS: usize = 5;
/// Time between two tries of the first router in the order to stand in, in milliseconds.
const STAND_IN_PAUSE_MS: u64 = 1_000;
/// What each further place adds to that time, in milliseconds.
const STAND_IN_PAUSE_STEP_MS: u64 = 250;
/// Routers of each failure domain that watch the store in a larger fleet. The others ask them by
/// turns, so that one which lags behind is noticed.
const WATCHERS_PER_DOMAIN: usize = 2;

/// A router that may draw on the ledger for others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyCandidate {
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Processor time that its VM has, in thousandths of a core.
    pub cpu_millis: u32,
    /// Hash of its address: an order that all routers see alike.
    pub order: u64,
}

/// Number of the routers that draw on the ledger in a fleet of some size.
///
/// ```
/// use currantlever::distributor_count;
/// assert_eq!(distributor_count(9), 9);
/// assert_eq!(distributor_count(90), 5);
/// ```
#[must_use]
pub const fn distributor_count(routers: usize) -> usize {
    if routers <= MOST_DIRECT_ROUTERS {
        return routers;
    }
    MOST_DISTRIBUTORS
}

/// The order in which routers draw on the ledger, by their places in the list: the most capable one
/// of each failure domain, then the next one of each. The first ones have the duty; the others stand
/// in, in this order, when none of those reaches the ledger.
///
/// ```
/// use currantlever::{ledger_order, DutyCandidate, FailureDomain};
/// let candidate = |domain: &str, cpu_millis| DutyCandidate {
///     failure_domain: FailureDomain::new(domain).unwrap(),
///     cpu_millis,
///     order: u64::from(cpu_millis),
/// };
/// let fleet = [candidate("a", 500), candidate("a", 120), candidate("b", 250)];
/// assert_eq!(ledger_order(&fleet.iter().collect::<Vec<_>>()), [0, 2, 1]);
/// ```
#[must_use]
pub fn ledger_order(candidates: &[&DutyCandidate]) -> Vec<usize> {
    let order = order_by_round(candidates);
    order.into_iter().map(|(_, index)| index).collect()
}

/// Time between two tries of a router to stand in for those that draw on the ledger, by its place
/// in the order, in milliseconds.
///
/// All routers try while an outage lasts. The first ones that find the ledger again stand in before
/// the others hear of it, so their number is bounded by the tries of all in that time: it grows with
/// the logarithm of the fleet.
///
/// ```
/// use currantlever::stand_in_pause_ms;
/// assert_eq!(stand_in_pause_ms(0), 1_000);
/// assert_eq!(stand_in_pause_ms(294), 74_500);
/// ```
#[must_use]
pub const fn stand_in_pause_ms(place: usize) -> u64 {
    STAND_IN_PAUSE_MS + STAND_IN_PAUSE_STEP_MS * place as u64
}

/// The routers that watch the store for all, by their places in the list: the most capable two of
/// each failure domain, or all of a small fleet.
///
/// ```
/// use currantlever::{store_watchers, DutyCandidate, FailureDomain};
/// let candidate = |number: u64| DutyCandidate {
///     failure_domain: FailureDomain::new(if number % 2 == 0 { "a" } else { "b" }).unwrap(),
///     cpu_millis: 250,
///     order: number,
/// };
/// let fleet: Vec<_> = (0..40).map(candidate).collect();
/// let watchers = store_watchers(&fleet.iter().collect::<Vec<_>>());
/// assert_eq!(watchers, [0, 1, 2, 3]);
/// ```
#[must_use]
pub fn store_watchers(candidates: &[&DutyCandidate]) -> Vec<usize> {
    let rounds = if candidates.len() <= MOST_DIRECT_ROUTERS {
        candidates.len()
    } else {
        WATCHERS_PER_DOMAIN
    };
    let order = order_by_round(candidates).into_iter();
    let watchers = order.take_while(|(round, _)| *round < rounds);
    watchers.map(|(_, index)| index).collect()
}

/// The candidates' places by their rank in their failure domain, and by capacity within a rank.
fn order_by_round(candidates: &[&DutyCandidate]) -> Vec<(usize, usize)> {
    let mut ranked: Vec<usize> = (0..candidates.len()).collect();
    ranked.sort_by_key(|index| {
        let candidate = candidates[*index];
        (std::cmp::Reverse(candidate.cpu_millis), candidate.order)
    });
    let mut in_domain: HashMap<&FailureDomain, usize> = HashMap::new();
    let mut placed: Vec<(usize, usize)> = Vec::with_capacity(ranked.len());
    for index in ranked {
        let count = in_domain
            .entry(&candidates[index].failure_domain)
            .or_default();
        placed.push((*count, index));
        *count += 1;
    }
    // The sort is stable: within a round over the domains the more capable stay first.
    placed.sort_by_key(|(round, _)| *round);
    placed
}
