//! Which replica gets a request, by the work that lies before it there.
//!
//! Work is counted in tokens that a replica has to read before a new request's first token: the
//! prompts ahead, the part of its own prompt that is not cached, and a charge for each request
//! that is being generated, since every step serves them all. Prompts that share a part meet on
//! the replica that rendezvous hashing names for the part, which all routers work out alike,
//! until that replica has more work ahead than reading the part anew would cost.

use std::hash::Hasher;

use rand::{Rng, RngExt};
use twox_hash::XxHash64;

use super::ids::{FailureDomain, ReplicaId};

/// Charge, in tokens to read, for each request being generated at a replica.
const RUNNING_COST_TOKENS: u64 = 150;
/// Charge, in tokens to read, for each request that waits for a slot: a run lasts for seconds.
const WAITING_COST_TOKENS: u64 = 20_000;
/// Charge, in tokens to read, for a replica in another failure domain.
const DOMAIN_COST_TOKENS: u64 = 200;
/// Charge of each request at a replica without an engine.
const CALL_COST: u64 = 1_000;
/// Requests taken on beyond a replica's slots, as a share of them, by the most urgent callers.
const QUEUE_SHARE_PERCENT: u64 = 50;
/// Failures in a row after which a replica is passed over for a time.
const FAILURES_TO_EJECT: u32 = 3;
/// First time for which a replica is passed over; doubles with each further failure.
const EJECT_MS: u64 = 500;
/// Longest time for which a replica is passed over.
const MAX_EJECT_MS: u64 = 8_000;
/// Key by which all routers rank the same replicas as readers of long prompts.
const READERS_KEY: u64 = 0x7265_6164_6572_7300;
/// Charge for reading a shared part that another replica holds, in hundredths of its tokens,
/// beside the time that reading takes: it also drives other parts out of the cache.
const READ_AGAIN_PERCENT: u64 = 100;
/// Replicas that count as holders of a shared part, by rank of the hash.
const HOLDERS: usize = 2;
/// Prompts with more tokens to read hold up the streams beside them for longer than the pauses
/// that callers expect: each step of an engine reads a part of them.
const LONG_PROMPT_TOKENS: u64 = 20_000;
/// Part of the replicas that read long prompts, in hundredths of the long prompts' part of all
/// tokens read: reading leaves room for the streams that follow.
const READERS_PERCENT: f64 = 80.0;
/// Most replicas that read long prompts, in hundredths of all.
const MAX_READERS_PERCENT: usize = 40;
/// Charge of a short prompt at a replica that reads long ones, in tokens to read.
const READER_COST_TOKENS: u64 = 12_000;
/// Charge, in tokens to read, for a replica that asked another router for quiet: others are taken
/// first, but this router was not asked itself.
const QUIET_HINT_COST_TOKENS: u64 = 50_000;
/// The same at a replica without an engine.
const QUIET_HINT_CALL_COST: u64 = 50 * CALL_COST;
/// Longest quiet that a replica is granted.
const MAX_QUIET_MS: u64 = 60_000;
/// Charge of a long prompt for each stream at a replica that does not read long ones.
const HELD_UP_COST_TOKENS: u64 = 2_000;
/// Weight of past prompts when a new one is counted in.
const PROMPT_MEMORY: f64 = 0.99;

/// Work that requests put on a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaLoad {
    /// Requests there, running and waiting.
    pub requests: u32,
    /// Prompt tokens of requests whose first token has not come yet.
    pub unread_tokens: u64,
}

impl ReplicaLoad {
    /// Adds a request.
    pub fn add(&mut self, unread_tokens: u64) {
        self.requests += 1;
        self.unread_tokens += unread_tokens;
    }

    /// Takes the tokens of a request that has got its first token.
    pub fn read(&mut self, unread_tokens: u64) {
        self.unread_tokens = self.unread_tokens.saturating_sub(unread_tokens);
    }

    /// Takes a request away.
    pub fn remove(&mut self) {
        self.requests = self.requests.saturating_sub(1);
    }
}

/// One replica as the choice sees it.
#[derive(Clone, Debug)]
pub struct Place {
    /// Its name.
    pub id: ReplicaId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Work of this router there.
    pub own: ReplicaLoad,
    /// Work of other routers there, as they last said.
    pub others: ReplicaLoad,
    /// Gets no new work: it said that it leaves, or its entry is gone.
    pub is_leaving: bool,
    quiet_until_ms: u64,
    hinted_quiet_until_ms: u64,
    failures: u32,
    ejected_until_ms: u64,
    is_probed: bool,
}

impl Place {
    /// A replica in service of which nothing else is known.
    #[must_use]
    pub fn new(id: ReplicaId, failure_domain: FailureDomain, slots: u32) -> Self {
        Self {
            id,
            failure_domain,
            slots,
            own: ReplicaLoad::default(),
            others: ReplicaLoad::default(),
            is_leaving: false,
            quiet_until_ms: 0,
            hinted_quiet_until_ms: 0,
            failures: 0,
            ejected_until_ms: 0,
            is_probed: false,
        }
    }

