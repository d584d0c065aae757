//! Tells outages of the store from failures that only some routers see.
//!
//! Entries of living servers expire only while nobody can write to the store. A call that fails at
//! one router does not show that: the store may refuse some machines, or a link may be cut.

/// Largest time between failures at two routers that can belong to the same outage, in
/// milliseconds.
const SAME_OUTAGE_MS: u64 = 3_000;
/// Longest time between two calls of a router that the store does not answer, in milliseconds.
const MAX_RETRY_INTERVAL_MS: u64 = 3_500;

/// Returns true for the age of a failure of a router that repeats its calls without success.
#[must_use]
pub const fn is_recent_failure(age_ms: u64) -> bool {
    age_ms <= MAX_RETRY_INTERVAL_MS
}

/// A span of failed calls of one router, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedCalls {
    /// Time of the first failure since the last answer before it.
    pub since_ms: u64,
    /// Time of the last failure.
    pub last_ms: u64,
}

/// A router's report of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreReport {
    /// Time of the report, in milliseconds.
    pub received_ms: u64,
    /// True when the store is available to that router.
    pub is_available: bool,
    /// The last failed calls of that router, as far as its reports tell.
    pub failures: Option<FailedCalls>,
}

impl StoreReport {
    /// Creates a report of a router's availability and the time since its last failed call.
    ///
    /// A router to which the store is not available and that repeats its calls without success is
    /// in an outage until now. One whose calls did not fail recently is reading its first lists.
    #[must_use]
    pub fn new(received_ms: u64, is_available: bool, failure_age_ms: Option<u64>) -> Self {
        let is_ongoing = |age_ms: u64| !is_available && is_recent_failure(age_ms);
        let failures = failure_age_ms.map(|age_ms| {
            let age_ms = if is_ongoing(age_ms) { 0 } else { age_ms };
            let last_ms = received_ms.saturating_sub(age_ms);
            let since_ms = last_ms;
            FailedCalls { since_ms, last_ms }
        });
        Self {
            received_ms,
            is_available,
            failures,
        }
    }

    /// Sets the begin of the failed calls from the router's report before this one, if both were
    /// made in the same outage.
    #[must_use]
    pub fn with_previous(mut self, previous: &Self) -> Self {
        if let (Some(failures), Some(before)) = (&mut self.failures, previous.failures) {
            if !self.is_available && !previous.is_available {
                failures.since_ms = before.since_ms;
            }
        }
        self
    }

    /// Returns true if the store answered that router while calls of another one failed.
    fn is_unaffected_by(&self, failed: FailedCalls) -> bool {
        let is_earlier = |own: FailedCalls| own.last_ms + SAME_OUTAGE_MS < failed.last_ms;
        self.is_available
            && self.received_ms > failed.since_ms
            && self.failures.is_none_or(is_earlier)
    }
}

/// What the calls of the known routers show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutageEvidence {
    /// No call is known to have failed.
    NoFailure,
    /// Calls of some routers failed while the store answered another one.
    Local,
    /// Calls failed, last at this time in milliseconds, and no router is known that the store
    /// answered meanwhile.
    Outage(u64),
}

/// Classifies the failures known to a router: its own ones if its calls show all outages or it has
/// no reports, otherwise those that others report.
///
/// ```
/// use currantlever::{classify_failures, FailedCalls, OutageEvidence, StoreReport};
/// let own = Some(FailedCalls { since_ms: 10_000, last_ms: 12_000 });
/// assert_eq!(classify_failures(own, true, &[]), OutageEvidence::Outage(12_000));
/// let unaffected = StoreReport::new(12_100, true, None);
/// assert_eq!(classify_failures(own, true, &[unaffected]), OutageEvidence::Local);
/// ```
#[must_use]
pub fn classify_failures(
    own: Option<FailedCalls>,
    is_watching: bool,
    reports: &[StoreReport],
) -> OutageEvidence {
    let failed = if is_watching || reports.is_empty() {
        own
    } else {
        let failures = reports.iter().filter_map(|report| report.failures);
        failures.max_by_key(|failures| failures.last_ms)
    };
    let Some(failed) = failed else {
        return OutageEvidence::NoFailure;
    };
    if reports.iter().any(|report| report.is_unaffected_by(failed)) {
        return OutageEvidence::Local;
    }
    OutageEvidence::Outage(failed.last_ms)
}
