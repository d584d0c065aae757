//! Change feed between routers: a router polls another one, which answers as soon as it has news of
//! the followed kinds, or with none after a timeout (long polling).

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use super::members::{Members, RouterStateSource};
use super::peer_link::{open_link, receive, send, Link, PeerRequest};
use crate::core::outage::is_recent_failure;
use crate::core::presence::RouterState;
use crate::store::feed::Feed;
use crate::store::feed_log::{FeedDelta, LoggedChange};
use crate::store::health::StoreHealth;
use crate::store::kinds::{Change, KindObject, Revision};
use crate::util::millis;

/// Upper bound on the long-poll timeout that a poll may ask for.
const MAX_WAIT: Duration = Duration::from_secs(5);
/// Time allowed for transmission in addition to the long-poll timeout.
const ANSWER_MARGIN: Duration = Duration::from_millis(400);

/// Poll for news.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct FeedPoll {
    /// For each kind, the revision up to which all changes are known.
    known: Vec<Option<Revision>>,
    /// How long to wait for news, in milliseconds.
    wait_ms: u32,
    /// Presence of the polling router.
    poller: WirePresence,
}

/// Answer to a poll, with or without news.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct FeedAnswer {
    /// True if the answering router's own watches are in sync with the store.
    is_current: bool,
    /// Time since the store last failed to answer that router, in milliseconds.
    failure_age_ms: Option<u64>,
    /// For each kind, the changes that the polling router lacks.
    deltas: Vec<Option<WireDelta>>,
    /// Routers present in its failure domain.
    present: Vec<WirePresence>,
}

/// Presence record of a router, as sent between routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct WirePresence {
    router: SocketAddr,
    is_ready: bool,
    headroom_percent: u8,
    age_ms: u32,
}

impl WirePresence {
    fn new(router: SocketAddr, state: RouterState, age_ms: u64) -> Self {
        Self {
            router,
            is_ready: state.is_ready,
            headroom_percent: state.headroom_percent,
            age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
        }
    }

    const fn state(self) -> RouterState {
        RouterState {
            is_ready: self.is_ready,
            headroom_percent: self.headroom_percent,
        }
    }

    const fn age(self) -> Duration {
        Duration::from_millis(self.age_ms as u64)
    }
}

/// Sources of a router's polls and answers, and destinations of received ones.
#[derive(Clone)]
pub(crate) struct FeedContext {
    /// The followed kinds.
    pub feed: Feed,
    /// Whether the store answers.
    pub health: Arc<StoreHealth>,
    /// Routers of the fleet.
    pub members: Arc<Members>,
    /// This router's current status.
    pub own_state: RouterStateSource,
}

