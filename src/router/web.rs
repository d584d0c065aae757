//! The router's HTTP API for callers and operators.

// Rocket's handlers take their arguments by value.
#![allow(clippy::needless_pass_by_value)]

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use futures::stream::BoxStream;
use rand::RngExt;
use rocket::data::Data;
use rocket::http::{ContentType, Header, Method, Status};
use rocket::request::{FromRequest, Outcome, Request};
use rocket::response::stream::ByteStream;
use rocket::response::{Responder, Response};
use rocket::route::{Handler, Outcome as RouteOutcome, Route};
use rocket::serde::json::Json;
use rocket::{catch, catchers, get, post, routes, Build, Rocket, State};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::body::{read_body, AnnouncedLength};
use super::caller::Caller;
use super::chat::{ChatAnswer, ChatEvent};
use super::fleet::ADDRESS_COUNT;
use super::refusal::{ErrorBody, Refusal, RefusalKind};
use super::requests::StoredAnswer;
use super::spending::BudgetStatus;
use super::Router;
use crate::backend::chat::{ChatChunk, ChatCompletion, ChatRequest};
use crate::backend::ServiceCall;
use crate::core::claim::ClaimKey;
use crate::core::ids::{BudgetId, RequestId, ServiceId};
use crate::http_server::server_config;
use crate::peer::RequestLookup;
use crate::telemetry::SpanParent;
use crate::util::lock;

/// Header with the request id chosen by the caller.
pub const IDEMPOTENCY_HEADER: &str = "Idempotency-Key";
/// Header that selects a budget of the team.
pub const BUDGET_HEADER: &str = "X-Currantlever-Budget";
/// Header that shortens the deadline, in milliseconds.
pub const DEADLINE_HEADER: &str = "X-Deadline-Ms";
/// Response header with the request's id.
pub const REQUEST_HEADER: &str = "X-Request-Id";

type SharedRouter = Arc<Router>;

/// Builds the HTTP server of a router.
#[must_use]
pub fn build(router: &Arc<Router>) -> Rocket<Build> {
    let settings = &router.settings;
    let mut config = server_config(settings.listen);
    if let Some(tls) = &settings.tls {
        let tls = rocket::config::TlsConfig::from_paths(&tls.certificate_file, &tls.key_file);
        config.tls = Some(tls);
    }
    let forward = ForwardHandler {
        router: Arc::clone(router),
    };
    let methods = [
        Method::Get,
        Method::Post,
        Method::Put,
        Method::Delete,
        Method::Patch,
    ];
    let forwards: Vec<Route> = methods
        .into_iter()
        .map(|method| Route::new(method, "/services/<service>/<path..>", forward.clone()))
        .collect();
    rocket::custom(config)
        .manage(Arc::clone(router))
        .mount("/", routes![healthz, readyz, metrics, status])
        .mount(
            "/v1",
            routes![chat_completions, models, addresses, request_status],
        )
        .mount("/", forwards)
        .register("/", catchers![unknown_path, other_error])
}

/// A refusal as an HTTP response.
struct RefusalResponse {
    refusal: Refusal,
    request: Option<RequestId>,
}

impl RefusalResponse {
    fn new(refusal: Refusal) -> Self {
        Self {
            refusal,
            request: None,
        }
    }

    fn with_request(refusal: Refusal, request: &RequestId) -> Self {
        Self {
            refusal,
            request: Some(request.clone()),
        }
    }
}

impl<'r> Responder<'r, 'static> for RefusalResponse {
    fn respond_to(self, request: &'r Request<'_>) -> rocket::response::Result<'static> {
        let request_id = self.request.as_ref().map(RequestId::as_str);
        let body = ErrorBody::new(&self.refusal, request_id);
        let mut response = Json(body).respond_to(request)?;
        response.set_status(Status::new(self.refusal.status()));
        if let Some(request_id) = request_id {
            response.set_header(Header::new(REQUEST_HEADER, request_id.to_owned()));
        }
        if let Some(time) = self.refusal.retry_after {
            let seconds = time.as_millis().div_ceil(1_000).max(1);
            response.set_header(Header::new("Retry-After", seconds.to_string()));
        }
        Ok(response)
    }
}

