//! Requests beside changes of the configuration.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use super::replica::{Behaviour, FakeReplica};
use super::site::{lists, wait_until, Call, Router, Site, HOST, KEY};
use super::{site_with, AMPLE_PAID_TOKENS};

/// Time between two versions.
const CHANGE_INTERVAL: Duration = Duration::from_millis(300);
/// Silence of a server in the middle of its answer.
const SILENCE: Duration = Duration::from_millis(1_500);
/// Time for which versions are written beside requests.
const CHANGE_TIME: Duration = Duration::from_secs(5);
/// Callers that send requests one after another.
const CALLERS: usize = 6;

/// Routes of all kinds.
const ALL_ROUTES: [&str; 4] = ["chat", "draft", "look", "book"];
/// Routes whose answers are no streams.
const BUFFERED_ROUTES: [&str; 2] = ["look", "book"];

type Change = fn(&mut Value);

/// Changes of one aspect of the configuration; each second version has it.
fn changes() -> Vec<(&'static str, Change)> {
    vec![
        ("limits", |config| {
            config["limits"] = json!({
                "max_header_bytes": 8192, "max_body_bytes": 1024,
                "header_timeout_ms": 300, "idle_timeout_ms": 500,
            });
        }),
        ("times and tries", |config| {
            for route in config["routes"].as_array_mut().unwrap() {
                route["timeout_ms"] = 4_000.into();
                route["max_attempts"] = 1.into();
            }
        }),
        ("routes", |config| {
            let mut routes = config["routes"].as_array().unwrap().clone();
            let mut added = routes[0].clone();
            added["name"] = "added".into();
            added["path_prefix"] = "/look/x/".into();
            routes.remove(1);
            routes.push(added);
            config["routes"] = routes.into();
        }),
        ("weights", |config| {
            let mut service = config["services"][0].clone();
            service["name"] = "other".into();
            config["services"].as_array_mut().unwrap().push(service);
            for route in config["routes"].as_array_mut().unwrap() {
                route["service"] = Value::Null;
                route["split"] = json!([
                    {"service": "pool", "weight": 3}, {"service": "other", "weight": 1},
                ]);
            }
        }),
        ("keys", |config| {
            config["tenants"][0]["api_keys"] = json!([KEY, "another"]);
            config["tenants"][0]["priority"] = 3.into();
        }),
        ("services", |config| {
            config["services"][0]["max_conns"] = 8.into();
            config["services"][0]["engine"]["slots"] = 2.into();
        }),
        ("all of these", |config| {
            config["limits"]["idle_timeout_ms"] = 500.into();
            config["services"][0]["max_conns"] = 8.into();
            config["routes"].as_array_mut().unwrap().remove(1);
            config["tenants"][0]["priority"] = 3.into();
        }),
    ]
}

