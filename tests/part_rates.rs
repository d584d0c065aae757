//! Measures, in a simulated fleet without a network, how many servers prompt parts crash before all
//! routers refuse them, and how many sound requests are refused wrongly.
//!
//! Requests arrive at random routers and wait on random servers for their first token. Reports of a
//! router reach the others after a short delay, or are lost. Times are in milliseconds.

use std::collections::BTreeMap;

use currantlever::{PartId, PartQuarantine, ReplicaId, ServerCrash, Suspicion};
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Attempts of one request.
const MAX_ATTEMPTS: u32 = 3;
/// Time until a crashed server has restarted.
const RESTART_MS: u64 = 2_000;
/// Time until a report reaches another router.
const REPORT_DELAY_MS: u64 = 5;
/// Reports lost on the way to each router, in percent.
const REPORT_LOSS_PERCENT: u32 = 5;
/// Time in which a router reports a first token with the same part once.
const CLEARED_REPORT_INTERVAL_MS: u64 = 500;
/// Routers that a report is sent to, and to which each of these forwards it.
const FANOUT: usize = 12;
const FORWARD_FANOUT: usize = 4;
const RUN_MS: u64 = 60_000;
/// Sessions of callers; the requests of one share a part.
const SESSIONS: u64 = 150;
/// Crashes under a part after which it must be refused.
const ALLOWED_CRASHES: usize = 5;
/// Time for routers to learn of the last of these.
const CONTACT_MS: u64 = 3_000;
/// Requests with the part that may reach servers after that.
const ALLOWED_LATER: usize = 3;
/// Part that all requests begin with.
const SHARED: PartId = PartId::new(1);

/// Server crashes that have other causes than prompt parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CrashPattern {
    NoCrashes,
    /// A percentage of the servers crash within a second.
    Burst(u32),
    /// A percentage of the servers crash one after the other, at an interval in milliseconds.
    Rolling(u32, u64),
}

/// Where a part that crashes servers stands in its prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Position {
    First,
    AfterShared,
}

#[derive(Clone, Copy, Debug)]
struct Fleet {
    routers: usize,
    sound_per_min: u64,
    crash_pattern: CrashPattern,
    bad_parts: u64,
    /// Requests per minute with each of these parts.
    bad_per_min: u64,
    position: Position,
}

const SERVERS: usize = 12;
const FLEET: Fleet = Fleet {
    routers: 8,
    sound_per_min: 5_400,
    crash_pattern: CrashPattern::NoCrashes,
    bad_parts: 0,
    bad_per_min: 180,
    position: Position::AfterShared,
};

#[derive(Clone, Debug)]
struct Request {
    number: u64,
    router: usize,
    parts: Vec<PartId>,
    bad_part: Option<PartId>,
    attempts: u32,
    has_first_token: bool,
}

#[derive(Clone, Debug)]
enum Event {
    Arrives(Request),
    FirstToken(usize, u64),
    Completes(usize, u64),
    Crashes(usize),
    Restarts(usize),
    Accused(usize, Vec<PartId>, ServerCrash),
    Cleared(usize, PartId, u64),
}

#[derive(Clone, Debug, Default)]
struct Outcome {
    sound: u64,
    false_refusals: u64,
    /// Crashes under each part, and requests with it that reached servers, by time.
    crashes_ms: BTreeMap<PartId, Vec<u64>>,
    arrivals_ms: BTreeMap<PartId, Vec<u64>>,
}

impl Outcome {
    /// Returns the largest number of requests with a part that reached servers too late.
    fn late_arrivals(&self) -> usize {
        let late = self.crashes_ms.iter().map(|(part, crashes)| {
            let Some(last_allowed_ms) = crashes.get(ALLOWED_CRASHES - 1) else {
                return 0;
            };
            let arrivals = self.arrivals_ms[part].iter();
            arrivals
                .filter(|at_ms| **at_ms > last_allowed_ms + CONTACT_MS)
                .count()
        });
        late.max().unwrap_or(0)
    }
}

