//! Permits for requests to replicas with a rate limit.
//!
//! The limit of a replica applies to all routers together. A few routers, which all routers compute
//! from the entries of the fleet, issue permits for it; any other router requests one by datagram
//! for each request that it wants to send there.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::RngExt;
use serde::{Deserialize, Serialize};
use slog::{debug, Logger};
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::limits::{LimitReport, ReplicaKey};
use super::members::Members;
use super::metrics::ExchangeMetrics;
use super::permit_issuers::PermitIssuer;
use super::pools::Pools;
use super::transfers::PeerMessage;
use crate::core::permits::{PermitBucket, PermitDenial};
use crate::core::places::PlaceTable;
use crate::util::{lock, millis};

/// Timeout for a reply to a permit request.
const REPLY_TIMEOUT: Duration = Duration::from_millis(50);
/// Consecutive requests without a reply after which an issuer is passed over for a time.
const TIMEOUTS_TO_PASS_OVER: u32 = 2;
/// Time for which an issuer without replies is passed over.
const PASS_OVER_TIME: Duration = Duration::from_secs(2);
/// Denial when the issuer did not reply.
const NO_REPLY_DENIAL: PermitDenial = PermitDenial {
    wait_ms: 100,
    retry_after_ms: 500,
};
/// Denial when no issuer can be reached, or the requested router is none.
const NO_ISSUER_DENIAL: PermitDenial = PermitDenial {
    wait_ms: 500,
    retry_after_ms: 1_000,
};
/// Denial when all places of a brittle replica are in use.
const NO_PLACE_DENIAL: PermitDenial = PermitDenial {
    wait_ms: 60,
    retry_after_ms: 500,
};
/// Time after which an unused bucket is dropped.
const BUCKET_RETENTION: Duration = Duration::from_secs(60);
/// Number of buckets, and of pending requests, from which on unused ones are dropped.
const PRUNE_COUNT: usize = 256;

/// Request for one permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PermitRequest {
    /// Random id, which the reply repeats.
    id: u64,
    /// Rank of the caller's request; 0 is the most urgent one.
    rank: u8,
    /// The replica, and what the requesting router knows of its limit.
    report: LimitReport,
    /// Lifetime of a place at the replica, in milliseconds, if the request is for a place.
    place_lifetime_ms: Option<u32>,
}

/// Reply to a permit request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PermitReply {
    id: u64,
    decision: WireDecision,
    /// What the issuer knows of the replica's limit.
    report: Option<LimitReport>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum WireDecision {
    Granted,
    Denied { wait_ms: u32, retry_after_ms: u32 },
}

impl From<Result<(), PermitDenial>> for WireDecision {
    fn from(decision: Result<(), PermitDenial>) -> Self {
        let to_u32 = |time_ms: u64| u32::try_from(time_ms).unwrap_or(u32::MAX);
        decision.map_or_else(
            |denial| Self::Denied {
                wait_ms: to_u32(denial.wait_ms),
                retry_after_ms: to_u32(denial.retry_after_ms),
            },
            |()| Self::Granted,
        )
    }
}

impl From<WireDecision> for Result<(), PermitDenial> {
    fn from(decision: WireDecision) -> Self {
        match decision {
            WireDecision::Granted => Ok(()),
            WireDecision::Denied {
                wait_ms,
                retry_after_ms,
            } => Err(PermitDenial {
                wait_ms: u64::from(wait_ms),
                retry_after_ms: u64::from(retry_after_ms),
            }),
        }
    }
}

/// A decision on a permit, and the router that made it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PermitAnswer {
    /// The decision.
    pub decision: Result<(), PermitDenial>,
    /// The issuer; `None` if none replied.
    pub issuer: Option<SocketAddr>,
}

#[derive(Debug)]
struct UsedBucket {
    bucket: PermitBucket,
    used_at: Instant,
}

