//! Decides at which software version a stream goes on.

use std::time::Duration;

use compact_str::{format_compact, CompactString, ToCompactString};
use tokio::time::Instant;

use super::catalog::{Route, RouteKind, Team};
use super::chosen_replica::ChosenReplica;
use super::engine::Exchange;
use super::record::{OriginNote, RefusedResume, RequestRecord};
use super::relay::OpenStream;
use super::request::{RejectKind, Rejection, ResumePoint, ResumeRequest};
use super::run::Run;
use super::stream_origins::FoundOrigin;
use crate::core::ids::{PoolId, ReplicaVersion};
use crate::core::stream_origin::{StreamId, StreamOrigin};

/// Digest that stands for any replica in the origin of a stream whose replica is unknown.
const UNKNOWN_REPLICA: u32 = 0;
/// `Retry-After` when no other router is known yet, or none replied.
const NO_REPLY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Source of a version that is stated in the entry of the stream's replica.
const FROM_ENTRY: &str = "entry of the replica";
/// Source of a version that all replicas have had for as long as a stream lives.
const FROM_SINGLE_VERSION: &str = "only version of the pool";

/// The origin of a stream that a caller takes up, and how it is known.
struct ResolvedOrigin {
    origin: StreamOrigin,
    source: CompactString,
    /// Time for which it has been known.
    age: Duration,
}

impl ResolvedOrigin {
    /// Resolves to the only version that streams of a pool can have, whichever replica began them.
    fn of_single_version(
        pool: PoolId,
        version: ReplicaVersion,
        source: CompactString,
        age: Duration,
    ) -> Self {
        Self {
            origin: StreamOrigin {
                pool,
                replica: UNKNOWN_REPLICA,
                born_ms: None,
                version,
            },
            source,
            age,
        }
    }
}

/// Returns the id by which all routers know the stream that an attempt of a team began.
fn stream_id(team: Option<&Team>, attempt: &str) -> StreamId {
    StreamId::new(team.map_or("", |team| team.budget.as_str()), attempt)
}

impl Exchange {
    /// Determines where a stream that a caller takes up may go on.
    ///
    /// # Errors
    ///
    /// Returns a rejection if the stream's version is unknown, or no replica in service has it.
    pub(super) async fn resolve_origin(
        &self,
        resume: &ResumeRequest,
        route: &Route,
        team: Option<&Team>,
        record: &mut RequestRecord,
    ) -> Result<ResumePoint, Rejection> {
        record.resumes.clone_from(&resume.first_attempt);
        let resolved = self.find_resume_point(resume, route, team, record).await;
        match &resolved {
            Ok(_) => record.count_stream_resume("taken_up"),
            Err(rejection) => record.count_stream_resume(&rejection.kind.to_string()),
        }
        resolved
    }

    async fn find_resume_point(
        &self,
        resume: &ResumeRequest,
        route: &Route,
        team: Option<&Team>,
        record: &mut RequestRecord,
    ) -> Result<ResumePoint, Rejection> {
        let found = self.find_origin(resume, route, team).await?;
        if !route.has_pool(&found.origin.pool) || self.pools.is_origin_uncertain(&found.origin) {
            return Err(Rejection::new(RejectKind::OriginUnknown));
        }
        record.origin = Some(OriginNote {
            version: found.origin.version.clone(),
            source: found.source,
            known_at: Instant::now().checked_sub(found.age),
        });
        if !self.pools.has_version(&found.origin) {
            return Err(Rejection::new(RejectKind::VersionGone));
        }
        Ok(ResumePoint {
            last_event_id: resume.last_event_id,
            origin: found.origin,
        })
    }

