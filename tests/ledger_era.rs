//! Tests what is put back into a ledger that has lost writes.

use currantlever::{BudgetEntry, HolderId, Tokens};

const FIRST: HolderId = HolderId::new(1);
const SECOND: HolderId = HolderId::new(2);

fn entry(paid_tokens: u64) -> BudgetEntry {
    let mut entry = BudgetEntry::default();
    entry.update_paid(1, Tokens::new(paid_tokens));
    entry
}

#[test]
fn a_grant_that_the_ledger_lost_is_put_back_once_and_never_lowered() {
    let mut entry = entry(100);
    assert_eq!(entry.restore_grant(FIRST, Tokens::new(30)), Tokens::new(30));
    assert_eq!(entry.restore_grant(FIRST, Tokens::new(30)), Tokens::ZERO);
    assert_eq!(entry.restore_grant(FIRST, Tokens::new(20)), Tokens::ZERO);
    assert_eq!(entry.restore_grant(FIRST, Tokens::new(50)), Tokens::new(20));
    assert_eq!(entry.available_tokens(), Tokens::new(50));
}

/// Guards against granting on while more than the prepaid amount is known to be granted.
#[test]
fn grants_that_are_put_back_may_leave_nothing_to_grant() {
    let mut entry = entry(100);
    entry.restore_grant(FIRST, Tokens::new(70));
    entry.restore_grant(SECOND, Tokens::new(70));
    assert_eq!(entry.available_tokens(), Tokens::ZERO);
    assert_eq!(entry.charged_tokens(), Tokens::new(140));
}

/// Guards against charging an ended process twice: by its folded row and by an old report.
#[test]
fn the_row_of_a_folded_holder_is_not_put_back() {
    let mut entry = entry(100);
    entry.restore_grant(FIRST, Tokens::new(30));
    entry.fold(FIRST);
    assert_eq!(entry.restore_grant(FIRST, Tokens::new(30)), Tokens::ZERO);
    assert_eq!(entry.available_tokens(), Tokens::new(70));
}

/// Guards against losing grants whose holder was folded by its successor before they were put back.
#[test]
fn what_a_folded_holder_was_granted_beyond_its_row_is_charged() {
    let mut entry = entry(100);
    entry.restore_grant(FIRST, Tokens::new(30));
    entry.fold(FIRST);
    assert_eq!(entry.restore_grant(FIRST, Tokens::new(45)), Tokens::new(15));
    assert_eq!(entry.restore_grant(FIRST, Tokens::new(45)), Tokens::ZERO);
    assert_eq!(entry.available_tokens(), Tokens::new(55));
}

#[test]
fn what_unknown_holders_may_have_been_granted_is_charged_within_the_budget() {
    let mut ledger = entry(100);
    ledger.restore_grant(FIRST, Tokens::new(30));
    ledger.restore_grant(SECOND, Tokens::new(20));
    let charged = ledger.charge_lost_grants(|holder| holder == FIRST);
    assert_eq!(charged, Tokens::new(20));
    assert_eq!(ledger.available_tokens(), Tokens::new(30));
    assert_eq!(ledger.charge_lost_grants(|_| false), Tokens::new(30));
    assert_eq!(ledger.available_tokens(), Tokens::ZERO);
}
