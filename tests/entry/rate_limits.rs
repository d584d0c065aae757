//! Rate limits that replicas state in their answers for the requests of all routers together.

use std::time::{Duration, Instant};

use super::replica::{Behaviour, FakeReplica};
use super::site::{wait_until, Call, ReceivedAnswer, Router, Site};
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

/// The answer to a call, and the time that the caller waited for it.
struct TimedAnswer {
    answer: ReceivedAnswer,
    elapsed: Duration,
}

impl TimedAnswer {
    fn retry_after_s(&self) -> f64 {
        let text = self.answer.headers["retry-after"].to_str().unwrap();
        text.parse().unwrap()
    }
}

/// Sends `per_second` calls in turns to the routers and returns the answers.
async fn send_calls(
    routers: &[Router],
    route: &str,
    per_second: u32,
    length: Duration,
) -> Vec<TimedAnswer> {
    let end = Instant::now() + length;
    let mut calls = Vec::new();
    let mut ticks = tokio::time::interval(Duration::from_secs(1) / per_second);
    while Instant::now() < end {
        ticks.tick().await;
        let router = &routers[calls.len() % routers.len()];
        let address = router.callers_address;
        let call = Call::new(route, &format!("{route}-{}", calls.len()));
        calls.push(tokio::spawn(async move {
            let sent_at = Instant::now();
            let answer = call.send(address).await.unwrap();
            let elapsed = sent_at.elapsed();
            TimedAnswer { answer, elapsed }
        }));
    }
    let answers = futures::future::join_all(calls).await;
    answers.into_iter().map(Result::unwrap).collect()
}

