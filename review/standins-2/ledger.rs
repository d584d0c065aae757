//! Case: VMs are replaced one after the other, each by a new one at a new address, as planned work
//! with SIGTERM. The ledger keeps the rows of all VMs that are gone until the store refuses it.
//!
//! With `TROUBLE=0` the same processes end and start at the same times, on the same VMs.
#[path = "common.rs"]
mod common;

use common::*;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Customers with a prepaid budget; ten of them send requests.
const TENANTS: usize = 160;
const ACTIVE_TENANTS: usize = 10;
const PREPAID_TOKENS: u64 = 6_000_000;
/// Tokens of one request: a season catalogue digest.
const PROMPT_TOKENS: u64 = 6_600;
const OUTPUT_TOKENS: u64 = 384;
/// VMs that are replaced together.
const BATCH: usize = 5;
/// Time for which a new VM serves before it is replaced in turn.
const STAY: Duration = Duration::from_millis(2_700);
/// Bound of the pages for an object of the store.
const VALUE_BYTES: usize = 1_048_576;
/// Bound of the pages, after the machines are back.
const RECOVER: Duration = Duration::from_secs(12);
const BASELINE: Duration = Duration::from_secs(6);
const MEASURED: Duration = Duration::from_secs(8);
/// Latest end of the replacements, for the whole case to end within 120 s.
const LATEST_END: Duration = Duration::from_secs(80);
/// Batches that are replaced after the store refused the first write.
const LAST_BATCHES: usize = 2;
/// Pause between two requests at one router.
const REQUEST_PAUSE: Duration = Duration::from_millis(80);

