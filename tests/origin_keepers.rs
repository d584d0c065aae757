//! Measures, in a simulation without a network, whether the version that began a stream is found
//! after routers or whole failure domains died, and what keeping it costs.

#![allow(clippy::cast_precision_loss, reason = "small counts")]

use std::collections::HashSet;

use currantlever::{
    keepers, sources, DutyCandidate, FailureDomain, ReplicaVersion, StreamId, StreamOrigin,
    KEEPER_COUNT, MAX_DIRECT_SOURCES, SOURCE_COUNT,
};
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Fleets: routers, failure domains, and streams that begin at each router in ten seconds.
const FLEETS: [(usize, usize, usize); 3] = [(9, 4, 30), (87, 4, 100), (295, 7, 35)];
/// Bytes that IP and UDP add to a datagram.
const HEADER_BYTES: usize = 28;
/// Acknowledgements without which an origin is sent once more.
const MIN_ACKS: usize = 2;
/// Bandwidth of a router for control messages, in bytes per second.
const CONTROL_BYTES_PER_S: f64 = 12_000.0;
const STREAMS: usize = 2_000;

fn fleet(routers: usize, domains: usize) -> Vec<DutyCandidate> {
    let router = |number: usize| DutyCandidate {
        failure_domain: FailureDomain::new(format!("d-{}", number % domains)).unwrap(),
        cpu_millis: 250,
        tie_breaker: (number as u64 + 1).wrapping_mul(0x2545_f491_4f6c_dd1d),
    };
    (0..routers).map(router).collect()
}

fn stream(number: usize) -> StreamId {
    StreamId::new("team", &format!("attempt-{number}"))
}

/// When the routers die.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Death {
    /// Right after the first event, so that nothing is sent once more.
    AtOnce,
    /// After the time for acknowledgements.
    Later,
}

struct Network {
    rng: ChaCha8Rng,
    lost_percent: u32,
}

impl Network {
    fn delivers(&mut self) -> bool {
        self.rng.random_range(0..100) >= self.lost_percent
    }

    /// Returns the routers that keep an origin recorded by `own`.
    fn record(&mut self, told: &[usize], death: Death) -> HashSet<usize> {
        let first_count = told.len().min(KEEPER_COUNT);
        let mut kept = HashSet::new();
        let mut acknowledged = HashSet::new();
        for count in [first_count, told.len()] {
            for router in &told[..count] {
                if acknowledged.contains(router) || !self.delivers() {
                    continue;
                }
                kept.insert(*router);
                if self.delivers() {
                    acknowledged.insert(*router);
                }
            }
            let is_kept = acknowledged.len() >= MIN_ACKS.min(first_count);
            if is_kept || death == Death::AtOnce {
                break;
            }
        }
        kept
    }

    /// Returns true if a router that asks `asked` finds a keeper that lives.
    fn find(&mut self, (asked, first_count): &(Vec<usize>, usize), alive: &HashSet<usize>) -> bool {
        let mut answered = HashSet::new();
        for count in [*first_count, asked.len(), asked.len()] {
            for router in &asked[..count] {
                if !answered.contains(router) && self.delivers() && self.delivers() {
                    if alive.contains(router) {
                        return true;
                    }
                    answered.insert(*router);
                }
            }
        }
        false
    }
}

/// Returns the share of streams whose origin is found at a random live router, after a share of the
/// routers died at once, the first router of the stream or not.
fn found_share(
    fleet: &[&DutyCandidate],
    dead_percent: usize,
    lost_percent: u32,
    death: Death,
) -> f64 {
    let mut network = Network {
        rng: ChaCha8Rng::seed_from_u64(32),
        lost_percent,
    };
    let mut found_count = 0;
    for number in 0..STREAMS {
        let dead_count = fleet.len() * dead_percent / 100;
        let dead: HashSet<usize> = (0..fleet.len())
            .sample(&mut network.rng, dead_count)
            .into_iter()
            .collect();
        let recorder = network.rng.random_range(0..fleet.len());
        let told = keepers(stream(number), fleet, recorder);
        let mut alive = network.record(&told, death);
        alive.insert(recorder);
        alive.retain(|router| !dead.contains(router));
        let asker = (0..fleet.len())
            .filter(|router| !dead.contains(router))
            .choose(&mut network.rng)
            .unwrap();
        let to_ask = sources(stream(number), fleet, asker);
        if alive.contains(&asker) || network.find(&to_ask, &alive) {
            found_count += 1;
        }
    }
    f64::from(found_count) / STREAMS as f64
}

