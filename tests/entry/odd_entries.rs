//! Entries of other writers that cannot be read or hold values out of range.

use super::replica::{Behaviour, FakeReplica};
use super::site::{wait_ready, Call, Site};
use super::{site_with, AMPLE_PAID_TOKENS};

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
