//! Router to router: the messages, and the border behind which the transport stands.

pub mod rpc;
pub mod switchboard;

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::accepted::ListsDelta;
use crate::core::bill::Bill;
use crate::core::ids::{BudgetId, FailureDomain, HolderId, ReplicaId, RequestId, TeamId, VmId};
use crate::core::ledger::Generation;
use crate::core::quarantine::Fingerprint;
use crate::core::suspect_reservations::{ReservationOutcome, SuspectRun};
use crate::core::units::Tokens;
use crate::core::witness::WitnessRecord;
use crate::router::requests::StoredAnswer;

/// Why a call to a peer failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PeerError {
    /// No answer came. The peer may or may not have done what was asked.
    #[error("peer {address} gave no answer: {reason}")]
    NoAnswer {
        /// The peer.
        address: SocketAddr,
        /// What the transport saw.
        reason: String,
    },
    /// The process at the address is not the one that was asked for.
    #[error("peer {address} is not holder {wanted}")]
    OtherProcess {
        /// The peer.
        address: SocketAddr,
        /// The process asked for.
        wanted: HolderId,
    },
}

/// What routers tell one another when they probe.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Greeting {
    /// The process that speaks.
    pub holder: HolderId,
    /// Its VM.
    pub vm: VmId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Generation of the lists that it has in force.
    pub generation: Generation,
    /// True once it drains.
    pub draining: bool,
    /// Replicas that it found to be gone, lately.
    pub gone_replicas: Vec<ReplicaId>,
    /// Requests that crashed replicas, with the replicas.
    pub crashes: Vec<CrashReport>,
}

/// A replica crashed while a request was in progress on it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CrashReport {
    /// Digest of the request's content.
    pub fingerprint: Fingerprint,
    /// The replica.
    pub replica: ReplicaId,
    /// True when the request ran there apart from other suspects.
    pub alone: bool,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
}

/// A wish to raise the horizon of one budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Horizon {
    /// The holder.
    pub holder: HolderId,
    /// The budget.
    pub budget: BudgetId,
    /// The new horizon.
    pub horizon_tokens: Tokens,
}

/// A wish for tokens of a budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TransferWish {
    /// The holder that wants them.
    pub receiver: HolderId,
    /// The budget.
    pub budget: BudgetId,
    /// Holder that is asked, as known from an earlier transfer; any at the peer if none.
    pub sender: Option<HolderId>,
    /// Cumulative tokens received from that holder so far.
    pub received_tokens: Tokens,
    /// Tokens wanted.
    pub wanted_tokens: Tokens,
}

/// Tokens handed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transfer {
    /// The holder that was debited.
    pub sender: HolderId,
    /// Cumulative tokens handed from it to the receiver.
    pub total_tokens: Tokens,
}

/// What to do with a suspect's place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlaceAction {
    /// Keep the replica for the run.
    Hold,
    /// Give it free.
    Release,
}

/// A call about the place of a request under suspicion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlaceCall {
    /// The replica.
    pub replica: ReplicaId,
    /// The run.
    pub run: SuspectRun,
    /// What to do.
    pub action: PlaceAction,
}

/// What a router knows about a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FoundRequest {
    /// Nothing.
    Unheard,
    /// It is in progress there.
    Running {
        /// The process that runs it.
        holder: HolderId,
        /// Time since it arrived there.
        age_ms: u64,
    },
    /// It ended there with this answer.
    Finished(StoredAnswer),
}

/// One router as another one sees it. Implemented by the router itself and by its remote clients.
#[async_trait]
pub trait PeerRouter: fmt::Debug + Send + Sync {
    /// Exchanges greetings.
    async fn hello(&self, greeting: Greeting) -> Result<Greeting, PeerError>;

    /// Asks a witness to raise horizons. Records come back in the same order.
    async fn extend(
        &self,
        witness: HolderId,
        horizons: Vec<Horizon>,
    ) -> Result<Vec<WitnessRecord>, PeerError>;

    /// Asks a witness to seal a holder's record.
    async fn seal(
        &self,
        witness: HolderId,
        holder: HolderId,
        budget: BudgetId,
    ) -> Result<WitnessRecord, PeerError>;

    /// Asks a peer to keep bills until they are in the platform.
    ///
    /// Bills of the holder numbered up to `flushed_through` are there already.
    async fn keep_bills(
        &self,
        holder: HolderId,
        flushed_through: u64,
        bills: Vec<Bill>,
    ) -> Result<(), PeerError>;

    /// Asks for tokens.
    async fn take_tokens(&self, wish: TransferWish) -> Result<Transfer, PeerError>;

    /// Asks for what changed in the lists after a generation.
    async fn lists_since(&self, generation: Generation) -> Result<ListsDelta, PeerError>;

    /// Asks what the peer knows about a request.
    async fn find_request(
        &self,
        team: TeamId,
        request: RequestId,
    ) -> Result<FoundRequest, PeerError>;

    /// Asks the router that keeps a pool's places about a suspect's place.
    async fn place_suspect(&self, call: PlaceCall) -> Result<ReservationOutcome, PeerError>;
}

/// Finds the router at an address.
pub trait PeerNetwork: fmt::Debug + Send + Sync {
    /// A client of the router at an address. Connects when first used.
    fn peer(&self, address: SocketAddr) -> Arc<dyn PeerRouter>;
}