#[derive(Debug)]
struct Pending {
    issuer: SocketAddr,
    reply: oneshot::Sender<Result<(), PermitDenial>>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Timeouts {
    count: u32,
    passed_over_until: Option<Instant>,
}

/// Requests and issues permits.
#[derive(Debug)]
pub(crate) struct Permits {
    pub(super) members: Arc<Members>,
    pub(super) pools: Arc<Pools>,
    pub(super) socket: Arc<UdpSocket>,
    pub(super) metrics: Arc<ExchangeMetrics>,
    log: Logger,
    started: Instant,
    buckets: Mutex<HashMap<ReplicaKey, UsedBucket>>,
    pub(super) place_tables: Mutex<HashMap<ReplicaKey, PlaceTable>>,
    pending: Mutex<HashMap<u64, Pending>>,
    timeouts: Mutex<HashMap<SocketAddr, Timeouts>>,
}

impl Permits {
    /// Creates the issuer of this router, without buckets.
    pub(crate) fn new(
        members: Arc<Members>,
        pools: Arc<Pools>,
        socket: Arc<UdpSocket>,
        metrics: Arc<ExchangeMetrics>,
        log: Logger,
    ) -> Self {
        Self {
            members,
            pools,
            socket,
            metrics,
            log,
            started: Instant::now(),
            buckets: Mutex::default(),
            place_tables: Mutex::default(),
            pending: Mutex::default(),
            timeouts: Mutex::default(),
        }
    }

    /// Requests a permit for one request to a replica.
    pub(crate) async fn acquire(&self, key: ReplicaKey, rank: u8) -> PermitAnswer {
        let Some(issuer) = self.usable_issuer(key) else {
            self.metrics.count_permit("no_issuer");
            return PermitAnswer {
                decision: Err(NO_ISSUER_DENIAL),
                issuer: None,
            };
        };
        let decision = if issuer.is_own {
            Some(self.issue(key, rank))
        } else {
            self.request(issuer.address, key, rank).await
        };
        let result = match decision {
            Some(Ok(())) => "granted",
            Some(Err(_)) => "denied",
            None => "no_reply",
        };
        self.metrics.count_permit(result);
        PermitAnswer {
            decision: decision.unwrap_or(Err(NO_REPLY_DENIAL)),
            issuer: decision.map(|_| issuer.address),
        }
    }

    /// Reports a change of a replica's limit to the issuers of its permits.
    pub(crate) fn report_change(&self, report: LimitReport) {
        let issuers = self.members.permit_issuers(report.key);
        let others = issuers.iter().filter(|issuer| !issuer.is_own);
        let others: Vec<SocketAddr> = others.map(|issuer| issuer.address).collect();
        PeerMessage::Limit(report).send_all(&self.socket, &others);
    }

    /// Decides on the permit request of another router.
    pub(crate) fn handle_request(&self, router: SocketAddr, request: PermitRequest) {
        let key = request.report.key;
        self.pools.apply_limit_reports(router, &[request.report]);
        let decision = match request.place_lifetime_ms {
            None => self.issue(key, request.rank),
            Some(lifetime_ms) => {
                let lifetime = Duration::from_millis(u64::from(lifetime_ms));
                let is_granted = self.issue_place(key, request.id, lifetime);
                is_granted.then_some(()).ok_or(NO_PLACE_DENIAL)
            }
        };
        let reply = PermitReply {
            id: request.id,
            decision: decision.into(),
            report: self.pools.limits().report(key),
        };
        PeerMessage::PermitReply(reply).send(&self.socket, router);
    }

    /// Applies the reply to a permit request.
    pub(crate) fn apply_reply(&self, router: SocketAddr, reply: &PermitReply) {
        if let Some(report) = reply.report {
            self.pools.apply_limit_reports(router, &[report]);
        }
        let pending = lock(&self.pending).remove(&reply.id);
        match pending {
            Some(pending) if pending.issuer == router => {
                // Fails when the request was cancelled or timed out.
                let _ = pending.reply.send(reply.decision.into());
            }
            _ => debug!(self.log, "permit reply came too late"; "router" => router.to_string()),
        }
    }

    fn is_usable(&self, issuer: &PermitIssuer) -> bool {
        let timeouts = lock(&self.timeouts);
        let passed_over_until = timeouts
            .get(&issuer.address)
            .and_then(|timeouts| timeouts.passed_over_until);
        issuer.is_own
            || issuer.is_alive && passed_over_until.is_none_or(|until| until <= Instant::now())
    }

