//! Routers without a path to the replicas, which clients, the store and other routers still reach.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::gate::{Cut, Gate};
use super::replica::{Behaviour, FakeReplica, RESTART_DELAY};
use super::site::{wait_ready, wait_until, Call, Router, Site};
use super::{events, site_with};

/// Time after the start of a cut from which on callers must be served.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Pause between the calls at one router.
const CALL_PAUSE: Duration = Duration::from_millis(60);
/// Routes with the same share of the calls: idempotent, run once, resumable stream, stream.
const ROUTES: [&str; 4] = ["look", "book", "chat", "draft"];

/// Routers that reach the replicas through gates of their own.
pub struct Fleet {
    site: Site,
    pub replicas: Vec<FakeReplica>,
    pub routers: Vec<Router>,
    gates: Vec<Vec<Gate>>,
    /// True for replicas that have crashed and are not back yet.
    is_down: Vec<Arc<AtomicBool>>,
}

impl Fleet {
    /// Starts routers in two failure domains by turns, all of which reach all replicas.
    pub async fn start(routers: usize, behaviours: &[Behaviour]) -> Self {
        let (site, replicas) = site_with(behaviours).await;
        let mut fleet = Self {
            site,
            replicas,
            routers: Vec::new(),
            gates: Vec::new(),
            is_down: behaviours.iter().map(|_| Arc::default()).collect(),
        };
        for number in 0..routers {
            let mut gates = Vec::new();
            for replica in &fleet.replicas {
                gates.push(Gate::open(replica.address()));
            }
            let addresses = fleet.replicas.iter().zip(&gates);
            let addresses = addresses.map(|(replica, gate)| (replica.address(), gate.address));
            let store = fleet.site.store.open_view(addresses.collect()).await;
            let domain = if number % 2 == 0 { "a" } else { "b" };
            let name = format!("r-{number}");
            let router = fleet.site.router_in_domain(&name, domain, store);
            fleet.routers.push(router);
            fleet.gates.push(gates);
        }
        for router in &fleet.routers {
            wait_ready(router).await;
            wait_until("all replicas and routers are known", || async {
                router.log_lines("replica added or updated").len() >= behaviours.len()
                    && router.log_lines("router discovered").len() + 1 >= routers
            })
            .await;
        }
        fleet
    }

    /// Cuts the paths of a router to all replicas, or restores them.
    pub fn cut(&self, router: usize, cut: Cut) {
        for (gate, is_down) in self.gates[router].iter().zip(&self.is_down) {
            if !is_down.load(Ordering::Relaxed) {
                gate.cut(cut);
            }
        }
    }

