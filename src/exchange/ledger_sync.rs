//! Synchronizes this router's grants with the ledger in the store.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use serde_json::value::RawValue;
use slog::{info, warn, Logger};
use tokio::time::Instant;

use super::grant_updates::UpdateReason;
use super::grants::Grants;
use super::members::{LedgerDuty, Members};
use crate::core::duty::stand_in_interval_ms;
use crate::core::ledger::LedgerShard;
use crate::store::kinds::{KindError, KindObject, KindStore, Revision};

/// Kind of the ledger's objects.
const LEDGER_KIND: &str = "token-ledgers";
/// Name of the ledger object. A single object holds all budgets of a small site.
const LEDGER_NAME: &str = "all";
/// Interval at which the grants are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum interval between ledger writes that no request waits for.
const REFILL_INTERVAL: Duration = Duration::from_secs(1);
/// Range of the minimum interval between writes, in milliseconds. Updates requested meanwhile are
/// batched into the next write. The jitter keeps writers that conflicted once from doing so again.
const WRITE_INTERVAL_MS: std::ops::Range<u64> = 75..125;
/// Additional delay per position in the order of routers before a router stands in for those that
/// draw on the ledger: enough for its predecessor to reach the ledger and to report that.
const STAND_IN_STEP: Duration = Duration::from_millis(15);
/// Timeout of the ledger read before standing in: several times its usual response time.
const STAND_IN_WAIT: Duration = Duration::from_millis(300);
/// First pause after the store gave no answer.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause after the store gave no answer.
const MAX_PAUSE: Duration = Duration::from_millis(400);
/// Consecutive conflicts after which an update is put off to the next attempt.
const MAX_CONFLICTS: u32 = 12;

/// The last known state of the ledger.
#[derive(Debug, Default)]
struct LedgerSnapshot {
    shard: LedgerShard,
    /// None while the object does not exist.
    revision: Option<Revision>,
    /// False if the store may hold a different state.
    is_known: bool,
}

/// Keeps one router's grants in sync with the ledger.
#[derive(Debug)]
pub(crate) struct LedgerSync {
    store: Arc<dyn KindStore>,
    grants: Arc<Grants>,
    members: Arc<Members>,
    log: Logger,
    snapshot: LedgerSnapshot,
    last_write: Option<Instant>,
    is_lost: bool,
    /// True while this router draws because the distributors cannot reach the ledger.
    is_stand_in: bool,
    last_stand_in_try: Option<Instant>,
}

impl LedgerSync {
    /// Creates a sync without any known ledger state.
    pub(crate) fn new(
        store: Arc<dyn KindStore>,
        grants: Arc<Grants>,
        members: Arc<Members>,
        log: Logger,
    ) -> Self {
        Self {
            store,
            grants,
            members,
            log,
            snapshot: LedgerSnapshot::default(),
            last_write: None,
            is_lost: false,
            is_stand_in: false,
            last_stand_in_try: None,
        }
    }

    /// Runs the synchronization until the process ends.
    pub(crate) async fn run(mut self) {
        let mut pause = FIRST_PAUSE;
        let mut last_interval = Instant::now();
        loop {
            let is_requested =
                tokio::time::timeout(CHECK_INTERVAL, self.grants.ledger_update_needed())
                    .await
                    .is_ok();
            let interval = last_interval.elapsed();
            if interval >= CHECK_INTERVAL {
                self.grants.end_interval(interval);
                last_interval = Instant::now();
            }
            let mut duty = self.members.ledger_duty();
            if !duty.is_distributor {
                duty.is_distributor = self.stand_in(&duty).await;
            }
            let (is_distributor, is_fleet_found) = (duty.is_distributor, duty.is_fleet_found);
            let mut update_reason = UpdateReason::Duty;
            if self.grants.set_duty(duty) {
                info!(self.log, "ledger duty changed"; "draws_for_others" => is_distributor,
                    "stands_in" => self.is_stand_in, "routers_known" => self.members.known_count());
                if !is_distributor {
                    update_reason = UpdateReason::DutyEnded;
                }
            }
            let is_due = update_reason == UpdateReason::DutyEnded
                || self
                    .last_write
                    .is_none_or(|last| last.elapsed() >= REFILL_INTERVAL);
            if !(is_requested || self.is_lost || is_due && is_fleet_found) {
                continue;
            }
            if let Some(last) = self.last_write.filter(|_| is_requested) {
                let interval_ms = rand::rng().random_range(WRITE_INTERVAL_MS);
                tokio::time::sleep_until(last + Duration::from_millis(interval_ms)).await;
            }
            let planned = self.grants.prepare(update_reason);
            if planned.is_empty() {
                continue;
            }
            self.last_write = Some(Instant::now());
            match self.sync().await {
                Ok(is_done) => {
                    pause = FIRST_PAUSE;
                    self.record_reached();
                    if !is_done {
                        self.grants.request_ledger_update();
                        continue;
                    }
                    info!(self.log, "grants changed"; "revision" => self.snapshot.revision,
                        "grants" => self.grants.describe(&planned));
                }
                Err(error) => {
                    self.record_lost(&error);
                    tokio::time::sleep(pause).await;
                    pause = (pause * 2).min(MAX_PAUSE);
                }
            }
        }
    }

