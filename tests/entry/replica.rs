//! A fake replica with fault injection. It writes raw bytes, so that it can violate the protocol.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinSet;

use super::site::free_port;
use super::stutter::answer_faultily;

/// Body of a poison request: a server that starts to run such a request crashes.
pub const POISON_BODY: &str = "ends servers";
/// Body of a poison request that crashes the server after two events of a stream.
pub const POISON_BODY_MID_STREAM: &str = "ends servers in mid-stream";
/// Prompt part that crashes the server that begins to answer a request with it.
pub const POISON_PART: &str = "bad0";
/// Time from the head of an answer to a request with that part to the crash of the server.
const FIRST_TOKEN_DELAY: Duration = Duration::from_millis(30);
/// Time from an answer before the body to the read of the body.
const BODY_READ_DELAY: Duration = Duration::from_millis(50);
/// Receive buffer of a server that reads bodies late.
const SMALL_BUFFER_BYTES: usize = 4_096;
/// Time from a crash to the restart of the server.
pub const RESTART_DELAY: Duration = Duration::from_secs(2);

/// Pause of a server that sends an endless answer slowly.
const SLOW_PAUSE: Duration = Duration::from_millis(20);

/// How a fake replica answers a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Sends a complete answer.
    Answer,
    /// Sends a complete answer after a delay.
    AnswerAfter(Duration),
    /// Answers with status 500.
    Fail,
    /// Answers 503 with the header that states that the request was not run.
    NotRun,
    /// Answers 421, as another replica at the address would.
    Misdirected,
    /// Runs the request and closes the connection without an answer.
    RunAndReset,
    /// Answers with the attempt id of another request.
    WrongId,
    /// Answers without the replica's signature.
    Unsigned,
    /// Sends half of the body and closes the connection.
    Truncated,
    /// Answers with status 500 and half of the body, and falls silent.
    StalledFailure,
    /// Streams the events after the one named in `Last-Event-ID`.
    Stream { events: u64, pause: Duration },
    /// Streams the events after the one named in `Last-Event-ID`, and falls silent for a time after
    /// one of them.
    SilentStream {
        events: u64,
        silent_after: u64,
        silence: Duration,
    },
    /// Waits before the head of an answer, then streams the events after the one named in
    /// `Last-Event-ID`.
    StreamAfter { delay: Duration, events: u64 },
    /// Sends the head and half of the body, falls silent for a time, and sends the rest.
    SilentInBody(Duration),
    /// Reads the head of a request, falls silent for a time, reads the body and answers.
    ReadBodyAfter(Duration),
    /// Streams some events and closes the connection in the middle of the next one.
    BreakStream { after: u64 },
    /// Runs the request and closes the connection without an answer after a delay.
    ResetAfter(Duration),
    /// Sends a complete answer with `Content-Encoding: gzip`.
    ContentEncoded,
    /// Sends the same complete answer twice.
    DuplicateAnswer,
    /// Sends an answer that ends with its connection, which is then reset or closed.
    CloseDelimited { is_reset: bool },
    /// Sends an answer with neither a length nor chunks, and closes the connection or crashes.
    Unframed {
        content_type: &'static str,
        body: String,
        crashes: bool,
    },
    /// Streams events with neither a length nor chunks, and closes the connection after the last.
    UnframedStream { events: u64, pause: Duration },
    /// Answers after the head of the request, then reads the body.
    AnswerBeforeBody,
    /// Sends a head with a line that never ends.
    EndlessLine,
    /// Sends header lines without end.
    EndlessHead,
    /// Sends an answer of this status without a length and with a body that never ends.
    EndlessBody(u16),
    /// Sends like the inner behaviour, which never ends, with pauses.
    Slowly(Box<Behaviour>),
    /// Streams a first event that never ends.
    EndlessEvent,
    /// Streams complete events without end.
    EndlessEvents,
    /// Streams one complete event, then single bytes of an event that never ends, with this pause
    /// between them.
    Trickle(Duration),
    /// Answers like [`Self::NotRun`], with a `Retry-After` of this time.
    RequestBackoff(Duration),
    /// Sends a complete answer that states this text as its rate limit.
    Limit(&'static str),
    /// Writes this text, in which `{id}` is the attempt's id, and closes the connection.
    Raw(String),
    /// Answers like the inner behaviour, with the header that announces its shutdown.
    Leaving(Box<Behaviour>),
    /// Streams some events and closes the connection, unless the request resumes a stream; then it
    /// streams the rest.
    BreakNewStream { after: u64, events: u64 },
    /// Answers twice, breaks off or states no end, at random.
    Faulty,
    /// Streams like the inner behaviour; the events state this version of the software.
    OfVersion(&'static str, Box<Behaviour>),
}

/// What a replica adds to its answers.
#[derive(Clone, Copy, Debug, Default)]
struct Additions {
    leaving_line: &'static str,
    version: Option<&'static str>,
}

impl Additions {
    fn event_text(self, event: u64) -> String {
        self.version.map_or_else(
            || event_text(event),
            |version| versioned_event_text(event, version),
        )
    }
}

/// A request as the replica received it.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub head: String,
    pub body: Vec<u8>,
    pub at: Instant,
}

