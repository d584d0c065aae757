//! Client of the platform's kind store.

use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use compact_str::CompactString;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use super::lenient_json::{is_unreadable, repair};
use super::names;
use crate::exchange::metrics::ExchangeMetrics;
use crate::store::health::{CallOutcome, StoreHealth};
use crate::store::kinds::{
    Change, Changes, Freshness, KindError, KindObject, KindStore, Listing, Revision,
};
use crate::tcp::connect;
use crate::util::lock;

/// Timeout of a call. A store that is only slow answers within a quarter of a second.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time added to the wait of a watch call for its timeout.
const WATCH_MARGIN: Duration = Duration::from_millis(1_500);
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without TCP acknowledgement after which a connection counts as lost. A pending watch
/// receives nothing, so only keepalive probes detect a lost connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest accepted body of an answer. A page of a listing is about a megabyte.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Most idle connections kept.
const MAX_IDLE: usize = 4;

#[derive(Debug, Deserialize)]
struct WireMetadata {
    name: CompactString,
    revision: u64,
}

#[derive(Debug, Deserialize)]
struct WireObject {
    metadata: WireMetadata,
    #[serde(default)]
    spec: Option<Box<RawValue>>,
}

#[derive(Debug, Deserialize)]
struct WireListing {
    items: Vec<WireObject>,
    has_more: bool,
    current_rev: u64,
}

#[derive(Debug, Deserialize)]
struct WireEvent {
    removed: bool,
    object: WireObject,
}

#[derive(Debug, Deserialize)]
struct WireEvents {
    events: Vec<WireEvent>,
    current_rev: u64,
}

#[derive(Debug, Serialize)]
struct WriteMetadata<'a> {
    name: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    revision: Option<u64>,
    finalizers: [&'a str; 0],
}

#[derive(Debug, Serialize)]
struct WriteObject<'a> {
    metadata: WriteMetadata<'a>,
    spec: &'a RawValue,
}

impl WireObject {
    /// Converts the object. A value that could not be read becomes null.
    fn into_object(self, era: u64, is_repaired: bool) -> KindObject {
        let spec = self.spec;
        let spec = spec.filter(|spec| !(is_repaired && is_unreadable(spec)));
        KindObject {
            name: self.metadata.name,
            revision: Revision::new(era, self.metadata.revision),
            value: spec.unwrap_or_else(|| RawValue::NULL.to_owned()),
        }
    }
}

type Sender = SendRequest<Full<Bytes>>;

/// A client of the platform's kind store over HTTP.
#[derive(Debug)]
pub(crate) struct PlatformStore {
    address: SocketAddr,
    metrics: Arc<ExchangeMetrics>,
    health: Arc<StoreHealth>,
    idle: Mutex<Vec<Sender>>,
}

struct Answer {
    status: StatusCode,
    /// Era of the store; 0 if the answer states none.
    era: u64,
    body: Bytes,
}

impl Answer {
    /// Decodes the object in the body.
    fn object(&self) -> Result<KindObject, KindError> {
        let decoded = decode::<WireObject>(&self.body)?;
        Ok(decoded.value.into_object(self.era, decoded.is_repaired))
    }
}

