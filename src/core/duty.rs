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

/// The candidates that draw on the ledger, by their places in the list, the first one first: all of
/// a small fleet; of a larger one the most capable of each failure domain, then the next ones.
///
/// ```
/// use currantlever::{ledger_distributors, DutyCandidate, FailureDomain};
/// let candidate = |domain: &str, cpu_millis| DutyCandidate {
///     failure_domain: FailureDomain::new(domain).unwrap(),
///     cpu_millis,
///     order: u64::from(cpu_millis),
/// };
/// let mut fleet = vec![candidate("a", 120); 40];
/// fleet.push(candidate("a", 500));
/// fleet.push(candidate("b", 250));
/// assert_eq!(ledger_distributors(&fleet)[..2], [40, 41]);
/// assert_eq!(ledger_distributors(&fleet[38..]).len(), 4);
/// ```
#[must_use]
pub fn ledger_distributors(candidates: &[DutyCandidate]) -> Vec<usize> {
    let mut ranked: Vec<usize> = (0..candidates.len()).collect();
    ranked.sort_by_key(|index| {
        let candidate = &candidates[*index];
        (std::cmp::Reverse(candidate.cpu_millis), candidate.order)
    });
    if ranked.len() <= MOST_DIRECT_ROUTERS {
        return ranked;
    }
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
    placed.truncate(MOST_DISTRIBUTORS);
    placed.into_iter().map(|(_, index)| index).collect()
}