/// Sends requests one after another until told to stop; returns the number that were answered and
/// descriptions of those that were not.
async fn call_repeatedly(
    address: std::net::SocketAddr,
    routes: &[&str],
    caller: usize,
    is_over: Arc<AtomicBool>,
) -> (usize, Vec<String>) {
    let (mut answered, mut lost) = (0, Vec::new());
    let mut number = 0;
    while !is_over.load(Ordering::SeqCst) {
        let route = routes[(caller + number) % routes.len()];
        let attempt = format!("a-{caller}-{number}");
        match Call::new(route, &attempt).send(address).await {
            Ok(answer) if answer.is_whole && ![502, 504].contains(&answer.status) => answered += 1,
            other => lost.push(format!("{route} {attempt}: {other:?}")),
        }
        number += 1;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    (answered, lost)
}

/// Writes versions that have the change in turn, two at once each third time.
async fn write_versions(site: &Site, change: Change) {
    let end = Instant::now() + CHANGE_TIME;
    let mut version = 1;
    while Instant::now() < end {
        for _ in 0..=u64::from(version % 3 == 0) {
            version += 1;
            let mut config = lists(version, AMPLE_PAID_TOKENS);
            if version % 2 == 0 {
                change(&mut config);
            }
            site.store.put("config", "main", &config);
        }
        tokio::time::sleep(CHANGE_INTERVAL).await;
    }
}

async fn known_replicas(router: &Router, count: usize) {
    wait_until("all servers are known", || async {
        router.log_lines("replica added or updated").len() >= count
    })
    .await;
}

/// Returns the behaviours of three servers that are silent for a time: two in mid-stream, one before
/// the first event.
pub fn silent_servers() -> [Behaviour; 3] {
    let silent = Behaviour::SilentStream {
        events: 8,
        silent_after: 3,
        silence: SILENCE,
    };
    let late = Behaviour::StreamAfter {
        delay: SILENCE,
        events: 8,
    };
    [silent.clone(), late, silent]
}

/// Guards against requests that get neither an answer nor a refusal beside changes of the
/// configuration, while their servers are silent for a time or one is replaced.
#[tokio::test(flavor = "multi_thread")]
async fn no_request_is_lost_beside_changes_while_servers_fall_silent() {
    let mut runs = JoinSet::new();
    for (name, change) in changes() {
        runs.spawn(async move {
            let behaviours = silent_servers();
            let (site, replicas) = site_with(&behaviours).await;
            let router = site.ready_router("r-1").await;
            known_replicas(&router, replicas.len()).await;
            let is_over = Arc::new(AtomicBool::new(false));
            let mut callers = JoinSet::new();
            for caller in 0..CALLERS {
                let is_over = Arc::clone(&is_over);
                let address = router.callers_address;
                callers.spawn(call_repeatedly(address, &ALL_ROUTES, caller, is_over));
            }
            let drain_one = async {
                tokio::time::sleep(CHANGE_TIME / 3).await;
                site.register_in_phase(&replicas[0], "draining");
                let successor = FakeReplica::start("i-9", behaviours[0].clone()).await;
                site.register(&successor);
                successor
            };
            let ((), _successor) = tokio::join!(write_versions(&site, change), drain_one);
            is_over.store(true, Ordering::SeqCst);
            let in_force = router.log_lines("configuration in force").len();
            assert!(in_force > 10, "{name}: {in_force}");
            for (answered, lost) in callers.join_all().await {
                assert!(answered > 0, "{name}");
                assert_eq!(lost, Vec::<String>::new(), "{name}");
            }
        });
    }
    runs.join_all().await;
}

/// Guards against requests that get neither an answer nor a refusal beside changes of the
/// configuration, while servers answer before the body, twice, or without a length.
#[tokio::test(flavor = "multi_thread")]
async fn no_request_is_lost_beside_changes_while_servers_answer_early_twice_or_unframed() {
    for behaviour in [
        Behaviour::AnswerBeforeBody,
        Behaviour::DuplicateAnswer,
        Behaviour::CloseDelimited { is_reset: false },
    ] {
        let (site, replicas) = site_with(&[behaviour.clone(), behaviour.clone()]).await;
        let router = site.ready_router("r-1").await;
        known_replicas(&router, replicas.len()).await;
        let is_over = Arc::new(AtomicBool::new(false));
        let mut callers = JoinSet::new();
        for caller in 0..CALLERS {
            let (is_over, address) = (Arc::clone(&is_over), router.callers_address);
            callers.spawn(call_repeatedly(address, &BUFFERED_ROUTES, caller, is_over));
        }
        let (_, change) = changes().pop().unwrap();
        write_versions(&site, change).await;
        is_over.store(true, Ordering::SeqCst);
        for (answered, lost) in callers.join_all().await {
            assert!(answered > 0, "{behaviour:?}");
            assert_eq!(lost, Vec::<String>::new(), "{behaviour:?}");
        }
    }
}

/// Reads one answer with a length from a kept connection; `None` if it ended before the answer.
async fn read_answer(caller: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        let mut buffer = [0; 4_096];
        let count = caller.read(&mut buffer).await.ok()?;
        if count == 0 {
            return None;
        }
        bytes.extend_from_slice(&buffer[..count]);
        let text = String::from_utf8_lossy(&bytes);
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
        let length = head.lines().find_map(|line| {
            let (name, value) = line.split_once(':')?;
            let is_length = name.eq_ignore_ascii_case("content-length");
            is_length.then(|| value.trim().parse::<usize>().unwrap())
        });
        if length.is_some_and(|length| body.len() >= length) {
            return Some(text.into_owned());
        }
    }
}

