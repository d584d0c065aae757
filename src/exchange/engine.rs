//! Takes a request in: authenticates, routes and reserves, then hands it to a run.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use rand::RngExt;
use slog::Logger;
use tokio::time::Instant;

use super::catalog::{Catalog, Route, Team};
use super::grants::{Grants, Reservation};
use super::metrics::ExchangeMetrics;
use super::pools::Pools;
use super::record::RequestRecord;
use super::request::{ExchangeRequest, RejectKind, Rejection, ReplicaTransport, Reply};
use super::run::Run;
use super::server_ends::ServerEnds;
use super::suspects::Suspects;
use crate::core::ids::PoolId;
use crate::core::placement::PromptWish;
use crate::core::quarantine::Fingerprint;
use crate::core::units::Tokens;
use crate::store::health::StoreHealth;
use crate::util::stable_hash;

/// Advice when the configuration is not known or no replica is in service.
const NOT_READY_RETRY: Duration = Duration::from_millis(500);
/// Advice of a router that is shutting down: another one can serve at once.
const LEAVING_RETRY: Duration = Duration::from_millis(20);
/// Time that a caller is served within if it names no deadline and the route is unknown.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(30);

/// The parts of one router that serve requests.
#[derive(Debug)]
pub(crate) struct Exchange {
    catalog: ArcSwapOption<Catalog>,
    store_health: Arc<StoreHealth>,
    is_closed: AtomicBool,
    pub(super) pools: Arc<Pools>,
    grants: Arc<Grants>,
    pub(super) transport: Arc<dyn ReplicaTransport>,
    pub(super) server_ends: Arc<ServerEnds>,
    pub(super) suspects: Arc<Suspects>,
    metrics: Arc<ExchangeMetrics>,
    pub(super) log: Logger,
}

impl Exchange {
    /// An exchange without lists.
    pub(crate) fn new(
        pools: Arc<Pools>,
        grants: Arc<Grants>,
        transport: Arc<dyn ReplicaTransport>,
        server_ends: Arc<ServerEnds>,
        store_health: Arc<StoreHealth>,
        metrics: Arc<ExchangeMetrics>,
        log: Logger,
    ) -> Self {
        Self {
            catalog: ArcSwapOption::empty(),
            store_health,
            is_closed: AtomicBool::new(false),
            pools,
            grants,
            transport,
            suspects: Arc::clone(server_ends.suspects()),
            server_ends,
            metrics,
            log,
        }
    }

    /// The lists in force.
    pub(crate) fn catalog(&self) -> Option<Arc<Catalog>> {
        self.catalog.load_full()
    }

    /// Puts newer lists in force. Returns false when they are not newer.
    pub(crate) fn learn_catalog(&self, catalog: Catalog) -> bool {
        let present = self.catalog.load();
        if present
            .as_ref()
            .is_some_and(|present| present.version() >= catalog.version())
        {
            return false;
        }
        self.pools.learn_catalog(&catalog);
        self.grants.learn_catalog(&catalog);
        self.catalog.store(Some(Arc::new(catalog)));
        true
    }

    /// Takes no further requests.
    pub(crate) fn close(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
    }

    /// Serves a request. Dropping the future cancels it at the replica.
    pub(crate) async fn serve(self: &Arc<Self>, request: ExchangeRequest) -> Reply {
        let mut record = RequestRecord::new(
            self.log.clone(),
            Arc::clone(&self.metrics),
            request.attempt.clone(),
            request.arrived,
        );
        match self.start(request, &mut record).await {
            Ok(start) => start.into_run(self, record).serve().await,
            Err(rejection) => {
                record.note_rejected(rejection.kind);
                Reply::Rejected(rejection)
            }
        }
    }

