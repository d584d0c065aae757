//! A fake of the platform's object store, with fault injection.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::{json, Value};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Text that stands for a raw value, before its number.
const RAW_VALUE_TEXT: &str = "raw value ";
/// The same as the beginning of a JSON text.
const RAW_VALUE_START: &str = "\"raw value ";

/// Injected faults of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreFaults {
    /// Status with which each call is refused.
    pub error_status: Option<u16>,
    /// No call is answered while this is set; watches wait beyond their timeout.
    pub hangs: bool,
    /// Writes take effect, but their connection closes before the answer.
    pub drops_write_answers: bool,
    /// Watches from revisions below this one receive no changes.
    pub stalls_watches_before: Option<u64>,
    /// Delay in milliseconds before a write is processed.
    pub write_delay_ms: u64,
    /// Kind whose serializable (possibly stale) reads return an empty listing.
    pub stale_listing_kind: Option<&'static str>,
    /// Most items in one page of a listing; all if none.
    pub page_items: Option<usize>,
}

type Kinds = BTreeMap<String, BTreeMap<String, Value>>;

#[derive(Default)]
struct Objects {
    revision: u64,
    by_kind: Kinds,
    history: Vec<(u64, String, bool, Value)>,
    faults: StoreFaults,
    listings: BTreeMap<String, u64>,
    writes: u64,
    conflicts: u64,
    watches: BTreeMap<String, u64>,
    /// Era that all answers state, if any.
    era: Option<u64>,
    /// Objects and revision that serializable listings show, while these are stale.
    stale_copy: Option<(Kinds, u64)>,
    /// Values that answers contain as these bytes, by the number in the text that stands for them.
    raw_values: Vec<Vec<u8>>,
}

/// The state of a store at one time.
pub struct StoreCopy {
    revision: u64,
    by_kind: Kinds,
}

/// A fake store listening on a loopback address.
pub struct FakeStore {
    address: SocketAddr,
    objects: Arc<Mutex<Objects>>,
    changed: watch::Sender<u64>,
    connections: Arc<Mutex<Vec<JoinHandle<()>>>>,
}

impl FakeStore {
    pub async fn start() -> Self {
        let objects = Arc::new(Mutex::new(Objects {
            revision: 10,
            ..Objects::default()
        }));
        let changed = watch::Sender::new(0);
        let connections = Arc::new(Mutex::new(Vec::new()));
        let is_available = Arc::new(AtomicBool::new(true));
        let shared = (&objects, &changed, &connections);
        let address = listen(shared, &is_available, Vec::new()).await;
        Self {
            address,
            objects,
            changed,
            connections,
        }
    }

    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Opens another address of the store. It refuses all calls with 503 while the flag is false.
    pub async fn open_link(&self) -> (SocketAddr, Arc<AtomicBool>) {
        let is_available = Arc::new(AtomicBool::new(true));
        let shared = (&self.objects, &self.changed, &self.connections);
        let address = listen(shared, &is_available, Vec::new()).await;
        (address, is_available)
    }

    /// Opens another address of the store, whose answers name the second address of each pair in
    /// place of the first one.
    pub async fn open_view(&self, addresses: Vec<(SocketAddr, SocketAddr)>) -> SocketAddr {
        let is_available = Arc::new(AtomicBool::new(true));
        let shared = (&self.objects, &self.changed, &self.connections);
        listen(shared, &is_available, addresses).await
    }

    pub fn set_faults(&self, faults: StoreFaults) {
        self.objects.lock().unwrap().faults = faults;
    }

    /// Refuses all calls with 503 from now on, and closes all connections.
    pub fn start_outage(&self) {
        self.set_faults(StoreFaults {
            error_status: Some(503),
            ..StoreFaults::default()
        });
        self.close_connections();
    }

    /// Answers serializable listings from the present state from now on.
    pub fn freeze_stale_listings(&self) {
        let mut objects = self.objects.lock().unwrap();
        objects.stale_copy = Some((objects.by_kind.clone(), objects.revision));
    }

    /// Closes all connections, those of watches included.
    pub fn close_connections(&self) {
        for task in self.connections.lock().unwrap().drain(..) {
            task.abort();
        }
    }

    /// States an era in all answers from now on.
    pub fn begin_eras(&self) {
        self.objects.lock().unwrap().era = Some(1);
    }

    /// Returns a copy of the present state.
    pub fn copy(&self) -> StoreCopy {
        let objects = self.objects.lock().unwrap();
        StoreCopy {
            revision: objects.revision,
            by_kind: objects.by_kind.clone(),
        }
    }

    /// Loses all changes since a copy was made and begins a new era, in which their revisions are
    /// given out again. Connections are closed.
    pub fn restore(&self, copy: &StoreCopy) {
        self.restore_keeping_connections(copy);
        self.close_connections();
    }

