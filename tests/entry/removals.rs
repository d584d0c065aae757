//! Removed entries of replicas: those that can have expired in an outage of the store are kept for
//! a time, all others are out of service at once.

use std::sync::atomic::Ordering;

use super::replica::{Behaviour, FakeReplica};
use super::site::{wait_ready, wait_until, Router, Site};
use super::site_with;
use super::store::StoreFaults;

const KEPT: &str = "entry expired; kept for now";

fn watches(router: &Router) -> bool {
    let changes = router.log_lines("watch duty changed");
    changes.last().is_some_and(|line| line["watches"] == true)
}

/// Waits until all routers watch the store and have received the others' states from it.
async fn wait_until_all_watch(routers: &[&Router]) {
    wait_until("all routers watch and know one another", || async {
        let mut known = routers.iter().map(|router| {
            watches(router) && router.log_lines("router discovered").len() + 1 >= routers.len()
        });
        known.all(|is_known| is_known)
    })
    .await;
}

async fn wait_until_refused(router: &Router) {
    wait_until("the store refuses the router", || async {
        !router.log_lines("store unavailable").is_empty()
    })
    .await;
}

async fn wait_until_available_again(router: &Router) {
    wait_until("the store is available again", || async {
        let available = router.log_lines("store available again").len();
        available > 0 && available == router.log_lines("store unavailable").len()
    })
    .await;
}

/// Removes an entry and asserts that no router keeps its replica for the whole time in which it
/// could register again.
async fn remove_and_expect_no_grace(site: &Site, replica: &FakeReplica, routers: &[&Router]) {
    site.store.remove("servers", &replica.id);
    for router in routers {
        wait_until("the replica is removed", || async {
            !router.log_lines("replica removed").is_empty()
        })
        .await;
        let reason = &router.log_lines("replica removed")[0]["reason"];
        assert_ne!(reason, "entry was not registered again in time");
    }
}

/// Guards against keeping a server that left while the store served all machines but one.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_that_the_store_refuses_takes_no_removal_for_an_expiry() {
    let (site, replicas) = site_with(&[Behaviour::Answer, Behaviour::Answer]).await;
    let (link, is_available) = site.store.open_link().await;
    let refused = site.router_with_store("r-refused", link);
    let others = [site.router("r-1"), site.router("r-2")];
    let all = [&refused, &others[0], &others[1]];
    wait_until_all_watch(&all).await;
    is_available.store(false, Ordering::Relaxed);
    wait_until_refused(&refused).await;
    remove_and_expect_no_grace(&site, &replicas[0], &all).await;
}

/// Guards against keeping a server whose entry is removed right after the store refused one router.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_that_the_store_refused_for_a_moment_takes_no_removal_for_an_expiry() {
    let (site, replicas) = site_with(&[Behaviour::Answer, Behaviour::Answer]).await;
    let (link, is_available) = site.store.open_link().await;
    let refused = site.router_with_store("r-refused", link);
    let others = [site.router("r-1"), site.router("r-2")];
    let all = [&refused, &others[0], &others[1]];
    wait_until_all_watch(&all).await;
    is_available.store(false, Ordering::Relaxed);
    wait_until_refused(&refused).await;
    is_available.store(true, Ordering::Relaxed);
    wait_until_available_again(&refused).await;
    remove_and_expect_no_grace(&site, &replicas[0], &all).await;
}

/// Guards against keeping a server that left while the store served all failure domains but one.
#[tokio::test(flavor = "multi_thread")]
async fn a_failure_domain_that_the_store_refuses_takes_no_removal_for_an_expiry() {
    let (site, replicas) = site_with(&[Behaviour::Answer, Behaviour::Answer]).await;
    let (link, is_available) = site.store.open_link().await;
    let domain = ["b-1", "b-2"].map(|name| site.router_in_domain(name, "b", link));
    let others = ["a-1", "a-2"].map(|name| site.router(name));
    let all = [&domain[0], &domain[1], &others[0], &others[1]];
    wait_until_all_watch(&all).await;
    is_available.store(false, Ordering::Relaxed);
    for router in &domain {
        wait_until_refused(router).await;
    }
    remove_and_expect_no_grace(&site, &replicas[0], &all).await;
}

/// Guards against taking calls in excess of the allowed rate for an outage.
#[tokio::test(flavor = "multi_thread")]
async fn a_removal_while_the_store_limits_the_rate_of_calls_is_no_expiry() {
    let (site, replicas) = site_with(&[Behaviour::Answer, Behaviour::Answer]).await;
    let routers = [site.router("r-1"), site.router("r-2")];
    let all = [&routers[0], &routers[1]];
    wait_until_all_watch(&all).await;
    site.store.set_faults(StoreFaults {
        error_status: Some(429),
        ..StoreFaults::default()
    });
    for router in &routers {
        wait_until_refused(router).await;
    }
    site.store.set_faults(StoreFaults::default());
    remove_and_expect_no_grace(&site, &replicas[0], &all).await;
}

/// Guards against keeping a server that had reported that it leaves before an outage in which its
/// entry is removed.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_replica_is_not_kept_when_its_entry_is_removed_in_an_outage() {
    let (site, replicas) = site_with(&[Behaviour::Answer, Behaviour::Answer]).await;
    let router = site.router("r-1");
    wait_ready(&router).await;
    wait_until_all_watch(&[&router]).await;
    site.register_in_phase(&replicas[0], "draining");
    wait_until("the replica is known as leaving", || async {
        let lines = router.log_lines("replica added or updated");
        lines.iter().any(|line| line["draining"] == true)
    })
    .await;
    site.store.start_outage();
    wait_until_refused(&router).await;
    site.store.remove("servers", &replicas[0].id);
    site.store.remove("servers", &replicas[1].id);
    site.store.set_faults(StoreFaults::default());
    wait_until("the other replica is kept", || async {
        router.log_lines(KEPT).len() == 1
    })
    .await;
    assert_eq!(
        router.log_lines(KEPT)[0]["replica"],
        replicas[1].id.as_str()
    );
    assert_eq!(
        router.log_lines("replica removed")[0]["replica"],
        replicas[0].id.as_str()
    );
}

/// Guards against using a replica that a stale listing shows to a router that has just started.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_that_starts_from_a_stale_listing_drops_the_replicas_that_are_gone() {
    let (site, replicas) = site_with(&[Behaviour::Answer, Behaviour::Answer]).await;
    let first = site.router("r-1");
    wait_until_all_watch(&[&first]).await;
    site.store.freeze_stale_listings();
    site.store.remove("servers", &replicas[0].id);
    let second = site.ready_router("r-2").await;
    wait_until("the replica is removed", || async {
        !second.log_lines("replica removed").is_empty()
    })
    .await;
    let removed = &second.log_lines("replica removed")[0];
    assert_eq!(removed["replica"], replicas[0].id.as_str());
    assert_eq!(removed["reason"], "entry removed");
}
