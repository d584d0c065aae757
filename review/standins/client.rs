//! A caller.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{read_body, read_head, BodyEnd};

pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub attempt: String,
    pub key: &'a str,
    /// Values of further headers.
    pub headers: &'a str,
    pub body: &'a str,
    pub deadline_ms: u64,
}

pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
    pub end: BodyEnd,
    pub has_signature: bool,
}

/// Sends a request on a connection of its own; `None` if no head of an answer came.
pub fn send(router: SocketAddr, request: &Request<'_>) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&router, Duration::from_secs(1)).ok()?;
    let limit = Duration::from_millis(request.deadline_ms + 2_000);
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_nodelay(true).ok()?;
    let text = format!(
        "{} {} HTTP/1.1\r\nHost: review.example\r\nCurrantlever-Attempt-Id: {}\r\n\
         Currantlever-Deadline-Ms: {}\r\nAuthorization: Token {}\r\n{}Content-Length: {}\r\n\r\n{}",
        request.method,
        request.path,
        request.attempt,
        request.deadline_ms,
        request.key,
        request.headers,
        request.body.len(),
        request.body
    );
    stream.write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader).ok()??;
    let (body, end) = read_body(&mut reader, &head);
    Some(Answer {
        status: head.status(),
        has_signature: head.header("Currantlever-Replica-Signature").is_some(),
        body,
        end,
    })
}
