//! A whole site in one process: platform, backend servers and routers on loopback addresses.

use std::net::SocketAddr;
use std::sync::Arc;

use compact_str::CompactString;
use sha2::{Digest, Sha256};
use slog::Logger;
use thiserror::Error;

use super::engine::{EnginePace, FakeEngine};
use super::platform::FakePlatform;
use super::service::FakeService;
use crate::accepted::{accept_edit, AcceptError, Edit};
use crate::core::ids::{FailureDomain, IdError, PoolId, ReplicaId, VmId};
use crate::core::ledger::Generation;
use crate::core::units::Tokens;
use crate::daemon::{external_systems, Daemon, DaemonError};
use crate::http_server::StartError;
use crate::lists::{
    Budget, CallRule, Plan, PlanModel, PlanService, PlansList, Pool, PoolKind, Priority, Team,
    UsageList,
};
use crate::peer::in_process::InProcessNetwork;
use crate::peer::rpc::{FleetSecret, RpcError};
use crate::peer::PeerRouter;
use crate::router::RouterOptions;
use crate::settings::Settings;
use crate::vm_list::{VmRecord, VmRole, VmState};

/// A loopback address whose port the system picks.
pub const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
/// Secret of stand-in fleets.
const SECRET: &[u8] = b"stand-in fleet secret";

/// Size and speed of a site.
#[derive(Clone, Debug)]
pub struct SiteOptions {
    /// Failure domains, over which everything is spread.
    pub domains: Vec<&'static str>,
    /// Number of routers.
    pub routers: usize,
    /// Number of model engines.
    pub engines: usize,
    /// Number of plain services.
    pub services: usize,
    /// Speed of the engines.
    pub pace: EnginePace,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Reach routers through switches that can be cut, in place of the network.
    pub use_in_process_network: bool,
    /// Time for which callers keep addresses.
    pub address_ttl_ms: u64,
    /// Routers with a number above this one reach the platform by the far way.
    pub near_routers: u64,
}

impl SiteOptions {
    /// A small site with fast engines.
    #[must_use]
    pub fn small(seed: u64) -> Self {
        Self {
            domains: vec!["paju-a", "paju-b", "goyang", "gimpo"],
            routers: 3,
            engines: 3,
            services: 2,
            pace: EnginePace::default(),
            seed,
            use_in_process_network: false,
            address_ttl_ms: 100,
            near_routers: u64::MAX,
        }
    }
}

