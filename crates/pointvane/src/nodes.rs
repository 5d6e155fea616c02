//! Discovery of all VMs and queries to their operator ports.

use {
    crate::{CONTROL_PORT, ENTRY_PORT, LOCATE_PORT},
    serde::{Deserialize, de::DeserializeOwned},
    std::{
        net::{IpAddr, SocketAddr},
        time::Duration,
    },
    ureq::Agent,
};

/// Timeout of one request to an operator port, from connecting to the end of the response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Which VMs to query.
#[derive(clap::Args)]
pub struct FleetArgs {
    /// Operator address of the control program on any VM; all members it knows are queried as well.
    #[arg(required = true, value_name = "ADDRESS")]
    controls: Vec<SocketAddr>,
    /// Operator port of the entry programs.
    #[arg(long, default_value_t = ENTRY_PORT)]
    pub entry_port: u16,
    /// Operator port of the control programs on the other VMs.
    #[arg(long, default_value_t = CONTROL_PORT)]
    control_port: u16,
    /// Operator port of the locate programs.
    #[arg(long, default_value_t = LOCATE_PORT)]
    pub locate_port: u16,
}

/// The fields of a control program's status that are used here.
#[derive(Clone, Debug, Deserialize)]
pub struct ControlView {
    /// The configuration in effect.
    pub configuration: ConfigurationView,
    /// Whether this VM reads the platform for the others.
    pub reads_platform: bool,
    /// All VMs known to it, its own first.
    pub members: Vec<MemberView>,
}

/// Version of a configuration.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct ConfigurationView {
    /// Revision set by the operators.
    pub revision: u64,
}

/// A VM as known to a control program.
#[derive(Clone, Debug, Deserialize)]
pub struct MemberView {
    /// Name and address of the VM.
    pub identity: IdentityView,
    /// Membership state, such as `Live` or `Dead`.
    pub state: String,
}

/// Name and address of a VM.
#[derive(Clone, Debug, Deserialize)]
pub struct IdentityView {
    /// Name of the VM.
    pub name: String,
    /// Data centre it runs in.
    pub data_centre: String,
    /// Address of its programs.
    pub address: IpAddr,
}

/// HTTP client for operator ports.
pub struct OperatorClient {
    agent: Agent,
}

impl Default for OperatorClient {
    fn default() -> Self {
        let config = Agent::config_builder().proxy(None).timeout_global(Some(REQUEST_TIMEOUT)).build();
        Self { agent: config.into() }
    }
}

impl OperatorClient {
    /// Fetches and decodes a JSON response. `None` on any error, which callers report as "not reached"
    /// whatever its cause.
    pub fn get_json<T: DeserializeOwned>(&self, address: SocketAddr, path: &str) -> Option<T> {
        let mut response = self.agent.get(format!("http://{address}{path}")).call().ok()?;
        response.body_mut().read_json().ok()
    }
}

impl FleetArgs {
    /// The given operator addresses of control programs and those of all members they know, except dead ones;
    /// sorted and without duplicates.
    pub fn controls(&self, client: &OperatorClient) -> Vec<SocketAddr> {
        let statuses =
            self.controls.iter().filter_map(|control| client.get_json::<ControlView>(*control, "/status"));
        let members = statuses.flat_map(|status| status.members).filter(|member| member.state != "Dead");
        let known = members.map(|member| SocketAddr::new(member.identity.address, self.control_port));
        let mut controls: Vec<_> = known.chain(self.controls.iter().copied()).collect();
        controls.sort();
        controls.dedup();
        controls
    }
}
