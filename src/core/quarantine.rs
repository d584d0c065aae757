//! Quarantine of requests that crash the backend servers they run on (poison messages).
//!
//! Routers report to each other which requests were in progress on servers that crashed. Three
//! crashed servers quarantine a request. Up to twice as many are needed where other servers crashed
//! at the same time, since the crashes may have a common cause. If the request had just arrived at
//! its servers, crashes that another such request explains don't suggest one. Where suspects don't
//! share servers, two are enough, if the request was the only suspect on one of them and no other
//! request was in progress on all of them when they crashed. A request that completes doesn't crash
//! every server that runs it, so a completion clears it.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::fmt;
use std::hash::Hasher;
use std::str::FromStr;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use twox_hash::XxHash64;

use super::ids::{IdError, ReplicaId, TeamId};

/// Total weight of crashed servers at which a request is quarantined.
const QUARANTINE_WEIGHT: u32 = 6;
/// Weight of a crashed server.
const CRASH_WEIGHT: u32 = 2;
/// Weight of a server that crashed together with others for a common cause.
const CORRELATED_CRASH_WEIGHT: u32 = 1;
/// Time within which most poison requests crash a server, from when they were sent there, in
/// milliseconds.
const FAST_CRASH_MS: u64 = 250;
/// Time before and after a crash within which other crashes may share its cause, in milliseconds.
const CORRELATION_WINDOW_MS: u64 = 2_000;
/// Other servers that must crash within that time to suggest a common cause.
const MIN_CORRELATED_SERVERS: usize = 2;
/// Other servers that must crash within that time, without a request that explains it, to suggest
/// that a server which crashed soon after a request arrived there did not crash because of it.
const MIN_UNEXPLAINED_SERVERS: usize = 4;
/// Crashes soon after its arrival by which a request explains those of the servers it ran on.
const MIN_EXPLAINING_CRASHES: usize = 3;
/// Upper bound on recorded server crashes for the detection of common causes.
const MAX_CRASHED_SERVERS: usize = 1_024;
/// Crashed servers that quarantine a request which was the only suspect on one of them.
const SOLE_SUSPECT_CRASHES: usize = 2;
/// Time for which the record of a crash is kept, in milliseconds. A request is cleared this long
/// after its last crash.
pub const QUARANTINE_RETENTION_MS: u64 = 3_600_000;
/// Time for which a completion proves that a request doesn't crash servers, in milliseconds.
const COMPLETION_VALIDITY_MS: u64 = 10_000;
/// Time within which two routers' reports on a server count as the same crash, in milliseconds. A
/// server takes longer to restart.
const SAME_CRASH_MS: u64 = 1_000;
/// Upper bound on recorded requests; beyond it, the oldest that isn't quarantined is evicted.
const MAX_REQUESTS: usize = 1_024;
/// Upper bound on recorded crashes of one request.
const MAX_CRASHES_PER_REQUEST: usize = 8;
/// Upper bound on recorded completions.
const MAX_COMPLETIONS: usize = 4_096;

/// Digest of a request's team and content, the same on all routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Digests the team and content of a request.
    #[must_use]
    pub fn new(team: &TeamId, content: &[u8]) -> Self {
        let mut hasher = XxHash64::with_seed(0);
        hasher.write(team.as_str().as_bytes());
        hasher.write_u8(0);
        hasher.write(content);
        Self(hasher.finish())
    }

    /// Digests the parts of a request in order.
    ///
    /// ```
    /// use currantlever::Fingerprint;
    /// let of = |parts: &[&[u8]]| Fingerprint::from_parts(parts);
    /// assert_eq!(of(&[b"POST", b"/x"]), of(&[b"POST", b"/x"]));
    /// assert_ne!(of(&[b"POST", b"/x"]), of(&[b"POST/", b"x"]));
    /// ```
    #[must_use]
    pub fn from_parts(parts: &[&[u8]]) -> Self {
        let mut hasher = XxHash64::with_seed(0);
        for part in parts {
            hasher.write_u64(part.len() as u64);
            hasher.write(part);
        }
        Self(hasher.finish())
    }
}

