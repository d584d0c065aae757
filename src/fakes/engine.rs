//! A fake model engine over HTTP with deterministic answers.
//!
//! An answer's text depends only on the request's id, so a test can check that it is complete.
//! Directives in the last message inject faults; see [`Directive`].

// Rocket handlers take their arguments by value.
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

/// Bytes of prompt text per token in the fake tokenizer.
const BYTES_PER_TOKEN: u64 = 4;
/// Shortest answer, in tokens.
const MIN_ANSWER_TOKENS: u64 = 8;
/// Exclusive upper bound of an answer's length above the minimum, in tokens.
const ANSWER_SPREAD_TOKENS: u64 = 24;
/// Number of chunks sent before a directive that breaks the stream takes effect.
const CHUNKS_BEFORE_FAULT: u64 = 4;

/// A fault or behaviour requested by a word in the last message, prefixed with `#`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Directive {
    /// The first stream of the request is interrupted; a resumed one is complete.
    CutOnce,
    /// The engine stops permanently in mid-stream.
    Crash,
    /// The engine generates twice the output limit.
    Overrun,
    /// Chunks carry another request's id.
    WrongId,
    /// The answer has the length of the output limit.
    Long,
}

/// Response timing of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EnginePace {
    /// Time to the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Time between tokens, in milliseconds.
    pub token_ms: u64,
}

#[derive(Debug, Default)]
struct EngineState {
    pace: EnginePace,
    is_crashed: AtomicBool,
    crash_notify: Notify,
    running: AtomicU32,
    served: AtomicU64,
    cancelled: AtomicU64,
    requests: Mutex<BTreeMap<String, ChatRequest>>,
    cut_ids: Mutex<BTreeSet<String>>,
    orders: Mutex<Vec<EngineOrder>>,
    traceparents: Mutex<Vec<String>>,
}

impl EngineState {
    fn crash(&self) {
        self.is_crashed.store(true, Ordering::SeqCst);
        self.crash_notify.notify_one();
    }
}

/// A fake model engine listening on a loopback address.
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
        let server_task = server.abort_handle();
        let crash_state = Arc::clone(&state);
        tokio::spawn(async move {
            crash_state.crash_notify.notified().await;
            server_task.abort();
        });
        Ok(Self { server, state })
    }

    /// Returns the bound address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the number of chat requests accepted so far.
    #[must_use]
    pub fn served_count(&self) -> u64 {
        self.state.served.load(Ordering::SeqCst)
    }

    /// Returns the number of streams that the client closed before their end.
    #[must_use]
    pub fn cancelled_count(&self) -> u64 {
        self.state.cancelled.load(Ordering::SeqCst)
    }

    /// Returns true once the engine has crashed.
    #[must_use]
    pub fn is_crashed(&self) -> bool {
        self.state.is_crashed.load(Ordering::SeqCst)
    }

    /// Returns the `traceparent` headers received.
    #[must_use]
    pub fn traceparents(&self) -> Vec<String> {
        lock(&self.state.traceparents).clone()
    }

    /// Returns the orders accepted.
    #[must_use]
    pub fn orders(&self) -> Vec<EngineOrder> {
        lock(&self.state.orders).clone()
    }

    /// Crashes the engine: it refuses all further connections and breaks the open streams.
    pub fn crash(&self) {
        self.state.crash();
    }
}

/// Returns the text of the answer to a request, given its length in tokens.
#[must_use]
pub fn expected_text(request_id: &str, length_tokens: u64) -> String {
    let words: Vec<String> = (0..length_tokens)
        .map(|i| format!("{request_id}.{i} "))
        .collect();
    words.concat()
}

/// Returns the length of the answer to a request without an output limit, in tokens.
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
struct AnswerStream {
    state: Arc<EngineState>,
    request_id: String,
    directive: Option<Directive>,
    prompt_tokens: u64,
    length_tokens: u64,
    next_token: u64,
    is_done: bool,
}

impl AnswerStream {
    fn new(
        state: &Arc<EngineState>,
        request_id: &str,
        request: &ChatRequest,
        first_token: u64,
    ) -> Self {
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
            next_token: first_token,
            is_done: false,
        }
    }

    fn finish(&mut self) {
        self.is_done = true;
    }

    fn should_break(&self) -> bool {
        if self.state.is_crashed.load(Ordering::SeqCst) {
            return true;
        }
        if self.next_token < CHUNKS_BEFORE_FAULT {
            return false;
        }
        match self.directive {
            Some(Directive::CutOnce) => lock(&self.state.cut_ids).insert(self.request_id.clone()),
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

impl Drop for AnswerStream {
    fn drop(&mut self) {
        self.state.running.fetch_sub(1, Ordering::SeqCst);
        if !self.is_done {
            self.state.cancelled.fetch_add(1, Ordering::SeqCst);
        }
    }
}

type EventStreamBody = (
    ContentType,
    ByteStream<futures::stream::BoxStream<'static, Vec<u8>>>,
);

fn stream(mut answer: AnswerStream) -> EventStreamBody {
    let pace = answer.state.pace;
    let events = async_stream::stream! {
        sleep_ms(pace.first_token_ms).await;
        while answer.next_token < answer.length_tokens {
            if answer.should_break() {
                answer.finish();
                return;
            }
            yield event_bytes(&answer.next_chunk());
            sleep_ms(pace.token_ms).await;
        }
        answer.finish();
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
) -> Result<EventStreamBody, Status> {
    if state.is_crashed.load(Ordering::SeqCst) {
        return Err(Status::InternalServerError);
    }
    state.served.fetch_add(1, Ordering::SeqCst);
    lock(&state.traceparents).extend(headers.traceparent);
    lock(&state.requests).insert(headers.request_id.clone(), request.0.clone());
    Ok(stream(AnswerStream::new(
        state,
        &headers.request_id,
        &request,
        0,
    )))
}

#[post("/chat/resume")]
fn resume(
    state: &State<Arc<EngineState>>,
    headers: CallHeaders,
) -> Result<EventStreamBody, Status> {
    let request = lock(&state.requests).get(&headers.request_id).cloned();
    let request = request.ok_or(Status::NotFound)?;
    let answer = AnswerStream::new(
        state,
        &headers.request_id,
        &request,
        headers.received_chunks,
    );
    Ok(stream(answer))
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
    let is_stale = orders
        .last()
        .is_some_and(|last| last.fencing > order.fencing);
    if is_stale {
        return Status::Conflict;
    }
    orders.push(order.0);
    Status::Ok
}
