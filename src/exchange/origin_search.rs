//! Finds out what began a stream, by asking the routers that may have been told.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use slog::info;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::origin_messages::{OriginAnswer, OriginQuery};
use super::stream_origins::{FoundOrigin, OriginSource, StreamOrigins};
use super::transfers::PeerMessage;
use crate::core::ids::{PoolId, ReplicaVersion};
use crate::core::stream_origin::{KnownOrigin, StreamId};
use crate::util::{lock, millis};

/// Time from the start after which the query is sent once more, and to further routers.
const SECOND_ROUND_AT: Duration = Duration::from_millis(40);
/// Time from the start after which it is sent to those for the last time.
const LAST_ROUND_AT: Duration = Duration::from_millis(80);
/// Timeout of a search.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(150);
/// Maximum number of searches at a time; another one asks nobody.
const MAX_PENDING_SEARCHES: usize = 1_024;
/// Maximum number of unread replies to one search.
const MAX_UNREAD_REPLIES: usize = 32;

/// A search in progress. Dropping it ends the search.
struct Search<'a> {
    origins: &'a StreamOrigins,
    id: u64,
    asked: Vec<SocketAddr>,
    answered: Vec<SocketAddr>,
    single_versions: Vec<(ReplicaVersion, SocketAddr)>,
}

impl Drop for Search<'_> {
    fn drop(&mut self) {
        lock(&self.origins.pending_searches).remove(&self.id);
    }
}

impl StreamOrigins {
    /// Returns what began a stream that is to go on at a pool.
    pub(crate) async fn find(&self, stream: StreamId, pool: &PoolId) -> FoundOrigin {
        let started = Instant::now();
        let known = lock(&self.table).find(stream, self.now_ms());
        let (found, asked, answered) = match known {
            Some((KnownOrigin::Origin(origin), age_ms)) => {
                let found = FoundOrigin::Known {
                    origin,
                    source: OriginSource::Own,
                    age: Duration::from_millis(age_ms),
                };
                (found, 0, 0)
            }
            Some((KnownOrigin::Conflicting, _)) => (FoundOrigin::Conflicting, 0, 0),
            None => match self.start_search() {
                Some((mut search, mut replies)) => {
                    let found = search.run(stream, pool, started, &mut replies).await;
                    (found, search.asked.len(), search.answered.len())
                }
                None => (unasked(), 0, 0),
            },
        };
        self.record_search(stream, pool, &found, (asked, answered), started);
        found
    }

    fn start_search(&self) -> Option<(Search<'_>, mpsc::Receiver<(SocketAddr, OriginAnswer)>)> {
        let mut searches = lock(&self.pending_searches);
        if searches.len() >= MAX_PENDING_SEARCHES {
            return None;
        }
        let id = rand::rng().random();
        let (sender, replies) = mpsc::channel(MAX_UNREAD_REPLIES);
        searches.insert(id, sender);
        let search = Search {
            origins: self,
            id,
            asked: Vec::new(),
            answered: Vec::new(),
            single_versions: Vec::new(),
        };
        Some((search, replies))
    }

