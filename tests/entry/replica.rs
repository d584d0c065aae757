//! A stand-in for a replica, with faults. It speaks plain bytes, so that it can break rules.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinSet;

use super::site::free_port;

/// Text in the body of a request that ends each server which begins to run it.
pub const FATAL: &str = "ends servers";
/// The same, for a stream: the server makes two events before it ends.
pub const FATAL_LATER: &str = "ends servers in mid-stream";
/// Time after which a server that ended is back.
pub const BACK_AFTER: Duration = Duration::from_secs(2);

/// How a replica answers a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// A whole answer.
    Answer,
    /// A whole answer after a time.
    AnswerAfter(Duration),
    /// Its own failure.
    Fail,
    /// States that it did not run the request.
    NotRun,
    /// Another replica has the address.
    Misdirected,
    /// Runs the request and breaks the connection off.
    RunAndReset,
    /// Answers with the id of another request.
    WrongId,
    /// Answers without a signature.
    Unsigned,
    /// Answers with half of the body.
    Truncated,
    /// A stream of events, from after the last one that the caller has.
    Stream { events: u64, pause: Duration },
    /// A stream that breaks off in the middle of an event.
    BreakStream { after: u64 },
    /// Runs the request and breaks the connection off after a time.
    ResetAfter(Duration),
    /// A whole answer that says it is compressed.
    Encoded,
    /// The same whole answer twice.
    Doubled,
    /// An answer without length, whose connection is reset at its end or not.
    Unframed { is_reset: bool },
    /// Answers as soon as the head is there, and reads on.
    Early,
    /// A head whose one line never ends.
    EndlessLine,
    /// A head whose lines never end.
    EndlessHead,
    /// A whole answer of this status, without length, whose body never ends.
    EndlessBody(u16),
    /// A stream whose first event never ends.
    EndlessEvent,
    /// Whole events without end.
    EndlessEvents,
    /// A byte of an event that never ends, again and again.
    Trickle(Duration),
    /// States that it did not run the request, and asks for quiet in seconds.
    RequestBackoff(Duration),
    /// Says in the head of its answer that it leaves.
    Leaving(Box<Behaviour>),
}

/// What a replica has seen of one request.
#[derive(Clone, Debug)]
pub struct SeenRequest {
    pub head: String,
    pub body: Vec<u8>,
}

impl SeenRequest {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self
            .head
            .lines()
            .skip(1)
            .filter_map(|line| line.split_once(':'));
        let found = lines.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.trim())
    }

    /// Bytes of the body that were not read with the head.
    fn body_left(&self) -> usize {
        let length = self.header("content-length");
        let length: usize = length.and_then(|length| length.parse().ok()).unwrap_or(0);
        length.saturating_sub(self.body.len())
    }
}

/// A replica listening on a loopback address.
pub struct StandInReplica {
    pub id: String,
    address: SocketAddr,
    behaviour: Arc<Mutex<Behaviour>>,
    seen: Arc<Mutex<Vec<SeenRequest>>>,
    left: Arc<Mutex<u32>>,
    ends: Arc<AtomicU32>,
    end: Arc<Notify>,
}

impl StandInReplica {
    pub async fn start(id: &str, behaviour: Behaviour) -> Self {
        let address = SocketAddr::from(([127, 0, 0, 1], free_port()));
        let replica = Self {
            id: id.to_owned(),
            address,
            behaviour: Arc::new(Mutex::new(behaviour)),
            seen: Arc::default(),
            left: Arc::default(),
            ends: Arc::default(),
            end: Arc::default(),
        };
        let mut listener = listen(address).await;
        let (behaviour, seen) = (Arc::clone(&replica.behaviour), Arc::clone(&replica.seen));
        let (left, end) = (Arc::clone(&replica.left), Arc::clone(&replica.end));
        let ends = Arc::clone(&replica.ends);
        tokio::spawn(async move {
            loop {
                let mut connections =
                    accept_until_end(&listener, &end, &behaviour, &seen, &left).await;
                ends.fetch_add(1, Ordering::SeqCst);
                drop(listener);
                connections.shutdown().await;
                tokio::time::sleep(BACK_AFTER).await;
                listener = listen(address).await;
            }
        });
        replica
    }

    /// Ends the server: all connections break and nobody listens until it is back.
    pub fn end(&self) {
        self.end.notify_one();
    }

    /// How often the server has ended.
    pub fn ends(&self) -> u32 {
        self.ends.load(Ordering::SeqCst)
    }

    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn set(&self, behaviour: Behaviour) {
        *self.behaviour.lock().unwrap() = behaviour;
    }

    pub fn seen(&self) -> Vec<SeenRequest> {
        self.seen.lock().unwrap().clone()
    }

    /// Streams whose caller left before their end.
    pub fn left_count(&self) -> u32 {
        *self.left.lock().unwrap()
    }
}

/// Listens on an address. A process that is just being started may hold a copy of a socket that
/// was closed here, until it runs its own program.
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

