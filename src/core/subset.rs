//! Selects the router addresses returned to a caller: deterministic subsetting on a hash ring,
//! weighted by capacity.
//!
//! A caller picks a random address of an answer and drops connections to addresses that a later
//! answer lacks. Some callers send all requests of a team over the first address picked and stay
//! with it, so large routers must be picked more often: the size of an answer is the capacity of
//! the caller's failure domain, counted in routers of the largest size, within fixed bounds.
//! Routers are placed on a ring by hash, larger ones with several virtual nodes, and the answering
//! router returns its successors. Each router is therefore listed by as many routers as any other
//! of its size, and a join or departure changes one address of an answer. A failure domain that is
//! short of capacity borrows routers from other domains.

use std::cmp::Reverse;

use super::ids::FailureDomain;

/// Upper bound on the addresses in an answer.
pub const MAX_ADDRESSES: usize = 64;
/// Number of routers in a failure domain up to which an answer lists all of them.
const FULL_LIST_ADDRESSES: usize = 12;
/// Number of routers with spare capacity in a failure domain below which an answer also lists
/// routers of other domains.
const MIN_ADDRESSES: usize = 2;
/// Spare capacity, in percent, below which a router is left out while others have more.
const MIN_HEADROOM_PERCENT: u8 = 10;
/// Mean spare capacity of a failure domain, in percent, below which it borrows routers of others.
const SPILLOVER_HEADROOM_PERCENT: u64 = 40;

/// Upper bound on the virtual nodes of one router on the ring.
const MAX_VIRTUAL_NODES: u32 = 8;

/// A router whose address may be returned to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubsetCandidate {
    /// Hash of the router's address.
    pub hash: u64,
    /// Failure domain of the router.
    pub failure_domain: FailureDomain,
    /// CPU capacity of its VM, in thousandths of a core.
    pub cpu_millis: u32,
    /// Spare capacity, in percent.
    pub headroom_percent: u8,
}

impl SubsetCandidate {
    fn has_headroom(&self) -> bool {
        self.headroom_percent >= MIN_HEADROOM_PERCENT
    }

    /// Returns its number of virtual nodes: its CPU capacity in multiples of the smallest router's.
    fn virtual_nodes(&self, min_cpu_millis: u32) -> u64 {
        let multiple = self.cpu_millis / min_cpu_millis.max(1);
        u64::from(multiple.clamp(1, MAX_VIRTUAL_NODES))
    }
}

/// Finalizer of the splitmix64 generator.
const fn splitmix(value: u64) -> u64 {
    let mut mixed = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Returns the indices of the routers to list for a caller in a failure domain.
///
/// `responder` is the hash of the answering router.
///
/// ```
/// use currantlever::{weighted_subset, FailureDomain, SubsetCandidate};
/// let candidate = |number: u64| SubsetCandidate {
///     hash: number,
///     failure_domain: FailureDomain::new(if number < 3 { "a" } else { "b" }).unwrap(),
///     cpu_millis: 250,
///     headroom_percent: 100,
/// };
/// let fleet: Vec<_> = (0..9).map(candidate).collect();
/// assert_eq!(weighted_subset(&fleet, "a", 7), [0, 1, 2]);
/// ```
#[must_use]
pub fn weighted_subset(candidates: &[SubsetCandidate], domain: &str, responder: u64) -> Vec<usize> {
    let is_local = |index: &usize| candidates[*index].failure_domain.as_str() == domain;
    let (local, remote): (Vec<usize>, Vec<usize>) = (0..candidates.len()).partition(is_local);
    let with_headroom = |indices: &[usize]| -> Vec<usize> {
        let usable = indices.iter().copied();
        usable
            .filter(|index| candidates[*index].has_headroom())
            .collect()
    };
    let mut chosen = with_headroom(&local);
    let to_borrow = borrow_count(candidates, &local, chosen.len());
    let limit =
        equivalent_large_routers(candidates, &chosen).clamp(FULL_LIST_ADDRESSES, MAX_ADDRESSES);
    select_successors(candidates, &mut chosen, responder, limit);
    if to_borrow > 0 {
        let mut borrowed = with_headroom(&remote);
        let remaining = MAX_ADDRESSES.saturating_sub(chosen.len());
        select_successors(
            candidates,
            &mut borrowed,
            responder,
            to_borrow.min(remaining),
        );
        chosen.extend(borrowed);
    }
    if chosen.is_empty() {
        // All routers are full: queueing there is better than an empty answer.
        chosen = if local.is_empty() { remote } else { local };
        select_successors(candidates, &mut chosen, responder, MAX_ADDRESSES);
    }
    chosen
}

/// Returns how many routers to borrow from other domains: as many as possible if the domain has
/// fewer than `MIN_ADDRESSES` usable ones, else enough to make up for its missing spare capacity.
fn borrow_count(candidates: &[SubsetCandidate], local: &[usize], usable: usize) -> usize {
    if usable < MIN_ADDRESSES {
        return MAX_ADDRESSES;
    }
    let count = local.len() as u64;
    let headroom: u64 = local
        .iter()
        .map(|index| u64::from(candidates[*index].headroom_percent))
        .sum();
    let target = SPILLOVER_HEADROOM_PERCENT * count;
    let to_borrow = target
        .saturating_sub(headroom)
        .div_ceil(SPILLOVER_HEADROOM_PERCENT);
    usize::try_from(to_borrow).unwrap_or(MAX_ADDRESSES)
}

/// Returns the total CPU capacity as a number of routers of the largest size, rounded up.
fn equivalent_large_routers(candidates: &[SubsetCandidate], chosen: &[usize]) -> usize {
    let sizes = || {
        chosen
            .iter()
            .map(|index| u64::from(candidates[*index].cpu_millis))
    };
    let largest = sizes().max().unwrap_or_default().max(1);
    usize::try_from(sizes().sum::<u64>().div_ceil(largest)).unwrap_or(MAX_ADDRESSES)
}

/// Keeps the first `limit` routers that follow the responder on the ring, in list order.
fn select_successors(
    candidates: &[SubsetCandidate],
    chosen: &mut Vec<usize>,
    responder: u64,
    limit: usize,
) {
    if chosen.len() <= limit {
        return;
    }
    let sizes = chosen.iter().map(|index| candidates[*index].cpu_millis);
    let min_cpu_millis = sizes.min().unwrap_or(1);
    let mut ring: Vec<(u64, usize)> = Vec::with_capacity(chosen.len());
    for index in chosen.iter() {
        let router = &candidates[*index];
        let virtual_nodes = 0..router.virtual_nodes(min_cpu_millis);
        ring.extend(virtual_nodes.map(|node| (ring_position(router.hash, node), *index)));
    }
    let start = ring_position(responder, 0);
    // Sorts by distance from the responder along the ring.
    ring.sort_unstable_by_key(|(position, index)| (position.wrapping_sub(start), Reverse(*index)));
    chosen.clear();
    for (_, index) in ring {
        if chosen.len() < limit && !chosen.contains(&index) {
            chosen.push(index);
        }
    }
    chosen.sort_unstable();
}

/// Returns the ring position of a virtual node.
const fn ring_position(hash: u64, node: u64) -> u64 {
    splitmix(hash ^ splitmix(node))
}
