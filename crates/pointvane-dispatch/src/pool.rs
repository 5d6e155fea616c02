//! All upstreams a node knows, and which of them a request should go to.

use {
    crate::{subset::ServiceUpstreams, upstream::UpstreamState},
    pointvane_core::{Name, UpstreamLoad, UpstreamRecord},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::collections::{BTreeMap, HashMap},
};

/// One upstream of a pool, for as long as the pool lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamKey(u64);

/// By what upstreams are ranked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ranking {
    /// The time that a request sent now is expected to take.
    Cost,
    /// The requests of this node that they hold.
    Own,
    /// Nothing.
    Random,
}

/// Rules of choosing.
#[derive(Clone, Debug)]
pub struct PoolOptions {
    /// By what upstreams are ranked.
    pub ranking: Ranking,
    /// Most that the cost of an upstream may be to count as good, in multiples of the usual time.
    pub good_cost: f32,
    /// Age up to which a word on load is as good as a new one, in microseconds.
    pub fresh_us: u64,
    /// Factor on the cost of upstreams in other data centres.
    pub far_factor: f32,
    /// What each 100 KB of a request's body adds to that factor, since bytes between data centres are dear.
    pub far_factor_per_100_kb: f32,
    /// Most that bodies add to it.
    pub far_factor_added_max: f32,
    /// Size of the random part of a cost, so that nodes don't all choose the same upstream.
    pub jitter: f32,
}

impl Default for PoolOptions {
    fn default() -> Self {
        Self {
            ranking: Ranking::Cost,
            good_cost: 1.3,
            fresh_us: 15_000,
            far_factor: 1.25,
            far_factor_per_100_kb: 1.0,
            far_factor_added_max: 0.75,
            jitter: 0.1,
        }
    }
}

const BYTES_PER_100_KB: f32 = 100_000.0;

/// Which upstreams are wanted for a request.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'t> {
    /// Those that it was sent to already.
    pub tried: &'t [UpstreamKey],
    /// Size of its body, as far as it is known.
    pub body_bytes: usize,
    /// How many are wanted.
    pub count: usize,
}

/// Weight of the newest word in the mean pace of a service.
const PACE_WEIGHT: f32 = 0.02;
const PERCENT: f32 = 100.0;
/// Mean pace before anything was heard.
const PACE_FIRST: f32 = 2.0;

/// All upstreams a node knows.
#[derive(Debug)]
pub struct Pool {
    options: PoolOptions,
    data_centre: Name,
    next_key: u64,
    upstreams: BTreeMap<UpstreamKey, UpstreamState>,
    by_id: HashMap<Name, UpstreamKey>,
    by_service: HashMap<Name, ServiceUpstreams>,
    pace_usual: HashMap<Name, f32>,
    telling: HashMap<Name, Telling>,
    /// Last word of upstreams that are gone, so that a late older word doesn't bring one back.
    last_words: HashMap<Name, u64>,
    rng: SmallRng,
}

/// Whether a service's upstreams tell their load.
#[derive(Clone, Copy, Debug, Default)]
struct Telling {
    told: bool,
    /// Answers that told nothing, before any that did.
    silent: u32,
}

/// Answers without a word on load after which a service counts as one that tells none.
const SILENT_ANSWERS: u32 = 3;

/// Upstreams that are gone whose last words are remembered.
const LAST_WORDS_MAX: usize = 1_024;