    /// Requests there, of all routers.
    #[must_use]
    pub const fn requests(&self) -> u32 {
        self.own.requests + self.others.requests
    }

    /// Tokens to be read there before a new prompt.
    #[must_use]
    pub const fn unread_tokens(&self) -> u64 {
        self.own.unread_tokens + self.others.unread_tokens
    }

    /// Notes an answer.
    pub fn learn_success(&mut self) {
        self.failures = 0;
        self.ejected_until_ms = 0;
        self.is_probed = false;
    }

    /// Notes a failure; several in a row take the replica out for a time.
    pub fn learn_failure(&mut self, now_ms: u64) {
        self.failures = self.failures.saturating_add(1);
        self.is_probed = false;
        if self.failures >= FAILURES_TO_EJECT {
            self.eject(now_ms);
        }
    }

    /// Notes that it accepts no connections.
    pub fn learn_unreachable(&mut self, now_ms: u64) {
        self.failures = self.failures.saturating_add(1).max(FAILURES_TO_EJECT);
        self.is_probed = false;
        self.eject(now_ms);
    }

    /// Notes that it asked this router for quiet. It gets nothing until then.
    pub fn learn_quiet(&mut self, now_ms: u64, quiet_ms: u64) {
        let until_ms = now_ms + quiet_ms.min(MAX_QUIET_MS);
        self.quiet_until_ms = self.quiet_until_ms.max(until_ms);
    }

    /// Notes that it asked another router for quiet. It is passed over while others have room.
    pub fn learn_quiet_hint(&mut self, now_ms: u64, quiet_ms: u64) {
        self.hinted_quiet_until_ms = now_ms + quiet_ms.min(MAX_QUIET_MS);
    }

    /// Time for which it wants no requests of this router.
    #[must_use]
    pub const fn quiet_left_ms(&self, now_ms: u64) -> u64 {
        self.quiet_until_ms.saturating_sub(now_ms)
    }

    fn eject(&mut self, now_ms: u64) {
        let doublings = (self.failures - FAILURES_TO_EJECT).min(5);
        self.ejected_until_ms = now_ms + (EJECT_MS << doublings).min(MAX_EJECT_MS);
    }

    /// True when it was taken out and is due one request to try it.
    const fn is_on_probation(&self) -> bool {
        self.failures >= FAILURES_TO_EJECT
    }

    fn is_eligible(&self, wish: &PlaceWish<'_>) -> bool {
        let waits_for_probe = self.is_on_probation() && self.is_probed;
        let is_usable = !self.is_leaving && self.ejected_until_ms <= wish.now_ms;
        is_usable && !waits_for_probe && !wish.avoid.contains(&self.id)
    }

    fn has_room(&self, wish: &PlaceWish<'_>) -> bool {
        let slots = u64::from(self.slots.max(1));
        let beyond = slots * QUEUE_SHARE_PERCENT / 100 / (1 + u64::from(wish.rank));
        u64::from(self.requests()) < slots + beyond
    }
}

/// What a request wants of a replica.
#[derive(Clone, Copy, Debug)]
pub struct PlaceWish<'a> {
    /// The router's monotonic clock.
    pub now_ms: u64,
    /// The router's failure domain.
    pub failure_domain: &'a FailureDomain,
    /// Replicas that were tried already.
    pub avoid: &'a [ReplicaId],
    /// Rank of the request, 0 first.
    pub rank: u32,
    /// Prompt, if the pool serves models.
    pub prompt: Option<PromptWish>,
}

/// The prompt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptWish {
    /// Length of the whole prompt.
    pub prompt_tokens: u64,
    /// Length of the parts that other requests share.
    pub shared_tokens: u64,
    /// Digest of the shared parts.
    pub shared_key: u64,
}

/// What became of a choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// This replica, by its place in the list.
    Place {
        /// Index of the replica.
        index: usize,
        /// Prompt tokens that it probably has to read.
        unread_tokens: u64,
    },
    /// Replicas are in service, but none has room.
    Full,
    /// All replicas in service asked for quiet.
    Quiet {
        /// Time until the first of them may be asked again.
        left_ms: u64,
    },
    /// No replica is in service.
    Nobody,
}

/// Rank of a replica for a shared part of prompts, higher first.
fn affinity(key: u64, id: &ReplicaId) -> u64 {
    let mut hasher = XxHash64::with_seed(key);
    hasher.write(id.as_str().as_bytes());
    hasher.finish()
}

/// The part of long prompts in what is read, as this router sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PromptMix {
    long_tokens: f64,
    all_tokens: f64,
}

impl PromptMix {
    /// Counts a prompt by what has to be read of it.
    #[allow(clippy::cast_precision_loss, reason = "an average")]
    pub fn note(&mut self, unread_tokens: u64) {
        self.long_tokens *= PROMPT_MEMORY;
        self.all_tokens = self.all_tokens * PROMPT_MEMORY + unread_tokens as f64;
        if unread_tokens > LONG_PROMPT_TOKENS {
            self.long_tokens += unread_tokens as f64;
        }
    }

