//! One router's share of a fleet-wide retry budget.
//!
//! In any window, a pool may receive `ratio x requests + slack` retries from all routers. Each
//! router uses only the ratio of its own requests and an even share of the slack, so the bound
//! holds without coordination when all routers retry at once.

use std::collections::VecDeque;

/// Number of slots of a window; older requests expire one slot at a time.
const SLOTS: usize = 10;
/// Percentage of the budget that is used. The rest covers retries in flight when a window slides,
/// and clock differences.
const USED_SHARE_PERCENT: u64 = 80;

/// The fleet-wide retry limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryRule {
    /// Retries per request.
    pub ratio: f64,
    /// Retries beyond the ratio in each window.
    pub slack: u64,
    /// Length of a window, in milliseconds.
    pub window_ms: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    number: u64,
    requests: u64,
    retries: u64,
}

/// The retries that one router may send to one pool.
#[derive(Clone, Debug)]
pub struct RetryShare {
    rule: RetryRule,
    slots: VecDeque<Slot>,
    started_ms: u64,
}

impl RetryShare {
    /// Creates a share without initial slack, since an earlier process of this router may have used
    /// it.
    ///
    /// ```
    /// use currantlever::{RetryRule, RetryShare};
    /// let rule = RetryRule { ratio: 0.2, slack: 50, window_ms: 10_000 };
    /// let mut share = RetryShare::new(rule, 0);
    /// assert!(!share.try_retry(1, 5));
    /// (0..100).for_each(|_| share.record_request(2));
    /// assert!(share.try_retry(2, 5));
    /// ```
    #[must_use]
    pub fn new(rule: RetryRule, now_ms: u64) -> Self {
        Self {
            rule,
            slots: VecDeque::with_capacity(SLOTS + 1),
            started_ms: now_ms,
        }
    }

    /// Counts a request to the pool.
    pub fn record_request(&mut self, now_ms: u64) {
        self.slot(now_ms).requests += 1;
    }

    /// Takes one retry from the share. Returns false when none is left. `routers` is the size of
    /// the fleet.
    pub fn try_retry(&mut self, now_ms: u64, routers: usize) -> bool {
        self.slot(now_ms);
        let requests: u64 = self.slots.iter().map(|slot| slot.requests).sum();
        let retries: u64 = self.slots.iter().map(|slot| slot.retries).sum();
        if retries + 1 > self.allowed_retries(now_ms, requests, routers) {
            return false;
        }
        self.slot(now_ms).retries += 1;
        true
    }

    /// Returns the retries allowed in the current window.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "counts of one window"
    )]
    fn allowed_retries(&self, now_ms: u64, requests: u64, routers: usize) -> u64 {
        let age_ms = now_ms.saturating_sub(self.started_ms);
        let accrued_ms = age_ms.min(self.rule.window_ms);
        let slack =
            self.rule.slack * accrued_ms / self.rule.window_ms.max(1) / routers.max(1) as u64;
        let ratio_retries = (requests as f64 * self.rule.ratio) as u64;
        (ratio_retries + slack) * USED_SHARE_PERCENT / 100
    }

    fn slot(&mut self, now_ms: u64) -> &mut Slot {
        let number = now_ms / (self.rule.window_ms / SLOTS as u64).max(1);
        let oldest = number.saturating_sub(SLOTS as u64);
        self.slots.retain(|slot| slot.number >= oldest);
        if self.slots.back().is_none_or(|slot| slot.number < number) {
            self.slots.push_back(Slot {
                number,
                ..Slot::default()
            });
        }
        self.slots.back_mut().expect("a slot was pushed")
    }
}
