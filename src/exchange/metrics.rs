//! Prometheus metrics of the exchange.

use std::time::Duration;

use prometheus::core::Collector;
use prometheus::{
    Encoder, GaugeVec, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec,
    Opts, Registry, TextEncoder,
};

use super::path_metrics::PathMetrics;
use crate::core::rate_limit::RateLimit;

/// Upper bounds of the latency histograms, in seconds.
const LATENCY_BOUNDS_S: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0,
];

/// Metrics of one router.
#[derive(Debug)]
pub(crate) struct ExchangeMetrics {
    registry: Registry,
    requests: IntCounterVec,
    requests_read: IntCounter,
    requests_ended: IntCounterVec,
    streams_left: IntCounterVec,
    repeats: IntCounter,
    latency: Histogram,
    first_event: Histogram,
    store_calls: IntCounterVec,
    paths: PathMetrics,
    lost_connections: IntCounterVec,
    stream_resumes: IntCounterVec,
    quarantined: IntCounter,
    quarantined_parts: IntCounter,
    replicas: IntGaugeVec,
    rate_limits: GaugeVec,
    permits: IntCounterVec,
    stream_origins: IntCounterVec,
    origin_searches: IntCounterVec,
    store_era: IntGauge,
    feed_bytes: IntGaugeVec,
    connection_shortages: IntCounterVec,
    body_bytes: IntGauge,
}

