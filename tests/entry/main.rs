//! The entry router as a separate process, with a fake store and fake replicas.

mod brittle;
mod broken_head;
mod broken_resume;
mod config_changes;
mod crowded;
mod earlier_refusal;
mod early_answer;
mod ending;
mod endless;
mod eras;
mod feed;
mod gate;
mod leaving;
mod limits;
mod load;
mod lost;
mod many_budgets;
mod odd_config;
mod odd_entries;
mod odd_status;
mod own_entry;
mod partition;
mod plain_output;
mod plain_tunnels;
mod probes;
mod prompt_parts;
mod rate_limits;
mod removals;
mod replica;
mod request_ends;
mod restarts;
mod rules;
#[allow(dead_code, reason = "shared with the tests of hostile clients")]
mod site;
mod store;
mod stream_origins;
mod stutter;
mod unstated_end;
mod versions;

use std::sync::atomic::Ordering;
use std::time::Duration;

use replica::{event_text, Behaviour, FakeReplica};
use serde_json::Value;
use site::{get, lists, wait_ready, wait_until, Call, Router, Site, KEY};
use store::StoreFaults;

/// Paid tokens of a budget that ordinary requests do not exhaust.
const AMPLE_PAID_TOKENS: u64 = 10_000_000;

fn events(range: std::ops::RangeInclusive<u64>) -> String {
    range.map(event_text).collect()
}

/// Starts a site with one registered replica for each behaviour.
async fn site_with(behaviours: &[Behaviour]) -> (Site, Vec<FakeReplica>) {
    let site = Site::start(AMPLE_PAID_TOKENS).await;
    let mut replicas = Vec::new();
    for (index, behaviour) in behaviours.iter().enumerate() {
        let replica = FakeReplica::start(&format!("i-{index}"), behaviour.clone()).await;
        site.register(&replica);
        replicas.push(replica);
    }
    (site, replicas)
}

