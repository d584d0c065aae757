//! The router addresses that callers are told.

use std::net::SocketAddr;

use super::members::{Member, Members, Others, DISCOVERY_TIME};
use crate::core::presence::Presence;
use crate::core::subset::{weighted_subset, SubsetCandidate};
use crate::util::lock;

/// Spare capacity assumed for a router that has not reported any, in hundredths.
const DEFAULT_HEADROOM_PERCENT: u8 = 100;

impl Members {
    /// Returns addresses for a caller in a failure domain. `own_headroom_percent` is `None` while
    /// this router accepts no requests.
    ///
    /// A router that receives no hellos is probably partitioned itself, so it keeps returning
    /// all routers that it knows.
    pub(crate) fn addresses_for(
        &self,
        domain: &str,
        own_headroom_percent: Option<u8>,
    ) -> Vec<SocketAddr> {
        let others = lock(&self.others);
        let known: Vec<&Member> = others.members.values().collect();
        let now_ms = self.now_ms();
        let is_usable = |member: &&&Member| {
            let presence = self.presence(&others, member, now_ms);
            match presence {
                Presence::Present(state) => state.is_ready,
                Presence::Gone => false,
                Presence::Unknown => {
                    let last_hello = member.last_hello.as_ref();
                    last_hello
                        .is_some_and(|last_hello| last_hello.is_alive() && last_hello.is_ready)
                }
            }
        };
        let alive: Vec<&Member> = known.iter().filter(is_usable).copied().collect();
        let is_isolated = alive.is_empty() && self.started.elapsed() > DISCOVERY_TIME;
        let usable = if is_isolated { known } else { alive };
        let own = own_headroom_percent.map(|headroom| (&self.own, &self.own_candidate, headroom));
        let usable = usable.iter().map(|member| {
            let last_hello = member.last_hello.as_ref();
            let headroom = match self.presence(&others, member, now_ms) {
                Presence::Present(state) => state.headroom_percent,
                _ => last_hello.map_or(DEFAULT_HEADROOM_PERCENT, |last_hello| {
                    last_hello.headroom_percent
                }),
            };
            (&member.entry, &member.candidate, headroom)
        });
        let mut listed: Vec<_> = usable.chain(own).collect();
        listed.sort_unstable_by_key(|(entry, ..)| entry.callers_address);
        let candidates: Vec<SubsetCandidate> = listed
            .iter()
            .map(|(entry, candidate, headroom_percent)| SubsetCandidate {
                hash: candidate.tie_breaker,
                failure_domain: entry.failure_domain.clone(),
                cpu_millis: entry.cpu_millis,
                headroom_percent: *headroom_percent,
            })
            .collect();
        let subset = weighted_subset(&candidates, domain, self.own_candidate.tie_breaker);
        let addresses = subset.into_iter().map(|index| listed[index].0);
        addresses.map(|entry| entry.callers_address).collect()
    }

    /// Returns the presence of a router. Presence records are complete only for the own failure
    /// domain.
    fn presence(&self, others: &Others, member: &Member, now_ms: u64) -> Presence {
        if member.entry.failure_domain != self.own.failure_domain {
            return Presence::Unknown;
        }
        let router = &member.entry.peer_address;
        others.presence.presence(router, now_ms)
    }
}
