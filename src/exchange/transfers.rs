//! Exchanges transfer requests and replies between routers, as datagrams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use slog::{info, Logger};
use tokio::net::UdpSocket;

use super::grants::Grants;
use super::limits::LimitReport;
use super::members::Hello;
use super::origin_messages::{OriginAck, OriginQuery, OriginReply, OriginReport};
use super::permits::{PermitReply, PermitRequest};
use super::places::PlaceReport;
use super::pooling::{TransferReply, TransferRequest};
use super::suspect_parts::PartReport;
use super::suspects::SuspicionReport;

/// Interval at which pending transfer requests are checked.
const PENDING_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// A datagram between routers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// Hello of a router.
    Hello(Hello),
    /// Request for tokens.
    TransferRequest(TransferRequest),
    /// Reply to a transfer request.
    TransferReply(TransferReply),
    /// Suspect requests, during which servers crashed.
    Suspicions(Vec<SuspicionReport>),
    /// A change of a replica's rate limit.
    Limit(LimitReport),
    /// Request for a permit to send a request to a rate-limited replica.
    PermitRequest(PermitRequest),
    /// Reply to a permit request.
    PermitReply(PermitReply),
    /// Parts of prompts that are suspected of crashing servers.
    Parts(Vec<PartReport>),
    /// Replica and version of the first event of a stream.
    StreamOrigin(OriginReport),
    /// Acknowledgement of what began a stream.
    OriginAck(OriginAck),
    /// Query for what began a stream.
    OriginQuery(OriginQuery),
    /// Reply to such a query.
    OriginReply(OriginReply),
    /// Report on the places at a brittle replica.
    Place(PlaceReport),
}

impl PeerMessage {
    /// Sends the message. Lost datagrams are tolerated: hellos and requests are repeated.
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

/// Sends this router's transfer requests and the replies to queued ones.
pub(crate) async fn send_transfers(socket: Arc<UdpSocket>, grants: Arc<Grants>) {
    loop {
        if grants.has_pending_transfers() {
            let _ = tokio::time::timeout(PENDING_CHECK_INTERVAL, grants.transfers_needed()).await;
        } else {
            grants.transfers_needed().await;
        }
        for (router, reply) in grants.due_replies() {
            PeerMessage::TransferReply(reply).send(&socket, router);
        }
        for (router, request) in grants.due_requests() {
            PeerMessage::TransferRequest(request).send(&socket, router);
        }
    }
}

/// Applies a transfer message and answers it if it is a request.
pub(crate) fn handle_transfer(
    socket: &UdpSocket,
    router: SocketAddr,
    message: PeerMessage,
    grants: &Grants,
    log: &Logger,
) {
    match message {
        PeerMessage::Hello(_)
        | PeerMessage::Suspicions(_)
        | PeerMessage::Parts(_)
        | PeerMessage::Limit(_)
        | PeerMessage::PermitRequest(_)
        | PeerMessage::PermitReply(_)
        | PeerMessage::Place(_)
        | PeerMessage::StreamOrigin(_)
        | PeerMessage::OriginAck(_)
        | PeerMessage::OriginQuery(_)
        | PeerMessage::OriginReply(_) => {}
        PeerMessage::TransferRequest(request) => {
            if let Some(reply) = grants.handle_request(router, request) {
                PeerMessage::TransferReply(reply).send(socket, router);
            }
        }
        PeerMessage::TransferReply(reply) => {
            let new_tokens = grants.apply_reply(router, &reply);
            if reply.is_drawing && new_tokens.is_zero() {
                return;
            }
            info!(log, "tokens received"; "team" => reply.budget.as_str(),
                "router" => router.to_string(), "tokens" => new_tokens.get(),
                "giver_left_tokens" => reply.left_tokens.get());
        }
    }
}
