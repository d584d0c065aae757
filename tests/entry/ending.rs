//! Quarantine of requests that crash every backend server that runs them (poison requests).

use std::time::Duration;

use super::replica::{Behaviour, FakeReplica, POISON_BODY, POISON_BODY_MID_STREAM, RESTART_DELAY};
use super::site::{wait_ready, wait_until, Call, Router, Site};
use super::site_with;

const SERVERS: usize = 9;
/// Number of servers that a request may crash before it is quarantined.
const ALLOWED_CRASHES: u32 = 3;
/// Log message of a router that detected the crash of a server.
const SERVER_CRASHED: &str = "server crashed with a request in progress";

async fn fleet(routers: usize) -> (Site, Vec<FakeReplica>, Vec<Router>) {
    let (site, replicas) = site_with(&vec![Behaviour::Answer; SERVERS]).await;
    let mut fleet = Vec::new();
    for number in 0..routers {
        fleet.push(site.ready_router(&format!("r-{number}")).await);
    }
    for router in &fleet {
        wait_until("the routers know one another", || async {
            router.log_lines("router discovered").len() >= routers - 1
        })
        .await;
        wait_until("all servers are known", || async {
            router.log_lines("replica added or updated").len() >= SERVERS
        })
        .await;
    }
    (site, replicas, fleet)
}

fn crash_count(replicas: &[FakeReplica]) -> u32 {
    replicas.iter().map(FakeReplica::crash_count).sum()
}

/// Waits until the routers have detected all crashes of servers and, if enough servers crashed,
/// until all routers have quarantined the request. The answer to a non-idempotent request does not
/// wait for that.
async fn wait_crashes_detected(routers: &[Router], replicas: &[FakeReplica]) {
    wait_until("all crashes are detected", || async {
        let detected = routers
            .iter()
            .map(|router| router.log_lines(SERVER_CRASHED).len());
        detected.sum::<usize>() >= crash_count(replicas) as usize
    })
    .await;
    if crash_count(replicas) >= ALLOWED_CRASHES {
        wait_until("all routers have quarantined the request", || async {
            let has_quarantined =
                |router: &Router| !router.log_lines("request quarantined").is_empty();
            routers.iter().all(has_quarantined)
        })
        .await;
    }
}

fn poison(route: &str, attempt: &str) -> Call {
    Call::new(route, attempt).with_body(POISON_BODY)
}

/// Guards against any router sending a request to a further server after three servers crashed
/// while running it.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashed_three_servers_reaches_no_further_one() {
    for route in ["book", "look", "chat"] {
        let (_site, replicas, routers) = fleet(3).await;
        for number in 0..12 {
            let router = &routers[number % routers.len()];
            let call = poison(route, &format!("{route}-{number}"));
            let got = call.send(router.callers_address).await.unwrap();
            assert!([502, 503].contains(&got.status), "{route}: {}", got.status);
            wait_crashes_detected(&routers, &replicas).await;
            let crashed = crash_count(&replicas);
            assert!(
                crashed <= ALLOWED_CRASHES,
                "{route}: {crashed} servers crashed after request {number}"
            );
            let other = Call::new(route, &format!("{route}-other-{number}"));
            let status = other.send(router.callers_address).await.unwrap().status;
            assert_eq!(status, 200, "{route}, other request {number}");
        }
        assert_eq!(crash_count(&replicas), ALLOWED_CRASHES, "{route}");
    }
}

/// Guards against counting a connection reset as a crash of the server.
#[tokio::test(flavor = "multi_thread")]
async fn a_crashed_server_is_distinguished_from_one_that_reset_a_connection() {
    let (site, replicas) = site_with(&[Behaviour::RunAndReset]).await;
    let router = site.ready_router("r-1").await;
    let call = Call::new("book", "reset");
    assert_eq!(call.send(router.callers_address).await.unwrap().status, 502);
    replicas[0].set_behaviour(Behaviour::AnswerAfter(Duration::from_secs(4)));
    let callers_address = router.callers_address;
    let call = tokio::spawn(async move { Call::new("book", "ended").send(callers_address).await });
    wait_until("the request is in progress", || async {
        replicas[0].received().len() == 2
    })
    .await;
    replicas[0].crash();
    assert_eq!(call.await.unwrap().unwrap().status, 502);
    wait_until("the crash is detected", || async {
        !router.log_lines(SERVER_CRASHED).is_empty()
    })
    .await;
    let lines = router.log_lines(SERVER_CRASHED);
    assert_eq!(lines.len(), 1, "the reset was counted as a crash");
    assert_eq!(lines[0]["request"], "ended");
    assert_eq!(lines[0]["replica"], "i-0");
    assert_eq!(lines[0]["evidence"], "refused");
    let requests = router.log_lines("request");
    assert_eq!(requests[0]["fingerprint"], requests[1]["fingerprint"]);
}