impl PlatformStore {
    /// Creates a client of the store at an address.
    pub(crate) fn new(
        address: SocketAddr,
        metrics: Arc<ExchangeMetrics>,
        health: Arc<StoreHealth>,
    ) -> Self {
        Self {
            address,
            metrics,
            health,
            idle: Mutex::default(),
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        timeout: Duration,
    ) -> Result<Answer, KindError> {
        let result = tokio::time::timeout(timeout, self.send(method, path, body)).await;
        let result = result.unwrap_or_else(|_| Err(no_answer("timed out")));
        let label = match &result {
            Ok(answer) => CompactString::from(answer.status.as_str()),
            Err(_) => "no_answer".into(),
        };
        self.metrics.record_store_call(&label);
        let status = result.as_ref().map(|answer| answer.status);
        self.health
            .record_call(status.map_or(CallOutcome::Failed, outcome_of));
        result
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<Answer, KindError> {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.address.to_string());
        if body.is_some() {
            request = request.header("content-type", "application/json");
        }
        let body = Full::new(Bytes::from(body.unwrap_or_default()));
        let request = request.body(body).map_err(no_answer)?;
        let mut sender = self.sender().await?;
        let response = sender.send_request(request).await.map_err(no_answer)?;
        let status = response.status();
        let era = response.headers().get(names::STORE_ERA);
        let era = era.and_then(|era| era.to_str().ok()?.trim().parse().ok());
        if let Some(era) = era {
            self.health.record_era(era);
            self.metrics.set_store_era(era);
        }
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
        let body = body.collect().await.map_err(no_answer)?;
        let mut idle = lock(&self.idle);
        if idle.len() < MAX_IDLE {
            idle.push(sender);
        }
        Ok(Answer {
            status,
            era: era.unwrap_or_default(),
            body: body.to_bytes(),
        })
    }

    async fn sender(&self) -> Result<Sender, KindError> {
        loop {
            let Some(mut sender) = lock(&self.idle).pop() else {
                break;
            };
            if sender.ready().await.is_ok() {
                return Ok(sender);
            }
        }
        let stream = connect(self.address, CONNECT_TIMEOUT, TCP_USER_TIMEOUT)
            .await
            .map_err(no_answer)?;
        let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .map_err(no_answer)?;
        // Errors of the connection are returned by the calls on it.
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(sender)
    }

    async fn write(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<Answer, KindError> {
        let answer = self.call(method, path, body, CALL_TIMEOUT).await?;
        check_status(answer)
    }
}

/// Returns what the status of an answer shows of the store.
fn outcome_of(status: StatusCode) -> CallOutcome {
    if status == StatusCode::TOO_MANY_REQUESTS {
        CallOutcome::RateLimited
    } else if status.is_server_error() {
        CallOutcome::Failed
    } else {
        CallOutcome::Answered
    }
}

/// Returns a successful answer, or the error for its status.
fn check_status(answer: Answer) -> Result<Answer, KindError> {
    match answer.status.as_u16() {
        200..=299 => Ok(answer),
        404 => Err(KindError::NotFound),
        409 => Err(KindError::Conflict(answer.object().ok().map(Box::new))),
        410 => Err(KindError::HistoryGone),
        status => Err(KindError::Busy { status }),
    }
}

fn no_answer(error: impl std::fmt::Display) -> KindError {
    KindError::NoAnswer {
        reason: compact_str::format_compact!("{error}"),
    }
}

/// A decoded answer.
struct Decoded<T> {
    value: T,
    /// True if values in the answer could not be read.
    is_repaired: bool,
}

fn decode<T>(body: &[u8]) -> Result<Decoded<T>, KindError>
where
    T: DeserializeOwned,
{
    match serde_json::from_slice(body) {
        Ok(value) => Ok(Decoded {
            value,
            is_repaired: false,
        }),
        Err(error) => match serde_json::from_str(&repair(body)) {
            Ok(value) => Ok(Decoded {
                value,
                is_repaired: true,
            }),
            Err(_) => Err(KindError::Decode {
                reason: compact_str::format_compact!("{error}"),
            }),
        },
    }
}

/// Encodes an object's name, which another writer may have chosen, for a query.
fn encode_name(name: &str) -> CompactString {
    let mut encoded = CompactString::default();
    for byte in name.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~:".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            // Writing to a string cannot fail.
            let _ = write!(encoded, "%{byte:02X}");
        }
    }
    encoded
}

