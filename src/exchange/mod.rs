//! The exchange: an opaque request from a caller to a replica, and its answer back.
//!
//! The pipeline authenticates, routes, reserves tokens, chooses a replica, tries it, relays the
//! answer and settles. It knows neither HTTP headers nor the store's formats; those lie behind
//! the traits `ReplicaTransport` and `KindStore`.

pub(crate) mod catalog;
pub(crate) mod directory;
pub(crate) mod engine;
pub(crate) mod events;
pub(crate) mod feed_keeper;
pub(crate) mod feed_link;
pub(crate) mod grant_updates;
pub(crate) mod grants;
pub(crate) mod hellos;
pub(crate) mod ledger_sync;
pub(crate) mod members;
pub(crate) mod metrics;
pub(crate) mod pooling;
pub(crate) mod pools;
pub(crate) mod quarantine_store;
pub(crate) mod record;
pub(crate) mod relay;
pub(crate) mod request;
pub(crate) mod room;
pub(crate) mod run;
pub(crate) mod server_ends;
pub(crate) mod suspects;
pub(crate) mod transfers;