fn config() -> String {
    let tenants: Vec<String> = (0..TENANTS)
        .map(|tenant| {
            format!(
                "{{\"name\":\"tenant-{tenant}\",\"api_keys\":[\"key-{tenant}\"],\
                 \"prepaid\":{PREPAID_TOKENS}}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"digest\",\"host\":\"site.example\",\
         \"path_prefix\":\"/digest/\",\"type\":\"streaming\",\"timeout_ms\":12000,\"slo_ms\":800,\
         \"priority\":1,\"service\":\"pool\",\"max_attempts\":2,\"public\":false,\"sticky\":true,\
         \"resumable\":true,\"gap_aim_ms\":300}}],\"services\":[{{\"name\":\"pool\",\
         \"health_path\":\"/healthz\",\"max_conns\":310,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":48,\"stride\":6,\"models\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{}]}}",
        tenants.join(",")
    )
}

/// The result of one request: when it was sent, its status, whether it was served whole.
struct Result {
    sent: Duration,
    status: u16,
    is_served: bool,
}

fn send_request(router: SocketAddr, attempt: &str, tenant: usize) -> (u16, bool) {
    let head = format!(
        "POST /digest/2f HTTP/1.1\r\nHost: site.example\r\nCurrantlever-Attempt-Id: {attempt}\r\n\
         Currantlever-Model: m\r\nCurrantlever-Token-Usage: {PROMPT_TOKENS},{OUTPUT_TOKENS}\r\n\
         Currantlever-Prefix-Hash: {tenant:x}:600,{attempt}:6000\r\n\
         Currantlever-Deadline-Ms: 12000\r\nAuthorization: Token key-{tenant}\r\n\
         Connection: close\r\n"
    );
    let answer = call(router, &head, b"x", Duration::from_secs(12));
    let status = answer.as_ref().map_or(0, Message::status);
    let is_served = status == 200
        && answer.is_some_and(|answer| answer.header("currantlever-replica-signature").is_some());
    (status, is_served)
}

/// Returns how many requests were sent in a span, and how many of them were served.
fn count(results: &Mutex<Vec<Result>>, from: Duration, to: Duration) -> (usize, usize) {
    let results = results.lock().unwrap();
    let sent = results
        .iter()
        .filter(|result| (from..to).contains(&result.sent));
    let (mut all, mut served) = (0, 0);
    for result in sent {
        all += 1;
        served += usize::from(result.is_served);
    }
    (all, served)
}

fn main() {
    let path = std::env::args()
        .nth(1)
        .unwrap_or_else(|| cannot_run("no record file"));
    let record = Record::new(Path::new(&path));
    let folder = work_folder("ledger");
    let has_trouble = has_trouble();
    record.say(&format!(
        "trouble: {has_trouble}; {TENANTS} tenants, prepaid {PREPAID_TOKENS} each"
    ));

    let store = Store::start(VALUE_BYTES);
    let replicas: Vec<Replica> = (0..4)
        .map(|n| Replica::start(&format!("i-{n}"), 4, Duration::from_millis(5), &record))
        .collect();
    for replica in &replicas {
        store.put("servers", &replica.id, &replica.entry("pool", 48));
    }
    store.put("config", "main", &config());

    let steady: Vec<Router> = (0..2)
        .map(|n| {
            let addresses = RouterAddresses::new(&format!("edge-a-{n}"), "a", "127.0.0.1");
            Router::start(addresses, store.address, &folder)
        })
        .collect();
    steady.iter().for_each(Router::wait_ready);

    // Clients send to the two routers that are replaced last.
    let targets: Vec<SocketAddr> = steady
        .iter()
        .map(|router| router.addresses.callers)
        .collect();
    let targets = Arc::new(Mutex::new(targets));
    let results = Arc::new(Mutex::new(Vec::new()));
    let is_over = Arc::new(AtomicBool::new(false));
    let number = Arc::new(AtomicU64::new(0));
    let mut clients = Vec::new();
    for client in 0..steady.len() {
        let targets = Arc::clone(&targets);
        let (results, is_over) = (Arc::clone(&results), Arc::clone(&is_over));
        let (number, record) = (Arc::clone(&number), record.clone());
        clients.push(thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                let number = number.fetch_add(1, Ordering::Relaxed);
                let attempt = format!("{:016x}", 0xa000_0000 + number);
                let tenant = (number as usize) % ACTIVE_TENANTS;
                let address = targets.lock().unwrap()[client];
                let sent = record.elapsed();
                let (status, is_served) = send_request(address, &attempt, tenant);
                record.line(&format!(
                    "request {attempt} of tenant-{tenant} to {address}: {status}, served: {is_served}"
                ));
                results.lock().unwrap().push(Result { sent, status, is_served });
                thread::sleep(REQUEST_PAUSE);
            }
        }));
    }

    // The baseline begins when the routers know one another.
    thread::sleep(Duration::from_secs(3));
    let baseline_from = record.elapsed();
    thread::sleep(BASELINE);
    let baseline = count(&results, baseline_from, baseline_from + BASELINE);
    record.say(&format!(
        "before: {} of {} requests served",
        baseline.1, baseline.0
    ));

    let mut vms = 0;
    let mut present: Vec<Router> = Vec::new();
    let mut before: Vec<Router> = Vec::new();
    let mut last_batches = LAST_BATCHES;
    loop {
        let started = Instant::now();
        let new: Vec<Router> = (0..BATCH)
            .map(|n| {
                // Without trouble two sets of VMs are stopped and started in turn.
                let vm = if has_trouble {
                    vms + n
                } else {
                    (vms + n) % (2 * BATCH)
                };
                let ip = format!("127.1.{}.{}", vm / 200, vm % 200 + 1);
                let addresses = if has_trouble || vms < 2 * BATCH {
                    RouterAddresses::new(&format!("edge-b-{vm}"), "b", &ip)
                } else {
                    before[n].addresses.clone()
                };
                if !has_trouble && vms >= 2 * BATCH {
                    before[n].kill();
                }
                Router::start(addresses, store.address, &folder)
            })
            .collect();
        new.iter().for_each(Router::wait_ready);
        for router in &present {
            router.signal("-TERM");
        }
        thread::sleep(STAY);
        vms += BATCH;
        let length = store
            .get("token-ledgers", "all")
            .map_or(0, |text| text.len());
        let (refused, largest) = store.sizes();
        record.say(&format!(
            "{vms} processes started, ledger {length} bytes (largest value {largest}), writes refused as \
             too large: {refused}; {} ms",
            started.elapsed().as_millis()
        ));
        before = present;
        present = new;
        if record.elapsed() > LATEST_END {
            break;
        }
        if refused > 0 {
            if last_batches == 0 {
                break;
            }
            last_batches -= 1;
        }
    }
    drop(before);
    let new: Vec<Router> = steady
        .iter()
        .map(|old| {
            if has_trouble {
                vms += 1;
                let ip = format!("127.1.{}.{}", vms / 200, vms % 200 + 1);
                let name = format!("edge-a-{vms}");
                return Router::start(
                    RouterAddresses::new(&name, "a", &ip),
                    store.address,
                    &folder,
                );
            }
            old.signal("-KILL");
            thread::sleep(Duration::from_millis(300));
            Router::start(old.addresses.clone(), store.address, &folder)
        })
        .collect();
    new.iter().for_each(Router::wait_ready);
    *targets.lock().unwrap() = new.iter().map(|router| router.addresses.callers).collect();
    for old in &steady {
        old.signal("-TERM");
    }
    let back = record.elapsed();
    record.say("the machines are back: no further VM is replaced");
    thread::sleep(RECOVER);
    let measured_from = record.elapsed();
    thread::sleep(MEASURED);
    let after = count(&results, measured_from, measured_from + MEASURED);
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let statuses = results.lock().unwrap();
    let count_status = |status: u16| {
        statuses
            .iter()
            .filter(|result| result.sent >= measured_from && result.status == status)
            .count()
    };
    let served: usize = statuses.iter().filter(|result| result.is_served).count();
    record.say(&format!(
        "sent later than {} s after that ({:.1} s): {} of {} served; 402: {}, 429: {}, 503: {}",
        RECOVER.as_secs(),
        (measured_from - back).as_secs_f64(),
        after.1,
        after.0,
        count_status(402),
        count_status(429),
        count_status(503)
    ));
    record.say(&format!(
        "tokens of all requests served: at most {} of {} prepaid by the tenants that sent them",
        served as u64 * (PROMPT_TOKENS + OUTPUT_TOKENS),
        ACTIVE_TENANTS as u64 * PREPAID_TOKENS
    ));
    drop(statuses);
    let was_served = baseline.0 > 0 && baseline.1 * 4 >= baseline.0;
    if !was_served || after.0 == 0 {
        cannot_run("too little was served before the disruption");
    }
    let is_broken = after.1 * 4 < after.0;
    record.say(if is_broken {
        "RECOVER broken"
    } else {
        "RECOVER held"
    });
    drop(present);
    drop(new);
    drop(steady);
    finish(i32::from(is_broken));
}
