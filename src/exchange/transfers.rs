//! Carries asks for tokens and their answers between routers, as datagrams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use slog::{info, Logger};
use tokio::net::UdpSocket;

use super::grants::Grants;
use super::members::Hello;
use super::pooling::{TokenAsk, TokenGive};
use super::suspects::ToldSuspicion;

/// Time between two looks at asks that wait.
const OPEN_ASK_LOOK: Duration = Duration::from_millis(10);

/// A datagram between routers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// What a router tells all others.
    Hello(Hello),
    /// Asks for tokens.
    Ask(TokenAsk),
    /// Hands tokens over.
    Give(TokenGive),
    /// News of requests under which servers ended.
    Suspicions(Vec<ToldSuspicion>),
}

impl PeerMessage {
    /// Sends the message. A lost datagram is made up for: hellos are repeated, asks too.
    pub(crate) fn send(&self, socket: &UdpSocket, receiver: SocketAddr) {
        self.send_all(socket, &[receiver]);
    }

    /// Sends the message to several routers.
    pub(crate) fn send_all(&self, socket: &UdpSocket, receivers: &[SocketAddr]) {
        let Ok(bytes) = postcard::to_allocvec(self) else {
            return;
        };
        for receiver in receivers {
            let _ = socket.try_send_to(&bytes, *receiver);
        }
    }
}

/// Sends this router's asks, and answers to those that waited for the ledger.
pub(crate) async fn send_transfers(socket: Arc<UdpSocket>, grants: Arc<Grants>) {
    loop {
        if grants.has_open_asks() {
            let _ = tokio::time::timeout(OPEN_ASK_LOOK, grants.transfers_wanted()).await;
        } else {
            grants.transfers_wanted().await;
        }
        for (router, give) in grants.due_gives() {
            PeerMessage::Give(give).send(&socket, router);
        }
        for (router, ask) in grants.due_asks() {
            PeerMessage::Ask(ask).send(&socket, router);
        }
    }
}

/// Takes in a message on tokens and answers it.
pub(crate) fn learn_transfer(
    socket: &UdpSocket,
    router: SocketAddr,
    message: PeerMessage,
    grants: &Grants,
    log: &Logger,
) {
    match message {
        PeerMessage::Hello(_) | PeerMessage::Suspicions(_) => {}
        PeerMessage::Ask(ask) => {
            if let Some(give) = grants.learn_ask(router, ask) {
                PeerMessage::Give(give).send(socket, router);
            }
        }
        PeerMessage::Give(give) => {
            let new_tokens = grants.learn_give(router, &give);
            if give.is_drawing && new_tokens.is_zero() {
                return;
            }
            info!(log, "tokens received"; "team" => give.budget.as_str(),
                "router" => router.to_string(), "tokens" => new_tokens.get(),
                "giver_left_tokens" => give.left_tokens.get());
        }
    }
}
