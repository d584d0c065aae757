//! Tells outages of the store from failures that only some routers see, with injected times.

use currantlever::{classify_failures, FailedCalls, OutageEvidence, StoreReport};

const NOW_MS: u64 = 100_000;

/// Guards against taking the refusals of one router for an outage, while they go on and after.
#[test]
fn failures_while_another_router_is_answered_are_local() {
    let refusals = FailedCalls {
        since_ms: NOW_MS - 5_000,
        last_ms: NOW_MS + 100,
    };
    let moment = FailedCalls {
        since_ms: NOW_MS - 50,
        last_ms: NOW_MS - 50,
    };
    for failure_age_ms in [None, Some(60_000)] {
        let answered = StoreReport::new(NOW_MS, true, failure_age_ms);
        for own in [refusals, moment] {
            let found = classify_failures(Some(own), true, &[answered]);
            assert_eq!(found, OutageEvidence::Local, "{own:?}");
        }
        // A router that does not watch goes by the reports.
        let earlier = StoreReport::new(NOW_MS - 200, false, Some(300));
        let refused = StoreReport::new(NOW_MS + 100, false, Some(300)).with_previous(&earlier);
        let found = classify_failures(None, false, &[refused, answered]);
        assert_eq!(found, OutageEvidence::Local);
    }
}

/// Guards against taking an outage that another router saw too, or reported before, for a local
/// failure.
#[test]
fn failures_at_all_known_routers_are_an_outage() {
    let own = Some(FailedCalls {
        since_ms: NOW_MS - 4_000,
        last_ms: NOW_MS - 1_000,
    });
    for report in [
        StoreReport::new(NOW_MS, true, Some(1_200)),
        StoreReport::new(NOW_MS, true, Some(3_500)),
        StoreReport::new(NOW_MS - 4_100, true, None),
        StoreReport::new(NOW_MS, false, None),
    ] {
        let found = classify_failures(own, true, &[report]);
        assert_eq!(found, OutageEvidence::Outage(NOW_MS - 1_000), "{report:?}");
    }
}

/// Guards against counting the grace period from now on while a router that has just started reads
/// its first lists.
#[test]
fn a_router_without_failures_that_reads_its_lists_reports_no_outage() {
    let starting = StoreReport::new(NOW_MS, false, None);
    let found = classify_failures(None, false, &[starting]);
    assert_eq!(found, OutageEvidence::NoFailure);
    let lists_again = StoreReport::new(NOW_MS, false, Some(20_000));
    let found = classify_failures(None, false, &[lists_again]);
    assert_eq!(found, OutageEvidence::Outage(NOW_MS - 20_000));
}

/// Guards against counting the grace period from the start of a router instead of from the end of
/// the outage that others saw before.
#[test]
fn an_outage_before_a_routers_start_ended_when_others_say() {
    let reports = [
        StoreReport::new(NOW_MS, true, Some(1_900)),
        StoreReport::new(NOW_MS, true, Some(2_100)),
    ];
    let found = classify_failures(None, false, &reports);
    assert_eq!(found, OutageEvidence::Outage(NOW_MS - 1_900));
}

/// Guards against ending an outage while a router still repeats its calls without success.
#[test]
fn an_outage_goes_on_while_a_router_repeats_its_calls() {
    let report = StoreReport::new(NOW_MS, false, Some(2_000));
    let found = classify_failures(None, false, &[report]);
    assert_eq!(found, OutageEvidence::Outage(NOW_MS));
}
