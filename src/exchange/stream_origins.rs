//! Origins of streams, which this router records, keeps for others and looks up.
//!
//! The router that receives the first event of a stream tells a few keepers by datagram before it
//! forwards the event, so that any router can find the version at which the stream may go on after
//! the first one was lost.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use slog::{debug, info, Logger};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, Notify};
use tokio::time::Instant;

use super::members::Members;
use super::metrics::ExchangeMetrics;
use super::origin_messages::{OriginAck, OriginAnswer, OriginQuery, OriginReply, OriginReport};
use super::transfers::PeerMessage;
use crate::core::ids::{PoolId, ReplicaVersion};
use crate::core::origin_keepers::KEEPER_COUNT;
use crate::core::stream_origin::{
    KnownOrigin, OriginOutcome, OriginTable, StreamId, StreamOrigin, ORIGIN_RETENTION_MS,
};
use crate::util::{lock, millis};

/// Acknowledgements by which an origin counts as kept.
const MIN_ACKS: usize = 2;
/// Timeout for these, after which the origin is sent once more and to the spare keepers too.
const ACK_TIMEOUT: Duration = Duration::from_millis(50);
/// Interval at which pending reports are checked.
const PENDING_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of reports whose acknowledgements are awaited; others are sent only once.
const MAX_PENDING_REPORTS: usize = 4_096;

/// Returns the version that all replicas of a pool have had for longer than a stream lives, by lists
/// known to be current.
pub(crate) type SingleVersionSource = Arc<dyn Fn(&PoolId) -> Option<ReplicaVersion> + Send + Sync>;

/// The router that knew the origin of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OriginSource {
    /// This router.
    Own,
    /// Another one, by its hello address.
    Router(SocketAddr),
}

impl fmt::Display for OriginSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Own => f.pad("own"),
            Self::Router(address) => address.fmt(f),
        }
    }
}

/// Result of a search for the origin of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum FoundOrigin {
    /// The stream may go on at the version of this origin.
    Known {
        /// Replica and version of the first event.
        origin: StreamOrigin,
        /// Who knew it.
        source: OriginSource,
        /// Time since the first event.
        age: Duration,
    },
    /// Several versions began it.
    Conflicting,
    /// Nobody who replied in time knows it.
    Unknown {
        /// Number of routers asked.
        asked: usize,
        /// Number of routers that replied.
        answered: usize,
        /// The version that all replicas of the pool have had for longer than a stream lives, and a
        /// router that says so; none if routers disagree.
        single_version: Option<(ReplicaVersion, SocketAddr)>,
    },
}

/// A report whose acknowledgements are awaited.
#[derive(Debug)]
struct PendingReport {
    report: OriginReport,
    began_at: Instant,
    sent_at: Instant,
    unacknowledged: Vec<SocketAddr>,
    spare: Vec<SocketAddr>,
    missing_acks: usize,
    is_repeated: bool,
}

/// Replies to one search, with their senders.
pub(super) type ReplySender = mpsc::Sender<(SocketAddr, OriginAnswer)>;

/// Records, keeps and looks up the origins of streams.
pub(crate) struct StreamOrigins {
    pub(super) members: Arc<Members>,
    pub(super) socket: Arc<UdpSocket>,
    pub(super) metrics: Arc<ExchangeMetrics>,
    pub(super) log: Logger,
    single_version: SingleVersionSource,
    started: Instant,
    pub(super) table: Mutex<OriginTable>,
    pending_reports: Mutex<HashMap<StreamId, PendingReport>>,
    has_pending_reports: Notify,
    pub(super) pending_searches: Mutex<HashMap<u64, ReplySender>>,
}

impl fmt::Debug for StreamOrigins {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StreamOrigins").finish_non_exhaustive()
    }
}

impl StreamOrigins {
    /// Creates an empty set of origins.
    pub(crate) fn new(
        members: Arc<Members>,
        socket: Arc<UdpSocket>,
        metrics: Arc<ExchangeMetrics>,
        single_version: SingleVersionSource,
        log: Logger,
    ) -> Self {
        Self {
            members,
            socket,
            metrics,
            log,
            single_version,
            started: Instant::now(),
            table: Mutex::default(),
            pending_reports: Mutex::default(),
            has_pending_reports: Notify::new(),
            pending_searches: Mutex::default(),
        }
    }

