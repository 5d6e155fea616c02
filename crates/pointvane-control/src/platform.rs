//! The platform over its published HTTP interface, by `ureq`.
//!
//! Shape: `GET /v1/kv/KEY?index=N&wait=10s` answers once the key's `ModifyIndex` exceeds N or the wait is
//! over, with `[{"Value": "<base64>", "ModifyIndex": N}]`, or 404 while nothing is published.

use {
    base64::{Engine, engine::general_purpose::STANDARD},
    pointvane_core::{Name, Platform, PlatformError, PlatformReading},
    serde::Deserialize,
    std::{net::SocketAddr, time::Duration},
    ureq::{Agent, http::HeaderMap},
};

/// Longest wait of a watch, in seconds, as it is asked of the platform. Not measured.
const WAIT_S: u64 = 10;
/// Time beyond the wait itself, for the platform's own delays. Not measured.
const SLACK: Duration = Duration::from_secs(3);
/// Largest body read: a value of a megabyte in base64, with its frame.
const BODY_LIMIT_BYTES: u64 = 2 << 20;
/// Status while nothing is published under a key.
const STATUS_NOT_FOUND: u16 = 404;
/// Header with the platform's write count.
const INDEX_HEADER: &str = "x-consul-index";

/// The platform at one address.
#[derive(Debug)]
pub struct HttpPlatform {
    agent: Agent,
    address: SocketAddr,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct KeyValue {
    value: Option<String>,
    modify_index: u64,
}

impl HttpPlatform {
    /// A client that follows nothing, takes no proxy from its environment and gives up after the wait.
    pub fn new(address: SocketAddr) -> Self {
        let config = Agent::config_builder()
            .proxy(None)
            .max_redirects(0)
            .http_status_as_error(false)
            .timeout_connect(Some(Duration::from_secs(1)))
            .timeout_global(Some(Duration::from_secs(WAIT_S) + SLACK))
            .build();
        Self { agent: config.into(), address }
    }
}

impl Platform for HttpPlatform {
    fn watch(&self, key: &Name, after_index: u64) -> Result<PlatformReading, PlatformError> {
        let url = format!("http://{}/v1/kv/{key}?index={after_index}&wait={WAIT_S}s", self.address);
        let mut response = self.agent.get(&url).call().map_err(|_| PlatformError::Unavailable)?;
        if response.status().as_u16() == STATUS_NOT_FOUND {
            return Ok(PlatformReading { index: index(response.headers())?, value: None });
        }
        if !response.status().is_success() {
            return Err(PlatformError::Unavailable);
        }
        let body = response.body_mut().with_config().limit(BODY_LIMIT_BYTES);
        let entries: Vec<KeyValue> = body.read_json().map_err(|_| PlatformError::Malformed)?;
        let entry = entries.into_iter().next().ok_or(PlatformError::Malformed)?;
        let value = STANDARD.decode(entry.value.unwrap_or_default()).map_err(|_| PlatformError::Malformed)?;
        Ok(PlatformReading { index: entry.modify_index, value: Some(value) })
    }
}

/// The write count that an answer without a value carries.
///
/// One that is missing or no number is an error, and no count of 0: with that the next watch would return at once, and so
/// would all that follow.
fn index(headers: &HeaderMap) -> Result<u64, PlatformError> {
    let text = headers.get(INDEX_HEADER).and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok()).ok_or(PlatformError::Malformed)
}
