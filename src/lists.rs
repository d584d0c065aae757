//! The two lists that operators edit: the plans of the teams, and the usage that each plan allows.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use compact_str::CompactString;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};
use thiserror::Error;

use crate::core::ids::{BudgetId, ModelId, PlanId, PoolId, ServiceId, TeamId};
use crate::core::ledger::Generation;
use crate::core::units::Tokens;

/// The longest deadline that a plan may set, in milliseconds.
pub const MAX_DEADLINE_MS: u64 = 3_600_000;
/// The largest number of output tokens that a plan may allow.
pub const MAX_OUTPUT_TOKENS: u64 = 1_000_000;
/// The largest prepaid amount of one budget.
pub const MAX_PAID_TOKENS: u64 = 1 << 50;
/// The largest fair-share weight of a plan.
pub const MAX_WEIGHT: u32 = 1_000;

/// The plans list: the teams with their plans, keys and budgets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlansList {
    /// Generation that the edit started from; 0 for a first list.
    pub generation: Generation,
    /// The teams.
    pub teams: Vec<Team>,
}

/// A team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Name of the team.
    pub team: TeamId,
    /// Plan of the team.
    pub plan: PlanId,
    /// SHA-256 of each API key of the team, in lower-case hexadecimal.
    pub key_sha256: Vec<CompactString>,
    /// Budgets of the team. A request that names none is charged to the first.
    pub budgets: Vec<Budget>,
}

/// A prepaid budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Name of the budget, unique in the list.
    pub budget: BudgetId,
    /// Total tokens paid for so far. A top-up increases it.
    pub paid_tokens: Tokens,
}

/// The usage list: the pools, and what each plan may use.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UsageList {
    /// Generation that the edit started from; 0 for a first list.
    pub generation: Generation,
    /// The pools of replicas.
    pub pools: Vec<Pool>,
    /// The plans.
    pub plans: Vec<Plan>,
}

/// Kind of server that the replicas of a pool run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum PoolKind {
    /// Model engines.
    Model,
    /// A plain service.
    Service,
}

/// A pool of replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Name of the pool.
    pub pool: PoolId,
    /// Kind of server that its replicas run.
    pub kind: PoolKind,
    /// Maximum number of concurrent requests of one replica.
    pub replica_slots: u32,
    /// Upper bound of the tokens that the engine's chat template adds to a prompt, per message.
    #[serde(default)]
    pub template_overhead_tokens: Tokens,
    /// True when its engines refuse an order with an outdated fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// True when its engines can resume a broken stream at an offset.
    #[serde(default)]
    pub resumes_streams: bool,
}

/// Scheduling priority of a plan's requests when a pool is full.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Priority {
    /// Requests that a person is waiting for.
    Interactive,
    /// The default.
    #[default]
    Standard,
    /// Requests that tolerate queueing.
    Batch,
}

/// What one plan may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Name of the plan.
    pub plan: PlanId,
    /// Priority of its requests.
    #[serde(default)]
    pub priority: Priority,
    /// Fair-share weight in a full pool, relative to other teams of the same priority.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Maximum number of output tokens of one request.
    pub max_output_tokens: Tokens,
    /// Maximum time in milliseconds from a request's arrival to its first token; after it the
    /// request is refused.
    pub deadline_ms: u64,
    /// Models that the plan may use.
    #[serde(default)]
    pub models: Vec<PlanModel>,
    /// Plain services that the plan may use.
    #[serde(default)]
    pub services: Vec<PlanService>,
}

const fn default_weight() -> u32 {
    1
}

/// A model in a plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanModel {
    /// Name of the model in requests.
    pub model: ModelId,
    /// The pool that serves it.
    pub pool: PoolId,
}

/// A plain service in a plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanService {
    /// Name of the service in requests.
    pub service: ServiceId,
    /// The pool that serves it.
    pub pool: PoolId,
    /// Price of one call, in tokens.
    pub call_tokens: Tokens,
    /// Rules for the idempotent calls, which may be retried. All others run at most once.
    #[serde(default)]
    pub idempotent: Vec<CallRule>,
}

/// A rule that matches calls of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallRule {
    /// The HTTP method, in upper case.
    pub method: CompactString,
    /// Prefix of the path.
    pub path_prefix: CompactString,
}

impl PlanService {
    /// Returns true when a call is idempotent, so that it may be retried.
    #[must_use]
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        let matches =
            |rule: &CallRule| rule.method == method && path.starts_with(&*rule.path_prefix);
        self.idempotent.iter().any(matches)
    }
}

/// A validation error in a list.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{list}: {field}: {reason}")]
pub struct ValidationError {
    /// The list.
    pub list: ListName,
    /// Path of the field, as in `teams[2].plan`.
    pub field: String,
    /// What is wrong with it.
    pub reason: String,
}

