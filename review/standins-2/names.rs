//! Case: a version of the configuration takes a key away and adds a customer whose name has a space.
//! The routers refuse the whole version, and all later ones.
//!
//! With `TROUBLE=0` the name of the new customer has a hyphen.
#[path = "common.rs"]
mod common;

use common::*;
use std::path::Path;
use std::thread;
use std::time::Duration;

/// `config_apply_ms` of the pages.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// Time after the acknowledgement at which the requests are sent; twice that and a second more.
const WAIT: Duration = Duration::from_millis(5_000);
/// Requests with each key at each router.
const REQUESTS: usize = 10;

fn config(version: u64, tenants: &str, routes: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"chat\",\"host\":\"site.example\",\
         \"path_prefix\":\"/chat/\",\"type\":\"streaming\",\"timeout_ms\":3000,\"slo_ms\":400,\
         \"priority\":2,\"service\":\"pool\",\"max_attempts\":1,\"public\":false,\"sticky\":true,\
         \"resumable\":false,\"gap_aim_ms\":300}}{routes}],\"services\":[{{\"name\":\"pool\",\
         \"health_path\":\"/healthz\",\"max_conns\":310,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{tenants}]}}"
    )
}

fn main() {
    let path = std::env::args()
        .nth(1)
        .unwrap_or_else(|| cannot_run("no record file"));
    let record = Record::new(Path::new(&path));
    let folder = work_folder("names");
    let has_trouble = has_trouble();
    let new_name = if has_trouble {
        "Paju Bindery"
    } else {
        "Paju-Bindery"
    };
    record.say(&format!(
        "trouble: {has_trouble}; the new customer is named {new_name:?}"
    ));
    let store = Store::start(1_048_576);
    let replica = Replica::start("i-1", 3, Duration::from_millis(5), &record);
    store.put("servers", "i-1", &replica.entry("pool", 48));
    let old = "{\"name\":\"goyang\",\"api_keys\":[\"key-kept\",\"key-taken-away\"]}";
    store.put("config", "main", &config(1, old, ""));
    let routers: Vec<Router> = ["a", "b"]
        .iter()
        .map(|zone| {
            let addresses = RouterAddresses::new(&format!("edge-{zone}"), zone, "127.0.0.1");
            Router::start(addresses, store.address, &folder)
        })
        .collect();
    routers.iter().for_each(Router::wait_ready);
    thread::sleep(Duration::from_secs(3));

    let mut number = 0_u64;
    // Sends requests with a key to a path at each router, and returns how many a replica ran, how
    // many were answered with 200, and how many with 401.
    let mut send = |key: &str, path: &str| {
        let (mut runs, mut served, mut denied) = (0, 0, 0);
        for router in &routers {
            for _ in 0..REQUESTS {
                number += 1;
                let attempt = format!("{:016x}", 0xe000_0000_u64 + number);
                let head = format!(
                    "POST /{path}/2f HTTP/1.1\r\nHost: site.example\r\n\
                     Currantlever-Attempt-Id: {attempt}\r\nCurrantlever-Deadline-Ms: 3000\r\n\
                     Authorization: Token {key}\r\nConnection: close\r\n"
                );
                let address = router.addresses.callers;
                let answer = call(address, &head, b"x", Duration::from_secs(4));
                let status = answer.map_or(0, |answer| answer.status());
                record.line(&format!(
                    "request {attempt} /{path}/ with {key} to {address}: {status}"
                ));
                let seen = replica.runs.lock().unwrap();
                runs += usize::from(seen.iter().any(|(_, run)| *run == attempt));
                served += usize::from(status == 200);
                denied += usize::from(status == 401);
            }
        }
        (runs, served, denied)
    };
    let all = 2 * REQUESTS;
    let before = send("key-taken-away", "chat");
    record.say(&format!(
        "version 1, key to be taken away: {} of {all} run",
        before.0
    ));
    let new = format!(
        "{{\"name\":\"goyang\",\"api_keys\":[\"key-kept\"]}},\
         {{\"name\":\"{new_name}\",\"api_keys\":[\"key-new\"]}}"
    );
    store.put("config", "main", &config(2, &new, ""));
    record.say("version 2 acknowledged by the store");
    thread::sleep(WAIT);
    let taken = send("key-taken-away", "chat");
    let added = send("key-new", "chat");
    let kept = send("key-kept", "chat");
    record.say(&format!(
        "later than {} ms after that: key taken away: {} of {all} run; new key: {} of {all} answered 401; \
         kept key: {} of {all} run",
        CONFIG_APPLY.as_millis(),
        taken.0,
        added.2,
        kept.0
    ));
    // A later version changes something else.
    let route = ",{\"name\":\"late\",\"host\":\"site.example\",\"path_prefix\":\"/late/\",\
         \"type\":\"streaming\",\"timeout_ms\":3000,\"slo_ms\":400,\"priority\":2,\
         \"service\":\"pool\",\"max_attempts\":1,\"public\":false,\"sticky\":true,\
         \"resumable\":false,\"gap_aim_ms\":300}";
    store.put("config", "main", &config(3, &new, route));
    thread::sleep(WAIT);
    let late = send("key-kept", "late");
    record.say(&format!("version 3, a new route: {} of {all} run", late.0));
    for line in routers[0]
        .log()
        .lines()
        .filter(|line| line.contains("configuration"))
    {
        record.line(line);
    }
    if before.0 < all || kept.0 < all {
        cannot_run("too little was served");
    }
    let is_broken = taken.0 > 0 || added.2 > 0;
    record.say(if is_broken {
        "CONFIG broken"
    } else {
        "CONFIG held"
    });
    drop(routers);
    finish(i32::from(is_broken));
}