    /// Crashes a replica. Its gates accept connections on its behalf, so they refuse them meanwhile.
    pub async fn crash(&self, replica: usize) {
        let is_down = Arc::clone(&self.is_down[replica]);
        is_down.store(true, Ordering::Relaxed);
        let gates: Vec<Gate> = self
            .gates
            .iter()
            .map(|gates| gates[replica].clone())
            .collect();
        for gate in &gates {
            gate.cut(Cut::RefuseNew);
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        self.replicas[replica].crash();
        tokio::spawn(async move {
            tokio::time::sleep(RESTART_DELAY + Duration::from_millis(100)).await;
            is_down.store(false, Ordering::Relaxed);
            for gate in &gates {
                gate.cut(Cut::None);
            }
        });
    }

    pub fn address(&self, router: usize) -> SocketAddr {
        self.routers[router].callers_address
    }

    /// Returns true if a replica received the request with this attempt id.
    fn has_received(&self, attempt: &str) -> bool {
        let mut received = self.replicas.iter().flat_map(FakeReplica::received);
        received.any(|request| request.header("currantlever-attempt-id") == Some(attempt))
    }

    /// Returns the attempts of requests that must run once and reached replicas more than once.
    fn doubled_attempts(&self) -> Vec<String> {
        let received = self.replicas.iter().flat_map(FakeReplica::received);
        let mut attempts: Vec<String> = received
            .filter(|request| request.head.starts_with("POST /book/"))
            .filter_map(|request| request.header("currantlever-attempt-id").map(str::to_owned))
            .collect();
        attempts.sort_unstable();
        let doubled = attempts.windows(2).filter(|pair| pair[0] == pair[1]);
        doubled.map(|pair| pair[0].clone()).collect()
    }

    /// Asserts that no router takes the cut for crashes of servers, and that no request that must
    /// run once ran twice.
    fn assert_no_wrong_conclusion(&self) {
        assert_eq!(self.doubled_attempts(), Vec::<String>::new());
        for router in &self.routers {
            let crashes = router.log_lines("server crashed with a request in progress");
            assert_eq!(crashes, Vec::<serde_json::Value>::new());
        }
    }
}

/// First tries at one router: how many were sent and how many were served.
#[derive(Clone, Copy, Debug, Default)]
struct Tries {
    sent: u32,
    served: u32,
}

/// Sends calls to a router for a time and counts those sent after `counted_from`.
async fn call_for(
    router: SocketAddr,
    name: String,
    duration: Duration,
    counted_from: Instant,
) -> Tries {
    let end = Instant::now() + duration;
    let mut calls = tokio::task::JoinSet::new();
    let mut number = 0;
    while Instant::now() < end {
        let route = ROUTES[number % ROUTES.len()];
        let attempt = format!("{name}-{number}");
        let is_counted = Instant::now() >= counted_from;
        calls.spawn(async move {
            let call = Call::new(route, &attempt).with("currantlever-deadline-ms", "2000");
            let answer = call.send(router).await;
            let is_served = answer.is_ok_and(|answer| answer.status == 200 && answer.is_whole);
            (is_counted, is_served)
        });
        number += 1;
        tokio::time::sleep(CALL_PAUSE).await;
    }
    let mut tries = Tries::default();
    while let Some(result) = calls.join_next().await {
        let (is_counted, is_served) = result.unwrap();
        tries.sent += u32::from(is_counted);
        tries.served += u32::from(is_counted && is_served);
    }
    tries
}

/// Short work, whose answer suits all routes.
/// Cuts a router and waits until it has noticed.
async fn cut_and_wait(fleet: &Fleet, router: usize, cut: Cut) {
    fleet.cut(router, cut);
    let calls = async {
        for number in 0.. {
            let call = Call::new("look", &format!("notice-{router}-{number}"));
            let _ = call.send(fleet.address(router)).await;
        }
    };
    let noticed = wait_until("the lost path is noticed", || async {
        !fleet.routers[router]
            .log_lines("path to replicas lost")
            .is_empty()
    });
    tokio::select! {
        () = calls => {}
        () = noticed => {}
    }
}

const fn work() -> Behaviour {
    Behaviour::StreamAfter {
        delay: Duration::from_millis(20),
        events: 3,
    }
}

/// Cuts some routers of a fleet and returns the first tries at these and at the others from
/// `CONTACT_TIME` after the cut on.
async fn play_cut(cut: Cut, routers: usize, cut_routers: &[usize]) -> (Fleet, Tries, Tries) {
    let fleet = Fleet::start(routers, &[work(), work(), work(), work()]).await;
    let cut_at = Instant::now() + Duration::from_secs(1);
    let calls: Vec<_> = (0..routers)
        .map(|router| {
            let duration = Duration::from_secs(8);
            let name = format!("{cut:?}-{router}");
            tokio::spawn(call_for(
                fleet.address(router),
                name,
                duration,
                cut_at + CONTACT_TIME,
            ))
        })
        .collect();
    tokio::time::sleep_until(cut_at.into()).await;
    for router in cut_routers {
        fleet.cut(*router, cut);
    }
    let (mut at_cut, mut at_others) = (Tries::default(), Tries::default());
    for (router, calls) in calls.into_iter().enumerate() {
        let tries = calls.await.unwrap();
        let sum = if cut_routers.contains(&router) {
            &mut at_cut
        } else {
            &mut at_others
        };
        sum.sent += tries.sent;
        sum.served += tries.served;
    }
    (fleet, at_cut, at_others)
}

/// Asserts what the users' rule states: the cut routers serve at least two thirds of the share of
/// first tries that the others serve, and fail no more than 10 and 1 in 50.
fn assert_served(cut: Cut, at_cut: Tries, at_others: Tries) {
    assert!(at_cut.sent > 50 && at_others.sent > 50, "{cut:?}: too few");
    let failed = at_cut.sent - at_cut.served;
    assert!(
        failed <= 10 + at_cut.sent / 50,
        "{cut:?}: {at_cut:?}, the others {at_others:?}"
    );
    assert!(
        at_cut.served * at_others.sent * 3 >= at_others.served * at_cut.sent * 2,
        "{cut:?}: {at_cut:?}, the others {at_others:?}"
    );
    assert!(
        at_others.served * 50 >= at_others.sent * 49,
        "{cut:?}: the others {at_others:?}"
    );
}

/// Guards against routers without a path to the replicas that refuse their callers, for each way in
/// which connections fail.
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_partitioned_routers_are_served_when_connections_hang() {
    let (fleet, at_cut, at_others) = play_cut(Cut::Hang, 4, &[0, 1]).await;
    assert_served(Cut::Hang, at_cut, at_others);
    fleet.assert_no_wrong_conclusion();
}

/// See [`callers_of_partitioned_routers_are_served_when_connections_hang`].
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_partitioned_routers_are_served_when_connections_are_reset() {
    let (fleet, at_cut, at_others) = play_cut(Cut::Reset, 4, &[0, 1]).await;
    assert_served(Cut::Reset, at_cut, at_others);
    fleet.assert_no_wrong_conclusion();
}

/// See [`callers_of_partitioned_routers_are_served_when_connections_hang`].
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_partitioned_routers_are_served_when_only_new_connections_are_refused() {
    let (fleet, at_cut, at_others) = play_cut(Cut::RefuseNew, 4, &[0]).await;
    assert_served(Cut::RefuseNew, at_cut, at_others);
    fleet.assert_no_wrong_conclusion();
}

/// Guards against a fleet of which one router alone reaches the replicas.
#[tokio::test(flavor = "multi_thread")]
async fn one_router_with_a_path_is_enough_for_all() {
    let (fleet, at_cut, at_others) = play_cut(Cut::Hang, 4, &[0, 1, 2]).await;
    assert_served(Cut::Hang, at_cut, at_others);
    fleet.assert_no_wrong_conclusion();
}

/// Guards against routers of one failure domain that confirm to one another that all servers are
/// down, when their domain has lost its paths.
#[tokio::test(flavor = "multi_thread")]
async fn a_failure_domain_without_paths_is_served_through_another_one() {
    for cut in [Cut::Reset, Cut::Hang] {
        let (fleet, at_cut, at_others) = play_cut(cut, 6, &[0, 2, 4]).await;
        assert_served(cut, at_cut, at_others);
        fleet.assert_no_wrong_conclusion();
    }
}

/// Guards against a stream that is cut because the router through which it leads is stopped.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_of_the_other_router_cuts_no_stream_through_it() {
    let long_stream = Behaviour::Stream {
        events: 40,
        pause: Duration::from_millis(100),
    };
    let mut fleet = Fleet::start(2, &[work(), work()]).await;
    cut_and_wait(&fleet, 0, Cut::Hang).await;
    for replica in &fleet.replicas {
        replica.set_behaviour(long_stream.clone());
    }
    let address = fleet.address(0);
    let call = tokio::spawn(async move { Call::new("draft", "long").send(address).await.unwrap() });
    wait_until("the stream has begun", || async {
        fleet.has_received("long")
    })
    .await;
    fleet.routers[1].terminate();
    let answer = call.await.unwrap();
    assert!(answer.is_whole);
    assert_eq!(answer.body, events(1..=40));
    assert_eq!(fleet.routers[1].exit_code().await, Some(0));
    assert_eq!(fleet.doubled_attempts(), Vec::<String>::new());
}

