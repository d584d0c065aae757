//! How soon all routers know of a server that ended, and what that costs: a model without network of
//! what `exchange/hellos.rs` sends (epidemic broadcast).

use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Time between two rounds of hellos, in milliseconds.
const ROUND_MS: usize = 150;
/// Routers that get the news at once, or a hello in one round.
const RECEIVERS: usize = 12;
/// Rounds in which a router tells news.
const TOLD_ROUNDS: usize = 6;
/// Bytes of one report.
const REPORT_BYTES: usize = 64;
/// Time after which no router may send the request on, by the pages of the smallest deployments.
const CONTACT_MS: usize = 3_000;

struct Spread {
    /// Time until all routers that run know it.
    all_know_ms: usize,
    /// Bytes that the busiest router sent.
    most_bytes: usize,
}

/// One router tells the news once to some, then each that knows passes it on with its hellos.
fn spread(routers: usize, lost_percent: u32, frozen_percent: usize, seed: u64) -> Spread {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let frozen: Vec<usize> = (1..routers).sample(&mut rng, routers * frozen_percent / 100);
    let mut known_since: Vec<Option<usize>> = vec![None; routers];
    let mut turns: Vec<usize> = (0..routers).map(|_| rng.random_range(0..routers)).collect();
    let mut sent = vec![0; routers];
    known_since[0] = Some(0);
    for receiver in (1..routers).sample(&mut rng, RECEIVERS) {
        sent[0] += 1;
        let is_heard = rng.random_range(0..100) >= lost_percent;
        if is_heard && !frozen.contains(&receiver) {
            known_since[receiver] = Some(0);
        }
    }
    let mut all_know_ms = usize::MAX;
    for round in 1..CONTACT_MS / ROUND_MS {
        let tellers: Vec<usize> = (0..routers)
            .filter(|router| known_since[*router].is_some_and(|since| round - since <= TOLD_ROUNDS))
            .collect();
        for teller in tellers {
            for _ in 0..RECEIVERS.min(routers - 1) {
                turns[teller] = (turns[teller] + 1) % routers;
                let receiver = turns[teller];
                sent[teller] += 1;
                let is_heard = rng.random_range(0..100) >= lost_percent;
                if is_heard && !frozen.contains(&receiver) {
                    known_since[receiver].get_or_insert(round);
                }
            }
        }
        let knows = |router: usize| known_since[router].is_some() || frozen.contains(&router);
        if all_know_ms == usize::MAX && (0..routers).all(knows) {
            all_know_ms = round * ROUND_MS;
        }
    }
    Spread {
        all_know_ms,
        most_bytes: sent.iter().max().unwrap_or(&0) * REPORT_BYTES,
    }
}

/// Guards against routers that go on sending a request which others know to end servers.
#[test]
fn all_routers_know_of_an_ended_server_within_the_pages_time_at_any_size() {
    for routers in [9, 87, 295, 1_000, 2_100] {
        for (lost_percent, frozen_percent) in [(0, 0), (5, 0), (30, 0), (5, 30)] {
            for seed in 0..5 {
                let found = spread(routers, lost_percent, frozen_percent, seed);
                println!(
                    "{routers} routers, {lost_percent}% lost, {frozen_percent}% frozen: \
                     {} ms, {} bytes",
                    found.all_know_ms, found.most_bytes
                );
                assert!(found.all_know_ms <= CONTACT_MS / 2, "{routers} routers");
                // Half a second of what control may use.
                assert!(found.most_bytes <= 6_000, "{routers} routers");
            }
        }
    }
}
