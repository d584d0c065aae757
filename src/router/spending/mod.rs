//! Spending: reservations from grants in memory, and how grants are kept filled.
//!
//! The state is in shards, each under its own lock; a reservation that the grant covers takes one
//! lock and makes no call. The slow path asks, in this order, the witness for more horizon, the
//! ledger for more grant and other holders for a transfer, and waits for reservations of this
//! router that may come back.

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

pub use account::Reserved;
use account::{Account, Refused};

use crate::catalog::Catalog;
use crate::core::holder::ReserveError;
use crate::core::ids::{BudgetId, HolderId};
use crate::core::policy::GrantPolicy;
use crate::core::units::Tokens;
use crate::peer::PeerNetwork;
use crate::router::fleet::Fleet;
use crate::router::ledger_client::LedgerClient;
use crate::util::{lock, stable_hash};

/// Number of locks over which the budgets are spread.
const SHARD_COUNT: usize = 64;
/// Pause before witnesses are asked again.
const HORIZON_RETRY: Duration = Duration::from_millis(20);
/// Time for which a vain search for tokens answers further requests at once.
const REFUSED_MEMORY: Duration = Duration::from_millis(100);

/// Why tokens could not be set aside.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SpendError {
    /// The budget is not in the accepted lists.
    #[error("budget {budget} is not in the accepted lists")]
    UnknownBudget {
        /// The budget.
        budget: BudgetId,
    },
    /// The budget has too little left.
    #[error("budget {budget} has too little left for {needed_tokens} tokens")]
    Exhausted {
        /// The budget.
        budget: BudgetId,
        /// Tokens that the request may need at most.
        needed_tokens: Tokens,
    },
    /// The grant here is too small, and neither platform nor peers could be asked for more.
    #[error("budget {budget}: no further tokens can be had while the platform is out of reach")]
    OutOfReach {
        /// The budget.
        budget: BudgetId,
    },
}

/// A budget as this router sees it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct BudgetStatus {
    /// The budget.
    pub budget: BudgetId,
    /// Tokens that this router can still reserve.
    pub free_tokens: Tokens,
    /// Tokens reserved for requests in progress.
    pub reserved_tokens: Tokens,
    /// Tokens spent by this process.
    pub spent_tokens: Tokens,
    /// Tokens below the acknowledged horizon.
    pub spendable_tokens: Tokens,
    /// Tokens in the ledger that nobody holds, as last read.
    pub available_tokens: Tokens,
}

/// What spending needs from the rest of the router.
#[derive(Clone, Debug)]
pub struct SpenderParts {
    /// The ledger.
    pub ledger: Arc<LedgerClient>,
    /// The other routers.
    pub fleet: Arc<Fleet>,
    /// Ways to reach them.
    pub network: Arc<dyn PeerNetwork>,
    /// The accepted lists.
    pub catalog: Arc<ArcSwap<Catalog>>,
    /// The size of grants.
    pub policy: Arc<dyn GrantPolicy>,
    /// The log.
    pub log: Logger,
}

/// All grants of one router process.
#[derive(Debug)]
pub struct Spender {
    parts: SpenderParts,
    shards: Vec<Mutex<HashMap<BudgetId, Account>>>,
}

impl Spender {
    /// A spender that holds nothing.
    #[must_use]
    pub fn new(parts: SpenderParts) -> Self {
        let shards = (0..SHARD_COUNT).map(|_| Mutex::default()).collect();
        Self { parts, shards }
    }

    /// Sets tokens aside from what is at hand, without any call.
    ///
    /// # Errors
    ///
    /// Fails when the grant or its horizon does not suffice.
    pub fn try_reserve(&self, budget: &BudgetId, tokens: Tokens) -> Result<Reserved, ReserveError> {
        self.with_account(budget, |account| account.reserve(tokens))
    }

