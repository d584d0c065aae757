//! How routers pass on what they know of the followed kinds: one asks, the other answers at once
//! when it has news, and after a time at the latest (long polling).

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use futures::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use slog::{debug, Logger};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use super::members::{Members, OwnWordSource};
use crate::core::presence::OwnWord;
use crate::store::feed::Feed;
use crate::store::feed_log::{FeedNews, LoggedChange};
use crate::store::health::StoreHealth;
use crate::store::kinds::{Change, KindObject, Revision};
use crate::tcp::{connect, notice_silence};
use crate::util::millis;

/// Largest message: all objects of all kinds.
const MAX_MESSAGE_BYTES: usize = 16 << 20;
/// Longest wait that a router grants another one.
const MAX_WAIT: Duration = Duration::from_secs(5);
/// Longest wait for a connection to another router.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time without acknowledgement after which a connection counts as lost.
const SILENCE_LIMIT: Duration = Duration::from_secs(2);
/// Time beyond the wait that an answer may take on its way.
const ANSWER_MARGIN: Duration = Duration::from_millis(400);
/// Pause after a connection could not be accepted, mostly for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Asks a router for news.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct FeedAsk {
    /// For each kind the revision up to which all is known.
    known: Vec<Option<Revision>>,
    /// How long to wait for news, in milliseconds.
    wait_ms: u32,
    /// Who asks.
    asker: WirePresence,
}

/// News, or word that there are none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct FeedAnswer {
    /// True when the teller's own watches are in step with the store.
    is_current: bool,
    /// Time since the store last did not answer the teller, in milliseconds.
    failure_age_ms: Option<u64>,
    /// For each kind what is lacking.
    news: Vec<Option<WireNews>>,
    /// Routers of its failure domain that are there.
    present: Vec<WirePresence>,
}

/// A router's heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct WirePresence {
    router: SocketAddr,
    is_ready: bool,
    room_percent: u8,
    age_ms: u32,
}

impl WirePresence {
    fn new(router: SocketAddr, word: OwnWord, age_ms: u64) -> Self {
        Self {
            router,
            is_ready: word.is_ready,
            room_percent: word.room_percent,
            age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
        }
    }

    const fn word(self) -> OwnWord {
        OwnWord {
            is_ready: self.is_ready,
            room_percent: self.room_percent,
        }
    }

    const fn age(self) -> Duration {
        Duration::from_millis(self.age_ms as u64)
    }
}

/// What a router tells another one with an ask or an answer, and learns from it.
#[derive(Clone)]
pub(crate) struct FeedParts {
    /// The followed kinds.
    pub feed: Feed,
    /// Whether the store answers.
    pub health: Arc<StoreHealth>,
    /// The fleet.
    pub members: Arc<Members>,
    /// What this router says of itself.
    pub own_word: OwnWordSource,
}

