//! Tunnels in the format of routers that know no stated end, spoken by a stand-in.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::SinkExt;
use serde::Serialize;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use super::replica::{Behaviour, FakeReplica};
use super::site::{wait_until, Router};
use super::{events, site_with};

/// Length and index of the answer `Opened`.
const OPENED: [u8; 5] = [0, 0, 0, 1, 0];
/// Index of a kind of request that no router knows.
const UNKNOWN_KIND: u8 = 200;

/// The requests of landed routers.
#[derive(Serialize)]
enum PeerRequest {
    #[allow(dead_code, reason = "keeps the index of the next kind")]
    Poll,
    Tunnel(TunnelRequest),
}

#[derive(Serialize)]
struct TunnelRequest {
    router: SocketAddr,
    replica: String,
    born_ms: Option<u64>,
    request: String,
}

/// Opens a tunnel to a replica.
pub async fn open_tunnel(router: &Router, replica: &str) -> TcpStream {
    let request = PeerRequest::Tunnel(TunnelRequest {
        router: SocketAddr::from(([127, 0, 0, 1], 9)),
        replica: replica.to_owned(),
        born_ms: Some(1000),
        request: "a-1".to_owned(),
    });
    let message = postcard::to_allocvec(&request).unwrap();
    let mut stream = open_link(router, message).await;
    let mut answer = [0; OPENED.len()];
    stream.read_exact(&mut answer).await.unwrap();
    assert_eq!(answer, OPENED);
    stream
}

/// Opens a tunnel to a replica and sends a request through it.
async fn send_through(router: &Router, replica: &FakeReplica) -> TcpStream {
    let mut stream = open_tunnel(router, &replica.id).await;
    let head = "POST /draft/x HTTP/1.1\r\nHost: x\r\nCurrantlever-Attempt-Id: a-1\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    stream
}

async fn open_link(router: &Router, message: Vec<u8>) -> TcpStream {
    let stream = TcpStream::connect(router.peer_address).await.unwrap();
    let mut link = Framed::new(stream, LengthDelimitedCodec::new());
    link.send(Bytes::from(message)).await.unwrap();
    link.into_inner()
}

const fn stream_of(events: u64) -> Behaviour {
    Behaviour::UnframedStream {
        events,
        pause: Duration::from_millis(20),
    }
}

/// Guards against a killed router whose close an earlier version takes for that of the replica.
#[tokio::test(flavor = "multi_thread")]
async fn a_plain_tunnel_is_reset_when_its_router_is_killed() {
    let (site, replicas) = site_with(&[stream_of(1_000)]).await;
    let mut router = site.ready_router("r-1").await;
    let mut tunnel = send_through(&router, &replicas[0]).await;
    let mut first = [0; 16];
    tunnel.read_exact(&mut first).await.unwrap();
    router.kill();
    let mut rest = Vec::new();
    assert!(tunnel.read_to_end(&mut rest).await.is_err());
}

/// Guards against whole answers that an earlier version takes for broken ones.
#[tokio::test(flavor = "multi_thread")]
async fn a_plain_tunnel_is_closed_when_the_replica_closes_its_connection() {
    let (site, replicas) = site_with(&[stream_of(3)]).await;
    let router = site.ready_router("r-1").await;
    let mut tunnel = send_through(&router, &replicas[0]).await;
    let mut answer = String::new();
    tunnel.read_to_string(&mut answer).await.unwrap();
    assert!(answer.ends_with(&events(1..=3)), "{answer}");
}

/// Guards against a request of a later version that is answered by anything but a close, by which
/// that version knows that the kind is unknown here.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_of_an_unknown_kind_closes_the_connection() {
    let (site, _replicas) = site_with(&[Behaviour::Answer]).await;
    let router = site.ready_router("r-1").await;
    let mut link = open_link(&router, vec![UNKNOWN_KIND, 1]).await;
    let mut answer = Vec::new();
    let end = tokio::time::timeout(Duration::from_secs(5), link.read_to_end(&mut answer)).await;
    assert!(end.is_ok(), "the connection stays open");
    assert!(answer.is_empty());
    wait_until("the router still answers", || async {
        super::get(router.ready_address, "/readyz").await.is_ok()
    })
    .await;
}
