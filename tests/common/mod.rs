//! Helpers of the integration tests: a temporary work directory and the program run in it.
#![allow(dead_code)]

pub mod client;
pub mod process;
pub mod site;

use std::ffi::OsStr;
use std::path::PathBuf;
use std::process::{Command, Output};

use tempfile::TempDir;

/// Temporary work directory, removed on drop.
pub struct Workdir {
    directory: TempDir,
}

impl Workdir {
    pub fn new() -> Self {
        Self {
            directory: TempDir::new().unwrap(),
        }
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.directory.path().join(name)
    }

    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.path(name);
        std::fs::write(&path, text).unwrap();
        path
    }

    pub fn command(&self) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_currantlever"));
        command.current_dir(self.directory.path());
        command
    }

    pub fn run<A>(&self, args: &[A]) -> Output
    where
        A: AsRef<OsStr>,
    {
        self.command().args(args).output().unwrap()
    }
}

pub fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

pub fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}
