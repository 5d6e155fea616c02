//! The nodes, the store and the upstreams of a soak, and what is done to them.

use std::{
    net::Ipv4Addr,
    sync::{
        Mutex,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use {
    crate::{
        proxy::{Link, Proxy},
        users_platform::{Log, Manner, NodeProcess, Store, Upstream, own_address},
    },
    rand::{Rng, rngs::SmallRng, seq::IndexedRandom},
};

/// Ways in which an upstream misbehaves.
const MANNERS: [Manner; 9] = [
    Manner::LoseAnswer,
    Manner::OtherId,
    Manner::Shed,
    Manner::Bare503,
    Manner::Misdirected,
    Manner::CutShort,
    Manner::Surplus,
    Manner::Silent,
    Manner::ForgetIdle,
];
const LINKS: [Link; 4] = [Link::Slow, Link::LostThere, Link::LostBack, Link::Broken];

/// One node, its way to the store, and its lives.
pub struct Site {
    pub ip: Ipv4Addr,
    pub life: AtomicU32,
    process: Mutex<Option<NodeProcess>>,
    store: Proxy,
}

/// One upstream and the way to it.
struct Listed {
    upstream: Upstream,
    link: Proxy,
    leaves: bool,
}

/// All that a soak disturbs.
pub struct Fleet {
    pub sites: Vec<Site>,
    pub version: AtomicU64,
    store: Store,
    listed: Mutex<Vec<Listed>>,
    sequence: AtomicU64,
}

impl Fleet {
    pub fn start(nodes: usize, upstreams: usize) -> Self {
        let store = Store::start();
        let ips: Vec<Ipv4Addr> = (0..nodes).map(|_| own_address()).collect();
        let site = |ip: &Ipv4Addr| Site {
            ip: *ip,
            life: AtomicU32::new(0),
            process: Mutex::default(),
            store: Proxy::start(store.address),
        };
        let fleet = Self {
            sites: ips.iter().map(site).collect(),
            version: AtomicU64::new(0),
            listed: Mutex::default(),
            sequence: AtomicU64::new(0),
            store,
        };
        (0..upstreams).for_each(|_| fleet.join());
        fleet.configure();
        fleet.sites.iter().for_each(|site| fleet.boot(site));
        fleet.sites.iter().for_each(|site| site.process.lock().unwrap().as_ref().unwrap().until_ready());
        fleet
    }

    fn boot(&self, site: &Site) {
        let seeds: Vec<Ipv4Addr> = self.sites.iter().map(|site| site.ip).collect();
        let node = NodeProcess::start_at(site.ip, site.store.address, &seeds, Log::File);
        site.life.fetch_add(1, Ordering::SeqCst);
        *site.process.lock().unwrap() = Some(node);
    }

    /// Publishes the next version: each adds a route that tells it.
    fn configure(&self) {
        let version = self.version.load(Ordering::SeqCst) + 1;
        let added: Vec<String> = (1..=version).map(|version| format!("/v{version}/")).collect();
        let mut routes = vec![("/safe/", "safe", 2_000, "app"), ("/unsafe/", "unsafe", 2_000, "app")];
        routes.extend(added.iter().map(|path| (path.as_str(), "safe", 2_000, "app")));
        self.store.configure(version, &routes);
        self.version.store(version, Ordering::SeqCst);
    }

    /// A new upstream joins.
    fn join(&self) {
        let mut listed = self.listed.lock().unwrap();
        let upstream = Upstream::start(&format!("i-{}", listed.len()), Manner::Well);
        let link = Proxy::start(upstream.address);
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        self.store.list_at(&upstream, link.address, "ready", sequence);
        listed.push(Listed { upstream, link, leaves: false });
    }

    /// An upstream leaves, and another one joins.
    fn replace(&self, rng: &mut SmallRng) {
        self.join();
        let mut listed = self.listed.lock().unwrap();
        let staying: Vec<usize> = (0..listed.len()).filter(|index| !listed[*index].leaves).collect();
        let Some(index) = staying.choose(rng) else { return };
        let leaving = &mut listed[*index];
        leaving.leaves = true;
        if rng.random_bool(0.5) {
            let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
            self.store.list_at(&leaving.upstream, leaving.link.address, "draining", sequence);
        } else {
            self.store.remove(&format!("servers/{}", leaving.upstream.id));
        }
    }

    /// Does one thing to the fleet, and undoes it after a while.
    pub fn disturb(&self, rng: &mut SmallRng) {
        let site = self.sites.choose(rng).unwrap();
        let time = Duration::from_millis(rng.random_range(200..1_500));
        match rng.random_range(0..9) {
            0 => self.pause(site, time),
            1 => self.restart(site, "KILL", time),
            2 => self.restart(site, "TERM", time),
            3 | 4 => {
                site.store.set(*LINKS.choose(rng).unwrap());
                thread::sleep(time);
                site.store.set(Link::Sound);
            }
            5 | 6 => self.spoil_upstream(rng, time),
            7 => self.replace(rng),
            _ => self.configure(),
        }
    }

    fn pause(&self, site: &Site, time: Duration) {
        let process = site.process.lock().unwrap();
        let Some(node) = process.as_ref() else { return };
        node.signal("STOP");
        thread::sleep(time);
        node.signal("CONT");
    }

    fn restart(&self, site: &Site, signal: &str, time: Duration) {
        let Some(mut node) = site.process.lock().unwrap().take() else { return };
        node.signal(signal);
        node.ended();
        thread::sleep(time / 4);
        drop(node);
        self.boot(site);
    }

    fn spoil_upstream(&self, rng: &mut SmallRng, time: Duration) {
        let (upstream, link) = {
            let listed = self.listed.lock().unwrap();
            let one = listed.choose(rng).unwrap();
            (one.upstream.clone(), one.link.clone())
        };
        if rng.random_bool(0.5) {
            upstream.set(*MANNERS.choose(rng).unwrap());
            thread::sleep(time);
            upstream.set(Manner::Well);
        } else {
            link.set(*LINKS.choose(rng).unwrap());
            thread::sleep(time);
            link.set(Link::Sound);
        }
    }

    /// All upstreams that ever were.
    pub fn upstreams(&self) -> Vec<Upstream> {
        self.listed.lock().unwrap().iter().map(|listed| listed.upstream.clone()).collect()
    }

    /// Those that are leaving or gone.
    pub fn leaving(&self) -> Vec<Upstream> {
        let listed = self.listed.lock().unwrap();
        listed.iter().filter(|listed| listed.leaves).map(|listed| listed.upstream.clone()).collect()
    }

    /// Nodes that ended by themselves.
    pub fn ended(&self) -> Vec<Ipv4Addr> {
        let runs = |site: &&Site| {
            let mut process = site.process.lock().unwrap();
            process.as_mut().is_some_and(|node| !node.is_running())
        };
        self.sites.iter().filter(runs).map(|site| site.ip).collect()
    }
}