impl ReceivedRequest {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self
            .head
            .lines()
            .skip(1)
            .filter_map(|line| line.split_once(':'));
        let found = lines.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.trim())
    }

    /// Returns true if a part of the prompt other than the last one crashes servers.
    pub fn has_poison_part(&self) -> bool {
        let parts = self.header("currantlever-prefix-hash").unwrap_or_default();
        let mut parts: Vec<&str> = parts.split(',').collect();
        parts.pop();
        parts
            .iter()
            .any(|part| part.starts_with(&format!("{POISON_PART}:")))
    }

    /// Returns the number of body bytes that were not read together with the head.
    fn unread_body_bytes(&self) -> usize {
        let length = self.header("content-length");
        let length: usize = length.and_then(|length| length.parse().ok()).unwrap_or(0);
        length.saturating_sub(self.body.len())
    }
}

/// A fake replica listening on a loopback address.
pub struct FakeReplica {
    pub id: String,
    address: SocketAddr,
    behaviour: Arc<Mutex<Behaviour>>,
    received: Arc<Mutex<Vec<ReceivedRequest>>>,
    disconnects: Arc<Mutex<Vec<Instant>>>,
    crash_count: Arc<AtomicU32>,
    crash: Arc<Notify>,
}

impl FakeReplica {
    pub async fn start(id: &str, behaviour: Behaviour) -> Self {
        let address = SocketAddr::from(([127, 0, 0, 1], free_port()));
        let replica = Self {
            id: id.to_owned(),
            address,
            behaviour: Arc::new(Mutex::new(behaviour)),
            received: Arc::default(),
            disconnects: Arc::default(),
            crash_count: Arc::default(),
            crash: Arc::default(),
        };
        let mut listener = listen(address).await;
        if matches!(
            *replica.behaviour.lock().unwrap(),
            Behaviour::ReadBodyAfter(_)
        ) {
            // Connections inherit it, so that the rest of a body stays at the sender.
            let socket = socket2::SockRef::from(&listener);
            socket.set_recv_buffer_size(SMALL_BUFFER_BYTES).unwrap();
        }
        let (behaviour, received) = (
            Arc::clone(&replica.behaviour),
            Arc::clone(&replica.received),
        );
        let (disconnects, crash) = (Arc::clone(&replica.disconnects), Arc::clone(&replica.crash));
        let crash_count = Arc::clone(&replica.crash_count);
        tokio::spawn(async move {
            loop {
                let mut connections =
                    accept_until_crash(&listener, &crash, &behaviour, &received, &disconnects)
                        .await;
                crash_count.fetch_add(1, Ordering::SeqCst);
                // Closing alone is not enough while a child process that another test is just
                // starting holds a copy of the socket.
                let socket = socket2::SockRef::from(&listener);
                socket.shutdown(std::net::Shutdown::Both).unwrap();
                drop(listener);
                connections.shutdown().await;
                tokio::time::sleep(RESTART_DELAY).await;
                listener = listen(address).await;
            }
        });
        replica
    }

    /// Crashes the server: all connections close, and the port refuses connections until the
    /// server restarts after [`RESTART_DELAY`].
    pub fn crash(&self) {
        self.crash.notify_one();
    }

