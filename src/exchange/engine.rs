//! Admission of requests: authentication, routing and token reservation.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use rand::RngExt;
use slog::Logger;
use tokio::time::Instant;

use super::catalog::{Catalog, Route, Team};
use super::dispatch_progress::DispatchProgress;
use super::grants::{Grants, Reservation};
use super::metrics::ExchangeMetrics;
use super::permits::Permits;
use super::pools::Pools;
use super::record::RequestRecord;
use super::request::{
    ExchangeRequest, RejectKind, Rejection, ReplicaTransport, Reply, ResumePoint,
};
use super::run::Run;
use super::server_crashes::ServerCrashes;
use super::single_version::SingleVersions;
use super::stream_origins::StreamOrigins;
use super::suspects::Suspects;
use crate::body_memory::BodyMemory;
use crate::core::ids::PoolId;
use crate::core::part_quarantine::PartId;
use crate::core::placement::PromptInfo;
use crate::core::quarantine::Fingerprint;
use crate::core::units::Tokens;
use crate::store::health::StoreHealth;
use crate::util::stable_hash;

/// `Retry-After` when no configuration is known or the route has no pool.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// `Retry-After` during graceful shutdown; short because another router can serve immediately.
const LEAVING_RETRY_AFTER: Duration = Duration::from_millis(20);
/// Time limit for a request whose caller sent no deadline; the timeout of the route also applies.
const DEFAULT_TIME_LIMIT: Duration = Duration::from_secs(30);

/// Serves the requests of one router: admission, replica choice and relaying of answers.
#[derive(Debug)]
pub(crate) struct Exchange {
    catalog: ArcSwapOption<Catalog>,
    pub(super) single_versions: Arc<SingleVersions>,
    pub(super) origins: Arc<StreamOrigins>,
    store_health: Arc<StoreHealth>,
    is_closed: AtomicBool,
    pub(super) pools: Arc<Pools>,
    grants: Arc<Grants>,
    pub(super) transport: Arc<dyn ReplicaTransport>,
    pub(super) server_crashes: Arc<ServerCrashes>,
    pub(super) suspects: Arc<Suspects>,
    pub(super) permits: Arc<Permits>,
    pub(super) body_memory: Arc<BodyMemory>,
    pub(super) metrics: Arc<ExchangeMetrics>,
    pub(super) log: Logger,
}

/// Parts that an exchange works with.
#[derive(Debug)]
pub(crate) struct ExchangeParts {
    /// The replicas.
    pub pools: Arc<Pools>,
    /// This router's grants.
    pub grants: Arc<Grants>,
    /// Client for replicas.
    pub transport: Arc<dyn ReplicaTransport>,
    /// Lost connections and suspect requests.
    pub server_crashes: Arc<ServerCrashes>,
    /// Permits for rate-limited replicas.
    pub permits: Arc<Permits>,
    /// Origins of streams.
    pub origins: Arc<StreamOrigins>,
    /// Pools with a single version.
    pub single_versions: Arc<SingleVersions>,
    /// Whether the store answers.
    pub store_health: Arc<StoreHealth>,
    /// Memory for bodies.
    pub body_memory: Arc<BodyMemory>,
    /// Metrics.
    pub metrics: Arc<ExchangeMetrics>,
}

impl Exchange {
    /// Creates an exchange without a configuration; it rejects requests until one is in force.
    pub(crate) fn new(parts: ExchangeParts, log: Logger) -> Self {
        Self {
            catalog: ArcSwapOption::empty(),
            single_versions: parts.single_versions,
            origins: parts.origins,
            store_health: parts.store_health,
            is_closed: AtomicBool::new(false),
            pools: parts.pools,
            grants: parts.grants,
            transport: parts.transport,
            suspects: Arc::clone(parts.server_crashes.suspects()),
            server_crashes: parts.server_crashes,
            permits: parts.permits,
            body_memory: parts.body_memory,
            metrics: parts.metrics,
            log,
        }
    }

    /// Returns the metrics.
    pub(crate) const fn metrics(&self) -> &Arc<ExchangeMetrics> {
        &self.metrics
    }

    /// Returns the memory for bodies.
    pub(crate) const fn body_memory(&self) -> &Arc<BodyMemory> {
        &self.body_memory
    }

    /// Returns the configuration in force, if any.
    pub(crate) fn catalog(&self) -> Option<Arc<Catalog>> {
        self.catalog.load_full()
    }

