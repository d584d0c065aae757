//! A caller.

use std::net::SocketAddr;
use std::time::Duration;

use currantlever::fakes::fleet::key_of;
use currantlever::{AddressesAnswer, ErrorBody, RefusalKind, RunState};
use reqwest::{Client, Response, StatusCode};
use serde_json::{json, Value};

/// Time between two looks at a state that a test waits for.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);
/// Looks after which a state counts as never reached: far beyond what any test needs.
const MAX_LOOKS: u32 = 1_500;

/// Calls after which a budget must have refused one: far more than any budget here may serve.
const MAX_CALLS: u64 = 2_000;
/// Price of a call of the plain service.
pub const CALL_TOKENS: u64 = 10;

/// What came of a chat request.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    Whole { text: String, tokens: u64 },
    Refused { kind: RefusalKind, run: RunState },
    Broken,
}

impl Outcome {
    pub fn is_whole(&self) -> bool {
        matches!(self, Self::Whole { .. })
    }
}

pub fn chat_body(text: &str, stream: bool) -> Value {
    json!({ "model": "assistant", "stream": stream,
            "messages": [{ "role": "user", "content": text }] })
}

pub async fn send_chat(at: SocketAddr, team: &str, id: &str, text: &str) -> Outcome {
    let request = Client::new()
        .post(format!("http://{at}/v1/chat/completions"))
        .bearer_auth(key_of(team))
        .header("Idempotency-Key", id)
        .json(&chat_body(text, true));
    match request.send().await {
        Ok(response) => read_outcome(response).await,
        Err(_) => Outcome::Broken,
    }
}

pub async fn send_call(at: SocketAddr, team: &str, method: &str, id: &str) -> Outcome {
    let method = method.parse().unwrap();
    let request = Client::new()
        .request(method, format!("http://{at}/services/orders/paper/1"))
        .bearer_auth(key_of(team))
        .header("Idempotency-Key", id);
    match request.send().await {
        Ok(response) if response.status().is_success() => Outcome::Whole {
            text: response.text().await.unwrap(),
            tokens: 10,
        },
        Ok(response) => read_outcome(response).await,
        Err(_) => Outcome::Broken,
    }
}

/// Sends calls until one is refused; returns how many were served.
pub async fn call_until_refused(at: SocketAddr, team: &str, mark: &str) -> (u64, Outcome) {
    let mut served = 0;
    loop {
        let id = format!("{mark}-{served}");
        let outcome = send_call(at, team, "GET", &id).await;
        if !outcome.is_whole() {
            return (served, outcome);
        }
        served += 1;
        assert!(served < MAX_CALLS, "{mark}: no call was refused");
    }
}

async fn read_outcome(response: Response) -> Outcome {
    let status = response.status();
    let Ok(text) = response.text().await else {
        return Outcome::Broken;
    };
    if status != StatusCode::OK {
        let body: ErrorBody = serde_json::from_str(&text).unwrap();
        return Outcome::Refused {
            kind: body.error.kind,
            run: body.error.run,
        };
    }
    read_stream(&text)
}

fn read_stream(text: &str) -> Outcome {
    let mut answer = String::new();
    let mut used = 0;
    for line in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if line == "[DONE]" {
            return Outcome::Whole {
                text: answer,
                tokens: used,
            };
        }
        let value: Value = serde_json::from_str(line).unwrap();
        answer.push_str(
            value["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap_or(""),
        );
        used = value["usage"]["total_tokens"].as_u64().unwrap_or(used);
    }
    Outcome::Broken
}

pub async fn addresses(at: SocketAddr, team: &str) -> Vec<SocketAddr> {
    let request = Client::new()
        .get(format!("http://{at}/v1/addresses"))
        .bearer_auth(key_of(team));
    let Ok(response) = request.send().await else {
        return Vec::new();
    };
    response
        .json::<AddressesAnswer>()
        .await
        .map_or_else(|_| Vec::new(), |answer| answer.addresses)
}

pub async fn status(at: SocketAddr) -> Value {
    match Client::new()
        .get(format!("http://{at}/status"))
        .send()
        .await
    {
        Ok(response) => response.json().await.unwrap_or(Value::Null),
        Err(_) => Value::Null,
    }
}

/// Waits until a state is reached.
pub async fn wait_for<F, R>(what: &str, mut look: F)
where
    F: FnMut() -> R,
    R: std::future::Future<Output = bool>,
{
    for _ in 0..MAX_LOOKS {
        if look().await {
            return;
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
    panic!("never reached: {what}");
}

/// Waits until routers know one another and have lists in force.
pub async fn wait_ready(routers: &[SocketAddr]) {
    let others = routers.len() as u64 - 1;
    for router in routers {
        wait_for("routers know one another", || async {
            let status = status(*router).await;
            status["generation"].as_u64() >= Some(2)
                && status["reachable_routers"].as_u64() >= Some(others)
        })
        .await;
    }
}
