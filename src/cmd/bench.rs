use lexopt::prelude::*;
use serde::Serialize;
use strum::{Display, EnumString};

use super::{block_on, print_help_or_version, CommandError};
use crate::bench::{budgets, config, costs, latency, routing};

const USAGE: &str = "\
Measures policies and costs on seeded demand.

The same seed gives the same result, but for times.

Usage:
    currantlever bench <what> [options]

What:
    budgets     Grant policies: overspend, false refusals, platform writes
    config      Time until an edit is in force on all routers, over loopback
    costs       Costs that grow with the fleet, at three sizes each
    latency     A router before an engine against the engine alone
    routing     Routing policies: time to first token, cache hits

Options:
    --seed <n>          Seed of the demand [default: 1]
    --rounds <n>        Runs of each case, with seeds that follow [default: 20]
    --routers <n>       Routers of `config` [default: 9]
    --json              Print as JSON
    -h, --help          Show this text
    -V, --version       Show the version
";

/// Subject of a benchmark.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
enum Subject {
    Budgets,
    Config,
    Costs,
    Latency,
    Routing,
}

struct Args {
    subject: Subject,
    seed: u64,
    rounds: u64,
    routers: usize,
    json: bool,
}

fn parse(mut parser: lexopt::Parser) -> Result<Option<Args>, CommandError> {
    let mut subject = None;
    let (mut seed, mut rounds, mut routers, mut json) = (1, 20, 9, false);
    while let Some(arg) = parser.next()? {
        if print_help_or_version(&arg, USAGE) {
            return Ok(None);
        }
        match arg {
            Value(name) if subject.is_none() => subject = Some(name.parse::<Subject>()?),
            Long("seed") => seed = parser.value()?.parse()?,
            Long("rounds") => rounds = parser.value()?.parse()?,
            Long("routers") => routers = parser.value()?.parse()?,
            Long("json") => json = true,
            other => return Err(other.unexpected().into()),
        }
    }
    let subject = subject.ok_or_else(|| lexopt::Error::from("name what to measure"))?;
    Ok(Some(Args {
        subject,
        seed,
        rounds,
        routers,
        json,
    }))
}

pub(super) fn run(parser: lexopt::Parser) -> Result<(), CommandError> {
    let Some(args) = parse(parser)? else {
        return Ok(());
    };
    match args.subject {
        Subject::Budgets => run_budgets(&args),
        Subject::Config => block_on(run_config(args)),
        Subject::Costs => run_costs(&args),
        Subject::Latency => block_on(run_latency(args)),
        Subject::Routing => run_routing(&args),
    }
}

fn print_json<T>(results: &T) -> Result<(), CommandError>
where
    T: Serialize,
{
    let text = serde_json::to_string(results).map_err(CommandError::failed)?;
    println!("{text}");
    Ok(())
}

fn run_budgets(args: &Args) -> Result<(), CommandError> {
    let results = budgets::run_all(args.seed, args.rounds);
    if args.json {
        return print_json(&results);
    }
    println!(
        "{:<12} {:<14} {:<13} {:>9} {:>8} {:>9} {:>11} {:>11} {:>10} {:>8}",
        "deployment",
        "case",
        "policy",
        "requests",
        "refused",
        "overspent",
        "false/M",
        "avoidable/M",
        "stranded",
        "writes/s"
    );
    for result in results {
        println!(
            "{:<12} {:<14} {:<13} {:>9} {:>8} {:>9} {:>11.1} {:>11.1} {:>10} {:>8.2}",
            result.deployment,
            result.case,
            result.policy,
            result.requests,
            result.refused,
            result.overspent_tokens,
            result.false_refusals_per_million,
            result.avoidable_refusals_per_million,
            result.stranded_tokens,
            result.platform_writes_per_s,
        );
    }
    Ok(())
}

async fn run_config(args: Args) -> Result<(), CommandError> {
    let result = config::run(args.seed, args.routers, args.rounds)
        .await
        .map_err(CommandError::failed)?;
    if args.json {
        return print_json(&result);
    }
    println!("routers                             {:>8}", result.routers);
    println!("edits                               {:>8}", result.edits);
    println!(
        "in force on one router, p50         {:>8} us",
        result.one_p50_us
    );
    println!(
        "in force on all, p50 / max          {:>8} / {:>8} us",
        result.all_p50_us, result.all_max_us
    );
    println!(
        "platform reads for each edit        {:>8.1}",
        result.platform_reads_per_edit
    );
    println!("reverted                            {:>8}", result.reverted);
    Ok(())
}

fn run_costs(args: &Args) -> Result<(), CommandError> {
    let results = costs::run_all(args.seed);
    if args.json {
        return print_json(&results);
    }
    println!(
        "{:<28} {:>10} {:>14} {:>8}",
        "cost", "size", "value", "unit"
    );
    for result in results {
        println!(
            "{:<28} {:>10} {:>14.1} {:>8}",
            result.cost, result.size, result.value, result.unit
        );
    }
    Ok(())
}

async fn run_latency(args: Args) -> Result<(), CommandError> {
    let result = latency::run(args.seed, args.rounds)
        .await
        .map_err(CommandError::failed)?;
    if args.json {
        return print_json(&result);
    }
    println!(
        "first token, direct, p50 / p95      {:>8} / {:>8} us",
        result.direct_p50_us, result.direct_p95_us
    );
    println!(
        "first token, router, p50 / p95      {:>8} / {:>8} us",
        result.router_p50_us, result.router_p95_us
    );
    println!(
        "added by the router, p50            {:>8} us",
        result.router_p50_us.saturating_sub(result.direct_p50_us)
    );
    println!(
        "router / direct, p50                {:>8.2}",
        result.ratio_p50
    );
    println!(
        "requests a second, direct / router  {:>8.0} / {:>8.0}",
        result.direct_per_s, result.router_per_s
    );
    println!(
        "resident memory of this process     {:>8} KiB",
        result.resident_kib
    );
    Ok(())
}

fn run_routing(args: &Args) -> Result<(), CommandError> {
    let results = routing::run_all(args.seed, args.rounds);
    if args.json {
        return print_json(&results);
    }
    println!(
        "{:<12} {:<15} {:>9} {:>7} {:>7} {:>7} {:>7} {:>7}",
        "deployment", "policy", "requests", "p50 ms", "p95 ms", "p99 ms", "late %", "hit %"
    );
    for result in results {
        println!(
            "{:<12} {:<15} {:>9} {:>7} {:>7} {:>7} {:>7.2} {:>7.1}",
            result.deployment,
            result.policy,
            result.requests,
            result.p50_ms,
            result.p95_ms,
            result.p99_ms,
            result.late_percent,
            result.hit_percent,
        );
    }
    Ok(())
}
