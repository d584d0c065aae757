//! Streams of replicas that run several versions of their software side by side.

use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use super::replica::{versioned_event_text, Behaviour, FakeReplica};
use super::site::{lists, wait_until, Call, ReceivedAnswer, Router, Site};
use super::AMPLE_PAID_TOKENS;

/// Events of a whole stream.
const EVENTS: u64 = 8;
/// Events after which a replica breaks off a new stream.
const BROKEN_AFTER: u64 = 3;
/// Start of the replicas' first incarnation.
const BORN_MS: u64 = 1_000;
/// Streams that are broken off in a test of their share that goes on.
const BEGUN_STREAMS: usize = 40;
/// Time after which a refused call is repeated.
const REPEAT_DELAY: Duration = Duration::from_millis(100);
/// Time limit for an answer that must not wait: far below the route's timeout.
const PROMPT_ANSWER: Duration = Duration::from_secs(2);

fn whole(version: &'static str) -> Behaviour {
    let pause = Duration::ZERO;
    let events = EVENTS;
    Behaviour::OfVersion(version, Box::new(Behaviour::Stream { events, pause }))
}

fn breaking(version: &'static str) -> Behaviour {
    let (after, events) = (BROKEN_AFTER, EVENTS);
    Behaviour::OfVersion(
        version,
        Box::new(Behaviour::BreakNewStream { after, events }),
    )
}

/// Starts a site with one registered replica for each version, whose whole streams state it.
async fn site_of(versions: &[&'static str]) -> (Site, Vec<FakeReplica>) {
    let site = Site::start(AMPLE_PAID_TOKENS).await;
    let mut replicas = Vec::new();
    for (index, version) in versions.iter().enumerate() {
        let replica = FakeReplica::start(&format!("i-{index}"), whole(version)).await;
        site.register_version(&replica, &json!(version), BORN_MS);
        replicas.push(replica);
    }
    (site, replicas)
}

/// Starts a router that knows all replicas and has a full retry budget.
async fn warm_router(site: &Site, name: &str, replicas: &[FakeReplica]) -> Router {
    let router = site.ready_router(name).await;
    wait_until("all replicas are known", || async {
        router.log_lines("replica added or updated").len() >= replicas.len()
    })
    .await;
    for number in 0..40 {
        let got = send(
            &router,
            &Call::new("chat", &format!("{name}-warm-{number}")),
        )
        .await;
        assert_eq!(got.status, 200);
    }
    router
}

async fn send(router: &Router, call: &Call) -> ReceivedAnswer {
    call.send(router.callers_address).await.unwrap()
}

/// Returns the versions that the events of an answer state, each once.
fn versions_in(got: &ReceivedAnswer) -> Vec<String> {
    let text = String::from_utf8_lossy(&got.body).into_owned();
    let data = text.lines().filter(|line| line.starts_with("data: "));
    let versions = data.filter_map(|line| line.rsplit_once(" of "));
    let mut versions: Vec<String> = versions.map(|(_, version)| version.to_owned()).collect();
    versions.sort();
    versions.dedup();
    versions
}

fn events_of(version: &str, range: std::ops::RangeInclusive<u64>) -> String {
    range
        .map(|event| versioned_event_text(event, version))
        .collect()
}

fn received_resumes(replica: &FakeReplica) -> usize {
    let received = replica.received();
    let resumes = received
        .iter()
        .filter(|request| request.header("last-event-id").is_some());
    resumes.count()
}

/// Waits until the newest entry that a router has applied for a replica has this value in a field.
async fn wait_for_entry(router: &Router, replica: &FakeReplica, field: &str, value: &Value) {
    wait_until("the entry is known", || async {
        let lines = router.log_lines("replica added or updated");
        let of_replica = lines
            .iter()
            .rfind(|line| line["replica"] == replica.id.as_str());
        of_replica.is_some_and(|line| line[field] == *value)
    })
    .await;
}

/// Guards against a stream with events of two software versions in one answer, and against streams
/// that are cut while replicas of their version serve.
#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_goes_on_at_a_replica_of_the_version_that_began_it() {
    let (site, replicas) = site_of(&["v1", "v2", "v1", "v2", "v1", "v2"]).await;
    let router = warm_router(&site, "r-1", &replicas).await;
    for (index, replica) in replicas.iter().enumerate() {
        replica.set_behaviour(breaking(["v1", "v2"][index % 2]));
    }
    let mut whole_versions = Vec::new();
    let (mut begun_count, mut sent_count) = (0, 0);
    while begun_count < BEGUN_STREAMS {
        sent_count += 1;
        let got = send(&router, &Call::new("chat", &format!("a-{sent_count}"))).await;
        if got.status == 503 {
            // All replicas are ejected for a while, as each new stream breaks off.
            tokio::time::sleep(REPEAT_DELAY).await;
            continue;
        }
        assert_eq!(got.status, 200);
        begun_count += 1;
        let versions = versions_in(&got);
        assert_eq!(versions.len(), 1, "{:?}", got.body);
        if got.is_whole {
            assert_eq!(got.body, events_of(&versions[0], 1..=EVENTS));
            whole_versions.push(versions[0].clone());
        }
    }
    // The share that goes on is at least half of the share that begins.
    assert!(
        whole_versions.len() * 2 >= BEGUN_STREAMS,
        "{} whole",
        whole_versions.len()
    );
    for version in ["v1", "v2"] {
        assert!(whole_versions.iter().any(|other| other == version));
    }
}

