//! Crowds that open connections and send heads without an end, or nothing.

use bytes::Bytes;
use tokio::task::JoinSet;

use super::crowds::{pieces, with_head, Target, MAX_BODY_BYTES};
use super::replica::{slow_event, SLOW_EVENTS};
use super::site::{wait_until, Call};

const CROWD: usize = 900;
/// Requests of ordinary callers beside a crowd.
const STREAMS: usize = 6;

/// Returns 15 KB of a head without an end.
fn endless_head(_: usize) -> Vec<Bytes> {
    let mut head = b"GET /resolve?name=x HTTP/1.1\r\nHost: models.example\r\nX-Long: ".to_vec();
    head.extend(vec![b'x'; 15_000]);
    vec![Bytes::from(head)]
}

/// Guards against connections of callers that leave no descriptors for all else.
#[tokio::test(flavor = "multi_thread")]
async fn heads_without_an_end_do_not_use_up_the_descriptors() {
    let mut target = Target::start().await;
    let address = target.router.callers_address;
    target.bear(CROWD, address, endless_head).await;
}

/// Guards against the same for connections on which nothing is sent.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_do_not_use_up_the_descriptors() {
    let mut target = Target::start().await;
    let address = target.router.callers_address;
    target.bear(CROWD, address, |_| Vec::new()).await;
}

/// Guards against cutting requests in progress to make room for connections of others.
#[tokio::test(flavor = "multi_thread")]
async fn requests_in_progress_are_not_cut_by_a_crowd_of_connections() {
    let mut target = Target::start().await;
    let address = target.router.callers_address;
    let mut streams = JoinSet::new();
    for number in 0..STREAMS {
        streams.spawn(async move {
            let call = Call::new("chat", &format!("stream-{number}"))
                .with("currantlever-deadline-ms", "60000");
            call.send(address).await.unwrap()
        });
    }
    wait_until("the requests are in progress", || async {
        let count = format!("currantlever_requests_read {STREAMS}");
        target.router.metrics().await.contains(&count)
    })
    .await;
    target.bear(CROWD, address, |_| Vec::new()).await;
    let whole: String = (1..=SLOW_EVENTS).map(slow_event).collect();
    for answer in streams.join_all().await {
        assert_eq!(answer.status, 200);
        let lines = target.router.log_lines("request");
        let streams = lines.iter().filter(|line| line["route"] == "chat");
        assert!(answer.is_whole, "{:?}", streams.collect::<Vec<_>>());
        assert_eq!(answer.body, whole);
    }
}

/// Guards against bodies that never begin and leave no descriptors for all else.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_never_begin_do_not_use_up_the_descriptors() {
    let mut target = Target::start().await;
    let address = target.router.callers_address;
    let client = with_head("look", "Content-Length: 100\r\n", Vec::new());
    target.bear(CROWD, address, client).await;
}

/// Guards against the same at the address that tells callers where to connect.
#[tokio::test(flavor = "multi_thread")]
async fn heads_without_an_end_at_the_registry_do_not_use_up_the_descriptors() {
    let mut target = Target::start().await;
    let address = target.router.registry_address;
    target.bear(CROWD, address, endless_head).await;
}

/// Guards against the same at the addresses for readiness and metrics.
#[tokio::test(flavor = "multi_thread")]
async fn heads_without_an_end_at_other_endpoints_do_not_use_up_the_descriptors() {
    let mut target = Target::start().await;
    for address in [target.router.ready_address, target.router.metrics_address] {
        target.bear(CROWD, address, endless_head).await;
    }
}

/// Guards against large bodies and heads at the address that tells callers where to connect.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_and_long_heads_at_the_registry_do_not_use_up_the_memory() {
    let mut target = Target::start().await;
    let address = target.router.registry_address;
    let lines = "Content-Length: 1048576\r\n";
    let client = with_head("look", lines, pieces(MAX_BODY_BYTES - 1, 65_536));
    target.bear(200, address, client).await;
    let long_head = |_| {
        let mut head = b"GET /resolve?name=x HTTP/1.1\r\nX-Long: ".to_vec();
        head.extend(vec![b'x'; 300_000]);
        vec![Bytes::from(head)]
    };
    target.bear(200, address, long_head).await;
}
