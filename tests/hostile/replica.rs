//! A replica that answers each request with the length of its body, or with a long stream.

use std::convert::Infallible;
use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderValue, Request, Response};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use super::site::free_port;

/// Events of a stream, and bytes of each.
const EVENTS: u64 = 14_000;
const EVENT_BYTES: usize = 1_000;

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
) -> Result<Response<BoxBody<Bytes, Infallible>>, hyper::Error> {
    let (parts, body) = request.into_parts();
    let length = body.collect().await?.to_bytes().len();
    let is_stream = parts.uri.path().starts_with("/draft/");
    let body = if is_stream {
        long_stream()
    } else {
        Full::new(Bytes::from(length.to_string())).boxed()
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

fn long_stream() -> BoxBody<Bytes, Infallible> {
    let events = (1..=EVENTS).map(|id| {
        let event = format!("id: {id}\ndata: {}\n\n", "x".repeat(EVENT_BYTES));
        Ok(Frame::data(Bytes::from(event)))
    });
    BodyExt::boxed(StreamBody::new(futures::stream::iter(events)))
}
