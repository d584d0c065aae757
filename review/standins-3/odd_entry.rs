//! Case 12: an entry of another writer that lacks fields names no replica to use.

#[path = "lib.rs"]
#[allow(dead_code)]
mod lib;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use lib::{call, plain_replica, write_answer, Deployment, Script, Server, Store};

const SERVE_TIME: Duration = Duration::from_secs(12);
const ENTRY_AFTER: Duration = Duration::from_secs(4);

fn main() {
    let script = Script::begin();
    let result = run(&script);
    script.end(result)
}

fn run(script: &Script) -> Result<bool, String> {
    let store = Store::start();
    store.put(
        "config",
        "main",
        "{\"version\":7,\"routes\":[{\"name\":\"r-order\",\"host\":\"orders.example\",\
         \"path_prefix\":\"/orders/\",\"type\":\"non_idempotent\",\"timeout_ms\":1500,\"slo_ms\":300,\
         \"priority\":2,\"service\":\"order-ledger\",\"max_attempts\":1,\"public\":false,\
         \"sticky\":false,\"resumable\":false}],\"services\":[{\"name\":\"order-ledger\",\
         \"health_path\":\"/healthz\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}],\
         \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"bindery\",\
         \"api_keys\":[\"key-of-bindery\"],\"priority\":1}]}",
    );
    let replicas: Vec<Server> = (0..4)
        .map(|number| plain_replica(&format!("i-{number}"), Duration::from_millis(40)))
        .collect();
    for (number, replica) in replicas.iter().enumerate() {
        let zone = ["a", "b"][number % 2];
        store.put(
            "servers",
            &replica.id,
            &format!(
                "{{\"service\":\"order-ledger\",\"address\":\"{}\",\"zone\":\"{zone}\",\
                 \"version\":\"v1\",\"slots\":6,\"phase\":\"ready\",\"cold_left_ms\":0,\
                 \"sequence\":4,\"born\":1765000000000}}",
                replica.address
            ),
        );
    }
    // A program of another writer. It is no replica: it knows none of the platform's headers.
    let other = Server::start("staging-7", |server, request, writer| {
        server.record(request);
        write_answer(writer, 200, &[("Content-Type", "text/plain")], b"ok").is_ok()
    });
    let deployment =
        Deployment { root: &script.root, folder: &script.folder, store: store.address };
    let routers: Vec<_> = [("edge-a-1", "a"), ("edge-b-1", "b"), ("edge-b-2", "b")]
        .map(|(name, zone)| deployment.start(name, zone))
        .into();
    for router in &routers {
        if !router.wait_ready(Duration::from_secs(15)) {
            return Err(format!("{} is not ready", router.name));
        }
    }
    thread::sleep(Duration::from_secs(3));
    script.note("all routers are ready; clients begin");
    let began = Instant::now();
    let results: Arc<Mutex<Vec<(Duration, String, u16, bool)>>> = Arc::default();
    let next = Arc::new(AtomicUsize::new(0));
    let clients: Vec<_> = (0..6)
        .map(|client| {
            let (results, next) = (Arc::clone(&results), Arc::clone(&next));
            let address = routers[client % routers.len()].frontend;
            thread::spawn(move || {
                while began.elapsed() < SERVE_TIME {
                    let attempt = format!("{:016x}", next.fetch_add(1, Ordering::Relaxed) + 1);
                    let headers = [
                        ("Host", "orders.example"),
                        ("Currantlever-Attempt-Id", attempt.as_str()),
                        ("Currantlever-Deadline-Ms", "1500"),
                        ("Authorization", "Token key-of-bindery"),
                    ];
                    let at = began.elapsed();
                    let got = call(
                        address,
                        "POST",
                        "/orders/paper",
                        &headers,
                        b"sheets=40",
                        Duration::from_millis(1500),
                    );
                    let is_good = got.status == 200 && got.is_signed && got.is_whole;
                    results.lock().expect("a lock").push((at, attempt, got.status, is_good));
                    thread::sleep(Duration::from_millis(60));
                }
            })
        })
        .collect();
    thread::sleep(ENTRY_AFTER);
    if script.has_trouble {
        let spec = format!(
            "{{\"service\":\"order-ledger\",\"address\":\"{}\",\"zone\":\"a\",\"phase\":\"ready\"}}",
            other.address
        );
        script.note(&format!("another writer puts servers/staging-7: {spec}"));
        store.put("servers", "staging-7", &spec);
    }
    for client in clients {
        let _ = client.join();
    }
    drop(routers);
    let mut results = results.lock().expect("a lock").clone();
    results.sort();
    let mut by_status: BTreeMap<(bool, u16, bool), usize> = BTreeMap::new();
    for (at, _, status, is_good) in &results {
        *by_status.entry((*at >= ENTRY_AFTER, *status, *is_good)).or_default() += 1;
    }
    for ((is_after, status, is_good), count) in &by_status {
        let when = if *is_after { "after the entry" } else { "before the entry" };
        let good = if *is_good { "whole and signed" } else { "no success" };
        script.note(&format!("{when}: {count} requests got {status}, {good}"));
    }
    for replica in &replicas {
        script.note(&format!("replica {} ran {} requests", replica.id, replica.ran().len()));
    }
    let ran = other.ran();
    script.note(&format!("the other writer's program ran {} requests", ran.len()));
    for ran in ran.iter().take(5) {
        let attempt = ran.request.header("currantlever-attempt-id").unwrap_or_default();
        let got = results.iter().find(|(_, id, ..)| id == attempt);
        script.note(&format!(
            "  {} {} attempt {attempt}, body {:?}; its client got {:?}",
            ran.request.method,
            ran.request.target,
            String::from_utf8_lossy(&ran.request.body),
            got.map(|(_, _, status, _)| status)
        ));
    }
    let served = results.iter().filter(|(_, _, _, is_good)| *is_good).count();
    if served * 2 < results.len() {
        return Err(format!("only {served} of {} requests were served", results.len()));
    }
    Ok(!ran.is_empty())
}
