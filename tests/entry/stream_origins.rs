//! What routers keep and tell one another of the replicas and versions that began streams.

use std::time::Duration;

use currantlever::{ReplicaVersion, StreamId, StreamOrigin};
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::Value;
use tokio::net::UdpSocket;

use super::replica::{Behaviour, FakeReplica};
use super::site::{wait_until, Call, Router, Site};
use super::site_with;

/// Positions of the messages among those between routers.
const REPORT: u8 = 8;
const ACK: u8 = 9;
const QUERY: u8 = 10;
const REPLY: u8 = 11;
/// Positions of the answers in a reply.
const KNOWN: u8 = 0;
const CONFLICTING: u8 = 1;
const UNKNOWN: u8 = 2;
/// Size of the receive buffer, in bytes.
const BUFFER_BYTES: usize = 2_048;
/// Time after which a wait for a datagram fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin {
        pool: "pool".parse().unwrap(),
        replica: 7,
        born_ms: Some(1_000),
        version: ReplicaVersion::new(version).unwrap(),
    }
}

/// Speaks to a router as another one does.
struct Peer {
    socket: UdpSocket,
}

impl Peer {
    async fn connect(router: &Router) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        socket.connect(router.peer_address).await.unwrap();
        Self { socket }
    }

    async fn send<T>(&self, message: &T)
    where
        T: Serialize,
    {
        let bytes = postcard::to_allocvec(message).unwrap();
        self.socket.send(&bytes).await.unwrap();
    }

    /// Receives the next message and decodes its first fields.
    async fn receive<T>(&self) -> T
    where
        T: DeserializeOwned,
    {
        let mut buffer = vec![0; BUFFER_BYTES];
        let received = tokio::time::timeout(WAIT_TIMEOUT, self.socket.recv(&mut buffer)).await;
        let length = received.expect("the router replies").unwrap();
        postcard::take_from_bytes(&buffer[..length]).unwrap().0
    }

    /// Reports an origin, and returns whether the router knows it to conflict.
    async fn report(&self, stream: StreamId, origin: &StreamOrigin, age_ms: u32) -> bool {
        self.send(&(REPORT, stream, origin, age_ms)).await;
        let (message, acknowledged, is_conflicting): (u8, StreamId, bool) = self.receive().await;
        assert_eq!((message, acknowledged), (ACK, stream));
        is_conflicting
    }

    /// Asks for the origin of a stream. The reply is decoded as type `T`.
    async fn query<T>(&self, id: u64, stream: StreamId) -> T
    where
        T: DeserializeOwned,
    {
        self.send(&(QUERY, id, stream, "pool")).await;
        self.receive().await
    }
}

/// Guards against a stream whose version is lost with the router that began it.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_keeps_what_another_one_reports_and_tells_a_third() {
    let (site, _replicas) = site_with(&[Behaviour::Answer]).await;
    let router = site.ready_router("r-1").await;
    let (first, third) = (Peer::connect(&router).await, Peer::connect(&router).await);
    let stream = StreamId::new("red", "a-1");
    assert!(!first.report(stream, &origin("v1"), 5_000).await);
    let reply: (u8, u64, u8, StreamOrigin, u32) = third.query(41, stream).await;
    let (message, id, answer, known, age_ms) = reply;
    assert_eq!((message, id, answer), (REPLY, 41, KNOWN));
    assert_eq!(known, origin("v1"));
    assert!(age_ms >= 5_000, "{age_ms}");
    // Repetitions and other replicas of the version are harmless; the age is that of the first.
    let other = StreamOrigin {
        replica: 8,
        ..origin("v1")
    };
    assert!(!third.report(stream, &other, 0).await);
    let reply: (u8, u64, u8, StreamOrigin, u32) = third.query(42, stream).await;
    assert_eq!(reply.3, origin("v1"));
    assert!(reply.4 >= 5_000, "{}", reply.4);
    let unknown = StreamId::new("blue", "a-1");
    let reply: (u8, u64, u8, Option<String>) = third.query(43, unknown).await;
    assert_eq!((reply.0, reply.1, reply.2), (REPLY, 43, UNKNOWN));
    let text = router.metrics().await;
    assert!(
        text.contains("currantlever_stream_origins{event=\"kept\"} 2"),
        "{text}"
    );
}