    /// Like [`Self::restore`], but calls in progress are answered in the new era.
    pub fn restore_keeping_connections(&self, copy: &StoreCopy) {
        let mut objects = self.objects.lock().unwrap();
        objects.revision = copy.revision;
        objects.by_kind.clone_from(&copy.by_kind);
        objects
            .history
            .retain(|(revision, ..)| *revision <= copy.revision);
        let era = objects.era.expect("the store states no era");
        objects.era = Some(era + 1);
    }

    pub fn revision(&self) -> u64 {
        self.objects.lock().unwrap().revision
    }

    pub fn put(&self, kind: &str, name: &str, spec: &Value) {
        let mut objects = self.objects.lock().unwrap();
        objects.write(kind, name, spec);
        let revision = objects.revision;
        drop(objects);
        self.changed.send_replace(revision);
    }

    /// Writes an object whose value is answered as these bytes, which may be no JSON.
    pub fn put_raw(&self, kind: &str, name: &str, value: &[u8]) {
        let mut objects = self.objects.lock().unwrap();
        let number = objects.raw_values.len();
        objects.raw_values.push(value.to_owned());
        drop(objects);
        self.put(kind, name, &json!(format!("{RAW_VALUE_TEXT}{number}")));
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut objects = self.objects.lock().unwrap();
        objects.remove(kind, name);
        let revision = objects.revision;
        drop(objects);
        self.changed.send_replace(revision);
    }

    pub fn get(&self, kind: &str, name: &str) -> Option<Value> {
        let objects = self.objects.lock().unwrap();
        let object = objects.by_kind.get(kind)?.get(name)?;
        Some(object["spec"].clone())
    }

    /// Returns the number of writes that took effect and of those refused as conflicts.
    pub fn writes_and_conflicts(&self) -> (u64, u64) {
        let objects = self.objects.lock().unwrap();
        (objects.writes, objects.conflicts)
    }

    /// Returns the number of listings answered and watches received for a kind.
    pub fn reads(&self, kind: &str) -> u64 {
        self.watches(kind) + self.listings(kind)
    }

    /// Returns the number of watches received for a kind.
    pub fn watches(&self, kind: &str) -> u64 {
        let objects = self.objects.lock().unwrap();
        objects.watches.get(kind).copied().unwrap_or_default()
    }

    /// Returns the number of listings answered for a kind.
    pub fn listings(&self, kind: &str) -> u64 {
        let objects = self.objects.lock().unwrap();
        objects.listings.get(kind).copied().unwrap_or_default()
    }

    pub fn names(&self, kind: &str) -> Vec<String> {
        let objects = self.objects.lock().unwrap();
        let kind = objects.by_kind.get(kind);
        kind.map_or_else(Vec::new, |kind| kind.keys().cloned().collect())
    }
}

type Shared<'a> = (
    &'a Arc<Mutex<Objects>>,
    &'a watch::Sender<u64>,
    &'a Arc<Mutex<Vec<JoinHandle<()>>>>,
);

async fn listen(
    shared: Shared<'_>,
    is_available: &Arc<AtomicBool>,
    replaced_addresses: Vec<(SocketAddr, SocketAddr)>,
) -> SocketAddr {
    let replaced_addresses = Arc::new(replaced_addresses);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (objects, changed) = (Arc::clone(shared.0), shared.1.clone());
    let (connections, is_available) = (Arc::clone(shared.2), Arc::clone(is_available));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (objects, changed) = (Arc::clone(&objects), changed.clone());
            let is_available = Arc::clone(&is_available);
            let replaced_addresses = Arc::clone(&replaced_addresses);
            let service = service_fn(move |request| {
                let (objects, changed) = (Arc::clone(&objects), changed.clone());
                let replaced_addresses = Arc::clone(&replaced_addresses);
                let is_available = is_available.load(Ordering::Relaxed);
                async move {
                    let shared = Arc::clone(&objects);
                    let mut response = if is_available {
                        respond(objects, changed, request).await?
                    } else {
                        answer(503, &json!({}))
                    };
                    response = with_raw_values(response, &shared).await;
                    if !replaced_addresses.is_empty() {
                        response = with_addresses(response, &replaced_addresses).await;
                    }
                    let era = shared.lock().unwrap().era;
                    if let Some(era) = era {
                        response.headers_mut().insert("store-era", era.into());
                    }
                    Ok::<_, std::io::Error>(response)
                }
            });
            let task = tokio::spawn(async move {
                let _ = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
            connections.lock().unwrap().push(task);
        }
    });
    address
}

