//! Claims of non-idempotent requests, recorded in the platform before dispatch.
//!
//! One platform object holds the claims of one request shard. A claim is created once; a second
//! router that tries finds the first router's record and must not dispatch.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use super::ids::{HolderId, RequestId, TeamId};

/// State of a claimed request, as recorded in the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ClaimState {
    /// Claimed. The request may have been dispatched or may be soon; no other router may ever
    /// dispatch it.
    Claimed,
    /// The claiming router knows that no byte reached a backend server. The request may be claimed
    /// again.
    NotRun,
    /// The request ran and its answer was complete.
    Done,
    /// The request was dispatched and its outcome is unknown.
    Unknown,
}

/// One claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// The router process that may dispatch the request.
    pub holder: HolderId,
    /// Random number that identifies the one dispatch that the claim allows.
    pub nonce: u64,
    /// Number of the claim, one more for each new claim after [`ClaimState::NotRun`].
    pub attempt: u64,
    /// State of the request.
    pub state: ClaimState,
    /// Seconds since the Unix epoch at which the claim was made; used only to drop old claims.
    pub created_unix_s: u64,
}

/// Key of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimKey {
    /// The team that sent the request.
    pub team: TeamId,
    /// The request's id within the team.
    pub request: RequestId,
}

impl ClaimKey {
    /// Creates the key of a team's request.
    #[must_use]
    pub const fn new(team: TeamId, request: RequestId) -> Self {
        Self { team, request }
    }

    fn map_key(&self) -> String {
        format!("{}/{}", self.team, self.request)
    }
}

/// The value of one claim object: the claims of a request shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimShard {
    claims: BTreeMap<String, Claim>,
}

/// Result of a claim attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// This holder has the claim and may dispatch once.
    Acquired,
    /// Another attempt holds the claim.
    AlreadyClaimed(Claim),
}

impl ClaimShard {
    /// Returns the claim of a request, if any.
    #[must_use]
    pub fn get(&self, key: &ClaimKey) -> Option<&Claim> {
        self.claims.get(&key.map_key())
    }

    /// Returns the number of claims.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns true when there are no claims.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Claims a request for one dispatch unless it is already claimed.
    ///
    /// Repeating the call with the same nonce after a lost answer finds the claim and returns
    /// [`ClaimOutcome::Acquired`] again.
    pub fn claim(
        &mut self,
        key: &ClaimKey,
        holder: HolderId,
        nonce: u64,
        created_unix_s: u64,
    ) -> ClaimOutcome {
        let attempt = match self.get(key) {
            None => 1,
            Some(held) if held.state == ClaimState::NotRun => held.attempt + 1,
            Some(held) if held.nonce == nonce && held.state == ClaimState::Claimed => {
                return ClaimOutcome::Acquired;
            }
            Some(claim) => return ClaimOutcome::AlreadyClaimed(claim.clone()),
        };
        let claim = Claim {
            holder,
            nonce,
            attempt,
            state: ClaimState::Claimed,
            created_unix_s,
        };
        self.claims.insert(key.map_key(), claim);
        ClaimOutcome::Acquired
    }

    /// Records how a claimed request ended, once and only with the claim's nonce. Returns true when
    /// the state was recorded.
    pub fn finish(&mut self, key: &ClaimKey, nonce: u64, state: ClaimState) -> bool {
        let Some(claim) = self.claims.get_mut(&key.map_key()) else {
            return false;
        };
        let may_finish = claim.nonce == nonce && claim.state == ClaimState::Claimed;
        if may_finish {
            claim.state = state;
        }
        may_finish
    }

    /// Drops claims made before the given time, in seconds since the Unix epoch, except those in
    /// state [`ClaimState::Claimed`].
    pub fn expire(&mut self, before_unix_s: u64) {
        self.claims.retain(|_, claim| {
            claim.created_unix_s >= before_unix_s || claim.state == ClaimState::Claimed
        });
    }
}