/// Guards against a stream that goes on at another version, or is held, when no replica of its
/// version is left.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_version_is_gone_is_cut_at_once() {
    let (site, replicas) = site_of(&["v1", "v2", "v2"]).await;
    let router = warm_router(&site, "r-1", &replicas).await;
    replicas[0].set_behaviour(breaking("v1"));
    let mut cut_count = 0;
    for number in 0..40 {
        let sent_at = Instant::now();
        let got = send(&router, &Call::new("chat", &format!("a-{number}"))).await;
        assert!(sent_at.elapsed() < PROMPT_ANSWER);
        if versions_in(&got) == ["v1"] {
            assert!(!got.is_whole);
            assert_eq!(got.body, events_of("v1", 1..=BROKEN_AFTER));
            cut_count += 1;
        } else {
            assert_eq!(got.body, events_of("v2", 1..=EVENTS));
        }
    }
    assert!(cut_count > 0);
    for replica in &replicas {
        assert_eq!(received_resumes(replica), 0);
    }
}

/// Guards against unknown versions that count as equal, and against entries that are refused for
/// the lack of a usable version.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_of_an_unknown_version_is_served_and_not_resumed() {
    let long = "v".repeat(200);
    for version in [json!(null), json!(7), json!(""), json!(long), json!(["v1"])] {
        let (site, replicas) = site_of(&["v1", "v1"]).await;
        for replica in &replicas {
            site.register_version(replica, &version, BORN_MS);
        }
        let router = warm_router(&site, "r-1", &replicas).await;
        let got = send(&router, &Call::new("chat", "a-whole")).await;
        assert!(got.is_whole, "{version}");
        for replica in &replicas {
            replica.set_behaviour(breaking("v1"));
        }
        let got = send(&router, &Call::new("chat", "a-1")).await;
        assert_eq!(got.body, events_of("v1", 1..=BROKEN_AFTER), "{version}");
        assert!(!got.is_whole, "{version}");
        let taken_up = Call::new("chat", "a-2")
            .with("last-event-id", "3")
            .with("resumes", "a-1");
        let got = send(&router, &taken_up).await;
        assert_eq!(got.status, 503, "{version}");
        assert!(replicas
            .iter()
            .all(|replica| received_resumes(replica) == 0));
    }
}

