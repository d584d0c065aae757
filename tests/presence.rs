//! Simulates the heartbeats of a failure domain: failed routers must be detected in time, and no
//! running router may be reported as gone.

use currantlever::{Presence, PresenceTable, RouterState, HEARTBEAT_TIMEOUT_MS};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const STATE: RouterState = RouterState {
    is_ready: true,
    headroom_percent: 80,
};
/// Interval between the heartbeats of a router, which go to the two watchers in turn.
const HEARTBEAT_MS: u64 = 300;
/// Time after which a connection retransmits a lost packet.
const RETRANSMIT_MS: u64 = 300;
/// Upper bound on the time until all routers detect a failure.
const MAX_DETECTION_MS: u64 = 2_000 + 2 * HEARTBEAT_MS;

struct Domain {
    watchers: [PresenceTable<usize>; 2],
    routers: Vec<PresenceTable<usize>>,
    next_heartbeat_ms: Vec<u64>,
    watcher_turns: Vec<usize>,
    failed: Vec<bool>,
    is_watcher_failed: [bool; 2],
}

impl Domain {
    fn new(count: usize, rng: &mut StdRng) -> Self {
        Self {
            watchers: [PresenceTable::new(), PresenceTable::new()],
            routers: vec![PresenceTable::new(); count],
            next_heartbeat_ms: (0..count)
                .map(|_| rng.random_range(0..HEARTBEAT_MS))
                .collect(),
            watcher_turns: (0..count).map(|_| rng.random_range(0..2)).collect(),
            failed: vec![false; count],
            is_watcher_failed: [false; 2],
        }
    }

    /// Sends the heartbeats of one millisecond. A lost packet delays `loss_percent` of them.
    fn step(&mut self, now_ms: u64, loss_percent: u32, rng: &mut StdRng) {
        for router in 0..self.routers.len() {
            if self.failed[router] || self.next_heartbeat_ms[router] > now_ms {
                continue;
            }
            if rng.random_range(0..100) < loss_percent {
                // The connection retransmits the lost packet.
                self.next_heartbeat_ms[router] = now_ms + RETRANSMIT_MS;
                continue;
            }
            self.next_heartbeat_ms[router] = now_ms + HEARTBEAT_MS + rng.random_range(0..20);
            self.watcher_turns[router] += 1;
            let mut watcher = self.watcher_turns[router] % 2;
            if self.is_watcher_failed[watcher] {
                watcher = 1 - watcher;
            }
            self.watchers[watcher].record_heartbeat(router, STATE, now_ms);
            self.watchers[watcher].record_watcher_report(now_ms);
            let reported: Vec<_> = self.watchers[watcher].recent_heartbeats(now_ms).collect();
            let table = &mut self.routers[router];
            table.record_watcher_report(now_ms);
            for (other, state, age_ms) in reported {
                table.record_heartbeat(other, state, now_ms - age_ms);
            }
        }
    }

    fn running(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.failed.len()).filter(|router| !self.failed[*router])
    }
}

#[test]
fn a_failure_is_detected_in_time_and_no_running_router_counts_as_gone() {
    for (count, loss_percent, one_watcher_fails) in [
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
        domain.failed[1] = true;
        domain.is_watcher_failed[0] = one_watcher_fails;
        let failed_ms = now_ms;
        while now_ms < failed_ms + MAX_DETECTION_MS {
            domain.step(now_ms, loss_percent, &mut rng);
            now_ms += 1;
        }
        for router in domain.running() {
            let presence = domain.routers[router].presence(&1, now_ms);
            assert_eq!(presence, Presence::Gone, "{count} {loss_percent}");
        }
    }
}

#[test]
fn no_router_counts_as_gone_without_watcher_reports() {
    let mut table = PresenceTable::new();
    table.record_heartbeat(7, STATE, 100);
    table.record_watcher_report(100);
    assert_eq!(table.presence(&7, 200), Presence::Present(STATE));
    assert_eq!(table.presence(&8, 200), Presence::Unknown);
    assert_eq!(
        table.presence(&7, 100 + HEARTBEAT_TIMEOUT_MS),
        Presence::Unknown
    );
    table.record_watcher_report(100 + HEARTBEAT_TIMEOUT_MS);
    assert_eq!(
        table.presence(&7, 100 + HEARTBEAT_TIMEOUT_MS),
        Presence::Gone
    );
    // An older heartbeat reported by a slower watcher is ignored.
    table.record_heartbeat(7, STATE, 3_000);
    table.record_heartbeat(
        7,
        RouterState {
            is_ready: false,
            ..STATE
        },
        2_900,
    );
    assert_eq!(table.presence(&7, 3_100), Presence::Present(STATE));
}