    /// Returns how often the server has crashed.
    pub fn crash_count(&self) -> u32 {
        self.crash_count.load(Ordering::SeqCst)
    }

    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self.behaviour.lock().unwrap() = behaviour;
    }

    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.received.lock().unwrap().clone()
    }

    /// Returns the number of answers whose connection closed before their end.
    pub fn disconnect_count(&self) -> usize {
        self.disconnects.lock().unwrap().len()
    }

    /// Returns when the connections of answers closed before their end.
    pub fn disconnects(&self) -> Vec<Instant> {
        self.disconnects.lock().unwrap().clone()
    }
}

/// Listens on an address, and retries for about 2 s: a child process between fork and exec may
/// still hold a copy of a socket that was closed here.
async fn listen(address: SocketAddr) -> TcpListener {
    let mut listener = TcpListener::bind(address).await;
    for _ in 0..200 {
        if listener.is_ok() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
        listener = TcpListener::bind(address).await;
    }
    listener.unwrap()
}

/// Serves until the server is to crash, and returns the connections that are still open.
async fn accept_until_crash(
    listener: &TcpListener,
    crash: &Arc<Notify>,
    behaviour: &Arc<Mutex<Behaviour>>,
    received: &Arc<Mutex<Vec<ReceivedRequest>>>,
    disconnects: &Arc<Mutex<Vec<Instant>>>,
) -> JoinSet<()> {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = crash.notified() => return connections,
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                let parts = (Arc::clone(behaviour), Arc::clone(received), Arc::clone(disconnects));
                let crash = Arc::clone(crash);
                connections.spawn(async move {
                    let (behaviour, received, disconnects) = parts;
                    serve(stream, &behaviour, &received, &disconnects, &crash).await;
                });
            }
        }
    }
}

async fn read_request(stream: &mut TcpStream, reads_head_only: bool) -> Option<ReceivedRequest> {
    let mut bytes = Vec::new();
    let head_end = loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            break end + 4;
        }
        let mut buffer = [0; 4096];
        let count = stream.read(&mut buffer).await.ok()?;
        if count == 0 {
            return None;
        }
        bytes.extend_from_slice(&buffer[..count]);
    };
    let mut request = ReceivedRequest {
        head: String::from_utf8_lossy(&bytes[..head_end]).into_owned(),
        body: bytes[head_end..].to_vec(),
        at: Instant::now(),
    };
    let length: usize = request
        .header("content-length")
        .and_then(|length| length.parse().ok())
        .unwrap_or(0);
    if reads_head_only {
        return Some(request);
    }
    while request.body.len() < length {
        let mut buffer = [0; 4096];
        let count = stream.read(&mut buffer).await.ok()?;
        request.body.extend_from_slice(&buffer[..count]);
    }
    Some(request)
}

async fn serve(
    mut stream: TcpStream,
    behaviour: &Mutex<Behaviour>,
    received: &Mutex<Vec<ReceivedRequest>>,
    disconnects: &Mutex<Vec<Instant>>,
    crash: &Notify,
) {
    let reads_head_only = matches!(
        *behaviour.lock().unwrap(),
        Behaviour::AnswerBeforeBody | Behaviour::ReadBodyAfter(_)
    );
    while let Some(request) = read_request(&mut stream, reads_head_only).await {
        let mut behaviour = behaviour.lock().unwrap().clone();
        received.lock().unwrap().push(request.clone());
        if request.body.starts_with(POISON_BODY.as_bytes()) {
            if request.body == POISON_BODY_MID_STREAM.as_bytes() {
                send_first_events(&mut stream, &request, 2).await;
            }
            crash.notify_one();
            std::future::pending::<()>().await;
        }
        if request.has_poison_part() {
            send_first_events(&mut stream, &request, 0).await;
            tokio::time::sleep(FIRST_TOKEN_DELAY).await;
            crash.notify_one();
            std::future::pending::<()>().await;
        }
        let mut additions = Additions::default();
        if let Behaviour::Leaving(inner) = behaviour {
            (behaviour, additions.leaving_line) = (*inner, LEAVING_LINE);
        }
        if let Behaviour::OfVersion(version, inner) = behaviour {
            (behaviour, additions.version) = (*inner, Some(version));
        }
        let is_usable = if behaviour == Behaviour::Faulty {
            answer_faultily(&mut stream, &request).await
        } else {
            answer(&mut stream, &request, &behaviour, additions, disconnects).await
        };
        if !is_usable {
            if matches!(behaviour, Behaviour::Unframed { crashes: true, .. }) {
                crash.notify_one();
                std::future::pending::<()>().await;
            }
            return;
        }
    }
}

