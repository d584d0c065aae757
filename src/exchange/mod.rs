//! Request pipeline: forwards an opaque request from a caller to a replica and relays the answer.
//!
//! The pipeline authenticates, routes, reserves tokens, selects a replica, sends the request,
//! relays the answer and settles the reservation. It is independent of HTTP headers and of the
//! store's formats, which are behind the traits `ReplicaTransport` and `KindStore`.

mod answer_buffer;
pub(crate) mod brittleness;
pub(crate) mod broken_answers;
pub(crate) mod caller_addresses;
pub(crate) mod catalog;
pub(crate) mod chosen_replica;
pub(crate) mod directory;
pub(crate) mod dispatch_progress;
pub(crate) mod engine;
mod event_ids;
pub(crate) mod events;
pub(crate) mod feed_link;
pub(crate) mod feed_sync;
pub(crate) mod grant_updates;
pub(crate) mod grants;
pub(crate) mod headroom;
mod hello_sender;
pub(crate) mod hellos;
pub(crate) mod ledger_sync;
pub(crate) mod limits;
pub(crate) mod members;
pub(crate) mod metrics;
pub(crate) mod origin_keepers;
pub(crate) mod origin_messages;
pub(crate) mod origin_search;
mod path_metrics;
pub(crate) mod path_monitor;
pub(crate) mod peer_link;
pub(crate) mod permit_issuers;
pub(crate) mod permits;
pub(crate) mod places;
pub(crate) mod pooling;
pub(crate) mod pools;
pub(crate) mod quarantine_store;
pub(crate) mod record;
pub(crate) mod relay;
pub(crate) mod replica_choice;
pub(crate) mod replica_dialer;
pub(crate) mod replica_reports;
pub(crate) mod replica_search;
pub(crate) mod replica_versions;
pub(crate) mod reported_grants;
pub(crate) mod request;
pub(crate) mod retries;
pub(crate) mod run;
pub(crate) mod server_crashes;
pub(crate) mod silence;
pub(crate) mod single_version;
pub(crate) mod stream_origins;
pub(crate) mod stream_resume;
pub(crate) mod stream_routes;
pub(crate) mod suspect_parts;
pub(crate) mod suspects;
pub(crate) mod transfers;
pub(crate) mod tunnel;
mod tunnel_stream;
