//! Measures how soon crash reports reach all routers and how many bytes that costs, in a simulation
//! of the epidemic broadcast of `exchange/hellos.rs` without a network.

use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Interval between two rounds of hello messages, in milliseconds.
const ROUND_MS: usize = 150;
/// Routers that a report is sent to at once, or in each round of hello messages.
const FANOUT: usize = 12;
/// Rounds in which a router forwards a report.
const FORWARD_ROUNDS: usize = 6;
/// Size of a report, in bytes.
const REPORT_BYTES: usize = 64;
/// Documented time, in milliseconds, after which no router of the smallest deployments may forward
/// the request.
const MAX_FORWARD_MS: usize = 3_000;

struct Spread {
    /// Time until all routers except the frozen ones have the report, in milliseconds.
    all_informed_ms: usize,
    /// Largest number of bytes that any router sent.
    max_bytes: usize,
}

/// Simulates the spread of a report: one router sends it at once to some others, then every router
/// that has it forwards it with its hello messages.
fn simulate_spread(routers: usize, lost_percent: u32, frozen_percent: usize, seed: u64) -> Spread {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let frozen: Vec<usize> = (1..routers).sample(&mut rng, routers * frozen_percent / 100);
    let mut informed: Vec<Option<usize>> = vec![None; routers];
    let mut last_receiver: Vec<usize> =
        (0..routers).map(|_| rng.random_range(0..routers)).collect();
    let mut sent = vec![0; routers];
    informed[0] = Some(0);
    for receiver in (1..routers).sample(&mut rng, FANOUT) {
        sent[0] += 1;
        let is_delivered = rng.random_range(0..100) >= lost_percent;
        if is_delivered && !frozen.contains(&receiver) {
            informed[receiver] = Some(0);
        }
    }
    let mut all_informed_ms = usize::MAX;
    for round in 1..MAX_FORWARD_MS / ROUND_MS {
        let senders: Vec<usize> = (0..routers)
            .filter(|router| informed[*router].is_some_and(|from| round - from <= FORWARD_ROUNDS))
            .collect();
        for sender in senders {
            for _ in 0..FANOUT.min(routers - 1) {
                last_receiver[sender] = (last_receiver[sender] + 1) % routers;
                let receiver = last_receiver[sender];
                sent[sender] += 1;
                let is_delivered = rng.random_range(0..100) >= lost_percent;
                if is_delivered && !frozen.contains(&receiver) {
                    informed[receiver].get_or_insert(round);
                }
            }
        }
        let is_informed = |router: usize| informed[router].is_some() || frozen.contains(&router);
        if all_informed_ms == usize::MAX && (0..routers).all(is_informed) {
            all_informed_ms = round * ROUND_MS;
        }
    }
    Spread {
        all_informed_ms,
        max_bytes: sent.iter().max().unwrap_or(&0) * REPORT_BYTES,
    }
}

/// Guards against routers that keep forwarding a request which others know to crash servers.
#[test]
fn all_routers_receive_a_crash_report_in_time_at_any_fleet_size() {
    for routers in [9, 87, 295, 1_000, 2_100] {
        for (lost_percent, frozen_percent) in [(0, 0), (5, 0), (30, 0), (5, 30)] {
            for seed in 0..5 {
                let result = simulate_spread(routers, lost_percent, frozen_percent, seed);
                println!(
                    "{routers} routers, {lost_percent}% lost, {frozen_percent}% frozen: \
                     {} ms, {} bytes",
                    result.all_informed_ms, result.max_bytes
                );
                assert!(
                    result.all_informed_ms <= MAX_FORWARD_MS / 2,
                    "{routers} routers"
                );
                // Half a second of the bandwidth allowed for control messages.
                assert!(result.max_bytes <= 6_000, "{routers} routers");
            }
        }
    }
}