/// Serves until the server is to end, and gives back the connections that are open then.
async fn accept_until_end(
    listener: &TcpListener,
    end: &Arc<Notify>,
    behaviour: &Arc<Mutex<Behaviour>>,
    seen: &Arc<Mutex<Vec<SeenRequest>>>,
    left: &Arc<Mutex<u32>>,
) -> JoinSet<()> {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = end.notified() => return connections,
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                let parts = (Arc::clone(behaviour), Arc::clone(seen), Arc::clone(left));
                let end = Arc::clone(end);
                connections.spawn(async move {
                    let (behaviour, seen, left) = parts;
                    serve(stream, &behaviour, &seen, &left, &end).await;
                });
            }
        }
    }
}

async fn read_request(stream: &mut TcpStream, is_early: bool) -> Option<SeenRequest> {
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
    let mut request = SeenRequest {
        head: String::from_utf8_lossy(&bytes[..head_end]).into_owned(),
        body: bytes[head_end..].to_vec(),
    };
    let length: usize = request
        .header("content-length")
        .and_then(|length| length.parse().ok())
        .unwrap_or(0);
    if is_early {
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
    seen: &Mutex<Vec<SeenRequest>>,
    left: &Mutex<u32>,
    end: &Notify,
) {
    let is_early = *behaviour.lock().unwrap() == Behaviour::Early;
    while let Some(request) = read_request(&mut stream, is_early).await {
        let mut behaviour = behaviour.lock().unwrap().clone();
        seen.lock().unwrap().push(request.clone());
        if request.body.starts_with(FATAL.as_bytes()) {
            if request.body == FATAL_LATER.as_bytes() {
                start_events(&mut stream, &request, 2).await;
            }
            end.notify_one();
            std::future::pending::<()>().await;
        }
        let mut mark = "";
        if let Behaviour::Leaving(inner) = behaviour {
            (behaviour, mark) = (*inner, LEAVING);
        }
        if !answer(&mut stream, &request, &behaviour, mark, left).await {
            return;
        }
    }
}

const BODY: &str = "the replica's whole answer";
const LEAVING: &str = "Server-Leaving: 1\r\n";

/// Answers and tells whether the connection lives on.
async fn answer(
    stream: &mut TcpStream,
    request: &SeenRequest,
    behaviour: &Behaviour,
    mark: &str,
    left: &Mutex<u32>,
) -> bool {
    let id = request
        .header("currantlever-attempt-id")
        .unwrap_or_default();
    let whole = |status: &str, id: &str, extra: &str| {
        let length = BODY.len();
        format!(
            "HTTP/1.1 {status}\r\nCurrantlever-Attempt-Id: {id}\r\n{mark}{extra}\
             Content-Length: {length}\r\n\r\n{BODY}"
        )
    };
    let signature = "Currantlever-Replica-Signature: sig\r\n";
    let text = match behaviour {
        Behaviour::Answer | Behaviour::Early => whole("200 OK", id, signature),
        Behaviour::AnswerAfter(time) => {
            tokio::time::sleep(*time).await;
            whole("200 OK", id, signature)
        }
        Behaviour::Fail => whole("500 Internal Server Error", id, signature),
        Behaviour::NotRun => whole(
            "503 Service Unavailable",
            id,
            "Currantlever-Not-Executed: 1\r\n",
        ),
        Behaviour::RequestBackoff(time) => whole(
            "503 Service Unavailable",
            id,
            &format!(
                "Currantlever-Not-Executed: 1\r\nRetry-After: {}\r\n",
                time.as_secs_f64()
            ),
        ),
        Behaviour::Leaving(_) => panic!("marks are not nested"),
        Behaviour::Misdirected => whole("421 Misdirected Request", id, ""),
        Behaviour::WrongId => whole("200 OK", "another", signature),
        Behaviour::Unsigned => whole("200 OK", id, ""),
        Behaviour::Truncated => {
            let mut text = whole("200 OK", id, signature);
            text.truncate(text.len() - BODY.len() / 2);
            let _ = stream.write_all(text.as_bytes()).await;
            return false;
        }
        Behaviour::RunAndReset => return false,
        Behaviour::ResetAfter(time) => {
            tokio::time::sleep(*time).await;
            return false;
        }
        Behaviour::Encoded => whole(
            "200 OK",
            id,
            &format!("{signature}Content-Encoding: gzip\r\n"),
        ),
        Behaviour::Doubled => whole("200 OK", id, signature).repeat(2),
        Behaviour::Unframed { is_reset } => {
            send_unframed(stream, id, *is_reset).await;
            return false;
        }
        Behaviour::Stream { events, pause } => {
            return stream_events(stream, request, *events, *pause, mark, left).await;
        }
        Behaviour::EndlessLine | Behaviour::EndlessHead | Behaviour::EndlessBody(_) => {
            send_endless_answer(stream, id, behaviour).await;
            *left.lock().unwrap() += 1;
            return false;
        }
        Behaviour::EndlessEvent | Behaviour::EndlessEvents | Behaviour::Trickle(_) => {
            let head = stream_head(id, mark);
            if stream.write_all(head.as_bytes()).await.is_ok() {
                send_endlessly(stream, behaviour).await;
            }
            *left.lock().unwrap() += 1;
            return false;
        }
        Behaviour::BreakStream { after } => {
            let mut text = stream_head(id, mark);
            for event in 1..=*after {
                text.push_str(&chunk(&event_text(event)));
            }
            text.push_str(&chunk("id: 99\ndata: br"));
            let _ = stream.write_all(text.as_bytes()).await;
            let _ = stream.flush().await;
            tokio::time::sleep(Duration::from_millis(50)).await;
            return false;
        }
    };
    let is_sent = stream.write_all(text.as_bytes()).await.is_ok();
    if *behaviour == Behaviour::Early {
        // The rest of the body is read, and the next request after it.
        let mut left = request.body_left();
        let mut buffer = [0; 4096];
        while left > 0 {
            match stream.read(&mut buffer).await {
                Ok(count) if count > 0 => left = left.saturating_sub(count),
                _ => return false,
            }
        }
    }
    is_sent
}

/// Sends an answer that never ends, until the router closes the connection.
async fn send_endless_answer(stream: &mut TcpStream, id: &str, behaviour: &Behaviour) {
    let mut text = match behaviour {
        Behaviour::EndlessLine => "HTTP/1.1 200 OK\r\nX-Long: ".to_owned(),
        Behaviour::EndlessBody(status) => format!(
            "HTTP/1.1 {status} X\r\nCurrantlever-Attempt-Id: {id}\r\n\
             Currantlever-Replica-Signature: sig\r\n\r\n"
        ),
        _ => "HTTP/1.1 200 OK\r\n".to_owned(),
    };
    let piece = match behaviour {
        Behaviour::EndlessHead => "X-More: more\r\n".repeat(1_000),
        _ => "x".repeat(16_384),
    };
    while stream.write_all(text.as_bytes()).await.is_ok() {
        text.clone_from(&piece);
    }
}

/// Sends an answer that ends with its connection.
async fn send_unframed(stream: &mut TcpStream, id: &str, is_reset: bool) {
    let text = format!(
        "HTTP/1.1 200 OK\r\nCurrantlever-Attempt-Id: {id}\r\n\
         Currantlever-Replica-Signature: sig\r\n\r\n{BODY}"
    );
    // A router that is gone gets nothing.
    let _ = stream.write_all(text.as_bytes()).await;
    if is_reset {
        tokio::time::sleep(Duration::from_millis(50)).await;
        let socket = socket2::SockRef::from(&*stream);
        socket.set_linger(Some(Duration::ZERO)).unwrap();
    }
}

/// Sends until the router closes the connection.
async fn send_endlessly(stream: &mut TcpStream, behaviour: &Behaviour) {
    let piece = match behaviour {
        Behaviour::EndlessEvents => event_text(1).repeat(1_000),
        Behaviour::EndlessEvent => "x".repeat(16_384),
        _ => {
            // One whole event, so that the stream has begun.
            let text = chunk(&event_text(1));
            if stream.write_all(text.as_bytes()).await.is_err() {
                return;
            }
            "x".to_owned()
        }
    };
    while stream.write_all(chunk(&piece).as_bytes()).await.is_ok() {
        if let Behaviour::Trickle(pause) = behaviour {
            tokio::time::sleep(*pause).await;
        }
    }
}

pub fn event_text(event: u64) -> String {
    format!("id: {event}\ndata: piece {event}\n\n")
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn stream_head(id: &str, mark: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nCurrantlever-Attempt-Id: {id}\r\n{mark}\
         Currantlever-Replica-Signature: sig\r\nContent-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    )
}

/// Sends the first events that the caller lacks.
async fn start_events(stream: &mut TcpStream, request: &SeenRequest, count: u64) {
    let header = |name| request.header(name).unwrap_or_default();
    let after: u64 = header("last-event-id").parse().unwrap_or(0);
    let mut text = stream_head(header("currantlever-attempt-id"), "");
    for event in after + 1..=after + count {
        text.push_str(&chunk(&event_text(event)));
    }
    // A router that is gone gets no events.
    let _ = stream.write_all(text.as_bytes()).await;
    // They are on their way before the connection breaks.
    tokio::time::sleep(Duration::from_millis(50)).await;
}

async fn stream_events(
    stream: &mut TcpStream,
    request: &SeenRequest,
    events: u64,
    pause: Duration,
    mark: &str,
    left: &Mutex<u32>,
) -> bool {
    let id = request
        .header("currantlever-attempt-id")
        .unwrap_or_default();
    let after: u64 = request
        .header("last-event-id")
        .and_then(|id| id.parse().ok())
        .unwrap_or(0);
    let head = stream_head(id, mark);
    if stream.write_all(head.as_bytes()).await.is_err() {
        return false;
    }
    for event in after + 1..=events {
        let text = chunk(&event_text(event));
        if stream.write_all(text.as_bytes()).await.is_err() {
            *left.lock().unwrap() += 1;
            return false;
        }
        let mut byte = [0; 1];
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            _ = stream.read(&mut byte) => {
                *left.lock().unwrap() += 1;
                return false;
            }
        }
    }
    stream.write_all(b"0\r\n\r\n").await.is_ok()
}
