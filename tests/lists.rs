//! Parsing and validation of the two lists: each error of an invalid list contains the field.

// QuickCheck passes the input of a property by value.
#![allow(clippy::needless_pass_by_value)]

use currantlever::fakes::fleet::{plans_list, usage_list};
use currantlever::{parse_list, validate_lists, ListName, PlansList, UsageList};
use quickcheck::{Gen, QuickCheck};

fn valid_lists() -> (PlansList, UsageList) {
    (
        plans_list(&[("one", 100), ("two", 200)]).unwrap(),
        usage_list().unwrap(),
    )
}

fn fault_fields(plans: &PlansList, usage: &UsageList) -> Vec<String> {
    validate_lists(plans, usage)
        .into_iter()
        .map(|fault| fault.field)
        .collect()
}

#[test]
fn valid_lists_have_no_faults() {
    let (plans, usage) = valid_lists();
    assert!(fault_fields(&plans, &usage).is_empty());
}

/// Introduces one fault into valid lists.
type Mutation = fn(&mut PlansList, &mut UsageList);

#[test]
fn each_fault_names_its_field() {
    let cases: [(&str, Mutation); 12] = [
        ("teams[1].team", |plans, _| {
            plans.teams[1].team = plans.teams[0].team.clone();
        }),
        ("teams[0].plan", |plans, _| {
            plans.teams[0].plan = "none".parse().unwrap();
        }),
        ("teams[0].key_sha256", |plans, _| {
            plans.teams[0].key_sha256.clear();
        }),
        ("teams[0].key_sha256[0]", |plans, _| {
            plans.teams[0].key_sha256[0] = "XY".into();
        }),
        ("teams[0].budgets", |plans, _| {
            plans.teams[0].budgets.clear();
        }),
        ("teams[1].budgets[0].budget", |plans, _| {
            plans.teams[1].budgets[0].budget = plans.teams[0].budgets[0].budget.clone();
        }),
        ("plans[0]", |_, usage| {
            usage.plans[0].models.clear();
            usage.plans[0].services.clear();
        }),
        ("plans[0].models[0].pool", |_, usage| {
            usage.plans[0].models[0].pool = "none".parse().unwrap();
        }),
        ("plans[0].services[0].pool", |_, usage| {
            usage.plans[0].services[0].pool = "assistant".parse().unwrap();
        }),
        ("plans[0].deadline_ms", |_, usage| {
            usage.plans[0].deadline_ms = 0;
        }),
        ("pools[0].replica_slots", |_, usage| {
            usage.pools[0].replica_slots = 0;
        }),
        ("pools[1].pool", |_, usage| {
            usage.pools[1].pool = usage.pools[0].pool.clone();
        }),
    ];
    for (field, mutate) in cases {
        let (mut plans, mut usage) = valid_lists();
        mutate(&mut plans, &mut usage);
        let found = fault_fields(&plans, &usage);
        assert!(
            found.iter().any(|found| found == field),
            "{field} not in {found:?}"
        );
    }
}

#[test]
fn unknown_fields_and_wrong_types_name_the_field() {
    let cases = [
        (
            r#"{"generation":0,"teams":[{"team":"a b"}]}"#,
            "teams[0].team",
        ),
        (r#"{"generation":0,"teams":[],"extra":1}"#, "extra"),
        (r#"{"generation":"no","teams":[]}"#, "generation"),
        (
            r#"{"generation":0,"teams":[{"team":"a","plan":"p","key_sha256":[],
               "budgets":[{"budget":"b","paid_tokens":-1}]}]}"#,
            "teams[0].budgets[0].paid_tokens",
        ),
    ];
    for (text, field) in cases {
        let fault = parse_list::<PlansList>(ListName::Plans, text.as_bytes()).unwrap_err();
        assert_eq!(fault.field, field, "{fault}");
    }
}

#[test]
fn arbitrary_bytes_are_parsed_or_refused() {
    fn is_handled(bytes: Vec<u8>) -> bool {
        let _ = parse_list::<PlansList>(ListName::Plans, &bytes);
        let _ = parse_list::<UsageList>(ListName::Usage, &bytes);
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 1))
        .tests(500)
        .quickcheck(is_handled as fn(Vec<u8>) -> bool);
}

#[test]
fn a_corrupted_list_is_parsed_whole_or_refused_with_a_reason() {
    fn is_handled(changed_bytes: Vec<(u16, u8)>) -> bool {
        let (plans, _) = valid_lists();
        let mut text = serde_json::to_vec(&plans).unwrap();
        for (offset, byte) in changed_bytes {
            let offset = usize::from(offset) % text.len();
            text[offset] = byte;
        }
        match parse_list::<PlansList>(ListName::Plans, &text) {
            Ok(list) => serde_json::to_vec(&list).is_ok(),
            Err(fault) => !fault.reason.is_empty(),
        }
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(4, 2))
        .tests(500)
        .quickcheck(is_handled as fn(Vec<(u16, u8)>) -> bool);
}
