//! Chooses the replica of a pool for a request by the prefill work pending there.
//!
//! Cost is the number of tokens that a replica has to prefill before the request's first token:
//! the pending prompts, the uncached part of the request's own prompt, and a charge for each
//! request in generation, since every decode step serves all of them. Prompts with a shared prefix
//! go to the replica that rendezvous hashing selects for the prefix, the same on all routers, until
//! its pending work exceeds the cost of prefilling the prefix elsewhere.

use std::hash::Hasher;

use rand::{Rng, RngExt};
use twox_hash::XxHash64;

use super::ejection::{Ejection, ProbeId};
use super::ids::{FailureDomain, ReplicaId};

/// Charge, in prefill tokens, for each request in generation at a replica.
const RUNNING_COST_TOKENS: u64 = 150;
/// Charge, in prefill tokens, for each request waiting for a slot: a run lasts for seconds.
const WAITING_COST_TOKENS: u64 = 20_000;
/// Charge, in prefill tokens, for a replica in another failure domain.
const REMOTE_DOMAIN_COST_TOKENS: u64 = 200;
/// Charge for each request at a replica of a plain service.
const PLAIN_REQUEST_COST: u64 = 1_000;
/// Requests of the highest priority that may queue at a replica, in percent of its slots.
const MAX_QUEUE_PERCENT: u64 = 50;
/// Rendezvous hash key by which all routers dedicate the same replicas to long prompts.
const LONG_PROMPT_REPLICAS_KEY: u64 = 0x7265_6164_6572_7300;
/// Charge for prefilling a shared prefix that another replica has cached, in percent of its tokens,
/// in addition to the prefill itself: the copy also evicts other prefixes.
const DUPLICATE_PREFIX_PERCENT: u64 = 100;
/// Replicas assumed to cache a shared prefix, the highest rendezvous hashes first.
const PREFIX_REPLICAS: usize = 2;
/// Prompts with more prefill tokens count as long. Their chunked prefill takes part of each engine
/// step and stalls concurrent streams for longer than callers expect.
const LONG_PROMPT_TOKENS: u64 = 20_000;
/// Share of the replicas dedicated to long prompts, in percent of the long prompts' share of all
/// prefill tokens: prefill leaves capacity for the streams that follow.
const LONG_PROMPT_REPLICAS_PERCENT: f64 = 80.0;
/// Upper bound on replicas dedicated to long prompts, in percent of all.
const MAX_LONG_PROMPT_REPLICAS_PERCENT: usize = 40;
/// Charge, in prefill tokens, for a short prompt at a replica dedicated to long prompts.
const LONG_PROMPT_REPLICA_COST_TOKENS: u64 = 12_000;
/// Charge, in prefill tokens, for a replica that requested a back-off from another router: other
/// replicas are preferred, but the back-off does not bind this router.
const BACKOFF_HINT_COST_TOKENS: u64 = 50_000;
/// The same charge for a replica of a plain service.
const PLAIN_BACKOFF_HINT_COST: u64 = 50 * PLAIN_REQUEST_COST;
/// Upper bound on a requested back-off; longer ones are capped to it.
const MAX_BACKOFF_MS: u64 = 60_000;
/// Charge, in prefill tokens, for each stream that a long prompt stalls at another replica.
const STALLED_STREAM_COST_TOKENS: u64 = 2_000;
/// Factor by which the moving averages of prefill tokens decay with each prompt.
const PROMPT_MIX_DECAY: f64 = 0.99;

/// Load that requests place on a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplicaLoad {
    /// Requests at the replica, running and waiting.
    pub requests: u32,
    /// Prefill tokens of requests that have not produced their first token.
    pub prefill_tokens: u64,
}

impl ReplicaLoad {
    /// Adds a request with its prefill tokens.
    pub fn add(&mut self, prefill_tokens: u64) {
        self.requests += 1;
        self.prefill_tokens += prefill_tokens;
    }

    /// Subtracts the prefill tokens of a request that has produced its first token.
    pub fn finish_prefill(&mut self, prefill_tokens: u64) {
        self.prefill_tokens = self.prefill_tokens.saturating_sub(prefill_tokens);
    }

    /// Removes a request.
    pub fn remove(&mut self) {
        self.requests = self.requests.saturating_sub(1);
    }
}

/// Whether requests may be sent to a replica, by its rate limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Admission {
    /// It has no limit, or the request has a permit.
    #[default]
    Open,
    /// A request needs a permit.
    NeedsPermit,
    /// A permit was denied recently.
    Denied {
        /// Time until a permit may be requested again, in milliseconds.
        left_ms: u64,
        /// Time after which a refused caller may repeat its request, in milliseconds.
        retry_after_ms: u64,
    },
}

