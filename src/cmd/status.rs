use std::sync::Arc;
use std::time::Duration;

use lexopt::prelude::*;
use serde::Serialize;
use serde_json::Value as JsonValue;

use super::report::{print_budgets, read_budgets, BudgetReport};
use super::{block_on, print_help_or_version, CommandError};
use crate::daemon::http_client;
use crate::store::http::HttpStore;
use crate::vm_list::{HttpVmList, VmList, VmRecord, VmRole};

/// Timeout of a status request to one router.
const ROUTER_TIMEOUT: Duration = Duration::from_secs(2);

const USAGE: &str = "\
Shows what the fleet and each budget look like now.

Usage:
    currantlever status --platform <url>

Options:
    --platform <url>    Base URL of the platform's object API
    --json              Print as JSON
    -h, --help          Show this text
    -V, --version       Show the version
";

struct Args {
    platform: String,
    json: bool,
}

fn parse(mut parser: lexopt::Parser) -> Result<Option<Args>, CommandError> {
    let mut platform = None;
    let mut json = false;
    while let Some(arg) = parser.next()? {
        if print_help_or_version(&arg, USAGE) {
            return Ok(None);
        }
        match arg {
            Long("platform") => platform = Some(parser.value()?.string()?),
            Long("json") => json = true,
            other => return Err(other.unexpected().into()),
        }
    }
    let platform = platform.ok_or_else(|| lexopt::Error::from("--platform is needed"))?;
    Ok(Some(Args { platform, json }))
}

/// A router's VM and state, with its status if it could be read.
#[derive(Debug, Serialize)]
struct RouterReport {
    vm: String,
    state: String,
    status: Option<JsonValue>,
}

#[derive(Debug, Serialize)]
struct Report {
    routers: Vec<RouterReport>,
    budgets: Vec<BudgetReport>,
}

pub(super) fn run(parser: lexopt::Parser) -> Result<(), CommandError> {
    let Some(args) = parse(parser)? else {
        return Ok(());
    };
    block_on(status(args))
}

async fn status(args: Args) -> Result<(), CommandError> {
    let client = http_client().map_err(CommandError::failed)?;
    let vm_list = HttpVmList::new(client.clone(), &args.platform);
    let vms = vm_list
        .read()
        .await
        .map_err(|error| CommandError::Unavailable(error.to_string()))?;
    let queries = vms
        .iter()
        .filter_map(|record| query_router(&client, record));
    let routers = futures::future::join_all(queries).await;
    let budgets = read_budgets(Arc::new(HttpStore::new(client, &args.platform))).await?;
    let report = Report { routers, budgets };
    if args.json {
        println!(
            "{}",
            serde_json::to_string(&report).map_err(CommandError::failed)?
        );
    } else {
        print_report(&report);
    }
    Ok(())
}

fn query_router<'a>(
    client: &'a reqwest::Client,
    record: &'a VmRecord,
) -> Option<impl std::future::Future<Output = RouterReport> + 'a> {
    let VmRole::Entry { address, .. } = record.role else {
        return None;
    };
    Some(async move {
        let request = client
            .get(format!("http://{address}/status"))
            .timeout(ROUTER_TIMEOUT);
        let status = match request.send().await {
            Ok(response) => response.json().await.ok(),
            Err(_) => None,
        };
        RouterReport {
            vm: record.vm.to_string(),
            state: record.state.to_string(),
            status,
        }
    })
}

fn print_report(report: &Report) {
    println!(
        "{:<16} {:<8} {:>10} {:>8} {:>8} {:>9}",
        "router", "state", "generation", "running", "waiting", "unflushed"
    );
    for router in &report.routers {
        let status_value = |name: &str| match &router.status {
            Some(status) => status[name].to_string(),
            None => "-".to_owned(),
        };
        println!(
            "{:<16} {:<8} {:>10} {:>8} {:>8} {:>9}",
            router.vm,
            router.state,
            status_value("generation"),
            status_value("requests_in_progress"),
            status_value("requests_waiting"),
            status_value("unflushed_bills"),
        );
    }
    println!();
    print_budgets(&report.budgets);
}
