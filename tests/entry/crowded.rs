//! More connections of callers than a VM has memory for.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use super::replica::Behaviour;
use super::site::{wait_ready, wait_until, Call, Router, HOST, KEY};
use super::{events, site_with};

/// Memory in the settings, which allows for 90 connections.
const MEMORY_MB: f64 = 5.0;
const MAX_CONNECTIONS: usize = 90;
const IDLE_CONNECTIONS: usize = 200;
const STREAMS: usize = 6;

/// Opens a connection and sends one request on it, whose answer it reads.
async fn idle_connection(router: &Router, number: usize) -> TcpStream {
    let mut stream = TcpStream::connect(router.callers_address).await.unwrap();
    let request = format!(
        "POST /nowhere/x HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Token {KEY}\r\n\
         Currantlever-Attempt-Id: idle-{number}\r\nContent-Length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = [0; 4096];
    assert!(stream.read(&mut answer).await.unwrap() > 0);
    stream
}

/// Guards against a process that kept connections drive over its memory limit, and against cutting
/// requests in progress to prevent that.
#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_are_closed_when_there_are_too_many_and_no_request_is_cut() {
    let stream = Behaviour::Stream {
        events: 40,
        pause: Duration::from_millis(100),
    };
    let (site, _replicas) = site_with(&[stream]).await;
    let mut router = site.ready_router("r-1").await;
    router.change_setting("memory_mb", &serde_json::json!(MEMORY_MB));
    router.kill();
    router.restart();
    wait_ready(&router).await;
    let mut streams = JoinSet::new();
    for number in 0..STREAMS {
        let address = router.callers_address;
        streams.spawn(async move {
            let call = Call::new("draft", &format!("stream-{number}"));
            call.send(address).await.unwrap()
        });
    }
    let mut idle = JoinSet::new();
    for number in 0..IDLE_CONNECTIONS {
        let mut connection = idle_connection(&router, number).await;
        idle.spawn(async move {
            let mut rest = Vec::new();
            connection.read_to_end(&mut rest).await.unwrap();
            assert!(rest.is_empty());
        });
    }
    let mut open_idle = IDLE_CONNECTIONS;
    while open_idle + STREAMS > MAX_CONNECTIONS {
        let closed = tokio::time::timeout(Duration::from_secs(10), idle.join_next()).await;
        closed.unwrap().unwrap().unwrap();
        open_idle -= 1;
    }
    while let Some(answer) = streams.join_next().await {
        let answer = answer.unwrap();
        assert!(answer.is_whole);
        assert_eq!(answer.body, events(1..=40));
    }
    wait_until("the usual timeout applies again", || async {
        let lines = router.log_lines("idle timeout of callers changed");
        lines.last().is_some_and(|line| line["is_crowded"] == false)
    })
    .await;
}
