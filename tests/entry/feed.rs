//! A fleet in which few routers watch the store and the others poll them for its changes.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::replica::{Behaviour, FakeReplica};
use super::site::{lists, wait_ready, wait_until, Call, Router, Site};
use super::{site_with, AMPLE_PAID_TOKENS};

/// Routers of one failure domain, of which only the two large ones watch the store.
pub(super) struct Fleet {
    pub(super) site: Site,
    replicas: Vec<FakeReplica>,
    /// They reach the store through a link that can be closed.
    watchers: Vec<Router>,
    link_of_watchers: Arc<AtomicBool>,
    others: Vec<Router>,
    /// A router that does not watch, with a link of its own.
    cut: Router,
    link_of_cut: Arc<AtomicBool>,
}

fn watches(router: &Router) -> bool {
    let changes = router.log_lines("watch duty changed");
    changes.last().is_some_and(|line| line["watches"] == true)
}

fn is_in_force(router: &Router, version: u64) -> bool {
    let lines = router.log_lines("configuration in force");
    let last = lines.last();
    last.is_some_and(|line| line["config_version"] == version)
}

impl Fleet {
    pub(super) async fn start() -> Self {
        let (site, replicas) = site_with(&[Behaviour::Answer, Behaviour::Answer]).await;
        let (link, link_of_watchers) = site.store.open_link().await;
        let (own_link, link_of_cut) = site.store.open_link().await;
        let watchers: Vec<Router> = (0..2)
            .map(|number| site.large_router(&format!("large-{number}"), link))
            .collect();
        let others: Vec<Router> = (0..10)
            .map(|number| site.router(&format!("small-{number}")))
            .collect();
        let cut = site.router_with_store("small-cut", own_link);
        for router in watchers.iter().chain(&others).chain([&cut]) {
            wait_ready(router).await;
        }
        let fleet = Self {
            site,
            replicas,
            watchers,
            link_of_watchers,
            others,
            cut,
            link_of_cut,
        };
        wait_until("only the large ones watch", || async {
            fleet.watchers.iter().all(watches) && !fleet.members().any(watches)
        })
        .await;
        fleet
    }

    pub(super) fn members(&self) -> impl Iterator<Item = &Router> {
        self.others.iter().chain([&self.cut])
    }

