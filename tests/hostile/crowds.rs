//! A router with small limits, and crowds of clients that keep their connections open.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use rustix::process::{prlimit, Pid, Resource, Rlimit};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Mutex, MutexGuard};
use tokio::task::JoinSet;

use super::measure::{Meter, Usage};
use super::replica::FakeReplica;
use super::site::{
    get, lists, wait_ready, wait_until, Call, ReceivedAnswer, Router, Site, HOST, KEY,
    MAX_DESCRIPTORS,
};

/// Memory of the VM.
pub const MEMORY_MB: u64 = 48;
/// Descriptors that connections may use: of a VM's limit, 200 are for files.
pub const MAX_OPEN_DESCRIPTORS: usize = MAX_DESCRIPTORS - 200;
/// Largest body of a request in the configuration.
pub const MAX_BODY_BYTES: usize = 1 << 20;
/// Time for which a crowd stays after it was started.
const CROWD_STAY: Duration = Duration::from_secs(4);
/// Time after which an ordinary caller gives up a try: long, as a slow machine needs it in a crowd.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
const CALL_PAUSE: Duration = Duration::from_millis(50);
/// Time after which a wait for an expected state fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(40);
const AMPLE_PAID_TOKENS: u64 = 10_000_000;

/// Held by each test, so that one runs at a time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// Waits until no other test runs.
pub async fn take_turn() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().await
}

/// A router with a store and a replica.
pub struct Target {
    pub router: Router,
    /// Keeps the store and the directory of settings.
    _site: Site,
    _replica: FakeReplica,
    _turn: MutexGuard<'static, ()>,
}

impl Target {
    pub async fn start() -> Self {
        let turn = take_turn().await;
        let site = Site::start(AMPLE_PAID_TOKENS).await;
        let mut configuration = lists(2, AMPLE_PAID_TOKENS);
        configuration["limits"]["max_body_bytes"] = json!(MAX_BODY_BYTES);
        for route in configuration["routes"].as_array_mut().unwrap() {
            // A slow machine has time for what is sent on these.
            if route["name"] == "look" || route["name"] == "chat" {
                route["timeout_ms"] = json!(60_000);
            }
        }
        site.store.put("config", "main", &configuration);
        let replica = FakeReplica::start("i-0").await;
        site.register(&replica);
        let mut router = site.router("r-1");
        router.change_setting("memory_mb", &json!(MEMORY_MB));
        router.kill();
        router.restart();
        limit_descriptors(&router);
        wait_ready(&router).await;
        wait_until("the configuration is in force", || async {
            let lines = router.log_lines("configuration in force");
            lines.iter().any(|line| line["config_version"] == 2)
        })
        .await;
        Self {
            router,
            _site: site,
            _replica: replica,
            _turn: turn,
        }
    }

    /// Opens a connection for each client, keeps all open for a time, and closes them. Meanwhile and
    /// afterwards ordinary callers are answered, and the process stays within its limits.
    pub async fn bear<F>(&mut self, count: usize, address: SocketAddr, client: F)
    where
        F: Fn(usize) -> Vec<Bytes>,
    {
        let meter = self.meter();
        let mut crowd = JoinSet::new();
        for number in 0..count {
            crowd.spawn(send_and_stay(address, client(number)));
        }
        tokio::time::sleep(CROWD_STAY).await;
        self.answers_ordinary_calls("meanwhile").await;
        crowd.shutdown().await;
        self.answers_ordinary_calls("afterwards").await;
        self.check(meter.stop().await);
    }

    pub fn meter(&self) -> Meter {
        let router = &self.router;
        let addresses = vec![
            router.callers_address,
            router.registry_address,
            router.ready_address,
            router.metrics_address,
        ];
        Meter::start(router.process_id(), addresses)
    }

    /// Checks that the process lives and stayed within its limits.
    pub fn check(&mut self, usage: Usage) {
        println!(
            "{} MB, {} MB of it unread, {} descriptors",
            usage.memory_bytes >> 20,
            usage.unread_bytes >> 20,
            usage.descriptors
        );
        assert!(self.router.is_running(), "the process ended");
        assert!(usage.memory_bytes < MEMORY_MB << 20, "{usage:?}");
        assert!(usage.descriptors <= MAX_OPEN_DESCRIPTORS, "{usage:?}");
    }

