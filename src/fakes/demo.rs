//! The demo's callers: a seeded mix of requests over real HTTP.

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

/// Teams of the demo and what they paid; the last one runs out.
pub const DEMO_TEAMS: [(&str, u64); 4] = [
    ("atelier-hanji", 400_000),
    ("bindery-gimpo", 400_000),
    ("press-goyang", 400_000),
    ("studio-paju", 1_500),
];
/// Requests in progress at a time.
const CONCURRENCY: usize = 16;
/// Times that a caller sends a request again.
const MAX_SENDS: u32 = 4;

/// What the callers saw.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Mix {
    /// Requests by outcome.
    pub outcomes: BTreeMap<String, u64>,
    /// Tokens that answers said were used, by team.
    pub billed_tokens: BTreeMap<String, u64>,
    /// What went wrong.
    pub faults: Vec<String>,
}

/// What kind of request a caller sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Stream,
    Whole,
    CutOnce,
    Reservation,
    ReservationTwice,
    Lookup,
}

#[derive(Clone, Debug)]
struct Order {
    id: String,
    team: &'static str,
    kind: Kind,
}

#[derive(Debug)]
struct Seen {
    team: &'static str,
    outcome: String,
    tokens: u64,
    fault: Option<String>,
}

#[derive(Debug)]
struct Client {
    http: reqwest::Client,
    addresses: BTreeMap<&'static str, Vec<SocketAddr>>,
}

/// Sends the mix and tells what the callers saw.
///
/// # Errors
///
/// Fails when the site cannot be asked which addresses to use.
pub async fn run_mix(site: &Site, seed: u64, requests: u64) -> Result<Mix, reqwest::Error> {
    let client = Client::new(site).await?;
    let mut rng = StdRng::seed_from_u64(seed);
    let orders: Vec<Order> = (0..requests)
        .map(|number| draw(&mut rng, seed, number))
        .collect();
    let results: Vec<Seen> = stream::iter(orders)
        .map(|order| client.send(order))
        .buffer_unordered(CONCURRENCY)
        .collect()
        .await;
    let mut mix = Mix::default();
    for one in results {
        *mix.outcomes.entry(one.outcome).or_default() += 1;
        *mix.billed_tokens.entry(one.team.to_owned()).or_default() += one.tokens;
        mix.faults.extend(one.fault);
    }
    check_runs(site, &mut mix);
    Ok(mix)
}

fn draw(rng: &mut StdRng, seed: u64, number: u64) -> Order {
    let team = DEMO_TEAMS[rng.random_range(0..DEMO_TEAMS.len())].0;
    let kind = match rng.random_range(0..20) {
        0..8 => Kind::Stream,
        8..13 => Kind::Whole,
        13..15 => Kind::CutOnce,
        15..17 => Kind::Reservation,
        17 => Kind::ReservationTwice,
        _ => Kind::Lookup,
    };
    Order {
        id: format!("demo-{seed}-{number}"),
        team,
        kind,
    }
}

/// No reservation may have run more than once.
fn check_runs(site: &Site, mix: &mut Mix) {
    let mut runs: BTreeMap<String, u64> = BTreeMap::new();
    for service in &site.services {
        for (id, count) in service.runs() {
            *runs.entry(id).or_default() += count;
        }
    }
    let doubled = runs
        .iter()
        .filter(|(id, count)| **count > 1 && !id.ends_with("-get"));
    mix.faults
        .extend(doubled.map(|(id, count)| format!("{id} ran {count} times")));
}

impl Client {
    async fn new(site: &Site) -> Result<Self, reqwest::Error> {
        let http = reqwest::Client::new();
        let mut addresses = BTreeMap::new();
        for (team, _) in DEMO_TEAMS {
            let url = format!("http://{}/v1/addresses", site.routers[0].address());
            let mut answer = ask_addresses(&http, &url, team).await;
            for _ in 0..100 {
                if answer.is_ok() {
                    break;
                }
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                answer = ask_addresses(&http, &url, team).await;
            }
            addresses.insert(team, answer?.addresses);
        }
        Ok(Self { http, addresses })
    }

