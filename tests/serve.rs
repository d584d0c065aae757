//! `currantlever serve`: router processes under SIGTERM, SIGKILL and SIGSTOP, and the command line.

mod common;

use common::client::{
    call_until_refused, send_call, send_chat, wait_for, wait_ready, Outcome, CALL_TOKENS,
};
use common::process::{ProcessSite, POOR_PAID_TOKENS};
use common::{stderr, Workdir};
use currantlever::fakes::engine::{answer_length_tokens, expected_text, EnginePace, FakeEngine};
use currantlever::fakes::fleet::ANY_PORT;
use currantlever::fakes::platform::FakePlatform;
use currantlever::{settle_all, LedgerClient, Tokens};

const SLOW: EnginePace = EnginePace {
    first_token_ms: 5,
    token_ms: 30,
};

fn assert_whole(outcome: &Outcome, id: &str) {
    let Outcome::Whole { text, .. } = outcome else {
        panic!("{id}: {outcome:?}")
    };
    assert_eq!(*text, expected_text(id, answer_length_tokens(id)));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_router_stopped_by_sigterm_finishes_its_streams_and_returns_its_grants() {
    let mut site = ProcessSite::start(3, SLOW).await;
    wait_ready(&site.addresses()).await;
    let address = site.routers[0].address;
    let stream = tokio::spawn(async move { send_chat(address, "rich", "long-1", "hello").await });
    wait_for("the stream has started", || async {
        site.engines.iter().any(|engine| engine.served_count() > 0)
    })
    .await;
    site.routers[0].terminate();
    assert_whole(&stream.await.unwrap(), "long-1");
    let status = site.routers[0].child.wait().unwrap();
    assert_eq!(status.code(), Some(0));
    let entries = LedgerClient::new(site.platform.store())
        .read_all()
        .await
        .unwrap()
        .entries;
    for row in entries.values().flat_map(|entry| entry.rows.values()) {
        assert!(!row.sealed);
        assert_eq!(row.unspent_tokens(), Tokens::ZERO);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_router_kill_is_covered_by_a_retry_and_strands_a_bounded_number_of_tokens() {
    let mut site = ProcessSite::start(4, SLOW).await;
    wait_ready(&site.addresses()).await;
    let address = site.routers[0].address;
    let stream = tokio::spawn(async move { send_chat(address, "rich", "cut-off", "hello").await });
    wait_for("the stream has started", || async {
        site.engines.iter().any(|engine| engine.served_count() > 0)
    })
    .await;
    site.routers[0].child.kill().unwrap();
    assert_eq!(stream.await.unwrap(), Outcome::Broken);
    site.routers.remove(0);
    site.publish_vms();
    let other = site.routers[0].address;
    wait_for("another router serves the retry", || async {
        send_chat(other, "rich", "cut-off", "hello")
            .await
            .is_whole()
    })
    .await;
    let ledger = LedgerClient::new(site.platform.store());
    wait_for("the killed router's grant is reclaimed", || async {
        let entries = ledger.read_all().await.unwrap().entries;
        entries
            .values()
            .flat_map(|entry| entry.rows.values())
            .any(|row| row.sealed)
    })
    .await;
    let entries = ledger.read_all().await.unwrap().entries;
    let stranded_tokens: Tokens = entries
        .values()
        .map(currantlever::BudgetEntry::stranded_tokens)
        .sum();
    assert!(stranded_tokens < Tokens::new(10_000), "{stranded_tokens}");
    wait_for("the request is billed", || async {
        settle_all(site.platform.store().as_ref())
            .await
            .unwrap()
            .totals()
            .len()
            == 1
    })
    .await;
    let totals = settle_all(site.platform.store().as_ref())
        .await
        .unwrap()
        .totals();
    assert_eq!(
        totals
            .values()
            .map(|totals| totals.request_count)
            .sum::<u64>(),
        1
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_bill_survives_the_kill_of_its_router_after_the_answer() {
    let mut site = ProcessSite::start(4, EnginePace::default()).await;
    wait_ready(&site.addresses()).await;
    let address = site.routers[0].address;
    assert_whole(
        &send_chat(address, "rich", "billed", "hello").await,
        "billed",
    );
    site.routers[0].child.kill().unwrap();
    site.routers.remove(0);
    site.publish_vms();
    wait_for("the bill is stored in the platform", || async {
        let settlement = settle_all(site.platform.store().as_ref()).await.unwrap();
        settlement
            .totals()
            .values()
            .map(|totals| totals.request_count)
            .sum::<u64>()
            == 1
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reservation_whose_router_was_killed_never_runs_again() {
    let mut site = ProcessSite::start(3, EnginePace::default()).await;
    wait_ready(&site.addresses()).await;
    site.service
        .set_faults(currantlever::fakes::service::ServiceFaults {
            delay_ms: 2_000,
            ..Default::default()
        });
    let address = site.routers[0].address;
    let call = tokio::spawn(async move { send_call(address, "rich", "POST", "lease-1").await });
    wait_for("the call has run", || async {
        !site.service.runs().is_empty()
    })
    .await;
    site.routers[0].child.kill().unwrap();
    assert_eq!(call.await.unwrap(), Outcome::Broken);
    for router in &site.routers[1..] {
        let retry = send_call(router.address, "rich", "POST", "lease-1").await;
        assert!(matches!(retry, Outcome::Refused { .. }), "{retry:?}");
    }
    assert_eq!(site.service.runs()["lease-1"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_router_paused_during_dispatch_neither_reruns_nor_overspends_after_it_resumes() {
    let mut site = ProcessSite::start(3, EnginePace::default()).await;
    wait_ready(&site.addresses()).await;
    site.service
        .set_faults(currantlever::fakes::service::ServiceFaults {
            delay_ms: 1_000,
            ..Default::default()
        });
    let addresses = site.addresses();
    let address = addresses[0];
    let paused_call =
        tokio::spawn(async move { send_call(address, "poor", "POST", "lease").await });
    wait_for("the call has run", || async {
        !site.service.runs().is_empty()
    })
    .await;
    site.routers[0].pause();
    site.service
        .set_faults(currantlever::fakes::service::ServiceFaults::default());
    let ledger = LedgerClient::new(site.platform.store());
    wait_for("the paused router's grant is reclaimed", || async {
        let entries = ledger.read_all().await.unwrap().entries;
        let mut rows = entries.values().flat_map(|entry| entry.rows.values());
        rows.any(|row| row.sealed)
    })
    .await;
    let mut served = 0;
    for (number, address) in addresses[1..].iter().enumerate() {
        let retry = send_call(*address, "poor", "POST", "lease").await;
        assert!(matches!(retry, Outcome::Refused { .. }), "{retry:?}");
        served += call_until_refused(*address, "poor", &format!("paused-{number}"))
            .await
            .0;
    }
    site.routers[0].resume();
    served += u64::from(paused_call.await.unwrap().is_whole());
    for (number, address) in addresses.iter().enumerate() {
        let id_prefix = format!("awake-{number}");
        served += call_until_refused(*address, "poor", &id_prefix).await.0;
    }
    assert_eq!(site.service.runs()["lease"], 1);
    assert!(served * CALL_TOKENS <= POOR_PAID_TOKENS, "{served}");
    for router in &mut site.routers {
        router.terminate();
        assert_eq!(router.child.wait().unwrap().code(), Some(0));
    }
    let settlement = settle_all(site.platform.store().as_ref()).await.unwrap();
    let totals = settlement.totals();
    let billed_tokens: Tokens = totals.values().map(|totals| totals.billed_tokens).sum();
    assert!(
        billed_tokens <= Tokens::new(POOR_PAID_TOKENS),
        "{billed_tokens}"
    );
    assert!(
        billed_tokens >= Tokens::new(served * CALL_TOKENS),
        "{billed_tokens}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn two_routers_killed_and_replaced_at_once_lose_no_retry_and_no_bill() {
    let mut site = ProcessSite::start(4, SLOW).await;
    wait_ready(&site.addresses()).await;
    let streams: Vec<_> = (0..2)
        .map(|number| {
            let address = site.routers[number].address;
            let id = format!("cut-{number}");
            tokio::spawn(async move { send_chat(address, "rich", &id, "hello").await })
        })
        .collect();
    wait_for("both streams have started", || async {
        let served: u64 = site.engines.iter().map(FakeEngine::served_count).sum();
        served == 2
    })
    .await;
    for router in &mut site.routers[..2] {
        router.child.kill().unwrap();
    }
    site.routers.drain(..2);
    site.add_router();
    site.add_router();
    for stream in streams {
        assert_eq!(stream.await.unwrap(), Outcome::Broken);
    }
    wait_ready(&site.addresses()).await;
    for (number, address) in site.addresses().into_iter().enumerate() {
        let id = format!("cut-{}", number % 2);
        wait_for("a retry is served", || async {
            send_chat(address, "rich", &id, "hello").await.is_whole()
        })
        .await;
    }
    for router in &mut site.routers {
        router.terminate();
        assert_eq!(router.child.wait().unwrap().code(), Some(0));
    }
    let settlement = settle_all(site.platform.store().as_ref()).await.unwrap();
    let totals = settlement.totals();
    let requests: u64 = totals.values().map(|totals| totals.request_count).sum();
    assert_eq!(requests, 2);
    let entries = LedgerClient::new(site.platform.store())
        .read_all()
        .await
        .unwrap()
        .entries;
    for entry in entries.values() {
        assert!(entry.charged_tokens() <= entry.paid_tokens);
    }
}

#[test]
fn invalid_settings_are_reported_with_the_file_or_field() {
    let workdir = Workdir::new();
    let missing = workdir.run(&["serve", "--settings", "none.json"]);
    assert_eq!(missing.status.code(), Some(1));
    assert!(stderr(&missing).contains("none.json"));
    workdir.write("bad.json", "{\"vm\":\"a\",\"refill\":1}");
    let unknown = workdir.run(&["serve", "--settings", "bad.json"]);
    assert_eq!(unknown.status.code(), Some(1));
    assert!(stderr(&unknown).contains("refill"), "{}", stderr(&unknown));
}

#[tokio::test(flavor = "multi_thread")]
async fn the_command_line_gets_applies_and_refuses_lists() {
    let platform = FakePlatform::start(ANY_PORT).await.unwrap();
    let url = platform.url();
    let workdir = Workdir::new();
    let usage = currantlever::fakes::fleet::usage_list().unwrap();
    let plans = currantlever::fakes::fleet::plans_list(&[("one", 100)]).unwrap();
    workdir.write("usage.json", &serde_json::to_string(&usage).unwrap());
    workdir.write("plans.json", &serde_json::to_string(&plans).unwrap());
    let run = |args: &[&str]| {
        let mut full_args = vec![args[0], "--platform", &url];
        full_args.extend(&args[1..]);
        workdir.run(&full_args).status.code()
    };
    assert_eq!(run(&["apply", "--plans", "plans.json"]), Some(1));
    assert_eq!(run(&["apply", "--usage", "usage.json"]), Some(0));
    assert_eq!(run(&["apply", "--plans", "plans.json"]), Some(0));
    assert_eq!(run(&["get", "plans"]), Some(0));
    assert_eq!(run(&["status"]), Some(0));
    let mut edited = plans;
    edited.teams[0].budgets[0].paid_tokens = Tokens::new(200);
    workdir.write("plans.json", &serde_json::to_string(&edited).unwrap());
    assert_eq!(run(&["apply", "--plans", "plans.json"]), Some(3));
    edited.generation = 2;
    workdir.write("plans.json", &serde_json::to_string(&edited).unwrap());
    assert_eq!(run(&["apply", "--plans", "plans.json"]), Some(0));
    assert_eq!(
        workdir
            .run(&["status", "--platform", "http://127.0.0.1:9"])
            .status
            .code(),
        Some(4)
    );
}
