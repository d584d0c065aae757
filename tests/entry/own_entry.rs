//! The entry of a router in the store, by which the others find it.

use super::replica::Behaviour;
use super::site::{get, wait_until};
use super::site_with;

/// Guards against a router that no other finds, since its entry was removed by a late call of the
/// process before on its VM.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_whose_entry_is_removed_registers_again_until_it_leaves() {
    let (site, _replicas) = site_with(&[Behaviour::Answer]).await;
    let mut router = site.ready_router("r-0").await;
    let is_registered = || async { site.store.names("routers").len() == 1 };
    wait_until("the router is registered", is_registered).await;
    site.wait_until_watched().await;
    let name = site.store.names("routers").remove(0);
    for _ in 0..2 {
        site.store.remove("routers", &name);
        assert!(site.store.names("routers").is_empty());
        wait_until("the router is registered again", is_registered).await;
    }
    let other = site.ready_router("r-1").await;
    wait_until("both are told to callers", || async {
        let resolved = get(other.registry_address, "/resolve?name=x&region=r&zone=a");
        let body = resolved.await.unwrap().body;
        let body: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
        body["addresses"]
            .as_array()
            .is_some_and(|addresses| addresses.len() == 2)
    })
    .await;
    router.terminate();
    assert_eq!(router.exit_code().await, Some(0));
    assert!(!site.store.names("routers").contains(&name));
}
