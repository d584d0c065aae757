//! Keeps what this router knows of the followed kinds up to date: by its own watches of the store if
//! that is its duty, otherwise by asking the routers that watch.
//!
//! Watchers of the own failure domain are asked by turns, then those of others. A router that hears
//! of none which is in step with the store watches itself until it does (stand-in).

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use slog::{info, Logger};
use strum::Display;
use tokio::sync::watch;
use tokio::time::Instant;

use super::feed_link::{FeedParts, FeedSource};
use super::members::WatchDuty;
use crate::store::kinds::{Freshness, KindError, KindStore};
use crate::util::millis;

/// How long an asked router waits for news before it says that there are none.
const ASK_WAIT: Duration = Duration::from_millis(300);
/// Pause while there is nobody to ask.
const LONELY_PAUSE: Duration = Duration::from_millis(100);
/// Time for which a router that failed an ask, or is not in step with the store, is not asked.
const PASS_OVER: Duration = Duration::from_secs(1);
/// Time without word from a router in step with the store after which this one tries the store.
const LONELY_LIMIT: Duration = Duration::from_millis(1_200);
/// Width of the spread of that time, so that a domain does not turn to the store together.
const LONELY_SPREAD_MS: u64 = 800;
/// Time after the start within which the fleet is found and its watchers are in step.
const START_TIME: Duration = Duration::from_secs(3);
/// Time between two tries of the store while it does not answer.
const TRY_INTERVAL: Duration = Duration::from_millis(1_500);
/// First pause after a first listing failed.
const FIRST_PAUSE: Duration = Duration::from_millis(40);
/// Longest pause after a first listing failed.
const MAX_PAUSE: Duration = Duration::from_secs(1);
/// Routers of other failure domains that are asked by turns.
const FAR_SOURCES: usize = 2;

/// Why a router is not asked for a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
enum PassReason {
    /// No connection to it can be opened.
    Unreachable,
    /// It gave no answer.
    NoAnswer,
    /// Its own watches are not in step with the store.
    OutOfStep,
}

/// Keeps a router's feed.
pub(crate) struct FeedKeeper {
    store: Arc<dyn KindStore>,
    parts: FeedParts,
    /// Tells the followers whether this router watches.
    is_watching: watch::Sender<bool>,
    log: Logger,
    sources: HashMap<SocketAddr, FeedSource>,
    /// Until when a router is not asked, and why. Kept until it answers well.
    passed_over: HashMap<SocketAddr, (Instant, PassReason)>,
    turn: usize,
    last_word: Instant,
    lonely_limit: Duration,
    last_try: Option<Instant>,
    stands_in: bool,
}

impl FeedKeeper {
    /// A keeper that has not begun.
    pub(crate) fn new(
        store: Arc<dyn KindStore>,
        parts: FeedParts,
        is_watching: watch::Sender<bool>,
        log: Logger,
    ) -> Self {
        Self {
            store,
            parts,
            is_watching,
            log,
            sources: HashMap::new(),
            passed_over: HashMap::new(),
            turn: 0,
            last_word: Instant::now() + START_TIME,
            lonely_limit: LONELY_LIMIT,
            last_try: None,
            stands_in: false,
        }
    }

    /// Keeps the feed until the process ends.
    pub(crate) async fn run(mut self) {
        self.read_first().await;
        loop {
            let mut duty = self.parts.members.watch_duty();
            self.set_watching(&duty);
            let is_current = self.parts.feed.is_current() && !self.parts.health.is_call_failing();
            if duty.watches && is_current {
                self.note_word();
                // Those of its own failure domain tell which routers of it are there.
                duty.far.clear();
            }
            match self.next_source(&duty) {
                Some(router) => self.ask(router, duty.near.contains(&router)).await,
                None => tokio::time::sleep(LONELY_PAUSE).await,
            }
            if !duty.watches && !self.stands_in {
                self.try_store().await;
            }
        }
    }

    /// Reads all kinds once, so that this router can serve before it knows whom to ask.
    async fn read_first(&self) {
        for kind in self.parts.feed.kinds() {
            let mut pause = FIRST_PAUSE;
            loop {
                match self.store.list(kind.kind, Freshness::Stale).await {
                    Ok(listing) => {
                        kind.learn_old_listing(listing);
                        break;
                    }
                    Err(error) => {
                        info!(self.log, "first listing failed"; "kind" => kind.kind,
                            "reason" => error.to_string());
                        tokio::time::sleep(pause).await;
                        pause = (pause * 2).min(MAX_PAUSE);
                    }
                }
            }
        }
    }

