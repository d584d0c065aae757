//! Measures the time until an accepted edit is in force on all routers, and the platform reads it
//! causes.
//!
//! Routers run the production code and reach one another and the platform over loopback.

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

/// Interval at which the generation in force is polled on all routers.
const POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Upper bound of recorded times, in microseconds; an edit not in force by then has failed.
const MAX_US: u64 = 60_000_000;
/// Pause between two edits, since operators make edits one after the other.
const EDIT_PAUSE: Duration = Duration::from_millis(150);
/// Prepaid amount before the first edit, in tokens.
const INITIAL_PAID_TOKENS: u64 = 1_000_000;

/// Measured times, in microseconds from the acceptance of an edit, and read counts.
#[derive(Clone, Debug, Serialize)]
pub struct ConfigResult {
    /// Number of routers.
    pub routers: usize,
    /// Number of edits.
    pub edits: u64,
    /// Time until an edit was in force on one router, median over routers and edits.
    pub one_p50_us: u64,
    /// Time until an edit was in force on all routers, median over edits.
    pub all_p50_us: u64,
    /// Time until an edit was in force on all routers, maximum over edits.
    pub all_max_us: u64,
    /// Reads and watches that the platform served per edit, background polling included.
    pub platform_reads_per_edit: f64,
    /// Number of observations of a router that had reverted to an older generation.
    pub reverted: u64,
}

/// Error that prevents a measurement.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The site did not start.
    #[error(transparent)]
    Site(#[from] SiteError),
    /// An edit was not accepted.
    #[error(transparent)]
    Accept(#[from] AcceptError),
    /// A histogram could not be created.
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

/// Recorded times per router and per edit.
struct Times {
    per_router: Histogram<u64>,
    all_routers: Histogram<u64>,
    reverted: u64,
}

/// Makes `edits` edits one after the other and waits until each is in force on all routers.
///
/// # Errors
///
/// Fails when the site does not start or an edit does not come into force.
pub async fn run(seed: u64, routers: usize, edits: u64) -> Result<ConfigResult, ConfigError> {
    let options = SiteOptions {
        routers,
        ..SiteOptions::small(seed)
    };
    let plans = plans_list(&[("bench", INITIAL_PAID_TOKENS)])?;
    let site = Site::start(options, plans, usage_list()?, &discard_logger()).await?;
    let mut times = Times {
        per_router: Histogram::new_with_max(MAX_US, 3)?,
        all_routers: Histogram::new_with_max(MAX_US, 3)?,
        reverted: 0,
    };
    times.wait_until_in_force(&site.routers, 2).await?;
    wait_for_full_membership(&site.routers).await;
    times.per_router.reset();
    times.all_routers.reset();
    let reads_before = site.platform.store().counts().reads;
    for number in 1..=edits {
        tokio::time::sleep(EDIT_PAUSE).await;
        let generation = edit(&site, INITIAL_PAID_TOKENS + number).await?;
        times.wait_until_in_force(&site.routers, generation).await?;
    }
    let reads = site.platform.store().counts().reads - reads_before;
    Ok(ConfigResult {
        routers,
        edits,
        one_p50_us: times.per_router.value_at_quantile(0.5),
        all_p50_us: times.all_routers.value_at_quantile(0.5),
        all_max_us: times.all_routers.max(),
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

async fn wait_for_full_membership(routers: &[Daemon]) {
    let has_full_membership = |daemon: &Daemon| {
        let members = daemon.router().fleet.members();
        members.len() + 1 == routers.len() && members.iter().all(Member::is_reachable)
    };
    while !routers.iter().all(has_full_membership) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

impl Times {
    async fn wait_until_in_force(
        &mut self,
        routers: &[Daemon],
        generation: Generation,
    ) -> Result<(), ConfigError> {
        let started = Instant::now();
        let mut was_in_force = vec![false; routers.len()];
        loop {
            let elapsed_us = u64::try_from(started.elapsed().as_micros()).unwrap_or(MAX_US);
            if elapsed_us >= MAX_US {
                return Err(ConfigError::NotInForce { generation });
            }
            for (daemon, was_in_force) in routers.iter().zip(&mut was_in_force) {
                let is_in_force = daemon.router().configuration.generation() >= generation;
                if is_in_force && !*was_in_force {
                    self.per_router.saturating_record(elapsed_us);
                }
                self.reverted += u64::from(*was_in_force && !is_in_force);
                *was_in_force = is_in_force;
            }
            if was_in_force.iter().all(|was_in_force| *was_in_force) {
                self.all_routers.saturating_record(elapsed_us);
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}
