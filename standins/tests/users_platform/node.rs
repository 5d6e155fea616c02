//! A node running as a process.

use {
    super::{
        eventually,
        message::{Message, call, request_head},
        store::Store,
        unique_address,
    },
    std::{
        fs, io,
        net::{Ipv4Addr, SocketAddr, TcpStream},
        path::PathBuf,
        process::{Child, Command, Stdio},
    },
};

const TRAFFIC_PORT: u16 = 8_144;
const READY_PORT: u16 = 8_140;
const DIRECTORY_PORT: u16 = 8_143;
/// Time from the request to stop to the kill unless an option sets it, in seconds.
const STOP_GRACE_S: u32 = 3;

/// Path of the program as last built by `cargo test --workspace` or `cargo build --workspace`.
fn program_path() -> PathBuf {
    let tests = std::env::current_exe().unwrap();
    tests.parent().unwrap().parent().unwrap().join("pointvane-platform-node")
}

/// Destination of the log lines of a node.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Log {
    /// Log lines go to a file.
    File,
    /// All log lines go to a pipe that nobody reads.
    NeverRead,
}

/// Options that differ from the defaults.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// The address at which the node listens for other nodes, if it is not the advertised one.
    pub bound: Option<Ipv4Addr>,
    /// Whether every request is logged.
    pub all_lines: bool,
    /// Maximum number of concurrent requests of one connection.
    pub pipeline_requests: Option<usize>,
    /// Maximum time that requests wait for the node to start, in milliseconds.
    pub start_wait_ms: Option<u64>,
    /// Memory that the process may use, in MB.
    pub memory_mb: Option<u32>,
    /// Time from the request to stop to the kill, in seconds.
    pub stop_grace_s: Option<u32>,
}

/// A node running as a process, which is killed on drop.
pub struct NodeProcess {
    /// The advertised address.
    pub ip: Ipv4Addr,
    child: Child,
    settings: PathBuf,
    /// The file with the log lines.
    pub output: PathBuf,
}

/// Options that have every request logged.
const ALL_LINES: &str = "[lines]\nwell_every = 1\nwrong_per_s = 100000\nbeliefs_per_s = 100000\n";

fn settings_text(ip: Ipv4Addr, store: SocketAddr, seeds: &[Ipv4Addr], options: &Options) -> String {
    let limits =
        options.memory_mb.map_or_else(String::new, |mb| format!("[self.limits]\nmemory-mb = {mb}\n"));
    let stop_grace_s = options.stop_grace_s.unwrap_or(STOP_GRACE_S);
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}:8146\"")).collect();
    format!(
        r#"[self]
node-name = "node-{ip}"
ip = "{ip}"
zone = "one"
{limits}[network]
internal-ports = [7660, 7675]
seeds = [{}]
[network.listen]
front = "{ip}:{TRAFFIC_PORT}"
ready = "{ip}:{READY_PORT}"
directory = "{ip}:{DIRECTORY_PORT}"
[platform.platform]
address = "{store}"
[terms.bounds]
grace-s = {stop_grace_s}
budget-ratio = 0.2
budget-slack = 200
probes-per-s = 1000
ttl_max_s = 5
"#,
        seeds.join(",")
    )
}

/// The options file. Upstreams see the advertised address, so that their proxies can tell nodes apart.
fn options_text(ip: Ipv4Addr, options: &Options) -> String {
    let mut text = String::new();
    if options.all_lines {
        text += ALL_LINES;
    }
    text += &format!("[fleet]\nsource_ip = \"{ip}\"\n");
    if let Some(bound) = options.bound {
        text += &format!("bind_ip = \"{bound}\"\n");
    }
    let requests = options.pipeline_requests.map(|requests| format!("pipeline_requests = {requests}\n"));
    let start_wait = options.start_wait_ms.map(|wait_ms| format!("start_wait_ms = {wait_ms}\n"));
    if requests.is_some() || start_wait.is_some() {
        text += &format!("[callers]\n{}{}", requests.unwrap_or_default(), start_wait.unwrap_or_default());
    }
    text
}

impl NodeProcess {
    /// Starts a node without seeds.
    pub fn start(store: &Store) -> Self {
        Self::start_in(store, &[])
    }

    /// Starts a node that joins a fleet through its seeds.
    pub fn start_in(store: &Store, seeds: &[Ipv4Addr]) -> Self {
        Self::start_with(store, seeds, Log::File)
    }

