//! Deployments of the real programs on loopback, where each VM has its own address.

use {
    crate::{admin::Admin, upstream::UpstreamSpec},
    eyre::{Result, WrapErr, bail},
    pointvane_config::{pack, read_directory},
    std::{
        fs,
        net::{IpAddr, Ipv4Addr, SocketAddr},
        path::{Path, PathBuf},
        process::Child,
        thread,
        time::{Duration, Instant},
    },
};

mod files;
mod net;
mod process;
mod vm;

pub use {
    files::{FleetPlan, ServicePlan},
    net::LoopbackNet,
    process::{Program, kill, spawn, terminate},
    vm::Vm,
};

/// Longest time that [`wait_until`] waits for its condition.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What to deploy.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Number of data centres.
    pub data_centres: usize,
    /// Number of entry VMs, assigned to the data centres round-robin.
    pub entries: usize,
    /// Services and their upstreams.
    pub services: Vec<ServicePlan>,
    /// Fleet-wide limits.
    pub fleet: FleetPlan,
    /// TOML appended to the settings file of every VM.
    pub settings: String,
}

/// A running deployment. Dropping it kills all processes and deletes its files; they are kept when the thread
/// panics or `POINTVANE_KEEP_LOGS` is set.
#[derive(Debug)]
pub struct Deployment {
    /// The plan that it was started from.
    pub plan: Plan,
    /// The entry VMs.
    pub vms: Vec<Vm>,
    /// Client for stand-ins and operator ports.
    pub admin: Admin,
    net: LoopbackNet,
    directory: PathBuf,
    revision: u64,
    stand_ins: Vec<Child>,
}

impl Deployment {
    /// Starts the stand-ins and all VMs, and waits until every VM has the configuration and knows all other VMs.
    ///
    /// # Errors
    /// When a process cannot be started or the deployment is not ready within 30 s.
    pub fn start(plan: Plan) -> Result<Self> {
        let mut deployment = Self::prepare(plan)?;
        deployment.publish()?;
        for number in 0..deployment.plan.entries {
            deployment.start_vm(number)?;
        }
        deployment.wait_ready()?;
        Ok(deployment)
    }

    /// Starts the stand-ins only; no VM is started and nothing is published.
    ///
    /// # Errors
    /// When no loopback range is free, or a stand-in does not start or does not accept connections within 30 s.
    pub fn prepare(plan: Plan) -> Result<Self> {
        let net = LoopbackNet::reserve()?;
        let directory =
            std::env::temp_dir().join(format!("pointvane-{}-{}", std::process::id(), net.number()));
        fs::create_dir_all(&directory)?;
        let vms = (0..plan.entries).map(|number| Vm::new(&net, number, plan.data_centres)).collect();
        let mut deployment =
            Self { plan, vms, admin: Admin::default(), net, directory, revision: 0, stand_ins: Vec::new() };
        deployment.start_stand_ins()?;
        Ok(deployment)
    }

    fn start_stand_ins(&mut self) -> Result<()> {
        let services = self.plan.services.iter().enumerate();
        let specs: Vec<UpstreamSpec> = services.flat_map(|(n, s)| s.specs(&self.net, n)).collect();
        let specs_file = self.directory.join("upstreams.json");
        fs::write(&specs_file, serde_json::to_vec(&specs)?)?;
        let platform = self.net.platform().to_string();
        let control_address = self.upstream_control_address().to_string();
        let specs_file = specs_file.to_string_lossy();
        let upstreams = ["--specs", &specs_file, "--steering", &control_address];
        self.stand_ins.push(spawn(Program::Platform, &["--address", &platform], &self.log("platform"))?);
        self.stand_ins.push(spawn(Program::Upstreams, &upstreams, &self.log("upstreams"))?);
        wait_until("stand-ins", || {
            let accepts_connections = |address: SocketAddr| std::net::TcpStream::connect(address).is_ok();
            accepts_connections(self.net.platform()) && accepts_connections(self.upstream_control_address())
        })
    }

    /// Writes the operators' file set under the next revision, packs it and publishes it on the platform.
    ///
    /// # Errors
    /// When the file set cannot be written, is invalid or cannot be published.
    pub fn publish(&mut self) -> Result<()> {
        self.revision += 1;
        let packed = self.packed_configuration(self.revision)?;
        self.admin.publish(self.platform(), files::CONFIGURATION_KEY, &packed)
    }

    /// Writes the operators' file set under the given revision and returns it packed.
    ///
    /// # Errors
    /// When the file set cannot be written or is invalid.
    pub fn packed_configuration(&self, revision: u64) -> Result<Vec<u8>> {
        let directory = self.file_set();
        files::write_file_set(&directory, &self.plan, &self.net, revision)?;
        let configuration = read_directory(&directory)?;
        Ok(pack(&configuration)?)
    }

