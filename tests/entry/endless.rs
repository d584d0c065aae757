//! Limits for backend servers whose answers never end.

use std::time::{Duration, Instant};

use super::replica::Behaviour;
use super::site::{wait_until, Call};
use super::site_with;

/// Timeout of the routes.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(5);
const OUTPUT_TOKENS: u64 = 40;
/// Bytes allowed for the reserved tokens, plus those allowed for any stream.
const MAX_BYTES: usize = 40 * 1_024 + 64 * 1_024;

/// Guards against forwarding or buffering bytes without limit while a server keeps sending.
#[tokio::test(flavor = "multi_thread")]
async fn an_endless_stream_is_aborted_at_the_tokens_that_its_request_reserved() {
    let endless = [Behaviour::EndlessEvent, Behaviour::EndlessEvents];
    for behaviour in endless {
        for route in ["draft", "chat"] {
            let (site, replicas) = site_with(std::slice::from_ref(&behaviour)).await;
            let router = site.ready_router("r-1").await;
            let sent_at = Instant::now();
            let call = Call::new(route, "a-1").with_tokens(100, OUTPUT_TOKENS);
            let got = call.send(router.callers_address).await.unwrap();
            assert!(
                sent_at.elapsed() < ROUTE_TIMEOUT / 2,
                "{behaviour:?}, {route}"
            );
            assert!(!got.is_whole || got.status == 502, "{behaviour:?}, {route}");
            assert!(got.body.len() <= MAX_BYTES, "{} bytes", got.body.len());
            wait_until("the server's connection is closed", || async {
                replicas[0].disconnect_count() > 0
            })
            .await;
            wait_until("the request is logged", || async {
                !router.log_lines("request").is_empty()
            })
            .await;
            let line = &router.log_lines("request")[0];
            let field = |name: &str| line[name].as_u64().unwrap();
            assert!(field("spent_tokens") <= field("reserved_tokens"));
        }
    }
}

/// Guards against partial events that reset the stall timeout, so that the stream is never resumed
/// at another server.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_trickles_without_a_complete_event_is_resumed_at_another_server() {
    let pause = Duration::from_millis(1);
    let good = Behaviour::Stream { events: 8, pause };
    let (site, replicas) = site_with(&[good.clone(), good]).await;
    let router = site.ready_router("r-1").await;
    for number in 0..20 {
        let call = Call::new("chat", &format!("warm-{number}"));
        assert_eq!(call.send(router.callers_address).await.unwrap().status, 200);
    }
    replicas[0].set_behaviour(Behaviour::Trickle(Duration::from_millis(100)));
    let mut number = 0;
    while replicas[0].disconnect_count() == 0 {
        let call = Call::new("chat", &format!("a-{number}"));
        let got = call.send(router.callers_address).await.unwrap();
        assert!(got.is_whole, "request {number}");
        assert!(number < 40, "the server got no request");
        number += 1;
    }
}

/// Guards against reading a head or a body without limit while a server keeps sending.
#[tokio::test(flavor = "multi_thread")]
async fn an_endless_head_or_body_is_aborted_and_reported_immediately() {
    let endless = [
        Behaviour::EndlessLine,
        Behaviour::EndlessHead,
        Behaviour::EndlessBody(200),
        Behaviour::EndlessBody(503),
    ];
    for behaviour in endless {
        let (site, replicas) = site_with(std::slice::from_ref(&behaviour)).await;
        let router = site.ready_router("r-1").await;
        let sent_at = Instant::now();
        let call = Call::new("book", "a-1");
        let got = call.send(router.callers_address).await.unwrap();
        assert!(sent_at.elapsed() < ROUTE_TIMEOUT / 2, "{behaviour:?}");
        assert_eq!(got.status, 502, "{behaviour:?}");
        wait_until("the server's connection is closed", || async {
            replicas[0].disconnect_count() > 0
        })
        .await;
    }
}
