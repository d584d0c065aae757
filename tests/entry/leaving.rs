//! Replicas that say in their answers that they leave, or that ask for quiet.

use std::time::Duration;

use super::replica::{event_text, Behaviour, StandInReplica};
use super::site::{wait_until, Call, Router};
use super::site_with;

const PAUSE: Duration = Duration::from_millis(20);

/// Callers' answers, one after the other.
async fn statuses(router: &Router, prefix: &str, count: u32) -> Vec<u16> {
    let mut statuses = Vec::new();
    for number in 0..count {
        let call = Call::new("look", &format!("{prefix}-{number}"));
        statuses.push(call.send(router.callers).await.unwrap().status);
    }
    statuses
}

/// Sends calls until a replica got one.
async fn reach(router: &Router, replica: &StandInReplica, route: &str) {
    let before = replica.seen().len();
    for number in 0..200 {
        let call = Call::new(route, &format!("reach-{route}-{number}"));
        call.send(router.callers).await.unwrap();
        if replica.seen().len() > before {
            return;
        }
    }
    panic!("the replica got no request");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_says_in_any_answer_that_it_leaves_gets_no_new_work() {
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
        let told = "a replica is leaving, by its own answer";
        replicas[0].set(Behaviour::Leaving(Box::new(inner.clone())));
        reach(&router, &replicas[0], route).await;
        replicas[0].set(good.clone());
        let seen = replicas[0].seen().len();
        // Neither an entry that still calls it ready nor one that comes back changes that.
        site.enter(&replicas[0]);
        site.store.remove("servers", &replicas[0].id);
        site.enter(&replicas[0]);
        tokio::time::sleep(Duration::from_millis(700)).await;
        for number in 0..20 {
            let call = Call::new(route, &format!("after-{number}"));
            assert_eq!(call.send(router.callers).await.unwrap().status, 200);
        }
        assert_eq!(replicas[0].seen().len(), seen, "{inner:?}");
        assert_eq!(router.log_of(told).len(), 1, "{inner:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_incarnation_at_the_address_of_one_that_left_gets_work() {
    let (site, replicas) = site_with(&[Behaviour::Answer, Behaviour::Answer]).await;
    let router = site.ready_router("r-1").await;
    replicas[0].set(Behaviour::Leaving(Box::new(Behaviour::Answer)));
    reach(&router, &replicas[0], "look").await;
    replicas[0].set(Behaviour::Answer);
    let seen = replicas[0].seen().len();
    site.enter_born(&replicas[0], 2_000);
    wait_until("the new incarnation is used", || async {
        statuses(&router, "new", 4).await;
        replicas[0].seen().len() > seen
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_run_in_progress_at_a_replica_that_leaves_ends_well() {
    let leaving = Behaviour::Leaving(Box::new(Behaviour::Stream {
        events: 20,
        pause: PAUSE,
    }));
    let (site, replicas) = site_with(&[leaving]).await;
    let router = site.ready_router("r-1").await;
    let got = Call::new("draft", "a-1")
        .send(router.callers)
        .await
        .unwrap();
    assert!(got.is_whole);
    assert_eq!(got.body, (1..=20).map(event_text).collect::<String>());
    let refused = Call::new("draft", "a-2")
        .send(router.callers)
        .await
        .unwrap();
    assert_eq!(refused.status, 503);
    assert_eq!(replicas[0].seen().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_other_routers_hear_that_a_replica_leaves_while_the_store_is_down() {
    let (site, replicas) = site_with(&[Behaviour::Answer, Behaviour::Answer]).await;
    let first = site.ready_router("r-1").await;
    let second = site.ready_router("r-2").await;
    wait_until("the routers hear each other", || async {
        !second.log_of("router heard").is_empty()
    })
    .await;
    site.store.go_down();
    replicas[0].set(Behaviour::Leaving(Box::new(Behaviour::Answer)));
    reach(&first, &replicas[0], "look").await;
    wait_until("the other router is told", || async {
        !second
            .log_of("a replica is leaving, by another router's word")
            .is_empty()
    })
    .await;
    let seen = replicas[0].seen().len();
    assert_eq!(statuses(&second, "told", 20).await, [200; 20]);
    assert_eq!(replicas[0].seen().len(), seen);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_asked_for_quiet_gets_nothing_until_its_end() {
    let (site, replicas) = site_with(&[Behaviour::Answer, Behaviour::Answer]).await;
    let router = site.ready_router("r-1").await;
    assert_eq!(statuses(&router, "warm", 40).await, [200; 40]);
    replicas[0].set(Behaviour::AskQuiet(Duration::from_millis(2_500)));
    reach(&router, &replicas[0], "look").await;
    let asked = std::time::Instant::now();
    replicas[0].set(Behaviour::Answer);
    let seen = replicas[0].seen().len();
    while asked.elapsed() < Duration::from_millis(2_300) {
        assert_eq!(statuses(&router, "quiet", 5).await, [200; 5]);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(replicas[0].seen().len(), seen);
    wait_until("it is used again", || async {
        statuses(&router, "again", 4).await;
        replicas[0].seen().len() > seen
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn where_all_replicas_asked_for_quiet_the_caller_is_told_at_once_when_it_ends() {
    let (site, replicas) = site_with(&[
        Behaviour::AskQuiet(Duration::from_millis(6_500)),
        Behaviour::AskQuiet(Duration::from_millis(7_500)),
    ])
    .await;
    let router = site.ready_router("r-1").await;
    // A call that one of them refused may have gone on to the other.
    for replica in &replicas {
        if replica.seen().is_empty() {
            reach(&router, replica, "look").await;
        }
    }
    let seen = replicas.iter().map(|replica| replica.seen().len());
    let seen: usize = seen.sum();
    let asked = std::time::Instant::now();
    let got = Call::new("book", "a-1").send(router.callers).await.unwrap();
    assert!(asked.elapsed() < Duration::from_millis(500));
    assert_eq!(got.status, 503);
    let text = got.headers["retry-after"].to_str().unwrap();
    let retry_after_s: f64 = text.parse().unwrap();
    assert!((4.0..=6.6).contains(&retry_after_s), "{retry_after_s}");
    let after = replicas.iter().map(|replica| replica.seen().len());
    assert_eq!(after.sum::<usize>(), seen);
}
