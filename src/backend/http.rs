//! HTTP client of the backend servers.

use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

use async_trait::async_trait;
use eventsource_stream::Eventsource;
use futures::{future, StreamExt, TryStreamExt};
use reqwest::header::CONTENT_TYPE;
use reqwest::{Method, RequestBuilder, Response};
use serde_json::json;

use super::chat::{ChatChunk, ChatRequest};
use super::{
    BackendError, CallContext, ChunkStream, EngineOrder, LoadReport, ModelEngine, PlainService,
    ServiceAnswer, ServiceCall,
};

/// Request and response header with the request's id.
pub const REQUEST_ID_HEADER: &str = "X-Request-Id";
/// Header with the W3C trace context.
pub const TRACEPARENT_HEADER: &str = "traceparent";
/// Header with the number of chunks received of an interrupted stream.
pub const RESUME_HEADER: &str = "X-Resume-After-Chunks";
/// Statuses of a backend server that state that the request was not run.
const NOT_RUN_STATUSES: [u16; 2] = [429, 503];
/// Statuses of a final answer.
const FINAL_STATUSES: Range<u16> = 200..600;
/// Timeout of load reports, orders and reachability checks.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);

/// An HTTP client of model engines and plain services.
#[derive(Clone, Debug)]
pub struct HttpBackend {
    client: reqwest::Client,
}

impl HttpBackend {
    /// Creates a client that uses the connection pool of `client`.
    #[must_use]
    pub const fn new(client: reqwest::Client) -> Self {
        Self { client }
    }

    async fn send(
        &self,
        request: RequestBuilder,
        context: &CallContext,
    ) -> Result<Response, BackendError> {
        let mut request = request.header(REQUEST_ID_HEADER, context.request.as_str());
        if let Some(traceparent) = &context.traceparent {
            request = request.header(TRACEPARENT_HEADER, traceparent.as_str());
        }
        let sent = tokio::time::timeout(context.time_left, request.send()).await;
        let Ok(sent) = sent else {
            return Err(BackendError::Broken {
                reason: "timeout before first byte".to_owned(),
            });
        };
        let response = sent.map_err(|error| transport_error(&error))?;
        let status = response.status().as_u16();
        if NOT_RUN_STATUSES.contains(&status) {
            return Err(BackendError::Refused { status });
        }
        if !FINAL_STATUSES.contains(&status) {
            let reason = format!("status {status} is none of a final answer");
            return Err(BackendError::Broken { reason });
        }
        check_request_id(&response, context)?;
        Ok(response)
    }

    async fn stream(
        &self,
        request: RequestBuilder,
        context: &CallContext,
    ) -> Result<ChunkStream, BackendError> {
        let response = self.send(request, context).await?;
        if !response.status().is_success() {
            let reason = format!("status {}", response.status());
            return Err(BackendError::Broken { reason });
        }
        let expected_id = context.request.clone();
        let events = response.bytes_stream().eventsource();
        let chunks = events
            .map_err(|error| BackendError::Broken {
                reason: error.to_string(),
            })
            .try_take_while(|event| future::ready(Ok(event.data != "[DONE]")))
            .and_then(move |event| future::ready(decode_chunk(&event.data, expected_id.as_str())));
        Ok(chunks.boxed())
    }
}

fn transport_error(error: &reqwest::Error) -> BackendError {
    let reason = error.to_string();
    if error.is_connect() {
        return BackendError::NotConnected { reason };
    }
    BackendError::Broken { reason }
}

fn check_request_id(response: &Response, context: &CallContext) -> Result<(), BackendError> {
    let found = response.headers().get(REQUEST_ID_HEADER);
    let Some(found) = found.and_then(|value| value.to_str().ok()) else {
        return Ok(());
    };
    if found == context.request.as_str() {
        return Ok(());
    }
    Err(BackendError::Mismatched {
        found: found.to_owned(),
    })
}