impl Admission {
    const fn denied_left_ms(self) -> u64 {
        match self {
            Self::Denied { left_ms, .. } => left_ms,
            Self::Open | Self::NeedsPermit => 0,
        }
    }

    const fn retry_after_ms(self) -> Option<u64> {
        match self {
            Self::Denied { retry_after_ms, .. } => Some(retry_after_ms),
            Self::Open | Self::NeedsPermit => None,
        }
    }
}

/// State of a replica that placement decides by.
#[derive(Clone, Debug)]
pub struct ReplicaCandidate {
    /// Name of the replica.
    pub id: ReplicaId,
    /// Failure domain of the replica.
    pub failure_domain: FailureDomain,
    /// Requests that the replica runs concurrently.
    pub slots: u32,
    /// Load from this router.
    pub own_load: ReplicaLoad,
    /// Load from other routers, by their last reports.
    pub peer_load: ReplicaLoad,
    /// True if it gets no new requests: it announced that it is leaving, or its entry was removed.
    pub is_leaving: bool,
    /// Whether its rate limit lets requests through.
    pub admission: Admission,
    backoff_until_ms: u64,
    backoff_hint_until_ms: u64,
    ejection: Ejection,
}

impl ReplicaCandidate {
    /// Creates a replica in service without load, failures or back-off.
    #[must_use]
    pub fn new(id: ReplicaId, failure_domain: FailureDomain, slots: u32) -> Self {
        Self {
            id,
            failure_domain,
            slots,
            own_load: ReplicaLoad::default(),
            peer_load: ReplicaLoad::default(),
            is_leaving: false,
            admission: Admission::Open,
            backoff_until_ms: 0,
            backoff_hint_until_ms: 0,
            ejection: Ejection::default(),
        }
    }

    /// Returns the number of requests at the replica from all routers.
    #[must_use]
    pub const fn requests(&self) -> u32 {
        self.own_load.requests + self.peer_load.requests
    }

    /// Returns the prefill tokens pending at the replica ahead of a new prompt.
    #[must_use]
    pub const fn prefill_tokens(&self) -> u64 {
        self.own_load.prefill_tokens + self.peer_load.prefill_tokens
    }

    /// Records a success and ends an ejection.
    pub fn record_success(&mut self) {
        self.ejection.record_success();
    }

    /// Records a failure; several consecutive ones eject the replica for a time.
    pub fn record_failure(&mut self, now_ms: u64) {
        self.ejection.record_failure(now_ms);
    }

    /// Records that the replica accepts no connections, and ejects it at once.
    pub fn record_unreachable(&mut self, now_ms: u64) {
        self.ejection.record_unreachable(now_ms);
    }

    /// Records a back-off requested from this router: it sends no requests there for `backoff_ms`,
    /// capped at one minute. A later, shorter back-off doesn't shorten it.
    pub fn record_backoff(&mut self, now_ms: u64, backoff_ms: u64) {
        let until_ms = now_ms + backoff_ms.min(MAX_BACKOFF_MS);
        self.backoff_until_ms = self.backoff_until_ms.max(until_ms);
    }

    /// Records a back-off requested from another router: other replicas with spare capacity are
    /// preferred for `backoff_ms`.
    pub fn record_backoff_hint(&mut self, now_ms: u64, backoff_ms: u64) {
        self.backoff_hint_until_ms = now_ms + backoff_ms.min(MAX_BACKOFF_MS);
    }

    /// Returns the milliseconds left of the back-off requested from this router.
    #[must_use]
    pub const fn backoff_left_ms(&self, now_ms: u64) -> u64 {
        self.backoff_until_ms.saturating_sub(now_ms)
    }

    /// Records that a probe ended, whatever it showed, after which another one may be sent.
    pub fn conclude_probe(&mut self, id: ProbeId) {
        self.ejection.conclude_probe(id);
    }

    /// Returns the replica as it is without an ejection.
    #[must_use]
    pub fn without_ejection(&self) -> Self {
        let mut candidate = self.clone();
        candidate.record_success();
        candidate
    }

    /// Returns the milliseconds for which no request may be sent there.
    fn blocked_left_ms(&self, now_ms: u64) -> u64 {
        self.backoff_left_ms(now_ms)
            .max(self.admission.denied_left_ms())
    }

    /// Returns true if the replica was ejected and first gets a single probe request.
    #[must_use]
    pub const fn needs_probe(&self) -> bool {
        self.ejection.needs_probe()
    }

    fn is_eligible(&self, request: &PlacementRequest<'_>) -> bool {
        let is_usable = !self.is_leaving && self.ejection.allows_request(request.now_ms);
        is_usable && !request.excluded.contains(&self.id)
    }

