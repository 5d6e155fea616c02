//! One node, its way to the store, its lives, and what is done to it.

use {
    crate::{
        contact::{Contact, Disturbance},
        peer_proxy::{PeerLink, PeerProxy},
        proxy::{Link, Proxy},
        users_platform::{Log, NodeProcess, own_address},
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

/// Time after SIGTERM at which the platform sends SIGKILL: `grace-s` of the nodes' settings.
const GRACE: Duration = Duration::from_secs(3);
/// Longest time for which a killed process may be seen. Wall clock: a busy machine may take long to tear one down.
const END_PATIENCE: Duration = Duration::from_secs(20);
const LOOK: Duration = Duration::from_millis(10);

/// One node.
pub struct Site {
    /// The address that the node advertises.
    pub ip: Ipv4Addr,
    /// Counts the processes that ran here.
    pub life: AtomicU32,
    pub contact: Contact,
    /// Planned stops that were not over at the end of the grace.
    pub overdue: AtomicU32,
    process: Mutex<Option<NodeProcess>>,
    restarts: AtomicBool,
    store: Proxy,
    /// The link to the store while nothing harms it.
    store_link: Link,
    peers: Option<PeerGate>,
    /// Folder of the lines of lives that are over: what broke a promise may have begun in one.
    past_lives: PathBuf,
}

impl Drop for Site {
    fn drop(&mut self) {
        // There is none if the node was never restarted.
        _ = fs::remove_dir_all(&self.past_lives);
    }
}

/// The proxy that other nodes' messages pass, and where the node listens behind it.
struct PeerGate {
    proxy: PeerProxy,
    bound: Ipv4Addr,
}

impl PeerGate {
    fn before(advertised: Ipv4Addr) -> Self {
        let bound = own_address();
        Self { proxy: PeerProxy::start(advertised, bound), bound }
    }
}

impl Site {
    pub fn new(store: SocketAddr, store_link: Link, peer_proxied: bool) -> Self {
        let ip = own_address();
        let store = Proxy::start(store);
        store.set(store_link);
        Self {
            ip,
            life: AtomicU32::new(0),
            contact: Contact::default(),
            overdue: AtomicU32::new(0),
            process: Mutex::default(),
            restarts: AtomicBool::new(false),
            store,
            store_link,
            peers: peer_proxied.then(|| PeerGate::before(ip)),
            past_lives: env::temp_dir().join(format!("pointvane-lives-{}-{ip}", process::id())),
        }
    }

    pub fn boot(&self, seeds: &[Ipv4Addr]) {
        let _starts = self.contact.disturb();
        // Before the start: no answer of the new process may count for the old one.
        self.life.fetch_add(1, Ordering::SeqCst);
        let store = self.store.address;
        let node = match &self.peers {
            Some(gate) => NodeProcess::start_bound(self.ip, gate.bound, store, seeds, Log::File),
            None => NodeProcess::start_at(self.ip, store, seeds, Log::File),
        };
        *self.process.lock().unwrap() = Some(node);
    }

    pub fn until_ready(&self) {
        self.process.lock().unwrap().as_ref().unwrap().until_ready();
    }

    /// Stops the process for a time; other signals may come meanwhile.
    pub fn pause(&self, time: Duration) {
        let _paused = self.contact.disturb();
        self.signal("STOP");
        thread::sleep(time);
        // Whichever process runs by now: the first signal may have met a later life than the one before it.
        self.signal("CONT");
    }

    /// Ends the process and starts it anew; false when it is being restarted already.
    pub fn restart(&self, signal: &str, rest: Duration, seeds: &[Ipv4Addr]) -> bool {
        if self.restarts.swap(true, Ordering::SeqCst) {
            return false;
        }
        let _restarted = self.contact.disturb();
        self.signal(signal);
        if !self.ends_within(GRACE) {
            self.overdue.fetch_add(1, Ordering::SeqCst);
            self.signal("KILL");
            assert!(self.ends_within(END_PATIENCE), "{} never ended", self.ip);
        }
        self.keep_log(&self.past_lives);
        *self.process.lock().unwrap() = None;
        thread::sleep(rest);
        self.boot(seeds);
        self.restarts.store(false, Ordering::SeqCst);
        true
    }

    /// Harms the link to the store until the guard is dropped by `mend`.
    pub fn cut(&self, link: Link) -> Disturbance {
        let disturbed = self.contact.disturb();
        self.store.set(link);
        disturbed
    }

    pub fn mend(&self, disturbed: Disturbance) {
        self.store.set(self.store_link);
        drop(disturbed);
    }

    /// Its connection to the store goes silent for good; a new one works. Counts as a reset of its connections.
    pub fn silence_store(&self) {
        let _disturbed = self.contact.disturb();
        self.store.silence_open();
    }

    /// Harms what other nodes send to this one for a time; false if nothing stands between them.
    pub fn cut_peers(&self, link: PeerLink, time: Duration) -> bool {
        let Some(gate) = &self.peers else { return false };
        let _disturbed = self.contact.disturb();
        gate.proxy.set(link);
        thread::sleep(time);
        gate.proxy.set(PeerLink::Sound);
        true
    }

    /// Whether the process ended though nobody ended it.
    pub fn ended(&self) -> bool {
        !self.process.lock().unwrap().as_mut().is_some_and(NodeProcess::is_running)
    }

    pub fn process_id(&self) -> Option<u32> {
        self.process.lock().unwrap().as_ref().map(NodeProcess::id)
    }

    /// Lines of the present life that hold a text.
    pub fn lines_with(&self, text: &str) -> Vec<String> {
        let lines = self.process.lock().unwrap().as_ref().map(NodeProcess::lines).unwrap_or_default();
        lines.lines().filter(|line| line.contains(text)).map(Into::into).collect()
    }

    /// Copies the lines of all lives into a folder.
    pub fn keep_logs(&self, folder: &Path) {
        let past = fs::read_dir(&self.past_lives).into_iter().flatten().flatten();
        past.for_each(|log| _ = fs::copy(log.path(), folder.join(log.file_name())));
        self.keep_log(folder);
    }

    /// Copies the lines of the present life into a folder.
    fn keep_log(&self, folder: &Path) {
        if let Some(node) = self.process.lock().unwrap().as_ref() {
            _ = fs::create_dir_all(folder);
            let life = self.life.load(Ordering::SeqCst);
            _ = fs::copy(&node.output, folder.join(format!("{}-{life}.log", self.ip)));
        }
    }

    fn signal(&self, name: &str) {
        let mut process = self.process.lock().unwrap();
        // A process that has ended by now stays a zombie until it is looked at again under this lock.
        if let Some(node) = process.as_mut()
            && node.is_running()
        {
            node.signal(name);
        }
    }

    fn ends_within(&self, time: Duration) -> bool {
        let until = Instant::now() + time;
        while Instant::now() < until {
            if self.ended() {
                return true;
            }
            thread::sleep(LOOK);
        }
        false
    }
}
