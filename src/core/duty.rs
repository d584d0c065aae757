//! Which routers of a large fleet draw on the ledger for all.
//!
//! All budgets lie in one object that is changed on condition, so many writers mostly meet one
//! another's changes: their calls are wasted, and the slowest of them never get through.

use std::collections::HashMap;

use super::ids::FailureDomain;

/// Largest fleet in which each router draws for itself.
const MOST_DIRECT_ROUTERS: usize = 12;
/// Routers that draw for a larger fleet. Each writes at most ten times a second and a write takes
/// some ten milliseconds, so five leave half of the time free.
const MOST_DISTRIBUTORS: usize = 5;

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
    placed.into_iter().map(|(_, index)| index).collect()
}
