//! Tests the token buckets by which several routers issue permits for one rate-limited replica.

use currantlever::{PermitBucket, RateLimit, RateLimitError, ISSUER_COUNT};
use quickcheck::{Gen, QuickCheck, TestResult};

/// Length of the span in which permits are counted, in milliseconds.
const SPAN_MS: u64 = 4_000;
const SEED: u64 = 25;

/// Returns the requests that a limit allows in a span: one and a half times the limit, and five.
fn allowed(limit: RateLimit) -> u64 {
    u64::from(limit.milli_per_second()) * SPAN_MS * 3 / 2 / 1_000_000 + 5
}

fn max_in_span(times_ms: &[u64]) -> u64 {
    let count = |start: &u64| {
        let in_span = times_ms
            .iter()
            .filter(|at| (*start..start + SPAN_MS).contains(*at));
        in_span.count() as u64
    };
    times_ms.iter().map(count).max().unwrap_or(0)
}

/// Guards against exceeding a limit when the issuers do not hear of one another, with any demand.
#[test]
fn all_issuers_together_stay_within_the_limit() {
    fn holds(milli_per_second: u32, asks: Vec<(u16, u8, u8)>) -> TestResult {
        let limit = RateLimit::new(milli_per_second % 50_000);
        let mut buckets = vec![PermitBucket::new(0); ISSUER_COUNT + 1];
        let mut issued = Vec::new();
        let mut now_ms = 0;
        for (pause, position, rank) in asks {
            // Long pauses fill the buckets, short ones empty them.
            now_ms += u64::from(if pause % 8 == 0 { pause } else { pause % 16 });
            let position = usize::from(position) % buckets.len();
            for _ in 0..12 {
                if buckets[position]
                    .try_take(now_ms, limit, position, rank)
                    .is_ok()
                {
                    issued.push(now_ms);
                }
            }
        }
        TestResult::from_bool(max_in_span(&issued) <= allowed(limit))
    }
    QuickCheck::new()
        .tests(2_000)
        .rng(Gen::from_size_and_seed(200, SEED))
        .quickcheck(holds as fn(u32, Vec<(u16, u8, u8)>) -> TestResult);
}

/// Guards against the worst case: all buckets are full, and demand at all issuers begins at once.
#[test]
fn full_buckets_of_all_issuers_stay_within_the_limit() {
    for milli_per_second in [0, 50, 300, 1_000, 1_900, 20_000, 300_000] {
        let limit = RateLimit::new(milli_per_second);
        let mut buckets = vec![PermitBucket::new(0); ISSUER_COUNT];
        let mut issued = Vec::new();
        for now_ms in 600_000..600_000 + 3 * SPAN_MS {
            for (position, bucket) in buckets.iter_mut().enumerate() {
                while bucket.try_take(now_ms, limit, position, 0).is_ok() {
                    issued.push(now_ms);
                }
            }
        }
        let most = max_in_span(&issued);
        assert!(most <= allowed(limit), "{limit}: {most}");
    }
}

#[test]
fn the_first_issuer_uses_nearly_the_whole_limit() {
    for milli_per_second in [300_u32, 1_200, 1_900, 30_000] {
        let limit = RateLimit::new(milli_per_second);
        let mut bucket = PermitBucket::new(0);
        let times = (0..60_000).step_by(7);
        let issued = times.filter(|now_ms| bucket.try_take(*now_ms, limit, 0, 0).is_ok());
        let issued = issued.count() as u64;
        let limit_permits = u64::from(milli_per_second) * 60 / 1_000;
        assert!(issued * 100 >= limit_permits * 90, "{limit}: {issued}");
    }
}

/// Guards against a limit of zero that is never found to have ended.
#[test]
fn a_limit_of_zero_leaves_a_few_requests_that_can_show_its_end() {
    let mut bucket = PermitBucket::new(0);
    let times = (0..60_000).step_by(10);
    let issued = times.filter(|now_ms| bucket.try_take(*now_ms, RateLimit::new(0), 0, 0).is_ok());
    assert!((10..=13).contains(&issued.count()));
    for position in 1..=ISSUER_COUNT {
        let mut bucket = PermitBucket::new(0);
        assert!(bucket
            .try_take(60_000, RateLimit::new(0), position, 0)
            .is_err());
    }
}

#[test]
fn urgent_requests_go_first_and_no_rank_is_starved() {
    let limit = RateLimit::new(3_000);
    let mut bucket = PermitBucket::new(0);
    let mut issued = [0_u32; 3];
    for now_ms in (0..60_000).step_by(5) {
        // The ranks ask in turns.
        let rank = u8::try_from(now_ms / 5 % 3).unwrap();
        if bucket.try_take(now_ms, limit, 0, rank).is_ok() {
            issued[usize::from(rank)] += 1;
        }
    }
    assert!(issued[0] > issued[1] + issued[2], "{issued:?}");
    assert!(issued[1] > 0 && issued[2] > 0, "{issued:?}");
    assert!(issued.iter().sum::<u32>() >= 160, "{issued:?}");
}

#[test]
fn refused_callers_are_told_times_that_are_spread_by_their_number() {
    let limit = RateLimit::new(2_000);
    let mut bucket = PermitBucket::new(0);
    let denials: Vec<u64> = (0..8)
        .map(|_| bucket.try_take(0, limit, 0, 0).unwrap_err().retry_after_ms)
        .collect();
    assert_eq!(denials[0], 500);
    assert!(denials.is_sorted());
    assert_eq!(denials[7], 500 + 7 * 500 / 2);
}

#[test]
fn texts_that_are_no_limit_are_refused() {
    for (text, limit) in [("1.9", 1_900), (" 0 ", 0), ("0.0004", 0), ("12", 12_000)] {
        assert_eq!(text.parse(), Ok(RateLimit::new(limit)));
    }
    for text in ["", "many", "1,5", "1.9/s"] {
        assert_eq!(text.parse::<RateLimit>(), Err(RateLimitError::NotANumber));
    }
    for text in ["-1", "NaN", "inf", "1e300", "1000001"] {
        assert_eq!(text.parse::<RateLimit>(), Err(RateLimitError::OutOfRange));
    }
}
