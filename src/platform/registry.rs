//! HTTP endpoints for router addresses, readiness checks and metrics.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::TcpListener;

use crate::exchange::engine::Exchange;
use crate::exchange::headroom::Headroom;
use crate::exchange::members::Members;
use crate::exchange::metrics::ExchangeMetrics;
use crate::exchange::pools::Pools;

/// Time for which callers cache the addresses, in seconds; some cache them three times as long.
const ADDRESS_TTL_S: u32 = 2;

/// State behind the endpoints for addresses, readiness and metrics.
#[derive(Debug)]
pub(crate) struct RouterEndpoints {
    members: Arc<Members>,
    exchange: Arc<Exchange>,
    pools: Arc<Pools>,
    metrics: Arc<ExchangeMetrics>,
    headroom: Arc<Headroom>,
    is_leaving: AtomicBool,
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
        metrics: Arc<ExchangeMetrics>,
        headroom: Arc<Headroom>,
    ) -> Self {
        Self {
            members,
            exchange,
            pools,
            metrics,
            headroom,
            is_leaving: AtomicBool::new(false),
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
    pub(crate) async fn accept(self: Arc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::task::yield_now().await;
                continue;
            };
            let router_endpoints = Arc::clone(&self);
            let service = service_fn(move |request| {
                let router_endpoints = Arc::clone(&router_endpoints);
                async move { Ok::<_, Infallible>(router_endpoints.respond(&request)) }
            });
            tokio::spawn(async move {
                // The client retries after an error.
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
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