fn served_count(answers: &[TimedAnswer]) -> usize {
    let served = answers.iter().filter(|timed| timed.answer.status == 200);
    served.count()
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

fn arrivals_between(replica: &FakeReplica, from: Instant, to: Instant) -> usize {
    let received = replica.received();
    let between = received
        .iter()
        .filter(|request| request.at >= from && request.at < to);
    between.count()
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
    let answers = send_calls(&routers, "look", 60, Duration::from_secs(11)).await;
    assert_eq!(served_count(&answers), answers.len());
    let arrivals = max_arrivals(&replicas[0], started + BINDING_DELAY);
    assert!(arrivals <= allowed(1_900), "{arrivals} requests in 4 s");
    // It goes on being used near its limit.
    let bound = arrivals_between(&replicas[0], started + BINDING_DELAY, Instant::now());
    assert!(bound >= 9, "{bound} requests in 8 s at 1.9 a second");
}

/// Guards against exceeding the limits when no other replica is left, and against holding callers
/// that cannot be served.
#[tokio::test(flavor = "multi_thread")]
async fn calls_beyond_the_limits_of_all_replicas_are_refused_at_once() {
    let (_site, replicas, routers) = fleet(9, &vec![Behaviour::Limit("3"); 4]).await;
    let started = Instant::now();
    let answers = send_calls(&routers, "look", 48, Duration::from_secs(11)).await;
    let bound_from = started + BINDING_DELAY;
    let mut sent = 0;
    for replica in &replicas {
        let arrivals = max_arrivals(replica, bound_from);
        assert!(arrivals <= allowed(3_000), "{arrivals} requests in 4 s");
        sent += arrivals_between(replica, bound_from, Instant::now());
    }
    // Four replicas accept 96 requests in 8 s.
    assert!(sent >= 72, "{sent} requests sent on");
    let refused: Vec<&TimedAnswer> = answers
        .iter()
        .filter(|timed| timed.answer.status != 200)
        .collect();
    assert!(!refused.is_empty());
    for timed in refused {
        assert_eq!(timed.answer.status, 503);
        assert!((0.1..=7.5).contains(&timed.retry_after_s()));
        assert!(
            timed.elapsed < Duration::from_secs(1),
            "{:?}",
            timed.elapsed
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replica_whose_limit_has_ended_is_used_by_all_routers_again() {
    let mut behaviours = vec![Behaviour::Answer; 2];
    behaviours[0] = Behaviour::Limit("2");
    let (_site, replicas, routers) = fleet(5, &behaviours).await;
    send_calls(&routers, "look", 40, Duration::from_secs(3)).await;
    replicas[0].set_behaviour(Behaviour::Answer);
    // At 2 a second the end is found in the next answer, half a second later.
    send_calls(&routers, "look", 40, Duration::from_secs(3)).await;
    let resumed_at = Instant::now();
    send_calls(&routers, "look", 40, Duration::from_secs(2)).await;
    let received = arrivals_between(&replicas[0], resumed_at, Instant::now());
    assert!(received >= 20, "{received} of 80 calls");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_limit_that_rises_or_falls_is_followed() {
    let mut behaviours = vec![Behaviour::Answer; 3];
    behaviours[0] = Behaviour::Limit("1");
    let (_site, replicas, routers) = fleet(5, &behaviours).await;
    send_calls(&routers, "look", 40, Duration::from_secs(3)).await;
    replicas[0].set_behaviour(Behaviour::Limit("6"));
    send_calls(&routers, "look", 40, Duration::from_secs(3)).await;
    let raised_at = Instant::now();
    send_calls(&routers, "look", 40, Duration::from_secs(4)).await;
    let received = arrivals_between(&replicas[0], raised_at, Instant::now());
    assert!((18..=allowed(6_000)).contains(&received), "{received} at 6");
    replicas[0].set_behaviour(Behaviour::Limit("0.5"));
    let lowered_at = Instant::now();
    send_calls(&routers, "look", 40, Duration::from_secs(8)).await;
    let arrivals = max_arrivals(&replicas[0], lowered_at + BINDING_DELAY);
    assert!(arrivals <= allowed(500), "{arrivals} at 0.5");
}

/// Guards against taking the limit of an earlier process for that of its successor.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_incarnation_begins_without_the_limit_of_the_last_one() {
    let (site, replicas, routers) = fleet(3, &[Behaviour::Limit("0"), Behaviour::Answer]).await;
    send_calls(&routers, "look", 40, Duration::from_secs(2)).await;
    replicas[0].set_behaviour(Behaviour::Answer);
    site.register_incarnation(&replicas[0], 2_000);
    for router in &routers {
        wait_until("the new incarnation is known", || async {
            router.log_lines("replica added or updated").len() > replicas.len()
        })
        .await;
    }
    let registered_at = Instant::now();
    send_calls(&routers, "look", 40, Duration::from_secs(2)).await;
    let received = arrivals_between(&replicas[0], registered_at, Instant::now());
    assert!(received >= 20, "{received} of 80 calls");
}

/// Guards against texts that are no limit, which must neither stop a router nor set a limit.
#[tokio::test(flavor = "multi_thread")]
async fn texts_that_are_no_limit_are_ignored_and_logged() {
    for text in ["many", "-1", "NaN", "inf", "1e300", ""] {
        let (_site, replicas, routers) = fleet(1, &[Behaviour::Limit(text)]).await;
        let answers = send_calls(&routers, "look", 40, Duration::from_millis(500)).await;
        assert_eq!(served_count(&answers), answers.len(), "{text}");
        assert_eq!(replicas[0].received().len(), answers.len());
        let unusable = "replica stated an unusable rate limit";
        assert_eq!(routers[0].log_lines(unusable).len(), 1, "{text}");
    }
}

/// Guards against a limit that several routers issue permits for once the first of them is gone.
#[tokio::test(flavor = "multi_thread")]
async fn a_limit_holds_while_routers_are_killed_paused_and_started() {
    let mut behaviours = vec![Behaviour::Answer; 4];
    behaviours[0] = Behaviour::Limit("2.5");
    let (site, replicas, mut routers) = fleet(9, &behaviours).await;
    let started = Instant::now();
    send_calls(&routers, "look", 60, Duration::from_secs(4)).await;
    let mut lost = routers.split_off(6);
    lost[0].kill();
    lost[1].pause();
    send_calls(&routers, "look", 60, Duration::from_secs(4)).await;
    lost[0].restart();
    lost[1].resume();
    routers.push(site.ready_router("r-late").await);
    routers.push(lost.remove(1));
    send_calls(&routers, "look", 60, Duration::from_secs(5)).await;
    let arrivals = max_arrivals(&replicas[0], started + BINDING_DELAY);
    assert!(arrivals <= allowed(2_500), "{arrivals} requests in 4 s");
}

/// Guards against a refusal whose cause cannot be found from its id.
#[tokio::test(flavor = "multi_thread")]
async fn the_log_line_of_a_refused_call_names_the_limit_that_decided() {
    let (_site, _replicas, routers) = fleet(2, &[Behaviour::Limit("0.5")]).await;
    send_calls(&routers, "look", 20, Duration::from_secs(2)).await;
    let lines = routers[0].log_lines("request");
    let refused = lines
        .iter()
        .filter(|line| line["outcome"] == "replicas_rate_limited");
    let denied = |line: &&serde_json::Value| {
        let limits = line["limits"].as_str().unwrap();
        limits.contains("i-0") && limits.contains("limit 0.5/s by") && limits.contains("denied")
    };
    assert!(refused.clone().count() > 0);
    assert!(refused.filter(denied).count() > 0, "{lines:?}");
    let text = routers[0].metrics().await;
    let gauge = "currantlever_replica_rate_limit{replica=\"i-0\"} 0.5";
    assert!(text.contains(gauge), "{text}");
}
