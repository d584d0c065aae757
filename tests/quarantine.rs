//! Which requests are quarantined, given what is known of crashes.

use currantlever::{Fingerprint, Quarantine, ReplicaId, Suspicion};

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
