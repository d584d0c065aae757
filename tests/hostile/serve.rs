//! Crowds at the product's own interface.

use std::time::Duration;

use bytes::Bytes;
use currantlever::fakes::engine::EnginePace;
use currantlever::fakes::fleet::key_of;

use super::common::client::{send_call, wait_for, wait_ready};
use super::common::process::ProcessSite;
use super::crowds::{pieces, send_and_stay, take_turn};
use super::measure::Meter;

/// Memory of a small VM.
const MEMORY_MB: u64 = 110;
/// Largest body in the settings, by default.
const MAX_BODY_BYTES: usize = 1 << 20;
const CROWD: usize = 150;
const CROWD_STAY: Duration = Duration::from_secs(4);

/// Guards against bodies of legal size that use up the memory together.
#[tokio::test(flavor = "multi_thread")]
async fn many_bodies_at_the_products_own_interface_do_not_use_up_the_memory() {
    let _turn = take_turn().await;
    let pace = EnginePace::default();
    let mut site = ProcessSite::start(1, pace).await;
    let address = site.routers[0].address;
    wait_ready(&site.addresses()).await;
    let meter = Meter::start(site.routers[0].child.id(), vec![address]);
    let mut crowd = tokio::task::JoinSet::new();
    for number in 0..CROWD {
        let head = format!(
            "POST /services/orders/paper/1 HTTP/1.1\r\nHost: router\r\n\
             Authorization: Bearer {}\r\nIdempotency-Key: crowd-{number}\r\n\
             Content-Length: {MAX_BODY_BYTES}\r\n\r\n",
            key_of("rich")
        );
        let mut request = vec![Bytes::from(head)];
        request.extend(pieces(MAX_BODY_BYTES - 1, 65_536));
        crowd.spawn(send_and_stay(address, request));
    }
    tokio::time::sleep(CROWD_STAY).await;
    for when in ["meanwhile", "afterwards"] {
        wait_for(&format!("a call is answered {when}"), || async {
            let id = format!("ordinary-{when}");
            send_call(address, "rich", "GET", &id).await.is_whole()
        })
        .await;
        crowd.shutdown().await;
    }
    let usage = meter.stop().await;
    println!(
        "{} MB, {} descriptors",
        usage.memory_bytes >> 20,
        usage.descriptors
    );
    assert!(site.routers[0].child.try_wait().unwrap().is_none());
    assert!(usage.memory_bytes < MEMORY_MB << 20, "{usage:?}");
}
