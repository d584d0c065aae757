//! Output tokens of answers that are not streams of events.

use super::replica::{Behaviour, FakeReplica};
use super::site::{Call, Site};

const PREPAID: u64 = 6_000;
const PROMPT_TOKENS: u64 = 100;
const OUTPUT_TOKENS: u64 = 100;
const MAX_CALLS: u64 = 200;

/// Guards against output that is delivered and not charged, since it does not come in events.
#[tokio::test(flavor = "multi_thread")]
async fn the_output_of_answers_that_are_no_streams_is_charged() {
    for route in ["book", "look", "draft", "chat"] {
        let site = Site::start(PREPAID).await;
        let replica = FakeReplica::start("i-0", Behaviour::Answer).await;
        site.register(&replica);
        let router = site.ready_router("r-1").await;
        let mut delivered_tokens = 0;
        let mut is_exhausted = false;
        for number in 0..MAX_CALLS {
            let call = Call::new(route, &format!("a-{number}"));
            let call = call.with_tokens(PROMPT_TOKENS, OUTPUT_TOKENS);
            match call.send(router.callers_address).await.unwrap().status {
                200 => delivered_tokens += PROMPT_TOKENS + OUTPUT_TOKENS,
                402 => {
                    is_exhausted = true;
                    break;
                }
                429 => {}
                other => panic!("{route}: status {other}"),
            }
        }
        assert!(is_exhausted, "{route}: {delivered_tokens} tokens delivered");
        assert!(
            delivered_tokens <= PREPAID,
            "{route}: {delivered_tokens} of {PREPAID} tokens delivered"
        );
    }
}

/// Guards against charging output that was not delivered.
#[tokio::test(flavor = "multi_thread")]
async fn the_output_of_a_failed_request_is_not_charged() {
    let site = Site::start(PREPAID).await;
    let replica = FakeReplica::start("i-0", Behaviour::Fail).await;
    site.register(&replica);
    let router = site.ready_router("r-1").await;
    let call = Call::new("book", "a-1").with_tokens(PROMPT_TOKENS, OUTPUT_TOKENS);
    let answer = call.send(router.callers_address).await.unwrap();
    assert_eq!(answer.status, 500);
    super::wait_until("the request is logged", || async {
        !router.log_lines("request").is_empty()
    })
    .await;
    let line = &router.log_lines("request")[0];
    assert_eq!(line["spent_tokens"], PROMPT_TOKENS);
}
