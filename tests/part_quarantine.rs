//! Rules of the quarantine of prompt parts.

use currantlever::{PartId, PartQuarantine, ReplicaId, ServerCrash, Suspicion};

const SHARED: PartId = PartId::new(1);
const BAD: PartId = PartId::new(2);
const RETENTION_MS: u64 = 3_600_000;

fn crash(server: u64, at_ms: u64) -> ServerCrash {
    ServerCrash::new(ReplicaId::new(format!("server-{server}")).unwrap(), at_ms)
}

fn crash_servers(quarantine: &mut PartQuarantine, parts: &[PartId], times_ms: &[u64]) {
    for (server, at_ms) in (0..).zip(times_ms) {
        quarantine.record_crash(parts, &crash(server, *at_ms));
    }
}

#[test]
fn five_crashes_quarantine_a_part_and_four_do_not() {
    let times_ms = [0, 1_000, 2_000, 3_000, 4_000];
    let mut quarantine = PartQuarantine::new();
    crash_servers(&mut quarantine, &[BAD], &times_ms[..4]);
    assert_eq!(quarantine.suspicion(BAD, 4_000), Suspicion::Suspect);
    crash_servers(&mut quarantine, &[BAD], &times_ms);
    assert_eq!(quarantine.suspicion(BAD, 4_000), Suspicion::Quarantined);
    assert_eq!(
        quarantine.quarantine_left_ms(BAD, 4_000),
        Some(RETENTION_MS)
    );
}

/// Guards against counting the reports of several routers, or of several requests, on one crash.
#[test]
fn reports_on_the_same_crash_count_once() {
    let mut quarantine = PartQuarantine::new();
    for observer in ["r-1", "r-2", "r-3", "r-4", "r-5", "r-6"] {
        let crash = crash(0, 100).with_source(observer.into(), observer.into());
        quarantine.record_crash(&[BAD], &crash);
    }
    assert_eq!(quarantine.crashes(BAD, 100).count(), 1);
}

/// Guards against crashes of one moment, such as a power loss, that quarantine a part.
#[test]
fn simultaneous_crashes_count_as_one() {
    let mut quarantine = PartQuarantine::new();
    crash_servers(&mut quarantine, &[BAD], &[0, 20, 40, 60, 80, 100, 120, 140]);
    assert_eq!(quarantine.suspicion(BAD, 200), Suspicion::Suspect);
}

/// Guards against crashes with a common cause that quarantine a part which was on some of them.
#[test]
fn crashes_beside_those_of_other_servers_weigh_half() {
    let mut quarantine = PartQuarantine::new();
    for number in 0..9 {
        let at_ms = number * 1_000;
        for other in 0..2 {
            let server = 100 + number * 2 + other;
            quarantine.record_crash(&[PartId::new(server)], &crash(server, at_ms));
        }
        quarantine.record_crash(&[BAD], &crash(number, at_ms));
    }
    assert_eq!(quarantine.suspicion(BAD, 9_000), Suspicion::Suspect);
    quarantine.record_crash(&[BAD], &crash(9, 9_000));
    assert_eq!(quarantine.suspicion(BAD, 9_000), Suspicion::Quarantined);
}

#[test]
fn a_first_token_clears_a_part_of_crashes_before_and_shortly_after() {
    let mut quarantine = PartQuarantine::new();
    crash_servers(&mut quarantine, &[BAD], &[0, 1_000, 2_000, 3_000]);
    assert!(quarantine.record_first_token(BAD, 3_500));
    assert_eq!(quarantine.suspicion(BAD, 3_500), Suspicion::Clear);
    let outcome = quarantine.record_crash(&[BAD], &crash(7, 5_000));
    assert_eq!(outcome.cleared, [(BAD, 3_500)]);
    let outcome = quarantine.record_crash(&[BAD], &crash(8, 6_000));
    assert_eq!(outcome.accused, [BAD]);
}