    /// Returns what began a stream: as this router or others know it, else by the only version that
    /// it can have. The lists may lag behind a router that began a stream at a new version, so
    /// others are asked first.
    ///
    /// # Errors
    ///
    /// Returns a rejection if nobody knows it.
    async fn find_origin(
        &self,
        resume: &ResumeRequest,
        route: &Route,
        team: Option<&Team>,
    ) -> Result<ResolvedOrigin, Rejection> {
        let unknown = Rejection::new(RejectKind::OriginUnknown);
        let attempt = resume.first_attempt.as_deref();
        let stream = attempt.map(|attempt| stream_id(team, attempt));
        let Some(pool) = route.pools.first() else {
            return Err(unknown);
        };
        let Some(stream) = stream else {
            return self.single_version_origin(route).ok_or(unknown);
        };
        let pool = &pool.pool;
        match self.origins.find(stream, pool).await {
            FoundOrigin::Known {
                origin,
                source,
                age,
            } => Ok(ResolvedOrigin {
                origin,
                source: source.to_compact_string(),
                age,
            }),
            FoundOrigin::Conflicting => Err(unknown),
            FoundOrigin::Unknown {
                asked,
                answered,
                single_version,
            } => {
                if let Some(origin) = self.single_version_origin(route) {
                    return Ok(origin);
                }
                match single_version {
                    // A router that did not reply may know the stream.
                    Some((version, router)) if answered == asked && route.pools.len() == 1 => {
                        Ok(ResolvedOrigin::of_single_version(
                            pool.clone(),
                            version,
                            format_compact!("{FROM_SINGLE_VERSION}, by {router}"),
                            Duration::ZERO,
                        ))
                    }
                    _ if answered == 0 && (asked > 0 || !self.pools.is_fleet_found()) => {
                        Err(unknown.with_retry_after(NO_REPLY_RETRY_AFTER))
                    }
                    _ => Err(unknown),
                }
            }
        }
    }

    fn single_version_origin(&self, route: &Route) -> Option<ResolvedOrigin> {
        let single = self.single_versions.find(route)?;
        Some(ResolvedOrigin::of_single_version(
            single.pool,
            single.version,
            FROM_SINGLE_VERSION.into(),
            single.age,
        ))
    }
}

impl Run {
    /// Records which replica brought the first event of a stream, and reports it to other routers.
    /// Must be called before the event is forwarded.
    pub(super) fn record_origin(&mut self, chosen: &ChosenReplica) {
        if let Some(resume) = &self.resume {
            self.report_known_origin(&resume.origin);
            return;
        }
        self.origin = chosen.stream_origin();
        if let Some(origin) = &self.origin {
            self.report_origin(&self.request.attempt, origin);
        }
        self.record.origin = self.origin.as_ref().map(|origin| OriginNote {
            version: origin.version.clone(),
            source: FROM_ENTRY.into(),
            known_at: Some(chosen.version_since),
        });
    }

    fn report_origin(&self, attempt: &str, origin: &StreamOrigin) {
        if self.route.kind == RouteKind::ResumableStream {
            let stream = stream_id(self.team.as_deref(), attempt);
            self.exchange.origins.record(stream, origin.clone());
        }
    }

    /// Reports what began a stream that the caller took up, if only its version is known: by the
    /// time of the next try the pool may have several.
    fn report_known_origin(&self, origin: &StreamOrigin) {
        let Some(attempt) = self.record.resumes.as_deref() else {
            return;
        };
        let stream = stream_id(self.team.as_deref(), attempt);
        if !self.exchange.origins.is_known(stream) {
            self.report_origin(attempt, origin);
        }
    }

    /// Returns the point after which the stream in progress may go on at another replica; `None` if
    /// its version is not known for certain.
    pub(super) fn resume_point(&mut self, last_event_id: u64) -> Option<ResumePoint> {
        let taken_up = self.resume.as_ref().map(|resume| &resume.origin);
        let Some(origin) = taken_up.or(self.origin.as_ref()).cloned() else {
            self.record.set_refused_resume(RefusedResume::OriginUnknown);
            return None;
        };
        if self.exchange.pools.is_origin_uncertain(&origin) {
            let reason = RefusedResume::OriginUncertain;
            self.record.set_refused_resume(reason);
            return None;
        }
        if !self.exchange.pools.has_version(&origin) {
            self.record.set_refused_resume(RefusedResume::VersionGone);
            return None;
        }
        Some(ResumePoint {
            last_event_id,
            origin,
        })
    }

    /// Returns false if a resumed stream has events of a replica that has another version than at
    /// the time of its choice, or whose version is not known any more.
    pub(super) fn may_forward(
        &mut self,
        open_stream: &OpenStream,
        chosen: &ChosenReplica,
        resume: Option<&ResumePoint>,
    ) -> bool {
        let Some(resume) = resume.filter(|_| open_stream.has_events()) else {
            return true;
        };
        let origin = chosen.stream_origin();
        let is_same = origin.is_some_and(|origin| origin.version == resume.origin.version);
        if !is_same {
            let replica = chosen.replica.id.as_str();
            self.record
                .add_try(replica, "not known to have the stream's version");
        }
        is_same
    }
}
