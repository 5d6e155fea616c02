//! Finding and asking the programs of all VMs.

use {
    crate::{CONTROL_PORT, ENTRY_PORT, LOCATE_PORT},
    serde::{Deserialize, de::DeserializeOwned},
    std::{
        net::{IpAddr, SocketAddr},
        time::Duration,
    },
    ureq::Agent,
};

/// Longest time for one answer. Not measured.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Which VMs to ask.
#[derive(clap::Args)]
pub struct FleetArgs {
    /// Operator port of any VM's control; all members it knows are asked as well.
    #[arg(required = true, value_name = "ADDRESS")]
    controls: Vec<SocketAddr>,
    /// Operator port of the entries.
    #[arg(long, default_value_t = ENTRY_PORT)]
    pub entry_port: u16,
    /// Operator port of the other VMs' controls.
    #[arg(long, default_value_t = CONTROL_PORT)]
    control_port: u16,
    /// Operator port of the locates.
    #[arg(long, default_value_t = LOCATE_PORT)]
    pub locate_port: u16,
}

/// What a control tells, as far as it is used here.
#[derive(Clone, Debug, Deserialize)]
pub struct ControlView {
    /// The configuration in force.
    pub configuration: ConfigurationView,
    /// Whether this VM reads the platform for the others.
    pub reads_platform: bool,
    /// All VMs as known there, its own first.
    pub members: Vec<MemberView>,
}

/// Place of a configuration.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct ConfigurationView {
    /// The operators' revision.
    pub revision: u64,
}

/// A VM as a control knows it.
#[derive(Clone, Debug, Deserialize)]
pub struct MemberView {
    /// Who it is.
    pub identity: IdentityView,
    /// What is believed of it.
    pub state: String,
}

/// Who a VM is.
#[derive(Clone, Debug, Deserialize)]
pub struct IdentityView {
    /// Its name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its address.
    pub address: IpAddr,
}

/// Asks operator ports.
pub struct Asker {
    agent: Agent,
}

impl Default for Asker {
    fn default() -> Self {
        let config = Agent::config_builder().proxy(None).timeout_global(Some(TIMEOUT)).build();
        Self { agent: config.into() }
    }
}

impl Asker {
    /// A JSON answer; none if the port does not give one, which is shown as "not reached" whatever the reason.
    pub fn json<T: DeserializeOwned>(&self, address: SocketAddr, path: &str) -> Option<T> {
        let mut response = self.agent.get(format!("http://{address}{path}")).call().ok()?;
        response.body_mut().read_json().ok()
    }
}

impl FleetArgs {
    /// The operator ports of the controls of all VMs that any of the given ones knows.
    pub fn controls(&self, asker: &Asker) -> Vec<SocketAddr> {
        let told = self.controls.iter().filter_map(|control| asker.json::<ControlView>(*control, "/status"));
        let members = told.flat_map(|status| status.members).filter(|member| member.state != "Dead");
        let known = members.map(|member| SocketAddr::new(member.identity.address, self.control_port));
        let mut controls: Vec<_> = known.chain(self.controls.iter().copied()).collect();
        controls.sort();
        controls.dedup();
        controls
    }
}
