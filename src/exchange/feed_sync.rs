//! Keeps this router's copy of the followed kinds up to date: by its own watches of the store if
//! that is its duty, otherwise by polling the routers that watch.
//!
//! Watchers of the own failure domain are polled round robin, then those of other domains. A router
//! that finds no watcher in sync with the store watches it itself until it finds one (stand-in).

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use slog::{info, Logger};
use strum::Display;
use tokio::sync::watch;
use tokio::time::Instant;

use super::feed_link::{FeedContext, FeedSource};
use super::members::WatchDuty;
use crate::store::health::LastOutage;
use crate::store::kinds::{Freshness, KindError, KindStore};
use crate::util::millis;

/// Long-poll timeout: how long a polled router waits for news before an empty answer.
const POLL_WAIT: Duration = Duration::from_millis(300);
/// Pause while there is no router to poll.
const NO_SOURCE_PAUSE: Duration = Duration::from_millis(100);
/// Time for which a router that failed a poll or is out of sync with the store is not polled.
const SKIP_TIME: Duration = Duration::from_secs(1);
/// Minimum time without an answer from a router in sync with the store before this one probes the
/// store.
const MIN_PROBE_DELAY: Duration = Duration::from_millis(1_200);
/// Range of the jitter added to that time, so that a domain's routers do not all probe at once, in
/// milliseconds.
const PROBE_JITTER_MS: u64 = 800;
/// Time after the start until the fleet is known and its watchers are in sync.
const STARTUP_TIME: Duration = Duration::from_secs(3);
/// Minimum interval between probes of the store while it does not answer.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_500);
/// First pause after the initial listing failed.
const FIRST_PAUSE: Duration = Duration::from_millis(40);
/// Longest pause after the initial listing failed.
const MAX_PAUSE: Duration = Duration::from_secs(1);
/// Number of routers of other failure domains that are polled round robin.
const REMOTE_SOURCES: usize = 2;

/// Time after failed calls in which routers of other domains are polled too.
const OUTAGE_CHECK_TIME: Duration = Duration::from_millis(2_300);

/// Reason for not polling a router for some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
enum SkipReason {
    /// No connection to it can be opened.
    Unreachable,
    /// It gave no answer.
    NoAnswer,
    /// Its own watches are out of sync with the store.
    OutOfStep,
}

/// Keeps a router's change feed up to date.
pub(crate) struct FeedSync {
    store: Arc<dyn KindStore>,
    context: FeedContext,
    /// Signals to the followers whether this router watches.
    is_watching: watch::Sender<bool>,
    log: Logger,
    sources: HashMap<SocketAddr, FeedSource>,
    /// Until when a router is not polled, and why. Kept until it answers in sync with the store.
    skipped: HashMap<SocketAddr, (Instant, SkipReason)>,
    poll_count: usize,
    last_current: Instant,
    probe_delay: Duration,
    last_probe: Option<Instant>,
    is_stand_in: bool,
}

impl FeedSync {
    /// Creates a synchronizer that has not started.
    pub(crate) fn new(
        store: Arc<dyn KindStore>,
        context: FeedContext,
        is_watching: watch::Sender<bool>,
        log: Logger,
    ) -> Self {
        Self {
            store,
            context,
            is_watching,
            log,
            sources: HashMap::new(),
            skipped: HashMap::new(),
            poll_count: 0,
            last_current: Instant::now() + STARTUP_TIME,
            probe_delay: MIN_PROBE_DELAY,
            last_probe: None,
            is_stand_in: false,
        }
    }

    /// Keeps the feed up to date until the process ends.
    pub(crate) async fn run(mut self) {
        self.read_initial().await;
        loop {
            let mut duty = self.context.members.watch_duty();
            self.set_watching(&duty);
            let is_current =
                self.context.feed.is_current() && !self.context.health.is_call_failing();
            if is_current && (duty.watches || self.is_stand_in) {
                self.context.health.record_lists_current();
            }
            if duty.watches && is_current {
                self.record_current();
                // Only the local watchers are polled, for the routers present in the domain.
                if !self.is_outage_assumed() {
                    duty.remote.clear();
                }
            }
            match self.next_source(&duty) {
                Some(router) => self.poll(router, duty.local.contains(&router)).await,
                None => tokio::time::sleep(NO_SOURCE_PAUSE).await,
            }
            if !duty.watches && !self.is_stand_in {
                self.probe_store().await;
            }
        }
    }

    /// Lists all kinds once, so that this router can serve before it knows which routers to poll.
    async fn read_initial(&self) {
        for kind in self.context.feed.kinds() {
            let mut pause = FIRST_PAUSE;
            loop {
                match self.store.list(kind.kind, Freshness::Stale).await {
                    Ok(listing) => {
                        kind.apply_stale_listing(listing);
                        break;
                    }
                    Err(error) => {
                        info!(self.log, "initial listing failed"; "kind" => kind.kind,
                            "reason" => error.to_string());
                        tokio::time::sleep(pause).await;
                        pause = (pause * 2).min(MAX_PAUSE);
                    }
                }
            }
        }
    }