    fn has_spare_capacity(&self, request: &PlacementRequest<'_>) -> bool {
        let slots = u64::from(self.slots.max(1));
        let max_queued = slots * MAX_QUEUE_PERCENT / 100 / (1 + u64::from(request.rank));
        u64::from(self.requests()) < slots + max_queued
    }
}

/// Inputs for placing a request.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Current time on the router's monotonic clock.
    pub now_ms: u64,
    /// Failure domain of the router.
    pub failure_domain: &'a FailureDomain,
    /// Replicas already tried, which are excluded.
    pub excluded: &'a [ReplicaId],
    /// Priority rank of the request; 0 is the highest.
    pub rank: u32,
    /// Prompt of the request if the pool serves models.
    pub prompt: Option<PromptInfo>,
}

/// Size and shared prefix of a request's prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptInfo {
    /// Length of the whole prompt, in tokens.
    pub prompt_tokens: u64,
    /// Length of the prefix shared with other requests, in tokens.
    pub shared_tokens: u64,
    /// Digest of the shared prefix.
    pub shared_key: u64,
}

/// Result of placing a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementOutcome {
    /// A replica was chosen.
    Replica {
        /// Index of the replica in the list.
        index: usize,
        /// Estimated prefill tokens of the request there.
        prefill_tokens: u64,
        /// Id of the probe if the request is one, as the replica was ejected. To be concluded however
        /// the request ends.
        probe: Option<ProbeId>,
    },
    /// Replicas are in service, but none has spare capacity.
    Full,
    /// All replicas in service requested a back-off.
    BackingOff {
        /// Milliseconds until the first back-off ends.
        left_ms: u64,
    },
    /// All replicas in service are in a back-off or at their rate limit, at least one of them at
    /// its limit.
    RateLimited {
        /// Milliseconds after which a refused caller may repeat its request.
        retry_after_ms: u64,
    },
    /// All replicas in service are ejected: they failed or could not be reached.
    Unreachable,
    /// No replica is in service.
    NoReplica,
}

/// Returns the rendezvous hash of a replica for a key; higher ranks first.
fn rendezvous_hash(key: u64, id: &ReplicaId) -> u64 {
    let mut hasher = XxHash64::with_seed(key);
    hasher.write(id.as_str().as_bytes());
    hasher.finish()
}

/// Moving averages of this router's prefill tokens, for long prompts and for all.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PromptMix {
    long_tokens: f64,
    all_tokens: f64,
}

impl PromptMix {
    /// Adds the prefill tokens of a prompt.
    #[allow(clippy::cast_precision_loss, reason = "moving average")]
    pub fn record(&mut self, prefill_tokens: u64) {
        self.long_tokens *= PROMPT_MIX_DECAY;
        self.all_tokens = self.all_tokens * PROMPT_MIX_DECAY + prefill_tokens as f64;
        if prefill_tokens > LONG_PROMPT_TOKENS {
            self.long_tokens += prefill_tokens as f64;
        }
    }

    /// Returns how many of `replicas` to dedicate to long prompts.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "a small positive number"
    )]
    fn long_prompt_replica_count(&self, replicas: usize) -> usize {
        if self.all_tokens < 1.0 {
            return 0;
        }
        let share = self.long_tokens / self.all_tokens * LONG_PROMPT_REPLICAS_PERCENT / 100.0;
        let count = (share * replicas as f64).round() as usize;
        count.min(replicas * MAX_LONG_PROMPT_REPLICAS_PERCENT / 100)
    }
}

