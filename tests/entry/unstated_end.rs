//! Answers with neither a length nor chunks, which end with their connection.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::replica::{event_text, Behaviour, FakeReplica};
use super::site::{wait_until, Call, Router, HOST, KEY};
use super::{events, received_count, site_with};

const PAUSE: Duration = Duration::from_millis(2);

/// Three whole events and what follows them where a stream is cut inside the next one.
const CUT_EVENTS: [&str; 3] = ["id: 4\ndata: pie", "id: 4\ndata: piece 4\n", "id: 4"];

fn unframed_stream(text: &str, crashes: bool) -> Behaviour {
    Behaviour::Unframed {
        content_type: "text/event-stream",
        body: text.to_owned(),
        crashes,
    }
}

fn unframed_text(text: &str, crashes: bool) -> Behaviour {
    Behaviour::Unframed {
        content_type: "text/plain",
        body: text.to_owned(),
        crashes,
    }
}

/// Fills the retry budget by requests that succeed.
async fn warm_up(router: &Router, route: &str) {
    for number in 0..20 {
        let call = Call::new(route, &format!("warm-{number}"));
        assert_eq!(call.send(router.callers_address).await.unwrap().status, 200);
    }
}

/// Guards against a broken stream that reaches its caller as if it were complete, or with a part of
/// an event.
#[tokio::test(flavor = "multi_thread")]
async fn an_unframed_stream_cut_inside_an_event_never_looks_complete() {
    for crashes in [false, true] {
        for cut in CUT_EVENTS {
            let text = format!("{}{cut}", events(1..=3));
            let (site, replicas) = site_with(&[unframed_stream(&text, crashes)]).await;
            let router = site.ready_router("r-1").await;
            let call = Call::new("draft", "a-1");
            let got = call.send(router.callers_address).await.unwrap();
            assert!(!got.is_whole, "{cut:?}, crashes: {crashes}");
            assert_eq!(got.body, events(1..=3), "{cut:?}, crashes: {crashes}");
            assert_eq!(received_count(&replicas), 1);
        }
    }
}

/// Guards against the same in the first event, before which nothing was forwarded.
#[tokio::test(flavor = "multi_thread")]
async fn an_unframed_stream_cut_inside_its_first_event_is_answered_502() {
    for crashes in [false, true] {
        let cut = unframed_stream("id: 1\ndata: pie", crashes);
        let (site, replicas) = site_with(&[cut]).await;
        let router = site.ready_router("r-1").await;
        let call = Call::new("draft", "a-1");
        let got = call.send(router.callers_address).await.unwrap();
        assert_eq!(got.status, 502, "crashes: {crashes}");
        assert_eq!(received_count(&replicas), 1);
    }
}

/// Guards against a stream that is not resumed, or with a gap or a part of an event.
#[tokio::test(flavor = "multi_thread")]
async fn an_unframed_stream_cut_inside_an_event_is_resumed_after_the_last_whole_one() {
    for crashes in [false, true] {
        let whole = Behaviour::Stream {
            events: 8,
            pause: PAUSE,
        };
        let (site, replicas) = site_with(&[whole.clone(), whole]).await;
        let router = site.ready_router("r-1").await;
        warm_up(&router, "chat").await;
        let text = format!("{}id: 7\ndata: pie", events(1..=3));
        replicas[0].set_behaviour(unframed_stream(&text, crashes));
        assert_resumed_after(&router, &replicas[1], "3").await;
    }
}

/// Guards against a crash between two events that is taken for the end of the stream.
#[tokio::test(flavor = "multi_thread")]
async fn an_unframed_stream_whose_server_crashed_between_events_is_broken_off_or_resumed() {
    let (site, replicas) = site_with(&[unframed_stream(&events(1..=3), true)]).await;
    let router = site.ready_router("r-1").await;
    let got = Call::new("draft", "a-1").send(router.callers_address).await;
    let got = got.unwrap();
    assert_eq!((got.is_whole, got.body), (false, events(1..=3).into()));
    wait_until("the crash is detected", || async {
        !router
            .log_lines("server crashed with a request in progress")
            .is_empty()
    })
    .await;
    assert_eq!(replicas[0].received().len(), 1);

    let whole = Behaviour::Stream {
        events: 8,
        pause: PAUSE,
    };
    let (site, replicas) = site_with(&[whole.clone(), whole]).await;
    let router = site.ready_router("r-1").await;
    warm_up(&router, "chat").await;
    replicas[0].set_behaviour(unframed_stream(&events(1..=3), true));
    assert_resumed_after(&router, &replicas[1], "3").await;
}

/// Sends streams until one was resumed at `replica`; all of them are whole.
async fn assert_resumed_after(router: &Router, replica: &FakeReplica, last_id: &str) {
    let is_resumed = || {
        let received = replica.received();
        received
            .iter()
            .any(|received| received.header("last-event-id") == Some(last_id))
    };
    for number in 0..40 {
        let call = Call::new("chat", &format!("a-{number}"));
        let got = call.send(router.callers_address).await.unwrap();
        assert_eq!((got.status, got.is_whole), (200, true));
        assert_eq!(got.body, events(1..=8));
        if is_resumed() {
            return;
        }
    }
    panic!("no stream was resumed");
}

