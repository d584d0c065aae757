//! A request that crashes each replica comes again and again, while the machines of the system are
//! stopped and started in turn.

use std::io::{Error, Write};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

use crate::client::{send, Request};
use crate::replica::{Behaviour, Replica};
use crate::routers::{Folder, Router};
use crate::store::Store;
use crate::{is_troubled, Record, Verdict};

const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// `contact_ms` of the deployment.
const CONTACT: Duration = Duration::from_millis(3_000);
/// A replica that has crashed is back after some seconds.
const DOWN: Duration = Duration::from_millis(2_500);
/// Time between two arrivals of the request.
const AGAIN: Duration = Duration::from_millis(3_500);
/// Pause between two machines that are stopped and started.
const ROLL_GAP: Duration = Duration::from_millis(1_000);
const ROLLS: usize = 2;
const CRASHING: &str = "{\"order\":\"crash\"}";
const SOUND: &str = "{\"order\":\"sound\"}";

/// Retries after the third crash that the rule allows.
const ALLOWED_RETRIES: usize = 3;

type Replicas = Arc<OnceLock<Vec<Arc<Replica>>>>;

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-book\",\"host\":\"review.example\",\
         \"path_prefix\":\"/book/\",\"type\":\"non_idempotent\",\"timeout_ms\":2000,\"slo_ms\":300,\
         \"priority\":2,\"service\":\"lease-desk\",\"max_attempts\":1,\"public\":false,\
         \"sticky\":false,\"resumable\":false}}],\
         \"services\":[{{\"name\":\"lease-desk\",\"health_path\":\"/healthz\",\"max_conns\":110,\
         \"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"],\"priority\":1,\
         \"prepaid\":3370209}}]}}"
    )
}

/// Answers at once; a request with the crashing body ends the replica instead.
fn book(
    record: Arc<Record>,
    index: usize,
    replicas: Replicas,
    crashes: Arc<Mutex<Vec<Instant>>>,
) -> Arc<Behaviour> {
    Arc::new(move |stream, request| {
        let attempt = request
            .header("Currantlever-Attempt-Id")
            .unwrap_or("")
            .to_owned();
        std::thread::sleep(Duration::from_millis(30));
        if request.body == CRASHING.as_bytes() {
            let Some(replica) = replicas.get().map(|replicas| &replicas[index]) else {
                return Err(Error::other("not started"));
            };
            let number = {
                let mut crashes = crashes.lock().unwrap();
                crashes.push(Instant::now());
                crashes.len()
            };
            record.line(&format!(
                "{} runs {attempt} and crashes: crash {number}",
                replica.id
            ));
            replica.crash(DOWN);
            return Err(Error::other("crashed"));
        }
        record.line(&format!("replica {index} runs {attempt}"));
        let answer = format!(
            "HTTP/1.1 200 OK\r\nCurrantlever-Attempt-Id: {attempt}\r\n\
             Currantlever-Replica-Signature: {attempt}.2\r\nContent-Length: 2\r\n\r\nok"
        );
        stream.write_all(answer.as_bytes())?;
        Ok(true)
    })
}

struct Caller {
    record: Arc<Record>,
    count: usize,
}

impl Caller {
    fn send(&mut self, router: &Router, body: &str) -> u16 {
        self.count += 1;
        let attempt = format!("9c41d07be2a35{:03x}", self.count);
        let request = Request {
            method: "POST",
            path: "/book/2f",
            attempt: attempt.clone(),
            key: KEY,
            headers: "",
            body,
            deadline_ms: 4_000,
        };
        self.record
            .line(&format!("caller sends {attempt} {body} to {}", router.name));
        let status = send(router.callers, &request).map_or(0, |answer| answer.status);
        self.record
            .line(&format!("caller: {attempt} answered {status}"));
        status
    }
}

pub fn run(record: &Arc<Record>) -> Verdict {
    let folder = Folder::create();
    let store = Store::start();
    store.put("config", "main", &config());
    let zones = ["floripa", "joinville", "poa", "curitiba"];
    let crashes = Arc::new(Mutex::new(Vec::new()));
    let started: Replicas = Arc::default();
    let replicas = (0..zones.len()).map(|index| {
        let (record, started) = (Arc::clone(record), Arc::clone(&started));
        let behaviour = book(record, index, started, Arc::clone(&crashes));
        let replica = Replica::start(&format!("i-7f3a91c{index}"), behaviour);
        replica.register(&store, "lease-desk", zones[index], 6);
        replica
    });
    let replicas = replicas.collect();
    let _ = started.set(replicas);
    let mut routers: Vec<Router> = zones[..3]
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
        record: Arc::clone(record),
        count: 0,
    };
    for router in &routers {
        if caller.send(router, SOUND) != 200 {
            return Verdict::NotRun("a sound request was not served".into());
        }
    }

    // Times at which the request was sent and then crashed a replica.
    let mut sent = Vec::new();
    let mut turn = 0;
    let mut send_crashing = |routers: &[Router], count: usize, sent: &mut Vec<Instant>| {
        for _ in 0..count {
            let sent_at = Instant::now();
            let crashed_before = crashes.lock().unwrap().len();
            caller.send(&routers[turn % routers.len()], CRASHING);
            turn += 1;
            std::thread::sleep(AGAIN);
            if crashes.lock().unwrap().len() > crashed_before {
                sent.push(sent_at);
            }
        }
        crashes.lock().unwrap().len()
    };
    send_crashing(&routers, 2, &mut sent);
    for roll in 1..=ROLLS {
        if is_troubled() {
            record.line(&format!(
                "roll {roll}: the machines are stopped and started in turn"
            ));
            for router in &mut routers {
                let took = router.stop();
                router.restart();
                let is_ready = router.wait_ready(Duration::from_secs(10));
                record.line(&format!(
                    "{} stopped in {:.1} s and started again, ready: {is_ready}",
                    router.name,
                    took.as_secs_f64()
                ));
                std::thread::sleep(ROLL_GAP);
            }
            // All machines are in touch from here on.
            std::thread::sleep(CONTACT);
        }
        let count = if roll < ROLLS { 2 } else { 5 };
        send_crashing(&routers, count, &mut sent);
    }
    let crashes = crashes.lock().unwrap().clone();
    if crashes.is_empty() {
        return Verdict::NotRun("no replica crashed".into());
    }
    let Some(third) = crashes.get(2) else {
        return Verdict::Held;
    };
    let retries = sent.iter().filter(|sent| **sent > *third + CONTACT).count();
    record.line(&format!(
        "{} crashes; {retries} retries reached replicas that were sent later than {} ms after the \
         third crash; the rule allows {ALLOWED_RETRIES}",
        crashes.len(),
        CONTACT.as_millis()
    ));
    if retries > ALLOWED_RETRIES {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
