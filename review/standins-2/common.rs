//! Parts that the cases of the second review share: a store, router processes, HTTP messages.
//! Standard library only. Every address is a loopback address.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

// ---------------------------------------------------------------- record

/// Writes `record.txt` and tells the time since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn new(path: &Path) -> Self {
        let file = fs::File::create(path).expect("record.txt");
        thread::spawn(|| {
            thread::sleep(TIME_LIMIT);
            cannot_run("it took too long");
        });
        std::panic::set_hook(Box::new(|panic| {
            eprintln!("{panic}");
            cannot_run("panic");
        }));
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {text}");
    }

    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{:8.3} {text}", self.start.elapsed().as_secs_f64());
    }

    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }
}

/// Ids of the processes that were started and have not been waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// Folder for settings and logs.
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);
/// Longest time that a case may take.
const TIME_LIMIT: Duration = Duration::from_secs(117);

/// Ends all processes that were started, and this one.
pub fn finish(code: i32) -> ! {
    let started = STARTED.lock().unwrap().clone();
    for id in started {
        let _ = Command::new("kill")
            .args(["-KILL", &id.to_string()])
            .status();
    }
    if let Some(folder) = FOLDER.lock().unwrap().take() {
        let _ = fs::remove_dir_all(folder);
    }
    std::process::exit(code);
}

/// Ends the case because it could not run.
pub fn cannot_run(text: &str) -> ! {
    eprintln!("the case could not run: {text}");
    finish(2);
}

// ---------------------------------------------------------------- HTTP

/// A message: its first line, its headers in lower case, its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let code = self.first_line.split(' ').nth(1).unwrap_or("0");
        code.parse().unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads messages from a connection.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> std::io::Result<usize> {
        let mut chunk = [0; 16 * 1024];
        let length = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..length]);
        Ok(length)
    }

    /// Reads a head; none if the connection ended before it.
    pub fn head(&mut self) -> Option<Message> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|four| four == b"\r\n\r\n") {
                break end;
            }
            if !matches!(self.fill(), Ok(1..)) {
                return None;
            }
        };
        let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let first_line = lines.next().unwrap_or("").to_owned();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        Some(Message {
            first_line,
            headers,
            body: Vec::new(),
        })
    }

    pub fn bytes(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < count {
            if !matches!(self.fill(), Ok(1..)) {
                return None;
            }
        }
        Some(self.buffer.drain(..count).collect())
    }

    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Some(line);
            }
            if !matches!(self.fill(), Ok(1..)) {
                return None;
            }
        }
    }

    /// Reads the next chunk; none at a break, empty at the end.
    pub fn chunk(&mut self) -> Option<Vec<u8>> {
        let length = usize::from_str_radix(self.line()?.trim(), 16).ok()?;
        let data = self.bytes(length)?;
        self.bytes(2)?;
        Some(data)
    }

    /// Reads a whole message.
    pub fn message(&mut self) -> Option<Message> {
        let mut message = self.head()?;
        if message
            .header("transfer-encoding")
            .is_some_and(|value| value.contains("chunked"))
        {
            loop {
                let chunk = self.chunk()?;
                if chunk.is_empty() {
                    return Some(message);
                }
                message.body.extend(chunk);
            }
        }
        let length = message
            .header("content-length")
            .and_then(|value| value.parse().ok());
        message.body = self.bytes(length.unwrap_or(0))?;
        Some(message)
    }
}

/// Sends one request on a new connection and reads its answer within a time.
pub fn call(address: SocketAddr, head: &str, body: &[u8], limit: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut bytes = format!("{head}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).ok()?;
    Reader::new(stream).message()
}

pub fn serve<F>(listener: TcpListener, handler: F)
where
    F: Fn(Reader) + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            let _ = stream.set_nodelay(true);
            thread::spawn(move || handler(Reader::new(stream)));
        }
    });
}

// ---------------------------------------------------------------- JSON

