//! Requests that this router runs or ran lately, so that a repeated one finds its first run.

use std::collections::{HashMap, VecDeque};
use std::sync::Mutex;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::core::ids::{HolderId, RequestId, TeamId};
use crate::peer::FoundRequest;
use crate::util::lock;

/// Bytes of finished answers that are remembered.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Finished requests that are remembered.
const MAX_FINISHED: usize = 20_000;

type Key = (TeamId, RequestId);

/// A whole answer as it was given.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: Option<CompactString>,
    /// The body. A streamed chat answer is kept as a whole completion.
    #[serde(with = "hex")]
    pub body: Vec<u8>,
}

/// A request in progress since a time, or its answer.
#[derive(Clone, Debug)]
enum Entry {
    Running(Instant),
    Finished(StoredAnswer),
}

#[derive(Debug, Default)]
struct Table {
    by_key: HashMap<Key, Entry>,
    finished: VecDeque<Key>,
    answer_bytes: usize,
}

/// The requests of one router process.
#[derive(Debug)]
pub struct RequestTable {
    holder: HolderId,
    table: Mutex<Table>,
}

impl RequestTable {
    /// An empty table of one router process.
    #[must_use]
    pub fn new(holder: HolderId) -> Self {
        Self {
            holder,
            table: Mutex::default(),
        }
    }

    /// Notes that a request has come. One that was unheard of counts as running from here on.
    pub fn arrive(&self, team: &TeamId, request: &RequestId) -> FoundRequest {
        let mut table = lock(&self.table);
        let found = self.find_in(&table, team, request);
        if found == FoundRequest::Unheard {
            let key = (team.clone(), request.clone());
            table.by_key.insert(key, Entry::Running(Instant::now()));
        }
        found
    }

    /// Notes that a request ended with a whole answer.
    pub fn finish(&self, team: &TeamId, request: &RequestId, answer: StoredAnswer) {
        let mut table = lock(&self.table);
        let key = (team.clone(), request.clone());
        table.answer_bytes += answer.body.len();
        table.by_key.insert(key.clone(), Entry::Finished(answer));
        table.finished.push_back(key);
        while table.answer_bytes > MAX_ANSWER_BYTES || table.finished.len() > MAX_FINISHED {
            table.forget_oldest();
        }
    }

    /// Notes that a request ended without a whole answer and may come again.
    pub fn abandon(&self, team: &TeamId, request: &RequestId) {
        let mut table = lock(&self.table);
        let key = (team.clone(), request.clone());
        if matches!(table.by_key.get(&key), Some(Entry::Running(_))) {
            table.by_key.remove(&key);
        }
    }

    /// What is known about a request.
    #[must_use]
    pub fn find(&self, team: &TeamId, request: &RequestId) -> FoundRequest {
        self.find_in(&lock(&self.table), team, request)
    }

    fn find_in(&self, table: &Table, team: &TeamId, request: &RequestId) -> FoundRequest {
        match table.by_key.get(&(team.clone(), request.clone())) {
            None => FoundRequest::Unheard,
            Some(Entry::Running(since)) => FoundRequest::Running {
                holder: self.holder,
                age_ms: u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX),
            },
            Some(Entry::Finished(answer)) => FoundRequest::Finished(answer.clone()),
        }
    }

    /// Number of requests in progress.
    #[must_use]
    pub fn running_count(&self) -> usize {
        let table = lock(&self.table);
        table.by_key.len() - table.finished.len()
    }
}

impl Table {
    fn forget_oldest(&mut self) {
        let Some(key) = self.finished.pop_front() else {
            return;
        };
        if let Some(Entry::Finished(answer)) = self.by_key.remove(&key) {
            self.answer_bytes -= answer.body.len();
        }
    }
}
