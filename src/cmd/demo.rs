use lexopt::prelude::*;

use super::report::{print_budgets, read_budgets};
use super::{block_on, print_help_or_version, CommandError};
use crate::fakes::demo::{run_mix, Mix, DEMO_TEAMS};
use crate::fakes::engine::EnginePace;
use crate::fakes::fleet::{key_of, plans_list, usage_list, Site, SiteOptions};
use crate::telemetry::{discard_logger, json_logger};

const USAGE: &str = "\
Runs a whole site in one process and reconciles its budgets.

An embedded platform, routers on loopback addresses, model engines and a plain
service are started. A seeded mix of requests goes through real HTTP: streams,
lease reservations, retries after a cut connection, a team that runs out. Then
the routers are drained and each budget must add up exactly.

Usage:
    currantlever demo [options]

Options:
    --routers <n>       Number of routers [default: 4]
    --requests <n>      Number of requests [default: 400]
    --seed <n>          Seed of the mix [default: 1]
    --keep              Leave the site running and print what to try
    --log               Write the routers' logs to standard error
    --json              Print the outcome as JSON
    -h, --help          Show this text
    -V, --version       Show the version
";

struct Args {
    routers: usize,
    requests: u64,
    seed: u64,
    keep: bool,
    log: bool,
    json: bool,
}

fn parse(mut parser: lexopt::Parser) -> Result<Option<Args>, CommandError> {
    let mut args = Args {
        routers: 4,
        requests: 400,
        seed: 1,
        keep: false,
        log: false,
        json: false,
    };
    while let Some(arg) = parser.next()? {
        if print_help_or_version(&arg, USAGE) {
            return Ok(None);
        }
        match arg {
            Long("routers") => args.routers = parser.value()?.parse()?,
            Long("requests") => args.requests = parser.value()?.parse()?,
            Long("seed") => args.seed = parser.value()?.parse()?,
            Long("keep") => args.keep = true,
            Long("log") => args.log = true,
            Long("json") => args.json = true,
            other => return Err(other.unexpected().into()),
        }
    }
    if !(1..=64).contains(&args.routers) {
        return Err(lexopt::Error::from("--routers is outside 1 to 64").into());
    }
    Ok(Some(args))
}

pub(super) fn run(parser: lexopt::Parser) -> Result<(), CommandError> {
    let Some(args) = parse(parser)? else {
        return Ok(());
    };
    block_on(demo(args))
}

async fn demo(args: Args) -> Result<(), CommandError> {
    let log = if args.log {
        json_logger()
    } else {
        discard_logger()
    };
    let pace = EnginePace {
        first_token_ms: 5,
        token_ms: 1,
    };
    let options = SiteOptions {
        routers: args.routers,
        engines: 6,
        pace,
        ..SiteOptions::small(args.seed)
    };
    let plans = plans_list(&DEMO_TEAMS).map_err(CommandError::failed)?;
    let usage = usage_list().map_err(CommandError::failed)?;
    let site = Site::start(options, plans, usage, &log)
        .await
        .map_err(CommandError::failed)?;
    let mix = run_mix(&site, args.seed, args.requests)
        .await
        .map_err(CommandError::failed)?;
    if args.keep {
        print_mix(&mix);
        return run_until_interrupt(site).await;
    }
    drain_and_reconcile(site, &mix, args.json).await
}

async fn drain_and_reconcile(mut site: Site, mix: &Mix, json: bool) -> Result<(), CommandError> {
    let mut is_clean = true;
    for daemon in std::mem::take(&mut site.routers) {
        is_clean &= daemon.drain_and_stop().await;
    }
    let reports = read_budgets(site.platform.store()).await?;
    let differences: i128 = reports
        .iter()
        .map(|report| report.difference_tokens().abs())
        .sum();
    let mut faults = mix.faults.clone();
    if !is_clean {
        faults.push("a router left grants or bills behind when it drained".to_owned());
    }
    if differences != 0 {
        faults.push(format!("budgets do not add up: {differences} tokens"));
    }
    for report in &reports {
        let observed_tokens = mix.billed_tokens.get(&report.team).copied().unwrap_or(0);
        if observed_tokens != report.billed_tokens.get() {
            let billed = report.billed_tokens;
            faults.push(format!(
                "team {}: callers saw {observed_tokens}, billed {billed}",
                report.team
            ));
        }
    }
    if json {
        let value = serde_json::json!({ "budgets": reports, "mix": mix, "faults": faults });
        println!("{value}");
    } else {
        print_mix(mix);
        println!();
        print_budgets(&reports);
        println!();
        for fault in &faults {
            println!("fault: {fault}");
        }
        if faults.is_empty() {
            println!("every budget adds up");
        }
    }
    if faults.is_empty() {
        return Ok(());
    }
    Err(CommandError::Failed(format!("{} faults", faults.len())))
}

fn print_mix(mix: &Mix) {
    println!("{:<16} {:>8}", "outcome", "requests");
    for (outcome, count) in &mix.outcomes {
        println!("{outcome:<16} {count:>8}");
    }
}

async fn run_until_interrupt(site: Site) -> Result<(), CommandError> {
    let address = site.routers[0].address();
    let key = key_of(DEMO_TEAMS[0].0);
    println!("\nThe site is running. Try, and end it with Ctrl-C:\n");
    println!("curl -s http://{address}/v1/addresses -H 'Authorization: Bearer {key}'");
    println!(
        "curl -sN http://{address}/v1/chat/completions -H 'Authorization: Bearer {key}' \\\n  \
         -H 'Idempotency-Key: try-1' -d '{{\"model\":\"assistant\",\"stream\":true,\
         \"messages\":[{{\"role\":\"user\",\"content\":\"hello\"}}]}}'"
    );
    println!(
        "curl -s -X POST http://{address}/services/orders/reservations/17 \
         -H 'Authorization: Bearer {key}' -H 'Idempotency-Key: try-2'"
    );
    println!("curl -s http://{address}/status");
    println!("currantlever status --platform {}", site.platform.url());
    tokio::signal::ctrl_c().await.map_err(CommandError::failed)
}
