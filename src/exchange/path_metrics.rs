//! Prometheus metrics of the network path to the replicas.

use std::io;

use prometheus::{IntCounterVec, IntGauge, Opts, Registry};

use strum::Display;
use tokio::net::TcpStream;

use super::metrics::register;

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

/// Metrics of this router's path to the replicas, and of connections through other routers.
#[derive(Debug)]
pub(crate) struct PathMetrics {
    has_path: IntGauge,
    connects: IntCounterVec,
    tunnels: IntCounterVec,
    tunnels_served: IntCounterVec,
}

impl PathMetrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails when two metrics share a name.
    pub(super) fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let counters = |name, help| {
            register(
                registry,
                IntCounterVec::new(Opts::new(name, help), &["result"])?,
            )
        };
        let has_path = IntGauge::new(
            "currantlever_replica_path",
            "1 if this router reaches backend servers, 0 if only other routers do",
        )?;
        Ok(Self {
            has_path: register(registry, has_path)?,
            connects: counters(
                "currantlever_replica_connects",
                "Connections opened to backend servers, by result",
            )?,
            tunnels: counters(
                "currantlever_tunnels",
                "Connections to backend servers requested from other routers, by their answer",
            )?,
            tunnels_served: counters(
                "currantlever_tunnels_served",
                "Connections to backend servers requested by other routers, by the answer",
            )?,
        })
    }

    /// Sets whether this router has a path to the replicas.
    pub(super) fn set_has_path(&self, has_path: bool) {
        self.has_path.set(i64::from(has_path));
    }

    /// Counts a direct connection to a replica by its result.
    pub(super) fn count_connect(&self, result: &io::Result<TcpStream>) {
        let result = ConnectResult::of(result).to_string();
        self.connects.with_label_values(&[result.as_str()]).inc();
    }

    /// Counts a connection to a replica requested from another router, by that router's answer.
    pub(super) fn count_tunnel(&self, result: &str) {
        self.tunnels.with_label_values(&[result]).inc();
    }

    /// Counts a connection to a replica requested by another router, by the answer.
    pub(super) fn count_tunnel_served(&self, result: &str) {
        self.tunnels_served.with_label_values(&[result]).inc();
    }
}
