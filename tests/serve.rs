//! `currantlever serve`: routers as real processes, killed and told to stop.

mod common;

use common::client::{
    call_until_refused, send_call, send_chat, wait_for, wait_ready, Outcome, CALL_TOKENS,
};
use common::process::{ProcessSite, POOR_TOKENS};
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
async fn a_router_told_to_stop_finishes_its_streams_and_gives_back_its_grants() {
    let mut site = ProcessSite::start(3, SLOW).await;
    wait_ready(&site.addresses()).await;
    let at = site.routers[0].address;
    let stream = tokio::spawn(async move { send_chat(at, "rich", "long-1", "hello").await });
    wait_for("the stream has begun", || async {
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
async fn a_killed_router_costs_its_callers_a_retry_and_the_budget_a_bounded_part() {
    let mut site = ProcessSite::start(4, SLOW).await;
    wait_ready(&site.addresses()).await;
    let at = site.routers[0].address;
    let stream = tokio::spawn(async move { send_chat(at, "rich", "cut-off", "hello").await });
    wait_for("the stream has begun", || async {
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
    wait_for("the dead router's grant is reclaimed", || async {
        let entries = ledger.read_all().await.unwrap().entries;
        entries
            .values()
            .flat_map(|entry| entry.rows.values())
            .any(|row| row.sealed)
    })
    .await;
    let entries = ledger.read_all().await.unwrap().entries;
    let stranded: Tokens = entries
        .values()
        .map(currantlever::BudgetEntry::stranded_tokens)
        .sum();
    assert!(stranded < Tokens::new(10_000), "{stranded}");
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
async fn a_router_killed_after_an_answer_leaves_its_bill_with_the_keeper() {
    let mut site = ProcessSite::start(4, EnginePace::default()).await;
    wait_ready(&site.addresses()).await;
    let at = site.routers[0].address;
    assert_whole(&send_chat(at, "rich", "billed", "hello").await, "billed");
    site.routers[0].child.kill().unwrap();
    site.routers.remove(0);
    site.publish_vms();
    wait_for("the bill is in the platform", || async {
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
    let at = site.routers[0].address;
    let call = tokio::spawn(async move { send_call(at, "rich", "POST", "lease-1").await });
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
async fn a_router_paused_in_mid_dispatch_wakes_and_neither_runs_again_nor_overspends() {
    let mut site = ProcessSite::start(3, EnginePace::default()).await;
    wait_ready(&site.addresses()).await;
    site.service
        .set_faults(currantlever::fakes::service::ServiceFaults {
            delay_ms: 1_000,
            ..Default::default()
        });
    let addresses = site.addresses();
    let at = addresses[0];
    let paused_call = tokio::spawn(async move { send_call(at, "poor", "POST", "lease").await });
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
    for (number, at) in addresses[1..].iter().enumerate() {
        let retry = send_call(*at, "poor", "POST", "lease").await;
        assert!(matches!(retry, Outcome::Refused { .. }), "{retry:?}");
        served += call_until_refused(*at, "poor", &format!("paused-{number}"))
            .await
            .0;
    }
    site.routers[0].resume();
    served += u64::from(paused_call.await.unwrap().is_whole());
    for (number, at) in addresses.iter().enumerate() {
        let mark = format!("awake-{number}");
        served += call_until_refused(*at, "poor", &mark).await.0;
    }
    assert_eq!(site.service.runs()["lease"], 1);
    assert!(served * CALL_TOKENS <= POOR_TOKENS, "{served}");
    for router in &mut site.routers {
        router.terminate();
        assert_eq!(router.child.wait().unwrap().code(), Some(0));
    }
    let settlement = settle_all(site.platform.store().as_ref()).await.unwrap();
    let totals = settlement.totals();
    let billed: Tokens = totals.values().map(|totals| totals.billed_tokens).sum();
    assert!(billed <= Tokens::new(POOR_TOKENS), "{billed}");
    assert!(billed >= Tokens::new(served * CALL_TOKENS), "{billed}");
}

#[tokio::test(flavor = "multi_thread")]
async fn two_routers_killed_and_replaced_at_once_lose_no_retry_and_no_bill() {
    let mut site = ProcessSite::start(4, SLOW).await;
    wait_ready(&site.addresses()).await;
    let streams: Vec<_> = (0..2)
        .map(|number| {
            let at = site.routers[number].address;
            let id = format!("cut-{number}");
            tokio::spawn(async move { send_chat(at, "rich", &id, "hello").await })
        })
        .collect();
    wait_for("both streams have begun", || async {
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
    for (number, at) in site.addresses().into_iter().enumerate() {
        let id = format!("cut-{}", number % 2);
        wait_for("a retry is served", || async {
            send_chat(at, "rich", &id, "hello").await.is_whole()
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
fn settings_that_cannot_be_used_are_told_with_their_place() {
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
async fn lists_are_got_applied_and_refused_by_the_command_line() {
    let platform = FakePlatform::start(ANY_PORT).await.unwrap();
    let url = platform.url();
    let workdir = Workdir::new();
    let usage = currantlever::fakes::fleet::usage_list().unwrap();
    let plans = currantlever::fakes::fleet::plans_list(&[("one", 100)]).unwrap();
    workdir.write("usage.json", &serde_json::to_string(&usage).unwrap());
    workdir.write("plans.json", &serde_json::to_string(&plans).unwrap());
    let run = |args: &[&str]| {
        let mut all = vec![args[0], "--platform", &url];
        all.extend(&args[1..]);
        workdir.run(&all).status.code()
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
