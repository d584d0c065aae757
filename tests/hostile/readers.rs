//! Clients that read no answers.

use bytes::Bytes;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;

use super::crowds::{head, with_head, Target};
use super::site::wait_until;

const NO_BODY: &str = "Content-Length: 0\r\n";

/// Guards against streams that are held in memory for clients that do not read them.
#[tokio::test(flavor = "multi_thread")]
async fn streams_that_are_not_read_do_not_use_up_the_memory() {
    let mut target = Target::start().await;
    let address = target.router.callers_address;
    let client = with_head("draft", NO_BODY, Vec::new());
    target.bear(100, address, client).await;
}

/// Guards against requests that are sent without end on one connection while their answers are not
/// read.
#[tokio::test(flavor = "multi_thread")]
async fn requests_sent_without_reading_answers_do_not_use_up_the_memory() {
    let mut target = Target::start().await;
    let address = target.router.callers_address;
    let client = |number| {
        let request = head("look", number, NO_BODY);
        vec![Bytes::from(request.repeat(100)); 100]
    };
    target.bear(100, address, client).await;
}

/// Guards against a connection that stays for good because its client reads no answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_whose_client_reads_no_answer_is_closed() {
    let target = Target::start().await;
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4_096).unwrap();
    let address = target.router.callers_address;
    let mut stream = socket.connect(address).await.unwrap();
    stream.write_all(&head("draft", 1, NO_BODY)).await.unwrap();
    stream.readable().await.unwrap();
    wait_until("the request has ended", || async {
        let lines = target
            .router
            .log_lines("request ended without whole answer");
        !lines.is_empty()
    })
    .await;
}