    /// Puts a newer configuration in force. Returns false if its version is not newer.
    pub(crate) fn apply_catalog(&self, catalog: Catalog) -> bool {
        let present = self.catalog.load();
        if present
            .as_ref()
            .is_some_and(|present| present.version() >= catalog.version())
        {
            return false;
        }
        self.pools.apply_catalog(&catalog);
        self.single_versions.apply_catalog(&catalog);
        self.grants.apply_catalog(&catalog);
        self.catalog.store(Some(Arc::new(catalog)));
        true
    }

    /// Stops admitting requests.
    pub(crate) fn close(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
    }

    /// Creates the record of a request whose head was read.
    pub(crate) fn new_record(&self, request: &ExchangeRequest) -> RequestRecord {
        RequestRecord::new(
            self.log.clone(),
            Arc::clone(&self.metrics),
            request.attempt.clone(),
            request.arrived,
        )
    }

    /// Checks by its head whether a request can be admitted, before its body takes memory.
    ///
    /// # Errors
    ///
    /// Returns the rejection to send if it cannot.
    pub(crate) fn check_unread(
        &self,
        request: &ExchangeRequest,
        record: &mut RequestRecord,
    ) -> Result<(), Rejection> {
        self.authorize(request, record).map(drop)
    }

    /// Returns until when the body of a request is waited for. Later it could not be served.
    pub(crate) fn body_deadline(&self, request: &ExchangeRequest) -> Instant {
        let catalog = self.catalog();
        let route = catalog
            .as_ref()
            .and_then(|catalog| catalog.find_route(&request.host, request.path()));
        let timeout = route.map_or(DEFAULT_TIME_LIMIT, |route| route.timeout);
        let time_limit = request.time_left.unwrap_or(DEFAULT_TIME_LIMIT);
        request.arrived + time_limit.min(timeout)
    }

    /// Serves a request. Dropping the future cancels the request at the replica.
    pub(crate) async fn serve(
        self: &Arc<Self>,
        request: ExchangeRequest,
        mut record: RequestRecord,
    ) -> Reply {
        match self.admit(request, &mut record).await {
            Ok(admitted) => admitted.into_run(self, record).serve().await,
            Err(rejection) => {
                record.set_rejected(rejection.kind);
                Reply::Rejected(rejection)
            }
        }
    }

    /// Authenticates and routes a request by its head.
    fn authorize(
        &self,
        request: &ExchangeRequest,
        record: &mut RequestRecord,
    ) -> Result<(Arc<Route>, Option<Arc<Team>>), Rejection> {
        if self.is_closed.load(Ordering::Relaxed) {
            return Err(Rejection::new(RejectKind::Leaving).with_retry_after(LEAVING_RETRY_AFTER));
        }
        let Some(catalog) = self.catalog() else {
            return Err(not_ready_rejection());
        };
        record.config_version = catalog.version();
        if request.attempt.is_empty() {
            return Err(Rejection::new(RejectKind::BadRequest));
        }
        let found = catalog.find_route(&request.host, request.path());
        let Some(route) = found.cloned() else {
            return Err(self.not_found_rejection(RejectKind::NoRoute));
        };
        record.route.clone_from(&route.name);
        let key = request.key.as_deref();
        let team = key.and_then(|key| catalog.find_team(key)).cloned();
        if team.is_none() && catalog.requires_keys() && !route.is_public {
            return Err(self.not_found_rejection(RejectKind::UnknownKey));
        }
        if let Some(team) = &team {
            record.team.clone_from(&team.name);
        }
        Ok((route, team))
    }

