//! Claims of non-idempotent requests in the platform.

use std::sync::Arc;

use super::combine::{Change, CombinedWriter};
use crate::core::claim::{Claim, ClaimKey, ClaimOutcome, ClaimShard, ClaimState};
use crate::core::ids::HolderId;
use crate::store::update::{read_json, UpdateError};
use crate::store::{ObjectKey, ObjectStore};
use crate::util::{stable_hash, unix_time_s};

/// Claim objects over which the requests are spread.
const CLAIM_SHARD_COUNT: u64 = 64;
/// Seconds for which a finished claim is remembered.
pub const CLAIM_MEMORY_S: u64 = 3_600;

#[derive(Debug)]
enum ClaimChange {
    Take {
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
enum ClaimAnswer {
    Taken(ClaimOutcome),
    Finished,
}

impl Change<ClaimShard> for ClaimChange {
    type Output = ClaimAnswer;

    fn apply(&self, shard: &mut ClaimShard) -> (ClaimAnswer, bool) {
        match self {
            Self::Take { key, holder, nonce } => {
                let now_unix_s = unix_time_s();
                shard.expire(now_unix_s.saturating_sub(CLAIM_MEMORY_S));
                let outcome = shard.claim(key, *holder, *nonce, now_unix_s);
                let is_won = outcome == ClaimOutcome::Won;
                (ClaimAnswer::Taken(outcome), is_won)
            }
            Self::Finish { key, nonce, state } => {
                let is_changed = shard.finish(key, *nonce, *state);
                (ClaimAnswer::Finished, is_changed)
            }
        }
    }
}

/// Takes and finishes claims.
#[derive(Debug)]
pub struct Claims {
    store: Arc<dyn ObjectStore>,
    holder: HolderId,
    writers: Vec<CombinedWriter<ClaimShard, ClaimChange>>,
}

fn shard_key(shard: u64) -> ObjectKey {
    ObjectKey::new(format!("claims/{shard:02}"))
}

fn shard_of(key: &ClaimKey) -> u64 {
    stable_hash(&[key.team.as_str(), key.request.as_str()]) % CLAIM_SHARD_COUNT
}

impl Claims {
    /// Claims made by one router process.
    #[must_use]
    pub fn new(store: Arc<dyn ObjectStore>, holder: HolderId) -> Self {
        let writers = (0..CLAIM_SHARD_COUNT)
            .map(|shard| CombinedWriter::new(Arc::clone(&store), shard_key(shard)))
            .collect();
        Self {
            store,
            holder,
            writers,
        }
    }

    /// Claims a request for one dispatch.
    ///
    /// # Errors
    ///
    /// Fails when the platform gives no answer; the request must not be dispatched then.
    pub async fn take(&self, key: &ClaimKey, nonce: u64) -> Result<ClaimOutcome, UpdateError> {
        let change = ClaimChange::Take {
            key: key.clone(),
            holder: self.holder,
            nonce,
        };
        match self.writer(key).apply(change).await? {
            ClaimAnswer::Taken(outcome) => Ok(outcome),
            ClaimAnswer::Finished => Err(UpdateError::Contended {
                key: shard_key(shard_of(key)),
            }),
        }
    }

    /// Records how a claimed request ended.
    ///
    /// # Errors
    ///
    /// Fails when the platform gives no answer; the claim then stays and bars a second run.
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

    /// Reads a claim.
    ///
    /// # Errors
    ///
    /// Fails when the platform gives no answer.
    pub async fn read(&self, key: &ClaimKey) -> Result<Option<Claim>, UpdateError> {
        let object = shard_key(shard_of(key));
        let (shard, _) = read_json::<ClaimShard>(self.store.as_ref(), &object).await?;
        Ok(shard.get(key).cloned())
    }

    fn writer(&self, key: &ClaimKey) -> &CombinedWriter<ClaimShard, ClaimChange> {
        let index = usize::try_from(shard_of(key)).unwrap_or(0);
        &self.writers[index]
    }
}
