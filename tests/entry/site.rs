//! Entry routers as real processes, beside a stand-in store and stand-in replicas.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use serde_json::{json, Value};
use tempfile::TempDir;
use tokio::net::TcpStream;

use super::replica::StandInReplica;
use super::store::StandInStore;

pub const HOST: &str = "models.example";
pub const KEY: &str = "key-of-red";
/// Longest wait for a state that must come.
const WAIT: Duration = Duration::from_secs(20);

/// Descriptors that routers are told they have.
pub const MAX_DESCRIPTORS: usize = 600;

/// Ports that outgoing connections do not use, so that none is taken between the choice of a port
/// and the start of the router, or while a router is restarted.
const PORTS: std::ops::Range<u32> = 10_000..30_000;

/// A free port that nothing else of this process gets.
pub fn free_port() -> u16 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let length = PORTS.end - PORTS.start;
    let first = std::process::id().wrapping_mul(101);
    for _ in PORTS {
        let offset = first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % length;
        let port = u16::try_from(PORTS.start + offset).unwrap();
        let is_free = TcpListener::bind(("127.0.0.1", port)).is_ok()
            && UdpSocket::bind(("127.0.0.1", port)).is_ok();
        if is_free {
            return port;
        }
    }
    panic!("no port is free");
}

/// One router process. It is killed when dropped.
pub struct Router {
    child: Child,
    pub callers: SocketAddr,
    pub registry: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: Arc<Mutex<Vec<Value>>>,
}

fn spawn(settings: &PathBuf, log: &Arc<Mutex<Vec<Value>>>) -> Child {
    let mut child = Command::new(env!("CARGO_BIN_EXE_currantlever"))
        .arg("entry")
        .arg("--settings")
        .arg(settings)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let stdout = child.stdout.take().unwrap();
    let log = Arc::clone(log);
    std::thread::spawn(move || {
        for line in BufReader::new(stdout).lines().map_while(Result::ok) {
            let value = serde_json::from_str(&line).expect("a log line is one JSON object");
            log.lock().unwrap().push(value);
        }
    });
    child
}

impl Router {
    fn start(directory: &TempDir, store: SocketAddr, name: &str, cpu_cores: f64) -> Self {
        let local = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let (callers, registry, ready) =
            (local(free_port()), local(free_port()), local(free_port()));
        let settings = json!({
            "vm": name, "failure_domain": "a",
            "callers_listen": callers, "registry_listen": registry, "ready_listen": ready,
            "metrics_listen": local(free_port()), "peer_listen": local(free_port()),
            "store_address": store, "cpu_cores": cpu_cores, "grace_s": 8.0,
            "max_descriptors": MAX_DESCRIPTORS,
            "retries": {"ratio": 0.2, "slack": 58, "window_s": 10},
        });
        let path = directory.path().join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string()).unwrap();
        let log = Arc::default();
        Self {
            child: spawn(&path, &log),
            callers,
            registry,
            ready,
            settings: path,
            log,
        }
    }

    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    pub fn restart(&mut self) {
        self.child = spawn(&self.settings, &self.log);
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Freezes the process.
    pub fn freeze(&self) {
        self.signal("-STOP");
    }

    /// Lets a frozen process go on.
    pub fn thaw(&self) {
        self.signal("-CONT");
    }

    fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill")
            .args([signal, &id])
            .status()
            .unwrap()
            .success());
    }

    /// The exit code, once the process has ended.
    pub async fn exit_code(&mut self) -> Option<i32> {
        let end = Instant::now() + WAIT;
        while Instant::now() < end {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("the router did not end");
    }

    pub fn log(&self) -> Vec<Value> {
        self.log.lock().unwrap().clone()
    }

    pub fn log_of(&self, message: &str) -> Vec<Value> {
        let log = self.log();
        log.into_iter()
            .filter(|line| line["msg"] == message)
            .collect()
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A store with lists, and routers beside it.
pub struct Site {
    directory: TempDir,
    pub store: StandInStore,
}

/// Lists with one route of each kind, all to one pool, and one team.
pub fn lists(version: u64, prepaid: u64) -> Value {
    let route = |name: &str, kind: &str, resumable: bool, tries: u32| {
        json!({
            "name": name, "host": HOST, "path_prefix": format!("/{name}/"), "type": kind,
            "timeout_ms": 5000, "slo_ms": 400, "priority": 0, "service": "pool",
            "max_attempts": tries, "public": false, "sticky": true, "resumable": resumable,
            "gap_aim_ms": 300,
        })
    };
    json!({
        "version": version,
        "routes": [
            route("look", "idempotent", false, 3),
            route("book", "non_idempotent", false, 3),
            route("chat", "streaming", true, 3),
            route("draft", "streaming", false, 3),
        ],
        "services": [{
            "name": "pool", "health_path": "/healthz", "max_conns": 100, "protocol": "h1",
            "tls": false, "engine": {"slots": 8, "kv_capacity": 100_000, "stride": 5},
        }],
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 65536,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "red", "api_keys": [KEY], "priority": 1, "prepaid": prepaid}],
    })
}

impl Site {
    pub async fn start(prepaid: u64) -> Self {
        let site = Self {
            directory: TempDir::new().unwrap(),
            store: StandInStore::start().await,
        };
        site.store.put("config", "main", &lists(1, prepaid));
        site
    }

    pub fn enter(&self, replica: &StandInReplica) {
        self.enter_as(replica, "ready");
    }

    pub fn enter_as(&self, replica: &StandInReplica, phase: &str) {
        self.put_entry(replica, phase, 1000);
    }

    /// Enters a later incarnation of a replica at the same address.
    pub fn enter_born(&self, replica: &StandInReplica, born_ms: u64) {
        self.put_entry(replica, "ready", born_ms);
    }