impl FromStr for Fingerprint {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digest = u64::from_str_radix(text, 16).map_err(|_| IdError::NotHex)?;
        Ok(Self(digest))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The crash of a server while a request was in progress there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerCrash {
    /// The server that crashed.
    pub replica: ReplicaId,
    /// Time of the crash on the clock of the router that keeps this record, in milliseconds.
    pub at_ms: u64,
    /// Caller's identifier of the attempt in progress; empty if it has none.
    pub request: CompactString,
    /// Router that observed the crash; empty if unknown.
    pub observer: CompactString,
    /// Time for which the request had been running there, in milliseconds.
    pub running_ms: u64,
    /// True if the request was the only suspect on the server.
    pub is_sole_suspect: bool,
}

impl ServerCrash {
    /// Creates the record of a crash without details.
    #[must_use]
    pub fn new(replica: ReplicaId, at_ms: u64) -> Self {
        Self {
            replica,
            at_ms,
            request: CompactString::default(),
            observer: CompactString::default(),
            running_ms: 0,
            is_sole_suspect: false,
        }
    }

    /// Sets the attempt in progress and the router that observed the crash.
    #[must_use]
    pub fn with_source(mut self, request: CompactString, observer: CompactString) -> Self {
        self.request = request;
        self.observer = observer;
        self
    }

    /// Sets the time for which the request had been running there, in milliseconds.
    #[must_use]
    pub const fn with_running_ms(mut self, running_ms: u64) -> Self {
        self.running_ms = running_ms;
        self
    }

    /// Sets whether the request was the only suspect on the server.
    #[must_use]
    pub const fn with_sole_suspect(mut self, is_sole_suspect: bool) -> Self {
        self.is_sole_suspect = is_sole_suspect;
        self
    }

    /// Returns true if both record the same crash. An attempt runs on a server once.
    fn is_same(&self, other: &Self) -> bool {
        self.replica == other.replica
            && (self.request == other.request || self.at_ms.abs_diff(other.at_ms) < SAME_CRASH_MS)
    }
}

/// Degree to which a request is suspected of crashing servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Suspicion {
    /// No server crashed while the request was in progress there.
    Clear,
    /// A server crashed while the request was in progress there.
    Suspect,
    /// The request must not run.
    Quarantined,
}

/// Result of recording a server crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashRecordOutcome {
    /// The crash is new.
    New,
    /// The crash was already recorded.
    Duplicate,
    /// The request completed at about that time or later, so the crash is disregarded.
    Exonerated,
}

/// Server crashes known to one router, by request.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    crashes: BTreeMap<Fingerprint, Vec<ServerCrash>>,
    insertion_order: VecDeque<Fingerprint>,
    /// Requests that another router quarantined.
    quarantined_by_peers: HashSet<Fingerprint>,
    /// Crashed servers with the times of their crashes, in milliseconds.
    crashed_servers: VecDeque<(u64, ReplicaId)>,
    completed_ms: HashMap<Fingerprint, u64>,
    completions: VecDeque<(Fingerprint, u64)>,
}

impl Quarantine {
    /// Creates a quarantine without records.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a request was in progress on a server that crashed. Repeated reports of a crash
    /// are not counted again.
    ///
    /// ```
    /// use currantlever::{Fingerprint, Quarantine, ReplicaId, ServerCrash, Suspicion};
    ///
    /// let request = Fingerprint::from_parts(&[b"team", b"/chat/", b"body"]);
    /// let mut quarantine = Quarantine::new();
    /// for (name, at_ms) in [("server-1", 0), ("server-2", 900), ("server-3", 2_000)] {
    ///     let replica = ReplicaId::new(name).unwrap();
    ///     quarantine.record(request, ServerCrash::new(replica, at_ms));
    /// }
    /// assert_eq!(quarantine.suspicion(request, 2_000), Suspicion::Quarantined);
    /// ```
    pub fn record(&mut self, fingerprint: Fingerprint, crash: ServerCrash) -> CrashRecordOutcome {
        self.record_server(&crash);
        self.insert(fingerprint, crash)
    }

    fn insert(&mut self, fingerprint: Fingerprint, crash: ServerCrash) -> CrashRecordOutcome {
        let completed_ms = self.completed_ms.get(&fingerprint);
        if completed_ms.is_some_and(|at_ms| crash.at_ms <= at_ms + COMPLETION_VALIDITY_MS) {
            return CrashRecordOutcome::Exonerated;
        }
        if !self.crashes.contains_key(&fingerprint) {
            self.evict_if_full(crash.at_ms);
            self.insertion_order.push_back(fingerprint);
        }
        let crashes = self.crashes.entry(fingerprint).or_default();
        if let Some(recorded) = crashes.iter_mut().find(|recorded| recorded.is_same(&crash)) {
            recorded.is_sole_suspect |= crash.is_sole_suspect;
            return CrashRecordOutcome::Duplicate;
        }
        if crashes.len() >= MAX_CRASHES_PER_REQUEST {
            crashes.remove(0);
        }
        crashes.push(crash);
        CrashRecordOutcome::New
    }

