//! Decodes the operator's configuration.

use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Deserializer};
use thiserror::Error;

use crate::core::ids::{BudgetId, PoolId};
use crate::core::units::Tokens;
use crate::exchange::catalog::{
    CallerLimits, Catalog, EngineRules, PoolRules, Route, RouteKind, Team, WeightedPool,
};

/// Most tries of a request whose route sets no limit.
const DEFAULT_MAX_TRIES: u32 = 1;
/// Weight of the only pool of a route that is not split.
const UNSPLIT_WEIGHT: u64 = 1;

/// The configuration cannot be decoded.
#[derive(Debug, Error)]
#[error("configuration: {reason}")]
pub(crate) struct ConfigError {
    reason: String,
}

#[derive(Debug, Deserialize)]
struct WireConfig {
    version: u64,
    #[serde(default)]
    routes: Vec<WireRoute>,
    #[serde(default)]
    services: Vec<WireService>,
    limits: WireLimits,
    /// Keys are needed as soon as there is a list, even an empty one.
    #[serde(default, deserialize_with = "deserialize_present")]
    tenants: Option<Vec<WireTenant>>,
}

#[derive(Debug, Deserialize)]
struct WireRoute {
    name: CompactString,
    host: CompactString,
    path_prefix: CompactString,
    #[serde(rename = "type")]
    kind: CompactString,
    timeout_ms: f64,
    #[serde(default)]
    slo_ms: f64,
    #[serde(default)]
    priority: u8,
    #[serde(default)]
    service: Option<CompactString>,
    #[serde(default)]
    split: Vec<WireSplit>,
    #[serde(default)]
    max_attempts: Option<u32>,
    #[serde(default)]
    public: bool,
    #[serde(default)]
    resumable: bool,
    #[serde(default)]
    gap_aim_ms: Option<f64>,
}

#[derive(Debug, Deserialize)]
struct WireSplit {
    service: CompactString,
    weight: u64,
}

#[derive(Debug, Deserialize)]
struct WireService {
    name: CompactString,
    #[serde(default)]
    max_conns: Option<u32>,
    #[serde(default)]
    engine: Option<WireEngine>,
}

#[derive(Debug, Deserialize)]
struct WireEngine {
    slots: u32,
    /// Tokens per event of a stream.
    #[serde(default)]
    stride: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct WireLimits {
    max_header_bytes: usize,
    max_body_bytes: usize,
    header_timeout_ms: u64,
    idle_timeout_ms: u64,
}

#[derive(Debug, Deserialize)]
struct WireTenant {
    name: CompactString,
    #[serde(default)]
    api_keys: Vec<CompactString>,
    #[serde(default)]
    priority: Option<u8>,
    #[serde(default)]
    prepaid: Option<u64>,
}

/// Decodes a field that may be missing, but not null.
fn deserialize_present<'de, D, T>(deserializer: D) -> Result<Option<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    T::deserialize(deserializer).map(Some)
}

/// Decodes the operator's configuration from JSON.
pub(crate) fn decode_catalog(json: &str) -> Result<Catalog, ConfigError> {
    let wire: WireConfig = serde_json::from_str(json).map_err(config_error)?;
    let limits = CallerLimits {
        max_head_bytes: wire.limits.max_header_bytes,
        max_body_bytes: wire.limits.max_body_bytes,
        head_timeout: Duration::from_millis(wire.limits.header_timeout_ms),
        idle_timeout: Duration::from_millis(wire.limits.idle_timeout_ms),
    };
    let mut catalog = Catalog::new(wire.version, limits);
    for service in wire.services {
        let pool = PoolId::new(service.name).map_err(config_error)?;
        let engine = service.engine.map(|engine| EngineRules {
            slots: engine.slots,
            event_tokens: engine.stride.unwrap_or(1),
        });
        let connection_limit = service.max_conns.unwrap_or(u32::MAX);
        catalog.add_pool(
            pool,
            PoolRules {
                connection_limit,
                engine,
            },
        );
    }
    for route in wire.routes {
        catalog.add_route(decode_route(route)?);
    }
    if wire.tenants.is_some() {
        catalog.require_keys();
    }
    for tenant in wire.tenants.unwrap_or_default() {
        let team = Team {
            budget: BudgetId::new(tenant.name).map_err(config_error)?,
            priority: tenant.priority,
            paid_tokens: tenant.prepaid.map(Tokens::new),
        };
        catalog.add_team(team, tenant.api_keys);
    }
    Ok(catalog)
}

fn decode_route(wire: WireRoute) -> Result<Route, ConfigError> {
    let kind = match (wire.kind.as_str(), wire.resumable) {
        ("idempotent", _) => RouteKind::Idempotent,
        ("streaming", true) => RouteKind::ResumableStream,
        ("streaming", false) => RouteKind::Stream,
        // An unknown type gets the most restrictive handling.
        _ => RouteKind::NonIdempotent,
    };
    let mut pools = Vec::new();
    for split in wire.split {
        pools.push(WeightedPool {
            pool: PoolId::new(split.service).map_err(config_error)?,
            weight: split.weight,
        });
    }
    if let Some(service) = wire.service {
        pools.push(WeightedPool {
            pool: PoolId::new(service).map_err(config_error)?,
            weight: UNSPLIT_WEIGHT,
        });
    }
    Ok(Route {
        name: wire.name,
        host: wire.host,
        path_prefix: wire.path_prefix,
        kind,
        timeout: millis(wire.timeout_ms),
        latency_target: millis(wire.slo_ms),
        event_gap_target: wire.gap_aim_ms.map(millis),
        priority: wire.priority,
        pools,
        max_tries: wire.max_attempts.unwrap_or(DEFAULT_MAX_TRIES),
        is_public: wire.public,
    })
}

fn millis(value_ms: f64) -> Duration {
    Duration::try_from_secs_f64(value_ms / 1_000.0).unwrap_or(Duration::MAX)
}

fn config_error(error: impl std::fmt::Display) -> ConfigError {
    ConfigError {
        reason: error.to_string(),
    }
}
