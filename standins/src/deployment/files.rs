//! The files of a deployment: settings of the VMs and the operators' file set.

use {
    super::{Plan, net::Net, vm::Vm},
    crate::upstream::UpstreamSpec,
    eyre::Result,
    std::{fmt::Write, fs, net::SocketAddr, path::Path},
};

/// Key of the packed configuration on the platform.
pub const CONFIGURATION_KEY: &str = "pointvane/configuration";
/// Key of the list of VMs on the platform.
pub const VM_LIST_KEY: &str = "pointvane/vms";

/// Limits of the fleet.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// `locate_keep_ms`.
    pub locate_keep_ms: u64,
    /// `key_life_ms`.
    pub key_life_ms: u64,
}

impl Default for FleetPlan {
    fn default() -> Self {
        Self { locate_keep_ms: 1_000, key_life_ms: 60_000 }
    }
}

/// One service with its upstreams.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// Its name; its paths begin with it.
    pub name: String,
    /// Its upstreams.
    pub instances: usize,
    /// Slots of each.
    pub slots: u16,
    /// Mean time of service, in milliseconds.
    pub service_ms: f64,
    /// Spread of the time of service.
    pub sigma: f64,
    /// Time that a probe takes a slot, in milliseconds.
    pub probe_ms: f64,
    /// Time that a new connection costs, in milliseconds.
    pub connect_ms: f64,
    /// Further lines of the service's file, before its upstreams.
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
            rules: String::new(),
        }
    }
}

impl ServicePlan {
    /// The name of one of its upstreams.
    pub fn upstream_name(&self, number: usize) -> String {
        format!("{}-{}", self.name, number + 1)
    }

    /// What the stand-ins are to be, for the service of this number.
    pub(super) fn specs(&self, net: &Net, service: usize) -> Vec<UpstreamSpec> {
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

pub(super) fn settings(plan: &Plan, net: &Net, vms: &[Vm], number: usize) -> String {
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

pub(super) fn write_file_set(directory: &Path, plan: &Plan, net: &Net, revision: u64) -> Result<()> {
    let services = directory.join("services");
    // A service that left the plan must not stay in the file set.
    let _ = fs::remove_dir_all(&services);
    fs::create_dir_all(&services)?;
    let FleetPlan { locate_keep_ms, key_life_ms } = plan.fleet;
    let fleet = format!(
        "revision = {revision}\nentry_vms_max = {}\nlocate_keep_ms = {locate_keep_ms}\nkey_life_ms = {key_life_ms}\n",
        plan.entries + 1
    );
    fs::write(directory.join("fleet.toml"), fleet)?;
    for (position, service) in plan.services.iter().enumerate() {
        let text = service_file(service, plan, |number| net.upstream(position, number));
        fs::write(services.join(format!("{}.toml", service.name)), text)?;
    }
    Ok(())
}

fn service_file(service: &ServicePlan, plan: &Plan, address: impl Fn(usize) -> SocketAddr) -> String {
    let ServicePlan { name, slots, rules, .. } = service;
    let mut text = format!("name = \"{name}\"\npath_prefix = \"/{name}\"\nslots = {slots}\n{rules}\n");
    for number in 0..service.instances {
        let (upstream, address) = (service.upstream_name(number), address(number));
        let centre = number % plan.data_centres + 1;
        let _ = writeln!(
            text,
            "[[upstream]]\nname = \"{upstream}\"\ndata_centre = \"dc-{centre}\"\naddress = \"{address}\"\n"
        );
    }
    text
}