    /// Authenticates, routes and reserves.
    async fn start(
        &self,
        request: ExchangeRequest,
        record: &mut RequestRecord,
    ) -> Result<Start, Rejection> {
        if self.is_closed.load(Ordering::Relaxed) {
            return Err(Rejection::new(RejectKind::Leaving).with_retry_after(LEAVING_RETRY));
        }
        let Some(catalog) = self.catalog() else {
            return Err(not_ready());
        };
        record.config_version = catalog.version();
        if request.attempt.is_empty() {
            return Err(Rejection::new(RejectKind::BadRequest));
        }
        let found = catalog.find_route(&request.host, request.path());
        let Some(route) = found.cloned() else {
            return Err(self.unknown(RejectKind::NoRoute));
        };
        record.route.clone_from(&route.name);
        let key = request.key.as_deref();
        let team = key.and_then(|key| catalog.find_team(key)).cloned();
        if team.is_none() && catalog.has_teams() && !route.is_public {
            return Err(self.unknown(RejectKind::UnknownKey));
        }
        if let Some(team) = &team {
            record.team = team.budget.as_str().into();
        }
        let fingerprint = fingerprint_of(&request, team.as_deref());
        record.fingerprint = Some(fingerprint);
        if let Some(left) = self.suspects.quarantined_for(fingerprint) {
            return Err(Rejection::new(RejectKind::Quarantined).with_retry_after(left));
        }
        let rank = team
            .as_ref()
            .and_then(|team| team.priority)
            .unwrap_or(route.priority);
        record.rank = rank;
        let Some(pool) = pick_pool(&route) else {
            return Err(not_ready());
        };
        record.pool = pool.as_str().into();
        let patience = request.patience.unwrap_or(DEFAULT_PATIENCE);
        let deadline = request.arrived + patience.min(route.timeout);
        let reservation = self
            .reserve(&request, team.as_ref(), &route, record)
            .await?;
        Ok(Start {
            request,
            fingerprint,
            route,
            team,
            pool,
            deadline,
            rank,
            reservation,
        })
    }

    async fn reserve(
        &self,
        request: &ExchangeRequest,
        team: Option<&Arc<Team>>,
        route: &Route,
        record: &mut RequestRecord,
    ) -> Result<Option<Reservation>, Rejection> {
        let (Some(team), Some(bound)) = (team, request.tokens) else {
            return Ok(None);
        };
        if team.paid_tokens.is_none() {
            return Ok(None);
        }
        let tokens = bound.total_tokens();
        record.reserved_tokens = tokens.get();
        let reserved = self
            .grants
            .reserve(&team.budget, route.priority, tokens)
            .await;
        record.grant = self.grants.note(&team.budget);
        reserved.map(Some)
    }

    /// A rejection that is only certain while newer lists would be heard of.
    fn unknown(&self, kind: RejectKind) -> Rejection {
        if self.store_health.is_failing() {
            return not_ready();
        }
        Rejection::new(kind)
    }
}

/// One of the route's pools, by their weights.
fn pick_pool(route: &Route) -> Option<PoolId> {
    let total: u64 = route.pools.iter().map(|pool| pool.weight).sum();
    let mut place = rand::rng().random_range(0..total.max(1));
    for pool in &route.pools {
        if place < pool.weight {
            return Some(pool.pool.clone());
        }
        place -= pool.weight;
    }
    route.pools.first().map(|pool| pool.pool.clone())
}

/// A request that may go to a replica.
struct Start {
    request: ExchangeRequest,
    fingerprint: Fingerprint,
    route: Arc<Route>,
    team: Option<Arc<Team>>,
    pool: PoolId,
    deadline: Instant,
    rank: u8,
    reservation: Option<Reservation>,
}

impl Start {
    fn into_run(self, exchange: &Arc<Exchange>, record: RequestRecord) -> Run {
        Run {
            exchange: Arc::clone(exchange),
            prompt: prompt_wish(&self.request),
            rank: self.rank,
            fingerprint: self.fingerprint,
            request: self.request,
            route: self.route,
            pool: self.pool,
            deadline: self.deadline,
            record,
            reservation: self.reservation,
            team: self.team,
            tried: Vec::new(),
            sends: 0,
            unsent: 0,
            may_have_run: false,
            output_tokens: Tokens::ZERO,
        }
    }
}

/// Digest of what makes a request the same when it is sent again: caller, path and body.
fn fingerprint_of(request: &ExchangeRequest, team: Option<&Team>) -> Fingerprint {
    let team = team.map_or("", |team| team.budget.as_str());
    Fingerprint::from_parts(&[
        team.as_bytes(),
        request.method.as_str().as_bytes(),
        request.target.as_bytes(),
        &request.body,
    ])
}

/// The prompt's length, and its parts but the last, which no other request shares.
fn prompt_wish(request: &ExchangeRequest) -> Option<PromptWish> {
    let bound = request.tokens?;
    let shared = request
        .prompt_parts
        .split_last()
        .map_or(&[][..], |(_, shared)| shared);
    let ids: Vec<String> = shared.iter().map(|part| part.id.to_string()).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    Some(PromptWish {
        prompt_tokens: bound.prompt_tokens.get(),
        shared_tokens: shared
            .iter()
            .map(|part| u64::from(part.length_tokens))
            .sum(),
        shared_key: stable_hash(&ids),
    })
}

fn not_ready() -> Rejection {
    Rejection::new(RejectKind::NotReady).with_retry_after(NOT_READY_RETRY)
}
