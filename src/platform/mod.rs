//! The adapter between the platform's wire and the product.
//!
//! It decodes names and formats once into the product's types and does nothing else: decisions,
//! state and recovery lie in `exchange` and `core`.

mod activity;
mod caller_stream;
pub(crate) mod config;
pub(crate) mod ingress;
pub(crate) mod names;
pub(crate) mod objects;
pub(crate) mod registry;
pub(crate) mod replica_entry;
pub(crate) mod sinks;
pub(crate) mod transport;
