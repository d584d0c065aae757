//! Carries grants between this router and the ledger in the store.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use serde_json::value::RawValue;
use slog::{info, warn, Logger};
use tokio::time::Instant;

use super::grant_updates::LedgerTurn;
use super::grants::Grants;
use super::members::{LedgerDuty, Members};
use crate::core::duty::stand_in_pause_ms;
use crate::core::ledger::LedgerShard;
use crate::store::kinds::{KindError, KindObject, KindStore, Revision};

/// Kind of the ledger's objects.
const LEDGER_KIND: &str = "token-ledgers";
/// Name of the ledger object. One object holds all budgets of a small site.
const LEDGER_NAME: &str = "all";
/// Time between two looks at the grants.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest time between two writes of the ledger that no request waits for.
const REFILL_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest time between two writes, in milliseconds: what is asked for meanwhile shares the next
/// one. It varies, so that writers which met once do not meet again and again.
const WRITE_INTERVAL_MS: std::ops::Range<u64> = 75..125;
/// Time for which each place in the order of routers waits longer before it stands in for the
/// routers that draw on the ledger: time for the one before it to find the ledger and to say so.
const STAND_IN_STEP: Duration = Duration::from_millis(15);
/// Longest wait for the ledger before standing in: several of its usual answers.
const STAND_IN_WAIT: Duration = Duration::from_millis(300);
/// First pause after the store gave no answer.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause after the store gave no answer.
const MAX_PAUSE: Duration = Duration::from_millis(400);
/// Conflicts in a row after which a write waits for its next turn.
const MAX_CONFLICTS: u32 = 12;

/// The ledger as this router last saw it.
#[derive(Debug, Default)]
struct Seen {
    shard: LedgerShard,
    /// None while the object does not exist.
    revision: Option<Revision>,
    /// False when the store may hold something else.
    is_known: bool,
}

/// Keeps the grants of one router up with the ledger.
#[derive(Debug)]
pub(crate) struct LedgerSync {
    store: Arc<dyn KindStore>,
    grants: Arc<Grants>,
    members: Arc<Members>,
    log: Logger,
    seen: Seen,
    last_write: Option<Instant>,
    is_lost: bool,
    /// True while this router draws because those whose turn it is do not reach the ledger.
    stands_in: bool,
    last_stand_in_try: Option<Instant>,
}