const ANSWER_BODY: &str = "the replica's whole answer";
const NOT_RUN_LINE: &str = "Currantlever-Not-Executed: 1\r\n";
const LEAVING_LINE: &str = "Server-Leaving: 1\r\n";

/// Sends the answer; returns whether the connection can be used for another request.
async fn answer(
    stream: &mut TcpStream,
    request: &ReceivedRequest,
    behaviour: &Behaviour,
    additions: Additions,
    disconnects: &Mutex<Vec<Instant>>,
) -> bool {
    let leaving_line = additions.leaving_line;
    let id = request
        .header("currantlever-attempt-id")
        .unwrap_or_default();
    let full_answer = |status: &str, id: &str, extra: &str| {
        let length = ANSWER_BODY.len();
        format!(
            "HTTP/1.1 {status}\r\nCurrantlever-Attempt-Id: {id}\r\n{leaving_line}{extra}\
             Content-Length: {length}\r\n\r\n{ANSWER_BODY}"
        )
    };
    let signature = "Currantlever-Replica-Signature: sig\r\n";
    let text = match behaviour {
        Behaviour::Answer | Behaviour::AnswerBeforeBody => full_answer("200 OK", id, signature),
        Behaviour::AnswerAfter(_) | Behaviour::SilentInBody(_) | Behaviour::ReadBodyAfter(_) => {
            let text = full_answer("200 OK", id, signature);
            let Some(rest) = fall_silent(stream, request, behaviour, text).await else {
                return false;
            };
            rest
        }
        Behaviour::Fail => full_answer("500 Internal Server Error", id, signature),
        Behaviour::NotRun => full_answer("503 Service Unavailable", id, NOT_RUN_LINE),
        Behaviour::RequestBackoff(time) => full_answer(
            "503 Service Unavailable",
            id,
            &format!(
                "Currantlever-Not-Executed: 1\r\nRetry-After: {}\r\n",
                time.as_secs_f64()
            ),
        ),
        Behaviour::Limit(limit) => full_answer("200 OK", id, &limit_lines(signature, limit)),
        Behaviour::Leaving(_) | Behaviour::OfVersion(..) | Behaviour::Faulty => {
            panic!("nested in the wrong order")
        }
        Behaviour::Misdirected => full_answer("421 Misdirected Request", id, ""),
        Behaviour::WrongId => full_answer("200 OK", "another", signature),
        Behaviour::Unsigned => full_answer("200 OK", id, ""),
        Behaviour::Truncated | Behaviour::StalledFailure => {
            let is_stalled = *behaviour == Behaviour::StalledFailure;
            let text = full_answer(if is_stalled { "500 X" } else { "200 OK" }, id, signature);
            let half = &text.as_bytes()[..text.len() - ANSWER_BODY.len() / 2];
            let _ = stream.write_all(half).await;
            if is_stalled {
                std::future::pending::<()>().await;
            }
            return false;
        }
        Behaviour::RunAndReset => return false,
        Behaviour::ResetAfter(time) => {
            tokio::time::sleep(*time).await;
            return false;
        }
        Behaviour::ContentEncoded => full_answer(
            "200 OK",
            id,
            &with_line(signature, "Content-Encoding: gzip"),
        ),
        Behaviour::DuplicateAnswer => full_answer("200 OK", id, signature).repeat(2),
        Behaviour::CloseDelimited { is_reset } => {
            send_close_delimited(stream, id, *is_reset).await;
            return false;
        }
        Behaviour::Raw(text) => return send_raw(stream, &text.replace("{id}", id)).await,
        Behaviour::Unframed {
            content_type, body, ..
        } => {
            send_unframed(stream, id, content_type, body).await;
            return false;
        }
        Behaviour::Stream { .. }
        | Behaviour::UnframedStream { .. }
        | Behaviour::BreakNewStream { .. }
        | Behaviour::SilentStream { .. }
        | Behaviour::StreamAfter { .. } => {
            return stream_or_break(stream, request, behaviour, additions, disconnects).await;
        }
        Behaviour::EndlessLine
        | Behaviour::EndlessHead
        | Behaviour::EndlessBody(_)
        | Behaviour::Slowly(_)
        | Behaviour::EndlessEvent
        | Behaviour::EndlessEvents
        | Behaviour::Trickle(_) => {
            send_without_end(stream, id, leaving_line, behaviour).await;
            disconnects.lock().unwrap().push(Instant::now());
            return false;
        }
        Behaviour::BreakStream { after } => {
            return send_broken_stream(stream, &stream_head(id, leaving_line), *after, additions)
                .await;
        }
    };
    let is_sent = stream.write_all(text.as_bytes()).await.is_ok();
    if *behaviour == Behaviour::AnswerBeforeBody {
        return read_rest_of_body(stream, request).await;
    }
    is_sent
}