/// A caller whose API key was accepted.
struct Authenticated(Caller);

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Authenticated {
    type Error = Refusal;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Refusal> {
        let Some(router) = request.rocket().state::<SharedRouter>() else {
            let refusal = Refusal::new(RefusalKind::NotReady, "the router is not set up");
            return cache_refusal(request, refusal);
        };
        match authenticate(router, request) {
            Ok(caller) => Outcome::Success(Self(caller)),
            Err(refusal) => cache_refusal(request, refusal),
        }
    }
}

/// Stores the refusal in the request's local cache, for the catcher that builds the response.
fn cache_refusal<T>(request: &Request<'_>, refusal: Refusal) -> Outcome<T, Refusal> {
    let status = Status::new(refusal.status());
    request.local_cache(|| Some(refusal.clone()));
    Outcome::Error((status, refusal))
}

fn authenticate(router: &Router, request: &Request<'_>) -> Result<Caller, Refusal> {
    let headers = request.headers();
    let catalog = router.catalog.load();
    if catalog.generation() == 0 {
        let message = "this router has no accepted lists yet";
        return Err(
            Refusal::new(RefusalKind::NotReady, message).with_retry_after(Duration::from_secs(1))
        );
    }
    let bearer = headers
        .get_one("Authorization")
        .and_then(|text| text.strip_prefix("Bearer "));
    let account = bearer
        .and_then(|key| catalog.authenticate(key))
        .ok_or_else(|| {
            Refusal::new(
                RefusalKind::UnknownKey,
                "the key is missing or belongs to no team",
            )
        })?;
    let budget = parse_header::<BudgetId>(request, BUDGET_HEADER)?;
    let budget = account
        .budget(budget.as_ref())
        .cloned()
        .ok_or_else(|| Refusal::new(RefusalKind::NotInPlan, "the team has no such budget"))?;
    let name = parse_header::<RequestId>(request, IDEMPOTENCY_HEADER)?;
    let has_supplied_id = name.is_some();
    let deadline_ms = parse_header::<u64>(request, DEADLINE_HEADER)?;
    let deadline_ms = deadline_ms
        .unwrap_or(u64::MAX)
        .min(account.plan.deadline_ms);
    let traceparent = headers.get_one("traceparent").map(CompactString::from);
    Ok(Caller {
        budget,
        request: name.map_or_else(|| new_request_id(router), Ok)?,
        has_supplied_id,
        deadline: Instant::now() + Duration::from_millis(deadline_ms),
        parent: traceparent.map_or(SpanParent::None, SpanParent::Traceparent),
        account,
    })
}

fn parse_header<T>(request: &Request<'_>, name: &str) -> Result<Option<T>, Refusal>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    let Some(text) = request.headers().get_one(name) else {
        return Ok(None);
    };
    let value = text.parse().map_err(|error| {
        Refusal::new(RefusalKind::BadRequest, format!("header {name}: {error}"))
    })?;
    Ok(Some(value))
}

fn new_request_id(router: &Router) -> Result<RequestId, Refusal> {
    let number: u128 = lock(&router.rng).random();
    let name = compact_str::format_compact!("req-{number:032x}");
    RequestId::new(name).map_err(|error| Refusal::new(RefusalKind::BadRequest, error.to_string()))
}

/// Responses of the chat route.
enum ChatResponse {
    Stream {
        request: RequestId,
        events: BoxStream<'static, Vec<u8>>,
    },
    Whole {
        request: RequestId,
        completion: Box<ChatCompletion>,
    },
    Stored {
        request: RequestId,
        answer: StoredAnswer,
    },
}

impl<'r> Responder<'r, 'r> for ChatResponse {
    fn respond_to(self, request: &'r Request<'_>) -> rocket::response::Result<'r> {
        let (mut response, id) = match self {
            Self::Stream {
                request: id,
                events,
            } => (
                (ContentType::EventStream, ByteStream(events)).respond_to(request)?,
                id,
            ),
            Self::Whole {
                request: id,
                completion,
            } => (Json(completion).respond_to(request)?, id),
            Self::Stored {
                request: id,
                answer,
            } => (StoredResponse(answer).respond_to(request)?, id),
        };
        response.set_header(Header::new(REQUEST_HEADER, id.as_str().to_owned()));
        Ok(response)
    }
}

struct StoredResponse(StoredAnswer);

impl<'r> Responder<'r, 'static> for StoredResponse {
    fn respond_to(self, _: &'r Request<'_>) -> rocket::response::Result<'static> {
        let mut response = Response::build();
        response.status(Status::new(self.0.status));
        if let Some(content_type) = self.0.content_type {
            response.header(Header::new("Content-Type", content_type.to_string()));
        }
        let length_bytes = self.0.body.len();
        response
            .sized_body(length_bytes, std::io::Cursor::new(self.0.body))
            .ok()
    }
}

