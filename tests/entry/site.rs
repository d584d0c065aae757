//! Entry routers as separate processes, with a fake store and fake replicas.

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

use super::replica::FakeReplica;
use super::store::FakeStore;

pub const HOST: &str = "models.example";
pub const KEY: &str = "key-of-red";
/// Time after which a wait for an expected state fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Names another build of the program to test, for comparisons by hand.
const PROGRAM_VARIABLE: &str = "CURRANTLEVER_PROGRAM";

/// Limit of file descriptors in the routers' settings.
pub const MAX_DESCRIPTORS: usize = 600;

/// Ports outside the range of outgoing connections, which could otherwise take a port between its
/// choice and the start of the router, or while a router restarts.
const PORTS: std::ops::Range<u32> = 10_000..30_000;

/// Held while sockets are open only to find a free port, and while a process is started: between fork
/// and exec a child process has copies of all sockets, which would keep the port in use.
static START_LOCK: Mutex<()> = Mutex::new(());

/// Address on which a chosen port is held, so that no other test process chooses it while its server
/// is down.
const CLAIM_ADDRESS: &str = "127.0.0.2";

/// Returns a free port that is not returned again while this process runs, here or in another one.
pub fn free_port() -> u16 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    static CLAIMS: Mutex<Vec<TcpListener>> = Mutex::new(Vec::new());
    let length = PORTS.end - PORTS.start;
    let first = std::process::id().wrapping_mul(101);
    let _lock = START_LOCK.lock().unwrap();
    for _ in PORTS {
        let offset = first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % length;
        let port = u16::try_from(PORTS.start + offset).unwrap();
        let Ok(claim) = TcpListener::bind((CLAIM_ADDRESS, port)) else {
            continue;
        };
        let is_free = TcpListener::bind(("127.0.0.1", port)).is_ok()
            && UdpSocket::bind(("127.0.0.1", port)).is_ok();
        if is_free {
            CLAIMS.lock().unwrap().push(claim);
            return port;
        }
    }
    panic!("no port is free");
}

/// A router process; killed on drop.
pub struct Router {
    child: Child,
    pub callers_address: SocketAddr,
    pub registry_address: SocketAddr,
    pub ready_address: SocketAddr,
    pub metrics_address: SocketAddr,
    pub peer_address: SocketAddr,
    settings: PathBuf,
    log: Arc<Mutex<Vec<Value>>>,
}

