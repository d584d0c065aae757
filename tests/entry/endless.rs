//! Limits for backend servers whose answers never end.

use std::time::{Duration, Instant};

use super::replica::Behaviour;
use super::site::{wait_until, Call, Router};
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

/// Memory of the smallest VM of a deployment, in MB.
const SMALLEST_VM_MB: u64 = 88;
/// Replicas, of eight slots each, and requests that are in progress at the same time.
const FAULTY_REPLICAS: usize = 30;
const CONCURRENT_REQUESTS: usize = 240;

/// Guards against a VM that runs out of memory, and with it the requests of all its callers, since
/// it holds what faulty servers send to many requests.
#[tokio::test(flavor = "multi_thread")]
async fn many_endless_answers_at_once_do_not_use_up_the_memory_of_a_vm() {
    let slowly = |behaviour| Behaviour::Slowly(Box::new(behaviour));
    let cases = [
        (slowly(Behaviour::EndlessLine), "book"),
        (slowly(Behaviour::EndlessHead), "look"),
        (slowly(Behaviour::EndlessBody(200)), "book"),
        (slowly(Behaviour::EndlessBody(503)), "draft"),
        (Behaviour::EndlessEvent, "draft"),
        (Behaviour::EndlessEvents, "draft"),
    ];
    for (behaviour, route) in cases {
        let (site, _replicas) = site_with(&vec![behaviour.clone(); FAULTY_REPLICAS]).await;
        let router = site.ready_router("r-1").await;
        wait_until("all replicas are known", || async {
            router.log_lines("replica added or updated").len() >= FAULTY_REPLICAS
        })
        .await;
        send_concurrently(&router, route).await;
        let peak_mb = router.peak_memory_kb() / 1_024;
        println!("{behaviour:?}, {route}: {peak_mb} MB");
        assert!(peak_mb < SMALLEST_VM_MB, "{behaviour:?}: {peak_mb} MB");
    }
}

/// Sends requests at the same moment and waits for the end of all of them.
async fn send_concurrently(router: &Router, route: &'static str) {
    let address = router.callers_address;
    let mut calls = tokio::task::JoinSet::new();
    for number in 0..CONCURRENT_REQUESTS {
        calls.spawn(async move {
            let call = Call::new(route, &format!("a-{number}"));
            let answer = call.send(address).await;
            answer.is_ok_and(|answer| answer.status == 200 && answer.is_whole)
        });
    }
    while let Some(looks_whole) = calls.join_next().await {
        assert!(!looks_whole.unwrap());
    }
}
