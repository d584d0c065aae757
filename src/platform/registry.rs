//! HTTP endpoints for router addresses, readiness checks and metrics.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use serde::Serialize;
use slog::Logger;
use tokio::net::TcpListener;

use super::activity::Activity;
use super::client_connections::{ClientConnections, ClientLimits, ConnectionBounds};
use super::ingress::caller_limits;
use crate::exchange::engine::Exchange;
use crate::exchange::headroom::Headroom;
use crate::exchange::members::Members;
use crate::exchange::metrics::ExchangeMetrics;
use crate::exchange::pools::Pools;

/// Time for which callers cache the addresses, in seconds; some cache them three times as long.
const ADDRESS_TTL_S: u32 = 2;

/// Largest head of a request to these endpoints.
const MAX_HEAD_BYTES: usize = 8 * 1024;

/// State behind the endpoints for addresses, readiness and metrics.
#[derive(Debug)]
pub(crate) struct RouterEndpoints {
    members: Arc<Members>,
    exchange: Arc<Exchange>,
    pools: Arc<Pools>,
    metrics: Arc<ExchangeMetrics>,
    headroom: Arc<Headroom>,
    is_leaving: AtomicBool,
    log: Logger,
}

#[derive(Debug, Serialize)]
struct Addresses {
    addresses: Vec<SocketAddr>,
    ttl_s: u32,
}

impl RouterEndpoints {
    /// Creates the endpoints of a router.
    pub(crate) fn new(
        members: Arc<Members>,
        exchange: Arc<Exchange>,
        pools: Arc<Pools>,
        headroom: Arc<Headroom>,
        log: Logger,
    ) -> Self {
        Self {
            metrics: Arc::clone(exchange.metrics()),
            members,
            exchange,
            pools,
            headroom,
            is_leaving: AtomicBool::new(false),
            log,
        }
    }

    /// Returns true when this router accepts requests.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_leaving.load(Ordering::Relaxed) && self.exchange.catalog().is_some()
    }

    /// Reports this router as not ready and leaves it out of the addresses from now on.
    pub(crate) fn start_leaving(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
    }

    /// Serves connections of a listener until the task is aborted.
    pub(crate) async fn accept(
        self: Arc<Self>,
        listener_name: &'static str,
        max_connections: usize,
        listener: TcpListener,
    ) {
        let bounds = ConnectionBounds {
            max_open: Box::new(move || max_connections),
            crowded_from: usize::MAX,
        };
        let limits = caller_limits(&self.exchange);
        let limits = Box::new(move || ClientLimits {
            max_head_bytes: MAX_HEAD_BYTES,
            ..limits()
        });
        let metrics = Arc::clone(&self.metrics);
        let connections = ClientConnections::new(listener_name, bounds, limits, metrics, &self.log);
        let service = move |request, activity: Arc<Activity>| {
            activity.begin_request();
            let response = self.respond(&request);
            activity.record_answer();
            activity.end_request();
            async move { response }
        };
        connections.accept(listener, service).await;
    }

    fn respond(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        match request.uri().path() {
            "/resolve" => self.resolve(request.uri().query().unwrap_or_default()),
            "/readyz" if self.is_ready() => answer(StatusCode::OK, "text/plain", "ready"),
            "/readyz" => answer(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "not ready"),
            "/metrics" => {
                for (pool, in_service, all) in self.pools.counts() {
                    self.metrics.set_replicas(&pool, in_service, all);
                }
                let body_bytes = self.exchange.body_memory().held_bytes();
                self.metrics.set_body_bytes(body_bytes);
                answer(
                    StatusCode::OK,
                    "text/plain; version=0.0.4",
                    self.metrics.text(),
                )
            }
            _ => answer(StatusCode::NOT_FOUND, "text/plain", "not found"),
        }
    }

    fn resolve(&self, query: &str) -> Response<Full<Bytes>> {
        let zone = query.split('&').find_map(|pair| pair.strip_prefix("zone="));
        let own_headroom = self.is_ready().then(|| self.headroom.percent());
        let addresses = self
            .members
            .addresses_for(zone.unwrap_or_default(), own_headroom);
        if addresses.is_empty() {
            return answer(
                StatusCode::SERVICE_UNAVAILABLE,
                "text/plain",
                "no router is ready",
            );
        }
        let addresses = Addresses {
            addresses,
            ttl_s: ADDRESS_TTL_S,
        };
        let body = serde_json::to_vec(&addresses).unwrap_or_default();
        answer(StatusCode::OK, "application/json", body)
    }
}

fn answer<T>(status: StatusCode, content_type: &'static str, body: T) -> Response<Full<Bytes>>
where
    T: Into<Bytes>,
{
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    response.headers_mut().insert("content-type", content_type);
    response
}