/// Guards against a connection that is closed while a request on it was passed on, beside changes of
/// the idle and head timeouts: callers reuse connections that were idle for four fifths of the
/// limit that they knew, and send heads and bodies in parts.
#[tokio::test(flavor = "multi_thread")]
async fn no_request_on_a_kept_connection_is_lost_beside_changes_of_the_timeouts() {
    let (site, replicas) = site_with(&[Behaviour::Answer]).await;
    let router = site.ready_router("r-1").await;
    let is_over = Arc::new(AtomicBool::new(false));
    let mut callers = JoinSet::new();
    for caller in 0..4 * CALLERS {
        let (is_over, address) = (Arc::clone(&is_over), router.callers_address);
        callers.spawn(keep_calling(address, caller, is_over));
    }
    let change = |config: &mut Value| {
        config["limits"]["idle_timeout_ms"] = 400.into();
        config["limits"]["header_timeout_ms"] = 200.into();
    };
    write_versions(&site, change).await;
    is_over.store(true, Ordering::SeqCst);
    let unanswered: Vec<String> = callers.join_all().await.concat();
    let received = replicas[0].received();
    let is_received = |attempt: &String| {
        let mut received = received.iter();
        received.any(|request| request.header("currantlever-attempt-id") == Some(attempt))
    };
    let lost: Vec<&String> = unanswered.iter().filter(|id| is_received(id)).collect();
    assert!(lost.is_empty(), "{lost:?}");
    assert!(received.len() > 10 * CALLERS, "{}", received.len());
}

/// Sends requests on kept connections until told to stop, and returns the attempts that got no
/// answer.
async fn keep_calling(
    address: std::net::SocketAddr,
    caller: usize,
    is_over: Arc<AtomicBool>,
) -> Vec<String> {
    let idle_times = [20, 320, 390, 400, 410];
    let mut unanswered = Vec::new();
    let mut connection = TcpStream::connect(address).await.unwrap();
    let mut number = 0;
    while !is_over.load(Ordering::SeqCst) {
        let attempt = format!("k-{caller}-{number}");
        let text = format!(
            "POST /book/x HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Token {KEY}\r\n\
             Currantlever-Attempt-Id: {attempt}\r\nContent-Length: 5\r\n\r\nwhole"
        );
        // The whole request at once, or cut in its head or its body.
        let cut_at = [0, 60, text.len() - 2][number % 3];
        let (first, rest) = text.split_at(cut_at);
        let is_sent = async {
            connection.write_all(first.as_bytes()).await.ok()?;
            if !first.is_empty() {
                tokio::time::sleep(Duration::from_millis(150)).await;
            }
            connection.write_all(rest.as_bytes()).await.ok()
        };
        let answer = match is_sent.await {
            Some(()) => read_answer(&mut connection).await,
            None => None,
        };
        if answer.is_none() {
            unanswered.push(attempt);
            connection = TcpStream::connect(address).await.unwrap();
        }
        let idle_ms = idle_times[(caller + number) % idle_times.len()];
        tokio::time::sleep(Duration::from_millis(idle_ms)).await;
        number += 1;
    }
    unanswered
}

/// Guards against a refusal that its caller never reads, as the connection is reset while bytes of
/// the refused request are still on their way.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_exceeds_a_lowered_limit_gets_its_refusal() {
    let (site, replicas) = site_with(&[Behaviour::Answer]).await;
    let mut config = lists(2, AMPLE_PAID_TOKENS);
    config["limits"]["max_body_bytes"] = 1_024.into();
    config["limits"]["max_header_bytes"] = 8_192.into();
    site.store.put("config", "main", &config);
    let router = site.ready_router("r-1").await;
    let head = |attempt: &str| {
        format!(
            "POST /book/x HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Token {KEY}\r\n\
             Currantlever-Attempt-Id: {attempt}\r\n"
        )
    };
    let body = "x".repeat(60_000);
    for number in 0..20 {
        let long_body = format!("{}Content-Length: 60000\r\n\r\n{body}", head("body"));
        let long_head = format!("{}X-Long: {body}\r\n\r\n", head("head"));
        for (text, status) in [(long_body, "413"), (long_head, "431")] {
            let mut caller = TcpStream::connect(router.callers_address).await.unwrap();
            let (first, rest) = text.split_at(20_000);
            caller.write_all(first.as_bytes()).await.unwrap();
            tokio::time::sleep(Duration::from_millis(number)).await;
            // The connection may be closed for writing already.
            let _ = caller.write_all(rest.as_bytes()).await;
            tokio::time::sleep(Duration::from_millis(10)).await;
            let answer = read_answer(&mut caller).await;
            let answer = answer.unwrap_or_else(|| panic!("{status}, round {number}: reset"));
            assert!(
                answer.starts_with(&format!("HTTP/1.1 {status} ")),
                "{answer}"
            );
        }
    }
    assert!(replicas[0].received().is_empty());
}

