//! A fake platform over HTTP: the object API on an in-memory store, and the VM list.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rocket::data::{Data, ToByteUnit};
use rocket::http::{Header, Status};
use rocket::request::{FromRequest, Outcome, Request};
use rocket::response::{Responder, Response};
use rocket::serde::json::Json;
use rocket::{get, put, routes, State};

use crate::http_server::{server_config, HttpServer, StartError};
use crate::store::memory::MemoryStore;
use crate::store::{Expected, Object, ObjectKey, ObjectStore, StoreError, MAX_VALUE_BYTES};
use crate::vm_list::VmRecord;

/// VM list of the fake platform, shared by its endpoints and the test that edits it.
pub type SharedVms = Arc<Mutex<Vec<VmRecord>>>;

/// An endpoint of a fake platform, listening on a loopback address.
#[derive(Debug)]
pub struct FakePlatform {
    server: HttpServer,
    store: Arc<MemoryStore>,
    vms: SharedVms,
    is_cut: Arc<AtomicBool>,
}

impl FakePlatform {
    /// Starts a platform without objects or VMs.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start(listen: SocketAddr) -> Result<Self, StartError> {
        Self::start_on(listen, Arc::new(MemoryStore::new()), SharedVms::default()).await
    }

    /// Starts another endpoint of the same platform, which can be made unavailable independently.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start_beside(&self, listen: SocketAddr) -> Result<Self, StartError> {
        Self::start_on(listen, self.store(), Arc::clone(&self.vms)).await
    }

    async fn start_on(
        listen: SocketAddr,
        store: Arc<MemoryStore>,
        vms: SharedVms,
    ) -> Result<Self, StartError> {
        let is_cut = Arc::new(AtomicBool::new(false));
        let rocket = rocket::custom(server_config(listen))
            .manage(Arc::clone(&store))
            .manage(Arc::clone(&vms))
            .manage(OutageFlag(Arc::clone(&is_cut)))
            .mount("/v1", routes![get_object, put_object, list_keys, list_vms]);
        let server = HttpServer::start(rocket).await?;
        Ok(Self {
            server,
            store,
            vms,
            is_cut,
        })
    }

    /// Returns the base URL for clients.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.server.address())
    }

    /// Returns the store, to inspect objects or inject faults.
    #[must_use]
    pub fn store(&self) -> Arc<MemoryStore> {
        Arc::clone(&self.store)
    }

    /// Makes the object API unavailable through this endpoint, or available again.
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }

    /// Replaces the VM list.
    pub fn set_vms(&self, vms: Vec<VmRecord>) {
        *self.vms.lock().unwrap_or_else(PoisonError::into_inner) = vms;
    }

    /// Returns the current VM list.
    #[must_use]
    pub fn vms(&self) -> Vec<VmRecord> {
        self.vms
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

struct OutageFlag(Arc<AtomicBool>);

/// Request guard that answers 503 while the endpoint is unavailable.
struct AvailableEndpoint;

#[rocket::async_trait]
impl<'r> FromRequest<'r> for AvailableEndpoint {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let flag = request.rocket().state::<OutageFlag>();
        if flag.is_some_and(|flag| flag.0.load(Ordering::SeqCst)) {
            return Outcome::Error((Status::ServiceUnavailable, ()));
        }
        Outcome::Success(Self)
    }
}

struct Condition(Option<Expected>);

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Condition {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        if request.headers().get_one("If-None-Match") == Some("*") {
            return Outcome::Success(Self(Some(Expected::Absent)));
        }
        let etag = request.headers().get_one("If-Match");
        let version = etag.and_then(|etag| etag.trim_matches('"').parse().ok());
        Outcome::Success(Self(version.map(Expected::Version)))
    }
}

struct Answer {
    status: Status,
    version: Option<u64>,
    body: Vec<u8>,
}

impl Answer {
    fn empty(status: Status) -> Self {
        Self {
            status,
            version: None,
            body: Vec::new(),
        }
    }

    fn from_object(object: Option<Object>, absent_status: Status) -> Self {
        match object {
            None => Self::empty(absent_status),
            Some(object) => Self {
                status: Status::Ok,
                version: Some(object.version),
                body: object.value.to_vec(),
            },
        }
    }

    fn from_error(error: &StoreError) -> Self {
        match error {
            StoreError::Conflict { .. } => Self::empty(Status::PreconditionFailed),
            StoreError::Unavailable { .. } => Self::empty(Status::ServiceUnavailable),
            StoreError::Refused { .. } => Self::empty(Status::PayloadTooLarge),
        }
    }
}

impl<'r> Responder<'r, 'static> for Answer {
    fn respond_to(self, _: &'r Request<'_>) -> rocket::response::Result<'static> {
        let mut response = Response::build();
        response.status(self.status);
        if let Some(version) = self.version {
            response.header(Header::new("ETag", format!("\"{version}\"")));
        }
        let length_bytes = self.body.len();
        response
            .sized_body(length_bytes, std::io::Cursor::new(self.body))
            .ok()
    }
}

fn object_key(path: &Path) -> ObjectKey {
    ObjectKey::new(path.to_string_lossy().into_owned())
}

#[get("/objects/<path..>?<after>&<wait_ms>")]
async fn get_object(
    _endpoint: AvailableEndpoint,
    store: &State<Arc<MemoryStore>>,
    path: PathBuf,
    after: Option<u64>,
    wait_ms: Option<u64>,
) -> Answer {
    let key = object_key(&path);
    let result = match (after, wait_ms) {
        (Some(after), Some(wait_ms)) => {
            store
                .watch(&key, after, Duration::from_millis(wait_ms))
                .await
        }
        _ => store.get(&key).await,
    };
    let absent_status = if after.is_some() {
        Status::NoContent
    } else {
        Status::NotFound
    };
    match result {
        Ok(object) => Answer::from_object(object, absent_status),
        Err(error) => Answer::from_error(&error),
    }
}

#[put("/objects/<path..>", data = "<data>")]
async fn put_object(
    _endpoint: AvailableEndpoint,
    store: &State<Arc<MemoryStore>>,
    path: PathBuf,
    condition: Condition,
    data: Data<'_>,
) -> Answer {
    let Condition(Some(expected)) = condition else {
        return Answer::empty(Status::PreconditionRequired);
    };
    let limit = (MAX_VALUE_BYTES + 1).bytes();
    let Ok(value) = data.open(limit).into_bytes().await else {
        return Answer::empty(Status::BadRequest);
    };
    match store
        .put(&object_key(&path), value.into_inner().into(), expected)
        .await
    {
        Ok(version) => Answer {
            status: Status::Ok,
            version: Some(version),
            body: Vec::new(),
        },
        Err(error) => Answer::from_error(&error),
    }
}

#[get("/keys?<prefix>")]
async fn list_keys(
    _endpoint: AvailableEndpoint,
    store: &State<Arc<MemoryStore>>,
    prefix: &str,
) -> Result<Json<Vec<ObjectKey>>, Status> {
    store
        .list(prefix)
        .await
        .map(Json)
        .map_err(|_| Status::ServiceUnavailable)
}

#[get("/vms")]
fn list_vms(vms: &State<SharedVms>) -> Json<Vec<VmRecord>> {
    Json(vms.lock().unwrap_or_else(PoisonError::into_inner).clone())
}
