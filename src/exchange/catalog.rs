//! What the operators' lists allow, as one immutable snapshot.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;

use crate::core::ids::{BudgetId, PoolId};
use crate::core::units::Tokens;

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// A stream of events that runs at most once.
    Stream,
    /// A stream of events that may go on at another replica.
    ResumableStream,
}

impl RouteKind {
    /// True when the answer is a stream of events.
    pub(crate) const fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// True when a request that may have run may be sent again.
    pub(crate) const fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// A pool that gets a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct WeightedPool {
    /// The pool.
    pub pool: PoolId,
    /// Its weight among the route's pools.
    pub weight: u64,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Route {
    /// Its name in the list.
    pub name: CompactString,
    /// Host that it serves.
    pub host: CompactString,
    /// Start of the paths that it serves, with a slash at both ends.
    pub path_prefix: CompactString,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer earns its full worth.
    pub aim: Duration,
    /// Longest pause between two events.
    pub event_pause: Option<Duration>,
    /// Rank, 0 first.
    pub priority: u8,
    /// Where its requests go.
    pub pools: Vec<WeightedPool>,
    /// Most replicas that one request may be sent to.
    pub max_tries: u32,
    /// True when no key is needed.
    pub is_public: bool,
}

/// A team and its budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Team {
    /// Its name, which is also the name of its budget.
    pub budget: BudgetId,
    /// Rank that goes before the route's.
    pub priority: Option<u8>,
    /// Cumulative prepaid amount; none if it is not limited.
    pub paid_tokens: Option<Tokens>,
}

/// The engines behind a pool, where it has some.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct EngineRules {
    /// Requests that a replica works on at once.
    pub slots: u32,
    /// Most tokens that one event of a stream holds.
    pub event_tokens: u64,
}

/// A pool of replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PoolRules {
    /// Connections that one replica takes from the whole fleet.
    pub connection_limit: u32,
    /// The engines, if the pool serves models.
    pub engine: Option<EngineRules>,
}

/// What a caller may send and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallerLimits {
    /// Largest head of a request.
    pub max_head_bytes: usize,
    /// Largest body.
    pub max_body_bytes: usize,
    /// Longest time to send a head.
    pub head_timeout: Duration,
    /// Longest time between two requests of a connection.
    pub idle_timeout: Duration,
}

/// All routes, teams and pools of one version.
#[derive(Clone, Debug)]
pub(crate) struct Catalog {
    version: u64,
    routes: HashMap<CompactString, HashMap<CompactString, Arc<Route>>>,
    teams: Vec<Arc<Team>>,
    teams_by_key: HashMap<CompactString, Arc<Team>>,
    pools: HashMap<PoolId, PoolRules>,
    limits: CallerLimits,
}

impl Catalog {
    /// A catalog without entries.
    pub(crate) fn new(version: u64, limits: CallerLimits) -> Self {
        Self {
            version,
            routes: HashMap::new(),
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

    /// Adds a team with its keys.
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

    /// Version of the lists; only rises.
    pub(crate) const fn version(&self) -> u64 {
        self.version
    }

    /// The route with the longest prefix that begins the path.
    pub(crate) fn find_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        let ends = path.rmatch_indices('/').map(|(index, _)| index + 1);
        ends.into_iter().find_map(|end| routes.get(&path[..end]))
    }

    /// The team that has a key.
    pub(crate) fn find_team(&self, key: &str) -> Option<&Arc<Team>> {
        self.teams_by_key.get(key)
    }

    /// True when callers need keys.
    pub(crate) fn has_teams(&self) -> bool {
        !self.teams.is_empty()
    }

    /// All teams.
    pub(crate) fn teams(&self) -> &[Arc<Team>] {
        &self.teams
    }

    /// All pools.
    pub(crate) fn pools(&self) -> impl Iterator<Item = (&PoolId, &PoolRules)> {
        self.pools.iter()
    }

    /// What callers may send.
    pub(crate) const fn limits(&self) -> &CallerLimits {
        &self.limits
    }
}
