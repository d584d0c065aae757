//! A model engine over HTTP that makes up its answers.
//!
//! An answer's text depends on the request's id alone, so a test can tell whether it is whole.
//! Directives in the last message bring about failures; see [`Directive`].

// The HTTP library's handlers take their arguments by value.
#![allow(clippy::needless_pass_by_value)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rocket::http::{ContentType, Status};
use rocket::request::{FromRequest, Outcome, Request};
use rocket::response::stream::ByteStream;
use rocket::serde::json::Json;
use rocket::{get, post, routes, State};
use strum::{Display, EnumString};
use tokio::sync::Notify;

use crate::backend::chat::{ChatChunk, ChatRequest, ChunkChoice, Delta, Usage};
use crate::backend::http::{REQUEST_ID_HEADER, RESUME_HEADER};
use crate::backend::{EngineOrder, LoadReport};
use crate::http_server::{server_config, HttpServer, StartError};
use crate::util::lock;

/// Bytes of prompt text that make one token in the stand-in's tokenizer.
const BYTES_PER_TOKEN: u64 = 4;
/// Shortest answer, in tokens.
const MIN_ANSWER_TOKENS: u64 = 8;
/// Answers differ in length by less than this.
const ANSWER_SPREAD_TOKENS: u64 = 24;
/// Chunks after which a directive that breaks a stream takes effect.
const CHUNKS_BEFORE_FAULT: u64 = 4;

/// A word in the last message that makes the engine misbehave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Directive {
    /// The first stream of the request is cut; a resumed one is whole.
    CutOnce,
    /// The engine stops for good in mid-stream.
    Crash,
    /// The engine goes on after the output limit.
    Overrun,
    /// Chunks carry another request's id.
    WrongId,
    /// The answer is as long as the output limit allows.
    Long,
}

/// Speed of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EnginePace {
    /// Time to the first token.
    pub first_token_ms: u64,
    /// Time between tokens.
    pub token_ms: u64,
}

#[derive(Debug, Default)]
struct EngineState {
    pace: EnginePace,
    is_crashed: AtomicBool,
    crashed: Notify,
    running: AtomicU32,
    served: AtomicU64,
    cancelled: AtomicU64,
    seen: Mutex<BTreeMap<String, ChatRequest>>,
    cut: Mutex<BTreeSet<String>>,
    orders: Mutex<Vec<EngineOrder>>,
    traceparents: Mutex<Vec<String>>,
}

impl EngineState {
    fn crash(&self) {
        self.is_crashed.store(true, Ordering::SeqCst);
        self.crashed.notify_one();
    }
}

/// A model engine listening on a loopback address.
#[derive(Debug)]
pub struct FakeEngine {
    server: HttpServer,
    state: Arc<EngineState>,
}

impl FakeEngine {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start(listen: SocketAddr, pace: EnginePace) -> Result<Self, StartError> {
        let state = Arc::new(EngineState {
            pace,
            ..EngineState::default()
        });
        let rocket = rocket::custom(server_config(listen))
            .manage(Arc::clone(&state))
            .mount("/v1", routes![chat, resume, load, order]);
        let server = HttpServer::start(rocket).await?;
        let listener = server.abort_handle();
        let watched = Arc::clone(&state);
        tokio::spawn(async move {
            watched.crashed.notified().await;
            listener.abort();
        });
        Ok(Self { server, state })
    }

    /// The bound address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Chat requests taken on so far.
    #[must_use]
    pub fn served_count(&self) -> u64 {
        self.state.served.load(Ordering::SeqCst)
    }

    /// Streams that the client left before their end.
    #[must_use]
    pub fn cancelled_count(&self) -> u64 {
        self.state.cancelled.load(Ordering::SeqCst)
    }

    /// True once the engine has crashed.
    #[must_use]
    pub fn is_crashed(&self) -> bool {
        self.state.is_crashed.load(Ordering::SeqCst)
    }

    /// Trace contexts received.
    #[must_use]
    pub fn traceparents(&self) -> Vec<String> {
        lock(&self.state.traceparents).clone()
    }

    /// Orders received.
    #[must_use]
    pub fn orders(&self) -> Vec<EngineOrder> {
        lock(&self.state.orders).clone()
    }

    /// Refuses all connections from now on and breaks the open streams.
    pub fn crash(&self) {
        self.state.crash();
    }
}

/// The text that the engine answers to a request, given its length in tokens.
#[must_use]
pub fn expected_text(request_id: &str, length_tokens: u64) -> String {
    let words: Vec<String> = (0..length_tokens)
        .map(|i| format!("{request_id}.{i} "))
        .collect();
    words.concat()
}

/// The length of the answer to a request, without an output limit.
#[must_use]
pub fn answer_length_tokens(request_id: &str) -> u64 {
    let sum = request_id.bytes().fold(0u64, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(byte.into())
    });
    MIN_ANSWER_TOKENS + sum % ANSWER_SPREAD_TOKENS
}

struct CallHeaders {
    request_id: String,
    traceparent: Option<String>,
    received_chunks: u64,
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for CallHeaders {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let headers = request.headers();
        let request_id = headers
            .get_one(REQUEST_ID_HEADER)
            .unwrap_or("none")
            .to_owned();
        let traceparent = headers.get_one("traceparent").map(ToOwned::to_owned);
        let received_chunks = headers
            .get_one(RESUME_HEADER)
            .and_then(|text| text.parse().ok());
        let received_chunks = received_chunks.unwrap_or(0);
        Outcome::Success(Self {
            request_id,
            traceparent,
            received_chunks,
        })
    }
}