    /// Records what began a stream and tells the keepers. Must be called before the first event is
    /// forwarded.
    pub(crate) fn record(&self, stream: StreamId, origin: StreamOrigin) {
        self.metrics.count_stream_origin("recorded");
        let age_ms = self.apply_origin(stream, &origin, 0, OriginSource::Own);
        let mut keepers = self.members.origin_keepers(stream);
        let spare = keepers.split_off(keepers.len().min(KEEPER_COUNT));
        let report = OriginReport {
            stream,
            origin,
            age_ms,
        };
        PeerMessage::StreamOrigin(report.clone()).send_all(&self.socket, &keepers);
        if keepers.is_empty() {
            return;
        }
        let now = Instant::now();
        let pending = PendingReport {
            report,
            began_at: now,
            sent_at: now,
            missing_acks: MIN_ACKS.min(keepers.len()),
            unacknowledged: keepers,
            spare,
            is_repeated: false,
        };
        let mut reports = lock(&self.pending_reports);
        if reports.len() < MAX_PENDING_REPORTS {
            reports.insert(stream, pending);
            self.has_pending_reports.notify_one();
        } else {
            self.metrics.count_stream_origin("untracked");
        }
    }

    /// Returns true if this router knows what began a stream.
    pub(crate) fn is_known(&self, stream: StreamId) -> bool {
        lock(&self.table).find(stream, self.now_ms()).is_some()
    }

    /// Keeps the origin that another router reports.
    pub(crate) fn handle_report(&self, router: SocketAddr, report: &OriginReport) {
        self.metrics.count_stream_origin("kept");
        let OriginReport { stream, origin, .. } = report;
        self.apply_origin(*stream, origin, report.age_ms, OriginSource::Router(router));
        let known = lock(&self.table).find(*stream, self.now_ms());
        let ack = OriginAck {
            stream: *stream,
            is_conflicting: matches!(known, Some((KnownOrigin::Conflicting, _))),
        };
        PeerMessage::OriginAck(ack).send(&self.socket, router);
    }

    /// Applies the acknowledgement of a keeper.
    pub(crate) fn apply_ack(&self, router: SocketAddr, ack: OriginAck) {
        let mut reports = lock(&self.pending_reports);
        let Some(pending) = reports.get_mut(&ack.stream) else {
            return;
        };
        let sent_count = pending.unacknowledged.len();
        pending.unacknowledged.retain(|keeper| *keeper != router);
        if pending.unacknowledged.len() == sent_count {
            debug!(self.log, "origin acknowledged by a router that was not told";
                "stream" => ack.stream.to_string(), "router" => router.to_string());
            return;
        }
        pending.missing_acks = pending.missing_acks.saturating_sub(1);
        if pending.missing_acks == 0 {
            reports.remove(&ack.stream);
            self.metrics.count_stream_origin("acknowledged");
        }
        drop(reports);
        if ack.is_conflicting {
            self.apply_conflict(ack.stream, 0, OriginSource::Router(router));
        }
    }

    /// Answers the query of another router.
    pub(crate) fn handle_query(&self, router: SocketAddr, query: &OriginQuery) {
        let known = lock(&self.table).find(query.stream, self.now_ms());
        let answer = match known {
            Some((KnownOrigin::Origin(origin), age_ms)) => OriginAnswer::Known {
                origin,
                age_ms: to_u32(age_ms),
            },
            Some((KnownOrigin::Conflicting, age_ms)) => OriginAnswer::Conflicting {
                age_ms: to_u32(age_ms),
            },
            None => OriginAnswer::Unknown {
                single_version: (self.single_version)(&query.pool),
            },
        };
        let reply = OriginReply {
            id: query.id,
            answer,
        };
        PeerMessage::OriginReply(reply).send(&self.socket, router);
    }

    /// Passes the reply of another router to the search that waits for it.
    pub(crate) fn apply_reply(&self, router: SocketAddr, reply: OriginReply) {
        let search = lock(&self.pending_searches).get(&reply.id).cloned();
        let is_passed =
            search.is_some_and(|search| search.try_send((router, reply.answer)).is_ok());
        if !is_passed {
            debug!(self.log, "reply on a stream's origin came too late";
                "router" => router.to_string());
        }
    }

