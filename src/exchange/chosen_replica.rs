//! A replica chosen for one try of a request, and what the try shows of it.

use std::sync::Arc;

use tokio::time::Instant;

use super::limits::ReplicaKey;
use super::places::Place;
use super::pools::Pools;
use super::request::{ConnectionShare, ReplicaAddress, ReplicaStatus};
use crate::core::ejection::ProbeId;
use crate::core::ids::{PoolId, ReplicaVersion};
use crate::core::placement::ReplicaCandidate;
use crate::util::millis;

/// A replica chosen for one try. Dropping it removes the request from the replica's load, and
/// concludes the probe if the try was one.
#[derive(Debug)]
pub(crate) struct ChosenReplica {
    pub(super) pools: Arc<Pools>,
    pub(super) pool: PoolId,
    /// The replica.
    pub replica: ReplicaAddress,
    /// Connections to it that may be open.
    pub connections: ConnectionShare,
    /// Its incarnation.
    pub key: ReplicaKey,
    /// Version of its software, by its entry at the time of the choice.
    pub version: Option<ReplicaVersion>,
    /// When that version became known.
    pub version_since: Instant,
    /// Time of the choice.
    pub chosen_at: Instant,
    pub(super) prefill_tokens: u64,
    pub(super) is_suspect: bool,
    /// Id of the probe if the try is one, as the replica was ejected.
    pub(super) probe: Option<ProbeId>,
    /// Place there, if the replica is brittle.
    pub(super) place: Option<Place>,
}

impl ChosenReplica {
    /// Records the first token: the prompt has been read and no longer counts as load.
    pub(crate) fn record_first_token(&mut self) {
        let prefill_tokens = std::mem::take(&mut self.prefill_tokens);
        self.pools
            .with_candidate(&self.pool, &self.replica.id, |candidate, _| {
                candidate.own_load.finish_prefill(prefill_tokens);
            });
    }

    /// Records a successful answer.
    pub(crate) fn record_success(&self) {
        self.pools
            .with_candidate(&self.pool, &self.replica.id, |candidate, _| {
                candidate.record_success();
            });
    }

    /// Records a failure of the replica.
    pub(crate) fn record_failure(&self) {
        self.pools.with_candidate(
            &self.pool,
            &self.replica.id,
            ReplicaCandidate::record_failure,
        );
    }

    /// Applies the status that the replica reported and returns what is new in it.
    pub(crate) fn apply_status(&self, replica_status: &ReplicaStatus) -> StatusChange {
        let mut change = StatusChange::default();
        self.pools
            .with_candidate(&self.pool, &self.replica.id, |candidate, now_ms| {
                change.is_leaving = replica_status.is_leaving && !candidate.is_leaving;
                candidate.is_leaving |= replica_status.is_leaving;
                if let Some(backoff) = replica_status.backoff {
                    change.is_new_backoff = candidate.backoff_left_ms(now_ms) == 0;
                    candidate.record_backoff(now_ms, millis(backoff));
                }
            });
        if change.is_leaving {
            self.pools
                .mark_reported_leaving(&self.pool, &self.replica.id);
        }
        change
    }

    /// Records that the replica's address refuses connections: its incarnation has ended.
    pub(crate) fn record_refused(&self) {
        self.record_unreachable();
        self.pools.mark_ended(&self.pool, self.key);
    }

    /// Records that the replica accepts no connections.
    pub(crate) fn record_unreachable(&self) {
        self.pools.with_candidate(
            &self.pool,
            &self.replica.id,
            ReplicaCandidate::record_unreachable,
        );
    }
}

impl Drop for ChosenReplica {
    fn drop(&mut self) {
        let prefill_tokens = self.prefill_tokens;
        self.pools
            .with_candidate(&self.pool, &self.replica.id, |candidate, _| {
                candidate.own_load.finish_prefill(prefill_tokens);
                candidate.own_load.remove();
                if let Some(probe) = self.probe {
                    candidate.conclude_probe(probe);
                }
            });
        if self.is_suspect {
            self.pools
                .remove_suspect_request(&self.pool, &self.replica.id);
        }
    }
}

/// What a replica's status changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct StatusChange {
    /// True if the replica was not known to be leaving.
    pub is_leaving: bool,
    /// True if a back-off began.
    pub is_new_backoff: bool,
}
