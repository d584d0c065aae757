//! Quarantine of prompt parts that crash the backend servers that begin to answer them.
//!
//! Requests that differ in everything else may share such a part, so each crash accuses all parts
//! of the requests that waited for their first token there. The first token of any request clears
//! its parts. A part is quarantined after five crashes without one in between; up to twice as many
//! are needed where other servers crashed at the same time, and simultaneous crashes count as one,
//! since they may have a common cause. Crashes that a quarantined part explains accuse no other part.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use super::ids::{IdError, ReplicaId};
use super::quarantine::{ServerCrash, Suspicion, QUARANTINE_RETENTION_MS};

/// Total weight of crashes at which a part is quarantined.
const QUARANTINE_WEIGHT: u32 = 10;
/// Weight of a crash.
const CRASH_WEIGHT: u32 = 2;
/// Weight of a crash at about the same time as those of other servers without the part.
const CORRELATED_CRASH_WEIGHT: u32 = 1;
/// Time before and after a crash within which other crashes may share its cause, in milliseconds.
const CORRELATION_WINDOW_MS: u64 = 500;
/// Other servers that must crash within that time to suggest a common cause.
const MIN_CORRELATED_SERVERS: usize = 2;
/// Time within which several crashes count as one, in milliseconds.
const SIMULTANEOUS_MS: u64 = 150;
/// Crashes from which on a request is not retried while its part is accused.
const DOUBT_CRASHES: usize = 2;
/// Time within which reports on a server count as the same crash, in milliseconds.
const SAME_CRASH_MS: u64 = 1_000;
/// Time for which a first token proves that a part does not crash servers, in milliseconds.
const COMPLETION_VALIDITY_MS: u64 = 2_000;
/// Time for which a released part is not accused, in milliseconds.
const RELEASE_MS: u64 = 10_000;
/// Interval between two records of first tokens with the same part, in milliseconds.
const COMPLETION_INTERVAL_MS: u64 = 500;
/// Upper bound on accused parts; beyond it, the one with the fewest crashes is evicted.
const MAX_PARTS: usize = 4_096;
/// Upper bound on the parts of one request that a crash accuses.
pub(crate) const MAX_ACCUSED_PARTS: usize = 64;
/// Upper bound on recorded crashes of one part.
const MAX_CRASHES_PER_PART: usize = 16;
/// Upper bound on recorded server crashes for the detection of common causes.
const MAX_CRASHED_SERVERS: usize = 1_024;
/// Upper bound on recorded first tokens.
const MAX_COMPLETIONS: usize = 8_192;

/// Digest of one part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartId(u64);

impl PartId {
    /// Creates the id of a part with a digest.
    ///
    /// ```
    /// use currantlever::PartId;
    /// assert_eq!(PartId::new(0x1f).to_string(), "000000000000001f");
    /// assert_eq!("1f".parse(), Ok(PartId::new(0x1f)));
    /// ```
    #[must_use]
    pub const fn new(digest: u64) -> Self {
        Self(digest)
    }
}

impl FromStr for PartId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digest = u64::from_str_radix(text, 16).map_err(|_| IdError::NotHex)?;
        Ok(Self(digest))
    }
}

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Result of recording a crash.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartCrashOutcome {
    /// Parts for which the crash is new, in the order of the prompt.
    pub accused: Vec<PartId>,
    /// Parts that a first token has cleared, with its time in milliseconds.
    pub cleared: Vec<(PartId, u64)>,
    /// Parts that are quarantined from now on.
    pub quarantined: Vec<PartId>,
}

#[derive(Clone, Debug, Default)]
struct PartRecord {
    crashes: Vec<ServerCrash>,
}

impl PartRecord {
    fn has_crash(&self, replica: &ReplicaId, at_ms: u64) -> bool {
        let is_same = |crash: &ServerCrash| {
            crash.replica == *replica && crash.at_ms.abs_diff(at_ms) < SAME_CRASH_MS
        };
        self.crashes.iter().any(is_same)
    }

