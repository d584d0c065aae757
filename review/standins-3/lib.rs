//! Stand-ins for the scripts of this review, with the standard library only: the platform's store,
//! servers, and clients. They follow PROTOCOL.md.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

// ---------------------------------------------------------------- JSON

fn skip_space(text: &[u8], mut at: usize) -> usize {
    while at < text.len() && text[at].is_ascii_whitespace() {
        at += 1;
    }
    at
}

/// Returns the end of the JSON value that begins at `at`.
fn value_end(text: &[u8], at: usize) -> usize {
    let mut depth = 0;
    let mut i = at;
    while i < text.len() {
        match text[i] {
            b'"' => {
                i += 1;
                while i < text.len() && text[i] != b'"' {
                    i += if text[i] == b'\\' { 2 } else { 1 };
                }
                if depth == 0 {
                    return i + 1;
                }
            }
            b'{' | b'[' => depth += 1,
            b'}' | b']' => {
                if depth == 0 {
                    return i;
                }
                depth -= 1;
                if depth == 0 {
                    return i + 1;
                }
            }
            b',' if depth == 0 => return i,
            _ => {}
        }
        i += 1;
    }
    i
}

/// Returns the raw value of a field of a JSON object.
pub fn field<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    let text = object.as_bytes();
    let mut at = skip_space(text, 0);
    if text.get(at) != Some(&b'{') {
        return None;
    }
    at += 1;
    loop {
        at = skip_space(text, at);
        if text.get(at) != Some(&b'"') {
            return None;
        }
        let key_end = value_end(text, at);
        let key = &object[at + 1..key_end - 1];
        at = skip_space(text, key_end) + 1;
        at = skip_space(text, at);
        let end = value_end(text, at);
        if key == name {
            return Some(object[at..end].trim());
        }
        at = skip_space(text, end);
        if text.get(at) != Some(&b',') {
            return None;
        }
        at += 1;
    }
}

/// Returns the text of a JSON string without escapes.
pub fn unquoted(value: &str) -> String {
    value.trim_matches('"').to_owned()
}

// ---------------------------------------------------------------- HTTP

/// A request as a server reads it.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }
}

/// Reads the first line and the headers of a message.
fn read_head(reader: &mut BufReader<TcpStream>) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
}

/// Reads a request with a length.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let mut message = Message {
        method: words.next()?.to_owned(),
        target: words.next()?.to_owned(),
        headers,
        body: Vec::new(),
    };
    let length = message.header("content-length").and_then(|text| text.parse().ok());
    message.body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// Writes an answer with a length.
pub fn write_answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> std::io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} X\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// What a client got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Got {
    /// Status; 0 without an answer.
    pub status: u16,
    /// True if a server's signature came with it.
    pub is_signed: bool,
    /// True if the body ended as its framing says.
    pub is_whole: bool,
    pub body: Vec<u8>,
}

/// Sends one request on a new connection and reads the answer until its end.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Got {
    let none = Got { status: 0, is_signed: false, is_whole: false, body: Vec::new() };
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return none;
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(timeout));
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\nConnection: close\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    if stream.write_all(&bytes).is_err() {
        return none;
    }
    let mut reader = BufReader::new(stream);
    let Some((first, headers)) = read_head(&mut reader) else {
        return none;
    };
    let status = first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    let header = |name: &str| {
        let mut headers = headers.iter();
        headers.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.clone())
    };
    let mut got = Got {
        status,
        is_signed: header("currantlever-replica-signature").is_some(),
        is_whole: false,
        body: Vec::new(),
    };
    if header("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return got;
            }
            let Ok(length) = usize::from_str_radix(line.trim(), 16) else {
                return got;
            };
            let mut chunk = vec![0; length + 2];
            if reader.read_exact(&mut chunk).is_err() {
                return got;
            }
            if length == 0 {
                got.is_whole = true;
                return got;
            }
            got.body.extend_from_slice(&chunk[..length]);
        }
    }
    let length = header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    got.body = vec![0; length];
    got.is_whole = reader.read_exact(&mut got.body).is_ok();
    got
}

// ---------------------------------------------------------------- the platform's store

/// Length from which on a page of a listing takes no more objects.
const PAGE_BYTES: usize = 1_000_000;

#[derive(Clone, Debug)]
struct Object {
    name: String,
    revision: u64,
    spec: String,
}

