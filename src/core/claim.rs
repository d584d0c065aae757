//! The claim of a non-idempotent request, taken in the platform before dispatch.
//!
//! One platform object holds the claims of one request shard. A claim is created once; a second
//! router that tries finds the first one's record and must not dispatch.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use super::ids::{HolderId, RequestId, TeamId};

/// How far a claimed request has come, as far as the platform knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ClaimState {
    /// Claimed. It may have been dispatched or may be soon; it must never be dispatched by another
    /// router.
    Claimed,
    /// The claimer knows that no byte reached a backend server. The request may be claimed again.
    NotRun,
    /// It ran and its answer was whole.
    Done,
    /// It was dispatched and nobody knows how it ended.
    Unknown,
}

/// One claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// The router process that may dispatch the request.
    pub holder: HolderId,
    /// Random number of the one dispatch that the claim allows.
    pub nonce: u64,
    /// Number of the claim, one more for each time it was taken again after "not run".
    pub attempt: u64,
    /// How far it came.
    pub state: ClaimState,
    /// Seconds since the Unix epoch at which the claim was made; used to drop old claims only.
    pub created_unix_s: u64,
}

/// Name of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimKey {
    /// The team that sent the request.
    pub team: TeamId,
    /// The request's id within the team.
    pub request: RequestId,
}

impl ClaimKey {
    /// Names a request of a team.
    #[must_use]
    pub const fn new(team: TeamId, request: RequestId) -> Self {
        Self { team, request }
    }

    fn to_text(&self) -> String {
        format!("{}/{}", self.team, self.request)
    }
}

/// The value of one claim object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimShard {
    claims: BTreeMap<String, Claim>,
}

/// What trying to claim led to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// This holder has the claim. It may dispatch once.
    Won,
    /// Another try holds the claim.
    Held(Claim),
}

impl ClaimShard {
    /// The claim of a request, if any.
    #[must_use]
    pub fn get(&self, key: &ClaimKey) -> Option<&Claim> {
        self.claims.get(&key.to_text())
    }

    /// Number of claims kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// True when no claim is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Claims a request for one dispatch unless somebody has it.
    ///
    /// Repeating the call with the same nonce after a lost answer finds the claim and wins again.
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
                return ClaimOutcome::Won;
            }
            Some(held) => return ClaimOutcome::Held(held.clone()),
        };
        let claim = Claim {
            holder,
            nonce,
            attempt,
            state: ClaimState::Claimed,
            created_unix_s,
        };
        self.claims.insert(key.to_text(), claim);
        ClaimOutcome::Won
    }

    /// Records how a claimed request ended. Only the claimer may, and only once.
    pub fn finish(&mut self, key: &ClaimKey, nonce: u64, state: ClaimState) -> bool {
        let Some(claim) = self.claims.get_mut(&key.to_text()) else {
            return false;
        };
        let may_finish = claim.nonce == nonce && claim.state == ClaimState::Claimed;
        if may_finish {
            claim.state = state;
        }
        may_finish
    }

    /// Drops finished claims made before the given time.
    pub fn expire(&mut self, before_unix_s: u64) {
        self.claims.retain(|_, claim| {
            claim.created_unix_s >= before_unix_s || claim.state == ClaimState::Claimed
        });
    }
}
