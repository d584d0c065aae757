//! Token reservation from in-memory grants, and refilling of the grants.
//!
//! State is sharded with one lock per shard. A reservation that the grant covers takes one lock
//! and makes no network call. The slow path tries, in this order, to extend the horizon at a
//! witness, to enlarge the grant at the ledger and to get a transfer from another holder; then it
//! waits for reservations of this router to release tokens.

mod account;
mod refill;
mod transfer;

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;
use slog::Logger;
use thiserror::Error;
use tokio::time::Instant;

pub use account::Reservation;
use account::{Account, RecentRefusal};

use crate::catalog::Catalog;
use crate::core::holder::ReserveError;
use crate::core::ids::{BudgetId, HolderId};
use crate::core::policy::GrantPolicy;
use crate::core::units::Tokens;
use crate::peer::PeerNetwork;
use crate::router::fleet::Fleet;
use crate::router::ledger_client::LedgerClient;
use crate::util::{lock, stable_hash};

/// Number of shards, each with its own lock.
const SHARD_COUNT: usize = 64;
/// Delay before a horizon extension is retried.
const HORIZON_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time for which a failed slow-path reservation rejects requests of at least that size at once.
const REFUSAL_CACHE_TTL: Duration = Duration::from_millis(100);

/// Reason why tokens could not be reserved.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SpendError {
    /// The budget is not in the accepted lists.
    #[error("budget {budget} is not in the accepted lists")]
    UnknownBudget {
        /// The budget.
        budget: BudgetId,
    },
    /// The budget has too few tokens left.
    #[error("budget {budget} has too little left for {needed_tokens} tokens")]
    Exhausted {
        /// The budget.
        budget: BudgetId,
        /// Upper bound of the request's cost in tokens.
        needed_tokens: Tokens,
    },
    /// This router's grant is too small, and neither the platform nor a peer could be reached for
    /// more.
    #[error("budget {budget}: no further tokens can be had while the platform is out of reach")]
    OutOfReach {
        /// The budget.
        budget: BudgetId,
    },
}

/// This router's view of one budget.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct BudgetStatus {
    /// The budget.
    pub budget: BudgetId,
    /// Tokens of the grant that are neither spent, sent nor reserved.
    pub free_tokens: Tokens,
    /// Tokens reserved for requests in progress.
    pub reserved_tokens: Tokens,
    /// Tokens spent by this process.
    pub spent_tokens: Tokens,
    /// Tokens that can be reserved below the horizon acknowledged by a witness.
    pub spendable_tokens: Tokens,
    /// Tokens not granted to any holder when the ledger was last read.
    pub available_tokens: Tokens,
}

/// Dependencies of a [`Spender`].
#[derive(Clone, Debug)]
pub struct SpenderDeps {
    /// Client of the token ledger.
    pub ledger: Arc<LedgerClient>,
    /// The other routers.
    pub fleet: Arc<Fleet>,
    /// Connections to the other routers.
    pub network: Arc<dyn PeerNetwork>,
    /// The accepted lists.
    pub catalog: Arc<ArcSwap<Catalog>>,
    /// Policy that sizes grants.
    pub policy: Arc<dyn GrantPolicy>,
    /// Logger.
    pub log: Logger,
}

/// Manages all grants of one router process.
#[derive(Debug)]
pub struct Spender {
    deps: SpenderDeps,
    shards: Vec<Mutex<HashMap<BudgetId, Account>>>,
}

impl Spender {
    /// Creates a spender without grants.
    #[must_use]
    pub fn new(deps: SpenderDeps) -> Self {
        let shards = (0..SHARD_COUNT).map(|_| Mutex::default()).collect();
        Self { deps, shards }
    }

    /// Reserves tokens from the in-memory grant without a network call.
    ///
    /// # Errors
    ///
    /// Returns an error if the grant or its horizon is too small.
    pub fn try_reserve(
        &self,
        budget: &BudgetId,
        tokens: Tokens,
    ) -> Result<Reservation, ReserveError> {
        self.with_account(budget, |account| account.reserve(tokens))
    }

    /// Reserves tokens, and tries to refill a grant that is too small until the deadline.
    ///
    /// # Errors
    ///
    /// Returns an error if neither the ledger nor another holder has enough tokens, or if none can
    /// be reached.
    pub async fn reserve(
        &self,
        budget: &BudgetId,
        tokens: Tokens,
        deadline: Instant,
    ) -> Result<Reservation, SpendError> {
        if let Ok(reservation) = self.try_reserve(budget, tokens) {
            return Ok(reservation);
        }
        let unknown = || SpendError::UnknownBudget {
            budget: budget.clone(),
        };
        let paid_tokens = self
            .deps
            .catalog
            .load()
            .paid_tokens(budget)
            .ok_or_else(unknown)?;
        if tokens > paid_tokens {
            return Err(exhausted(budget, tokens));
        }
        let slow_path_lock = self.with_account(budget, |account| {
            account.record_unmet_demand(tokens);
            Arc::clone(&account.slow_path_lock)
        });
        let Ok(_slow_path_guard) = tokio::time::timeout_at(deadline, slow_path_lock.lock()).await
        else {
            return Err(SpendError::OutOfReach {
                budget: budget.clone(),
            });
        };
        if self.was_refused_recently(budget, tokens) {
            return Err(exhausted(budget, tokens));
        }
        self.reserve_slow(budget, tokens, deadline).await
    }

    /// Ends a reservation and records the tokens actually spent.
    pub fn settle(&self, budget: &BudgetId, reservation: Reservation, actual_tokens: Tokens) {
        self.with_account(budget, |account| account.settle(reservation, actual_tokens));
    }

