//! Routers of one process that reach each other directly, with switches that cut links.
//!
//! The stand-in for the network between routers in tests.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, Weak};

use async_trait::async_trait;

use super::{
    FoundRequest, Greeting, Horizon, PeerError, PeerNetwork, PeerRouter, PlaceCall, Transfer,
    TransferWish,
};
use crate::accepted::ListsDelta;
use crate::core::bill::Bill;
use crate::core::ids::{BudgetId, HolderId, RequestId, TeamId};
use crate::core::ledger::Generation;
use crate::core::suspect_reservations::ReservationOutcome;
use crate::core::witness::WitnessRecord;
use crate::util::lock;

#[derive(Debug, Default)]
struct Board {
    routers: BTreeMap<SocketAddr, Weak<dyn PeerRouter>>,
    cut: BTreeSet<(SocketAddr, SocketAddr)>,
}

/// All routers of the process.
#[derive(Clone, Debug, Default)]
pub struct Switchboard {
    board: Arc<Mutex<Board>>,
}

impl Switchboard {
    /// A board without routers.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The network as the router at an address sees it.
    #[must_use]
    pub fn network_of(&self, own: SocketAddr) -> Arc<dyn PeerNetwork> {
        Arc::new(BoardNetwork {
            board: Arc::clone(&self.board),
            own,
        })
    }

    /// Puts a router on the board.
    pub fn connect(&self, address: SocketAddr, router: &Arc<dyn PeerRouter>) {
        lock(&self.board)
            .routers
            .insert(address, Arc::downgrade(router));
    }

    /// Takes a router off the board, as a crash would.
    pub fn disconnect(&self, address: SocketAddr) {
        lock(&self.board).routers.remove(&address);
    }

    /// Cuts all links between two groups of routers.
    pub fn cut(&self, one: &[SocketAddr], other: &[SocketAddr]) {
        let mut board = lock(&self.board);
        for a in one {
            for b in other {
                board.cut.insert((*a, *b));
                board.cut.insert((*b, *a));
            }
        }
    }

    /// Heals all links.
    pub fn heal(&self) {
        lock(&self.board).cut.clear();
    }
}

#[derive(Debug)]
struct BoardNetwork {
    board: Arc<Mutex<Board>>,
    own: SocketAddr,
}

impl PeerNetwork for BoardNetwork {
    fn peer(&self, address: SocketAddr) -> Arc<dyn PeerRouter> {
        Arc::new(BoardPeer {
            board: Arc::clone(&self.board),
            own: self.own,
            address,
        })
    }
}

#[derive(Debug)]
struct BoardPeer {
    board: Arc<Mutex<Board>>,
    own: SocketAddr,
    address: SocketAddr,
}

impl BoardPeer {
    fn reach(&self) -> Result<Arc<dyn PeerRouter>, PeerError> {
        let fail = |reason: &str| PeerError::NoAnswer {
            address: self.address,
            reason: reason.to_owned(),
        };
        let board = lock(&self.board);
        if board.cut.contains(&(self.own, self.address)) {
            return Err(fail("link is cut"));
        }
        let router = board.routers.get(&self.address).and_then(Weak::upgrade);
        router.ok_or_else(|| fail("no router there"))
    }
}

#[async_trait]
impl PeerRouter for BoardPeer {
    async fn hello(&self, greeting: Greeting) -> Result<Greeting, PeerError> {
        self.reach()?.hello(greeting).await
    }

    async fn extend(
        &self,
        witness: HolderId,
        horizons: Vec<Horizon>,
    ) -> Result<Vec<WitnessRecord>, PeerError> {
        self.reach()?.extend(witness, horizons).await
    }

    async fn seal(
        &self,
        witness: HolderId,
        holder: HolderId,
        budget: BudgetId,
    ) -> Result<WitnessRecord, PeerError> {
        self.reach()?.seal(witness, holder, budget).await
    }

    async fn keep_bills(
        &self,
        holder: HolderId,
        flushed_through: u64,
        bills: Vec<Bill>,
    ) -> Result<(), PeerError> {
        self.reach()?
            .keep_bills(holder, flushed_through, bills)
            .await
    }

    async fn take_tokens(&self, wish: TransferWish) -> Result<Transfer, PeerError> {
        self.reach()?.take_tokens(wish).await
    }

    async fn lists_since(&self, generation: Generation) -> Result<ListsDelta, PeerError> {
        self.reach()?.lists_since(generation).await
    }

    async fn find_request(
        &self,
        team: TeamId,
        request: RequestId,
    ) -> Result<FoundRequest, PeerError> {
        self.reach()?.find_request(team, request).await
    }

    async fn place_suspect(&self, call: PlaceCall) -> Result<ReservationOutcome, PeerError> {
        self.reach()?.place_suspect(call).await
    }
}