/// Guards against a stream that goes on at one of two versions that both began it.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_that_hears_of_two_versions_names_neither() {
    let (site, _replicas) = site_with(&[Behaviour::Answer]).await;
    let router = site.ready_router("r-1").await;
    let peer = Peer::connect(&router).await;
    let stream = StreamId::new("red", "a-1");
    assert!(!peer.report(stream, &origin("v1"), 0).await);
    assert!(peer.report(stream, &origin("v2"), 0).await);
    assert!(peer.report(stream, &origin("v1"), 0).await);
    let reply: (u8, u64, u8) = peer.query(7, stream).await;
    assert_eq!(reply, (REPLY, 7, CONFLICTING));
    let message = "streams of several versions under one attempt";
    wait_until("the conflict is logged", || async {
        router.log_lines(message).len() == 1
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_origin_older_than_any_stream_is_not_kept() {
    let (site, _replicas) = site_with(&[Behaviour::Answer]).await;
    let router = site.ready_router("r-1").await;
    let peer = Peer::connect(&router).await;
    let stream = StreamId::new("red", "a-1");
    assert!(!peer.report(stream, &origin("v1"), 120_000).await);
    let reply: (u8, u64, u8) = peer.query(7, stream).await;
    assert_eq!(reply, (REPLY, 7, UNKNOWN));
}

/// Guards against messages of other programs, or of other versions of this one, that end a router.
#[tokio::test(flavor = "multi_thread")]
async fn odd_messages_on_streams_do_no_harm() {
    let (site, _replicas) = site_with(&[Behaviour::Answer]).await;
    let router = site.ready_router("r-1").await;
    let peer = Peer::connect(&router).await;
    let stream = StreamId::new("red", "a-1");
    let whole = postcard::to_allocvec(&(REPORT, stream, origin("v1"), 5_u32)).unwrap();
    for length in 0..whole.len() {
        peer.socket.send(&whole[..length]).await.unwrap();
    }
    let long = "v".repeat(129);
    peer.send(&(REPORT, stream, "pool", 7_u32, Some(1_u64), "", 5_u32))
        .await;
    peer.send(&(REPORT, stream, "pool", 7_u32, Some(1_u64), &long, 5_u32))
        .await;
    peer.send(&(REPORT, stream, "no pool", 7_u32, Some(1_u64), "v1", 5_u32))
        .await;
    peer.send(&(QUERY, 1_u64, stream, "no pool")).await;
    // Unasked messages: acknowledgements, replies to no query, and a kind that does not exist yet.
    peer.send(&(ACK, stream, true)).await;
    peer.send(&(REPLY, 1_u64, KNOWN, origin("v2"), 0_u32)).await;
    peer.send(&(REPLY, 1_u64, 9_u8)).await;
    peer.send(&(REPLY + 1, 1_u64)).await;
    let reply: (u8, u64, u8) = peer.query(7, stream).await;
    assert_eq!(reply, (REPLY, 7, UNKNOWN));
    let answer = Call::new("look", "a-2").send(router.callers_address).await;
    assert_eq!(answer.unwrap().status, 200);
}

/// Starts a fleet whose routers know one another, with one replica that streams.
async fn fleet(routers: usize) -> (Site, Vec<FakeReplica>, Vec<Router>) {
    let stream = Behaviour::Stream {
        events: 4,
        pause: Duration::ZERO,
    };
    let (site, replicas) = site_with(&[stream]).await;
    let names: Vec<String> = (0..routers).map(|number| format!("r-{number}")).collect();
    let started = names.iter().map(|name| site.ready_router(name));
    let fleet = futures::future::join_all(started).await;
    for router in &fleet {
        wait_until("the routers know one another", || async {
            router.log_lines("router discovered").len() >= routers - 1
        })
        .await;
    }
    (site, replicas, fleet)
}

async fn begin_stream(router: &Router, attempt: &str) {
    let answer = Call::new("chat", attempt)
        .send(router.callers_address)
        .await;
    assert_eq!(answer.unwrap().status, 200);
}

/// Takes a stream up until a log line with this message fulfils the condition, and returns it. A
/// busy machine may answer a search too late.
async fn take_up_until<F>(router: &Router, first: &str, message: &str, condition: F) -> Value
where
    F: Fn(&Value) -> bool,
{
    let found = || {
        router
            .log_lines(message)
            .into_iter()
            .find(|line| condition(line))
    };
    wait_until(message, || async {
        let call = Call::new("chat", "a-next")
            .with("last-event-id", "2")
            .with("resumes", first);
        // Whether the stream goes on is not of interest here.
        call.send(router.callers_address).await.unwrap();
        found().is_some()
    })
    .await;
    found().unwrap()
}

/// Guards against a stream whose version is lost with the router that began it.
#[tokio::test(flavor = "multi_thread")]
async fn every_router_finds_what_began_a_stream_after_the_first_router_was_killed_or_paused() {
    for is_killed in [true, false] {
        let (_site, _replicas, mut routers) = fleet(9).await;
        begin_stream(&routers[0], "a-1").await;
        if is_killed {
            routers[0].kill();
        } else {
            routers[0].pause();
        }
        for router in &routers[1..] {
            let found = take_up_until(router, "a-1", "origin of a stream found", |_| true).await;
            assert_eq!(found["version"], "v1", "{found}");
            assert_eq!(found["origin_pool"], "pool", "{found}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_router_that_found_an_origin_remembers_it() {
    let (_site, _replicas, mut routers) = fleet(3).await;
    begin_stream(&routers[0], "a-1").await;
    let message = "origin of a stream found";
    take_up_until(&routers[1], "a-1", message, |_| true).await;
    for router in [0, 2] {
        routers[router].kill();
    }
    let is_own = |line: &Value| line["source"] == "own";
    take_up_until(&routers[1], "a-1", message, is_own).await;
}

/// Guards against taking silence for an answer: the log tells who was asked from who answered.
#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_attempt_is_not_found_and_the_log_tells_who_answered() {
    let (_site, _replicas, mut routers) = fleet(3).await;
    begin_stream(&routers[0], "a-1").await;
    routers[2].kill();
    let message = "origin of a stream not found";
    let is_answered = |line: &Value| line["asked"] == 2 && line["answered"] == 1;
    take_up_until(&routers[1], "a-unknown", message, is_answered).await;
    assert!(routers[1].log_lines("origin of a stream found").is_empty());
    let text = routers[1].metrics().await;
    let counted = "currantlever_origin_searches{result=\"unknown\"}";
    assert!(text.contains(counted), "{text}");
}

/// Guards against an origin that is lost with its first keepers.
#[tokio::test(flavor = "multi_thread")]
async fn an_origin_is_sent_to_others_until_two_routers_acknowledge() {
    // The first router may tell all six others, so the two that live are told in the end.
    let (_site, _replicas, routers) = fleet(7).await;
    for router in &routers[1..5] {
        router.pause();
    }
    for number in 0..8 {
        begin_stream(&routers[0], &format!("a-{number}")).await;
    }
    for router in &routers[5..] {
        let peer = Peer::connect(router).await;
        for number in 0..8 {
            let stream = StreamId::new("red", &format!("a-{number}"));
            wait_until("the router was told", || async {
                let reply: (u8, u64, u8) = peer.query(number, stream).await;
                reply == (REPLY, number, KNOWN)
            })
            .await;
        }
    }
    // With a single one left that answers, nothing waits, and the failure is logged.
    routers[5].pause();
    begin_stream(&routers[0], "a-last").await;
    let stream = StreamId::new("red", "a-last").to_string();
    wait_until("the failure is logged", || async {
        let lines = routers[0].log_lines("origin of a stream not acknowledged");
        lines.iter().any(|line| line["stream"] == *stream)
    })
    .await;
    let text = routers[0].metrics().await;
    for event in ["recorded", "acknowledged", "repeated", "unacknowledged"] {
        let line = format!("currantlever_stream_origins{{event=\"{event}\"}}");
        assert!(text.contains(&line), "{text}");
    }
}
