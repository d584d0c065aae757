//! Logs, metrics and traces.

use std::collections::HashMap;
use std::io::Write;
use std::sync::Mutex;

use compact_str::CompactString;
use opentelemetry::metrics::{Counter, Histogram, MeterProvider};
use opentelemetry::propagation::TextMapPropagator;
use opentelemetry::trace::{
    Span, SpanContext, SpanKind, Status, TraceContextExt, Tracer, TracerProvider,
};
use opentelemetry::{Context, KeyValue};
use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::{SdkTracer, SdkTracerProvider, SpanData, SpanExporter};
use prometheus::{Encoder, Registry, TextEncoder};
use slog::{info, o, Drain, Logger};
use thiserror::Error;

/// Capacity of the asynchronous log queue, in records.
const LOG_QUEUE_RECORDS: usize = 4_096;
/// Name of the header, and of the propagator's carrier entry, with the W3C trace context.
const TRACEPARENT: &str = "traceparent";

/// The metrics exporter could not be set up.
#[derive(Debug, Error)]
#[error("metrics cannot be exported: {reason}")]
pub struct TelemetryError {
    reason: String,
}

/// Creates a logger that writes one JSON object per line to standard error.
pub fn json_logger() -> Logger {
    json_logger_to(std::io::stderr())
}

/// Creates a logger that writes one JSON object per line to standard output.
pub fn json_logger_to_stdout() -> Logger {
    json_logger_to(std::io::stdout())
}

/// Creates a logger that writes one JSON object per line to a writer.
pub fn json_logger_to<W>(writer: W) -> Logger
where
    W: Write + Send + 'static,
{
    let drain = Mutex::new(slog_json::Json::default(writer)).map(slog::Fuse);
    let drain = slog_async::Async::new(drain)
        .chan_size(LOG_QUEUE_RECORDS)
        .build()
        .fuse();
    Logger::root(drain, o!())
}

/// Creates a logger that discards all records.
pub fn discard_logger() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// Exports spans as log records.
#[derive(Debug)]
struct LogSpanExporter {
    log: Logger,
}

impl SpanExporter for LogSpanExporter {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        for span in batch {
            let duration = span
                .end_time
                .duration_since(span.start_time)
                .unwrap_or_default();
            let attributes: Vec<String> = span
                .attributes
                .iter()
                .map(|kv| format!("{}={}", kv.key, kv.value))
                .collect();
            info!(self.log, "span";
                "span" => span.name.as_ref(),
                "trace_id" => span.span_context.trace_id().to_string(),
                "span_id" => span.span_context.span_id().to_string(),
                "parent_span_id" => span.parent_span_id.to_string(),
                "duration_us" => u64::try_from(duration.as_micros()).unwrap_or(u64::MAX),
                "status" => format!("{:?}", span.status),
                "attributes" => attributes.join(" "));
        }
        Ok(())
    }
}

/// A span in progress, which ends when it is dropped.
#[derive(Debug)]
pub struct ActiveSpan {
    span: opentelemetry_sdk::trace::Span,
}

