//! One idempotent request that may run at several routers, and its bills.

use std::collections::BTreeSet;

use currantlever::{Bill, HolderId, RunEnd, RunId, Settlement, Tokens};
use strum::Display;

use super::search::Specification;

const ROUTERS: usize = 3;
const SENDS: u8 = if cfg!(debug_assertions) { 2 } else { 3 };
const CRASHES: u8 = 2;

/// A rule that is broken on purpose.
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
    /// Bills that the platform does not have, as run numbers.
    unflushed: BTreeSet<u64>,
    /// Runs whose answers wait for their bill.
    waiting: BTreeSet<u64>,
    /// Runs whose bill is durable as far as the router knows.
    durable: BTreeSet<u64>,
    /// Bills kept for others.
    kept: BTreeSet<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    routers: Vec<Router>,
    /// Bills in the platform.
    written: BTreeSet<u64>,
    /// True once some bill was written again, by its holder or by its keeper.
    is_rewritten: bool,
    /// Runs whose whole answer the caller has.
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

    fn has(&self, fault: Fault) -> bool {
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
        for place in 0..ROUTERS {
            Self::run(state, place, &mut next);
            self.keep(state, place, &mut next);
            flush(state, place, &mut next);
            flush_kept(state, place, &mut next);
            self.answer(state, place, &mut next);
            crash(state, place, &mut next);
        }
        next
    }

    /// Checked on what the platform and the keepers have: whatever else is lost, every answered
    /// request must come to be billed once.
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
        if self.has(Fault::BillsCountedByBatch) {
            count += u64::from(state.is_rewritten);
        }
        if count > 1 {
            return Some("the request was billed twice");
        }
        (!state.answered.is_empty() && count == 0).then_some("an answered request was not billed")
    }
}

impl Spec {
    /// The caller sends the request to a router, which runs it to its end.
    fn run(state: &State, place: usize, next: &mut Vec<State>) {
        if state.sends < SENDS {
            let mut state = state.clone();
            state.sends += 1;
            let run = u64::from(state.sends);
            state.routers[place].unflushed.insert(run);
            state.routers[place].waiting.insert(run);
            next.push(state);
        }
    }

    /// A keeper in another failure domain takes the bills; its answer may be lost.
    fn keep(&self, state: &State, place: usize, next: &mut Vec<State>) {
        let keeper = (place + 1) % ROUTERS;
        let bills = state.routers[place].unflushed.clone();
        if bills.is_empty() {
            return;
        }
        let mut kept = state.clone();
        if !self.has(Fault::KeeperInSameProcess) {
            kept.routers[keeper].kept.extend(&bills);
            next.push(kept.clone());
        }
        kept.routers[place].durable.extend(&bills);
        next.push(kept);
    }

    fn answer(&self, state: &State, place: usize, next: &mut Vec<State>) {
        for run in &state.routers[place].waiting {
            let is_durable = state.routers[place].durable.contains(run);
            if is_durable || self.has(Fault::AnswerBeforeBill) {
                let mut state = state.clone();
                state.routers[place].waiting.remove(run);
                state.answered.insert(*run);
                next.push(state);
            }
        }
    }
}

/// The holder writes its bills; the answer may be lost, and then it writes them again.
fn flush(state: &State, place: usize, next: &mut Vec<State>) {
    let bills = state.routers[place].unflushed.clone();
    if bills.is_empty() {
        return;
    }
    let mut state = state.clone();
    state.write(&bills);
    next.push(state.clone());
    state.routers[place].unflushed.clear();
    state.routers[place].durable.extend(&bills);
    next.push(state);
}

/// A keeper writes what it keeps, also when the holder is not gone after all.
fn flush_kept(state: &State, place: usize, next: &mut Vec<State>) {
    let bills = state.routers[place].kept.clone();
    if bills.is_empty() {
        return;
    }
    let mut state = state.clone();
    state.write(&bills);
    next.push(state.clone());
    state.routers[place].kept.clear();
    next.push(state);
}

impl State {
    fn write(&mut self, bills: &BTreeSet<u64>) {
        self.is_rewritten |= bills.iter().any(|run| self.written.contains(run));
        self.written.extend(bills);
    }
}

/// A router dies. What is kept outlives one death: the second copy of an answered request's bill
/// does not die before the holder's or keeper's next flush.
fn crash(state: &State, place: usize, next: &mut Vec<State>) {
    let is_last_copy = |run: &u64| {
        let others = state
            .routers
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != place);
        let is_held = |router: &Router| router.unflushed.contains(run) || router.kept.contains(run);
        !state.written.contains(run) && !others.into_iter().any(|(_, router)| is_held(router))
    };
    let is_second_death = state.crashes > 0 && state.answered.iter().any(is_last_copy);
    if state.crashes >= CRASHES || is_second_death {
        return;
    }
    let mut state = state.clone();
    state.crashes += 1;
    state.routers[place] = Router::default();
    next.push(state);
}