/// Guards against a version that is taken from the entry of an earlier incarnation: the stream
/// began at a server that had started again with another version before its entry was replaced.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_of_a_server_that_started_again_with_another_version_is_not_resumed() {
    let (site, replicas) = site_of(&["v1", "v1", "v1"]).await;
    let router = warm_router(&site, "r-1", &replicas).await;
    // The server runs the new version while the entry states the old one.
    let pause = Duration::from_millis(400);
    let events = EVENTS;
    let slow = Behaviour::Stream { events, pause };
    replicas[0].set_behaviour(Behaviour::OfVersion("v2", Box::new(slow)));
    let mut begun = None;
    for number in 0..60 {
        let (call, address) = (
            Call::new("chat", &format!("a-{number}")),
            router.callers_address,
        );
        let before = replicas[0].received().len();
        let caller = tokio::spawn(async move { call.send(address).await.unwrap() });
        tokio::time::sleep(Duration::from_millis(100)).await;
        if replicas[0].received().len() > before {
            begun = Some(caller);
            break;
        }
    }
    let caller = begun.expect("a stream began at the replica");
    site.register_version(&replicas[0], &json!("v2"), BORN_MS + 1);
    wait_for_entry(&router, &replicas[0], "born_ms", &json!(BORN_MS + 1)).await;
    replicas[0].crash();
    let got = caller.await.unwrap();
    assert!(!got.is_whole);
    assert_eq!(versions_in(&got), ["v2"], "{:?}", got.body);
    assert!(replicas
        .iter()
        .all(|replica| received_resumes(replica) == 0));
}

/// Guards against a new version in an entry of the same incarnation that is not applied.
#[tokio::test(flavor = "multi_thread")]
async fn a_changed_version_in_an_entry_of_the_same_incarnation_is_applied() {
    let (site, replicas) = site_of(&["v1", "v1"]).await;
    let router = warm_router(&site, "r-1", &replicas).await;
    site.register_version(&replicas[1], &json!("v2"), BORN_MS);
    wait_for_entry(&router, &replicas[1], "version", &json!("v2")).await;
    replicas[0].set_behaviour(breaking("v1"));
    replicas[1].set_behaviour(whole("v2"));
    let mut cut_count = 0;
    for number in 0..10 {
        let got = send(&router, &Call::new("chat", &format!("a-{number}"))).await;
        assert_eq!(versions_in(&got).len(), 1, "{:?}", got.body);
        cut_count += u32::from(!got.is_whole);
    }
    assert!(cut_count > 0);
}

/// Returns a call that takes up, after its third event, a stream that no other call takes up.
fn takeup(attempt: &str) -> Call {
    Call::new("chat", attempt)
        .with("last-event-id", "3")
        .with("resumes", &format!("first-of-{attempt}"))
}

/// Takes a stream up as soon as the router knows that all streams have the version v1.
async fn take_up_the_only_version(router: &Router) {
    let number = AtomicU32::new(1);
    wait_until("the stream is taken up", || async {
        let number = number.fetch_add(1, Ordering::Relaxed);
        let got = send(router, &takeup(&format!("a-early-{number}"))).await;
        if got.status == 200 {
            assert_eq!(got.body, events_of("v1", 4..=EVENTS));
            return got.is_whole;
        }
        assert_eq!(got.status, 503);
        tokio::time::sleep(REPEAT_DELAY).await;
        false
    })
    .await;
}

async fn wait_for_outcome(router: &Router, request: &str, outcome: &str) {
    wait_until("the request is logged", || async {
        let lines = router.log_lines("request");
        let line = lines.iter().find(|line| line["request"] == request);
        line.is_some_and(|line| line["outcome"] == outcome)
    })
    .await;
}