fn spawn(settings: &PathBuf, log: &Arc<Mutex<Vec<Value>>>) -> Child {
    let lock = START_LOCK.lock().unwrap();
    let program = std::env::var_os(PROGRAM_VARIABLE);
    let program = program.unwrap_or_else(|| env!("CARGO_BIN_EXE_currantlever").into());
    let mut child = Command::new(program)
        .arg("entry")
        .arg("--settings")
        .arg(settings)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    drop(lock);
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
        Self::start_in_domain(directory, store, (name, "a"), cpu_cores)
    }

    fn start_in_domain(
        directory: &TempDir,
        store: SocketAddr,
        (name, failure_domain): (&str, &str),
        cpu_cores: f64,
    ) -> Self {
        let loopback = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let (callers_address, registry_address, ready_address) = (
            loopback(free_port()),
            loopback(free_port()),
            loopback(free_port()),
        );
        let metrics_address = loopback(free_port());
        let peer_address = loopback(free_port());
        let settings = json!({
            "vm": name, "failure_domain": failure_domain,
            "callers_listen": callers_address, "registry_listen": registry_address,
            "ready_listen": ready_address,
            "metrics_listen": metrics_address, "peer_listen": peer_address,
            "store_address": store, "cpu_cores": cpu_cores, "grace_s": 8.0,
            "max_descriptors": MAX_DESCRIPTORS,
            "retries": {"ratio": 0.2, "slack": 58, "window_s": 10},
        });
        let path = directory.path().join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string()).unwrap();
        let log = Arc::default();
        Self {
            child: spawn(&path, &log),
            callers_address,
            registry_address,
            ready_address,
            metrics_address,
            peer_address,
            settings: path,
            log,
        }
    }

    /// Changes a setting, which takes effect with the next start.
    pub fn change_setting(&self, name: &str, value: &Value) {
        let text = std::fs::read_to_string(&self.settings).unwrap();
        let mut settings: Value = serde_json::from_str(&text).unwrap();
        settings[name].clone_from(value);
        std::fs::write(&self.settings, settings.to_string()).unwrap();
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

    /// Sends SIGHUP, which announces changed settings.
    pub fn hang_up(&self) {
        self.signal("-HUP");
    }

    /// Suspends the process with SIGSTOP.
    pub fn pause(&self) {
        self.signal("-STOP");
    }

    /// Resumes a suspended process with SIGCONT.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let _lock = START_LOCK.lock().unwrap();
        assert!(Command::new("kill")
            .args([signal, &id])
            .status()
            .unwrap()
            .success());
    }

    /// Waits until the process has exited and returns its exit code.
    pub async fn exit_code(&mut self) -> Option<i32> {
        let end = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < end {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("timed out waiting until the router exits");
    }

    pub fn process_id(&self) -> u32 {
        self.child.id()
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Returns the largest resident size of the process so far, in kilobytes.
    pub fn peak_memory_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        let number = line.unwrap().split_whitespace().nth(1);
        number.unwrap().parse().unwrap()
    }

    /// Returns all log lines of the process so far, those before a restart included.
    pub fn log(&self) -> Vec<Value> {
        self.log.lock().unwrap().clone()
    }

    /// Returns the text of the metrics endpoint.
    pub async fn metrics(&self) -> String {
        let answer = get(self.metrics_address, "/metrics").await.unwrap();
        String::from_utf8(answer.body.to_vec()).unwrap()
    }

    /// Returns the log lines with this message.
    pub fn log_lines(&self, message: &str) -> Vec<Value> {
        let log = self.log();
        log.into_iter()
            .filter(|line| line["msg"] == message)
            .collect()
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A fake store with lists, and the settings of the routers that use it.
pub struct Site {
    directory: TempDir,
    pub store: FakeStore,
}

/// Returns lists with one team and four routes of all types, all to one pool.
pub fn lists(version: u64, prepaid: u64) -> Value {
    let route = |name: &str, kind: &str, resumable: bool, max_attempts: u32| {
        json!({
            "name": name, "host": HOST, "path_prefix": format!("/{name}/"), "type": kind,
            "timeout_ms": 5000, "slo_ms": 400, "priority": 0, "service": "pool",
            "max_attempts": max_attempts, "public": false, "sticky": true, "resumable": resumable,
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

fn entry_of(replica: &FakeReplica, phase: &str, born_ms: u64) -> Value {
    json!({
        "service": "pool", "address": replica.address(), "zone": "a", "version": "v1",
        "slots": 8, "phase": phase, "cold_left_ms": 0, "sequence": 1, "born": born_ms,
    })
}

impl Site {
    pub async fn start(prepaid: u64) -> Self {
        let site = Self {
            directory: TempDir::new().unwrap(),
            store: FakeStore::start().await,
        };
        site.store.put("config", "main", &lists(1, prepaid));
        site
    }

    pub fn register(&self, replica: &FakeReplica) {
        self.register_in_phase(replica, "ready");
    }

    pub fn register_in_phase(&self, replica: &FakeReplica, phase: &str) {
        self.put_entry(replica, phase, 1000);
    }

    /// Registers a later incarnation of a replica at the same address.
    pub fn register_incarnation(&self, replica: &FakeReplica, born_ms: u64) {
        self.put_entry(replica, "ready", born_ms);
    }

    /// Registers an incarnation of a replica with a value as the version of its software.
    pub fn register_version(&self, replica: &FakeReplica, version: &Value, born_ms: u64) {
        let mut entry = entry_of(replica, "ready", born_ms);
        entry["version"].clone_from(version);
        self.store.put("servers", &replica.id, &entry);
    }

    fn put_entry(&self, replica: &FakeReplica, phase: &str, born_ms: u64) {
        let entry = entry_of(replica, phase, born_ms);
        self.store.put("servers", &replica.id, &entry);
    }

    pub fn router(&self, name: &str) -> Router {
        Router::start(&self.directory, self.store.address(), name, 0.25)
    }

    /// Starts a router that uses another address of the store.
    pub fn router_with_store(&self, name: &str, store: SocketAddr) -> Router {
        Router::start(&self.directory, store, name, 0.25)
    }

    /// Starts a router of a failure domain that uses another address of the store.
    pub fn router_in_domain(&self, name: &str, failure_domain: &str, store: SocketAddr) -> Router {
        Router::start_in_domain(&self.directory, store, (name, failure_domain), 0.25)
    }

    /// Starts a router with twice the CPU share that uses another address of the store.
    pub fn large_router(&self, name: &str, store: SocketAddr) -> Router {
        Router::start(&self.directory, store, name, 0.5)
    }

    /// Starts a router and waits until it is ready for requests.
    pub async fn ready_router(&self, name: &str) -> Router {
        let router = self.router(name);
        wait_ready(&router).await;
        router
    }

    /// Waits until the lists and the replicas are watched. Routers notice outages from then on;
    /// watches start after the router has discovered the fleet.
    pub async fn wait_until_watched(&self) {
        wait_until("lists and replicas are watched", || async {
            let kinds = ["config", "servers"];
            kinds.iter().all(|kind| self.store.watches(kind) > 0)
        })
        .await;
    }

    /// Returns, for each holder, the tokens of the team's budget that it was granted and has not
    /// returned.
    pub fn held_tokens(&self) -> Vec<u64> {
        let ledger = self.store.get("token-ledgers", "all").unwrap_or_default();
        let number = |value: &Value| value.as_u64().unwrap_or(0);
        let rows = ledger["entries"]["red"]["rows"].as_object().cloned();
        rows.unwrap_or_default()
            .values()
            .map(|row| number(&row["granted_tokens"]) - number(&row["returned_tokens"]))
            .collect()
    }

    /// Returns the tokens charged to the team's budget: granted and not returned.
    pub fn charged_tokens(&self) -> u64 {
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

/// Waits until a router reports that it is ready and knows a replica.
pub async fn wait_ready(router: &Router) {
    wait_until("the router is ready", || async {
        matches!(get(router.ready_address, "/readyz").await, Ok(answer) if answer.status == 200)
    })
    .await;
    // Readiness covers the lists only; replicas are watched separately.
    wait_until("a replica is known", || async {
        !router.log_lines("replica added or updated").is_empty()
    })
    .await;
}

/// Polls until the condition holds; panics after [`WAIT_TIMEOUT`].
pub async fn wait_until<F, W>(description: &str, mut condition: F)
where
    F: FnMut() -> W,
    W: std::future::Future<Output = bool>,
{
    let end = Instant::now() + WAIT_TIMEOUT;
    while Instant::now() < end {
        if condition().await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("timed out waiting until {description}");
}

/// The answer that a caller received.
#[derive(Clone, Debug)]
pub struct ReceivedAnswer {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// False when the connection broke before the end of the answer.
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

    pub async fn send(&self, address: SocketAddr) -> Result<ReceivedAnswer, String> {
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
        Ok(ReceivedAnswer {
            status: parts.status.as_u16(),
            headers: parts.headers,
            body: bytes.into(),
            is_whole,
        })
    }
}

pub async fn get(address: SocketAddr, path: &str) -> Result<ReceivedAnswer, String> {
    let call = Call {
        method: "GET",
        path: path.to_owned(),
        headers: vec![("host".to_owned(), "router".to_owned())],
        body: String::new(),
    };
    call.send(address).await
}
