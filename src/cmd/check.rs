use std::fs;
use std::path::{Path, PathBuf};

use lexopt::prelude::*;
use serde::de::DeserializeOwned;
use serde::Serialize;

use super::{print_help_or_version, CommandError};
use crate::lists::{parse_list, validate_lists, ListName, PlansList, UsageList, ValidationError};
use crate::settings::Settings;

const USAGE: &str = "\
Validates settings and lists, and tells the place and reason of each fault.

The two lists are checked together, as the system does before it accepts one.

Usage:
    currantlever check [--settings <file>]... [--plans <file> --usage <file>]

Options:
    --settings <file>   Settings of a router; may be given more than once
    --plans <file>      List of customers' plans
    --usage <file>      List of what each plan may use
    --json              Print the faults as JSON
    -h, --help          Show this text
    -V, --version       Show the version
";

#[derive(Default)]
struct Args {
    settings: Vec<PathBuf>,
    plans: Option<PathBuf>,
    usage: Option<PathBuf>,
    json: bool,
}

fn parse(mut parser: lexopt::Parser) -> Result<Option<Args>, CommandError> {
    let mut args = Args::default();
    while let Some(arg) = parser.next()? {
        if print_help_or_version(&arg, USAGE) {
            return Ok(None);
        }
        match arg {
            Long("settings") => args.settings.push(parser.value()?.into()),
            Long("plans") => args.plans = Some(parser.value()?.into()),
            Long("usage") => args.usage = Some(parser.value()?.into()),
            Long("json") => args.json = true,
            other => return Err(other.unexpected().into()),
        }
    }
    if args.plans.is_some() != args.usage.is_some() {
        return Err(lexopt::Error::from("--plans and --usage are checked together").into());
    }
    if args.settings.is_empty() && args.plans.is_none() {
        return Err(lexopt::Error::from("nothing to check").into());
    }
    Ok(Some(args))
}

/// A fault with its file, as it is printed.
#[derive(Debug, Serialize)]
struct FileFault {
    file: String,
    fault: String,
}

pub(super) fn run(parser: lexopt::Parser) -> Result<(), CommandError> {
    let Some(args) = parse(parser)? else {
        return Ok(());
    };
    let mut found = Vec::new();
    for path in &args.settings {
        if let Err(error) = Settings::read(path) {
            found.push(FileFault {
                file: path.display().to_string(),
                fault: error.to_string(),
            });
        }
    }
    if let (Some(plans), Some(usage)) = (&args.plans, &args.usage) {
        check_lists(plans, usage, &mut found);
    }
    print_faults(&args, &found)?;
    if found.is_empty() {
        return Ok(());
    }
    Err(CommandError::Failed(format!("{} faults", found.len())))
}

fn print_faults(args: &Args, found: &[FileFault]) -> Result<(), CommandError> {
    if args.json {
        println!(
            "{}",
            serde_json::to_string(found).map_err(CommandError::failed)?
        );
        return Ok(());
    }
    for fault in found {
        println!("{}: {}", fault.file, fault.fault);
    }
    if found.is_empty() {
        println!("ok");
    }
    Ok(())
}

fn check_lists(plans_path: &Path, usage_path: &Path, found: &mut Vec<FileFault>) {
    let plans = read_list::<PlansList>(ListName::Plans, plans_path);
    let usage = read_list::<UsageList>(ListName::Usage, usage_path);
    let path_of = |list| {
        if list == ListName::Plans {
            plans_path
        } else {
            usage_path
        }
    };
    let faults = match (plans, usage) {
        (Ok(plans), Ok(usage)) => validate_lists(&plans, &usage),
        (plans, usage) => plans.err().into_iter().chain(usage.err()).collect(),
    };
    for fault in faults {
        let file = path_of(fault.list).display().to_string();
        found.push(FileFault {
            file,
            fault: fault.to_string(),
        });
    }
}

/// Reads and parses a list from a file.
pub(super) fn read_list<T>(list: ListName, path: &Path) -> Result<T, ValidationError>
where
    T: DeserializeOwned,
{
    let text = fs::read(path).map_err(|error| ValidationError {
        list,
        field: "file".to_owned(),
        reason: error.to_string(),
    })?;
    parse_list(list, &text)
}
