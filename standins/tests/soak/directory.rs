//! The upstreams of a soak: which are listed, and when those that leave were told to.

use {
    crate::{
        contact::Contact,
        crashing::CRASHING_PATH,
        evacuations::DATA_CENTRES,
        plan::Plan,
        proxy::Proxy,
        users_platform::{Life, Manner, Store, Upstream},
    },
    pointvane_telemetry::wall_ms,
    std::{
        sync::{
            Mutex,
            atomic::{AtomicU64, Ordering},
        },
        time::Instant,
    },
};

/// One upstream and the way to it.
#[derive(Clone)]
pub struct Listed {
    pub upstream: Upstream,
    pub data_centre: &'static str,
    /// None when it is reached directly.
    pub link: Option<Proxy>,
    /// Harm to the link.
    pub contact: Contact,
    /// When the store had taken that it leaves.
    pub left: Option<Instant>,
    /// Start of its life, in Unix milliseconds; none where entries do not tell it.
    pub born_ms: Option<u64>,
    /// When the store had taken the entry of its last life, if it started again.
    pub restarted: Option<Instant>,
}

/// All upstreams that ever were. Those that left serve on, so that work sent to them shows.
pub struct Directory {
    store: Store,
    proxied: usize,
    data_centres: usize,
    crashes: bool,
    restarts: bool,
    listed: Mutex<Vec<Listed>>,
    sequence: AtomicU64,
}

impl Directory {
    pub fn new(store: Store, plan: &Plan) -> Self {
        let data_centres = if plan.evacuates { DATA_CENTRES.len() } else { 1 };
        Self {
            store,
            proxied: plan.proxied,
            data_centres,
            crashes: plan.crashes,
            restarts: plan.restarts,
            listed: Mutex::default(),
            sequence: AtomicU64::new(0),
        }
    }

    /// A new upstream joins.
    pub fn join(&self) {
        let mut listed = self.listed.lock().unwrap();
        let upstream = Upstream::start(&format!("i-{}", listed.len()), Manner::Well);
        if self.crashes {
            upstream.crash_on(CRASHING_PATH);
        }
        let links = listed.iter().filter(|one| one.link.is_some() && one.left.is_none()).count();
        let link = (links < self.proxied).then(|| Proxy::start(upstream.address));
        let data_centre = DATA_CENTRES[listed.len() % self.data_centres];
        let one = Listed {
            upstream,
            data_centre,
            link,
            contact: Contact::default(),
            left: None,
            born_ms: self.restarts.then(wall_ms),
            restarted: None,
        };
        self.list(&one, "ready", self.next_sequence());
        listed.push(one);
    }

    /// An upstream leaves: its entry says so, or goes. False when it had left before.
    pub fn leave(&self, index: usize, says_so: bool) -> bool {
        let mut listed = self.listed.lock().unwrap();
        let one = &mut listed[index];
        if one.left.is_some() {
            return false;
        }
        if says_so {
            self.list(one, "draining", self.next_sequence());
        } else {
            self.store.remove(&format!("servers/{}", one.upstream.id));
        }
        one.left = Some(Instant::now());
        true
    }

    /// Indices of those that have not left.
    pub fn staying(&self) -> Vec<usize> {
        let listed = self.listed.lock().unwrap();
        (0..listed.len()).filter(|index| listed[*index].left.is_none()).collect()
    }

    pub fn all(&self) -> Vec<Listed> {
        self.listed.lock().unwrap().clone()
    }

    /// Whether upstreams start again under their identities.
    pub fn restarts(&self) -> bool {
        self.restarts
    }

    /// The entry of a later life of an upstream, whose count of updates begins anew. False when it has left.
    pub fn list_again(&self, index: usize) -> bool {
        let mut listed = self.listed.lock().unwrap();
        let one = &mut listed[index];
        if one.left.is_some() {
            return false;
        }
        one.born_ms = Some(wall_ms());
        self.list(one, "ready", 1);
        one.restarted = Some(Instant::now());
        true
    }

    fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::SeqCst) + 1
    }

    fn list(&self, one: &Listed, state: &str, sequence: u64) {
        let address = one.link.as_ref().map_or(one.upstream.address, |link| link.address);
        let life = Life { sequence, born_ms: one.born_ms };
        self.store.list_life(&one.upstream, address, one.data_centre, state, &life);
    }
}
