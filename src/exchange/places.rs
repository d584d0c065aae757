//! Places at brittle replicas, which the issuers of permits count for all routers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::limits::ReplicaKey;
use super::permits::Permits;
use super::transfers::PeerMessage;
use crate::core::places::issuer_places;
use crate::util::{lock, millis};

/// Time beyond a request's deadline after which a place that was not returned is free again.
const LIFETIME_MARGIN: Duration = Duration::from_millis(500);

/// What a router reports to the issuers of a brittle replica's places.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PlaceReport {
    /// A place is no longer in use.
    Returned {
        /// The replica.
        key: ReplicaKey,
        /// The place.
        id: u64,
    },
    /// The replica rejected a request for want of room.
    Rejected {
        /// The replica.
        key: ReplicaKey,
    },
}

/// A place at a brittle replica. Dropping it returns the place.
#[derive(Debug)]
pub(crate) struct Place {
    permits: Arc<Permits>,
    key: ReplicaKey,
    id: u64,
    issuer: SocketAddr,
}

impl Drop for Place {
    fn drop(&mut self) {
        let report = PlaceReport::Returned {
            key: self.key,
            id: self.id,
        };
        self.permits.send_place_report(self.issuer, report);
    }
}

impl Permits {
    /// Requests a place at a brittle replica until a request's deadline.
    pub(crate) async fn acquire_place(
        self: &Arc<Self>,
        key: ReplicaKey,
        time_left: Duration,
    ) -> Option<Place> {
        let id = rand::random();
        let lifetime = time_left + LIFETIME_MARGIN;
        let issuer = self.usable_issuer(key)?;
        let is_granted = if issuer.is_own {
            self.issue_place(key, id, lifetime)
        } else {
            self.request_place(issuer.address, key, id, lifetime).await
        };
        let result = if is_granted {
            "place_granted"
        } else {
            "place_denied"
        };
        self.metrics.count_permit(result);
        is_granted.then(|| Place {
            permits: Arc::clone(self),
            key,
            id,
            issuer: issuer.address,
        })
    }

    /// Reports to the issuers of a brittle replica that it rejected a request for want of room.
    pub(crate) fn report_rejection(&self, key: ReplicaKey) {
        for issuer in self.members.permit_issuers(key) {
            self.send_place_report(issuer.address, PlaceReport::Rejected { key });
        }
    }

    /// Takes a place from this router's table.
    pub(super) fn issue_place(&self, key: ReplicaKey, id: u64, lifetime: Duration) -> bool {
        let issuers = self.members.permit_issuers(key);
        let Some(position) = issuers.iter().position(|issuer| issuer.is_own) else {
            return false;
        };
        let Some(slots) = self.pools.slots_of(key) else {
            return false;
        };
        let now_ms = self.now_ms();
        let mut tables = lock(&self.place_tables);
        tables.retain(|other, table| *other == key || !table.is_unused(now_ms));
        let table = tables.entry(key).or_default();
        table.try_take(id, now_ms, millis(lifetime), issuer_places(slots, position))
    }

    /// Applies a report on places that this router issues.
    pub(crate) fn apply_place_report(&self, report: PlaceReport) {
        let now_ms = self.now_ms();
        let mut tables = lock(&self.place_tables);
        match report {
            PlaceReport::Returned { key, id } => {
                if let Some(table) = tables.get_mut(&key) {
                    table.release(id);
                }
            }
            PlaceReport::Rejected { key } => {
                tables.entry(key).or_default().record_rejection(now_ms);
            }
        }
    }

    fn send_place_report(&self, issuer: SocketAddr, report: PlaceReport) {
        if self.members.own().peer_address == issuer {
            self.apply_place_report(report);
        } else {
            PeerMessage::Place(report).send(&self.socket, issuer);
        }
    }
}