/// Guards against streams that cannot go on, since nobody is left who knows their version.
#[test]
fn most_origins_are_found_after_many_routers_died_at_once() {
    for (routers, domains, _) in FLEETS {
        let fleet = fleet(routers, domains);
        let fleet: Vec<&DutyCandidate> = fleet.iter().collect();
        for (dead_percent, lost_percent, death, least) in [
            (0, 0, Death::AtOnce, 1.0),
            (0, 30, Death::Later, 0.98),
            (35, 0, Death::AtOnce, 0.9),
            (35, 30, Death::AtOnce, 0.7),
            (35, 30, Death::Later, 0.8),
            (60, 0, Death::AtOnce, 0.6),
            (60, 30, Death::Later, 0.5),
        ] {
            let share = found_share(&fleet, dead_percent, lost_percent, death);
            println!(
                "{routers} routers in {domains} domains, {dead_percent}% dead ({death:?}), \
                 {lost_percent}% lost: {:.1}% found",
                share * 100.0
            );
            assert!(share >= least, "{routers} routers: {share}");
        }
    }
}

/// Guards against streams that cannot go on since routers that joined or were replaced after their
/// first event moved the order.
#[test]
fn origins_are_found_after_routers_joined_and_were_replaced() {
    for (routers, domains, _) in FLEETS {
        for (joined_percent, replaced_percent) in [(35, 0), (100, 0), (0, 20), (35, 35)] {
            let all = fleet(routers * 2, domains);
            let before: Vec<&DutyCandidate> = all[..routers].iter().collect();
            let joined = routers * joined_percent / 100;
            let replaced = routers * replaced_percent / 100;
            let mut rng = ChaCha8Rng::seed_from_u64(32);
            let mut found_count = 0;
            for number in 0..STREAMS / 4 {
                let recorder = rng.random_range(0..routers);
                let mut kept: HashSet<usize> = keepers(stream(number), &before, recorder)
                    .into_iter()
                    .take(KEEPER_COUNT)
                    .collect();
                kept.insert(recorder);
                let mut after: Vec<usize> = (0..routers).sample(&mut rng, routers - replaced);
                after.extend((routers..routers * 2).take(joined + replaced));
                let asker = rng.random_range(0..after.len());
                let candidates: Vec<&DutyCandidate> = after.iter().map(|i| &all[*i]).collect();
                let (to_ask, _) = sources(stream(number), &candidates, asker);
                let mut knowing = to_ask.iter().chain([&asker]);
                found_count += usize::from(knowing.any(|index| kept.contains(&after[*index])));
            }
            let share = found_count as f64 / (STREAMS / 4) as f64;
            println!(
                "{routers} routers, {joined_percent}% joined, {replaced_percent}% replaced: \
                 {:.1}% found",
                share * 100.0
            );
            assert!(share >= 0.9, "{routers} routers: {share}");
        }
    }
}

/// Guards against keepers that are all in the failure domains that fail together.
#[test]
fn an_origin_survives_the_failure_of_any_two_failure_domains() {
    for (routers, domains) in [(3, 3), (9, 3), (9, 4), (87, 3), (87, 4), (295, 7)] {
        let fleet = fleet(routers, domains);
        let fleet: Vec<&DutyCandidate> = fleet.iter().collect();
        for number in 0..STREAMS / 4 {
            let recorder = number % routers;
            let mut told = keepers(stream(number), &fleet, recorder);
            told.truncate(KEEPER_COUNT);
            // The router that records it keeps it too, though it may not be asked.
            if routers <= MAX_DIRECT_SOURCES {
                told.push(recorder);
            }
            let kept_in: HashSet<&FailureDomain> = told
                .iter()
                .map(|router| &fleet[*router].failure_domain)
                .collect();
            assert!(kept_in.len() >= 3, "{routers} routers in {domains} domains");
        }
    }
}

