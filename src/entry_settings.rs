//! Settings of an entry router, which runs on a platform that provides the store, the addresses for
//! callers and the resource limits.

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
    /// Address that callers connect to.
    pub callers_listen: SocketAddr,
    /// Address of the readiness endpoint for the platform's checks.
    pub ready_listen: SocketAddr,
    /// Address of the endpoint that returns router addresses to callers.
    pub registry_listen: SocketAddr,
    /// Address of the metrics endpoint.
    pub metrics_listen: SocketAddr,
    /// Address for other routers' datagrams and change feed connections.
    pub peer_listen: SocketAddr,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// CPU capacity of the VM, in cores.
    pub cpu_cores: f64,
    /// Largest number of open file descriptors of the process.
    pub max_descriptors: u32,
    /// Memory that the process may use, in megabytes, if it is limited.
    #[serde(default)]
    pub memory_mb: Option<f64>,
    /// Memory for the bodies of requests and answers that are held at the same time, in megabytes; an
    /// eighth of `memory_mb` by default.
    #[serde(default)]
    pub body_memory_mb: Option<f64>,
    /// Time from SIGTERM until the process is killed, in seconds.
    pub grace_s: f64,
    /// The fleet's retry budget.
    pub retries: RetrySettings,
}

/// The fleet's retry budget of each pool.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetrySettings {
    /// Retries per request.
    pub ratio: f64,
    /// Retries in each window in addition to the ratio.
    pub slack: f64,
    /// Length of a window, in seconds.
    pub window_s: f64,
}

impl RetrySettings {
    /// Converts the settings to the rule that the retry budget uses.
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

/// Descriptors not available for connections: files, listeners, the store and other routers.
const RESERVED_DESCRIPTORS: u32 = 300;
/// Connections of callers that a megabyte of the process's memory allows for. Each holds up to 31 KB
/// after a request with a body, and a part of the memory is needed for all else.
const CONNECTIONS_PER_MB: f64 = 18.0;
/// Share of the connections that memory allows for, as a divisor, by which the number of callers must
/// be below it for the usual idle timeout to apply.
const CROWD_DIVISOR: usize = 8;
/// Descriptors kept free of callers for new connections to replicas: a share, as a divisor, and at
/// least this number.
const REPLICA_RESERVE_DIVISOR: usize = 16;
const MIN_REPLICA_RESERVE: usize = 16;
/// Connections that may wait to be accepted, for each megabyte of the process's memory. What they
/// have sent counts towards it.
const BACKLOG_PER_MB: f64 = 4.0;
const MIN_BACKLOG: u32 = 128;
const MAX_BACKLOG: u32 = 1_024;
/// Share of the process's memory that bodies may use by default, as a divisor.
const BODY_MEMORY_DIVISOR: f64 = 8.0;
/// Memory for bodies if that of the process is not limited, in megabytes.
const DEFAULT_BODY_MEMORY_MB: f64 = 128.0;
const BYTES_PER_MB: f64 = 1_048_576.0;

impl EntrySettings {
    /// Returns the number of connections that descriptors and memory allow for.
    #[must_use]
    pub fn max_connections(&self) -> usize {
        let by_descriptors = self.connections_by_descriptors();
        let by_memory = self.connections_by_memory();
        by_memory.map_or(by_descriptors, |number| number.min(by_descriptors))
    }

    /// Returns the number of connections of callers that may be open beside a number of others.
    #[must_use]
    pub fn max_callers(&self, other_connections: usize) -> usize {
        let all = self.connections_by_descriptors();
        let reserve = MIN_REPLICA_RESERVE.max(all / REPLICA_RESERVE_DIVISOR);
        let by_descriptors = all.saturating_sub(other_connections + reserve).max(all / 2);
        let by_memory = self.connections_by_memory();
        let number = by_memory.map_or(by_descriptors, |number| number.min(by_descriptors));
        number.max(1)
    }

    /// Returns the number of connections of callers from which on idle ones are closed sooner.
    #[must_use]
    pub fn crowded_from(&self) -> usize {
        self.connections_by_memory()
            .map_or(usize::MAX, |number| number - number / CROWD_DIVISOR)
    }

    /// Returns the number of connections that may wait to be accepted.
    #[must_use]
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "checked ranges"
    )]
    pub fn accept_backlog(&self) -> u32 {
        let by_memory = self.memory_mb.map_or(f64::MAX, |mb| mb * BACKLOG_PER_MB);
        (by_memory as u32).clamp(MIN_BACKLOG, MAX_BACKLOG)
    }

    /// Returns the memory for bodies, in bytes.
    #[must_use]
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "checked ranges"
    )]
    pub fn body_memory_bytes(&self) -> usize {
        let default_mb = self
            .memory_mb
            .map_or(DEFAULT_BODY_MEMORY_MB, |mb| mb / BODY_MEMORY_DIVISOR);
        (self.body_memory_mb.unwrap_or(default_mb) * BYTES_PER_MB) as usize
    }

    fn connections_by_descriptors(&self) -> usize {
        self.max_descriptors
            .saturating_sub(RESERVED_DESCRIPTORS)
            .max(1) as usize
    }

    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "checked ranges"
    )]
    fn connections_by_memory(&self) -> Option<usize> {
        self.memory_mb
            .map(|mb| ((mb * CONNECTIONS_PER_MB) as usize).max(1))
    }

    /// Returns the CPU capacity of the VM, in thousandths of a core.
    #[must_use]
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "checked ranges"
    )]
    pub fn cpu_millis(&self) -> u32 {
        (self.cpu_cores * 1_000.0) as u32
    }

    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Fails with the setting and reason of the first invalid value.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let settings: Self = read_json(path)?;
        settings.check()?;
        Ok(settings)
    }

    /// Checks that all values are within their ranges.
    ///
    /// # Errors
    ///
    /// Fails with the setting and reason of the first invalid value.
    pub fn check(&self) -> Result<(), SettingsError> {
        check_range("cpu_cores", self.cpu_cores, 0.001, 1_000.0)?;
        check_range(
            "max_descriptors",
            f64::from(self.max_descriptors),
            512.0,
            1e9,
        )?;
        if let Some(memory_mb) = self.memory_mb {
            check_range("memory_mb", memory_mb, 1.0, 1e9)?;
        }
        if let Some(body_memory_mb) = self.body_memory_mb {
            check_range("body_memory_mb", body_memory_mb, 0.1, 1e9)?;
        }
        check_range("grace_s", self.grace_s, 0.5, 3_600.0)?;
        check_range("retries.ratio", self.retries.ratio, 0.0, 10.0)?;
        check_range("retries.slack", self.retries.slack, 0.0, 1_000_000.0)?;
        check_range("retries.window_s", self.retries.window_s, 0.1, 3_600.0)
    }
}

fn check_range(setting: &'static str, value: f64, min: f64, max: f64) -> Result<(), SettingsError> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(SettingsError::Range {
        setting,
        reason: format!("{value} is not between {min} and {max}"),
    })
}