/// A stream that ends with its connection, long enough for a router to be stopped meanwhile.
const fn long_unframed_stream() -> Behaviour {
    Behaviour::UnframedStream {
        events: 40,
        pause: Duration::from_millis(100),
    }
}

/// Starts a stream without a length at router 0 while it reaches the replicas only through router 1,
/// and returns the call once the stream has begun. Router 0 then reaches the replicas itself again,
/// so it finds that the replica is still there when the stream ends.
async fn start_unframed_stream(
    fleet: &Fleet,
    route: &'static str,
) -> tokio::task::JoinHandle<Result<super::site::ReceivedAnswer, String>> {
    cut_and_wait(fleet, 0, Cut::Hang).await;
    for replica in &fleet.replicas {
        replica.set_behaviour(long_unframed_stream());
    }
    let address = fleet.address(0);
    let call = tokio::spawn(async move { Call::new(route, "long").send(address).await });
    wait_until("the stream has begun", || async {
        fleet.has_received("long")
    })
    .await;
    fleet.cut(0, Cut::None);
    // Lets some events pass.
    tokio::time::sleep(Duration::from_millis(300)).await;
    call
}

/// Guards against an answer that looks whole because the operating system closed the connections of
/// a killed router, through which the answer came, as the replica would have closed it at the end.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_a_length_is_cut_when_the_other_router_is_killed() {
    for route in ["draft", "book"] {
        let mut fleet = Fleet::start(2, &[work(), work()]).await;
        let call = start_unframed_stream(&fleet, route).await;
        fleet.routers[1].kill();
        let answer = call.await.unwrap();
        let looks_whole = answer
            .as_ref()
            .is_ok_and(|answer| answer.status == 200 && answer.is_whole);
        assert!(!looks_whole, "{route}: {answer:?}");
    }
}

