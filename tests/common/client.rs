//! Test client that sends requests as a caller and polls the routers' state.

use std::net::SocketAddr;
use std::time::Duration;

use currantlever::fakes::fleet::key_of;
use currantlever::{AddressesAnswer, ErrorBody, RefusalKind, RunState};
use reqwest::{Client, Response, StatusCode};
use serde_json::{json, Value};

/// Interval between polls of a state that a test waits for.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Polls after which a wait fails; far more than any test needs.
const MAX_POLLS: u32 = 1_500;

/// Calls within which a budget must refuse one; far more than any budget in these tests may serve.
const MAX_CALLS: u64 = 2_000;
/// Tokens charged for one call of the plain service.
pub const CALL_TOKENS: u64 = 10;

/// Result of a request as the caller sees it.
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

/// Sends a streaming chat request.
pub async fn send_chat(address: SocketAddr, team: &str, id: &str, text: &str) -> Outcome {
    let request = Client::new()
        .post(format!("http://{address}/v1/chat/completions"))
        .bearer_auth(key_of(team))
        .header("Idempotency-Key", id)
        .json(&chat_body(text, true));
    match request.send().await {
        Ok(response) => read_outcome(response).await,
        Err(_) => Outcome::Broken,
    }
}

/// Sends a call to the plain service.
pub async fn send_call(address: SocketAddr, team: &str, method: &str, id: &str) -> Outcome {
    let method = method.parse().unwrap();
    let request = Client::new()
        .request(method, format!("http://{address}/services/orders/paper/1"))
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

/// Sends calls until one is not served; returns the number served and the last outcome.
pub async fn call_until_refused(
    address: SocketAddr,
    team: &str,
    id_prefix: &str,
) -> (u64, Outcome) {
    let mut served = 0;
    loop {
        let id = format!("{id_prefix}-{served}");
        let outcome = send_call(address, team, "GET", &id).await;
        if !outcome.is_whole() {
            return (served, outcome);
        }
        served += 1;
        assert!(served < MAX_CALLS, "{id_prefix}: no call was refused");
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
    let mut used_tokens = 0;
    for line in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if line == "[DONE]" {
            return Outcome::Whole {
                text: answer,
                tokens: used_tokens,
            };
        }
        let value: Value = serde_json::from_str(line).unwrap();
        answer.push_str(
            value["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap_or(""),
        );
        used_tokens = value["usage"]["total_tokens"]
            .as_u64()
            .unwrap_or(used_tokens);
    }
    Outcome::Broken
}

/// Returns the router addresses listed for a team; empty when the request fails.
pub async fn fetch_addresses(address: SocketAddr, team: &str) -> Vec<SocketAddr> {
    let request = Client::new()
        .get(format!("http://{address}/v1/addresses"))
        .bearer_auth(key_of(team));
    let Ok(response) = request.send().await else {
        return Vec::new();
    };
    response
        .json::<AddressesAnswer>()
        .await
        .map_or_else(|_| Vec::new(), |answer| answer.addresses)
}

/// Returns the router's `/status` document; null when the request fails.
pub async fn fetch_status(address: SocketAddr) -> Value {
    match Client::new()
        .get(format!("http://{address}/status"))
        .send()
        .await
    {
        Ok(response) => response.json().await.unwrap_or(Value::Null),
        Err(_) => Value::Null,
    }
}

/// Polls until the condition holds; panics after [`MAX_POLLS`] polls.
pub async fn wait_for<F, R>(description: &str, mut condition: F)
where
    F: FnMut() -> R,
    R: std::future::Future<Output = bool>,
{
    for _ in 0..MAX_POLLS {
        if condition().await {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("timed out waiting until {description}");
}

/// Waits until each router reports all others as reachable and both lists as in force.
pub async fn wait_ready(routers: &[SocketAddr]) {
    let others = routers.len() as u64 - 1;
    for router in routers {
        wait_for(
            "each router reaches all others and has both lists",
            || async {
                let status = fetch_status(*router).await;
                status["generation"].as_u64() >= Some(2)
                    && status["reachable_routers"].as_u64() >= Some(others)
            },
        )
        .await;
    }
}