fn skip_space(text: &[u8], mut at: usize) -> usize {
    while at < text.len() && text[at].is_ascii_whitespace() {
        at += 1;
    }
    at
}

/// Returns the end of the JSON value that begins at a place.
fn value_end(text: &[u8], at: usize) -> usize {
    match text.get(at) {
        Some(b'"') => {
            let mut end = at + 1;
            while end < text.len() && text[end] != b'"' {
                end += if text[end] == b'\\' { 2 } else { 1 };
            }
            end + 1
        }
        Some(b'{' | b'[') => {
            let mut depth = 0;
            let mut end = at;
            while end < text.len() {
                match text[end] {
                    b'"' => {
                        end = value_end(text, end);
                        continue;
                    }
                    b'{' | b'[' => depth += 1,
                    b'}' | b']' => {
                        depth -= 1;
                        if depth == 0 {
                            return end + 1;
                        }
                    }
                    _ => {}
                }
                end += 1;
            }
            end
        }
        _ => {
            let mut end = at;
            while end < text.len() && !b",]}".contains(&text[end]) {
                end += 1;
            }
            end
        }
    }
}

/// Returns the text of a member of a JSON object.
pub fn member<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    let text = object.as_bytes();
    let mut at = skip_space(text, 0) + 1;
    loop {
        at = skip_space(text, at);
        if text.get(at) != Some(&b'"') {
            return None;
        }
        let end = value_end(text, at);
        let key = &object[at + 1..end - 1];
        at = skip_space(text, skip_space(text, end) + 1);
        let end = value_end(text, at);
        if key == name {
            return Some(object[at..end].trim());
        }
        at = skip_space(text, end) + 1;
    }
}

fn unquote(text: &str) -> &str {
    text.trim_matches('"')
}

// ---------------------------------------------------------------- store

#[derive(Clone)]
struct Object {
    revision: u64,
    spec: String,
}

struct Event {
    revision: u64,
    kind: String,
    removed: bool,
    object: String,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
    refused_as_too_large: u64,
    largest_bytes: usize,
}

/// The platform's store: objects by kind and name, conditional writes, watches. It loses nothing,
/// answers at once, and refuses a value of more than `value_bytes`.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    value_bytes: usize,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

fn object_text(name: &str, object: &Object) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"created\":1,\"finalizers\":[],\
         \"deleting\":false}},\"spec\":{},\"status\":null}}",
        object.revision, object.spec
    )
}

impl Store {
    pub fn start(value_bytes: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("store");
        let address = listener.local_addr().unwrap();
        let store = Self {
            address,
            value_bytes,
            state: Arc::default(),
        };
        let served = store.clone();
        serve(listener, move |mut reader| {
            while let Some(request) = reader.message() {
                let (status, body) = served.answer(&request);
                let head = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n\
                     Content-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                if reader.stream.write_all(head.as_bytes()).is_err() {
                    return;
                }
            }
        });
        store
    }

