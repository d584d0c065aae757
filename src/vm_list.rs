//! The platform's list of live and leaving VMs. The list lags behind the actual state of the VMs,
//! so it is used only as a hint.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};
use thiserror::Error;

use crate::core::ids::{FailureDomain, PoolId, ReplicaId, VmId};

/// Timeout of a request for the VM list.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Lifecycle state of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum VmState {
    /// In service.
    Live,
    /// About to be removed; receives no new work.
    Leaving,
}

/// A VM in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmRecord {
    /// Name of the VM.
    pub vm: VmId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Its lifecycle state.
    pub state: VmState,
    /// What runs on it.
    pub role: VmRole,
}

/// What runs on a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum VmRole {
    /// A router of this system.
    Entry {
        /// Address for callers.
        address: SocketAddr,
        /// Address for other routers.
        peer_address: SocketAddr,
    },
    /// A backend server: one replica of a pool.
    Replica {
        /// Name of the replica.
        replica: ReplicaId,
        /// Its pool.
        pool: PoolId,
        /// Its address.
        address: SocketAddr,
    },
}

/// The VM list could not be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("cannot read the VM list: {reason}")]
pub struct VmListError {
    /// The transport error.
    pub reason: String,
}

/// A source of the VM list.
#[async_trait]
pub trait VmList: fmt::Debug + Send + Sync {
    /// Reads the whole list.
    async fn read(&self) -> Result<Vec<VmRecord>, VmListError>;
}

/// Reads the VM list over HTTP.
#[derive(Clone, Debug)]
pub struct HttpVmList {
    client: reqwest::Client,
    url: CompactString,
}

impl HttpVmList {
    /// Creates a client for the platform at a base URL.
    #[must_use]
    pub fn new(client: reqwest::Client, platform_url: &str) -> Self {
        let url = compact_str::format_compact!("{platform_url}/v1/vms");
        Self { client, url }
    }
}

#[async_trait]
impl VmList for HttpVmList {
    async fn read(&self) -> Result<Vec<VmRecord>, VmListError> {
        let to_error = |error: reqwest::Error| VmListError {
            reason: error.to_string(),
        };
        let request = self.client.get(self.url.as_str()).timeout(CALL_TIMEOUT);
        let response = request.send().await.map_err(to_error)?;
        let response = response.error_for_status().map_err(to_error)?;
        response.json().await.map_err(to_error)
    }
}