/// Why a site did not start.
#[derive(Debug, Error)]
pub enum SiteError {
    /// A server.
    #[error(transparent)]
    Start(#[from] StartError),
    /// A router.
    #[error(transparent)]
    Daemon(#[from] DaemonError),
    /// The fleet's secret.
    #[error(transparent)]
    Rpc(#[from] RpcError),
    /// The lists.
    #[error(transparent)]
    Accept(#[from] AcceptError),
    /// A name.
    #[error(transparent)]
    Name(#[from] IdError),
}

/// A running site.
#[derive(Debug)]
pub struct Site {
    /// The platform.
    pub platform: FakePlatform,
    /// A second way to the platform, for the routers beyond the near ones.
    pub far_platform: FakePlatform,
    /// The model engines, all in pool `assistant`.
    pub engines: Vec<FakeEngine>,
    /// The plain services, all in pool `orders`.
    pub services: Vec<FakeService>,
    /// The routers.
    pub routers: Vec<Daemon>,
    /// The switches between the routers.
    pub in_process_network: InProcessNetwork,
    options: SiteOptions,
    started_routers: u64,
    log: Logger,
}

impl Site {
    /// Starts a site with lists in force.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound or the lists are not accepted.
    pub async fn start(
        options: SiteOptions,
        plans: PlansList,
        usage: UsageList,
        log: &Logger,
    ) -> Result<Self, SiteError> {
        let platform = FakePlatform::start(ANY_PORT).await?;
        let far_platform = platform.start_beside(ANY_PORT).await?;
        let mut site = Self {
            platform,
            far_platform,
            engines: Vec::new(),
            services: Vec::new(),
            routers: Vec::new(),
            in_process_network: InProcessNetwork::new(),
            started_routers: 0,
            log: log.clone(),
            options,
        };
        site.accept(Edit::Usage(usage)).await?;
        site.accept(Edit::Plans(plans)).await?;
        for _ in 0..site.options.engines {
            site.engines
                .push(FakeEngine::start(ANY_PORT, site.options.pace).await?);
        }
        for _ in 0..site.options.services {
            site.services.push(FakeService::start(ANY_PORT).await?);
        }
        site.publish_vms()?;
        for _ in 0..site.options.routers {
            site.add_router().await?;
        }
        Ok(site)
    }

    /// Puts an edited list into the platform.
    ///
    /// # Errors
    ///
    /// Fails when it is not accepted.
    pub async fn accept(&self, edit: Edit) -> Result<Generation, AcceptError> {
        accept_edit(self.platform.store().as_ref(), &edit).await
    }

    /// Starts one more router.
    ///
    /// # Errors
    ///
    /// Fails when an address cannot be bound.
    pub async fn add_router(&mut self) -> Result<(), SiteError> {
        self.started_routers += 1;
        let number = self.started_routers;
        let mut settings = self.settings(number)?;
        let options = RouterOptions::new(self.options.seed.wrapping_mul(1_000) + number);
        let daemon = if self.options.use_in_process_network {
            settings.peer_advertise = Some(in_process_address(number));
            let network = self
                .in_process_network
                .network_of(in_process_address(number));
            let external_systems = external_systems(&settings, network)?;
            let daemon =
                Daemon::start_with_external_systems(settings, external_systems, options, &self.log)
                    .await?;
            let router: Arc<dyn PeerRouter> = daemon.router();
            self.in_process_network
                .connect(daemon.peer_address(), &router);
            daemon
        } else {
            Daemon::start(settings, FleetSecret::new(SECRET)?, options, &self.log).await?
        };
        self.routers.push(daemon);
        self.publish_vms()
    }

    /// The VM list as it is: everything live.
    ///
    /// # Errors
    ///
    /// Fails when a name is not valid.
    pub fn vms(&self) -> Result<Vec<VmRecord>, SiteError> {
        let mut vms = Vec::new();
        for daemon in &self.routers {
            let identity = daemon.router().fleet.identity().clone();
            vms.push(VmRecord {
                vm: identity.vm,
                failure_domain: identity.failure_domain,
                state: VmState::Live,
                role: VmRole::Entry {
                    address: daemon.address(),
                    peer_address: daemon.peer_address(),
                },
            });
        }
        for (number, engine) in self.engines.iter().enumerate() {
            vms.push(self.replica_record("assistant", number, engine.address())?);
        }
        for (number, service) in self.services.iter().enumerate() {
            vms.push(self.replica_record("orders", number, service.address())?);
        }
        Ok(vms)
    }

    /// Publishes the VM list as it is.
    ///
    /// # Errors
    ///
    /// Fails when a name is not valid.
    pub fn publish_vms(&self) -> Result<(), SiteError> {
        self.platform.set_vms(self.vms()?);
        Ok(())
    }

    fn replica_record(
        &self,
        pool: &str,
        number: usize,
        address: SocketAddr,
    ) -> Result<VmRecord, SiteError> {
        let name = format!("{pool}-{number}");
        Ok(VmRecord {
            vm: VmId::new(name.clone())?,
            failure_domain: self.domain(number)?,
            state: VmState::Live,
            role: VmRole::Replica {
                replica: ReplicaId::new(name)?,
                pool: PoolId::new(pool)?,
                address,
            },
        })
    }

    fn domain(&self, number: usize) -> Result<FailureDomain, SiteError> {
        let domains = &self.options.domains;
        Ok(FailureDomain::new(domains[number % domains.len()])?)
    }

    fn settings(&self, number: u64) -> Result<Settings, SiteError> {
        let place = usize::try_from(number).unwrap_or(0);
        let platform = if number > self.options.near_routers {
            &self.far_platform
        } else {
            &self.platform
        };
        Ok(Settings {
            vm: VmId::new(format!("entry-{number}"))?,
            failure_domain: self.domain(place)?,
            listen: ANY_PORT,
            peer_listen: ANY_PORT,
            advertise: None,
            peer_advertise: None,
            platform_url: platform.url().into(),
            fleet_secret_file: "unused".into(),
            tls: None,
            max_body_bytes: 1 << 20,
            refill_ms: 100,
            bill_flush_ms: 200,
            address_ttl_ms: self.options.address_ttl_ms,
            drain_ms: 60_000,
        })
    }
}

/// Address of a router on the in-process network: only a name there, never connected to.
fn in_process_address(number: u64) -> SocketAddr {
    let port = u16::try_from(number % 60_000).unwrap_or(0) + 1;
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), port)
}

/// The key of a stand-in team.
#[must_use]
pub fn key_of(team: &str) -> String {
    format!("key-of-{team}")
}

/// A plans list: each team on plan `workshop` with one budget of its own name.
///
/// # Errors
///
/// Fails when a name is not valid.
pub fn plans_list(teams: &[(&str, u64)]) -> Result<PlansList, IdError> {
    let mut list = PlansList::default();
    for (team, paid_tokens) in teams {
        let digest = hex::encode(Sha256::digest(key_of(team).as_bytes()));
        list.teams.push(Team {
            team: team.parse()?,
            plan: "workshop".parse()?,
            key_sha256: vec![CompactString::from(digest)],
            budgets: vec![Budget {
                budget: team.parse()?,
                paid_tokens: Tokens::new(*paid_tokens),
            }],
        });
    }
    Ok(list)
}

/// A usage list with one pool of engines and one of plain services.
///
/// # Errors
///
/// Fails when a name is not valid.
pub fn usage_list() -> Result<UsageList, IdError> {
    let pool = |name: &str, kind| -> Result<Pool, IdError> {
        Ok(Pool {
            pool: name.parse()?,
            kind,
            replica_slots: 64,
            template_overhead_tokens: Tokens::new(4),
            checks_fencing: true,
            resumes_streams: true,
        })
    };
    let read = CallRule {
        method: "GET".into(),
        path_prefix: "/".into(),
    };
    Ok(UsageList {
        generation: 0,
        pools: vec![
            pool("assistant", PoolKind::Model)?,
            pool("orders", PoolKind::Service)?,
        ],
        plans: vec![Plan {
            plan: "workshop".parse()?,
            priority: Priority::Interactive,
            weight: 1,
            max_output_tokens: Tokens::new(400),
            deadline_ms: 5_000,
            models: vec![PlanModel {
                model: "assistant".parse()?,
                pool: "assistant".parse()?,
            }],
            services: vec![PlanService {
                service: "orders".parse()?,
                pool: "orders".parse()?,
                call_tokens: Tokens::new(10),
                idempotent: vec![read],
            }],
        }],
    })
}
