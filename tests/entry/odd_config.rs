//! Configurations with parts that cannot be read or have unusual names. They hold back nothing else.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde_json::{json, Value};

use super::replica::Behaviour;
use super::site::{lists, wait_until, Call, KEY};
use super::{site_with, AMPLE_PAID_TOKENS};

type Change = Box<dyn Fn(&mut Value) + Send>;

const NEW_KEY: &str = "key-of-another";

/// Returns a version in which the key of the first team is revoked and another team was added.
fn revoking(name: &str) -> Value {
    let mut config = lists(2, AMPLE_PAID_TOKENS);
    config["tenants"] = json!([
        {"name": "red", "api_keys": [], "priority": 1, "prepaid": AMPLE_PAID_TOKENS},
        {"name": name, "api_keys": [NEW_KEY], "priority": 1, "prepaid": AMPLE_PAID_TOKENS},
    ]);
    config
}

fn call(key: &str, attempt: &str) -> Call {
    Call::new("look", attempt)
        .with("authorization", &format!("Token {key}"))
        .with_tokens(100, 10)
}

/// Guards against a name that stops a version, and with it the revocation of a key.
#[tokio::test(flavor = "multi_thread")]
async fn a_team_of_any_name_is_served_and_a_key_revoked_beside_it_is_refused() {
    let long = "x".repeat(300);
    for name in [
        "Paju Bindery",
        "종이 제본소",
        "a/b=c,d;\"e\"",
        long.as_str(),
    ] {
        let (site, replicas) = site_with(&[Behaviour::Answer]).await;
        let router = site.ready_router("r-1").await;
        site.store.put("config", "main", &revoking(name));
        wait_until(&format!("the old key is refused beside {name}"), || async {
            let got = call(KEY, "a-old").send(router.callers_address).await;
            got.unwrap().status == 401
        })
        .await;
        let got = call(NEW_KEY, "a-new").send(router.callers_address).await;
        assert_eq!(got.unwrap().status, 200, "{name}");
        let received = replicas[0].received();
        let received = received.last().unwrap();
        assert_eq!(received.header("currantlever-tenant"), Some(name));
        assert!(received.header("authorization").is_none());
    }
}

/// Guards against the same for parts that cannot be read, and against a part that is left out
/// silently.
#[tokio::test(flavor = "multi_thread")]
async fn a_part_that_cannot_be_read_is_left_out_and_all_else_is_in_force() {
    let added = |list: &'static str, part: Value| {
        move |config: &mut Value| config[list].as_array_mut().unwrap().push(part.clone())
    };
    let odd: [Change; 5] = [
        Box::new(added("tenants", json!({"name": 7}))),
        Box::new(added("tenants", json!("red"))),
        Box::new(added("routes", json!({"name": "x"}))),
        Box::new(added("services", json!(null))),
        Box::new(|config| config["limits"]["max_body_bytes"] = json!("many")),
    ];
    let (site, _replicas) = site_with(&[Behaviour::Answer]).await;
    let router = site.ready_router("r-1").await;
    let router_address = router.callers_address;
    for (index, change) in odd.into_iter().enumerate() {
        let version = 2 + index as u64;
        let mut config = revoking("green");
        config["version"] = version.into();
        change(&mut config);
        site.store.put("config", "main", &config);
        wait_until(&format!("version {version} is in force"), || async {
            let lines = router.log_lines("configuration in force");
            lines.iter().any(|line| line["config_version"] == version)
        })
        .await;
        let left_out = router.log_lines("part of the configuration left out");
        assert_eq!(left_out.len(), index + 1);
        let status_of = |key: &'static str| async move {
            let attempt = format!("{key}-{index}");
            let got = call(key, &attempt).send(router_address).await;
            got.unwrap().status
        };
        // Until the lists are known to be current, the refusal is 503.
        wait_until("the old key is refused", || async {
            let status = status_of(KEY).await;
            assert_ne!(status, 200);
            status == 401
        })
        .await;
        assert_eq!(status_of(NEW_KEY).await, 200);
    }
}

/// Versions with random changes, and the seed of these.
const MUTATED_VERSIONS: u64 = 150;
const SEED: u64 = 49;

/// Changes some characters of a configuration's text after its version.
fn mutate(config: &Value, version: u64, random: &mut SmallRng) -> String {
    const PIECES: [&str; 10] = ["{", "}", "[", "]", ",", "\"", ":", "0", "null", "é"];
    let mut config = config.clone();
    config.as_object_mut().unwrap().remove("version");
    let mut text: Vec<char> = config.to_string().chars().skip(1).collect();
    for _ in 0..random.random_range(1..4) {
        let at = random.random_range(0..text.len());
        let piece = PIECES[random.random_range(0..PIECES.len())];
        let removed = random.random_range(0..8).min(text.len() - at);
        text.splice(at..at + removed, piece.chars());
    }
    let rest: String = text.into_iter().collect();
    format!("{{\"version\":{version},{rest}")
}

/// Guards against a panic of the decoder, a version that stops all later ones, and a revoked key that
/// is valid again.
#[tokio::test(flavor = "multi_thread")]
async fn configurations_with_random_changes_bring_no_revoked_key_back_and_stop_nothing() {
    let (site, _replicas) = site_with(&[Behaviour::Answer]).await;
    let mut router = site.ready_router("r-1").await;
    let mut config = revoking("green");
    site.store.put("config", "main", &config);
    let address = router.callers_address;
    let status_of = |key: &'static str| async move {
        let got = call(key, "a-1").send(address).await;
        got.unwrap().status
    };
    wait_until("the old key is refused", || async {
        status_of(KEY).await == 401
    })
    .await;
    let mut random = SmallRng::seed_from_u64(SEED);
    for version in 3..3 + MUTATED_VERSIONS {
        let text = mutate(&config, version, &mut random);
        site.store.put_raw("config", "main", text.as_bytes());
        assert_ne!(status_of(KEY).await, 200, "{text}");
    }
    assert!(router.is_running());
    config["version"] = (3 + MUTATED_VERSIONS).into();
    site.store.put("config", "main", &config);
    wait_until("the last version is in force", || async {
        status_of(NEW_KEY).await == 200 && status_of(KEY).await == 401
    })
    .await;
}