    /// Returns the state of all budgets with an account here, sorted by ID.
    #[must_use]
    pub fn status(&self) -> Vec<BudgetStatus> {
        let mut all = Vec::new();
        for shard in &self.shards {
            for (budget, account) in lock(shard).iter() {
                let holder = account.holder();
                all.push(BudgetStatus {
                    budget: budget.clone(),
                    free_tokens: holder.free_tokens(),
                    reserved_tokens: holder.reserved_tokens(),
                    spent_tokens: holder.spent_tokens(),
                    spendable_tokens: holder.spendable_tokens(),
                    available_tokens: account.available_tokens(),
                });
            }
        }
        all.sort_by(|a, b| a.budget.cmp(&b.budget));
        all
    }

    async fn reserve_slow(
        &self,
        budget: &BudgetId,
        tokens: Tokens,
        deadline: Instant,
    ) -> Result<Reservation, SpendError> {
        loop {
            let availability_changed =
                self.with_account(budget, |account| Arc::clone(&account.availability_changed));
            let availability_changed = availability_changed.notified();
            tokio::pin!(availability_changed);
            availability_changed.as_mut().enable();
            if let Some(reservation) = self
                .try_reserve_with_extension(budget, tokens, deadline)
                .await
            {
                return Ok(reservation);
            }
            let has_ledger_answered = self.refill_for(budget, tokens, deadline).await;
            if let Some(reservation) = self
                .try_reserve_with_extension(budget, tokens, deadline)
                .await
            {
                return Ok(reservation);
            }
            if self.deps.policy.allows_transfers() {
                self.request_tokens_from_peers(budget, tokens, deadline)
                    .await;
            }
            if let Some(reservation) = self
                .try_reserve_with_extension(budget, tokens, deadline)
                .await
            {
                return Ok(reservation);
            }
            let is_horizon_limited = self.is_horizon_limited(budget, tokens);
            if !is_horizon_limited && !self.may_be_freed(budget, tokens) {
                return Err(self.refuse(budget, tokens, has_ledger_answered));
            }
            if is_horizon_limited {
                tokio::time::sleep_until(deadline.min(Instant::now() + HORIZON_RETRY_DELAY)).await;
            } else {
                let _ = tokio::time::timeout_at(deadline, availability_changed).await;
            }
            // Repeated releases of too few tokens must not extend the wait past the deadline.
            if Instant::now() >= deadline {
                return Err(self.refuse(
                    budget,
                    tokens,
                    has_ledger_answered && !is_horizon_limited,
                ));
            }
        }
    }

    async fn try_reserve_with_extension(
        &self,
        budget: &BudgetId,
        tokens: Tokens,
        deadline: Instant,
    ) -> Option<Reservation> {
        match self.try_reserve(budget, tokens) {
            Ok(reservation) => return Some(reservation),
            Err(ReserveError::Grant { .. }) => return None,
            Err(ReserveError::Horizon { .. }) => {}
        }
        self.extend_horizon(budget, tokens, deadline).await;
        self.try_reserve(budget, tokens).ok()
    }

    /// Returns true if the grant suffices and only the witness's acknowledgement is missing.
    fn is_horizon_limited(&self, budget: &BudgetId, tokens: Tokens) -> bool {
        self.with_account(budget, |account| account.holder().free_tokens() >= tokens)
    }

    /// Returns true if the end of reservations in progress here may release enough tokens.
    fn may_be_freed(&self, budget: &BudgetId, tokens: Tokens) -> bool {
        self.with_account(budget, |account| account.share().may_be_freed(tokens))
    }

    fn refuse(&self, budget: &BudgetId, tokens: Tokens, has_ledger_answered: bool) -> SpendError {
        if !has_ledger_answered {
            return SpendError::OutOfReach {
                budget: budget.clone(),
            };
        }
        self.with_account(budget, |account| {
            account.recent_refusal = Some(RecentRefusal {
                at: Instant::now(),
                tokens,
            });
        });
        exhausted(budget, tokens)
    }

    fn was_refused_recently(&self, budget: &BudgetId, tokens: Tokens) -> bool {
        self.with_account(budget, |account| {
            account.recent_refusal.is_some_and(|recent_refusal| {
                recent_refusal.at.elapsed() < REFUSAL_CACHE_TTL && recent_refusal.tokens <= tokens
            })
        })
    }

    fn holder_id(&self) -> HolderId {
        self.deps.fleet.identity().holder
    }

    fn with_account<F, R>(&self, budget: &BudgetId, action: F) -> R
    where
        F: FnOnce(&mut Account) -> R,
    {
        let mut shard = lock(self.shard(budget));
        if let Some(account) = shard.get_mut(budget) {
            return action(account);
        }
        let account = Account::new(self.holder_id());
        action(shard.entry(budget.clone()).or_insert(account))
    }

    fn shard(&self, budget: &BudgetId) -> &Mutex<HashMap<BudgetId, Account>> {
        let hash = stable_hash(&[budget.as_str()]);
        let index = usize::try_from(hash % SHARD_COUNT as u64).unwrap_or(0);
        &self.shards[index]
    }

    fn held_budgets(&self) -> Vec<BudgetId> {
        self.shards
            .iter()
            .flat_map(|shard| lock(shard).keys().cloned().collect::<Vec<_>>())
            .collect()
    }
}

fn exhausted(budget: &BudgetId, needed_tokens: Tokens) -> SpendError {
    SpendError::Exhausted {
        budget: budget.clone(),
        needed_tokens,
    }
}
