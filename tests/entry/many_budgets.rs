//! Routers that hold tokens of many budgets.

use std::time::Duration;

use serde_json::{json, Value};

use super::replica::Behaviour;
use super::site::{lists, wait_until, Call};
use super::{site_with, AMPLE_PAID_TOKENS};

const BUDGETS: usize = 1_500;
/// Requests that are sent at the same time.
const CONCURRENT_CALLS: usize = 20;
/// Time for which the routers are watched: several times that after which one counts as gone.
const WATCH_TIME: Duration = Duration::from_secs(10);

fn many_teams() -> Value {
    let mut config = lists(2, AMPLE_PAID_TOKENS);
    let teams: Vec<Value> = (0..BUDGETS)
        .map(|number| {
            json!({
                "name": format!("team-{number}"), "api_keys": [format!("key-{number}")],
                "priority": 1, "prepaid": AMPLE_PAID_TOKENS,
            })
        })
        .collect();
    config["tenants"] = teams.into();
    config
}

/// Guards against hellos that become too long to be received, so that live routers count one another
/// as gone and remove each other's entries.
#[tokio::test(flavor = "multi_thread")]
async fn routers_that_hold_tokens_of_many_budgets_are_not_counted_as_gone() {
    let (site, _replicas) = site_with(&[Behaviour::Answer]).await;
    site.store.put("config", "main", &many_teams());
    let mut routers = Vec::new();
    for number in 0..3 {
        routers.push(site.ready_router(&format!("r-{number}")).await);
    }
    wait_until("all routers know one another", || async {
        let discovered = routers
            .iter()
            .map(|router| router.log_lines("router discovered"));
        discovered.clone().all(|lines| lines.len() >= 2)
    })
    .await;
    let address = routers[0].callers_address;
    for first in (0..BUDGETS).step_by(CONCURRENT_CALLS) {
        let calls = (first..first + CONCURRENT_CALLS).map(|number| async move {
            let call = Call::new("look", &format!("a-{number}"))
                .with("authorization", &format!("Token key-{number}"))
                .with_tokens(100, 10);
            // Whether it is served does not matter here.
            let _ = call.send(address).await;
        });
        futures::future::join_all(calls).await;
    }
    tokio::time::sleep(WATCH_TIME).await;
    for router in &routers {
        let timed_out = router.log_lines("router timed out");
        assert!(timed_out.is_empty(), "{timed_out:?}");
    }
}