    /// Writes an object as the operator or a server does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.state.0.lock().unwrap();
        Self::write(&mut state, kind, name, spec.to_owned());
        self.state.1.notify_all();
    }

    pub fn get(&self, kind: &str, name: &str) -> Option<String> {
        let state = self.state.0.lock().unwrap();
        let object = state.objects.get(&(kind.to_owned(), name.to_owned()));
        object.map(|object| object.spec.clone())
    }

    /// Returns how many writes were refused because the value was too large, and the length of the
    /// largest value that was accepted.
    pub fn sizes(&self) -> (u64, usize) {
        let state = self.state.0.lock().unwrap();
        (state.refused_as_too_large, state.largest_bytes)
    }

    fn write(state: &mut StoreState, kind: &str, name: &str, spec: String) -> String {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(known) = state.objects.get(&key).filter(|known| known.spec == spec) {
            return object_text(name, known);
        }
        state.revision += 1;
        state.largest_bytes = state.largest_bytes.max(spec.len());
        let object = Object {
            revision: state.revision,
            spec,
        };
        let text = object_text(name, &object);
        state.objects.insert(key, object);
        state.events.push(Event {
            revision: state.revision,
            kind: kind.to_owned(),
            removed: false,
            object: text.clone(),
        });
        // The history is bounded; a watch from before it gets 410.
        if state.events.len() > 2_000 {
            state.events.drain(..1_000);
        }
        text
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let target = request.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            query
                .split('&')
                .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
        };
        let mut parts = path.trim_start_matches('/').split('/').skip(1);
        let (kind, name) = (parts.next().unwrap_or(""), parts.next());
        let body = String::from_utf8_lossy(&request.body).into_owned();
        match (request.method(), name) {
            ("GET", None) if parameter("watch").is_some() => {
                let after = parameter("watch")
                    .and_then(|text| text.parse().ok())
                    .unwrap_or(0);
                let wait = parameter("wait_ms")
                    .and_then(|text| text.parse().ok())
                    .unwrap_or(0);
                self.watch(kind, after, Duration::from_millis(wait))
            }
            ("GET", None) => self.list(kind, parameter("after").unwrap_or("")),
            ("GET", Some(name)) => {
                let state = self.state.0.lock().unwrap();
                match state.objects.get(&(kind.to_owned(), name.to_owned())) {
                    Some(object) => (200, object_text(name, object)),
                    None => (404, "{}".to_owned()),
                }
            }
            ("POST" | "PUT", _) => self.change(kind, name, &body),
            ("DELETE", Some(name)) => {
                let expected = parameter("revision").and_then(|text| text.parse().ok());
                self.remove(kind, name, expected)
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn change(&self, kind: &str, name: Option<&str>, body: &str) -> (u16, String) {
        let Some(metadata) = member(body, "metadata") else {
            return (400, "{}".to_owned());
        };
        let own_name = unquote(member(metadata, "name").unwrap_or("")).to_owned();
        let expected: Option<u64> = member(metadata, "revision").and_then(|text| text.parse().ok());
        let spec = member(body, "spec").unwrap_or("null").to_owned();
        let mut state = self.state.0.lock().unwrap();
        let key = (kind.to_owned(), name.unwrap_or(&own_name).to_owned());
        let known = state.objects.get(&key).cloned();
        match (&known, name) {
            (Some(known), None) => return (409, object_text(&key.1, known)),
            (None, Some(_)) => return (404, "{}".to_owned()),
            _ => {}
        }
        if let (Some(known), Some(expected)) = (&known, expected) {
            if known.revision != expected {
                return (409, object_text(&key.1, known));
            }
        }
        if spec.len() > self.value_bytes {
            state.refused_as_too_large += 1;
            return (413, "{}".to_owned());
        }
        let text = Self::write(&mut state, kind, &key.1, spec);
        self.state.1.notify_all();
        (200, text)
    }

    fn remove(&self, kind: &str, name: &str, expected: Option<u64>) -> (u16, String) {
        let mut state = self.state.0.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let Some(known) = state.objects.get(&key).cloned() else {
            return (404, "{}".to_owned());
        };
        let text = object_text(name, &known);
        if expected.is_some_and(|expected| expected != known.revision) {
            return (409, text);
        }
        state.objects.remove(&key);
        state.revision += 1;
        let revision = state.revision;
        state.events.push(Event {
            revision,
            kind: kind.to_owned(),
            removed: true,
            object: text.clone(),
        });
        self.state.1.notify_all();
        (200, text)
    }

    fn list(&self, kind: &str, after: &str) -> (u16, String) {
        let state = self.state.0.lock().unwrap();
        let mut items = Vec::new();
        let mut length = 0;
        let mut has_more = false;
        for ((object_kind, name), object) in &state.objects {
            if object_kind != kind || name.as_str() <= after && !after.is_empty() {
                continue;
            }
            if items.len() >= 500 || length > 1_000_000 {
                has_more = true;
                break;
            }
            let text = object_text(name, object);
            length += text.len();
            items.push(text);
        }
        let items = items.join(",");
        let revision = state.revision;
        (
            200,
            format!("{{\"items\":[{items}],\"has_more\":{has_more},\"current_rev\":{revision}}}"),
        )
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> (u16, String) {
        let end = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        loop {
            let is_gone = state
                .events
                .first()
                .is_some_and(|first| first.revision > after + 1);
            if is_gone && state.events.len() >= 1_000 {
                return (410, "{}".to_owned());
            }
            let events: Vec<String> = state
                .events
                .iter()
                .filter(|event| event.kind == kind && event.revision > after)
                .map(|event| {
                    format!(
                        "{{\"removed\":{},\"object\":{}}}",
                        event.removed, event.object
                    )
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = state.revision;
                let events = events.join(",");
                return (
                    200,
                    format!("{{\"events\":[{events}],\"current_rev\":{revision}}}"),
                );
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

// ---------------------------------------------------------------- routers

/// Addresses of one router.
#[derive(Clone, Debug)]
pub struct RouterAddresses {
    pub name: String,
    pub zone: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub registry: SocketAddr,
    pub metrics: SocketAddr,
    pub peers: SocketAddr,
}

/// Returns a port that is free at a loopback address, for TCP and UDP. It lies outside the range of
/// outgoing connections, which could take it before the router listens.
pub fn free_port(ip: &str) -> u16 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    for _ in 0..20_000 {
        let next = NEXT.fetch_add(1, Ordering::Relaxed);
        let offset = std::process::id().wrapping_mul(101).wrapping_add(next) % 20_000;
        let port = 10_000 + offset as u16;
        if TcpListener::bind((ip, port)).is_ok() && UdpSocket::bind((ip, port)).is_ok() {
            return port;
        }
    }
    cannot_run("no port is free");
}

impl RouterAddresses {
    pub fn new(name: &str, zone: &str, ip: &str) -> Self {
        let address = || SocketAddr::new(ip.parse().unwrap(), free_port(ip));
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            callers: address(),
            ready: address(),
            registry: address(),
            metrics: address(),
            peers: address(),
        }
    }
}

/// A router process, killed when dropped.
pub struct Router {
    pub addresses: RouterAddresses,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Router {
    /// Starts a router with the command of the deploy file.
    pub fn start(addresses: RouterAddresses, store: SocketAddr, folder: &Path) -> Self {
        let settings = folder.join(format!("{}.json", addresses.name));
        let log = folder.join(format!("{}.log", addresses.name));
        let text = format!(
            "{{\"vm\":\"{}\",\"failure_domain\":\"{}\",\"callers_listen\":\"{}\",\
             \"ready_listen\":\"{}\",\"registry_listen\":\"{}\",\"metrics_listen\":\"{}\",\
             \"peer_listen\":\"{}\",\"store_address\":\"{store}\",\"cpu_cores\":0.25,\
             \"max_descriptors\":4100,\"memory_mb\":110,\"grace_s\":8,\
             \"retries\":{{\"ratio\":0.2,\"slack\":58,\"window_s\":10}}}}",
            addresses.name,
            addresses.zone,
            addresses.callers,
            addresses.ready,
            addresses.registry,
            addresses.metrics,
            addresses.peers
        );
        fs::write(&settings, text).expect("settings");
        let child = Self::spawn(&settings, &log);
        Self {
            addresses,
            settings,
            log,
            child,
        }
    }

    fn spawn(settings: &Path, log: &Path) -> Child {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)
            .expect("log");
        let child = Command::new("target/release/currantlever")
            .arg("entry")
            .env("CURRANTLEVER_CONFIG", settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| cannot_run(&format!("router: {error}")));
        STARTED.lock().unwrap().push(child.id());
        child
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let id = self.child.id();
        STARTED.lock().unwrap().retain(|started| *started != id);
    }

    /// Starts the process again, as the platform does.
    pub fn restart(&mut self) {
        self.child = Self::spawn(&self.settings, &self.log);
    }

    /// Sends a signal by name.
    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let _ = Command::new("kill").args([signal, &id]).status();
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn has_exited(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    pub fn is_ready(&self) -> bool {
        let answer = call(
            self.addresses.ready,
            "GET /readyz HTTP/1.1\r\nHost: x\r\n",
            b"",
            Duration::from_secs(1),
        );
        answer.is_some_and(|answer| answer.status() == 200)
    }

    pub fn wait_ready(&self) {
        let end = Instant::now() + Duration::from_secs(20);
        while !self.is_ready() {
            if Instant::now() > end {
                cannot_run("a router was not ready in time");
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns a new folder for settings and logs below the build folder.
pub fn work_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("review-2-{name}-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("folder");
    *FOLDER.lock().unwrap() = Some(folder.clone());
    folder
}

/// True if the case shall run with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---------------------------------------------------------------- replicas

/// What a replica has seen: attempt ids in the order in which they began to run.
pub type Runs = Arc<Mutex<Vec<(Duration, String)>>>;

/// A sound model replica: each request gets a whole stream of events.
pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    pub runs: Runs,
}

impl Replica {
    /// Starts a replica that answers with `events` events, one each `pause`.
    pub fn start(id: &str, events: u32, pause: Duration, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("replica");
        let address = listener.local_addr().unwrap();
        let runs = Runs::default();
        let (own_id, seen, record) = (id.to_owned(), Arc::clone(&runs), record.clone());
        serve(listener, move |mut reader| {
            while let Some(request) = reader.message() {
                let attempt = request
                    .header("currantlever-attempt-id")
                    .unwrap_or("")
                    .to_owned();
                if request.header("currantlever-expect-replica") != Some(own_id.as_str()) {
                    let text = format!(
                        "HTTP/1.1 421 Misdirected Request\r\nCurrantlever-Replica-Id: {own_id}\r\n\
                         Currantlever-Attempt-Id: {attempt}\r\nContent-Length: 0\r\n\r\n"
                    );
                    if reader.stream.write_all(text.as_bytes()).is_err() {
                        return;
                    }
                    continue;
                }
                seen.lock()
                    .unwrap()
                    .push((record.elapsed(), attempt.clone()));
                record.line(&format!("{own_id} runs {attempt}"));
                let head = format!(
                    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
                     Currantlever-Attempt-Id: {attempt}\r\n\
                     Currantlever-Replica-Signature: {own_id}.{attempt}\r\n\
                     Transfer-Encoding: chunked\r\n\r\n"
                );
                if reader.stream.write_all(head.as_bytes()).is_err() {
                    return;
                }
                for event in 1..=events {
                    let text = format!("id: {event}\ndata: {attempt}.{event}\n\n");
                    let chunk = format!("{:x}\r\n{text}\r\n", text.len());
                    if reader.stream.write_all(chunk.as_bytes()).is_err() {
                        return;
                    }
                    thread::sleep(pause);
                }
                if reader.stream.write_all(b"0\r\n\r\n").is_err() {
                    return;
                }
            }
        });
        Self {
            id: id.to_owned(),
            address,
            runs,
        }
    }

    /// Returns its entry in the store.
    pub fn entry(&self, service: &str, slots: u32) -> String {
        server_entry(service, self.address, slots)
    }
}

/// Returns the entry of a server in the store.
pub fn server_entry(service: &str, address: SocketAddr, slots: u32) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"a\",\"version\":\"v1\",\
         \"slots\":{slots},\"phase\":\"ready\",\"cold_left_ms\":0,\"sequence\":1,\
         \"born\":1780000000000}}"
    )
}
