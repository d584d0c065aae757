//! Software versions of the replicas, as far as streams depend on them.

use std::time::Duration;

use tokio::time::Instant;

use super::chosen_replica::ChosenReplica;
use super::limits::ReplicaKey;
use super::pools::{Pool, Pools, Replica};
use crate::core::ids::{PoolId, ReplicaId, ReplicaVersion};
use crate::core::stream_origin::StreamOrigin;
use crate::util::{lock, millis};

impl Replica {
    /// Returns true if the replica is known to run a version. After a crash that is unknown until
    /// the entry of the next incarnation arrives.
    pub(super) fn runs(&self, version: &ReplicaVersion) -> bool {
        !self.has_ended && self.version.as_ref() == Some(version)
    }
}

impl Pool {
    /// Returns the replicas at which a stream of this origin must not go on.
    pub(super) fn other_versions(&self, origin: &StreamOrigin) -> Vec<ReplicaId> {
        let candidates = self.candidates.iter().zip(&self.replicas);
        candidates
            .filter(|(_, replica)| !replica.runs(&origin.version))
            .map(|(candidate, _)| candidate.id.clone())
            .collect()
    }
}

impl Pools {
    /// Returns the version of all streams of a pool that may be in progress, if they have the same
    /// one. Versions before `complete_since` are not known; a stream lives for at most
    /// `stream_life`.
    pub(crate) fn single_version(
        &self,
        id: &PoolId,
        complete_since: Instant,
        stream_life: Duration,
    ) -> Option<ReplicaVersion> {
        if complete_since.elapsed() < stream_life {
            return None;
        }
        let now_ms = self.now_ms();
        let state = lock(&self.state);
        let versions = &state.pools.get(id)?.versions;
        versions
            .single_version(now_ms, millis(stream_life))
            .cloned()
    }

    /// Records that an incarnation of a replica has ended.
    pub(super) fn mark_ended(&self, pool: &PoolId, key: ReplicaKey) {
        let mut state = lock(&self.state);
        let pool = state.pools.get_mut(pool);
        let replicas = pool.into_iter().flat_map(|pool| &mut pool.replicas);
        for replica in replicas.filter(|replica| replica.key() == key) {
            replica.has_ended = true;
        }
    }

    /// Returns true if a replica in service runs the version of a stream.
    pub(crate) fn has_version(&self, origin: &StreamOrigin) -> bool {
        let state = lock(&self.state);
        state.pools.get(&origin.pool).is_some_and(|pool| {
            let mut candidates = pool.candidates.iter().zip(&pool.replicas);
            candidates
                .any(|(candidate, replica)| !candidate.is_leaving && replica.runs(&origin.version))
        })
    }

    /// Returns true if the replica that began a stream is known to have another version now. It
    /// may then have started again before the stream began.
    pub(crate) fn is_origin_uncertain(&self, origin: &StreamOrigin) -> bool {
        let state = lock(&self.state);
        let replicas = state.pools.values().flat_map(|pool| &pool.replicas);
        replicas
            .filter(|replica| replica.digest == origin.replica)
            .any(|replica| replica.version.as_ref() != Some(&origin.version))
    }
}

impl ChosenReplica {
    /// Returns the origin of a stream whose first event came from this replica now; `None` if the
    /// version that the replica runs is unknown.
    pub(super) fn stream_origin(&self) -> Option<StreamOrigin> {
        let origin = StreamOrigin {
            pool: self.pool.clone(),
            replica: self.key.replica,
            born_ms: self.key.born_ms,
            version: self.version.clone()?,
        };
        let is_certain = !self.has_ended() && !self.pools.is_origin_uncertain(&origin);
        is_certain.then_some(origin)
    }

    /// Returns true if the replica's incarnation is known to have crashed, so that an answer from
    /// there comes from a later one.
    fn has_ended(&self) -> bool {
        let state = lock(&self.pools.state);
        let pool = state.pools.get(&self.pool);
        let replica = pool.and_then(|pool| Some(&pool.replicas[pool.index_of(&self.replica.id)?]));
        replica.is_some_and(|replica| replica.key() == self.key && replica.has_ended)
    }
}
