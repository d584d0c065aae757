//! Billing of one idempotent request that may run on several routers.

use std::collections::BTreeSet;

use currantlever::{Bill, HolderId, RunEnd, RunId, Settlement, Tokens};
use strum::Display;

use super::search::Specification;

const ROUTERS: usize = 3;
const MAX_SENDS: u8 = if cfg!(debug_assertions) { 2 } else { 3 };
const MAX_CRASHES: u8 = 2;

/// A protocol rule that the specification violates deliberately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    AnswerBeforeBill,
    BillsCountedByBatch,
    KeeperInSameProcess,
}

pub fn faults() -> Vec<Fault> {
    vec![
        Fault::AnswerBeforeBill,
        Fault::BillsCountedByBatch,
        Fault::KeeperInSameProcess,
    ]
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Router {
    /// Bills that the platform has not confirmed, as run numbers.
    unflushed: BTreeSet<u64>,
    /// Runs whose answers are withheld until their bill is durable.
    waiting: BTreeSet<u64>,
    /// Runs whose bill the router knows to be durable.
    durable: BTreeSet<u64>,
    /// Copies of other routers' bills.
    kept: BTreeSet<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    routers: Vec<Router>,
    /// Bills written to the platform.
    written: BTreeSet<u64>,
    /// True once a bill was written more than once, by its holder or its keeper.
    is_rewritten: bool,
    /// Runs whose complete answer the caller has received.
    answered: BTreeSet<u64>,
    sends: u8,
    crashes: u8,
}

pub struct Spec {
    fault: Option<Fault>,
}

impl Spec {
    pub const fn new(fault: Option<Fault>) -> Self {
        Self { fault }
    }

    fn injects(&self, fault: Fault) -> bool {
        self.fault == Some(fault)
    }
}

fn bill(run: u64) -> Bill {
    Bill {
        run: RunId {
            holder: HolderId::new(1),
            number: run,
        },
        team: "team".parse().unwrap(),
        budget: "budget".parse().unwrap(),
        request: "request".parse().unwrap(),
        end: RunEnd::Whole,
        prompt_tokens: Tokens::new(1),
        completion_tokens: Tokens::new(run),
    }
}

impl Specification for Spec {
    type State = State;

    fn initial(&self) -> State {
        State {
            routers: vec![Router::default(); ROUTERS],
            written: BTreeSet::new(),
            is_rewritten: false,
            answered: BTreeSet::new(),
            sends: 0,
            crashes: 0,
        }
    }

    fn successors(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        for index in 0..ROUTERS {
            Self::run(state, index, &mut next);
            self.replicate_bills(state, index, &mut next);
            flush(state, index, &mut next);
            flush_kept(state, index, &mut next);
            self.answer(state, index, &mut next);
            crash(state, index, &mut next);
        }
        next
    }

    /// Checks the bills that the platform, the holders and the keepers have: each answered request
    /// must be billed exactly once, whatever else is lost.
    fn violation(&self, state: &State) -> Option<&'static str> {
        let mut settlement = Settlement::new();
        let held = state
            .routers
            .iter()
            .flat_map(|router| router.kept.iter().chain(&router.unflushed));
        for run in state.written.iter().chain(held) {
            settlement.add(bill(*run));
        }
        let totals = settlement.totals().into_values().next().unwrap_or_default();
        let mut count = totals.request_count;
        if self.injects(Fault::BillsCountedByBatch) {
            count += u64::from(state.is_rewritten);
        }
        if count > 1 {
            return Some("the request was billed twice");
        }
        (!state.answered.is_empty() && count == 0).then_some("an answered request was not billed")
    }
}

impl Spec {
    /// The caller sends the request to a router, which completes it.
    fn run(state: &State, index: usize, next: &mut Vec<State>) {
        if state.sends < MAX_SENDS {
            let mut state = state.clone();
            state.sends += 1;
            let run = u64::from(state.sends);
            state.routers[index].unflushed.insert(run);
            state.routers[index].waiting.insert(run);
            next.push(state);
        }
    }

    /// A keeper in another failure domain stores copies of the bills; its acknowledgement may be
    /// lost.
    fn replicate_bills(&self, state: &State, index: usize, next: &mut Vec<State>) {
        let keeper = (index + 1) % ROUTERS;
        let bills = state.routers[index].unflushed.clone();
        if bills.is_empty() {
            return;
        }
        let mut kept = state.clone();
        if !self.injects(Fault::KeeperInSameProcess) {
            kept.routers[keeper].kept.extend(&bills);
            next.push(kept.clone());
        }
        kept.routers[index].durable.extend(&bills);
        next.push(kept);
    }

    fn answer(&self, state: &State, index: usize, next: &mut Vec<State>) {
        for run in &state.routers[index].waiting {
            let is_durable = state.routers[index].durable.contains(run);
            if is_durable || self.injects(Fault::AnswerBeforeBill) {
                let mut state = state.clone();
                state.routers[index].waiting.remove(run);
                state.answered.insert(*run);
                next.push(state);
            }
        }
    }
}

/// The holder writes its bills to the platform. The acknowledgement may be lost; it then writes
/// them again.
fn flush(state: &State, index: usize, next: &mut Vec<State>) {
    let bills = state.routers[index].unflushed.clone();
    if bills.is_empty() {
        return;
    }
    let mut state = state.clone();
    state.write(&bills);
    next.push(state.clone());
    state.routers[index].unflushed.clear();
    state.routers[index].durable.extend(&bills);
    next.push(state);
}

/// A keeper writes its copies to the platform, even if the holder is still alive.
fn flush_kept(state: &State, index: usize, next: &mut Vec<State>) {
    let bills = state.routers[index].kept.clone();
    if bills.is_empty() {
        return;
    }
    let mut state = state.clone();
    state.write(&bills);
    next.push(state.clone());
    state.routers[index].kept.clear();
    next.push(state);
}

impl State {
    fn write(&mut self, bills: &BTreeSet<u64>) {
        self.is_rewritten |= bills.iter().any(|run| self.written.contains(run));
        self.written.extend(bills);
    }
}

/// A router crashes. Kept bills tolerate one crash between flushes, so the model excludes a second
/// crash that destroys the last unwritten copy of an answered request's bill.
fn crash(state: &State, index: usize, next: &mut Vec<State>) {
    let is_last_copy = |run: &u64| {
        let others = state
            .routers
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != index);
        let is_held = |router: &Router| router.unflushed.contains(run) || router.kept.contains(run);
        !state.written.contains(run) && !others.into_iter().any(|(_, router)| is_held(router))
    };
    let loses_last_copy = state.crashes > 0 && state.answered.iter().any(is_last_copy);
    if state.crashes >= MAX_CRASHES || loses_last_copy {
        return;
    }
    let mut state = state.clone();
    state.crashes += 1;
    state.routers[index] = Router::default();
    next.push(state);
}
