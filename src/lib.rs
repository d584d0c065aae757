//! currantlever: a router fleet that serves language-model requests against prepaid token budgets.
//!
//! Decisions are made by pure state machines in `core`. The router connects them to callers,
//! backend servers, the platform's object API and peer routers.

#![warn(missing_docs)]

mod accepted;
mod backend;
pub mod bench;
mod body_memory;
mod catalog;
pub mod cmd;
mod core;
mod daemon;
mod entry;
mod entry_parts;
mod entry_settings;
mod exchange;
pub mod fakes;
mod http_server;
mod lists;
mod peer;
mod platform;
mod router;
mod store;
mod tcp;
#[rustfmt::skip]
#[allow(clippy::all, clippy::pedantic, missing_docs, unused)]
mod router_capnp;
mod settings;
mod telemetry;
mod util;
mod vm_list;

pub use crate::accepted::{accept_edit, AcceptError, AcceptedLists, Edit};
pub use crate::body_memory::{AnswerBuffer, BodyError, BodyMemory, RequestBuffer};
pub use crate::core::bill::{Bill, BudgetTotals, RunEnd, RunId, Settlement};
pub use crate::core::claim::{Claim, ClaimKey, ClaimOutcome, ClaimShard, ClaimState};
pub use crate::core::cover::{fleet_cover_tokens, CoverPolicy, DemandRate, RankedDemand};
pub use crate::core::duty::{
    distributor_count, ledger_order, stand_in_interval_ms, store_watchers, DutyCandidate,
};
pub use crate::core::ejection::ProbeId;
pub use crate::core::holder::{Holder, ReserveError, UpdateParams};
pub use crate::core::holdings::{FleetHoldings, RouterHoldings};
pub use crate::core::ids::{
    BudgetId, FailureDomain, HolderId, IdError, ModelId, PlanId, PoolId, ReplicaId, ReplicaVersion,
    RequestId, ServiceId, TeamId, VmId,
};
pub use crate::core::ledger::{
    BudgetEntry, FoldedGrant, Generation, GrantRow, HolderUpdate, LedgerError, LedgerShard,
    SealedHorizons, UpdateOutcome, WitnessSet,
};
pub use crate::core::origin_keepers::{
    keeper_order, keepers, sources, FIRST_SOURCE_COUNT, KEEPER_COUNT, MAX_DIRECT_SOURCES,
    SOURCE_COUNT, SPARE_KEEPER_COUNT,
};
pub use crate::core::outage::{classify_failures, FailedCalls, OutageEvidence, StoreReport};
pub use crate::core::part_quarantine::{PartCrashOutcome, PartId, PartQuarantine};
pub use crate::core::permits::{PermitBucket, PermitDenial, ISSUER_COUNT};
pub use crate::core::placement::{
    choose_replica, Admission, PlacementOutcome, PlacementRequest, PromptInfo, PromptMix,
    ReplicaCandidate, ReplicaLoad,
};
pub use crate::core::places::{issuer_places, PlaceTable};
pub use crate::core::policy::{DemandMeter, GrantDecision, GrantPolicy, GrantView, PolicyName};
pub use crate::core::presence::{Presence, PresenceTable, RouterState, HEARTBEAT_TIMEOUT_MS};
pub use crate::core::quarantine::{
    CrashRecordOutcome, Fingerprint, Quarantine, ServerCrash, Suspicion, QUARANTINE_RETENTION_MS,
};
pub use crate::core::rate_limit::{RateLimit, RateLimitError};
pub use crate::core::replica_path::{PathChoice, ReplicaPath};
pub use crate::core::reported_load::ReportedLoads;
pub use crate::core::retry_budget::RetryBudget;
pub use crate::core::retry_share::{RetryRule, RetryShare};
pub use crate::core::routing::{
    PoolState, ReplicaState, RoutingPolicy, RoutingPolicyName, RoutingRequest,
};
pub use crate::core::stream_origin::{
    KnownOrigin, OriginOutcome, OriginTable, StreamId, StreamOrigin, MAX_ORIGINS,
    ORIGIN_RETENTION_MS,
};
pub use crate::core::subset::{weighted_subset, SubsetCandidate, MAX_ADDRESSES};
pub use crate::core::suspect_reservations::{ReservationOutcome, SuspectReservations, SuspectRun};
pub use crate::core::units::Tokens;
pub use crate::core::version_history::VersionHistory;
pub use crate::core::witness::{Witness, WitnessRecord};
pub use crate::daemon::{Daemon, DaemonError};
pub use crate::entry_settings::{EntrySettings, RetrySettings};
pub use crate::lists::{
    parse_list, validate_lists, ListName, PlansList, UsageList, ValidationError,
};
pub use crate::router::billing::settle_all;
pub use crate::router::ledger_client::LedgerClient;
pub use crate::router::refusal::{ErrorBody, RefusalKind, RunState};
pub use crate::router::web::{AddressesAnswer, RequestStatus};
pub use crate::settings::{Settings, SettingsError};
pub use crate::store::feed_log::{FeedDelta, FeedLog, LoggedChange};
pub use crate::store::kinds::{Change, Changes, KindObject, Listing, Revision};
pub use crate::store::memory::{MemoryStore, StoreCounts, StoreFaults};
pub use crate::store::{Expected, Object, ObjectKey, ObjectStore, StoreError};
pub use crate::telemetry::{discard_logger, json_logger};
pub use crate::vm_list::{VmRecord, VmRole, VmState};
