//! The project's node, started on some machines of a small deployment with the command of the deploy file.

use {
    crate::{http::Connection, record::Record},
    std::{
        fs::{self, File},
        io,
        net::{IpAddr, SocketAddr, TcpListener, TcpStream},
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

const FRONT: u16 = 8548;
const READY: u16 = 8542;
const CONTROL: u16 = 8544;
const DIRECTORY: u16 = 8546;
const INTERNAL: u16 = 7540;
const OPERATOR: u16 = 9464;
const ZONES: [&str; 3] = ["norte-a", "norte-b", "norte-c"];

/// The loopback addresses of one run: `127.x.y.1` and up, on which all ports of a node are free.
pub fn free_net() -> String {
    let nanos = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| u64::from(time.subsec_nanos()));
    let mut draw = (nanos / 1_000) ^ (u64::from(std::process::id()) * 7_919);
    loop {
        let net = format!("127.{}.{}", 16 + draw % 200, 1 + draw / 200 % 250);
        let ports = [FRONT, READY, CONTROL, DIRECTORY, INTERNAL, OPERATOR];
        let is_free =
            |last: u8| ports.iter().all(|port| TcpListener::bind((format!("{net}.{last}"), *port)).is_ok());
        if (1..=9).all(is_free) {
            return net;
        }
        draw = draw.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1) >> 8;
    }
}

/// All nodes that this process has started, in order.
static NODES: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// The nodes of a run; ended when dropped.
pub struct Fleet {
    net: String,
    folder: PathBuf,
}

/// Ends all nodes that this process has started, and no other process.
pub fn end_all() {
    for node in NODES.lock().unwrap().iter_mut() {
        // One that has ended cannot be killed again.
        let _ = node.kill();
        let _ = node.wait();
    }
}

impl Fleet {
    /// Starts `count` nodes of a repository, and waits until they say that they are ready.
    pub fn start(
        repository: &Path,
        net: &str,
        count: usize,
        store: SocketAddr,
        record: &Arc<Record>,
    ) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("review-{}-{net}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let fleet = Self { net: net.into(), folder };
        for at in 0..count {
            fleet.start_node(repository, at, count, store)?;
        }
        let began = Instant::now();
        for at in 0..count {
            while !fleet.is_ready(at) {
                if began.elapsed() > Duration::from_secs(20) {
                    return Err(io::Error::other(format!("node {at} is not ready after 20 s")));
                }
                thread::sleep(Duration::from_millis(50));
            }
            record.line(&format!("node {at} is ready, process {}", fleet.id(at)));
        }
        Ok(fleet)
    }

    fn start_node(&self, repository: &Path, at: usize, count: usize, store: SocketAddr) -> io::Result<()> {
        let boot = self.folder.join(format!("boot-{at}.toml"));
        fs::write(&boot, self.settings(at, count, store))?;
        let log = File::create(self.folder.join(format!("node-{at}.log")))?;
        let node = Command::new(repository.join("target/release/pointvane-platform-node"))
            .args(["--options", "deploy/node.toml"])
            .current_dir(repository)
            .env_clear()
            .env("POINTVANE_BOOT", &boot)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        NODES.lock().unwrap().push(node);
        Ok(())
    }

    fn ip(&self, at: usize) -> String {
        format!("{}.{}", self.net, at + 1)
    }

    /// Where a node takes clients.
    pub fn front(&self, at: usize) -> SocketAddr {
        SocketAddr::new(self.ip(at).parse::<IpAddr>().unwrap(), FRONT)
    }

    fn is_ready(&self, at: usize) -> bool {
        let address = SocketAddr::new(self.ip(at).parse::<IpAddr>().unwrap(), READY);
        let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(500)) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let mut connection = Connection::new(stream);
        let question = format!("GET /ready HTTP/1.1\r\nHost: {address}\r\n\r\n");
        connection.send(question.as_bytes()).is_ok()
            && connection.head().ok().flatten().is_some_and(|head| head.status() == 200)
    }

    fn id(&self, at: usize) -> u32 {
        NODES.lock().unwrap()[at].id()
    }

    /// Sends a signal, such as `STOP`, to a node of this run.
    pub fn signal(&self, at: usize, name: &str) -> io::Result<()> {
        let kill = format!("kill -{name} {}", self.id(at));
        Command::new("sh").args(["-c", &kill]).status().map(|_| ())
    }

    fn settings(&self, at: usize, count: usize, store: SocketAddr) -> String {
        let ip = self.ip(at);
        let zone = ZONES[at % ZONES.len()];
        let seeds: Vec<String> =
            (0..count.min(3)).map(|seed| format!("\"{}:{CONTROL}\"", self.ip(seed))).collect();
        format!(
            "[self]\nnode-name = \"front-{zone}-{at}\"\nrole = \"node\"\nmachine-class = \"front\"\n\
             serves = [\"front\",\"control\",\"directory\"]\nip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"norte\"\n\
             fault-counted = false\nbootstrap = true\n[self.limits]\ncpu-share = 0.2\ncpu-cores = 1\n\
             memory-mb = 260\nmax-fds = 4100\nlink-mbps = 1000.0\ndisk-mb = 0\n\
             [network]\ninternal-ports = [{INTERNAL},{}]\nseeds = [{}]\n\
             [network.listen]\nfront = \"{ip}:{FRONT}\"\nready = \"{ip}:{READY}\"\ncontrol = \"{ip}:{CONTROL}\"\n\
             directory = \"{ip}:{DIRECTORY}\"\n\
             [network.zones]\nnorte-a = \"norte\"\nnorte-b = \"norte\"\nnorte-c = \"norte\"\n\
             [platform]\ndiscovery = \"platform\"\nentry = \"directory\"\nheartbeat-ms = 1500\n\
             [platform.platform]\naddress = \"{store}\"\nform = \"read\"\nwrites-per-s = 400\nreads-per-s = 2000\n\
             history-s = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n\
             [terms]\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"health\",\"platform\"]\n\
             [terms.fault-tolerance]\nmachines = 2\nzones = 0\nregions = 0\n\
             [terms.bounds]\nseed-lag-s = 3\naddr-reuse-s = 2\ncontact-ms = 3000\nack-ms = 4000\ncatch-up-s = 4\n\
             drain-ms = 2000\ngrace-s = 6\nloss-slack-ms = 200\nconfig-apply-ms = 2000\nrollback-slack-ms = 250\n\
             max-stretch-ms = 5000\nbudget-ratio = 0.2\nbudget-window-s = 10\nbudget-slack = 62\nrecovery-s = 15\n\
             ttl_max_s = 5\nprobes-per-s = 60\n",
            INTERNAL + 15,
            seeds.join(",")
        )
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        end_all();
        let _ = fs::remove_dir_all(&self.folder);
    }
}