#[post("/chat/completions", data = "<data>")]
async fn chat_completions(
    router: &State<SharedRouter>,
    caller: Authenticated,
    announced: AnnouncedLength,
    data: Data<'_>,
) -> Result<ChatResponse, RefusalResponse> {
    let caller = caller.0;
    let id = caller.request.clone();
    let refuse = |refusal| RefusalResponse::with_request(refusal, &id);
    let body = read_body(router, announced, caller.deadline, data)
        .await
        .map_err(refuse)?;
    let request = parse_chat(&body).map_err(refuse)?;
    let is_stream = request.stream;
    let answer = router.chat(caller, request).await.map_err(refuse)?;
    let events = match answer {
        ChatAnswer::Stored(answer) if is_stream => {
            let events = replay_stored(&answer);
            return Ok(ChatResponse::Stream {
                request: id,
                events,
            });
        }
        ChatAnswer::Stored(answer) => {
            return Ok(ChatResponse::Stored {
                request: id,
                answer,
            })
        }
        ChatAnswer::Events(events) => events,
    };
    if is_stream {
        start_stream(events, &id).await.map_err(refuse)
    } else {
        collect_completion(events, &id).await.map_err(refuse)
    }
}

fn parse_chat(body: &[u8]) -> Result<ChatRequest, Refusal> {
    let mut deserializer = serde_json::Deserializer::from_slice(body);
    let request: ChatRequest =
        serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
            let message = format!("body: {}: {}", error.path(), error.inner());
            Refusal::new(RefusalKind::BadRequest, message)
        })?;
    if request.messages.is_empty() {
        let message = "body: messages: at least one message is needed";
        return Err(Refusal::new(RefusalKind::BadRequest, message));
    }
    if request.other.get("n").is_some_and(|n| n != 1) {
        let message = "body: n: only one choice can be asked for";
        return Err(Refusal::new(RefusalKind::BadRequest, message));
    }
    Ok(request)
}

/// Waits for the first event, so that a refusal before it is sent with its own HTTP status.
async fn start_stream(
    mut events: mpsc::Receiver<ChatEvent>,
    id: &RequestId,
) -> Result<ChatResponse, Refusal> {
    let first = match events.recv().await {
        Some(ChatEvent::Failed(refusal)) => return Err(refusal),
        Some(first) => first,
        None => return Err(internal_error()),
    };
    let name = id.clone();
    let stream = async_stream::stream! {
        let mut next = Some(first);
        while let Some(event) = next {
            yield encode_event(&event, &name);
            next = events.recv().await;
        }
    };
    Ok(ChatResponse::Stream {
        request: id.clone(),
        events: Box::pin(stream),
    })
}

fn internal_error() -> Refusal {
    Refusal::new(
        RefusalKind::BackendFailed,
        "the request ended in an error of the router",
    )
    .with_run(super::refusal::RunState::OutcomeUnknown)
}

fn encode_event(event: &ChatEvent, id: &RequestId) -> Vec<u8> {
    match event {
        ChatEvent::Chunk(chunk) => encode_data(chunk),
        ChatEvent::End(usage) => {
            let chunk = ChatChunk {
                id: id.as_str().into(),
                object: "chat.completion.chunk".into(),
                usage: Some(*usage),
                ..ChatChunk::default()
            };
            let mut text = encode_data(&chunk);
            text.extend_from_slice(b"data: [DONE]\n\n");
            text
        }
        ChatEvent::Failed(refusal) => encode_data(&ErrorBody::new(refusal, Some(id.as_str()))),
    }
}

fn encode_data<T>(value: &T) -> Vec<u8>
where
    T: Serialize,
{
    let json = serde_json::to_string(value).unwrap_or_default();
    format!("data: {json}\n\n").into_bytes()
}

fn replay_stored(answer: &StoredAnswer) -> BoxStream<'static, Vec<u8>> {
    let completion: Option<ChatCompletion> = serde_json::from_slice(&answer.body).ok();
    let mut parts = Vec::new();
    if let Some(completion) = completion {
        parts.push(encode_data(&completion.to_chunk()));
        let id = RequestId::new(completion.id.clone());
        if let Ok(id) = id {
            parts.push(encode_event(&ChatEvent::End(completion.usage), &id));
        }
    }
    Box::pin(futures::stream::iter(parts))
}

