//! Which version a stream of unknown origin has, where it can have only one.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::time::Instant;

use super::catalog::{Catalog, Route};
use super::pools::Pools;
use super::stream_routes::{StreamLives, StreamRoutes};
use crate::core::ids::{PoolId, ReplicaVersion};
use crate::store::health::StoreHealth;
use crate::util::lock;

/// The version of all streams of a pool that may be in progress.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SingleVersion {
    /// The pool.
    pub pool: PoolId,
    /// The version.
    pub version: ReplicaVersion,
    /// Time for which this has been known.
    pub age: Duration,
}

/// Finds pools whose replicas have all had the same version for as long as a stream lives.
#[derive(Debug)]
pub(crate) struct SingleVersions {
    pools: Arc<Pools>,
    store_health: Arc<StoreHealth>,
    routes: Mutex<StreamRoutes>,
}

impl SingleVersions {
    /// Creates a finder that knows no routes.
    pub(crate) fn new(pools: Arc<Pools>, store_health: Arc<StoreHealth>) -> Self {
        Self {
            pools,
            store_health,
            routes: Mutex::default(),
        }
    }

    /// Applies a configuration.
    pub(crate) fn apply_catalog(&self, catalog: &Catalog) {
        lock(&self.routes).apply_catalog(catalog, Instant::now());
    }

    /// Returns the version of all streams of a route that may be in progress, if they have the same
    /// one by lists known to be current.
    pub(crate) fn find(&self, route: &Route) -> Option<SingleVersion> {
        let lives = lock(&self.routes).find(route, Instant::now())?;
        self.find_in(lives)
    }

    /// Returns the same for all routes to a pool together.
    pub(crate) fn find_in_pool(&self, pool: &PoolId) -> Option<SingleVersion> {
        let lives = lock(&self.routes).find_pool(pool, Instant::now())?;
        self.find_in(lives)
    }

    fn find_in(&self, lives: StreamLives) -> Option<SingleVersion> {
        let lists_since = self.store_health.lists_current_since()?;
        let complete_since = lists_since.max(lives.since);
        let version = self
            .pools
            .single_version(&lives.pool, complete_since, lives.life)?;
        Some(SingleVersion {
            pool: lives.pool,
            version,
            age: complete_since.elapsed(),
        })
    }
}
