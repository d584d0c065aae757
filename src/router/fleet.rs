//! This router's view of the fleet's membership. It is a hint only: no safety depends on it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Mutex;

use crate::core::ids::{FailureDomain, HolderId, PoolId, TeamId, VmId};
use crate::core::ledger::{Generation, WitnessSet};
use crate::core::share::{WitnessCandidate, ROUTERS_PER_TEAM};
use crate::peer::Greeting;
use crate::util::{lock, stable_hash};
use crate::vm_list::{VmRecord, VmRole, VmState};

/// Consecutive failed probes after which a router counts as unreachable.
const FAILURE_THRESHOLD: u32 = 3;
/// Number of addresses returned to a team's callers.
pub const ADDRESS_COUNT: usize = ROUTERS_PER_TEAM;

/// One router of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its VM.
    pub vm: VmId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Listen address for callers.
    pub address: SocketAddr,
    /// Listen address for other routers.
    pub peer_address: SocketAddr,
    /// Its process, once it has answered a probe.
    pub holder: Option<HolderId>,
    /// Generation of its lists, as last reported.
    pub generation: Generation,
    /// True if it is draining or its VM is leaving.
    pub leaving: bool,
    /// Consecutive failed probes.
    pub failures: u32,
}

impl Member {
    /// Returns true if the router has answered and is below the threshold of failed probes.
    #[must_use]
    pub const fn is_reachable(&self) -> bool {
        self.holder.is_some() && self.failures < FAILURE_THRESHOLD
    }
}

/// Identity that a router reports to its peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Its VM.
    pub vm: VmId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// The holder ID of this process, new at each start.
    pub holder: HolderId,
}

#[derive(Debug, Default)]
struct FleetState {
    members: BTreeMap<VmId, Member>,
    draining: bool,
    own_address: Option<SocketAddr>,
}

/// One router's view of the fleet.
#[derive(Debug)]
pub struct Fleet {
    identity: Identity,
    state: Mutex<FleetState>,
}

impl Fleet {
    /// Creates a view that contains only this router.
    #[must_use]
    pub fn new(identity: Identity) -> Self {
        Self {
            identity,
            state: Mutex::default(),
        }
    }

    /// Returns this router's identity.
    #[must_use]
    pub const fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Sets the address at which this router serves callers.
    pub fn set_address(&self, address: SocketAddr) {
        lock(&self.state).own_address = Some(address);
    }

