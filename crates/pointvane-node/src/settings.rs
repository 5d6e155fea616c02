//! The settings of a node, independent of the format that they were read from.

use {
    pointvane_core::Name,
    pointvane_dispatch::{BudgetLimits, WarmUpBound},
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// The settings of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// Name of the VM, unique in the fleet.
    pub name: Name,
    /// The data centre that the VM is in.
    pub data_centre: Name,
    /// Whether the whole fleet starts for the first time, so that no other node has any state yet.
    pub first_start: bool,
    /// Address on which callers' requests are accepted.
    pub traffic: SocketAddr,
    /// Address on which readiness checks are answered.
    pub readiness: SocketAddr,
    /// Address on which callers look up the nodes to use.
    pub directory: SocketAddr,
    /// Address on which operators read metrics, events and status; `None` disables the port.
    pub operator: Option<SocketAddr>,
    /// Address advertised to other nodes for gossip datagrams and state queries; the ports that follow serve
    /// relays and the other messages between nodes. The node also binds to its IP, unless
    /// [`pointvane_config::FleetOptions`] overrides it.
    pub gossip: SocketAddr,
    /// Address of the platform's HTTP interface.
    pub platform: SocketAddr,
    /// Gossip addresses of the nodes to contact first.
    pub seeds: Vec<SocketAddr>,
    /// The region of each data centre, where known.
    pub regions: BTreeMap<Name, Name>,
    /// Capacity of this VM's network link, in Mbit/s; 0 if unknown.
    pub link_mbps: u32,
    /// Memory that this process may use, in MB; `None` if it is not limited.
    pub memory_mb: Option<u32>,
    /// Limits set by the deployment.
    pub limits: NodeLimits,
}

/// Limits set by the deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeLimits {
    /// Grace period from SIGTERM to the end of the process.
    pub stop_grace: Duration,
    /// Retries allowed per request of a service, across the fleet.
    pub retry_ratio: f64,
    /// Retries allowed in addition to `retry_ratio`, across the fleet.
    pub retry_slack: f64,
    /// Maximum probes per second to one upstream, across the fleet.
    pub probes_per_s: f64,
    /// Maximum request rate to a cold upstream, as a multiple of the rate that it can take, across the fleet.
    pub cold_overshoot: f64,
    /// Requests per second allowed to a cold upstream in addition to `cold_overshoot`, across the fleet.
    pub cold_slack: f64,
    /// Time without contact to the platform after which requests with API keys are refused, since the keys
    /// may have been revoked; `None` if they continue to be served.
    pub accounts_unconfirmed: Option<Duration>,
    /// Time window over which the quotas of client accounts apply.
    pub quota_window: Duration,
    /// Time for which callers may cache a directory response, in seconds.
    pub directory_keep_s: u64,
}

impl NodeLimits {
    /// The limits of the fleet-wide retry and probe budgets.
    pub fn budgets(&self) -> BudgetLimits {
        BudgetLimits {
            retry_ratio: self.retry_ratio,
            retry_slack: self.retry_slack,
            probes_per_upstream_per_s: self.probes_per_s,
        }
    }

    /// The bound on the request rate to cold upstreams.
    pub fn warm_up(&self) -> WarmUpBound {
        WarmUpBound { overshoot: self.cold_overshoot, slack: self.cold_slack }
    }
}

/// The values for deployments that set no limits.
impl Default for NodeLimits {
    fn default() -> Self {
        Self {
            stop_grace: Duration::from_secs(6),
            retry_ratio: 0.1,
            retry_slack: 10.0,
            probes_per_s: 10.0,
            cold_overshoot: 1.0,
            cold_slack: 0.0,
            accounts_unconfirmed: None,
            quota_window: Duration::from_secs(5),
            directory_keep_s: 5,
        }
    }
}
