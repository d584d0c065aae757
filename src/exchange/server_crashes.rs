//! Distinguishes crashed backend servers from lost connections.
//!
//! A lost connection does not prove that the server crashed: servers reset connections, and network
//! partitions look the same. The server is therefore probed. If its address refuses connections, or
//! its entry is replaced or removed soon after, it crashed with the request in progress.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use compact_str::CompactString;
use slog::{debug, info, Logger};
use strum::Display;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::metrics::ExchangeMetrics;
use super::pools::{Incarnation, Pools};
use super::request::{ProbeResult, ReplicaAddress, ReplicaTransport};
use super::suspects::Suspects;
use crate::core::ids::ReplicaId;
use crate::core::part_quarantine::PartId;
use crate::core::quarantine::Fingerprint;
use crate::util::lock;

/// Time after a lost connection within which evidence counts: entries of unresponsive servers are
/// removed only after several missed heartbeats.
const EVIDENCE_WINDOW: Duration = Duration::from_secs(15);
/// Pause between probes of a server that does not answer.
const PROBE_PAUSE: Duration = Duration::from_millis(200);
/// Maximum number of unresolved lost connections; the oldest are dropped first.
const MAX_UNRESOLVED: usize = 256;

/// A connection that was lost with a request in progress.
#[derive(Clone, Debug)]
pub(crate) struct LostConnection {
    /// Digest of the request's content.
    pub fingerprint: Fingerprint,
    /// Attempt id that the caller chose.
    pub request: CompactString,
    /// Server at the other end.
    pub replica: ReplicaAddress,
    /// Incarnation that the request was sent to.
    pub incarnation: Incarnation,
    /// Time for which the request had been there.
    pub ran: Duration,
    /// Parts of its prompt, without the last, if it waited for its first token.
    pub waiting_parts: Arc<[PartId]>,
}

/// Evidence that a server crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum CrashEvidence {
    /// Its address refuses connections.
    Refused,
    /// Its entry names another incarnation.
    EntryReplaced,
    /// Its entry was removed, and it had not reported that it was leaving.
    EntryRemoved,
}

/// What a probe of a server shows after a connection to it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ServerState {
    /// It still accepts connections.
    Listening,
    /// It crashed.
    Crashed,
    /// It cannot be reached, or has left.
    Unknown,
}

/// A lost connection whose cause is not known yet.
#[derive(Debug)]
struct UnresolvedLoss {
    loss_id: u64,
    lost: LostConnection,
    incarnation: Incarnation,
    since: Instant,
}

#[derive(Debug, Default)]
struct State {
    unresolved: VecDeque<UnresolvedLoss>,
    last_loss_id: u64,
}

/// Determines which connections were lost because their server crashed.
#[derive(Debug)]
pub(crate) struct ServerCrashes {
    transport: Arc<dyn ReplicaTransport>,
    pools: Arc<Pools>,
    suspects: Arc<Suspects>,
    metrics: Arc<ExchangeMetrics>,
    log: Logger,
    state: Mutex<State>,
}

impl ServerCrashes {
    /// Creates the tracker, without lost connections.
    pub(crate) fn new(
        transport: Arc<dyn ReplicaTransport>,
        pools: Arc<Pools>,
        suspects: Suspects,
        metrics: Arc<ExchangeMetrics>,
        log: Logger,
    ) -> Self {
        Self {
            transport,
            pools,
            suspects: Arc::new(suspects),
            metrics,
            log,
            state: Mutex::default(),
        }
    }

    /// Returns the requests that were in progress on servers that crashed.
    pub(crate) const fn suspects(&self) -> &Arc<Suspects> {
        &self.suspects
    }