/// Sends a request that crashes servers until a router refuses it. Returns the number of calls
/// before.
async fn call_until_refused(router: &Router, attempts: &str) -> u32 {
    for number in 0..=ALLOWED_CRASHES {
        let call = poison("book", &format!("{attempts}-{number}"));
        if call.send(router.callers_address).await.unwrap().status == 503 {
            return number;
        }
        wait_until("the crash is detected", || async {
            router.log_lines(SERVER_CRASHED).len() > number as usize
        })
        .await;
    }
    panic!("the request was never refused");
}

async fn assert_refused(router: &Router, attempt: &str, replicas: &[FakeReplica]) {
    let received = replicas.iter().map(|replica| replica.received().len());
    let before: usize = received.sum();
    let got = poison("book", attempt)
        .send(router.callers_address)
        .await
        .unwrap();
    assert_eq!(got.status, 503, "{attempt}");
    let received = replicas.iter().map(|replica| replica.received().len());
    assert_eq!(
        received.sum::<usize>(),
        before,
        "{attempt}: the refused request reached a server"
    );
}

/// Guards against a refusal of a quarantined request that does not state the reason, is late,
/// charges tokens, or is sent although the request ran.
#[tokio::test(flavor = "multi_thread")]
async fn the_refusal_of_a_quarantined_request_states_the_reason_and_costs_nothing() {
    let (site, replicas, routers) = fleet(1).await;
    call_until_refused(&routers[0], "kill").await;
    let sent_at = std::time::Instant::now();
    let call = poison("book", "refused").with_tokens(100, 10);
    let got = call.send(routers[0].callers_address).await.unwrap();
    assert!(sent_at.elapsed() < Duration::from_millis(500));
    assert_eq!(got.status, 503);
    assert_eq!(got.body, r#"{"error":"quarantined"}"#);
    let retry_after: f64 = got.headers["retry-after"]
        .to_str()
        .unwrap()
        .parse()
        .unwrap();
    assert!((3_000.0..=3_600.0).contains(&retry_after), "{retry_after}");
    let ran = replicas.iter().flat_map(FakeReplica::received);
    let mut ran =
        ran.filter(|received| received.header("currantlever-attempt-id") == Some("refused"));
    assert!(ran.next().is_none());
    wait_until("the refusal is logged", || async {
        let requests = routers[0].log_lines("request");
        requests.iter().any(|line| line["request"] == "refused")
    })
    .await;
    let requests = routers[0].log_lines("request");
    let line = requests.iter().find(|line| line["request"] == "refused");
    let line = line.unwrap();
    assert_eq!(line["outcome"], "quarantined");
    assert_eq!(line["spent_tokens"], 0);
    let quarantined = &routers[0].log_lines("request quarantined")[0];
    assert_eq!(quarantined["fingerprint"], line["fingerprint"]);
    let servers = quarantined["ended_servers"].as_str().unwrap();
    assert_eq!(servers.matches("seen by r-0").count(), 3, "{servers}");
    wait_until("the object is written to the store", || async {
        site.store.names("quarantined-requests").len() == 1
    })
    .await;
}

/// Guards against losing the quarantine of a request when all routers that know it are killed.
#[tokio::test(flavor = "multi_thread")]
async fn a_quarantine_survives_a_restart_of_all_routers() {
    let (site, replicas, mut routers) = fleet(2).await;
    call_until_refused(&routers[0], "kill").await;
    wait_until("the object is written to the store", || async {
        !site.store.names("quarantined-requests").is_empty()
    })
    .await;
    for router in &mut routers {
        router.kill();
    }
    for router in &mut routers {
        router.restart();
        wait_ready(router).await;
    }
    wait_until("both routers have read the object", || async {
        let has_read = |router: &Router| router.log_lines("request quarantined").len() == 2;
        routers.iter().all(has_read)
    })
    .await;
    for (number, router) in routers.iter().enumerate() {
        assert_refused(router, &format!("again-{number}"), &replicas).await;
    }
}

/// Guards against routers that learn of crashed servers only through the store.
#[tokio::test(flavor = "multi_thread")]
async fn the_other_routers_refuse_a_request_that_crashes_servers_while_the_store_is_down() {
    let (site, replicas, routers) = fleet(3).await;
    site.store.start_outage();
    call_until_refused(&routers[0], "kill").await;
    for (number, router) in routers.iter().enumerate() {
        wait_until("the router has quarantined the request", || async {
            !router.log_lines("request quarantined").is_empty()
        })
        .await;
        assert_refused(router, &format!("again-{number}"), &replicas).await;
    }
    assert_eq!(crash_count(&replicas), ALLOWED_CRASHES);
}

/// Guards against a quarantine that an operator cannot lift.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_object_is_removed_from_the_store_may_run_again() {
    let (site, replicas, routers) = fleet(2).await;
    call_until_refused(&routers[0], "kill").await;
    wait_until("the object is written to the store", || async {
        !site.store.names("quarantined-requests").is_empty()
    })
    .await;
    let name = site.store.names("quarantined-requests").remove(0);
    wait_until("both routers know the object", || async {
        let has_quarantined = |router: &Router| !router.log_lines("request quarantined").is_empty();
        routers.iter().all(has_quarantined)
    })
    .await;
    site.store.remove("quarantined-requests", &name);
    for (number, router) in routers.iter().enumerate() {
        wait_until("the request is released", || async {
            !router.log_lines("request released").is_empty()
        })
        .await;
        let call = poison("book", &format!("released-{number}"));
        assert_eq!(call.send(router.callers_address).await.unwrap().status, 502);
    }
    assert_eq!(crash_count(&replicas), ALLOWED_CRASHES + 2);
}

