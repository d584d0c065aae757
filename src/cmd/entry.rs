use std::path::PathBuf;

use lexopt::prelude::*;
use slog::{info, warn};
use tokio::signal::unix::{signal, SignalKind};

use super::{is_about_command, CommandError};
use crate::entry::EntryRouter;
use crate::entry_settings::EntrySettings;
use crate::telemetry::json_logger_to_stdout;

const USAGE: &str = "\
Runs an entry router on a platform until it is told to stop.

On SIGTERM or SIGINT the router leaves the answers to 'which address to use',
finishes all requests, gives back its grants, and exits with 0. SIGHUP reads the
settings again. Logs go to standard output, one JSON object a line.

Usage:
    currantlever entry [--settings <file>]

Options:
    --settings <file>   Settings of the router, in JSON; by default the file
                        that the variable CURRANTLEVER_CONFIG names
    -h, --help          Show this text
    -V, --version       Show the version
";

const SETTINGS_VARIABLE: &str = "CURRANTLEVER_CONFIG";

struct Args {
    settings: PathBuf,
}

fn parse(mut parser: lexopt::Parser) -> Result<Option<Args>, CommandError> {
    let mut settings = std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
    while let Some(arg) = parser.next()? {
        if is_about_command(&arg, USAGE) {
            return Ok(None);
        }
        match arg {
            Long("settings") => settings = Some(PathBuf::from(parser.value()?)),
            other => return Err(other.unexpected().into()),
        }
    }
    let settings = settings.ok_or_else(|| lexopt::Error::from("--settings is needed"))?;
    Ok(Some(Args { settings }))
}

pub(super) fn run(parser: lexopt::Parser) -> Result<(), CommandError> {
    let Some(args) = parse(parser)? else {
        return Ok(());
    };
    let settings = EntrySettings::read(&args.settings).map_err(CommandError::failed)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(CommandError::failed)?;
    runtime.block_on(serve(args, settings))
}

async fn serve(args: Args, settings: EntrySettings) -> Result<(), CommandError> {
    let log = json_logger_to_stdout();
    let mut terminate = signal(SignalKind::terminate()).map_err(CommandError::failed)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(CommandError::failed)?;
    let mut hang_up = signal(SignalKind::hangup()).map_err(CommandError::failed)?;
    let router = EntryRouter::start(settings, &log)
        .await
        .map_err(CommandError::failed)?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hang_up.recv() => match EntrySettings::read(&args.settings) {
                Ok(_) => info!(log, "settings read again"),
                Err(error) => warn!(log, "settings not readable"; "reason" => error.to_string()),
            },
        }
    }
    router.drain_and_stop().await;
    Ok(())
}
