//! Tests the subsets of router addresses returned to callers, at fleets of several sizes.

#![allow(clippy::cast_precision_loss, reason = "small counts")]

use std::collections::HashSet;

use currantlever::{weighted_subset, FailureDomain, SubsetCandidate, MAX_ADDRESSES};

/// Returns each router's share of the callers' requests. `callers` lists the share of each failure
/// domain, whose routers answer address lookups equally often.
fn shares(fleet: &[SubsetCandidate], callers: &[(&str, f64)]) -> Vec<f64> {
    let mut shares = vec![0.0; fleet.len()];
    for (domain, domain_share) in callers {
        let is_local = |router: &&SubsetCandidate| router.failure_domain.as_str() == *domain;
        let responders: Vec<u64> = fleet.iter().filter(is_local).map(|r| r.hash).collect();
        for responder in &responders {
            let subset = weighted_subset(fleet, domain, *responder);
            assert!(subset.len() <= MAX_ADDRESSES);
            for index in &subset {
                shares[*index] += domain_share / responders.len() as f64 / subset.len() as f64;
            }
        }
    }
    shares
}

fn names(domains: usize) -> Vec<String> {
    (0..domains).map(|domain| format!("d-{domain}")).collect()
}

fn router(number: usize, domains: usize, cpu_millis: u32) -> SubsetCandidate {
    SubsetCandidate {
        hash: (number as u64 + 1).wrapping_mul(0x2545_f491_4f6c_dd1d),
        failure_domain: FailureDomain::new(format!("d-{}", number % domains)).unwrap(),
        cpu_millis,
        headroom_percent: 100,
    }
}

/// Creates a fleet with three large routers in each domain and small ones otherwise, as on the
/// users' sites.
fn fleet(size: usize, domains: usize) -> Vec<SubsetCandidate> {
    let cpu = |number| if number < domains * 3 { 500 } else { 120 };
    (0..size)
        .map(|number| router(number, domains, cpu(number)))
        .collect()
}

/// Upper bound on a router's requests, as a multiple of its fair share.
const MAX_FAIR_RATIO: f64 = 1.3;

#[test]
fn no_router_exceeds_its_fair_share_by_much_at_any_fleet_size() {
    for (size, domains) in [(9, 4), (87, 4), (295, 7), (1_000, 7), (2_100, 7)] {
        let equal: Vec<_> = (0..size).map(|n| router(n, domains, 250)).collect();
        let names = names(domains);
        let callers: Vec<(&str, f64)> = names.iter().map(|name| (name.as_str(), 1.0)).collect();
        let shares = shares(&equal, &callers);
        for (index, share) in shares.iter().enumerate() {
            let domain = &equal[index].failure_domain;
            let peers = equal.iter().filter(|r| r.failure_domain == *domain).count();
            let fair = 1.0 / peers as f64;
            assert!(*share <= MAX_FAIR_RATIO * fair, "{size}: {share} of {fair}");
        }
    }
}

#[test]
fn small_routers_do_not_exceed_their_capacity_share_next_to_large_ones() {
    for (size, domains) in [(295, 7), (1_000, 7)] {
        let fleet = fleet(size, domains);
        let names = names(domains);
        let callers: Vec<(&str, f64)> = names.iter().map(|name| (name.as_str(), 1.0)).collect();
        let shares = shares(&fleet, &callers);
        for (index, share) in shares.iter().enumerate() {
            let router = &fleet[index];
            let peers = fleet
                .iter()
                .filter(|r| r.failure_domain == router.failure_domain);
            let all: u32 = peers.map(|r| r.cpu_millis).sum();
            let fair = f64::from(router.cpu_millis) / f64::from(all);
            assert!(*share <= MAX_FAIR_RATIO * fair, "{size}: {share} of {fair}");
        }
    }
}

#[test]
fn the_load_stays_balanced_after_the_loss_of_a_third_of_the_fleet() {
    let domains = 7;
    let remaining: Vec<_> = (0..295)
        .filter(|number| number % 3 != 0)
        .map(|number| router(number, domains, 250))
        .collect();
    let names = names(domains);
    let callers: Vec<(&str, f64)> = names.iter().map(|name| (name.as_str(), 1.0)).collect();
    let shares = shares(&remaining, &callers);
    for (index, share) in shares.iter().enumerate() {
        let domain = &remaining[index].failure_domain;
        let peers = remaining
            .iter()
            .filter(|r| r.failure_domain == *domain)
            .count();
        assert!(*share <= MAX_FAIR_RATIO / peers as f64);
    }
}