/// Chooses the replica with the lowest cost for the request; ties are broken at random.
pub fn choose_replica<R>(
    candidates: &mut [ReplicaCandidate],
    request: &PlacementRequest<'_>,
    mix: &PromptMix,
    rng: &mut R,
) -> PlacementOutcome
where
    R: Rng,
{
    let in_service: Vec<usize> = (0..candidates.len())
        .filter(|index| candidates[*index].is_eligible(request))
        .collect();
    let blocked_left_ms = |index: &usize| candidates[*index].blocked_left_ms(request.now_ms);
    let Some(left_ms) = in_service.iter().map(blocked_left_ms).min() else {
        let is_ejected =
            |candidate: &ReplicaCandidate| !candidate.is_leaving && candidate.needs_probe();
        return if candidates.iter().any(is_ejected) {
            PlacementOutcome::Unreachable
        } else {
            PlacementOutcome::NoReplica
        };
    };
    if left_ms > 0 {
        let retry_after_ms = |index: &usize| candidates[*index].admission.retry_after_ms();
        return match in_service.iter().filter_map(retry_after_ms).min() {
            Some(retry_after_ms) => PlacementOutcome::RateLimited { retry_after_ms },
            None => PlacementOutcome::BackingOff { left_ms },
        };
    }
    let mut eligible = in_service;
    eligible.retain(|index| blocked_left_ms(index) == 0);
    let long_prompt_replicas = match request.prompt {
        Some(_) => highest_ranked(
            candidates,
            &eligible,
            LONG_PROMPT_REPLICAS_KEY,
            mix.long_prompt_replica_count(eligible.len()),
        ),
        None => Vec::new(),
    };
    let prefix_replicas = request
        .prompt
        .filter(|prompt| prompt.shared_tokens > 0)
        .map(|prompt| highest_ranked(candidates, &eligible, prompt.shared_key, PREFIX_REPLICAS))
        .unwrap_or_default();
    let mut best: Option<(u64, u32, usize, u64)> = None;
    for index in eligible {
        let candidate = &candidates[index];
        if !candidate.has_spare_capacity(request) {
            continue;
        }
        let prefill_tokens = estimate_prefill_tokens(
            request.prompt,
            prefix_replicas.iter().position(|at| *at == index),
        );
        let cost = cost_of(
            candidate,
            request,
            prefill_tokens,
            long_prompt_replicas.contains(&index),
        );
        let tie_break: u32 = rng.random();
        if best.is_none_or(|(best_cost, best_tie, _, _)| (cost, tie_break) < (best_cost, best_tie))
        {
            best = Some((cost, tie_break, index, prefill_tokens));
        }
    }
    let Some((_, _, index, prefill_tokens)) = best else {
        return PlacementOutcome::Full;
    };
    let candidate = &mut candidates[index];
    PlacementOutcome::Replica {
        index,
        prefill_tokens,
        probe: candidate.ejection.record_request(request.now_ms, rng),
    }
}

/// Returns the `count` eligible replicas with the highest rendezvous hashes for a key.
fn highest_ranked(
    candidates: &[ReplicaCandidate],
    eligible: &[usize],
    key: u64,
    count: usize,
) -> Vec<usize> {
    if count == 0 {
        return Vec::new();
    }
    let mut ranked: Vec<(u64, usize)> = eligible
        .iter()
        .map(|index| (rendezvous_hash(key, &candidates[*index].id), *index))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.truncate(count);
    ranked.into_iter().map(|(_, index)| index).collect()
}

/// Estimates the prefill tokens at a replica: none of the shared prefix at the replica ranked first
/// for it, half at the second.
fn estimate_prefill_tokens(prompt: Option<PromptInfo>, prefix_rank: Option<usize>) -> u64 {
    let Some(prompt) = prompt else {
        return 0;
    };
    let unshared_tokens = prompt.prompt_tokens.saturating_sub(prompt.shared_tokens);
    match prefix_rank {
        Some(0) => unshared_tokens,
        Some(rank) => unshared_tokens + prompt.shared_tokens * rank as u64 / PREFIX_REPLICAS as u64,
        None => prompt.prompt_tokens,
    }
}

fn cost_of(
    candidate: &ReplicaCandidate,
    request: &PlacementRequest<'_>,
    prefill_tokens: u64,
    is_long_prompt_replica: bool,
) -> u64 {
    let is_same_domain = candidate.failure_domain == *request.failure_domain;
    let domain_tokens = if is_same_domain {
        0
    } else {
        REMOTE_DOMAIN_COST_TOKENS
    };
    let requests = u64::from(candidate.requests());
    let has_backoff_hint = candidate.backoff_hint_until_ms > request.now_ms;
    if request.prompt.is_none() {
        let hint_cost = if has_backoff_hint {
            PLAIN_BACKOFF_HINT_COST
        } else {
            0
        };
        return requests * PLAIN_REQUEST_COST + domain_tokens + hint_cost;
    }
    let hint_tokens = if has_backoff_hint {
        BACKOFF_HINT_COST_TOKENS
    } else {
        0
    };
    // The request itself waits if all slots are taken.
    let waiting = (requests + 1).saturating_sub(u64::from(candidate.slots));
    let running = requests.saturating_sub(waiting);
    let waiting_tokens = waiting * WAITING_COST_TOKENS;
    let duplicate_tokens = request.prompt.map_or(0, |prompt| {
        let unshared_tokens = prompt.prompt_tokens.saturating_sub(prompt.shared_tokens);
        prefill_tokens.saturating_sub(unshared_tokens)
    });
    let is_long = prefill_tokens > LONG_PROMPT_TOKENS;
    let interference_tokens = match (is_long, is_long_prompt_replica) {
        (true, false) => running * STALLED_STREAM_COST_TOKENS,
        (false, true) => LONG_PROMPT_REPLICA_COST_TOKENS,
        _ => 0,
    };
    candidate.prefill_tokens()
        + prefill_tokens
        + duplicate_tokens * DUPLICATE_PREFIX_PERCENT / 100
        + running * RUNNING_COST_TOKENS
        + waiting_tokens
        + domain_tokens
        + interference_tokens
        + hint_tokens
}
