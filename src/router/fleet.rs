//! The other routers as far as this one knows. Only ever a hint: no safety depends on it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Mutex;

use crate::core::ids::{FailureDomain, HolderId, PoolId, TeamId, VmId};
use crate::core::ledger::{Generation, WitnessSet};
use crate::core::share::{WitnessCandidate, ROUTERS_PER_TEAM};
use crate::peer::Greeting;
use crate::util::{lock, stable_hash};
use crate::vm_list::{VmRecord, VmRole, VmState};

/// Failed probes in a row after which a router counts as gone.
const FAILURES_TO_GONE: u32 = 3;
/// Addresses that a team's callers are told.
pub const ADDRESS_COUNT: usize = ROUTERS_PER_TEAM;

/// One router of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its VM.
    pub vm: VmId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Address for callers.
    pub address: SocketAddr,
    /// Address for routers.
    pub peer_address: SocketAddr,
    /// The process there, once it has answered.
    pub holder: Option<HolderId>,
    /// Generation of its lists when it last answered.
    pub generation: Generation,
    /// True when it drains or its VM is leaving.
    pub leaving: bool,
    /// Failed probes in a row.
    pub failures: u32,
}

impl Member {
    /// True when the router seems to be in reach.
    #[must_use]
    pub const fn is_reachable(&self) -> bool {
        self.holder.is_some() && self.failures < FAILURES_TO_GONE
    }
}

/// What a router knows about itself and tells others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Its VM.
    pub vm: VmId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// This process start.
    pub holder: HolderId,
}

#[derive(Debug, Default)]
struct Known {
    members: BTreeMap<VmId, Member>,
    draining: bool,
    own_address: Option<SocketAddr>,
}

/// The fleet from one router's point of view.
#[derive(Debug)]
pub struct Fleet {
    identity: Identity,
    known: Mutex<Known>,
}

impl Fleet {
    /// A fleet of which only this router is known.
    #[must_use]
    pub fn new(identity: Identity) -> Self {
        Self {
            identity,
            known: Mutex::default(),
        }
    }

    /// This router.
    #[must_use]
    pub const fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Notes the address at which this router serves callers.
    pub fn set_address(&self, address: SocketAddr) {
        lock(&self.known).own_address = Some(address);
    }