impl ExchangeMetrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails when two metrics share a name.
    pub(crate) fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let counters = |name, help, label| {
            register(
                &registry,
                IntCounterVec::new(Opts::new(name, help), &[label])?,
            )
        };
        let counter = |name, help| register(&registry, IntCounter::new(name, help)?);
        let latencies = |name, help| {
            let options = HistogramOpts::new(name, help).buckets(LATENCY_BOUNDS_S.to_vec());
            register(&registry, Histogram::with_opts(options)?)
        };
        let replicas = IntGaugeVec::new(
            Opts::new("currantlever_replicas", "Replicas by pool and state"),
            &["pool", "state"],
        )?;
        let rate_limits = GaugeVec::new(
            Opts::new(
                "currantlever_replica_rate_limit",
                "Requests per second that a replica accepts from all routers",
            ),
            &["replica"],
        )?;
        let store_era = IntGauge::new(
            "currantlever_store_era",
            "Era of the store; rises when it returns from an older copy",
        )?;
        Ok(Self {
            connection_shortages: register(&registry, shortage_counters()?)?,
            body_bytes: register(&registry, body_gauge()?)?,
            requests: counters("currantlever_exchanges", "Requests by outcome", "outcome")?,
            requests_read: counter(
                "currantlever_requests_read",
                "Requests of callers whose head was read",
            )?,
            requests_ended: counters(
                "currantlever_requests_ended",
                "Requests of callers whose head was read and that have ended, by how",
                "end",
            )?,
            streams_left: counters(
                "currantlever_streams_left",
                "Streams that broke off or fell silent at a backend server, by what followed",
                "result",
            )?,
            repeats: counter("currantlever_repeats", "Requests sent to another replica")?,
            latency: latencies("currantlever_exchange_seconds", "Time to the end")?,
            first_event: latencies(
                "currantlever_first_event_seconds",
                "Time to the first event",
            )?,
            store_calls: counters(
                "currantlever_store_calls",
                "Calls to the store by result",
                "result",
            )?,
            lost_connections: counters(
                "currantlever_lost_connections",
                "Connections to backend servers lost with a request in progress, by what was found",
                "finding",
            )?,
            stream_resumes: counters(
                "currantlever_stream_resumes",
                "Streams to go on at another replica, by result",
                "result",
            )?,
            quarantined: counter(
                "currantlever_quarantined",
                "Requests that came to be quarantined",
            )?,
            quarantined_parts: counter(
                "currantlever_quarantined_parts",
                "Prompt parts that came to be quarantined",
            )?,
            permits: counters(
                "currantlever_permits",
                "Permits requested for rate-limited replicas, by result",
                "result",
            )?,
            stream_origins: counters(
                "currantlever_stream_origins",
                "Records of what began streams, by what happened to them",
                "event",
            )?,
            origin_searches: counters(
                "currantlever_origin_searches",
                "Searches for what began a stream, by result",
                "result",
            )?,
            replicas: register(&registry, replicas)?,
            rate_limits: register(&registry, rate_limits)?,
            store_era: register(&registry, store_era)?,
            feed_bytes: register(&registry, feed_gauge()?)?,
            paths: PathMetrics::new(&registry)?,
            registry,
        })
    }

    /// Counts a client's connection that was closed or refused in favour of others.
    pub(crate) fn count_connection_shortage(&self, listener: &str, result: &str) {
        self.connection_shortages
            .with_label_values(&[listener, result])
            .inc();
    }

    /// Sets the bytes of bodies that count towards the memory for bodies.
    pub(crate) fn set_body_bytes(&self, bytes: usize) {
        self.body_bytes
            .set(i64::try_from(bytes).unwrap_or(i64::MAX));
    }

    /// Counts a request that ended, its latency and its retries.
    pub(crate) fn record_request(&self, outcome: &str, elapsed: Duration, tries: u32) {
        self.requests.with_label_values(&[outcome]).inc();
        self.latency.observe(elapsed.as_secs_f64());
        self.repeats.inc_by(u64::from(tries.saturating_sub(1)));
    }

    /// Counts a request whose head was read.
    pub(crate) fn count_request_read(&self) {
        self.requests_read.inc();
    }

    /// Counts the end of a request whose head was read.
    pub(crate) fn count_request_ended(&self, end: &str) {
        self.requests_ended.with_label_values(&[end]).inc();
    }

    /// Counts a stream that broke off or fell silent, by what followed.
    pub(crate) fn count_stream_left(&self, result: &str) {
        self.streams_left.with_label_values(&[result]).inc();
    }

    /// Observes a time to the first event.
    pub(crate) fn observe_first_event(&self, time: Duration) {
        self.first_event.observe(time.as_secs_f64());
    }

    /// Counts a call to the store by its result.
    pub(crate) fn record_store_call(&self, result: &str) {
        self.store_calls.with_label_values(&[result]).inc();
    }

    /// Returns the metrics of the network path to the replicas.
    pub(super) const fn paths(&self) -> &PathMetrics {
        &self.paths
    }

    /// Counts a connection lost with a request in progress, by the finding about its server.
    pub(crate) fn count_lost_connection(&self, finding: &str) {
        self.lost_connections.with_label_values(&[finding]).inc();
    }

    /// Counts a stream that a caller takes up, or that breaks off in an answer, by what became of it.
    pub(crate) fn count_stream_resume(&self, result: &str) {
        self.stream_resumes.with_label_values(&[result]).inc();
    }

    /// Counts a newly quarantined request.
    pub(crate) fn count_quarantined(&self) {
        self.quarantined.inc();
    }

    /// Counts a newly quarantined part of a prompt.
    pub(crate) fn count_quarantined_part(&self) {
        self.quarantined_parts.inc();
    }

    /// Sets the numbers of in-service and of all replicas of a pool.
    pub(crate) fn set_replicas(&self, pool: &str, in_service: usize, all: usize) {
        let to_gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        let in_service_gauge = self.replicas.with_label_values(&[pool, "in_service"]);
        in_service_gauge.set(to_gauge(in_service));
        self.replicas
            .with_label_values(&[pool, "listed"])
            .set(to_gauge(all));
    }

    /// Sets the era of the store.
    pub(crate) fn set_store_era(&self, era: u64) {
        self.store_era.set(i64::try_from(era).unwrap_or(i64::MAX));
    }

    /// Returns the gauge of the length of all values of a kind that the change feed holds.
    pub(crate) fn feed_bytes(&self, kind: &str) -> IntGauge {
        self.feed_bytes.with_label_values(&[kind])
    }

    /// Counts a requested permit by its result.
    pub(crate) fn count_permit(&self, result: &str) {
        self.permits.with_label_values(&[result]).inc();
    }

    /// Counts what happened to a record of what began a stream.
    pub(crate) fn count_stream_origin(&self, event: &str) {
        self.stream_origins.with_label_values(&[event]).inc();
    }

    /// Counts a search for what began a stream by its result.
    pub(crate) fn count_origin_search(&self, result: &str) {
        self.origin_searches.with_label_values(&[result]).inc();
    }

    /// Sets or removes the rate limit of a replica.
    pub(crate) fn set_rate_limit(&self, replica: &str, limit: Option<RateLimit>) {
        match limit {
            Some(limit) => {
                let gauge = self.rate_limits.with_label_values(&[replica]);
                gauge.set(limit.per_second());
            }
            // Fails when no limit was set.
            None => drop(self.rate_limits.remove_label_values(&[replica])),
        }
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Encoding into memory fails only for metrics without a name.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}

fn shortage_counters() -> Result<IntCounterVec, prometheus::Error> {
    let options = Opts::new(
        "currantlever_connection_shortages",
        "Connections of clients closed or refused in favour of others",
    );
    IntCounterVec::new(options, &["listener", "result"])
}

fn body_gauge() -> Result<IntGauge, prometheus::Error> {
    IntGauge::new(
        "currantlever_body_bytes",
        "Bytes of bodies that count towards the memory for bodies",
    )
}

fn feed_gauge() -> Result<IntGaugeVec, prometheus::Error> {
    let options = Opts::new(
        "currantlever_feed_value_bytes",
        "Length of all values that the change feed holds, by kind",
    );
    IntGaugeVec::new(options, &["kind"])
}

/// Registers a metric and returns it.
pub(super) fn register<M>(registry: &Registry, metric: M) -> Result<M, prometheus::Error>
where
    M: Collector + Clone + 'static,
{
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}
