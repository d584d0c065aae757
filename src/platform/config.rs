//! Decodes the operator's configuration.

use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
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

/// A part of a configuration that cannot be used and is left out, so that it does not hold back the
/// others.
#[derive(Debug)]
pub(crate) struct LeftOut {
    /// What it is: a route, a service, a team or the limits.
    pub part: &'static str,
    /// Its place in its list.
    pub index: usize,
    /// Why it cannot be used.
    pub reason: String,
}

#[derive(Debug, Deserialize)]
struct WireConfig<'a> {
    version: u64,
    #[serde(borrow, default)]
    routes: Vec<&'a RawValue>,
    #[serde(borrow, default)]
    services: Vec<&'a RawValue>,
    #[serde(borrow)]
    limits: &'a RawValue,
    /// Keys are needed as soon as there is a list, even an empty one.
    #[serde(borrow, default, deserialize_with = "deserialize_present")]
    tenants: Option<Vec<&'a RawValue>>,
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

/// Limits in place of unusable ones.
const DEFAULT_LIMITS: WireLimits = WireLimits {
    max_header_bytes: 16 * 1_024,
    max_body_bytes: 4 << 20,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
};

/// Decodes the operator's configuration from JSON. Parts that cannot be used are left out.
///
/// # Errors
///
/// Fails if the version or one of the lists cannot be read.
pub(crate) fn decode_catalog(json: &str) -> Result<(Catalog, Vec<LeftOut>), ConfigError> {
    let wire: WireConfig<'_> = serde_json::from_str(json).map_err(config_error)?;
    let mut left_out = Vec::new();
    let limits = decode_part(wire.limits, "limits", 0, &mut left_out).unwrap_or(DEFAULT_LIMITS);
    let mut catalog = Catalog::new(wire.version, limits.decode());
    let services = decode_parts::<WireService>(&wire.services, "service", &mut left_out);
    for service in services {
        let (pool, rules) = service.decode();
        catalog.add_pool(pool, rules);
    }
    for route in decode_parts::<WireRoute>(&wire.routes, "route", &mut left_out) {
        catalog.add_route(decode_route(route));
    }
    if let Some(tenants) = wire.tenants {
        catalog.require_keys();
        for tenant in decode_parts::<WireTenant>(&tenants, "team", &mut left_out) {
            let (team, keys) = tenant.decode();
            catalog.add_team(team, keys);
        }
    }
    Ok((catalog, left_out))
}

/// Decodes all parts of a list that can be used.
fn decode_parts<'de, T>(
    parts: &[&'de RawValue],
    part: &'static str,
    left_out: &mut Vec<LeftOut>,
) -> Vec<T>
where
    T: Deserialize<'de>,
{
    let parts = parts.iter().enumerate();
    parts
        .filter_map(|(index, value)| decode_part(value, part, index, left_out))
        .collect()
}

fn decode_part<'de, T>(
    value: &'de RawValue,
    part: &'static str,
    index: usize,
    left_out: &mut Vec<LeftOut>,
) -> Option<T>
where
    T: Deserialize<'de>,
{
    match serde_json::from_str(value.get()) {
        Ok(value) => Some(value),
        Err(error) => {
            left_out.push(LeftOut {
                part,
                index,
                reason: error.to_string(),
            });
            None
        }
    }
}

impl WireLimits {
    const fn decode(&self) -> CallerLimits {
        CallerLimits {
            max_head_bytes: self.max_header_bytes,
            max_body_bytes: self.max_body_bytes,
            head_timeout: Duration::from_millis(self.header_timeout_ms),
            idle_timeout: Duration::from_millis(self.idle_timeout_ms),
        }
    }
}

impl WireService {
    fn decode(self) -> (PoolId, PoolRules) {
        let engine = self.engine.map(|engine| EngineRules {
            slots: engine.slots,
            event_tokens: engine.stride.unwrap_or(1),
        });
        let rules = PoolRules {
            connection_limit: self.max_conns.unwrap_or(u32::MAX),
            engine,
        };
        (PoolId::from_any_name(&self.name), rules)
    }
}

impl WireTenant {
    fn decode(self) -> (Team, Vec<CompactString>) {
        let team = Team {
            budget: BudgetId::from_any_name(&self.name),
            name: self.name,
            priority: self.priority,
            paid_tokens: self.prepaid.map(Tokens::new),
        };
        (team, self.api_keys)
    }
}

fn decode_route(wire: WireRoute) -> Route {
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
            pool: PoolId::from_any_name(&split.service),
            weight: split.weight,
        });
    }
    if let Some(service) = wire.service {
        pools.push(WeightedPool {
            pool: PoolId::from_any_name(&service),
            weight: UNSPLIT_WEIGHT,
        });
    }
    Route {
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
    }
}

fn millis(value_ms: f64) -> Duration {
    Duration::try_from_secs_f64(value_ms / 1_000.0).unwrap_or(Duration::MAX)
}

fn config_error(error: impl std::fmt::Display) -> ConfigError {
    ConfigError {
        reason: error.to_string(),
    }
}
