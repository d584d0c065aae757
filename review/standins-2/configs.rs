//! Case: the configuration grows by many routes and then changes in quick succession, several times. Each
//! router keeps every version whole in memory, up to 1,024 of them, and exceeds its memory limit; all
//! routers at about the same time.
//!
//! With `TROUBLE=0` the configuration grows alike and then stays as it is.
#[path = "common.rs"]
mod common;

use common::*;
use std::collections::HashSet;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// `limits.memory_mb` of the machines.
const MEMORY_KB: u64 = 110 * 1_024;
/// Routes at the start, and those by which the configuration grows, three times (`big_config`).
const FIRST_ROUTES: usize = 10;
const ADDED_ROUTES: usize = 420;
const GROWTHS: usize = 3;
const VALUE_BYTES: usize = 1_048_576;
/// One storm (`config_storm`, for_s = 2.0, gap_s = 0.08): the time between two versions, and how many.
const CHANGE_GAP: Duration = Duration::from_millis(80);
const CHANGES: usize = 25;
/// Pause between two storms, and the most storms.
const STORM_PAUSE: Duration = Duration::from_secs(1);
const STORMS: usize = 29;
/// Callers at each router, each with a connection that it keeps.
const CALLERS: usize = 10;
const WORK: Duration = Duration::from_millis(150);
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// The rule allows three requests that are passed on and not answered.
const ALLOWED_LOST: usize = 3;

