//! Router-to-router calls over Cap'n Proto.
//!
//! The library's objects are not `Send` and stay on one thread, which receives calls over a
//! channel. A connection starts with mutual challenge-response authentication by the fleet's
//! secret; the methods are available only after it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{twoparty, RpcSystem};
use futures::AsyncReadExt;
use hmac::{Hmac, KeyInit, Mac};
use rand::Rng;
use serde::de::DeserializeOwned;
use serde::Serialize;
use sha2::Sha256;
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::LocalSet;
use tokio_util::compat::TokioAsyncReadCompatExt;

use super::{
    Greeting, HorizonExtension, PeerError, PeerNetwork, PeerRouter, RequestLookup, ReservationCall,
    Transfer, TransferRequest,
};
use crate::accepted::ListsDelta;
use crate::core::bill::Bill;
use crate::core::ids::{BudgetId, HolderId, RequestId, TeamId};
use crate::core::ledger::Generation;
use crate::core::suspect_reservations::ReservationOutcome;
use crate::core::units::Tokens;
use crate::core::witness::WitnessRecord;
use crate::router_capnp::{gate, router, Status};

/// Size of a challenge in bytes.
const NONCE_BYTES: usize = 32;
/// Minimum length of the fleet's secret in bytes.
pub const MIN_SECRET_BYTES: usize = 16;
/// Timeout for connecting and authenticating.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for a call; callers set shorter ones.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Capacity of the queue of calls to the RPC thread.
const CALL_QUEUE_CAPACITY: usize = 1_024;

/// The secret shared by all routers of a fleet.
#[derive(Clone)]
pub struct FleetSecret(Arc<[u8]>);

impl std::fmt::Debug for FleetSecret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("FleetSecret")
    }
}

/// Reason why the RPC network did not start.
#[derive(Debug, Error)]
pub enum RpcError {
    /// The secret is too short.
    #[error("the fleet's secret has fewer than {MIN_SECRET_BYTES} bytes")]
    ShortSecret,
    /// The address cannot be bound.
    #[error("{listen}: {source}")]
    Listen {
        /// The address.
        listen: SocketAddr,
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// The RPC thread or its runtime cannot be started.
    #[error("router-to-router thread: {0}")]
    Thread(std::io::Error),
}

impl FleetSecret {
    /// Creates a secret from its bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if it is shorter than [`MIN_SECRET_BYTES`].
    pub fn new(bytes: &[u8]) -> Result<Self, RpcError> {
        if bytes.len() < MIN_SECRET_BYTES {
            return Err(RpcError::ShortSecret);
        }
        Ok(Self(bytes.into()))
    }

    fn proof(&self, role: &[u8], nonce: &[u8], other_nonce: &[u8]) -> Hmac<Sha256> {
        let mut mac = <Hmac<Sha256> as KeyInit>::new_from_slice(&self.0)
            .unwrap_or_else(|_| unreachable!("HMAC takes keys of any length"));
        mac.update(role);
        mac.update(nonce);
        mac.update(other_nonce);
        mac
    }
}

fn new_nonce() -> [u8; NONCE_BYTES] {
    let mut nonce = [0; NONCE_BYTES];
    rand::rng().fill_bytes(&mut nonce);
    nonce
}

#[allow(clippy::needless_pass_by_value, reason = "passed to map_err")]
fn rpc_error<T>(error: T) -> capnp::Error
where
    T: ToString,
{
    capnp::Error::failed(error.to_string())
}

fn to_json<T>(value: &T) -> Result<Vec<u8>, capnp::Error>
where
    T: Serialize,
{
    serde_json::to_vec(value).map_err(rpc_error)
}

fn from_json<T>(data: &[u8]) -> Result<T, capnp::Error>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(data).map_err(rpc_error)
}

fn status_of<T>(result: &Result<T, PeerError>) -> Status {
    match result {
        Ok(_) => Status::Ok,
        Err(PeerError::OtherProcess { .. }) => Status::OtherProcess,
        Err(PeerError::NoAnswer { .. }) => Status::Refused,
    }
}

/// Authenticates callers and gives them access to the router's methods.
struct GateServer {
    secret: FleetSecret,
    service: Arc<dyn PeerRouter>,
    nonce: std::cell::Cell<Option<[u8; NONCE_BYTES]>>,
}

