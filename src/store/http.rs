//! HTTP client of the platform's object API.
//!
//! Objects are at `/v1/objects/NAME`. `ETag` holds the version; `If-Match` and `If-None-Match: *`
//! hold the conditions. A read with `after` and `wait_ms` is a watch.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use compact_str::CompactString;
use reqwest::header::{ETAG, IF_MATCH, IF_NONE_MATCH};
use reqwest::{Response, StatusCode};

use super::{Expected, Object, ObjectKey, ObjectStore, StoreError, Version};

/// Timeout of a call; a watch adds its own wait.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// An object store behind the HTTP object API.
#[derive(Clone, Debug)]
pub struct HttpStore {
    client: reqwest::Client,
    base_url: CompactString,
}

impl HttpStore {
    /// Creates a client of the platform at a base URL.
    #[must_use]
    pub fn new(client: reqwest::Client, base_url: &str) -> Self {
        Self {
            client,
            base_url: CompactString::from(base_url),
        }
    }

    fn object_url(&self, key: &ObjectKey) -> String {
        format!("{}/v1/objects/{key}", self.base_url)
    }
}

fn no_answer(error: &reqwest::Error) -> StoreError {
    StoreError::Unavailable {
        reason: error.to_string(),
    }
}

fn check_status(key: &ObjectKey, response: Response) -> Result<Response, StoreError> {
    let status = response.status();
    if status == StatusCode::PRECONDITION_FAILED {
        return Err(StoreError::Conflict { key: key.clone() });
    }
    if status.is_server_error() {
        return Err(StoreError::Unavailable {
            reason: status.to_string(),
        });
    }
    if status.is_client_error() {
        return Err(StoreError::Refused {
            reason: status.to_string(),
        });
    }
    Ok(response)
}

fn version_of(response: &Response) -> Result<Version, StoreError> {
    let tag = response
        .headers()
        .get(ETAG)
        .and_then(|value| value.to_str().ok());
    let version = tag.and_then(|tag| tag.trim_matches('"').parse().ok());
    version.ok_or_else(|| StoreError::Unavailable {
        reason: "answer has no version".to_owned(),
    })
}

async fn read_object(key: &ObjectKey, response: Response) -> Result<Option<Object>, StoreError> {
    let is_missing = [StatusCode::NOT_FOUND, StatusCode::NO_CONTENT].contains(&response.status());
    if is_missing {
        return Ok(None);
    }
    let response = check_status(key, response)?;
    let version = version_of(&response)?;
    let value = response.bytes().await.map_err(|error| no_answer(&error))?;
    Ok(Some(Object { version, value }))
}

#[async_trait]
impl ObjectStore for HttpStore {
    async fn get(&self, key: &ObjectKey) -> Result<Option<Object>, StoreError> {
        let request = self.client.get(self.object_url(key)).timeout(CALL_TIMEOUT);
        let response = request.send().await.map_err(|error| no_answer(&error))?;
        read_object(key, response).await
    }

    async fn put(
        &self,
        key: &ObjectKey,
        value: Bytes,
        expected: Expected,
    ) -> Result<Version, StoreError> {
        let request = self
            .client
            .put(self.object_url(key))
            .timeout(CALL_TIMEOUT)
            .body(value);
        let request = match expected {
            Expected::Absent => request.header(IF_NONE_MATCH, "*"),
            Expected::Version(version) => request.header(IF_MATCH, format!("\"{version}\"")),
        };
        let response = request.send().await.map_err(|error| no_answer(&error))?;
        version_of(&check_status(key, response)?)
    }

    async fn list(&self, prefix: &str) -> Result<Vec<ObjectKey>, StoreError> {
        let url = format!("{}/v1/keys", self.base_url);
        let request = self
            .client
            .get(url)
            .query(&[("prefix", prefix)])
            .timeout(CALL_TIMEOUT);
        let response = request.send().await.map_err(|error| no_answer(&error))?;
        let response = check_status(&ObjectKey::new(prefix), response)?;
        response.json().await.map_err(|error| no_answer(&error))
    }

    async fn watch(
        &self,
        key: &ObjectKey,
        after: Version,
        wait: Duration,
    ) -> Result<Option<Object>, StoreError> {
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let request = self
            .client
            .get(self.object_url(key))
            .query(&[("after", after), ("wait_ms", wait_ms)])
            .timeout(wait + CALL_TIMEOUT);
        let response = request.send().await.map_err(|error| no_answer(&error))?;
        read_object(key, response).await
    }
}
