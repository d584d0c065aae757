//! Decodes the entries by which replicas register.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::Deserialize;
use serde_json::Value;

use crate::core::ids::{FailureDomain, PoolId, ReplicaId, ReplicaVersion};
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

/// Decodes an entry. Returns none for an entry that is malformed or has an unknown phase, as other
/// programs write to this kind too.
pub(crate) fn decode_replica(object: &KindObject) -> Option<ReplicaEntry> {
    let wire: WireServer = serde_json::from_str(object.value.get()).ok()?;
    let is_draining = match wire.phase.as_str() {
        "ready" => false,
        "draining" => true,
        _ => return None,
    };
    Some(ReplicaEntry {
        id: ReplicaId::new(object.name.clone()).ok()?,
        pool: PoolId::new(wire.service).ok()?,
        address: wire.address,
        failure_domain: FailureDomain::new(wire.zone).ok()?,
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
