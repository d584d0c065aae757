//! How long an accepted edit takes until it is in force on all routers, and what it costs.
//!
//! Routers run the code of real processes and reach one another and the platform over loopback.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::Serialize;
use thiserror::Error;

use crate::accepted::{AcceptError, AcceptedLists, Edit};
use crate::core::ids::IdError;
use crate::core::ledger::Generation;
use crate::core::units::Tokens;
use crate::daemon::Daemon;
use crate::fakes::fleet::{plans_list, usage_list, Site, SiteError, SiteOptions};
use crate::router::fleet::Member;
use crate::telemetry::discard_logger;

/// Time between two looks at all routers.
const LOOK_INTERVAL: Duration = Duration::from_millis(1);
/// Highest time that is told apart, in microseconds; an edit not in force by then has failed.
const MAX_US: u64 = 60_000_000;
/// Pause between two edits, as operators make them one after the other.
const EDIT_PAUSE: Duration = Duration::from_millis(150);
/// Prepaid amount before the first edit.
const FIRST_PAID_TOKENS: u64 = 1_000_000;

/// What was measured, with times in microseconds from the acceptance of an edit.
#[derive(Clone, Debug, Serialize)]
pub struct ConfigResult {
    /// Number of routers.
    pub routers: usize,
    /// Number of edits.
    pub edits: u64,
    /// Until an edit was in force on one router, median over routers and edits.
    pub one_p50_us: u64,
    /// Until an edit was in force on all routers, median over edits.
    pub all_p50_us: u64,
    /// Until an edit was in force on all routers, the slowest edit.
    pub all_max_us: u64,
    /// Reads and watches that the platform served for each edit, those at rest included.
    pub platform_reads_per_edit: f64,
    /// Times at which a router went back to an older generation.
    pub reverted: u64,
}

/// Why nothing was measured.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The site did not start.
    #[error(transparent)]
    Site(#[from] SiteError),
    /// An edit was not accepted.
    #[error(transparent)]
    Accept(#[from] AcceptError),
    /// A histogram cannot hold a value.
    #[error("histogram: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
    /// An edit did not come into force.
    #[error("generation {generation} is not in force on all routers after {MAX_US} us")]
    NotInForce {
        /// The generation of the edit.
        generation: Generation,
    },
}

impl From<IdError> for ConfigError {
    fn from(error: IdError) -> Self {
        Self::Site(error.into())
    }
}

/// Times per router and per edit.
struct Times {
    one: Histogram<u64>,
    all: Histogram<u64>,
    reverted: u64,
}

/// Makes edits one after the other and waits until each is in force on all routers.
///
/// # Errors
///
/// Fails when the site does not start or an edit does not come into force.
pub async fn run(seed: u64, routers: usize, edits: u64) -> Result<ConfigResult, ConfigError> {
    let options = SiteOptions {
        routers,
        ..SiteOptions::small(seed)
    };
    let plans = plans_list(&[("bench", FIRST_PAID_TOKENS)])?;
    let site = Site::start(options, plans, usage_list()?, &discard_logger()).await?;
    let mut times = Times {
        one: Histogram::new_with_max(MAX_US, 3)?,
        all: Histogram::new_with_max(MAX_US, 3)?,
        reverted: 0,
    };
    times.wait_in_force(&site.routers, 2).await?;
    wait_acquainted(&site.routers).await;
    times.one.reset();
    times.all.reset();
    let reads_before = site.platform.store().counts().reads;
    for number in 1..=edits {
        tokio::time::sleep(EDIT_PAUSE).await;
        let generation = edit(&site, FIRST_PAID_TOKENS + number).await?;
        times.wait_in_force(&site.routers, generation).await?;
    }
    let reads = site.platform.store().counts().reads - reads_before;
    Ok(ConfigResult {
        routers,
        edits,
        one_p50_us: times.one.value_at_quantile(0.5),
        all_p50_us: times.all.value_at_quantile(0.5),
        all_max_us: times.all.max(),
        platform_reads_per_edit: ratio(reads, edits),
        reverted: times.reverted,
    })
}

#[allow(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn ratio(count: u64, of: u64) -> f64 {
    count as f64 / of.max(1) as f64
}

async fn edit(site: &Site, paid_tokens: u64) -> Result<Generation, AcceptError> {
    let store = site.platform.store();
    let lists = AcceptedLists::load(store.as_ref(), &AcceptedLists::default()).await?;
    let mut plans = lists.plans();
    for team in &mut plans.teams {
        team.budgets[0].paid_tokens = Tokens::new(paid_tokens);
    }
    site.accept(Edit::Plans(plans)).await
}

async fn wait_acquainted(routers: &[Daemon]) {
    let knows_all = |daemon: &Daemon| {
        let members = daemon.router().fleet.members();
        members.len() + 1 == routers.len() && members.iter().all(Member::is_reachable)
    };
    while !routers.iter().all(knows_all) {
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}

impl Times {
    async fn wait_in_force(
        &mut self,
        routers: &[Daemon],
        generation: Generation,
    ) -> Result<(), ConfigError> {
        let started = Instant::now();
        let mut has_it = vec![false; routers.len()];
        loop {
            let elapsed_us = u64::try_from(started.elapsed().as_micros()).unwrap_or(MAX_US);
            if elapsed_us >= MAX_US {
                return Err(ConfigError::NotInForce { generation });
            }
            for (daemon, has_it) in routers.iter().zip(&mut has_it) {
                let is_in_force = daemon.router().configuration.generation() >= generation;
                if is_in_force && !*has_it {
                    self.one.saturating_record(elapsed_us);
                }
                self.reverted += u64::from(*has_it && !is_in_force);
                *has_it = is_in_force;
            }
            if has_it.iter().all(|has_it| *has_it) {
                self.all.saturating_record(elapsed_us);
                return Ok(());
            }
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    }
}