impl Object {
    fn json(&self) -> String {
        format!(
            "{{\"metadata\":{{\"name\":\"{}\",\"revision\":{},\"created\":1,\"finalizers\":[],\
             \"deleting\":false}},\"spec\":{},\"status\":null}}",
            self.name, self.revision, self.spec
        )
    }
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    kinds: BTreeMap<String, BTreeMap<String, Object>>,
    /// Revision, kind, object, and whether it was removed.
    events: Vec<(u64, String, Object, bool)>,
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let state = StoreState { revision: 10, ..StoreState::default() };
        let store = Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            address: listener.local_addr().expect("an address"),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an object, as the operator, a server or another writer does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.state.0.lock().expect("a lock");
        change(&mut state, kind, name, spec);
        self.state.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            let (status, body) = self.answer(&request);
            thread::sleep(Duration::from_millis(4));
            let headers = [("Content-Type", "application/json")];
            if write_answer(&mut writer, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
        let query = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
        };
        let mut parts = path.trim_start_matches("/objects/").split('/');
        let kind = parts.next().unwrap_or_default().to_owned();
        let name = parts.next().map(str::to_owned);
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let metadata = field(&body, "metadata").unwrap_or("{}");
        let expected = query("revision").or_else(|| field(metadata, "revision").map(str::to_owned));
        let expected: Option<u64> = expected.and_then(|text| text.parse().ok());
        let mut state = self.state.0.lock().expect("a lock");
        match (request.method.as_str(), name) {
            ("GET", None) => {
                let Some(since) = query("watch").and_then(|text| text.parse::<u64>().ok()) else {
                    // A page of about a megabyte.
                    let after = query("after").unwrap_or_default();
                    let objects = state.kinds.get(&kind).into_iter().flat_map(BTreeMap::values);
                    let mut items = String::new();
                    let mut has_more = false;
                    for object in objects.filter(|object| object.name > after) {
                        if items.len() >= PAGE_BYTES {
                            has_more = true;
                            break;
                        }
                        if !items.is_empty() {
                            items.push(',');
                        }
                        items.push_str(&object.json());
                    }
                    let revision = state.revision;
                    return (200, format!(
                        "{{\"items\":[{items}],\"has_more\":{has_more},\"current_rev\":{revision}}}"
                    ));
                };
                let wait = query("wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(wait);
                loop {
                    let events = state.events.iter().filter(|(revision, of, ..)| {
                        *revision > since && *of == kind
                    });
                    let events: Vec<String> = events
                        .map(|(_, _, object, removed)| {
                            format!("{{\"removed\":{removed},\"object\":{}}}", object.json())
                        })
                        .collect();
                    let left = end.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        return (200, format!(
                            "{{\"events\":[{}],\"current_rev\":{}}}",
                            events.join(","), state.revision
                        ));
                    }
                    state = self.state.1.wait_timeout(state, left).expect("a lock").0;
                }
            }
            ("GET", Some(name)) => match find(&state, &kind, &name) {
                Some(object) => (200, object.json()),
                None => (404, "{}".to_owned()),
            },
            ("POST", _) => {
                let name = unquoted(field(metadata, "name").unwrap_or_default());
                if let Some(object) = find(&state, &kind, &name) {
                    return (409, object.json());
                }
                let object = change(&mut state, &kind, &name, field(&body, "spec").unwrap_or("null"));
                self.state.1.notify_all();
                (200, object.json())
            }
            ("PUT", Some(name)) => {
                let Some(object) = find(&state, &kind, &name) else {
                    return (404, "{}".to_owned());
                };
                if expected.is_some_and(|expected| expected != object.revision) {
                    return (409, object.json());
                }
                let object = change(&mut state, &kind, &name, field(&body, "spec").unwrap_or("null"));
                self.state.1.notify_all();
                (200, object.json())
            }
            ("DELETE", Some(name)) => {
                let Some(object) = find(&state, &kind, &name) else {
                    return (404, "{}".to_owned());
                };
                if expected.is_some_and(|expected| expected != object.revision) {
                    return (409, object.json());
                }
                state.revision += 1;
                let revision = state.revision;
                if let Some(kind) = state.kinds.get_mut(&kind) {
                    kind.remove(&name);
                }
                state.events.push((revision, kind, object.clone(), true));
                self.state.1.notify_all();
                (200, object.json())
            }
            _ => (400, "{}".to_owned()),
        }
    }
}

fn find(state: &StoreState, kind: &str, name: &str) -> Option<Object> {
    state.kinds.get(kind)?.get(name).cloned()
}

