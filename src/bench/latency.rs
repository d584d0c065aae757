//! Measures the time to first token that a router adds, and its throughput in requests per second.

use std::net::SocketAddr;
use std::time::Instant;

use futures::stream::{self, StreamExt};
use hdrhistogram::Histogram;
use serde::Serialize;
use thiserror::Error;

use crate::fakes::engine::EnginePace;
use crate::fakes::fleet::{key_of, plans_list, usage_list, Site, SiteError, SiteOptions};
use crate::telemetry::discard_logger;

/// Sequential requests per round.
const SERIAL_REQUESTS: u64 = 50;
/// Concurrent requests per round.
const PARALLEL_REQUESTS: usize = 400;
/// Maximum number of requests in progress.
const CONCURRENCY: usize = 32;
/// Upper bound of recorded times, in microseconds.
const MAX_US: u64 = 60_000_000;

/// Measured latency, throughput and memory.
#[derive(Clone, Debug, Serialize)]
pub struct LatencyResult {
    /// Time to first token from the engine without a router, median.
    pub direct_p50_us: u64,
    /// Time to first token from the engine without a router, 95th percentile.
    pub direct_p95_us: u64,
    /// Time to first token through a router, median.
    pub router_p50_us: u64,
    /// Time to first token through a router, 95th percentile.
    pub router_p95_us: u64,
    /// Ratio of the medians, router to direct.
    pub ratio_p50: f64,
    /// Complete answers per second from the engine without a router, on all cores.
    pub direct_per_s: f64,
    /// Complete answers per second through a router, on all cores, which engine and caller share.
    pub router_per_s: f64,
    /// Resident memory of the process, which holds router, engine and caller.
    pub resident_kib: u64,
}

/// Error that prevents a measurement.
#[derive(Debug, Error)]
pub enum LatencyError {
    /// The site did not start.
    #[error(transparent)]
    Site(#[from] SiteError),
    /// A request failed.
    #[error(transparent)]
    Request(#[from] reqwest::Error),
    /// A histogram could not be created.
    #[error("histogram: {0}")]
    Histogram(String),
}

/// Measures direct and routed requests alternately in each round.
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
    let mut is_ready = false;
    while !is_ready {
        is_ready = send(&client, router).await.is_ok();
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    let new = || Histogram::<u64>::new_with_max(MAX_US, 3);
    let histogram_error =
        |error: hdrhistogram::CreationError| LatencyError::Histogram(error.to_string());
    let (mut direct, mut via_router) = (
        new().map_err(histogram_error)?,
        new().map_err(histogram_error)?,
    );
    let (mut direct_s, mut router_s) = (0.0, 0.0);
    for _ in 0..rounds {
        for _ in 0..SERIAL_REQUESTS {
            direct.saturating_record(send(&client, engine).await?);
            via_router.saturating_record(send(&client, router).await?);
        }
        direct_s += send_concurrently(&client, engine).await?;
        router_s += send_concurrently(&client, router).await?;
    }
    let sent = to_f64(rounds) * to_f64(PARALLEL_REQUESTS as u64);
    Ok(LatencyResult {
        direct_p50_us: direct.value_at_quantile(0.5),
        direct_p95_us: direct.value_at_quantile(0.95),
        router_p50_us: via_router.value_at_quantile(0.5),
        router_p95_us: via_router.value_at_quantile(0.95),
        ratio_p50: to_f64(via_router.value_at_quantile(0.5))
            / to_f64(direct.value_at_quantile(0.5)),
        direct_per_s: sent / direct_s,
        router_per_s: sent / router_s,
        resident_kib: resident_kib(),
    })
}

#[allow(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn to_f64(count: u64) -> f64 {
    count as f64
}

/// Sends one request, reads the complete answer and returns the time to its first byte, in
/// microseconds.
async fn send(client: &reqwest::Client, address: SocketAddr) -> Result<u64, reqwest::Error> {
    let body = serde_json::json!({
        "model": "assistant", "stream": true, "max_tokens": 16,
        "messages": [{ "role": "user", "content": "hello" }],
    });
    let url = format!("http://{address}/v1/chat/completions");
    let started = Instant::now();
    let request = client.post(url).bearer_auth(key_of("bench")).json(&body);
    let mut response = request.send().await?.error_for_status()?;
    response.chunk().await?;
    let first_us = u64::try_from(started.elapsed().as_micros()).unwrap_or(MAX_US);
    while response.chunk().await?.is_some() {}
    Ok(first_us)
}

async fn send_concurrently(
    client: &reqwest::Client,
    address: SocketAddr,
) -> Result<f64, reqwest::Error> {
    let started = Instant::now();
    let sends = (0..PARALLEL_REQUESTS).map(|_| send(client, address));
    let results: Vec<_> = stream::iter(sends)
        .buffer_unordered(CONCURRENCY)
        .collect()
        .await;
    results.into_iter().collect::<Result<Vec<u64>, _>>()?;
    Ok(started.elapsed().as_secs_f64())
}

/// Returns the resident memory of this process from `/proc/self/status`, or 0 if unavailable.
fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}
