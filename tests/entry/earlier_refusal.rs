//! A faulty replica that writes an earlier refusal once more on a kept connection.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::replica::Behaviour;
use super::site::{free_port, Call, Router, Site};
use super::{received_count, site_with, AMPLE_PAID_TOKENS};

/// Time that a request runs before it is answered.
const RUN_TIME: Duration = Duration::from_millis(10);
/// Attempts of each case.
const ATTEMPTS: u32 = 30;

/// When the earlier refusal is written once more.
#[derive(Clone, Copy, Debug)]
enum Moment {
    /// Together with the refusal itself.
    AtOnce,
    /// After this time, if no request has come before.
    After(Duration),
    /// As soon as the next request has been read.
    WithNextRequest,
}

/// A replica that refuses every other request of a connection, runs the others, and repeats its
/// refusals.
struct RepeatingReplica {
    address: SocketAddr,
    /// How often each attempt has run.
    runs: Arc<Mutex<HashMap<String, u32>>>,
}

impl RepeatingReplica {
    async fn start(moment: Moment, states_id: bool) -> Self {
        let address = SocketAddr::from(([127, 0, 0, 1], free_port()));
        let listener = TcpListener::bind(address).await.unwrap();
        let runs = Arc::<Mutex<HashMap<String, u32>>>::default();
        let shared = Arc::clone(&runs);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let runs = Arc::clone(&shared);
                // An error means that the router has closed the connection.
                tokio::spawn(async move { serve(stream, moment, states_id, &runs).await.ok() });
            }
        });
        Self { address, runs }
    }

    fn register(&self, site: &Site, id: &str) {
        let entry = json!({
            "service": "pool", "address": self.address, "zone": "a", "version": "v1",
            "slots": 8, "phase": "ready", "cold_left_ms": 0, "sequence": 1, "born": 1000,
        });
        site.store.put("servers", id, &entry);
    }

    fn run_count(&self, attempt: &str) -> u32 {
        let runs = self.runs.lock().unwrap();
        runs.get(attempt).copied().unwrap_or_default()
    }
}

async fn serve(
    mut stream: TcpStream,
    moment: Moment,
    states_id: bool,
    runs: &Mutex<HashMap<String, u32>>,
) -> std::io::Result<()> {
    loop {
        let attempt = read_attempt(&mut stream).await?;
        let id_line = if states_id {
            format!("Currantlever-Attempt-Id: {attempt}\r\n")
        } else {
            String::new()
        };
        let refusal = format!(
            "HTTP/1.1 503 Service Unavailable\r\n{id_line}Currantlever-Not-Executed: 1\r\n\
             Content-Length: 0\r\n\r\n"
        );
        stream.write_all(refusal.as_bytes()).await?;
        let next = match moment {
            Moment::AtOnce => {
                stream.write_all(refusal.as_bytes()).await?;
                read_attempt(&mut stream).await?
            }
            Moment::After(time) => {
                if tokio::time::timeout(time, stream.readable()).await.is_err() {
                    stream.write_all(refusal.as_bytes()).await?;
                }
                read_attempt(&mut stream).await?
            }
            Moment::WithNextRequest => {
                let next = read_attempt(&mut stream).await?;
                stream.write_all(refusal.as_bytes()).await?;
                next
            }
        };
        *runs.lock().unwrap().entry(next.clone()).or_default() += 1;
        tokio::time::sleep(RUN_TIME).await;
        let answer = format!(
            "HTTP/1.1 200 OK\r\nCurrantlever-Attempt-Id: {next}\r\n\
             Currantlever-Replica-Signature: sig\r\nContent-Length: 3\r\n\r\nran"
        );
        stream.write_all(answer.as_bytes()).await?;
    }
}

/// Reads a request and returns its attempt's id.
async fn read_attempt(stream: &mut TcpStream) -> std::io::Result<String> {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).to_ascii_lowercase();
        let header = |name: &str| {
            let line = text.lines().find_map(|line| line.strip_prefix(name))?;
            Some(line.trim().to_owned())
        };
        if let Some(head_end) = text.find("\r\n\r\n") {
            let length = header("content-length:").map_or(0, |length| length.parse().unwrap());
            if text.len() >= head_end + 4 + length {
                return Ok(header("currantlever-attempt-id:").unwrap());
            }
        }
        if stream.read_buf(&mut bytes).await? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
    }
}

async fn assert_answered_truly(router: &Router, replicas: &[RepeatingReplica], case: &str) {
    let run_count = |attempt: &str| -> u32 {
        replicas
            .iter()
            .map(|replica| replica.run_count(attempt))
            .sum()
    };
    for number in 0..ATTEMPTS {
        // Every attempt is repeated by its caller after a refusal, under the same id.
        let attempt = format!("a-{number}");
        for _ in 0..3 {
            let got = Call::new("book", &attempt)
                .send(router.callers_address)
                .await;
            let got = got.unwrap();
            let runs = run_count(&attempt);
            assert!(runs <= 1, "{case}: {attempt} ran {runs} times");
            if got.status != 503 {
                break;
            }
            assert_eq!(runs, 0, "{case}: {attempt} ran and was answered 503");
        }
    }
    // A request that was answered as not run must not run later either.
    tokio::time::sleep(RUN_TIME * 5).await;
    for number in 0..ATTEMPTS {
        let attempt = format!("a-{number}");
        assert!(run_count(&attempt) <= 1, "{case}: {attempt}");
    }
}

async fn check(moment: Moment) {
    for states_id in [true, false] {
        for count in [1, 2] {
            let site = Site::start(AMPLE_PAID_TOKENS).await;
            let mut replicas = Vec::new();
            for number in 0..count {
                let replica = RepeatingReplica::start(moment, states_id).await;
                replica.register(&site, &format!("i-{number}"));
                replicas.push(replica);
            }
            let router = site.ready_router("r-1").await;
            let case = format!("{moment:?}, with id: {states_id}, replicas: {count}");
            assert_answered_truly(&router, &replicas, &case).await;
        }
    }
}

/// Guards against an earlier refusal that is taken for the answer to a request that has run: its
/// caller is told that it has not, or it runs at a second replica.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_repeated_after_the_next_request_is_not_its_answer() {
    check(Moment::WithNextRequest).await;
}

/// Guards against the same where the refusal is repeated at once.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_repeated_at_once_is_not_the_next_answer() {
    check(Moment::AtOnce).await;
}

/// Guards against the same where the refusal and the next request cross.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_repeated_around_the_next_request_is_not_its_answer() {
    for time_us in [50, 200, 500, 1_000, 3_000] {
        check(Moment::After(Duration::from_micros(time_us))).await;
    }
}

/// Guards against a promise that no replica made: only a refusal with the header states that the
/// request was not run.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_that_does_not_state_that_nothing_ran_is_not_passed_on() {
    for status in [408, 429, 503] {
        for route in ["book", "draft"] {
            let refusal = format!(
                "HTTP/1.1 {status} X\r\nCurrantlever-Attempt-Id: {{id}}\r\n\
                 Currantlever-Replica-Signature: sig\r\nContent-Length: 0\r\n\r\n"
            );
            let refuses = Behaviour::Raw(refusal);
            let (site, replicas) = site_with(&[refuses.clone(), refuses]).await;
            let router = site.ready_router("r-1").await;
            let got = Call::new(route, "a-1").send(router.callers_address).await;
            assert_eq!(got.unwrap().status, 502, "{status} on {route}");
            assert_eq!(received_count(&replicas), 1, "{status} on {route}");
        }
    }
}
