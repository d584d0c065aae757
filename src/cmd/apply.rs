use std::path::PathBuf;

use lexopt::prelude::*;

use super::check::read_list;
use super::{block_on, print_help_or_version, CommandError};
use crate::accepted::{accept_edit, AcceptError, Edit};
use crate::daemon::http_client;
use crate::lists::ListName;
use crate::store::http::HttpStore;

const USAGE: &str = "\
Puts an edited list into the platform.

The list's 'generation' field says from which state the edit started. Where
another operator has changed the list since, nothing is changed and the command
exits with 3: get the list, make the edit again and apply it.
An edit that does not fit the other list changes nothing either.

Usage:
    currantlever apply --platform <url> (--plans <file> | --usage <file>)

Options:
    --platform <url>    Base URL of the platform's object API
    --plans <file>      Edited list of customers' plans
    --usage <file>      Edited list of what each plan may use
    --json              Print the outcome as JSON
    -h, --help          Show this text
    -V, --version       Show the version
";

struct Args {
    platform: String,
    edit: Edit,
    json: bool,
}

fn parse(mut parser: lexopt::Parser) -> Result<Option<Args>, CommandError> {
    let mut platform = None;
    let mut files: Vec<(ListName, PathBuf)> = Vec::new();
    let mut json = false;
    while let Some(arg) = parser.next()? {
        if print_help_or_version(&arg, USAGE) {
            return Ok(None);
        }
        match arg {
            Long("platform") => platform = Some(parser.value()?.string()?),
            Long("plans") => files.push((ListName::Plans, parser.value()?.into())),
            Long("usage") => files.push((ListName::Usage, parser.value()?.into())),
            Long("json") => json = true,
            other => return Err(other.unexpected().into()),
        }
    }
    let platform = platform.ok_or_else(|| lexopt::Error::from("--platform is needed"))?;
    let [(list, path)] = files.as_slice() else {
        return Err(lexopt::Error::from("one of --plans and --usage is needed").into());
    };
    let edit = match list {
        ListName::Plans => read_list(*list, path).map(Edit::Plans),
        ListName::Usage => read_list(*list, path).map(Edit::Usage),
    };
    let edit =
        edit.map_err(|fault| CommandError::Failed(format!("{}: {fault}", path.display())))?;
    Ok(Some(Args {
        platform,
        edit,
        json,
    }))
}

pub(super) fn run(parser: lexopt::Parser) -> Result<(), CommandError> {
    let Some(args) = parse(parser)? else {
        return Ok(());
    };
    block_on(apply(args))
}

async fn apply(args: Args) -> Result<(), CommandError> {
    let client = http_client().map_err(CommandError::failed)?;
    let store = HttpStore::new(client, &args.platform);
    let generation = accept_edit(&store, &args.edit)
        .await
        .map_err(to_command_error)?;
    if args.json {
        println!("{{\"generation\":{generation}}}");
    } else {
        println!("accepted as generation {generation}");
    }
    Ok(())
}

fn to_command_error(error: AcceptError) -> CommandError {
    match error {
        AcceptError::Invalid(faults) => {
            for fault in &faults {
                println!("{fault}");
            }
            CommandError::Failed(format!("{} faults; nothing was changed", faults.len()))
        }
        AcceptError::Conflict { .. } => CommandError::Conflict(error.to_string()),
        AcceptError::Update(error) => CommandError::Unavailable(error.to_string()),
        AcceptError::Part { .. } => CommandError::Failed(error.to_string()),
    }
}
