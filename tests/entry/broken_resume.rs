//! Streams that break off and whose next replica answers with an error or with a stream that does
//! not continue the first one.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::replica::{chunk, event_text, stream_head, Behaviour, FakeReplica};
use super::site::{Call, Router, Site, HOST, KEY};
use super::{events, site_with};

/// Events of a whole stream.
const EVENT_COUNT: u64 = 8;
/// Events that the first replica sends before its stream breaks off.
const EVENTS_BEFORE_BREAK: u64 = 3;
/// Name of the case in which the next replica leaves out an event.
const SKIPPED_EVENT: &str = "a skipped event";
/// A text that callers must not find in a stream.
const ERROR_TEXT: &str = "out of memory";
/// Sites started until a stream is resumed at one. A replica that fails is soon ejected.
const MAX_SITES: u32 = 20;
/// Streams sent at one site.
const STREAMS_PER_SITE: u32 = 4;

fn answer(status: &str, content_type: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nCurrantlever-Attempt-Id: {{id}}\r\n\
         Currantlever-Replica-Signature: sig\r\nContent-Type: {content_type}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn stream(body: &str) -> String {
    format!("{}{}0\r\n\r\n", stream_head("{id}", ""), chunk(body))
}

/// Returns answers that do not continue a stream after its third event.
fn wrong_answers() -> Vec<(&'static str, String)> {
    let event_like_text = format!("{ERROR_TEXT}\n\n");
    let event_like_error = format!("data: {ERROR_TEXT}\n\n");
    let not_run = "503 Service Unavailable\r\nCurrantlever-Not-Executed: 1";
    let stream_type = "text/event-stream";
    vec![
        ("status 500", answer("500 X", "text/plain", ERROR_TEXT)),
        (
            "status 500 as a stream",
            answer("500 X", stream_type, &event_like_error),
        ),
        ("not run", answer(not_run, "text/plain", ERROR_TEXT)),
        ("a text", answer("200 OK", "text/plain", ERROR_TEXT)),
        (
            "a text like an event",
            answer("200 OK", "text/plain", &event_like_text),
        ),
        (
            "a document",
            answer("200 OK", "application/json", &event_like_text),
        ),
        (
            "status 202",
            answer("202 Accepted", stream_type, &event_like_error),
        ),
        ("a text in place of events", stream(ERROR_TEXT)),
        ("an unnumbered event", stream(&event_like_error)),
        ("a text like an event in a stream", stream(&event_like_text)),
        (
            "an unframed end",
            "HTTP/1.1 200 OK\r\nCurrantlever-Attempt-Id: {id}\r\nCurrantlever-Replica-Signature: sig\r\nContent-Type: text/event-stream\r\n\r\n".to_owned(),
        ),
        ("a repeated event", stream(&events(3..=EVENT_COUNT))),
        (
            "the stream from its start",
            stream(&events(1..=EVENT_COUNT)),
        ),
        (SKIPPED_EVENT, stream(&events(5..=EVENT_COUNT))),
        (
            "a head cut off",
            "HTTP/1.1 200 OK\r\nCurrantlever-Attempt-Id: {id}\r\nCurr".to_owned(),
        ),
        (
            "garbage before the head",
            format!("{ERROR_TEXT}\r\n{}", stream(&events(4..=EVENT_COUNT))),
        ),
        (
            "an error's head in the body",
            format!(
                "{}{}",
                stream_head("{id}", ""),
                answer("500 X", "text/plain", ERROR_TEXT)
            ),
        ),
        ("no head", ERROR_TEXT.to_owned()),
    ]
}

/// A site whose first replica breaks off each stream and whose second one gives another answer.
async fn broken_site(wrong_answer: &str) -> (Site, Vec<super::FakeReplica>, Router) {
    let whole = Behaviour::Stream {
        events: EVENT_COUNT,
        pause: Duration::from_millis(1),
    };
    let (site, replicas) = site_with(&[whole.clone(), whole]).await;
    let router = site.ready_router("r-1").await;
    for number in 0..10 {
        let call = Call::new("chat", &format!("warm-{number}"));
        assert_eq!(call.send(router.callers_address).await.unwrap().status, 200);
    }
    replicas[0].set_behaviour(Behaviour::BreakStream {
        after: EVENTS_BEFORE_BREAK,
    });
    replicas[1].set_behaviour(Behaviour::Raw(wrong_answer.to_owned()));
    (site, replicas, router)
}

/// Returns true if the first replica began the stream of an attempt and the second one was asked to
/// resume it.
fn is_resumed(replicas: &[super::FakeReplica], attempt: &str) -> bool {
    let last_id = EVENTS_BEFORE_BREAK.to_string();
    replicas[1].received().iter().any(|received| {
        received.header("currantlever-attempt-id") == Some(attempt)
            && received.header("last-event-id") == Some(&last_id)
    })
}

/// Sends streams until one was resumed at the second replica, and returns what `send` received.
async fn receive_resumed<F, W, T>(case: &str, wrong_answer: &str, send: F) -> T
where
    F: Fn(std::net::SocketAddr, String) -> W,
    W: std::future::Future<Output = T>,
{
    for _ in 0..MAX_SITES {
        let (_site, replicas, router) = broken_site(wrong_answer).await;
        for number in 0..STREAMS_PER_SITE {
            let attempt = format!("a-{number}");
            let received = send(router.callers_address, attempt.clone()).await;
            if is_resumed(&replicas, &attempt) {
                return received;
            }
        }
    }
    panic!("no stream was resumed: {case}");
}

/// Guards against an error's text in the middle of a caller's stream, against repeated or missing
/// events, and against a stream that ends early and looks complete.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_does_not_continue_a_broken_stream_is_not_forwarded() {
    let mut failed = Vec::new();
    for (case, wrong_answer) in wrong_answers() {
        let got = receive_resumed(case, &wrong_answer, |router, attempt| async move {
            Call::new("chat", &attempt).send(router).await
        });
        let got = got.await.unwrap();
        assert_eq!(got.status, 200, "{case}");
        let body = String::from_utf8_lossy(&got.body).into_owned();
        let whole = events(1..=EVENT_COUNT);
        if body != whole && (got.is_whole || !whole.starts_with(&body)) {
            failed.push((case, got.is_whole, body));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Guards against the same for a caller of HTTP/1.0, which takes a regular end of the connection
/// for the end of the stream.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_of_http_1_0_sees_a_reset_when_its_stream_is_not_continued() {
    let mut failed = Vec::new();
    for (case, wrong_answer) in wrong_answers() {
        let (end, received) = receive_resumed(case, &wrong_answer, call_by_http_1_0).await;
        let (_, body) = received.split_once("\r\n\r\n").unwrap();
        let whole = events(1..=EVENT_COUNT);
        if body != whole && (end.is_ok() || !whole.starts_with(body)) {
            failed.push((case, end.is_ok(), body.to_owned()));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Returns how the connection ended and what was received.
async fn call_by_http_1_0(
    router: std::net::SocketAddr,
    attempt: String,
) -> (std::io::Result<usize>, String) {
    let request = format!(
        "POST /chat/x HTTP/1.0\r\nHost: {HOST}\r\nAuthorization: Token {KEY}\r\n\
         Currantlever-Attempt-Id: {attempt}\r\nContent-Length: 0\r\n\r\n"
    );
    let mut caller = TcpStream::connect(router).await.unwrap();
    caller.write_all(request.as_bytes()).await.unwrap();
    let mut received = Vec::new();
    let end = caller.read_to_end(&mut received).await;
    (end, String::from_utf8_lossy(&received).into_owned())
}

/// Guards against the same when the caller itself takes a stream up again: an answer that does not
/// continue it must not look like its rest. The router cannot know here that an event is left out,
/// as ids only increase.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_resumes_gets_the_exact_rest_or_no_success() {
    let mut failed = Vec::new();
    for (case, wrong_answer) in wrong_answers() {
        if case == SKIPPED_EVENT {
            continue;
        }
        let (site, _replicas) = site_with(&[Behaviour::Raw(wrong_answer)]).await;
        let router = site.ready_router("r-1").await;
        let call = Call::new("chat", "a-1").with("last-event-id", "3");
        let got = call.send(router.callers_address).await.unwrap();
        let body = String::from_utf8_lossy(&got.body).into_owned();
        let rest = events(4..=EVENT_COUNT);
        let is_exact = body == rest || !got.is_whole && rest.starts_with(&body);
        if got.status == 200 && !is_exact {
            failed.push((case, body));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Sends requests that succeed: a new process has no retries before.
async fn earn_retries(replicas: &[FakeReplica], router: &Router) {
    for replica in replicas {
        replica.set_behaviour(Behaviour::Answer);
    }
    for number in 0..60 {
        let call = Call::new("look", &format!("earn-{number}"));
        assert_eq!(call.send(router.callers_address).await.unwrap().status, 200);
    }
}

fn sparse_events(numbers: std::ops::RangeInclusive<u64>) -> String {
    numbers.map(|number| event_text(number * 5)).collect()
}

/// Guards against refusing a stream whose ids leave out numbers, or whose first replica broke off
/// after the last event.
#[tokio::test(flavor = "multi_thread")]
async fn sound_continuations_are_forwarded() {
    let whole = events(1..=EVENT_COUNT);
    let cases = [
        (sparse_events(1..=3), sparse_events(4..=8), "15"),
        (whole, String::new(), "8"),
    ];
    for (first, rest, last_id) in cases {
        let (_site, replicas, router) = broken_site("").await;
        // The servers close the connection after each of these answers. A request that crosses the
        // close is lost, and there is no third server.
        let head = stream_head("{id}", "Connection: close\r\n");
        earn_retries(&replicas, &router).await;
        replicas[0].set_behaviour(Behaviour::Raw(format!("{head}{}", chunk(&first))));
        let rest_chunk = if rest.is_empty() {
            String::new()
        } else {
            chunk(&rest)
        };
        replicas[1].set_behaviour(Behaviour::Raw(format!("{head}{rest_chunk}0\r\n\r\n")));
        let mut was_resumed = false;
        for number in 0..40 {
            let attempt = format!("a-{number}");
            let got = Call::new("chat", &attempt)
                .send(router.callers_address)
                .await;
            was_resumed = replicas[1].received().iter().any(|received| {
                received.header("currantlever-attempt-id") == Some(&attempt)
                    && received.header("last-event-id") == Some(last_id)
            });
            if was_resumed {
                let got = got.unwrap();
                let expected = format!("{first}{rest}");
                assert_eq!((got.is_whole, got.body), (true, expected.into()));
                break;
            }
        }
        let cuts = router.log_lines("stream cut");
        assert!(was_resumed, "after event {last_id}: {cuts:?}");
    }
}