    /// Sends reports without enough acknowledgements once more.
    pub(crate) async fn send_repeats(self: Arc<Self>) {
        loop {
            if lock(&self.pending_reports).is_empty() {
                self.has_pending_reports.notified().await;
            }
            tokio::time::sleep(PENDING_CHECK_INTERVAL).await;
            for (report, receivers) in self.due_reports() {
                PeerMessage::StreamOrigin(report).send_all(&self.socket, &receivers);
            }
        }
    }

    /// Returns the reports to send once more, with their receivers, and drops those that were
    /// repeated in vain.
    fn due_reports(&self) -> Vec<(OriginReport, Vec<SocketAddr>)> {
        let mut due = Vec::new();
        lock(&self.pending_reports).retain(|stream, pending| {
            if pending.sent_at.elapsed() < ACK_TIMEOUT {
                return true;
            }
            if pending.is_repeated {
                self.metrics.count_stream_origin("unacknowledged");
                info!(self.log, "origin of a stream not acknowledged";
                    "stream" => stream.to_string(), "missing" => pending.missing_acks,
                    "asked" => join(&pending.unacknowledged),
                    "age_ms" => millis(pending.began_at.elapsed()));
                return false;
            }
            self.metrics.count_stream_origin("repeated");
            pending.is_repeated = true;
            pending.sent_at = Instant::now();
            pending.unacknowledged.append(&mut pending.spare);
            let waited_ms = to_u32(millis(pending.began_at.elapsed()));
            let mut report = pending.report.clone();
            report.age_ms = report.age_ms.saturating_add(waited_ms);
            due.push((report, pending.unacknowledged.clone()));
            true
        });
        due
    }

    /// Applies an origin to the own table and returns its age in milliseconds, which is that of the
    /// first report if it was known.
    pub(super) fn apply_origin(
        &self,
        stream: StreamId,
        origin: &StreamOrigin,
        age_ms: u32,
        source: OriginSource,
    ) -> u32 {
        let now_ms = self.now_ms();
        let at_ms = now_ms.saturating_sub(u64::from(age_ms));
        let mut table = lock(&self.table);
        let before = table.find(stream, now_ms);
        let outcome = table.record(stream, origin, at_ms, now_ms);
        drop(table);
        let known_age_ms = before.as_ref().map(|(_, age_ms)| *age_ms);
        if outcome == OriginOutcome::NewConflict {
            self.metrics.count_stream_origin("conflicting");
            info!(self.log, "streams of several versions under one attempt";
                "stream" => stream.to_string(), "source" => source.to_string(),
                "version" => origin.version.as_str(), "pool" => origin.pool.as_str(),
                "known" => describe(before.as_ref().map(|(known, _)| known)),
                "known_age_ms" => known_age_ms);
            return age_ms;
        }
        known_age_ms.map_or(age_ms, to_u32)
    }

    /// Applies to the own table that several versions began a stream.
    pub(super) fn apply_conflict(&self, stream: StreamId, age_ms: u32, source: OriginSource) {
        let now_ms = self.now_ms();
        let at_ms = now_ms.saturating_sub(u64::from(age_ms));
        let mut table = lock(&self.table);
        let before = table.find(stream, now_ms).map(|(known, _)| known);
        if before == Some(KnownOrigin::Conflicting) {
            return;
        }
        table.record_conflict(stream, at_ms, now_ms);
        drop(table);
        self.metrics.count_stream_origin("conflicting");
        info!(self.log, "streams of several versions under one attempt, by another router";
            "stream" => stream.to_string(), "source" => source.to_string(),
            "known" => describe(before.as_ref()), "age_ms" => age_ms);
    }

    /// Returns the clock of the table. It starts at `ORIGIN_RETENTION_MS`, so that subtracting the
    /// age of an origin that still counts never saturates.
    pub(super) fn now_ms(&self) -> u64 {
        millis(self.started.elapsed()) + ORIGIN_RETENTION_MS
    }
}

fn describe(known: Option<&KnownOrigin>) -> String {
    match known {
        None => "nothing".to_owned(),
        Some(KnownOrigin::Conflicting) => "several versions".to_owned(),
        Some(KnownOrigin::Origin(origin)) => format!("{} in {}", origin.version, origin.pool),
    }
}

fn join(routers: &[SocketAddr]) -> String {
    let routers: Vec<String> = routers.iter().map(SocketAddr::to_string).collect();
    routers.join(" ")
}

fn to_u32(time_ms: u64) -> u32 {
    u32::try_from(time_ms).unwrap_or(u32::MAX)
}
