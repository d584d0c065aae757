//! Exhaustive breadth-first search over a specification.

use std::cell::Cell;
use std::fmt::Debug;
use std::hash::Hash;

use pathfinding::directed::bfs::bfs;

/// A specification: where it starts, what can happen, and what must never be the case.
pub trait Specification {
    type State: Clone + Eq + Hash + Debug;

    fn initial(&self) -> Self::State;

    fn successors(&self, state: &Self::State) -> Vec<Self::State>;

    /// What is wrong with a state, if anything.
    fn violation(&self, state: &Self::State) -> Option<&'static str>;
}

struct Found {
    depth: usize,
    violation: &'static str,
    path: String,
}

fn search<S>(specification: &S) -> (u64, Option<Found>)
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
        Found {
            depth: steps.len() - 1,
            violation,
            path: steps.concat(),
        }
    });
    (visited.get(), found)
}

/// Searches everything and expects no violation.
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

/// Searches until the violation that a deliberate fault must lead to.
pub fn check_found<S>(fault: &str, specification: &S)
where
    S: Specification,
{
    match search(specification) {
        (_, Some(found)) => println!("fault {fault}: found at depth {}", found.depth),
        (visited, None) => panic!("fault {fault}: not found in {visited} states"),
    }
}

/// Takes one random path and tells whether no violation was met.
pub fn walk<S>(specification: &S, choices: &[u16]) -> bool
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
        let place = usize::from(*choice) % successors.len();
        state = successors.swap_remove(place);
        if specification.violation(&state).is_some() {
            return false;
        }
    }
    true
}
