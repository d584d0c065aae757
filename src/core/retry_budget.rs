//! Bounds retries to a fraction of requests, so that failures do not multiply load.

/// Credit that a new request adds.
const REQUEST_CREDIT: u64 = 10;
/// Credit that a retry costs: limits retries to a tenth of requests.
const RETRY_COST: u64 = 100;
/// Maximum credit kept.
const MAX_CREDIT: u64 = 10_000;

/// Retry credit of one router.
///
/// ```
/// use currantlever::RetryBudget;
/// let mut budget = RetryBudget::new();
/// while budget.try_retry() {}
/// (0..10).for_each(|_| budget.record_request());
/// assert!(budget.try_retry());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    credit: u64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

impl RetryBudget {
    /// Creates a budget with full credit.
    #[must_use]
    pub const fn new() -> Self {
        Self { credit: MAX_CREDIT }
    }

    /// Adds the credit of a new request.
    pub fn record_request(&mut self) {
        self.credit = (self.credit + REQUEST_CREDIT).min(MAX_CREDIT);
    }

    /// Takes the credit for one retry. Returns false when there is not enough.
    pub fn try_retry(&mut self) -> bool {
        let is_allowed = self.credit >= RETRY_COST;
        if is_allowed {
            self.credit -= RETRY_COST;
        }
        is_allowed
    }
}
