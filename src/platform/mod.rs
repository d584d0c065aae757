//! Adapter between the platform's wire formats and the router's own types.
//!
//! It only decodes and encodes names and formats; decisions, state and recovery are in `exchange`
//! and `core`.

mod activity;
mod caller_request;
mod caller_stream;
pub(crate) mod client_connections;
pub(crate) mod config;
mod connections;
pub(crate) mod ingress;
mod lenient_json;
pub(crate) mod names;
pub(crate) mod objects;
pub(crate) mod registry;
pub(crate) mod replica_entry;
mod request_headers;
pub(crate) mod sinks;
pub(crate) mod transport;