async fn collect_completion(
    mut events: mpsc::Receiver<ChatEvent>,
    id: &RequestId,
) -> Result<ChatResponse, Refusal> {
    let mut text = String::new();
    let mut model = CompactString::default();
    let mut reason = CompactString::const_new("stop");
    while let Some(event) = events.recv().await {
        match event {
            ChatEvent::Chunk(chunk) => {
                text.push_str(&chunk.text());
                if let Some(found) = chunk.finish_reason() {
                    reason.clone_from(found);
                }
                model = chunk.model;
            }
            ChatEvent::End(usage) => {
                let completion = ChatCompletion::new(id.as_str(), &model, text, &reason, usage);
                let completion = Box::new(completion);
                return Ok(ChatResponse::Whole {
                    request: id.clone(),
                    completion,
                });
            }
            ChatEvent::Failed(refusal) => return Err(refusal),
        }
    }
    Err(internal_error())
}

/// The models that a team's plan includes.
#[derive(Debug, Serialize)]
struct ModelsAnswer {
    object: &'static str,
    data: Vec<ModelEntry>,
}

#[derive(Debug, Serialize)]
struct ModelEntry {
    id: String,
    object: &'static str,
}

#[get("/models")]
fn models(caller: Authenticated) -> Json<ModelsAnswer> {
    let models = caller.0.account.plan.models.iter();
    let data = models
        .map(|entry| ModelEntry {
            id: entry.model.to_string(),
            object: "model",
        })
        .collect();
    Json(ModelsAnswer {
        object: "list",
        data,
    })
}

/// Router addresses for a team's callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressesAnswer {
    /// Addresses, in order of preference.
    pub addresses: Vec<SocketAddr>,
    /// Time for which the answer may be cached, in milliseconds.
    pub ttl_ms: u64,
}

#[get("/addresses")]
fn addresses(router: &State<SharedRouter>, caller: Authenticated) -> Json<AddressesAnswer> {
    let team = &caller.0.account.team.team;
    let addresses = router.fleet.addresses_for(team, ADDRESS_COUNT);
    Json(AddressesAnswer {
        addresses,
        ttl_ms: router.settings.address_ttl_ms,
    })
}

/// The status of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestStatus {
    /// The request's id.
    pub request: RequestId,
    /// `unheard`, `running`, `finished`, or the state of its claim.
    pub state: String,
}

#[get("/requests/<id>")]
async fn request_status(
    router: &State<SharedRouter>,
    caller: Authenticated,
    id: &str,
) -> Result<Json<RequestStatus>, RefusalResponse> {
    let request = RequestId::new(id).map_err(|error| {
        RefusalResponse::new(Refusal::new(RefusalKind::BadRequest, error.to_string()))
    })?;
    let mut caller = caller.0;
    caller.request = request.clone();
    caller.has_supplied_id = true;
    let team = caller.account.team.team.clone();
    let mut found = router.requests.find(&team, &request);
    if found == RequestLookup::Unknown {
        found = router
            .find_at_peers(&caller)
            .await
            .unwrap_or(RequestLookup::Unknown);
    }
    let state = match found {
        RequestLookup::Running { .. } => "running".to_owned(),
        RequestLookup::Finished(_) => "finished".to_owned(),
        RequestLookup::Unknown => claim_state(router, ClaimKey::new(team, request.clone())).await?,
    };
    Ok(Json(RequestStatus { request, state }))
}

async fn claim_state(router: &Router, key: ClaimKey) -> Result<String, RefusalResponse> {
    let claim = router.claims.read(&key).await.map_err(|error| {
        let refusal = Refusal::new(RefusalKind::ClaimOutOfReach, error.to_string());
        RefusalResponse::new(refusal.with_retry_after(Duration::from_secs(1)))
    })?;
    Ok(claim.map_or_else(|| "unheard".to_owned(), |claim| claim.state.to_string()))
}

#[derive(Clone)]
struct ForwardHandler {
    router: Arc<Router>,
}

#[rocket::async_trait]
impl Handler for ForwardHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> RouteOutcome<'r> {
        match self.forward(request, data).await {
            Ok((id, answer)) => {
                let outcome = RouteOutcome::from(request, StoredResponse(answer));
                with_request_id(outcome, &id)
            }
            Err(response) => RouteOutcome::from(request, response),
        }
    }
}

