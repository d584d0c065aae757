//! Connections to replicas and the pool of idle ones.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::util::lock;

/// Most idle connections kept to each replica.
const MAX_IDLE: usize = 6;
/// Most refused attempts on one connection, which is not reused after these.
const MAX_REFUSED_ATTEMPTS: usize = 8;

/// A connection to a replica.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    pub(super) task: AbortHandle,
    pub(super) address: SocketAddr,
    /// Router through which it leads, by its hello address; `None` if it is direct.
    pub(super) via: Option<SocketAddr>,
    pub(super) is_used: bool,
    pub(super) idle_since: Instant,
    pub(super) usable_until: Instant,
    pub(super) open_counts: Arc<OpenCounts>,
    /// Attempts that the replica refused on it. It may send a refusal once more, which could not be
    /// told from the answer to a request with the same id.
    pub(super) refused_attempts: Vec<CompactString>,
}

impl Connection {
    /// Records that the replica refused an attempt.
    pub(super) fn record_refused(&mut self, attempt: CompactString) {
        self.refused_attempts.push(attempt);
    }

    /// Returns true if further refused attempts can be recorded.
    pub(super) const fn may_refuse_more(&self) -> bool {
        self.refused_attempts.len() < MAX_REFUSED_ATTEMPTS
    }

    fn has_refused(&self, attempt: &str) -> bool {
        self.refused_attempts
            .iter()
            .any(|refused| refused == attempt)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
        let mut open = lock(&self.open_counts.by_address);
        if let Some(count) = open.get_mut(&self.address) {
            *count -= 1;
            if *count == 0 {
                open.remove(&self.address);
            }
        }
    }
}

/// Numbers of open connections.
#[derive(Debug, Default)]
pub(super) struct OpenCounts {
    pub(super) by_address: Mutex<HashMap<SocketAddr, usize>>,
}

/// Connections that wait for another request.
#[derive(Debug, Default)]
pub(super) struct IdleConnections {
    by_address: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
}

impl IdleConnections {
    /// Removes and returns the most recently used connection that can be reused for an attempt, of
    /// those that are expected to work.
    pub(super) fn take<F>(
        &self,
        address: SocketAddr,
        limit: Duration,
        attempt: &str,
        is_working: F,
    ) -> Option<Connection>
    where
        F: Fn(&Connection) -> bool,
    {
        let mut idle = lock(&self.by_address);
        let connections = idle.get_mut(&address)?;
        let now = Instant::now();
        connections
            .retain(|connection| !connection.sender.is_closed() && connection.usable_until > now);
        connections.retain(is_working);
        let index = connections
            .iter()
            .rposition(|connection| !connection.has_refused(attempt))?;
        let last = &connections[index];
        if now - last.idle_since > limit || !last.sender.is_ready() {
            return None;
        }
        Some(connections.remove(index))
    }

    /// Keeps a connection for another request.
    pub(super) fn put_back(&self, connection: Connection, max_idle: usize) {
        let mut idle = lock(&self.by_address);
        let connections = idle.entry(connection.address).or_default();
        connections.push(connection);
        if connections.len() > max_idle.min(MAX_IDLE) {
            connections.remove(0);
        }
    }

    /// Closes connections whose idle timeout has passed, and those through routers that are not to
    /// be used any more.
    pub(super) fn close_expired<F>(&self, may_use_router: F)
    where
        F: Fn(SocketAddr) -> bool,
    {
        let now = Instant::now();
        lock(&self.by_address).retain(|_, connections| {
            connections.retain(|connection| {
                !connection.sender.is_closed()
                    && connection.usable_until > now
                    && connection.via.is_none_or(&may_use_router)
            });
            !connections.is_empty()
        });
    }
}
