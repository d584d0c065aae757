//! The subcommands.

mod apply;
mod bench;
mod check;
mod demo;
mod entry;
mod get;
mod report;
mod serve;
mod status;

use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

use lexopt::prelude::*;
use strum::{Display, EnumIter, EnumString, IntoEnumIterator};
use thiserror::Error;

/// Exit code of a command that failed or found a fault.
const EXIT_FAILED: u8 = 1;
/// Exit code of an invalid command line.
const EXIT_USAGE: u8 = 2;
/// Exit code when another operator changed the list first.
const EXIT_CONFLICT: u8 = 3;
/// Exit code when the platform or a router is unavailable.
const EXIT_UNAVAILABLE: u8 = 4;

const USAGE: &str = "\
Serves language-model requests against prepaid token budgets.

Usage:
    currantlever <command> [<args>...]
    currantlever --help | --version

Commands:
    apply       Put an edited list into the platform
    bench       Measure policies and costs
    check       Validate settings and lists
    demo        Run a whole site in one process and reconcile its budgets
    entry       Run an entry router on a platform
    get         Print a list as it stands in the platform
    serve       Run a router
    status      Show the fleet and the budgets

'currantlever <command> --help' tells more.

Exit codes:
    0  done
    1  something was found to be wrong
    2  the command line cannot be understood
    3  another operator's change came first
    4  the platform gave no answer
";

/// Name of a subcommand.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, EnumIter)]
#[strum(serialize_all = "kebab-case")]
enum Command {
    Apply,
    Bench,
    Check,
    Demo,
    Entry,
    Get,
    Serve,
    Status,
}

/// Why a command failed.
#[derive(Debug, Error)]
pub(crate) enum CommandError {
    /// The command line is invalid.
    #[error(transparent)]
    Usage(#[from] lexopt::Error),
    /// The command failed or found faults, which were already printed or are in the message.
    #[error("{0}")]
    Failed(String),
    /// Another operator changed the list first.
    #[error("{0}")]
    Conflict(String),
    /// The platform or a router is unavailable.
    #[error("{0}")]
    Unavailable(String),
}

impl CommandError {
    /// Converts any error to a command failure.
    #[allow(clippy::needless_pass_by_value, reason = "passed to map_err")]
    pub(crate) fn failed<T>(error: T) -> Self
    where
        T: ToString,
    {
        Self::Failed(error.to_string())
    }

    const fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) => EXIT_USAGE,
            Self::Failed(_) => EXIT_FAILED,
            Self::Conflict(_) => EXIT_CONFLICT,
            Self::Unavailable(_) => EXIT_UNAVAILABLE,
        }
    }
}

/// Runs the command given by the arguments and returns the exit code of the process.
#[must_use]
pub fn run(args: Vec<OsString>) -> ExitCode {
    match dispatch(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("currantlever: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn dispatch(args: Vec<OsString>) -> Result<(), CommandError> {
    let mut parser = lexopt::Parser::from_args(args);
    let command = match parser.next()? {
        None | Some(Short('h') | Long("help")) => {
            print!("{USAGE}");
            return Ok(());
        }
        Some(Short('V') | Long("version")) => {
            println!("currantlever {}", env!("CARGO_PKG_VERSION"));
            return Ok(());
        }
        Some(Value(name)) => parse_command(&name.string()?)?,
        Some(other) => return Err(other.unexpected().into()),
    };
    match command {
        Command::Apply => apply::run(parser),
        Command::Bench => bench::run(parser),
        Command::Check => check::run(parser),
        Command::Demo => demo::run(parser),
        Command::Entry => entry::run(parser),
        Command::Get => get::run(parser),
        Command::Serve => serve::run(parser),
        Command::Status => status::run(parser),
    }
}

fn parse_command(name: &str) -> Result<Command, CommandError> {
    name.parse().map_err(|_| {
        let known: Vec<String> = Command::iter().map(|command| command.to_string()).collect();
        let text = format!("unknown command {name:?}; there are {}", known.join(", "));
        CommandError::Usage(text.into())
    })
}

/// Parses the arguments of a command whose only option is its settings file. Returns `None` when
/// the help or the version was printed instead.
fn parse_settings_path(
    mut parser: lexopt::Parser,
    usage: &str,
    default: Option<PathBuf>,
) -> Result<Option<PathBuf>, CommandError> {
    let mut settings = default;
    while let Some(arg) = parser.next()? {
        if print_help_or_version(&arg, usage) {
            return Ok(None);
        }
        match arg {
            Long("settings") => settings = Some(PathBuf::from(parser.value()?)),
            other => return Err(other.unexpected().into()),
        }
    }
    let settings = settings.ok_or_else(|| lexopt::Error::from("--settings is needed"))?;
    Ok(Some(settings))
}

/// Prints a command's usage text or the version if the argument requests it, and returns whether it
/// did.
pub(crate) fn print_help_or_version(arg: &lexopt::Arg<'_>, usage: &str) -> bool {
    match arg {
        Short('h') | Long("help") => print!("{usage}"),
        Short('V') | Long("version") => println!("currantlever {}", env!("CARGO_PKG_VERSION")),
        _ => return false,
    }
    true
}

/// Runs a command's future to completion on a new multi-threaded runtime.
pub(crate) fn block_on<F>(future: F) -> Result<(), CommandError>
where
    F: std::future::Future<Output = Result<(), CommandError>>,
{
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(CommandError::failed)?;
    runtime.block_on(future)
}
