//! The `currantlever` command.

use std::process::ExitCode;

fn main() -> ExitCode {
    currantlever::cmd::run(std::env::args_os().skip(1).collect())
}