/// Guards against the same when the other router exits at the end of its grace period.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_a_length_is_cut_when_the_other_router_exits() {
    let mut fleet = Fleet::start(2, &[work(), work()]).await;
    fleet.routers[1].change_setting("grace_s", &serde_json::json!(1.0));
    fleet.routers[1].kill();
    fleet.routers[1].restart();
    wait_ready(&fleet.routers[1]).await;
    let call = start_unframed_stream(&fleet, "draft").await;
    fleet.routers[1].terminate();
    let answer = call.await.unwrap().unwrap();
    assert!(!answer.is_whole, "{answer:?}");
    assert!(answer.body.len() < events(1..=40).len());
}

/// Guards against a replica that crashed, and is back before the probes of it end, that is taken for
/// one that closed its connection at the end of its answer.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_a_length_is_cut_when_its_replica_is_back_before_the_probes_end() {
    let fleet = Fleet::start(5, &[long_unframed_stream()]).await;
    let address = fleet.address(0);
    let call = tokio::spawn(async move { Call::new("draft", "long").send(address).await });
    wait_until("the stream has begun", || async {
        fleet.has_received("long")
    })
    .await;
    // Each probe is refused here and takes long at each of the other routers.
    fleet.cut(0, Cut::RefuseNew);
    for router in 1..5 {
        fleet.cut(router, Cut::Hang);
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.replicas[0].crash();
    tokio::time::sleep(RESTART_DELAY + Duration::from_millis(100)).await;
    for router in 0..5 {
        fleet.cut(router, Cut::None);
    }
    let answer = call.await.unwrap().unwrap();
    assert_eq!(answer.status, 200);
    assert!(!answer.is_whole, "{answer:?}");
}

/// Guards against whole answers that are cut, as their end is not known behind another router.
#[tokio::test(flavor = "multi_thread")]
async fn a_whole_answer_without_a_length_is_delivered_through_another_router() {
    let fleet = Fleet::start(2, &[work(), work()]).await;
    let call = start_unframed_stream(&fleet, "draft").await;
    let answer = call.await.unwrap().unwrap();
    assert!(answer.is_whole);
    assert_eq!(answer.body, events(1..=40));
    let text = "the whole text";
    for replica in &fleet.replicas {
        replica.set_behaviour(Behaviour::Unframed {
            content_type: "text/plain",
            body: text.to_owned(),
            crashes: false,
        });
    }
    let answer = Call::new("book", "text").send(fleet.address(0)).await;
    let answer = answer.unwrap();
    assert_eq!((answer.status, answer.is_whole), (200, true));
    assert_eq!(answer.body, text);
}

