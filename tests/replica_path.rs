//! What a router concludes of its own path to the replicas.

use currantlever::{PathChoice, ReplicaId, ReplicaPath};
use quickcheck::{quickcheck, TestResult};

/// Time without a byte from any replica, longer than any pause in normal service.
const SILENT_MS: u64 = 1_000;

fn replica(number: u8) -> ReplicaId {
    ReplicaId::new(format!("i-{number}")).unwrap()
}

#[test]
fn one_replica_reached_through_another_router_blocks_its_own_path_only() {
    let mut path = ReplicaPath::new();
    assert!(!path.record_tunnel(&replica(1), 100, SILENT_MS));
    assert!(!path.record_tunnel(&replica(1), 200, SILENT_MS));
    assert_eq!(
        path.choose(&replica(1), 700),
        PathChoice::Tunnel { age_ms: 500 }
    );
    assert_eq!(path.choose(&replica(2), 700), PathChoice::Direct);
    assert_eq!(path.choose(&replica(1), 1_200), PathChoice::Direct);
    assert_eq!(path.lost_since_ms(), None);
}

/// Guards against a router that loses the paths to a few replicas and counts as without any path,
/// though others still send to it.
#[test]
fn a_partial_cut_is_no_lost_path() {
    let mut path = ReplicaPath::new();
    for (number, silent_ms) in [(1, 0), (2, 12), (3, 100), (1, 17)] {
        assert!(!path.record_tunnel(&replica(number), 1_000, silent_ms));
    }
    assert_eq!(path.lost_since_ms(), None);
    assert!(path.is_in_doubt());
}

#[test]
fn a_lost_path_is_regained_with_the_first_direct_connection() {
    let mut path = ReplicaPath::new();
    path.record_tunnel(&replica(1), 100, SILENT_MS);
    assert!(path.record_tunnel(&replica(2), 150, SILENT_MS));
    assert!(!path.record_tunnel(&replica(3), 160, SILENT_MS));
    assert_eq!(path.lost_since_ms(), Some(150));
    assert_eq!(
        path.choose(&replica(9), 60_150),
        PathChoice::Tunnel { age_ms: 60_000 }
    );
    assert_eq!(path.record_direct(&replica(1), 60_200), Some(60_050));
    assert_eq!(path.choose(&replica(3), 60_200), PathChoice::Direct);
    assert_eq!(path.record_direct(&replica(1), 60_300), None);
}

#[test]
fn a_path_is_lost_only_without_a_direct_connection_in_between() {
    fn check(steps: Vec<(u8, bool)>) -> TestResult {
        let mut path = ReplicaPath::new();
        let mut blocked = std::collections::HashSet::new();
        for (step, (number, is_direct)) in (0..).zip(steps) {
            let number = number % 4;
            // Each step is later than the time for which a replica is blocked.
            let now_ms = step * 10_000;
            if is_direct {
                path.record_direct(&replica(number), now_ms);
                blocked.clear();
            } else {
                path.record_tunnel(&replica(number), now_ms, SILENT_MS);
                blocked.insert(number);
            }
            if path.lost_since_ms().is_some() != (blocked.len() >= 2) {
                return TestResult::failed();
            }
        }
        TestResult::passed()
    }
    quickcheck(check as fn(Vec<(u8, bool)>) -> TestResult);
}
