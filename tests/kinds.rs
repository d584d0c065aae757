//! Up to where a router must have followed a kind to have seen what others saw.

use currantlever::{Change, Changes, KindObject};
use serde_json::value::RawValue;

fn change(revision: u64, is_removed: bool) -> Change {
    Change {
        object: KindObject {
            name: "x".into(),
            revision,
            value: RawValue::NULL.to_owned(),
        },
        is_removed,
    }
}

#[test]
fn changes_of_other_kinds_do_not_count() {
    let changes = Changes {
        changes: vec![change(12, false), change(15, false)],
        revision: 40,
    };
    assert_eq!(changes.newest_revision(), Some(15));
}

#[test]
fn a_removal_may_be_as_new_as_the_answer() {
    let changes = Changes {
        changes: vec![change(12, false), change(9, true)],
        revision: 40,
    };
    assert_eq!(changes.newest_revision(), Some(40));
}

#[test]
fn without_changes_there_is_none() {
    let changes = Changes {
        changes: Vec::new(),
        revision: 40,
    };
    assert_eq!(changes.newest_revision(), None);
}