    /// Starts a node with seeds and a log destination.
    pub fn start_with(store: &Store, seeds: &[Ipv4Addr], log: Log) -> Self {
        Self::start_at(unique_address(), store.address, seeds, log)
    }

    /// Starts a node at an address, which an earlier node may have used.
    pub fn start_at(ip: Ipv4Addr, store: SocketAddr, seeds: &[Ipv4Addr], log: Log) -> Self {
        Self::launch(ip, Options::default(), store, seeds, log)
    }

    /// Starts a node with the given options.
    pub fn start_with_options(store: &Store, options: Options) -> Self {
        Self::launch(unique_address(), options, store.address, &[], Log::File)
    }

    /// Starts a node that advertises one address to the other nodes and listens for them at another.
    pub fn start_bound(
        advertised: Ipv4Addr,
        bound: Ipv4Addr,
        store: SocketAddr,
        seeds: &[Ipv4Addr],
        log: Log,
    ) -> Self {
        let options = Options { bound: Some(bound), ..Options::default() };
        Self::launch(advertised, options, store, seeds, log)
    }

    fn launch(ip: Ipv4Addr, options: Options, store: SocketAddr, seeds: &[Ipv4Addr], log: Log) -> Self {
        let directory_path = std::env::temp_dir().join(format!("pointvane-{ip}"));
        fs::create_dir_all(&directory_path).unwrap();
        let settings = directory_path.join("boot.toml");
        fs::write(&settings, settings_text(ip, store, seeds, &options)).unwrap();
        let output = directory_path.join("stdout");
        let mut command = Command::new(program_path());
        command.env("POINTVANE_BOOT", &settings).stderr(Stdio::inherit());
        let all_lines = options.all_lines || log == Log::NeverRead;
        let options = options_text(ip, &Options { all_lines, ..options });
        if !options.is_empty() {
            let file = directory_path.join("options.toml");
            fs::write(&file, options).unwrap();
            command.arg("--options").arg(file);
        }
        match log {
            Log::File => command.stdout(fs::File::create(&output).unwrap()),
            Log::NeverRead => command.stdout(Stdio::piped()),
        };
        let node = Self { ip, child: command.spawn().unwrap(), settings, output };
        eventually(|| TcpStream::connect((ip, READY_PORT)).is_ok());
        node
    }

    /// Waits until the node reports that it is ready.
    pub fn wait_until_ready(&self) {
        eventually(|| self.ready() == 200);
    }

    /// Status code of the readiness check; 0 if the node does not respond.
    pub fn ready(&self) -> u16 {
        let head = "GET /ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        call((self.ip, READY_PORT).into(), head).map_or(0, |message| message.status())
    }

    /// Response of the node directory; empty if the node does not respond.
    pub fn directory(&self) -> String {
        let head = "GET /resolve?name=a&region=r&zone=one HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        call((self.ip, DIRECTORY_PORT).into(), head)
            .map_or_else(|_| String::new(), |m| String::from_utf8(m.body).unwrap())
    }

    /// Address at which the node accepts requests of callers.
    pub fn traffic_address(&self) -> SocketAddr {
        (self.ip, TRAFFIC_PORT).into()
    }

    /// Sends a request on a new connection.
    pub fn request(&self, method: &str, path: &str, id: &str, deadline_ms: u64) -> io::Result<Message> {
        call(self.traffic_address(), &request_head(method, path, id, deadline_ms))
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal given by its name without `SIG`.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status();
        assert!(status.unwrap().success());
    }

    /// Sends a signal given by its name without `SIG`, if the process still exists.
    pub fn signal_if_running(&self, name: &str) {
        // The exit code says whether the process exists, which is not expected.
        _ = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.child.id().to_string())
            .stderr(Stdio::null())
            .status();
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits for the process to end and returns its exit code.
    pub fn wait_for_exit(&mut self) -> Option<i32> {
        let mut code = None;
        eventually(|| match self.child.try_wait() {
            Ok(Some(status)) => {
                code = status.code();
                true
            }
            _ => false,
        });
        code
    }

    /// The log lines written so far.
    pub fn log_lines(&self) -> String {
        fs::read_to_string(&self.output).unwrap_or_default()
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
        _ = fs::remove_dir_all(self.settings.parent().unwrap());
    }
}