    /// How many of some replicas read long prompts.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "a small positive number"
    )]
    fn readers(&self, replicas: usize) -> usize {
        if self.all_tokens < 1.0 {
            return 0;
        }
        let share = self.long_tokens / self.all_tokens * READERS_PERCENT / 100.0;
        let readers = (share * replicas as f64).round() as usize;
        readers.min(replicas * MAX_READERS_PERCENT / 100)
    }
}

/// Chooses the replica with the least work before the request.
pub fn choose_place<R>(
    places: &mut [Place],
    wish: &PlaceWish<'_>,
    mix: &PromptMix,
    rng: &mut R,
) -> Choice
where
    R: Rng,
{
    let in_service: Vec<usize> = (0..places.len())
        .filter(|index| places[*index].is_eligible(wish))
        .collect();
    let quiet_left_ms = |index: &usize| places[*index].quiet_left_ms(wish.now_ms);
    let Some(left_ms) = in_service.iter().map(quiet_left_ms).min() else {
        return Choice::Nobody;
    };
    if left_ms > 0 {
        return Choice::Quiet { left_ms };
    }
    let mut eligible = in_service;
    eligible.retain(|index| quiet_left_ms(index) == 0);
    let readers = match wish.prompt {
        Some(_) => holders_of(places, &eligible, READERS_KEY, mix.readers(eligible.len())),
        None => Vec::new(),
    };
    let holders = wish
        .prompt
        .filter(|prompt| prompt.shared_tokens > 0)
        .map(|prompt| holders_of(places, &eligible, prompt.shared_key, HOLDERS))
        .unwrap_or_default();
    let mut best: Option<(u64, u32, usize, u64)> = None;
    for index in eligible {
        let place = &places[index];
        if !place.has_room(wish) {
            continue;
        }
        let unread_tokens = unread_at(wish.prompt, holders.iter().position(|at| *at == index));
        let cost = cost_of(place, wish, unread_tokens, readers.contains(&index));
        let tie: u32 = rng.random();
        if best.is_none_or(|(least, least_tie, _, _)| (cost, tie) < (least, least_tie)) {
            best = Some((cost, tie, index, unread_tokens));
        }
    }
    let Some((_, _, index, unread_tokens)) = best else {
        return Choice::Full;
    };
    let place = &mut places[index];
    place.is_probed = place.is_on_probation();
    Choice::Place {
        index,
        unread_tokens,
    }
}

/// The first replicas by the rank of a key.
fn holders_of(places: &[Place], eligible: &[usize], key: u64, count: usize) -> Vec<usize> {
    if count == 0 {
        return Vec::new();
    }
    let mut ranked: Vec<(u64, usize)> = eligible
        .iter()
        .map(|index| (affinity(key, &places[*index].id), *index))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.truncate(count);
    ranked.into_iter().map(|(_, index)| index).collect()
}

/// Tokens to read there: nothing of the shared part at its first holder, half at the second.
fn unread_at(prompt: Option<PromptWish>, holder_rank: Option<usize>) -> u64 {
    let Some(prompt) = prompt else {
        return 0;
    };
    let own_tokens = prompt.prompt_tokens.saturating_sub(prompt.shared_tokens);
    match holder_rank {
        Some(0) => own_tokens,
        Some(rank) => own_tokens + prompt.shared_tokens * rank as u64 / HOLDERS as u64,
        None => prompt.prompt_tokens,
    }
}

fn cost_of(place: &Place, wish: &PlaceWish<'_>, unread_tokens: u64, is_reader: bool) -> u64 {
    let is_near = place.failure_domain == *wish.failure_domain;
    let domain_tokens = if is_near { 0 } else { DOMAIN_COST_TOKENS };
    let requests = u64::from(place.requests());
    let is_quiet_elsewhere = place.hinted_quiet_until_ms > wish.now_ms;
    if wish.prompt.is_none() {
        let hint_cost = if is_quiet_elsewhere {
            QUIET_HINT_CALL_COST
        } else {
            0
        };
        return requests * CALL_COST + domain_tokens + hint_cost;
    }
    let hint_tokens = if is_quiet_elsewhere {
        QUIET_HINT_COST_TOKENS
    } else {
        0
    };
    // The request itself waits where all slots are taken.
    let waiting = (requests + 1).saturating_sub(u64::from(place.slots));
    let running = requests.saturating_sub(waiting);
    let waiting_tokens = waiting * WAITING_COST_TOKENS;
    let again_tokens = wish.prompt.map_or(0, |prompt| {
        let own_tokens = prompt.prompt_tokens.saturating_sub(prompt.shared_tokens);
        unread_tokens.saturating_sub(own_tokens)
    });
    let is_long = unread_tokens > LONG_PROMPT_TOKENS;
    let mixing_tokens = match (is_long, is_reader) {
        (true, false) => running * HELD_UP_COST_TOKENS,
        (false, true) => READER_COST_TOKENS,
        _ => 0,
    };
    place.unread_tokens()
        + unread_tokens
        + again_tokens * READ_AGAIN_PERCENT / 100
        + running * RUNNING_COST_TOKENS
        + waiting_tokens
        + domain_tokens
        + mixing_tokens
        + hint_tokens
}
