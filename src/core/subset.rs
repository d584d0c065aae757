//! Which routers a caller is told of (deterministic subsetting on a ring, weighted by capacity).
//!
//! A caller picks at random among the addresses of an answer and leaves connections to addresses
//! that a later answer lacks. Some callers send all that a team asks over the address that they
//! picked first and stay there, so it matters that the large routers are picked more often: an
//! answer names as many routers as the capacity of the caller's failure domain is worth in large
//! ones. Routers lie on a ring by hashes, a larger one at several places, and the one that answers
//! names those that follow it: each is named by as many as any other of its size, and a router that
//! joins or leaves changes one address of an answer. A domain whose routers run out of room borrows
//! from the others.

use std::cmp::Reverse;

use super::ids::FailureDomain;

/// Most routers that a caller is told.
pub const MOST_ADDRESSES: usize = 64;
/// Number of routers up to which an answer names all.
const NAMED_ALL: usize = 12;
/// Least number of routers that callers are told while there are that many.
const LEAST_ADDRESSES: usize = 2;
/// Room, in hundredths, under which a router is left out while others have more.
const LEAST_ROOM_PERCENT: u8 = 10;
/// Mean room of a domain, in hundredths, under which it borrows routers of others.
const SPILL_ROOM_PERCENT: u64 = 40;

/// Most places of one router on the ring.
const MOST_PLACES: u32 = 8;

/// A router that a caller may be told of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubsetCandidate {
    /// Hash of its address.
    pub hash: u64,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Processor time that its VM has, in thousandths of a core.
    pub cpu_millis: u32,
    /// What it can take on, in hundredths.
    pub room_percent: u8,
}

impl SubsetCandidate {
    fn has_room(&self) -> bool {
        self.room_percent >= LEAST_ROOM_PERCENT
    }

    /// Places on the ring: one for each time that it has the processor time of the smallest.
    fn places(&self, least_cpu_millis: u32) -> u64 {
        let times = self.cpu_millis / least_cpu_millis.max(1);
        u64::from(times.clamp(1, MOST_PLACES))
    }
}

/// Finalizer of the splitmix64 generator.
const fn splitmix(value: u64) -> u64 {
    let mut mixed = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// The routers to tell a caller in a failure domain, by their places in the list.
///
/// ```
/// use currantlever::{weighted_subset, FailureDomain, SubsetCandidate};
/// let candidate = |number: u64| SubsetCandidate {
///     hash: number,
///     failure_domain: FailureDomain::new(if number < 3 { "a" } else { "b" }).unwrap(),
///     cpu_millis: 250,
///     room_percent: 100,
/// };
/// let fleet: Vec<_> = (0..9).map(candidate).collect();
/// assert_eq!(weighted_subset(&fleet, "a", 7), [0, 1, 2]);
/// ```
#[must_use]
pub fn weighted_subset(candidates: &[SubsetCandidate], domain: &str, answerer: u64) -> Vec<usize> {
    let is_near = |index: &usize| candidates[*index].failure_domain.as_str() == domain;
    let (near, far): (Vec<usize>, Vec<usize>) = (0..candidates.len()).partition(is_near);
    let with_room = |indices: &[usize]| -> Vec<usize> {
        let usable = indices.iter().copied();
        usable
            .filter(|index| candidates[*index].has_room())
            .collect()
    };
    let mut chosen = with_room(&near);
    let lacking = lacking_routers(candidates, &near, chosen.len());
    let most = worth_in_large(candidates, &chosen).clamp(NAMED_ALL, MOST_ADDRESSES);
    draw(candidates, &mut chosen, answerer, most);
    if lacking > 0 {
        let mut borrowed = with_room(&far);
        let free = MOST_ADDRESSES.saturating_sub(chosen.len());
        draw(candidates, &mut borrowed, answerer, lacking.min(free));
        chosen.extend(borrowed);
    }
    if chosen.is_empty() {
        // All are full: a wait there is better than nobody to ask.
        chosen = if near.is_empty() { far } else { near };
        draw(candidates, &mut chosen, answerer, MOST_ADDRESSES);
    }
    chosen
}

/// Routers of other domains that one needs: all if it has next to none, else as many as make up
/// for the room that its own lack.
fn lacking_routers(candidates: &[SubsetCandidate], near: &[usize], usable: usize) -> usize {
    if usable < LEAST_ADDRESSES {
        return MOST_ADDRESSES;
    }
    let count = near.len() as u64;
    let room: u64 = near
        .iter()
        .map(|index| u64::from(candidates[*index].room_percent))
        .sum();
    let wanted = SPILL_ROOM_PERCENT * count;
    let lacking = wanted.saturating_sub(room).div_ceil(SPILL_ROOM_PERCENT);
    usize::try_from(lacking).unwrap_or(MOST_ADDRESSES)
}

/// How many routers of the largest size have the capacity of all.
fn worth_in_large(candidates: &[SubsetCandidate], chosen: &[usize]) -> usize {
    let sizes = || {
        chosen
            .iter()
            .map(|index| u64::from(candidates[*index].cpu_millis))
    };
    let largest = sizes().max().unwrap_or_default().max(1);
    usize::try_from(sizes().sum::<u64>().div_ceil(largest)).unwrap_or(MOST_ADDRESSES)
}

/// Keeps those that follow the answerer on the ring, in the order of the list.
fn draw(candidates: &[SubsetCandidate], chosen: &mut Vec<usize>, answerer: u64, most: usize) {
    if chosen.len() <= most {
        return;
    }
    let sizes = chosen.iter().map(|index| candidates[*index].cpu_millis);
    let least_cpu_millis = sizes.min().unwrap_or(1);
    let mut ring: Vec<(u64, usize)> = Vec::with_capacity(chosen.len());
    for index in chosen.iter() {
        let router = &candidates[*index];
        let places = 0..router.places(least_cpu_millis);
        ring.extend(places.map(|place| (ring_place(router.hash, place), *index)));
    }
    let start = ring_place(answerer, 0);
    // Distances from the answerer round the ring.
    ring.sort_unstable_by_key(|(place, index)| (place.wrapping_sub(start), Reverse(*index)));
    chosen.clear();
    for (_, index) in ring {
        if chosen.len() < most && !chosen.contains(&index) {
            chosen.push(index);
        }
    }
    chosen.sort_unstable();
}

/// One of a router's places on the ring.
const fn ring_place(hash: u64, place: u64) -> u64 {
    splitmix(hash ^ splitmix(place))
}