fn change(state: &mut StoreState, kind: &str, name: &str, spec: &str) -> Object {
    if let Some(object) = find(state, kind, name).filter(|object| object.spec == spec) {
        return object;
    }
    state.revision += 1;
    let object =
        Object { name: name.to_owned(), revision: state.revision, spec: spec.to_owned() };
    let objects = state.kinds.entry(kind.to_owned()).or_default();
    objects.insert(name.to_owned(), object.clone());
    state.events.push((object.revision, kind.to_owned(), object.clone(), false));
    object
}

// ---------------------------------------------------------------- servers

/// A request that a server ran.
#[derive(Clone, Debug)]
pub struct Ran {
    pub at: Instant,
    pub request: Message,
}

/// A server with the requests that it ran. `answer` writes the answer of one request, and returns
/// false if the connection ends with it.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    pub ran: Arc<Mutex<Vec<Ran>>>,
}

impl Server {
    pub fn start<F>(id: &str, answer: F) -> Self
    where
        F: Fn(&Server, &Message, &mut TcpStream) -> bool + Send + Sync + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let server = Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("an address"),
            ran: Arc::default(),
        };
        let served = server.clone();
        let answer = Arc::new(answer);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (server, answer) = (served.clone(), Arc::clone(&answer));
                thread::spawn(move || {
                    let _ = stream.set_nodelay(true);
                    let Ok(mut writer) = stream.try_clone() else { return };
                    let mut reader = BufReader::new(stream);
                    while let Some(request) = read_request(&mut reader) {
                        if !answer(&server, &request, &mut writer) {
                            let _ = writer.shutdown(Shutdown::Both);
                            return;
                        }
                    }
                });
            }
        });
        server
    }

    pub fn record(&self, request: &Message) {
        let ran = Ran { at: Instant::now(), request: request.clone() };
        self.ran.lock().expect("a lock").push(ran);
    }

    pub fn ran(&self) -> Vec<Ran> {
        self.ran.lock().expect("a lock").clone()
    }
}

/// Returns true if a request is meant for a replica; answers 421 if not.
pub fn is_expected(server: &Server, request: &Message, writer: &mut TcpStream) -> bool {
    let expected = request.header("currantlever-expect-replica");
    if expected.is_none_or(|expected| expected == server.id) {
        return true;
    }
    let headers = [("Currantlever-Replica-Id", server.id.as_str())];
    let _ = write_answer(writer, 421, &headers, b"");
    false
}

/// A sound replica of a plain service: it runs a request for some milliseconds and answers 200.
pub fn plain_replica(id: &str, work: Duration) -> Server {
    Server::start(id, move |server, request, writer| {
        if !is_expected(server, request, writer) {
            return true;
        }
        server.record(request);
        thread::sleep(work);
        let attempt = request.header("currantlever-attempt-id").unwrap_or_default();
        let signature = format!("{}.1", server.id);
        let headers = [
            ("Currantlever-Attempt-Id", attempt),
            ("Currantlever-Replica-Signature", signature.as_str()),
        ];
        write_answer(writer, 200, &headers, b"done").is_ok()
    })
}

// ---------------------------------------------------------------- routers

/// Returns a free port of an address, for TCP and UDP.
fn free_port() -> u16 {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    for _ in 0..20_000 {
        let offset = NEXT.fetch_add(1, Ordering::Relaxed) + u64::from(std::process::id()) * 97;
        let port = 10_000 + (offset % 20_000) as u16;
        if TcpListener::bind(("127.0.0.1", port)).is_ok()
            && UdpSocket::bind(("127.0.0.1", port)).is_ok()
        {
            return port;
        }
    }
    0
}

/// A process of the deploy file's role; killed on drop.
pub struct Router {
    child: Child,
    settings: PathBuf,
    log: PathBuf,
    pub name: String,
    pub frontend: SocketAddr,
    pub ready: SocketAddr,
}

/// Settings of a small deployment.
pub struct Deployment<'a> {
    pub root: &'a Path,
    pub folder: &'a Path,
    pub store: SocketAddr,
}

