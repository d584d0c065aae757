//! A complete site in one process, under failures.

mod common;

use std::net::SocketAddr;

use common::client::{
    chat_body, fetch_addresses, fetch_status, send_call, send_chat, wait_for, wait_ready, Outcome,
};
use common::site::{assert_whole, router_addresses, start, TEAMS};
use currantlever::fakes::engine::EnginePace;
use currantlever::fakes::fleet::{key_of, plans_list, Site, SiteOptions};
use currantlever::{
    settle_all, AcceptError, AcceptedLists, Edit, PlansList, RefusalKind, RunState, StoreFaults,
    Tokens, VmRole, VmState,
};
use reqwest::Client;

#[tokio::test(flavor = "multi_thread")]
async fn bad_requests_get_typed_errors_that_name_the_faulty_part() {
    let site = start(SiteOptions::small(1)).await;
    let address = site.routers[0].address();
    let url = format!("http://{address}/v1/chat/completions");
    let post = || Client::new().post(&url);
    let unknown = post()
        .bearer_auth("nobody")
        .json(&chat_body("hello", false));
    let malformed = post()
        .bearer_auth(key_of("rich"))
        .body("{\"model\":\"assistant\",\"messages\":3}");
    let large = post().bearer_auth(key_of("rich")).body(vec![b' '; 2 << 20]);
    let wrong_header = post()
        .bearer_auth(key_of("rich"))
        .header("Idempotency-Key", "two words");
    let cases = [
        (unknown, 401, "unknown-key", "key"),
        (malformed, 400, "bad-request", "messages"),
        (large, 413, "body-too-large", "bytes"),
        (
            wrong_header.body("{}"),
            400,
            "bad-request",
            "Idempotency-Key",
        ),
    ];
    for (request, status, kind, expected_part) in cases {
        let response = request.send().await.unwrap();
        assert_eq!(response.status().as_u16(), status, "{kind}");
        let body: serde_json::Value = response.json().await.unwrap();
        assert_eq!(body["error"]["type"], kind);
        assert_eq!(body["error"]["run"], "not-run");
        assert!(
            body["error"]["message"]
                .as_str()
                .unwrap()
                .contains(expected_part),
            "{body}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_budget_is_spent_to_its_end_and_not_beyond() {
    let site = start(SiteOptions::small(2)).await;
    let routers = router_addresses(&site);
    let mut spent_tokens = 0;
    for number in 0..60 {
        let address = routers[number % routers.len()];
        match send_chat(address, "poor", &format!("poor-{number}"), "hello").await {
            Outcome::Whole { tokens, .. } => spent_tokens += tokens,
            Outcome::Refused { kind, run } => {
                assert_eq!(
                    (kind, run),
                    (RefusalKind::BudgetExhausted, RunState::NotRun)
                );
            }
            Outcome::Broken => panic!("the answer broke off"),
        }
    }
    assert!(spent_tokens <= 900, "{spent_tokens}");
    assert!(
        spent_tokens > 400,
        "{spent_tokens}: tokens were left unspent that a request could have used"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn broken_overlong_and_mismatched_answers_are_never_delivered_as_whole() {
    let site = start(SiteOptions::small(3)).await;
    let address = site.routers[0].address();
    assert_whole(
        &send_chat(address, "rich", "cut-1", "hello #cut-once").await,
        "cut-1",
    );
    let Outcome::Whole { tokens, .. } =
        send_chat(address, "rich", "over-1", "hello #overrun").await
    else {
        panic!("an overlong answer must be cut at its limit");
    };
    assert!(tokens <= 400 + 40, "{tokens}");
    let mismatched = send_chat(address, "rich", "crossed-1", "hello #wrong-id").await;
    let Outcome::Refused { kind, run } = mismatched else {
        panic!("{mismatched:?}")
    };
    assert_eq!(
        (kind, run),
        (RefusalKind::BackendFailed, RunState::OutcomeUnknown)
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_request_gets_the_answer_of_its_first_run() {
    let site = start(SiteOptions::small(4)).await;
    let address = site.routers[0].address();
    let team_routers = fetch_addresses(address, "rich").await;
    assert_eq!(team_routers.len(), 3);
    for router in &team_routers {
        assert_whole(&send_chat(*router, "rich", "again", "hello").await, "again");
    }
    let served: u64 = site
        .engines
        .iter()
        .map(currantlever::fakes::engine::FakeEngine::served_count)
        .sum();
    assert_eq!(served, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reservation_sent_through_two_routers_at_once_runs_once() {
    let site = start(SiteOptions::small(5)).await;
    let routers = router_addresses(&site);
    for number in 0..20 {
        let id = format!("lease-{number}");
        let (one, other) = tokio::join!(
            send_call(routers[0], "rich", "POST", &id),
            send_call(routers[1], "rich", "POST", &id),
        );
        assert!(one.is_whole() || other.is_whole(), "{one:?} {other:?}");
    }
    let mut runs = 0;
    for service in &site.services {
        assert!(service.runs().values().all(|count| *count == 1));
        runs += service.runs().len();
    }
    assert_eq!(runs, 20);
}

#[tokio::test(flavor = "multi_thread")]
async fn grants_serve_through_a_platform_outage_and_claims_are_refused_as_not_run() {
    let site = start(SiteOptions::small(6)).await;
    let address = site.routers[0].address();
    assert_whole(
        &send_chat(address, "rich", "before", "hello").await,
        "before",
    );
    let store = site.platform.store();
    store.set_faults(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    for number in 0..10 {
        let id = format!("during-{number}");
        assert_whole(&send_chat(address, "rich", &id, "hello").await, &id);
    }
    let claimed = send_call(address, "rich", "POST", "lease").await;
    let refused = Outcome::Refused {
        kind: RefusalKind::ClaimOutOfReach,
        run: RunState::NotRun,
    };
    assert_eq!(claimed, refused);
    store.set_faults(StoreFaults::default());
    assert!(send_call(address, "rich", "POST", "lease").await.is_whole());
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_platform_answers_neither_duplicate_nor_lose_billed_tokens() {
    let mut site = start(SiteOptions::small(7)).await;
    let address = site.routers[0].address();
    let store = site.platform.store();
    let mut used_tokens = 0;
    for number in 0..12 {
        store.set_faults(StoreFaults {
            lost_answers: 2,
            ..StoreFaults::default()
        });
        let id = format!("lost-{number}");
        if let Outcome::Whole { tokens, .. } = send_chat(address, "rich", &id, "hello").await {
            used_tokens += tokens;
        }
    }
    store.set_faults(StoreFaults::default());
    for router in std::mem::take(&mut site.routers) {
        assert!(router.drain_and_stop().await);
    }
    let totals = settle_all(store.as_ref()).await.unwrap().totals();
    let billed_tokens: Tokens = totals.values().map(|totals| totals.billed_tokens).sum();
    assert_eq!(billed_tokens, Tokens::new(used_tokens));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_replicas_ends_at_most_two_and_quarantines_no_other_request() {
    let options = SiteOptions {
        engines: 6,
        pace: EnginePace {
            first_token_ms: 1,
            token_ms: 2,
        },
        ..SiteOptions::small(8)
    };
    let site = start(options).await;
    let routers = router_addresses(&site);
    let unrelated_requests: Vec<_> = (0..10)
        .map(|number| {
            let address = routers[number % routers.len()];
            tokio::spawn(async move {
                let id = format!("innocent-{number}");
                let text = format!("hello {number}");
                wait_for("an unrelated request is served", || async {
                    let outcome = send_chat(address, "rich", &id, &text).await;
                    let is_quarantined = matches!(
                        outcome,
                        Outcome::Refused {
                            kind: RefusalKind::Quarantined,
                            ..
                        }
                    );
                    assert!(!is_quarantined, "{id}: {outcome:?}");
                    outcome.is_whole()
                })
                .await;
            })
        })
        .collect();
    for send in 0..10 {
        let address = routers[send % routers.len()];
        assert!(
            !send_chat(address, "rich", &format!("killer-{send}"), "bad #crash")
                .await
                .is_whole()
        );
    }
    for unrelated_request in unrelated_requests {
        unrelated_request.await.unwrap();
    }
    let crashed = site
        .engines
        .iter()
        .filter(|engine| engine.is_crashed())
        .count();
    assert!(crashed <= 2, "{crashed} replicas crashed");
    let last = send_chat(routers[0], "rich", "killer-last", "bad #crash").await;
    let Outcome::Refused { kind, .. } = last else {
        panic!("{last:?}")
    };
    assert_eq!(kind, RefusalKind::Quarantined);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_replica_gets_no_new_requests() {
    let site = start(SiteOptions::small(9)).await;
    let address = site.routers[0].address();
    let mut vms = site.vms().unwrap();
    let leaving = site.engines[0].address();
    for vm in &mut vms {
        if matches!(vm.role, VmRole::Replica { address, .. } if address == leaving) {
            vm.state = VmState::Leaving;
        }
    }
    site.platform.set_vms(vms);
    let mut later_count = 0;
    let mut number = 0;
    wait_for("the leaving replica gets no new request", || {
        number += 1;
        let id = format!("request-{number}");
        let before = site.engines[0].served_count();
        let engine = &site.engines[0];
        async move {
            let outcome = send_chat(address, "rich", &id, &id).await;
            assert!(outcome.is_whole(), "{outcome:?}");
            engine.served_count() == before
        }
    })
    .await;
    while later_count < 30 {
        let id = format!("later-{later_count}");
        assert!(send_chat(address, "rich", &id, &id).await.is_whole());
        later_count += 1;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn routers_can_all_be_replaced_under_load_with_no_cut_request() {
    let options = SiteOptions {
        routers: 9,
        pace: EnginePace {
            first_token_ms: 1,
            token_ms: 1,
        },
        address_ttl_ms: 2_000,
        ..SiteOptions::small(10)
    };
    let mut site = start(options).await;
    let first = site.routers[0].address();
    let (stop_sender, stop_receiver) = tokio::sync::watch::channel(false);
    let load = tokio::spawn(send_until_stopped(first, stop_receiver));
    for _ in 0..9 {
        site.add_router().await.unwrap();
        wait_ready(&router_addresses(&site)[9..]).await;
        let replaced = site.routers.remove(0);
        assert!(replaced.drain_and_stop().await);
        site.publish_vms().unwrap();
    }
    stop_sender.send_replace(true);
    let served = load.await.unwrap();
    assert!(served > 50, "{served}");
}

/// Sends chat requests in turn to the team's addresses, which it fetches again after every fifth
/// request. Returns the number served.
async fn send_until_stopped(
    first: SocketAddr,
    stop_receiver: tokio::sync::watch::Receiver<bool>,
) -> u64 {
    let mut cached_addresses = fetch_addresses(first, "rich").await;
    let mut served = 0;
    while !*stop_receiver.borrow() {
        let address = cached_addresses[usize::try_from(served).unwrap() % cached_addresses.len()];
        let id = format!("steady-{served}");
        let outcome = send_chat(address, "rich", &id, &id).await;
        assert_whole(&outcome, &id);
        served += 1;
        if served % 5 == 0 {
            cached_addresses = fetch_addresses(address, "rich").await;
            assert!(
                !cached_addresses.is_empty(),
                "a serving router must list addresses"
            );
        }
    }
    served
}

#[tokio::test(flavor = "multi_thread")]
async fn lists_edited_on_both_sides_of_a_partition_reach_every_router_after_it() {
    let options = SiteOptions {
        routers: 9,
        use_in_process_network: true,
        ..SiteOptions::small(11)
    };
    let site = start(options).await;
    let peers: Vec<SocketAddr> = site
        .routers
        .iter()
        .map(currantlever::Daemon::peer_address)
        .collect();
    site.in_process_network.cut(&peers[..4], &peers[4..]);
    let first = set_paid_tokens(&site, 2_000_000).await.unwrap();
    let stale = PlansList {
        generation: 1,
        ..plans_list(&TEAMS).unwrap()
    };
    let conflict = site.accept(Edit::Plans(stale)).await;
    assert!(matches!(conflict, Err(AcceptError::Conflict { .. })));
    let second = set_paid_tokens(&site, 3_000_000).await.unwrap();
    assert!(second > first);
    site.in_process_network.heal();
    let third = set_paid_tokens(&site, 4_000_000).await.unwrap();
    for router in router_addresses(&site) {
        wait_for("the newest lists are in force", || async {
            fetch_status(router).await["generation"].as_u64() == Some(third)
        })
        .await;
    }
}

async fn set_paid_tokens(site: &Site, paid_tokens: u64) -> Result<u64, AcceptError> {
    let store = site.platform.store();
    let lists = AcceptedLists::load(store.as_ref(), &AcceptedLists::default())
        .await
        .unwrap();
    let mut plans = lists.plans();
    plans.teams[0].budgets[0].paid_tokens = Tokens::new(paid_tokens);
    site.accept(Edit::Plans(plans)).await
}

#[tokio::test(flavor = "multi_thread")]
async fn two_operators_editing_one_list_at_once_do_not_undo_one_another() {
    let site = start(SiteOptions::small(12)).await;
    let store = site.platform.store();
    let lists = AcceptedLists::load(store.as_ref(), &AcceptedLists::default())
        .await
        .unwrap();
    let mut edits = [lists.plans(), lists.plans()];
    edits[0].teams[0].budgets[0].paid_tokens = Tokens::new(5_000_000);
    edits[1].teams[0].budgets[0].paid_tokens = Tokens::new(6_000_000);
    let [one, other] = edits.map(Edit::Plans);
    let (one, other) = tokio::join!(site.accept(one), site.accept(other));
    assert!(one.is_ok() != other.is_ok(), "{one:?} {other:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_router_starts_from_its_peers_during_a_platform_outage() {
    let mut site = start(SiteOptions::small(13)).await;
    assert_whole(
        &send_chat(site.routers[0].address(), "rich", "early", "hello").await,
        "early",
    );
    let outage = StoreFaults {
        down: true,
        ..StoreFaults::default()
    };
    site.platform.store().set_faults(outage);
    site.add_router().await.unwrap();
    let new_router = site.routers.last().unwrap().address();
    wait_for("the new router has lists from its peers", || async {
        fetch_status(new_router).await["generation"].as_u64() >= Some(2)
    })
    .await;
    wait_for("the new router has tokens from its peers", || async {
        send_chat(new_router, "rich", "late", "hello")
            .await
            .is_whole()
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_disconnect_cancels_its_request_at_the_engine() {
    let pace = EnginePace {
        first_token_ms: 1,
        token_ms: 20,
    };
    let site = start(SiteOptions {
        pace,
        ..SiteOptions::small(14)
    })
    .await;
    let address = site.routers[0].address();
    let request = Client::new()
        .post(format!("http://{address}/v1/chat/completions"))
        .bearer_auth(key_of("rich"))
        .json(&chat_body("hello #long", true));
    let mut response = request.send().await.unwrap();
    response.chunk().await.unwrap();
    drop(response);
    wait_for("the engine cancels the request", || async {
        site.engines
            .iter()
            .map(currantlever::fakes::engine::FakeEngine::cancelled_count)
            .sum::<u64>()
            == 1
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn traces_reach_the_backend_server_and_metrics_are_exported() {
    let site = start(SiteOptions::small(15)).await;
    let address = site.routers[0].address();
    let trace = "4bf92f3577b34da6a3ce929d0e0e4736";
    let request = Client::new()
        .post(format!("http://{address}/v1/chat/completions"))
        .bearer_auth(key_of("rich"))
        .header("traceparent", format!("00-{trace}-00f067aa0ba902b7-01"))
        .json(&chat_body("hello", false));
    assert!(request.send().await.unwrap().status().is_success());
    let seen: Vec<String> = site
        .engines
        .iter()
        .flat_map(currantlever::fakes::engine::FakeEngine::traceparents)
        .collect();
    assert!(seen.iter().any(|header| header.contains(trace)), "{seen:?}");
    let metrics = Client::new()
        .get(format!("http://{address}/metrics"))
        .send()
        .await
        .unwrap();
    assert!(metrics
        .text()
        .await
        .unwrap()
        .contains("currantlever_requests_total"));
}
