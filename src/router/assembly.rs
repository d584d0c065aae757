//! Construction and start of a router process.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use slog::{o, Logger};
use tokio::task::JoinSet;

use super::admission::Admission;
use super::billing::Biller;
use super::claims::Claims;
use super::configuration::Configuration;
use super::fleet::{Fleet, Identity};
use super::ledger_client::LedgerClient;
use super::replicas::Replicas;
use super::requests::RequestTable;
use super::spending::{Spender, SpenderDeps};
use crate::backend::{ModelEngine, PlainService};
use crate::body_memory::BodyMemory;
use crate::catalog::Catalog;
use crate::core::ids::HolderId;
use crate::core::policy::PolicyName;
use crate::core::retry_budget::RetryBudget;
use crate::core::routing::RoutingPolicyName;
use crate::core::suspect_reservations::SuspectReservations;
use crate::core::witness::Witness;
use crate::peer::PeerNetwork;
use crate::settings::Settings;
use crate::store::ObjectStore;
use crate::telemetry::{Telemetry, TelemetryError};
use crate::vm_list::VmList;

/// External systems that a router uses.
#[derive(Clone, Debug)]
pub struct ExternalSystems {
    /// The platform's object API.
    pub store: Arc<dyn ObjectStore>,
    /// The VM list.
    pub vm_list: Arc<dyn VmList>,
    /// Connections to the other routers.
    pub network: Arc<dyn PeerNetwork>,
    /// Model engines.
    pub engine: Arc<dyn ModelEngine>,
    /// Plain services.
    pub service: Arc<dyn PlainService>,
}

/// Options that are not in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouterOptions {
    /// Policy that sizes grants.
    pub policy: PolicyName,
    /// Routing policy, which selects replicas.
    pub routing: RoutingPolicyName,
    /// Seed of the process's random number generator.
    pub seed: u64,
}

impl RouterOptions {
    /// Returns the default options with a seed.
    #[must_use]
    pub const fn new(seed: u64) -> Self {
        Self {
            policy: PolicyName::Stocked,
            routing: RoutingPolicyName::RoundRobin,
            seed,
        }
    }
}

/// One router process.
#[derive(Debug)]
pub struct Router {
    pub(crate) settings: Settings,
    pub(crate) external_systems: ExternalSystems,
    pub(crate) body_memory: Arc<BodyMemory>,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) catalog: Arc<ArcSwap<Catalog>>,
    pub(crate) configuration: Configuration,
    pub(crate) spender: Spender,
    pub(crate) biller: Arc<Biller>,
    pub(crate) claims: Claims,
    pub(crate) replicas: Arc<Replicas>,
    pub(crate) admission: Admission,
    pub(crate) requests: Arc<RequestTable>,
    pub(crate) retry_budget: Mutex<RetryBudget>,
    pub(crate) witness: Mutex<Witness>,
    pub(crate) suspects: Mutex<SuspectReservations>,
    pub(crate) ledger: Arc<LedgerClient>,
    pub(crate) telemetry: Arc<Telemetry>,
    pub(crate) rng: Mutex<StdRng>,
    pub(crate) log: Logger,
}

impl Router {
    /// Creates a router without starting any task.
    ///
    /// # Errors
    ///
    /// Returns an error if the metrics cannot be registered.
    pub fn new(
        settings: Settings,
        external_systems: ExternalSystems,
        options: RouterOptions,
        log: &Logger,
    ) -> Result<Self, TelemetryError> {
        let mut rng = StdRng::seed_from_u64(options.seed);
        let holder = HolderId::from_random(rng.random());
        let log = log.new(o!("vm" => settings.vm.to_string(), "holder" => holder.to_string()));
        let telemetry = Arc::new(Telemetry::new(&log)?);
        let fleet = Arc::new(Fleet::new(Identity {
            vm: settings.vm.clone(),
            failure_domain: settings.failure_domain.clone(),
            holder,
        }));
        let catalog = Arc::new(ArcSwap::from_pointee(Catalog::default()));
        let ledger = Arc::new(LedgerClient::new(Arc::clone(&external_systems.store)));
        let domain = settings.failure_domain.clone();
        let replicas = Arc::new(Replicas::new(domain, options.routing.build(), rng.random()));
        let spender = Spender::new(SpenderDeps {
            ledger: Arc::clone(&ledger),
            fleet: Arc::clone(&fleet),
            network: Arc::clone(&external_systems.network),
            catalog: Arc::clone(&catalog),
            policy: options.policy.build().into(),
            log: log.clone(),
        });
        let biller = Biller::new(
            Arc::clone(&external_systems.store),
            Arc::clone(&fleet),
            Arc::clone(&external_systems.network),
            log.clone(),
        );
        let biller = Arc::new(biller);
        let requests = Arc::new(RequestTable::new(holder));
        add_gauges(&telemetry, &biller, &requests, &catalog);
        let body_memory_bytes = usize::try_from(settings.body_memory_bytes).unwrap_or(usize::MAX);
        Ok(Self {
            body_memory: BodyMemory::new(body_memory_bytes),
            configuration: Configuration::new(Arc::clone(&catalog)),
            claims: Claims::new(Arc::clone(&external_systems.store), holder),
            admission: Admission::new(Arc::clone(&replicas)),
            retry_budget: Mutex::default(),
            witness: Mutex::default(),
            suspects: Mutex::default(),
            rng: Mutex::new(rng),
            settings,
            external_systems,
            fleet,
            catalog,
            spender,
            biller,
            replicas,
            requests,
            ledger,
            telemetry,
            log,
        })
    }

    /// Returns the holder ID of this process, new at each start.
    #[must_use]
    pub fn holder(&self) -> HolderId {
        self.fleet.identity().holder
    }

    /// Spawns all background tasks. They end when the set is dropped.
    pub fn start(self: &Arc<Self>, tasks: &mut JoinSet<()>) {
        tasks.spawn(Arc::clone(self).run_probing());
        tasks.spawn(Arc::clone(self).run_platform_watch());
        tasks.spawn(Arc::clone(self).run_vm_list());
        tasks.spawn(Arc::clone(self).run_load_reports());
        tasks.spawn(Arc::clone(self).run_grant_maintenance());
        tasks.spawn(Arc::clone(self).run_reclaiming());
        let biller = Arc::clone(&self.biller);
        tasks.spawn(async move { biller.run_backup().await });
        let biller = Arc::clone(&self.biller);
        let interval = Duration::from_millis(self.settings.bill_flush_ms);
        tasks.spawn(async move { biller.run_flushing(interval).await });
    }

    async fn run_grant_maintenance(self: Arc<Self>) {
        let interval_ms = self.settings.refill_ms;
        for round in 1.. {
            tokio::time::sleep(Duration::from_millis(interval_ms)).await;
            if !self.fleet.is_draining() {
                self.spender.maintain(interval_ms, round).await;
            }
        }
    }
}

fn add_gauges(
    telemetry: &Telemetry,
    biller: &Arc<Biller>,
    requests: &Arc<RequestTable>,
    catalog: &Arc<ArcSwap<Catalog>>,
) {
    let source = Arc::clone(biller);
    telemetry.add_gauge("currantlever_unflushed_bills", move || {
        source.unflushed_count() as u64
    });
    let source = Arc::clone(requests);
    telemetry.add_gauge("currantlever_requests_in_progress", move || {
        source.running_count() as u64
    });
    let source = Arc::clone(catalog);
    telemetry.add_gauge("currantlever_lists_generation", move || {
        source.load().generation()
    });
}
