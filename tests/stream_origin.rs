//! Tests what a router remembers of the replicas and versions that began streams.

use currantlever::{
    KnownOrigin, OriginOutcome, OriginTable, ReplicaVersion, StreamId, StreamOrigin, MAX_ORIGINS,
    ORIGIN_RETENTION_MS,
};
use quickcheck::{Gen, QuickCheck};

const SEED: u64 = 32;
/// Time at which the tests begin, in milliseconds.
const START_MS: u64 = ORIGIN_RETENTION_MS;

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin {
        pool: "pool".parse().unwrap(),
        replica: 7,
        born_ms: Some(1_000),
        version: ReplicaVersion::new(version).unwrap(),
    }
}

fn stream(number: usize) -> StreamId {
    StreamId::new("red", &format!("attempt-{number}"))
}

#[test]
fn the_id_of_a_stream_depends_on_team_and_attempt_and_can_be_read_back() {
    let of = StreamId::new;
    assert_eq!(of("red", "a-1"), of("red", "a-1"));
    assert_ne!(of("red", "a-1"), of("blue", "a-1"));
    assert_ne!(of("red", "a-1"), of("reda", "-1"));
    let text = of("red", "a-1").to_string();
    assert_eq!(text.len(), 32);
    assert_eq!(text.parse(), Ok(of("red", "a-1")));
    for odd in ["", "ab", "zz", &text[1..], &format!("{text}00")] {
        assert!(odd.parse::<StreamId>().is_err(), "{odd}");
    }
}

/// Guards against a stream that goes on at one of two versions that both count as its origin.
#[test]
fn origins_of_two_versions_conflict_for_good_in_any_order() {
    fn holds(records: Vec<(u8, bool, u16)>) -> bool {
        let mut table = OriginTable::new();
        let mut versions_of = std::collections::HashMap::new();
        let mut now_ms = START_MS;
        for (number, is_second, pause_ms) in records {
            // All records stay within the retention.
            now_ms += u64::from(pause_ms % 500);
            let version = if is_second { "v2" } else { "v1" };
            let number = usize::from(number % 8);
            table.record(stream(number), &origin(version), now_ms, now_ms);
            let versions: &mut Vec<&str> = versions_of.entry(number).or_default();
            versions.push(version);
        }
        versions_of.iter().all(|(number, versions)| {
            let known = table.find(stream(*number), now_ms).map(|(known, _)| known);
            let is_single = versions.iter().all(|version| version == &versions[0]);
            if is_single {
                known == Some(KnownOrigin::Origin(origin(versions[0])))
            } else {
                known == Some(KnownOrigin::Conflicting)
            }
        })
    }
    QuickCheck::new()
        .tests(2_000)
        .rng(Gen::from_size_and_seed(60, SEED))
        .quickcheck(holds as fn(Vec<(u8, bool, u16)>) -> bool);
}

#[test]
fn a_second_replica_of_the_same_version_is_no_conflict_but_one_of_another_pool_is() {
    let mut table = OriginTable::new();
    let mut other_replica = origin("v1");
    other_replica.replica = 8;
    let mut other_pool = origin("v1");
    other_pool.pool = "other".parse().unwrap();
    let record = |table: &mut OriginTable, origin: &StreamOrigin| {
        table.record(stream(0), origin, START_MS, START_MS)
    };
    assert_eq!(record(&mut table, &origin("v1")), OriginOutcome::New);
    assert_eq!(record(&mut table, &other_replica), OriginOutcome::Unchanged);
    let known = table.find(stream(0), START_MS);
    assert_eq!(known, Some((KnownOrigin::Origin(origin("v1")), 0)));
    assert_eq!(record(&mut table, &other_pool), OriginOutcome::NewConflict);
    assert_eq!(record(&mut table, &origin("v1")), OriginOutcome::Unchanged);
    let known = table.find(stream(0), START_MS);
    assert_eq!(known, Some((KnownOrigin::Conflicting, 0)));
}

#[test]
fn an_origin_expires_after_its_retention_and_repeats_do_not_extend_it() {
    let mut table = OriginTable::new();
    table.record(stream(0), &origin("v1"), START_MS, START_MS);
    let last_ms = START_MS + ORIGIN_RETENTION_MS - 1;
    assert_eq!(
        table.record(stream(0), &origin("v1"), last_ms, last_ms),
        OriginOutcome::Unchanged
    );
    assert!(table.find(stream(0), last_ms).is_some());
    assert_eq!(table.find(stream(0), last_ms + 1), None);
    // An origin that is reported too late is not recorded at all.
    assert_eq!(
        table.record(stream(1), &origin("v1"), START_MS, last_ms + 1),
        OriginOutcome::Unchanged
    );
    table.record_conflict(stream(2), START_MS, last_ms + 1);
    assert!(table.is_empty());
}

/// Guards against a conflict that is forgotten while the later of its streams still lives.
#[test]
fn a_conflict_lasts_as_long_as_its_later_origin() {
    let mut table = OriginTable::new();
    let second_ms = START_MS + 60_000;
    table.record(stream(0), &origin("v1"), START_MS, START_MS);
    table.record(stream(0), &origin("v2"), second_ms, second_ms);
    let last_ms = second_ms + ORIGIN_RETENTION_MS - 1;
    let known = table.find(stream(0), last_ms).map(|(known, _)| known);
    assert_eq!(known, Some(KnownOrigin::Conflicting));
    assert_eq!(table.find(stream(0), last_ms + 1), None);
}

/// Guards against unbounded memory, and against evicting streams that are younger than others.
#[test]
fn the_table_is_bounded_and_evicts_the_oldest_first() {
    let mut table = OriginTable::new();
    let now_ms = START_MS + 100_000;
    let extra = 100;
    // Recorded in an order that differs from that of their ages.
    for number in (0..MAX_ORIGINS + extra).rev() {
        let at_ms = now_ms - 100_000 + number as u64;
        table.record(stream(number), &origin("v1"), at_ms, now_ms);
    }
    assert_eq!(table.len(), MAX_ORIGINS);
    for number in [0, extra - 1] {
        assert_eq!(table.find(stream(number), now_ms), None, "{number}");
    }
    for number in [extra, MAX_ORIGINS + extra - 1] {
        assert!(table.find(stream(number), now_ms).is_some(), "{number}");
    }
}

/// Guards against odd times in messages of other routers.
#[test]
fn any_sequence_of_times_keeps_the_table_consistent() {
    fn holds(records: Vec<(u8, u64, u64, bool)>) -> bool {
        let mut table = OriginTable::new();
        records
            .into_iter()
            .all(|(number, at_ms, now_ms, conflicts)| {
                let number = usize::from(number % 16);
                if conflicts {
                    table.record_conflict(stream(number), at_ms, now_ms);
                } else {
                    table.record(stream(number), &origin("v1"), at_ms, now_ms);
                }
                let found = table.find(stream(number), now_ms);
                table.len() <= 16 && found.is_none_or(|(_, age_ms)| age_ms < ORIGIN_RETENTION_MS)
            })
    }
    QuickCheck::new()
        .tests(2_000)
        .rng(Gen::from_size_and_seed(100, SEED))
        .quickcheck(holds as fn(Vec<(u8, u64, u64, bool)>) -> bool);
}
