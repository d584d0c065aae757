//! Places at replicas that fall over when they have to turn requests away.

use currantlever::{issuer_places, PlaceTable};
use quickcheck::quickcheck;

const LIFETIME_MS: u64 = 5_000;

#[test]
fn a_place_that_is_not_returned_expires_with_its_request() {
    let mut places = PlaceTable::new();
    assert!(places.try_take(1, 0, LIFETIME_MS, 1));
    assert!(!places.try_take(2, LIFETIME_MS - 1, LIFETIME_MS, 1));
    assert!(places.try_take(2, LIFETIME_MS, LIFETIME_MS, 1));
}

/// Guards against a replica that rejected a request and is sent more at once.
#[test]
fn no_place_is_given_out_for_a_second_after_a_rejection() {
    let mut places = PlaceTable::new();
    places.record_rejection(100);
    assert!(!places.is_unused(1_099));
    assert!(!places.try_take(1, 1_099, LIFETIME_MS, 8));
    assert!(places.try_take(1, 1_100, LIFETIME_MS, 8));
}

#[test]
fn the_first_issuer_has_all_places_and_the_others_few() {
    assert_eq!(issuer_places(48, 0), 48);
    let others: u32 = (1..8).map(|position| issuer_places(48, position)).sum();
    assert!(others < 24);
    assert_eq!(issuer_places(u32::MAX, 0), u32::MAX / 100);
}

#[test]
fn no_more_places_are_in_use_than_there_are() {
    fn check(steps: Vec<(u8, bool)>, limit: u8) -> bool {
        let mut places = PlaceTable::new();
        let mut taken = std::collections::HashSet::new();
        for (step, (id, is_release)) in (0..).zip(steps) {
            let id = u64::from(id);
            if is_release {
                places.release(id);
                taken.remove(&id);
            } else if !taken.contains(&id)
                && places.try_take(id, step, LIFETIME_MS * 1_000, u32::from(limit))
            {
                taken.insert(id);
            }
            if taken.len() > usize::from(limit) {
                return false;
            }
        }
        true
    }
    quickcheck(check as fn(Vec<(u8, bool)>, u8) -> bool);
}