    /// Returns true if the crash is recorded. Routers that read it from the store date it
    /// differently, but an attempt runs on a server once.
    fn has_recorded(&self, crash: &ServerCrash) -> bool {
        let is_same_attempt = |recorded: &ServerCrash| {
            !crash.request.is_empty()
                && recorded.replica == crash.replica
                && recorded.request == crash.request
        };
        self.has_crash(&crash.replica, crash.at_ms) || self.crashes.iter().any(is_same_attempt)
    }
}

/// Server crashes known to one router, by the prompt parts in progress there.
#[derive(Clone, Debug, Default)]
pub struct PartQuarantine {
    parts: HashMap<PartId, PartRecord>,
    quarantined: BTreeSet<PartId>,
    /// Crashed servers with the times of their crashes, in milliseconds.
    crashed_servers: VecDeque<(u64, ReplicaId)>,
    completed_ms: HashMap<PartId, u64>,
    completions: VecDeque<(PartId, u64)>,
}

impl PartQuarantine {
    /// Creates a quarantine without records.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a request with these parts waited for its first token on a server that crashed.
    /// Repeated reports of a crash are not counted again.
    ///
    /// ```
    /// use currantlever::{PartId, PartQuarantine, ReplicaId, ServerCrash, Suspicion};
    ///
    /// let (shared, bad) = (PartId::new(1), PartId::new(2));
    /// let mut quarantine = PartQuarantine::new();
    /// for at_s in 0..5 {
    ///     let server = ReplicaId::new(format!("server-{at_s}")).unwrap();
    ///     let crash = ServerCrash::new(server, at_s * 10_000);
    ///     quarantine.record_crash(&[shared, bad], &crash);
    ///     quarantine.record_first_token(shared, at_s * 10_000 + 500);
    /// }
    /// assert_eq!(quarantine.suspicion(shared, 40_500), Suspicion::Clear);
    /// assert_eq!(quarantine.suspicion(bad, 40_500), Suspicion::Quarantined);
    /// ```
    pub fn record_crash(&mut self, parts: &[PartId], crash: &ServerCrash) -> PartCrashOutcome {
        let mut outcome = PartCrashOutcome::default();
        self.record_server(crash);
        let mut suspects = Vec::new();
        for part in parts {
            match self.cleared_ms(*part, crash) {
                Some(completed_ms) => outcome.cleared.push((*part, completed_ms)),
                None => suspects.push(*part),
            }
        }
        // Parts with more crashes come first, so that new ones evict none of them.
        let mut by_crashes = suspects.clone();
        by_crashes.sort_by_key(|part| std::cmp::Reverse(self.crash_count(*part)));
        by_crashes.truncate(MAX_ACCUSED_PARTS);
        by_crashes.retain(|part| self.insert(*part, crash));
        suspects.retain(|part| by_crashes.contains(part));
        outcome.accused = suspects;
        outcome.quarantined = self.quarantine_heaviest(parts, crash.at_ms);
        outcome
    }

    fn crash_count(&self, part: PartId) -> usize {
        self.parts
            .get(&part)
            .map_or(0, |record| record.crashes.len())
    }

    /// Returns the time of the first token that clears a part of a crash, if there is one.
    fn cleared_ms(&self, part: PartId, crash: &ServerCrash) -> Option<u64> {
        let completed_ms = self.completed_ms.get(&part).copied();
        completed_ms.filter(|at_ms| crash.at_ms <= at_ms + COMPLETION_VALIDITY_MS)
    }

    /// Returns true if the crash is new.
    fn insert(&mut self, part: PartId, crash: &ServerCrash) -> bool {
        if !self.parts.contains_key(&part) {
            self.evict_if_full();
        }
        let is_quarantined = self.quarantined.contains(&part);
        let record = self.parts.entry(part).or_default();
        let is_full = record.crashes.len() >= MAX_CRASHES_PER_PART;
        if record.has_recorded(crash) || (is_quarantined && is_full) {
            return false;
        }
        record
            .crashes
            .retain(|recorded| is_retained(recorded, crash.at_ms));
        if record.crashes.len() >= MAX_CRASHES_PER_PART {
            record.crashes.remove(0);
        }
        record.crashes.push(crash.clone());
        true
    }

