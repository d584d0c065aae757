//! The store returns from an older copy: a new era begins, and what was written since is lost.

use std::time::Duration;

use super::replica::{Behaviour, FakeReplica, POISON_BODY};
use super::site::{get, lists, wait_ready, wait_until, Call, Router, Site};
use super::store::StoreFaults;
use super::{received_count, site_with, AMPLE_PAID_TOKENS};

/// Prompt tokens of a call, which are spent when it is served.
const PROMPT_TOKENS: u64 = 100;
/// Log message of a router that has put back what the store lost.
const ERA_BEGAN: &str = "store returned from an older copy";

/// Starts a site whose store states its era, and its routers.
async fn site_with_eras(
    prepaid: u64,
    replicas: usize,
    routers: usize,
) -> (Site, Vec<FakeReplica>, Vec<Router>) {
    let site = Site::start(prepaid).await;
    site.store.begin_eras();
    let mut started = Vec::new();
    for index in 0..replicas {
        let replica = FakeReplica::start(&format!("i-{index}"), Behaviour::Answer).await;
        site.register(&replica);
        started.push(replica);
    }
    let mut fleet = Vec::new();
    for number in 0..routers {
        fleet.push(site.ready_router(&format!("r-{number}")).await);
    }
    for router in &fleet {
        wait_until("the routers know one another", || async {
            router.log_lines("router discovered").len() >= routers - 1
        })
        .await;
    }
    site.wait_until_watched().await;
    (site, started, fleet)
}

async fn wait_until_era_is_known(routers: &[Router], count: usize) {
    for router in routers {
        wait_until("the new era is known", || async {
            router.log_lines(ERA_BEGAN).len() >= count
        })
        .await;
    }
}

/// Sends calls in turns to the routers and returns how many were served.
async fn serve_calls(routers: &[Router], prefix: &str, count: usize) -> u64 {
    let mut served = 0;
    for number in 0..count {
        let router = &routers[number % routers.len()];
        let call = Call::new("look", &format!("{prefix}-{number}"));
        let call = call.with_tokens(PROMPT_TOKENS, 10);
        let got = call.send(router.callers_address).await.unwrap();
        served += u64::from(got.status == 200);
    }
    served
}

