//! All processes are killed, and the store comes back from a copy some seconds old, while one tenant
//! sends many times its usual.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::client::{send, Request};
use crate::replica::{Behaviour, Replica};
use crate::routers::{Folder, Router};
use crate::store::Store;
use crate::{is_troubled, Record, Verdict};

const KEY: &str = "n2ctnfzs989anu6wsjnb";
const PREPAID: u64 = 600_000;
const PROMPT_TOKENS: u64 = 1_000;
const EVENTS: u64 = 100;
/// Tokens that an event of a stream holds.
const STRIDE: u64 = 5;
/// Time between two requests of a usual second, and for how long it is usual.
const USUAL_PAUSE: Duration = Duration::from_millis(165);
const USUAL_TIME: Duration = Duration::from_secs(10);
/// Largest factor of `hot_tenant` in the site file.
const HOT: f64 = 7.5;
/// Time from the copy to the loss of all processes.
const COPY_AGE: Duration = Duration::from_secs(5);
/// Time for which the store is away.
const AWAY: Duration = Duration::from_secs(1);
/// Refusals in a row after which the budget counts as used up.
const REFUSALS: usize = 40;

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-check\",\"host\":\"review.example\",\
         \"path_prefix\":\"/check/\",\"type\":\"streaming\",\"timeout_ms\":3000,\"slo_ms\":400,\
         \"priority\":2,\"service\":\"lever-pool\",\"max_attempts\":1,\"public\":false,\
         \"sticky\":true,\"resumable\":false,\"gap_aim_ms\":300}}],\
         \"services\":[{{\"name\":\"lever-pool\",\"health_path\":\"/healthz\",\"max_conns\":370,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\"kv_capacity\":492831,\
         \"stride\":{STRIDE},\"models\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"],\"priority\":1,\
         \"prepaid\":{PREPAID}}}]}}"
    )
}

fn stream(runs: Arc<AtomicU64>) -> Arc<Behaviour> {
    Arc::new(move |stream, request| {
        let attempt = request
            .header("Currantlever-Attempt-Id")
            .unwrap_or("")
            .to_owned();
        runs.fetch_add(1, Ordering::SeqCst);
        let mut body = String::new();
        for id in 1..=EVENTS {
            body += &format!("id: {id}\ndata: event {id} of {EVENTS}\n\n");
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
             Currantlever-Attempt-Id: {attempt}\r\n\
             Currantlever-Replica-Signature: {attempt}.{EVENTS}\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes())?;
        stream.write_all(body.as_bytes())?;
        Ok(true)
    })
}

/// Sends one request and returns its status and the tokens that were delivered.
fn send_one(router: &Router, number: usize) -> (u16, u64) {
    let headers = format!(
        "Currantlever-Model: m\r\nCurrantlever-Token-Usage: {PROMPT_TOKENS},{}\r\n\
         Currantlever-Prefix-Hash: 5c1e07a2:100,91bd{number:04x}:900\r\n",
        EVENTS * STRIDE
    );
    let request = Request {
        method: "POST",
        path: "/check/2f",
        attempt: format!("9c41d07be2{number:06x}"),
        key: KEY,
        headers: &headers,
        body: "{}",
        deadline_ms: 3_000,
    };
    let Some(answer) = send(router.callers, &request) else {
        return (0, 0);
    };
    if answer.status != 200 {
        return (answer.status, 0);
    }
    let events = String::from_utf8_lossy(&answer.body)
        .matches("\n\n")
        .count();
    (200, events as u64 * STRIDE)
}

pub fn run(record: &Arc<Record>) -> Verdict {
    let folder = Folder::create();
    let store = Store::start_with_eras();
    store.put("config", "main", &config());
    let runs = Arc::new(AtomicU64::new(0));
    let replica = Replica::start("i-7f3a91c2", stream(Arc::clone(&runs)));
    replica.register(&store, "lever-pool", "floripa", 64);
    let zones = ["floripa", "joinville", "poa"];
    let mut routers: Vec<Router> = zones
        .iter()
        .map(|zone| Router::start(&folder.0, &format!("edge-{zone}-1"), zone, store.address))
        .collect();
    if !routers
        .iter()
        .all(|router| router.wait_ready(Duration::from_secs(20)))
    {
        return Verdict::NotRun("a router is not ready".into());
    }
    std::thread::sleep(Duration::from_secs(6));
    let mut number = 0;
    let mut delivered = 0;
    let mut served = 0;
    let mut send_next = |routers: &[Router], served: &mut usize| {
        let (status, tokens) = send_one(&routers[number % routers.len()], number);
        number += 1;
        delivered += tokens;
        *served += usize::from(status == 200);
        (status, delivered)
    };
    let mut send_for = |time: Duration, pause: Duration, served: &mut usize| {
        let end = Instant::now() + time;
        let mut next = Instant::now();
        while Instant::now() < end {
            send_next(&routers, served);
            next += pause;
            std::thread::sleep(next.saturating_duration_since(Instant::now()));
        }
    };
    send_for(USUAL_TIME, USUAL_PAUSE, &mut served);
    let copy = store.copy();
    record.line(&format!(
        "the copy is made; {served} requests were served before"
    ));
    let before = served;
    send_for(COPY_AGE, USUAL_PAUSE.div_f64(HOT), &mut served);
    record.line(&format!(
        "{} requests were served after the copy",
        served - before
    ));
    if is_troubled() {
        record.line("SIGKILL to all routers; the store is away");
        for router in &mut routers {
            router.kill();
        }
        store.set_away(true);
        std::thread::sleep(AWAY);
        store.restore(copy);
        store.put("config", "main", &config());
        record.line("the store is back from the copy; the routers start again");
        for router in &mut routers {
            router.restart();
        }
        if !routers
            .iter()
            .all(|router| router.wait_ready(Duration::from_secs(20)))
        {
            return Verdict::NotRun("a router is not ready again".into());
        }
        std::thread::sleep(Duration::from_secs(6));
    }
    let mut refusals = 0;
    let end = Instant::now() + Duration::from_secs(60);
    let mut sum = 0;
    while refusals < REFUSALS && Instant::now() < end {
        let (status, delivered) = send_next(&routers, &mut served);
        sum = delivered;
        if status == 200 {
            refusals = 0;
        } else {
            refusals += 1;
            std::thread::sleep(Duration::from_millis(100));
        }
    }
    let consumed = runs.load(Ordering::SeqCst) * PROMPT_TOKENS + sum;
    record.line(&format!(
        "{served} requests were served; {consumed} tokens consumed of {PREPAID} prepaid"
    ));
    if served == 0 {
        return Verdict::NotRun("no request was served".into());
    }
    if consumed > PREPAID {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