    /// Quarantines the part with the largest weight while there is one beyond the limit. Of equal
    /// ones it is the last, since prompts share their first parts more widely.
    fn quarantine_heaviest(&mut self, parts: &[PartId], now_ms: u64) -> Vec<PartId> {
        let mut quarantined = Vec::new();
        loop {
            let weights = parts.iter().map(|part| (self.weight(*part, now_ms), *part));
            let heaviest = weights.max_by_key(|(weight, _)| *weight);
            let Some((_, part)) = heaviest.filter(|(weight, _)| *weight >= QUARANTINE_WEIGHT)
            else {
                return quarantined;
            };
            self.quarantined.insert(part);
            quarantined.push(part);
        }
    }

    /// Returns the weight of all crashes that no quarantined part explains; none for a part that is
    /// quarantined itself.
    fn weight(&self, part: PartId, now_ms: u64) -> u32 {
        let Some(record) = self.parts.get(&part) else {
            return 0;
        };
        let most_weight = record.crashes.len() * CRASH_WEIGHT as usize;
        if most_weight < QUARANTINE_WEIGHT as usize || self.quarantined.contains(&part) {
            return 0;
        }
        let mut crashes: Vec<&ServerCrash> = record.crashes.iter().collect();
        crashes.retain(|crash| {
            is_retained(crash, now_ms) && !self.is_explained(&crash.replica, crash.at_ms)
        });
        crashes.sort_unstable_by_key(|crash| crash.at_ms);
        let mut weight = 0;
        let mut last_ms = None;
        for crash in crashes {
            let is_simultaneous =
                last_ms.is_some_and(|last_ms| crash.at_ms < last_ms + SIMULTANEOUS_MS);
            if !is_simultaneous {
                weight += self.crash_weight(crash, record);
                last_ms = Some(crash.at_ms);
            }
        }
        weight
    }

    fn crash_weight(&self, crash: &ServerCrash, record: &PartRecord) -> u32 {
        let mut others: Vec<&ReplicaId> = Vec::new();
        for (at_ms, replica) in &self.crashed_servers {
            let is_other = at_ms.abs_diff(crash.at_ms) <= CORRELATION_WINDOW_MS
                && !record.has_crash(replica, *at_ms)
                && !self.is_explained(replica, *at_ms);
            if is_other && !others.contains(&replica) {
                others.push(replica);
            }
            if others.len() >= MIN_CORRELATED_SERVERS {
                return CORRELATED_CRASH_WEIGHT;
            }
        }
        CRASH_WEIGHT
    }

    /// Returns true if a quarantined part was in progress on a server that crashed.
    fn is_explained(&self, replica: &ReplicaId, at_ms: u64) -> bool {
        let quarantined = self.quarantined.iter();
        let mut records = quarantined.filter_map(|part| self.parts.get(part));
        records.any(|record| record.has_crash(replica, at_ms))
    }

    /// Records that a request with a part got its first token, and clears the crashes of the part
    /// up to `COMPLETION_VALIDITY_MS` after that. Returns true if crashes were recorded for it.
    pub fn record_first_token(&mut self, part: PartId, now_ms: u64) -> bool {
        self.remember_completion(part, now_ms);
        let Some(record) = self.parts.get_mut(&part) else {
            return false;
        };
        record
            .crashes
            .retain(|crash| crash.at_ms > now_ms + COMPLETION_VALIDITY_MS);
        if record.crashes.is_empty() {
            self.remove(part);
        }
        true
    }

    /// Forgets the crashes of a part, also for other parts that were in progress there. Reports of
    /// routers that have not released it yet do not accuse it again.
    pub fn release(&mut self, part: PartId, now_ms: u64) {
        let released = self.parts.remove(&part).unwrap_or_default();
        self.quarantined.remove(&part);
        for record in self.parts.values_mut() {
            record
                .crashes
                .retain(|crash| !released.has_crash(&crash.replica, crash.at_ms));
        }
        self.parts.retain(|_, record| !record.crashes.is_empty());
        let parts = &self.parts;
        self.quarantined.retain(|part| parts.contains_key(part));
        self.remember_completion(part, now_ms + RELEASE_MS - COMPLETION_VALIDITY_MS);
    }