impl gate::Server for GateServer {
    async fn challenge(
        self: Rc<Self>,
        _: gate::ChallengeParams,
        mut results: gate::ChallengeResults,
    ) -> Result<(), capnp::Error> {
        let nonce = new_nonce();
        self.nonce.set(Some(nonce));
        results.get().set_nonce(&nonce);
        Ok(())
    }

    async fn open(
        self: Rc<Self>,
        params: gate::OpenParams,
        mut results: gate::OpenResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let nonce = self
            .nonce
            .take()
            .ok_or_else(|| rpc_error("no challenge was asked for"))?;
        let caller_nonce = params.get_caller_nonce()?;
        let mac = self.secret.proof(b"caller", &nonce, caller_nonce);
        mac.verify_slice(params.get_proof()?)
            .map_err(|_| rpc_error("proof does not fit"))?;
        let proof = self
            .secret
            .proof(b"router", caller_nonce, &nonce)
            .finalize()
            .into_bytes();
        let server = RouterServer {
            service: Arc::clone(&self.service),
        };
        results.get().set_router(capnp_rpc::new_client(server));
        results.get().set_proof(&proof);
        Ok(())
    }
}

/// Forwards calls to the router.
struct RouterServer {
    service: Arc<dyn PeerRouter>,
}

fn read_horizons(
    params: router::extend_params::Reader<'_>,
) -> Result<Vec<HorizonExtension>, capnp::Error> {
    let mut horizons = Vec::new();
    for item in params.get_horizons()? {
        horizons.push(HorizonExtension {
            holder: HolderId::new(item.get_holder()),
            budget: item.get_budget()?.to_str()?.parse().map_err(rpc_error)?,
            horizon_tokens: Tokens::new(item.get_horizon_tokens()),
        });
    }
    Ok(horizons)
}

impl router::Server for RouterServer {
    async fn hello(
        self: Rc<Self>,
        params: router::HelloParams,
        mut results: router::HelloResults,
    ) -> Result<(), capnp::Error> {
        let greeting = from_json(params.get()?.get_greeting_json()?)?;
        let answer = self.service.hello(greeting).await.map_err(rpc_error)?;
        results.get().set_greeting_json(&to_json(&answer)?);
        Ok(())
    }

    async fn extend(
        self: Rc<Self>,
        params: router::ExtendParams,
        mut results: router::ExtendResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let horizons = read_horizons(params)?;
        let witness = HolderId::new(params.get_witness());
        let answer = self.service.extend(witness, horizons).await;
        results.get().set_status(status_of(&answer));
        let records = answer.unwrap_or_default();
        let length = u32::try_from(records.len()).map_err(rpc_error)?;
        let mut list = results.get().init_records(length);
        for (index, record) in (0..).zip(&records) {
            let mut item = list.reborrow().get(index);
            item.set_horizon_tokens(record.horizon_tokens.get());
            item.set_sealed(record.sealed);
        }
        Ok(())
    }

    async fn seal(
        self: Rc<Self>,
        params: router::SealParams,
        mut results: router::SealResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let witness = HolderId::new(params.get_witness());
        let holder = HolderId::new(params.get_holder());
        let budget: BudgetId = params.get_budget()?.to_str()?.parse().map_err(rpc_error)?;
        let answer = self.service.seal(witness, holder, budget).await;
        results.get().set_status(status_of(&answer));
        let record = answer.unwrap_or_default();
        let mut item = results.get().init_record();
        item.set_horizon_tokens(record.horizon_tokens.get());
        item.set_sealed(record.sealed);
        Ok(())
    }

    async fn keep_bills(
        self: Rc<Self>,
        params: router::KeepBillsParams,
        mut results: router::KeepBillsResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let holder = HolderId::new(params.get_holder());
        let bills: Vec<Bill> = from_json(params.get_bills_json()?)?;
        let through = params.get_flushed_through();
        let answer = self.service.keep_bills(holder, through, bills).await;
        results.get().set_status(status_of(&answer));
        Ok(())
    }

