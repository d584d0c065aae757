//! Token amounts with saturating arithmetic.

use std::fmt;
use std::iter::Sum;
use std::num::ParseIntError;
use std::ops::{Add, AddAssign, Sub, SubAssign};
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// A number of tokens.
///
/// Arithmetic saturates at the ends of the range: a counter never wraps, and a difference that
/// would be negative is zero.
///
/// ```
/// use currantlever::Tokens;
/// assert_eq!(Tokens::new(3) + Tokens::new(4), Tokens::new(7));
/// assert_eq!(Tokens::new(3) - Tokens::new(4), Tokens::ZERO);
/// assert_eq!("42".parse::<Tokens>().unwrap().to_string(), "42");
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Tokens(u64);

impl Tokens {
    /// Zero tokens.
    pub const ZERO: Self = Self(0);
    /// The largest amount; no budget reaches it.
    pub const MAX: Self = Self(u64::MAX);

    /// Creates an amount from a plain count.
    #[must_use]
    pub const fn new(count: u64) -> Self {
        Self(count)
    }

    /// Returns true when the amount is zero.
    #[must_use]
    #[allow(
        clippy::trivially_copy_pass_by_ref,
        reason = "named in serde attributes"
    )]
    pub const fn is_zero(&self) -> bool {
        self.0 == 0
    }

    /// Returns the plain count.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Converts an estimate, rounded down; a negative value or NaN becomes zero.
    ///
    /// ```
    /// use currantlever::Tokens;
    /// assert_eq!(Tokens::from_estimate(2.9), Tokens::new(2));
    /// assert_eq!(Tokens::from_estimate(-1.0), Tokens::ZERO);
    /// ```
    #[must_use]
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the cast saturates at both ends"
    )]
    pub const fn from_estimate(count: f64) -> Self {
        Self(count as u64)
    }

    /// Returns the count as a float, for estimates; large counts lose precision.
    ///
    /// ```
    /// use currantlever::Tokens;
    /// assert!((Tokens::new(3).as_estimate() * 0.5 - 1.5).abs() < 1e-9);
    /// ```
    #[must_use]
    #[allow(clippy::cast_precision_loss, reason = "an estimate")]
    pub const fn as_estimate(self) -> f64 {
        self.0 as f64
    }

    /// Returns the amount multiplied by `numerator / denominator`, rounded down.
    ///
    /// # Panics
    ///
    /// Panics when `denominator` is zero.
    #[must_use]
    pub fn scaled(self, numerator: u64, denominator: u64) -> Self {
        let product = u128::from(self.0) * u128::from(numerator) / u128::from(denominator);
        Self(u64::try_from(product).unwrap_or(u64::MAX))
    }
}

impl Add for Tokens {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Tokens {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl Sub for Tokens {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl SubAssign for Tokens {
    fn sub_assign(&mut self, other: Self) {
        *self = *self - other;
    }
}

impl Sum for Tokens {
    fn sum<I>(amounts: I) -> Self
    where
        I: Iterator<Item = Self>,
    {
        amounts.fold(Self::ZERO, Add::add)
    }
}

impl fmt::Display for Tokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for Tokens {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}
