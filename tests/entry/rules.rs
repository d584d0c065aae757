//! Rules of the platform's documentation that no other test covers.

use std::time::Duration;

use serde_json::json;

use super::replica::{Behaviour, FakeReplica};
use super::site::{Call, Router};
use super::site_with;

/// Fills the retry budget by requests that succeed.
async fn warm_up(router: &Router, count: u32) {
    for number in 0..count {
        let call = Call::new("look", &format!("warm-{number}"));
        assert_eq!(call.send(router.callers_address).await.unwrap().status, 200);
    }
}

fn arrivals<'a>(
    replicas: &'a [FakeReplica],
    attempt: &'a str,
) -> impl Iterator<Item = super::replica::ReceivedRequest> + 'a {
    let received = replicas.iter().flat_map(FakeReplica::received);
    received.filter(move |received| received.header("currantlever-attempt-id") == Some(attempt))
}

/// Guards against delivering a body that differs from the replica's.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_with_an_encoding_is_not_delivered() {
    let (site, replicas) = site_with(&[Behaviour::ContentEncoded]).await;
    let router = site.ready_router("r-1").await;
    let got = Call::new("book", "a-1")
        .send(router.callers_address)
        .await
        .unwrap();
    assert_eq!(got.status, 502);
    assert_eq!(arrivals(&replicas, "a-1").count(), 1);
}

/// Guards against giving a caller the answer of another request.
#[tokio::test(flavor = "multi_thread")]
async fn a_second_answer_on_a_connection_is_delivered_to_no_caller() {
    let (site, _replicas) = site_with(&[Behaviour::DuplicateAnswer]).await;
    let router = site.ready_router("r-1").await;
    for number in 0..20 {
        let attempt = format!("a-{number}");
        let call = Call::new("look", &attempt);
        let got = call.send(router.callers_address).await.unwrap();
        assert_eq!(got.status, 200);
        assert_eq!(got.headers["currantlever-attempt-id"], attempt.as_str());
        assert_eq!(got.body, "the replica's whole answer");
    }
}

/// Guards against treating an answer without a length as complete when its connection was reset.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_a_length_is_complete_when_closed_but_not_after_a_reset() {
    for (is_reset, status) in [(false, 200), (true, 502)] {
        let (site, _replicas) = site_with(&[Behaviour::CloseDelimited { is_reset }]).await;
        let router = site.ready_router("r-1").await;
        let got = Call::new("book", "a-1")
            .send(router.callers_address)
            .await
            .unwrap();
        assert_eq!(got.status, status, "reset: {is_reset}");
    }
}

/// Guards against remaining body bytes being read as the next request on the connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_answers_before_the_body_gets_all_of_it_and_then_the_next_request() {
    let (site, replicas) = site_with(&[Behaviour::AnswerBeforeBody]).await;
    let router = site.ready_router("r-1").await;
    let body = "b".repeat(60_000);
    for number in 0..10 {
        let call = Call::new("book", &format!("a-{number}")).with_body(&body);
        assert_eq!(call.send(router.callers_address).await.unwrap().status, 200);
    }
    for received in replicas[0].received() {
        assert!(
            received.head.starts_with("POST /book/x?y=1 HTTP/1.1\r\n"),
            "{}",
            received.head
        );
    }
}

/// Guards against replacing the status or body of a replica's failure.
#[tokio::test(flavor = "multi_thread")]
async fn a_replicas_failure_is_forwarded_unchanged() {
    let (site, _replicas) = site_with(&[Behaviour::Fail]).await;
    let router = site.ready_router("r-1").await;
    for route in ["book", "draft"] {
        let call = Call::new(route, &format!("a-{route}"));
        let got = call.send(router.callers_address).await.unwrap();
        assert_eq!(got.status, 500, "{route}");
        assert_eq!(got.headers["currantlever-replica-signature"], "sig");
        assert_eq!(got.body, "the replica's whole answer");
    }
}

