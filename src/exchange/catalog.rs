//! Immutable snapshot of the routes, teams and pools of one configuration.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;

use crate::core::ids::{BudgetId, PoolId};
use crate::core::units::Tokens;

/// Whether and how the requests of a route may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// A stream of events that runs at most once.
    Stream,
    /// A stream of events that may be resumed at another replica.
    ResumableStream,
}

impl RouteKind {
    /// Returns true if the answer is a stream of events.
    pub(crate) const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Returns true if a request that may have run may be retried.
    pub(crate) const fn may_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// A pool that receives a weighted share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct WeightedPool {
    /// Id of the pool.
    pub pool: PoolId,
    /// Weight relative to the other pools of the route.
    pub weight: u64,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Route {
    /// Name in the configuration.
    pub name: CompactString,
    /// Host to match.
    pub host: CompactString,
    /// Path prefix to match, with a leading and a trailing slash.
    pub path_prefix: CompactString,
    /// Whether requests may be retried.
    pub kind: RouteKind,
    /// Maximum time for serving a request.
    pub timeout: Duration,
    /// Latency target: an answer within this time has its full value.
    pub latency_target: Duration,
    /// Longest allowed pause between two events of a stream.
    pub event_gap_target: Option<Duration>,
    /// Priority rank; 0 is the highest.
    pub priority: u8,
    /// Pools that serve the requests.
    pub pools: Vec<WeightedPool>,
    /// Maximum number of replicas that one request may be sent to.
    pub max_tries: u32,
    /// True if no API key is required.
    pub is_public: bool,
}

impl Route {
    /// Returns true if a pool serves requests of the route.
    pub(crate) fn has_pool(&self, id: &PoolId) -> bool {
        self.pools.iter().any(|pool| pool.pool == *id)
    }
}

/// A team and its budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Team {
    /// Name in the configuration.
    pub name: CompactString,
    /// Id of the budget, which stands for the name.
    pub budget: BudgetId,
    /// Priority rank that overrides the route's; 0 is the highest.
    pub priority: Option<u8>,
    /// Cumulative prepaid tokens; none if the budget is unlimited.
    pub paid_tokens: Option<Tokens>,
}

/// Properties of the model engines of a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct EngineRules {
    /// Requests that a replica runs concurrently.
    pub slots: u32,
    /// Maximum number of tokens in one event of a stream.
    pub event_tokens: u64,
}

/// A pool of replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PoolRules {
    /// Maximum number of connections to one replica from the whole fleet.
    pub connection_limit: u32,
    /// Engine properties, if the pool serves models.
    pub engine: Option<EngineRules>,
}

/// Size and time limits for requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time for receiving a request head.
    pub head_timeout: Duration,
    /// Maximum time between two requests on a connection.
    pub idle_timeout: Duration,
}

/// All routes, teams and pools of one configuration version.
#[derive(Clone, Debug)]
pub(crate) struct Catalog {
    version: u64,
    routes: HashMap<CompactString, HashMap<CompactString, Arc<Route>>>,
    requires_keys: bool,
    teams: Vec<Arc<Team>>,
    teams_by_key: HashMap<CompactString, Arc<Team>>,
    pools: HashMap<PoolId, PoolRules>,
    limits: CallerLimits,
}

impl Catalog {
    /// Creates an empty catalog.
    pub(crate) fn new(version: u64, limits: CallerLimits) -> Self {
        Self {
            version,
            routes: HashMap::new(),
            requires_keys: false,
            teams: Vec::new(),
            teams_by_key: HashMap::new(),
            pools: HashMap::new(),
            limits,
        }
    }

    /// Adds a route.
    pub(crate) fn add_route(&mut self, route: Route) {
        let routes = self.routes.entry(route.host.clone()).or_default();
        routes.insert(route.path_prefix.clone(), Arc::new(route));
    }

    /// Makes routes that are not public refuse requests without the key of a team, also while there
    /// is no team.
    pub(crate) fn require_keys(&mut self) {
        self.requires_keys = true;
    }

    /// Adds a team with its API keys.
    pub(crate) fn add_team(&mut self, team: Team, keys: Vec<CompactString>) {
        let team = Arc::new(team);
        for key in keys {
            self.teams_by_key.insert(key, Arc::clone(&team));
        }
        self.teams.push(team);
    }

    /// Adds a pool.
    pub(crate) fn add_pool(&mut self, pool: PoolId, rules: PoolRules) {
        self.pools.insert(pool, rules);
    }

    /// Returns the configuration version; monotonically increasing.
    pub(crate) const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the route of the host with the longest prefix of the path.
    pub(crate) fn find_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        let prefix_ends = path.rmatch_indices('/').map(|(index, _)| index + 1);
        prefix_ends
            .into_iter()
            .find_map(|end| routes.get(&path[..end]))
    }

    /// Returns all routes.
    pub(crate) fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flat_map(HashMap::values)
    }

    /// Returns the team that an API key belongs to.
    pub(crate) fn find_team(&self, key: &str) -> Option<&Arc<Team>> {
        self.teams_by_key.get(key)
    }

    /// Returns true if callers of routes that are not public need API keys.
    pub(crate) const fn requires_keys(&self) -> bool {
        self.requires_keys
    }

    /// Returns all teams.
    pub(crate) fn teams(&self) -> &[Arc<Team>] {
        &self.teams
    }

    /// Returns all pools.
    pub(crate) fn pools(&self) -> impl Iterator<Item = (&PoolId, &PoolRules)> {
        self.pools.iter()
    }

    /// Returns the limits for requests of callers.
    pub(crate) const fn limits(&self) -> &CallerLimits {
        &self.limits
    }
}
