//! Simulated callers of the demo: a seeded mix of requests over HTTP.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use futures::stream::{self, StreamExt};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;

use super::engine::{answer_length_tokens, expected_text};
use super::fleet::{key_of, Site};
use crate::backend::chat::ChatCompletion;
use crate::router::refusal::ErrorBody;
use crate::router::web::AddressesAnswer;

/// Teams of the demo and their prepaid tokens; the last team's budget runs out.
pub const DEMO_TEAMS: [(&str, u64); 4] = [
    ("atelier-hanji", 400_000),
    ("bindery-gimpo", 400_000),
    ("press-goyang", 400_000),
    ("studio-paju", 1_500),
];
/// Maximum number of requests in progress.
const CONCURRENCY: usize = 16;
/// Maximum number of times that a caller sends a request whose answer is interrupted.
const MAX_ATTEMPTS: u32 = 4;

/// Results of all requests, as observed by the callers.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Mix {
    /// Number of requests by outcome.
    pub outcomes: BTreeMap<String, u64>,
    /// Tokens billed according to the answers, by team.
    pub billed_tokens: BTreeMap<String, u64>,
    /// Descriptions of unexpected results.
    pub faults: Vec<String>,
}

/// Kind of request that a caller sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Stream,
    NonStreaming,
    CutOnce,
    Reservation,
    ReservationTwice,
    Lookup,
}

#[derive(Clone, Debug)]
struct PlannedRequest {
    id: String,
    team: &'static str,
    kind: Kind,
}

#[derive(Debug)]
struct SendResult {
    team: &'static str,
    outcome: String,
    tokens: u64,
    fault: Option<String>,
}

#[derive(Debug)]
struct Callers {
    http: reqwest::Client,
    addresses: BTreeMap<&'static str, Vec<SocketAddr>>,
}

/// Sends the request mix and returns the results.
///
/// # Errors
///
/// Fails when the site does not return the addresses of its routers.
pub async fn run_mix(site: &Site, seed: u64, requests: u64) -> Result<Mix, reqwest::Error> {
    let callers = Callers::new(site).await?;
    let mut rng = StdRng::seed_from_u64(seed);
    let planned_requests: Vec<PlannedRequest> = (0..requests)
        .map(|number| plan_request(&mut rng, seed, number))
        .collect();
    let results: Vec<SendResult> = stream::iter(planned_requests)
        .map(|planned| callers.send(planned))
        .buffer_unordered(CONCURRENCY)
        .collect()
        .await;
    let mut mix = Mix::default();
    for result in results {
        *mix.outcomes.entry(result.outcome).or_default() += 1;
        *mix.billed_tokens.entry(result.team.to_owned()).or_default() += result.tokens;
        mix.faults.extend(result.fault);
    }
    check_single_runs(site, &mut mix);
    Ok(mix)
}

fn plan_request(rng: &mut StdRng, seed: u64, number: u64) -> PlannedRequest {
    let team = DEMO_TEAMS[rng.random_range(0..DEMO_TEAMS.len())].0;
    let kind = match rng.random_range(0..20) {
        0..8 => Kind::Stream,
        8..13 => Kind::NonStreaming,
        13..15 => Kind::CutOnce,
        15..17 => Kind::Reservation,
        17 => Kind::ReservationTwice,
        _ => Kind::Lookup,
    };
    PlannedRequest {
        id: format!("demo-{seed}-{number}"),
        team,
        kind,
    }
}

/// Adds a fault for each reservation that ran more than once.
fn check_single_runs(site: &Site, mix: &mut Mix) {
    let mut runs: BTreeMap<String, u64> = BTreeMap::new();
    for service in &site.services {
        for (id, count) in service.runs() {
            *runs.entry(id).or_default() += count;
        }
    }
    let repeated = runs
        .iter()
        .filter(|(id, count)| **count > 1 && !id.ends_with("-get"));
    mix.faults
        .extend(repeated.map(|(id, count)| format!("{id} ran {count} times")));
}

impl Callers {
    async fn new(site: &Site) -> Result<Self, reqwest::Error> {
        let http = reqwest::Client::new();
        let mut addresses = BTreeMap::new();
        for (team, _) in DEMO_TEAMS {
            let url = format!("http://{}/v1/addresses", site.routers[0].address());
            let mut answer = fetch_addresses(&http, &url, team).await;
            for _ in 0..100 {
                if answer.is_ok() {
                    break;
                }
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                answer = fetch_addresses(&http, &url, team).await;
            }
            addresses.insert(team, answer?.addresses);
        }
        Ok(Self { http, addresses })
    }

    fn address(&self, planned: &PlannedRequest, attempt: usize) -> SocketAddr {
        let addresses = &self.addresses[planned.team];
        addresses[attempt % addresses.len()]
    }

