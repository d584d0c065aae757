//! Clients of the backend servers: model engines and plain services.

pub mod chat;
pub mod http;

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use compact_str::CompactString;
use futures::stream::BoxStream;
use thiserror::Error;

use crate::core::ids::RequestId;
use chat::{ChatChunk, ChatRequest};

/// Error of a call to a backend server; it determines whether the request may have run.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum BackendError {
    /// The connection was not established, so no byte of the request reached the backend server.
    #[error("not connected: {reason}")]
    NotConnected {
        /// The cause, as reported by the transport.
        reason: String,
    },
    /// The backend server refused the request without running it, as its status states.
    #[error("backend server refused with status {status}")]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// The call was interrupted. The request may have run.
    #[error("call broke off: {reason}")]
    Broken {
        /// The cause, as reported by the transport.
        reason: String,
    },
    /// The answer belongs to another request.
    #[error("answer carries request id {found:?}")]
    Mismatched {
        /// The id in the answer.
        found: String,
    },
}

impl BackendError {
    /// Returns true when the request certainly did not run.
    #[must_use]
    pub const fn is_not_run(&self) -> bool {
        matches!(self, Self::NotConnected { .. } | Self::Refused { .. })
    }
}

/// Per-call parameters common to all backend servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallContext {
    /// Id that the answer must carry.
    pub request: RequestId,
    /// W3C trace context for the backend server's span.
    pub traceparent: Option<CompactString>,
    /// Timeout for the first byte of the answer.
    pub time_left: Duration,
}

/// A call of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceCall {
    /// HTTP method, in capitals.
    pub method: CompactString,
    /// Path and query, starting with `/`.
    pub path: CompactString,
    /// Content type of the body.
    pub content_type: Option<CompactString>,
    /// The body.
    pub body: Bytes,
}

/// The answer of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: Option<CompactString>,
    /// The body.
    pub body: Bytes,
}

/// The load reported by an engine, as of a moment before the report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    /// Requests in the running batch.
    pub running_requests: u32,
    /// Requests queued for the batch.
    pub queued_requests: u32,
}

/// An order to an engine to change its role or what it has loaded.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineOrder {
    /// Fencing number, increased with every order for the replica. An engine that checks it refuses
    /// orders with an older number.
    pub fencing: u64,
    /// The adapters to have loaded. An order carries the complete desired state, so that a repeated
    /// or late one is harmless.
    pub adapters: Vec<CompactString>,
}

/// Chunks of a streamed answer.
pub type ChunkStream = BoxStream<'static, Result<ChatChunk, BackendError>>;

/// A client of model engines.
#[async_trait]
pub trait ModelEngine: fmt::Debug + Send + Sync {
    /// Sends a chat completion and returns its stream. Dropping the stream cancels the request.
    async fn chat(
        &self,
        address: SocketAddr,
        request: &ChatRequest,
        context: &CallContext,
    ) -> Result<ChunkStream, BackendError>;

    /// Resumes an interrupted stream after the chunks already received.
    async fn resume(
        &self,
        address: SocketAddr,
        received_chunks: u64,
        context: &CallContext,
    ) -> Result<ChunkStream, BackendError>;

    /// Reads the engine's load.
    async fn load(&self, address: SocketAddr) -> Result<LoadReport, BackendError>;

    /// Sends an order.
    async fn order(&self, address: SocketAddr, order: &EngineOrder) -> Result<(), BackendError>;
}

/// A client of plain services.
#[async_trait]
pub trait PlainService: fmt::Debug + Send + Sync {
    /// Makes one call and reads the complete answer.
    async fn call(
        &self,
        address: SocketAddr,
        call: &ServiceCall,
        context: &CallContext,
    ) -> Result<ServiceAnswer, BackendError>;

    /// Returns true when the backend server accepts a connection. Sends no data.
    async fn is_reachable(&self, address: SocketAddr) -> bool;
}
