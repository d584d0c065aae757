//! Crowds that send large bodies.

use std::time::Duration;

use bytes::Bytes;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

use super::crowds::{answer_with, chunks, head, pieces, with_head, Target, MAX_BODY_BYTES};

const LENGTH: &str = "Content-Length: 1048576\r\n";
const CHUNKED: &str = "Transfer-Encoding: chunked\r\n";
const CROWD: usize = 80;
/// Time after which a wait for an expected state fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Guards against bodies of legal size, each held until its end, that use up the memory together.
#[tokio::test(flavor = "multi_thread")]
async fn many_bodies_that_stop_short_of_their_length_do_not_use_up_the_memory() {
    let mut target = Target::start().await;
    let address = target.router.callers_address;
    let almost = pieces(MAX_BODY_BYTES - 1, MAX_BODY_BYTES);
    let client = with_head("look", LENGTH, almost);
    target.bear(CROWD, address, client).await;
}

/// Guards against the same where each piece that is received takes memory of its own.
#[tokio::test(flavor = "multi_thread")]
async fn many_bodies_sent_in_small_pieces_do_not_use_up_the_memory() {
    let mut target = Target::start().await;
    let address = target.router.callers_address;
    let almost = pieces(MAX_BODY_BYTES - 1, 4_096);
    let client = with_head("look", LENGTH, almost);
    target.bear(CROWD, address, client).await;
}

/// Guards against the same for bodies that state no length.
#[tokio::test(flavor = "multi_thread")]
async fn many_chunked_bodies_without_an_end_do_not_use_up_the_memory() {
    let mut target = Target::start().await;
    let address = target.router.callers_address;
    let almost = chunks(MAX_BODY_BYTES - 65_536, 65_536);
    let client = with_head("look", CHUNKED, almost);
    target.bear(CROWD, address, client).await;
}

/// Guards against memory that grows with the number of chunks instead of their bytes.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_chunks_of_one_byte_do_not_use_up_the_memory() {
    let mut target = Target::start().await;
    let address = target.router.callers_address;
    let almost = chunks(MAX_BODY_BYTES / 4, 1);
    let client = with_head("look", CHUNKED, almost);
    target.bear(12, address, client).await;
}

/// Guards against the same for a single body, which is within all limits and is served.
#[tokio::test(flavor = "multi_thread")]
async fn a_single_body_in_chunks_of_one_byte_is_served_within_the_memory() {
    let mut target = Target::start().await;
    let address = target.router.callers_address;
    let meter = target.meter();
    let mut request = vec![head("look", 1, CHUNKED)];
    request.extend(chunks(MAX_BODY_BYTES, 1));
    request.push(Bytes::from_static(b"0\r\n\r\n"));
    let answer = answer_with(address, request, "\r\n\r\n1048576").await;
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    assert!(answer.ends_with("1048576"), "{answer}");
    target.check(meter.stop().await);
}

/// Guards against a single large request that is refused in calm.
#[tokio::test(flavor = "multi_thread")]
async fn a_single_body_of_the_largest_size_is_served() {
    let mut target = Target::start().await;
    let address = target.router.callers_address;
    let meter = target.meter();
    for number in 0..3 {
        let mut request = vec![head("look", number, LENGTH)];
        request.extend(pieces(MAX_BODY_BYTES, 65_536));
        let answer = answer_with(address, request, "\r\n\r\n1048576").await;
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    }
    target.check(meter.stop().await);
}

/// Guards against reading bodies that were announced as longer than they may be.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_announced_far_beyond_the_limit_are_not_read() {
    let mut target = Target::start().await;
    let address = target.router.callers_address;
    let lines = "Content-Length: 10000000000\r\n";
    let client = with_head("look", lines, pieces(2 * MAX_BODY_BYTES, 65_536));
    target.bear(CROWD, address, client).await;
    let alone = vec![head("look", 1, lines)];
    let answer = answer_with(address, alone, "body_too_large").await;
    assert!(answer.starts_with("HTTP/1.1 413 "), "{answer}");
}

/// Guards against bodies over the limit that announce no length.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_sent_beyond_the_limit_do_not_use_up_the_memory() {
    let mut target = Target::start().await;
    let address = target.router.callers_address;
    let client = with_head("look", CHUNKED, chunks(3 * MAX_BODY_BYTES, 65_536));
    target.bear(CROWD, address, client).await;
}

/// Guards against the memory of large requests that are served one after another or at once to
/// clients that read no answers.
#[tokio::test(flavor = "multi_thread")]
async fn whole_bodies_whose_senders_read_no_answer_do_not_use_up_the_memory() {
    let mut target = Target::start().await;
    let address = target.router.callers_address;
    let client = with_head("look", LENGTH, pieces(MAX_BODY_BYTES, 65_536));
    target.bear(CROWD, address, client).await;
}

/// Guards against a refusal for lack of memory that promises nothing, or does not say when to come
/// back.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_does_not_fit_beside_others_is_refused_before_it_is_read() {
    let target = Target::start().await;
    let address = target.router.callers_address;
    let mut crowd = tokio::task::JoinSet::new();
    for number in 0..CROWD {
        let mut request = vec![head("look", number, LENGTH)];
        request.extend(pieces(MAX_BODY_BYTES - 1, 65_536));
        crowd.spawn(answer_with(address, request, "body_out_of_memory"));
    }
    // The others wait for the rest of their bodies.
    let first = tokio::time::timeout(WAIT_TIMEOUT, crowd.join_next()).await;
    let first = first.expect("a request is refused").unwrap().unwrap();
    let head = first.to_ascii_lowercase();
    assert!(head.starts_with("http/1.1 503 "), "{first}");
    assert!(head.contains("\r\nretry-after: "), "{first}");
    assert!(head.contains("\r\nconnection: close"), "{first}");
}

/// Guards against a body that never comes, within a deadline that the client itself chose.
#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_does_not_come_is_not_waited_for_longer_than_its_route_allows() {
    let target = Target::start().await;
    let mut stream = TcpStream::connect(target.router.callers_address)
        .await
        .unwrap();
    let request = head("book", 1, LENGTH);
    tokio::io::AsyncWriteExt::write_all(&mut stream, &request)
        .await
        .unwrap();
    let mut answer = Vec::new();
    let end = tokio::time::timeout(WAIT_TIMEOUT, stream.read_buf(&mut answer)).await;
    end.expect("the request is answered").unwrap();
    let answer = String::from_utf8_lossy(&answer);
    assert!(answer.starts_with("HTTP/1.1 408 "), "{answer}");
}
