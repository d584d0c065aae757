//! Settings of an entry router: one that runs on a platform which gives it a store, callers'
//! addresses and its bounds.

use std::net::SocketAddr;
use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::core::ids::{FailureDomain, VmId};
use crate::core::retry_share::RetryRule;
use crate::settings::{read_json, SettingsError};

/// Settings of an entry router, in JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Name of the VM.
    pub vm: VmId,
    /// Failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// Address for callers.
    pub callers_listen: SocketAddr,
    /// Address for the platform's checks.
    pub ready_listen: SocketAddr,
    /// Address for callers that ask where to connect.
    pub registry_listen: SocketAddr,
    /// Address for the metrics.
    pub metrics_listen: SocketAddr,
    /// Address for other routers' datagrams.
    pub peer_listen: SocketAddr,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Processor time that the VM has, in cores.
    pub cpu_cores: f64,
    /// Descriptors that the process may hold open.
    pub max_descriptors: u32,
    /// Time from SIGTERM until the process is killed.
    pub grace_s: f64,
    /// What the fleet may repeat.
    pub retries: RetrySettings,
}

/// The fleet's retry budget for each pool.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetrySettings {
    /// Repeats per request.
    pub ratio: f64,
    /// Repeats beyond the ratio in each window.
    pub slack: f64,
    /// Length of a window.
    pub window_s: f64,
}

impl RetrySettings {
    /// The rule for the core.
    #[must_use]
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "checked ranges"
    )]
    pub fn rule(&self) -> RetryRule {
        RetryRule {
            ratio: self.ratio,
            slack: self.slack as u64,
            window_ms: (self.window_s * 1_000.0) as u64,
        }
    }
}

impl EntrySettings {
    /// Processor time that the VM has, in thousandths of a core.
    #[must_use]
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "checked ranges"
    )]
    pub fn cpu_millis(&self) -> u32 {
        (self.cpu_cores * 1_000.0) as u32
    }

    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails with the place and reason of the first fault.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let settings: Self = read_json(path)?;
        settings.check()?;
        Ok(settings)
    }

    /// Checks the ranges of all values.
    ///
    /// # Errors
    ///
    /// Fails with the place and reason of the first fault.
    pub fn check(&self) -> Result<(), SettingsError> {
        check_range("cpu_cores", self.cpu_cores, 0.001, 1_000.0)?;
        check_range(
            "max_descriptors",
            f64::from(self.max_descriptors),
            512.0,
            1e9,
        )?;
        check_range("grace_s", self.grace_s, 0.5, 3_600.0)?;
        check_range("retries.ratio", self.retries.ratio, 0.0, 10.0)?;
        check_range("retries.slack", self.retries.slack, 0.0, 1_000_000.0)?;
        check_range("retries.window_s", self.retries.window_s, 0.1, 3_600.0)
    }
}

fn check_range(
    place: &'static str,
    value: f64,
    least: f64,
    most: f64,
) -> Result<(), SettingsError> {
    if (least..=most).contains(&value) {
        return Ok(());
    }
    Err(SettingsError::Range {
        place,
        reason: format!("{value} is not between {least} and {most}"),
    })
}