    /// Takes a permit from this router's bucket for a replica.
    fn issue(&self, key: ReplicaKey, rank: u8) -> Result<(), PermitDenial> {
        let issuers = self.members.permit_issuers(key);
        let position = issuers.iter().position(|issuer| issuer.is_own);
        let position = position.ok_or(NO_ISSUER_DENIAL)?;
        // A limit that has ended needs no permit; the reply reports its end.
        let Some(note) = self.pools.limits().note(key) else {
            return Ok(());
        };
        let now_ms = self.now_ms();
        let mut buckets = lock(&self.buckets);
        if buckets.len() >= PRUNE_COUNT {
            buckets.retain(|_, used| used.used_at.elapsed() < BUCKET_RETENTION);
        }
        let used = buckets.entry(key).or_insert_with(|| UsedBucket {
            bucket: PermitBucket::new(now_ms),
            used_at: Instant::now(),
        });
        used.used_at = Instant::now();
        used.bucket.try_take(now_ms, note.limit, position, rank)
    }

    /// Requests a permit from another router. Returns `None` if it does not reply.
    async fn request(
        &self,
        issuer: SocketAddr,
        key: ReplicaKey,
        rank: u8,
    ) -> Option<Result<(), PermitDenial>> {
        // The limit may have ended since the replica was chosen.
        let Some(report) = self.pools.limits().report(key) else {
            return Some(Ok(()));
        };
        let request = PermitRequest {
            id: rand::rng().random(),
            rank,
            report,
            place_lifetime_ms: None,
        };
        self.send_request(issuer, request).await
    }

    /// Requests a place from another router.
    pub(super) async fn request_place(
        &self,
        issuer: SocketAddr,
        key: ReplicaKey,
        id: u64,
        lifetime: Duration,
    ) -> bool {
        let unlimited = LimitReport {
            key,
            limit: None,
            age_ms: u32::MAX,
        };
        let request = PermitRequest {
            id,
            rank: 0,
            report: self.pools.limits().report(key).unwrap_or(unlimited),
            place_lifetime_ms: Some(u32::try_from(millis(lifetime)).unwrap_or(u32::MAX)),
        };
        let decision = self.send_request(issuer, request).await;
        matches!(decision, Some(Ok(())))
    }

    /// Sends a request to another router. Returns `None` if it does not reply.
    async fn send_request(
        &self,
        issuer: SocketAddr,
        request: PermitRequest,
    ) -> Option<Result<(), PermitDenial>> {
        let id = request.id;
        let (sender, receiver) = oneshot::channel();
        {
            let mut pending = lock(&self.pending);
            if pending.len() >= PRUNE_COUNT {
                pending.retain(|_, pending| !pending.reply.is_closed());
            }
            pending.insert(
                id,
                Pending {
                    issuer,
                    reply: sender,
                },
            );
        }
        PeerMessage::PermitRequest(request).send(&self.socket, issuer);
        let reply = tokio::time::timeout(REPLY_TIMEOUT, receiver).await;
        let decision = reply.ok().and_then(Result::ok);
        lock(&self.pending).remove(&id);
        self.record_reply(issuer, decision.is_some());
        decision
    }

    /// Returns the first issuer of a replica's permits that can be asked.
    pub(super) fn usable_issuer(&self, key: ReplicaKey) -> Option<PermitIssuer> {
        let mut issuers = self.members.permit_issuers(key).into_iter();
        issuers.find(|issuer| self.is_usable(issuer))
    }

    /// Returns the time on this process's clock, in milliseconds.
    pub(super) fn now_ms(&self) -> u64 {
        millis(self.started.elapsed())
    }

    fn record_reply(&self, issuer: SocketAddr, has_replied: bool) {
        let mut timeouts = lock(&self.timeouts);
        if has_replied {
            timeouts.remove(&issuer);
            return;
        }
        let timeouts = timeouts.entry(issuer).or_default();
        timeouts.count += 1;
        if timeouts.count >= TIMEOUTS_TO_PASS_OVER {
            timeouts.passed_over_until = Some(Instant::now() + PASS_OVER_TIME);
        }
    }
}
