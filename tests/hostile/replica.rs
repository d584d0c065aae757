//! A replica that answers each request with the length of its body, or with a long or slow stream.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use super::site::free_port;

/// Events of a stream, and bytes of each.
const EVENTS: u64 = 14_000;
const EVENT_BYTES: usize = 1_000;
/// Events of a slow stream, and the pause before each.
pub const SLOW_EVENTS: u64 = 25;
const SLOW_PAUSE: Duration = Duration::from_millis(100);

/// A replica that listens on a loopback address.
pub struct FakeReplica {
    pub id: String,
    address: SocketAddr,
}

impl FakeReplica {
    pub async fn start(id: &str) -> Self {
        let address = SocketAddr::from(([127, 0, 0, 1], free_port()));
        let listener = TcpListener::bind(address).await.unwrap();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                // An error means that the router has closed the connection.
                tokio::spawn(
                    hyper::server::conn::http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service_fn(answer)),
                );
            }
        });
        Self {
            id: id.to_owned(),
            address,
        }
    }

    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

async fn answer(
    request: Request<Incoming>,
) -> Result<Response<UnsyncBoxBody<Bytes, Infallible>>, hyper::Error> {
    let (parts, body) = request.into_parts();
    let length = body.collect().await?.to_bytes().len();
    let path = parts.uri.path();
    let is_stream = ["/draft/", "/chat/"]
        .iter()
        .any(|route| path.starts_with(route));
    let body = if path.starts_with("/draft/") {
        long_stream()
    } else if is_stream {
        slow_stream()
    } else {
        Full::new(Bytes::from(length.to_string())).boxed_unsync()
    };
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    if let Some(attempt) = parts.headers.get("currantlever-attempt-id") {
        headers.insert("currantlever-attempt-id", attempt.clone());
    }
    let signature = HeaderValue::from_static("sig");
    headers.insert("currantlever-replica-signature", signature);
    if is_stream {
        let content_type = HeaderValue::from_static("text/event-stream");
        headers.insert("content-type", content_type);
    }
    Ok(response)
}

fn long_stream() -> UnsyncBoxBody<Bytes, Infallible> {
    let events = (1..=EVENTS).map(|id| {
        let event = format!("id: {id}\ndata: {}\n\n", "x".repeat(EVENT_BYTES));
        Ok(Frame::data(Bytes::from(event)))
    });
    StreamBody::new(futures::stream::iter(events)).boxed_unsync()
}

fn slow_stream() -> UnsyncBoxBody<Bytes, Infallible> {
    let events = async_stream::stream! {
        for id in 1..=SLOW_EVENTS {
            tokio::time::sleep(SLOW_PAUSE).await;
            yield Ok(Frame::data(Bytes::from(slow_event(id))));
        }
    };
    StreamBody::new(events).boxed_unsync()
}

pub fn slow_event(id: u64) -> String {
    format!("id: {id}\ndata: slow\n\n")
}
