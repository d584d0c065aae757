//! How soon a death is known in a failure domain, and that no living router is taken for dead.

use currantlever::{OwnWord, Presence, PresenceTable, GONE_AFTER_MS};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const WORD: OwnWord = OwnWord {
    is_ready: true,
    room_percent: 80,
};
/// Time between two asks of a router, which go to the two hubs by turns.
const ASK_MS: u64 = 300;
/// Time after which a connection sends a lost packet again.
const RESEND_MS: u64 = 300;
/// Longest time from a death until no router names the dead one.
const TARGET_MS: u64 = 2_000 + 2 * ASK_MS;

struct Domain {
    hubs: [PresenceTable<usize>; 2],
    routers: Vec<PresenceTable<usize>>,
    next_ask_ms: Vec<u64>,
    turns: Vec<usize>,
    dead: Vec<bool>,
    hub_is_dead: [bool; 2],
}

impl Domain {
    fn new(count: usize, rng: &mut StdRng) -> Self {
        Self {
            hubs: [PresenceTable::new(), PresenceTable::new()],
            routers: vec![PresenceTable::new(); count],
            next_ask_ms: (0..count).map(|_| rng.random_range(0..ASK_MS)).collect(),
            turns: (0..count).map(|_| rng.random_range(0..2)).collect(),
            dead: vec![false; count],
            hub_is_dead: [false; 2],
        }
    }

    /// Runs the asks of one millisecond, of which some percent come late.
    fn step(&mut self, now_ms: u64, loss_percent: u32, rng: &mut StdRng) {
        for router in 0..self.routers.len() {
            if self.dead[router] || self.next_ask_ms[router] > now_ms {
                continue;
            }
            if rng.random_range(0..100) < loss_percent {
                // The connection sends the lost packet again.
                self.next_ask_ms[router] = now_ms + RESEND_MS;
                continue;
            }
            self.next_ask_ms[router] = now_ms + ASK_MS + rng.random_range(0..20);
            self.turns[router] += 1;
            let mut hub = self.turns[router] % 2;
            if self.hub_is_dead[hub] {
                hub = 1 - hub;
            }
            self.hubs[hub].learn(router, WORD, now_ms);
            self.hubs[hub].note_hub(now_ms);
            let told: Vec<_> = self.hubs[hub].ages(now_ms).collect();
            let table = &mut self.routers[router];
            table.note_hub(now_ms);
            for (other, word, age_ms) in told {
                table.learn(other, word, now_ms - age_ms);
            }
        }
    }

    fn living(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.dead.len()).filter(|router| !self.dead[*router])
    }
}

#[test]
fn a_death_is_known_in_the_domain_in_time_and_nobody_alive_is_taken_for_dead() {
    for (count, loss_percent, one_hub_dies) in [
        (3, 0, false),
        (42, 0, false),
        (42, 5, false),
        (42, 0, true),
        (300, 0, true),
    ] {
        let mut rng = StdRng::seed_from_u64(11);
        let mut domain = Domain::new(count, &mut rng);
        let mut now_ms = 0;
        while now_ms < 6_000 {
            domain.step(now_ms, loss_percent, &mut rng);
            now_ms += 1;
            if now_ms > 3_000 {
                for router in 0..count {
                    for other in 0..count.min(42) {
                        let presence = domain.routers[router].presence(&other, now_ms);
                        assert_ne!(presence, Presence::Gone, "{count} {loss_percent}");
                    }
                }
                now_ms += 49;
            }
        }
        domain.dead[1] = true;
        domain.hub_is_dead[0] = one_hub_dies;
        let died_ms = now_ms;
        while now_ms < died_ms + TARGET_MS {
            domain.step(now_ms, loss_percent, &mut rng);
            now_ms += 1;
        }
        for router in domain.living() {
            let presence = domain.routers[router].presence(&1, now_ms);
            assert_eq!(presence, Presence::Gone, "{count} {loss_percent}");
        }
    }
}

#[test]
fn without_a_hub_nobody_is_taken_for_dead() {
    let mut table = PresenceTable::new();
    table.learn(7, WORD, 100);
    table.note_hub(100);
    assert_eq!(table.presence(&7, 200), Presence::There(WORD));
    assert_eq!(table.presence(&8, 200), Presence::Unknown);
    assert_eq!(table.presence(&7, 100 + GONE_AFTER_MS), Presence::Unknown);
    table.note_hub(100 + GONE_AFTER_MS);
    assert_eq!(table.presence(&7, 100 + GONE_AFTER_MS), Presence::Gone);
    // An older word of a slower hub takes nothing back.
    table.learn(7, WORD, 3_000);
    table.learn(
        7,
        OwnWord {
            is_ready: false,
            ..WORD
        },
        2_900,
    );
    assert_eq!(table.presence(&7, 3_100), Presence::There(WORD));
}
