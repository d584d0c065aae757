//! Places at brittle replicas, which the issuers of permits count for all routers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::limits::ReplicaKey;
use super::permits::Permits;
use super::transfers::PeerMessage;
use crate::core::places::{issuer_places, PlaceTable};
use crate::util::{lock, millis};

/// Time beyond a request's deadline after which a place that was not returned is free again.
const LIFETIME_MARGIN: Duration = Duration::from_millis(500);

/// Return of a place to its issuer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PlaceRelease {
    key: ReplicaKey,
    /// The place; `None` if the request was sent without one.
    id: Option<u64>,
    /// True if the replica rejected the request for want of room.
    is_rejected: bool,
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
        let release = PlaceRelease {
            key: self.key,
            id: Some(self.id),
            is_rejected: false,
        };
        self.permits.send_release(self.issuer, release);
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
        self.count_place(is_granted);
        is_granted.then(|| Place {
            permits: Arc::clone(self),
            key,
            id,
            issuer: issuer.address,
        })
    }

    /// Reports to the issuers of a brittle replica that it rejected a request for want of room.
    pub(crate) fn report_rejection(&self, key: ReplicaKey) {
        let release = PlaceRelease {
            key,
            id: None,
            is_rejected: true,
        };
        for issuer in self.issuers(key) {
            self.send_release(issuer.address, release);
        }
    }

    /// Takes a place from this router's table.
    pub(super) fn issue_place(&self, key: ReplicaKey, id: u64, lifetime: Duration) -> bool {
        let issuers = self.issuers(key);
        let Some(position) = issuers.iter().position(|issuer| issuer.is_own) else {
            return false;
        };
        let Some(slots) = self.slots_of(key) else {
            return false;
        };
        let now_ms = self.now_ms();
        let mut tables = lock(self.place_tables());
        tables.retain(|other, table| *other == key || !table.is_unused(now_ms));
        let table = tables.entry(key).or_default();
        table.try_take(id, now_ms, millis(lifetime), issuer_places(slots, position))
    }

    /// Applies the return of a place that this router issued.
    pub(crate) fn apply_release(&self, release: &PlaceRelease) {
        let now_ms = self.now_ms();
        let mut tables = lock(self.place_tables());
        if release.is_rejected {
            let table: &mut PlaceTable = tables.entry(release.key).or_default();
            table.record_rejection(now_ms);
        }
        if let (Some(id), Some(table)) = (release.id, tables.get_mut(&release.key)) {
            table.release(id);
        }
    }

    fn send_release(&self, issuer: SocketAddr, release: PlaceRelease) {
        if self.is_own(issuer) {
            self.apply_release(&release);
        } else {
            PeerMessage::PlaceRelease(release).send(self.socket(), issuer);
        }
    }
}
