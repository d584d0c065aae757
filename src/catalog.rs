//! The accepted lists, indexed for look-ups during request handling.

use std::collections::HashMap;
use std::sync::Arc;

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::accepted::AcceptedLists;
use crate::core::ids::{BudgetId, ModelId, PlanId, PoolId, ServiceId};
use crate::core::ledger::Generation;
use crate::core::units::Tokens;
use crate::lists::{Plan, PlanService, Pool, Team};

/// Length in bytes of the digest prefix that indexes the keys; full digests are compared after the
/// look-up.
const DIGEST_PREFIX_BYTES: usize = 8;

/// A key's digest and the account that the key belongs to.
type KeyOwner = ([u8; 32], Arc<Account>);

/// A team with its plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// The team.
    pub team: Team,
    /// Its plan.
    pub plan: Arc<Plan>,
}

impl Account {
    /// Returns the budget that a request is charged to: the named one, or the team's first if none
    /// is named.
    #[must_use]
    pub fn budget(&self, name: Option<&BudgetId>) -> Option<&BudgetId> {
        let mut budgets = self.team.budgets.iter().map(|budget| &budget.budget);
        match name {
            None => budgets.next(),
            Some(name) => budgets.find(|budget| *budget == name),
        }
    }

    /// Returns the pool that serves a model under the plan.
    #[must_use]
    pub fn model_pool(&self, model: &ModelId) -> Option<&PoolId> {
        self.plan
            .models
            .iter()
            .find(|entry| entry.model == *model)
            .map(|entry| &entry.pool)
    }

    /// Returns the plan's rules for a plain service.
    #[must_use]
    pub fn service(&self, service: &ServiceId) -> Option<&PlanService> {
        self.plan
            .services
            .iter()
            .find(|entry| entry.service == *service)
    }
}

/// The accepted lists of one generation, indexed.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    generation: Generation,
    accounts_by_digest_prefix: HashMap<[u8; DIGEST_PREFIX_BYTES], Vec<KeyOwner>>,
    paid_tokens_by_budget: HashMap<BudgetId, Tokens>,
    pools: HashMap<PoolId, Pool>,
}

impl Catalog {
    /// Indexes the accepted lists.
    #[must_use]
    pub fn new(lists: &AcceptedLists) -> Self {
        let usage = lists.usage();
        let plans: HashMap<PlanId, Arc<Plan>> = usage
            .plans
            .into_iter()
            .map(|plan| (plan.plan.clone(), Arc::new(plan)))
            .collect();
        let pools = usage
            .pools
            .into_iter()
            .map(|pool| (pool.pool.clone(), pool))
            .collect();
        let mut catalog = Self {
            generation: lists.generation(),
            pools,
            ..Self::default()
        };
        for team in lists.plans().teams {
            if let Some(plan) = plans.get(&team.plan) {
                catalog.add_account(Account {
                    team,
                    plan: Arc::clone(plan),
                });
            }
        }
        catalog
    }

    /// Returns the indexed generation; 0 before any list was accepted.
    #[must_use]
    pub const fn generation(&self) -> Generation {
        self.generation
    }

    /// Returns the account that a key belongs to. Digests are compared in constant time.
    #[must_use]
    pub fn authenticate(&self, key: &str) -> Option<Arc<Account>> {
        let digest: [u8; 32] = Sha256::digest(key.as_bytes()).into();
        let candidates = self
            .accounts_by_digest_prefix
            .get(&digest_prefix(&digest))?;
        let matches = |(stored_digest, _): &&KeyOwner| bool::from(stored_digest.ct_eq(&digest));
        candidates
            .iter()
            .find(matches)
            .map(|(_, account)| Arc::clone(account))
    }

    /// Returns the prepaid amount of a budget.
    #[must_use]
    pub fn paid_tokens(&self, budget: &BudgetId) -> Option<Tokens> {
        self.paid_tokens_by_budget.get(budget).copied()
    }

    /// Returns the settings of a pool.
    #[must_use]
    pub fn pool(&self, pool: &PoolId) -> Option<&Pool> {
        self.pools.get(pool)
    }

    fn add_account(&mut self, account: Account) {
        for budget in &account.team.budgets {
            self.paid_tokens_by_budget
                .insert(budget.budget.clone(), budget.paid_tokens);
        }
        let account = Arc::new(account);
        for key in &account.team.key_sha256 {
            let mut digest = [0; 32];
            if hex::decode_to_slice(key.as_str(), &mut digest).is_ok() {
                let entry = self
                    .accounts_by_digest_prefix
                    .entry(digest_prefix(&digest))
                    .or_default();
                entry.push((digest, Arc::clone(&account)));
            }
        }
    }
}

fn digest_prefix(digest: &[u8; 32]) -> [u8; DIGEST_PREFIX_BYTES] {
    let mut prefix = [0; DIGEST_PREFIX_BYTES];
    prefix.copy_from_slice(&digest[..DIGEST_PREFIX_BYTES]);
    prefix
}