fn decode_chunk(data: &str, expected_id: &str) -> Result<ChatChunk, BackendError> {
    let chunk: ChatChunk = serde_json::from_str(data).map_err(|error| BackendError::Broken {
        reason: error.to_string(),
    })?;
    if chunk.id == expected_id {
        return Ok(chunk);
    }
    Err(BackendError::Mismatched {
        found: chunk.id.to_string(),
    })
}

fn chat_body(request: &ChatRequest) -> Result<serde_json::Value, BackendError> {
    let mut body = serde_json::to_value(request).map_err(|error| BackendError::NotConnected {
        reason: error.to_string(),
    })?;
    body["stream"] = json!(true);
    body["stream_options"] = json!({ "include_usage": true, "continuous_usage_stats": true });
    Ok(body)
}

#[async_trait]
impl ModelEngine for HttpBackend {
    async fn chat(
        &self,
        address: SocketAddr,
        request: &ChatRequest,
        context: &CallContext,
    ) -> Result<ChunkStream, BackendError> {
        let url = format!("http://{address}/v1/chat/completions");
        let body = chat_body(request)?;
        self.stream(self.client.post(url).json(&body), context)
            .await
    }

    async fn resume(
        &self,
        address: SocketAddr,
        received_chunks: u64,
        context: &CallContext,
    ) -> Result<ChunkStream, BackendError> {
        let url = format!("http://{address}/v1/chat/resume");
        let request = self.client.post(url).header(RESUME_HEADER, received_chunks);
        self.stream(request, context).await
    }

    async fn load(&self, address: SocketAddr) -> Result<LoadReport, BackendError> {
        let url = format!("http://{address}/v1/load");
        let request = self.client.get(url).timeout(CONTROL_TIMEOUT);
        let response = request
            .send()
            .await
            .map_err(|error| transport_error(&error))?;
        response
            .json()
            .await
            .map_err(|error| transport_error(&error))
    }

    async fn order(&self, address: SocketAddr, order: &EngineOrder) -> Result<(), BackendError> {
        let url = format!("http://{address}/v1/orders");
        let request = self.client.post(url).json(order).timeout(CONTROL_TIMEOUT);
        let response = request
            .send()
            .await
            .map_err(|error| transport_error(&error))?;
        let status = response.status();
        if status.is_success() {
            return Ok(());
        }
        Err(BackendError::Refused {
            status: status.as_u16(),
        })
    }
}

#[async_trait]
impl PlainService for HttpBackend {
    async fn call(
        &self,
        address: SocketAddr,
        call: &ServiceCall,
        context: &CallContext,
    ) -> Result<ServiceAnswer, BackendError> {
        let method = Method::from_bytes(call.method.as_bytes()).map_err(|error| {
            BackendError::NotConnected {
                reason: error.to_string(),
            }
        })?;
        let url = format!("http://{address}{}", call.path);
        let mut request = self.client.request(method, url).body(call.body.clone());
        if let Some(content_type) = &call.content_type {
            request = request.header(CONTENT_TYPE, content_type.as_str());
        }
        let response = self.send(request, context).await?;
        let status = response.status().as_u16();
        let content_type = response.headers().get(CONTENT_TYPE);
        let content_type = content_type
            .and_then(|value| value.to_str().ok())
            .map(Into::into);
        let body = tokio::time::timeout(context.time_left, response.bytes()).await;
        let Ok(body) = body else {
            return Err(BackendError::Broken {
                reason: "timeout before last byte".to_owned(),
            });
        };
        let body = body.map_err(|error| BackendError::Broken {
            reason: error.to_string(),
        })?;
        Ok(ServiceAnswer {
            status,
            content_type,
            body,
        })
    }

    async fn is_reachable(&self, address: SocketAddr) -> bool {
        let connection = tokio::net::TcpStream::connect(address);
        matches!(
            tokio::time::timeout(CONTROL_TIMEOUT, connection).await,
            Ok(Ok(_))
        )
    }
}
