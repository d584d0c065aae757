//! Tests which versions may have begun a stream that can still live.

use currantlever::{ReplicaVersion, VersionHistory};
use quickcheck::{Gen, QuickCheck, TestResult};

/// Longest life of a stream, in milliseconds.
const LIFE_MS: u64 = 100;
const SEED: u64 = 32;
const TESTS: u64 = 2_000;

fn version(number: u8) -> Option<ReplicaVersion> {
    // The last number stands for an unknown version.
    (number < 3).then(|| ReplicaVersion::new(format!("v{number}")).unwrap())
}

/// Guards against a router that takes what it has not seen for what was not there.
#[test]
fn a_history_that_is_shorter_than_a_streams_life_shows_nothing() {
    let mut history = VersionHistory::new(50);
    history.add(version(0).as_ref());
    assert_eq!(history.single_version(149, LIFE_MS), None);
    assert_eq!(
        history.single_version(150, LIFE_MS),
        version(0).as_ref(),
        "complete for a stream's life"
    );
    assert_eq!(history.single_version(20, LIFE_MS), None);
}

/// Guards against streams that are taken up at another version than that of a replica which has
/// gone or changed its version, or whose version is unknown.
#[test]
fn a_version_counts_until_streams_of_its_last_replica_have_ended() {
    for other in [version(1), version(3)] {
        let mut history = VersionHistory::new(0);
        history.add(version(0).as_ref());
        history.add(other.as_ref());
        assert_eq!(history.single_version(1_000, LIFE_MS), None);
        history.remove(other.as_ref(), 1_000);
        assert_eq!(history.single_version(1_000 + LIFE_MS, LIFE_MS), None);
        let later_ms = 1_001 + LIFE_MS;
        assert_eq!(
            history.single_version(later_ms, LIFE_MS),
            version(0).as_ref()
        );
    }
}

/// Guards against an answer for a service whose only known replicas have an unknown version, or
/// that has none.
#[test]
fn no_replica_or_only_unknown_versions_show_nothing() {
    let mut history = VersionHistory::new(0);
    assert_eq!(history.single_version(1_000, LIFE_MS), None);
    history.add(None);
    assert_eq!(history.single_version(1_000, LIFE_MS), None);
}

/// Guards against memory that grows with invented versions, and against an answer from a history
/// that has dropped some of them.
#[test]
fn many_gone_versions_are_dropped_and_the_history_is_then_incomplete() {
    let mut history = VersionHistory::new(0);
    history.add(version(0).as_ref());
    for number in 0..1_000 {
        let other = ReplicaVersion::new(format!("w{number}")).unwrap();
        history.add(Some(&other));
        history.remove(Some(&other), 1_000 + number);
    }
    assert_eq!(history.single_version(2_000, LIFE_MS), None);
    assert_eq!(history.single_version(1_900, 850), None);
    assert!(format!("{history:?}").matches("\"w").count() <= 65);
    assert_eq!(history.single_version(2_100, LIFE_MS), version(0).as_ref());
}

/// Compares the history with one that keeps all replicas and their times.
#[test]
fn a_single_version_is_the_version_of_all_replicas_in_a_streams_life() {
    fn property(steps: Vec<(u8, u8, u8)>) -> TestResult {
        let mut history = VersionHistory::new(0);
        // Version, start and end of each replica.
        let mut replicas: Vec<(Option<ReplicaVersion>, u64, Option<u64>)> = Vec::new();
        let mut now_ms = 0;
        for (action, number, pause_ms) in steps {
            now_ms += u64::from(pause_ms % 60);
            let running: Vec<usize> = (0..replicas.len())
                .filter(|index| replicas[*index].2.is_none())
                .collect();
            if action % 2 == 0 || running.is_empty() {
                // Mostly the first version.
                let number = if number < 128 { 0 } else { number % 4 };
                history.add(version(number).as_ref());
                replicas.push((version(number), now_ms, None));
            } else {
                let index = running[usize::from(number) % running.len()];
                history.remove(replicas[index].0.as_ref(), now_ms);
                replicas[index].2 = Some(now_ms);
            }
            let Some(oldest_ms) = now_ms.checked_sub(LIFE_MS) else {
                if history.single_version(now_ms, LIFE_MS).is_some() {
                    return TestResult::error("an answer from a short history");
                }
                continue;
            };
            let mut alive: Vec<&Option<ReplicaVersion>> = replicas
                .iter()
                .filter(|(_, _, end_ms)| end_ms.is_none_or(|end_ms| end_ms >= oldest_ms))
                .map(|(version, ..)| version)
                .collect();
            alive.sort();
            alive.dedup();
            let expected = match alive.as_slice() {
                [only] => only.as_ref(),
                _ => None,
            };
            if history.single_version(now_ms, LIFE_MS) != expected {
                return TestResult::error(format!("at {now_ms} ms: {replicas:?}"));
            }
        }
        TestResult::passed()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, SEED))
        .tests(TESTS)
        .quickcheck(property as fn(Vec<(u8, u8, u8)>) -> TestResult);
}