    fn record_search(
        &self,
        stream: StreamId,
        pool: &PoolId,
        found: &FoundOrigin,
        (asked, answered): (usize, usize),
        started: Instant,
    ) {
        let (result, message) = match found {
            FoundOrigin::Known { source, .. } => match source {
                OriginSource::Own => ("own", "origin of a stream found"),
                OriginSource::Router(_) => ("router", "origin of a stream found"),
            },
            FoundOrigin::Conflicting => ("conflicting", "origins of a stream conflict"),
            FoundOrigin::Unknown { .. } => ("unknown", "origin of a stream not found"),
        };
        self.metrics.count_origin_search(result);
        let known = match found {
            FoundOrigin::Known {
                origin,
                source,
                age,
            } => Some((origin, source, age)),
            FoundOrigin::Conflicting | FoundOrigin::Unknown { .. } => None,
        };
        let single_version = match found {
            FoundOrigin::Unknown { single_version, .. } => single_version.as_ref(),
            FoundOrigin::Known { .. } | FoundOrigin::Conflicting => None,
        };
        info!(self.log, "{}", message; "stream" => stream.to_string(), "pool" => pool.as_str(),
            "version" => known.map(|(origin, ..)| origin.version.to_string()),
            "origin_pool" => known.map(|(origin, ..)| origin.pool.to_string()),
            "replica_digest" => known.map(|(origin, ..)| origin.replica),
            "born_ms" => known.and_then(|(origin, ..)| origin.born_ms),
            "source" => known.map(|(_, source, _)| source.to_string()),
            "age_ms" => known.map(|(.., age)| millis(*age)),
            "single_version" => single_version.map(|(version, _)| version.to_string()),
            "single_version_by" => single_version.map(|(_, router)| router.to_string()),
            "asked" => asked, "answered" => answered,
            "search_ms" => millis(started.elapsed()));
    }
}

impl Search<'_> {
    async fn run(
        &mut self,
        stream: StreamId,
        pool: &PoolId,
        started: Instant,
        replies: &mut mpsc::Receiver<(SocketAddr, OriginAnswer)>,
    ) -> FoundOrigin {
        let (sources, first_count) = self.origins.members.origin_sources(stream);
        let query = OriginQuery {
            id: self.id,
            stream,
            pool: pool.clone(),
        };
        let query = PeerMessage::OriginQuery(query);
        let rounds = [
            (first_count, SECOND_ROUND_AT),
            (sources.len(), LAST_ROUND_AT),
            (sources.len(), SEARCH_TIMEOUT),
        ];
        for (count, end) in rounds {
            self.asked = sources[..count].to_vec();
            let mut receivers = self.asked.clone();
            receivers.retain(|router| !self.answered.contains(router));
            query.send_all(&self.origins.socket, &receivers);
            while self.answered.len() < self.asked.len() {
                let reply = tokio::time::timeout_at(started + end, replies.recv()).await;
                let Ok(Some((router, answer))) = reply else {
                    break;
                };
                if let Some(found) = self.apply_answer(stream, router, answer) {
                    return found;
                }
            }
        }
        FoundOrigin::Unknown {
            asked: self.asked.len(),
            answered: self.answered.len(),
            single_version: self.agreed_version(),
        }
    }

    /// Applies an answer and returns what was found by it, if anything.
    fn apply_answer(
        &mut self,
        stream: StreamId,
        router: SocketAddr,
        answer: OriginAnswer,
    ) -> Option<FoundOrigin> {
        if !self.asked.contains(&router) || self.answered.contains(&router) {
            return None;
        }
        self.answered.push(router);
        let source = OriginSource::Router(router);
        match answer {
            OriginAnswer::Known { origin, age_ms } => {
                self.origins.apply_origin(stream, &origin, age_ms, source);
                Some(FoundOrigin::Known {
                    origin,
                    source,
                    age: Duration::from_millis(u64::from(age_ms)),
                })
            }
            OriginAnswer::Conflicting { age_ms } => {
                self.origins.apply_conflict(stream, age_ms, source);
                Some(FoundOrigin::Conflicting)
            }
            OriginAnswer::Unknown { single_version } => {
                let single_version = single_version.map(|version| (version, router));
                self.single_versions.extend(single_version);
                None
            }
        }
    }

    /// Returns the single version of the pool, unless routers state different ones.
    fn agreed_version(&self) -> Option<(ReplicaVersion, SocketAddr)> {
        let (version, router) = self.single_versions.first()?;
        let is_agreed = self
            .single_versions
            .iter()
            .all(|(other, _)| other == version);
        is_agreed.then(|| (version.clone(), *router))
    }
}

const fn unasked() -> FoundOrigin {
    FoundOrigin::Unknown {
        asked: 0,
        answered: 0,
        single_version: None,
    }
}