    async fn take_tokens(
        self: Rc<Self>,
        params: router::TakeTokensParams,
        mut results: router::TakeTokensResults,
    ) -> Result<(), capnp::Error> {
        let transfer_request = params.get()?.get_wish()?;
        let transfer_request = TransferRequest {
            receiver: HolderId::new(transfer_request.get_receiver()),
            budget: transfer_request
                .get_budget()?
                .to_str()?
                .parse()
                .map_err(rpc_error)?,
            sender: transfer_request
                .get_has_sender()
                .then(|| HolderId::new(transfer_request.get_sender())),
            received_tokens: Tokens::new(transfer_request.get_received_tokens()),
            wanted_tokens: Tokens::new(transfer_request.get_wanted_tokens()),
        };
        let answer = self.service.take_tokens(transfer_request).await;
        results.get().set_status(status_of(&answer));
        if let Ok(transfer) = answer {
            results.get().set_sender(transfer.sender.get());
            results.get().set_total_tokens(transfer.total_tokens.get());
        }
        Ok(())
    }

    async fn lists_since(
        self: Rc<Self>,
        params: router::ListsSinceParams,
        mut results: router::ListsSinceResults,
    ) -> Result<(), capnp::Error> {
        let answer = self
            .service
            .lists_since(params.get()?.get_generation())
            .await;
        results.get().set_status(status_of(&answer));
        if let Ok(delta) = answer {
            results.get().set_delta_json(&to_json(&delta)?);
        }
        Ok(())
    }

    async fn find_request(
        self: Rc<Self>,
        params: router::FindRequestParams,
        mut results: router::FindRequestResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let team: TeamId = params.get_team()?.to_str()?.parse().map_err(rpc_error)?;
        let request: RequestId = params.get_request()?.to_str()?.parse().map_err(rpc_error)?;
        let answer = self.service.find_request(team, request).await;
        results.get().set_status(status_of(&answer));
        if let Ok(found) = answer {
            results.get().set_found_json(&to_json(&found)?);
        }
        Ok(())
    }

    async fn place_suspect(
        self: Rc<Self>,
        params: router::PlaceSuspectParams,
        mut results: router::PlaceSuspectResults,
    ) -> Result<(), capnp::Error> {
        let call = from_json(params.get()?.get_call_json()?)?;
        let answer = self.service.reserve_replica(call).await;
        results.get().set_status(status_of(&answer));
        if let Ok(verdict) = answer {
            results.get().set_verdict_json(&to_json(&verdict)?);
        }
        Ok(())
    }
}

/// A call to a peer, executed on the RPC thread.
enum Call {
    Hello(Greeting),
    Extend(HolderId, Vec<HorizonExtension>),
    Seal(HolderId, HolderId, BudgetId),
    KeepBills(HolderId, u64, Vec<Bill>),
    TakeTokens(TransferRequest),
    ListsSince(Generation),
    FindRequest(TeamId, RequestId),
    ReserveReplica(ReservationCall),
}

enum Answer {
    Greeting(Greeting),
    Records(Vec<WitnessRecord>),
    Done,
    Transfer(Transfer),
    Delta(ListsDelta),
    Found(RequestLookup),
    Verdict(ReservationOutcome),
    OtherProcess,
}

struct QueuedCall {
    address: SocketAddr,
    call: Call,
    answer: oneshot::Sender<Result<Answer, String>>,
}

/// RPC endpoint of one process: serves its own router and calls the others.
#[derive(Clone, Debug)]
pub struct RpcNetwork {
    calls: mpsc::Sender<QueuedCall>,
    services: mpsc::Sender<Arc<dyn PeerRouter>>,
    address: SocketAddr,
}

impl std::fmt::Debug for QueuedCall {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Outgoing({})", self.address)
    }
}

impl RpcNetwork {
    /// Binds the address and starts the RPC thread. Connections are served after
    /// [`serve`](Self::serve).
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound or the thread cannot be started.
    pub fn start(listen: SocketAddr, secret: FleetSecret) -> Result<Self, RpcError> {
        let fail = |source| RpcError::Listen { listen, source };
        let listener = std::net::TcpListener::bind(listen).map_err(fail)?;
        listener.set_nonblocking(true).map_err(fail)?;
        let address = listener.local_addr().map_err(fail)?;
        let (calls, call_receiver) = mpsc::channel(CALL_QUEUE_CAPACITY);
        let (services, service_receiver) = mpsc::channel(1);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(RpcError::Thread)?;
        std::thread::Builder::new()
            .name("peer-rpc".to_owned())
            .spawn(move || {
                let local = LocalSet::new();
                local.block_on(&runtime, async move {
                    tokio::task::spawn_local(serve(listener, service_receiver, secret.clone()));
                    run_calls(call_receiver, secret).await;
                });
            })
            .map_err(RpcError::Thread)?;
        Ok(Self {
            calls,
            services,
            address,
        })
    }