struct Model {
    fleet: Fleet,
    rng: ChaCha8Rng,
    now_ms: u64,
    events: BTreeMap<(u64, u64), Event>,
    last_event: u64,
    routers: Vec<PartQuarantine>,
    is_up: Vec<bool>,
    running: Vec<BTreeMap<u64, Request>>,
    /// Times of the last reports of first tokens, by router and part.
    reported_ms: BTreeMap<(usize, PartId), u64>,
    outcome: Outcome,
}

impl Model {
    fn new(fleet: Fleet, seed: u64) -> Self {
        Self {
            fleet,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now_ms: 0,
            events: BTreeMap::new(),
            last_event: 0,
            routers: vec![PartQuarantine::new(); fleet.routers],
            is_up: vec![true; SERVERS],
            running: vec![BTreeMap::new(); SERVERS],
            reported_ms: BTreeMap::new(),
            outcome: Outcome::default(),
        }
    }

    fn schedule(&mut self, time_ms: u64, event: Event) {
        self.last_event += 1;
        self.events.insert((time_ms, self.last_event), event);
    }

    fn run(mut self) -> Outcome {
        let mut number = 0;
        for time_ms in arrival_times(self.fleet.sound_per_min) {
            number += 1;
            let session = PartId::new(100 + self.rng.random_range(0..SESSIONS));
            self.schedule_arrival(time_ms, number, vec![SHARED, session], None);
            self.outcome.sound += 1;
        }
        for bad in 0..self.fleet.bad_parts {
            let part = PartId::new(10_000 + bad);
            for time_ms in arrival_times(self.fleet.bad_per_min) {
                number += 1;
                let session = PartId::new(100 + self.rng.random_range(0..SESSIONS));
                let parts = match self.fleet.position {
                    Position::First => vec![part, session],
                    Position::AfterShared => vec![SHARED, part],
                };
                let jitter_ms = self.rng.random_range(0..200);
                let time_ms = 10_000 + time_ms + jitter_ms;
                self.schedule_arrival(time_ms, number, parts, Some(part));
            }
        }
        self.schedule_crashes();
        while let Some(((time_ms, _), event)) = self.events.pop_first() {
            self.now_ms = time_ms;
            if time_ms < RUN_MS {
                self.handle(event);
            }
        }
        self.outcome
    }

    fn schedule_crashes(&mut self) {
        let (percent, gap_ms) = match self.fleet.crash_pattern {
            CrashPattern::NoCrashes => (0, 0),
            CrashPattern::Burst(percent) => (percent, 0),
            CrashPattern::Rolling(percent, gap_ms) => (percent, gap_ms),
        };
        for wave in 1..4 {
            for server in 0..SERVERS * percent as usize / 100 {
                let spread_ms = self.rng.random_range(0..1_000);
                let spread_ms = if gap_ms == 0 { spread_ms } else { 0 };
                let time_ms = wave * 11_000 + server as u64 * gap_ms + spread_ms;
                self.schedule(time_ms, Event::Crashes(server));
            }
        }
    }

