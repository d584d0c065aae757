//! A VM is killed through which another VM reaches a replica, while an answer without a length is
//! on its way.

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::client::{send, Request};
use crate::http::BodyEnd;
use crate::replica::{Behaviour, Replica};
use crate::routers::{Folder, Router};
use crate::store::Store;
use crate::{is_troubled, Record, Verdict};

const EVENTS: usize = 40;
const EVENT_PAUSE: Duration = Duration::from_millis(100);
const REQUESTS: usize = 6;
const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// States of a connection in the table of the operating system.
const ESTABLISHED: &str = "01";
const SYN_SENT: &str = "02";

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-survey\",\"host\":\"review.example\",\
         \"path_prefix\":\"/survey/\",\"type\":\"streaming\",\"timeout_ms\":15000,\"slo_ms\":1000,\
         \"priority\":1,\"service\":\"lever-pool\",\"max_attempts\":1,\"public\":false,\
         \"sticky\":true,\"resumable\":false,\"gap_aim_ms\":300}}],\
         \"services\":[{{\"name\":\"lever-pool\",\"health_path\":\"/healthz\",\"max_conns\":370,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\"kv_capacity\":492831,\
         \"stride\":5,\"models\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"],\"priority\":1,\
         \"prepaid\":3370209}}]}}"
    )
}

/// Answers with a stream of events that has no length and ends with its connection.
fn stream_without_length(record: Arc<Record>, begun: Arc<AtomicUsize>) -> Arc<Behaviour> {
    Arc::new(move |stream, request| {
        let attempt = request
            .header("Currantlever-Attempt-Id")
            .unwrap_or("")
            .to_owned();
        if request.target() == "/healthz" {
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")?;
            return Ok(true);
        }
        record.line(&format!("replica runs {attempt}"));
        begun.fetch_add(1, Ordering::SeqCst);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\
             Currantlever-Attempt-Id: {attempt}\r\nCurrantlever-Replica-Signature: {attempt}.{EVENTS}\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        for id in 1..=EVENTS {
            let event = format!("id: {id}\ndata: event {id} of {EVENTS}\n\n");
            if let Err(error) = stream.write_all(event.as_bytes()) {
                record.line(&format!(
                    "replica: connection of {attempt} lost at event {id}: {error}"
                ));
                return Err(error);
            }
            std::thread::sleep(EVENT_PAUSE);
        }
        record.line(&format!(
            "replica has sent all {EVENTS} events of {attempt} and closes"
        ));
        Ok(false)
    })
}

pub fn run(record: &Arc<Record>) -> Verdict {
    let folder = Folder::create();
    let store = Store::start();
    store.put("config", "main", &config());
    let begun = Arc::new(AtomicUsize::new(0));
    let behaviour = stream_without_length(Arc::clone(record), Arc::clone(&begun));
    let replica = Replica::start("i-7f3a91c2", behaviour);
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
    // Routers know one another and hold tokens after some seconds.
    std::thread::sleep(Duration::from_secs(6));
    record.line("all routers are ready");

    // Another caller's connection fills the replica's queue of new connections, so the opening
    // packet of the first router is dropped; then the replica accepts connections again.
    let port = replica.address.port();
    replica.set_accepting(false);
    std::thread::sleep(Duration::from_millis(20));
    let Ok(filler) = TcpStream::connect(replica.address) else {
        return Verdict::NotRun("cannot fill the queue".into());
    };
    record.line("the replica's queue of new connections is full");
    let router = routers[0].callers;
    let mut callers = vec![start_caller(record, router, 0)];
    let end = Instant::now() + Duration::from_secs(2);
    while !routers[0].is_connected_to(port, SYN_SENT) {
        if Instant::now() > end {
            return Verdict::NotRun("the first router opened no connection".into());
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    std::thread::sleep(Duration::from_millis(30));
    replica.set_accepting(true);
    drop(filler);
    record.line("the replica accepts connections again");
    let end = Instant::now() + Duration::from_millis(800);
    while begun.load(Ordering::SeqCst) == 0 && Instant::now() < end {
        std::thread::sleep(Duration::from_millis(5));
    }
    callers.extend((1..REQUESTS).map(|number| start_caller(record, router, number)));
    std::thread::sleep(Duration::from_millis(1_000));

    let via = routers[1..]
        .iter()
        .position(|router| router.is_connected_to(port, ESTABLISHED));
    let Some(via) = via.map(|index| index + 1) else {
        return Verdict::NotRun("the first router did not go through another one".into());
    };
    record.line(&format!(
        "{} reaches the replica through {}",
        routers[0].name, routers[via].name
    ));
    if is_troubled() {
        record.line(&format!("SIGKILL to {}", routers[via].name));
        routers[via].kill();
        std::thread::sleep(Duration::from_secs(1));
        routers[via].restart();
        record.line(&format!("{} starts again", routers[via].name));
    }
    let broken = callers
        .into_iter()
        .filter_map(|caller| caller.join().ok())
        .filter(|b| *b)
        .count();
    record.line(&format!(
        "{broken} of {REQUESTS} answers look whole and are not"
    ));
    if broken > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Sends a request; its result is true if the answer looks complete and is not.
fn start_caller(
    record: &Arc<Record>,
    router: std::net::SocketAddr,
    number: usize,
) -> std::thread::JoinHandle<bool> {
    let record = Arc::clone(record);
    std::thread::spawn(move || {
        let attempt = format!("9c41d07be2a3500{number}");
        record.line(&format!("caller sends {attempt}"));
        let request = Request {
            method: "POST",
            path: "/survey/2f",
            attempt: attempt.clone(),
            key: KEY,
            headers: "Currantlever-Model: m\r\nCurrantlever-Token-Usage: 200,200\r\n\
                      Currantlever-Prefix-Hash: 5c1e07a2:100,91bd3f06:100\r\n",
            body: "{}",
            deadline_ms: 15_000,
        };
        let Some(answer) = send(router, &request) else {
            record.line(&format!("caller: no answer to {attempt}"));
            return false;
        };
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let events = text.matches("\n\n").count();
        record.line(&format!(
            "caller: {attempt} answered {}, signature {}, {events} of {EVENTS} events, end {:?}",
            answer.status, answer.has_signature, answer.end
        ));
        answer.status == 200 && answer.end != BodyEnd::Broken && events < EVENTS
    })
}