impl Pool {
    /// A pool that knows no upstream yet, of a node in `data_centre`.
    pub fn new(options: PoolOptions, data_centre: Name, seed: u64) -> Self {
        Self {
            options,
            data_centre,
            next_key: 0,
            upstreams: BTreeMap::new(),
            by_id: HashMap::new(),
            by_service: HashMap::new(),
            pace_usual: HashMap::new(),
            telling: HashMap::new(),
            last_words: HashMap::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Takes the platform's word on an upstream; false if it tells nothing new.
    pub fn put(&mut self, record: UpstreamRecord, now_us: u64) -> bool {
        if let Some(state) = self.by_id.get(&record.id).and_then(|key| self.upstreams.get_mut(key)) {
            let told = record == state.record && state.lapsed_until_us.is_none();
            if record.sequence < state.record.sequence || told {
                return false;
            }
            if state.record.service == record.service && state.record.address == record.address {
                state.update(record, now_us);
                return true;
            }
            let id = record.id.clone();
            self.remove(&id);
        }
        if self.last_words.get(&record.id).is_some_and(|last| record.sequence <= *last) {
            return false;
        }
        let key = UpstreamKey(self.next_key);
        self.next_key += 1;
        self.by_id.insert(record.id.clone(), key);
        let near = record.data_centre == self.data_centre;
        let draw = self.rng.random();
        self.by_service.entry(record.service.clone()).or_default().add(key, near, draw);
        self.upstreams.insert(key, UpstreamState::new(record, now_us));
        true
    }

    /// Takes the platform's word that an upstream's entry is gone; true if the upstream is forgotten at once.
    ///
    /// Until `reentry_until_us` the entry may only have lapsed while the platform was away: the upstream stays in use
    /// until then, unless it was leaving.
    pub fn gone(&mut self, id: &Name, reentry_until_us: u64, now_us: u64) -> bool {
        let state = self.by_id.get(id).and_then(|key| self.upstreams.get_mut(key));
        if now_us < reentry_until_us
            && let Some(state) = state.filter(|state| !state.record.draining)
        {
            state.lapsed_until_us.get_or_insert(reentry_until_us);
            return false;
        }
        self.remove(id)
    }

    /// Forgets upstreams whose entries lapsed and did not come back; gives their identities.
    pub fn forget_lapsed(&mut self, now_us: u64) -> Vec<Name> {
        let over = |state: &&UpstreamState| state.lapsed_until_us.is_some_and(|until_us| now_us >= until_us);
        let forgotten: Vec<Name> =
            self.upstreams.values().filter(over).map(|state| state.id().clone()).collect();
        forgotten.iter().for_each(|id| _ = self.remove(id));
        forgotten
    }

    /// Forgets an upstream; false if it was not known.
    pub fn remove(&mut self, id: &Name) -> bool {
        let Some(key) = self.by_id.remove(id) else {
            return false;
        };
        if let Some(state) = self.upstreams.remove(&key) {
            if self.last_words.len() >= LAST_WORDS_MAX {
                self.last_words.clear();
            }
            self.last_words.insert(id.clone(), state.record.sequence);
            if let Some(upstreams) = self.by_service.get_mut(&state.record.service) {
                upstreams.remove(key);
            }
        }
        true
    }

    /// What the platform says of all upstreams whose entries stand.
    pub fn records(&self) -> impl Iterator<Item = &UpstreamRecord> {
        let listed = self.upstreams.values().filter(|state| state.lapsed_until_us.is_none());
        listed.map(|state| &state.record)
    }

    /// Identities of all upstreams.
    pub fn ids(&self) -> impl Iterator<Item = &Name> {
        self.by_id.keys()
    }

    /// Number of upstreams.
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// What is believed of an upstream; none once it is forgotten.
    pub fn get(&self, key: UpstreamKey) -> Option<&UpstreamState> {
        self.upstreams.get(&key)
    }

    /// The same, to note something of it.
    pub fn get_mut(&mut self, key: UpstreamKey) -> Option<&mut UpstreamState> {
        self.upstreams.get_mut(&key)
    }

    /// Takes an upstream's word on its load.
    pub fn hear(&mut self, key: UpstreamKey, load: UpstreamLoad, now_us: u64) {
        let Some(state) = self.upstreams.get_mut(&key) else {
            return;
        };
        state.hear(load, now_us);
        self.telling.entry(state.record.service.clone()).or_default().told = true;
        let usual = self.pace_usual.entry(state.record.service.clone()).or_insert(PACE_FIRST);
        *usual += (load.pace_percent as f32 / PERCENT - *usual) * PACE_WEIGHT;
    }

    /// Notes an answer of an upstream that told nothing of its load.
    pub fn heard_nothing(&mut self, key: UpstreamKey) {
        if let Some(state) = self.upstreams.get(&key) {
            self.telling.entry(state.record.service.clone()).or_default().silent += 1;
        }
    }

    /// Whether it is worth asking a service's upstreams for their load.
    pub fn tells_load(&self, service: &Name) -> bool {
        self.telling.get(service).is_none_or(|telling| telling.told || telling.silent < SILENT_ANSWERS)
    }

    /// Upstreams of a service that may get work, the most promising first.
    ///
    /// Those set aside come only when there are no others.
    pub fn candidates(&mut self, service: &Name, wanted: &Wanted<'_>, now_us: u64) -> Vec<UpstreamKey> {
        let Some(upstreams) = self.by_service.get(service) else {
            return Vec::new();
        };
        let able = |key: UpstreamKey| {
            !wanted.tried.contains(&key) && self.upstreams.get(&key).is_some_and(UpstreamState::takes_work)
        };
        let sound = |key: UpstreamKey| able(key) && !self.upstreams[&key].is_ejected(now_us);
        let mut usable = upstreams.part(sound, &mut self.rng);
        if usable.is_empty() {
            usable = upstreams.part(able, &mut self.rng);
        }
        let jitter = self.options.jitter;
        let far_factor = self.far_factor(wanted.body_bytes);
        let mut ranked: Vec<(f32, UpstreamKey)> = Vec::with_capacity(usable.len());
        for key in usable {
            let factor = 1.0 + jitter * self.rng.random::<f32>();
            ranked.push((self.rank(key, far_factor, now_us) * factor, key));
        }
        ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
        ranked.into_iter().take(wanted.count).map(|(_, key)| key).collect()
    }

    fn rank(&self, key: UpstreamKey, far_factor: f32, now_us: u64) -> f32 {
        match self.options.ranking {
            Ranking::Cost => self.placed_cost(key, far_factor, now_us),
            Ranking::Own => self.upstreams.get(&key).map_or(f32::INFINITY, |state| (state.own + 1) as f32),
            Ranking::Random => 1.0,
        }
    }

    /// How many times the usual time a request sent there now is expected to take.
    pub fn cost(&self, key: UpstreamKey, now_us: u64) -> f32 {
        let Some(state) = self.upstreams.get(&key) else {
            return f32::INFINITY;
        };
        let usual = self.pace_usual.get(&state.record.service).copied().unwrap_or(PACE_FIRST);
        state.cost(usual, now_us)
    }

    /// The cost with what the way there adds to it.
    pub fn placed_cost(&self, key: UpstreamKey, far_factor: f32, now_us: u64) -> f32 {
        let near = self.upstreams.get(&key).is_some_and(|state| state.record.data_centre == self.data_centre);
        self.cost(key, now_us) * if near { 1.0 } else { far_factor }
    }

    /// Factor on the cost of upstreams in other data centres for a request with such a body.
    pub fn far_factor(&self, body_bytes: usize) -> f32 {
        let added = body_bytes as f32 / BYTES_PER_100_KB * self.options.far_factor_per_100_kb;
        self.options.far_factor + added.min(self.options.far_factor_added_max)
    }

    /// Whether its last word is new and says that it works at once and at the usual pace.
    pub fn is_good(&self, key: UpstreamKey, now_us: u64) -> bool {
        let Some(state) = self.upstreams.get(&key) else {
            return false;
        };
        let fresh = state
            .sample()
            .is_some_and(|sample| now_us.saturating_sub(sample.heard_at_us) <= self.options.fresh_us);
        fresh && self.cost(key, now_us) <= self.options.good_cost
    }
}