/// Guards against a part of a text that is delivered with a length as if it were whole.
#[tokio::test(flavor = "multi_thread")]
async fn an_unframed_text_whose_server_crashed_is_not_delivered() {
    let half = unframed_text("the replica's wh", true);
    let (site, replicas) = site_with(&[half]).await;
    let router = site.ready_router("r-1").await;
    let call = Call::new("book", "a-1");
    let got = call.send(router.callers_address).await.unwrap();
    assert_eq!(got.status, 502);
    assert_eq!(received_count(&replicas), 1);
}

/// Guards against refusing or delaying whole answers that end with their connection.
#[tokio::test(flavor = "multi_thread")]
async fn whole_unframed_answers_are_delivered_unchanged() {
    let bodies = [
        events(1..=3),
        events(1..=3).replace('\n', "\r\n"),
        events(1..=3).replace('\n', "\r"),
        format!("\u{feff}{}", events(1..=3)),
        format!("{}: end of stream", events(1..=3)),
        format!("{}\n", events(1..=3)),
    ];
    for body in &bodies {
        for route in ["draft", "chat"] {
            let (site, replicas) = site_with(&[unframed_stream(body, false)]).await;
            let router = site.ready_router("r-1").await;
            let call = Call::new(route, "a-1");
            let got = call.send(router.callers_address).await.unwrap();
            assert_eq!((got.status, got.is_whole), (200, true), "{body:?}");
            assert_eq!(got.body, *body);
            assert_eq!(received_count(&replicas), 1);
        }
    }
    let (site, _replicas) = site_with(&[unframed_text("the whole text", false)]).await;
    let router = site.ready_router("r-1").await;
    let call = Call::new("book", "a-1");
    let got = call.send(router.callers_address).await.unwrap();
    assert_eq!((got.status, got.is_whole), (200, true));
    assert_eq!(got.body, "the whole text");
}

/// Guards against a stream with `\r` line ends that is held back until its end.
#[tokio::test(flavor = "multi_thread")]
async fn events_with_any_line_end_are_counted_and_resumed_by_their_ids() {
    for line_end in ["\r", "\r\n"] {
        let whole = Behaviour::Stream {
            events: 8,
            pause: PAUSE,
        };
        let (site, replicas) = site_with(&[whole.clone(), whole]).await;
        let router = site.ready_router("r-1").await;
        warm_up(&router, "chat").await;
        let first = events(1..=3).replace('\n', line_end);
        let text = format!("{first}: a comment{line_end}id: 7{line_end}data: pie");
        replicas[0].set_behaviour(unframed_stream(&text, false));
        let is_resumed = || {
            let received = replicas[1].received();
            received
                .iter()
                .any(|received| received.header("last-event-id") == Some("3"))
        };
        let rest: String = (4..=8).map(event_text).collect();
        for number in 0..40 {
            let call = Call::new("chat", &format!("a-{number}"));
            let got = call.send(router.callers_address).await.unwrap();
            assert_eq!((got.status, got.is_whole), (200, true));
            if is_resumed() {
                assert_eq!(got.body, format!("{first}{rest}"), "{line_end:?}");
                break;
            }
        }
        assert!(is_resumed(), "{line_end:?}");
    }
}

/// Guards against an end of the connection that looks regular to a caller of HTTP/1.0, whose
/// streams have no other end.
#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_to_a_caller_of_http_1_0_ends_with_a_reset() {
    for (body, is_whole) in [
        (events(1..=3), true),
        (format!("{}id: 4", events(1..=3)), false),
    ] {
        let (site, _replicas) = site_with(&[unframed_stream(&body, false)]).await;
        let router = site.ready_router("r-1").await;
        let mut caller = call_http_1_0(&router).await;
        let mut received = Vec::new();
        let end = caller.read_to_end(&mut received).await;
        assert_eq!(end.is_ok(), is_whole, "{end:?}");
    }
}

/// Sends a request for a stream as a caller of HTTP/1.0.
async fn call_http_1_0(router: &Router) -> TcpStream {
    let mut caller = TcpStream::connect(router.callers_address).await.unwrap();
    let request = format!(
        "POST /draft/x HTTP/1.0\r\nHost: {HOST}\r\nAuthorization: Token {KEY}\r\n\
         Currantlever-Attempt-Id: a-1\r\nContent-Length: 0\r\n\r\n"
    );
    caller.write_all(request.as_bytes()).await.unwrap();
    caller
}

/// Guards against a stream that looks whole to a caller of HTTP/1.0 because the operating system
/// closed the connections of a killed router.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_to_a_caller_of_http_1_0_ends_with_a_reset_when_the_router_is_killed() {
    let stream = Behaviour::Stream {
        events: 1_000,
        pause: Duration::from_millis(20),
    };
    let (site, _replicas) = site_with(&[stream]).await;
    let mut router = site.ready_router("r-1").await;
    let mut caller = call_http_1_0(&router).await;
    let mut received = vec![0; events(1..=1).len()];
    caller.read_exact(&mut received).await.unwrap();
    router.kill();
    let end = caller.read_to_end(&mut received).await;
    assert!(end.is_err(), "{end:?}");
}
