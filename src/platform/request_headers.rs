//! Decodes the headers of callers' requests.

use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http::HeaderMap;
use tokio::time::Instant;

use super::names;
use super::transport::remove_connection_headers;
use crate::core::units::Tokens;
use crate::exchange::request::{ExchangeRequest, PromptPart, ResumeRequest, TokenBound};

/// Returns the attempt id that the caller chose; empty if there is none.
pub(super) fn attempt_id(headers: &HeaderMap) -> CompactString {
    let value = headers.get(names::ATTEMPT_ID);
    let text = value.and_then(|value| value.to_str().ok());
    text.map(str::trim).unwrap_or_default().into()
}

/// Decodes the head of a request. Its body is empty at first.
pub(super) fn decode_request(parts: http::request::Parts, arrived: Instant) -> ExchangeRequest {
    let mut headers = parts.headers;
    let text = |name: &str| {
        let value = headers.get(name)?;
        value.to_str().ok().map(str::trim)
    };
    let attempt = attempt_id(&headers);
    let host = text("host").unwrap_or_default();
    let host = host.rsplit_once(':').map_or(host, |(host, _)| host).into();
    let key = text("authorization")
        .and_then(|value| value.strip_prefix("Token "))
        .map(|key| key.trim().into());
    let time_left = decode_time_left(&headers);
    let tokens = text(names::TOKEN_USAGE).and_then(decode_usage);
    let prompt_parts = text(names::PREFIX_PARTS)
        .map(decode_parts)
        .unwrap_or_default();
    let last_event_id = text(names::LAST_EVENT_ID).and_then(|value| value.parse().ok());
    let resume = last_event_id.map(|last_event_id| ResumeRequest {
        last_event_id,
        first_attempt: text(names::RESUMES)
            .filter(|attempt| !attempt.is_empty())
            .map(Into::into),
    });
    let target = parts
        .uri
        .path_and_query()
        .map_or("/", |target| target.as_str())
        .into();
    remove_caller_headers(&mut headers);
    ExchangeRequest {
        attempt,
        method: parts.method,
        target,
        host,
        headers,
        body: Bytes::new(),
        key,
        arrived,
        time_left,
        tokens,
        prompt_parts,
        resume,
    }
}

/// Returns how long the caller waits, if its request has a deadline header.
fn decode_time_left(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(names::DEADLINE_MS)?.to_str().ok()?;
    let time_left_ms: f64 = value.trim().parse().ok()?;
    Duration::try_from_secs_f64(time_left_ms / 1_000.0).ok()
}

/// Removes headers that replicas must not receive from callers: keys, and those that only the
/// router sets.
fn remove_caller_headers(headers: &mut HeaderMap) {
    remove_connection_headers(headers);
    for name in names::RESERVED {
        headers.remove(name);
    }
    for name in [
        "authorization",
        "expect",
        names::LAST_EVENT_ID,
        names::DEADLINE_MS,
    ] {
        headers.remove(name);
    }
}

fn decode_usage(value: &str) -> Option<TokenBound> {
    let (prompt, output) = value.split_once(',')?;
    Some(TokenBound {
        prompt_tokens: Tokens::new(prompt.trim().parse().ok()?),
        max_output_tokens: Tokens::new(output.trim().parse().ok()?),
    })
}

/// Decodes the prompt's parts. Malformed parts are skipped, as they only guide the choice of a
/// replica.
fn decode_parts(value: &str) -> Vec<PromptPart> {
    let parts = value.split(',').filter_map(|part| {
        let (id, length) = part.trim().split_once(':')?;
        Some(PromptPart {
            id: u64::from_str_radix(id, 16).ok()?,
            length_tokens: length.parse().ok()?,
        })
    });
    parts.collect()
}
