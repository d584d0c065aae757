//! Replicas that report in their answers that they are leaving, or that request a back-off.

use std::time::Duration;

use super::replica::{event_text, Behaviour, FakeReplica};
use super::site::{wait_until, Call, Router};
use super::site_with;

const PAUSE: Duration = Duration::from_millis(20);

/// Sends calls one after another and returns the statuses of their answers.
async fn statuses(router: &Router, prefix: &str, count: u32) -> Vec<u16> {
    let mut statuses = Vec::new();
    for number in 0..count {
        let call = Call::new("look", &format!("{prefix}-{number}"));
        statuses.push(call.send(router.callers_address).await.unwrap().status);
    }
    statuses
}

/// Sends calls until a replica has received one.
async fn call_until_received(router: &Router, replica: &FakeReplica, route: &str) {
    let before = replica.received().len();
    for number in 0..200 {
        let call = Call::new(route, &format!("reach-{route}-{number}"));
        call.send(router.callers_address).await.unwrap();
        if replica.received().len() > before {
            return;
        }
    }
    panic!("the replica received no request");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_reports_in_any_answer_that_it_is_leaving_gets_no_new_requests() {
    let stream = Behaviour::Stream {
        events: 3,
        pause: Duration::from_millis(1),
    };
    for (inner, route) in [
        (Behaviour::Answer, "look"),
        (Behaviour::Fail, "look"),
        (Behaviour::NotRun, "look"),
        (Behaviour::Unsigned, "look"),
        (stream, "chat"),
    ] {
        let good = if route == "chat" {
            inner.clone()
        } else {
            Behaviour::Answer
        };
        let (site, replicas) = site_with(&[good.clone(), good.clone()]).await;
        let router = site.ready_router("r-1").await;
        let leaving_reported = "replica is leaving, reported in an answer";
        replicas[0].set_behaviour(Behaviour::Leaving(Box::new(inner.clone())));
        call_until_received(&router, &replicas[0], route).await;
        replicas[0].set_behaviour(good.clone());
        let received = replicas[0].received().len();
        // Neither an entry with phase ready nor a removed and re-created entry puts it back in
        // service.
        site.register(&replicas[0]);
        site.store.remove("servers", &replicas[0].id);
        site.register(&replicas[0]);
        tokio::time::sleep(Duration::from_millis(700)).await;
        for number in 0..20 {
            let call = Call::new(route, &format!("after-{number}"));
            assert_eq!(call.send(router.callers_address).await.unwrap().status, 200);
        }
        assert_eq!(replicas[0].received().len(), received, "{inner:?}");
        assert_eq!(router.log_lines(leaving_reported).len(), 1, "{inner:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_incarnation_at_the_address_of_a_departed_one_gets_requests() {
    let (site, replicas) = site_with(&[Behaviour::Answer, Behaviour::Answer]).await;
    let router = site.ready_router("r-1").await;
    replicas[0].set_behaviour(Behaviour::Leaving(Box::new(Behaviour::Answer)));
    call_until_received(&router, &replicas[0], "look").await;
    replicas[0].set_behaviour(Behaviour::Answer);
    let received = replicas[0].received().len();
    site.register_incarnation(&replicas[0], 2_000);
    wait_until("the new incarnation is used", || async {
        statuses(&router, "new", 4).await;
        replicas[0].received().len() > received
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_run_in_progress_at_a_leaving_replica_completes() {
    let leaving = Behaviour::Leaving(Box::new(Behaviour::Stream {
        events: 20,
        pause: PAUSE,
    }));
    let (site, replicas) = site_with(&[leaving]).await;
    let router = site.ready_router("r-1").await;
    let got = Call::new("draft", "a-1")
        .send(router.callers_address)
        .await
        .unwrap();
    assert!(got.is_whole);
    assert_eq!(got.body, (1..=20).map(event_text).collect::<String>());
    let refused = Call::new("draft", "a-2")
        .send(router.callers_address)
        .await
        .unwrap();
    assert_eq!(refused.status, 503);
    assert_eq!(replicas[0].received().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_replica_is_reported_to_the_other_routers_while_the_store_is_down() {
    let (site, replicas) = site_with(&[Behaviour::Answer, Behaviour::Answer]).await;
    let first = site.ready_router("r-1").await;
    let second = site.ready_router("r-2").await;
    wait_until("the routers know each other", || async {
        !second.log_lines("router discovered").is_empty()
    })
    .await;
    site.store.start_outage();
    replicas[0].set_behaviour(Behaviour::Leaving(Box::new(Behaviour::Answer)));
    call_until_received(&first, &replicas[0], "look").await;
    wait_until("the other router has received the report", || async {
        !second
            .log_lines("replica is leaving, reported by another router")
            .is_empty()
    })
    .await;
    let received = replicas[0].received().len();
    assert_eq!(statuses(&second, "told", 20).await, [200; 20]);
    assert_eq!(replicas[0].received().len(), received);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_requested_a_backoff_gets_no_requests_until_its_end() {
    let (site, replicas) = site_with(&[Behaviour::Answer, Behaviour::Answer]).await;
    let router = site.ready_router("r-1").await;
    assert_eq!(statuses(&router, "warm", 40).await, [200; 40]);
    replicas[0].set_behaviour(Behaviour::RequestBackoff(Duration::from_millis(2_500)));
    call_until_received(&router, &replicas[0], "look").await;
    let sent_at = std::time::Instant::now();
    replicas[0].set_behaviour(Behaviour::Answer);
    let received = replicas[0].received().len();
    while sent_at.elapsed() < Duration::from_millis(2_300) {
        assert_eq!(statuses(&router, "quiet", 5).await, [200; 5]);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(replicas[0].received().len(), received);
    wait_until("the replica is used again", || async {
        statuses(&router, "again", 4).await;
        replicas[0].received().len() > received
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn while_all_replicas_are_in_a_backoff_callers_get_its_end_as_retry_after_at_once() {
    let (site, replicas) = site_with(&[
        Behaviour::RequestBackoff(Duration::from_millis(6_500)),
        Behaviour::RequestBackoff(Duration::from_millis(7_500)),
    ])
    .await;
    let router = site.ready_router("r-1").await;
    // A call that one replica refused may have been retried at the other.
    for replica in &replicas {
        if replica.received().is_empty() {
            call_until_received(&router, replica, "look").await;
        }
    }
    let received = replicas.iter().map(|replica| replica.received().len());
    let received: usize = received.sum();
    let sent_at = std::time::Instant::now();
    let got = Call::new("book", "a-1")
        .send(router.callers_address)
        .await
        .unwrap();
    assert!(sent_at.elapsed() < Duration::from_millis(500));
    assert_eq!(got.status, 503);
    let text = got.headers["retry-after"].to_str().unwrap();
    let retry_after_s: f64 = text.parse().unwrap();
    assert!((4.0..=6.6).contains(&retry_after_s), "{retry_after_s}");
    let after = replicas.iter().map(|replica| replica.received().len());
    assert_eq!(after.sum::<usize>(), received);
}
