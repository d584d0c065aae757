//! Selection of the routers that draw on the ledger, in fleets of several sizes.

#![allow(clippy::cast_precision_loss, reason = "small counts")]

use std::collections::HashSet;

use currantlever::{
    distributor_count, ledger_order, stand_in_interval_ms, DutyCandidate, FailureDomain,
};

fn select_distributors(candidates: &[DutyCandidate]) -> Vec<usize> {
    let mut order = ledger_order(&candidates.iter().collect::<Vec<_>>());
    order.truncate(distributor_count(candidates.len()));
    order
}

fn fleet(sizes: &[(&str, u32, usize)]) -> Vec<DutyCandidate> {
    let mut candidates = Vec::new();
    for (domain, cpu_millis, count) in sizes {
        for _ in 0..*count {
            let number = candidates.len() as u64;
            candidates.push(DutyCandidate {
                failure_domain: FailureDomain::new(*domain).unwrap(),
                cpu_millis: *cpu_millis,
                tie_breaker: number.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            });
        }
    }
    candidates
}

#[test]
fn each_router_of_a_small_fleet_draws() {
    let candidates = fleet(&[("a", 250, 4), ("b", 500, 4), ("c", 120, 4)]);
    assert_eq!(select_distributors(&candidates).len(), 12);
}

#[test]
fn few_routers_of_a_large_fleet_draw_and_each_domain_by_its_most_capable() {
    let candidates = fleet(&[
        ("a", 120, 20),
        ("a", 500, 2),
        ("b", 120, 18),
        ("b", 500, 2),
        ("c", 120, 20),
        ("c", 250, 1),
        ("d", 120, 23),
    ]);
    let selected = select_distributors(&candidates);
    assert_eq!(selected.len(), 5);
    let first: HashSet<_> = selected[..4]
        .iter()
        .map(|index| candidates[*index].failure_domain.clone())
        .collect();
    assert_eq!(first.len(), 4, "one of each domain first");
    let small = selected.iter().filter(|i| candidates[**i].cpu_millis < 250);
    assert_eq!(small.count(), 1, "domain d has none that is larger");
}

#[test]
fn the_selection_does_not_depend_on_the_order_of_the_candidates() {
    let candidates = fleet(&[("a", 120, 30), ("b", 120, 30), ("c", 500, 3)]);
    let mut reversed = candidates.clone();
    reversed.reverse();
    let tie_breakers = |list: &[DutyCandidate]| -> HashSet<u64> {
        let selected = select_distributors(list);
        selected
            .iter()
            .map(|index| list[*index].tie_breaker)
            .collect()
    };
    assert_eq!(tie_breakers(&candidates), tie_breakers(&reversed));
}

#[test]
fn the_loss_of_one_distributor_replaces_only_that_one() {
    let candidates = fleet(&[("a", 120, 40), ("b", 120, 40)]);
    let selected = select_distributors(&candidates);
    let tie_breakers: HashSet<u64> = selected
        .iter()
        .map(|i| candidates[*i].tie_breaker)
        .collect();
    let mut remaining = candidates.clone();
    remaining.remove(selected[0]);
    let next = select_distributors(&remaining);
    let next: HashSet<u64> = next.iter().map(|i| remaining[*i].tie_breaker).collect();
    assert_eq!(tie_breakers.intersection(&next).count(), 4);
}

/// Guards against too many routers that stand in at once. After an outage that all routers saw,
/// those that try before they are notified that the routers on duty draw again all stand in, and
/// each of them returns what it drew by a separate write.
#[test]
fn few_routers_stand_in_together_after_an_outage_in_a_fleet_of_any_size() {
    // Time until the routers on duty have reached the ledger and reported it.
    let notification_s = 0.5;
    for (routers, max_attempts) in [(87, 8.0), (295, 10.0), (1_000, 13.0), (2_100, 15.0)] {
        let attempts_per_s = |position| 1_000.0 / stand_in_interval_ms(position) as f64;
        let attempts: f64 = (0..routers).map(attempts_per_s).sum();
        assert!(
            attempts * notification_s <= max_attempts,
            "{routers}: {}",
            attempts * notification_s
        );
    }
}
