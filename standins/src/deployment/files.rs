//! Files of a deployment: the settings of each VM and the operators' file set.

use {
    super::{Plan, net::LoopbackNet, vm::Vm},
    crate::upstream::UpstreamSpec,
    eyre::Result,
    std::{fmt::Write, fs, net::SocketAddr, path::Path},
};

/// Platform key of the packed configuration.
pub const CONFIGURATION_KEY: &str = "pointvane/configuration";
/// Platform key of the VM list.
pub const VM_LIST_KEY: &str = "pointvane/vms";

/// Fleet-wide limits, written to `fleet.toml`.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// How long callers may keep a response of locate, in milliseconds.
    pub locate_keep_ms: u64,
    /// Lifetime of an idempotency key, in milliseconds.
    pub key_life_ms: u64,
}

impl Default for FleetPlan {
    fn default() -> Self {
        Self { locate_keep_ms: 1_000, key_life_ms: 60_000 }
    }
}

/// A service and its upstreams.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// Name of the service, also its path prefix.
    pub name: String,
    /// Number of upstreams.
    pub instances: usize,
    /// Requests that each upstream runs concurrently.
    pub slots: u16,
    /// Mean service time, in milliseconds.
    pub service_ms: f64,
    /// Standard deviation of the logarithm of the service time.
    pub sigma: f64,
    /// Time for which a probe occupies a slot, in milliseconds.
    pub probe_ms: f64,
    /// Delay of an upstream before it serves a new connection, in milliseconds.
    pub connect_ms: f64,
    /// Addresses of further upstreams, which the test runs itself.
    pub external: Vec<SocketAddr>,
    /// TOML inserted into the service's file before its upstreams.
    pub rules: String,
}

impl Default for ServicePlan {
    fn default() -> Self {
        Self {
            name: "dispatch".into(),
            instances: 4,
            slots: 6,
            service_ms: 15.0,
            sigma: 0.8,
            probe_ms: 6.0,
            connect_ms: 1.0,
            external: Vec::new(),
            rules: String::new(),
        }
    }
}

impl ServicePlan {
    /// Name of the upstream with this index.
    pub fn upstream_name(&self, number: usize) -> String {
        format!("{}-{}", self.name, number + 1)
    }

    /// Specifications of the upstream stand-ins of this service, whose index in the plan is `service`.
    pub(super) fn specs(&self, net: &LoopbackNet, service: usize) -> Vec<UpstreamSpec> {
        let spec = |number| UpstreamSpec {
            name: self.upstream_name(number),
            address: net.upstream(service, number),
            slots: self.slots,
            service_ms: self.service_ms,
            sigma: self.sigma,
            probe_ms: self.probe_ms,
            connect_ms: self.connect_ms,
        };
        (0..self.instances).map(spec).collect()
    }
}

/// Settings file of the VM with this index.
pub(super) fn settings(plan: &Plan, net: &LoopbackNet, vms: &[Vm], number: usize) -> String {
    let vm = &vms[number];
    let seeds: Vec<_> = vms.iter().map(|vm| format!("\"{}\"", vm.control())).collect();
    let mut text = String::new();
    let _ = writeln!(
        text,
        "[vm]\nname = \"{}\"\ndata_centre = \"{}\"\naddress = \"{}\"\n",
        vm.name, vm.data_centre, vm.address
    );
    let _ = writeln!(
        text,
        "[platform]\naddress = \"{}\"\nconfiguration_key = \"{CONFIGURATION_KEY}\"\nvm_list_key = \"{VM_LIST_KEY}\"\n",
        net.platform()
    );
    let _ = writeln!(text, "[mesh]\nseeds = [{}]\n", seeds.join(", "));
    text + &plan.settings
}

/// Writes `fleet.toml` and one file per service into `directory`.
pub(super) fn write_file_set(directory: &Path, plan: &Plan, net: &LoopbackNet, revision: u64) -> Result<()> {
    let services = directory.join("services");
    // Files of services that are no longer in the plan must not stay in the file set.
    let _ = fs::remove_dir_all(&services);
    fs::create_dir_all(&services)?;
    let FleetPlan { locate_keep_ms, key_life_ms } = plan.fleet;
    let fleet = format!(
        "revision = {revision}\nentry_vms_max = {}\nlocate_keep_ms = {locate_keep_ms}\nkey_life_ms = {key_life_ms}\n",
        plan.entries + 1
    );
    fs::write(directory.join("fleet.toml"), fleet)?;
    for (service_index, service) in plan.services.iter().enumerate() {
        let text = service_file(service, plan, |number| net.upstream(service_index, number));
        fs::write(services.join(format!("{}.toml", service.name)), text)?;
    }
    Ok(())
}

/// Contents of a service's file; `address` returns the address of the upstream with the given index.
fn service_file(service: &ServicePlan, plan: &Plan, address: impl Fn(usize) -> SocketAddr) -> String {
    let ServicePlan { name, slots, rules, .. } = service;
    let mut text = format!("name = \"{name}\"\npath_prefix = \"/{name}\"\nslots = {slots}\n{rules}\n");
    let addresses = (0..service.instances).map(address).chain(service.external.iter().copied());
    for (number, address) in addresses.enumerate() {
        let upstream = service.upstream_name(number);
        let data_centre = number % plan.data_centres + 1;
        let _ = writeln!(
            text,
            "[[upstream]]\nname = \"{upstream}\"\ndata_centre = \"dc-{data_centre}\"\naddress = \"{address}\"\n"
        );
    }
    text
}