    /// Puts a version in force and waits until some routers have it.
    async fn put_and_wait<'a, I>(&self, version: u64, routers: I)
    where
        I: Iterator<Item = &'a Router>,
    {
        let routers: Vec<&Router> = routers.collect();
        self.site
            .store
            .put("config", "main", &lists(version, AMPLE_PAID_TOKENS));
        wait_until("the lists are in force", || async {
            routers.iter().all(|router| is_in_force(router, version))
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_costs_the_store_two_reads_however_many_routers_receive_it() {
    let fleet = Fleet::start().await;
    let all = || fleet.members().chain(&fleet.watchers);
    fleet.put_and_wait(2, all()).await;
    let before = fleet.site.store.reads("config");
    for version in 3..=8 {
        fleet.put_and_wait(version, all()).await;
    }
    let reads = fleet.site.store.reads("config") - before;
    // Each watcher reads once per change, and may have one more watch in flight.
    assert!(reads <= 2 * 6 + 2, "{reads} reads");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_router_that_cannot_reach_the_store_receives_changes_from_those_that_can() {
    let fleet = Fleet::start().await;
    fleet.link_of_cut.store(false, Ordering::Relaxed);
    fleet.put_and_wait(2, [&fleet.cut].into_iter()).await;
    fleet.site.register_in_phase(&fleet.replicas[0], "draining");
    wait_until("the router receives that a replica is leaving", || async {
        let lines = fleet.cut.log_lines("replica added or updated");
        lines.iter().any(|line| line["draining"] == true)
    })
    .await;
    let unknown_key = Call::new("look", "a-1").with("authorization", "Token nobody");
    let got = unknown_key.send(fleet.cut.callers_address).await.unwrap();
    assert_eq!(
        got.status, 401,
        "an unknown key is refused, since newer lists would be received"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn routers_whose_watchers_are_partitioned_watch_the_store_until_those_recover() {
    let fleet = Fleet::start().await;
    fleet.link_of_watchers.store(false, Ordering::Relaxed);
    fleet.site.store.close_connections();
    wait_until("the watchers detect the outage", || async {
        let lost = |router: &Router| !router.log_lines("store unavailable").is_empty();
        fleet.watchers.iter().all(lost)
    })
    .await;
    fleet.put_and_wait(2, fleet.members()).await;
    let has_watched = |router: &Router| {
        let changes = router.log_lines("watch duty changed");
        changes.iter().any(|line| line["stands_in"] == true)
    };
    assert!(fleet.members().any(has_watched));
    fleet.link_of_watchers.store(true, Ordering::Relaxed);
    wait_until("only the large ones watch again", || async {
        fleet.watchers.iter().all(watches) && !fleet.members().any(watches)
    })
    .await;
    let all = fleet.members().chain(&fleet.watchers);
    fleet.put_and_wait(3, all).await;
}

/// Guards against using servers that left, as a stale first listing shows them, for longer than a
/// router may be out of date after its start, while the watchers do not reach the store.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_that_starts_while_the_watchers_are_partitioned_is_soon_up_to_date() {
    const CONTACT_TIME: Duration = Duration::from_secs(3);
    let fleet = Fleet::start().await;
    fleet.site.store.freeze_stale_listings();
    fleet.link_of_watchers.store(false, Ordering::Relaxed);
    wait_until("the watchers detect the partition", || async {
        let lost = |router: &Router| !router.log_lines("store unavailable").is_empty();
        fleet.watchers.iter().all(lost)
    })
    .await;
    fleet.site.store.remove("servers", &fleet.replicas[0].id);
    let started_at = Instant::now();
    let newcomer = fleet.site.ready_router("small-new").await;
    wait_until("the replica is removed", || async {
        !newcomer.log_lines("replica removed").is_empty()
    })
    .await;
    assert!(
        started_at.elapsed() < CONTACT_TIME,
        "{:?}",
        started_at.elapsed()
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_watcher_delays_no_change() {
    let fleet = Fleet::start().await;
    fleet.watchers[0].pause();
    for version in 2..=4 {
        let running = fleet.members().chain([&fleet.watchers[1]]);
        fleet.put_and_wait(version, running).await;
    }
    fleet.watchers[0].resume();
    fleet.put_and_wait(5, fleet.watchers.iter()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_are_received_after_all_watchers_died() {
    let mut fleet = Fleet::start().await;
    for watcher in &mut fleet.watchers {
        watcher.kill();
    }
    fleet.put_and_wait(2, fleet.members()).await;
    for watcher in &mut fleet.watchers {
        watcher.restart();
        wait_ready(watcher).await;
    }
    let all = fleet.members().chain(&fleet.watchers);
    fleet.put_and_wait(3, all).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_expired_entry_counts_as_gone_only_after_the_outage_that_a_watcher_detected() {
    let fleet = Fleet::start().await;
    fleet.site.store.start_outage();
    wait_until("the watchers detect the outage", || async {
        let lost = |router: &Router| !router.log_lines("store unavailable").is_empty();
        fleet.watchers.iter().all(lost)
    })
    .await;
    fleet.site.store.remove("servers", &fleet.replicas[0].id);
    fleet.site.store.set_faults(super::StoreFaults::default());
    wait_until("the expired entry is received", || async {
        let kept = |router: &Router| !router.log_lines("entry expired; kept for now").is_empty();
        fleet.members().all(kept)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_outage_seen_by_one_partitioned_router_is_not_assumed_by_the_others() {
    let (site, replicas) = site_with(&[Behaviour::Answer, Behaviour::Answer]).await;
    let (link, is_available) = site.store.open_link().await;
    let cut = site.router_with_store("r-cut", link);
    let others = [
        site.ready_router("r-1").await,
        site.ready_router("r-2").await,
    ];
    wait_ready(&cut).await;
    wait_until("all routers watch and know one another", || async {
        let all = others.iter().chain([&cut]);
        let mut known =
            all.map(|router| watches(router) && router.log_lines("router discovered").len() >= 2);
        known.all(|is_known| is_known)
    })
    .await;
    is_available.store(false, Ordering::Relaxed);
    site.store.close_connections();
    wait_until("the router detects the partition", || async {
        !cut.log_lines("store unavailable").is_empty()
    })
    .await;
    // The others lost their connections too; by then, they no longer count that as an outage.
    tokio::time::sleep(std::time::Duration::from_millis(2_600)).await;
    site.store.remove("servers", &replicas[0].id);
    wait_until("the others drop the replica", || async {
        let gone = |router: &Router| !router.log_lines("replica removed").is_empty();
        others.iter().all(gone)
    })
    .await;
    for router in &others {
        assert!(router.log_lines("entry expired; kept for now").is_empty());
    }
}
