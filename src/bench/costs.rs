//! Measures costs that grow with the fleet, each at three sizes or more.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use rand::rngs::StdRng;
use rand::SeedableRng;
use serde::Serialize;

use crate::core::holder::Holder;
use crate::core::ids::{BudgetId, FailureDomain, HolderId, ReplicaId};
use crate::core::ledger::{BudgetEntry, GrantRow, LedgerShard, WitnessSet};
use crate::core::routing::{PoolState, ReplicaState, RoutingPolicyName, RoutingRequest};
use crate::core::units::Tokens;
use crate::core::witness::{Witness, WitnessRecord};
use crate::util::{lock, stable_hash};

/// Number of operations timed in one measurement.
const OPERATIONS: u32 = 200_000;
/// Number of mutex-guarded shards that budgets are hashed to, as in the router.
const SHARDS: usize = 64;

/// One measured cost.
#[derive(Clone, Debug, Serialize)]
pub struct Cost {
    /// Name of the cost.
    pub cost: &'static str,
    /// Size at which it was measured.
    pub size: u64,
    /// Cost of one operation or object.
    pub value: f64,
    /// Unit of the value.
    pub unit: &'static str,
}

/// Measures all costs.
#[must_use]
pub fn run_all(seed: u64) -> Vec<Cost> {
    let mut costs = Vec::new();
    for replicas in [18, 1_000, 10_000] {
        costs.push(routing_decision(replicas, seed));
    }
    for threads in [1, 2, 4, 8] {
        costs.push(reservation(threads));
    }
    for entries in [10, 100, 240] {
        costs.extend(ledger_shard(entries));
    }
    for records in [1_000, 10_000, 100_000] {
        costs.push(witness_extension(records));
    }
    costs
}

fn ns_per_operation(started: Instant, operations: u32) -> f64 {
    started.elapsed().as_secs_f64() * 1e9 / f64::from(operations)
}

fn routing_decision(replicas: u32, seed: u64) -> Cost {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut pool = PoolState::new();
    let domains: Vec<FailureDomain> = (0..7).map(|n| parse_id(format!("domain-{n}"))).collect();
    for number in 0..replicas {
        let id: ReplicaId = parse_id(format!("replica-{number}"));
        let domain = domains[number as usize % domains.len()].clone();
        pool.add(ReplicaState::new(id, domain, 8));
    }
    let policy = RoutingPolicyName::RoundRobin.build();
    let started = Instant::now();
    for number in 0..u64::from(OPERATIONS) {
        let prefixes = [number % 1_000, 7_000 + number % 50];
        let routing_request = RoutingRequest {
            now_ms: number,
            failure_domain: &domains[0],
            prefixes: &prefixes,
            excluded: &[],
            isolate_suspect: false,
        };
        if let Some(index) = policy.choose(&pool, &routing_request, &mut rng) {
            let prefixes = if policy.uses_prefixes() {
                &prefixes[..]
            } else {
                &[]
            };
            pool.begin_request(index, prefixes, false);
            pool.end_request(index, false);
        }
    }
    let value = ns_per_operation(started, OPERATIONS);
    Cost {
        cost: "routing decision",
        size: replicas.into(),
        value,
        unit: "ns",
    }
}

fn parse_id<T>(text: String) -> T
where
    T: TryFrom<compact_str::CompactString>,
{
    T::try_from(text.into()).unwrap_or_else(|_| unreachable!("the name is valid"))
}

/// Measures reserving and settling on sharded state from several threads concurrently, in
/// nanoseconds of wall time per operation of one thread.
fn reservation(threads: u32) -> Cost {
    let shards: Arc<Vec<Mutex<BTreeMap<BudgetId, Holder>>>> =
        Arc::new((0..SHARDS).map(|_| Mutex::default()).collect());
    let budgets: Vec<BudgetId> = (0..1_000)
        .map(|n| parse_id(format!("budget-{n}")))
        .collect();
    for budget in &budgets {
        let mut holder = Holder::new(HolderId::new(256));
        holder.receive(HolderId::new(512), Tokens::new(1 << 50));
        lock(&shards[shard_of(budget)]).insert(budget.clone(), holder);
    }
    let started = Instant::now();
    std::thread::scope(|scope| {
        for thread in 0..threads as usize {
            let (shards, budgets) = (Arc::clone(&shards), &budgets);
            scope.spawn(move || {
                for number in 0..OPERATIONS as usize {
                    let budget = &budgets[(number * 7 + thread * 131) % budgets.len()];
                    let mut shard = lock(&shards[shard_of(budget)]);
                    if let Some(holder) = shard.get_mut(budget) {
                        let tokens = Tokens::new(100);
                        if holder.reserve(tokens).is_ok() {
                            holder.settle(tokens, Tokens::new(60));
                        }
                    }
                }
            });
        }
    });
    let value = ns_per_operation(started, OPERATIONS);
    Cost {
        cost: "reserve and settle, threads",
        size: threads.into(),
        value,
        unit: "ns",
    }
}

fn shard_of(budget: &BudgetId) -> usize {
    usize::try_from(stable_hash(&[budget.as_str()]) % SHARDS as u64).unwrap_or(0)
}

fn ledger_shard(entries: u64) -> [Cost; 2] {
    let mut shard = LedgerShard::default();
    for number in 0..entries {
        let mut entry = BudgetEntry::default();
        for holder in 0..3 {
            let far = (0..3).map(|n| HolderId::new(u64::MAX - n * 256)).collect();
            let near = Some(HolderId::new(u64::MAX - 1_024));
            let near_allowance_tokens = Tokens::new(1_000_000);
            let row = GrantRow {
                granted_tokens: Tokens::new(1 << 40),
                spent_tokens: Tokens::new(1 << 39),
                witnesses: WitnessSet {
                    far,
                    near,
                    near_allowance_tokens,
                },
                ..GrantRow::default()
            };
            entry
                .rows
                .insert(HolderId::new(u64::MAX - holder * 4_096), row);
        }
        shard
            .entries
            .insert(parse_id(format!("budget-{number}")), entry);
    }
    let rounds = 200;
    let mut length_bytes = 0;
    let started = Instant::now();
    for _ in 0..rounds {
        let bytes = serde_json::to_vec(&shard).unwrap_or_default();
        length_bytes = bytes.len();
        let _: Result<LedgerShard, _> = serde_json::from_slice(&bytes);
    }
    let value = ns_per_operation(started, rounds) / 1e3;
    #[allow(clippy::cast_precision_loss, reason = "lengths are far below 2^52")]
    let length = length_bytes as f64;
    [
        Cost {
            cost: "ledger object, entries",
            size: entries,
            value: length,
            unit: "bytes",
        },
        Cost {
            cost: "ledger read and write",
            size: entries,
            value,
            unit: "us",
        },
    ]
}

fn witness_extension(records: u32) -> Cost {
    let mut witness = Witness::new();
    let budgets: Vec<BudgetId> = (0..records)
        .map(|n| parse_id(format!("budget-{n}")))
        .collect();
    for budget in &budgets {
        witness.extend(HolderId::new(256), budget, Tokens::new(1));
    }
    let started = Instant::now();
    let mut last = WitnessRecord::default();
    for number in 0..OPERATIONS {
        let budget = &budgets[number as usize * 31 % budgets.len()];
        last = witness.extend(HolderId::new(256), budget, Tokens::new(number.into()));
    }
    let value = ns_per_operation(started, OPERATIONS);
    let size = u64::from(records) + u64::from(last.sealed);
    Cost {
        cost: "witness extension, records",
        size,
        value,
        unit: "ns",
    }
}