/// Guards against a caller that waits beyond its deadline for the rest of a failure, which is
/// buffered.
#[tokio::test(flavor = "multi_thread")]
async fn a_failure_that_stalls_is_answered_504_at_the_deadline() {
    for route in ["book", "draft", "chat"] {
        let (site, _replicas) = site_with(&[Behaviour::StalledFailure]).await;
        let router = site.ready_router("r-1").await;
        let call = Call::new(route, "a-1").with("currantlever-deadline-ms", "700");
        let answer =
            tokio::time::timeout(Duration::from_secs(3), call.send(router.callers_address));
        let got = answer.await.expect("the caller waits beyond its deadline");
        assert_eq!(got.unwrap().status, 504, "{route}");
    }
}

/// Guards against more tries of a request than its route allows.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_reaches_no_more_replicas_than_its_route_allows() {
    let (site, replicas) = site_with(&vec![Behaviour::Answer; 6]).await;
    let router = site.ready_router("r-1").await;
    warm_up(&router, 60).await;
    for replica in &replicas {
        replica.set_behaviour(Behaviour::RunAndReset);
    }
    let got = Call::new("look", "a-1")
        .send(router.callers_address)
        .await
        .unwrap();
    assert_eq!(got.status, 502);
    assert_eq!(arrivals(&replicas, "a-1").count(), 3);
}

/// Guards against sending a retry with more time than is left after the first try.
#[tokio::test(flavor = "multi_thread")]
async fn a_retry_is_sent_with_the_time_that_is_left() {
    let (site, replicas) = site_with(&vec![Behaviour::Answer; 2]).await;
    let router = site.ready_router("r-1").await;
    warm_up(&router, 60).await;
    for replica in &replicas {
        replica.set_behaviour(Behaviour::ResetAfter(Duration::from_millis(700)));
    }
    let call = Call::new("look", "a-1").with("currantlever-deadline-ms", "4000");
    call.send(router.callers_address).await.unwrap();
    let left_ms = arrivals(&replicas, "a-1").map(|received| {
        let left = received.header("currantlever-deadline-ms").unwrap();
        left.parse::<u64>().unwrap()
    });
    let mut left_ms: Vec<u64> = left_ms.collect();
    left_ms.sort_unstable();
    assert_eq!(left_ms.len(), 2);
    assert!(left_ms[1] <= 4_000 && left_ms[0] <= 3_300, "{left_ms:?}");
}

/// Guards against accepting requests that exceed the configured size limits.
#[tokio::test(flavor = "multi_thread")]
async fn heads_and_bodies_beyond_the_limits_are_refused() {
    let (site, replicas) = site_with(&[Behaviour::Answer]).await;
    let router = site.ready_router("r-1").await;
    let long_body = Call::new("look", "body").with_body(&"b".repeat(65_537));
    assert_eq!(
        long_body.send(router.callers_address).await.unwrap().status,
        413
    );
    let long_head = Call::new("look", "head").with("x-long", &"h".repeat(17_000));
    assert_eq!(
        long_head.send(router.callers_address).await.unwrap().status,
        431
    );
    let fits = Call::new("look", "fits").with_body(&"b".repeat(65_536));
    assert_eq!(fits.send(router.callers_address).await.unwrap().status, 200);
    assert_eq!(replicas[0].received().len(), 1);
}

/// Guards against invalid entries that remove replicas from service or add some.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_entries_add_no_replica_and_do_not_affect_others() {
    let (site, replicas) = site_with(&[Behaviour::Answer]).await;
    let address = replicas[0].address();
    let invalid_entries = [
        json!([]),
        json!("text"),
        json!({"service": 5, "address": address, "phase": "ready"}),
        json!({"service": "pool", "address": "nowhere", "phase": "ready"}),
        json!({"service": "pool", "phase": "ready"}),
        json!({"service": "pool", "address": address, "phase": "sleeping"}),
    ];
    for (number, entry) in invalid_entries.iter().enumerate() {
        site.store
            .put("servers", &format!("strange-{number}"), entry);
    }
    let router = site.ready_router("r-1").await;
    warm_up(&router, 20).await;
    let learned = router.log_lines("replica added or updated");
    assert!(
        learned.iter().all(|line| line["replica"] == "i-0"),
        "{learned:?}"
    );
    assert_eq!(replicas[0].received().len(), 20);
}