/// Guards against granting again what was granted in the seconds that the store has lost.
#[tokio::test(flavor = "multi_thread")]
async fn spend_stays_within_the_budget_when_the_store_loses_grants_twice() {
    const PREPAID: u64 = 20_000;
    let (site, _replicas, routers) = site_with_eras(PREPAID, 2, 3).await;
    let copy = site.store.copy();
    let mut served = serve_calls(&routers, "first", 100).await;
    assert!(served >= 90, "{served} of 100 before the first restore");
    site.store.restore(&copy);
    served += serve_calls(&routers, "during", 60).await;
    wait_until_era_is_known(&routers, 1).await;
    let copy = site.store.copy();
    served += serve_calls(&routers, "second", 60).await;
    site.store.restore(&copy);
    for round in 0..20 {
        served += serve_calls(&routers, &format!("round-{round}"), 30).await;
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    assert!(served * PROMPT_TOKENS <= PREPAID, "{served} calls served");
    // The budget is used up: it was not taken for lost either.
    assert!(
        served * PROMPT_TOKENS >= PREPAID * 8 / 10,
        "{served} calls served"
    );
}

/// Guards against a write that was sent in one era and takes effect in the next one, where its
/// revision may belong to another state.
#[tokio::test(flavor = "multi_thread")]
async fn a_write_that_arrives_in_the_next_era_hides_no_grants() {
    const PREPAID: u64 = 20_000;
    let (site, _replicas, routers) = site_with_eras(PREPAID, 2, 3).await;
    let mut served = serve_calls(&routers, "first", 30).await;
    let copy = site.store.copy();
    served += serve_calls(&routers, "lost", 40).await;
    site.store.set_faults(StoreFaults {
        write_delay_ms: 600,
        ..StoreFaults::default()
    });
    served += serve_calls(&routers, "delayed", 10).await;
    site.store.restore_keeping_connections(&copy);
    served += serve_calls(&routers, "during", 20).await;
    wait_until_era_is_known(&routers, 1).await;
    site.store.set_faults(StoreFaults::default());
    for round in 0..20 {
        served += serve_calls(&routers, &format!("round-{round}"), 30).await;
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    assert!(served * PROMPT_TOKENS <= PREPAID, "{served} calls served");
    assert!(
        served * PROMPT_TOKENS >= PREPAID * 8 / 10,
        "{served} calls served"
    );
}

/// Guards against granting again what routers hold that do not reach the store while it returns.
#[tokio::test(flavor = "multi_thread")]
async fn spend_stays_within_the_budget_when_half_of_the_routers_are_cut_off_in_a_restore() {
    const PREPAID: u64 = 20_000;
    let (site, _replicas, mut routers) = site_with_eras(PREPAID, 2, 2).await;
    let (address, link) = site.store.open_link().await;
    for name in ["cut-0", "cut-1"] {
        let router = site.router_with_store(name, address);
        wait_ready(&router).await;
        routers.push(router);
    }
    for router in &routers {
        wait_until("the routers know one another", || async {
            router.log_lines("router discovered").len() >= 3
        })
        .await;
    }
    let copy = site.store.copy();
    let mut served = serve_calls(&routers, "first", 100).await;
    link.store(false, std::sync::atomic::Ordering::Relaxed);
    site.store.restore(&copy);
    wait_until_era_is_known(&routers[..2], 1).await;
    for round in 0..5 {
        served += serve_calls(&routers, &format!("cut-{round}"), 30).await;
    }
    link.store(true, std::sync::atomic::Ordering::Relaxed);
    wait_until_era_is_known(&routers, 1).await;
    for round in 0..15 {
        served += serve_calls(&routers, &format!("round-{round}"), 30).await;
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    assert!(served * PROMPT_TOKENS <= PREPAID, "{served} calls served");
}

/// Guards against losing the grants of a router that died together with them.
#[tokio::test(flavor = "multi_thread")]
async fn spend_stays_within_the_budget_when_a_router_dies_with_the_lost_grants() {
    const PREPAID: u64 = 20_000;
    let (site, _replicas, mut routers) = site_with_eras(PREPAID, 2, 3).await;
    let copy = site.store.copy();
    let mut served = serve_calls(&routers[..1], "first", 100).await;
    assert!(served >= 90, "{served} of 100 before the restore");
    // The last hello tells the other routers what was granted.
    tokio::time::sleep(Duration::from_millis(400)).await;
    routers[0].kill();
    site.store.restore(&copy);
    routers[0].restart();
    wait_until_era_is_known(&routers[1..], 1).await;
    for round in 0..20 {
        served += serve_calls(&routers[1..], &format!("round-{round}"), 30).await;
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    assert!(served * PROMPT_TOKENS <= PREPAID, "{served} calls served");
}

/// Guards against drawing before the lost grants are put back, when the store refuses all calls for
/// longer than the routers wait for one another.
#[tokio::test(flavor = "multi_thread")]
async fn spend_stays_within_the_budget_when_the_store_returns_from_a_copy_in_an_outage() {
    const PREPAID: u64 = 20_000;
    let (site, _replicas, mut routers) = site_with_eras(PREPAID, 2, 3).await;
    let copy = site.store.copy();
    let mut served = serve_calls(&routers[..1], "first", 100).await;
    assert!(served >= 90, "{served} of 100 before the restore");
    tokio::time::sleep(Duration::from_millis(400)).await;
    routers[0].kill();
    site.store.start_outage();
    site.store.restore(&copy);
    wait_until_era_is_known(&routers[1..], 1).await;
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    site.store.set_faults(StoreFaults::default());
    for round in 0..20 {
        served += serve_calls(&routers[1..], &format!("round-{round}"), 30).await;
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    assert!(served * PROMPT_TOKENS <= PREPAID, "{served} calls served");
}

/// Guards against a fleet that knows nothing of the lost grants, since all routers died with them.
#[tokio::test(flavor = "multi_thread")]
async fn spend_stays_within_the_budget_when_all_routers_die_with_the_lost_grants() {
    const PREPAID: u64 = 20_000;
    let (site, _replicas, mut routers) = site_with_eras(PREPAID, 2, 3).await;
    let mut served = serve_calls(&routers, "known", 30).await;
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let copy = site.store.copy();
    served += serve_calls(&routers, "lost", 15).await;
    for router in &mut routers {
        router.kill();
    }
    site.store.restore(&copy);
    for router in &mut routers {
        router.restart();
    }
    for router in &routers {
        wait_ready(router).await;
    }
    for round in 0..20 {
        served += serve_calls(&routers, &format!("round-{round}"), 30).await;
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    assert!(served * PROMPT_TOKENS <= PREPAID, "{served} calls served");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_never_goes_back_and_a_newer_one_is_in_force_at_once() {
    let (site, _replicas, routers) = site_with_eras(AMPLE_PAID_TOKENS, 1, 2).await;
    let copy = site.store.copy();
    let mut newer = lists(2, AMPLE_PAID_TOKENS);
    // The first key is withdrawn.
    newer["tenants"][0]["api_keys"] = serde_json::json!(["second-key"]);
    site.store.put("config", "main", &newer);
    let is_in_force = |router: &Router, version: u64| {
        let lines = router.log_lines("configuration in force");
        lines.iter().any(|line| line["config_version"] == version)
    };
    for router in &routers {
        wait_until("the newer lists are in force", || async {
            is_in_force(router, 2)
        })
        .await;
    }
    site.store.restore(&copy);
    wait_until_era_is_known(&routers, 1).await;
    for router in &routers {
        let withdrawn = Call::new("look", "withdrawn");
        let status = withdrawn.send(router.callers_address).await.unwrap().status;
        assert!([401, 503].contains(&status), "{status}");
        let valid = Call::new("look", "valid").with("authorization", "Token second-key");
        let status = valid.send(router.callers_address).await.unwrap().status;
        assert_eq!(status, 200);
    }
    newer["version"] = 3.into();
    let put_at = std::time::Instant::now();
    site.store.put("config", "main", &newer);
    for router in &routers {
        wait_until("the newest lists are in force", || async {
            is_in_force(router, 3)
        })
        .await;
    }
    assert!(put_at.elapsed() < Duration::from_secs(2));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_left_gets_no_requests_when_a_copy_brings_its_entry_back() {
    let (site, replicas, routers) = site_with_eras(AMPLE_PAID_TOKENS, 3, 2).await;
    let copy = site.store.copy();
    // One announces that it leaves, the other one is gone without that.
    site.register_in_phase(&replicas[0], "draining");
    site.store.remove("servers", &replicas[1].id);
    for router in &routers {
        wait_until("both have left", || async {
            let updates = router.log_lines("replica added or updated");
            updates.iter().any(|line| line["draining"] == true)
                && !router.log_lines("replica removed").is_empty()
        })
        .await;
    }
    let received = received_count(&replicas[..2]);
    site.store.restore(&copy);
    wait_until_era_is_known(&routers, 1).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(serve_calls(&routers, "after", 40).await, 40);
    assert_eq!(received_count(&replicas[..2]), received);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_the_copy_lacks_stays_in_service_until_it_registers_again() {
    let (site, replicas, routers) = site_with_eras(AMPLE_PAID_TOKENS, 1, 2).await;
    let copy = site.store.copy();
    let late = FakeReplica::start("i-late", Behaviour::Answer).await;
    site.register(&late);
    for router in &routers {
        wait_until("the replica is known", || async {
            router.log_lines("replica added or updated").len() >= 2
        })
        .await;
    }
    replicas[0].set_behaviour(Behaviour::Leaving(Box::new(Behaviour::Answer)));
    serve_calls(&routers, "before", 20).await;
    site.store.restore(&copy);
    wait_until_era_is_known(&routers, 1).await;
    assert_eq!(serve_calls(&routers, "missing", 20).await, 20);
    site.register(&late);
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(serve_calls(&routers, "again", 20).await, 20);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_quarantined_request_stays_quarantined_and_is_written_again() {
    let (site, replicas, routers) = site_with_eras(AMPLE_PAID_TOKENS, 6, 2).await;
    let copy = site.store.copy();
    for number in 0..3 {
        let call = Call::new("look", &format!("poison-{number}")).with_body(POISON_BODY);
        call.send(routers[0].callers_address).await.unwrap();
    }
    let kind = "quarantined-requests";
    wait_until("the request is in the store", || async {
        !site.store.names(kind).is_empty()
    })
    .await;
    let crashes =
        |replicas: &[FakeReplica]| -> u32 { replicas.iter().map(FakeReplica::crash_count).sum() };
    let before = crashes(&replicas);
    site.store.restore(&copy);
    wait_until("the request is in the store again", || async {
        !site.store.names(kind).is_empty()
    })
    .await;
    for router in &routers {
        let call = Call::new("look", "poison-again").with_body(POISON_BODY);
        assert_eq!(call.send(router.callers_address).await.unwrap().status, 503);
    }
    assert_eq!(crashes(&replicas), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_router_whose_entry_is_lost_registers_again() {
    let (site, _replicas) = site_with(&[Behaviour::Answer]).await;
    site.store.begin_eras();
    let first = site.ready_router("r-0").await;
    wait_until("the first router is registered", || async {
        !site.store.names("routers").is_empty()
    })
    .await;
    site.wait_until_watched().await;
    let copy = site.store.copy();
    let second = site.ready_router("r-1").await;
    wait_until("both are registered", || async {
        site.store.names("routers").len() == 2
    })
    .await;
    site.store.restore(&copy);
    wait_until("both are registered again", || async {
        site.store.names("routers").len() == 2
    })
    .await;
    for router in [&first, &second] {
        let resolved = get(router.registry_address, "/resolve?name=x&region=r&zone=a");
        let body: serde_json::Value =
            serde_json::from_slice(&resolved.await.unwrap().body).unwrap();
        assert_eq!(body["addresses"].as_array().unwrap().len(), 2);
    }
}