    /// Waits until a caller is told an address and its request there is answered.
    pub async fn answers_ordinary_calls(&self, when: &str) {
        let router = &self.router;
        let path = "/resolve?name=x&region=r&zone=a";
        let resolve = || get(router.registry_address, path);
        try_until_answered(&format!("an address is told {when}"), resolve).await;
        let call = Call::new("look", &format!("ordinary-{when}"));
        let send = || call.send(router.callers_address);
        try_until_answered(&format!("an ordinary request is answered {when}"), send).await;
    }
}

/// Sends a request until it is answered with success.
async fn try_until_answered<F, A>(description: &str, mut send: F)
where
    F: FnMut() -> A,
    A: Future<Output = Result<ReceivedAnswer, String>>,
{
    let end = Instant::now() + WAIT_TIMEOUT;
    while Instant::now() < end {
        let answer = tokio::time::timeout(CALL_TIMEOUT, send()).await;
        if matches!(answer, Ok(Ok(answer)) if answer.status == 200 && answer.is_whole) {
            return;
        }
        tokio::time::sleep(CALL_PAUSE).await;
    }
    panic!("timed out waiting until {description}");
}

/// Sets the limit of descriptors that the settings state for the process.
fn limit_descriptors(router: &Router) {
    let process_id = i32::try_from(router.process_id()).unwrap();
    let limit = Some(MAX_DESCRIPTORS as u64);
    let limit = Rlimit {
        current: limit,
        maximum: limit,
    };
    prlimit(Pid::from_raw(process_id), Resource::Nofile, limit).unwrap();
}

/// Sends all pieces unless the router closes the connection, and keeps it open without reading.
pub async fn send_and_stay(address: SocketAddr, pieces: Vec<Bytes>) {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return;
    };
    for piece in pieces {
        if stream.write_all(&piece).await.is_err() {
            return;
        }
    }
    std::future::pending::<()>().await;
}

/// Returns the head of a proper request, but for the lines that state its length.
pub fn head(route: &str, number: usize, length_lines: &str) -> Bytes {
    Bytes::from(format!(
        "POST /{route}/x HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Token {KEY}\r\n\
         Currantlever-Attempt-Id: crowd-{number}\r\nCurrantlever-Deadline-Ms: 1000000000\r\n\
         {length_lines}\r\n"
    ))
}

/// Returns pieces of this size that make up some bytes.
pub fn pieces(bytes: usize, piece_bytes: usize) -> Vec<Bytes> {
    let piece = Bytes::from(vec![b'x'; piece_bytes]);
    let mut all = vec![piece; bytes / piece_bytes];
    all.push(Bytes::from(vec![b'x'; bytes % piece_bytes]));
    all
}

/// Returns chunks of this size that make up some bytes, without the last, empty one.
pub fn chunks(bytes: usize, chunk_bytes: usize) -> Vec<Bytes> {
    let mut chunk = format!("{chunk_bytes:x}\r\n").into_bytes();
    chunk.extend(vec![b'x'; chunk_bytes]);
    chunk.extend(b"\r\n");
    // Many small chunks are sent together.
    let per_piece = (64 * 1_024 / chunk_bytes).max(1);
    let count = bytes / chunk_bytes;
    let piece = Bytes::from(chunk.repeat(per_piece));
    let mut all = vec![piece; count / per_piece];
    all.push(Bytes::from(chunk.repeat(count % per_piece)));
    all
}

/// Sends a request and returns all that the router sends until it closes the connection or the
/// answer's text was received.
pub async fn answer_with(address: SocketAddr, pieces: Vec<Bytes>, text: &str) -> String {
    let (mut reader, mut writer) = TcpStream::connect(address).await.unwrap().into_split();
    let sender = tokio::spawn(async move {
        for piece in pieces {
            // The router may answer and close the connection before it has read all.
            if writer.write_all(&piece).await.is_err() {
                break;
            }
        }
        writer
    });
    let mut received = Vec::new();
    loop {
        let got = String::from_utf8_lossy(&received).into_owned();
        if got.contains(text) {
            sender.abort();
            return got;
        }
        if let Ok(0) | Err(_) = reader.read_buf(&mut received).await {
            sender.abort();
            return got;
        }
    }
}

/// Shares the pieces of all clients of a crowd, which differ only in their heads.
pub fn with_head(
    route: &'static str,
    lines: &'static str,
    rest: Vec<Bytes>,
) -> impl Fn(usize) -> Vec<Bytes> {
    let rest = Arc::new(rest);
    move |number| {
        let mut all = vec![head(route, number, lines)];
        all.extend(rest.iter().cloned());
        all
    }
}