/// Falls silent before the answer, in it, or before the body of the request is read, and returns the
/// part of the answer that is left, or `None` if the connection ended.
async fn fall_silent(
    stream: &mut TcpStream,
    request: &ReceivedRequest,
    behaviour: &Behaviour,
    mut text: String,
) -> Option<String> {
    match behaviour {
        Behaviour::SilentInBody(silence) => {
            let rest = text.split_off(text.len() - ANSWER_BODY.len() / 2);
            stream.write_all(text.as_bytes()).await.ok()?;
            tokio::time::sleep(*silence).await;
            Some(rest)
        }
        Behaviour::ReadBodyAfter(silence) => {
            tokio::time::sleep(*silence).await;
            read_rest_of_body(stream, request).await.then_some(text)
        }
        Behaviour::AnswerAfter(silence) => {
            tokio::time::sleep(*silence).await;
            Some(text)
        }
        other => panic!("{other:?} is no silence"),
    }
}

/// Sends an answer that ends with its connection, which is then reset or closed.
async fn send_close_delimited(stream: &mut TcpStream, id: &str, is_reset: bool) {
    send_unframed(stream, id, "text/plain", ANSWER_BODY).await;
    if is_reset {
        let socket = socket2::SockRef::from(&*stream);
        socket.set_linger(Some(Duration::ZERO)).unwrap();
    }
}

/// Reads the rest of a request's body after a pause, in which the next request may follow. Returns
/// false if the connection ended.
async fn read_rest_of_body(stream: &mut TcpStream, request: &ReceivedRequest) -> bool {
    tokio::time::sleep(BODY_READ_DELAY).await;
    let mut unread_bytes = request.unread_body_bytes();
    let mut buffer = [0; 4096];
    while unread_bytes > 0 {
        // Not beyond the body, where the next request may begin.
        let length = unread_bytes.min(buffer.len());
        match stream.read(&mut buffer[..length]).await {
            Ok(count) if count > 0 => unread_bytes -= count,
            _ => return false,
        }
    }
    true
}

fn with_line(lines: &str, line: &str) -> String {
    format!("{lines}{line}\r\n")
}

fn limit_lines(lines: &str, limit: &str) -> String {
    with_line(lines, &format!("Server-Limit: {limit}"))
}

/// Sends an answer or a stream that never ends, until the router closes the connection.
async fn send_without_end(
    stream: &mut TcpStream,
    id: &str,
    leaving_line: &str,
    behaviour: &Behaviour,
) {
    match behaviour {
        Behaviour::EndlessEvent | Behaviour::EndlessEvents | Behaviour::Trickle(_) => {
            let head = stream_head(id, leaving_line);
            if stream.write_all(head.as_bytes()).await.is_ok() {
                send_endlessly(stream, behaviour).await;
            }
        }
        _ => send_endless_answer(stream, id, behaviour).await,
    }
}

