//! Selection of the routers that keep the origin of a stream for all others.
//!
//! Each router computes the same order by rendezvous hashing, the best router of each failure domain
//! first. The router that begins a stream tells the first few others, in as many failure domains as
//! possible; another one asks the first few. A router may be in the order itself and is passed over
//! then, so both see the same order but for themselves.

use std::collections::{HashMap, HashSet};
use std::hash::Hasher;

use twox_hash::XxHash64;

use super::duty::DutyCandidate;
use super::ids::FailureDomain;
use super::stream_origin::StreamId;

/// Routers that are told the origin of a stream.
pub const KEEPER_COUNT: usize = 3;
/// Further routers that are told when too few of those acknowledge.
pub const SPARE_KEEPER_COUNT: usize = 3;
/// Routers that are asked for the origin of a stream first.
pub const FIRST_SOURCE_COUNT: usize = 5;
/// Routers that are asked in all, if none of the first knows.
pub const SOURCE_COUNT: usize = 10;
/// Largest number of other routers that are all asked at once.
pub const MAX_DIRECT_SOURCES: usize = 12;

/// Returns the order of all routers for a stream, as indices into the list.
#[must_use]
pub fn keeper_order(stream: StreamId, routers: &[&DutyCandidate]) -> Vec<usize> {
    let mut by_hash: Vec<(u64, usize)> = routers
        .iter()
        .enumerate()
        .map(|(index, router)| (keeper_hash(stream, router.tie_breaker), index))
        .collect();
    by_hash.sort_unstable();
    let mut domain_counts: HashMap<&FailureDomain, usize> = HashMap::new();
    let mut rounds_and_indices: Vec<(usize, usize)> = Vec::with_capacity(by_hash.len());
    for (_, index) in by_hash {
        let count = domain_counts
            .entry(&routers[index].failure_domain)
            .or_default();
        rounds_and_indices.push((*count, index));
        *count += 1;
    }
    // The sort is stable, so the order by hash remains within a round.
    rounds_and_indices.sort_by_key(|(round, _)| *round);
    rounds_and_indices
        .into_iter()
        .map(|(_, index)| index)
        .collect()
}

/// Returns the routers that the router `own` tells the origin of a stream that it begins: the
/// keepers, then the spare ones.
///
/// ```
/// use currantlever::{keepers, DutyCandidate, FailureDomain, StreamId};
/// let router = |number: u64| DutyCandidate {
///     failure_domain: FailureDomain::new(format!("d-{}", number % 3)).unwrap(),
///     cpu_millis: 250,
///     tie_breaker: number,
/// };
/// let fleet: Vec<_> = (0..9).map(router).collect();
/// let keepers = keepers(StreamId::new("red", "a-1"), &fleet.iter().collect::<Vec<_>>(), 4);
/// assert_eq!(keepers.len(), 6);
/// assert!(!keepers.contains(&4));
/// ```
#[must_use]
pub fn keepers(stream: StreamId, routers: &[&DutyCandidate], own: usize) -> Vec<usize> {
    let mut others = keeper_order(stream, routers);
    others.retain(|index| *index != own);
    let mut domains: HashSet<&FailureDomain> = HashSet::new();
    let mut chosen: Vec<usize> = others
        .iter()
        .copied()
        .filter(|index| domains.insert(&routers[*index].failure_domain))
        .take(KEEPER_COUNT)
        .collect();
    others.retain(|index| !chosen.contains(index));
    others.truncate(KEEPER_COUNT - chosen.len() + SPARE_KEEPER_COUNT);
    chosen.append(&mut others);
    chosen
}

/// Returns the routers that the router `own` asks for the origin of a stream, the first ones first,
/// and how many of them to ask at once.
#[must_use]
pub fn sources(stream: StreamId, routers: &[&DutyCandidate], own: usize) -> (Vec<usize>, usize) {
    let mut order = keeper_order(stream, routers);
    order.retain(|index| *index != own);
    if order.len() <= MAX_DIRECT_SOURCES {
        let count = order.len();
        return (order, count);
    }
    order.truncate(SOURCE_COUNT);
    (order, FIRST_SOURCE_COUNT)
}

/// Returns a rendezvous hash; the lowest comes first.
fn keeper_hash(stream: StreamId, router: u64) -> u64 {
    let mut hasher = XxHash64::with_seed(0);
    hasher.write(stream.as_bytes());
    hasher.write_u64(router);
    hasher.finish()
}
