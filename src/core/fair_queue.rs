//! Priority queue with weighted fair queueing among the teams of each priority.
//!
//! Uses start-time fair queueing: each entry gets a virtual start time, which follows the last one
//! of its team by the inverse of the team's weight. The entry with the lowest start time is served
//! first.

use std::collections::{BTreeMap, HashMap};

use super::ids::TeamId;
use crate::lists::Priority;

/// Virtual duration of a request of a team with weight 1.
const VIRTUAL_REQUEST_COST: u64 = 1 << 20;

/// Team, priority and weight by which an entry is queued.
#[derive(Clone, Debug)]
pub struct QueueKey {
    /// Team of the entry.
    pub team: TeamId,
    /// Priority of the team's plan.
    pub priority: Priority,
    /// Weight of the team's plan.
    pub weight: u32,
}

/// Position of an entry in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePosition {
    priority: Priority,
    virtual_start: u64,
    sequence: u64,
}

/// Queue of entries in service order.
#[derive(Debug)]
pub struct FairQueue<T> {
    entries: BTreeMap<QueuePosition, T>,
    last_virtual_start: HashMap<TeamId, u64>,
    virtual_now: u64,
    last_sequence: u64,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            entries: BTreeMap::new(),
            last_virtual_start: HashMap::new(),
            virtual_now: 0,
            last_sequence: 0,
        }
    }
}

impl<T> FairQueue<T> {
    /// Returns the number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if the queue has no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds an entry and returns its position.
    pub fn push(&mut self, queue_key: &QueueKey, entry: T) -> QueuePosition {
        let step = VIRTUAL_REQUEST_COST / u64::from(queue_key.weight.max(1));
        let after_last = self
            .last_virtual_start
            .get(&queue_key.team)
            .map_or(0, |last| last + step);
        let virtual_start = after_last.max(self.virtual_now);
        self.last_virtual_start
            .insert(queue_key.team.clone(), virtual_start);
        self.last_sequence += 1;
        let position = QueuePosition {
            priority: queue_key.priority,
            virtual_start,
            sequence: self.last_sequence,
        };
        self.entries.insert(position, entry);
        position
    }

    /// Removes and returns the entry to serve next.
    pub fn pop(&mut self) -> Option<T> {
        let (position, entry) = self.entries.pop_first()?;
        self.virtual_now = self.virtual_now.max(position.virtual_start);
        if self.entries.is_empty() {
            self.last_virtual_start.clear();
        }
        Some(entry)
    }

    /// Removes and returns an entry that no longer waits.
    pub fn remove(&mut self, position: QueuePosition) -> Option<T> {
        self.entries.remove(&position)
    }

    /// Returns the upper bound on entries that are served before a new one of this priority.
    #[must_use]
    pub fn ahead_of(&self, priority: Priority) -> usize {
        self.entries
            .keys()
            .filter(|position| position.priority <= priority)
            .count()
    }
}
