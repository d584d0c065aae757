//! All that a team sends comes over one router.

use std::time::Duration;

use super::replica::Behaviour;
use super::site::{wait_ready, wait_until, Call};
use super::site_with;

/// The replica takes 100 connections, so that an even part of 13 routers is 7.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_uses_as_many_connections_as_its_requests_have_slots() {
    let slow = Behaviour::AnswerAfter(Duration::from_millis(400));
    let (site, replicas) = site_with(&[slow]).await;
    let routers: Vec<_> = (0..13)
        .map(|number| site.router(&format!("r-{number}")))
        .collect();
    for router in &routers {
        wait_ready(router).await;
    }
    wait_until("the router knows the others", || async {
        routers[0].log_of("router heard").len() >= 12
    })
    .await;
    // As many as the replica has slots.
    let calls = (0..8).map(|number| {
        let call = Call::new("book", &format!("a-{number}"));
        let callers = routers[0].callers;
        async move { call.send(callers).await.unwrap().status }
    });
    let statuses = futures::future::join_all(calls).await;
    assert_eq!(statuses, [200; 8]);
    assert_eq!(replicas[0].seen().len(), 8);
}
