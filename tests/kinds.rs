//! The newest revision of a watch's changes.

use currantlever::{Change, Changes, KindObject, Revision};
use serde_json::value::RawValue;

fn change(revision: u64, is_removed: bool) -> Change {
    Change {
        object: KindObject {
            name: "x".into(),
            revision: Revision::new(0, revision),
            value: RawValue::NULL.to_owned(),
        },
        is_removed,
    }
}

#[test]
fn changes_of_other_kinds_do_not_raise_the_newest_revision() {
    let changes = Changes {
        changes: vec![change(12, false), change(15, false)],
        revision: Revision::new(0, 40),
    };
    assert_eq!(changes.newest_revision(), Some(Revision::new(0, 15)));
}

#[test]
fn a_removal_counts_with_the_revision_of_the_answer() {
    let changes = Changes {
        changes: vec![change(12, false), change(9, true)],
        revision: Revision::new(0, 40),
    };
    assert_eq!(changes.newest_revision(), Some(Revision::new(0, 40)));
}

#[test]
fn without_changes_there_is_no_newest_revision() {
    let changes = Changes {
        changes: Vec::new(),
        revision: Revision::new(0, 40),
    };
    assert_eq!(changes.newest_revision(), None);
}