/// Guards against routers that ask others than those that were told.
#[test]
fn every_router_asks_all_that_were_told() {
    for (routers, domains) in [(2, 1), (9, 3), (13, 2), (14, 1), (87, 3), (87, 4), (295, 7)] {
        let fleet = fleet(routers, domains);
        let fleet: Vec<&DutyCandidate> = fleet.iter().collect();
        for number in 0..200 {
            let recorder = number % routers;
            let told = keepers(stream(number), &fleet, recorder);
            assert!(!told.contains(&recorder));
            let distinct: HashSet<&usize> = told.iter().collect();
            assert_eq!(distinct.len(), told.len());
            for asker in 0..routers {
                let (asked, first_count) = sources(stream(number), &fleet, asker);
                assert!(first_count <= asked.len() && !asked.contains(&asker));
                assert!(asked.len() <= SOURCE_COUNT.max(MAX_DIRECT_SOURCES));
                let mut keepers = told.iter().take(KEEPER_COUNT);
                let is_asked = |keeper: &usize| *keeper == asker || asked.contains(keeper);
                assert!(
                    keepers.all(is_asked),
                    "{routers} routers in {domains} domains"
                );
            }
        }
    }
}

/// Guards against a router that all others ask, and against a cost that grows with the fleet.
#[test]
fn keepers_are_chosen_evenly_and_their_messages_stay_within_the_bandwidth() {
    let origin = StreamOrigin {
        pool: "assistant-pool".parse().unwrap(),
        replica: u32::MAX,
        born_ms: Some(1_800_000_000_000),
        version: ReplicaVersion::new("2026.12.5-rc1").unwrap(),
    };
    let encoded = |bytes: Vec<u8>| bytes.len() + HEADER_BYTES;
    let id = stream(0);
    let report_bytes = encoded(postcard::to_allocvec(&(8_u8, id, &origin, 0_u32)).unwrap());
    let ack_bytes = encoded(postcard::to_allocvec(&(9_u8, id, false)).unwrap());
    let query = (10_u8, u64::MAX, id, &origin.pool);
    let query_bytes = encoded(postcard::to_allocvec(&query).unwrap());
    let reply = (11_u8, u64::MAX, 0_u8, &origin, 10_000_u32);
    let reply_bytes = encoded(postcard::to_allocvec(&reply).unwrap());
    for (routers, domains, streams_in_10_s) in FLEETS {
        let fleet = fleet(routers, domains);
        let fleet: Vec<&DutyCandidate> = fleet.iter().collect();
        let streams_per_router = STREAMS * 5 / routers;
        let mut kept = vec![0_usize; routers];
        for number in 0..streams_per_router * routers {
            let told = keepers(stream(number), &fleet, number % routers);
            for keeper in told.iter().take(KEEPER_COUNT) {
                kept[*keeper] += 1;
            }
        }
        let most = *kept.iter().max().unwrap() as f64 / streams_per_router as f64;
        let per_s = streams_in_10_s as f64 / 10.0;
        let sent = KEEPER_COUNT as f64 * report_bytes as f64 + most * ack_bytes as f64;
        let (asked, first_count) = sources(id, &fleet, 0);
        println!(
            "{routers} routers in {domains} domains, {per_s} streams/s each: reports of \
             {report_bytes} bytes, acknowledgements of {ack_bytes}; {:.1} datagrams and {:.0} \
             bytes/s sent by the busiest router, which keeps {most:.2} of {KEEPER_COUNT} streams \
             for each of its own; a search: {first_count} to {} queries of {query_bytes} bytes, \
             replies of {reply_bytes} at most",
            per_s * (KEEPER_COUNT as f64 + most),
            per_s * sent,
            asked.len()
        );
        assert!(
            most <= KEEPER_COUNT as f64 * 1.5,
            "{routers} routers: {most}"
        );
        assert!(
            per_s * sent <= CONTROL_BYTES_PER_S / 2.0,
            "{routers} routers"
        );
    }
}