    fn set_watching(&self, duty: &WatchDuty) {
        let watches = duty.watches || self.is_stand_in;
        let is_changed = self.is_watching.send_if_modified(|before| {
            let is_changed = *before != watches;
            *before = watches;
            is_changed
        });
        if is_changed {
            self.context.health.set_watching(watches);
            info!(self.log, "watch duty changed"; "watches" => watches,
                "stands_in" => self.is_stand_in,
                "routers_known" => self.context.members.known_count());
        }
    }

    /// Selects the next router to poll: watchers of the own failure domain round robin. While those
    /// are out of sync, every other poll goes to another domain; they still report which routers
    /// are present.
    fn next_source(&mut self, duty: &WatchDuty) -> Option<SocketAddr> {
        let now = Instant::now();
        let is_usable = |router: &&SocketAddr| {
            let skipped = self.skipped.get(*router);
            skipped.is_none_or(|(until, _)| *until <= now)
        };
        let is_out_of_sync = |router: &&SocketAddr| {
            let skipped = self.skipped.get(*router);
            skipped.is_some_and(|(_, reason)| *reason == SkipReason::OutOfStep)
        };
        self.poll_count = self.poll_count.wrapping_add(1);
        let mut poll_count = self.poll_count;
        let mut usable: Vec<SocketAddr> = duty.local.iter().filter(is_usable).copied().collect();
        if usable.is_empty() {
            poll_count = self.poll_count / 2;
            if self.poll_count.is_multiple_of(2) {
                usable = duty.local.iter().filter(is_out_of_sync).copied().collect();
            }
        }
        // Routers of other domains tell whether the store answered them meanwhile.
        let is_remote_turn = self.is_outage_assumed() && self.poll_count.is_multiple_of(2);
        if usable.is_empty() || is_remote_turn {
            let remote = duty.remote.iter().filter(is_usable);
            let remote: Vec<SocketAddr> = remote.take(REMOTE_SOURCES).copied().collect();
            if !remote.is_empty() {
                poll_count = self.poll_count / 2;
                usable = remote;
            }
        }
        self.sources
            .retain(|router, _| duty.local.contains(router) || usable.contains(router));
        let index = poll_count.checked_rem(usable.len())?;
        Some(usable[index])
    }

    /// Returns true while entries count as expired in an outage, for all that this router knows.
    fn is_outage_assumed(&self) -> bool {
        match self.context.health.last_outage() {
            LastOutage::At(end) => end.elapsed() < OUTAGE_CHECK_TIME,
            LastOutage::Unknown | LastOutage::Disproved => false,
        }
    }

    async fn poll(&mut self, router: SocketAddr, is_local: bool) {
        let source = match self.sources.remove(&router) {
            Some(source) => Ok(source),
            None => FeedSource::open(router).await,
        };
        let Ok(mut source) = source else {
            self.skip_source(router, SkipReason::Unreachable);
            return;
        };
        match source.poll(&self.context, POLL_WAIT, is_local).await {
            Ok(answer) => {
                self.sources.insert(router, source);
                if answer.is_current {
                    self.skipped.remove(&router);
                    self.context.health.record_lists_current();
                    self.record_current();
                    self.is_stand_in = false;
                } else {
                    if answer.is_store_failing {
                        // The fleet runs already, so there is no start to wait for.
                        self.last_current = self.last_current.min(Instant::now());
                    }
                    self.skip_source(router, SkipReason::OutOfStep);
                }
            }
            Err(_) => self.skip_source(router, SkipReason::NoAnswer),
        }
    }

    fn skip_source(&mut self, router: SocketAddr, reason: SkipReason) {
        let until = Instant::now() + SKIP_TIME;
        let before = self.skipped.insert(router, (until, reason));
        if before.is_some_and(|(_, before)| before == reason) {
            return;
        }
        info!(self.log, "router skipped as a feed source"; "router" => router.to_string(),
            "reason" => reason.to_string(),
            "last_word_age_ms" => millis(self.last_current.elapsed()));
    }

    fn record_current(&mut self) {
        self.last_current = self.last_current.max(Instant::now());
        let spread_ms = rand::rng().random_range(0..PROBE_JITTER_MS);
        self.probe_delay = MIN_PROBE_DELAY + Duration::from_millis(spread_ms);
    }

    /// Makes this router stand in for the watchers if none of them is in sync with the store and
    /// the store answers this one.
    async fn probe_store(&mut self) {
        let was_probed_recently = self
            .last_probe
            .is_some_and(|last| last.elapsed() < PROBE_INTERVAL);
        if self.last_current.elapsed() < self.probe_delay || was_probed_recently {
            return;
        }
        self.last_probe = Some(Instant::now());
        let Some(kind) = self.context.feed.kinds().last() else {
            return;
        };
        // The cheapest call: a stale read of the changes so far.
        let after = kind.revision().unwrap_or_default();
        let wait = Duration::ZERO;
        let found = self
            .store
            .watch(kind.kind, after, wait, Freshness::Stale)
            .await;
        self.is_stand_in = !matches!(
            found,
            Err(KindError::NoAnswer { .. } | KindError::Busy { .. })
        );
    }
}