    async fn send(&self, planned: PlannedRequest) -> SendResult {
        let result = match planned.kind {
            Kind::Stream | Kind::NonStreaming | Kind::CutOnce => self.send_chat(&planned).await,
            Kind::Reservation | Kind::Lookup => self.send_call(&planned, 0).await,
            Kind::ReservationTwice => {
                let (one, other) =
                    tokio::join!(self.send_call(&planned, 0), self.send_call(&planned, 1));
                merge_results(one, other)
            }
        };
        match result {
            Ok((outcome, tokens)) => SendResult {
                team: planned.team,
                outcome,
                tokens,
                fault: None,
            },
            Err(fault) => {
                let fault = Some(format!("{}: {fault}", planned.id));
                SendResult {
                    team: planned.team,
                    outcome: "fault".to_owned(),
                    tokens: 0,
                    fault,
                }
            }
        }
    }

    async fn send_chat(&self, planned: &PlannedRequest) -> Result<(String, u64), String> {
        let directive = if planned.kind == Kind::CutOnce {
            " #cut-once"
        } else {
            ""
        };
        let is_stream = planned.kind != Kind::NonStreaming;
        let body = serde_json::json!({
            "model": "assistant",
            "stream": is_stream,
            "messages": [
                { "role": "system", "content": "You help a binding workshop." },
                { "role": "user", "content": format!("design {}{directive}", planned.id) },
            ],
        });
        for attempt in 0..MAX_ATTEMPTS {
            let url = format!(
                "http://{}/v1/chat/completions",
                self.address(planned, attempt as usize)
            );
            let request = self
                .http
                .post(url)
                .bearer_auth(key_of(planned.team))
                .json(&body);
            let response = request.header("Idempotency-Key", &planned.id).send().await;
            let response = response.map_err(|error| error.to_string())?;
            let status = response.status();
            let text = response.text().await.map_err(|error| error.to_string())?;
            if !status.is_success() {
                return refusal(&text);
            }
            let parsed = if is_stream {
                parse_stream(&text)
            } else {
                parse_completion(&text)
            };
            if let Some((answer, tokens)) = parsed {
                let expected = expected_text(&planned.id, answer_length_tokens(&planned.id));
                if answer != expected {
                    return Err(format!("answer is not whole: {answer:?}"));
                }
                return Ok(("served".to_owned(), tokens));
            }
        }
        Err("answer broke off every time".to_owned())
    }

    async fn send_call(
        &self,
        planned: &PlannedRequest,
        attempt: usize,
    ) -> Result<(String, u64), String> {
        let is_lookup = planned.kind == Kind::Lookup;
        let url = format!(
            "http://{}/services/orders/paper/{}",
            self.address(planned, attempt),
            planned.id
        );
        let request = if is_lookup {
            self.http.get(url)
        } else {
            self.http.post(url)
        };
        let id = if is_lookup {
            format!("{}-get", planned.id)
        } else {
            planned.id.clone()
        };
        let request = request
            .bearer_auth(key_of(planned.team))
            .header("Idempotency-Key", &id);
        let response = request.send().await.map_err(|error| error.to_string())?;
        let is_served = response.status().is_success();
        let text = response.text().await.map_err(|error| error.to_string())?;
        if !is_served {
            return refusal(&text);
        }
        if !text.contains(&format!("\"request\":\"{id}\"")) {
            return Err(format!("answer belongs to another request: {text}"));
        }
        Ok(("served".to_owned(), 10))
    }
}

async fn fetch_addresses(
    http: &reqwest::Client,
    url: &str,
    team: &str,
) -> Result<AddressesAnswer, reqwest::Error> {
    let response = http.get(url).bearer_auth(key_of(team)).send().await?;
    response.error_for_status()?.json().await
}

/// Combines the results of sending the same reservation twice: it counts as served if either send
/// was served, since the other may get the same answer or a refusal that names the run.
fn merge_results(
    one: Result<(String, u64), String>,
    other: Result<(String, u64), String>,
) -> Result<(String, u64), String> {
    let (one, other) = (one?, other?);
    if one.0 == "served" || other.0 == "served" {
        return Ok(("served".to_owned(), one.1.max(other.1)));
    }
    Ok(one)
}

fn refusal(text: &str) -> Result<(String, u64), String> {
    let body: ErrorBody = serde_json::from_str(text).map_err(|error| error.to_string())?;
    Ok((body.error.kind.to_string(), 0))
}

fn parse_completion(text: &str) -> Option<(String, u64)> {
    let completion: ChatCompletion = serde_json::from_str(text).ok()?;
    Some((
        completion.choices.first()?.message.content.clone(),
        completion.usage.total_tokens,
    ))
}

fn parse_stream(text: &str) -> Option<(String, u64)> {
    let mut answer = String::new();
    let mut tokens = None;
    for line in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if line == "[DONE]" {
            return Some((answer, tokens?));
        }
        let value: serde_json::Value = serde_json::from_str(line).ok()?;
        if let Some(content) = value["choices"][0]["delta"]["content"].as_str() {
            answer.push_str(content);
        }
        tokens = value["usage"]["total_tokens"].as_u64().or(tokens);
    }
    None
}