    /// Records that another router quarantined a request, with the crashes that it knows. The times
    /// of these may be wrong, so they are not used to detect common causes.
    pub fn record_peer_quarantine(&mut self, fingerprint: Fingerprint, crashes: Vec<ServerCrash>) {
        for crash in crashes {
            if self.insert(fingerprint, crash) != CrashRecordOutcome::Exonerated {
                self.quarantined_by_peers.insert(fingerprint);
            }
        }
    }

    /// Records that a request completed, and clears its crashes up to `COMPLETION_VALIDITY_MS`
    /// after that. Returns true if crashes were recorded for it.
    pub fn record_completion(&mut self, fingerprint: Fingerprint, now_ms: u64) -> bool {
        let last_ms = self.completed_ms.entry(fingerprint).or_default();
        // Reports of other routers may arrive late.
        *last_ms = now_ms.max(*last_ms);
        let last_ms = *last_ms;
        self.completions.push_back((fingerprint, last_ms));
        if self.completions.len() > MAX_COMPLETIONS {
            if let Some((oldest, at_ms)) = self.completions.pop_front() {
                if self.completed_ms.get(&oldest) == Some(&at_ms) {
                    self.completed_ms.remove(&oldest);
                }
            }
        }
        let Some(crashes) = self.crashes.get_mut(&fingerprint) else {
            return false;
        };
        crashes.retain(|crash| crash.at_ms > now_ms + COMPLETION_VALIDITY_MS);
        if crashes.is_empty() {
            self.remove(fingerprint);
        }
        true
    }

    /// Returns the time at which a request last completed, in milliseconds, if it is recorded.
    #[must_use]
    pub fn completed_ms(&self, fingerprint: Fingerprint) -> Option<u64> {
        self.completed_ms.get(&fingerprint).copied()
    }

    /// Returns the degree to which a request is suspected.
    #[must_use]
    pub fn suspicion(&self, fingerprint: Fingerprint, now_ms: u64) -> Suspicion {
        let crashes: Vec<&ServerCrash> = self.crashes(fingerprint, now_ms).collect();
        if crashes.is_empty() {
            return Suspicion::Clear;
        }
        if self.quarantined_by_peers.contains(&fingerprint) || self.exceeds_weight(&crashes) {
            return Suspicion::Quarantined;
        }
        let was_sole_suspect = crashes.iter().any(|crash| crash.is_sole_suspect);
        if crashes.len() < SOLE_SUSPECT_CRASHES || !was_sole_suspect {
            return Suspicion::Suspect;
        }
        let explains_all = |(other, others): (&Fingerprint, &Vec<ServerCrash>)| {
            let explains =
                |crash: &&ServerCrash| others.iter().any(|other| other.replica == crash.replica);
            *other != fingerprint && crashes.iter().all(explains)
        };
        if self.crashes.iter().any(explains_all) {
            return Suspicion::Suspect;
        }
        Suspicion::Quarantined
    }

    fn exceeds_weight(&self, crashes: &[&ServerCrash]) -> bool {
        if crashes.len() * (CRASH_WEIGHT as usize) < QUARANTINE_WEIGHT as usize {
            return false;
        }
        let weights = crashes.iter().map(|crash| self.weight(crash, crashes));
        weights.sum::<u32>() >= QUARANTINE_WEIGHT
    }

    /// Returns the weight of one crash among all crashes of a request. Crashes of other servers at
    /// about the same time halve it, as they suggest a common cause. If the request had just arrived
    /// at the server, those that another request explains don't count: several poison requests at
    /// the same time would otherwise count as a common cause.
    fn weight(&self, crash: &ServerCrash, same_request: &[&ServerCrash]) -> u32 {
        let is_fast = crash.running_ms < FAST_CRASH_MS;
        let enough = if is_fast {
            MIN_UNEXPLAINED_SERVERS
        } else {
            MIN_CORRELATED_SERVERS
        };
        let mut others: Vec<&ReplicaId> = Vec::new();
        for (at_ms, replica) in &self.crashed_servers {
            let is_other = at_ms.abs_diff(crash.at_ms) <= CORRELATION_WINDOW_MS
                && same_request.iter().all(|other| other.replica != *replica)
                && !others.contains(&replica);
            if !is_other || is_fast && self.is_explained(replica, *at_ms) {
                continue;
            }
            others.push(replica);
            if others.len() >= enough {
                return CORRELATED_CRASH_WEIGHT;
            }
        }
        CRASH_WEIGHT
    }

