//! `currantlever bench`: properties of its results that do not depend on the machine.

mod common;

use common::{stderr, stdout, Workdir};
use serde_json::Value;

#[test]
fn edits_come_into_force_on_all_routers_and_none_reverts() {
    let workdir = Workdir::new();
    let args = [
        "bench",
        "config",
        "--routers",
        "5",
        "--rounds",
        "3",
        "--json",
    ];
    let output = workdir.run(&args);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    let result: Value = serde_json::from_str(&stdout(&output)).unwrap();
    assert_eq!(result["routers"], 5);
    assert_eq!(result["edits"], 3);
    assert_eq!(result["reverted"], 0);
}

#[test]
fn the_same_seed_gives_the_same_routing_figures() {
    let workdir = Workdir::new();
    let args = ["bench", "routing", "--seed", "3", "--rounds", "1", "--json"];
    assert_eq!(stdout(&workdir.run(&args)), stdout(&workdir.run(&args)));
}