/// Guards against a run that goes on at a replica behind another router after its caller has left.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_ends_its_run_behind_another_router() {
    let endless = Behaviour::Stream {
        events: 1_000,
        pause: Duration::from_millis(20),
    };
    let fleet = Fleet::start(2, &[work(), work()]).await;
    cut_and_wait(&fleet, 0, Cut::Reset).await;
    for replica in &fleet.replicas {
        replica.set_behaviour(endless.clone());
    }
    let address = fleet.address(0);
    let call = tokio::spawn(async move { Call::new("draft", "left").send(address).await });
    wait_until("the stream has begun", || async {
        fleet.has_received("left")
    })
    .await;
    call.abort();
    wait_until("the run has ended", || async {
        fleet
            .replicas
            .iter()
            .any(|replica| replica.disconnect_count() > 0)
    })
    .await;
}

/// Guards against an answer that breaks off behind another router and is forwarded as whole, or
/// whose request is sent once more though it must run once.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_breaks_off_behind_another_router_is_broken_off() {
    for broken in [
        Behaviour::Truncated,
        Behaviour::RunAndReset,
        Behaviour::CloseDelimited { is_reset: true },
    ] {
        let fleet = Fleet::start(2, &[work(), work()]).await;
        cut_and_wait(&fleet, 0, Cut::Hang).await;
        for replica in &fleet.replicas {
            replica.set_behaviour(broken.clone());
        }
        let answer = Call::new("book", "once").send(fleet.address(0)).await;
        let is_served = answer.is_ok_and(|answer| answer.status == 200 && answer.is_whole);
        let tunnels = fleet.routers[1].log_lines("tunnel closed");
        assert!(!is_served, "{broken:?}: {tunnels:?}");
        assert!(fleet.has_received("once"), "{broken:?}");
        assert_eq!(fleet.doubled_attempts(), Vec::<String>::new());
    }
}

/// Guards against a server that has crashed and is taken for one behind a lost path.
#[tokio::test(flavor = "multi_thread")]
async fn a_crashed_server_is_told_from_a_lost_path() {
    let fleet = Fleet::start(3, &[work(), work(), work()]).await;
    for gates in &fleet.gates {
        gates[0].cut(Cut::Reset);
    }
    for number in 0..30 {
        let route = ROUTES[number % ROUTES.len()];
        let call = Call::new(route, &format!("crash-{number}"));
        let answer = call.send(fleet.address(number % 3)).await.unwrap();
        assert_eq!(answer.status, 200, "{number}");
    }
    for router in &fleet.routers {
        let lost = router.log_lines("path to replicas lost");
        assert_eq!(lost, Vec::<serde_json::Value>::new());
    }
}

/// Returns the sum of a metric's counters at a router.
async fn metric_sum(router: &Router, name: &str) -> f64 {
    let text = router.metrics().await;
    let lines = text
        .lines()
        .filter(|line| line.starts_with(&format!("{name}{{")));
    lines
        .map(|line| line.rsplit(' ').next().unwrap().parse::<f64>().unwrap())
        .sum()
}

/// Guards against routers that multiply the connections of others while no server accepts any.
#[tokio::test(flavor = "multi_thread")]
async fn while_all_servers_are_down_routers_connect_about_once_for_each_request_of_others() {
    let fleet = Fleet::start(3, &[work(), work(), work(), work(), work(), work()]).await;
    for router in 0..3 {
        fleet.cut(router, Cut::Reset);
    }
    let started = Instant::now();
    for number in 0..40 {
        let call = Call::new("look", &format!("down-{number}"));
        let answer = call.send(fleet.address(0)).await.unwrap();
        assert_eq!(answer.status, 503, "{number}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    // Each router may look for a server that accepts connections four times a second.
    let checks = started.elapsed().as_secs_f64() * 4.0 + 1.0;
    for router in &fleet.routers[1..] {
        let asked = metric_sum(router, "currantlever_tunnels_served").await;
        let connects = metric_sum(router, "currantlever_replica_connects").await;
        println!("{asked} asked, {connects} connections");
        assert!(asked > 0.0);
        assert!(
            connects <= asked + checks * 5.0,
            "{asked} asked, {connects} connections"
        );
    }
}
