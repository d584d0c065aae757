//! Which routers of a failure domain are there (heartbeats to two hubs, merged by the newest).
//!
//! A router counts as gone when no hub has heard it for a time, as long as hubs tell anything at
//! all; without their word nothing is known.

use std::collections::HashMap;
use std::hash::Hash;

/// Silence after which a router counts as gone, in milliseconds.
pub const GONE_AFTER_MS: u64 = 2_000;
/// Age of the last word of a hub up to which silence means anything, in milliseconds.
const WORD_LIFE_MS: u64 = 1_500;
/// Time after which a router that is gone is forgotten, in milliseconds.
const FORGET_MS: u64 = 60_000;

/// What a router says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnWord {
    /// True when it takes requests.
    pub is_ready: bool,
    /// How much more it can take on, in hundredths.
    pub room_percent: u8,
}

/// What is known of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// No hub has told of it, or none tells anything now.
    Unknown,
    /// It was there a moment ago and said this.
    There(OwnWord),
    /// No hub has heard it for a time.
    Gone,
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    at_ms: u64,
    word: OwnWord,
}

/// The routers of a failure domain by their last heartbeats.
#[derive(Clone, Debug)]
pub struct PresenceTable<K> {
    heard: HashMap<K, Heard>,
    /// When a hub last told of others; a hub tells itself.
    last_word_ms: Option<u64>,
}

impl<K> Default for PresenceTable<K> {
    fn default() -> Self {
        Self {
            heard: HashMap::new(),
            last_word_ms: None,
        }
    }
}

impl<K> PresenceTable<K>
where
    K: Copy + Eq + Hash,
{
    /// Nothing is known.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in a heartbeat of some age, heard here or told by a hub.
    pub fn learn(&mut self, router: K, word: OwnWord, at_ms: u64) {
        let heard = self.heard.entry(router).or_insert(Heard { at_ms, word });
        if heard.at_ms <= at_ms {
            *heard = Heard { at_ms, word };
        }
    }

    /// Notes that a hub tells of its domain now.
    pub fn note_hub(&mut self, now_ms: u64) {
        self.last_word_ms = self.last_word_ms.max(Some(now_ms));
        self.heard
            .retain(|_, heard| now_ms.saturating_sub(heard.at_ms) < FORGET_MS);
    }

    /// What is known of a router now.
    #[must_use]
    pub fn presence(&self, router: &K, now_ms: u64) -> Presence {
        let is_told = self
            .last_word_ms
            .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < WORD_LIFE_MS);
        match self.heard.get(router) {
            Some(heard) if now_ms.saturating_sub(heard.at_ms) < GONE_AFTER_MS => {
                Presence::There(heard.word)
            }
            Some(_) if is_told => Presence::Gone,
            _ => Presence::Unknown,
        }
    }

    /// All heartbeats that are not too old, with their ages in milliseconds.
    pub fn ages(&self, now_ms: u64) -> impl Iterator<Item = (K, OwnWord, u64)> + '_ {
        let ages = self
            .heard
            .iter()
            .map(move |(router, heard)| (*router, heard.word, now_ms.saturating_sub(heard.at_ms)));
        ages.filter(|(.., age_ms)| *age_ms < GONE_AFTER_MS)
    }
}
