//! Synchronizes this router's grants with the ledger in the store.

use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use rand::RngExt;
use serde_json::value::RawValue;
use slog::{info, warn, Logger};
use tokio::time::Instant;

use super::grant_updates::{RestoredGrants, UpdateReason};
use super::grants::Grants;
use super::members::{LedgerDuty, Members};
use crate::core::duty::stand_in_interval_ms;
use crate::core::ledger::LedgerShard;
use crate::store::health::StoreHealth;
use crate::store::kinds::{Freshness, KindError, KindObject, KindStore, Revision};

/// Kind of the ledger's objects.
const LEDGER_KIND: &str = "token-ledgers";
/// Name of the ledger object of the first era. A single object holds all budgets of a small site.
const LEDGER_NAME: &str = "all";
/// Time after the beginning of an era without draws, in which all holders put back what the store
/// has lost.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
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
    health: Arc<StoreHealth>,
    grants: Arc<Grants>,
    members: Arc<Members>,
    log: Logger,
    /// Era of the store that the snapshot belongs to; unknown before the first call.
    era: Option<u64>,
    /// End of the time without draws at the beginning of an era.
    settled_at: Option<Instant>,
    /// Era in which this router has waited for that time.
    settled_era: Option<u64>,
    /// True while this router has not put back what it knows to be granted.
    needs_put_back: bool,
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
        health: Arc<StoreHealth>,
        grants: Arc<Grants>,
        members: Arc<Members>,
        log: Logger,
    ) -> Self {
        Self {
            store,
            health,
            grants,
            members,
            log,
            era: None,
            settled_at: None,
            settled_era: None,
            needs_put_back: false,
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
            if let Some(previous_era) = self.passed_era() {
                self.begin_era(previous_era);
            }
            if self.is_settling().await {
                continue;
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

    /// Returns the era before the store returned from an older copy, if it did since the last call.
    fn passed_era(&mut self) -> Option<u64> {
        let era = self.health.known_era()?;
        self.era.replace(era).filter(|before| *before < era)
    }

    /// Stops draws until all holders have put back what the store has lost.
    fn begin_era(&mut self, previous_era: u64) {
        warn!(self.log, "store returned from an older copy"; "era" => self.era,
            "previous_era" => previous_era, "revision" => self.snapshot.revision);
        self.snapshot.is_known = false;
        self.needs_put_back = self.is_holder();
        if self.needs_put_back {
            // Requests that lack tokens get them from other routers meanwhile.
            self.grants.record_unreachable();
        }
        self.settled_at = None;
        self.start_settling();
    }

    fn start_settling(&mut self) {
        let settled_at = Instant::now() + SETTLE_TIME;
        self.settled_at.get_or_insert(settled_at);
    }

    /// Returns true while this router must not draw. Puts back what it knows to be granted.
    async fn is_settling(&mut self) -> bool {
        let Some(settled_at) = self.settled_at else {
            return false;
        };
        if self.needs_put_back {
            match self.put_back().await {
                Ok(Some(restored)) => {
                    self.needs_put_back = false;
                    info!(self.log, "grants put back into the ledger"; "era" => self.era,
                        "revision" => self.snapshot.revision,
                        "restored_tokens" => restored.known_tokens.get(),
                        "unseen_tokens" => restored.unseen_tokens.get());
                }
                Ok(None) => {}
                Err(error) => {
                    self.record_lost(&error);
                    tokio::time::sleep(FIRST_PAUSE).await;
                }
            }
        }
        if self.needs_put_back || settled_at > Instant::now() {
            return true;
        }
        self.settled_at = None;
        self.settled_era = self.era;
        self.end_settling().await;
        false
    }

    /// Reads the ledger that all holders have completed.
    async fn end_settling(&mut self) {
        if !self.is_holder() {
            return;
        }
        match self.read().await {
            Ok(()) => {
                self.record_reached();
                self.grants.apply_ledger(&self.snapshot.shard);
            }
            Err(error) => self.record_lost(&error),
        }
    }

    fn is_holder(&self) -> bool {
        self.members.ledger_duty().is_distributor || self.grants.has_grants()
    }

    /// Writes what this router knows to be granted, if the ledger lacks any of it. Returns `None`
    /// if other routers wrote at the same time.
    async fn put_back(&mut self) -> Result<Option<RestoredGrants>, KindError> {
        self.read().await?;
        let mut next = self.snapshot.shard.clone();
        let restored = self.grants.put_back(&mut next);
        if restored.is_empty() {
            return Ok(Some(restored));
        }
        match self.write(&next).await {
            Ok(revision) => {
                self.snapshot.shard = next;
                self.snapshot.revision = Some(revision);
                Ok(Some(restored))
            }
            Err(KindError::Conflict(_) | KindError::NotFound) => Ok(None),
            Err(error) => Err(error),
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
            if self.era.is_some_and(|era| era < self.health.era()) {
                // The main loop puts back what is lost before it draws.
                self.snapshot.is_known = false;
                return Ok(false);
            }
            if self.snapshot.shard.is_settling && self.settled_era != Some(self.health.era()) {
                self.snapshot.is_known = false;
                self.start_settling();
                return Ok(false);
            }
            let mut next = self.snapshot.shard.clone();
            next.is_settling = false;
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
        let era = self.health.era();
        match self.store.get(LEDGER_KIND, &ledger_name(era)).await {
            Ok(object) => self.set_snapshot(&object),
            Err(KindError::NotFound) if era != self.health.era() => Err(KindError::HistoryGone),
            Err(KindError::NotFound) => {
                let shard = if era == 0 {
                    LedgerShard::default()
                } else {
                    self.read_earlier_era(era).await?
                };
                self.snapshot = LedgerSnapshot {
                    shard,
                    revision: None,
                    is_known: true,
                };
                Ok(())
            }
            Err(error) => Err(error),
        }
    }

    /// Returns the ledger of the newest era before this one; an empty one if there is none.
    async fn read_earlier_era(&self, era: u64) -> Result<LedgerShard, KindError> {
        let listing = self
            .store
            .list(LEDGER_KIND, Freshness::Linearizable)
            .await?;
        let eras = listing.objects.iter().filter_map(|object| {
            let object_era = era_of_name(&object.name)?;
            (object_era < era).then_some((object_era, object))
        });
        let Some((earlier_era, object)) = eras.max_by_key(|(era, _)| *era) else {
            return Ok(LedgerShard::default());
        };
        let mut shard = parse_ledger(object)?;
        shard.is_settling = true;
        let charged_tokens = self.grants.charge_lost_grants(&mut shard);
        info!(self.log, "ledger of an earlier era found"; "era" => era,
            "earlier_era" => earlier_era, "unseen_tokens" => charged_tokens.get());
        Ok(shard)
    }

    fn set_snapshot(&mut self, object: &KindObject) -> Result<(), KindError> {
        if object.revision.era() != self.health.era() {
            return Err(KindError::HistoryGone);
        }
        self.snapshot = LedgerSnapshot {
            shard: parse_ledger(object)?,
            revision: Some(object.revision),
            is_known: true,
        };
        Ok(())
    }

    async fn write(&self, shard: &LedgerShard) -> Result<Revision, KindError> {
        let text = serde_json::to_string(shard).map_err(decode_error)?;
        let value = RawValue::from_string(text).map_err(decode_error)?;
        let era = self.snapshot_era();
        let name = ledger_name(era);
        let revision = match self.snapshot.revision {
            Some(revision) => {
                self.store
                    .replace(LEDGER_KIND, &name, &value, revision)
                    .await
            }
            None => self.store.create(LEDGER_KIND, &name, &value).await,
        }?;
        if revision.era() != era {
            // The write went to the ledger of an era that is over.
            return Err(KindError::HistoryGone);
        }
        Ok(revision)
    }

    fn snapshot_era(&self) -> u64 {
        let era = self.snapshot.revision.map(Revision::era);
        era.unwrap_or_else(|| self.health.era())
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

/// Returns the name of the ledger object of an era. Each era has its own, so that a write by a
/// router which does not know of a new era cannot meet a ledger with the same revision number.
fn ledger_name(era: u64) -> CompactString {
    if era == 0 {
        return LEDGER_NAME.into();
    }
    compact_str::format_compact!("{LEDGER_NAME}-{era}")
}

fn era_of_name(name: &str) -> Option<u64> {
    let suffix = name.strip_prefix(LEDGER_NAME)?;
    if suffix.is_empty() {
        return Some(0);
    }
    suffix.strip_prefix('-')?.parse().ok()
}

fn parse_ledger(object: &KindObject) -> Result<LedgerShard, KindError> {
    serde_json::from_str(object.value.get()).map_err(|error| {
        let reason = compact_str::format_compact!("ledger: {error}");
        KindError::Decode { reason }
    })
}

fn decode_error(error: impl std::fmt::Display) -> KindError {
    KindError::Decode {
        reason: compact_str::format_compact!("{error}"),
    }
}
