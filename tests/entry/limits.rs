//! Callers that take longer than the operator's limits allow.

use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::replica::Behaviour;
use super::site::{Call, HOST, KEY};
use super::site_with;

/// Time that the lists give a caller to send a head.
const HEAD_TIME: Duration = Duration::from_secs(3);

/// Guards against connections that are held for ever by heads that never become whole.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_whose_request_has_no_whole_head_in_time_is_closed() {
    let (site, _replicas) = site_with(&[Behaviour::Answer]).await;
    let router = site.ready_router("r-1").await;
    let mut slow = TcpStream::connect(router.callers).await.unwrap();
    // It has been used before, and is idle for a part of the time.
    let request = format!(
        "GET /look/x HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Token {KEY}\r\n\
         Currantlever-Attempt-Id: a-1\r\n\r\n"
    );
    slow.write_all(request.as_bytes()).await.unwrap();
    let mut answer = [0; 4_096];
    assert!(slow.read(&mut answer).await.unwrap() > 0);
    tokio::time::sleep(HEAD_TIME / 2).await;
    let began = Instant::now();
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
                    // Bytes that come do not give it more time.
                    let _ = slow.write_all(b"x").await;
                }
            }
        }
    };
    tokio::time::timeout(2 * HEAD_TIME, closed)
        .await
        .expect("it is closed");
    assert!(began.elapsed() + Duration::from_millis(100) >= HEAD_TIME);
    let call = Call::new("look", "a-2").send(router.callers).await;
    assert_eq!(call.unwrap().status, 200);
}

/// Guards against requests that are held for ever by bodies that never become whole.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_body_is_not_whole_at_its_deadline_is_answered_then() {
    let (site, replicas) = site_with(&[Behaviour::Answer]).await;
    let router = site.ready_router("r-1").await;
    let mut slow = TcpStream::connect(router.callers).await.unwrap();
    let head = format!(
        "POST /book/x HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Token {KEY}\r\n\
         Currantlever-Attempt-Id: a-1\r\nCurrantlever-Deadline-Ms: 500\r\n\
         Content-Length: 100\r\n\r\nhalf"
    );
    slow.write_all(head.as_bytes()).await.unwrap();
    let mut answer = [0; 4_096];
    let read = tokio::time::timeout(Duration::from_secs(3), slow.read(&mut answer));
    let count = read.await.expect("it is answered").unwrap();
    let answer = String::from_utf8_lossy(&answer[..count]);
    assert!(answer.starts_with("HTTP/1.1 408 "), "{answer}");
    assert!(replicas[0].seen().is_empty());
}
