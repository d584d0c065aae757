//! Opens connections to replicas.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use strum::Display;
use thiserror::Error;
use tokio::net::TcpStream;

use super::metrics::ExchangeMetrics;
use super::request::ProbeResult;
use crate::tcp::connect;

/// Timeout for connecting to a replica, which is in the same region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time in which a replica acknowledges nothing or takes no bytes, after which its connection counts
/// as lost. Longer than the silence of a sound replica and the next TCP retransmission after it.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Why no connection to a replica was opened.
#[derive(Debug, Error)]
pub(crate) enum DialError {
    /// Its address refuses connections.
    #[error("{0}")]
    Refused(io::Error),
    /// It cannot be reached.
    #[error("{0}")]
    Unreachable(io::Error),
}

impl From<io::Error> for DialError {
    fn from(error: io::Error) -> Self {
        if error.kind() == io::ErrorKind::ConnectionRefused {
            Self::Refused(error)
        } else {
            Self::Unreachable(error)
        }
    }
}

/// Result of opening a connection, as counted by the metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
enum ConnectResult {
    Connected,
    Refused,
    TimedOut,
    Failed,
}

impl ConnectResult {
    fn of(result: &io::Result<TcpStream>) -> Self {
        match result {
            Ok(_) => Self::Connected,
            Err(error) => match error.kind() {
                io::ErrorKind::ConnectionRefused => Self::Refused,
                io::ErrorKind::TimedOut => Self::TimedOut,
                _ => Self::Failed,
            },
        }
    }
}

/// Opens connections to replicas.
#[derive(Debug)]
pub(crate) struct ReplicaDialer {
    metrics: Arc<ExchangeMetrics>,
}

impl ReplicaDialer {
    /// Creates a dialer that counts its connections.
    pub(crate) const fn new(metrics: Arc<ExchangeMetrics>) -> Self {
        Self { metrics }
    }

    /// Opens a connection to a replica.
    ///
    /// # Errors
    ///
    /// Fails if the replica refuses it or does not answer in time.
    pub(crate) async fn dial(&self, address: SocketAddr) -> Result<TcpStream, DialError> {
        let result = connect(address, CONNECT_TIMEOUT, TCP_USER_TIMEOUT).await;
        let counted = ConnectResult::of(&result);
        self.metrics.count_replica_connect(&counted.to_string());
        Ok(result?)
    }

    /// Opens a connection without using it, to check whether a server listens.
    pub(crate) async fn probe(&self, address: SocketAddr) -> ProbeResult {
        match self.dial(address).await {
            Ok(_) => ProbeResult::Accepted,
            Err(DialError::Refused(_)) => ProbeResult::Refused,
            Err(DialError::Unreachable(_)) => ProbeResult::NoAnswer,
        }
    }
}