    /// True once this router drains.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        lock(&self.known).draining
    }

    /// Takes this router out of the answers that it gives.
    pub fn start_draining(&self) {
        lock(&self.known).draining = true;
    }

    /// Takes in the VM list.
    pub fn apply_vms(&self, vms: &[VmRecord]) {
        let mut known = lock(&self.known);
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
            let member = known
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
        known.members.retain(|vm, _| listed.contains(vm));
    }

    /// Takes in a greeting from a router, in answer to a probe or with one.
    pub fn apply_greeting(&self, greeting: &Greeting) {
        let mut known = lock(&self.known);
        let Some(member) = known.members.get_mut(&greeting.vm) else {
            return;
        };
        member.holder = Some(greeting.holder);
        member.generation = greeting.generation;
        member.leaving = greeting.draining;
        member.failures = 0;
    }

    /// Notes that a router did not answer.
    pub fn record_failure(&self, vm: &VmId) {
        if let Some(member) = lock(&self.known).members.get_mut(vm) {
            member.failures = member.failures.saturating_add(1);
        }
    }

    /// All other routers.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        lock(&self.known).members.values().cloned().collect()
    }

    /// The router that runs as a given process.
    #[must_use]
    pub fn member_of(&self, holder: HolderId) -> Option<Member> {
        let holder = holder.process();
        let known = lock(&self.known);
        known
            .members
            .values()
            .find(|member| member.holder == Some(holder))
            .cloned()
    }

    /// True when a process seems to be gone for good or out of reach.
    ///
    /// A process that no listed router runs as counts as gone once all of them were heard.
    #[must_use]
    pub fn seems_gone(&self, holder: HolderId) -> bool {
        let holder = holder.process();
        if holder == self.identity.holder {
            return false;
        }
        let known = lock(&self.known);
        match known
            .members
            .values()
            .find(|member| member.holder == Some(holder))
        {
            Some(member) => !member.is_reachable(),
            None => known.members.values().all(|member| member.holder.is_some()),
        }
    }

    /// True while the VM list has the router that runs as a given process, in reach or not.
    #[must_use]
    pub fn is_listed(&self, holder: HolderId) -> bool {
        self.member_of(holder).is_some()
    }

    /// Reachable routers in other failure domains, in this router's order of choice.
    #[must_use]
    pub fn far_members(&self) -> Vec<Member> {
        let mut members = self.members_in_order();
        members.retain(|member| member.failure_domain != self.identity.failure_domain);
        members
    }

    /// Reachable routers that may be named as witnesses, in this router's order of choice.
    #[must_use]
    pub fn witness_candidates(&self) -> Vec<WitnessCandidate> {
        let candidate = |member: Member| {
            Some(WitnessCandidate {
                holder: member.holder?,
                failure_domain: member.failure_domain,
            })
        };
        let members = self.members_in_order();
        members.into_iter().filter_map(candidate).collect()
    }

    fn members_in_order(&self) -> Vec<Member> {
        let mut members = self.members();
        members.retain(Member::is_reachable);
        members.sort_by_key(|member| {
            let rank = stable_hash(&[self.identity.vm.as_str(), member.vm.as_str()]);
            (member.leaving, member.failures > 0, rank)
        });
        members
    }

    /// True when all of some witnesses are in reach.
    #[must_use]
    pub fn are_all_reachable(&self, witnesses: &WitnessSet) -> bool {
        witnesses.all().all(|holder| self.is_reachable(holder))
    }

    /// True when one of some witnesses is in reach.
    #[must_use]
    pub fn is_any_reachable(&self, witnesses: &WitnessSet) -> bool {
        witnesses.all().any(|holder| self.is_reachable(holder))
    }

    /// Witnesses with those in reach first, and the far ones before the near one.
    #[must_use]
    pub fn in_order_of_reach(&self, witnesses: &WitnessSet) -> Vec<HolderId> {
        let mut ordered: Vec<HolderId> = witnesses.all().collect();
        ordered.sort_by_key(|holder| !self.is_reachable(*holder));
        ordered
    }

    /// True when the router that runs as a given process is in reach.
    #[must_use]
    pub fn is_reachable(&self, holder: HolderId) -> bool {
        self.member_of(holder)
            .is_some_and(|member| member.is_reachable())
    }

    /// True when this router is one of the few that watch the platform for all.
    #[must_use]
    pub fn is_watcher(&self, watcher_count: usize) -> bool {
        let own = stable_hash(&["watcher", self.identity.vm.as_str()]);
        let members = self.members();
        let before = members.iter().filter(|member| {
            member.is_reachable() && stable_hash(&["watcher", member.vm.as_str()]) < own
        });
        before.count() < watcher_count
    }

    /// Peer address of the router that keeps the places of suspects in a pool, or none when this
    /// router does.
    #[must_use]
    pub fn keeper_of(&self, pool: &PoolId) -> Option<SocketAddr> {
        let rank = |vm: &VmId| stable_hash(&["keeper", pool.as_str(), vm.as_str()]);
        let members = self.members();
        let first = members
            .iter()
            .filter(|member| member.is_reachable() && !member.leaving)
            .min_by_key(|member| rank(&member.vm))?;
        let is_own = !self.is_draining() && rank(&self.identity.vm) < rank(&first.vm);
        (!is_own).then_some(first.peer_address)
    }

    /// Addresses that a team's callers should use, spread over failure domains.
    ///
    /// The order depends on the team and the fleet alone, so all routers answer alike and a
    /// smaller answer is the start of a larger one.
    #[must_use]
    pub fn addresses_for(&self, team: &TeamId, count: usize) -> Vec<SocketAddr> {
        let mut candidates: Vec<(u64, FailureDomain, SocketAddr)> = Vec::new();
        let is_draining = self.is_draining();
        let own_address = lock(&self.known).own_address.filter(|_| !is_draining);
        if let Some(address) = own_address {
            let own = stable_hash(&[team.as_str(), self.identity.vm.as_str()]);
            candidates.push((own, self.identity.failure_domain.clone(), address));
        }
        for member in self.members() {
            if member.is_reachable() && !member.leaving {
                let rank = stable_hash(&[team.as_str(), member.vm.as_str()]);
                candidates.push((rank, member.failure_domain, member.address));
            }
        }
        candidates.sort();
        spread_over_domains(candidates)
            .into_iter()
            .take(count)
            .collect()
    }
}

fn spread_over_domains(ranked: Vec<(u64, FailureDomain, SocketAddr)>) -> Vec<SocketAddr> {
    let mut round_of: BTreeMap<FailureDomain, usize> = BTreeMap::new();
    let mut in_rounds: Vec<(usize, u64, SocketAddr)> = Vec::with_capacity(ranked.len());
    for (rank, domain, address) in ranked {
        let round = round_of.entry(domain).or_default();
        in_rounds.push((*round, rank, address));
        *round += 1;
    }
    in_rounds.sort();
    in_rounds
        .into_iter()
        .map(|(_, _, address)| address)
        .collect()
}
