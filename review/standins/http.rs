//! Reading of HTTP/1.1 messages.

use std::io::{BufRead, BufReader, Read, Result};
use std::net::TcpStream;

pub struct Message {
    /// First line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(header, _)| header.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> Result<Option<Message>> {
    let mut start = String::new();
    if reader.read_line(&mut start)? == 0 {
        return Ok(None);
    }
    let mut message = Message {
        start: start.trim_end().to_owned(),
        headers: Vec::new(),
        body: Vec::new(),
    };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = line.split_once(':') {
            let header = (name.trim().to_owned(), value.trim().to_owned());
            message.headers.push(header);
        }
    }
}

/// Reads a request whose body has a length.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    let length = message
        .header("content-length")
        .and_then(|text| text.parse().ok());
    message.body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// How a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// By its length or its last chunk.
    Stated,
    /// It has neither, and the connection was closed.
    Closed,
    /// Before its stated end, or by a reset.
    Broken,
}

/// Reads the body of an answer to its end, as far as it comes.
pub fn read_body(reader: &mut BufReader<TcpStream>, head: &Message) -> (Vec<u8>, BodyEnd) {
    let mut body = Vec::new();
    let is_chunked = head
        .header("transfer-encoding")
        .is_some_and(|value| value.contains("chunked"));
    if is_chunked {
        loop {
            let mut line = String::new();
            if !matches!(reader.read_line(&mut line), Ok(length) if length > 0) {
                return (body, BodyEnd::Broken);
            }
            let Ok(length) = usize::from_str_radix(line.trim(), 16) else {
                return (body, BodyEnd::Broken);
            };
            let mut chunk = vec![0; length + 2];
            if reader.read_exact(&mut chunk).is_err() {
                return (body, BodyEnd::Broken);
            }
            if length == 0 {
                return (body, BodyEnd::Stated);
            }
            body.extend_from_slice(&chunk[..length]);
        }
    }
    if let Some(length) = head.header("content-length") {
        body = vec![0; length.parse().unwrap_or(0)];
        let end = reader.read_exact(&mut body);
        return (
            body,
            if end.is_ok() {
                BodyEnd::Stated
            } else {
                BodyEnd::Broken
            },
        );
    }
    match reader.read_to_end(&mut body) {
        Ok(_) => (body, BodyEnd::Closed),
        Err(_) => (body, BodyEnd::Broken),
    }
}
