//! Tests the choice of a replica by load, prompt prefix, ejection and back-off.

use currantlever::{
    choose_replica, FailureDomain, PlacementOutcome, PlacementRequest, ProbeId, PromptInfo,
    PromptMix, ReplicaCandidate, ReplicaLoad,
};
use quickcheck::{quickcheck, Arbitrary, Gen};
use rand::rngs::{SmallRng, StdRng};
use rand::SeedableRng;

const SLOTS: u32 = 48;

fn domain(name: &str) -> FailureDomain {
    FailureDomain::new(name).unwrap()
}

fn candidates(count: usize) -> Vec<ReplicaCandidate> {
    let candidate = |index: usize| {
        let id = format!("i-{index}").parse().unwrap();
        ReplicaCandidate::new(id, domain(["a", "b"][index % 2]), SLOTS)
    };
    (0..count).map(candidate).collect()
}

fn prompt(unshared_tokens: u64, shared_tokens: u64, shared_key: u64) -> PromptInfo {
    PromptInfo {
        prompt_tokens: unshared_tokens + shared_tokens,
        shared_tokens,
        shared_key,
    }
}

fn request(
    domain: &FailureDomain,
    now_ms: u64,
    prompt: Option<PromptInfo>,
) -> PlacementRequest<'_> {
    PlacementRequest {
        now_ms,
        failure_domain: domain,
        excluded: &[],
        rank: 0,
        prompt,
    }
}

fn choose(
    candidates: &mut [ReplicaCandidate],
    request: &PlacementRequest<'_>,
    mix: &PromptMix,
) -> Option<usize> {
    match choose_replica(candidates, request, mix, &mut StdRng::seed_from_u64(7)) {
        PlacementOutcome::Replica { index, .. } => Some(index),
        PlacementOutcome::Full
        | PlacementOutcome::Unreachable
        | PlacementOutcome::NoReplica
        | PlacementOutcome::BackingOff { .. }
        | PlacementOutcome::RateLimited { .. } => None,
    }
}

#[test]
fn prompts_with_a_shared_prefix_go_to_the_same_replica_from_all_routers() {
    let mix = PromptMix::default();
    for key in 0..50 {
        let (a, b) = (domain("a"), domain("b"));
        let shared = Some(prompt(600, 5_000, key));
        let first = choose(&mut candidates(18), &request(&a, 0, shared), &mix);
        let second = choose(&mut candidates(18), &request(&b, 0, shared), &mix);
        assert_eq!(first, second);
    }
}