    /// Returns true if this router stands in for the distributors, because none of them reaches
    /// the ledger.
    async fn stand_in(&mut self, duty: &LedgerDuty) -> bool {
        if self.grants.is_ledger_reachable_by(&duty.distributors) {
            self.is_stand_in = false;
        }
        if self.is_stand_in || !duty.is_fleet_found {
            return self.is_stand_in;
        }
        let wait = STAND_IN_STEP * u32::try_from(duty.position).unwrap_or(u32::MAX);
        let is_turn = self
            .grants
            .others_unreachable_since()
            .is_some_and(|since| since.elapsed() >= wait);
        let pause = Duration::from_millis(stand_in_interval_ms(duty.position));
        let was_tried_recently = self
            .last_stand_in_try
            .is_some_and(|last| last.elapsed() < pause);
        if is_turn && !was_tried_recently {
            self.last_stand_in_try = Some(Instant::now());
            let found = tokio::time::timeout(STAND_IN_WAIT, self.read()).await;
            self.is_stand_in = found.is_ok_and(|found| found.is_ok());
        }
        self.is_stand_in
    }

    /// Returns all free tokens to the ledger. Returns true once the ledger holds them.
    pub(crate) async fn return_grants(&mut self) -> bool {
        for _ in 0..MAX_CONFLICTS {
            if self.grants.prepare(UpdateReason::Leaving).is_empty() {
                return true;
            }
            if self.sync().await.is_err() {
                tokio::time::sleep(FIRST_PAUSE).await;
            }
        }
        false
    }

    /// Writes the pending updates to the ledger. Returns false if every attempt conflicted.
    async fn sync(&mut self) -> Result<bool, KindError> {
        for _ in 0..MAX_CONFLICTS {
            if !self.snapshot.is_known {
                self.read().await?;
            }
            let mut next = self.snapshot.shard.clone();
            if !self.grants.apply_to(&mut next) {
                self.grants.apply_ledger(&self.snapshot.shard);
                return Ok(true);
            }
            match self.write(&next).await {
                Ok(revision) => {
                    self.snapshot.shard = next;
                    self.snapshot.revision = Some(revision);
                    self.grants.apply_ledger(&self.snapshot.shard);
                    return Ok(true);
                }
                Err(KindError::Conflict(Some(object))) => {
                    self.grants.record_ledger_answer();
                    self.set_snapshot(&object)?;
                }
                Err(KindError::Conflict(None) | KindError::NotFound) => {
                    self.grants.record_ledger_answer();
                    self.snapshot.is_known = false;
                }
                Err(error) => {
                    self.snapshot.is_known = false;
                    return Err(error);
                }
            }
        }
        Ok(false)
    }

    async fn read(&mut self) -> Result<(), KindError> {
        match self.store.get(LEDGER_KIND, LEDGER_NAME).await {
            Ok(object) => self.set_snapshot(&object),
            Err(KindError::NotFound) => {
                self.snapshot = LedgerSnapshot {
                    is_known: true,
                    ..LedgerSnapshot::default()
                };
                Ok(())
            }
            Err(error) => Err(error),
        }
    }

    fn set_snapshot(&mut self, object: &KindObject) -> Result<(), KindError> {
        let shard = serde_json::from_str(object.value.get()).map_err(|error| {
            let reason = compact_str::format_compact!("ledger: {error}");
            KindError::Decode { reason }
        })?;
        self.snapshot = LedgerSnapshot {
            shard,
            revision: Some(object.revision),
            is_known: true,
        };
        Ok(())
    }

    async fn write(&self, shard: &LedgerShard) -> Result<Revision, KindError> {
        let text = serde_json::to_string(shard).map_err(decode_error)?;
        let value = RawValue::from_string(text).map_err(decode_error)?;
        match self.snapshot.revision {
            Some(revision) => {
                self.store
                    .replace(LEDGER_KIND, LEDGER_NAME, &value, revision)
                    .await
            }
            None => self.store.create(LEDGER_KIND, LEDGER_NAME, &value).await,
        }
    }

    fn record_reached(&mut self) {
        if self.is_lost {
            self.is_lost = false;
            info!(self.log, "ledger available again"; "revision" => self.snapshot.revision);
        }
    }

    fn record_lost(&mut self, error: &KindError) {
        self.grants.record_unreachable();
        self.is_stand_in = false;
        if !self.is_lost {
            self.is_lost = true;
            warn!(self.log, "ledger unavailable"; "reason" => error.to_string(),
                "revision" => self.snapshot.revision);
        }
    }
}

fn decode_error(error: impl std::fmt::Display) -> KindError {
    KindError::Decode {
        reason: compact_str::format_compact!("{error}"),
    }
}
