//! Which routers issue permits for a rate-limited replica.

use std::hash::Hasher;
use std::net::SocketAddr;

use twox_hash::XxHash64;

use super::limits::ReplicaKey;
use super::members::{LastHello, Members, DISCOVERY_TIME};
use crate::core::duty::DutyCandidate;
use crate::core::permits::ISSUER_COUNT;
use crate::util::lock;

/// A router that issues permits for a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PermitIssuer {
    /// Its hello address.
    pub address: SocketAddr,
    /// True for this router.
    pub is_own: bool,
    /// True unless it timed out.
    pub is_alive: bool,
}

impl Members {
    /// Returns the routers that issue permits for a replica, the first one first. Dead routers keep
    /// their place while their entries exist, so that all routers compute the same order.
    pub(crate) fn permit_issuers(&self, key: ReplicaKey) -> Vec<PermitIssuer> {
        let others = lock(&self.others);
        let is_starting = self.started.elapsed() < DISCOVERY_TIME;
        let own = PermitIssuer {
            address: self.own.peer_address,
            is_own: true,
            is_alive: true,
        };
        let issuers = others.members.iter().map(|(address, member)| {
            let last_hello = member.last_hello.as_ref();
            let issuer = PermitIssuer {
                address: *address,
                is_own: false,
                is_alive: last_hello.map_or(is_starting, LastHello::is_alive),
            };
            (issuer_rank(key, &member.candidate), issuer)
        });
        let own = (issuer_rank(key, &self.own_candidate), own);
        let mut ranked: Vec<(u64, PermitIssuer)> = issuers.chain([own]).collect();
        ranked.sort_unstable_by_key(|(rank, issuer)| (*rank, issuer.address));
        ranked.truncate(ISSUER_COUNT);
        ranked.into_iter().map(|(_, issuer)| issuer).collect()
    }
}

/// Returns a rendezvous hash; the lowest one issues permits first.
fn issuer_rank(key: ReplicaKey, router: &DutyCandidate) -> u64 {
    let mut hasher = XxHash64::with_seed(u64::from(key.replica));
    hasher.write_u64(key.born_ms.unwrap_or_default());
    hasher.write_u64(router.tie_breaker);
    hasher.finish()
}
