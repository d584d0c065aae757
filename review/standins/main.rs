//! Stand-ins for the platform's store, replicas and callers, and the scripted cases of the review.
//!
//! Usage: `standins CASE RECORD`. The environment variable TROUBLE=0 leaves out the disruption.
//! Exit code: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

mod client;
mod http;
mod json;
mod replica;
mod routers;
mod store;

mod case_cut_tunnel;
mod case_forgotten_crashes;
mod case_last_tenant;
mod case_plain_generation;
mod case_restored_ledger;

use std::fs::File;
use std::io::Write;
use std::panic::AssertUnwindSafe;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time after which a case is given up.
const LIMIT: Duration = Duration::from_secs(118);

/// What was sent, answered and run, with the time since the start in seconds.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.started.elapsed().as_secs_f64());
        if let Ok(mut file) = self.file.lock() {
            let _ = file.write_all(line.as_bytes());
        }
    }
}

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

pub fn is_troubled() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: standins CASE RECORD");
        std::process::exit(2);
    };
    let Ok(file) = File::create(path) else {
        eprintln!("cannot write {path}");
        std::process::exit(2);
    };
    let record = Arc::new(Record {
        started: Instant::now(),
        file: Mutex::new(file),
    });
    record.line(&format!(
        "case {case}, {}",
        if is_troubled() {
            "with the disruption"
        } else {
            "without the disruption"
        }
    ));
    std::thread::spawn(|| {
        std::thread::sleep(LIMIT);
        eprintln!("the case takes too long");
        std::process::exit(2);
    });
    let verdict = std::panic::catch_unwind(AssertUnwindSafe(|| match case.as_str() {
        "cut-tunnel" => case_cut_tunnel::run(&record),
        "forgotten-crashes" => case_forgotten_crashes::run(&record),
        "last-tenant" => case_last_tenant::run(&record),
        "plain-generation" => case_plain_generation::run(&record),
        "restored-ledger" => case_restored_ledger::run(&record),
        _ => Verdict::NotRun(format!("no case {case}")),
    }));
    let verdict = verdict.unwrap_or_else(|_| Verdict::NotRun("the script failed".into()));
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken => ("the rule was broken".to_owned(), 1),
        Verdict::NotRun(reason) => (format!("the case could not run: {reason}"), 2),
    };
    record.line(&text);
    println!("{case}: {text}");
    std::process::exit(code);
}
