//! Claims in the platform that keep a non-idempotent request from being dispatched twice.

use std::sync::Arc;

use super::group_commit::{GroupCommitWriter, ObjectChange};
use crate::core::claim::{Claim, ClaimKey, ClaimOutcome, ClaimShard, ClaimState};
use crate::core::ids::HolderId;
use crate::store::update::{read_json, UpdateError};
use crate::store::{ObjectKey, ObjectStore};
use crate::util::{stable_hash, unix_time_s};

/// Number of platform objects over which the claims are sharded.
const CLAIM_SHARD_COUNT: u64 = 64;
/// Age in seconds, from creation, at which a finished claim expires.
pub const CLAIM_RETENTION_S: u64 = 3_600;

#[derive(Debug)]
enum ClaimChange {
    Acquire {
        key: ClaimKey,
        holder: HolderId,
        nonce: u64,
    },
    Finish {
        key: ClaimKey,
        nonce: u64,
        state: ClaimState,
    },
}

#[derive(Debug)]
enum ClaimChangeOutput {
    Acquired(ClaimOutcome),
    Finished,
}

impl ObjectChange<ClaimShard> for ClaimChange {
    type Output = ClaimChangeOutput;

    fn apply(&self, shard: &mut ClaimShard) -> (ClaimChangeOutput, bool) {
        match self {
            Self::Acquire { key, holder, nonce } => {
                let now_unix_s = unix_time_s();
                shard.expire(now_unix_s.saturating_sub(CLAIM_RETENTION_S));
                let outcome = shard.claim(key, *holder, *nonce, now_unix_s);
                let is_acquired = outcome == ClaimOutcome::Acquired;
                (ClaimChangeOutput::Acquired(outcome), is_acquired)
            }
            Self::Finish { key, nonce, state } => {
                let is_changed = shard.finish(key, *nonce, *state);
                (ClaimChangeOutput::Finished, is_changed)
            }
        }
    }
}

/// Acquires and finishes the claims of one router process.
#[derive(Debug)]
pub struct Claims {
    store: Arc<dyn ObjectStore>,
    holder: HolderId,
    writers: Vec<GroupCommitWriter<ClaimShard, ClaimChange>>,
}

fn shard_key(shard: u64) -> ObjectKey {
    ObjectKey::new(format!("claims/{shard:02}"))
}

fn shard_of(key: &ClaimKey) -> u64 {
    stable_hash(&[key.team.as_str(), key.request.as_str()]) % CLAIM_SHARD_COUNT
}

impl Claims {
    /// Creates the claim client of one router process.
    #[must_use]
    pub fn new(store: Arc<dyn ObjectStore>, holder: HolderId) -> Self {
        let writers = (0..CLAIM_SHARD_COUNT)
            .map(|shard| GroupCommitWriter::new(Arc::clone(&store), shard_key(shard)))
            .collect();
        Self {
            store,
            holder,
            writers,
        }
    }

    /// Acquires the claim of a request, for one dispatch.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform does not answer; the request must not be dispatched then.
    pub async fn acquire(&self, key: &ClaimKey, nonce: u64) -> Result<ClaimOutcome, UpdateError> {
        let change = ClaimChange::Acquire {
            key: key.clone(),
            holder: self.holder,
            nonce,
        };
        match self.writer(key).apply(change).await? {
            ClaimChangeOutput::Acquired(outcome) => Ok(outcome),
            ClaimChangeOutput::Finished => Err(UpdateError::Contended {
                key: shard_key(shard_of(key)),
            }),
        }
    }

    /// Records how a claimed request ended.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform does not answer; the claim then stays and blocks a second
    /// run.
    pub async fn finish(
        &self,
        key: &ClaimKey,
        nonce: u64,
        state: ClaimState,
    ) -> Result<(), UpdateError> {
        let change = ClaimChange::Finish {
            key: key.clone(),
            nonce,
            state,
        };
        self.writer(key).apply(change).await.map(|_| ())
    }

    /// Reads the claim of a request, if there is one.
    ///
    /// # Errors
    ///
    /// Returns an error when the platform does not answer.
    pub async fn read(&self, key: &ClaimKey) -> Result<Option<Claim>, UpdateError> {
        let object = shard_key(shard_of(key));
        let (shard, _) = read_json::<ClaimShard>(self.store.as_ref(), &object).await?;
        Ok(shard.get(key).cloned())
    }

    fn writer(&self, key: &ClaimKey) -> &GroupCommitWriter<ClaimShard, ClaimChange> {
        let index = usize::try_from(shard_of(key)).unwrap_or(0);
        &self.writers[index]
    }
}
