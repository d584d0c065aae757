//! A complete site in one process: platform, backend servers and routers on loopback addresses.

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

/// Loopback address with a port that the operating system assigns.
pub const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
/// Fleet secret of fake sites.
const SECRET: &[u8] = b"stand-in fleet secret";

/// Size, timing and network of a site.
#[derive(Clone, Debug)]
pub struct SiteOptions {
    /// Failure domains, to which routers and replicas are assigned round-robin.
    pub domains: Vec<&'static str>,
    /// Number of routers.
    pub routers: usize,
    /// Number of model engines.
    pub engines: usize,
    /// Number of plain services.
    pub services: usize,
    /// Response timing of the engines.
    pub pace: EnginePace,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Connects routers through an in-process switchboard with links that can be cut, in place of
    /// the network.
    pub use_in_process_network: bool,
    /// Time to live of the router addresses that callers keep, in milliseconds.
    pub address_ttl_ms: u64,
    /// Highest number of a router that uses the first platform endpoint; routers above it use the
    /// second one.
    pub near_routers: u64,
}

impl SiteOptions {
    /// Returns the options of a small site with engines that answer without delay.
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

/// Error that prevents the start of a site.
#[derive(Debug, Error)]
pub enum SiteError {
    /// A server did not start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// A router did not start.
    #[error(transparent)]
    Daemon(#[from] DaemonError),
    /// The fleet secret is not valid.
    #[error(transparent)]
    Rpc(#[from] RpcError),
    /// A list was not accepted.
    #[error(transparent)]
    Accept(#[from] AcceptError),
    /// A name is not valid.
    #[error(transparent)]
    Name(#[from] IdError),
}

/// A running site.
#[derive(Debug)]
pub struct Site {
    /// The first endpoint of the platform.
    pub platform: FakePlatform,
    /// The second endpoint of the platform, for routers with a number above `near_routers`.
    pub far_platform: FakePlatform,
    /// The model engines, all in pool `assistant`.
    pub engines: Vec<FakeEngine>,
    /// The plain services, all in pool `orders`.
    pub services: Vec<FakeService>,
    /// The routers.
    pub routers: Vec<Daemon>,
    /// The in-process links between the routers.
    pub in_process_network: InProcessNetwork,
    options: SiteOptions,
    started_routers: u64,
    log: Logger,
}

impl Site {
    /// Starts a site with accepted lists.
    ///
    /// # Errors
    ///
    /// Fails when a server or router does not start, a list is not accepted or a name is not valid.
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

    /// Writes an edited list to the platform and returns its generation.
    ///
    /// # Errors
    ///
    /// Fails when the edit is not accepted.
    pub async fn accept(&self, edit: Edit) -> Result<Generation, AcceptError> {
        accept_edit(self.platform.store().as_ref(), &edit).await
    }

    /// Starts another router and publishes the VM list.
    ///
    /// # Errors
    ///
    /// Fails when the router does not start or a name is not valid.
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

    /// Returns the VM list of the running servers, all live.
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

    /// Publishes the VM list of the running servers.
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
        let index = usize::try_from(number).unwrap_or(0);
        let platform = if number > self.options.near_routers {
            &self.far_platform
        } else {
            &self.platform
        };
        Ok(Settings {
            vm: VmId::new(format!("entry-{number}"))?,
            failure_domain: self.domain(index)?,
            listen: ANY_PORT,
            peer_listen: ANY_PORT,
            advertise: None,
            peer_advertise: None,
            platform_url: platform.url().into(),
            fleet_secret_file: "unused".into(),
            tls: None,
            max_body_bytes: 1 << 20,
            body_memory_bytes: 32 << 20,
            refill_ms: 100,
            bill_flush_ms: 200,
            address_ttl_ms: self.options.address_ttl_ms,
            drain_ms: 60_000,
        })
    }
}

/// Returns a router's address on the in-process network, which only identifies the router and is
/// never connected to.
fn in_process_address(number: u64) -> SocketAddr {
    let port = u16::try_from(number % 60_000).unwrap_or(0) + 1;
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), port)
}

/// Returns the API key of a team.
#[must_use]
pub fn key_of(team: &str) -> String {
    format!("key-of-{team}")
}

/// Returns a plans list with each team on plan `workshop` and one budget named after the team.
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

/// Returns a usage list with one pool of engines and one of plain services.
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
    let read_rule = CallRule {
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
                idempotent: vec![read_rule],
            }],
        }],
    })
}
