//! Which routers keep the origin of a stream, and which are asked for it.

use std::net::SocketAddr;

use super::members::{Members, Others};
use crate::core::duty::DutyCandidate;
use crate::core::origin_keepers::{keepers, sources};
use crate::core::stream_origin::StreamId;
use crate::util::lock;

impl Members {
    /// Returns the other routers that are told the origin of a stream, the keepers first, then the
    /// spare ones. Dead routers keep their place while their entries exist, so that all routers
    /// compute the same order.
    pub(crate) fn origin_keepers(&self, stream: StreamId) -> Vec<SocketAddr> {
        let others = lock(&self.others);
        let (addresses, candidates) = self.known_candidates(&others);
        let keepers = keepers(stream, &candidates, 0).into_iter();
        keepers.map(|index| addresses[index]).collect()
    }

    /// Returns the other routers that may know the origin of a stream, and how many of them to ask
    /// first.
    pub(crate) fn origin_sources(&self, stream: StreamId) -> (Vec<SocketAddr>, usize) {
        let others = lock(&self.others);
        let (addresses, candidates) = self.known_candidates(&others);
        let (sources, first_count) = sources(stream, &candidates, 0);
        let sources = sources.into_iter().map(|index| addresses[index]);
        (sources.collect(), first_count)
    }

    /// Returns all routers with an entry, this one first.
    fn known_candidates<'a>(
        &'a self,
        others: &'a Others,
    ) -> (Vec<SocketAddr>, Vec<&'a DutyCandidate>) {
        let own = (self.own.peer_address, &self.own_candidate);
        let members = others.members.iter();
        let others = members.map(|(address, member)| (*address, &member.candidate));
        [own].into_iter().chain(others).unzip()
    }
}
