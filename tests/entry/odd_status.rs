//! Answers with statuses that no final answer can have.

use super::replica::Behaviour;
use super::site::{wait_until, Call};
use super::site_with;

const ROUTES: [&str; 4] = ["look", "book", "chat", "draft"];
/// RFC 9110, 15: codes outside 100 to 599 are invalid. 101 answers a request for another protocol only.
const STATUSES: [&str; 8] = ["101", "600", "999", "000", "099", "20", "2000", "-20"];

/// Guards against passing such an answer on, which looks whole and empty to its caller.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_whose_status_is_none_of_a_final_answer_becomes_a_server_error() {
    let (site, servers) = site_with(&[Behaviour::Answer]).await;
    let router = site.ready_router("r-1").await;
    let mut passed_on = Vec::new();
    for status in STATUSES {
        for framing in ["Content-Length: 2\r\n\r\nok", "\r\n"] {
            let text = format!(
                "HTTP/1.1 {status} Odd\r\nCurrantlever-Attempt-Id: {{id}}\r\n\
                 Currantlever-Replica-Signature: sig\r\nContent-Type: text/plain\r\n{framing}"
            );
            for route in ROUTES {
                let case = format!("{route} {status} {}", framing.len());
                servers[0].set_behaviour(Behaviour::Raw(text.clone()));
                let before = servers[0].received().len();
                let call = Call::new(route, &format!("odd-{before}"));
                let got = call.send(router.callers_address).await.unwrap();
                let runs = servers[0].received().len() - before;
                if got.status != 502 {
                    passed_on.push(format!("{case}: {}", got.status));
                }
                assert!(
                    runs == 1 || (runs > 1 && route == "look"),
                    "{case}: {runs} runs"
                );
                // Resets the failures of the server.
                servers[0].set_behaviour(Behaviour::Answer);
                wait_until("the server serves", || async {
                    let call = Call::new("look", &format!("whole-{before}"));
                    let whole = call.send(router.callers_address).await.unwrap();
                    whole.status == 200
                })
                .await;
            }
        }
    }
    assert_eq!(passed_on, Vec::<String>::new());
}
