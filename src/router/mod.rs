//! The components of a router process and their assembly.

pub mod admission;
pub mod billing;
pub mod caller;
pub mod chat;
pub mod claims;
pub mod configuration;
pub mod drain;
pub mod fleet;
pub mod group_commit;
pub mod ledger_client;
pub mod probing;
pub mod reclaim;
pub mod refusal;
pub mod replicas;
pub mod requests;
pub mod service;
pub mod spending;
pub mod web;

mod assembly;
mod body;
mod peer_service;
mod suspects;

pub use assembly::{ExternalSystems, Router, RouterOptions};