    /// Sets tokens aside, looking for more until the deadline where the grant does not suffice.
    ///
    /// # Errors
    ///
    /// Fails when neither the ledger nor another holder has enough, or none can be reached.
    pub async fn reserve(
        &self,
        budget: &BudgetId,
        tokens: Tokens,
        deadline: Instant,
    ) -> Result<Reserved, SpendError> {
        if let Ok(reserved) = self.try_reserve(budget, tokens) {
            return Ok(reserved);
        }
        let unknown = || SpendError::UnknownBudget {
            budget: budget.clone(),
        };
        let paid_tokens = self
            .parts
            .catalog
            .load()
            .paid_tokens(budget)
            .ok_or_else(unknown)?;
        if tokens > paid_tokens {
            return Err(exhausted(budget, tokens));
        }
        let turn = self.with_account(budget, |account| {
            account.record_unmet(tokens);
            Arc::clone(&account.turn)
        });
        let Ok(_turn) = tokio::time::timeout_at(deadline, turn.lock()).await else {
            return Err(SpendError::OutOfReach {
                budget: budget.clone(),
            });
        };
        if self.was_refused_lately(budget, tokens) {
            return Err(exhausted(budget, tokens));
        }
        self.search(budget, tokens, deadline).await
    }

    /// Ends a reservation and books what was spent.
    pub fn settle(&self, budget: &BudgetId, reserved: Reserved, actual_tokens: Tokens) {
        self.with_account(budget, |account| account.settle(reserved, actual_tokens));
    }

    /// All budgets held here.
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

    async fn search(
        &self,
        budget: &BudgetId,
        tokens: Tokens,
        deadline: Instant,
    ) -> Result<Reserved, SpendError> {
        loop {
            let freed = self.with_account(budget, |account| Arc::clone(&account.freed));
            let freed = freed.notified();
            tokio::pin!(freed);
            freed.as_mut().enable();
            if let Some(reserved) = self.try_with_horizon(budget, tokens, deadline).await {
                return Ok(reserved);
            }
            let is_platform_heard = self.refill_for(budget, tokens, deadline).await;
            if let Some(reserved) = self.try_with_horizon(budget, tokens, deadline).await {
                return Ok(reserved);
            }
            if self.parts.policy.allows_transfers() {
                self.take_from_peers(budget, tokens, deadline).await;
            }
            if let Some(reserved) = self.try_with_horizon(budget, tokens, deadline).await {
                return Ok(reserved);
            }
            let is_held_back = self.is_held_back_by_horizon(budget, tokens);
            if !is_held_back && !self.may_be_freed(budget, tokens) {
                return Err(self.refuse(budget, tokens, is_platform_heard));
            }
            if is_held_back {
                tokio::time::sleep_until(deadline.min(Instant::now() + HORIZON_RETRY)).await;
            } else {
                let _ = tokio::time::timeout_at(deadline, freed).await;
            }
            // Tokens that are freed again and again without being enough must not put this off.
            if Instant::now() >= deadline {
                return Err(self.refuse(budget, tokens, is_platform_heard && !is_held_back));
            }
        }
    }

    async fn try_with_horizon(
        &self,
        budget: &BudgetId,
        tokens: Tokens,
        deadline: Instant,
    ) -> Option<Reserved> {
        match self.try_reserve(budget, tokens) {
            Ok(reserved) => return Some(reserved),
            Err(ReserveError::Grant { .. }) => return None,
            Err(ReserveError::Horizon { .. }) => {}
        }
        self.extend_for(budget, tokens, deadline).await;
        self.try_reserve(budget, tokens).ok()
    }

    /// True when the grant suffices and only an acknowledgement is missing.
    fn is_held_back_by_horizon(&self, budget: &BudgetId, tokens: Tokens) -> bool {
        self.with_account(budget, |account| account.holder().free_tokens() >= tokens)
    }

    /// True when reservations of this router that end may free enough.
    fn may_be_freed(&self, budget: &BudgetId, tokens: Tokens) -> bool {
        self.with_account(budget, |account| account.share().may_be_freed(tokens))
    }

    fn refuse(&self, budget: &BudgetId, tokens: Tokens, is_platform_heard: bool) -> SpendError {
        if !is_platform_heard {
            return SpendError::OutOfReach {
                budget: budget.clone(),
            };
        }
        self.with_account(budget, |account| {
            account.refused = Some(Refused {
                at: Instant::now(),
                tokens,
            });
        });
        exhausted(budget, tokens)
    }

    fn was_refused_lately(&self, budget: &BudgetId, tokens: Tokens) -> bool {
        self.with_account(budget, |account| {
            account.refused.is_some_and(|refused| {
                refused.at.elapsed() < REFUSED_MEMORY && refused.tokens <= tokens
            })
        })
    }

    fn holder_id(&self) -> HolderId {
        self.parts.fleet.identity().holder
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
