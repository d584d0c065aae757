//! Accepted lists: concurrent edits by operators, and propagation from the platform and between
//! routers.

use std::collections::BTreeSet;

use strum::Display;

use super::search::Specification;

const ROUTERS: usize = 3;
const OPERATORS: usize = 2;
const MAX_EDITS: u8 = 2;
const MAX_CRASHES: u8 = 1;

/// A protocol rule that the specification violates deliberately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    HeadWithoutCondition,
    OlderListsTakenFromPeer,
}

pub fn faults() -> Vec<Fault> {
    vec![Fault::HeadWithoutCondition, Fault::OlderListsTakenFromPeer]
}

/// Lists, represented by their generation and the edits that they contain. An edit is identified
/// by its operator and sequence number.
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
    /// Edits that the platform accepted.
    accepted: BTreeSet<(usize, u8)>,
    in_force: Vec<Lists>,
    /// Lists sent between peers, delivered in any order and any number of times.
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

    fn injects(&self, fault: Fault) -> bool {
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
        for index in 0..ROUTERS {
            self.apply_lists(state, index, &state.head, &mut next);
            for lists in &state.relayed {
                self.apply_lists(state, index, lists, &mut next);
            }
            send_to_peers(state, index, &mut next);
            crash(state, index, &mut next);
        }
        next
    }

    fn violation(&self, state: &State) -> Option<&'static str> {
        if state.reverted {
            return Some("lists in force reverted to an older generation");
        }
        let is_preserved = state.accepted.is_subset(&state.head.edits);
        (!is_preserved).then_some("an accepted edit was undone by another operator's")
    }
}

/// An operator edits the current lists; the write may be delayed or its answer lost.
fn edit(state: &State, operator: usize, next: &mut Vec<State>) {
    if state.edits[operator] >= MAX_EDITS {
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

/// Crashed routers restart without lists and get them from the platform, or from a peer during a
/// platform outage.
fn crash(state: &State, index: usize, next: &mut Vec<State>) {
    if state.crashes < MAX_CRASHES {
        let mut state = state.clone();
        state.crashes += 1;
        state.in_force[index] = Lists::default();
        next.push(state);
    }
}

fn send_to_peers(state: &State, index: usize, next: &mut Vec<State>) {
    let mut state = state.clone();
    if state.relayed.insert(state.in_force[index].clone()) {
        next.push(state);
    }
}

impl Spec {
    fn deliver_writes(&self, state: &State, next: &mut Vec<State>) {
        for (index, write) in state.writes.iter().enumerate() {
            if write.expected != state.version && !self.injects(Fault::HeadWithoutCondition) {
                continue;
            }
            let mut state = state.clone();
            state.writes.remove(index);
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

    fn apply_lists(&self, state: &State, index: usize, lists: &Lists, next: &mut Vec<State>) {
        let current_generation = state.in_force[index].generation;
        let accepts_older = self.injects(Fault::OlderListsTakenFromPeer) && lists.generation > 0;
        if lists.generation > current_generation
            || (accepts_older && lists.generation < current_generation)
        {
            let mut state = state.clone();
            state.reverted |= lists.generation < current_generation;
            state.in_force[index] = lists.clone();
            next.push(state);
        }
    }
}