    /// Returns true if a request that crashed several servers, each soon after it arrived there, was
    /// in progress on a server when that crashed.
    fn is_explained(&self, replica: &ReplicaId, at_ms: u64) -> bool {
        let is_here = |crash: &ServerCrash| {
            crash.replica == *replica && crash.at_ms.abs_diff(at_ms) < SAME_CRASH_MS
        };
        self.crashes.values().any(|crashes| {
            crashes.len() >= MIN_EXPLAINING_CRASHES
                && crashes.iter().all(|crash| crash.running_ms < FAST_CRASH_MS)
                && crashes.iter().any(is_here)
        })
    }

    fn record_server(&mut self, crash: &ServerCrash) {
        let is_recorded = self.crashed_servers.iter().any(|(at_ms, replica)| {
            *replica == crash.replica && at_ms.abs_diff(crash.at_ms) < SAME_CRASH_MS
        });
        if is_recorded {
            return;
        }
        self.crashed_servers
            .push_back((crash.at_ms, crash.replica.clone()));
        if self.crashed_servers.len() > MAX_CRASHED_SERVERS {
            self.crashed_servers.pop_front();
        }
    }

    /// Returns the milliseconds until the last crash of a quarantined request expires, or `None` if
    /// the request isn't quarantined.
    #[must_use]
    pub fn quarantine_left_ms(&self, fingerprint: Fingerprint, now_ms: u64) -> Option<u64> {
        if self.suspicion(fingerprint, now_ms) != Suspicion::Quarantined {
            return None;
        }
        let last_ms = self
            .crashes(fingerprint, now_ms)
            .map(|crash| crash.at_ms)
            .max()?;
        Some((last_ms + QUARANTINE_RETENTION_MS).saturating_sub(now_ms))
    }

    /// Returns the quarantined requests.
    #[must_use]
    pub fn quarantined(&self, now_ms: u64) -> Vec<Fingerprint> {
        let recorded = self.crashes.keys().copied();
        recorded
            .filter(|recorded| self.suspicion(*recorded, now_ms) == Suspicion::Quarantined)
            .collect()
    }

    /// Returns the recorded crashes of servers that ran a request.
    pub fn crashes(
        &self,
        fingerprint: Fingerprint,
        now_ms: u64,
    ) -> impl Iterator<Item = &ServerCrash> {
        let crashes = self.crashes.get(&fingerprint).into_iter().flatten();
        crashes.filter(move |crash| is_retained(crash, now_ms))
    }

    /// Returns all recorded crashes, for reporting to peers.
    pub fn all_crashes(&self, now_ms: u64) -> impl Iterator<Item = (Fingerprint, &ServerCrash)> {
        let all = self.crashes.iter();
        let all = all
            .flat_map(|(fingerprint, crashes)| crashes.iter().map(|crash| (*fingerprint, crash)));
        all.filter(move |(_, crash)| is_retained(crash, now_ms))
    }

    /// Evicts a request if the table is full: the oldest not quarantined, or else the oldest.
    fn evict_if_full(&mut self, now_ms: u64) {
        if self.crashes.len() < MAX_REQUESTS {
            return;
        }
        let is_evictable =
            |recorded: &&Fingerprint| self.suspicion(**recorded, now_ms) != Suspicion::Quarantined;
        let oldest = self
            .insertion_order
            .iter()
            .find(is_evictable)
            .or(self.insertion_order.front());
        if let Some(oldest) = oldest.copied() {
            self.remove(oldest);
        }
    }

    fn remove(&mut self, fingerprint: Fingerprint) {
        self.crashes.remove(&fingerprint);
        self.quarantined_by_peers.remove(&fingerprint);
        self.insertion_order
            .retain(|recorded| *recorded != fingerprint);
    }
}

const fn is_retained(crash: &ServerCrash, now_ms: u64) -> bool {
    crash.at_ms + QUARANTINE_RETENTION_MS > now_ms
}