#[test]
fn a_domain_short_of_capacity_borrows_routers_and_leaves_out_its_full_ones() {
    let mut fleet = fleet(295, 7);
    for router in fleet
        .iter_mut()
        .filter(|router| router.failure_domain.as_str() == "d-2")
    {
        router.headroom_percent = 20;
    }
    let responder = 5;
    let subset = weighted_subset(&fleet, "d-2", responder);
    let remote = subset
        .iter()
        .filter(|index| fleet[**index].failure_domain.as_str() != "d-2")
        .count();
    // A domain of 42 routers lacks half of its target capacity.
    assert!((20..=24).contains(&remote), "{remote}");
    assert!(subset.len() - remote >= 12);
    let full = 9;
    assert_eq!(fleet[full].failure_domain.as_str(), "d-2");
    fleet[full].headroom_percent = 5;
    assert!(subset.contains(&full), "a large router");
    assert!(!weighted_subset(&fleet, "d-2", responder).contains(&full));
    for router in &mut fleet {
        router.headroom_percent = 0;
    }
    assert!(!weighted_subset(&fleet, "d-2", responder).is_empty());
}

#[test]
fn a_domain_with_one_router_borrows_and_an_unknown_domain_gets_all_routers() {
    let fleet = [router(0, 2, 250), router(1, 2, 250), router(3, 2, 250)];
    assert_eq!(weighted_subset(&fleet, "d-0", 1).len(), 3);
    assert_eq!(weighted_subset(&fleet, "d-1", 1), [1, 2]);
    assert_eq!(weighted_subset(&fleet, "elsewhere", 1).len(), 3);
}

#[test]
fn answers_differ_between_responders_and_a_join_or_failure_changes_one_address() {
    let fleet = fleet(2_100, 7);
    let hashes = |fleet: &[SubsetCandidate], responder| -> HashSet<u64> {
        let subset = weighted_subset(fleet, "d-1", responder);
        subset.into_iter().map(|index| fleet[index].hash).collect()
    };
    let first = hashes(&fleet, 11);
    let others = (12..32).map(|responder| first.intersection(&hashes(&fleet, responder)).count());
    // Any two answers share 64 x 64 / 300 addresses by chance.
    assert!(others.sum::<usize>() < 20 * MAX_ADDRESSES / 2);
    let mut joined = fleet.clone();
    joined.push(router(2_101, 7, 120));
    assert!(first.difference(&hashes(&joined, 11)).count() <= 1);
    let failed = *first.iter().next().unwrap();
    let remaining: Vec<_> = fleet.iter().filter(|r| r.hash != failed).cloned().collect();
    assert_eq!(hashes(&remaining, 11).difference(&first).count(), 1);
}

/// Callers that send all requests of a team over one address and stay with it must pick large
/// routers at least in proportion to their capacity.
#[test]
fn sticky_teams_use_large_routers_at_least_in_proportion_to_their_capacity() {
    let fleet = fleet(295, 7);
    let mut on_large = 0;
    let teams = 400_u64;
    for team in 0..teams {
        let mut current: Option<usize> = None;
        // Each answer comes from a different router of the domain.
        for refresh in 0..5_u64 {
            let responder = team * 1_000 + refresh;
            let subset = weighted_subset(&fleet, "d-3", responder);
            if current.is_none_or(|current| !subset.contains(&current)) {
                let pick = responder.wrapping_mul(0x9e37_79b9) % subset.len() as u64;
                current = Some(subset[usize::try_from(pick).unwrap()]);
            }
        }
        on_large += u64::from(current.is_some_and(|current| fleet[current].cpu_millis == 500));
    }
    let is_local = |router: &&SubsetCandidate| router.failure_domain.as_str() == "d-3";
    let all: u64 = fleet
        .iter()
        .filter(is_local)
        .map(|router| u64::from(router.cpu_millis))
        .sum();
    assert!(on_large * all >= teams * 3 * 500, "{on_large}");
}
