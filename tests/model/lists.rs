//! Accepted lists: edits by racing operators, and relay from the platform and between routers.

use std::collections::BTreeSet;

use strum::Display;

use super::search::Specification;

const ROUTERS: usize = 3;
const OPERATORS: usize = 2;
const EDITS: u8 = 2;
const CRASHES: u8 = 1;

/// A rule that is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    HeadWithoutCondition,
    OlderListsTakenFromPeer,
}

pub fn faults() -> Vec<Fault> {
    vec![Fault::HeadWithoutCondition, Fault::OlderListsTakenFromPeer]
}

/// Lists as their generation and the edits that made them, each named by who and how-manieth.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Lists {
    generation: u8,
    edits: BTreeSet<(usize, u8)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Write {
    operator: usize,
    expected: u8,
    lists: Lists,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    head: Lists,
    version: u8,
    writes: Vec<Write>,
    edits: [u8; OPERATORS],
    /// Edits that took effect in the platform.
    accepted: BTreeSet<(usize, u8)>,
    in_force: Vec<Lists>,
    /// Lists that peers sent one another; delivered in any order, any number of times.
    relayed: BTreeSet<Lists>,
    crashes: u8,
    reverted: bool,
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

impl Specification for Spec {
    type State = State;

    fn initial(&self) -> State {
        State {
            head: Lists::default(),
            version: 0,
            writes: Vec::new(),
            edits: [0; OPERATORS],
            accepted: BTreeSet::new(),
            in_force: vec![Lists::default(); ROUTERS],
            relayed: BTreeSet::new(),
            crashes: 0,
            reverted: false,
        }
    }

    fn successors(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        for operator in 0..OPERATORS {
            edit(state, operator, &mut next);
        }
        self.deliver_writes(state, &mut next);
        for place in 0..ROUTERS {
            self.put_in_force(state, place, &state.head, &mut next);
            for lists in &state.relayed {
                self.put_in_force(state, place, lists, &mut next);
            }
            relay(state, place, &mut next);
            crash(state, place, &mut next);
        }
        next
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        if state.reverted {
            return Some("lists in force reverted to an older generation");
        }
        let is_kept = state.accepted.is_subset(&state.head.edits);
        (!is_kept).then_some("an accepted edit was undone by another operator's")
    }
}

/// An operator edits the lists as they stand; the write may be slow or its answer lost.
fn edit(state: &State, operator: usize, next: &mut Vec<State>) {
    if state.edits[operator] >= EDITS {
        return;
    }
    let mut state = state.clone();
    state.edits[operator] += 1;
    let mut lists = state.head.clone();
    lists.generation += 1;
    lists.edits.insert((operator, state.edits[operator]));
    state.writes.push(Write {
        operator,
        expected: state.version,
        lists,
    });
    next.push(state);
}

/// Crashed routers start from nothing, or from a peer when the platform is out.
fn crash(state: &State, place: usize, next: &mut Vec<State>) {
    if state.crashes < CRASHES {
        let mut state = state.clone();
        state.crashes += 1;
        state.in_force[place] = Lists::default();
        next.push(state);
    }
}

fn relay(state: &State, place: usize, next: &mut Vec<State>) {
    let mut state = state.clone();
    if state.relayed.insert(state.in_force[place].clone()) {
        next.push(state);
    }
}

impl Spec {
    fn deliver_writes(&self, state: &State, next: &mut Vec<State>) {
        for (place, write) in state.writes.iter().enumerate() {
            if write.expected != state.version && !self.has(Fault::HeadWithoutCondition) {
                continue;
            }
            let mut state = state.clone();
            state.writes.remove(place);
            state.head = write.lists.clone();
            state.version += 1;
            let own = write
                .lists
                .edits
                .iter()
                .filter(|edit| edit.0 == write.operator);
            state.accepted.extend(own.max().copied());
            next.push(state);
        }
    }

    fn put_in_force(&self, state: &State, place: usize, lists: &Lists, next: &mut Vec<State>) {
        let present = state.in_force[place].generation;
        let takes_older = self.has(Fault::OlderListsTakenFromPeer) && lists.generation > 0;
        if lists.generation > present || (takes_older && lists.generation < present) {
            let mut state = state.clone();
            state.reverted |= lists.generation < present;
            state.in_force[place] = lists.clone();
            next.push(state);
        }
    }
}