impl Objects {
    fn write(&mut self, kind: &str, name: &str, spec: &Value) -> Value {
        self.revision += 1;
        let object = json!({
            "metadata": {
                "name": name, "revision": self.revision, "created": self.revision,
                "finalizers": [], "deleting": false,
            },
            "spec": spec, "status": null,
        });
        let kind_objects = self.by_kind.entry(kind.to_owned()).or_default();
        kind_objects.insert(name.to_owned(), object.clone());
        self.history
            .push((self.revision, kind.to_owned(), false, object.clone()));
        object
    }

    fn remove(&mut self, kind: &str, name: &str) {
        let object = self
            .by_kind
            .get_mut(kind)
            .and_then(|kind| kind.remove(name));
        if let Some(object) = object {
            self.revision += 1;
            self.history
                .push((self.revision, kind.to_owned(), true, object));
        }
    }

    fn revision_of(&self, kind: &str, name: &str) -> Option<u64> {
        let object = self.by_kind.get(kind)?.get(name)?;
        object["metadata"]["revision"].as_u64()
    }

    fn events(&self, kind: &str, after: u64) -> Vec<Value> {
        let changes = self.history.iter();
        let wanted = changes
            .filter(|(revision, object_kind, _, _)| *revision > after && object_kind == kind);
        wanted
            .map(|(_, _, removed, object)| json!({"removed": removed, "object": object}))
            .collect()
    }
}

/// Result of a call; an error closes the connection without an answer.
type Answer = Result<Response<Full<Bytes>>, std::io::Error>;

fn answer(status: u16, body: &Value) -> Response<Full<Bytes>> {
    let body = Full::new(Bytes::from(body.to_string()));
    Response::builder().status(status).body(body).unwrap()
}

/// Replaces the texts that stand for raw values.
async fn with_raw_values(
    response: Response<Full<Bytes>>,
    objects: &Mutex<Objects>,
) -> Response<Full<Bytes>> {
    let (parts, body) = response.into_parts();
    let body = body.collect().await.unwrap().to_bytes();
    let text = std::str::from_utf8(&body).unwrap();
    let mut pieces = text.split(RAW_VALUE_START);
    let mut bytes = pieces.next().unwrap_or_default().as_bytes().to_vec();
    for piece in pieces {
        let (number, rest) = piece.split_once('"').unwrap();
        let number: usize = number.parse().unwrap();
        bytes.extend_from_slice(&objects.lock().unwrap().raw_values[number]);
        bytes.extend_from_slice(rest.as_bytes());
    }
    Response::from_parts(parts, Full::new(bytes.into()))
}

/// Replaces addresses in an answer.
async fn with_addresses(
    response: Response<Full<Bytes>>,
    replaced: &[(SocketAddr, SocketAddr)],
) -> Response<Full<Bytes>> {
    let (parts, body) = response.into_parts();
    let body = body.collect().await.unwrap().to_bytes();
    let mut text = String::from_utf8(body.to_vec()).unwrap();
    for (from, to) in replaced {
        text = text.replace(&from.to_string(), &to.to_string());
    }
    Response::from_parts(parts, Full::new(text.into()))
}

fn query_text<'a>(request: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    let query = request.uri().query()?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    Some(pairs.find(|(key, _)| *key == name)?.1)
}

fn query(request: &Request<Incoming>, name: &str) -> Option<u64> {
    query_text(request, name)?.parse().ok()
}

/// Decodes a percent-encoded text.
fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((byte, tail)) = rest.split_first() {
        let digits = tail
            .get(..2)
            .and_then(|digits| std::str::from_utf8(digits).ok());
        let decoded = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        if let Some(decoded) = decoded.filter(|_| *byte == b'%') {
            bytes.push(decoded);
            rest = &tail[2..];
        } else {
            bytes.push(*byte);
            rest = tail;
        }
    }
    String::from_utf8(bytes).unwrap()
}

