//! Entries of other writers that cannot be read or hold values out of range.

use std::time::Duration;

use super::feed::Fleet;
use super::replica::{Behaviour, FakeReplica};
use super::site::{get, wait_ready, wait_until, Call, Router, Site};
use super::store::StoreFaults;
use super::{site_with, AMPLE_PAID_TOKENS};

/// Kinds that routers read.
const KINDS: [&str; 5] = [
    "servers",
    "config",
    "routers",
    "token-ledgers",
    "quarantined-requests",
];
/// Most log lines about one odd entry.
const MAX_LOG_LINES: usize = 2;
/// Time in which repeated log lines would show.
const QUIET_TIME: Duration = Duration::from_secs(2);

/// Returns an entry of a replica with one field replaced by raw bytes.
fn entry_with(field: &str, value: &[u8]) -> Vec<u8> {
    let fields = [
        ("service", "\"pool\""),
        ("address", "\"127.0.0.1:9\""),
        ("zone", "\"a\""),
        ("version", "\"v1\""),
        ("slots", "8"),
        ("phase", "\"ready\""),
        ("cold_left_ms", "0"),
        ("sequence", "1"),
        ("born", "1000"),
    ];
    let mut entry = b"{".to_vec();
    for (name, usual) in fields {
        if name != field {
            entry.extend(format!("\"{name}\":{usual},").as_bytes());
        }
    }
    entry.extend(format!("\"{field}\":").as_bytes());
    entry.extend(value);
    entry.push(b'}');
    entry
}

fn nested(levels: usize) -> Vec<u8> {
    [b"[".repeat(levels), b"]".repeat(levels)].concat()
}

fn nested_objects(levels: usize) -> Vec<u8> {
    [
        b"{\"a\":".repeat(levels),
        b"0".to_vec(),
        b"}".repeat(levels),
    ]
    .concat()
}

/// Returns values that name no replica, with their names.
fn odd_values() -> Vec<(String, Vec<u8>)> {
    let mut values: Vec<(String, Vec<u8>)> = Vec::new();
    let mut add = |name: &str, value: Vec<u8>| values.push((format!("odd-{name}"), value));
    let digits = [b"1".to_vec(), b"0".repeat(400)].concat();
    add("born-1e400", entry_with("born", b"1e400"));
    add("born-digits", entry_with("born", &digits));
    add("born-1e300", entry_with("born", b"1e300"));
    add("born-negative", entry_with("born", b"-5"));
    add("born-2-64", entry_with("born", b"18446744073709551616"));
    add("born-nan", entry_with("born", b"NaN"));
    add("slots-2-64", entry_with("slots", b"18446744073709551615"));
    add("slots-digits", entry_with("slots", &digits));
    add("slots-text", entry_with("slots", b"\"8\""));
    add("port-99999", entry_with("address", b"\"127.0.0.1:99999\""));
    add("port-negative", entry_with("address", b"\"127.0.0.1:-1\""));
    add("address-null", entry_with("address", b"null"));
    add("phase-unknown", entry_with("phase", b"\"asleep\""));
    add("service-list", entry_with("service", b"[]"));
    add(
        "long-zone",
        entry_with(
            "zone",
            &[b"\"".to_vec(), b"z".repeat(100_000), b"\"".to_vec()].concat(),
        ),
    );
    add("bytes", entry_with("zone", b"\"\xff\xfe\x80\""));
    add("bytes-of-unread-field", entry_with("note", b"\"\xc3\x28\""));
    add("half-character", entry_with("zone", b"\"\xe2\x82\""));
    add("escape", entry_with("zone", b"\"\\x41\""));
    add("escape-digits", entry_with("zone", b"\"\\uZZZZ\""));
    add("control", entry_with("zone", b"\"a\x01b\""));
    add(
        "duplicate",
        [
            b"{\"slots\":8,".to_vec(),
            entry_with("slots", b"9")[1..].to_vec(),
        ]
        .concat(),
    );
    add("deep-5000", nested(5_000));
    add("deep-million", nested(1_000_000));
    add("deep-objects", nested_objects(100_000));
    add("deep-field", entry_with("zone", &nested(5_000)));
    add("null", b"null".to_vec());
    add("text", b"\"text\"".to_vec());
    add("number", b"1e400".to_vec());
    values
}

async fn is_alive(router: &Router) -> bool {
    matches!(get(router.ready_address, "/readyz").await, Ok(answer) if answer.status == 200)
}

