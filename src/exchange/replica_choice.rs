//! Chooses the replica for the next try of a run, with a permit if the replica has a rate limit, and
//! a place if it is brittle.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use tokio::time::Instant;

use super::chosen_replica::ChosenReplica;
use super::limits::ReplicaKey;
use super::places::Place;
use super::replica_search::{ReplicaQuery, SearchResult};
use super::request::{RejectKind, Rejection, ResumePoint};
use super::run::{overload_retry_after, Run};
use crate::core::ids::ReplicaId;

/// Permits for rate-limited replicas that are requested for one try.
const MAX_PERMIT_REQUESTS: u32 = 4;

/// Extends a time by up to a half, so that callers do not retry at the same time.
fn with_jitter(time: Duration) -> Duration {
    time.mul_f64(rand::rng().random_range(1.0..1.5))
}

impl Run {
    /// Chooses a replica, with a permit if it has a rate limit, and a place if it is brittle.
    pub(super) async fn choose_replica(
        &mut self,
        resume: Option<&ResumePoint>,
    ) -> Result<ChosenReplica, Rejection> {
        let mut permitted = None;
        let mut place = None;
        let mut requests_left = MAX_PERMIT_REQUESTS;
        loop {
            match self.search_replica(resume, permitted, requests_left > 0) {
                SearchResult::Found(mut chosen) => {
                    chosen.place = place.filter(|_| permitted == Some(chosen.key));
                    return Ok(*chosen);
                }
                SearchResult::NeedsPermit { id, key } => {
                    requests_left -= 1;
                    place = None;
                    let mut is_permitted = self.request_permit(&id, key).await;
                    if is_permitted && self.exchange.pools.brittleness().is_brittle(&self.pool) {
                        place = self.request_place(key).await;
                        is_permitted = place.is_some();
                    }
                    permitted = is_permitted.then_some(key);
                }
                other => return Err(self.search_rejection(&other, resume)),
            }
        }
    }

    fn search_replica(
        &self,
        resume: Option<&ResumePoint>,
        permitted: Option<ReplicaKey>,
        may_request_permit: bool,
    ) -> SearchResult {
        self.exchange.pools.choose(&ReplicaQuery {
            pool: &self.pool,
            excluded: &self.tried_replicas,
            rank: u32::from(self.rank),
            prompt: self.prompt,
            is_suspect: self.is_suspect(),
            permit_rank: self.permit_rank(),
            permitted,
            resume,
            may_request_permit,
        })
    }

    /// Returns true if servers crashed while running the request or waiting to answer its prompt.
    fn is_suspect(&self) -> bool {
        let suspects = &self.exchange.suspects;
        suspects.is_suspect(self.fingerprint)
            || (!self.has_first_token && suspects.parts().is_suspect(&self.parts))
    }

    /// Returns the rank by which permits are issued: a retry goes before all first tries.
    const fn permit_rank(&self) -> u8 {
        if self.sent_count > 0 {
            0
        } else {
            self.rank.saturating_add(1)
        }
    }

    /// Requests a permit for a replica if it has a rate limit. Returns false if it was denied.
    async fn request_permit(&mut self, id: &ReplicaId, key: ReplicaKey) -> bool {
        let rank = self.permit_rank();
        let limits = Arc::clone(self.exchange.pools.limits());
        let Some(note) = limits.note(key) else {
            return true;
        };
        let answer = self.exchange.permits.acquire(key, rank).await;
        if let Err(denial) = answer.decision {
            limits.record_denial(key, rank, denial);
        }
        self.record.add_limit(id.as_str(), &note, &answer);
        answer.decision.is_ok()
    }

    /// Requests a place at a brittle replica.
    async fn request_place(&self, key: ReplicaKey) -> Option<Place> {
        let time_left = self.deadline.saturating_duration_since(Instant::now());
        let place = self.exchange.permits.acquire_place(key, time_left).await;
        if place.is_none() {
            self.exchange.pools.brittleness().record_denial(key);
        }
        place
    }

    fn search_rejection(&self, result: &SearchResult, resume: Option<&ResumePoint>) -> Rejection {
        let (kind, retry_after) = match result {
            SearchResult::BackingOff(remaining) => (RejectKind::ReplicasQuiet, *remaining),
            SearchResult::RateLimited(_)
                if self.exchange.pools.brittleness().is_brittle(&self.pool) =>
            {
                (RejectKind::Overloaded, overload_retry_after())
            }
            SearchResult::RateLimited(time) => {
                (RejectKind::ReplicasRateLimited, with_jitter(*time))
            }
            SearchResult::Unreachable => (RejectKind::ReplicasUnreachable, overload_retry_after()),
            SearchResult::NoReplica => (RejectKind::NoReplica, overload_retry_after()),
            SearchResult::Full | SearchResult::Found(_) | SearchResult::NeedsPermit { .. } => {
                (RejectKind::Overloaded, overload_retry_after())
            }
        };
        if self.may_have_run {
            return Rejection::new(RejectKind::AnswerLost);
        }
        let pools = &self.exchange.pools;
        if resume.is_some_and(|resume| !pools.has_version(&resume.origin)) {
            return Rejection::new(RejectKind::VersionGone);
        }
        Rejection::new(kind).with_retry_after(retry_after)
    }
}
