//! Which routers draw on the ledger, in fleets of several sizes.

#![allow(clippy::cast_precision_loss, reason = "small counts")]

use std::collections::HashSet;

use currantlever::{
    distributor_count, ledger_order, stand_in_pause_ms, DutyCandidate, FailureDomain,
};

fn ledger_distributors(candidates: &[DutyCandidate]) -> Vec<usize> {
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
                order: number.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            });
        }
    }
    candidates
}

#[test]
fn each_router_of_a_small_fleet_draws() {
    let candidates = fleet(&[("a", 250, 4), ("b", 500, 4), ("c", 120, 4)]);
    assert_eq!(ledger_distributors(&candidates).len(), 12);
}

#[test]
fn few_of_a_large_fleet_draw_each_domain_by_its_most_capable() {
    let candidates = fleet(&[
        ("a", 120, 20),
        ("a", 500, 2),
        ("b", 120, 18),
        ("b", 500, 2),
        ("c", 120, 20),
        ("c", 250, 1),
        ("d", 120, 23),
    ]);
    let chosen = ledger_distributors(&candidates);
    assert_eq!(chosen.len(), 5);
    let first: HashSet<_> = chosen[..4]
        .iter()
        .map(|index| candidates[*index].failure_domain.clone())
        .collect();
    assert_eq!(first.len(), 4, "one of each domain first");
    let small = chosen.iter().filter(|i| candidates[**i].cpu_millis < 250);
    assert_eq!(small.count(), 1, "domain d has none that is larger");
}

#[test]
fn all_routers_name_the_same_ones_whatever_the_order_they_hear_them_in() {
    let candidates = fleet(&[("a", 120, 30), ("b", 120, 30), ("c", 500, 3)]);
    let mut reversed = candidates.clone();
    reversed.reverse();
    let names = |list: &[DutyCandidate]| -> HashSet<u64> {
        let chosen = ledger_distributors(list);
        chosen.iter().map(|index| list[*index].order).collect()
    };
    assert_eq!(names(&candidates), names(&reversed));
}

#[test]
fn the_loss_of_one_changes_one() {
    let candidates = fleet(&[("a", 120, 40), ("b", 120, 40)]);
    let chosen = ledger_distributors(&candidates);
    let names: HashSet<u64> = chosen.iter().map(|i| candidates[*i].order).collect();
    let mut rest = candidates.clone();
    rest.remove(chosen[0]);
    let next = ledger_distributors(&rest);
    let next: HashSet<u64> = next.iter().map(|i| rest[*i].order).collect();
    assert_eq!(names.intersection(&next).count(), 4);
}

/// After an outage that all routers saw, those that try before they hear that the routers on duty
/// draw again all stand in, and each that does gives back what it drew by a write of its own.
#[test]
fn few_routers_stand_in_together_after_an_outage_however_large_the_fleet() {
    // Time until the routers on duty have found the ledger and said so.
    let notice_s = 0.5;
    for (routers, most) in [(87, 8.0), (295, 10.0), (1_000, 13.0), (2_100, 15.0)] {
        let tries_per_s = |place| 1_000.0 / stand_in_pause_ms(place) as f64;
        let tries: f64 = (0..routers).map(tries_per_s).sum();
        assert!(tries * notice_s <= most, "{routers}: {}", tries * notice_s);
    }
}
