//! What a router does at intervals: greet peers, read the VM list, read replicas' loads.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use rand::seq::IndexedRandom;
use slog::warn;

use super::fleet::Member;
use super::Router;
use crate::backend::BackendError;
use crate::core::ids::{PoolId, ReplicaId};
use crate::lists::PoolKind;
use crate::peer::Greeting;
use crate::util::lock;

/// Time between two rounds of greetings.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// Peers greeted in each round.
const PROBES_PER_ROUND: usize = 3;
/// Longest wait for a greeting.
const PROBE_WAIT: Duration = Duration::from_millis(800);
/// Time between two reads of the VM list.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two reads of loads.
const LOAD_INTERVAL: Duration = Duration::from_millis(250);
/// Replicas asked for their load in one round.
const LOADS_PER_ROUND: usize = 32;

impl Router {
    /// Greets a few peers at a time.
    pub(super) async fn run_probing(self: Arc<Self>) {
        loop {
            let members = self.fleet.members();
            let unheard = members.iter().filter(|member| member.holder.is_none());
            let mut chosen: Vec<Member> = unheard.take(PROBES_PER_ROUND).cloned().collect();
            let random = members.sample(&mut *lock(&self.rng), PROBES_PER_ROUND);
            chosen.extend(random.cloned());
            join_all(chosen.iter().map(|member| self.probe(member))).await;
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
    }

    /// What this router tells its peers.
    pub(super) fn greeting(&self) -> Greeting {
        let identity = self.fleet.identity();
        Greeting {
            holder: identity.holder,
            vm: identity.vm.clone(),
            failure_domain: identity.failure_domain.clone(),
            generation: self.configuration.generation(),
            draining: self.fleet.is_draining(),
            gone_replicas: self.replicas.gone(),
            crashes: self.replicas.crashes(),
        }
    }

    /// Takes in what a peer tells.
    pub(super) fn apply_greeting(&self, greeting: &Greeting) {
        self.fleet.apply_greeting(greeting);
        self.replicas
            .apply_peer_report(&greeting.gone_replicas, &greeting.crashes);
    }

    /// Tells all peers at once, before a caller can come to one of them with the same request or
    /// with an address that is about to go.
    pub(super) async fn greet_all(&self) {
        let members = self.fleet.members();
        join_all(members.iter().map(|member| self.probe(member))).await;
    }

    async fn probe(&self, member: &Member) {
        let peer = self.borders.network.peer(member.peer_address);
        let answer = tokio::time::timeout(PROBE_WAIT, peer.hello(self.greeting())).await;
        let Ok(Ok(greeting)) = answer else {
            self.fleet.record_failure(&member.vm);
            return;
        };
        self.apply_greeting(&greeting);
        let own_generation = self.configuration.generation();
        if greeting.generation > own_generation {
            let call = peer.lists_since(own_generation);
            if let Ok(Ok(delta)) = tokio::time::timeout(PROBE_WAIT, call).await {
                self.take_in_delta(delta);
            }
        }
    }

    /// Reads the VM list at intervals.
    pub(super) async fn run_vm_list(self: Arc<Self>) {
        loop {
            self.read_vm_list().await;
            tokio::time::sleep(VM_LIST_INTERVAL).await;
        }
    }

    async fn read_vm_list(&self) {
        match self.borders.vm_list.read().await {
            Ok(vms) => {
                self.fleet.apply_vms(&vms);
                self.replicas.apply_vms(&vms, &self.catalog.load());
                self.admission.look_again();
            }
            Err(error) => warn!(self.log, "VM list"; "reason" => error.to_string()),
        }
    }

    /// Reads the loads of a few replicas at a time.
    pub(super) async fn run_load_reports(self: Arc<Self>) {
        loop {
            let all = self.replicas.addresses();
            let asked: Vec<_> = all
                .sample(&mut *lock(&self.rng), LOADS_PER_ROUND)
                .cloned()
                .collect();
            let reads = asked
                .iter()
                .map(|(pool, replica, address)| self.read_load(pool, replica, *address));
            join_all(reads).await;
            self.admission.look_again();
            tokio::time::sleep(LOAD_INTERVAL).await;
        }
    }

    async fn read_load(&self, pool: &PoolId, replica: &ReplicaId, address: std::net::SocketAddr) {
        let kind = self.catalog.load().pool(pool).map(|pool| pool.kind);
        if kind != Some(PoolKind::Model) {
            self.look_at_service(replica, address).await;
            return;
        }
        let own_requests = self.replicas.own_in_flight(replica);
        match self.borders.engine.load(address).await {
            Ok(report) => {
                let requests = report
                    .running_requests
                    .saturating_add(report.queued_requests);
                self.replicas
                    .record_load(pool, replica, requests, own_requests);
                self.replicas.record_alive(replica);
            }
            Err(BackendError::NotConnected { .. }) => self.replicas.record_gone(replica),
            Err(_) => self.replicas.record_alive(replica),
        }
    }

    /// Plain services report no load; only whether they are still gone is of interest.
    async fn look_at_service(&self, replica: &ReplicaId, address: std::net::SocketAddr) {
        let is_back =
            self.replicas.is_gone(replica) && self.borders.service.is_reachable(address).await;
        if is_back {
            self.replicas.record_alive(replica);
        }
    }
}
