//! A queue that serves by priority and, within a priority, teams by their weights.
//!
//! Start-time fair queueing: each entry gets a virtual start time that follows its team's last
//! one by the inverse of the team's weight; the lowest start time is served first.

use std::collections::{BTreeMap, HashMap};

use super::ids::TeamId;
use crate::lists::Priority;

/// Virtual time that one request of a team with weight 1 takes.
const VIRTUAL_REQUEST: u64 = 1 << 20;

/// What an entry is queued by.
#[derive(Clone, Debug)]
pub struct Ticket {
    /// The team.
    pub team: TeamId,
    /// The priority of its plan.
    pub priority: Priority,
    /// The weight of its plan.
    pub weight: u32,
}

/// Place of an entry in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    priority: Priority,
    virtual_start: u64,
    number: u64,
}

/// A fair queue.
#[derive(Debug)]
pub struct FairQueue<T> {
    entries: BTreeMap<Place, T>,
    last_start: HashMap<TeamId, u64>,
    virtual_now: u64,
    last_number: u64,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            entries: BTreeMap::new(),
            last_start: HashMap::new(),
            virtual_now: 0,
            last_number: 0,
        }
    }
}

impl<T> FairQueue<T> {
    /// Number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// True when there is no entry.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Adds an entry and returns its place.
    pub fn push(&mut self, ticket: &Ticket, entry: T) -> Place {
        let step = VIRTUAL_REQUEST / u64::from(ticket.weight.max(1));
        let after_last = self
            .last_start
            .get(&ticket.team)
            .map_or(0, |last| last + step);
        let virtual_start = after_last.max(self.virtual_now);
        self.last_start.insert(ticket.team.clone(), virtual_start);
        self.last_number += 1;
        let place = Place {
            priority: ticket.priority,
            virtual_start,
            number: self.last_number,
        };
        self.entries.insert(place, entry);
        place
    }

    /// Takes out the entry that is served next.
    pub fn pop(&mut self) -> Option<T> {
        let (place, entry) = self.entries.pop_first()?;
        self.virtual_now = self.virtual_now.max(place.virtual_start);
        if self.entries.is_empty() {
            self.last_start.clear();
        }
        Some(entry)
    }

    /// Takes out an entry that does not wait any longer.
    pub fn remove(&mut self, place: Place) -> Option<T> {
        self.entries.remove(&place)
    }

    /// Number of entries that are served before a new one of this priority, at most.
    #[must_use]
    pub fn ahead_of(&self, priority: Priority) -> usize {
        self.entries
            .keys()
            .filter(|place| place.priority <= priority)
            .count()
    }
}
