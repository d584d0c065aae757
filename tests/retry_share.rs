//! The fleet-wide retry budget, used by many routers without coordination.

use currantlever::{RetryRule, RetryShare};

const RULE: RetryRule = RetryRule {
    ratio: 0.2,
    slack: 58,
    window_ms: 10_000,
};

/// Returns the largest number of retries in any window beyond the limit for its requests; at most
/// zero when the limit holds.
fn largest_excess(retries_ms: &[u64], requests_ms: &[u64]) -> i64 {
    let within = |times: &[u64], start: u64| {
        let end = start + RULE.window_ms;
        times
            .iter()
            .filter(|time| (start..end).contains(*time))
            .count()
    };
    let excess = retries_ms.iter().map(|start| {
        let retries = within(retries_ms, *start);
        let before = start.saturating_sub(RULE.window_ms);
        let requests = within(requests_ms, *start).max(within(requests_ms, before));
        let allowed = requests * 2 / 10 + 58;
        i64::try_from(retries).unwrap() - i64::try_from(allowed).unwrap()
    });
    excess.max().unwrap_or(0)
}

#[test]
fn all_routers_that_retry_without_pause_stay_within_the_fleet_budget() {
    for routers in [1_usize, 9, 87] {
        let mut shares: Vec<RetryShare> = (0..routers).map(|_| RetryShare::new(RULE, 0)).collect();
        let (mut retries_ms, mut requests_ms) = (Vec::new(), Vec::new());
        for now_ms in (0..60_000).step_by(50) {
            for (index, share) in shares.iter_mut().enumerate() {
                // Each router receives a request every 200 ms and retries as often as its share
                // allows.
                if (now_ms / 50 + index as u64).is_multiple_of(4) {
                    share.record_request(now_ms);
                    requests_ms.push(now_ms);
                }
                while share.try_retry(now_ms, routers) {
                    retries_ms.push(now_ms);
                }
            }
        }
        assert!(!retries_ms.is_empty());
        let excess = largest_excess(&retries_ms, &requests_ms);
        assert!(
            excess <= 0,
            "{excess} beyond the budget with {routers} routers"
        );
    }
}

#[test]
fn a_restarted_router_does_not_use_the_slack_a_second_time() {
    let (mut retries_ms, mut requests_ms) = (Vec::new(), Vec::new());
    let mut share = RetryShare::new(RULE, 0);
    for now_ms in (0..30_000).step_by(10) {
        // The router is killed every three seconds.
        if now_ms % 3_000 == 0 {
            share = RetryShare::new(RULE, now_ms);
        }
        if now_ms % 100 == 0 {
            share.record_request(now_ms);
            requests_ms.push(now_ms);
        }
        while share.try_retry(now_ms, 1) {
            retries_ms.push(now_ms);
        }
    }
    assert!(largest_excess(&retries_ms, &requests_ms) <= 0);
}