    /// Returns the bound address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the router that serves incoming calls.
    pub async fn serve(&self, router: Arc<dyn PeerRouter>) {
        let _ = self.services.send(router).await;
    }
}

impl PeerNetwork for RpcNetwork {
    fn peer(&self, address: SocketAddr) -> Arc<dyn PeerRouter> {
        Arc::new(RpcPeer {
            calls: self.calls.clone(),
            address,
        })
    }
}

async fn serve(
    listener: std::net::TcpListener,
    mut services: mpsc::Receiver<Arc<dyn PeerRouter>>,
    secret: FleetSecret,
) {
    let Some(service) = services.recv().await else {
        return;
    };
    let Ok(listener) = TcpListener::from_std(listener) else {
        return;
    };
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let nonce = std::cell::Cell::new(None);
        let gate = GateServer {
            secret: secret.clone(),
            service: Arc::clone(&service),
            nonce,
        };
        let client: gate::Client = capnp_rpc::new_client(gate);
        let network = vat_network(stream, Side::Server);
        tokio::task::spawn_local(RpcSystem::new(network, Some(client.client)));
    }
}

fn vat_network(stream: TcpStream, side: Side) -> Box<dyn capnp_rpc::VatNetwork<Side>> {
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.compat().split();
    let reader = futures::io::BufReader::new(reader);
    let writer = futures::io::BufWriter::new(writer);
    Box::new(twoparty::VatNetwork::new(
        reader,
        writer,
        side,
        capnp::message::ReaderOptions::new(),
    ))
}

type Connections = Rc<tokio::sync::Mutex<HashMap<SocketAddr, Rc<ConnectionSlot>>>>;
type ConnectionSlot = tokio::sync::Mutex<Option<router::Client>>;

async fn run_calls(mut calls: mpsc::Receiver<QueuedCall>, secret: FleetSecret) {
    let connections = Connections::default();
    while let Some(queued) = calls.recv().await {
        let connections = Rc::clone(&connections);
        let secret = secret.clone();
        tokio::task::spawn_local(async move {
            let work = make_call(&connections, &secret, queued.address, queued.call);
            let result = if let Ok(result) = tokio::time::timeout(CALL_TIMEOUT, work).await {
                result.map_err(|error| error.to_string())
            } else {
                connections.lock().await.remove(&queued.address);
                Err("timeout".to_owned())
            };
            let _ = queued.answer.send(result);
        });
    }
}

/// Makes a call over the cached connection, or over a new one.
async fn make_call(
    connections: &Connections,
    secret: &FleetSecret,
    address: SocketAddr,
    call: Call,
) -> Result<Answer, capnp::Error> {
    let slot = Rc::clone(connections.lock().await.entry(address).or_default());
    let client = {
        let mut client = slot.lock().await;
        if let Some(client) = client.as_ref() {
            client.clone()
        } else {
            let connected = tokio::time::timeout(CONNECT_TIMEOUT, connect(address, secret));
            let opened = connected
                .await
                .map_err(|_| rpc_error("timeout while connecting"))??;
            client.insert(opened).clone()
        }
    };
    let result = send(&client, call).await;
    if result.is_err() {
        slot.lock().await.take();
    }
    result
}

async fn connect(
    address: SocketAddr,
    secret: &FleetSecret,
) -> Result<router::Client, capnp::Error> {
    let stream = TcpStream::connect(address).await.map_err(rpc_error)?;
    let mut system = RpcSystem::new(vat_network(stream, Side::Client), None);
    let gate: gate::Client = system.bootstrap(Side::Server);
    tokio::task::spawn_local(system);
    let challenge = gate.challenge_request().send().promise.await?;
    let nonce = challenge.get()?.get_nonce()?;
    let own_nonce = new_nonce();
    let mut request = gate.open_request();
    let proof = secret
        .proof(b"caller", nonce, &own_nonce)
        .finalize()
        .into_bytes();
    request.get().set_caller_nonce(&own_nonce);
    request.get().set_proof(&proof);
    let opened = request.send().promise.await?;
    let opened = opened.get()?;
    let mac = secret.proof(b"router", &own_nonce, nonce);
    mac.verify_slice(opened.get_proof()?)
        .map_err(|_| rpc_error("peer's proof does not match"))?;
    opened.get_router()
}