/// Name of a list.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumString, Serialize,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ListName {
    /// The plans list.
    Plans,
    /// The usage list.
    Usage,
}

/// Parses a list from JSON.
///
/// # Errors
///
/// Fails with the field and reason when the text is not valid JSON or does not match the list's
/// schema.
pub fn parse_list<T>(list: ListName, text: &[u8]) -> Result<T, ValidationError>
where
    T: DeserializeOwned,
{
    let mut deserializer = serde_json::Deserializer::from_slice(text);
    let value =
        serde_path_to_error::deserialize(&mut deserializer).map_err(|error| ValidationError {
            list,
            field: error.path().to_string(),
            reason: error.inner().to_string(),
        })?;
    deserializer.end().map_err(|error| ValidationError {
        list,
        field: "end of file".to_owned(),
        reason: error.to_string(),
    })?;
    Ok(value)
}

/// Validates both lists together and returns all validation errors.
///
/// ```
/// use currantlever::{validate_lists, PlansList, UsageList};
/// assert!(validate_lists(&PlansList::default(), &UsageList::default()).is_empty());
/// ```
#[must_use]
pub fn validate_lists(plans: &PlansList, usage: &UsageList) -> Vec<ValidationError> {
    let mut errors = ValidationErrors::default();
    let pools = check_pools(usage, &mut errors);
    let plan_names = check_plans(usage, &pools, &mut errors);
    check_teams(plans, &plan_names, &mut errors);
    errors.found
}

#[derive(Default)]
struct ValidationErrors {
    found: Vec<ValidationError>,
}

impl ValidationErrors {
    fn add(&mut self, list: ListName, field: impl fmt::Display, reason: impl fmt::Display) {
        self.found.push(ValidationError {
            list,
            field: field.to_string(),
            reason: reason.to_string(),
        });
    }

    fn check_range(
        &mut self,
        list: ListName,
        field: impl fmt::Display,
        value: u64,
        range: std::ops::RangeInclusive<u64>,
    ) {
        if !range.contains(&value) {
            let reason = format!("{value} is outside {} to {}", range.start(), range.end());
            self.add(list, field, reason);
        }
    }
}

fn check_pools<'a>(
    usage: &'a UsageList,
    errors: &mut ValidationErrors,
) -> BTreeMap<&'a PoolId, PoolKind> {
    let mut pools = BTreeMap::new();
    for (i, pool) in usage.pools.iter().enumerate() {
        let field = format!("pools[{i}]");
        if pools.insert(&pool.pool, pool.kind).is_some() {
            let reason = format!("pool {} stands twice", pool.pool);
            errors.add(ListName::Usage, format!("{field}.pool"), reason);
        }
        let slots = u64::from(pool.replica_slots);
        errors.check_range(
            ListName::Usage,
            format!("{field}.replica_slots"),
            slots,
            1..=100_000,
        );
        let overhead = pool.template_overhead_tokens.get();
        let overhead_field = format!("{field}.template_overhead_tokens");
        errors.check_range(ListName::Usage, overhead_field, overhead, 0..=100_000);
    }
    pools
}

fn check_plans<'a>(
    usage: &'a UsageList,
    pools: &BTreeMap<&PoolId, PoolKind>,
    errors: &mut ValidationErrors,
) -> BTreeSet<&'a PlanId> {
    let mut names = BTreeSet::new();
    for (i, plan) in usage.plans.iter().enumerate() {
        let field = format!("plans[{i}]");
        if !names.insert(&plan.plan) {
            let reason = format!("plan {} stands twice", plan.plan);
            errors.add(ListName::Usage, format!("{field}.plan"), reason);
        }
        check_plan(plan, &field, pools, errors);
    }
    names
}

fn check_plan(
    plan: &Plan,
    field: &str,
    pools: &BTreeMap<&PoolId, PoolKind>,
    errors: &mut ValidationErrors,
) {
    let output = plan.max_output_tokens.get();
    let output_field = format!("{field}.max_output_tokens");
    errors.check_range(ListName::Usage, output_field, output, 1..=MAX_OUTPUT_TOKENS);
    let deadline_field = format!("{field}.deadline_ms");
    errors.check_range(
        ListName::Usage,
        deadline_field,
        plan.deadline_ms,
        1..=MAX_DEADLINE_MS,
    );
    let weight_range = 1..=u64::from(MAX_WEIGHT);
    let weight_field = format!("{field}.weight");
    errors.check_range(
        ListName::Usage,
        weight_field,
        u64::from(plan.weight),
        weight_range,
    );
    if plan.models.is_empty() && plan.services.is_empty() {
        errors.add(
            ListName::Usage,
            field,
            format!("plan {} names no pool", plan.plan),
        );
    }
    check_plan_models(plan, field, pools, errors);
    check_plan_services(plan, field, pools, errors);
}