    fn schedule_arrival(
        &mut self,
        time_ms: u64,
        number: u64,
        parts: Vec<PartId>,
        bad_part: Option<PartId>,
    ) {
        let request = Request {
            number,
            router: self.rng.random_range(0..self.fleet.routers),
            parts,
            bad_part,
            attempts: 0,
            has_first_token: false,
        };
        self.schedule(time_ms, Event::Arrives(request));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrives(request) => self.start_attempt(request),
            Event::FirstToken(server, number) => self.generate_first_token(server, number),
            Event::Completes(server, number) => {
                self.running[server].remove(&number);
            }
            Event::Crashes(server) => self.crash_server(server),
            Event::Restarts(server) => self.is_up[server] = true,
            Event::Accused(router, parts, crash) => self.record_crash(router, &parts, &crash),
            Event::Cleared(router, part, at_ms) => {
                self.routers[router].record_first_token(part, at_ms);
            }
        }
    }

    fn start_attempt(&mut self, mut request: Request) {
        let quarantine = &self.routers[request.router];
        let is_quarantined =
            |part: &PartId| quarantine.suspicion(*part, self.now_ms) == Suspicion::Quarantined;
        if request.parts.iter().any(is_quarantined) {
            self.outcome.false_refusals += u64::from(request.bad_part.is_none());
            return;
        }
        let is_in_doubt = |part: &PartId| quarantine.is_in_doubt(*part, self.now_ms);
        let is_retry = request.attempts > 0;
        let may_retry = request.has_first_token || !request.parts.iter().any(is_in_doubt);
        let up: Vec<usize> = (0..SERVERS).filter(|server| self.is_up[*server]).collect();
        if request.attempts == MAX_ATTEMPTS || (is_retry && !may_retry) || up.is_empty() {
            return;
        }
        let server = up[self.rng.random_range(0..up.len())];
        request.attempts += 1;
        if let Some(part) = request.bad_part {
            let arrivals = self.outcome.arrivals_ms.entry(part).or_default();
            arrivals.push(self.now_ms);
        }
        let first_ms = self.now_ms + self.rng.random_range(40..400);
        self.schedule(first_ms, Event::FirstToken(server, request.number));
        self.running[server].insert(request.number, request);
    }

    fn generate_first_token(&mut self, server: usize, number: u64) {
        let Some(request) = self.running[server].get_mut(&number) else {
            return;
        };
        if let Some(part) = request.bad_part {
            let crashes = self.outcome.crashes_ms.entry(part).or_default();
            crashes.push(self.now_ms);
            self.crash_server(server);
            return;
        }
        request.has_first_token = true;
        let (router, parts) = (request.router, request.parts.clone());
        for part in parts {
            if self.routers[router].record_first_token(part, self.now_ms) {
                self.report_cleared(router, part, self.now_ms);
            }
        }
        let end_ms = self.now_ms + self.rng.random_range(50..4_000);
        self.schedule(end_ms, Event::Completes(server, number));
    }

    /// Crashes a server. The parts of all requests that wait there are accused.
    fn crash_server(&mut self, server: usize) {
        if !std::mem::replace(&mut self.is_up[server], false) {
            return;
        }
        self.schedule(self.now_ms + RESTART_MS, Event::Restarts(server));
        let replica = ReplicaId::new(format!("server-{server}")).unwrap();
        for (_, request) in std::mem::take(&mut self.running[server]) {
            let attempt = format!("{}-{}", request.number, request.attempts);
            let crash = ServerCrash::new(replica.clone(), self.now_ms)
                .with_source(attempt.as_str().into(), "router".into());
            if !request.has_first_token {
                self.record_crash(request.router, &request.parts, &crash);
            }
            self.schedule(self.now_ms + 6 * REPORT_DELAY_MS, Event::Arrives(request));
        }
    }

    fn record_crash(&mut self, router: usize, parts: &[PartId], crash: &ServerCrash) {
        let outcome = self.routers[router].record_crash(parts, crash);
        // Each router forwards a report that is new to it.
        if !outcome.accused.is_empty() {
            let is_observer = crash.at_ms == self.now_ms;
            let fanout = if is_observer { FANOUT } else { FORWARD_FANOUT };
            for other in self.report_receivers(router, fanout) {
                let event = Event::Accused(other, outcome.accused.clone(), crash.clone());
                self.schedule(self.now_ms + REPORT_DELAY_MS, event);
            }
        }
        for (part, at_ms) in outcome.cleared {
            self.report_cleared(router, part, at_ms);
        }
    }

    fn report_cleared(&mut self, router: usize, part: PartId, at_ms: u64) {
        let last_ms = self.reported_ms.get(&(router, part)).copied();
        if last_ms.is_some_and(|last_ms| self.now_ms < last_ms + CLEARED_REPORT_INTERVAL_MS) {
            return;
        }
        self.reported_ms.insert((router, part), self.now_ms);
        for other in self.report_receivers(router, FANOUT) {
            let event = Event::Cleared(other, part, at_ms);
            self.schedule(self.now_ms + REPORT_DELAY_MS, event);
        }
    }

    /// Returns the routers that receive a report, which is sent to some at random and lost on the
    /// way to a part of these.
    fn report_receivers(&mut self, router: usize, fanout: usize) -> Vec<usize> {
        let others = (0..self.fleet.routers).filter(|other| *other != router);
        let mut receivers = others.sample(&mut self.rng, fanout);
        receivers.retain(|_| self.rng.random_range(0..100) >= REPORT_LOSS_PERCENT);
        receivers
    }
}

