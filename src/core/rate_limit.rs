//! Rate limits that backend servers state for the requests of all routers together.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Highest accepted limit, in requests per second.
const MAX_PER_SECOND: f64 = 1_000_000.0;

/// Why a text is not a rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RateLimitError {
    /// The text is not a decimal number.
    #[error("not a decimal number")]
    NotANumber,
    /// The number is negative, not finite or too large.
    #[error("not between 0 and {MAX_PER_SECOND}")]
    OutOfRange,
}

/// A rate of requests, with a resolution of one request in a thousand seconds.
///
/// ```
/// use currantlever::RateLimit;
/// let limit: RateLimit = "1.25".parse().unwrap();
/// assert_eq!(limit.milli_per_second(), 1_250);
/// assert_eq!(limit.to_string(), "1.25/s");
/// assert!("1e300".parse::<RateLimit>().is_err());
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RateLimit(u32);

impl RateLimit {
    /// Creates a limit from thousandths of a request per second.
    #[must_use]
    pub const fn new(milli_per_second: u32) -> Self {
        Self(milli_per_second)
    }

    /// Returns the limit in thousandths of a request per second.
    #[must_use]
    pub const fn milli_per_second(self) -> u32 {
        self.0
    }

    /// Returns the limit in requests per second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / 1_000.0
    }
}

impl fmt::Display for RateLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.per_second())
    }
}

impl FromStr for RateLimit {
    type Err = RateLimitError;

    /// Parses requests per second, a decimal number. Digits beyond the resolution are dropped.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the range is checked"
    )]
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let per_second: f64 = text
            .trim()
            .parse()
            .map_err(|_| RateLimitError::NotANumber)?;
        if !(0.0..=MAX_PER_SECOND).contains(&per_second) {
            return Err(RateLimitError::OutOfRange);
        }
        Ok(Self((per_second * 1_000.0) as u32))
    }
}
