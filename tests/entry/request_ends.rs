//! Log lines and counts of how callers' requests end.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::replica::Behaviour;
use super::site::{wait_until, Call, Router, HOST, KEY};
use super::site_with;

/// Time between two events, longer than the test takes.
const LONG_PAUSE: Duration = Duration::from_secs(30);

async fn has_metric(router: &Router, line: &str) -> bool {
    let text = router.metrics().await;
    text.lines().any(|other| other == line)
}

/// Sends bytes, reads until `expected` bytes were received, and closes the connection.
async fn send_and_leave(router: &Router, text: &str, expected: usize) {
    let mut caller = TcpStream::connect(router.callers_address).await.unwrap();
    caller.write_all(text.as_bytes()).await.unwrap();
    let mut answer = [0; 64];
    let mut received = 0;
    while received < expected {
        received += caller.read(&mut answer).await.unwrap();
    }
}

fn head(attempt: &str) -> String {
    format!(
        "POST /draft/x HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Token {KEY}\r\n\
         Currantlever-Attempt-Id: {attempt}\r\nContent-Length: 5\r\n\r\n"
    )
}

/// Guards against a request that was read and leaves no trace when it ends without an answer.
#[tokio::test(flavor = "multi_thread")]
async fn each_request_that_was_read_is_counted_and_logged_when_it_ends_without_a_whole_answer() {
    let (site, replicas) = site_with(&[Behaviour::Answer]).await;
    let router = site.ready_router("r-1").await;
    let address = router.callers_address;
    let call = |route, attempt| {
        let call = Call::new(route, attempt);
        async move { call.send(address).await }
    };
    assert_eq!(call("book", "whole").await.unwrap().status, 200);
    assert_eq!(call("book", "").await.unwrap().status, 400);
    replicas[0].set_behaviour(Behaviour::BreakStream { after: 3 });
    assert!(!call("draft", "cut").await.unwrap().is_whole);
    replicas[0].set_behaviour(Behaviour::Stream {
        events: 2,
        pause: LONG_PAUSE,
    });
    send_and_leave(&router, &format!("{}whole", head("left")), 1).await;
    send_and_leave(&router, &format!("{}half", head("half")), 0).await;
    for line in [
        "currantlever_requests_read 5",
        "currantlever_requests_ended{end=\"answered\"} 2",
        "currantlever_requests_ended{end=\"answer_cut\"} 1",
        "currantlever_requests_ended{end=\"connection_ended\"} 1",
        "currantlever_requests_ended{end=\"connection_ended_in_body\"} 1",
        "currantlever_streams_left{result=\"cut\"} 1",
    ] {
        wait_until(line, || has_metric(&router, line)).await;
    }
    wait_until("each end is logged", || async {
        router.log_lines("request ended without whole answer").len() == 3
    })
    .await;
    let lines = router.log_lines("request ended without whole answer");
    let mut ends: Vec<String> = lines
        .iter()
        .map(|line| format!("{} {}", line["request"], line["end"]).replace('"', ""))
        .collect();
    ends.sort();
    assert_eq!(
        ends,
        [
            "cut answer_cut",
            "half connection_ended_in_body",
            "left connection_ended"
        ]
    );
    let cut = &router.log_lines("stream cut")[0];
    assert_eq!(cut["request"], "cut");
    assert_eq!(cut["not_resumed"], "the route does not allow it");
}