    fn put_entry(&self, replica: &StandInReplica, phase: &str, born_ms: u64) {
        let entry = json!({
            "service": "pool", "address": replica.address(), "zone": "a", "version": "v1",
            "slots": 8, "phase": phase, "cold_left_ms": 0, "sequence": 1, "born": born_ms,
        });
        self.store.put("servers", &replica.id, &entry);
    }

    pub fn router(&self, name: &str) -> Router {
        Router::start(&self.directory, self.store.address(), name, 0.25)
    }

    /// A router that reaches the store at another address.
    pub fn router_by(&self, name: &str, store: SocketAddr) -> Router {
        Router::start(&self.directory, store, name, 0.25)
    }

    /// A router with more processor time that reaches the store at another address.
    pub fn large_router(&self, name: &str, store: SocketAddr) -> Router {
        Router::start(&self.directory, store, name, 0.5)
    }

    /// Starts a router and waits until it takes requests.
    pub async fn ready_router(&self, name: &str) -> Router {
        let router = self.router(name);
        wait_ready(&router).await;
        router
    }

    /// Waits until routers watch the lists and the replicas, from when on they notice outages. They
    /// begin when they have found the fleet.
    pub async fn wait_watched(&self) {
        wait_until("lists and replicas are watched", || async {
            let kinds = ["config", "servers"];
            kinds.iter().all(|kind| self.store.watches(kind) > 0)
        })
        .await;
    }

    /// Tokens that each holder of the team's budget was granted and has not given back.
    pub fn held(&self) -> Vec<u64> {
        let ledger = self.store.get("token-ledgers", "all").unwrap_or_default();
        let number = |value: &Value| value.as_u64().unwrap_or(0);
        let rows = ledger["entries"]["red"]["rows"].as_object().cloned();
        rows.unwrap_or_default()
            .values()
            .map(|row| number(&row["granted_tokens"]) - number(&row["returned_tokens"]))
            .collect()
    }

    /// Tokens charged against the team's budget.
    pub fn charged(&self) -> u64 {
        let Some(ledger) = self.store.get("token-ledgers", "all") else {
            return 0;
        };
        let entry = &ledger["entries"]["red"];
        let number = |value: &Value| value.as_u64().unwrap_or(0);
        let rows = entry["rows"].as_object().cloned().unwrap_or_default();
        let sum = |name: &str| -> u64 { rows.values().map(|row| number(&row[name])).sum() };
        let granted = number(&entry["folded_tokens"]) + sum("granted_tokens");
        granted - number(&entry["folded_returned_tokens"]) - sum("returned_tokens")
    }
}

pub async fn wait_ready(router: &Router) {
    wait_until("the router is ready", || async {
        matches!(get(router.ready, "/readyz").await, Ok(answer) if answer.status == 200)
    })
    .await;
    // Replicas are followed beside the lists.
    wait_until("a replica is known", || async {
        !router.log_of("replica added or updated").is_empty()
    })
    .await;
}

pub async fn wait_until<F, W>(what: &str, mut condition: F)
where
    F: FnMut() -> W,
    W: std::future::Future<Output = bool>,
{
    let end = Instant::now() + WAIT;
    while Instant::now() < end {
        if condition().await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("it did not come about that {what}");
}

/// What a caller got.
#[derive(Clone, Debug)]
pub struct Got {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// False when the answer broke off.
    pub is_whole: bool,
}

/// A request as a caller sends it.
#[derive(Clone, Debug)]
pub struct Call {
    pub method: &'static str,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Call {
    pub fn new(route: &str, attempt: &str) -> Self {
        let header = |name: &str, value: &str| (name.to_owned(), value.to_owned());
        Self {
            method: "POST",
            path: format!("/{route}/x?y=1"),
            headers: vec![
                header("host", HOST),
                header("authorization", &format!("Token {KEY}")),
                header("currantlever-attempt-id", attempt),
                header("currantlever-deadline-ms", "5000"),
            ],
            body: "the caller's body".to_owned(),
        }
    }

    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.retain(|(other, _)| other != name);
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    pub fn with_body(mut self, body: &str) -> Self {
        body.clone_into(&mut self.body);
        self
    }

    pub fn with_tokens(self, prompt: u64, output: u64) -> Self {
        self.with("currantlever-token-usage", &format!("{prompt},{output}"))
    }

    pub async fn send(&self, address: SocketAddr) -> Result<Got, String> {
        let stream = TcpStream::connect(address)
            .await
            .map_err(|e| e.to_string())?;
        let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| error.to_string())?;
        let connection = tokio::spawn(connection);
        let mut request = Request::builder().method(self.method).uri(&self.path);
        for (name, value) in &self.headers {
            request = request.header(name, value);
        }
        let request = request
            .body(Full::new(Bytes::from(self.body.clone())))
            .unwrap();
        let response = sender
            .send_request(request)
            .await
            .map_err(|e| e.to_string())?;
        let (parts, mut body) = response.into_parts();
        let mut bytes = Vec::new();
        let mut is_whole = true;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                is_whole = false;
                break;
            };
            bytes.extend_from_slice(&frame.into_data().unwrap_or_default());
        }
        connection.abort();
        Ok(Got {
            status: parts.status.as_u16(),
            headers: parts.headers,
            body: bytes.into(),
            is_whole,
        })
    }
}

pub async fn get(address: SocketAddr, path: &str) -> Result<Got, String> {
    let call = Call {
        method: "GET",
        path: path.to_owned(),
        headers: vec![("host".to_owned(), "router".to_owned())],
        body: String::new(),
    };
    call.send(address).await
}
