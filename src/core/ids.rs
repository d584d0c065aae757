//! Validated identifiers.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Start of the ids that stand for names which are not valid themselves.
const DIGEST_PREFIX: &str = "name:";
/// Bytes of a digest in such an id: enough that no two names share one.
const DIGEST_BYTES: usize = 16;

/// Reason for which a text was rejected as an identifier.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum IdError {
    /// The text is empty.
    #[error("the name is empty")]
    Empty,
    /// The text is longer than [`MAX_NAME_BYTES`].
    #[error("the name has {length_bytes} bytes, more than {MAX_NAME_BYTES}")]
    TooLong {
        /// Length of the text, in bytes.
        length_bytes: usize,
    },
    /// The text contains a character outside `A-Z a-z 0-9 . _ : -`.
    #[error("the name holds {found:?}; allowed are letters, digits and . _ : -")]
    Character {
        /// The first disallowed character.
        found: char,
    },
    /// The text is not 16 hexadecimal digits.
    #[error("a holder id has 16 hexadecimal digits")]
    NotHex,
}

/// Bits of a holder id that hold the incarnation number.
const INCARNATION_MASK: u64 = 0xff;

fn check_length(text: &str) -> Result<(), IdError> {
    if text.is_empty() {
        return Err(IdError::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(IdError::TooLong {
            length_bytes: text.len(),
        });
    }
    Ok(())
}

fn check_name(text: &str) -> Result<(), IdError> {
    check_length(text)?;
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || ".:_-".contains(c);
    match text.chars().find(|c| !is_allowed(*c)) {
        Some(found) => Err(IdError::Character { found }),
        None => Ok(()),
    }
}

/// Returns a valid name that stands for an invalid one.
fn name_digest(name: &str) -> CompactString {
    let digest = Sha256::digest(name.as_bytes());
    let digest = hex::encode(&digest[..DIGEST_BYTES]);
    compact_str::format_compact!("{DIGEST_PREFIX}{digest}")
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "CompactString", into = "CompactString")]
        pub struct $name(CompactString);

        impl $name {
            /// Validates a name.
            ///
            /// # Errors
            ///
            /// Fails when the text is empty, too long or contains a disallowed character.
            pub fn new<T>(text: T) -> Result<Self, IdError>
            where
                T: Into<CompactString>,
            {
                let text = text.into();
                check_name(&text)?;
                Ok(Self(text))
            }

            /// Returns the id that stands for a name of any form: the name itself where it is valid,
            /// else a digest of it.
            ///
            /// # Examples
            ///
            /// ```
            /// use currantlever::BudgetId;
            ///
            /// assert_eq!(BudgetId::from_any_name("red").as_str(), "red");
            /// let spaced = BudgetId::from_any_name("Paju Bindery");
            /// assert_eq!(spaced, BudgetId::from_any_name("Paju Bindery"));
            /// assert_ne!(spaced, BudgetId::from_any_name("Paju  Bindery"));
            /// ```
            #[must_use]
            pub fn from_any_name(name: &str) -> Self {
                Self::new(name).unwrap_or_else(|_| Self(name_digest(name)))
            }

            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                Self::new(text)
            }
        }

        impl TryFrom<CompactString> for $name {
            type Error = IdError;

            fn try_from(text: CompactString) -> Result<Self, Self::Error> {
                Self::new(text)
            }
        }

        impl From<$name> for CompactString {
            fn from(name: $name) -> Self {
                name.0
            }
        }
    };
}

name_type!(
    /// A team: one paying customer.
    TeamId
);
name_type!(
    /// A plan: the terms that a team bought.
    PlanId
);
name_type!(
    /// A prepaid budget of a team.
    BudgetId
);
name_type!(
    /// A pool of replicas that serve the same models or the same plain service.
    PoolId
);
name_type!(
    /// A model, by the name that callers use.
    ModelId
);
name_type!(
    /// A plain service, by the name that callers use.
    ServiceId
);
name_type!(
    /// One replica in a pool.
    ReplicaId
);
/// Version of the software that a replica runs.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "CompactString", into = "CompactString")]
pub struct ReplicaVersion(CompactString);

impl ReplicaVersion {
    /// Validates a version. Unlike a name it may contain any character.
    ///
    /// # Errors
    ///
    /// Fails when the text is empty or too long.
    ///
    /// # Examples
    ///
    /// ```
    /// use currantlever::ReplicaVersion;
    ///
    /// let version = ReplicaVersion::new("2.1+cuda")?;
    /// assert_eq!(version.as_str(), "2.1+cuda");
    /// assert!(ReplicaVersion::new("").is_err());
    /// # Ok::<(), currantlever::IdError>(())
    /// ```
    pub fn new<T>(text: T) -> Result<Self, IdError>
    where
        T: Into<CompactString>,
    {
        let text = text.into();
        check_length(&text)?;
        Ok(Self(text))
    }

    /// Returns the version as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for ReplicaVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

impl FromStr for ReplicaVersion {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::new(text)
    }
}

impl TryFrom<CompactString> for ReplicaVersion {
    type Error = IdError;

    fn try_from(text: CompactString) -> Result<Self, Self::Error> {
        Self::new(text)
    }
}

impl From<ReplicaVersion> for CompactString {
    fn from(version: ReplicaVersion) -> Self {
        version.0
    }
}

name_type!(
    /// A failure domain.
    FailureDomain
);
name_type!(
    /// A virtual machine of the fleet.
    VmId
);
name_type!(
    /// A request id, unique within its team. Read from the caller's `Idempotency-Key` header.
    ///
    /// ```
    /// use currantlever::RequestId;
    /// assert!("order-17".parse::<RequestId>().is_ok());
    /// assert!("two words".parse::<RequestId>().is_err());
    /// ```
    RequestId
);

/// One start of a router process, and one incarnation of its grant within that process.
///
/// The low byte holds the incarnation number: a live router whose grant was sealed by mistake
/// continues under the next incarnation. A restarted router gets a new process id.
///
/// ```
/// use currantlever::HolderId;
/// let holder = HolderId::new(0xfeed);
/// assert_eq!(holder.to_string(), "000000000000feed");
/// assert_eq!("000000000000feed".parse(), Ok(holder));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "CompactString", into = "CompactString")]
pub struct HolderId(u64);

impl HolderId {
    /// Creates the id of an incarnation from its raw value.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the id of the first incarnation of a process that drew this random number.
    #[must_use]
    pub const fn from_random(random: u64) -> Self {
        Self(random & !INCARNATION_MASK)
    }

    /// Returns the first incarnation's id, which identifies the process start.
    #[must_use]
    pub const fn process(self) -> Self {
        Self(self.0 & !INCARNATION_MASK)
    }

    /// Returns the id of the next incarnation of the same process; wraps around after the last.
    #[must_use]
    pub const fn next_incarnation(self) -> Self {
        let next = self.0.wrapping_add(1) & INCARNATION_MASK;
        Self((self.0 & !INCARNATION_MASK) | next)
    }

    /// Returns the raw value.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for HolderId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for HolderId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_hex = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
        if !is_hex {
            return Err(IdError::NotHex);
        }
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| IdError::NotHex)
    }
}

impl TryFrom<CompactString> for HolderId {
    type Error = IdError;

    fn try_from(text: CompactString) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<HolderId> for CompactString {
    fn from(holder: HolderId) -> Self {
        compact_str::format_compact!("{holder}")
    }
}
