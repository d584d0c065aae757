use std::path::{Path, PathBuf};

use slog::{info, warn};
use tokio::signal::unix::{signal, SignalKind};

use super::{parse_settings_path, CommandError};
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

pub(super) fn run(parser: lexopt::Parser) -> Result<(), CommandError> {
    let default = std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
    let Some(path) = parse_settings_path(parser, USAGE, default)? else {
        return Ok(());
    };
    let settings = EntrySettings::read(&path).map_err(CommandError::failed)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(CommandError::failed)?;
    runtime.block_on(serve(&path, settings))
}

async fn serve(path: &Path, settings: EntrySettings) -> Result<(), CommandError> {
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
            _ = hang_up.recv() => match EntrySettings::read(path) {
                Ok(_) => info!(log, "settings file is valid; running settings unchanged"),
                Err(error) => warn!(log, "cannot read settings"; "reason" => error.to_string()),
            },
        }
    }
    router.drain_and_stop().await;
    Ok(())
}
