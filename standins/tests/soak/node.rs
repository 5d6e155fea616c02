//! A node of the fleet: its processes, its link to the store and the faults injected into it.

use {
    crate::{
        fault_history::{ActiveFault, FaultHistory},
        peer_proxy::{PeerLink, PeerProxy},
        proxy::{Link, Proxy},
        users_platform::{Log, NodeProcess, unique_address},
    },
    std::{
        env, fs,
        net::{Ipv4Addr, SocketAddr},
        path::{Path, PathBuf},
        process,
        sync::{
            Mutex,
            atomic::{AtomicBool, AtomicU32, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Time from SIGTERM until the platform sends SIGKILL: `grace-s` of the nodes' settings.
const GRACE: Duration = Duration::from_secs(3);
/// Time allowed for a killed process to disappear. Wall clock: a busy machine may take long to tear one down.
const EXIT_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A node whose process may be restarted.
pub struct Node {
    /// Address that the node advertises.
    pub ip: Ipv4Addr,
    /// Number of processes started so far.
    pub incarnation: AtomicU32,
    pub faults: FaultHistory,
    /// Planned stops that exceeded [`GRACE`].
    pub overdue: AtomicU32,
    process: Mutex<Option<NodeProcess>>,
    is_restarting: AtomicBool,
    store: Proxy,
    /// Link state while no fault is injected.
    store_link: Link,
    peer_gate: Option<PeerGate>,
    /// Folder of the logs of earlier processes: a violation may originate in one.
    past_logs: PathBuf,
}

impl Drop for Node {
    fn drop(&mut self) {
        // The folder doesn't exist if the node was never restarted.
        _ = fs::remove_dir_all(&self.past_logs);
    }
}

/// The proxy that receives other nodes' messages, and the address where the node listens behind it.
struct PeerGate {
    proxy: PeerProxy,
    bind_ip: Ipv4Addr,
}

impl PeerGate {
    fn start(advertised: Ipv4Addr) -> Self {
        let bind_ip = unique_address();
        Self { proxy: PeerProxy::start(advertised, bind_ip), bind_ip }
    }
}

impl Node {
    pub fn new(store: SocketAddr, store_link: Link, has_peer_proxy: bool) -> Self {
        let ip = unique_address();
        let store = Proxy::start(store);
        store.set(store_link);
        Self {
            ip,
            incarnation: AtomicU32::new(0),
            faults: FaultHistory::default(),
            overdue: AtomicU32::new(0),
            process: Mutex::default(),
            is_restarting: AtomicBool::new(false),
            store,
            store_link,
            peer_gate: has_peer_proxy.then(|| PeerGate::start(ip)),
            past_logs: env::temp_dir().join(format!("pointvane-lives-{}-{ip}", process::id())),
        }
    }

    pub fn boot(&self, seeds: &[Ipv4Addr]) {
        let _fault = self.faults.begin_fault();
        // Counted before the start, so that no answer of the new process is attributed to the old one.
        self.incarnation.fetch_add(1, Ordering::SeqCst);
        let store = self.store.address;
        let node = match &self.peer_gate {
            Some(gate) => NodeProcess::start_bound(self.ip, gate.bind_ip, store, seeds, Log::File),
            None => NodeProcess::start_at(self.ip, store, seeds, Log::File),
        };
        *self.process.lock().unwrap() = Some(node);
    }

    pub fn wait_until_ready(&self) {
        self.process.lock().unwrap().as_ref().unwrap().wait_until_ready();
    }

    /// Pauses the process; other signals may be sent meanwhile.
    pub fn pause(&self, time: Duration) {
        let _fault = self.faults.begin_fault();
        self.signal("STOP");
        thread::sleep(time);
        // Sent to whichever process runs now: it may have been replaced during the pause, and SIGSTOP may
        // have reached the new one.
        self.signal("CONT");
    }

    /// Stops the process and starts a new one; returns false if a restart is in progress.
    pub fn restart(&self, signal: &str, downtime: Duration, seeds: &[Ipv4Addr]) -> bool {
        if self.is_restarting.swap(true, Ordering::SeqCst) {
            return false;
        }
        let _fault = self.faults.begin_fault();
        self.signal(signal);
        if !self.exits_within(GRACE) {
            self.overdue.fetch_add(1, Ordering::SeqCst);
            self.signal("KILL");
            assert!(self.exits_within(EXIT_TIMEOUT), "{} did not exit after SIGKILL", self.ip);
        }
        self.keep_log(&self.past_logs);
        *self.process.lock().unwrap() = None;
        thread::sleep(downtime);
        self.boot(seeds);
        self.is_restarting.store(false, Ordering::SeqCst);
        true
    }

    /// Impairs the link to the store until the returned guard is handed to [`Node::restore_store_link`].
    pub fn impair_store_link(&self, link: Link) -> ActiveFault {
        let fault = self.faults.begin_fault();
        self.store.set(link);
        fault
    }

    pub fn restore_store_link(&self, fault: ActiveFault) {
        self.store.set(self.store_link);
        drop(fault);
    }

    /// Silences the open connections to the store permanently; new ones work. The fault ends at once, like a
    /// connection reset.
    pub fn silence_store(&self) {
        let _fault = self.faults.begin_fault();
        self.store.silence_open_connections();
    }

    /// Impairs messages from other nodes for a time; returns false if the node has no peer proxy.
    pub fn impair_peer_link(&self, link: PeerLink, time: Duration) -> bool {
        let Some(gate) = &self.peer_gate else { return false };
        let _fault = self.faults.begin_fault();
        gate.proxy.set(link);
        thread::sleep(time);
        gate.proxy.set(PeerLink::Healthy);
        true
    }

    /// Returns whether no process is running.
    pub fn has_exited(&self) -> bool {
        !self.process.lock().unwrap().as_mut().is_some_and(NodeProcess::is_running)
    }

    pub fn process_id(&self) -> Option<u32> {
        self.process.lock().unwrap().as_ref().map(NodeProcess::id)
    }

    /// Returns the log lines of the current process that contain a text.
    pub fn lines_with(&self, text: &str) -> Vec<String> {
        let lines = self.process.lock().unwrap().as_ref().map(NodeProcess::log_lines).unwrap_or_default();
        lines.lines().filter(|line| line.contains(text)).map(Into::into).collect()
    }

    /// Copies the logs of all processes to a folder.
    pub fn keep_logs(&self, folder: &Path) {
        let past = fs::read_dir(&self.past_logs).into_iter().flatten().flatten();
        past.for_each(|log| _ = fs::copy(log.path(), folder.join(log.file_name())));
        self.keep_log(folder);
    }

    /// Copies the log of the current process to a folder.
    fn keep_log(&self, folder: &Path) {
        if let Some(node) = self.process.lock().unwrap().as_ref() {
            _ = fs::create_dir_all(folder);
            let incarnation = self.incarnation.load(Ordering::SeqCst);
            _ = fs::copy(&node.output, folder.join(format!("{}-{incarnation}.log", self.ip)));
        }
    }

    fn signal(&self, name: &str) {
        let mut process = self.process.lock().unwrap();
        // An exited process stays a zombie until it is reaped under this lock, so the signal can't reach a
        // reused process ID.
        if let Some(node) = process.as_mut()
            && node.is_running()
        {
            node.signal(name);
        }
    }

    fn exits_within(&self, time: Duration) -> bool {
        let until = Instant::now() + time;
        while Instant::now() < until {
            if self.has_exited() {
                return true;
            }
            thread::sleep(POLL_INTERVAL);
        }
        false
    }
}