#[test]
fn a_hot_shared_prefix_spills_over_before_its_replica_is_overloaded() {
    let mix = PromptMix::default();
    let mut candidates = candidates(18);
    let a = domain("a");
    let mut max_requests = 0;
    for _ in 0..300 {
        let hot = request(&a, 0, Some(prompt(2_000, 5_000, 1)));
        let PlacementOutcome::Replica {
            index,
            prefill_tokens,
            ..
        } = choose_replica(&mut candidates, &hot, &mix, &mut StdRng::seed_from_u64(7))
        else {
            panic!("no replica with spare capacity");
        };
        candidates[index].own_load.add(prefill_tokens);
        max_requests = max_requests.max(candidates[index].requests());
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
        mix.record(40_000);
        mix.record(1_000);
    }
    let a = domain("a");
    let mut candidates = candidates(18);
    // All replicas run streams, which a long prompt would stall.
    for candidate in &mut candidates {
        candidate.own_load.requests = 10;
    }
    let mut long_replicas = std::collections::BTreeSet::new();
    let mut short_replicas = std::collections::BTreeSet::new();
    for number in 0..60 {
        let long = choose(
            &mut candidates,
            &request(&a, 0, Some(prompt(40_000, 0, 0))),
            &mix,
        )
        .unwrap();
        candidates[long].own_load.add(40_000);
        long_replicas.insert(long);
        let short = request(&a, 0, Some(prompt(800, 0, number)));
        let short = choose(&mut candidates, &short, &mix).unwrap();
        candidates[short].own_load.add(0);
        short_replicas.insert(short);
        // Seven replicas prefill slightly more tokens than arrive.
        for candidate in &mut candidates {
            candidate.own_load.finish_prefill(6_000);
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
    let mut candidates = candidates(2);
    for _ in 0..3 {
        candidates[0].record_failure(1_000);
    }
    let count_first = |candidates: &mut Vec<ReplicaCandidate>, now_ms: u64| {
        let chosen: Vec<usize> = (0..20)
            .filter_map(|_| choose(candidates, &request(&a, now_ms, None), &mix))
            .collect();
        chosen.iter().filter(|index| **index == 0).count()
    };
    assert_eq!(count_first(&mut candidates, 1_100), 0);
    candidates[1].own_load.requests = 3;
    assert_eq!(count_first(&mut candidates, 2_000), 1);
    candidates[0].record_success();
    assert!(count_first(&mut candidates, 2_100) > 1);
}

#[test]
fn a_new_idle_replica_is_used_at_once_up_to_the_load_of_the_others() {
    let mix = PromptMix::default();
    let a = domain("a");
    let mut candidates = candidates(6);
    for candidate in candidates.iter_mut().skip(1) {
        candidate.own_load.requests = 20;
    }
    for number in 0..40 {
        let index = choose(
            &mut candidates,
            &request(&a, 0, Some(prompt(500, 0, number))),
            &mix,
        )
        .unwrap();
        candidates[index].own_load.add(0);
    }
    assert!(
        (15..=30).contains(&candidates[0].requests()),
        "{}",
        candidates[0].requests()
    );
}

#[test]
fn full_and_missing_replicas_are_distinguished_and_high_priority_queues_longer() {
    let mix = PromptMix::default();
    let a = domain("a");
    let mut rng = StdRng::seed_from_u64(7);
    let mut candidates = candidates(1);
    candidates[0].own_load.requests = SLOTS + SLOTS / 4;
    let high_priority = request(&a, 0, None);
    let low_priority = PlacementRequest {
        rank: 2,
        ..high_priority
    };
    assert!(matches!(
        choose_replica(&mut candidates, &high_priority, &mix, &mut rng),
        PlacementOutcome::Replica { .. }
    ));
    assert_eq!(
        choose_replica(&mut candidates, &low_priority, &mix, &mut rng),
        PlacementOutcome::Full
    );
    candidates[0].is_leaving = true;
    assert_eq!(
        choose_replica(&mut candidates, &high_priority, &mix, &mut rng),
        PlacementOutcome::NoReplica
    );
}

/// Guards against a router without a path to any replica that reports the same as one without
/// replicas.
#[test]
fn ejected_replicas_are_told_from_missing_ones() {
    let domain = domain("a");
    let mix = PromptMix::default();
    let mut rng = StdRng::seed_from_u64(7);
    let mut candidates = candidates(2);
    let now = request(&domain, 1_000, None);
    for candidate in &mut candidates {
        candidate.record_unreachable(1_000);
    }
    assert_eq!(
        choose_replica(&mut candidates, &now, &mix, &mut rng),
        PlacementOutcome::Unreachable
    );
    for candidate in &mut candidates {
        candidate.is_leaving = true;
    }
    assert_eq!(
        choose_replica(&mut candidates, &now, &mix, &mut rng),
        PlacementOutcome::NoReplica
    );
}

#[test]
fn a_replica_in_back_off_is_skipped_and_the_shortest_back_off_is_returned() {
    let domain = domain("a");
    let mix = PromptMix::default();
    let mut rng = StdRng::seed_from_u64(7);
    let mut candidates = candidates(2);
    candidates[0].record_backoff(1_000, 3_000);
    for now_ms in [1_000, 2_500, 3_999] {
        let request = request(&domain, now_ms, None);
        assert_eq!(choose(&mut candidates, &request, &mix), Some(1));
    }
    // A later, shorter back-off does not shorten the first one.
    candidates[0].record_backoff(1_500, 100);
    candidates[1].record_backoff(1_500, 5_000);
    assert_eq!(
        choose_replica(
            &mut candidates,
            &request(&domain, 2_000, None),
            &mix,
            &mut rng
        ),
        PlacementOutcome::BackingOff { left_ms: 2_000 }
    );
    assert_eq!(
        choose(&mut candidates, &request(&domain, 4_000, None), &mix),
        Some(0)
    );
}

#[test]
fn a_replica_that_requested_a_back_off_from_another_router_is_the_last_choice() {
    let domain = domain("a");
    let mix = PromptMix::default();
    let mut candidates = candidates(2);
    candidates[0].record_backoff_hint(0, 1_000);
    candidates[1].own_load.requests = 3;
    let now = request(&domain, 500, Some(prompt(100, 400, 9)));
    assert_eq!(choose(&mut candidates, &now, &mix), Some(1));
    candidates[1].is_leaving = true;
    assert_eq!(choose(&mut candidates, &now, &mix), Some(0));
}

/// Guards against a replica that waits for ever for a probe that nobody concludes.
#[test]
fn another_probe_is_sent_a_time_after_one_that_is_not_concluded() {
    let mix = PromptMix::default();
    let a = domain("a");
    let mut candidates = candidates(1);
    for _ in 0..3 {
        candidates[0].record_failure(0);
    }
    let times_ms: Vec<u64> = (1_000..21_000)
        .step_by(100)
        .filter(|now_ms| choose(&mut candidates, &request(&a, *now_ms, None), &mix).is_some())
        .collect();
    assert!(times_ms.len() > 1, "{times_ms:?}");
    for pair in times_ms.windows(2) {
        assert!(
            (1_000..=5_000).contains(&(pair[1] - pair[0])),
            "{times_ms:?}"
        );
    }
}

/// What a request applies to its replica when it ends.
type Finding = fn(&mut ReplicaCandidate, u64);

/// How a request at a replica goes on.
#[derive(Clone, Copy, Debug)]
enum RequestStep {
    Choose,
    Succeed(u8),
    Fail(u8),
    Refuse(u8),
    /// Ends without showing whether the replica works.
    End(u8),
    Wait(u8),
}

impl Arbitrary for RequestStep {
    fn arbitrary(g: &mut Gen) -> Self {
        let number = u8::arbitrary(g);
        match u8::arbitrary(g) % 8 {
            0..=2 => Self::Choose,
            3 => Self::Succeed(number),
            4 => Self::Fail(number),
            5 => Self::Refuse(number),
            6 => Self::End(number),
            _ => Self::Wait(number),
        }
    }
}

quickcheck! {
    /// Guards against any order of ends after which a replica gets no request or keeps a load.
    fn every_replica_can_be_chosen_again_once_all_requests_have_ended(
        steps: Vec<RequestStep>
    ) -> bool {
        const LONGEST_EJECTION_MS: u64 = 8_000;
        let mix = PromptMix::default();
        let a = domain("a");
        let mut candidates = candidates(3);
        let mut running: Vec<(usize, Option<ProbeId>)> = Vec::new();
        let mut rng = SmallRng::seed_from_u64(1);
        let mut now_ms = 0;
        for step in steps {
            let count = running.len();
            let pick = |number: u8| (count > 0).then(|| usize::from(number) % count);
            let (ended, finding): (_, Option<Finding>) = match step {
                RequestStep::Choose => {
                    let request = request(&a, now_ms, None);
                    let choice = choose_replica(&mut candidates, &request, &mix, &mut rng);
                    if let PlacementOutcome::Replica { index, probe, .. } = choice {
                        candidates[index].own_load.add(0);
                        running.push((index, probe));
                    }
                    (None, None)
                }
                RequestStep::Wait(number) => {
                    now_ms += 20 * u64::from(number);
                    (None, None)
                }
                RequestStep::Succeed(at) => (pick(at), Some(|candidate, _| candidate.record_success())),
                RequestStep::Fail(at) => (pick(at), Some(ReplicaCandidate::record_failure)),
                RequestStep::Refuse(at) => (pick(at), Some(ReplicaCandidate::record_unreachable)),
                RequestStep::End(at) => (pick(at), None),
            };
            if let Some(at) = ended {
                let (index, probe) = running.swap_remove(at);
                if let Some(finding) = finding {
                    finding(&mut candidates[index], now_ms);
                }
                end_request(&mut candidates[index], probe);
            }
        }
        for (index, probe) in running {
            end_request(&mut candidates[index], probe);
        }
        now_ms += LONGEST_EJECTION_MS;
        let chosen = (0..candidates.len()).filter(|_| {
            choose(&mut candidates, &request(&a, now_ms, None), &mix).is_some_and(|index| {
                let is_idle = candidates[index].own_load == ReplicaLoad::default();
                candidates[index].is_leaving = true;
                is_idle
            })
        });
        chosen.count() == 3
    }
}

fn end_request(candidate: &mut ReplicaCandidate, probe: Option<ProbeId>) {
    candidate.own_load.remove();
    if let Some(probe) = probe {
        candidate.conclude_probe(probe);
    }
}
