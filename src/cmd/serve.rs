use std::fs;

use rand::RngExt;
use tokio::signal::unix::{signal, SignalKind};

use super::{block_on, parse_settings_path, CommandError};
use crate::daemon::Daemon;
use crate::peer::rpc::FleetSecret;
use crate::router::RouterOptions;
use crate::settings::Settings;
use crate::telemetry::json_logger;

const USAGE: &str = "\
Runs a router until it is told to stop.

On SIGTERM or SIGINT the router drains: it leaves the answers to 'which address
to use', finishes all requests, gives back its grants, and exits with 0.
Logs go to standard error, one JSON object a line.

Usage:
    currantlever serve --settings <file>

Options:
    --settings <file>   Settings of the router, in JSON
    -h, --help          Show this text
    -V, --version       Show the version
";

pub(super) fn run(parser: lexopt::Parser) -> Result<(), CommandError> {
    let Some(path) = parse_settings_path(parser, USAGE, None)? else {
        return Ok(());
    };
    let settings = Settings::read(&path).map_err(CommandError::failed)?;
    let secret = read_secret(&settings)?;
    block_on(serve(settings, secret))
}

fn read_secret(settings: &Settings) -> Result<FleetSecret, CommandError> {
    let path = &settings.fleet_secret_file;
    let text = fs::read(path).map_err(|error| {
        CommandError::Failed(format!("fleet_secret_file: {}: {error}", path.display()))
    })?;
    FleetSecret::new(text.trim_ascii()).map_err(CommandError::failed)
}

async fn serve(settings: Settings, secret: FleetSecret) -> Result<(), CommandError> {
    let options = RouterOptions::new(rand::rng().random());
    let mut terminate = signal(SignalKind::terminate()).map_err(CommandError::failed)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(CommandError::failed)?;
    let daemon = Daemon::start(settings, secret, options, &json_logger())
        .await
        .map_err(CommandError::failed)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    if daemon.drain_and_stop().await {
        return Ok(());
    }
    Err(CommandError::Failed(
        "drained, but grants or bills were left behind".to_owned(),
    ))
}