async fn send(client: &router::Client, call: Call) -> Result<Answer, capnp::Error> {
    match call {
        Call::Hello(greeting) => {
            let mut request = client.hello_request();
            request.get().set_greeting_json(&to_json(&greeting)?);
            let response = request.send().promise.await?;
            from_json(response.get()?.get_greeting_json()?).map(Answer::Greeting)
        }
        Call::Extend(witness, horizons) => send_extend(client, witness, &horizons).await,
        Call::Seal(witness, holder, budget) => send_seal(client, witness, holder, &budget).await,
        Call::KeepBills(holder, through, bills) => {
            let mut request = client.keep_bills_request();
            request.get().set_holder(holder.get());
            request.get().set_flushed_through(through);
            request.get().set_bills_json(&to_json(&bills)?);
            let response = request.send().promise.await?;
            check_status(response.get()?.get_status()?, || Ok(Answer::Done))
        }
        Call::TakeTokens(transfer_request) => send_take_tokens(client, &transfer_request).await,
        Call::ListsSince(generation) => {
            let mut request = client.lists_since_request();
            request.get().set_generation(generation);
            let response = request.send().promise.await?;
            let response = response.get()?;
            check_status(response.get_status()?, || {
                from_json(response.get_delta_json()?).map(Answer::Delta)
            })
        }
        Call::FindRequest(team, name) => {
            let mut request = client.find_request_request();
            request.get().set_team(team.as_str());
            request.get().set_request(name.as_str());
            let response = request.send().promise.await?;
            let response = response.get()?;
            check_status(response.get_status()?, || {
                from_json(response.get_found_json()?).map(Answer::Found)
            })
        }
        Call::ReserveReplica(call) => {
            let mut request = client.place_suspect_request();
            request.get().set_call_json(&to_json(&call)?);
            let response = request.send().promise.await?;
            let response = response.get()?;
            check_status(response.get_status()?, || {
                from_json(response.get_verdict_json()?).map(Answer::Verdict)
            })
        }
    }
}

fn check_status<F>(status: Status, read: F) -> Result<Answer, capnp::Error>
where
    F: FnOnce() -> Result<Answer, capnp::Error>,
{
    match status {
        Status::Ok => read(),
        Status::OtherProcess => Ok(Answer::OtherProcess),
        Status::Refused => Err(rpc_error("peer refused")),
    }
}

fn read_record(record: crate::router_capnp::record::Reader<'_>) -> WitnessRecord {
    let horizon_tokens = Tokens::new(record.get_horizon_tokens());
    WitnessRecord {
        horizon_tokens,
        sealed: record.get_sealed(),
    }
}

async fn send_extend(
    client: &router::Client,
    witness: HolderId,
    horizons: &[HorizonExtension],
) -> Result<Answer, capnp::Error> {
    let mut request = client.extend_request();
    request.get().set_witness(witness.get());
    let length = u32::try_from(horizons.len()).map_err(rpc_error)?;
    let mut list = request.get().init_horizons(length);
    for (index, horizon) in (0..).zip(horizons) {
        let mut item = list.reborrow().get(index);
        item.set_holder(horizon.holder.get());
        item.set_budget(horizon.budget.as_str());
        item.set_horizon_tokens(horizon.horizon_tokens.get());
    }
    let response = request.send().promise.await?;
    let response = response.get()?;
    check_status(response.get_status()?, || {
        Ok(Answer::Records(
            response.get_records()?.iter().map(read_record).collect(),
        ))
    })
}

async fn send_seal(
    client: &router::Client,
    witness: HolderId,
    holder: HolderId,
    budget: &BudgetId,
) -> Result<Answer, capnp::Error> {
    let mut request = client.seal_request();
    request.get().set_witness(witness.get());
    request.get().set_holder(holder.get());
    request.get().set_budget(budget.as_str());
    let response = request.send().promise.await?;
    let response = response.get()?;
    check_status(response.get_status()?, || {
        Ok(Answer::Records(vec![read_record(response.get_record()?)]))
    })
}

