//! Periodic tasks of a router: greetings to peers, and polls of the VM list and replica loads.

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

/// Interval between two rounds of greetings.
const GREETING_INTERVAL: Duration = Duration::from_millis(400);
/// Most peers of each kind, never reached and random, that get a greeting in a round.
const GREETINGS_PER_ROUND: usize = 3;
/// Timeout of a greeting, and of the list fetch that may follow it.
const PEER_CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Poll interval of the VM list.
const VM_LIST_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between two rounds of load polls.
const LOAD_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Most replicas polled for their load in one round.
const LOAD_POLLS_PER_ROUND: usize = 32;

impl Router {
    /// Sends greetings to a few peers per round, those never reached first.
    pub(super) async fn run_probing(self: Arc<Self>) {
        loop {
            let members = self.fleet.members();
            let unreached = members.iter().filter(|member| member.holder.is_none());
            let mut chosen: Vec<Member> = unreached.take(GREETINGS_PER_ROUND).cloned().collect();
            let random = members.sample(&mut *lock(&self.rng), GREETINGS_PER_ROUND);
            chosen.extend(random.cloned());
            join_all(chosen.iter().map(|member| self.send_greeting(member))).await;
            tokio::time::sleep(GREETING_INTERVAL).await;
        }
    }

    /// Returns this router's greeting.
    pub(super) fn greeting(&self) -> Greeting {
        let identity = self.fleet.identity();
        Greeting {
            holder: identity.holder,
            vm: identity.vm.clone(),
            failure_domain: identity.failure_domain.clone(),
            generation: self.configuration.generation(),
            draining: self.fleet.is_draining(),
            gone_replicas: self.replicas.observed_unreachable(),
            crashes: self.replicas.crashes(),
        }
    }

    /// Applies a greeting received from a peer.
    pub(super) fn record_greeting(&self, greeting: &Greeting) {
        self.fleet.record_greeting(greeting);
        self.replicas
            .merge_peer_reports(&greeting.gone_replicas, &greeting.crashes);
    }

    /// Sends greetings to all peers at once.
    ///
    /// Peers must know of a crash or of a shutdown before a caller repeats the same request there,
    /// or uses an address that is about to close.
    pub(super) async fn send_greetings(&self) {
        let members = self.fleet.members();
        join_all(members.iter().map(|member| self.send_greeting(member))).await;
    }

    async fn send_greeting(&self, member: &Member) {
        let peer = self.external_systems.network.peer(member.peer_address);
        let answer = tokio::time::timeout(PEER_CALL_TIMEOUT, peer.hello(self.greeting())).await;
        let Ok(Ok(greeting)) = answer else {
            self.fleet.record_failure(&member.vm);
            return;
        };
        self.record_greeting(&greeting);
        let own_generation = self.configuration.generation();
        if greeting.generation > own_generation {
            let call = peer.lists_since(own_generation);
            if let Ok(Ok(delta)) = tokio::time::timeout(PEER_CALL_TIMEOUT, call).await {
                self.apply_lists_delta(delta);
            }
        }
    }

    /// Polls the VM list at [`VM_LIST_POLL_INTERVAL`].
    pub(super) async fn run_vm_list(self: Arc<Self>) {
        loop {
            self.poll_vm_list().await;
            tokio::time::sleep(VM_LIST_POLL_INTERVAL).await;
        }
    }

    async fn poll_vm_list(&self) {
        match self.external_systems.vm_list.read().await {
            Ok(vms) => {
                self.fleet.update_vms(&vms);
                self.replicas.update_vms(&vms, &self.catalog.load());
                self.admission.admit_all_waiting();
            }
            Err(error) => warn!(self.log, "VM list cannot be read"; "reason" => error.to_string()),
        }
    }

    /// Polls the load of a random sample of replicas in each round.
    pub(super) async fn run_load_reports(self: Arc<Self>) {
        loop {
            let all = self.replicas.addresses();
            let sampled: Vec<_> = all
                .sample(&mut *lock(&self.rng), LOAD_POLLS_PER_ROUND)
                .cloned()
                .collect();
            let polls = sampled
                .iter()
                .map(|(pool, replica, address)| self.poll_load(pool, replica, *address));
            join_all(polls).await;
            self.admission.admit_all_waiting();
            tokio::time::sleep(LOAD_POLL_INTERVAL).await;
        }
    }

    async fn poll_load(&self, pool: &PoolId, replica: &ReplicaId, address: std::net::SocketAddr) {
        let kind = self.catalog.load().pool(pool).map(|pool| pool.kind);
        if kind != Some(PoolKind::Model) {
            self.recheck_service(replica, address).await;
            return;
        }
        let own_requests = self.replicas.own_in_flight(replica);
        match self.external_systems.engine.load(address).await {
            Ok(report) => {
                let requests = report
                    .running_requests
                    .saturating_add(report.queued_requests);
                self.replicas
                    .record_load(pool, replica, requests, own_requests);
                self.replicas.mark_reachable(replica);
            }
            Err(BackendError::NotConnected { .. }) => self.replicas.mark_unreachable(replica),
            Err(_) => self.replicas.mark_reachable(replica),
        }
    }

    /// Clears the unreachable mark of a plain service that accepts connections again. Plain
    /// services report no load.
    async fn recheck_service(&self, replica: &ReplicaId, address: std::net::SocketAddr) {
        let is_back = self.replicas.is_unreachable(replica)
            && self.external_systems.service.is_reachable(address).await;
        if is_back {
            self.replicas.mark_reachable(replica);
        }
    }
}