    /// The revision published last; 0 before the first.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Directory of the operators' file set.
    pub fn file_set(&self) -> PathBuf {
        self.directory.join("files")
    }

    /// Directory of all files of the deployment: settings, file set and logs.
    pub fn directory(&self) -> &Path {
        &self.directory
    }

    /// Publishes the platform's VM list, which marks the named VMs as leaving.
    ///
    /// # Errors
    /// When it cannot be published.
    pub fn publish_vm_list(&self, leaving: &[&str]) -> Result<()> {
        let vms: Vec<_> =
            leaving.iter().map(|name| serde_json::json!({"name": name, "leaving": true})).collect();
        let list = serde_json::to_vec(&serde_json::json!({ "vms": vms }))?;
        self.admin.publish(self.platform(), files::VM_LIST_KEY, &list)
    }

    /// Writes the settings of a VM and starts its control, entry and locate programs.
    ///
    /// # Errors
    /// When the settings cannot be written or a program cannot be started.
    pub fn start_vm(&mut self, number: usize) -> Result<()> {
        let settings = files::settings(&self.plan, &self.net, &self.vms, number);
        let name = self.vms[number].name.clone();
        let file = self.directory.join(format!("{name}.toml"));
        fs::write(&file, settings)?;
        for program in [Program::Control, Program::Entry, Program::Locate] {
            self.start_program(number, program)?;
        }
        Ok(())
    }

    /// Starts one program of a VM whose settings have been written by [`Self::start_vm`].
    ///
    /// # Errors
    /// When it cannot be started.
    pub fn start_program(&mut self, number: usize, program: Program) -> Result<()> {
        let name = self.vms[number].name.clone();
        let file = self.directory.join(format!("{name}.toml"));
        let log = self.log(&format!("{name}-{}", program.short_name()));
        let child = spawn(program, &["--config", &file.to_string_lossy()], &log)?;
        self.vms[number].set_child(program, child);
        Ok(())
    }

    /// Waits until every running VM has the newest configuration and its locate lists all running VMs.
    ///
    /// # Errors
    /// When that is not so within 30 s.
    pub fn wait_ready(&self) -> Result<()> {
        let running: Vec<_> = self.vms.iter().filter(|vm| vm.is_running()).collect();
        let ready = |vm: &&Vm| vm.is_ready(&self.admin, self.revision, running.len()).unwrap_or(false);
        wait_until("deployment", || running.iter().all(ready))
            .wrap_err_with(|| format!("see the logs in {}", self.directory.display()))
    }

    /// Address of the platform stand-in.
    pub fn platform(&self) -> SocketAddr {
        self.net.platform()
    }

    /// Control address of the upstream stand-ins.
    pub fn upstream_control_address(&self) -> SocketAddr {
        self.net.upstream_control_address()
    }

    /// Address of an upstream.
    pub fn upstream(&self, service: usize, number: usize) -> SocketAddr {
        self.net.upstream(service, number)
    }

    /// Addresses of all upstreams of a service.
    pub fn upstreams(&self, service: usize) -> Vec<SocketAddr> {
        (0..self.plan.services[service].instances).map(|number| self.upstream(service, number)).collect()
    }

    /// Addresses of the locate programs of all VMs.
    pub fn locates(&self) -> Vec<SocketAddr> {
        self.vms.iter().map(Vm::locate).collect()
    }

    /// Addresses of the entry programs of all VMs.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.vms.iter().map(Vm::entry).collect()
    }

    /// Sum of a counter over this program of all running VMs; those that do not respond are skipped.
    pub fn counter(&self, program: Program, name: &str) -> f64 {
        let ports = self.vms.iter().filter(|vm| vm.is_running()).map(|vm| vm.operator(program));
        ports.filter_map(|port| self.admin.counter(port, name).ok()).sum()
    }

    fn log(&self, name: &str) -> PathBuf {
        self.directory.join(format!("{name}.log"))
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.vms.iter_mut().for_each(Vm::kill);
        self.stand_ins.iter_mut().for_each(kill);
        if !thread::panicking() && std::env::var_os("POINTVANE_KEEP_LOGS").is_none() {
            // Best effort: a leftover directory does not disturb other deployments.
            let _ = fs::remove_dir_all(&self.directory);
        }
    }
}

/// Polls a condition until it holds; `what` names it in the error.
///
/// # Errors
/// When it does not hold within 30 s.
pub fn wait_until(what: &str, holds: impl Fn() -> bool) -> Result<()> {
    let deadline = Instant::now() + READY_TIMEOUT;
    while !holds() {
        if Instant::now() > deadline {
            bail!("timed out after {READY_TIMEOUT:?} waiting for {what}");
        }
        thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

/// The address `127.a.b.c`.
fn loopback(a: u8, b: u8, c: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, a, b, c))
}