impl Deployment<'_> {
    /// Fills in deploy/entry.json and starts `target/release/currantlever entry`.
    pub fn start(&self, name: &str, zone: &str) -> Router {
        self.start_with(name, zone, 260)
    }

    /// The same on a machine with so much memory.
    pub fn start_with(&self, name: &str, zone: &str, memory_mb: u32) -> Router {
        let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let (frontend, ready) = (address(free_port()), address(free_port()));
        let quoted = |text: &str| format!("\"{text}\"");
        let values = [
            ("{{node_name|json}}", quoted(name)),
            ("{{zone|json}}", quoted(zone)),
            ("{{listen.frontend|json}}", quoted(&frontend.to_string())),
            ("{{listen.ready|json}}", quoted(&ready.to_string())),
            ("{{listen.registry|json}}", quoted(&address(free_port()).to_string())),
            ("{{ip}}:9464", address(free_port()).to_string()),
            ("{{ip}}:{{internal_ports.0}}", address(free_port()).to_string()),
            ("{{platform.address|json}}", quoted(&self.store.to_string())),
            ("{{limits.cpu_quota|json}}", "0.25".to_owned()),
            ("{{limits.max_fds|json}}", "4100".to_owned()),
            ("{{limits.memory_mb|json}}", memory_mb.to_string()),
            ("{{bounds.grace_s|json}}", "8.0".to_owned()),
            ("{{bounds.retry_ratio|json}}", "0.2".to_owned()),
            ("{{bounds.retry_slack|json}}", "56.0".to_owned()),
            ("{{bounds.retry_window_s|json}}", "10".to_owned()),
        ];
        let mut text = std::fs::read_to_string(self.root.join("deploy/entry.json"))
            .expect("deploy/entry.json");
        for (placeholder, value) in values {
            text = text.replace(placeholder, &value);
        }
        assert!(!text.contains("{{"), "a placeholder is not known: {text}");
        let settings = self.folder.join(format!("{name}.json"));
        std::fs::write(&settings, text).expect("a settings file");
        let log = self.folder.join(format!("{name}.log"));
        let child = spawn(self.root, &settings, &log);
        Router { child, settings, log, name: name.to_owned(), frontend, ready }
    }
}

fn spawn(root: &Path, settings: &Path, log: &Path) -> Child {
    let log = std::fs::OpenOptions::new().create(true).append(true).open(log).expect("a log");
    Command::new(root.join("target/release/currantlever"))
        .arg("entry")
        .current_dir(root)
        .env("CURRANTLEVER_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("a log"))
        .stderr(log)
        .spawn()
        .expect("target/release/currantlever; build it first")
}

impl Router {
    /// Waits until the router says that it is ready.
    pub fn wait_ready(&self, time: Duration) -> bool {
        let end = Instant::now() + time;
        while Instant::now() < end {
            let second = Duration::from_secs(1);
            if call(self.ready, "GET", "/readyz", &[("Host", "x")], b"", second).status == 200 {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Returns the resident memory of the process that no file backs, in bytes.
    pub fn memory_bytes(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
        let kilobytes = line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok());
        kilobytes.unwrap_or(0_u64) * 1_024
    }

    pub fn signal(&self, signal: &str) {
        let _ = Command::new("kill").args([signal, &self.child.id().to_string()]).status();
    }

    /// Kills the process and starts it again with the same settings.
    pub fn restart(&mut self, root: &Path) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.child = spawn(root, &self.settings, &self.log);
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}

// ---------------------------------------------------------------- a run

/// One run of a script, with its record.
pub struct Script {
    pub root: PathBuf,
    pub case: PathBuf,
    pub folder: PathBuf,
    pub has_trouble: bool,
    pub started: Instant,
    record: Mutex<String>,
}

impl Script {
    /// Begins a run: the arguments are the repository and the folder of the case.
    pub fn begin() -> Self {
        let mut arguments = std::env::args().skip(1).map(PathBuf::from);
        let root = arguments.next().expect("the repository");
        let case = arguments.next().expect("the folder of the case");
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        Self {
            root,
            case,
            folder,
            has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
            started: Instant::now(),
            record: Mutex::default(),
        }
    }

    /// Adds a line to record.txt.
    pub fn note(&self, line: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let line = format!("{at:7.3} s  {line}\n");
        print!("{line}");
        self.record.lock().expect("a lock").push_str(&line);
    }

    /// Writes record.txt, removes the temporary folder and exits: 1 if the rule was broken, 0 if it
    /// held, 2 if the case could not run. The caller has ended all processes.
    pub fn end(&self, result: Result<bool, String>) -> ! {
        let code = match result {
            Ok(true) => {
                self.note("the rule is broken");
                1
            }
            Ok(false) => {
                self.note("the rule held");
                0
            }
            Err(reason) => {
                self.note(&format!("the case could not run: {reason}"));
                2
            }
        };
        let record = self.record.lock().expect("a lock").clone();
        let _ = std::fs::write(self.case.join("record.txt"), record);
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
        std::process::exit(code)
    }
}