/// Guards against accusing the parts of sound requests with the crashes of a part that is known.
#[test]
fn crashes_under_a_quarantined_part_accuse_no_other() {
    let mut quarantine = PartQuarantine::new();
    crash_servers(&mut quarantine, &[BAD], &[0, 1_000, 2_000, 3_000, 4_000]);
    let times_ms = [0, 1_000, 2_000, 3_000, 4_000];
    crash_servers(&mut quarantine, &[SHARED], &times_ms);
    assert_eq!(quarantine.suspicion(SHARED, 5_000), Suspicion::Suspect);
}

/// Guards against refusing the widely shared first part where no other request clears it.
#[test]
fn of_parts_with_the_same_crashes_the_last_one_is_quarantined() {
    let mut quarantine = PartQuarantine::new();
    let times_ms = [0, 1_000, 2_000, 3_000, 4_000];
    crash_servers(&mut quarantine, &[SHARED, BAD], &times_ms);
    assert_eq!(quarantine.quarantined(5_000), [BAD]);
}

/// Guards against reports and objects of other routers that quarantine a released part again.
#[test]
fn a_released_part_is_not_accused_again_by_old_reports() {
    let mut quarantine = PartQuarantine::new();
    let times_ms = [0, 1_000, 2_000, 3_000, 4_000];
    crash_servers(&mut quarantine, &[SHARED, BAD], &times_ms);
    quarantine.release(BAD, 5_000);
    crash_servers(&mut quarantine, &[BAD], &times_ms);
    quarantine.record_peer_quarantine(BAD, &[crash(0, 6_000)]);
    assert_eq!(quarantine.suspicion(BAD, 6_000), Suspicion::Clear);
    assert_eq!(quarantine.suspicion(SHARED, 6_000), Suspicion::Clear);
}

#[test]
fn a_quarantined_part_is_forgotten_an_hour_after_its_last_crash() {
    let mut quarantine = PartQuarantine::new();
    crash_servers(&mut quarantine, &[BAD], &[0, 1_000, 2_000, 3_000, 4_000]);
    let last_ms = 4_000 + RETENTION_MS;
    assert_eq!(quarantine.quarantine_left_ms(BAD, last_ms - 1), Some(1));
    assert_eq!(quarantine.suspicion(BAD, last_ms), Suspicion::Clear);
    assert!(quarantine.quarantined(last_ms).is_empty());
}

/// Guards against callers that send ever new parts: the table stays bounded, and a part that keeps
/// crashing servers is not evicted.
#[test]
fn random_parts_do_not_evict_one_that_keeps_crashing_servers() {
    let mut quarantine = PartQuarantine::new();
    for number in 0..5 {
        let at_ms = number * 10_000;
        for request in 0..40 {
            let first = 1_000 + (number * 40 + request) * 100;
            let random = (first..first + 40).map(PartId::new);
            quarantine.record_crash(&random.collect::<Vec<_>>(), &crash(number, at_ms));
        }
        quarantine.record_crash(&[SHARED, BAD], &crash(number, at_ms));
        quarantine.record_first_token(SHARED, at_ms + 100);
    }
    assert_eq!(quarantine.quarantined(50_000), [BAD]);
    for number in 0..10_000 {
        quarantine.record_first_token(PartId::new(1 << 32 | number), 50_000);
    }
    assert_eq!(quarantine.quarantined(50_000), [BAD]);
}

/// Guards against routers that read a quarantined part from the store at different times and take
/// one another's reminders for new crashes, which they forward without end.
#[test]
fn a_crash_that_another_router_dates_differently_is_not_new() {
    let mut quarantine = PartQuarantine::new();
    let stored = |at_ms| crash(0, at_ms).with_source("attempt".into(), "r-1".into());
    let outcome = quarantine.record_crash(&[BAD], &stored(1_000));
    assert_eq!(outcome.accused, [BAD]);
    let outcome = quarantine.record_crash(&[BAD], &stored(50_000));
    assert!(outcome.accused.is_empty());
    for number in 1..30 {
        quarantine.record_crash(&[BAD], &crash(number, 60_000 + number * 1_000));
    }
    assert_eq!(quarantine.quarantined(90_000), [BAD]);
    for number in 0..60 {
        let outcome =
            quarantine.record_crash(&[BAD], &crash(100 + number, 90_000 + number * 1_000));
        assert!(outcome.accused.is_empty(), "crash {number}");
    }
}
