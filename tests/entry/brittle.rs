//! Replicas that fall over when they have to turn too many requests away.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use super::site::{free_port, wait_ready, wait_until, Call, Router, Site};
use super::AMPLE_PAID_TOKENS;

/// Requests that a server runs at once.
const PLACES: usize = 5;
/// Requests that it turns away in a second without falling over.
const MAX_REJECTIONS: usize = 3;
/// Time that a request takes.
const WORK: Duration = Duration::from_millis(400);
/// Time for which a server is down after it fell over.
const RESTART_DELAY: Duration = Duration::from_secs(2);
const SERVERS: usize = 6;
const ROUTERS: usize = 4;

#[derive(Debug, Default)]
struct State {
    running: usize,
    is_sound: bool,
    rejections: VecDeque<Instant>,
    falls: usize,
    down_until: Option<Instant>,
}

impl State {
    fn is_down(&self) -> bool {
        self.down_until.is_some_and(|until| until > Instant::now())
    }

    /// Counts a rejection, by which the server may fall over.
    fn reject(&mut self) {
        let now = Instant::now();
        self.rejections.push_back(now);
        self.rejections
            .retain(|at| now.duration_since(*at) < Duration::from_secs(1));
        if self.rejections.len() > MAX_REJECTIONS {
            self.rejections.clear();
            self.falls += 1;
            self.running = 0;
            self.down_until = Some(now + RESTART_DELAY);
        }
    }
}

/// A server without a queue that says in all answers that it is brittle.
struct BrittleServer {
    id: String,
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl BrittleServer {
    async fn start(id: String) -> Self {
        let address = SocketAddr::from(([127, 0, 0, 1], free_port()));
        let state: Arc<Mutex<State>> = Arc::default();
        let listener = TcpListener::bind(address).await.unwrap();
        let served = Arc::clone(&state);
        tokio::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    continue;
                };
                // A server that is down closes each connection without an answer.
                if served.lock().unwrap().is_down() {
                    continue;
                }
                let state = Arc::clone(&served);
                let service = service_fn(move |request| respond(Arc::clone(&state), request));
                tokio::spawn(async move {
                    let _ = hyper::server::conn::http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service)
                        .await;
                });
            }
        });
        Self { id, address, state }
    }

    fn falls(&self) -> usize {
        self.state.lock().unwrap().falls
    }
}

async fn respond(
    state: Arc<Mutex<State>>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, std::io::Error> {
    let mut response = Response::builder().header(
        "currantlever-attempt-id",
        request.headers()["currantlever-attempt-id"].clone(),
    );
    if !state.lock().unwrap().is_sound {
        response = response.header("server-brittle", MAX_REJECTIONS.to_string());
    }
    let crashed = || Err(std::io::Error::other("the server is down"));
    {
        let mut state = state.lock().unwrap();
        if state.is_down() {
            return crashed();
        }
        if state.running >= PLACES {
            state.reject();
            let rejection = response
                .status(503)
                .header("currantlever-not-executed", "1");
            return Ok(rejection.body(Full::default()).unwrap());
        }
        state.running += 1;
    }
    let falls = state.lock().unwrap().falls;
    tokio::time::sleep(WORK).await;
    let mut state = state.lock().unwrap();
    if state.falls != falls {
        return crashed();
    }
    state.running -= 1;
    let answer = response.header("currantlever-replica-signature", "sig");
    Ok(answer.body(Full::from("done")).unwrap())
}

/// Guards against servers that fall over because each router sends them what it finds room for, and
/// all together more than there is room for.
#[tokio::test(flavor = "multi_thread")]
async fn brittle_servers_fall_over_no_more_often_than_allowed() {
    let (_site, servers, routers) = brittle_fleet().await;
    let answers = overload(&routers).await;
    let served = answers.iter().filter(|status| **status == 200).count();
    let falls: usize = servers.iter().map(BrittleServer::falls).sum();
    println!("{falls} falls, {served} of {} served", answers.len());
    assert!(
        falls <= 2 + SERVERS / 10,
        "{falls} falls, {served} of {} served",
        answers.len()
    );
    // Half of what the servers could run in this time.
    let capacity =
        SERVERS * PLACES * OVERLOAD_TIME.as_millis() as usize / WORK.as_millis() as usize;
    assert!(served * 2 >= capacity, "{served} of {capacity} served");
}

/// Guards against places that are asked for after the servers have ceased to be brittle.
#[tokio::test(flavor = "multi_thread")]
async fn servers_that_are_no_longer_brittle_need_no_places() {
    let (_site, servers, routers) = brittle_fleet().await;
    for server in &servers {
        server.state.lock().unwrap().is_sound = true;
    }
    let changed = "brittleness of replicas changed";
    wait_until("a router learns of the end", || async {
        let call = Call::new("look", &format!("end-{}", free_port()));
        call.send(routers[0].callers_address).await.unwrap();
        let lines = routers[0].log_lines(changed);
        lines
            .last()
            .is_some_and(|line| line["max_rejections_per_s"].is_null())
    })
    .await;
    for router in &routers[1..] {
        wait_until("the other routers learn of it", || async {
            let lines =
                router.log_lines("brittleness of replicas changed, reported by another router");
            lines
                .iter()
                .any(|line| line["max_rejections_per_s"].is_null())
        })
        .await;
    }
}

/// Starts brittle servers, and routers that know of it.
async fn brittle_fleet() -> (Site, Vec<BrittleServer>, Vec<Router>) {
    let site = Site::start(AMPLE_PAID_TOKENS).await;
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let server = BrittleServer::start(format!("i-{number}")).await;
        let entry = json!({
            "service": "pool", "address": server.address, "zone": "a", "version": "v1",
            "slots": PLACES, "phase": "ready", "cold_left_ms": 0, "sequence": 1, "born": 1_000,
        });
        site.store.put("servers", &server.id, &entry);
        servers.push(server);
    }
    let routers: Vec<Router> = (0..ROUTERS)
        .map(|number| site.router(&format!("r-{number}")))
        .collect();
    for router in &routers {
        wait_ready(router).await;
        wait_until("all servers and routers are known", || async {
            router.log_lines("replica added or updated").len() == SERVERS
                && router.log_lines("router discovered").len() + 1 == ROUTERS
        })
        .await;
    }
    // A request shows each router that the servers are brittle, as the traffic before would have.
    for (number, router) in routers.iter().enumerate() {
        let call = Call::new("look", &format!("first-{number}"));
        call.send(router.callers_address).await.unwrap();
    }
    (site, servers, routers)
}

/// Duration of the overload.
const OVERLOAD_TIME: Duration = Duration::from_secs(8);
/// Pause between two requests to one router: five times what the servers can run.
const CALL_PAUSE: Duration = Duration::from_millis(11);

/// Sends more requests than the servers can run and returns the statuses of the answers.
async fn overload(routers: &[Router]) -> Vec<u16> {
    let mut calls = JoinSet::new();
    let end = Instant::now() + OVERLOAD_TIME;
    let mut number = 0;
    while Instant::now() < end {
        for router in routers {
            let address = router.callers_address;
            let route = ["look", "book"][number % 2];
            let attempt = format!("a-{number}");
            calls.spawn(async move {
                let call = Call::new(route, &attempt).with("currantlever-deadline-ms", "2000");
                call.send(address).await.map_or(0, |answer| answer.status)
            });
            number += 1;
        }
        tokio::time::sleep(CALL_PAUSE).await;
    }
    calls.join_all().await
}