    /// Probes a server after a connection to it was lost, and records a crash that the probe shows.
    /// Later evidence is recorded as well. The end of a server that had reported that it was
    /// leaving is no crash.
    /// Probes that get no answer are repeated for `patience`.
    pub(crate) fn investigate(
        self: &Arc<Self>,
        lost: LostConnection,
        patience: Duration,
    ) -> JoinHandle<ServerState> {
        let crashes = Arc::clone(self);
        tokio::spawn(async move {
            let loss_id = crashes.track(lost.clone());
            match crashes.probe(&lost.replica, patience).await {
                ProbeResult::Refused => {
                    let Some(loss_id) = loss_id else {
                        return ServerState::Unknown;
                    };
                    crashes
                        .pools
                        .mark_crashed(&lost.replica.id, lost.incarnation);
                    crashes.resolve_losses(CrashEvidence::Refused, |unresolved| {
                        unresolved.loss_id == loss_id
                    });
                    ServerState::Crashed
                }
                ProbeResult::Accepted => {
                    debug!(crashes.log, "connection lost, but the server still accepts connections";
                        "replica" => lost.replica.id.as_str(), "request" => lost.request.as_str());
                    lock(&crashes.state)
                        .unresolved
                        .retain(|unresolved| Some(unresolved.loss_id) != loss_id);
                    crashes.metrics.count_lost_connection("server_listens");
                    ServerState::Listening
                }
                ProbeResult::NoAnswer => ServerState::Unknown,
            }
        })
    }

    async fn probe(&self, replica: &ReplicaAddress, patience: Duration) -> ProbeResult {
        let end = Instant::now() + patience;
        loop {
            let result = self.transport.probe(replica).await;
            if result != ProbeResult::NoAnswer || Instant::now() >= end {
                return result;
            }
            tokio::time::sleep(PROBE_PAUSE).await;
        }
    }

    /// Applies a server's new entry: connections lost to another incarnation are resolved.
    pub(crate) fn apply_entry(&self, id: &ReplicaId, incarnation: Incarnation) {
        self.resolve_losses(CrashEvidence::EntryReplaced, |unresolved| {
            unresolved.lost.replica.id == *id && unresolved.incarnation != incarnation
        });
    }

    /// Applies the removal of a server's entry.
    pub(crate) fn apply_removed(&self, id: &ReplicaId) {
        self.resolve_losses(CrashEvidence::EntryRemoved, |unresolved| {
            unresolved.lost.replica.id == *id
        });
    }

    fn track(&self, lost: LostConnection) -> Option<u64> {
        let incarnation = self.pools.incarnation(&lost.replica.id)?;
        if self.pools.leaving_incarnation(&lost.replica.id).is_some() {
            return None;
        }
        let mut state = lock(&self.state);
        state.last_loss_id += 1;
        let loss_id = state.last_loss_id;
        state
            .unresolved
            .retain(|unresolved| unresolved.since.elapsed() < EVIDENCE_WINDOW);
        if state.unresolved.len() >= MAX_UNRESOLVED {
            state.unresolved.pop_front();
            self.metrics.count_lost_connection("forgotten");
        }
        state.unresolved.push_back(UnresolvedLoss {
            loss_id,
            lost,
            incarnation,
            since: Instant::now(),
        });
        Some(loss_id)
    }

    /// Records the crashes of servers for all matching lost connections.
    fn resolve_losses<F>(&self, evidence: CrashEvidence, is_match: F)
    where
        F: Fn(&UnresolvedLoss) -> bool,
    {
        let mut resolved = Vec::new();
        lock(&self.state).unresolved.retain(|unresolved| {
            let is_resolved = is_match(unresolved) && unresolved.since.elapsed() < EVIDENCE_WINDOW;
            if is_resolved {
                resolved.push((unresolved.lost.clone(), unresolved.since));
            }
            !is_resolved
        });
        for (lost, since) in &resolved {
            self.suspects.record_server_crash(lost, *since);
            self.suspects.parts().record_server_crash(lost, *since);
            self.metrics.count_lost_connection("server_ended");
            info!(self.log, "server crashed with a request in progress";
                "replica" => lost.replica.id.as_str(), "evidence" => evidence.to_string(),
                "request" => lost.request.as_str(),
                "fingerprint" => lost.fingerprint.to_string(),
                "waiting_parts" => join_parts(&lost.waiting_parts));
        }
    }
}

fn join_parts(parts: &[PartId]) -> String {
    let parts: Vec<String> = parts.iter().map(ToString::to_string).collect();
    parts.join(" ")
}
