//! The key of the only tenant is taken away, and then the tenant.

use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::client::{send, Request};
use crate::replica::{Behaviour, Replica};
use crate::routers::{Folder, Router};
use crate::store::Store;
use crate::{is_troubled, Record, Verdict};

const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// A key that no configuration ever held.
const UNKNOWN_KEY: &str = "q7xw2bd41mm0zr8yt5ch";
/// `config_apply_ms` and `contact_ms` of the deployment, together.
const APPLIED: Duration = Duration::from_millis(2_000 + 3_000);

fn config(version: u64, tenants: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-book\",\"host\":\"review.example\",\
         \"path_prefix\":\"/book/\",\"type\":\"non_idempotent\",\"timeout_ms\":2000,\"slo_ms\":300,\
         \"priority\":2,\"service\":\"lease-desk\",\"max_attempts\":1,\"public\":false,\
         \"sticky\":false,\"resumable\":false}}],\
         \"services\":[{{\"name\":\"lease-desk\",\"health_path\":\"/healthz\",\"max_conns\":110,\
         \"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{tenants}]}}"
    )
}

fn tenant(keys: &str) -> String {
    format!("{{\"name\":\"hule930\",\"api_keys\":[{keys}],\"priority\":1,\"prepaid\":3370209}}")
}

fn book(record: Arc<Record>, runs: Arc<Mutex<Vec<String>>>) -> Arc<Behaviour> {
    Arc::new(move |stream, request| {
        let attempt = request
            .header("Currantlever-Attempt-Id")
            .unwrap_or("")
            .to_owned();
        let tenant = request
            .header("Currantlever-Tenant")
            .unwrap_or("none")
            .to_owned();
        record.line(&format!("replica runs {attempt}, tenant {tenant}"));
        runs.lock().unwrap().push(attempt.clone());
        let answer = format!(
            "HTTP/1.1 200 OK\r\nCurrantlever-Attempt-Id: {attempt}\r\n\
             Currantlever-Replica-Signature: {attempt}.2\r\nContent-Length: 2\r\n\r\nok"
        );
        stream.write_all(answer.as_bytes())?;
        Ok(true)
    })
}

struct Caller<'a> {
    record: &'a Record,
    routers: &'a [Router],
    count: usize,
}

impl Caller<'_> {
    /// Sends a request with a key to each router. Returns the attempts.
    fn send(&mut self, what: &str, key: &str) -> Vec<String> {
        let mut attempts = Vec::new();
        for router in self.routers {
            self.count += 1;
            let attempt = format!("9c41d07be2a35{:03x}", self.count);
            let request = Request {
                method: "POST",
                path: "/book/2f",
                attempt: attempt.clone(),
                key,
                headers: "",
                body: "{}",
                deadline_ms: 4_000,
            };
            let status = send(router.callers, &request).map_or(0, |answer| answer.status);
            self.record.line(&format!(
                "caller: {attempt} with {what} to {} answered {status}",
                router.name
            ));
            attempts.push(attempt);
        }
        attempts
    }
}

pub fn run(record: &Arc<Record>) -> Verdict {
    let folder = Folder::create();
    let store = Store::start();
    store.put("config", "main", &config(7, &tenant(&format!("\"{KEY}\""))));
    let runs = Arc::new(Mutex::new(Vec::new()));
    let replica = Replica::start("i-7f3a91c2", book(Arc::clone(record), Arc::clone(&runs)));
    replica.register(&store, "lease-desk", "floripa", 6);
    let zones = ["floripa", "joinville", "poa"];
    let routers: Vec<Router> = zones
        .iter()
        .map(|zone| Router::start(&folder.0, &format!("edge-{zone}-1"), zone, store.address))
        .collect();
    if !routers
        .iter()
        .all(|router| router.wait_ready(Duration::from_secs(20)))
    {
        return Verdict::NotRun("a router is not ready".into());
    }
    std::thread::sleep(Duration::from_secs(5));
    let mut caller = Caller {
        record,
        routers: &routers,
        count: 0,
    };
    let served = caller.send("the tenant's key", KEY);
    let mut refused = caller.send("a key that nobody ever held", UNKNOWN_KEY);
    if is_troubled() {
        record.line("the operator takes the only key away (version 8)");
        store.put("config", "main", &config(8, &tenant("")));
        std::thread::sleep(APPLIED);
        refused.extend(caller.send("the key that was taken away", KEY));
        record.line("the operator takes the tenant away too (version 9)");
        store.put("config", "main", &config(9, ""));
    }
    let applied_at = Instant::now() + APPLIED;
    std::thread::sleep(applied_at.saturating_duration_since(Instant::now()));
    if is_troubled() {
        refused.extend(caller.send("the key that was taken away", KEY));
    }
    refused.extend(caller.send("a key that nobody ever held", UNKNOWN_KEY));
    let runs = runs.lock().unwrap().clone();
    if !served.iter().all(|attempt| runs.contains(attempt)) {
        return Verdict::NotRun("the tenant's requests were not served".into());
    }
    let ran = refused
        .iter()
        .filter(|attempt| runs.contains(attempt))
        .count();
    record.line(&format!(
        "{ran} of {} requests ran whose key no configuration in force holds",
        refused.len()
    ));
    if ran > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
