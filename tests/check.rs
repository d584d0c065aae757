//! `currantlever check`

mod common;

use std::path::Path;

use common::{stdout, Workdir};

fn example(site: &str, file: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples");
    root.join(site).join(file).display().to_string()
}

#[test]
fn the_example_sites_are_accepted() {
    let workdir = Workdir::new();
    for (site, routers) in [("cooperative", 9), ("dutovia", 8)] {
        let mut args = vec!["check".to_owned()];
        for number in 1..=routers {
            args.push("--settings".to_owned());
            args.push(example(site, &format!("router-{number}.json")));
        }
        args.extend(["--plans".to_owned(), example(site, "plans.json")]);
        args.extend(["--usage".to_owned(), example(site, "usage.json")]);
        let output = workdir.run(&args);
        assert!(output.status.success(), "{}", stdout(&output));
    }
}

#[test]
fn each_fault_is_printed_with_its_file_and_field() {
    let workdir = Workdir::new();
    let usage = example("cooperative", "usage.json");
    workdir.write(
        "plans.json",
        r#"{"generation":0,"teams":[{"team":"one","plan":"none",
        "key_sha256":[],"budgets":[{"budget":"one","paid_tokens":1}]}]}"#,
    );
    let args = [
        "check",
        "--json",
        "--plans",
        "plans.json",
        "--usage",
        &usage,
    ];
    let output = workdir.run(&args);
    assert_eq!(output.status.code(), Some(1));
    let faults: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    let text = faults.to_string();
    assert!(
        text.contains("teams[0].plan") && text.contains("teams[0].key_sha256"),
        "{text}"
    );
    let missing = workdir.run(&["check", "--plans", "none.json", "--usage", &usage]);
    assert_eq!(missing.status.code(), Some(1));
    assert!(stdout(&missing).contains("none.json"));
    let incomplete = workdir.run(&["check", "--plans", "plans.json"]);
    assert_eq!(incomplete.status.code(), Some(2));
}
