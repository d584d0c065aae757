//! In-process network between routers, with simulated partitions. For tests.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, Weak};

use async_trait::async_trait;

use super::{
    Greeting, HorizonExtension, PeerError, PeerNetwork, PeerRouter, RequestLookup, ReservationCall,
    Transfer, TransferRequest,
};
use crate::accepted::ListsDelta;
use crate::core::bill::Bill;
use crate::core::ids::{BudgetId, HolderId, RequestId, TeamId};
use crate::core::ledger::Generation;
use crate::core::suspect_reservations::ReservationOutcome;
use crate::core::witness::WitnessRecord;
use crate::util::lock;

#[derive(Debug, Default)]
struct InProcessState {
    routers: BTreeMap<SocketAddr, Weak<dyn PeerRouter>>,
    cut_links: BTreeSet<(SocketAddr, SocketAddr)>,
}

/// An in-process network between all routers of a process.
#[derive(Clone, Debug, Default)]
pub struct InProcessNetwork {
    state: Arc<Mutex<InProcessState>>,
}

impl InProcessNetwork {
    /// Creates a network without routers.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the network from the point of view of the router at an address.
    #[must_use]
    pub fn network_of(&self, own: SocketAddr) -> Arc<dyn PeerNetwork> {
        Arc::new(InProcessLinks {
            state: Arc::clone(&self.state),
            own,
        })
    }

    /// Registers a router at an address.
    pub fn connect(&self, address: SocketAddr, router: &Arc<dyn PeerRouter>) {
        lock(&self.state)
            .routers
            .insert(address, Arc::downgrade(router));
    }

    /// Removes a router, which simulates its crash.
    pub fn disconnect(&self, address: SocketAddr) {
        lock(&self.state).routers.remove(&address);
    }

    /// Cuts all links between two groups of routers, in both directions.
    pub fn cut(&self, one: &[SocketAddr], other: &[SocketAddr]) {
        let mut state = lock(&self.state);
        for a in one {
            for b in other {
                state.cut_links.insert((*a, *b));
                state.cut_links.insert((*b, *a));
            }
        }
    }

    /// Restores all links.
    pub fn heal(&self) {
        lock(&self.state).cut_links.clear();
    }
}

#[derive(Debug)]
struct InProcessLinks {
    state: Arc<Mutex<InProcessState>>,
    own: SocketAddr,
}

impl PeerNetwork for InProcessLinks {
    fn peer(&self, address: SocketAddr) -> Arc<dyn PeerRouter> {
        Arc::new(InProcessPeer {
            state: Arc::clone(&self.state),
            own: self.own,
            address,
        })
    }
}

#[derive(Debug)]
struct InProcessPeer {
    state: Arc<Mutex<InProcessState>>,
    own: SocketAddr,
    address: SocketAddr,
}

impl InProcessPeer {
    fn connected_router(&self) -> Result<Arc<dyn PeerRouter>, PeerError> {
        let fail = |reason: &str| PeerError::NoAnswer {
            address: self.address,
            reason: reason.to_owned(),
        };
        let state = lock(&self.state);
        if state.cut_links.contains(&(self.own, self.address)) {
            return Err(fail("simulated partition"));
        }
        let router = state.routers.get(&self.address).and_then(Weak::upgrade);
        router.ok_or_else(|| fail("no router at the address"))
    }
}

#[async_trait]
impl PeerRouter for InProcessPeer {
    async fn hello(&self, greeting: Greeting) -> Result<Greeting, PeerError> {
        self.connected_router()?.hello(greeting).await
    }

    async fn extend(
        &self,
        witness: HolderId,
        horizons: Vec<HorizonExtension>,
    ) -> Result<Vec<WitnessRecord>, PeerError> {
        self.connected_router()?.extend(witness, horizons).await
    }

    async fn seal(
        &self,
        witness: HolderId,
        holder: HolderId,
        budget: BudgetId,
    ) -> Result<WitnessRecord, PeerError> {
        self.connected_router()?.seal(witness, holder, budget).await
    }

    async fn keep_bills(
        &self,
        holder: HolderId,
        flushed_through: u64,
        bills: Vec<Bill>,
    ) -> Result<(), PeerError> {
        self.connected_router()?
            .keep_bills(holder, flushed_through, bills)
            .await
    }

    async fn take_tokens(&self, transfer_request: TransferRequest) -> Result<Transfer, PeerError> {
        self.connected_router()?.take_tokens(transfer_request).await
    }

    async fn lists_since(&self, generation: Generation) -> Result<ListsDelta, PeerError> {
        self.connected_router()?.lists_since(generation).await
    }

    async fn find_request(
        &self,
        team: TeamId,
        request: RequestId,
    ) -> Result<RequestLookup, PeerError> {
        self.connected_router()?.find_request(team, request).await
    }

    async fn reserve_replica(
        &self,
        call: ReservationCall,
    ) -> Result<ReservationOutcome, PeerError> {
        self.connected_router()?.reserve_replica(call).await
    }
}
