//! Backend servers as the routers see them: model engines and plain services.

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

/// What the transport knows about a failed call.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum BackendError {
    /// No connection was made, so no byte of the request reached the backend server.
    #[error("not connected: {reason}")]
    NotConnected {
        /// What the transport saw.
        reason: String,
    },
    /// The backend server refused before running the request, and said so.
    #[error("backend server refused with status {status}")]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// The call broke off. The request may have run.
    #[error("call broke off: {reason}")]
    Broken {
        /// What the transport saw.
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
    /// True when the request certainly did not run.
    #[must_use]
    pub const fn is_not_run(&self) -> bool {
        matches!(self, Self::NotConnected { .. } | Self::Refused { .. })
    }
}

/// What goes with every call to a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallContext {
    /// Id that the answer must carry.
    pub request: RequestId,
    /// W3C trace context for the backend server's span.
    pub traceparent: Option<CompactString>,
    /// Time left for the first byte of the answer.
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

/// The load that an engine reports. It lags.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    /// Requests in the running batch.
    pub running_requests: u32,
    /// Requests that wait.
    pub queued_requests: u32,
}

/// An order to an engine to change its role or what it has loaded.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineOrder {
    /// Rises with every order for the replica; an engine that checks refuses older ones.
    pub fencing: u64,
    /// The whole wanted state, so that a repeated or late order does no harm.
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

    /// Goes on with a stream that broke, from a number of chunks already received.
    async fn resume(
        &self,
        address: SocketAddr,
        received_chunks: u64,
        context: &CallContext,
    ) -> Result<ChunkStream, BackendError>;

    /// Reads the engine's load.
    async fn load(&self, address: SocketAddr) -> Result<LoadReport, BackendError>;

    /// Gives an order.
    async fn order(&self, address: SocketAddr, order: &EngineOrder) -> Result<(), BackendError>;
}

/// A client of plain services.
#[async_trait]
pub trait PlainService: fmt::Debug + Send + Sync {
    /// Makes one call. The whole answer is read.
    async fn call(
        &self,
        address: SocketAddr,
        call: &ServiceCall,
        context: &CallContext,
    ) -> Result<ServiceAnswer, BackendError>;

    /// True when the backend server takes connections. Sends nothing.
    async fn is_reachable(&self, address: SocketAddr) -> bool;
}
