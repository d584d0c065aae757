//! A fake plain service over HTTP that counts the runs of each request.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rocket::http::{Header, Method, Status};
use rocket::request::Request;
use rocket::response::{Responder, Response};
use rocket::route::{Handler, Outcome, Route};
use rocket::Data;

use crate::backend::http::REQUEST_ID_HEADER;
use crate::http_server::{server_config, HttpServer, StartError};
use crate::util::lock;

/// Faults to inject into the answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceFaults {
    /// Delay of the answer, in milliseconds.
    pub delay_ms: u64,
    /// Refuses requests with status 503, which means "not run", instead of running them.
    pub refuse: bool,
    /// Answers with another request's id.
    pub wrong_id: bool,
    /// Answers with this status instead of 200.
    pub status: Option<u16>,
}

#[derive(Debug, Default)]
struct ServiceState {
    faults: Mutex<ServiceFaults>,
    runs: Mutex<BTreeMap<String, u64>>,
}

/// A fake plain service listening on a loopback address.
#[derive(Debug)]
pub struct FakeService {
    server: HttpServer,
    state: Arc<ServiceState>,
}

impl FakeService {
    /// Starts a service.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn start(listen: SocketAddr) -> Result<Self, StartError> {
        let state = Arc::new(ServiceState::default());
        let handler = RunHandler {
            state: Arc::clone(&state),
        };
        let methods = [
            Method::Get,
            Method::Post,
            Method::Put,
            Method::Delete,
            Method::Patch,
        ];
        let routes: Vec<Route> = methods
            .into_iter()
            .map(|method| Route::new(method, "/<path..>", handler.clone()))
            .collect();
        let rocket = rocket::custom(server_config(listen)).mount("/", routes);
        let server = HttpServer::start(rocket).await?;
        Ok(Self { server, state })
    }

    /// Returns the bound address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the faults of all further answers.
    pub fn set_faults(&self, faults: ServiceFaults) {
        *lock(&self.state.faults) = faults;
    }

    /// Returns the number of runs of each request, by request id.
    #[must_use]
    pub fn runs(&self) -> BTreeMap<String, u64> {
        lock(&self.state.runs).clone()
    }
}

#[derive(Clone, Debug)]
struct RunHandler {
    state: Arc<ServiceState>,
}

#[rocket::async_trait]
impl Handler for RunHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, _: Data<'r>) -> Outcome<'r> {
        let faults = *lock(&self.state.faults);
        if faults.refuse {
            return Outcome::Success(
                Response::build()
                    .status(Status::ServiceUnavailable)
                    .finalize(),
            );
        }
        let id = request
            .headers()
            .get_one(REQUEST_ID_HEADER)
            .unwrap_or("none")
            .to_owned();
        let run_count = {
            let mut runs = lock(&self.state.runs);
            let count = runs.entry(id.clone()).or_default();
            *count += 1;
            *count
        };
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        let answer_id = if faults.wrong_id {
            format!("{id}-other")
        } else {
            id.clone()
        };
        let body = format!("{{\"request\":\"{id}\",\"run\":{run_count}}}\n");
        let answer = Answer {
            status: Status::new(faults.status.unwrap_or(Status::Ok.code)),
            request_id: answer_id,
            body,
        };
        Outcome::from(request, answer)
    }
}

struct Answer {
    status: Status,
    request_id: String,
    body: String,
}

impl<'r> Responder<'r, 'static> for Answer {
    fn respond_to(self, _: &'r Request<'_>) -> rocket::response::Result<'static> {
        let length_bytes = self.body.len();
        Response::build()
            .status(self.status)
            .header(Header::new(REQUEST_ID_HEADER, self.request_id))
            .header(rocket::http::ContentType::JSON)
            .sized_body(length_bytes, std::io::Cursor::new(self.body))
            .ok()
    }
}