    fn remember_completion(&mut self, part: PartId, now_ms: u64) {
        let last_ms = self.completed_ms.get(&part).copied();
        if last_ms.is_some_and(|last_ms| now_ms < last_ms + COMPLETION_INTERVAL_MS) {
            return;
        }
        self.completed_ms.insert(part, now_ms);
        self.completions.push_back((part, now_ms));
        if self.completions.len() > MAX_COMPLETIONS {
            if let Some((oldest, at_ms)) = self.completions.pop_front() {
                if self.completed_ms.get(&oldest) == Some(&at_ms) {
                    self.completed_ms.remove(&oldest);
                }
            }
        }
    }

    /// Records that another router quarantined a part, with the crashes that it knows. The times of
    /// these may be wrong, so they are not used to detect common causes.
    pub fn record_peer_quarantine(&mut self, part: PartId, crashes: &[ServerCrash]) {
        for crash in crashes {
            if self.cleared_ms(part, crash).is_none() {
                self.insert(part, crash);
            }
        }
        if self.parts.contains_key(&part) {
            self.quarantined.insert(part);
        }
    }

    fn remove(&mut self, part: PartId) {
        self.parts.remove(&part);
        self.quarantined.remove(&part);
    }

    /// Returns the degree to which a part is suspected.
    #[must_use]
    pub fn suspicion(&self, part: PartId, now_ms: u64) -> Suspicion {
        if self.crashes(part, now_ms).next().is_none() {
            Suspicion::Clear
        } else if self.quarantined.contains(&part) {
            Suspicion::Quarantined
        } else {
            Suspicion::Suspect
        }
    }

    /// Returns true if enough servers crashed that a request with the part must not be retried.
    #[must_use]
    pub fn is_in_doubt(&self, part: PartId, now_ms: u64) -> bool {
        self.crashes(part, now_ms).count() >= DOUBT_CRASHES
    }

    /// Returns the milliseconds until the last crash of a quarantined part expires, or `None` if
    /// the part isn't quarantined.
    #[must_use]
    pub fn quarantine_left_ms(&self, part: PartId, now_ms: u64) -> Option<u64> {
        if self.suspicion(part, now_ms) != Suspicion::Quarantined {
            return None;
        }
        let last_ms = self.crashes(part, now_ms).map(|crash| crash.at_ms).max()?;
        Some((last_ms + QUARANTINE_RETENTION_MS).saturating_sub(now_ms))
    }

    /// Returns the quarantined parts.
    #[must_use]
    pub fn quarantined(&self, now_ms: u64) -> Vec<PartId> {
        let recorded = self.quarantined.iter().copied();
        recorded
            .filter(|part| self.suspicion(*part, now_ms) == Suspicion::Quarantined)
            .collect()
    }

    /// Returns the recorded crashes of servers on which requests with a part waited for their first
    /// token.
    pub fn crashes(&self, part: PartId, now_ms: u64) -> impl Iterator<Item = &ServerCrash> {
        let record = self.parts.get(&part);
        let crashes = record.into_iter().flat_map(|record| &record.crashes);
        crashes.filter(move |crash| is_retained(crash, now_ms))
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

    /// Evicts a part if the table is full: of those not quarantined, or else of all, the one with
    /// the fewest crashes that was accused least recently.
    fn evict_if_full(&mut self) {
        if self.parts.len() < MAX_PARTS {
            return;
        }
        let last_ms = |record: &PartRecord| record.crashes.last().map(|crash| crash.at_ms);
        let oldest = self
            .parts
            .iter()
            .min_by_key(|(part, record)| {
                let is_quarantined = self.quarantined.contains(part);
                (is_quarantined, record.crashes.len(), last_ms(record))
            })
            .map(|(part, _)| *part);
        if let Some(oldest) = oldest {
            self.remove(oldest);
        }
    }
}

const fn is_retained(crash: &ServerCrash, now_ms: u64) -> bool {
    crash.at_ms + QUARANTINE_RETENTION_MS > now_ms
}
