//! A non-idempotent request that its caller sends through several routers.

use std::collections::BTreeSet;

use currantlever::{ClaimKey, ClaimOutcome, ClaimShard, ClaimState, HolderId};
use strum::Display;

use super::search::Specification;

const ROUTERS: usize = 3;
const SENDS: u8 = 4;
const CRASHES: u8 = 2;

/// A rule that is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    DispatchWithoutClaim,
    ClaimWithoutCondition,
    NotRunAfterDispatch,
    ClaimFoundByHolderAlone,
}

pub fn faults() -> Vec<Fault> {
    vec![
        Fault::DispatchWithoutClaim,
        Fault::ClaimWithoutCondition,
        Fault::NotRunAfterDispatch,
        Fault::ClaimFoundByHolderAlone,
    ]
}

/// How far one try of the request has come at a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Try {
    Claiming { nonce: u64 },
    Dispatched { nonce: u64, reached: bool },
    Finishing { nonce: u64, state: ClaimState2 },
}

/// The claim states that a try can end in, in an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum ClaimState2 {
    NotRun,
    Done,
    Unknown,
}

impl ClaimState2 {
    const fn claim_state(self) -> ClaimState {
        match self {
            Self::NotRun => ClaimState::NotRun,
            Self::Done => ClaimState::Done,
            Self::Unknown => ClaimState::Unknown,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Write {
    expected: u8,
    shard: ClaimShard,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    shard: ClaimShard,
    version: u8,
    writes: Vec<Write>,
    tries: Vec<BTreeSet<Try>>,
    sends: u8,
    crashes: u8,
    /// Requests under way to the backend server. A crash of the router does not stop them.
    on_the_way: Vec<u64>,
    /// Nonces of tries that ran.
    ran: Vec<u64>,
    /// Nonces of tries whose caller was told "not run".
    told_not_run: BTreeSet<u64>,
}

pub struct Spec {
    fault: Option<Fault>,
    key: ClaimKey,
}

impl Spec {
    pub fn new(fault: Option<Fault>) -> Self {
        let key = ClaimKey::new("team".parse().unwrap(), "request".parse().unwrap());
        Self { fault, key }
    }

    fn has(&self, fault: Fault) -> bool {
        self.fault == Some(fault)
    }
}

impl Specification for Spec {
    type State = State;

    fn initial(&self) -> State {
        State {
            shard: ClaimShard::default(),
            version: 0,
            writes: Vec::new(),
            tries: vec![BTreeSet::new(); ROUTERS],
            sends: 0,
            crashes: 0,
            on_the_way: Vec::new(),
            ran: Vec::new(),
            told_not_run: BTreeSet::new(),
        }
    }

    fn successors(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        self.deliver_writes(state, &mut next);
        arrive_at_backend(state, &mut next);
        for place in 0..ROUTERS {
            send(state, place, &mut next);
            crash(state, place, &mut next);
            for one in &state.tries[place] {
                match *one {
                    Try::Claiming { nonce } => self.claim(state, place, nonce, &mut next),
                    Try::Dispatched { nonce, reached } => {
                        self.hear(state, place, nonce, reached, &mut next);
                    }
                    Try::Finishing { nonce, state: end } => {
                        self.finish(state, place, nonce, end, &mut next);
                    }
                }
            }
        }
        next
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        if state.ran.len() > 1 {
            return Some("the request ran twice");
        }
        let is_false = |nonce| state.told_not_run.contains(nonce);
        state
            .ran
            .iter()
            .any(is_false)
            .then_some("a caller was told 'not run' of a run")
    }
}

/// The caller sends the request to a router. Each try has a nonce of its own.
fn send(state: &State, place: usize, next: &mut Vec<State>) {
    if state.sends < SENDS {
        let mut state = state.clone();
        state.sends += 1;
        let nonce = u64::from(state.sends);
        state.tries[place].insert(Try::Claiming { nonce });
        next.push(state);
    }
}

fn crash(state: &State, place: usize, next: &mut Vec<State>) {
    if state.crashes < CRASHES && !state.tries[place].is_empty() {
        let mut state = state.clone();
        state.crashes += 1;
        state.tries[place].clear();
        next.push(state);
    }
}

fn arrive_at_backend(state: &State, next: &mut Vec<State>) {
    for place in 0..state.on_the_way.len() {
        let mut run = state.clone();
        let nonce = run.on_the_way.remove(place);
        run.ran.push(nonce);
        next.push(run);
        let mut lost = state.clone();
        lost.on_the_way.remove(place);
        next.push(lost);
    }
}

impl Spec {
    fn deliver_writes(&self, state: &State, next: &mut Vec<State>) {
        for (place, write) in state.writes.iter().enumerate() {
            if write.expected == state.version || self.has(Fault::ClaimWithoutCondition) {
                let mut state = state.clone();
                state.writes.remove(place);
                state.shard = write.shard.clone();
                state.version += 1;
                let version = state.version;
                if !self.has(Fault::ClaimWithoutCondition) {
                    state.writes.retain(|write| write.expected >= version);
                }
                next.push(state);
            }
        }
    }

    /// Reads the shard and either writes the claim, finds that it has it, or gives up.
    fn claim(&self, state: &State, place: usize, nonce: u64, next: &mut Vec<State>) {
        let holder = HolderId::new(place as u64);
        let own = Try::Claiming { nonce };
        let mut shard = state.shard.clone();
        let held = state.shard.get(&self.key);
        let is_confirmed = held.is_some_and(|claim| {
            let is_own = claim.nonce == nonce
                || (self.has(Fault::ClaimFoundByHolderAlone) && claim.holder == holder);
            is_own && claim.state == ClaimState::Claimed
        });
        let outcome = shard.claim(&self.key, holder, nonce, 0);
        let mut after = state.clone();
        if is_confirmed || self.has(Fault::DispatchWithoutClaim) {
            after.tries[place].remove(&own);
            after.tries[place].insert(Try::Dispatched {
                nonce,
                reached: false,
            });
            next.push(after);
            return;
        }
        if outcome == ClaimOutcome::Acquired {
            let write = Write {
                expected: after.version,
                shard,
            };
            if !after.writes.contains(&write) {
                after.writes.push(write);
            }
        } else {
            after.tries[place].remove(&own);
        }
        next.push(after);
        Self::give_up_claim(state, place, nonce, next);
    }

    /// The platform stays silent: the request was not dispatched, and the caller hears so.
    fn give_up_claim(state: &State, place: usize, nonce: u64, next: &mut Vec<State>) {
        let mut state = state.clone();
        state.tries[place].remove(&Try::Claiming { nonce });
        state.told_not_run.insert(nonce);
        next.push(state);
    }

    /// Sends the request off once, then hears an answer, a refused connection or nothing.
    fn hear(&self, state: &State, place: usize, nonce: u64, reached: bool, next: &mut Vec<State>) {
        let own = Try::Dispatched { nonce, reached };
        let mut go_to = |one: Try, sends: bool| {
            let mut state = state.clone();
            state.tries[place].remove(&own);
            state.tries[place].insert(one);
            if sends {
                state.on_the_way.push(nonce);
            }
            next.push(state);
        };
        if !reached {
            go_to(
                Try::Dispatched {
                    nonce,
                    reached: true,
                },
                true,
            );
            go_to(
                Try::Finishing {
                    nonce,
                    state: ClaimState2::NotRun,
                },
                false,
            );
            return;
        }
        if state.ran.contains(&nonce) {
            go_to(
                Try::Finishing {
                    nonce,
                    state: ClaimState2::Done,
                },
                false,
            );
        }
        let silent = if self.has(Fault::NotRunAfterDispatch) {
            ClaimState2::NotRun
        } else {
            ClaimState2::Unknown
        };
        go_to(
            Try::Finishing {
                nonce,
                state: silent,
            },
            false,
        );
    }

    /// Records the end in the claim, as far as the platform takes it, and tells the caller.
    fn finish(
        &self,
        state: &State,
        place: usize,
        nonce: u64,
        end: ClaimState2,
        next: &mut Vec<State>,
    ) {
        let mut state = state.clone();
        state.tries[place].remove(&Try::Finishing { nonce, state: end });
        if end == ClaimState2::NotRun {
            state.told_not_run.insert(nonce);
        }
        next.push(state.clone());
        let mut shard = state.shard.clone();
        if shard.finish(&self.key, nonce, end.claim_state()) {
            let write = Write {
                expected: state.version,
                shard,
            };
            if !state.writes.contains(&write) {
                state.writes.push(write);
                next.push(state);
            }
        }
    }
}