/// Guards against streams that callers cannot take up although the service has had one version
/// only, and against a takeup at a router that cannot know this yet.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_takes_up_a_stream_of_the_only_version_once_the_router_knows_its_history() {
    let (site, replicas) = site_of(&["v1", "v1"]).await;
    let router = warm_router(&site, "r-1", &replicas).await;
    let got = send(&router, &takeup("a-0")).await;
    assert_eq!(got.status, 503, "a router that has just started");
    assert!(replicas
        .iter()
        .all(|replica| received_resumes(replica) == 0));
    take_up_the_only_version(&router).await;
    let lines = router.log_lines("request");
    let refused = lines.iter().find(|line| line["request"] == "a-0").unwrap();
    assert_eq!(refused["outcome"], "origin_unknown");
    assert_eq!(refused["resumes"], "first-of-a-0");
    // A second version makes the origin of a stream unknown.
    site.register_version(&replicas[1], &json!("v2"), BORN_MS + 1);
    wait_for_entry(&router, &replicas[1], "born_ms", &json!(BORN_MS + 1)).await;
    let got = send(&router, &takeup("a-last")).await;
    assert_eq!(got.status, 503);
}

/// Guards against a takeup at any version of several.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_cannot_take_up_a_stream_of_unknown_origin_among_several_versions() {
    let (site, replicas) = site_of(&["v1", "v2"]).await;
    let router = warm_router(&site, "r-1", &replicas).await;
    // From then on the router knows that there is no other.
    site.wait_until_watched().await;
    for number in 0..10 {
        let call = Call::new("chat", &format!("a-{number}"))
            .with("last-event-id", "3")
            .with("resumes", "a-nobody-knows");
        let sent_at = Instant::now();
        let got = send(&router, &call).await;
        assert_eq!(got.status, 503);
        assert!(!got.headers.contains_key("retry-after"));
        assert!(sent_at.elapsed() < PROMPT_ANSWER);
    }
    assert!(replicas
        .iter()
        .all(|replica| received_resumes(replica) == 0));
}

/// Guards against a takeup that waits for replicas of a version that is gone, or that names a time
/// after which they are back.
#[tokio::test(flavor = "multi_thread")]
async fn a_takeup_at_a_version_without_a_replica_in_service_is_refused_at_once() {
    let (site, replicas) = site_of(&["v1", "v1"]).await;
    let router = warm_router(&site, "r-1", &replicas).await;
    take_up_the_only_version(&router).await;
    for replica in &replicas {
        site.register_in_phase(replica, "draining");
        wait_for_entry(&router, replica, "draining", &json!(true)).await;
    }
    let sent_at = Instant::now();
    let got = send(&router, &takeup("a-1")).await;
    assert!(sent_at.elapsed() < PROMPT_ANSWER);
    assert_eq!(got.status, 503);
    assert!(!got.headers.contains_key("retry-after"));
    wait_for_outcome(&router, "a-1", "version_gone").await;
}

/// Guards against a stream that began at another service, to which its route led shortly before.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_cannot_be_taken_up_by_the_only_version_after_its_route_was_moved() {
    let (site, replicas) = site_of(&["v1", "v1"]).await;
    let router = warm_router(&site, "r-1", &replicas).await;
    take_up_the_only_version(&router).await;
    for (version, service) in [(2, "other"), (3, "pool")] {
        let mut config = lists(version, AMPLE_PAID_TOKENS);
        let mut other = config["services"][0].clone();
        other["name"] = json!("other");
        config["services"].as_array_mut().unwrap().push(other);
        config["routes"][2]["service"] = json!(service);
        site.store.put("config", "main", &config);
        wait_until("the configuration is in force", || async {
            let lines = router.log_lines("configuration in force");
            lines.iter().any(|line| line["config_version"] == version)
        })
        .await;
    }
    let got = send(&router, &takeup("a-1")).await;
    assert_eq!(got.status, 503);
    wait_for_outcome(&router, "a-1", "origin_unknown").await;
}