    /// Authenticates and routes a request and reserves its tokens.
    ///
    /// # Errors
    ///
    /// Returns the rejection to send if the request is not admitted.
    async fn admit(
        &self,
        request: ExchangeRequest,
        record: &mut RequestRecord,
    ) -> Result<AdmittedRequest, Rejection> {
        // The request may wait from here on, so it keeps no version of the configuration in memory.
        let (route, team) = self.authorize(&request, record)?;
        let fingerprint = fingerprint_of(&request, team.as_deref());
        record.fingerprint = Some(fingerprint);
        if let Some(remaining) = self.suspects.quarantined_for(fingerprint) {
            return Err(Rejection::new(RejectKind::Quarantined).with_retry_after(remaining));
        }
        let parts = shared_parts(&request);
        if let Some((part, remaining)) = self.quarantined_part(&parts) {
            record.quarantined_part = Some(part);
            return Err(Rejection::new(RejectKind::Quarantined).with_retry_after(remaining));
        }
        let rank = team
            .as_ref()
            .and_then(|team| team.priority)
            .unwrap_or(route.priority);
        record.rank = rank;
        let resume = match &request.resume {
            Some(resume) if route.kind.is_stream() => {
                let team = team.as_deref();
                Some(self.resolve_origin(resume, &route, team, record).await?)
            }
            _ => None,
        };
        let resume_pool = resume.as_ref().map(|resume| resume.origin.pool.clone());
        let Some(pool) = resume_pool.or_else(|| pick_weighted_pool(&route)) else {
            return Err(not_ready_rejection());
        };
        record.pool = pool.as_str().into();
        let time_limit = request.time_left.unwrap_or(DEFAULT_TIME_LIMIT);
        let deadline = request.arrived + time_limit.min(route.timeout);
        let reservation = self
            .reserve(&request, team.as_ref(), &route, record)
            .await?;
        Ok(AdmittedRequest {
            request,
            resume,
            fingerprint,
            parts,
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

    /// Returns the first quarantined part and the rest of its quarantine, if there is one.
    pub(super) fn quarantined_part(&self, parts: &[PartId]) -> Option<(PartId, Duration)> {
        self.suspects.parts().quarantined_for(parts)
    }

    /// Returns a rejection for an unknown route or key. Unless the lists are known to be current, a
    /// newer configuration may exist that knows it, so the rejection is `NotReady` instead.
    fn not_found_rejection(&self, kind: RejectKind) -> Rejection {
        if self.store_health.is_unavailable() || !self.store_health.are_lists_current() {
            return not_ready_rejection();
        }
        Rejection::new(kind)
    }
}

/// Picks one of the route's pools at random, by weight.
fn pick_weighted_pool(route: &Route) -> Option<PoolId> {
    let total: u64 = route.pools.iter().map(|pool| pool.weight).sum();
    let mut offset = rand::rng().random_range(0..total.max(1));
    for pool in &route.pools {
        if offset < pool.weight {
            return Some(pool.pool.clone());
        }
        offset -= pool.weight;
    }
    route.pools.first().map(|pool| pool.pool.clone())
}

/// A request that was admitted and may be sent to a replica.
struct AdmittedRequest {
    request: ExchangeRequest,
    resume: Option<ResumePoint>,
    fingerprint: Fingerprint,
    parts: Arc<[PartId]>,
    route: Arc<Route>,
    team: Option<Arc<Team>>,
    pool: PoolId,
    deadline: Instant,
    rank: u8,
    reservation: Option<Reservation>,
}

impl AdmittedRequest {
    fn into_run(self, exchange: &Arc<Exchange>, record: RequestRecord) -> Run {
        Run {
            exchange: Arc::clone(exchange),
            prompt: prompt_info(&self.request),
            rank: self.rank,
            fingerprint: self.fingerprint,
            parts: self.parts,
            has_first_token: false,
            resume: self.resume,
            origin: None,
            request: self.request,
            route: self.route,
            pool: self.pool,
            deadline: self.deadline,
            record,
            reservation: self.reservation,
            team: self.team,
            tried_replicas: Vec::new(),
            sent_count: 0,
            unsent_count: 0,
            refused_count: 0,
            may_have_run: false,
            output_tokens: Tokens::ZERO,
            progress: DispatchProgress::new(),
        }
    }
}

/// Returns the digest of the parts that stay the same when a caller repeats a request: team,
/// method, path and body.
fn fingerprint_of(request: &ExchangeRequest, team: Option<&Team>) -> Fingerprint {
    let team = team.map_or("", |team| team.budget.as_str());
    Fingerprint::from_parts(&[
        team.as_bytes(),
        request.method.as_str().as_bytes(),
        request.target.as_bytes(),
        &request.body,
    ])
}

/// Returns the parts of the prompt but the last, which no other request shares.
fn shared_parts(request: &ExchangeRequest) -> Arc<[PartId]> {
    let parts = request.prompt_parts.split_last();
    let shared = parts.map_or(&[][..], |(_, shared)| shared);
    shared.iter().map(|part| PartId::new(part.id)).collect()
}

/// Returns the length of the prompt and a digest of all its parts but the last, which no other
/// request shares.
fn prompt_info(request: &ExchangeRequest) -> Option<PromptInfo> {
    let bound = request.tokens?;
    let shared = request
        .prompt_parts
        .split_last()
        .map_or(&[][..], |(_, shared)| shared);
    let ids: Vec<String> = shared.iter().map(|part| part.id.to_string()).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    Some(PromptInfo {
        prompt_tokens: bound.prompt_tokens.get(),
        shared_tokens: shared
            .iter()
            .map(|part| u64::from(part.length_tokens))
            .sum(),
        shared_key: stable_hash(&ids),
    })
}

fn not_ready_rejection() -> Rejection {
    Rejection::new(RejectKind::NotReady).with_retry_after(NOT_READY_RETRY_AFTER)
}