async fn respond(
    objects: Arc<Mutex<Objects>>,
    changed: watch::Sender<u64>,
    request: Request<Incoming>,
) -> Answer {
    let faults = objects.lock().unwrap().faults;
    if let Some(status) = faults.error_status {
        return Ok(answer(status, &json!({})));
    }
    let is_watch = query(&request, "watch").is_some();
    while !is_watch && objects.lock().unwrap().faults.hangs {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let path = request.uri().path().to_owned();
    let mut segments = path.trim_start_matches("/objects/").splitn(2, '/');
    let kind = segments.next().unwrap_or_default().to_owned();
    let name = segments.next().map(str::to_owned);
    if let Some(after) = query(&request, "watch") {
        let wait_ms = query(&request, "wait_ms").unwrap_or(0);
        return Ok(watch_kind(&objects, &changed, &kind, (after, wait_ms)).await);
    }
    let method = request.method().clone();
    let revision = query(&request, "revision");
    let is_stale = query(&request, "serializable").is_some();
    let page = Page {
        after: query_text(&request, "after").map(decode_percent),
        items: faults.page_items.unwrap_or(usize::MAX),
    };
    let body = request.into_body().collect().await.unwrap().to_bytes();
    let body: Value = serde_json::from_slice(&body).unwrap_or_default();
    if method != Method::GET {
        tokio::time::sleep(Duration::from_millis(faults.write_delay_ms)).await;
    }
    let mut state = objects.lock().unwrap();
    if method == Method::GET {
        if name.is_none() {
            *state.listings.entry(kind.clone()).or_default() += 1;
        }
        if is_stale && faults.stale_listing_kind == Some(&kind) {
            return Ok(answer(
                200,
                &json!({"items": [], "has_more": false, "current_rev": 1}),
            ));
        }
        if let Some((copy, revision)) = state.stale_copy.as_ref().filter(|_| is_stale) {
            return Ok(read(copy, *revision, &kind, name.as_deref(), &page));
        }
        return Ok(read(
            &state.by_kind,
            state.revision,
            &kind,
            name.as_deref(),
            &page,
        ));
    }
    let result = write(&mut state, &method, &kind, name, revision, &body);
    let now = state.revision;
    drop(state);
    changed.send_replace(now);
    if faults.drops_write_answers {
        return Err(std::io::Error::other(
            "injected fault: the answer is dropped",
        ));
    }
    Ok(result)
}

/// Which part of a listing is read.
struct Page {
    /// Name after which it begins.
    after: Option<String>,
    /// Most items.
    items: usize,
}

fn read(
    kinds: &Kinds,
    revision: u64,
    kind: &str,
    name: Option<&str>,
    page: &Page,
) -> Response<Full<Bytes>> {
    let objects = kinds.get(kind);
    let Some(name) = name else {
        let objects = objects.into_iter().flatten();
        let mut left = objects.filter(|(name, _)| page.after.as_ref() < Some(name));
        let items: Vec<&Value> = left
            .by_ref()
            .take(page.items)
            .map(|(_, object)| object)
            .collect();
        let has_more = left.next().is_some();
        let listing = json!({"items": items, "has_more": has_more, "current_rev": revision});
        return answer(200, &listing);
    };
    match objects.and_then(|kind| kind.get(name)) {
        Some(object) => answer(200, object),
        None => answer(404, &json!({})),
    }
}

fn write(
    state: &mut Objects,
    method: &Method,
    kind: &str,
    name: Option<String>,
    revision: Option<u64>,
    body: &Value,
) -> Response<Full<Bytes>> {
    let body_name = body["metadata"]["name"].as_str().map(str::to_owned);
    let name = name.or(body_name).unwrap_or_default();
    let current = state.revision_of(kind, &name);
    let expected = revision.or_else(|| body["metadata"]["revision"].as_u64());
    let is_conflict = match *method {
        Method::POST => current.is_some(),
        _ => expected.is_some_and(|expected| current.is_some_and(|now| now != expected)),
    };
    state.conflicts += u64::from(is_conflict);
    state.writes += u64::from(!is_conflict);
    if is_conflict {
        let object = state.by_kind[kind][&name].clone();
        return answer(409, &object);
    }
    if *method != Method::POST && current.is_none() {
        return answer(404, &json!({}));
    }
    if *method == Method::DELETE {
        state.remove(kind, &name);
        return answer(200, &json!({}));
    }
    let object = state.write(kind, &name, &body["spec"]);
    answer(200, &object)
}

async fn watch_kind(
    objects: &Arc<Mutex<Objects>>,
    changed: &watch::Sender<u64>,
    kind: &str,
    (after, wait_ms): (u64, u64),
) -> Response<Full<Bytes>> {
    *objects
        .lock()
        .unwrap()
        .watches
        .entry(kind.to_owned())
        .or_default() += 1;
    let mut updates = changed.subscribe();
    let end = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
    loop {
        {
            let state = objects.lock().unwrap();
            if after > state.revision {
                return answer(410, &json!({}));
            }
            let stalls_watches_before = state.faults.stalls_watches_before;
            let is_stalled =
                state.faults.hangs || stalls_watches_before.is_some_and(|before| after < before);
            let events = state.events(kind, after);
            if !events.is_empty() && !is_stalled {
                let found = json!({"events": events, "current_rev": state.revision});
                return answer(200, &found);
            }
        }
        // Polls at least every 50 ms, so that it also notices when the hang fault is cleared.
        let _ = tokio::time::timeout(Duration::from_millis(50), updates.changed()).await;
        let state = objects.lock().unwrap();
        if tokio::time::Instant::now() >= end && !state.faults.hangs {
            return answer(200, &json!({"events": [], "current_rev": state.revision}));
        }
    }
}