impl FeedContext {
    fn own_presence(&self) -> WirePresence {
        let own = self.members.own().peer_address;
        WirePresence::new(own, (self.own_state)(), 0)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct WireDelta {
    is_snapshot: bool,
    revision: Revision,
    changes: Vec<WireChange>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct WireChange {
    effective_revision: Revision,
    name: CompactString,
    revision: Revision,
    value: String,
    is_removed: bool,
}

impl From<FeedDelta> for WireDelta {
    fn from(delta: FeedDelta) -> Self {
        let changes = delta.changes.into_iter().map(|logged| WireChange {
            effective_revision: logged.effective_revision,
            name: logged.change.object.name,
            revision: logged.change.object.revision,
            value: logged.change.object.value.get().to_owned(),
            is_removed: logged.change.is_removed,
        });
        Self {
            is_snapshot: delta.is_snapshot,
            revision: delta.revision,
            changes: changes.collect(),
        }
    }
}

impl TryFrom<WireDelta> for FeedDelta {
    type Error = io::Error;

    fn try_from(wire: WireDelta) -> io::Result<Self> {
        let changes = wire.changes.into_iter().map(|wire| {
            let object = KindObject {
                name: wire.name,
                revision: wire.revision,
                value: RawValue::from_string(wire.value)?,
            };
            Ok(LoggedChange {
                effective_revision: wire.effective_revision,
                change: Change {
                    object,
                    is_removed: wire.is_removed,
                },
            })
        });
        Ok(Self {
            is_snapshot: wire.is_snapshot,
            revision: wire.revision,
            changes: changes.collect::<io::Result<_>>()?,
        })
    }
}

/// Answers a poll as soon as there is news, or after its timeout.
pub(super) async fn answer_poll(poll: &FeedPoll, context: &FeedContext) -> FeedAnswer {
    let poller = poll.poller;
    context
        .members
        .record_heartbeat(poller.router, poller.state(), poller.age());
    let (feed, health) = (&context.feed, &context.health);
    let mut changed = feed.subscribe();
    let wait = Duration::from_millis(u64::from(poll.wait_ms)).min(MAX_WAIT);
    let end = tokio::time::Instant::now() + wait;
    let found = loop {
        changed.mark_unchanged();
        let found: Vec<Option<WireDelta>> = feed
            .kinds()
            .iter()
            .zip(&poll.known)
            .map(|(kind, known)| kind.delta_since(*known).map(WireDelta::from))
            .collect();
        if found.iter().any(Option::is_some) {
            break found;
        }
        if tokio::time::timeout_at(end, changed.changed())
            .await
            .is_err()
        {
            break found;
        }
    };
    FeedAnswer {
        is_current: feed.is_current() && !health.is_call_failing(),
        failure_age_ms: health.failure_age().map(millis),
        deltas: found,
        present: present(context),
    }
}

/// Returns the presence records of this router's failure domain, its own included.
fn present(context: &FeedContext) -> Vec<WirePresence> {
    let records = context.members.present_routers().into_iter();
    let records = records.map(|(router, state, age_ms)| WirePresence::new(router, state, age_ms));
    records.chain([context.own_presence()]).collect()
}

/// Outcome of a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PollOutcome {
    /// True if the polled router's own watches are in sync with the store.
    pub is_current: bool,
    /// True if they are not because the store does not answer that router.
    pub is_store_failing: bool,
}

/// Connection to a router that is polled for news.
#[derive(Debug)]
pub(super) struct FeedSource {
    router: SocketAddr,
    link: Link,
}

impl FeedSource {
    /// Connects to a router.
    pub(super) async fn open(router: SocketAddr) -> io::Result<Self> {
        let link = open_link(router).await?;
        Ok(Self { router, link })
    }

    /// Polls for news, applies it and returns the polled router's state. `is_local` means that the
    /// router is in this router's failure domain and so reports all routers present there.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks, the answer times out or it cannot be decoded.
    pub(super) async fn poll(
        &mut self,
        context: &FeedContext,
        wait: Duration,
        is_local: bool,
    ) -> io::Result<PollOutcome> {
        let feed = &context.feed;
        let poll = FeedPoll {
            known: feed.kinds().iter().map(|kind| kind.revision()).collect(),
            wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
            poller: context.own_presence(),
        };
        let answer = async {
            send(&mut self.link, &PeerRequest::Poll(poll)).await?;
            receive::<FeedAnswer>(&mut self.link).await
        };
        let answer = tokio::time::timeout(wait + ANSWER_MARGIN, answer)
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        // Only this distinguishes entries that expired in an outage from those whose servers left.
        let failure_age = answer.failure_age_ms.map(Duration::from_millis);
        context
            .health
            .record_peer_report(self.router, answer.is_current, failure_age);
        if is_local {
            context.members.record_watcher_report();
        }
        for record in answer.present {
            context
                .members
                .record_heartbeat(record.router, record.state(), record.age());
        }
        for (kind, delta) in feed.kinds().iter().zip(answer.deltas) {
            if let Some(delta) = delta {
                if delta.revision.era() > 0 {
                    context.health.record_era(delta.revision.era());
                }
                kind.apply_delta(delta.try_into()?);
            }
        }
        Ok(PollOutcome {
            is_current: answer.is_current,
            is_store_failing: !answer.is_current
                && answer.failure_age_ms.is_some_and(is_recent_failure),
        })
    }
}
