//! HTTP client for the control addresses of the stand-ins and for operator ports.

use {
    crate::upstream::{Behaviour, Records},
    eyre::{Result, eyre},
    serde::de::DeserializeOwned,
    std::{net::SocketAddr, time::Duration},
    ureq::Agent,
};

/// Timeout of one request, from connecting to the end of the response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// HTTP client for stand-ins and operator ports; ignores proxy settings of the environment.
#[derive(Clone, Debug)]
pub struct Admin {
    agent: Agent,
}

impl Default for Admin {
    fn default() -> Self {
        let config = Agent::config_builder().proxy(None).timeout_global(Some(REQUEST_TIMEOUT)).build();
        Self { agent: config.into() }
    }
}

impl Admin {
    /// Fetches `http://{address}{path}` as text.
    ///
    /// # Errors
    /// When the request fails, its status is an error or the body is not UTF-8.
    pub fn text(&self, address: SocketAddr, path: &str) -> Result<String> {
        let mut response = self.agent.get(format!("http://{address}{path}")).call()?;
        Ok(response.body_mut().read_to_string()?)
    }

    /// Fetches `http://{address}{path}` and parses the body as JSON.
    ///
    /// # Errors
    /// When the request fails, its status is an error or the body does not parse.
    pub fn json<T: DeserializeOwned>(&self, address: SocketAddr, path: &str) -> Result<T> {
        Ok(serde_json::from_str(&self.text(address, path)?)?)
    }

    /// Writes a value to the platform's key-value store, as operators do.
    ///
    /// # Errors
    /// When the request fails or the platform refuses it.
    pub fn publish(&self, platform: SocketAddr, key: &str, value: &[u8]) -> Result<()> {
        self.agent.put(format!("http://{platform}/v1/kv/{key}")).send(value)?;
        Ok(())
    }

    /// Changes a setting of the platform stand-in; `setting` is a query string such as `down=true`.
    ///
    /// # Errors
    /// When the request fails.
    pub fn set_platform(&self, platform: SocketAddr, setting: &str) -> Result<()> {
        self.agent.post(format!("http://{platform}/standin/set?{setting}")).send_empty()?;
        Ok(())
    }

    /// Sets the behaviour of one upstream stand-in through the control address `steering`.
    ///
    /// # Errors
    /// When the request fails or no upstream has this name.
    pub fn set_behaviour(&self, steering: SocketAddr, upstream: &str, behaviour: &Behaviour) -> Result<()> {
        let body = serde_json::to_vec(behaviour)?;
        self.agent.post(format!("http://{steering}/{upstream}")).send(&body[..])?;
        Ok(())
    }

    /// Fetches the request counts of one upstream stand-in.
    ///
    /// # Errors
    /// When the request fails or no upstream has this name.
    pub fn records(&self, steering: SocketAddr, upstream: &str) -> Result<Records> {
        self.json(steering, &format!("/{upstream}"))
    }

    /// Returns the sum of a counter over all label sets, from `/metrics` of an operator port.
    ///
    /// # Errors
    /// When the request fails or a sample is not a number.
    pub fn counter(&self, operator: SocketAddr, name: &str) -> Result<f64> {
        let text = self.text(operator, "/metrics")?;
        let lines = text.lines().filter(|line| line.starts_with(name));
        let values = lines.map(|line| line.rsplit(' ').next().and_then(|value| value.parse::<f64>().ok()));
        values.map(|value| value.ok_or_else(|| eyre!("metric {name}: a sample is not a number"))).sum()
    }
}
