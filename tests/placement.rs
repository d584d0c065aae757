//! Tests the choice of a replica by load, prompt prefix, ejection and back-off.

use currantlever::{choose_place, Choice, FailureDomain, Place, PlaceWish, PromptMix, PromptWish};
use rand::rngs::StdRng;
use rand::SeedableRng;

const SLOTS: u32 = 48;

fn domain(name: &str) -> FailureDomain {
    FailureDomain::new(name).unwrap()
}

fn places(count: usize) -> Vec<Place> {
    let place = |index: usize| {
        let id = format!("i-{index}").parse().unwrap();
        Place::new(id, domain(["a", "b"][index % 2]), SLOTS)
    };
    (0..count).map(place).collect()
}

fn prompt(unshared_tokens: u64, shared_tokens: u64, shared_key: u64) -> PromptWish {
    PromptWish {
        prompt_tokens: unshared_tokens + shared_tokens,
        shared_tokens,
        shared_key,
    }
}

fn wish(domain: &FailureDomain, now_ms: u64, prompt: Option<PromptWish>) -> PlaceWish<'_> {
    PlaceWish {
        now_ms,
        failure_domain: domain,
        avoid: &[],
        rank: 0,
        prompt,
    }
}

fn choose(places: &mut [Place], wish: &PlaceWish<'_>, mix: &PromptMix) -> Option<usize> {
    match choose_place(places, wish, mix, &mut StdRng::seed_from_u64(7)) {
        Choice::Place { index, .. } => Some(index),
        Choice::Full | Choice::Nobody | Choice::Quiet { .. } => None,
    }
}

#[test]
fn prompts_with_a_shared_prefix_go_to_the_same_replica_from_all_routers() {
    let mix = PromptMix::default();
    for key in 0..50 {
        let (a, b) = (domain("a"), domain("b"));
        let shared = Some(prompt(600, 5_000, key));
        let first = choose(&mut places(18), &wish(&a, 0, shared), &mix);
        let second = choose(&mut places(18), &wish(&b, 0, shared), &mix);
        assert_eq!(first, second);
    }
}

#[test]
fn a_hot_shared_prefix_spills_over_before_its_replica_is_overloaded() {
    let mix = PromptMix::default();
    let mut places = places(18);
    let a = domain("a");
    let mut max_requests = 0;
    for _ in 0..300 {
        let hot = wish(&a, 0, Some(prompt(2_000, 5_000, 1)));
        let Choice::Place {
            index,
            unread_tokens,
        } = choose_place(&mut places, &hot, &mix, &mut StdRng::seed_from_u64(7))
        else {
            panic!("no replica with spare capacity");
        };
        places[index].own.add(unread_tokens);
        max_requests = max_requests.max(places[index].requests());
    }
    assert!(
        max_requests <= SLOTS,
        "{max_requests} requests at one replica"
    );
}

#[test]
fn short_prompts_avoid_replicas_dedicated_to_long_ones() {
    let mut mix = PromptMix::default();
    for _ in 0..200 {
        mix.note(40_000);
        mix.note(1_000);
    }
    let a = domain("a");
    let mut places = places(18);
    // All replicas run streams, which a long prompt would stall.
    for place in &mut places {
        place.own.requests = 10;
    }
    let mut long_replicas = std::collections::BTreeSet::new();
    let mut short_replicas = std::collections::BTreeSet::new();
    for number in 0..60 {
        let long = choose(&mut places, &wish(&a, 0, Some(prompt(40_000, 0, 0))), &mix).unwrap();
        places[long].own.add(40_000);
        long_replicas.insert(long);
        let short = wish(&a, 0, Some(prompt(800, 0, number)));
        let short = choose(&mut places, &short, &mix).unwrap();
        places[short].own.add(0);
        short_replicas.insert(short);
        // Seven replicas prefill slightly more tokens than arrive.
        for place in &mut places {
            place.own.read(6_000);
        }
    }
    assert!(
        long_replicas.len() <= 7,
        "long prompts are prefilled at {} replicas",
        long_replicas.len()
    );
    assert!(long_replicas.is_disjoint(&short_replicas));
}