fn config(version: u64, routes: usize) -> String {
    let count = routes as u64;
    let routes: Vec<String> = (0..routes)
        .map(|route| {
            // One route of the list gets another time-out in each version.
            let timeout_ms = if route as u64 == version % count {
                2_900
            } else {
                3_000
            };
            format!(
                "{{\"name\":\"route-{route}\",\"host\":\"site.example\",\
                 \"path_prefix\":\"/order-{route}/\",\"type\":\"non_idempotent\",\
                 \"timeout_ms\":{timeout_ms},\"slo_ms\":300,\"priority\":2,\"service\":\"ledger\",\
                 \"max_attempts\":1,\"public\":false,\"sticky\":false,\"resumable\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"ledger\",\
         \"health_path\":\"/healthz\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(",")
    )
}

fn start_replica(id: &str, runs: &Arc<Mutex<HashSet<String>>>, record: &Record) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("replica");
    let address = listener.local_addr().unwrap();
    let (id, runs, record) = (id.to_owned(), Arc::clone(runs), record.clone());
    serve(listener, move |mut reader| {
        while let Some(request) = reader.message() {
            let attempt = request
                .header("currantlever-attempt-id")
                .unwrap_or("")
                .to_owned();
            runs.lock().unwrap().insert(attempt.clone());
            record.line(&format!("{id} runs {attempt}"));
            thread::sleep(WORK);
            let text = format!(
                "HTTP/1.1 200 OK\r\nCurrantlever-Attempt-Id: {attempt}\r\n\
                 Currantlever-Replica-Signature: {id}.{attempt}\r\nContent-Length: 2\r\n\r\nok"
            );
            if reader.stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    });
    address
}

fn resident_kb(id: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.trim().trim_end_matches(" kB").parse().ok()
}

/// What the callers have seen.
#[derive(Default)]
struct Seen {
    answered: AtomicUsize,
    refused: AtomicUsize,
    /// Requests on kept connections that ended without an answer.
    unanswered: Mutex<Vec<String>>,
}

/// Sends one request after the other on a kept connection.
fn run_caller(
    router: SocketAddr,
    number: &AtomicU64,
    seen: &Seen,
    is_over: &AtomicBool,
    record: &Record,
) {
    while !is_over.load(Ordering::Relaxed) {
        let Ok(stream) = TcpStream::connect_timeout(&router, Duration::from_secs(1)) else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
        let mut reader = Reader::new(stream);
        let mut is_kept = false;
        while !is_over.load(Ordering::Relaxed) {
            let attempt = format!(
                "{:016x}",
                0xd000_0000 + number.fetch_add(1, Ordering::Relaxed)
            );
            let request = format!(
                "POST /order-7/2f HTTP/1.1\r\nHost: site.example\r\n\
                 Currantlever-Attempt-Id: {attempt}\r\nCurrantlever-Deadline-Ms: 3000\r\n\
                 Content-Length: 1\r\n\r\nx"
            );
            let is_sent = reader.stream.write_all(request.as_bytes()).is_ok();
            let answer = if is_sent { reader.message() } else { None };
            let Some(answer) = answer else {
                record.line(&format!(
                    "request {attempt} to {router}: no answer, kept: {is_kept}"
                ));
                if is_kept {
                    seen.unanswered.lock().unwrap().push(attempt);
                }
                break;
            };
            is_kept = true;
            let counter = if answer.status() == 200 {
                &seen.answered
            } else {
                &seen.refused
            };
            counter.fetch_add(1, Ordering::Relaxed);
            thread::sleep(Duration::from_millis(20));
        }
    }
}

fn main() {
    let path = std::env::args()
        .nth(1)
        .unwrap_or_else(|| cannot_run("no record file"));
    let record = Record::new(Path::new(&path));
    let folder = work_folder("configs");
    let has_trouble = has_trouble();
    let mut version = 1;
    record.say(&format!("trouble: {has_trouble}"));
    let store = Store::start(VALUE_BYTES);
    let runs = Arc::default();
    for id in ["i-1", "i-2", "i-3", "i-4"] {
        let address = start_replica(id, &runs, &record);
        store.put("servers", id, &server_entry("ledger", address, 16));
    }
    store.put("config", "main", &config(version, FIRST_ROUTES));
    let is_over = Arc::new(AtomicBool::new(false));
    let kills: Arc<Vec<AtomicUsize>> = Arc::new((0..2).map(|_| AtomicUsize::new(0)).collect());
    let routers: Vec<Arc<Mutex<Router>>> = ["a", "b"]
        .iter()
        .map(|zone| {
            let own = RouterAddresses::new(&format!("edge-{zone}"), zone, "127.0.0.1");
            Arc::new(Mutex::new(Router::start(own, store.address, &folder)))
        })
        .collect();
    let (number, seen) = (Arc::new(AtomicU64::new(0)), Arc::new(Seen::default()));
    let mut threads = Vec::new();
    for (index, router) in routers.iter().enumerate() {
        router.lock().unwrap().wait_ready();
        let address = router.lock().unwrap().addresses.callers;
        for _ in 0..CALLERS {
            let (number, seen) = (Arc::clone(&number), Arc::clone(&seen));
            let (is_over, record) = (Arc::clone(&is_over), record.clone());
            thread::spawn(move || run_caller(address, &number, &seen, &is_over, &record));
        }
        let (router, is_over) = (Arc::clone(router), Arc::clone(&is_over));
        let (kills, record) = (Arc::clone(&kills), record.clone());
        // The platform: it kills a process that exceeds its memory limit, and starts it again.
        threads.push(thread::spawn(move || {
            let mut peak_kb = 0;
            while !is_over.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(10));
                let id = router.lock().unwrap().id();
                let Some(resident_kb) = resident_kb(id) else {
                    continue;
                };
                peak_kb = peak_kb.max(resident_kb);
                if resident_kb > MEMORY_KB {
                    record.say(&format!(
                        "router {index} has {resident_kb} kB and is killed"
                    ));
                    kills[index].fetch_add(1, Ordering::Relaxed);
                    router.lock().unwrap().kill();
                    thread::sleep(RESTART_DELAY);
                    router.lock().unwrap().restart();
                }
            }
            record.say(&format!(
                "router {index}: largest resident memory {peak_kb} kB"
            ));
        }));
    }
    thread::sleep(Duration::from_secs(5));
    record.say(&format!(
        "before: {} requests answered",
        seen.answered.load(Ordering::Relaxed)
    ));
    let mut routes = FIRST_ROUTES;
    for _ in 0..GROWTHS {
        routes += ADDED_ROUTES;
        version += 1;
        store.put("config", "main", &config(version, routes));
        thread::sleep(Duration::from_secs(1));
    }
    let length = config(version, routes).len();
    record.say(&format!(
        "the configuration has {routes} routes and {length} bytes"
    ));
    for storm in 1..=STORMS {
        for _ in 0..CHANGES {
            thread::sleep(CHANGE_GAP);
            if has_trouble {
                version += 1;
                store.put("config", "main", &config(version, routes));
            }
        }
        thread::sleep(STORM_PAUSE);
        let memory: Vec<Option<u64>> = routers
            .iter()
            .map(|router| resident_kb(router.lock().unwrap().id()))
            .collect();
        record.say(&format!(
            "storm {storm}, version {version}, resident memory {memory:?} kB"
        ));
        if kills.iter().all(|kills| kills.load(Ordering::Relaxed) >= 2) {
            break;
        }
    }
    thread::sleep(Duration::from_secs(2));
    is_over.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    thread::sleep(Duration::from_secs(1));
    let unanswered = seen.unanswered.lock().unwrap();
    let runs = runs.lock().unwrap();
    let lost = unanswered
        .iter()
        .filter(|attempt| runs.contains(*attempt))
        .count();
    let kills: Vec<usize> = kills
        .iter()
        .map(|kills| kills.load(Ordering::Relaxed))
        .collect();
    record.say(&format!(
        "{} requests answered with 200, {} refused; ends by memory over the limit: {kills:?}; requests of \
         kept connections that a replica ran and that got no answer: {lost}",
        seen.answered.load(Ordering::Relaxed),
        seen.refused.load(Ordering::Relaxed)
    ));
    let is_broken = lost > ALLOWED_LOST;
    record.say(if is_broken {
        "LOST broken"
    } else {
        "LOST held"
    });
    drop(routers);
    finish(i32::from(is_broken));
}