fn received_count(replicas: &[FakeReplica]) -> usize {
    replicas
        .iter()
        .map(|replica| replica.received().len())
        .sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_reaches_the_replica_with_the_routers_headers_and_not_the_callers_key() {
    let (site, replicas) = site_with(&[Behaviour::Answer]).await;
    let router = site.ready_router("r-1").await;
    let call = Call::new("book", "a-1")
        .with("currantlever-tenant", "forged")
        .with("currantlever-hold", "forged")
        .with("kv-from", "10.0.0.1:1/x")
        .with("x-own", "kept");
    let got = call.send(router.callers_address).await.unwrap();
    assert_eq!((got.status, got.is_whole), (200, true));
    assert_eq!(got.body, "the replica's whole answer");
    assert_eq!(got.headers["currantlever-replica-signature"], "sig");
    let received = &replicas[0].received()[0];
    assert!(
        received.head.starts_with("POST /book/x?y=1 HTTP/1.1\r\n"),
        "{}",
        received.head
    );
    assert_eq!(received.body, b"the caller's body");
    assert_eq!(received.header("currantlever-tenant"), Some("red"));
    assert_eq!(received.header("currantlever-expect-replica"), Some("i-0"));
    assert_eq!(received.header("x-own"), Some("kept"));
    assert_eq!(received.header("host"), Some(site::HOST));
    assert!(!received.head.contains(KEY));
    assert_eq!(received.header("currantlever-hold"), None);
    assert_eq!(received.header("kv-from"), None);
    let remaining_ms: u64 = received
        .header("currantlever-deadline-ms")
        .unwrap()
        .parse()
        .unwrap();
    assert!((4_000..=5_000).contains(&remaining_ms), "{remaining_ms}");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_log_has_one_line_per_request_with_the_routing_details() {
    let (site, _replicas) = site_with(&[Behaviour::Answer]).await;
    let router = site.ready_router("r-1").await;
    let call = Call::new("look", "a-logged").with_tokens(100, 10);
    assert_eq!(call.send(router.callers_address).await.unwrap().status, 200);
    wait_until("the request is logged", || async {
        !router.log_lines("request").is_empty()
    })
    .await;
    let lines = router.log_lines("request");
    assert_eq!(lines.len(), 1);
    let line = &lines[0];
    assert_eq!(line["request"], "a-logged");
    assert_eq!(line["outcome"], "answered");
    assert_eq!(line["team"], "red");
    assert_eq!(line["config_version"], 1);
    assert_eq!(line["reserved_tokens"], 110);
    assert!(
        line["tries"].as_str().unwrap().starts_with("i-0 at "),
        "{line}"
    );
    assert_eq!(router.log_lines("started").len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_keys_and_routes_get_401_and_404_only_while_list_updates_arrive() {
    let (site, _replicas) = site_with(&[Behaviour::Answer]).await;
    let router = site.ready_router("r-1").await;
    let unknown_key = Call::new("look", "a-1").with("authorization", "Token nobody");
    let unknown_route = Call::new("nowhere", "a-2");
    wait_until("the lists are known to be current", || async {
        let got = unknown_key.send(router.callers_address).await.unwrap();
        assert!([401, 503].contains(&got.status), "{}", got.status);
        got.status == 401
    })
    .await;
    assert_eq!(
        unknown_key
            .send(router.callers_address)
            .await
            .unwrap()
            .status,
        401
    );
    assert_eq!(
        unknown_route
            .send(router.callers_address)
            .await
            .unwrap()
            .status,
        404
    );
    site.wait_until_watched().await;
    site.store.start_outage();
    wait_until("the store outage is logged", || async {
        router.log_lines("store unavailable").len() >= 2
    })
    .await;
    for call in [unknown_key, unknown_route] {
        let got = call.send(router.callers_address).await.unwrap();
        assert_eq!(got.status, 503);
        assert!(got.headers.contains_key("retry-after"));
    }
    assert_eq!(
        Call::new("look", "a-3")
            .send(router.callers_address)
            .await
            .unwrap()
            .status,
        200
    );
}

/// Guards against a router that has just started and answers 401 or 404 by an old listing.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_with_old_lists_gives_503_for_what_only_newer_ones_allow() {
    let (site, _replicas) = site_with(&[Behaviour::Answer]).await;
    site.store.freeze_stale_listings();
    let mut newer = lists(2, AMPLE_PAID_TOKENS);
    let mut route = newer["routes"][0].clone();
    route["name"] = "added".into();
    route["path_prefix"] = "/added/".into();
    newer["routes"].as_array_mut().unwrap().push(route);
    newer["tenants"][0]["api_keys"]
        .as_array_mut()
        .unwrap()
        .push("added-key".into());
    site.store.put("config", "main", &newer);
    let router = site.ready_router("r-1").await;
    let calls = [
        Call::new("added", "a-route"),
        Call::new("look", "a-key").with("authorization", "Token added-key"),
    ];
    for call in calls {
        wait_until("the newer lists are in force", || async {
            let got = call.send(router.callers_address).await.unwrap();
            assert!([200, 503].contains(&got.status), "{}", got.status);
            got.status == 200
        })
        .await;
    }
    // Unknown ones are answered 404 and 401 once the lists are known to be current.
    let unknown = Call::new("nowhere", "a-unknown");
    wait_until("unknown routes are answered 404", || async {
        let got = unknown.send(router.callers_address).await.unwrap();
        got.status == 404
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_router_without_lists_refuses_and_is_not_ready() {
    let (site, _replicas) = site_with(&[Behaviour::Answer]).await;
    let faults = StoreFaults {
        error_status: Some(503),
        ..StoreFaults::default()
    };
    site.store.set_faults(faults);
    let router = site.router("r-1");
    wait_until("the router accepts connections", || async {
        get(router.ready_address, "/readyz").await.is_ok()
    })
    .await;
    assert_eq!(
        get(router.ready_address, "/readyz").await.unwrap().status,
        503
    );
    let got = Call::new("look", "a-1")
        .send(router.callers_address)
        .await
        .unwrap();
    assert_eq!(got.status, 503);
    let resolve = get(router.registry_address, "/resolve?name=x&region=r&zone=a")
        .await
        .unwrap();
    assert_eq!(resolve.status, 503);
    site.store.set_faults(StoreFaults::default());
    wait_ready(&router).await;
    let resolve = get(router.registry_address, "/resolve?name=x&region=r&zone=a")
        .await
        .unwrap();
    let body: Value = serde_json::from_slice(&resolve.body).unwrap();
    assert_eq!(body["addresses"][0], router.callers_address.to_string());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_non_idempotent_request_runs_at_most_once() {
    for behaviour in [
        Behaviour::RunAndReset,
        Behaviour::WrongId,
        Behaviour::Unsigned,
        Behaviour::Truncated,
    ] {
        let (site, replicas) = site_with(&[behaviour.clone(), behaviour.clone()]).await;
        let router = site.ready_router("r-1").await;
        let got = Call::new("book", "a-1")
            .send(router.callers_address)
            .await
            .unwrap();
        assert_eq!(got.status, 502, "{behaviour:?}");
        assert_eq!(received_count(&replicas), 1, "{behaviour:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_a_replica_did_not_run_is_sent_to_another_one() {
    for behaviour in [Behaviour::NotRun, Behaviour::Misdirected] {
        let (site, replicas) = site_with(&[behaviour.clone(), behaviour.clone()]).await;
        let router = site.ready_router("r-1").await;
        // The five calls below may each be sent to the refusing replica first, and a new process
        // has too small a retry budget for that. These 40 requests raise it by a fifth of their
        // number, less the margin.
        replicas[0].set_behaviour(Behaviour::Answer);
        replicas[1].set_behaviour(Behaviour::Answer);
        for number in 0..40 {
            let call = Call::new("look", &format!("warm-{number}"));
            assert_eq!(call.send(router.callers_address).await.unwrap().status, 200);
        }
        replicas[0].set_behaviour(behaviour.clone());
        for number in 0..5 {
            let call = Call::new("book", &format!("b-{number}"));
            assert_eq!(
                call.send(router.callers_address).await.unwrap().status,
                200,
                "{behaviour:?}"
            );
        }
        replicas[1].set_behaviour(behaviour.clone());
        let refused = Call::new("book", "a-1")
            .send(router.callers_address)
            .await
            .unwrap();
        assert_eq!(refused.status, 503, "{behaviour:?}");
        assert!(refused.headers.contains_key("retry-after"));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_idempotent_request_is_retried_after_a_lost_answer() {
    for behaviour in [
        Behaviour::RunAndReset,
        Behaviour::WrongId,
        Behaviour::Unsigned,
        Behaviour::Truncated,
        Behaviour::Fail,
    ] {
        let (site, replicas) = site_with(&[Behaviour::Answer, Behaviour::Answer]).await;
        let router = site.ready_router("r-1").await;
        for number in 0..20 {
            let call = Call::new("look", &format!("warm-{number}"));
            assert_eq!(call.send(router.callers_address).await.unwrap().status, 200);
        }
        replicas[0].set_behaviour(behaviour.clone());
        for number in 0..3 {
            let call = Call::new("look", &format!("a-{number}"));
            let got = call.send(router.callers_address).await.unwrap();
            assert_eq!((got.status, got.is_whole), (200, true), "{behaviour:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn retries_stay_within_the_retry_budget_of_a_new_process() {
    let (site, replicas) = site_with(&[Behaviour::RunAndReset, Behaviour::RunAndReset]).await;
    let router = site.ready_router("r-1").await;
    for number in 0..40 {
        let attempt = format!("a-{number}");
        let got = Call::new("look", &attempt)
            .send(router.callers_address)
            .await
            .unwrap();
        let received = replicas.iter().flat_map(FakeReplica::received);
        let has_run = received
            .into_iter()
            .any(|received| received.header("currantlever-attempt-id") == Some(&attempt));
        // While both replicas are excluded, nothing is sent, and the router may answer 503.
        assert_eq!(got.status, if has_run { 502 } else { 503 });
    }
    // The 40 first sends, retries for a fifth of them, and the slack, which grows with the uptime
    // of the process to at most 58.
    assert!(
        received_count(&replicas) <= 40 + 8 + 58,
        "{}",
        received_count(&replicas)
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_past_its_deadline_gets_504_at_once_and_may_have_run() {
    let slow = Behaviour::AnswerAfter(Duration::from_secs(3));
    let (site, replicas) = site_with(&[slow]).await;
    let router = site.ready_router("r-1").await;
    let call = Call::new("book", "a-1").with("currantlever-deadline-ms", "300");
    let sent_at = std::time::Instant::now();
    let got = call.send(router.callers_address).await.unwrap();
    assert_eq!(got.status, 504);
    assert!(sent_at.elapsed() < Duration::from_secs(2));
    assert_eq!(received_count(&replicas), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_forwarded_whole_and_event_by_event() {
    let pause = Duration::from_millis(5);
    let (site, _replicas) = site_with(&[Behaviour::Stream { events: 6, pause }]).await;
    let router = site.ready_router("r-1").await;
    for route in ["chat", "draft"] {
        let call = Call::new(route, &format!("a-{route}")).with_tokens(100, 40);
        let got = call.send(router.callers_address).await.unwrap();
        assert_eq!((got.status, got.is_whole), (200, true));
        assert_eq!(got.body, events(1..=6));
    }
    wait_until("both are logged", || async {
        router.log_lines("request").len() == 2
    })
    .await;
    // The prompt and six events of five tokens.
    assert_eq!(router.log_lines("request")[0]["spent_tokens"], 130);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resumable_stream_continues_at_another_replica_without_a_gap() {
    let pause = Duration::from_millis(2);
    let (site, replicas) = site_with(&[
        Behaviour::Stream { events: 8, pause },
        Behaviour::Stream { events: 8, pause },
    ])
    .await;
    let router = site.ready_router("r-1").await;
    for number in 0..20 {
        let call = Call::new("chat", &format!("warm-{number}"));
        assert_eq!(call.send(router.callers_address).await.unwrap().status, 200);
    }
    replicas[0].set_behaviour(Behaviour::BreakStream { after: 3 });
    let is_resumed = || {
        let received = replicas[1].received();
        received
            .iter()
            .any(|received| received.header("last-event-id") == Some("3"))
    };
    // Each call begins at either replica with even odds.
    for number in 0..40 {
        let call = Call::new("chat", &format!("a-{number}"));
        let got = call.send(router.callers_address).await.unwrap();
        assert_eq!((got.status, got.is_whole), (200, true));
        assert_eq!(got.body, events(1..=8));
        if is_resumed() {
            break;
        }
    }
    assert!(is_resumed());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_may_not_be_retried_is_cut_and_never_looks_complete() {
    let (site, replicas) = site_with(&[
        Behaviour::BreakStream { after: 3 },
        Behaviour::BreakStream { after: 3 },
    ])
    .await;
    let router = site.ready_router("r-1").await;
    let got = Call::new("draft", "a-1")
        .send(router.callers_address)
        .await
        .unwrap();
    assert_eq!(got.status, 200);
    assert!(!got.is_whole);
    assert_eq!(
        got.body,
        events(1..=3),
        "no part of an incomplete event is forwarded"
    );
    assert_eq!(received_count(&replicas), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_disconnect_cancels_the_request_at_the_replica() {
    let pause = Duration::from_millis(20);
    let (site, replicas) = site_with(&[Behaviour::Stream {
        events: 5_000,
        pause,
    }])
    .await;
    let router = site.ready_router("r-1").await;
    let call = Call::new("draft", "a-1");
    let callers_address = router.callers_address;
    let caller = tokio::spawn(async move { call.send(callers_address).await });
    wait_until("the replica runs the request", || async {
        !replicas[0].received().is_empty()
    })
    .await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    caller.abort();
    wait_until("the replica notices the disconnect", || async {
        replicas[0].disconnect_count() == 1
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_replica_gets_no_new_requests() {
    let (site, replicas) = site_with(&[Behaviour::Answer, Behaviour::Answer]).await;
    let router = site.ready_router("r-1").await;
    wait_until("both replicas are known", || async {
        router.log_lines("replica added or updated").len() >= 2
    })
    .await;
    site.register_in_phase(&replicas[0], "draining");
    wait_until("the draining phase is logged", || async {
        router
            .log_lines("replica added or updated")
            .iter()
            .any(|line| line["draining"] == true)
    })
    .await;
    // An entry of the same incarnation does not make it ready again.
    site.register_in_phase(&replicas[0], "ready");
    site.store.remove("servers", &replicas[0].id);
    site.register_in_phase(&replicas[0], "ready");
    for number in 0..20 {
        let call = Call::new("look", &format!("a-{number}"));
        assert_eq!(call.send(router.callers_address).await.unwrap().status, 200);
    }
    assert_eq!(replicas[0].received().len(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replica_whose_entry_expired_in_an_outage_is_kept_until_it_fails_to_register_again() {
    let (site, replicas) = site_with(&[Behaviour::Answer, Behaviour::Answer]).await;
    let router = site.ready_router("r-1").await;
    wait_until("both replicas are known", || async {
        router.log_lines("replica added or updated").len() >= 2
    })
    .await;
    site.wait_until_watched().await;
    site.store.start_outage();
    wait_until("the store outage is logged", || async {
        router.log_lines("store unavailable").len() >= 2
    })
    .await;
    site.store.remove("servers", &replicas[0].id);
    site.store.remove("servers", &replicas[1].id);
    site.store.set_faults(StoreFaults::default());
    wait_until("the store is reachable again", || async {
        router.log_lines("store available again").len() >= 2
    })
    .await;
    assert_eq!(
        Call::new("look", "a-1")
            .send(router.callers_address)
            .await
            .unwrap()
            .status,
        200
    );
    site.register(&replicas[1]);
    wait_until("the other replica is removed", || async {
        router.log_lines("replica removed").len() == 1
    })
    .await;
    assert_eq!(router.log_lines("replica removed")[0]["replica"], "i-0");
    let before = replicas[0].received().len();
    for number in 0..10 {
        let call = Call::new("look", &format!("b-{number}"));
        assert_eq!(call.send(router.callers_address).await.unwrap().status, 200);
    }
    assert_eq!(replicas[0].received().len(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn entries_that_expire_while_the_store_hangs_do_not_empty_the_pool() {
    let pause = Duration::from_millis(1);
    let (site, replicas) = site_with(&[Behaviour::Stream { events: 2, pause }]).await;
    let router = site.ready_router("r-1").await;
    let call = |attempt: &str| Call::new("draft", attempt).with_tokens(1_000, 10);
    assert_eq!(
        call("a-1")
            .send(router.callers_address)
            .await
            .unwrap()
            .status,
        200
    );
    wait_until("a grant larger than the request is charged", || async {
        site.charged_tokens() > 20_000
    })
    .await;
    // A router that has only just started a watch lists the kind first, and would notice the hang.
    site.wait_until_watched().await;
    let faults = StoreFaults {
        hangs: true,
        ..StoreFaults::default()
    };
    site.store.set_faults(faults);
    // This request needs a further grant, and the ledger does not answer.
    let huge = Call::new("draft", "huge").with_tokens(AMPLE_PAID_TOKENS / 2, 10);
    assert_eq!(huge.send(router.callers_address).await.unwrap().status, 429);
    wait_until("the store outage is logged", || async {
        !router.log_lines("ledger unavailable").is_empty()
    })
    .await;
    // The watch of router entries has a short timeout and may have expired.
    let lost = router.log_lines("store unavailable");
    assert!(
        lost.iter().all(|line| line["kind"] == "routers"),
        "the watches of lists and replicas must not have noticed: {lost:?}"
    );
    let unknown_key = Call::new("look", "a-2").with("authorization", "Token nobody");
    assert_eq!(
        unknown_key
            .send(router.callers_address)
            .await
            .unwrap()
            .status,
        503
    );
    site.store.remove("servers", &replicas[0].id);
    site.store.set_faults(StoreFaults::default());
    wait_until("the expired entry is logged", || async {
        !router.log_lines("entry expired; kept for now").is_empty()
    })
    .await;
    assert_eq!(
        call("b-1")
            .send(router.callers_address)
            .await
            .unwrap()
            .status,
        200
    );
    site.register(&replicas[0]);
    tokio::time::sleep(Duration::from_millis(2_600)).await;
    assert_eq!(
        call("b-2")
            .send(router.callers_address)
            .await
            .unwrap()
            .status,
        200
    );
    assert!(router.log_lines("replica removed").is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn lists_are_read_again_after_a_watch_breaks_and_its_successor_would_stall() {
    let (site, _replicas) = site_with(&[Behaviour::Answer]).await;
    let router = site.ready_router("r-1").await;
    let faults = StoreFaults {
        stalls_watches_before: Some(site.store.revision() + 1),
        ..StoreFaults::default()
    };
    site.store.set_faults(faults);
    site.store
        .put("config", "main", &lists(7, AMPLE_PAID_TOKENS));
    site.store.close_connections();
    wait_until("version 7 is in force", || async {
        let lines = router.log_lines("configuration in force");
        lines.iter().any(|line| line["config_version"] == 7)
    })
    .await;
    site.store.set_faults(StoreFaults::default());
    site.store
        .put("config", "main", &lists(5, AMPLE_PAID_TOKENS));
    site.store
        .put("config", "main", &lists(9, AMPLE_PAID_TOKENS));
    wait_until("version 9 is in force", || async {
        let lines = router.log_lines("configuration in force");
        lines.iter().any(|line| line["config_version"] == 9)
    })
    .await;
    let lines = router.log_lines("configuration in force");
    assert!(
        lines.iter().all(|line| line["config_version"] != 5),
        "the version in force must never decrease"
    );
}

/// In a network partition, watches hang without an end, and the changes they miss are not delivered
/// later. Guards against keeping outdated lists when only other calls noticed the outage.
#[tokio::test(flavor = "multi_thread")]
async fn lists_are_read_again_after_an_outage_that_only_other_calls_noticed() {
    let pause = Duration::from_millis(1);
    let (site, _replicas) = site_with(&[Behaviour::Stream { events: 2, pause }]).await;
    let router = site.ready_router("r-1").await;
    let stalled_watches = StoreFaults {
        stalls_watches_before: Some(site.store.revision() + 1_000),
        ..StoreFaults::default()
    };
    site.store.set_faults(StoreFaults {
        error_status: Some(503),
        ..stalled_watches
    });
    let mut number = 0;
    while router.log_lines("ledger unavailable").is_empty() {
        number += 1;
        let call = Call::new("draft", &format!("a-{number}")).with_tokens(100_000, 10);
        let status = call.send(router.callers_address).await.unwrap().status;
        assert!(matches!(status, 200 | 429), "{status}");
    }
    site.store
        .put("config", "main", &lists(7, AMPLE_PAID_TOKENS));
    site.store.set_faults(stalled_watches);
    wait_until("version 7 is in force", || async {
        let lines = router.log_lines("configuration in force");
        lines.iter().any(|line| line["config_version"] == 7)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn spend_stays_within_the_budget_across_routers_kills_and_lost_answers() {
    let prepaid = 60_000;
    let pause = Duration::from_millis(1);
    let site = Site::start(prepaid).await;
    let replica = FakeReplica::start("i-0", Behaviour::Stream { events: 10, pause }).await;
    site.register(&replica);
    let mut routers = Vec::new();
    for name in ["r-1", "r-2", "r-3"] {
        routers.push(site.ready_router(name).await);
    }
    let mut served_tokens = 0;
    let mut is_exhausted = false;
    for round in 0..120_u32 {
        if round == 20 {
            routers[0].kill();
            routers[0].restart();
            wait_ready(&routers[0]).await;
        }
        let faults = StoreFaults {
            drops_write_answers: (30..45).contains(&round),
            ..StoreFaults::default()
        };
        site.store.set_faults(faults);
        for (index, router) in routers.iter().enumerate() {
            let call = Call::new("draft", &format!("a-{round}-{index}")).with_tokens(400, 50);
            let got = call.send(router.callers_address).await.unwrap();
            match got.status {
                200 => served_tokens += 450,
                402 => is_exhausted = true,
                429 => {}
                other => panic!("status {other}"),
            }
        }
        assert!(
            site.charged_tokens() <= prepaid,
            "{} charged",
            site.charged_tokens()
        );
    }
    // A router first collects small remainders from the others, which takes several hellos.
    let mut extra_round = 0;
    while !is_exhausted {
        extra_round += 1;
        assert!(
            extra_round < 2_000,
            "the budget was never reported as exhausted"
        );
        for (index, router) in routers.iter().enumerate() {
            let call = Call::new("draft", &format!("e-{extra_round}-{index}")).with_tokens(400, 50);
            match call.send(router.callers_address).await.unwrap().status {
                200 => served_tokens += 450,
                402 => is_exhausted = true,
                429 => tokio::time::sleep(Duration::from_millis(5)).await,
                other => panic!("status {other}"),
            }
        }
        assert!(
            site.charged_tokens() <= prepaid,
            "{} charged",
            site.charged_tokens()
        );
    }
    assert!(
        served_tokens <= prepaid,
        "{served_tokens} served of {prepaid}"
    );
    assert!(
        served_tokens > prepaid / 2,
        "{served_tokens} served of {prepaid}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_router_serves_in_an_outage_from_tokens_that_a_peer_transfers() {
    let pause = Duration::from_millis(1);
    let (site, _replicas) = site_with(&[Behaviour::Stream { events: 2, pause }]).await;
    let busy = site.ready_router("r-1").await;
    let idle = site.ready_router("r-2").await;
    let call = |attempt: &str| Call::new("draft", attempt).with_tokens(10_000, 10);
    for (index, router) in [&busy, &idle].into_iter().enumerate() {
        let got = call(&format!("a-{index}"))
            .send(router.callers_address)
            .await;
        assert_eq!(got.unwrap().status, 200);
    }
    wait_until("both hold grants of more than 100,000 tokens", || async {
        site.held_tokens()
            .iter()
            .filter(|held| **held > 100_000)
            .count()
            == 2
    })
    .await;
    wait_until("the routers know each other", || async {
        !busy.log_lines("router discovered").is_empty()
    })
    .await;
    site.store.start_outage();
    let own_grant_tokens: u64 = site.held_tokens().into_iter().max().unwrap();
    let mut served = 0;
    for number in 0..own_grant_tokens / 10_000 + 5 {
        let got = call(&format!("b-{number}"))
            .send(busy.callers_address)
            .await;
        assert_eq!(got.unwrap().status, 200, "request {number}");
        served += 10_000;
    }
    assert!(
        served > own_grant_tokens,
        "{served} served, {own_grant_tokens} held"
    );
    assert!(!busy.log_lines("tokens received").is_empty());
    assert!(site.charged_tokens() <= AMPLE_PAID_TOKENS);
}

#[tokio::test(flavor = "multi_thread")]
async fn in_a_large_fleet_few_routers_draw_on_the_ledger_for_all_and_seldom_collide() {
    const ROUTERS: usize = 15;
    const DISTRIBUTORS: usize = 5;
    let pause = Duration::from_millis(1);
    let (site, _replicas) = site_with(&vec![Behaviour::Stream { events: 2, pause }; 4]).await;
    let routers: Vec<_> = (0..ROUTERS)
        .map(|number| site.router(&format!("r-{number}")))
        .collect();
    for router in &routers {
        wait_ready(router).await;
    }
    let is_distributor = |router: &Router| {
        let changes = router.log_lines("ledger duty changed");
        changes
            .last()
            .is_none_or(|line| line["draws_for_others"] == true)
    };
    wait_until("only the distributors draw on the ledger", || async {
        let distributors = routers.iter().filter(|router| is_distributor(router));
        distributors.count() == DISTRIBUTORS
    })
    .await;
    for (index, router) in routers.iter().enumerate() {
        let call = Call::new("draft", &format!("a-{index}")).with_tokens(10_000, 10);
        let got = call.send(router.callers_address).await.unwrap();
        assert_eq!(got.status, 200, "router {index}");
    }
    let others = routers.iter().filter(|router| !is_distributor(router));
    for router in others {
        assert!(!router.log_lines("tokens received").is_empty());
    }
    let holders = site.held_tokens().iter().filter(|held| **held > 0).count();
    assert!(holders <= DISTRIBUTORS, "{holders} routers hold grants");
    // Each request needs more than a router's unspent grant, and writes are slow.
    site.store.set_faults(StoreFaults {
        write_delay_ms: 10,
        ..StoreFaults::default()
    });
    let (writes_before, conflicts_before) = site.store.writes_and_conflicts();
    let callers = routers
        .iter()
        .enumerate()
        .map(|(index, router)| async move {
            for number in 0..10 {
                let call = Call::new("draft", &format!("b-{index}-{number}"));
                let got = call
                    .with_tokens(30_000, 10)
                    .send(router.callers_address)
                    .await;
                let status = got.unwrap().status;
                let log = router.log();
                assert_eq!(status, 200, "router {index}, {number}: {log:?}");
            }
        });
    futures::future::join_all(callers).await;
    let (writes, conflicts) = site.store.writes_and_conflicts();
    let (writes, conflicts) = (writes - writes_before, conflicts - conflicts_before);
    // Each write conflicts at most once with each of the four other distributors.
    assert!(
        conflicts <= 4 * writes,
        "{conflicts} conflicts, {writes} writes"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn another_router_takes_over_when_the_distributors_lose_the_store() {
    let pause = Duration::from_millis(1);
    let (site, _replicas) = site_with(&vec![Behaviour::Stream { events: 2, pause }; 2]).await;
    let (link, is_available) = site.store.open_link().await;
    let large: Vec<_> = (0..5)
        .map(|number| site.large_router(&format!("large-{number}"), link))
        .collect();
    let small: Vec<_> = (0..9)
        .map(|number| site.router(&format!("small-{number}")))
        .collect();
    for router in large.iter().chain(&small) {
        wait_ready(router).await;
    }
    let draws_for_others = |router: &Router| {
        let changes = router.log_lines("ledger duty changed");
        changes.last().map(|line| line["draws_for_others"] == true)
    };
    wait_until("only the large routers draw on the ledger", || async {
        small
            .iter()
            .all(|router| draws_for_others(router) == Some(false))
    })
    .await;
    is_available.store(false, Ordering::Relaxed);
    site.store.close_connections();
    // The large routers notice the outage when a request needs a call to the store.
    let call = |attempt: &str| Call::new("draft", attempt).with_tokens(AMPLE_PAID_TOKENS / 50, 10);
    wait_until("a small router draws on the ledger", || async {
        let got = call("a").send(small[0].callers_address).await;
        let status = got.unwrap().status;
        assert!(matches!(status, 200 | 429), "{status}");
        small
            .iter()
            .any(|router| draws_for_others(router) == Some(true))
    })
    .await;
    wait_until("a request that needs a new grant is served", || async {
        call("b")
            .send(small[1].callers_address)
            .await
            .unwrap()
            .status
            == 200
    })
    .await;
    is_available.store(true, Ordering::Relaxed);
    wait_until(
        "only the large routers draw on the ledger again",
        || async {
            small
                .iter()
                .all(|router| draws_for_others(router) == Some(false))
        },
    )
    .await;
    for (index, router) in small.iter().enumerate() {
        let got = call(&format!("c-{index}"))
            .send(router.callers_address)
            .await;
        assert_eq!(got.unwrap().status, 200, "router {index}");
    }
    assert!(site.charged_tokens() <= AMPLE_PAID_TOKENS);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_router_draws_no_grant_before_it_knows_the_fleet() {
    let (site, _replicas) = site_with(&[Behaviour::Answer]).await;
    site.store.set_faults(StoreFaults {
        stale_listing_kind: Some("routers"),
        ..StoreFaults::default()
    });
    let _router = site.ready_router("r-1").await;
    wait_until("the router entries were listed several times", || async {
        site.store.listings("routers") >= 7
    })
    .await;
    assert_eq!(
        site.charged_tokens(),
        0,
        "other routers may exist that are not listed yet"
    );
    site.store.set_faults(StoreFaults::default());
    wait_until("a grant is drawn", || async { site.charged_tokens() > 0 }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_budget_is_spent_in_an_outage_from_earlier_grants() {
    let pause = Duration::from_millis(1);
    let (site, _replicas) = site_with(&[Behaviour::Stream { events: 2, pause }]).await;
    let router = site.ready_router("r-1").await;
    let call = |attempt: &str| Call::new("draft", attempt).with_tokens(1_000, 10);
    assert_eq!(
        call("a-1")
            .send(router.callers_address)
            .await
            .unwrap()
            .status,
        200
    );
    wait_until("a grant larger than the request is charged", || async {
        site.charged_tokens() > 20_000
    })
    .await;
    site.store.start_outage();
    for number in 0..10 {
        let got = call(&format!("b-{number}"))
            .send(router.callers_address)
            .await
            .unwrap();
        assert_eq!(got.status, 200);
    }
    let huge = Call::new("draft", "huge").with_tokens(AMPLE_PAID_TOKENS / 2, 10);
    let got = huge.send(router.callers_address).await.unwrap();
    assert_eq!(
        got.status, 429,
        "the budget may suffice, but the ledger is unreachable"
    );
    assert!(got.headers.contains_key("retry-after"));
    site.store.set_faults(StoreFaults::default());
    wait_until("the ledger is reachable again", || async {
        huge.send(router.callers_address).await.unwrap().status == 200
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_top_up_can_be_spent_within_seconds() {
    let pause = Duration::from_millis(1);
    let site = Site::start(1_000).await;
    let replica = FakeReplica::start("i-0", Behaviour::Stream { events: 1, pause }).await;
    site.register(&replica);
    let router = site.ready_router("r-1").await;
    let call = |attempt: &str| Call::new("draft", attempt).with_tokens(900, 50);
    let first = call("a-1")
        .send(router.callers_address)
        .await
        .unwrap()
        .status;
    assert_eq!(first, 200, "{:#?}", router.log_lines("grants changed"));
    // Before the first request is settled, part of its reservation may still be released.
    wait_until("the budget is exhausted", || async {
        let status = call("a-2")
            .send(router.callers_address)
            .await
            .unwrap()
            .status;
        assert!(matches!(status, 402 | 429), "{status}");
        status == 402
    })
    .await;
    site.store.put("config", "main", &lists(2, 5_000));
    wait_until("the top-up is in force", || async {
        call("a-3")
            .send(router.callers_address)
            .await
            .unwrap()
            .status
            == 200
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn sigterm_makes_the_router_unready_and_cuts_no_stream() {
    let pause = Duration::from_millis(20);
    let (site, _replicas) = site_with(&[Behaviour::Stream { events: 100, pause }]).await;
    let mut router = site.ready_router("r-1").await;
    let call = Call::new("draft", "a-1").with_tokens(100, 1_000);
    let callers_address = router.callers_address;
    let caller = tokio::spawn(async move { call.send(callers_address).await });
    tokio::time::sleep(Duration::from_millis(200)).await;
    router.terminate();
    wait_until("the router is not ready", || async {
        matches!(get(router.ready_address, "/readyz").await, Ok(answer) if answer.status == 503)
    })
    .await;
    let got = caller.await.unwrap().unwrap();
    assert!(got.is_whole);
    assert_eq!(got.body, events(1..=100));
    assert_eq!(router.exit_code().await, Some(0));
    assert_eq!(
        site.charged_tokens(),
        600,
        "unspent grants must be returned"
    );
    assert_eq!(router.log_lines("stopped")[0]["grants_given_back"], true);
    assert!(site.store.names("routers").is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn routers_discover_one_another_and_list_each_other_for_callers() {
    let (site, _replicas) = site_with(&[Behaviour::Answer]).await;
    let first = site.ready_router("r-1").await;
    let mut second = site.ready_router("r-2").await;
    let listed_count = |router: std::net::SocketAddr| async move {
        let got = get(router, "/resolve?name=x&region=r&zone=a")
            .await
            .unwrap();
        let body: Value = serde_json::from_slice(&got.body).unwrap();
        body["addresses"].as_array().map_or(0, Vec::len)
    };
    wait_until("both routers are listed", || async {
        listed_count(first.registry_address).await == 2
            && listed_count(second.registry_address).await == 2
    })
    .await;
    second.kill();
    wait_until("the killed router is not listed", || async {
        listed_count(first.registry_address).await == 1
    })
    .await;
}