#[derive(Debug)]
struct Generation {
    state: Arc<EngineState>,
    request_id: String,
    directive: Option<Directive>,
    prompt_tokens: u64,
    length_tokens: u64,
    next_token: u64,
    is_done: bool,
}

impl Generation {
    fn new(state: &Arc<EngineState>, request_id: &str, request: &ChatRequest, from: u64) -> Self {
        let prompt: usize = request
            .messages
            .iter()
            .map(|m| m.content.to_string().len())
            .sum();
        let last = request
            .messages
            .last()
            .and_then(|message| message.content.as_str());
        let mut words = last.unwrap_or("").split_whitespace();
        let directive = words.find_map(|word| word.strip_prefix('#')?.parse().ok());
        let limit = request.max_tokens.unwrap_or(u64::MAX);
        let length_tokens = match directive {
            Some(Directive::Overrun) => limit.saturating_mul(2),
            Some(Directive::Long) => limit,
            _ => answer_length_tokens(request_id).min(limit),
        };
        state.running.fetch_add(1, Ordering::SeqCst);
        Self {
            state: Arc::clone(state),
            request_id: request_id.to_owned(),
            directive,
            prompt_tokens: prompt as u64 / BYTES_PER_TOKEN + 1,
            length_tokens,
            next_token: from,
            is_done: false,
        }
    }

    fn finish(&mut self) {
        self.is_done = true;
    }

    fn breaks_now(&self) -> bool {
        if self.state.is_crashed.load(Ordering::SeqCst) {
            return true;
        }
        if self.next_token < CHUNKS_BEFORE_FAULT {
            return false;
        }
        match self.directive {
            Some(Directive::CutOnce) => lock(&self.state.cut).insert(self.request_id.clone()),
            Some(Directive::Crash) => {
                self.state.crash();
                true
            }
            _ => false,
        }
    }

    fn next_chunk(&mut self) -> ChatChunk {
        let is_last = self.next_token + 1 >= self.length_tokens;
        let content = format!("{}.{} ", self.request_id, self.next_token);
        self.next_token += 1;
        let id = match self.directive {
            Some(Directive::WrongId) => format!("{}-other", self.request_id),
            _ => self.request_id.clone(),
        };
        ChatChunk {
            id: id.into(),
            object: "chat.completion.chunk".into(),
            model: "stand-in".into(),
            choices: vec![ChunkChoice {
                index: 0,
                delta: Delta {
                    role: None,
                    content: Some(content),
                },
                finish_reason: is_last.then(|| "stop".into()),
            }],
            usage: Some(Usage::new(self.prompt_tokens, self.next_token)),
        }
    }
}

impl Drop for Generation {
    fn drop(&mut self) {
        self.state.running.fetch_sub(1, Ordering::SeqCst);
        if !self.is_done {
            self.state.cancelled.fetch_add(1, Ordering::SeqCst);
        }
    }
}

type EventBody = (
    ContentType,
    ByteStream<futures::stream::BoxStream<'static, Vec<u8>>>,
);

fn stream(mut generation: Generation) -> EventBody {
    let pace = generation.state.pace;
    let events = async_stream::stream! {
        sleep_ms(pace.first_token_ms).await;
        while generation.next_token < generation.length_tokens {
            if generation.breaks_now() {
                generation.finish();
                return;
            }
            yield event_bytes(&generation.next_chunk());
            sleep_ms(pace.token_ms).await;
        }
        generation.finish();
        yield b"data: [DONE]\n\n".to_vec();
    };
    (ContentType::EventStream, ByteStream(Box::pin(events)))
}

async fn sleep_ms(time_ms: u64) {
    if time_ms > 0 {
        tokio::time::sleep(Duration::from_millis(time_ms)).await;
    }
}

fn event_bytes(chunk: &ChatChunk) -> Vec<u8> {
    let json = serde_json::to_string(chunk).unwrap_or_default();
    format!("data: {json}\n\n").into_bytes()
}

#[post("/chat/completions", data = "<request>")]
fn chat(
    state: &State<Arc<EngineState>>,
    headers: CallHeaders,
    request: Json<ChatRequest>,
) -> Result<EventBody, Status> {
    if state.is_crashed.load(Ordering::SeqCst) {
        return Err(Status::InternalServerError);
    }
    state.served.fetch_add(1, Ordering::SeqCst);
    lock(&state.traceparents).extend(headers.traceparent);
    lock(&state.seen).insert(headers.request_id.clone(), request.0.clone());
    Ok(stream(Generation::new(
        state,
        &headers.request_id,
        &request,
        0,
    )))
}

#[post("/chat/resume")]
fn resume(state: &State<Arc<EngineState>>, headers: CallHeaders) -> Result<EventBody, Status> {
    let seen = lock(&state.seen).get(&headers.request_id).cloned();
    let request = seen.ok_or(Status::NotFound)?;
    let generation = Generation::new(
        state,
        &headers.request_id,
        &request,
        headers.received_chunks,
    );
    Ok(stream(generation))
}

#[get("/load")]
fn load(state: &State<Arc<EngineState>>) -> Json<LoadReport> {
    let running_requests = state.running.load(Ordering::SeqCst);
    Json(LoadReport {
        running_requests,
        queued_requests: 0,
    })
}

#[post("/orders", data = "<order>")]
fn order(state: &State<Arc<EngineState>>, order: Json<EngineOrder>) -> Status {
    let mut orders = lock(&state.orders);
    let is_old = orders
        .last()
        .is_some_and(|last| last.fencing > order.fencing);
    if is_old {
        return Status::Conflict;
    }
    orders.push(order.0);
    Status::Ok
}