impl FeedParts {
    fn own_presence(&self) -> WirePresence {
        let own = self.members.own().peer_address;
        WirePresence::new(own, (self.own_word)(), 0)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct WireNews {
    is_whole: bool,
    revision: Revision,
    changes: Vec<WireChange>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct WireChange {
    at: Revision,
    name: CompactString,
    revision: Revision,
    value: String,
    is_removed: bool,
}

impl From<FeedNews> for WireNews {
    fn from(news: FeedNews) -> Self {
        let changes = news.changes.into_iter().map(|logged| WireChange {
            at: logged.at,
            name: logged.change.object.name,
            revision: logged.change.object.revision,
            value: logged.change.object.value.get().to_owned(),
            is_removed: logged.change.is_removed,
        });
        Self {
            is_whole: news.is_whole,
            revision: news.revision,
            changes: changes.collect(),
        }
    }
}

impl TryFrom<WireNews> for FeedNews {
    type Error = io::Error;

    fn try_from(wire: WireNews) -> io::Result<Self> {
        let changes = wire.changes.into_iter().map(|wire| {
            let object = KindObject {
                name: wire.name,
                revision: wire.revision,
                value: RawValue::from_string(wire.value)?,
            };
            Ok(LoggedChange {
                at: wire.at,
                change: Change {
                    object,
                    is_removed: wire.is_removed,
                },
            })
        });
        Ok(Self {
            is_whole: wire.is_whole,
            revision: wire.revision,
            changes: changes.collect::<io::Result<_>>()?,
        })
    }
}

type Link = Framed<TcpStream, LengthDelimitedCodec>;

fn frame(stream: TcpStream) -> Link {
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_MESSAGE_BYTES)
        .new_codec();
    Framed::new(stream, codec)
}

async fn send<T>(link: &mut Link, message: &T) -> io::Result<()>
where
    T: Serialize + Sync,
{
    let bytes = postcard::to_allocvec(message).map_err(io::Error::other)?;
    link.send(Bytes::from(bytes)).await
}

async fn receive<T>(link: &mut Link) -> io::Result<T>
where
    T: for<'a> Deserialize<'a>,
{
    let bytes = link.next().await.ok_or(io::ErrorKind::UnexpectedEof)??;
    postcard::from_bytes(&bytes).map_err(io::Error::other)
}

/// Answers other routers until the listener is dropped.
pub(crate) async fn serve_feed(listener: TcpListener, parts: FeedParts, log: Logger) {
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let (parts, log) = (parts.clone(), log.clone());
        tokio::spawn(async move {
            // Whoever asked goes on elsewhere.
            if let Err(error) = answer_asks(stream, &parts).await {
                debug!(log, "router left the feed"; "router" => peer.to_string(),
                    "reason" => error.to_string());
            }
        });
    }
}

async fn answer_asks(stream: TcpStream, parts: &FeedParts) -> io::Result<()> {
    notice_silence(&stream, SILENCE_LIMIT)?;
    let mut link = frame(stream);
    loop {
        let ask: FeedAsk = receive(&mut link).await?;
        let asker = ask.asker;
        parts
            .members
            .learn_presence(asker.router, asker.word(), asker.age());
        let answer = answer_ask(&ask, parts).await;
        send(&mut link, &answer).await?;
    }
}

async fn answer_ask(ask: &FeedAsk, parts: &FeedParts) -> FeedAnswer {
    let (feed, health) = (&parts.feed, &parts.health);
    let mut news = feed.news();
    let wait = Duration::from_millis(u64::from(ask.wait_ms)).min(MAX_WAIT);
    let end = tokio::time::Instant::now() + wait;
    let found = loop {
        news.mark_unchanged();
        let found: Vec<Option<WireNews>> = feed
            .kinds()
            .iter()
            .zip(&ask.known)
            .map(|(kind, known)| kind.news_after(*known).map(WireNews::from))
            .collect();
        if found.iter().any(Option::is_some) {
            break found;
        }
        if tokio::time::timeout_at(end, news.changed()).await.is_err() {
            break found;
        }
    };
    FeedAnswer {
        is_current: feed.is_current() && !health.is_call_failing(),
        failure_age_ms: health.failure_age().map(millis),
        news: found,
        present: present(parts),
    }
}

/// Heartbeats of this router's failure domain, its own among them.
fn present(parts: &FeedParts) -> Vec<WirePresence> {
    let heard = parts.members.present_routers().into_iter();
    let heard = heard.map(|(router, word, age_ms)| WirePresence::new(router, word, age_ms));
    heard.chain([parts.own_presence()]).collect()
}

/// What a router answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct FeedWord {
    /// True when its own watches are in step with the store.
    pub is_current: bool,
}

/// A connection to a router that is asked for news.
#[derive(Debug)]
pub(super) struct FeedSource {
    router: SocketAddr,
    link: Link,
}

impl FeedSource {
    /// Connects to a router.
    pub(super) async fn open(router: SocketAddr) -> io::Result<Self> {
        let stream = connect(router, CONNECT_TIMEOUT, SILENCE_LIMIT).await?;
        Ok(Self {
            router,
            link: frame(stream),
        })
    }

    /// Asks for news, takes them in and tells what the router said of itself. `is_near` says that
    /// it is of this router's failure domain, so that it tells of all routers there.
    pub(super) async fn ask(
        &mut self,
        parts: &FeedParts,
        wait: Duration,
        is_near: bool,
    ) -> io::Result<FeedWord> {
        let feed = &parts.feed;
        let ask = FeedAsk {
            known: feed.kinds().iter().map(|kind| kind.revision()).collect(),
            wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
            asker: parts.own_presence(),
        };
        let answer = async {
            send(&mut self.link, &ask).await?;
            receive::<FeedAnswer>(&mut self.link).await
        };
        let answer = tokio::time::timeout(wait + ANSWER_MARGIN, answer)
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        // What lapsed in an outage is only told from what has left by this.
        let failure_age = answer.failure_age_ms.map(Duration::from_millis);
        parts
            .health
            .note_word(self.router, answer.is_current, failure_age);
        if is_near {
            parts.members.note_hub();
        }
        for told in answer.present {
            parts
                .members
                .learn_presence(told.router, told.word(), told.age());
        }
        for (kind, news) in feed.kinds().iter().zip(answer.news) {
            if let Some(news) = news {
                kind.learn_news(news.try_into()?);
            }
        }
        Ok(FeedWord {
            is_current: answer.is_current,
        })
    }
}
