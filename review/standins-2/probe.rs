//! Case: several times, for some seconds, replicas fail part of their requests with an error and hang in
//! part of the others. Then they are sound again, and no request is served.
//!
//! With `TROUBLE=0` the replicas stay sound.
#[path = "common.rs"]
mod common;

use common::*;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Share of the requests that a replica fails with 500, in hundredths (`srv_grey` errors, x = 0.45).
const FAILED_PERCENT: u64 = 45;
/// Share of the others in which it hangs (`srv_grey` hang, x = 0.45).
const HANGING_PERCENT: u64 = 45;
/// Length of one disruption, and the pause before the next.
const DISRUPTION: Duration = Duration::from_millis(6_000);
const PAUSE: Duration = Duration::from_millis(500);
const DISRUPTIONS: usize = 8;
const BASELINE: Duration = Duration::from_secs(6);
/// Bound of the pages.
const RECOVER: Duration = Duration::from_secs(12);
const MEASURED: Duration = Duration::from_secs(8);
/// Pause between two requests at one router.
const REQUEST_PAUSE: Duration = Duration::from_millis(40);
/// A stream has four events.
const EVENTS: u32 = 4;
const EVENT_PAUSE: Duration = Duration::from_millis(15);

const CONFIG: &str = "{\"version\":1,\"routes\":[{\"name\":\"tagging\",\"host\":\"site.example\",\
    \"path_prefix\":\"/tagging/\",\"type\":\"streaming\",\"timeout_ms\":3000,\"slo_ms\":400,\
    \"priority\":2,\"service\":\"pool\",\"max_attempts\":1,\"public\":false,\"sticky\":true,\
    \"resumable\":false,\"gap_aim_ms\":300}],\"services\":[{\"name\":\"pool\",\
    \"health_path\":\"/healthz\",\"max_conns\":310,\"protocol\":\"h1\",\"tls\":false,\
    \"engine\":{\"slots\":48,\"stride\":6,\"models\":[{\"name\":\"m\"}]}}],\
    \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
    \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

/// Numbers that are the same in each run.
struct Random(AtomicU64);