fn with_request_id<'r>(outcome: RouteOutcome<'r>, id: &RequestId) -> RouteOutcome<'r> {
    outcome.map(|mut response| {
        response.set_header(Header::new(REQUEST_HEADER, id.as_str().to_owned()));
        response
    })
}

impl ForwardHandler {
    async fn forward(
        &self,
        request: &Request<'_>,
        data: Data<'_>,
    ) -> Result<(RequestId, StoredAnswer), RefusalResponse> {
        let caller = authenticate(&self.router, request).map_err(RefusalResponse::new)?;
        let id = caller.request.clone();
        let refuse = |refusal| RefusalResponse::with_request(refusal, &id);
        let name: Option<&str> = request.param(1).and_then(Result::ok);
        let service = name.and_then(|name| ServiceId::new(name).ok());
        let rules = service
            .as_ref()
            .and_then(|service| caller.account.service(service))
            .cloned();
        let rules = rules.ok_or_else(|| {
            let message = format!("plan {} has no such service", caller.account.plan.plan);
            refuse(Refusal::new(RefusalKind::NotInPlan, message))
        })?;
        let path: PathBuf = request.segments(2..).unwrap_or_default();
        let mut path = format!("/{}", path.to_string_lossy());
        if let Some(query) = request.uri().query() {
            path = format!("{path}?{query}");
        }
        let announced = AnnouncedLength::of(request);
        let body = read_body(&self.router, announced, caller.deadline, data)
            .await
            .map_err(refuse)?;
        let call = ServiceCall {
            method: request.method().as_str().into(),
            path: path.into(),
            content_type: request.content_type().map(|found| found.to_string().into()),
            body,
        };
        let answer = self
            .router
            .call_service(caller, rules, call)
            .await
            .map_err(refuse)?;
        Ok((id, answer))
    }
}

#[get("/healthz")]
const fn healthz() -> &'static str {
    "ok\n"
}

#[get("/readyz")]
fn readyz(router: &State<SharedRouter>) -> (Status, &'static str) {
    if router.fleet.is_draining() {
        return (Status::ServiceUnavailable, "draining\n");
    }
    if router.configuration.generation() == 0 {
        return (Status::ServiceUnavailable, "no accepted lists yet\n");
    }
    (Status::Ok, "ready\n")
}

#[get("/metrics")]
fn metrics(router: &State<SharedRouter>) -> String {
    router.telemetry.metrics_text()
}

/// The status of one router, for operators.
#[derive(Clone, Debug, Serialize)]
pub struct RouterStatus {
    /// The router's VM.
    pub vm: String,
    /// Holder id of the router process, which changes with every start.
    pub holder: String,
    /// Generation of the lists in force.
    pub generation: u64,
    /// True during graceful shutdown.
    pub draining: bool,
    /// Requests in progress.
    pub requests_in_progress: usize,
    /// Requests that wait for admission to a pool.
    pub requests_waiting: usize,
    /// Bills not yet written to the platform.
    pub unflushed_bills: usize,
    /// Other routers that are reachable.
    pub reachable_routers: usize,
    /// Budgets of which this router holds tokens.
    pub budgets: Vec<BudgetStatus>,
}

#[get("/status")]
fn status(router: &State<SharedRouter>) -> Json<RouterStatus> {
    let identity = router.fleet.identity();
    let members = router.fleet.members();
    Json(RouterStatus {
        vm: identity.vm.to_string(),
        holder: identity.holder.to_string(),
        generation: router.configuration.generation(),
        draining: router.fleet.is_draining(),
        requests_in_progress: router.requests.running_count(),
        requests_waiting: router.admission.waiting_count(),
        unflushed_bills: router.biller.unflushed_count(),
        reachable_routers: members
            .iter()
            .filter(|member| member.is_reachable())
            .count(),
        budgets: router.spender.status(),
    })
}

#[catch(404)]
fn unknown_path(request: &Request<'_>) -> RefusalResponse {
    let message = format!(
        "{} {} is not served",
        request.method(),
        request.uri().path()
    );
    RefusalResponse::new(Refusal::new(RefusalKind::BadRequest, message))
}

#[catch(default)]
fn other_error(status: Status, request: &Request<'_>) -> RefusalResponse {
    let refusal: &Option<Refusal> = request.local_cache(|| None);
    let refusal = refusal.clone().unwrap_or_else(|| {
        Refusal::new(
            RefusalKind::BadRequest,
            format!("request not accepted: {status}"),
        )
    });
    RefusalResponse::new(refusal)
}