/// Sends an answer that never ends, until the router closes the connection.
async fn send_endless_answer(stream: &mut TcpStream, id: &str, behaviour: &Behaviour) {
    let (behaviour, pause) = match behaviour {
        Behaviour::Slowly(inner) => (inner.as_ref(), SLOW_PAUSE),
        _ => (behaviour, Duration::ZERO),
    };
    let mut text = match behaviour {
        Behaviour::EndlessLine => "HTTP/1.1 200 OK\r\nX-Long: ".to_owned(),
        Behaviour::EndlessBody(status) => format!(
            "HTTP/1.1 {status} X\r\nCurrantlever-Attempt-Id: {id}\r\n\
             Currantlever-Replica-Signature: sig\r\n\r\n"
        ),
        _ => "HTTP/1.1 200 OK\r\n".to_owned(),
    };
    let filler = match behaviour {
        Behaviour::EndlessHead => "X-More: more\r\n".repeat(1_000),
        _ => "x".repeat(16_384),
    };
    while stream.write_all(text.as_bytes()).await.is_ok() {
        text.clone_from(&filler);
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
    }
}

/// Sends a text. Returns false, as its connection cannot be used afterwards.
async fn send_raw(stream: &mut TcpStream, text: &str) -> bool {
    // Ignores the error when the router has closed the connection.
    let _ = stream.write_all(text.as_bytes()).await;
    // Lets the bytes arrive before the connection closes.
    tokio::time::sleep(Duration::from_millis(20)).await;
    false
}

/// Returns the head of an answer without a length.
pub fn unframed_head(id: &str, content_type: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nCurrantlever-Attempt-Id: {id}\r\n\
         Currantlever-Replica-Signature: sig\r\nContent-Type: {content_type}\r\n\r\n"
    )
}

/// Sends an answer without a length, which ends when the connection closes.
async fn send_unframed(stream: &mut TcpStream, id: &str, content_type: &str, body: &str) {
    let text = unframed_head(id, content_type) + body;
    send_raw(stream, &text).await;
}

/// Streams events without a length. Returns false if the connection was lost before the last one.
async fn send_unframed_stream(
    stream: &mut TcpStream,
    id: &str,
    events: u64,
    pause: Duration,
) -> bool {
    let mut text = unframed_head(id, "text/event-stream");
    for event in 1..=events {
        text.push_str(&event_text(event));
        if stream.write_all(text.as_bytes()).await.is_err() {
            return false;
        }
        text.clear();
        tokio::time::sleep(pause).await;
    }
    true
}

/// Sends some whole events and a part of the next one. Returns false, as its connection cannot be
/// used afterwards.
async fn send_broken_stream(
    stream: &mut TcpStream,
    head: &str,
    events: u64,
    additions: Additions,
) -> bool {
    let mut text = head.to_owned();
    for event in 1..=events {
        text.push_str(&chunk(&additions.event_text(event)));
    }
    text.push_str(&chunk("id: 99\ndata: br"));
    let _ = stream.write_all(text.as_bytes()).await;
    let _ = stream.flush().await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    false
}

/// Sends events or parts of one until the router closes the connection.
async fn send_endlessly(stream: &mut TcpStream, behaviour: &Behaviour) {
    let filler = match behaviour {
        Behaviour::EndlessEvents => event_text(1).repeat(1_000),
        Behaviour::EndlessEvent => "x".repeat(16_384),
        _ => {
            // One complete event, so that the stream has started.
            let text = chunk(&event_text(1));
            if stream.write_all(text.as_bytes()).await.is_err() {
                return;
            }
            "x".to_owned()
        }
    };
    while stream.write_all(chunk(&filler).as_bytes()).await.is_ok() {
        if let Behaviour::Trickle(pause) = behaviour {
            tokio::time::sleep(*pause).await;
        }
    }
}

pub fn event_text(event: u64) -> String {
    format!("id: {event}\ndata: piece {event}\n\n")
}

/// Returns an event of a replica whose events state the version of its software.
pub fn versioned_event_text(event: u64, version: &str) -> String {
    format!("id: {event}\ndata: piece {event} of {version}\n\n")
}

pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

pub fn stream_head(id: &str, leaving_line: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nCurrantlever-Attempt-Id: {id}\r\n{leaving_line}\
         Currantlever-Replica-Signature: sig\r\nContent-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    )
}

