//! Router-to-router calls: the messages and the traits that a transport implements.

pub mod in_process;
pub mod rpc;

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

/// Reason why a call to a peer failed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PeerError {
    /// The peer did not answer. It may or may not have executed the call.
    #[error("peer {address} gave no answer: {reason}")]
    NoAnswer {
        /// The peer.
        address: SocketAddr,
        /// Error from the transport.
        reason: String,
    },
    /// The process at the address is not the expected one.
    #[error("peer {address} is not holder {wanted}")]
    OtherProcess {
        /// The peer.
        address: SocketAddr,
        /// The expected process.
        wanted: HolderId,
    },
}

/// State that routers exchange with each probe.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Greeting {
    /// The sender's process.
    pub holder: HolderId,
    /// Its VM.
    pub vm: VmId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Generation of its lists in force.
    pub generation: Generation,
    /// True once it is draining.
    pub draining: bool,
    /// Replicas that it recently found to be unreachable.
    pub gone_replicas: Vec<ReplicaId>,
    /// Crashes of replicas, with the requests in progress on them.
    pub crashes: Vec<CrashReport>,
}

/// A replica's crash while a request was in progress on it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CrashReport {
    /// Digest of the request's content.
    pub fingerprint: Fingerprint,
    /// The replica.
    pub replica: ReplicaId,
    /// True if no other suspect request ran there.
    pub alone: bool,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
}

/// A request to extend a holder's horizon of one budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HorizonExtension {
    /// The holder.
    pub holder: HolderId,
    /// The budget.
    pub budget: BudgetId,
    /// The new horizon.
    pub horizon_tokens: Tokens,
}

/// A request for a transfer of tokens of one budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TransferRequest {
    /// The holder to be credited.
    pub receiver: HolderId,
    /// The budget.
    pub budget: BudgetId,
    /// The holder to debit, as known from an earlier transfer; if `None`, the peer's current one.
    pub sender: Option<HolderId>,
    /// Cumulative tokens received from that holder so far.
    pub received_tokens: Tokens,
    /// Tokens requested.
    pub wanted_tokens: Tokens,
}

/// Result of a token transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transfer {
    /// The holder that was debited.
    pub sender: HolderId,
    /// Cumulative tokens transferred from it to the receiver.
    pub total_tokens: Tokens,
}

/// Change to a suspect request's reservation of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReservationAction {
    /// Reserve the replica for the run.
    Hold,
    /// Release the replica.
    Release,
}

/// A call that reserves or releases a replica for a suspect request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReservationCall {
    /// The replica.
    pub replica: ReplicaId,
    /// The run.
    pub run: SuspectRun,
    /// The change.
    pub action: ReservationAction,
}

/// State of a request at one router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestLookup {
    /// The router does not know the request.
    #[serde(rename = "unheard")]
    Unknown,
    /// The request is in progress there.
    Running {
        /// The process that executes it.
        holder: HolderId,
        /// Time since its arrival there, in milliseconds.
        age_ms: u64,
    },
    /// The request ended there with this answer.
    Finished(StoredAnswer),
}

/// Calls that routers make to each other. Implemented by the router itself and by its remote
/// clients.
#[async_trait]
pub trait PeerRouter: fmt::Debug + Send + Sync {
    /// Sends this router's greeting and returns the peer's.
    async fn hello(&self, greeting: Greeting) -> Result<Greeting, PeerError>;

    /// Extends horizons at a witness. Returns the records in the same order.
    async fn extend(
        &self,
        witness: HolderId,
        horizons: Vec<HorizonExtension>,
    ) -> Result<Vec<WitnessRecord>, PeerError>;

    /// Seals a holder's record at a witness.
    async fn seal(
        &self,
        witness: HolderId,
        holder: HolderId,
        budget: BudgetId,
    ) -> Result<WitnessRecord, PeerError>;

    /// Stores backup copies of bills at a peer until they are in the platform.
    ///
    /// The holder's bills numbered up to `flushed_through` are there already.
    async fn keep_bills(
        &self,
        holder: HolderId,
        flushed_through: u64,
        bills: Vec<Bill>,
    ) -> Result<(), PeerError>;

    /// Requests a transfer of tokens.
    async fn take_tokens(&self, transfer_request: TransferRequest) -> Result<Transfer, PeerError>;

    /// Returns the changes of the lists since a generation.
    async fn lists_since(&self, generation: Generation) -> Result<ListsDelta, PeerError>;

    /// Returns the state of a request at the peer.
    async fn find_request(
        &self,
        team: TeamId,
        request: RequestId,
    ) -> Result<RequestLookup, PeerError>;

    /// Reserves or releases a replica for a suspect request, at the pool's coordinator, which keeps
    /// the reservations of its replicas.
    async fn reserve_replica(&self, call: ReservationCall)
        -> Result<ReservationOutcome, PeerError>;
}

/// Creates clients of other routers.
pub trait PeerNetwork: fmt::Debug + Send + Sync {
    /// Returns a client of the router at an address. It connects on first use.
    fn peer(&self, address: SocketAddr) -> Arc<dyn PeerRouter>;
}
