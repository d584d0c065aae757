//! The accepted lists, indexed for look-ups on the path of a request.

use std::collections::HashMap;
use std::sync::Arc;

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::accepted::AcceptedLists;
use crate::core::ids::{BudgetId, ModelId, PlanId, PoolId, ServiceId};
use crate::core::ledger::Generation;
use crate::core::units::Tokens;
use crate::lists::{Plan, PlanService, Pool, Team};

/// Bytes of a key's digest by which teams are found before the digests are compared.
const DIGEST_PREFIX_BYTES: usize = 8;

/// A key's digest with the team whose key it is.
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
    /// The budget that a request draws on: the one named, or the team's first.
    #[must_use]
    pub fn budget(&self, name: Option<&BudgetId>) -> Option<&BudgetId> {
        let mut budgets = self.team.budgets.iter().map(|budget| &budget.budget);
        match name {
            None => budgets.next(),
            Some(name) => budgets.find(|budget| *budget == name),
        }
    }

    /// The pool that serves a model under the plan.
    #[must_use]
    pub fn model_pool(&self, model: &ModelId) -> Option<&PoolId> {
        self.plan
            .models
            .iter()
            .find(|entry| entry.model == *model)
            .map(|entry| &entry.pool)
    }

    /// The rules of a plain service under the plan.
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
    accounts_by_key: HashMap<[u8; DIGEST_PREFIX_BYTES], Vec<KeyOwner>>,
    paid_by_budget: HashMap<BudgetId, Tokens>,
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

    /// The generation that was indexed; 0 before any list was accepted.
    #[must_use]
    pub const fn generation(&self) -> Generation {
        self.generation
    }

    /// Finds the team whose key this is. Digests are compared in constant time.
    #[must_use]
    pub fn authenticate(&self, key: &str) -> Option<Arc<Account>> {
        let digest: [u8; 32] = Sha256::digest(key.as_bytes()).into();
        let candidates = self.accounts_by_key.get(&prefix_of(&digest))?;
        let matches = |(known, _): &&KeyOwner| bool::from(known.ct_eq(&digest));
        candidates
            .iter()
            .find(matches)
            .map(|(_, account)| Arc::clone(account))
    }

    /// The prepaid amount of a budget.
    #[must_use]
    pub fn paid_tokens(&self, budget: &BudgetId) -> Option<Tokens> {
        self.paid_by_budget.get(budget).copied()
    }

    /// A pool's rules.
    #[must_use]
    pub fn pool(&self, pool: &PoolId) -> Option<&Pool> {
        self.pools.get(pool)
    }

    fn add_account(&mut self, account: Account) {
        for budget in &account.team.budgets {
            self.paid_by_budget
                .insert(budget.budget.clone(), budget.paid_tokens);
        }
        let account = Arc::new(account);
        for key in &account.team.key_sha256 {
            let mut digest = [0; 32];
            if hex::decode_to_slice(key.as_str(), &mut digest).is_ok() {
                let entry = self.accounts_by_key.entry(prefix_of(&digest)).or_default();
                entry.push((digest, Arc::clone(&account)));
            }
        }
    }
}

fn prefix_of(digest: &[u8; 32]) -> [u8; DIGEST_PREFIX_BYTES] {
    let mut prefix = [0; DIGEST_PREFIX_BYTES];
    prefix.copy_from_slice(&digest[..DIGEST_PREFIX_BYTES]);
    prefix
}
