//! Answers that break off in their head, or before the first byte of their body.

use super::replica::{Behaviour, FakeReplica};
use super::site::{Call, Router};
use super::site_with;

const ROUTES: [&str; 4] = ["look", "book", "chat", "draft"];
/// Bytes by which the breaks are apart.
const STEP_BYTES: usize = 11;

/// Heads of whole answers by how they state their length, and how much may follow without any of
/// the body being complete.
fn heads() -> [(&'static str, String); 3] {
    let head = |framing: &str| {
        format!(
            "HTTP/1.1 200 OK\r\nCurrantlever-Attempt-Id: {{id}}\r\n\
             Currantlever-Replica-Signature: sig\r\nContent-Type: text/event-stream\r\n{framing}\r\n"
        )
    };
    [
        ("length", head("Content-Length: 26\r\n")),
        ("chunks", head("Transfer-Encoding: chunked\r\n") + "1a"),
        ("none", head("")),
    ]
}

/// Sends a request whose answer breaks off after some text, and then one that resets the failures
/// of the server. Returns true if the first one was answered with a success as whole.
async fn is_forged(router: &Router, server: &FakeReplica, text: &str, case: &str) -> bool {
    server.set_behaviour(Behaviour::Raw(text.to_owned()));
    let received = server.received().len();
    let route = ROUTES[received % ROUTES.len()];
    let call = Call::new(route, &format!("broken-{case}"));
    let answer = call.send(router.callers_address).await;
    assert!(server.received().len() > received, "not sent: {case}");
    server.set_behaviour(Behaviour::Answer);
    let call = Call::new("look", &format!("whole-{case}"));
    let whole = call.send(router.callers_address).await.unwrap();
    assert_eq!(whole.status, 200, "{case}");
    answer.is_ok_and(|answer| answer.is_whole && (200..300).contains(&answer.status))
}

/// Guards against a success with a short or empty body, framed as whole, when a server stops in the
/// middle of its answer's head and closes.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_breaks_off_in_its_head_is_never_forwarded_as_whole() {
    let (site, servers) = site_with(&[Behaviour::Answer]).await;
    let router = site.ready_router("r-1").await;
    let mut forged = Vec::new();
    for (framing, head) in heads() {
        // The last bytes end the head, after which an answer without a length is whole.
        let lengths = (0..head.len() - 2).step_by(STEP_BYTES);
        for length in lengths.chain(head.len() - 8..head.len() - 1) {
            let case = format!("{framing}-{length}");
            if is_forged(&router, &servers[0], &head[..length], &case).await {
                forged.push(case);
            }
        }
    }
    assert_eq!(forged, Vec::<String>::new());
}
