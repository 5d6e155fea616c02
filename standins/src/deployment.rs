//! A deployment of the real programs on loopback, each VM with an address of its own.

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
    net::Net,
    process::{Program, kill, spawn, terminate},
    vm::Vm,
};

const READY_MAX: Duration = Duration::from_secs(30);
const LOOK: Duration = Duration::from_millis(20);

/// What to deploy.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Data centres.
    pub data_centres: usize,
    /// Entry VMs, dealt over the data centres in turn.
    pub entries: usize,
    /// The services with their upstreams.
    pub services: Vec<ServicePlan>,
    /// Limits of the fleet.
    pub fleet: FleetPlan,
    /// Lines for each VM's settings.
    pub settings: String,
}

/// A running deployment; everything ends when it is dropped.
#[derive(Debug)]
pub struct Deployment {
    /// The plan.
    pub plan: Plan,
    /// The entry VMs.
    pub vms: Vec<Vm>,
    /// Calls to stand-ins and operator ports.
    pub admin: Admin,
    net: Net,
    directory: PathBuf,
    revision: u64,
    stand_ins: Vec<Child>,
}

impl Deployment {
    /// Starts everything and waits until every VM knows the configuration and all the others.
    ///
    /// # Errors
    /// When something does not start in time.
    pub fn start(plan: Plan) -> Result<Self> {
        let mut deployment = Self::prepare(plan)?;
        deployment.publish()?;
        for number in 0..deployment.plan.entries {
            deployment.start_vm(number)?;
        }
        deployment.wait_ready()?;
        Ok(deployment)
    }

    /// Starts the stand-ins alone, with nothing published.
    ///
    /// # Errors
    /// When one does not start.
    pub fn prepare(plan: Plan) -> Result<Self> {
        let net = Net::take()?;
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
        let steering = self.steering().to_string();
        let specs_file = specs_file.to_string_lossy();
        let upstreams = ["--specs", &specs_file, "--steering", &steering];
        self.stand_ins.push(spawn(Program::Platform, &["--address", &platform], &self.log("platform"))?);
        self.stand_ins.push(spawn(Program::Upstreams, &upstreams, &self.log("upstreams"))?);
        wait("stand-ins", || {
            let answers = |address: SocketAddr| std::net::TcpStream::connect(address).is_ok();
            answers(self.net.platform()) && answers(self.steering())
        })
    }

    /// Writes the file set with the next revision, packs and publishes it.
    ///
    /// # Errors
    /// When it has faults or cannot be published.
    pub fn publish(&mut self) -> Result<()> {
        self.revision += 1;
        let packed = self.packed(self.revision)?;
        self.admin.publish(self.platform(), files::CONFIGURATION_KEY, &packed)
    }

    /// The packed file set under a revision.
    ///
    /// # Errors
    /// When it has faults.
    pub fn packed(&self, revision: u64) -> Result<Vec<u8>> {
        let directory = self.file_set();
        files::write_file_set(&directory, &self.plan, &self.net, revision)?;
        let configuration = read_directory(&directory)?;
        Ok(pack(&configuration)?)
    }

    /// The revision published last.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Where the file set stands.
    pub fn file_set(&self) -> PathBuf {
        self.directory.join("files")
    }

    /// Where this deployment keeps its files.
    pub fn directory(&self) -> &Path {
        &self.directory
    }

    /// Publishes the platform's list of VMs, with these names leaving.
    ///
    /// # Errors
    /// When it cannot be published.
    pub fn publish_vm_list(&self, leaving: &[&str]) -> Result<()> {
        let vms: Vec<_> =
            leaving.iter().map(|name| serde_json::json!({"name": name, "leaving": true})).collect();
        let list = serde_json::to_vec(&serde_json::json!({ "vms": vms }))?;
        self.admin.publish(self.platform(), files::VM_LIST_KEY, &list)
    }

    /// Starts the three programs of a VM.
    ///
    /// # Errors
    /// When one cannot be started.
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

    /// Starts one program of a VM.
    ///
    /// # Errors
    /// When it cannot be started.
    pub fn start_program(&mut self, number: usize, program: Program) -> Result<()> {
        let name = self.vms[number].name.clone();
        let file = self.directory.join(format!("{name}.toml"));
        let log = self.log(&format!("{name}-{}", program.short()));
        let child = spawn(program, &["--config", &file.to_string_lossy()], &log)?;
        self.vms[number].put(program, child);
        Ok(())
    }

    /// Waits until every VM that runs knows the newest configuration and all that run.
    ///
    /// # Errors
    /// When that takes too long.
    pub fn wait_ready(&self) -> Result<()> {
        let running: Vec<_> = self.vms.iter().filter(|vm| vm.runs()).collect();
        let ready = |vm: &&Vm| vm.is_ready(&self.admin, self.revision, running.len()).unwrap_or(false);
        wait("deployment", || running.iter().all(ready))
            .wrap_err_with(|| format!("see the logs in {}", self.directory.display()))
    }

    /// Where the platform answers.
    pub fn platform(&self) -> SocketAddr {
        self.net.platform()
    }

    /// Where the upstreams' stand-ins are steered.
    pub fn steering(&self) -> SocketAddr {
        self.net.steering()
    }

    /// Where an upstream serves.
    pub fn upstream(&self, service: usize, number: usize) -> SocketAddr {
        self.net.upstream(service, number)
    }

    /// Where all upstreams of a service serve.
    pub fn upstreams(&self, service: usize) -> Vec<SocketAddr> {
        (0..self.plan.services[service].instances).map(|number| self.upstream(service, number)).collect()
    }

    /// Where all locates answer.
    pub fn locates(&self) -> Vec<SocketAddr> {
        self.vms.iter().map(Vm::locate).collect()
    }

    /// Where all entries serve.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.vms.iter().map(Vm::entry).collect()
    }

    /// The sum of a counter over the entry or control programs that answer.
    pub fn counter(&self, program: Program, name: &str) -> f64 {
        let ports = self.vms.iter().filter(|vm| vm.runs()).map(|vm| vm.operator(program));
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
            // What cannot be removed is in the way of nobody.
            let _ = fs::remove_dir_all(&self.directory);
        }
    }
}

/// Waits until something holds.
///
/// # Errors
/// When it does not within half a minute.
pub fn wait(what: &str, holds: impl Fn() -> bool) -> Result<()> {
    let until = Instant::now() + READY_MAX;
    while !holds() {
        if Instant::now() > until {
            bail!("{what}: not within {READY_MAX:?}");
        }
        thread::sleep(LOOK);
    }
    Ok(())
}

fn loopback(a: u8, b: u8, c: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, a, b, c))
}
