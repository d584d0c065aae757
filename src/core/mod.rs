//! Decision logic: pure state machines without clock, I/O or random source.
//!
//! Shared by the daemon, the model checker and the policy benchmark.

pub mod bill;
pub mod claim;
pub mod cover;
pub mod duty;
pub mod ejection;
pub mod fair_queue;
pub mod holder;
pub mod holdings;
pub mod ids;
pub mod ledger;
pub mod origin_keepers;
pub mod outage;
pub mod part_quarantine;
pub mod permits;
pub mod placement;
pub mod places;
pub mod policy;
pub mod presence;
pub mod quarantine;
pub mod rate_limit;
pub mod replica_path;
pub mod reported_load;
pub mod retry_budget;
pub mod retry_share;
pub mod routing;
pub mod share;
pub mod stream_origin;
pub mod subset;
pub mod suspect_reservations;
pub mod units;
pub mod version_history;
pub mod witness;
