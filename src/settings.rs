//! Settings of one router process, read from a JSON file.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::core::ids::{FailureDomain, VmId};

/// Settings of a router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the VM.
    pub vm: VmId,
    /// Failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// Address for callers and operators.
    pub listen: SocketAddr,
    /// Address for other routers.
    pub peer_listen: SocketAddr,
    /// Address that is advertised to callers; `listen` if absent.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Address that is advertised to other routers; `peer_listen` if absent.
    #[serde(default)]
    pub peer_advertise: Option<SocketAddr>,
    /// Base URL of the platform's object API.
    pub platform_url: CompactString,
    /// File with the shared secret by which routers authenticate to one another.
    pub fleet_secret_file: PathBuf,
    /// TLS certificate and key of the server for callers; plain HTTP if absent.
    #[serde(default)]
    pub tls: Option<TlsSettings>,
    /// Maximum size of a request body.
    #[serde(default = "defaults::max_body_bytes")]
    pub max_body_bytes: u64,
    /// Memory for the bodies of all requests that are held at the same time. A single one is always
    /// held.
    #[serde(default = "defaults::body_memory_bytes")]
    pub body_memory_bytes: u64,
    /// Interval at which grants are checked and refilled.
    #[serde(default = "defaults::refill_ms")]
    pub refill_ms: u64,
    /// Interval at which bills are written to the platform.
    #[serde(default = "defaults::bill_flush_ms")]
    pub bill_flush_ms: u64,
    /// Time for which callers may cache the advertised addresses.
    #[serde(default = "defaults::address_ttl_ms")]
    pub address_ttl_ms: u64,
    /// Maximum time that a draining router waits for requests in progress.
    #[serde(default = "defaults::drain_ms")]
    pub drain_ms: u64,
}

/// TLS files of the server for callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsSettings {
    /// PEM file with the certificate chain.
    pub certificate_file: PathBuf,
    /// PEM file with the private key.
    pub key_file: PathBuf,
}

mod defaults {
    pub(super) const fn max_body_bytes() -> u64 {
        1 << 20
    }

    pub(super) const fn body_memory_bytes() -> u64 {
        32 << 20
    }

    pub(super) const fn refill_ms() -> u64 {
        250
    }

    pub(super) const fn bill_flush_ms() -> u64 {
        500
    }

    pub(super) const fn address_ttl_ms() -> u64 {
        5_000
    }

    pub(super) const fn drain_ms() -> u64 {
        600_000
    }
}

/// Why settings are invalid.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The file is not valid JSON or does not match the settings' schema.
    #[error("{}: {place}: {reason}", path.display())]
    Parse {
        /// The file.
        path: PathBuf,
        /// Path of the field.
        place: String,
        /// What is wrong with it.
        reason: String,
    },
    /// A value is out of its range.
    #[error("{setting}: {reason}")]
    Range {
        /// Path of the field.
        setting: &'static str,
        /// What is wrong with it.
        reason: String,
    },
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Fails with the field and reason of the first invalid setting, or when the file cannot be
    /// read.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let settings: Self = read_json(path)?;
        settings.check()?;
        Ok(settings)
    }

    /// Validates the ranges of all values.
    ///
    /// # Errors
    ///
    /// Fails with the field and reason of the first invalid setting.
    pub fn check(&self) -> Result<(), SettingsError> {
        check_range("max_body_bytes", self.max_body_bytes, 1_024, 64 << 20)?;
        check_range("body_memory_bytes", self.body_memory_bytes, 65_536, 1 << 40)?;
        check_range("refill_ms", self.refill_ms, 10, 10_000)?;
        check_range("bill_flush_ms", self.bill_flush_ms, 10, 10_000)?;
        check_range("address_ttl_ms", self.address_ttl_ms, 100, 3_600_000)?;
        check_range("drain_ms", self.drain_ms, 1_000, 86_400_000)?;
        if !self.platform_url.starts_with("http://") && !self.platform_url.starts_with("https://") {
            let reason = format!("{:?} is no http or https URL", self.platform_url.as_str());
            return Err(SettingsError::Range {
                setting: "platform_url",
                reason,
            });
        }
        Ok(())
    }

    /// Returns the address that is advertised to other routers.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_advertise.unwrap_or(self.peer_listen)
    }
}

fn check_range(
    setting: &'static str,
    value: u64,
    low: u64,
    high: u64,
) -> Result<(), SettingsError> {
    if (low..=high).contains(&value) {
        return Ok(());
    }
    let reason = format!("{value} is outside {low} to {high}");
    Err(SettingsError::Range { setting, reason })
}

/// Reads a JSON settings file into a type; a parse error contains the path of the first invalid
/// field.
pub(crate) fn read_json<T>(path: &Path) -> Result<T, SettingsError>
where
    T: serde::de::DeserializeOwned,
{
    let text = fs::read(path).map_err(|source| SettingsError::Read {
        path: path.to_owned(),
        source,
    })?;
    let mut deserializer = serde_json::Deserializer::from_slice(&text);
    serde_path_to_error::deserialize(&mut deserializer).map_err(|error| SettingsError::Parse {
        path: path.to_owned(),
        place: error.path().to_string(),
        reason: error.inner().to_string(),
    })
}