async fn send_take_tokens(
    client: &router::Client,
    transfer_request: &TransferRequest,
) -> Result<Answer, capnp::Error> {
    let mut request = client.take_tokens_request();
    let mut item = request.get().init_wish();
    item.set_receiver(transfer_request.receiver.get());
    item.set_budget(transfer_request.budget.as_str());
    item.set_has_sender(transfer_request.sender.is_some());
    item.set_sender(transfer_request.sender.map_or(0, HolderId::get));
    item.set_received_tokens(transfer_request.received_tokens.get());
    item.set_wanted_tokens(transfer_request.wanted_tokens.get());
    let response = request.send().promise.await?;
    let response = response.get()?;
    check_status(response.get_status()?, || {
        Ok(Answer::Transfer(Transfer {
            sender: HolderId::new(response.get_sender()),
            total_tokens: Tokens::new(response.get_total_tokens()),
        }))
    })
}

/// A client of the router at one address.
#[derive(Debug)]
struct RpcPeer {
    calls: mpsc::Sender<QueuedCall>,
    address: SocketAddr,
}

impl RpcPeer {
    async fn call(&self, call: Call) -> Result<Answer, PeerError> {
        let (answer, receiver) = oneshot::channel();
        let queued = QueuedCall {
            address: self.address,
            call,
            answer,
        };
        if self.calls.send(queued).await.is_err() {
            return Err(self.no_answer("the RPC thread has ended"));
        }
        match receiver.await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(reason)) => Err(self.no_answer(&reason)),
            Err(_) => Err(self.no_answer("call was dropped")),
        }
    }

    fn no_answer(&self, reason: &str) -> PeerError {
        PeerError::NoAnswer {
            address: self.address,
            reason: reason.to_owned(),
        }
    }

    fn unexpected_answer<T>(&self, answer: &Answer, wanted: HolderId) -> Result<T, PeerError> {
        if matches!(answer, Answer::OtherProcess) {
            return Err(PeerError::OtherProcess {
                address: self.address,
                wanted,
            });
        }
        Err(self.no_answer("unexpected answer type"))
    }
}

#[async_trait]
impl PeerRouter for RpcPeer {
    async fn hello(&self, greeting: Greeting) -> Result<Greeting, PeerError> {
        let holder = greeting.holder;
        match self.call(Call::Hello(greeting)).await? {
            Answer::Greeting(greeting) => Ok(greeting),
            other => self.unexpected_answer(&other, holder),
        }
    }

    async fn extend(
        &self,
        witness: HolderId,
        horizons: Vec<HorizonExtension>,
    ) -> Result<Vec<WitnessRecord>, PeerError> {
        match self.call(Call::Extend(witness, horizons)).await? {
            Answer::Records(records) => Ok(records),
            other => self.unexpected_answer(&other, witness),
        }
    }

    async fn seal(
        &self,
        witness: HolderId,
        holder: HolderId,
        budget: BudgetId,
    ) -> Result<WitnessRecord, PeerError> {
        match self.call(Call::Seal(witness, holder, budget)).await? {
            Answer::Records(records) if records.len() == 1 => Ok(records[0]),
            other => self.unexpected_answer(&other, witness),
        }
    }

    async fn keep_bills(
        &self,
        holder: HolderId,
        flushed_through: u64,
        bills: Vec<Bill>,
    ) -> Result<(), PeerError> {
        match self
            .call(Call::KeepBills(holder, flushed_through, bills))
            .await?
        {
            Answer::Done => Ok(()),
            other => self.unexpected_answer(&other, holder),
        }
    }

    async fn take_tokens(&self, transfer_request: TransferRequest) -> Result<Transfer, PeerError> {
        let receiver = transfer_request.receiver;
        match self.call(Call::TakeTokens(transfer_request)).await? {
            Answer::Transfer(transfer) => Ok(transfer),
            other => self.unexpected_answer(&other, receiver),
        }
    }

    async fn lists_since(&self, generation: Generation) -> Result<ListsDelta, PeerError> {
        match self.call(Call::ListsSince(generation)).await? {
            Answer::Delta(delta) => Ok(delta),
            _ => Err(self.no_answer("unexpected answer type")),
        }
    }

    async fn find_request(
        &self,
        team: TeamId,
        request: RequestId,
    ) -> Result<RequestLookup, PeerError> {
        match self.call(Call::FindRequest(team, request)).await? {
            Answer::Found(found) => Ok(found),
            _ => Err(self.no_answer("unexpected answer type")),
        }
    }

    async fn reserve_replica(
        &self,
        call: ReservationCall,
    ) -> Result<ReservationOutcome, PeerError> {
        match self.call(Call::ReserveReplica(call)).await? {
            Answer::Verdict(verdict) => Ok(verdict),
            _ => Err(self.no_answer("unexpected answer type")),
        }
    }
}
