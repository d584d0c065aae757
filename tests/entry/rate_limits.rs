//! Rate limits that replicas state in their answers for the requests of all routers together.

use std::time::{Duration, Instant};

use super::replica::{Behaviour, FakeReplica};
use super::site::{wait_until, Call, Router, Site};
use super::site_with;

/// Length of the span in which arrivals are counted.
const SPAN: Duration = Duration::from_secs(4);
/// Time after the first statement of a limit from which on it binds.
const BINDING_DELAY: Duration = Duration::from_secs(3);
/// Requests allowed in a span beyond one and a half times the limit.
const SLACK: usize = 5;

/// Starts a fleet whose routers know one another and all replicas.
async fn fleet(routers: usize, behaviours: &[Behaviour]) -> (Site, Vec<FakeReplica>, Vec<Router>) {
    let (site, replicas) = site_with(behaviours).await;
    let names: Vec<String> = (0..routers).map(|number| format!("r-{number}")).collect();
    let started = names.iter().map(|name| site.ready_router(name));
    let fleet = futures::future::join_all(started).await;
    for router in &fleet {
        wait_until("the routers know one another and all replicas", || async {
            router.log_lines("router discovered").len() >= routers - 1
                && router.log_lines("replica added or updated").len() >= replicas.len()
        })
        .await;
    }
    (site, replicas, fleet)
}

/// Sends `per_second` calls in turns to the routers. Returns the statuses of the answers.
async fn send_calls(
    routers: &[Router],
    route: &str,
    per_second: u32,
    length: Duration,
) -> Vec<u16> {
    let end = Instant::now() + length;
    let mut calls = Vec::new();
    let mut ticks = tokio::time::interval(Duration::from_secs(1) / per_second);
    while Instant::now() < end {
        ticks.tick().await;
        let router = &routers[calls.len() % routers.len()];
        let address = router.callers_address;
        let call = Call::new(route, &format!("{route}-{}", calls.len()));
        calls.push(tokio::spawn(async move { call.send(address).await }));
    }
    let answers = futures::future::join_all(calls).await;
    let status = |answer: Result<Result<_, _>, _>| -> u16 {
        let answer: super::site::ReceivedAnswer = answer.unwrap().unwrap();
        answer.status
    };
    answers.into_iter().map(status).collect()
}

/// Returns the most arrivals at a replica in any span that begins after `since`.
fn max_arrivals(replica: &FakeReplica, since: Instant) -> usize {
    let received = replica.received();
    let times: Vec<Instant> = received
        .iter()
        .map(|request| request.at)
        .filter(|at| *at >= since)
        .collect();
    let count = |start: &Instant| {
        let in_span = times
            .iter()
            .filter(|at| *at >= start && **at < *start + SPAN);
        in_span.count()
    };
    times.iter().map(count).max().unwrap_or(0)
}

/// Returns the requests that a limit, in thousandths of a request per second, allows in a span.
fn allowed(limit_milli: usize) -> usize {
    limit_milli * 4 * 3 / 2 / 1_000 + SLACK
}

/// Guards against routers that together send a replica far more requests than the limit that it
/// stated.
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_with_a_limit_gets_no_more_requests_from_all_routers_together() {
    let mut behaviours = vec![Behaviour::Answer; 6];
    behaviours[0] = Behaviour::Limit("1.9");
    let (_site, replicas, routers) = fleet(9, &behaviours).await;
    let started = Instant::now();
    let statuses = send_calls(&routers, "look", 60, Duration::from_secs(11)).await;
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    let arrivals = max_arrivals(&replicas[0], started + BINDING_DELAY);
    assert!(arrivals <= allowed(1_900), "{arrivals} requests in 4 s");
}