/// Guards against a server that crashed and answers again, with another version, while its old
/// entry is still listed: no stream goes on there, and none that began there goes on elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn after_a_crash_the_version_is_unknown_until_the_next_entry() {
    let (site, replicas) = site_of(&["v1", "v1", "v1"]).await;
    let router = warm_router(&site, "r-1", &replicas).await;
    let crashed = &replicas[0];
    crashed.crash();
    wait_until("the server is down", || async {
        crashed.crash_count() == 1
    })
    .await;
    let number = AtomicU32::new(0);
    wait_until("the router knows", || async {
        let number = number.fetch_add(1, Ordering::Relaxed);
        send(&router, &Call::new("chat", &format!("a-{number}"))).await;
        let lines = router.log_lines("request");
        let mut tries = lines.iter().filter_map(|line| line["tries"].as_str());
        tries.any(|tries| tries.starts_with("i-0 at") && tries.contains("not sent"))
    })
    .await;
    crashed.set_behaviour(breaking("v2"));
    let number = AtomicU32::new(0);
    wait_until("a stream began there", || async {
        let number = number.fetch_add(1, Ordering::Relaxed);
        let got = send(&router, &Call::new("chat", &format!("b-{number}"))).await;
        let versions = versions_in(&got);
        assert_eq!(versions.len(), 1, "{:?}", got.body);
        assert!(versions == ["v1"] || !got.is_whole);
        tokio::time::sleep(REPEAT_DELAY).await;
        versions == ["v2"]
    })
    .await;
    crashed.set_behaviour(whole("v2"));
    for replica in &replicas[1..] {
        replica.set_behaviour(breaking("v1"));
    }
    let others_resumes = || -> usize { replicas[1..].iter().map(received_resumes).sum() };
    let begun_before = crashed.received().len();
    wait_until("streams have begun at all replicas", || async {
        let number = number.fetch_add(1, Ordering::Relaxed);
        let got = send(&router, &Call::new("chat", &format!("b-{number}"))).await;
        assert!(versions_in(&got).len() <= 1, "{:?}", got.body);
        tokio::time::sleep(REPEAT_DELAY).await;
        assert_eq!(received_resumes(crashed), 0);
        others_resumes() > 5 && crashed.received().len() > begun_before + 5
    })
    .await;
    // The next entry states the version, so that streams go on there.
    site.register_version(crashed, &json!("v1"), BORN_MS + 1);
    wait_for_entry(&router, crashed, "born_ms", &json!(BORN_MS + 1)).await;
    crashed.set_behaviour(whole("v1"));
    wait_until("a stream goes on there", || async {
        let number = number.fetch_add(1, Ordering::Relaxed);
        send(&router, &Call::new("chat", &format!("b-{number}"))).await;
        tokio::time::sleep(REPEAT_DELAY).await;
        received_resumes(crashed) > 0
    })
    .await;
}

/// Guards against the entry of an ended incarnation that an older copy of the store brings back: the
/// server runs the later version, so no stream of the earlier one goes on there.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_of_an_earlier_incarnation_does_not_bring_its_version_back() {
    let (site, replicas) = site_of(&["v1", "v1"]).await;
    let router = warm_router(&site, "r-1", &replicas).await;
    replicas[0].set_behaviour(breaking("v1"));
    replicas[1].set_behaviour(whole("v2"));
    site.register_version(&replicas[1], &json!("v2"), BORN_MS + 1);
    wait_for_entry(&router, &replicas[1], "born_ms", &json!(BORN_MS + 1)).await;
    let updates = || router.log_lines("replica added or updated").len();
    let updates_before = updates();
    site.register_version(&replicas[1], &json!("v1"), BORN_MS);
    wait_until("the older entry is known", || async {
        updates() > updates_before
    })
    .await;
    let number = AtomicU32::new(0);
    wait_until("streams have broken off", || async {
        let number = number.fetch_add(1, Ordering::Relaxed);
        let got = send(&router, &Call::new("chat", &format!("a-{number}"))).await;
        assert!(versions_in(&got).len() <= 1, "{:?}", got.body);
        tokio::time::sleep(REPEAT_DELAY).await;
        replicas[0].received().len() > 5
    })
    .await;
    assert_eq!(received_resumes(&replicas[1]), 0);
}
