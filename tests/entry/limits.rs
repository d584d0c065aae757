//! Time limits for slow callers.

use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::replica::Behaviour;
use super::site::{Call, HOST, KEY};
use super::site_with;

/// Configured maximum time for receiving a request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(3);

/// Guards against connections that are held open forever by incomplete request heads.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_whose_request_head_is_not_complete_in_time_is_closed() {
    let (site, _replicas) = site_with(&[Behaviour::Answer]).await;
    let router = site.ready_router("r-1").await;
    let mut slow = TcpStream::connect(router.callers_address).await.unwrap();
    // The connection has served a request and then been idle; neither shortens nor extends the
    // limit.
    let request = format!(
        "GET /look/x HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Token {KEY}\r\n\
         Currantlever-Attempt-Id: a-1\r\n\r\n"
    );
    slow.write_all(request.as_bytes()).await.unwrap();
    let mut answer = [0; 4_096];
    assert!(slow.read(&mut answer).await.unwrap() > 0);
    tokio::time::sleep(HEAD_TIMEOUT / 2).await;
    let head_started = Instant::now();
    slow.write_all(b"GET /look/x HTTP/1.1\r\nX-Slow: ")
        .await
        .unwrap();
    let closed = async {
        loop {
            tokio::select! {
                read = slow.read(&mut answer) => match read {
                    Ok(0) | Err(_) => return,
                    Ok(_) => {}
                },
                () = tokio::time::sleep(Duration::from_millis(200)) => {
                    // Received bytes do not extend the limit.
                    let _ = slow.write_all(b"x").await;
                }
            }
        }
    };
    tokio::time::timeout(2 * HEAD_TIMEOUT, closed)
        .await
        .expect("the connection is closed");
    assert!(head_started.elapsed() + Duration::from_millis(100) >= HEAD_TIMEOUT);
    let call = Call::new("look", "a-2").send(router.callers_address).await;
    assert_eq!(call.unwrap().status, 200);
}

/// Guards against requests that are held forever by incomplete bodies.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_body_is_not_complete_at_its_deadline_is_refused_then() {
    let (site, replicas) = site_with(&[Behaviour::Answer]).await;
    let router = site.ready_router("r-1").await;
    let mut slow = TcpStream::connect(router.callers_address).await.unwrap();
    let head = format!(
        "POST /book/x HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Token {KEY}\r\n\
         Currantlever-Attempt-Id: a-1\r\nCurrantlever-Deadline-Ms: 500\r\n\
         Content-Length: 100\r\n\r\nhalf"
    );
    slow.write_all(head.as_bytes()).await.unwrap();
    let mut answer = [0; 4_096];
    let read = tokio::time::timeout(Duration::from_secs(3), slow.read(&mut answer));
    let count = read.await.expect("the request is answered").unwrap();
    let answer = String::from_utf8_lossy(&answer[..count]);
    assert!(answer.starts_with("HTTP/1.1 408 "), "{answer}");
    assert!(replicas[0].received().is_empty());
}
