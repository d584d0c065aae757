use lexopt::prelude::*;

use super::{block_on, print_help_or_version, CommandError};
use crate::accepted::AcceptedLists;
use crate::daemon::http_client;
use crate::lists::ListName;
use crate::store::http::HttpStore;

const USAGE: &str = "\
Prints a list as it stands in the platform, to be edited and applied.

Usage:
    currantlever get --platform <url> (plans | usage)

Options:
    --platform <url>    Base URL of the platform's object API
    -h, --help          Show this text
    -V, --version       Show the version
";

struct Args {
    platform: String,
    list: ListName,
}

fn parse(mut parser: lexopt::Parser) -> Result<Option<Args>, CommandError> {
    let mut platform = None;
    let mut list = None;
    while let Some(arg) = parser.next()? {
        if print_help_or_version(&arg, USAGE) {
            return Ok(None);
        }
        match arg {
            Long("platform") => platform = Some(parser.value()?.string()?),
            Value(name) if list.is_none() => list = Some(name.parse::<ListName>()?),
            other => return Err(other.unexpected().into()),
        }
    }
    let platform = platform.ok_or_else(|| lexopt::Error::from("--platform is needed"))?;
    let list = list.ok_or_else(|| lexopt::Error::from("name a list: plans or usage"))?;
    Ok(Some(Args { platform, list }))
}

pub(super) fn run(parser: lexopt::Parser) -> Result<(), CommandError> {
    let Some(args) = parse(parser)? else {
        return Ok(());
    };
    block_on(get(args))
}

async fn get(args: Args) -> Result<(), CommandError> {
    let client = http_client().map_err(CommandError::failed)?;
    let store = HttpStore::new(client, &args.platform);
    let lists = AcceptedLists::load(&store, &AcceptedLists::default())
        .await
        .map_err(|error| CommandError::Unavailable(error.to_string()))?;
    let text = match args.list {
        ListName::Plans => serde_json::to_string_pretty(&lists.plans()),
        ListName::Usage => serde_json::to_string_pretty(&lists.usage()),
    };
    println!("{}", text.map_err(CommandError::failed)?);
    Ok(())
}
