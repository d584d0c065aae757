//! How long streams of each route may live, and since when the route has had the same pools.

use std::collections::HashMap;
use std::time::Duration;

use compact_str::CompactString;
use tokio::time::Instant;

use super::catalog::{Catalog, Route};
use crate::core::ids::PoolId;

/// Time beyond the route's timeout for which a stream may live: a replica may begin streams for
/// about 2 s after its entry was removed, and callers take a stream up after its attempt has ended.
const STREAM_LIFE_MARGIN: Duration = Duration::from_secs(4);

/// Host and path prefix.
type RouteKey = (CompactString, CompactString);

/// Longest life of a stream under one or more versions of a route.
#[derive(Clone, Copy, Debug)]
struct StreamLife {
    life: Duration,
    /// When these versions were replaced; `None` for the present version.
    ended_at: Option<Instant>,
}

impl StreamLife {
    fn is_over(&self, now: Instant) -> bool {
        self.ended_at
            .is_some_and(|ended_at| ended_at + self.life <= now)
    }
}

#[derive(Clone, Debug)]
struct StreamRoute {
    pools: Vec<PoolId>,
    pools_since: Instant,
    lives: Vec<StreamLife>,
}

impl StreamRoute {
    fn new(route: &Route, now: Instant) -> Self {
        Self {
            pools: pools_of(route),
            pools_since: now,
            lives: vec![life_of(route)],
        }
    }

    fn apply(&mut self, route: &Route, now: Instant) {
        let pools = pools_of(route);
        if self.pools != pools {
            self.pools = pools;
            self.pools_since = now;
        }
        self.lives.retain(|life| !life.is_over(now));
        let present = life_of(route);
        let last = self.lives.iter_mut().find(|life| life.ended_at.is_none());
        match last {
            Some(last) if last.life == present.life => {}
            Some(last) => {
                last.ended_at = Some(now);
                self.lives.push(present);
            }
            None => self.lives.push(present),
        }
    }

    /// Applies the removal of a route with a longer prefix, whose streams this route takes up now.
    fn absorb(&mut self, removed: &Self, now: Instant) {
        self.pools_since = now;
        let lives = removed.lives.iter().filter(|life| !life.is_over(now));
        self.lives.extend(lives.map(|life| StreamLife {
            ended_at: life.ended_at.or(Some(now)),
            ..*life
        }));
    }

    fn life(&self, now: Instant) -> Duration {
        let lives = self.lives.iter().filter(|life| !life.is_over(now));
        lives.map(|life| life.life).max().unwrap_or_default()
    }
}

fn pools_of(route: &Route) -> Vec<PoolId> {
    let mut pools: Vec<PoolId> = route.pools.iter().map(|pool| pool.pool.clone()).collect();
    pools.sort_unstable();
    pools
}

fn life_of(route: &Route) -> StreamLife {
    StreamLife {
        life: route.timeout + STREAM_LIFE_MARGIN,
        ended_at: None,
    }
}

/// How long streams of a pool may live, and since when they all belong to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct StreamLives {
    /// The only pool of these streams.
    pub pool: PoolId,
    /// Since when it has been the only pool of all streams that may be taken up there.
    pub since: Instant,
    /// Longest life of such a stream.
    pub life: Duration,
}

/// The routes of streams in the present configuration and those that it replaced.
#[derive(Debug, Default)]
pub(super) struct StreamRoutes {
    routes: HashMap<RouteKey, StreamRoute>,
}

impl StreamRoutes {
    /// Applies a configuration.
    pub(super) fn apply_catalog(&mut self, catalog: &Catalog, now: Instant) {
        let mut removed = std::mem::take(&mut self.routes);
        for route in catalog.routes().filter(|route| route.kind.is_stream()) {
            let key = (route.host.clone(), route.path_prefix.clone());
            let state = match removed.remove(&key) {
                Some(mut known) => {
                    known.apply(route, now);
                    known
                }
                None => StreamRoute::new(route, now),
            };
            self.routes.insert(key, state);
        }
        for ((host, prefix), route) in &removed {
            let shorter = self.routes.iter_mut().filter(|((other_host, other), _)| {
                host == other_host && prefix.starts_with(other.as_str())
            });
            for (_, shorter) in shorter {
                shorter.absorb(route, now);
            }
        }
    }

    /// Returns what is known of the streams of a route, if it has a single pool.
    pub(super) fn find(&self, route: &Route, now: Instant) -> Option<StreamLives> {
        let key = (route.host.clone(), route.path_prefix.clone());
        let known = self.routes.get(&key)?;
        let [pool] = known.pools.as_slice() else {
            return None;
        };
        Some(StreamLives {
            pool: pool.clone(),
            since: known.pools_since,
            life: known.life(now),
        })
    }

    /// Returns what is known of the streams of all routes to a pool, if none of these has another
    /// pool too.
    pub(super) fn find_pool(&self, pool: &PoolId, now: Instant) -> Option<StreamLives> {
        let routes = self.routes.values();
        let routes = routes.filter(|route| route.pools.contains(pool));
        let lives = routes.map(|route| {
            (route.pools.len() == 1).then(|| StreamLives {
                pool: pool.clone(),
                since: route.pools_since,
                life: route.life(now),
            })
        });
        lives.reduce(|first, second| {
            let (first, second) = (first?, second?);
            Some(StreamLives {
                pool: first.pool,
                since: first.since.max(second.since),
                life: first.life.max(second.life),
            })
        })?
    }
}
