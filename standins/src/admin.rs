//! Calls that tests and tools make to stand-ins and to operator ports.

use {
    crate::upstream::{Behaviour, Done},
    eyre::{Result, eyre},
    serde::de::DeserializeOwned,
    std::{net::SocketAddr, time::Duration},
    ureq::Agent,
};

const TIMEOUT: Duration = Duration::from_secs(5);

/// A client for all of them.
#[derive(Clone, Debug)]
pub struct Admin {
    agent: Agent,
}

impl Default for Admin {
    fn default() -> Self {
        let config = Agent::config_builder().proxy(None).timeout_global(Some(TIMEOUT)).build();
        Self { agent: config.into() }
    }
}

impl Admin {
    /// A text.
    ///
    /// # Errors
    /// When there is no good answer.
    pub fn text(&self, address: SocketAddr, path: &str) -> Result<String> {
        let mut response = self.agent.get(format!("http://{address}{path}")).call()?;
        Ok(response.body_mut().read_to_string()?)
    }

    /// A JSON value.
    ///
    /// # Errors
    /// When there is no good answer.
    pub fn json<T: DeserializeOwned>(&self, address: SocketAddr, path: &str) -> Result<T> {
        Ok(serde_json::from_str(&self.text(address, path)?)?)
    }

    /// Publishes a value on the platform, as operators do.
    ///
    /// # Errors
    /// When the platform does not take it.
    pub fn publish(&self, platform: SocketAddr, key: &str, value: &[u8]) -> Result<()> {
        self.agent.put(format!("http://{platform}/v1/kv/{key}")).send(value)?;
        Ok(())
    }

    /// Changes the platform's stand-in, as by `down=true`.
    ///
    /// # Errors
    /// When it does not answer.
    pub fn set_platform(&self, platform: SocketAddr, setting: &str) -> Result<()> {
        self.agent.post(format!("http://{platform}/standin/set?{setting}")).send_empty()?;
        Ok(())
    }

    /// Changes an upstream's stand-in.
    ///
    /// # Errors
    /// When it does not answer.
    pub fn set_behaviour(&self, steering: SocketAddr, upstream: &str, behaviour: &Behaviour) -> Result<()> {
        let body = serde_json::to_vec(behaviour)?;
        self.agent.post(format!("http://{steering}/{upstream}")).send(&body[..])?;
        Ok(())
    }

    /// What an upstream's stand-in did.
    ///
    /// # Errors
    /// When it does not answer.
    pub fn done(&self, steering: SocketAddr, upstream: &str) -> Result<Done> {
        self.json(steering, &format!("/{upstream}"))
    }

    /// The sum of a counter over all its labels, from an operator port.
    ///
    /// # Errors
    /// When the port does not answer.
    pub fn counter(&self, operator: SocketAddr, name: &str) -> Result<f64> {
        let text = self.text(operator, "/metrics")?;
        let lines = text.lines().filter(|line| line.starts_with(name));
        let values = lines.map(|line| line.rsplit(' ').next().and_then(|value| value.parse::<f64>().ok()));
        values.map(|value| value.ok_or_else(|| eyre!("metric {name} cannot be read"))).sum()
    }
}