    fn address(&self, order: &Order, send: usize) -> SocketAddr {
        let addresses = &self.addresses[order.team];
        addresses[send % addresses.len()]
    }

    async fn send(&self, order: Order) -> Seen {
        let result = match order.kind {
            Kind::Stream | Kind::Whole | Kind::CutOnce => self.send_chat(&order).await,
            Kind::Reservation | Kind::Lookup => self.send_call(&order, 0).await,
            Kind::ReservationTwice => {
                let (one, other) =
                    tokio::join!(self.send_call(&order, 0), self.send_call(&order, 1));
                merge(one, other)
            }
        };
        match result {
            Ok((outcome, tokens)) => Seen {
                team: order.team,
                outcome,
                tokens,
                fault: None,
            },
            Err(fault) => {
                let fault = Some(format!("{}: {fault}", order.id));
                Seen {
                    team: order.team,
                    outcome: "fault".to_owned(),
                    tokens: 0,
                    fault,
                }
            }
        }
    }

    async fn send_chat(&self, order: &Order) -> Result<(String, u64), String> {
        let directive = if order.kind == Kind::CutOnce {
            " #cut-once"
        } else {
            ""
        };
        let is_stream = order.kind != Kind::Whole;
        let body = serde_json::json!({
            "model": "assistant",
            "stream": is_stream,
            "messages": [
                { "role": "system", "content": "You help a binding workshop." },
                { "role": "user", "content": format!("design {}{directive}", order.id) },
            ],
        });
        for send in 0..MAX_SENDS {
            let url = format!(
                "http://{}/v1/chat/completions",
                self.address(order, send as usize)
            );
            let request = self
                .http
                .post(url)
                .bearer_auth(key_of(order.team))
                .json(&body);
            let response = request.header("Idempotency-Key", &order.id).send().await;
            let response = response.map_err(|error| error.to_string())?;
            let status = response.status();
            let text = response.text().await.map_err(|error| error.to_string())?;
            if !status.is_success() {
                return refusal(&text);
            }
            let read = if is_stream {
                read_stream(&text)
            } else {
                read_whole(&text)
            };
            if let Some((answer, tokens)) = read {
                let expected = expected_text(&order.id, answer_length_tokens(&order.id));
                if answer != expected {
                    return Err(format!("answer is not whole: {answer:?}"));
                }
                return Ok(("served".to_owned(), tokens));
            }
        }
        Err("answer broke off every time".to_owned())
    }

    async fn send_call(&self, order: &Order, send: usize) -> Result<(String, u64), String> {
        let is_lookup = order.kind == Kind::Lookup;
        let url = format!(
            "http://{}/services/orders/paper/{}",
            self.address(order, send),
            order.id
        );
        let request = if is_lookup {
            self.http.get(url)
        } else {
            self.http.post(url)
        };
        let id = if is_lookup {
            format!("{}-get", order.id)
        } else {
            order.id.clone()
        };
        let request = request
            .bearer_auth(key_of(order.team))
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

async fn ask_addresses(
    http: &reqwest::Client,
    url: &str,
    team: &str,
) -> Result<AddressesAnswer, reqwest::Error> {
    let response = http.get(url).bearer_auth(key_of(team)).send().await?;
    response.error_for_status()?.json().await
}

/// Of two sends of the same reservation one is served; the other hears the same or of its run.
fn merge(
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

fn read_whole(text: &str) -> Option<(String, u64)> {
    let completion: ChatCompletion = serde_json::from_str(text).ok()?;
    Some((
        completion.choices.first()?.message.content.clone(),
        completion.usage.total_tokens,
    ))
}

fn read_stream(text: &str) -> Option<(String, u64)> {
    let mut answer = String::new();
    let mut tokens = None;
    for line in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if line == "[DONE]" {
            return Some((answer, tokens?));
        }
        let value: serde_json::Value = serde_json::from_str(line).ok()?;
        if let Some(piece) = value["choices"][0]["delta"]["content"].as_str() {
            answer.push_str(piece);
        }
        tokens = value["usage"]["total_tokens"].as_u64().or(tokens);
    }
    None
}
