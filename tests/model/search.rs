//! Exhaustive breadth-first search over a specification.

use std::cell::Cell;
use std::fmt::Debug;
use std::hash::Hash;

use pathfinding::directed::bfs::bfs;

/// A specification: an initial state, a transition relation and a safety invariant.
pub trait Specification {
    type State: Clone + Eq + Hash + Debug;

    fn initial(&self) -> Self::State;

    fn successors(&self, state: &Self::State) -> Vec<Self::State>;

    /// Returns a description of the invariant that a state violates, if any.
    fn violation(&self, state: &Self::State) -> Option<&'static str>;
}

struct Counterexample {
    depth: usize,
    violation: &'static str,
    path: String,
}

fn search<S>(specification: &S) -> (u64, Option<Counterexample>)
where
    S: Specification,
{
    let visited = Cell::new(0u64);
    let path = bfs(
        &specification.initial(),
        |state| {
            visited.set(visited.get() + 1);
            specification.successors(state)
        },
        |state| specification.violation(state).is_some(),
    );
    let found = path.map(|path| {
        let last = path.last().unwrap();
        let violation = specification.violation(last).unwrap();
        let steps: Vec<String> = path.iter().map(|state| format!("{state:?}\n")).collect();
        Counterexample {
            depth: steps.len() - 1,
            violation,
            path: steps.concat(),
        }
    });
    (visited.get(), found)
}

/// Searches the complete state space; panics with the path to a violation if there is one.
pub fn check_holds<S>(name: &str, specification: &S)
where
    S: Specification,
{
    let (visited, found) = search(specification);
    println!("specification {name}: {visited} states visited");
    if let Some(found) = found {
        panic!(
            "{name}: {} at depth {}\n{}",
            found.violation, found.depth, found.path
        );
    }
}

/// Searches for the violation that a deliberate fault must lead to; panics if there is none.
pub fn check_fault_is_found<S>(fault: &str, specification: &S)
where
    S: Specification,
{
    match search(specification) {
        (_, Some(found)) => println!("fault {fault}: found at depth {}", found.depth),
        (visited, None) => panic!("fault {fault}: not found in {visited} states"),
    }
}

/// Follows one random path and returns whether it is free of violations.
pub fn random_walk<S>(specification: &S, choices: &[u16]) -> bool
where
    S: Specification,
{
    let mut state = specification.initial();
    for choice in choices {
        let mut successors = specification.successors(&state);
        successors.retain(|next| *next != state);
        if successors.is_empty() {
            return true;
        }
        let index = usize::from(*choice) % successors.len();
        state = successors.swap_remove(index);
        if specification.violation(&state).is_some() {
            return false;
        }
    }
    true
}
