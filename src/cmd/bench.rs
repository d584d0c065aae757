use lexopt::prelude::*;
use strum::{Display, EnumString};

use super::{is_about_command, CommandError};
use crate::bench::budgets;

const USAGE: &str = "\
Measures policies and costs on seeded demand.

The same seed gives the same result, but for times.

Usage:
    currantlever bench <what> [options]

What:
    budgets     Grant policies: overspend, false refusals, platform writes

Options:
    --seed <n>          Seed of the demand [default: 1]
    --rounds <n>        Runs of each case, with seeds that follow [default: 20]
    --json              Print as JSON
    -h, --help          Show this text
    -V, --version       Show the version
";

/// What can be measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
enum Subject {
    Budgets,
}

struct Args {
    subject: Subject,
    seed: u64,
    rounds: u64,
    json: bool,
}

fn parse(mut parser: lexopt::Parser) -> Result<Option<Args>, CommandError> {
    let mut subject = None;
    let (mut seed, mut rounds, mut json) = (1, 20, false);
    while let Some(arg) = parser.next()? {
        if is_about_command(&arg, USAGE) {
            return Ok(None);
        }
        match arg {
            Value(name) if subject.is_none() => subject = Some(name.parse::<Subject>()?),
            Long("seed") => seed = parser.value()?.parse()?,
            Long("rounds") => rounds = parser.value()?.parse()?,
            Long("json") => json = true,
            other => return Err(other.unexpected().into()),
        }
    }
    let subject = subject.ok_or_else(|| lexopt::Error::from("name what to measure"))?;
    Ok(Some(Args {
        subject,
        seed,
        rounds,
        json,
    }))
}

pub(super) fn run(parser: lexopt::Parser) -> Result<(), CommandError> {
    let Some(args) = parse(parser)? else {
        return Ok(());
    };
    match args.subject {
        Subject::Budgets => run_budgets(&args),
    }
}

fn run_budgets(args: &Args) -> Result<(), CommandError> {
    let results = budgets::run_all(args.seed, args.rounds);
    if args.json {
        println!(
            "{}",
            serde_json::to_string(&results).map_err(CommandError::failed)?
        );
        return Ok(());
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