    fn set_watching(&self, duty: &WatchDuty) {
        let watches = duty.watches || self.stands_in;
        let is_changed = self.is_watching.send_if_modified(|before| {
            let is_changed = *before != watches;
            *before = watches;
            is_changed
        });
        if is_changed {
            self.parts.health.set_watching(watches);
            info!(self.log, "watch duty changed"; "watches" => watches,
                "stands_in" => self.stands_in, "routers_known" => self.parts.members.known_count());
        }
    }

    /// The next router to ask: watchers of the own failure domain by turns. While those are out of
    /// step, every other turn goes to one of another domain; they still tell who is there.
    fn next_source(&mut self, duty: &WatchDuty) -> Option<SocketAddr> {
        let now = Instant::now();
        let is_usable = |router: &&SocketAddr| {
            let passed_over = self.passed_over.get(*router);
            passed_over.is_none_or(|(until, _)| *until <= now)
        };
        let is_out_of_step = |router: &&SocketAddr| {
            let passed_over = self.passed_over.get(*router);
            passed_over.is_some_and(|(_, reason)| *reason == PassReason::OutOfStep)
        };
        self.turn = self.turn.wrapping_add(1);
        let mut turn = self.turn;
        let mut usable: Vec<SocketAddr> = duty.near.iter().filter(is_usable).copied().collect();
        if usable.is_empty() {
            turn = self.turn / 2;
            if self.turn.is_multiple_of(2) {
                usable = duty.near.iter().filter(is_out_of_step).copied().collect();
            }
        }
        if usable.is_empty() {
            let far = duty.far.iter().filter(is_usable);
            usable = far.take(FAR_SOURCES).copied().collect();
        }
        self.sources
            .retain(|router, _| duty.near.contains(router) || usable.contains(router));
        let place = turn.checked_rem(usable.len())?;
        Some(usable[place])
    }

    async fn ask(&mut self, router: SocketAddr, is_near: bool) {
        let source = match self.sources.remove(&router) {
            Some(source) => Ok(source),
            None => FeedSource::open(router).await,
        };
        let Ok(mut source) = source else {
            self.pass_over(router, PassReason::Unreachable);
            return;
        };
        match source.ask(&self.parts, ASK_WAIT, is_near).await {
            Ok(word) => {
                self.sources.insert(router, source);
                if word.is_current {
                    self.passed_over.remove(&router);
                    self.note_word();
                    self.stands_in = false;
                } else {
                    self.pass_over(router, PassReason::OutOfStep);
                }
            }
            Err(_) => self.pass_over(router, PassReason::NoAnswer),
        }
    }

    fn pass_over(&mut self, router: SocketAddr, reason: PassReason) {
        let until = Instant::now() + PASS_OVER;
        let before = self.passed_over.insert(router, (until, reason));
        if before.is_some_and(|(_, before)| before == reason) {
            return;
        }
        info!(self.log, "router passed over as a source"; "router" => router.to_string(),
            "reason" => reason.to_string(),
            "last_word_age_ms" => millis(self.last_word.elapsed()));
    }

    fn note_word(&mut self) {
        self.last_word = self.last_word.max(Instant::now());
        let spread_ms = rand::rng().random_range(0..LONELY_SPREAD_MS);
        self.lonely_limit = LONELY_LIMIT + Duration::from_millis(spread_ms);
    }

    /// Stands in for the routers that watch if none of them is in step with the store and it
    /// answers this one.
    async fn try_store(&mut self) {
        let is_tried = self
            .last_try
            .is_some_and(|last| last.elapsed() < TRY_INTERVAL);
        if self.last_word.elapsed() < self.lonely_limit || is_tried {
            return;
        }
        self.last_try = Some(Instant::now());
        let Some(kind) = self.parts.feed.kinds().last() else {
            return;
        };
        // The cheapest call: what has changed by now, possibly old.
        let after = kind.revision().unwrap_or_default();
        let wait = Duration::ZERO;
        let found = self
            .store
            .watch(kind.kind, after, wait, Freshness::Stale)
            .await;
        self.stands_in = !matches!(
            found,
            Err(KindError::NoAnswer { .. } | KindError::Busy { .. })
        );
    }
}
