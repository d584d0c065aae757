//! Places at a replica that falls over when it has to turn requests away.
//!
//! A router that issues the places of a replica counts those in use by all routers, so that no more
//! requests are sent there than it runs at once. Each place has a lifetime, as its holder may die.

/// Share of a replica's slots that each issuer may give out, in percent: the first alone issues, the
/// others stand in for it without knowing which places it has given out.
const SHARES_PERCENT: [u32; 4] = [100, 25, 12, 6];
/// Time after a rejection in which no place is given out, in milliseconds: the replica has less room
/// than is known.
const PAUSE_MS: u64 = 1_000;

/// Places of one replica that one issuer has given out.
///
/// ```
/// use currantlever::PlaceTable;
/// let mut places = PlaceTable::new();
/// assert!(places.try_take(1, 0, 5_000, 1));
/// assert!(!places.try_take(2, 10, 5_000, 1));
/// places.release(1);
/// assert!(places.try_take(2, 20, 5_000, 1));
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlaceTable {
    /// Ids of the places in use, and when they expire.
    taken: Vec<(u64, u64)>,
    paused_until_ms: u64,
}

impl PlaceTable {
    /// Creates the table of a replica of which no place is in use.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a place for at most `lifetime_ms`. Returns false if `limit` places are in use, or after
    /// a rejection.
    pub fn try_take(&mut self, id: u64, now_ms: u64, lifetime_ms: u64, limit: u32) -> bool {
        self.taken.retain(|(_, expires_ms)| *expires_ms > now_ms);
        if self.taken.len() >= limit as usize || now_ms < self.paused_until_ms {
            return false;
        }
        self.taken.push((id, now_ms.saturating_add(lifetime_ms)));
        true
    }

    /// Returns a place. Has no effect if it was returned before.
    pub fn release(&mut self, id: u64) {
        self.taken.retain(|(taken, _)| *taken != id);
    }

    /// Records that the replica rejected a request for want of room.
    pub fn record_rejection(&mut self, now_ms: u64) {
        self.paused_until_ms = now_ms + PAUSE_MS;
    }

    /// Returns true if the table holds nothing that is needed.
    #[must_use]
    pub fn is_unused(&self, now_ms: u64) -> bool {
        let is_taken = self
            .taken
            .iter()
            .any(|(_, expires_ms)| *expires_ms > now_ms);
        !is_taken && now_ms >= self.paused_until_ms
    }
}

/// Returns how many places of a replica the issuer at this position may give out.
#[must_use]
pub fn issuer_places(slots: u32, position: usize) -> u32 {
    let share_percent = SHARES_PERCENT.get(position).copied().unwrap_or(0);
    slots.saturating_mul(share_percent) / 100
}