    /// Returns true once this router is draining.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        lock(&self.state).draining
    }

    /// Marks this router as draining, so that it no longer returns its own address to callers.
    pub fn start_draining(&self) {
        lock(&self.state).draining = true;
    }

    /// Updates the members from the VM list.
    pub fn update_vms(&self, vms: &[VmRecord]) {
        let mut state = lock(&self.state);
        let mut listed = BTreeSet::new();
        for record in vms {
            let VmRole::Entry {
                address,
                peer_address,
            } = record.role
            else {
                continue;
            };
            if record.vm == self.identity.vm {
                continue;
            }
            listed.insert(record.vm.clone());
            let is_leaving = record.state == VmState::Leaving;
            let member = state
                .members
                .entry(record.vm.clone())
                .or_insert_with(|| Member {
                    vm: record.vm.clone(),
                    failure_domain: record.failure_domain.clone(),
                    address,
                    peer_address,
                    holder: None,
                    generation: 0,
                    leaving: is_leaving,
                    failures: 0,
                });
            if member.peer_address != peer_address {
                member.holder = None;
                member.failures = 0;
            }
            member.address = address;
            member.peer_address = peer_address;
            member.leaving |= is_leaving;
        }
        state.members.retain(|vm, _| listed.contains(vm));
    }

    /// Updates a member from a greeting that came in a probe or in the response to one.
    pub fn record_greeting(&self, greeting: &Greeting) {
        let mut state = lock(&self.state);
        let Some(member) = state.members.get_mut(&greeting.vm) else {
            return;
        };
        member.holder = Some(greeting.holder);
        member.generation = greeting.generation;
        member.leaving = greeting.draining;
        member.failures = 0;
    }

    /// Counts a failed call to a router.
    pub fn record_failure(&self, vm: &VmId) {
        if let Some(member) = lock(&self.state).members.get_mut(vm) {
            member.failures = member.failures.saturating_add(1);
        }
    }

    /// Returns all other routers.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        lock(&self.state).members.values().cloned().collect()
    }

    /// Returns the router that runs as a given process.
    #[must_use]
    pub fn member_by_holder(&self, holder: HolderId) -> Option<Member> {
        let holder = holder.process();
        let state = lock(&self.state);
        state
            .members
            .values()
            .find(|member| member.holder == Some(holder))
            .cloned()
    }

    /// Returns true if a process is presumed to have failed or to be unreachable.
    ///
    /// A process that is no listed router's counts as failed once all listed routers have answered.
    #[must_use]
    pub fn is_presumed_failed(&self, holder: HolderId) -> bool {
        let holder = holder.process();
        if holder == self.identity.holder {
            return false;
        }
        let state = lock(&self.state);
        match state
            .members
            .values()
            .find(|member| member.holder == Some(holder))
        {
            Some(member) => !member.is_reachable(),
            None => state.members.values().all(|member| member.holder.is_some()),
        }
    }

    /// Returns true if the router that runs as a given process is in the VM list, reachable or not.
    #[must_use]
    pub fn is_listed(&self, holder: HolderId) -> bool {
        self.member_by_holder(holder).is_some()
    }

    /// Returns reachable routers in other failure domains, in this router's order of preference.
    #[must_use]
    pub fn members_in_other_domains(&self) -> Vec<Member> {
        let mut members = self.members_by_preference();
        members.retain(|member| member.failure_domain != self.identity.failure_domain);
        members
    }

    /// Returns reachable routers that can become witnesses, in this router's order of preference.
    #[must_use]
    pub fn witness_candidates(&self) -> Vec<WitnessCandidate> {
        let candidate = |member: Member| {
            Some(WitnessCandidate {
                holder: member.holder?,
                failure_domain: member.failure_domain,
            })
        };
        let members = self.members_by_preference();
        members.into_iter().filter_map(candidate).collect()
    }

    fn members_by_preference(&self) -> Vec<Member> {
        let mut members = self.members();
        members.retain(Member::is_reachable);
        members.sort_by_key(|member| {
            let rank = stable_hash(&[self.identity.vm.as_str(), member.vm.as_str()]);
            (member.leaving, member.failures > 0, rank)
        });
        members
    }

    /// Returns true if all the witnesses are reachable.
    #[must_use]
    pub fn are_all_reachable(&self, witnesses: &WitnessSet) -> bool {
        witnesses.all().all(|holder| self.is_reachable(holder))
    }

    /// Returns true if at least one of the witnesses is reachable.
    #[must_use]
    pub fn is_any_reachable(&self, witnesses: &WitnessSet) -> bool {
        witnesses.all().any(|holder| self.is_reachable(holder))
    }

    /// Returns the witnesses with reachable ones first, and the far ones before the near one.
    #[must_use]
    pub fn reachable_first(&self, witnesses: &WitnessSet) -> Vec<HolderId> {
        let mut ordered: Vec<HolderId> = witnesses.all().collect();
        ordered.sort_by_key(|holder| !self.is_reachable(*holder));
        ordered
    }

    /// Returns true if the router that runs as a given process is reachable.
    #[must_use]
    pub fn is_reachable(&self, holder: HolderId) -> bool {
        self.member_by_holder(holder)
            .is_some_and(|member| member.is_reachable())
    }

    /// Returns true if this router is one of the `watcher_count` that watch the platform for the
    /// fleet, chosen by rank in a stable hash.
    #[must_use]
    pub fn is_watcher(&self, watcher_count: usize) -> bool {
        let own_rank = stable_hash(&["watcher", self.identity.vm.as_str()]);
        let members = self.members();
        let lower_ranked = members.iter().filter(|member| {
            member.is_reachable() && stable_hash(&["watcher", member.vm.as_str()]) < own_rank
        });
        lower_ranked.count() < watcher_count
    }

    /// Returns the peer address of the coordinator, which keeps the reservations of a pool's
    /// replicas for suspect requests, or `None` if that is this router.
    #[must_use]
    pub fn coordinator_of(&self, pool: &PoolId) -> Option<SocketAddr> {
        let rank = |vm: &VmId| stable_hash(&["keeper", pool.as_str(), vm.as_str()]);
        let members = self.members();
        let first = members
            .iter()
            .filter(|member| member.is_reachable() && !member.leaving)
            .min_by_key(|member| rank(&member.vm))?;
        let is_own = !self.is_draining() && rank(&self.identity.vm) < rank(&first.vm);
        (!is_own).then_some(first.peer_address)
    }

    /// Returns addresses for a team's callers, spread over failure domains.
    ///
    /// The order depends only on the team and the fleet, so all routers return the same one, and a
    /// shorter result is a prefix of a longer one.
    #[must_use]
    pub fn addresses_for(&self, team: &TeamId, count: usize) -> Vec<SocketAddr> {
        let mut candidates: Vec<(u64, FailureDomain, SocketAddr)> = Vec::new();
        let is_draining = self.is_draining();
        let own_address = lock(&self.state).own_address.filter(|_| !is_draining);
        if let Some(address) = own_address {
            let own_rank = stable_hash(&[team.as_str(), self.identity.vm.as_str()]);
            candidates.push((own_rank, self.identity.failure_domain.clone(), address));
        }
        for member in self.members() {
            if member.is_reachable() && !member.leaving {
                let rank = stable_hash(&[team.as_str(), member.vm.as_str()]);
                candidates.push((rank, member.failure_domain, member.address));
            }
        }
        candidates.sort();
        interleave_domains(candidates)
            .into_iter()
            .take(count)
            .collect()
    }
}

fn interleave_domains(ranked: Vec<(u64, FailureDomain, SocketAddr)>) -> Vec<SocketAddr> {
    let mut round_of: BTreeMap<FailureDomain, usize> = BTreeMap::new();
    let mut interleaved: Vec<(usize, u64, SocketAddr)> = Vec::with_capacity(ranked.len());
    for (rank, domain, address) in ranked {
        let round = round_of.entry(domain).or_default();
        interleaved.push((*round, rank, address));
        *round += 1;
    }
    interleaved.sort();
    interleaved
        .into_iter()
        .map(|(_, _, address)| address)
        .collect()
}
