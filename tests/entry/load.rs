//! Load that is concentrated on one router.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use tokio::net::TcpStream;

use super::replica::Behaviour;
use super::site::{get, wait_ready, wait_until, Call, MAX_DESCRIPTORS};
use super::site_with;

/// The replica accepts 100 connections, so the even share of each of 13 routers is 7.
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
        routers[0].log_lines("router discovered").len() >= 12
    })
    .await;
    // As many requests as the replica has slots.
    let calls = (0..8).map(|number| {
        let call = Call::new("book", &format!("a-{number}"));
        let callers_address = routers[0].callers_address;
        async move { call.send(callers_address).await.unwrap().status }
    });
    let statuses = futures::future::join_all(calls).await;
    assert_eq!(statuses, [200; 8]);
    assert_eq!(replicas[0].received().len(), 8);
}

async fn resolve(registry_address: SocketAddr) -> Vec<String> {
    let got = get(registry_address, "/resolve?name=x&region=r&zone=a")
        .await
        .unwrap();
    let body: Value = serde_json::from_slice(&got.body).unwrap();
    let addresses = body["addresses"].as_array().unwrap();
    let text = |address: &Value| address.as_str().unwrap().to_owned();
    addresses.iter().map(text).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_router_short_of_descriptors_is_omitted_from_resolved_addresses_until_some_are_free() {
    let (site, _replicas) = site_with(&[Behaviour::Answer]).await;
    let first = site.ready_router("r-1").await;
    let second = site.ready_router("r-2").await;
    let third = site.ready_router("r-3").await;
    let busy = second.callers_address.to_string();
    wait_until("all routers are resolved", || async {
        resolve(first.registry_address).await.len() == 3
    })
    .await;
    let mut callers = Vec::new();
    for _ in 0..MAX_DESCRIPTORS - 310 {
        callers.push(TcpStream::connect(second.callers_address).await.unwrap());
    }
    wait_until("the busy router is omitted", || async {
        !resolve(first.registry_address).await.contains(&busy)
            && !resolve(third.registry_address).await.contains(&busy)
    })
    .await;
    let call = Call::new("look", "a-1")
        .send(second.callers_address)
        .await
        .unwrap();
    assert_eq!(call.status, 200, "the busy router still serves requests");
    drop(callers);
    wait_until("the busy router is resolved again", || async {
        resolve(first.registry_address).await.contains(&busy)
    })
    .await;
}
