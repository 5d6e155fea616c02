//! The upstreams of a soak run: their entries in the store and when they left.

use {
    crate::{
        crashing_request::CRASHING_PATH,
        evacuations::DATA_CENTRES,
        fault_history::FaultHistory,
        plan::Plan,
        proxy::Proxy,
        users_platform::{Incarnation, Store, Upstream, UpstreamBehaviour},
    },
    pointvane_telemetry::unix_time_ms,
    std::{
        sync::{
            Mutex,
            atomic::{AtomicU64, Ordering},
        },
        time::Instant,
    },
};

/// An upstream, its entry and its link.
#[derive(Clone)]
pub struct ListedUpstream {
    pub upstream: Upstream,
    pub data_centre: &'static str,
    /// Proxy before the upstream; none if it is reached directly.
    pub link: Option<Proxy>,
    /// Faults of the link and of the upstream's process.
    pub faults: FaultHistory,
    /// When the store acknowledged that the upstream leaves.
    pub left_at: Option<Instant>,
    /// Start time of its process, in Unix milliseconds; none in runs whose entries don't contain it.
    pub born_ms: Option<u64>,
    /// When the store acknowledged the entry of the last restart, if any.
    pub restarted_at: Option<Instant>,
}

/// All upstreams of the run. Those that left keep serving, so that requests sent to them are seen.
pub struct Directory {
    store: Store,
    proxied_upstreams: usize,
    data_centres: usize,
    crashes: bool,
    restarts: bool,
    entries: Mutex<Vec<ListedUpstream>>,
    sequence: AtomicU64,
}

impl Directory {
    pub fn new(store: Store, plan: &Plan) -> Self {
        let data_centres = if plan.evacuations { DATA_CENTRES.len() } else { 1 };
        Self {
            store,
            proxied_upstreams: plan.proxied_upstreams,
            data_centres,
            crashes: plan.crashes,
            restarts: plan.restarts,
            entries: Mutex::default(),
            sequence: AtomicU64::new(0),
        }
    }

    /// Starts an upstream and adds its entry.
    pub fn join(&self) {
        let mut entries = self.entries.lock().unwrap();
        let upstream = Upstream::start(&format!("i-{}", entries.len()), UpstreamBehaviour::Normal);
        if self.crashes {
            upstream.crash_on(CRASHING_PATH);
        }
        let links = entries.iter().filter(|entry| entry.link.is_some() && entry.left_at.is_none()).count();
        let link = (links < self.proxied_upstreams).then(|| Proxy::start(upstream.address));
        let data_centre = DATA_CENTRES[entries.len() % self.data_centres];
        let entry = ListedUpstream {
            upstream,
            data_centre,
            link,
            faults: FaultHistory::default(),
            left_at: None,
            born_ms: self.restarts.then(unix_time_ms),
            restarted_at: None,
        };
        self.list(&entry, "ready", self.next_sequence());
        entries.push(entry);
    }

    /// Makes an upstream leave by marking its entry as draining, or by removing the entry. Returns false if
    /// it had left before.
    pub fn leave(&self, index: usize, as_draining: bool) -> bool {
        let mut entries = self.entries.lock().unwrap();
        let entry = &mut entries[index];
        if entry.left_at.is_some() {
            return false;
        }
        if as_draining {
            self.list(entry, "draining", self.next_sequence());
        } else {
            self.store.remove(&format!("servers/{}", entry.upstream.id));
        }
        entry.left_at = Some(Instant::now());
        true
    }

    /// Returns the indices of upstreams that have not left.
    pub fn remaining(&self) -> Vec<usize> {
        let entries = self.entries.lock().unwrap();
        (0..entries.len()).filter(|index| entries[*index].left_at.is_none()).collect()
    }

    pub fn all(&self) -> Vec<ListedUpstream> {
        self.entries.lock().unwrap().clone()
    }

    /// Returns whether upstreams restart under their identities in this run.
    pub fn restarts(&self) -> bool {
        self.restarts
    }

    /// Writes the entry of a restarted upstream, whose update sequence begins at 1 again. Returns false if it
    /// has left.
    pub fn list_restarted(&self, index: usize) -> bool {
        let mut entries = self.entries.lock().unwrap();
        let entry = &mut entries[index];
        if entry.left_at.is_some() {
            return false;
        }
        entry.born_ms = Some(unix_time_ms());
        self.list(entry, "ready", 1);
        entry.restarted_at = Some(Instant::now());
        true
    }

    fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::SeqCst) + 1
    }

    fn list(&self, entry: &ListedUpstream, state: &str, sequence: u64) {
        let address = entry.link.as_ref().map_or(entry.upstream.address, |link| link.address);
        let incarnation = Incarnation { sequence, born_ms: entry.born_ms };
        self.store.list_incarnation(&entry.upstream, address, entry.data_centre, state, &incarnation);
    }
}
