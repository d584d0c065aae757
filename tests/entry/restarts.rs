//! Requests beside SIGHUP, SIGTERM and restarts of routers.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use tokio::task::JoinSet;

use super::config_changes::silent_servers;
use super::replica::{Behaviour, FakeReplica};
use super::site::{free_port, lists, wait_ready, wait_until, Call, Router};
use super::{site_with, AMPLE_PAID_TOKENS};

/// Callers that send requests one after another.
const CALLERS: usize = 6;

/// Sends requests until the router refuses connections; returns those that were accepted and got no
/// whole answer.
async fn call_until_refused(
    address: std::net::SocketAddr,
    caller: usize,
    is_over: Arc<AtomicBool>,
) -> Vec<String> {
    let routes = ["chat", "draft", "look", "book"];
    let mut lost = Vec::new();
    let mut number = 0;
    while !is_over.load(Ordering::SeqCst) {
        let route = routes[(caller + number) % routes.len()];
        let attempt = format!("a-{caller}-{number}");
        match Call::new(route, &attempt).send(address).await {
            Ok(answer) if answer.is_whole && ![502, 504].contains(&answer.status) => {}
            other => lost.push(format!("{attempt} {other:?}")),
        }
        number += 1;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    lost
}

async fn wait_for_log(router: &Router, message: &str, count: usize) {
    wait_until(message, || async {
        router.log_lines(message).len() >= count
    })
    .await;
}

/// Guards against requests that are lost beside SIGHUP and SIGTERM while their servers are silent,
/// with changes of the configuration at the same time.
#[tokio::test(flavor = "multi_thread")]
async fn no_request_is_lost_beside_signals_while_servers_fall_silent() {
    let (site, replicas) = site_with(&silent_servers()).await;
    let mut router = site.ready_router("r-1").await;
    for round in 1..=2 {
        wait_for_log(&router, "replica added or updated", round * replicas.len()).await;
        let is_over = Arc::new(AtomicBool::new(false));
        let mut callers = JoinSet::new();
        for caller in 0..CALLERS {
            let is_over = Arc::clone(&is_over);
            callers.spawn(call_until_refused(router.callers_address, caller, is_over));
        }
        for step in 0..4 {
            tokio::time::sleep(Duration::from_millis(300)).await;
            let version = 10 * u64::try_from(round).unwrap() + step;
            let mut config = lists(version, AMPLE_PAID_TOKENS);
            config["limits"]["idle_timeout_ms"] = (500 * (step + 1)).into();
            site.store.put("config", "main", &config);
            router.hang_up();
        }
        wait_for_log(
            &router,
            "settings file is valid; running settings unchanged",
            4 * round,
        )
        .await;
        router.terminate();
        // The router takes requests for 2.5 s after the signal.
        tokio::time::sleep(Duration::from_secs(1)).await;
        is_over.store(true, Ordering::SeqCst);
        let lost: Vec<String> = callers.join_all().await.concat();
        assert_eq!(lost, Vec::<String>::new());
        assert_eq!(router.exit_code().await, Some(0));
        let busy = &router.log_lines("stopped")[round - 1]["busy"];
        assert_eq!(busy, 0);
        router.restart();
        wait_ready(&router).await;
    }
}

/// Guards against a sound request that is refused because the first servers chosen have just ended,
/// which this router does not know yet.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_passes_over_servers_that_refuse_connections() {
    for round in 0..4 {
        let (site, _replicas) = site_with(&[Behaviour::Answer]).await;
        for number in 0..12 {
            let entry = json!({
                "service": "pool", "address": format!("127.0.0.1:{}", free_port()), "zone": "a",
                "version": "v1", "slots": 8, "phase": "ready", "cold_left_ms": 0, "sequence": 1,
                "born": 1_000,
            });
            site.store
                .put("servers", &format!("ended-{number}"), &entry);
        }
        let router = site.ready_router("r-1").await;
        wait_for_log(&router, "replica added or updated", 13).await;
        let call = Call::new("book", &format!("a-{round}"));
        let got = call.send(router.callers_address).await.unwrap();
        assert_eq!(got.status, 200, "round {round}: {:?}", got.body);
    }
}

/// Guards against requests that are taken late in a short grace period and cut at its end, though
/// their servers answer sooner than the grace period lasts.
#[tokio::test(flavor = "multi_thread")]
async fn no_request_is_cut_by_a_planned_stop_with_a_short_grace_period() {
    let work = Behaviour::AnswerAfter(Duration::from_millis(1_200));
    let (site, replicas) = site_with(&[work.clone(), work]).await;
    let mut router = site.ready_router("r-1").await;
    router.change_setting("grace_s", &json!(3.0));
    router.kill();
    router.restart();
    wait_for_log(&router, "started", 2).await;
    wait_ready(&router).await;
    let is_over = Arc::new(AtomicBool::new(false));
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        let is_over = Arc::clone(&is_over);
        callers.spawn(call_until_refused(router.callers_address, caller, is_over));
    }
    tokio::time::sleep(Duration::from_millis(400)).await;
    router.terminate();
    let stopping = async {
        while router.log_lines("stopped").is_empty() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(5), stopping)
        .await
        .unwrap();
    is_over.store(true, Ordering::SeqCst);
    assert_eq!(router.log_lines("stopped")[0]["busy"], 0);
    assert_eq!(router.exit_code().await, Some(0));
    // New connections are closed unread while the process exits.
    let lost = callers.join_all().await.concat();
    let received: Vec<String> = replicas
        .iter()
        .flat_map(FakeReplica::received)
        .filter_map(|request| request.header("currantlever-attempt-id").map(str::to_owned))
        .collect();
    let was_received = |lost: &&String| {
        let attempt = lost.split(' ').next().unwrap_or_default();
        received.iter().any(|received| received == attempt)
    };
    let cut: Vec<&String> = lost.iter().filter(was_received).collect();
    assert_eq!(cut, Vec::<&String>::new());
}