fn check_plan_models(
    plan: &Plan,
    field: &str,
    pools: &BTreeMap<&PoolId, PoolKind>,
    errors: &mut ValidationErrors,
) {
    let mut models = BTreeSet::new();
    for (j, model) in plan.models.iter().enumerate() {
        let field = format!("{field}.models[{j}]");
        if !models.insert(&model.model) {
            let reason = format!("model {} stands twice", model.model);
            errors.add(ListName::Usage, format!("{field}.model"), reason);
        }
        check_pool_use(&model.pool, PoolKind::Model, &field, pools, errors);
    }
}

fn check_plan_services(
    plan: &Plan,
    field: &str,
    pools: &BTreeMap<&PoolId, PoolKind>,
    errors: &mut ValidationErrors,
) {
    let mut services = BTreeSet::new();
    for (j, service) in plan.services.iter().enumerate() {
        let field = format!("{field}.services[{j}]");
        if !services.insert(&service.service) {
            let reason = format!("service {} stands twice", service.service);
            errors.add(ListName::Usage, format!("{field}.service"), reason);
        }
        check_pool_use(&service.pool, PoolKind::Service, &field, pools, errors);
        let call_field = format!("{field}.call_tokens");
        let call_tokens = service.call_tokens.get();
        errors.check_range(
            ListName::Usage,
            call_field,
            call_tokens,
            0..=MAX_OUTPUT_TOKENS,
        );
    }
}

fn check_pool_use(
    pool: &PoolId,
    expected: PoolKind,
    field: &str,
    pools: &BTreeMap<&PoolId, PoolKind>,
    errors: &mut ValidationErrors,
) {
    let field = format!("{field}.pool");
    match pools.get(pool) {
        None => errors.add(
            ListName::Usage,
            field,
            format!("pool {pool} is not in the list"),
        ),
        Some(kind) if *kind != expected => {
            let reason = format!("pool {pool} runs a {kind}, not a {expected}");
            errors.add(ListName::Usage, field, reason);
        }
        Some(_) => {}
    }
}

fn check_teams(plans: &PlansList, plan_names: &BTreeSet<&PlanId>, errors: &mut ValidationErrors) {
    let mut teams = BTreeSet::new();
    let mut budgets = BTreeSet::new();
    let mut keys = BTreeSet::new();
    for (i, team) in plans.teams.iter().enumerate() {
        let field = format!("teams[{i}]");
        if !teams.insert(&team.team) {
            let reason = format!("team {} stands twice", team.team);
            errors.add(ListName::Plans, format!("{field}.team"), reason);
        }
        if !plan_names.contains(&team.plan) {
            let reason = format!("plan {} is not in the usage list", team.plan);
            errors.add(ListName::Plans, format!("{field}.plan"), reason);
        }
        check_keys(team, &field, &mut keys, errors);
        check_budgets(team, &field, &mut budgets, errors);
    }
}

fn check_keys<'a>(
    team: &'a Team,
    field: &str,
    keys: &mut BTreeSet<&'a CompactString>,
    errors: &mut ValidationErrors,
) {
    if team.key_sha256.is_empty() {
        errors.add(
            ListName::Plans,
            format!("{field}.key_sha256"),
            "the team has no key",
        );
    }
    for (j, key) in team.key_sha256.iter().enumerate() {
        let field = format!("{field}.key_sha256[{j}]");
        let is_digest =
            key.len() == 64 && key.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        if !is_digest {
            errors.add(
                ListName::Plans,
                &field,
                "not 64 lower-case hexadecimal digits",
            );
        }
        if !keys.insert(key) {
            errors.add(ListName::Plans, &field, "the key stands twice");
        }
    }
}

fn check_budgets<'a>(
    team: &'a Team,
    field: &str,
    budgets: &mut BTreeSet<&'a BudgetId>,
    errors: &mut ValidationErrors,
) {
    if team.budgets.is_empty() {
        errors.add(
            ListName::Plans,
            format!("{field}.budgets"),
            "the team has no budget",
        );
    }
    for (j, budget) in team.budgets.iter().enumerate() {
        let field = format!("{field}.budgets[{j}]");
        if !budgets.insert(&budget.budget) {
            let reason = format!("budget {} stands twice", budget.budget);
            errors.add(ListName::Plans, format!("{field}.budget"), reason);
        }
        let paid_field = format!("{field}.paid_tokens");
        let paid_tokens = budget.paid_tokens.get();
        errors.check_range(
            ListName::Plans,
            paid_field,
            paid_tokens,
            0..=MAX_PAID_TOKENS,
        );
    }
}
