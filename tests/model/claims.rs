//! Claims on one non-idempotent request that its caller sends to several routers.

use std::collections::BTreeSet;

use currantlever::{ClaimKey, ClaimOutcome, ClaimShard, ClaimState, HolderId};
use strum::Display;

use super::search::Specification;

const ROUTERS: usize = 3;
const MAX_SENDS: u8 = 4;
const MAX_CRASHES: u8 = 2;

/// A protocol rule that the specification violates deliberately.
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

/// Progress of one attempt at the request on a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Attempt {
    Claiming { nonce: u64 },
    Dispatching { nonce: u64, is_sent: bool },
    Finishing { nonce: u64, state: FinalState },
}

/// Final claim states of an attempt, with the ordering that [`ClaimState`] lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum FinalState {
    NotRun,
    Done,
    Unknown,
}

impl FinalState {
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
    attempts: Vec<BTreeSet<Attempt>>,
    sends: u8,
    crashes: u8,
    /// Nonces of requests in flight to the backend server. A router crash does not cancel them.
    in_flight: Vec<u64>,
    /// Nonces of attempts that the backend server executed.
    executed: Vec<u64>,
    /// Nonces of attempts whose caller received "not run".
    reported_not_run: BTreeSet<u64>,
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

    fn injects(&self, fault: Fault) -> bool {
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
            attempts: vec![BTreeSet::new(); ROUTERS],
            sends: 0,
            crashes: 0,
            in_flight: Vec::new(),
            executed: Vec::new(),
            reported_not_run: BTreeSet::new(),
        }
    }

    fn successors(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        self.deliver_writes(state, &mut next);
        arrive_at_backend(state, &mut next);
        for index in 0..ROUTERS {
            send(state, index, &mut next);
            crash(state, index, &mut next);
            for attempt in &state.attempts[index] {
                match *attempt {
                    Attempt::Claiming { nonce } => self.claim(state, index, nonce, &mut next),
                    Attempt::Dispatching { nonce, is_sent } => {
                        self.dispatch_or_receive(state, index, nonce, is_sent, &mut next);
                    }
                    Attempt::Finishing {
                        nonce,
                        state: final_state,
                    } => {
                        self.finish(state, index, nonce, final_state, &mut next);
                    }
                }
            }
        }
        next
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        if state.executed.len() > 1 {
            return Some("the request ran twice");
        }
        let is_misreported = |nonce| state.reported_not_run.contains(nonce);
        state
            .executed
            .iter()
            .any(is_misreported)
            .then_some("a caller received 'not run' for a request that ran")
    }
}

/// The caller sends the request to a router. Each attempt has its own nonce.
fn send(state: &State, index: usize, next: &mut Vec<State>) {
    if state.sends < MAX_SENDS {
        let mut state = state.clone();
        state.sends += 1;
        let nonce = u64::from(state.sends);
        state.attempts[index].insert(Attempt::Claiming { nonce });
        next.push(state);
    }
}

fn crash(state: &State, index: usize, next: &mut Vec<State>) {
    if state.crashes < MAX_CRASHES && !state.attempts[index].is_empty() {
        let mut state = state.clone();
        state.crashes += 1;
        state.attempts[index].clear();
        next.push(state);
    }
}

fn arrive_at_backend(state: &State, next: &mut Vec<State>) {
    for index in 0..state.in_flight.len() {
        let mut run = state.clone();
        let nonce = run.in_flight.remove(index);
        run.executed.push(nonce);
        next.push(run);
        let mut lost = state.clone();
        lost.in_flight.remove(index);
        next.push(lost);
    }
}

impl Spec {
    fn deliver_writes(&self, state: &State, next: &mut Vec<State>) {
        for (index, write) in state.writes.iter().enumerate() {
            if write.expected == state.version || self.injects(Fault::ClaimWithoutCondition) {
                let mut state = state.clone();
                state.writes.remove(index);
                state.shard = write.shard.clone();
                state.version += 1;
                let version = state.version;
                if !self.injects(Fault::ClaimWithoutCondition) {
                    state.writes.retain(|write| write.expected >= version);
                }
                next.push(state);
            }
        }
    }

    /// Reads the shard and either writes the claim, dispatches if the claim is confirmed, or gives
    /// up.
    fn claim(&self, state: &State, index: usize, nonce: u64, next: &mut Vec<State>) {
        let holder = HolderId::new(index as u64);
        let own = Attempt::Claiming { nonce };
        let mut shard = state.shard.clone();
        let existing = state.shard.get(&self.key);
        let is_confirmed = existing.is_some_and(|claim| {
            let is_own = claim.nonce == nonce
                || (self.injects(Fault::ClaimFoundByHolderAlone) && claim.holder == holder);
            is_own && claim.state == ClaimState::Claimed
        });
        let outcome = shard.claim(&self.key, holder, nonce, 0);
        let mut after = state.clone();
        if is_confirmed || self.injects(Fault::DispatchWithoutClaim) {
            after.attempts[index].remove(&own);
            after.attempts[index].insert(Attempt::Dispatching {
                nonce,
                is_sent: false,
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
            after.attempts[index].remove(&own);
        }
        next.push(after);
        Self::abandon_claim(state, index, nonce, next);
    }

    /// The platform does not answer: the request was not dispatched, and the caller receives "not
    /// run".
    fn abandon_claim(state: &State, index: usize, nonce: u64, next: &mut Vec<State>) {
        let mut state = state.clone();
        state.attempts[index].remove(&Attempt::Claiming { nonce });
        state.reported_not_run.insert(nonce);
        next.push(state);
    }

    /// Dispatches the request once and then receives an answer, a refused connection or nothing.
    fn dispatch_or_receive(
        &self,
        state: &State,
        index: usize,
        nonce: u64,
        is_sent: bool,
        next: &mut Vec<State>,
    ) {
        let own = Attempt::Dispatching { nonce, is_sent };
        let mut transition = |attempt: Attempt, sends: bool| {
            let mut state = state.clone();
            state.attempts[index].remove(&own);
            state.attempts[index].insert(attempt);
            if sends {
                state.in_flight.push(nonce);
            }
            next.push(state);
        };
        if !is_sent {
            transition(
                Attempt::Dispatching {
                    nonce,
                    is_sent: true,
                },
                true,
            );
            transition(
                Attempt::Finishing {
                    nonce,
                    state: FinalState::NotRun,
                },
                false,
            );
            return;
        }
        if state.executed.contains(&nonce) {
            transition(
                Attempt::Finishing {
                    nonce,
                    state: FinalState::Done,
                },
                false,
            );
        }
        let timeout_state = if self.injects(Fault::NotRunAfterDispatch) {
            FinalState::NotRun
        } else {
            FinalState::Unknown
        };
        transition(
            Attempt::Finishing {
                nonce,
                state: timeout_state,
            },
            false,
        );
    }

    /// Answers the caller and writes the final state to the claim; the write may be lost.
    fn finish(
        &self,
        state: &State,
        index: usize,
        nonce: u64,
        final_state: FinalState,
        next: &mut Vec<State>,
    ) {
        let mut state = state.clone();
        state.attempts[index].remove(&Attempt::Finishing {
            nonce,
            state: final_state,
        });
        if final_state == FinalState::NotRun {
            state.reported_not_run.insert(nonce);
        }
        next.push(state.clone());
        let mut shard = state.shard.clone();
        if shard.finish(&self.key, nonce, final_state.claim_state()) {
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