/// Sends the first events after the one named in `Last-Event-ID`.
async fn send_first_events(stream: &mut TcpStream, request: &ReceivedRequest, count: u64) {
    let header = |name| request.header(name).unwrap_or_default();
    let after: u64 = header("last-event-id").parse().unwrap_or(0);
    let mut text = stream_head(header("currantlever-attempt-id"), "");
    for event in after + 1..=after + count {
        text.push_str(&chunk(&event_text(event)));
    }
    // Ignores the error when the router has closed the connection.
    let _ = stream.write_all(text.as_bytes()).await;
    // Lets the events arrive before the connection closes.
    tokio::time::sleep(Duration::from_millis(50)).await;
}

/// Streams whole, or breaks off a new stream if the behaviour says so.
async fn stream_or_break(
    stream: &mut TcpStream,
    request: &ReceivedRequest,
    behaviour: &Behaviour,
    additions: Additions,
    disconnects: &Mutex<Vec<Instant>>,
) -> bool {
    let is_new = request.header("last-event-id").is_none();
    let id = request
        .header("currantlever-attempt-id")
        .unwrap_or_default();
    match behaviour {
        Behaviour::UnframedStream { events, pause } => {
            let is_sent = send_unframed_stream(stream, id, *events, *pause).await;
            if !is_sent {
                disconnects.lock().unwrap().push(Instant::now());
            }
            false
        }
        Behaviour::BreakNewStream { after, .. } if is_new => {
            let head = stream_head(id, additions.leaving_line);
            send_broken_stream(stream, &head, *after, additions).await
        }
        _ => stream_events(stream, request, behaviour, additions, disconnects).await,
    }
}

/// Number of events of a stream, and its pause after each; that of 0 is before the first event.
fn stream_plan(behaviour: &Behaviour) -> (u64, Box<dyn Fn(u64) -> Duration + Send + '_>) {
    let short_pause = Duration::from_millis(1);
    match behaviour {
        Behaviour::Stream { events, pause } => (
            *events,
            Box::new(|event| if event == 0 { Duration::ZERO } else { *pause }),
        ),
        Behaviour::BreakNewStream { events, .. } => (*events, Box::new(|_| Duration::ZERO)),
        Behaviour::SilentStream {
            events,
            silent_after,
            silence,
        } => {
            let pause = move |event| {
                if event == *silent_after {
                    *silence
                } else {
                    short_pause
                }
            };
            (*events, Box::new(pause))
        }
        Behaviour::StreamAfter { events, .. } => (*events, Box::new(move |_| short_pause)),
        other => panic!("{other:?} is not a stream"),
    }
}

/// Streams the events after the one named in `Last-Event-ID`.
async fn stream_events(
    stream: &mut TcpStream,
    request: &ReceivedRequest,
    behaviour: &Behaviour,
    additions: Additions,
    disconnects: &Mutex<Vec<Instant>>,
) -> bool {
    let (events, pause_after) = stream_plan(behaviour);
    if let Behaviour::StreamAfter { delay, .. } = behaviour {
        tokio::time::sleep(*delay).await;
    }
    let id = request
        .header("currantlever-attempt-id")
        .unwrap_or_default();
    let after: u64 = request
        .header("last-event-id")
        .and_then(|id| id.parse().ok())
        .unwrap_or(0);
    let head = stream_head(id, additions.leaving_line);
    if stream.write_all(head.as_bytes()).await.is_err() {
        return false;
    }
    if after == 0 {
        tokio::time::sleep(pause_after(0)).await;
    }
    for event in after + 1..=events {
        let text = chunk(&additions.event_text(event));
        if stream.write_all(text.as_bytes()).await.is_err() {
            disconnects.lock().unwrap().push(Instant::now());
            return false;
        }
        let mut byte = [0; 1];
        tokio::select! {
            () = tokio::time::sleep(pause_after(event)) => {}
            _ = stream.read(&mut byte) => {
                disconnects.lock().unwrap().push(Instant::now());
                return false;
            }
        }
    }
    stream.write_all(b"0\r\n\r\n").await.is_ok()
}
