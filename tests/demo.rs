//! `currantlever demo`

mod common;

use common::{stdout, Workdir};

#[test]
fn every_budget_adds_up() {
    let output = Workdir::new().run(&["demo", "--seed", "7", "--requests", "300", "--json"]);
    assert!(output.status.success(), "{}", stdout(&output));
    let outcome: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(outcome["faults"], serde_json::json!([]));
    assert!(
        outcome["mix"]["outcomes"]["budget-exhausted"]
            .as_u64()
            .unwrap()
            > 0
    );
    assert!(outcome["mix"]["outcomes"]["served"].as_u64().unwrap() > 0);
}

#[test]
fn help_and_version_are_printed() {
    let workdir = Workdir::new();
    for command in ["apply", "check", "demo", "get", "serve", "status"] {
        let output = workdir.run(&[command, "--help"]);
        assert!(output.status.success());
        assert!(stdout(&output).contains("Usage:"), "{command}");
    }
    let output = workdir.run(&["--version"]);
    assert!(stdout(&output).starts_with("currantlever "));
}

#[test]
fn unknown_commands_and_options_exit_with_2() {
    let workdir = Workdir::new();
    for args in [
        ["domo", "--seed"],
        ["demo", "--sed"],
        ["demo", "--routers=none"],
    ] {
        assert_eq!(workdir.run(&args).status.code(), Some(2), "{args:?}");
    }
}
