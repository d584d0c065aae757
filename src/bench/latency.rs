//! What a router adds to the first token, and how many requests a second it carries.

use std::net::SocketAddr;
use std::time::Instant;

use futures::stream::{self, StreamExt};
use hdrhistogram::Histogram;
use serde::Serialize;
use thiserror::Error;

use crate::fakes::engine::EnginePace;
use crate::fakes::fleet::{key_of, plans_list, usage_list, Site, SiteError, SiteOptions};
use crate::telemetry::discard_logger;

/// Requests of one round, one after the other.
const SERIAL_REQUESTS: u64 = 50;
/// Requests of one round, many at a time.
const PARALLEL_REQUESTS: usize = 400;
/// Requests in progress at a time.
const CONCURRENCY: usize = 32;
/// Highest time that is told apart.
const MAX_US: u64 = 60_000_000;

/// What was measured.
#[derive(Clone, Debug, Serialize)]
pub struct LatencyResult {
    /// First token from the engine alone, median.
    pub direct_p50_us: u64,
    /// The same, 95th percentile.
    pub direct_p95_us: u64,
    /// First token through a router, median.
    pub router_p50_us: u64,
    /// The same, 95th percentile.
    pub router_p95_us: u64,
    /// Ratio of the medians.
    pub ratio_p50: f64,
    /// Whole answers a second from the engine alone, over all cores.
    pub direct_per_s: f64,
    /// Whole answers a second through a router, over all cores, engine and caller included.
    pub router_per_s: f64,
    /// Memory of the process with everything in it.
    pub resident_kib: u64,
}

/// Why nothing was measured.
#[derive(Debug, Error)]
pub enum LatencyError {
    /// The site did not start.
    #[error(transparent)]
    Site(#[from] SiteError),
    /// A request failed.
    #[error(transparent)]
    Request(#[from] reqwest::Error),
    /// A histogram cannot hold a value.
    #[error("histogram: {0}")]
    Histogram(String),
}

/// Measures both ways in turn, round by round.
///
/// # Errors
///
/// Fails when the site does not start or a request fails.
pub async fn run(seed: u64, rounds: u64) -> Result<LatencyResult, LatencyError> {
    let options = SiteOptions {
        routers: 2,
        engines: 1,
        pace: EnginePace::default(),
        ..SiteOptions::small(seed)
    };
    let plans = plans_list(&[("bench", 1 << 40)]).map_err(SiteError::from)?;
    let usage = usage_list().map_err(SiteError::from)?;
    let site = Site::start(options, plans, usage, &discard_logger()).await?;
    let client = reqwest::Client::new();
    let (engine, router) = (site.engines[0].address(), site.routers[0].address());
    let mut ready = false;
    while !ready {
        ready = send(&client, router).await.is_ok();
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    let new = || Histogram::<u64>::new_with_max(MAX_US, 3);
    let failed = |error: hdrhistogram::CreationError| LatencyError::Histogram(error.to_string());
    let (mut direct, mut through) = (new().map_err(failed)?, new().map_err(failed)?);
    let (mut direct_s, mut router_s) = (0.0, 0.0);
    for _ in 0..rounds {
        for _ in 0..SERIAL_REQUESTS {
            direct.saturating_record(send(&client, engine).await?);
            through.saturating_record(send(&client, router).await?);
        }
        direct_s += send_many(&client, engine).await?;
        router_s += send_many(&client, router).await?;
    }
    let sent = scale(rounds) * scale(PARALLEL_REQUESTS as u64);
    Ok(LatencyResult {
        direct_p50_us: direct.value_at_quantile(0.5),
        direct_p95_us: direct.value_at_quantile(0.95),
        router_p50_us: through.value_at_quantile(0.5),
        router_p95_us: through.value_at_quantile(0.95),
        ratio_p50: scale(through.value_at_quantile(0.5)) / scale(direct.value_at_quantile(0.5)),
        direct_per_s: sent / direct_s,
        router_per_s: sent / router_s,
        resident_kib: resident_kib(),
    })
}

#[allow(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn scale(count: u64) -> f64 {
    count as f64
}

/// Sends one request, reads the whole answer, and gives the time to its first byte.
async fn send(client: &reqwest::Client, at: SocketAddr) -> Result<u64, reqwest::Error> {
    let body = serde_json::json!({
        "model": "assistant", "stream": true, "max_tokens": 16,
        "messages": [{ "role": "user", "content": "hello" }],
    });
    let url = format!("http://{at}/v1/chat/completions");
    let started = Instant::now();
    let request = client.post(url).bearer_auth(key_of("bench")).json(&body);
    let mut response = request.send().await?.error_for_status()?;
    response.chunk().await?;
    let first_us = u64::try_from(started.elapsed().as_micros()).unwrap_or(MAX_US);
    while response.chunk().await?.is_some() {}
    Ok(first_us)
}

async fn send_many(client: &reqwest::Client, at: SocketAddr) -> Result<f64, reqwest::Error> {
    let started = Instant::now();
    let sends = (0..PARALLEL_REQUESTS).map(|_| send(client, at));
    let results: Vec<_> = stream::iter(sends)
        .buffer_unordered(CONCURRENCY)
        .collect()
        .await;
    results.into_iter().collect::<Result<Vec<u64>, _>>()?;
    Ok(started.elapsed().as_secs_f64())
}

/// Resident memory of this process by the system's account.
fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}