impl LedgerSync {
    /// A sync that has not seen the ledger yet.
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
            seen: Seen::default(),
            last_write: None,
            is_lost: false,
            stands_in: false,
            last_stand_in_try: None,
        }
    }

    /// Looks after the grants until the process ends.
    pub(crate) async fn run(mut self) {
        let mut pause = FIRST_PAUSE;
        let mut last_interval = Instant::now();
        loop {
            let is_asked = tokio::time::timeout(LOOK_INTERVAL, self.grants.wanted())
                .await
                .is_ok();
            let interval = last_interval.elapsed();
            if interval >= LOOK_INTERVAL {
                self.grants.end_interval(interval);
                last_interval = Instant::now();
            }
            let mut duty = self.members.ledger_duty();
            if !duty.distributes {
                duty.distributes = self.stand_in(&duty).await;
            }
            let (distributes, is_fleet_found) = (duty.distributes, duty.is_fleet_found);
            let mut turn = LedgerTurn::Duty;
            if self.grants.learn_duty(duty) {
                info!(self.log, "ledger duty changed"; "draws_for_others" => distributes,
                    "stands_in" => self.stands_in, "routers_known" => self.members.known_count());
                if !distributes {
                    turn = LedgerTurn::OffDuty;
                }
            }
            let is_due = turn == LedgerTurn::OffDuty
                || self
                    .last_write
                    .is_none_or(|last| last.elapsed() >= REFILL_INTERVAL);
            if !(is_asked || self.is_lost || is_due && is_fleet_found) {
                continue;
            }
            if let Some(last) = self.last_write.filter(|_| is_asked) {
                let interval_ms = rand::rng().random_range(WRITE_INTERVAL_MS);
                tokio::time::sleep_until(last + Duration::from_millis(interval_ms)).await;
            }
            let asked = self.grants.prepare(turn);
            if asked.is_empty() {
                continue;
            }
            self.last_write = Some(Instant::now());
            match self.sync().await {
                Ok(is_done) => {
                    pause = FIRST_PAUSE;
                    self.note_reached();
                    if !is_done {
                        self.grants.want_ledger();
                        continue;
                    }
                    info!(self.log, "grants changed"; "revision" => self.seen.revision,
                        "grants" => self.grants.describe(&asked));
                }
                Err(error) => {
                    self.note_lost(&error);
                    tokio::time::sleep(pause).await;
                    pause = (pause * 2).min(MAX_PAUSE);
                }
            }
        }
    }

    /// Whether this router draws on the ledger although it is the turn of others, because none of
    /// those reaches it.
    async fn stand_in(&mut self, duty: &LedgerDuty) -> bool {
        if self.grants.is_reached_by(&duty.distributors) {
            self.stands_in = false;
        }
        if self.stands_in || !duty.is_fleet_found {
            return self.stands_in;
        }
        let wait = STAND_IN_STEP * u32::try_from(duty.place).unwrap_or(u32::MAX);
        let is_turn = self
            .grants
            .others_cut_off_since()
            .is_some_and(|since| since.elapsed() >= wait);
        let pause = Duration::from_millis(stand_in_pause_ms(duty.place));
        let is_tried = self
            .last_stand_in_try
            .is_some_and(|last| last.elapsed() < pause);
        if is_turn && !is_tried {
            self.last_stand_in_try = Some(Instant::now());
            let found = tokio::time::timeout(STAND_IN_WAIT, self.read()).await;
            self.stands_in = found.is_ok_and(|found| found.is_ok());
        }
        self.stands_in
    }

    /// Gives back all that is free. Returns true when the ledger has taken it.
    pub(crate) async fn give_back(&mut self) -> bool {
        for _ in 0..MAX_CONFLICTS {
            if self.grants.prepare(LedgerTurn::Leaving).is_empty() {
                return true;
            }
            if self.sync().await.is_err() {
                tokio::time::sleep(FIRST_PAUSE).await;
            }
        }
        false
    }

    /// Brings the pending updates into the ledger. Returns false when others changed it each time.
    async fn sync(&mut self) -> Result<bool, KindError> {
        for _ in 0..MAX_CONFLICTS {
            if !self.seen.is_known {
                self.read().await?;
            }
            let mut next = self.seen.shard.clone();
            if !self.grants.apply_to(&mut next) {
                self.grants.learn_ledger(&self.seen.shard);
                return Ok(true);
            }
            match self.write(&next).await {
                Ok(revision) => {
                    self.seen.shard = next;
                    self.seen.revision = Some(revision);
                    self.grants.learn_ledger(&self.seen.shard);
                    return Ok(true);
                }
                Err(KindError::Conflict(Some(object))) => {
                    self.grants.note_ledger_answer();
                    self.learn(&object)?;
                }
                Err(KindError::Conflict(None) | KindError::NotFound) => {
                    self.grants.note_ledger_answer();
                    self.seen.is_known = false;
                }
                Err(error) => {
                    self.seen.is_known = false;
                    return Err(error);
                }
            }
        }
        Ok(false)
    }

    async fn read(&mut self) -> Result<(), KindError> {
        match self.store.get(LEDGER_KIND, LEDGER_NAME).await {
            Ok(object) => self.learn(&object),
            Err(KindError::NotFound) => {
                self.seen = Seen {
                    is_known: true,
                    ..Seen::default()
                };
                Ok(())
            }
            Err(error) => Err(error),
        }
    }

    fn learn(&mut self, object: &KindObject) -> Result<(), KindError> {
        let shard = serde_json::from_str(object.value.get()).map_err(|error| {
            let reason = compact_str::format_compact!("ledger: {error}");
            KindError::Decode { reason }
        })?;
        self.seen = Seen {
            shard,
            revision: Some(object.revision),
            is_known: true,
        };
        Ok(())
    }

    async fn write(&self, shard: &LedgerShard) -> Result<Revision, KindError> {
        let text = serde_json::to_string(shard).map_err(decode_error)?;
        let value = RawValue::from_string(text).map_err(decode_error)?;
        match self.seen.revision {
            Some(revision) => {
                self.store
                    .replace(LEDGER_KIND, LEDGER_NAME, &value, revision)
                    .await
            }
            None => self.store.create(LEDGER_KIND, LEDGER_NAME, &value).await,
        }
    }

    fn note_reached(&mut self) {
        if self.is_lost {
            self.is_lost = false;
            info!(self.log, "ledger regained"; "revision" => self.seen.revision);
        }
    }

    fn note_lost(&mut self, error: &KindError) {
        self.grants.learn_unreachable();
        self.stands_in = false;
        if !self.is_lost {
            self.is_lost = true;
            warn!(self.log, "ledger lost"; "reason" => error.to_string(),
                "revision" => self.seen.revision);
        }
    }
}

fn decode_error(error: impl std::fmt::Display) -> KindError {
    KindError::Decode {
        reason: compact_str::format_compact!("{error}"),
    }
}