/// Guards against routes that are open to all callers once the last team was taken out.
#[tokio::test(flavor = "multi_thread")]
async fn without_any_team_left_requests_are_refused_and_reach_no_server() {
    let (site, replicas) = site_with(&[Behaviour::Answer]).await;
    let router = site.ready_router("r-1").await;
    let mut config = lists(2, AMPLE_PAID_TOKENS);
    config["tenants"] = json!([]);
    site.store.put("config", "main", &config);
    wait_in_force(&router, 2).await;
    for key in [KEY, "of nobody", ""] {
        for route in ["look", "book", "chat", "draft"] {
            let authorization = format!("Token {key}");
            let call = Call::new(route, &format!("a-{route}-{key}"));
            let call = call.with("authorization", &authorization);
            wait_until("the lists are known to be current", || async {
                let got = call.send(router.callers_address).await.unwrap();
                assert!([401, 503].contains(&got.status), "{route}: {}", got.status);
                got.status == 401
            })
            .await;
        }
    }
    assert_eq!(replicas[0].received().len(), 0);
}

/// Guards against refusing all callers of a site that has never had a list of teams.
#[tokio::test(flavor = "multi_thread")]
async fn without_a_list_of_teams_no_key_is_needed() {
    let (site, _replicas) = site_with(&[Behaviour::Answer]).await;
    let router = site.ready_router("r-1").await;
    let mut config = lists(2, AMPLE_PAID_TOKENS);
    config.as_object_mut().unwrap().remove("tenants");
    site.store.put("config", "main", &config);
    wait_in_force(&router, 2).await;
    let call = Call::new("look", "a-1").with("authorization", "Token of nobody");
    let got = call.send(router.callers_address).await.unwrap();
    assert_eq!(got.status, 200);
}

async fn wait_in_force(router: &Router, version: u64) {
    wait_until("the version is in force", || async {
        let lines = router.log_lines("configuration in force");
        lines.iter().any(|line| line["config_version"] == version)
    })
    .await;
}

/// Routes by which the configuration grows, and versions of it.
const ADDED_ROUTES: usize = 400;
const VERSIONS: u64 = 30;

/// Returns the value of a metric.
fn metric(text: &str, name: &str) -> usize {
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    line.unwrap().trim().parse().unwrap()
}

/// Guards against routers that keep each version of the configuration, and exceed their memory limit
/// all at once when a long one changes often.
#[tokio::test(flavor = "multi_thread")]
async fn routers_keep_only_the_newest_version_of_a_long_configuration() {
    let (site, _replicas) = site_with(&[Behaviour::Answer]).await;
    let fleet = [
        site.ready_router("r-1").await,
        site.ready_router("r-2").await,
    ];
    let mut length = 0;
    for version in 2..=VERSIONS {
        let mut config = lists(version, AMPLE_PAID_TOKENS);
        let routes = config["routes"].as_array_mut().unwrap();
        for number in 0..ADDED_ROUTES {
            let mut added = routes[0].clone();
            added["name"] = format!("added-{number}").into();
            added["path_prefix"] = format!("/added-{number}/").into();
            routes.push(added);
        }
        routes[0]["timeout_ms"] = (5_000 - version).into();
        length = config.to_string().len();
        site.store.put("config", "main", &config);
        wait_until("the version is in force", || async {
            fleet.iter().all(|router| {
                let lines = router.log_lines("configuration in force");
                lines
                    .last()
                    .is_some_and(|line| line["config_version"] == version)
            })
        })
        .await;
    }
    for router in &fleet {
        let name = "currantlever_feed_value_bytes{kind=\"config\"}";
        let held = metric(&router.metrics().await, name);
        assert!(held <= 2 * length, "{held} bytes of {length} each");
    }
}
