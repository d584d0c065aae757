//! Which requests are quarantined, given what is known of crashes.

use currantlever::{
    Fingerprint, HolderId, PlaceVerdict, Quarantine, ReplicaId, SuspectPlaces, SuspectRun,
    Suspicion,
};

fn fingerprint(content: &str) -> Fingerprint {
    Fingerprint::new(&"team".parse().unwrap(), content.as_bytes())
}

fn replica(number: u32) -> ReplicaId {
    ReplicaId::new(format!("replica-{number}")).unwrap()
}

#[test]
fn a_second_crash_as_the_only_suspect_quarantines() {
    let mut quarantine = Quarantine::new();
    let killer = fingerprint("killer");
    quarantine.record(killer, replica(1), false);
    assert_eq!(quarantine.suspicion(killer), Suspicion::Suspect);
    quarantine.record(killer, replica(2), true);
    assert_eq!(quarantine.suspicion(killer), Suspicion::Quarantined);
}

#[test]
fn an_innocent_beside_it_twice_is_not_quarantined() {
    let mut quarantine = Quarantine::new();
    let (killer, innocent) = (fingerprint("killer"), fingerprint("innocent"));
    for number in [1, 2] {
        quarantine.record(innocent, replica(number), false);
    }
    assert_eq!(quarantine.suspicion(innocent), Suspicion::Suspect);
    quarantine.record(killer, replica(1), false);
    quarantine.record(killer, replica(2), true);
    quarantine.record(killer, replica(3), true);
    assert_eq!(quarantine.suspicion(innocent), Suspicion::Suspect);
    assert_eq!(quarantine.suspicion(killer), Suspicion::Quarantined);
    quarantine.clear(innocent);
    assert_eq!(quarantine.suspicion(innocent), Suspicion::Clear);
}

fn run(content: &str, router: u64) -> SuspectRun {
    SuspectRun {
        fingerprint: fingerprint(content),
        router: HolderId::new(router),
    }
}

#[test]
fn suspects_that_share_a_replica_cannot_be_told_apart() {
    let mut quarantine = Quarantine::new();
    for content in ["killer", "innocent"] {
        quarantine.record(fingerprint(content), replica(1), false);
        quarantine.record(fingerprint(content), replica(2), true);
    }
    assert_eq!(
        quarantine.suspicion(fingerprint("killer")),
        Suspicion::Suspect
    );
}

#[test]
fn suspects_of_two_routers_get_no_common_replica() {
    let mut places = SuspectPlaces::new();
    let (killer, innocent) = (run("killer", 1), run("innocent", 2));
    assert_eq!(places.hold(&replica(2), killer, 0), PlaceVerdict::Granted);
    assert_eq!(
        places.hold(&replica(2), innocent, 1),
        PlaceVerdict::ReplicaTaken
    );
    assert_eq!(places.hold(&replica(3), innocent, 2), PlaceVerdict::Granted);
    places.release(&replica(3), killer);
    assert_eq!(
        places.hold(&replica(3), run("other", 1), 3),
        PlaceVerdict::ReplicaTaken
    );
}

#[test]
fn a_suspect_runs_on_one_replica_at_a_time() {
    let mut places = SuspectPlaces::new();
    assert_eq!(
        places.hold(&replica(1), run("killer", 1), 0),
        PlaceVerdict::Granted
    );
    for router in [1, 2] {
        assert_eq!(
            places.hold(&replica(2), run("killer", router), 1),
            PlaceVerdict::RequestRunning
        );
    }
    places.release(&replica(1), run("killer", 1));
    assert_eq!(
        places.hold(&replica(2), run("killer", 2), 2),
        PlaceVerdict::Granted
    );
}

#[test]
fn places_of_a_gone_router_and_old_places_are_given_free() {
    let mut places = SuspectPlaces::new();
    places.hold(&replica(1), run("one", 1), 0);
    places.release_where(|router| router == HolderId::new(1));
    assert_eq!(
        places.hold(&replica(1), run("two", 2), 1),
        PlaceVerdict::Granted
    );
    assert_eq!(
        places.hold(&replica(1), run("three", 3), 3_600_000),
        PlaceVerdict::Granted
    );
}