fn object_body(
    name: &str,
    value: &RawValue,
    revision: Option<Revision>,
) -> Result<Vec<u8>, KindError> {
    let object = WriteObject {
        metadata: WriteMetadata {
            name,
            revision: revision.map(Revision::number),
            finalizers: [],
        },
        spec: value,
    };
    serde_json::to_vec(&object).map_err(|error| KindError::Decode {
        reason: compact_str::format_compact!("{error}"),
    })
}

#[async_trait]
impl KindStore for PlatformStore {
    async fn list(&self, kind: &str, freshness: Freshness) -> Result<Listing, KindError> {
        let mut listing = Listing::default();
        loop {
            let mut path = format!("/objects/{kind}");
            let mut separator = '?';
            if freshness == Freshness::Stale {
                path.push_str("?serializable=1");
                separator = '&';
            }
            if let Some(last) = listing.objects.last() {
                // Writing to a string cannot fail.
                let _ = write!(path, "{separator}after={}", encode_name(&last.name));
            }
            let answer = self.call(Method::GET, &path, None, CALL_TIMEOUT).await?;
            let answer = check_status(answer)?;
            let Decoded {
                value: page,
                is_repaired,
            } = decode::<WireListing>(&answer.body)?;
            let era = answer.era;
            // The revision of the first page: the watch repeats changes made between two pages.
            if listing.objects.is_empty() {
                listing.revision = Revision::new(era, page.current_rev);
            } else if listing.revision.era() != era {
                return Err(KindError::HistoryGone);
            }
            let is_last = !page.has_more || page.items.is_empty();
            let items = page.items.into_iter();
            listing
                .objects
                .extend(items.map(|item| item.into_object(era, is_repaired)));
            if is_last {
                return Ok(listing);
            }
        }
    }

    async fn watch(
        &self,
        kind: &str,
        after: Revision,
        wait: Duration,
        freshness: Freshness,
    ) -> Result<Changes, KindError> {
        let mut path = format!(
            "/objects/{kind}?watch={}&wait_ms={}",
            after.number(),
            wait.as_millis()
        );
        if freshness == Freshness::Stale {
            path.push_str("&serializable=1");
        }
        let answer = self
            .call(Method::GET, &path, None, wait + WATCH_MARGIN)
            .await?;
        let answer = check_status(answer)?;
        let era = answer.era;
        if era != after.era() {
            // The new era has other changes up to this number.
            return Err(KindError::HistoryGone);
        }
        let Decoded {
            value: events,
            is_repaired,
        } = decode::<WireEvents>(&answer.body)?;
        let changes = events.events.into_iter().map(|event| Change {
            object: event.object.into_object(era, is_repaired),
            is_removed: event.removed,
        });
        Ok(Changes {
            changes: changes.collect(),
            revision: Revision::new(era, events.current_rev),
        })
    }

    async fn get(&self, kind: &str, name: &str) -> Result<KindObject, KindError> {
        let path = format!("/objects/{kind}/{name}");
        let answer = self.call(Method::GET, &path, None, CALL_TIMEOUT).await?;
        check_status(answer)?.object()
    }

    async fn create(
        &self,
        kind: &str,
        name: &str,
        value: &RawValue,
    ) -> Result<Revision, KindError> {
        let body = object_body(name, value, None)?;
        let answer = self
            .write(Method::POST, &format!("/objects/{kind}"), Some(body))
            .await?;
        Ok(answer.object()?.revision)
    }

    async fn replace(
        &self,
        kind: &str,
        name: &str,
        value: &RawValue,
        expected: Revision,
    ) -> Result<Revision, KindError> {
        let body = object_body(name, value, Some(expected))?;
        let path = format!("/objects/{kind}/{name}");
        let answer = self.write(Method::PUT, &path, Some(body)).await?;
        Ok(answer.object()?.revision)
    }

    async fn remove(&self, kind: &str, name: &str, expected: Revision) -> Result<(), KindError> {
        let path = format!("/objects/{kind}/{name}?revision={}", expected.number());
        self.write(Method::DELETE, &path, None).await.map(drop)
    }
}
