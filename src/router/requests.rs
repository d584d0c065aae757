//! Running and recently finished requests of this router, for deduplication of repeated ones.

use std::collections::{HashMap, VecDeque};
use std::sync::Mutex;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::core::ids::{HolderId, RequestId, TeamId};
use crate::peer::RequestLookup;
use crate::util::lock;

/// Most bytes of finished answers that are kept.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Most finished requests that are kept.
const MAX_FINISHED: usize = 20_000;

type RequestKey = (TeamId, RequestId);

/// A complete answer, as sent to the caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: Option<CompactString>,
    /// The body. A streamed chat answer is kept as one non-streamed completion.
    #[serde(with = "hex")]
    pub body: Vec<u8>,
}

/// A running request with its start time, or the answer of a finished one.
#[derive(Clone, Debug)]
enum Entry {
    Running(Instant),
    Finished(StoredAnswer),
}

#[derive(Debug, Default)]
struct TableState {
    by_key: HashMap<RequestKey, Entry>,
    finished: VecDeque<RequestKey>,
    answer_bytes: usize,
}

/// The running and recently finished requests of one router process.
#[derive(Debug)]
pub struct RequestTable {
    holder: HolderId,
    state: Mutex<TableState>,
}

impl RequestTable {
    /// Creates an empty table for one router process.
    #[must_use]
    pub fn new(holder: HolderId) -> Self {
        Self {
            holder,
            state: Mutex::default(),
        }
    }

    /// Looks a request up, and enters it as running if it is unknown.
    ///
    /// Returns the state from before the call.
    pub fn register(&self, team: &TeamId, request: &RequestId) -> RequestLookup {
        let mut state = lock(&self.state);
        let found = self.find_in(&state, team, request);
        if found == RequestLookup::Unknown {
            let key = (team.clone(), request.clone());
            state.by_key.insert(key, Entry::Running(Instant::now()));
        }
        found
    }

    /// Stores the complete answer of a request and evicts the oldest ones over the limits.
    pub fn finish(&self, team: &TeamId, request: &RequestId, answer: StoredAnswer) {
        let mut state = lock(&self.state);
        let key = (team.clone(), request.clone());
        state.answer_bytes += answer.body.len();
        state.by_key.insert(key.clone(), Entry::Finished(answer));
        state.finished.push_back(key);
        while state.answer_bytes > MAX_ANSWER_BYTES || state.finished.len() > MAX_FINISHED {
            state.evict_oldest();
        }
    }

    /// Removes a running request that ended without a complete answer, so that it can be retried.
    pub fn abandon(&self, team: &TeamId, request: &RequestId) {
        let mut state = lock(&self.state);
        let key = (team.clone(), request.clone());
        if matches!(state.by_key.get(&key), Some(Entry::Running(_))) {
            state.by_key.remove(&key);
        }
    }

    /// Returns the state of a request in this table.
    #[must_use]
    pub fn find(&self, team: &TeamId, request: &RequestId) -> RequestLookup {
        self.find_in(&lock(&self.state), team, request)
    }

    fn find_in(&self, state: &TableState, team: &TeamId, request: &RequestId) -> RequestLookup {
        match state.by_key.get(&(team.clone(), request.clone())) {
            None => RequestLookup::Unknown,
            Some(Entry::Running(since)) => RequestLookup::Running {
                holder: self.holder,
                age_ms: u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX),
            },
            Some(Entry::Finished(answer)) => RequestLookup::Finished(answer.clone()),
        }
    }

    /// Returns the number of running requests.
    #[must_use]
    pub fn running_count(&self) -> usize {
        let state = lock(&self.state);
        state.by_key.len() - state.finished.len()
    }
}

impl TableState {
    fn evict_oldest(&mut self) {
        let Some(key) = self.finished.pop_front() else {
            return;
        };
        if let Some(Entry::Finished(answer)) = self.by_key.remove(&key) {
            self.answer_bytes -= answer.body.len();
        }
    }
}
