//! Case 11: long entries of another writer among those of the replicas take the memory of all routers.

#[path = "lib.rs"]
#[allow(dead_code)]
mod lib;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use lib::{call, plain_replica, Deployment, Router, Script, Server, Store};

/// As on the sheet of hanji-coop.
const MEMORY_MB: u32 = 110;
const ENTRIES: usize = 60;
/// Below `value_bytes`, 1,048,576.
const ENTRY_BYTES: usize = 1_000_000;
const ENTRY_GAP: Duration = Duration::from_millis(500);
const ENTRIES_FROM: Duration = Duration::from_secs(4);
const FINAL_FAULT: Duration = Duration::from_secs(38);
const FINAL_DOWN_TIME: Duration = Duration::from_millis(1_200);
const RECOVER: Duration = Duration::from_secs(12);
const SERVE_TIME: Duration = Duration::from_secs(63);
/// Pause before a process is started again that had exceeded its memory.
const RESTART_PAUSE: Duration = Duration::from_millis(500);

fn main() {
    let script = Script::begin();
    let result = run(&script);
    script.end(result)
}

/// What the platform does on one machine: it kills the process in the final fault, and whenever it
/// exceeds its memory, and starts it again.
fn run_machine(
    mut router: Router,
    root: &std::path::Path,
    began: Instant,
    seen: &Mutex<Vec<(u64, u32)>>,
    index: usize,
) {
    let mut is_final_done = false;
    while began.elapsed() < SERVE_TIME {
        let memory = router.memory_bytes();
        let is_over = memory > u64::from(MEMORY_MB) << 20;
        {
            let mut seen = seen.lock().expect("a lock");
            seen[index].0 = seen[index].0.max(memory);
            seen[index].1 += u32::from(is_over);
        }
        if !is_final_done && began.elapsed() >= FINAL_FAULT {
            is_final_done = true;
            router.kill();
            thread::sleep(FINAL_DOWN_TIME);
            router.restart(root);
        } else if is_over {
            router.kill();
            thread::sleep(RESTART_PAUSE);
            router.restart(root);
        }
        thread::sleep(Duration::from_millis(5));
    }
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
    for replica in &replicas {
        store.put(
            "servers",
            &replica.id,
            &format!(
                "{{\"service\":\"order-ledger\",\"address\":\"{}\",\"zone\":\"a\",\
                 \"version\":\"v1\",\"slots\":6,\"phase\":\"ready\",\"cold_left_ms\":0,\
                 \"sequence\":4,\"born\":1765000000000}}",
                replica.address
            ),
        );
    }
    let deployment =
        Deployment { root: &script.root, folder: &script.folder, store: store.address };
    let mut routers: Vec<Router> = [("edge-a-1", "a"), ("edge-b-1", "b"), ("edge-b-2", "b")]
        .map(|(name, zone)| deployment.start_with(name, zone, MEMORY_MB))
        .into();
    for router in &routers {
        if !router.wait_ready(Duration::from_secs(15)) {
            return Err(format!("{} is not ready", router.name));
        }
    }
    thread::sleep(Duration::from_secs(4));
    script.note("all routers are ready; clients begin");
    let began = Instant::now();
    let results: Arc<Mutex<Vec<(Duration, u16)>>> = Arc::default();
    let next = Arc::new(AtomicUsize::new(0));
    let frontends: Vec<_> = routers.iter().map(|router| router.frontend).collect();
    let clients: Vec<_> = (0..6)
        .map(|_| {
            let (results, next) = (Arc::clone(&results), Arc::clone(&next));
            let frontends = frontends.clone();
            thread::spawn(move || {
                while began.elapsed() < SERVE_TIME {
                    let number = next.fetch_add(1, Ordering::Relaxed) + 1;
                    let attempt = format!("{number:016x}");
                    let headers = [
                        ("Host", "orders.example"),
                        ("Currantlever-Attempt-Id", attempt.as_str()),
                        ("Currantlever-Deadline-Ms", "1500"),
                        ("Authorization", "Token key-of-bindery"),
                    ];
                    let at = began.elapsed();
                    let address = frontends[number % frontends.len()];
                    let patience = Duration::from_millis(1_500);
                    let got = call(address, "POST", "/orders/paper", &headers, b"sheets=40", patience);
                    let is_good = got.status == 200 && got.is_signed && got.is_whole;
                    let status = if got.status == 200 && !is_good { 0 } else { got.status };
                    results.lock().expect("a lock").push((at, status));
                    thread::sleep(Duration::from_millis(100));
                }
            })
        })
        .collect();
    let names: Vec<String> = routers.iter().map(|router| router.name.clone()).collect();
    // Of each machine: the highest memory and the number of ends for it.
    let seen: Arc<Mutex<Vec<(u64, u32)>>> = Arc::new(Mutex::new(vec![(0, 0); names.len()]));
    let platforms: Vec<_> = routers
        .drain(..)
        .enumerate()
        .map(|(index, router)| {
            let (seen, root) = (Arc::clone(&seen), script.root.clone());
            thread::spawn(move || run_machine(router, &root, began, &seen, index))
        })
        .collect();
    let note = "x".repeat(ENTRY_BYTES);
    let wait_until = |at: Duration| thread::sleep(at.saturating_sub(began.elapsed()));
    let memory = || {
        let seen = seen.lock().expect("a lock");
        format!("{:?}", seen.iter().map(|(bytes, ends)| (bytes >> 20, *ends)).collect::<Vec<_>>())
    };
    if script.has_trouble {
        for written in 0..ENTRIES {
            wait_until(ENTRIES_FROM + ENTRY_GAP * written as u32);
            store.put(
                "servers",
                &format!("archive-{written:03}"),
                &format!("{{\"service\":\"press-archive\",\"pages\":\"{note}\"}}"),
            );
        }
        thread::sleep(Duration::from_millis(500));
        script.note(&format!("{ENTRIES} entries of another writer; MiB at most and ends: {}", memory()));
    }
    wait_until(FINAL_FAULT);
    script.note("the final fault: all processes are killed");
    let back = FINAL_FAULT + FINAL_DOWN_TIME;
    wait_until(back);
    script.note("the machines are back");
    for client in clients {
        let _ = client.join();
    }
    for platform in platforms {
        let _ = platform.join();
    }
    script.note(&format!("{names:?}: MiB at most, and ends for memory: {}", memory()));
    let results = results.lock().expect("a lock").clone();
    let share = |name: &str, from: Duration, to: Duration| {
        let mut by_status: BTreeMap<u16, usize> = BTreeMap::new();
        for (_, status) in results.iter().filter(|(at, _)| *at >= from && *at < to) {
            *by_status.entry(*status).or_default() += 1;
        }
        let all: usize = by_status.values().sum();
        let served = by_status.get(&200).copied().unwrap_or(0);
        script.note(&format!("{name}: {served} of {all} requests were served; {by_status:?}"));
        (served, all)
    };
    let (served_before, all_before) = share("before the final fault", Duration::ZERO, FINAL_FAULT);
    let (served_after, all_after) =
        share("later than recover_s after the machines were back", back + RECOVER, SERVE_TIME);
    if served_before * 4 < all_before || all_after == 0 {
        return Err("too little was served before the final fault".to_owned());
    }
    Ok(served_after * 4 < all_after)
}