/// Guards against additional crashed servers when all routers receive a request at the same time.
#[tokio::test(flavor = "multi_thread")]
async fn calls_to_several_routers_at_once_crash_no_more_servers_than_there_are_calls() {
    let (_site, replicas, routers) = fleet(4).await;
    let mut round = 0;
    // Several concurrent calls may be sent to the same server and crash only that one.
    while crash_count(&replicas) < ALLOWED_CRASHES {
        call_all_routers(&routers, &replicas, round).await;
        round += 1;
    }
    let crashed = crash_count(&replicas);
    assert!(crashed <= 8, "{crashed} servers crashed");
    for later in round..round + 3 {
        call_all_routers(&routers, &replicas, later).await;
    }
    assert_eq!(crash_count(&replicas), crashed);
}

/// Sends a request that crashes servers to all routers concurrently.
async fn call_all_routers(routers: &[Router], replicas: &[FakeReplica], round: u32) {
    let calls = routers.iter().enumerate().map(|(number, router)| {
        let call = poison("look", &format!("look-{round}-{number}"));
        async move { call.send(router.callers_address).await.unwrap().status }
    });
    futures::future::join_all(calls).await;
    wait_crashes_detected(routers, replicas).await;
}

/// Guards against resuming a stream without limit when it crashes servers after some events.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_crashes_servers_after_some_events_is_resumed_at_no_fourth_one() {
    let (_site, replicas, routers) = fleet(2).await;
    for number in 0..8 {
        let call = Call::new("chat", &format!("a-{number}")).with_body(POISON_BODY_MID_STREAM);
        let got = call
            .send(routers[number % 2].callers_address)
            .await
            .unwrap();
        assert!(!got.is_whole || got.status == 503);
        wait_crashes_detected(&routers, &replicas).await;
        let crashed = crash_count(&replicas);
        assert!(
            crashed <= ALLOWED_CRASHES,
            "{crashed} servers crashed after request {number}"
        );
    }
    assert_eq!(crash_count(&replicas), ALLOWED_CRASHES);
}

