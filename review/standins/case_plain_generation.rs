//! One tenant sends many times its usual on a route whose answers are not streams.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use crate::client::{send, Request};
use crate::http::BodyEnd;
use crate::replica::{Behaviour, Replica};
use crate::routers::{Folder, Router};
use crate::store::Store;
use crate::{is_troubled, Record, Verdict};

const KEY: &str = "n2ctnfzs989anu6wsjnb";
const PREPAID: u64 = 60_000;
const PROMPT_TOKENS: u64 = 400;
const OUTPUT_TOKENS: u64 = 400;
/// Requests of a usual day, which take 40 in 100 of what is paid.
const USUAL: u64 = 30;
/// Largest factor of `hot_tenant` in the site file.
const HOT: f64 = 7.5;

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-tag\",\"host\":\"review.example\",\
         \"path_prefix\":\"/tag/\",\"type\":\"non_idempotent\",\"timeout_ms\":4000,\"slo_ms\":1000,\
         \"priority\":1,\"service\":\"lever-pool\",\"max_attempts\":1,\"public\":false,\
         \"sticky\":true,\"resumable\":false}}],\
         \"services\":[{{\"name\":\"lever-pool\",\"health_path\":\"/healthz\",\"max_conns\":370,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\"kv_capacity\":492831,\
         \"stride\":5,\"models\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"],\"priority\":1,\
         \"prepaid\":{PREPAID}}}]}}"
    )
}

/// Answers with the whole output at once, four letters for each token.
fn generate(record: Arc<Record>, runs: Arc<AtomicU64>) -> Arc<Behaviour> {
    Arc::new(move |stream, request| {
        let attempt = request
            .header("Currantlever-Attempt-Id")
            .unwrap_or("")
            .to_owned();
        let usage = request
            .header("Currantlever-Token-Usage")
            .unwrap_or("")
            .to_owned();
        runs.fetch_add(1, Ordering::SeqCst);
        record.line(&format!("replica runs {attempt}, Token-Usage {usage}"));
        std::thread::sleep(Duration::from_millis(20));
        let body = "word".repeat(usize::try_from(OUTPUT_TOKENS).unwrap_or(0));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nCurrantlever-Attempt-Id: {attempt}\r\n\
             Currantlever-Replica-Signature: {attempt}.{OUTPUT_TOKENS}\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        stream.write_all(head.as_bytes())?;
        stream.write_all(body.as_bytes())?;
        Ok(true)
    })
}

pub fn run(record: &Arc<Record>) -> Verdict {
    let folder = Folder::create();
    let store = Store::start();
    store.put("config", "main", &config());
    let runs = Arc::new(AtomicU64::new(0));
    let replica = Replica::start(
        "i-7f3a91c2",
        generate(Arc::clone(record), Arc::clone(&runs)),
    );
    replica.register(&store, "lever-pool", "floripa", 64);
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
    std::thread::sleep(Duration::from_secs(6));
    #[allow(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss
    )]
    let count = if is_troubled() {
        (USUAL as f64 * HOT) as u64
    } else {
        USUAL
    };
    record.line(&format!("{count} requests, prepaid {PREPAID}"));
    let mut delivered = 0;
    for number in 0..count {
        let attempt = format!("9c41d07be2{number:06x}");
        let request = Request {
            method: "POST",
            path: "/tag/2f",
            attempt: attempt.clone(),
            key: KEY,
            headers: &format!(
                "Currantlever-Model: m\r\n\
                 Currantlever-Token-Usage: {PROMPT_TOKENS},{OUTPUT_TOKENS}\r\n\
                 Currantlever-Prefix-Hash: 5c1e07a2:100,91bd{number:04x}:300\r\n"
            ),
            body: "{}",
            deadline_ms: 4_000,
        };
        let router = routers[usize::try_from(number).unwrap_or(0) % routers.len()].callers;
        let answer = send(router, &request);
        let status = answer.as_ref().map_or(0, |answer| answer.status);
        if let Some(answer) = answer.filter(|answer| answer.status == 200) {
            if answer.end == BodyEnd::Stated {
                delivered += answer.body.len() as u64 / 4;
            }
        }
        record.line(&format!("caller: {attempt} answered {status}"));
    }
    let consumed = runs.load(Ordering::SeqCst) * PROMPT_TOKENS + delivered;
    record.line(&format!("consumed {consumed} tokens of {PREPAID} prepaid"));
    if runs.load(Ordering::SeqCst) == 0 {
        return Verdict::NotRun("no request was served".into());
    }
    if consumed > PREPAID {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