fn arrival_times(per_min: u64) -> impl Iterator<Item = u64> {
    let times = (0..).map(move |index| index * 60_000 / per_min);
    times.take_while(|time_ms| *time_ms < RUN_MS)
}

/// Runs a fleet with three seeds and checks the bounds in each.
fn assert_bounds(fleet: Fleet) {
    for seed in 1..=3 {
        let outcome = Model::new(fleet, seed).run();
        let crashes = outcome.crashes_ms.values().map(Vec::len);
        println!(
            "{fleet:?}: {} sound requests, {} refused wrongly, {} crashes by parts, {} late",
            outcome.sound,
            outcome.false_refusals,
            crashes.sum::<usize>(),
            outcome.late_arrivals()
        );
        assert!(
            outcome.late_arrivals() <= ALLOWED_LATER,
            "{fleet:?}, seed {seed}: {} late",
            outcome.late_arrivals()
        );
        assert!(
            outcome.false_refusals * 1_000 <= outcome.sound,
            "{fleet:?}, seed {seed}: {} of {} refused wrongly",
            outcome.false_refusals,
            outcome.sound
        );
    }
}

/// Guards against a part that goes on crashing servers, at any rate and in fleets of any size.
#[test]
fn a_part_reaches_few_servers_after_five_crashes_at_any_rate() {
    for routers in [8, 60] {
        for bad_per_min in [12, 60, 180, 1_200] {
            assert_bounds(Fleet {
                routers,
                bad_parts: 1,
                bad_per_min,
                ..FLEET
            });
        }
    }
}

/// Guards against two parts that hide each other, and against one as the first part of its prompts.
#[test]
fn two_parts_at_once_or_a_first_part_reach_few_servers() {
    for bad_per_min in [30, 60, 180] {
        for position in [Position::First, Position::AfterShared] {
            assert_bounds(Fleet {
                bad_parts: 2,
                bad_per_min,
                position,
                ..FLEET
            });
        }
    }
}

/// Guards against refusing the shared part when few sound requests clear it.
#[test]
fn a_part_is_told_from_the_shared_one_in_a_quiet_hour() {
    for sound_per_min in [30, 120, 600] {
        assert_bounds(Fleet {
            sound_per_min,
            bad_parts: 1,
            ..FLEET
        });
    }
}

/// Guards against refusing sound requests when servers crash for other reasons.
#[test]
fn under_one_request_in_a_thousand_is_refused_wrongly_when_servers_crash() {
    for crash_pattern in [
        CrashPattern::NoCrashes,
        CrashPattern::Burst(33),
        CrashPattern::Burst(60),
        CrashPattern::Burst(100),
        CrashPattern::Rolling(100, 1_000),
        CrashPattern::Rolling(100, 200),
    ] {
        for bad_parts in [0, 1] {
            assert_bounds(Fleet {
                crash_pattern,
                bad_parts,
                ..FLEET
            });
        }
    }
}