fn put_all(site: &Site, kind: &str) {
    for (name, value) in odd_values() {
        site.store.put_raw(kind, &name, &value);
    }
}

/// Checks that a replica that registers now becomes known, and that its removal does too.
async fn assert_follows(site: &Site, routers: &[&Router], id: &str) {
    let replica = FakeReplica::start(id, Behaviour::Answer).await;
    site.register(&replica);
    let has_line = |router: &&Router, message: &str| {
        let lines = router.log_lines(message);
        lines.iter().any(|line| line["replica"] == *id)
    };
    wait_until("a later entry becomes known", || async {
        let mut known = routers.iter();
        known.all(|router| has_line(router, "replica added or updated"))
    })
    .await;
    site.store.remove("servers", id);
    wait_until("its removal becomes known", || async {
        let gone = |router: &&Router| {
            has_line(router, "replica removed") || has_line(router, "entry expired; kept for now")
        };
        routers.iter().all(gone)
    })
    .await;
    for router in routers {
        assert!(is_alive(router).await);
        let known = router.log_lines("replica added or updated");
        let is_odd =
            |line: &&serde_json::Value| line["replica"].as_str().unwrap().starts_with("odd");
        assert_eq!(known.iter().find(is_odd), None);
        assert_eq!(router.log_lines("started").len(), 1);
    }
}

/// Checks that each odd entry was logged, and not over and over.
async fn assert_logged(router: &Router, message: &str, names: &[String]) {
    let lines_of = |name: &String| {
        let lines = router.log_lines(message);
        lines.iter().filter(|line| line["object"] == **name).count()
    };
    wait_until("all odd entries are logged", || async {
        names.iter().all(|name| lines_of(name) > 0)
    })
    .await;
    tokio::time::sleep(QUIET_TIME).await;
    for name in names {
        assert!(lines_of(name) <= MAX_LOG_LINES, "{name}");
    }
}

fn names() -> Vec<String> {
    odd_values().into_iter().map(|(name, _)| name).collect()
}

/// Guards against a router that ends, or stops following the replicas, when one odd entry comes by
/// a watch.
#[tokio::test(flavor = "multi_thread")]
async fn odd_entries_of_replicas_in_a_watch_name_no_replica_and_stop_nothing() {
    let (site, _replicas) = site_with(&[Behaviour::Answer]).await;
    let router = site.ready_router("r-1").await;
    site.wait_until_watched().await;
    for (number, (name, value)) in odd_values().into_iter().enumerate() {
        site.store.put_raw("servers", &name, &value);
        if number % 8 == 0 {
            assert_follows(&site, &[&router], &format!("i-{number}-{name}")).await;
        }
    }
    assert_follows(&site, &[&router], "i-later").await;
    assert_logged(&router, "replica's entry cannot be used", &names()).await;
    let got = Call::new("look", "a-1").send(router.callers_address).await;
    assert_eq!(got.unwrap().status, 200);
}

/// Guards against the same where the odd entries are in the first listing, on any of its pages.
#[tokio::test(flavor = "multi_thread")]
async fn odd_entries_of_replicas_in_a_listing_name_no_replica_and_stop_nothing() {
    for page_items in [None, Some(1), Some(3)] {
        let (site, _replicas) = site_with(&[Behaviour::Answer]).await;
        put_all(&site, "servers");
        site.store.put_raw("servers", "odd name&after=z%", b"null");
        site.store.set_faults(StoreFaults {
            page_items,
            ..StoreFaults::default()
        });
        let router = site.ready_router("r-1").await;
        site.wait_until_watched().await;
        assert_follows(&site, &[&router], "i-later").await;
        assert_logged(&router, "replica's entry cannot be used", &names()).await;
    }
}

/// Guards against the same where the odd entries come from another router.
#[tokio::test(flavor = "multi_thread")]
async fn odd_entries_of_replicas_in_the_feed_between_routers_stop_nothing() {
    let fleet = Fleet::start().await;
    put_all(&fleet.site, "servers");
    let members: Vec<&Router> = fleet.members().collect();
    assert_follows(&fleet.site, &members, "i-later").await;
    assert_logged(members[0], "replica's entry cannot be used", &names()).await;
}

