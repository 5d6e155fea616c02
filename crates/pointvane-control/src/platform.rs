//! Client of the platform's HTTP interface, based on `ureq`.
//!
//! `GET /v1/kv/KEY?index=N&wait=10s` answers once the key's `ModifyIndex` exceeds N or the wait is
//! over, with `[{"Value": "<base64>", "ModifyIndex": N}]`, or 404 while nothing is published.

use {
    base64::{Engine, engine::general_purpose::STANDARD},
    pointvane_core::{Name, Platform, PlatformError, PlatformReading},
    serde::Deserialize,
    std::{net::SocketAddr, time::Duration},
    ureq::{Agent, http::HeaderMap},
};

/// Maximum wait of a watch that is requested from the platform, in seconds.
const WAIT_S: u64 = 10;
/// Time that the platform may take to respond after the wait of a watch has ended.
const RESPONSE_DELAY_MAX: Duration = Duration::from_secs(3);
/// Maximum size of a response body: a value of 1 MB in base64 with its JSON object.
const BODY_LIMIT_BYTES: u64 = 2 << 20;
/// Status of a watch on a key without a value.
const STATUS_NOT_FOUND: u16 = 404;
/// Header with the platform's modify index, which grows with each write.
const INDEX_HEADER: &str = "x-consul-index";

/// HTTP client of the platform at one address.
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
    /// Creates a client that follows no redirects, ignores proxy settings of the environment and times out
    /// shortly after the maximum wait of a watch.
    pub fn new(address: SocketAddr) -> Self {
        let agent_config = Agent::config_builder()
            .proxy(None)
            .max_redirects(0)
            .http_status_as_error(false)
            .timeout_connect(Some(Duration::from_secs(1)))
            .timeout_global(Some(Duration::from_secs(WAIT_S) + RESPONSE_DELAY_MAX))
            .build();
        Self { agent: agent_config.into(), address }
    }
}

impl Platform for HttpPlatform {
    fn watch(&self, key: &Name, after_index: u64) -> Result<PlatformReading, PlatformError> {
        let url = format!("http://{}/v1/kv/{key}?index={after_index}&wait={WAIT_S}s", self.address);
        let mut response = self.agent.get(&url).call().map_err(|_| PlatformError::Unavailable)?;
        if response.status().as_u16() == STATUS_NOT_FOUND {
            return Ok(PlatformReading { index: parse_index(response.headers())?, value: None });
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

/// Parses the modify index of a response without a value.
///
/// A missing or malformed index is an error: if it were read as 0, this watch and all later ones would return
/// immediately.
fn parse_index(headers: &HeaderMap) -> Result<u64, PlatformError> {
    let text = headers.get(INDEX_HEADER).and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok()).ok_or(PlatformError::Malformed)
}
