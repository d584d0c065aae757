//! Decodes the entries by which replicas register.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;

use crate::core::ids::{FailureDomain, IdError, PoolId, ReplicaId, ReplicaVersion};
use crate::exchange::pools::ReplicaEntry;
use crate::store::kinds::KindObject;

#[derive(Debug, Deserialize)]
struct WireServer {
    service: CompactString,
    address: SocketAddr,
    zone: CompactString,
    #[serde(default)]
    slots: Option<u32>,
    /// `ready` or `draining`.
    phase: CompactString,
    #[serde(default)]
    born: Option<u64>,
    /// A text, unless another program wrote the entry.
    #[serde(default)]
    version: Value,
}

/// An entry that names no usable replica.
#[derive(Debug, Error)]
pub(crate) enum EntryError {
    /// It is no JSON of an entry.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// It has an unknown phase.
    #[error("unknown phase")]
    Phase,
    /// A name in it is malformed.
    #[error(transparent)]
    Name(#[from] IdError),
}

/// Decodes an entry.
///
/// # Errors
///
/// Fails for an entry that is malformed or has an unknown phase, as other programs write to this
/// kind too.
pub(crate) fn decode_replica(object: &KindObject) -> Result<ReplicaEntry, EntryError> {
    let wire: WireServer = serde_json::from_str(object.value.get())?;
    let is_draining = match wire.phase.as_str() {
        "ready" => false,
        "draining" => true,
        _ => return Err(EntryError::Phase),
    };
    Ok(ReplicaEntry {
        id: ReplicaId::new(object.name.clone())?,
        pool: PoolId::from_any_name(&wire.service),
        address: wire.address,
        failure_domain: FailureDomain::new(wire.zone)?,
        slots: wire.slots,
        is_draining,
        born_ms: wire.born,
        version: decode_version(&wire.version),
    })
}

/// Decodes a version. A replica without a usable one can serve; only its streams cannot go on
/// elsewhere.
fn decode_version(version: &Value) -> Option<ReplicaVersion> {
    ReplicaVersion::new(version.as_str()?).ok()
}
