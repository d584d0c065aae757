//! Model checking of the core protocols: the state space of each specification is searched
//! exhaustively, and each deliberate fault must lead to a violation.

mod billing;
mod budget;
mod claims;
mod lists;
mod search;

use quickcheck::{Gen, QuickCheck};
use search::{check_fault_is_found, check_holds, random_walk};

/// Number of steps in one random walk.
const WALK_STEPS: usize = 300;
/// Seed of the random walks.
const WALK_SEED: u64 = 20_261_203;

#[test]
fn grants_witnesses_and_reclaiming_never_overspend() {
    for (name, bounds) in budget::configurations() {
        check_holds(name, &budget::Spec::new(bounds, None));
    }
}

#[test]
fn budget_faults_are_found() {
    for (fault, bounds) in budget::faults() {
        check_fault_is_found(&fault.to_string(), &budget::Spec::new(bounds, Some(fault)));
    }
}

#[test]
fn claimed_requests_run_at_most_once_and_not_run_is_true() {
    check_holds("claims", &claims::Spec::new(None));
}

#[test]
fn claim_faults_are_found() {
    for fault in claims::faults() {
        check_fault_is_found(&fault.to_string(), &claims::Spec::new(Some(fault)));
    }
}

#[test]
fn each_request_is_billed_once() {
    check_holds("billing", &billing::Spec::new(None));
}

#[test]
fn billing_faults_are_found() {
    for fault in billing::faults() {
        check_fault_is_found(&fault.to_string(), &billing::Spec::new(Some(fault)));
    }
}

#[test]
fn accepted_lists_never_revert() {
    check_holds("lists", &lists::Spec::new(None));
}

#[test]
fn list_faults_are_found() {
    for fault in lists::faults() {
        check_fault_is_found(&fault.to_string(), &lists::Spec::new(Some(fault)));
    }
}

#[test]
fn long_random_walks_never_overspend() {
    #[allow(
        clippy::needless_pass_by_value,
        reason = "properties take their input by value"
    )]
    fn holds(choices: Vec<u16>) -> bool {
        random_walk(&budget::Spec::new(budget::RANDOM_WALK, None), &choices)
    }
    let walk_count = if cfg!(debug_assertions) { 20 } else { 2_000 };
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(WALK_STEPS, WALK_SEED))
        .tests(walk_count)
        .quickcheck(holds as fn(Vec<u16>) -> bool);
}
