//! Starts nodes with the command of the deploy file, and ends them.

use std::{
    fs,
    net::{SocketAddr, TcpListener},
    os::unix::process::CommandExt,
    path::PathBuf,
    process::{Child, Command, Stdio, exit},
    sync::{Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

const SIGKILL: i32 = 9;
const SIGTERM: i32 = 15;
const PR_SET_PDEATHSIG: i32 = 1;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: usize) -> i32;
}

/// Nodes that were started and not yet waited for, by process id.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// Longest time of a run.
const TIME_MAX: Duration = Duration::from_secs(110);

/// Ends with the status that says that the case could not run, and ends the nodes before.
pub fn cannot_run(why: &str) -> ! {
    println!("could not run: {why}");
    for pid in STARTED.lock().unwrap_or_else(PoisonError::into_inner).iter() {
        _ = unsafe { kill(*pid as i32, SIGKILL) };
    }
    exit(2)
}

/// Ends the run if it takes too long.
pub fn watch_time() {
    thread::spawn(|| {
        thread::sleep(TIME_MAX);
        cannot_run("it took too long");
    });
}

/// Whether the case's disruption is left out.
pub fn without_trouble() -> bool {
    std::env::var("TROUBLE").is_ok_and(|value| value == "0")
}

/// Loopback addresses of one run: 127.A.B.x.
#[derive(Clone, Copy)]
pub struct Net {
    a: u8,
    b: u8,
}

impl Net {
    /// Takes a range in which no address is in use at the ports of a node.
    pub fn reserve() -> Self {
        let pid = std::process::id();
        for attempt in 0..200 {
            let number = pid.wrapping_mul(7).wrapping_add(attempt);
            let net = Self { a: 60 + (number / 250 % 100) as u8, b: (1 + number % 250) as u8 };
            if (1..=30).all(|host| TcpListener::bind(net.at(host, 8_144)).is_ok()) {
                return net;
            }
        }
        cannot_run("no free loopback range")
    }

    pub fn at(self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::from(([127, self.a, self.b, host], port))
    }
}

/// A node process.
pub struct Node {
    pub child: Child,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    pub folder: PathBuf,
}

/// What differs between deployments.
#[derive(Clone)]
pub struct Plan {
    pub net: Net,
    pub store: SocketAddr,
    /// Hosts of the nodes; the first three are the seeds.
    pub hosts: Vec<u8>,
    pub grace_s: u32,
    pub bootstrap: bool,
}

impl Plan {
    pub fn start(&self, host: u8) -> Node {
        let net = self.net;
        let folder = std::env::temp_dir().join(format!("review-2-{}-{host}", std::process::id()));
        _ = fs::create_dir_all(&folder);
        let boot = folder.join("boot.toml");
        let seeds: Vec<String> =
            self.hosts.iter().take(3).map(|seed| format!("\"{}\"", net.at(*seed, 8_146))).collect();
        let ip = net.at(host, 0).ip();
        let settings = format!(
            r#"[self]
node-name = "front-z1-{host}"
role = "node"
machine-class = "front"
serves = ["front","control","directory"]
ip = "{ip}"
zone = "z1"
region = "r1"
fault-counted = false
bootstrap = {bootstrap}
[self.limits]
cpu-share = 0.2
cpu-cores = 1
memory-mb = 260
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[network]
internal-ports = [7660,7675]
seeds = [{seeds}]
[network.listen]
front = "{front}"
ready = "{ready}"
control = "{control}"
directory = "{directory}"
[network.zones]
z1 = "r1"
[platform]
discovery = "platform"
entry = "directory"
heartbeat-ms = 1500
[platform.platform]
address = "{store}"
form = "read"
writes_per_s = 400
reads_per_s = 2000
history-s = 20
value_bytes = 1048576
ttl_min_ms = 1000
[terms]
contracts = ["base","drain","config","cost","retry","recover","health","platform"]
[terms.fault-tolerance]
machines = 2
zones = 0
regions = 0
[terms.bounds]
seed-lag-s = 3
addr-reuse-s = 2
contact-ms = 3000
ack-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-s = {grace}
loss-slack-ms = 200
config-apply-ms = 2000
rollback-slack-ms = 250
max-stretch-ms = 5000
budget-ratio = 0.2
budget-window-s = 10
budget-slack = 64
recovery-s = 15
ttl_max_s = 5
probes-per-s = 60
"#,
            bootstrap = self.bootstrap,
            seeds = seeds.join(","),
            front = net.at(host, 8_144),
            ready = net.at(host, 8_140),
            control = net.at(host, 8_146),
            directory = net.at(host, 8_143),
            store = self.store,
            grace = self.grace_s,
        );
        if let Err(error) = fs::write(&boot, settings) {
            cannot_run(&format!("settings: {error}"));
        }
        let log = fs::File::create(folder.join("log")).unwrap_or_else(|error| cannot_run(&error.to_string()));
        let errors = log.try_clone().unwrap_or_else(|error| cannot_run(&error.to_string()));
        let mut command = Command::new("target/release/pointvane-platform-node");
        // The node ends when the script is killed.
        unsafe {
            command.pre_exec(|| {
                _ = prctl(PR_SET_PDEATHSIG, SIGKILL as usize);
                Ok(())
            })
        };
        let child = command
            .args(["--options", "deploy/node.toml"])
            .env("POINTVANE_BOOT", &boot)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .unwrap_or_else(|error| cannot_run(&format!("the node: {error}")));
        STARTED.lock().unwrap_or_else(PoisonError::into_inner).push(child.id());
        Node { child, front: net.at(host, 8_144), ready: net.at(host, 8_140), directory: net.at(host, 8_143), folder }
    }
}

impl Node {
    pub fn wait_ready(&self) {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if get(self.ready, "/ready").is_some_and(|(status, _)| status == 200) {
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
        cannot_run("a node did not become ready")
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        if unsafe { kill(self.child.id() as i32, SIGTERM) } != 0 {
            cannot_run("the node could not be sent SIGTERM");
        }
    }

    /// Waits for its end; the time, or none if it still runs.
    pub fn wait_end(&mut self, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        while Instant::now() < until {
            if matches!(self.child.try_wait(), Ok(Some(_))) {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
        let pid = self.child.id();
        STARTED.lock().unwrap_or_else(PoisonError::into_inner).retain(|started| *started != pid);
        if std::env::var_os("KEEP").is_none() {
            _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// A plain GET; none without a whole answer.
pub fn get(address: SocketAddr, path: &str) -> Option<(u16, String)> {
    let mut client = crate::client::Client::connect(address).ok()?;
    client.send("GET", path, "none", 1_000, &[]).ok()?;
    let (head, body) = client.answer(Duration::from_secs(1)).ok()??;
    Some((head.status(), String::from_utf8_lossy(&body).into_owned()))
}