impl Random {
    fn below(&self, bound: u64) -> u64 {
        let mut next = self.0.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        next = (next ^ (next >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        next = (next ^ (next >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (next ^ (next >> 31)) % bound
    }
}

/// Starts a replica that fails part of its requests with 500 while it is told to.
fn start_replica(id: &str, is_grey: &Arc<AtomicBool>, record: &Record) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("replica");
    let address = listener.local_addr().unwrap();
    let (id, is_grey, record) = (id.to_owned(), Arc::clone(is_grey), record.clone());
    let random = Random(AtomicU64::new(id.len() as u64 + u64::from(address.port())));
    serve(listener, move |mut reader| {
        while let Some(request) = reader.message() {
            let attempt = request
                .header("currantlever-attempt-id")
                .unwrap_or("")
                .to_owned();
            if request.header("currantlever-expect-replica") != Some(id.as_str()) {
                let text = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nCurrantlever-Replica-Id: {id}\r\n\
                     Currantlever-Attempt-Id: {attempt}\r\nContent-Length: 0\r\n\r\n"
                );
                if reader.stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            if is_grey.load(Ordering::Relaxed) && random.below(100) < FAILED_PERCENT {
                record.line(&format!("{id} fails {attempt}"));
                let text = format!(
                    "HTTP/1.1 500 Internal Server Error\r\nCurrantlever-Attempt-Id: {attempt}\r\n\
                     Currantlever-Replica-Signature: {id}.{attempt}\r\nContent-Length: 0\r\n\r\n"
                );
                if reader.stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            record.line(&format!("{id} runs {attempt}"));
            if is_grey.load(Ordering::Relaxed) && random.below(100) < HANGING_PERCENT {
                record.line(&format!("{id} hangs in {attempt}"));
                // Until the router closes the connection.
                let _ = reader.bytes(1);
                return;
            }
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
                 Currantlever-Attempt-Id: {attempt}\r\n\
                 Currantlever-Replica-Signature: {id}.{attempt}\r\n\
                 Transfer-Encoding: chunked\r\n\r\n"
            );
            if reader.stream.write_all(head.as_bytes()).is_err() {
                return;
            }
            for event in 1..=EVENTS {
                thread::sleep(EVENT_PAUSE);
                let text = format!("id: {event}\ndata: {attempt}.{event}\n\n");
                let chunk = format!("{:x}\r\n{text}\r\n", text.len());
                if reader.stream.write_all(chunk.as_bytes()).is_err() {
                    return;
                }
            }
            if reader.stream.write_all(b"0\r\n\r\n").is_err() {
                return;
            }
        }
    });
    address
}

struct Outcome {
    sent: Duration,
    status: u16,
    is_served: bool,
}

fn send_request(router: SocketAddr, attempt: &str) -> (u16, bool) {
    let head = format!(
        "POST /tagging/2f HTTP/1.1\r\nHost: site.example\r\nCurrantlever-Attempt-Id: {attempt}\r\n\
         Currantlever-Model: m\r\nCurrantlever-Token-Usage: 1800,24\r\n\
         Currantlever-Prefix-Hash: 5c1e07a2:568,{attempt}:1232\r\n\
         Currantlever-Deadline-Ms: 3000\r\nConnection: close\r\n"
    );
    let answer = call(router, &head, b"x", Duration::from_secs(4));
    let status = answer.as_ref().map_or(0, Message::status);
    let is_signed =
        answer.is_some_and(|answer| answer.header("currantlever-replica-signature").is_some());
    (status, status == 200 && is_signed)
}

fn count(outcomes: &Mutex<Vec<Outcome>>, from: Duration, to: Duration) -> (usize, usize) {
    let outcomes = outcomes.lock().unwrap();
    let sent = outcomes
        .iter()
        .filter(|outcome| (from..to).contains(&outcome.sent));
    sent.fold((0, 0), |(all, served), outcome| {
        (all + 1, served + usize::from(outcome.is_served))
    })
}

fn main() {
    let path = std::env::args()
        .nth(1)
        .unwrap_or_else(|| cannot_run("no record file"));
    let record = Record::new(Path::new(&path));
    let folder = work_folder("probe");
    let has_trouble = has_trouble();
    record.say(&format!("trouble: {has_trouble}"));

    let store = Store::start(1_048_576);
    let is_grey = Arc::new(AtomicBool::new(false));
    for id in ["i-1", "i-2"] {
        let address = start_replica(id, &is_grey, &record);
        store.put("servers", id, &server_entry("pool", address, 48));
    }
    store.put("config", "main", CONFIG);
    let routers: Vec<Router> = ["a", "b"]
        .iter()
        .map(|zone| {
            let addresses = RouterAddresses::new(&format!("edge-{zone}"), zone, "127.0.0.1");
            Router::start(addresses, store.address, &folder)
        })
        .collect();
    routers.iter().for_each(Router::wait_ready);
    thread::sleep(Duration::from_secs(3));

    let outcomes = Arc::new(Mutex::new(Vec::new()));
    let is_over = Arc::new(AtomicBool::new(false));
    let number = Arc::new(AtomicU64::new(0));
    for router in &routers {
        let address = router.addresses.callers;
        let (outcomes, is_over) = (Arc::clone(&outcomes), Arc::clone(&is_over));
        let (number, record) = (Arc::clone(&number), record.clone());
        thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                let attempt = format!(
                    "{:016x}",
                    0xb000_0000 + number.fetch_add(1, Ordering::Relaxed)
                );
                let (outcomes, record) = (Arc::clone(&outcomes), record.clone());
                thread::spawn(move || {
                    let sent = record.elapsed();
                    let (status, is_served) = send_request(address, &attempt);
                    record.line(&format!(
                        "request {attempt} to {address}: {status}, served: {is_served}"
                    ));
                    outcomes.lock().unwrap().push(Outcome {
                        sent,
                        status,
                        is_served,
                    });
                });
                thread::sleep(REQUEST_PAUSE);
            }
        });
    }
    let from = record.elapsed();
    thread::sleep(BASELINE);
    let before = count(&outcomes, from, from + BASELINE);
    record.say(&format!(
        "before: {} of {} requests served",
        before.1, before.0
    ));

    for disruption in 1..=DISRUPTIONS {
        let from = record.elapsed();
        is_grey.store(has_trouble, Ordering::Relaxed);
        thread::sleep(DISRUPTION);
        is_grey.store(false, Ordering::Relaxed);
        thread::sleep(PAUSE);
        let (all, served) = count(&outcomes, from, from + DISRUPTION);
        record.say(&format!(
            "disruption {disruption}: {served} of {all} requests served"
        ));
    }
    record.say("the replicas are sound again");
    thread::sleep(RECOVER);
    let from = record.elapsed();
    thread::sleep(MEASURED);
    let to = record.elapsed();
    is_over.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_secs(4));
    let after = count(&outcomes, from, to);
    let refused = outcomes
        .lock()
        .unwrap()
        .iter()
        .filter(|outcome| (from..to).contains(&outcome.sent) && outcome.status == 503)
        .count();
    record.say(&format!(
        "sent later than {} s after that: {} of {} requests served, {refused} answered 503",
        RECOVER.as_secs(),
        after.1,
        after.0
    ));
    if before.1 * 4 < before.0 || before.0 == 0 || after.0 == 0 {
        cannot_run("too little was served before the disruption");
    }
    let is_broken = after.1 * 4 < after.0;
    record.say(if is_broken {
        "RECOVER broken"
    } else {
        "RECOVER held"
    });
    drop(routers);
    finish(i32::from(is_broken));
}