#[test]
fn a_replica_gets_a_single_probe_request_after_an_ejection() {
    let mix = PromptMix::default();
    let a = domain("a");
    let mut places = places(2);
    for _ in 0..3 {
        places[0].learn_failure(1_000);
    }
    let count_first = |places: &mut Vec<Place>, now_ms: u64| {
        let chosen: Vec<usize> = (0..20)
            .filter_map(|_| choose(places, &wish(&a, now_ms, None), &mix))
            .collect();
        chosen.iter().filter(|index| **index == 0).count()
    };
    assert_eq!(count_first(&mut places, 1_100), 0);
    places[1].own.requests = 3;
    assert_eq!(count_first(&mut places, 2_000), 1);
    places[0].learn_success();
    assert!(count_first(&mut places, 2_100) > 1);
}

#[test]
fn a_new_idle_replica_is_used_at_once_up_to_the_load_of_the_others() {
    let mix = PromptMix::default();
    let a = domain("a");
    let mut places = places(6);
    for place in places.iter_mut().skip(1) {
        place.own.requests = 20;
    }
    for number in 0..40 {
        let index = choose(
            &mut places,
            &wish(&a, 0, Some(prompt(500, 0, number))),
            &mix,
        )
        .unwrap();
        places[index].own.add(0);
    }
    assert!(
        (15..=30).contains(&places[0].requests()),
        "{}",
        places[0].requests()
    );
}

#[test]
fn full_and_missing_replicas_are_distinguished_and_high_priority_queues_longer() {
    let mix = PromptMix::default();
    let a = domain("a");
    let mut rng = StdRng::seed_from_u64(7);
    let mut places = places(1);
    places[0].own.requests = SLOTS + SLOTS / 4;
    let high_priority = wish(&a, 0, None);
    let low_priority = PlaceWish {
        rank: 2,
        ..high_priority
    };
    assert!(matches!(
        choose_place(&mut places, &high_priority, &mix, &mut rng),
        Choice::Place { .. }
    ));
    assert_eq!(
        choose_place(&mut places, &low_priority, &mix, &mut rng),
        Choice::Full
    );
    places[0].is_leaving = true;
    assert_eq!(
        choose_place(&mut places, &high_priority, &mix, &mut rng),
        Choice::Nobody
    );
}

#[test]
fn a_replica_in_back_off_is_skipped_and_the_shortest_back_off_is_returned() {
    let domain = domain("a");
    let mix = PromptMix::default();
    let mut rng = StdRng::seed_from_u64(7);
    let mut places = places(2);
    places[0].learn_quiet(1_000, 3_000);
    for now_ms in [1_000, 2_500, 3_999] {
        let wish = wish(&domain, now_ms, None);
        assert_eq!(choose(&mut places, &wish, &mix), Some(1));
    }
    // A later, shorter back-off does not shorten the first one.
    places[0].learn_quiet(1_500, 100);
    places[1].learn_quiet(1_500, 5_000);
    assert_eq!(
        choose_place(&mut places, &wish(&domain, 2_000, None), &mix, &mut rng),
        Choice::Quiet { left_ms: 2_000 }
    );
    assert_eq!(
        choose(&mut places, &wish(&domain, 4_000, None), &mix),
        Some(0)
    );
}

#[test]
fn a_replica_that_requested_a_back_off_from_another_router_is_the_last_choice() {
    let domain = domain("a");
    let mix = PromptMix::default();
    let mut places = places(2);
    places[0].learn_quiet_hint(0, 1_000);
    places[1].own.requests = 3;
    let now = wish(&domain, 500, Some(prompt(100, 400, 9)));
    assert_eq!(choose(&mut places, &now, &mix), Some(1));
    places[1].is_leaving = true;
    assert_eq!(choose(&mut places, &now, &mix), Some(0));
}