impl ActiveSpan {
    /// Sets an attribute.
    pub fn set_attribute<V>(&mut self, key: &'static str, value: V)
    where
        V: Into<opentelemetry::Value>,
    {
        self.span.set_attribute(KeyValue::new(key, value));
    }

    /// Sets the span's status to an error with a reason.
    pub fn set_error<T>(&mut self, reason: T)
    where
        T: Into<String>,
    {
        self.span.set_status(Status::error(reason.into()));
    }

    /// Returns the span's context, for its child spans.
    #[must_use]
    pub fn context(&self) -> SpanContext {
        self.span.span_context().clone()
    }

    /// Returns the W3C trace context to propagate with a call.
    #[must_use]
    pub fn traceparent(&self) -> Option<CompactString> {
        let mut carrier: HashMap<String, String> = HashMap::new();
        let context = Context::new().with_remote_span_context(self.context());
        TraceContextPropagator::new().inject_context(&context, &mut carrier);
        carrier.get(TRACEPARENT).map(CompactString::from)
    }
}

/// The parent of a span.
#[derive(Clone, Debug)]
pub enum SpanParent {
    /// No parent: the span starts a trace.
    None,
    /// A W3C trace context received from a caller.
    Traceparent(CompactString),
    /// A span of this process.
    Span(SpanContext),
}

/// Metrics and traces of one router.
#[derive(Debug)]
pub struct Telemetry {
    registry: Registry,
    meter_provider: SdkMeterProvider,
    tracer: SdkTracer,
    _tracer_provider: SdkTracerProvider,
    requests: Counter<u64>,
    tokens: Counter<u64>,
    retries: Counter<u64>,
    first_token: Histogram<f64>,
}

impl Telemetry {
    /// Sets up metrics and traces. Spans are exported to the log.
    ///
    /// # Errors
    ///
    /// Fails when the metrics exporter cannot be set up.
    pub fn new(log: &Logger) -> Result<Self, TelemetryError> {
        let registry = Registry::new();
        let reader = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|error| TelemetryError {
                reason: error.to_string(),
            })?;
        let meter_provider = SdkMeterProvider::builder().with_reader(reader).build();
        let exporter = LogSpanExporter { log: log.clone() };
        let tracer_provider = SdkTracerProvider::builder()
            .with_simple_exporter(exporter)
            .build();
        let meter = meter_provider.meter("currantlever");
        Ok(Self {
            registry,
            tracer: tracer_provider.tracer("currantlever"),
            _tracer_provider: tracer_provider,
            requests: meter.u64_counter("currantlever_requests").build(),
            tokens: meter.u64_counter("currantlever_tokens").build(),
            retries: meter.u64_counter("currantlever_retries").build(),
            first_token: meter
                .f64_histogram("currantlever_first_token_seconds")
                .with_boundaries(vec![
                    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.3, 2.5, 5.0,
                ])
                .build(),
            meter_provider,
        })
    }

    /// Adds a gauge whose value is read when the metrics are collected.
    pub fn add_gauge<F>(&self, name: &'static str, read: F)
    where
        F: Fn() -> u64 + Send + Sync + 'static,
    {
        let meter = self.meter_provider.meter("currantlever");
        let gauge = meter.u64_observable_gauge(name);
        gauge
            .with_callback(move |observer| observer.observe(read(), &[]))
            .build();
    }

    /// Counts an ended request by its outcome.
    pub fn count_request(&self, outcome: &str) {
        self.requests
            .add(1, &[KeyValue::new("outcome", outcome.to_owned())]);
    }

    /// Counts billed tokens.
    pub fn count_tokens(&self, tokens: u64) {
        self.tokens.add(tokens, &[]);
    }

    /// Counts a retry.
    pub fn count_retry(&self) {
        self.retries.add(1, &[]);
    }

    /// Records a time to the first token.
    pub fn record_first_token_latency(&self, time: std::time::Duration) {
        self.first_token.record(time.as_secs_f64(), &[]);
    }

    /// Returns all metrics in the Prometheus text format.
    #[must_use]
    pub fn metrics_text(&self) -> String {
        let mut text = Vec::new();
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        String::from_utf8(text).unwrap_or_default()
    }

    /// Starts a span.
    #[must_use]
    pub fn start_span(
        &self,
        name: &'static str,
        kind: SpanKind,
        parent: &SpanParent,
    ) -> ActiveSpan {
        let context = match parent {
            SpanParent::None => Context::new(),
            SpanParent::Span(parent) => Context::new().with_remote_span_context(parent.clone()),
            SpanParent::Traceparent(text) => {
                let carrier = HashMap::from([(TRACEPARENT.to_owned(), text.to_string())]);
                TraceContextPropagator::new().extract_with_context(&Context::new(), &carrier)
            }
        };
        let builder = self.tracer.span_builder(name).with_kind(kind);
        ActiveSpan {
            span: self.tracer.build_with_context(builder, &context),
        }
    }
}