/// Guards against odd objects of the other kinds that stop a router from serving, or from following
/// any kind.
#[tokio::test(flavor = "multi_thread")]
async fn odd_objects_of_other_kinds_stop_nothing() {
    for is_listed in [false, true] {
        let (site, _replicas) = site_with(&[Behaviour::Answer]).await;
        let put = || {
            for kind in KINDS {
                put_all(&site, kind);
            }
            // The names of objects that routers read.
            site.store
                .put_raw("quarantined-requests", "00000000000000ff", &nested(5_000));
            site.store.put_raw(
                "routers",
                "127.0.0.1-9",
                b"{\"peer_address\":\"127.0.0.1:99999\"}",
            );
        };
        if is_listed {
            put();
        }
        let router = site.ready_router("r-1").await;
        site.wait_until_watched().await;
        if !is_listed {
            put();
        }
        assert_follows(&site, &[&router], "i-later").await;
        site.store
            .put("config", "main", &super::lists(7, AMPLE_PAID_TOKENS));
        wait_until("a later configuration is in force", || async {
            let lines = router.log_lines("configuration in force");
            lines.iter().any(|line| line["config_version"] == 7)
        })
        .await;
        let call = Call::new("look", "a-1").with_tokens(100, 10);
        assert_eq!(call.send(router.callers_address).await.unwrap().status, 200);
        let lines_before = router.log().len();
        tokio::time::sleep(QUIET_TIME).await;
        let new_lines = router.log().len() - lines_before;
        assert!(new_lines < 40, "{new_lines} lines in {QUIET_TIME:?}");
    }
}

/// Guards against an unreadable ledger that is taken for an empty one, so that the budget is spent
/// twice, or that stops requests without a token bound.
#[tokio::test(flavor = "multi_thread")]
async fn an_unreadable_ledger_grants_nothing_and_stops_no_other_request() {
    for value in [
        &nested(1_000_000)[..],
        b"\"\xff\"",
        b"{\"entries\":{\"red\":{\"paid_tokens\":1e400}}}",
    ] {
        let (site, _replicas) = site_with(&[Behaviour::Answer]).await;
        site.store.put_raw("token-ledgers", "all", value);
        let router = site.ready_router("r-1").await;
        let bounded = Call::new("look", "a-1").with_tokens(100, 10);
        let got = bounded.send(router.callers_address).await.unwrap();
        assert!([429, 503].contains(&got.status), "{}", got.status);
        let got = Call::new("look", "a-2").send(router.callers_address).await;
        assert_eq!(got.unwrap().status, 200);
        tokio::time::sleep(QUIET_TIME).await;
        assert_eq!(router.log_lines("ledger unavailable").len(), 1);
        assert!(is_alive(&router).await);
    }
}

/// Guards against an overflow or a division by zero in the choice of a replica.
#[tokio::test(flavor = "multi_thread")]
async fn extreme_numbers_of_slots_do_not_stop_requests() {
    for slots in ["0", "4294967295"] {
        let site = Site::start(AMPLE_PAID_TOKENS).await;
        let replica = FakeReplica::start("i-0", Behaviour::Answer).await;
        let text = String::from_utf8(entry_with("slots", slots.as_bytes())).unwrap();
        let entry = text.replace("127.0.0.1:9", &replica.address().to_string());
        site.store.put_raw("servers", "i-0", entry.as_bytes());
        let router = site.router("r-1");
        wait_ready(&router).await;
        for number in 0..5 {
            for call in [
                Call::new("look", &format!("a-{number}")),
                Call::new("look", &format!("b-{number}")).with_tokens(100, 10),
            ] {
                let got = call.send(router.callers_address).await;
                assert_eq!(got.map(|got| got.status), Ok(200), "{slots} slots");
            }
        }
        assert_eq!(replica.received().len(), 10);
    }
}

/// Guards against an overflow where a service sets no limit of connections.
#[tokio::test(flavor = "multi_thread")]
async fn a_service_without_a_connection_limit_is_served() {
    let (site, _replicas) = site_with(&[Behaviour::Answer]).await;
    let mut lists = super::lists(2, AMPLE_PAID_TOKENS);
    lists["services"][0]
        .as_object_mut()
        .unwrap()
        .remove("max_conns");
    site.store.put("config", "main", &lists);
    let router = site.ready_router("r-1").await;
    let got = Call::new("look", "a-1").send(router.callers_address).await;
    assert_eq!(got.map(|got| got.status), Ok(200));
}
