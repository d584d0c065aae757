//! Decides at which software version a stream goes on.

use std::time::Duration;

use compact_str::CompactString;
use tokio::time::Instant;

use super::catalog::Route;
use super::chosen_replica::ChosenReplica;
use super::engine::Exchange;
use super::record::{OriginNote, RefusedResume, RequestRecord};
use super::relay::OpenStream;
use super::request::{RejectKind, Rejection, ResumePoint, ResumeRequest};
use super::run::Run;
use crate::core::stream_origin::StreamOrigin;
use crate::util::lock;

/// Source of a version that is stated in the entry of the stream's replica.
const FROM_ENTRY: &str = "entry of the replica";
/// Source of a version that all replicas have had for as long as a stream lives.
const FROM_SINGLE_VERSION: &str = "only version of the pool";

/// The origin of a stream that a caller takes up, and how it is known.
struct FoundOrigin {
    origin: StreamOrigin,
    source: CompactString,
    /// Time for which it has been known.
    age: Duration,
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
        record: &mut RequestRecord,
    ) -> Result<ResumePoint, Rejection> {
        record.resumes.clone_from(&resume.first_attempt);
        let resolved = self.find_resume_point(resume, route, record).await;
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
        record: &mut RequestRecord,
    ) -> Result<ResumePoint, Rejection> {
        let found = self
            .find_origin(resume, route)
            .await
            .filter(|found| route.has_pool(&found.origin.pool));
        let Some(found) = found else {
            return Err(Rejection::new(RejectKind::OriginUnknown));
        };
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

    #[allow(clippy::unused_async, reason = "other routers will be asked")]
    async fn find_origin(&self, _resume: &ResumeRequest, route: &Route) -> Option<FoundOrigin> {
        self.single_version_origin(route)
    }

    /// Returns the origin of any stream of a route whose replicas have all had the same version for
    /// as long as a stream lives.
    fn single_version_origin(&self, route: &Route) -> Option<FoundOrigin> {
        let known = lock(&self.stream_routes).find(route, Instant::now())?;
        let lists_since = self.store_health.lists_current_since()?;
        let complete_since = lists_since.max(known.since);
        let version = self
            .pools
            .single_version(&known.pool, complete_since, known.life)?;
        Some(FoundOrigin {
            origin: StreamOrigin {
                pool: known.pool,
                replica: 0,
                born_ms: None,
                version,
            },
            source: FROM_SINGLE_VERSION.into(),
            age: complete_since.elapsed(),
        })
    }
}

impl Run {
    /// Records which replica brought the first event of a stream.
    pub(super) fn record_origin(&mut self, chosen: &ChosenReplica) {
        if self.resume.is_some() {
            return;
        }
        self.origin = chosen.stream_origin();
        self.record.origin = self.origin.as_ref().map(|origin| OriginNote {
            version: origin.version.clone(),
            source: FROM_ENTRY.into(),
            known_at: Some(chosen.version_since),
        });
    }

    /// Returns the point after which the stream in progress may go on at another replica; `None` if
    /// its version is not known for certain.
    pub(super) fn resume_point(&mut self, last_event_id: u64) -> Option<ResumePoint> {
        if let Some(resume) = &self.resume {
            let origin = resume.origin.clone();
            return Some(ResumePoint {
                last_event_id,
                origin,
            });
        }
        let Some(origin) = self.origin.clone() else {
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