/// Guards against quarantining requests that were in progress on servers which crashed together for
/// another reason, in particular requests that many callers send.
#[tokio::test(flavor = "multi_thread")]
async fn requests_on_many_servers_that_crash_at_once_are_served_afterwards() {
    let (_site, replicas, routers) = fleet(3).await;
    for round in 0..3 {
        for (number, router) in routers.iter().enumerate() {
            let call = Call::new("look", &format!("before-{round}-{number}"));
            assert_eq!(call.send(router.callers_address).await.unwrap().status, 200);
        }
        for replica in &replicas {
            replica.set_behaviour(Behaviour::AnswerAfter(Duration::from_millis(300)));
        }
        let calls = (0..36).map(|number| {
            // All calls have the same content.
            let call = Call::new("look", &format!("herd-{round}-{number}"));
            let callers_address = routers[number % 3].callers_address;
            async move { call.send(callers_address).await.unwrap().status }
        });
        let calls = futures::future::join_all(calls);
        let crash_servers = async {
            tokio::time::sleep(Duration::from_millis(100)).await;
            for replica in &replicas[..6] {
                replica.crash();
            }
        };
        let (_, ()) = futures::join!(calls, crash_servers);
        for replica in &replicas {
            replica.set_behaviour(Behaviour::Answer);
        }
        for number in 0..9 {
            let call = Call::new("look", &format!("after-{round}-{number}"));
            let got = call
                .send(routers[number % 3].callers_address)
                .await
                .unwrap();
            assert_eq!(got.status, 200, "round {round}, request {number}: {got:?}");
        }
        tokio::time::sleep(RESTART_DELAY + Duration::from_millis(200)).await;
    }
}

/// Guards against a fleet that forgets crashes as its routers are stopped and started in turn, so
/// that a request crashes two servers after each time.
#[tokio::test(flavor = "multi_thread")]
async fn crashes_are_counted_on_while_all_routers_are_restarted_in_turn() {
    let (_site, replicas, mut routers) = fleet(3).await;
    let mut sent = 0;
    while crash_count(&replicas) < ALLOWED_CRASHES {
        let call = poison("book", &format!("a-{sent}"));
        let got = call.send(routers[0].callers_address).await.unwrap();
        assert!([502, 503].contains(&got.status), "{}", got.status);
        sent += 1;
        assert!(sent <= ALLOWED_CRASHES, "refused before three crashes");
        wait_until("all routers know of the crash", || async {
            let known = |router: &Router| router.log_lines(SERVER_CRASHED).len();
            routers.iter().map(known).sum::<usize>() >= sent as usize
        })
        .await;
        tokio::time::sleep(REPORTED_TIME).await;
        restart_in_turn(&mut routers).await;
    }
    wait_until("all routers refuse the request", || async {
        let is_quarantined = |router: &Router| !router.log_lines("request quarantined").is_empty();
        routers.iter().all(is_quarantined)
    })
    .await;
    for (number, router) in routers.iter().enumerate() {
        assert_refused(router, &format!("again-{number}"), &replicas).await;
    }
}

/// Time after which a router's reports are repeated no more.
const REPORTED_TIME: Duration = Duration::from_millis(1_200);

/// Returns how often routers told others of the crashes that they know.
fn report_count(routers: &[Router]) -> usize {
    let reports = routers.iter().map(|router| {
        router
            .log_lines("known crashes of servers reported to a router")
            .len()
    });
    reports.sum()
}

/// Stops and starts one router after the other, each once the one before was told of the crashes.
async fn restart_in_turn(routers: &mut [Router]) {
    for index in 0..routers.len() {
        let reported_before = report_count(routers);
        let router = &mut routers[index];
        router.terminate();
        assert_eq!(router.exit_code().await, Some(0));
        let starts_before = router.log_lines("started").len();
        router.restart();
        wait_until("the router has started again", || async {
            router.log_lines("started").len() > starts_before
        })
        .await;
        wait_ready(router).await;
        wait_until("the others have reported the crashes", || async {
            report_count(routers) >= reported_before + 2
        })
        .await;
    }
}
