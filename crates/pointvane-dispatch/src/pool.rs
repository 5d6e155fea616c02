//! The upstreams known to a node: those listed by the platform, their current state, and those removed
//! recently.
//!
//! Owns the [`UpstreamState`] of each upstream, and the evacuations. Which upstreams may get work is decided
//! in `eligibility.rs`, and which of them a request should go to in `ranking.rs`.

use {
    crate::{
        contention::ContentionTable,
        evacuations::Evacuations,
        locality::Distances,
        ranking_options::RankingOptions,
        service_state::ServiceState,
        subset::ServiceUpstreams,
        upstream::{Departure, Notices, UpstreamState},
        upstream_key::UpstreamKey,
        warm_up::{WarmUpBound, WarmUpShares},
    },
    pointvane_core::{Change, Evacuation, Name, UpstreamRecord},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::collections::{BTreeMap, BTreeSet, HashMap},
};

/// Maximum number of removed upstreams that are remembered, to bound memory; all are dropped when it is
/// reached.
const REMOVED_MAX: usize = 1_024;

/// State kept for an upstream that was removed.
#[derive(Debug)]
struct RemovedUpstream {
    /// Its last entry: an older entry that arrives late does not add the upstream again.
    last: UpstreamRecord,
    /// Its own notices: they apply again if the entry of the same incarnation returns.
    notices: Notices,
}

/// The upstreams known to a node.
#[derive(Debug)]
pub struct Pool {
    pub(crate) options: RankingOptions,
    pub(crate) data_centre: Name,
    next_key: u64,
    pub(crate) upstreams: BTreeMap<UpstreamKey, UpstreamState>,
    by_id: HashMap<Name, UpstreamKey>,
    pub(crate) by_service: HashMap<Name, ServiceUpstreams>,
    pub(crate) services: HashMap<Name, ServiceState>,
    removed: HashMap<Name, RemovedUpstream>,
    /// Upstreams whose advertised limits are tracked (see `limits.rs`).
    pub(crate) limited: BTreeSet<UpstreamKey>,
    /// Services that this node has lost (see `reachability.rs`).
    pub(crate) lost: BTreeSet<Name>,
    /// The lost service that was checked last.
    pub(crate) last_checked: Option<Name>,
    pub(crate) evacuations: Evacuations,
    /// The region of each data centre for which it is known.
    pub(crate) regions: BTreeMap<Name, Name>,
    pub(crate) warm_up: WarmUpShares,
    pub(crate) contention: ContentionTable,
    pub(crate) distances: Distances,
    pub(crate) rng: SmallRng,
}

impl Pool {
    /// An empty pool of a node in `data_centre`. `seed` seeds all random choices of the pool.
    pub fn new(options: RankingOptions, data_centre: Name, seed: u64) -> Self {
        Self {
            options,
            data_centre,
            next_key: 0,
            upstreams: BTreeMap::new(),
            by_id: HashMap::new(),
            by_service: HashMap::new(),
            services: HashMap::new(),
            removed: HashMap::new(),
            limited: BTreeSet::new(),
            lost: BTreeSet::new(),
            last_checked: None,
            evacuations: Evacuations::default(),
            regions: BTreeMap::new(),
            warm_up: WarmUpShares::new(seed),
            contention: ContentionTable::default(),
            distances: Distances::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Adds or updates an upstream by its entry on the platform; false if nothing changes.
    ///
    /// An upstream with another start time, address or service is a new incarnation: its load, failures,
    /// draining state and requests in flight start from scratch. Entries older than the known one are
    /// ignored.
    pub fn upsert(&mut self, record: UpstreamRecord, now_us: u64) -> bool {
        if let Some(state) = self.by_id.get(&record.id).and_then(|key| self.upstreams.get_mut(key)) {
            let is_unchanged = record == state.record && state.grace_until_us.is_none();
            if record.entry_version() < state.record.entry_version() || is_unchanged {
                return false;
            }
            if is_same_incarnation(&state.record, &record) {
                state.update(record, now_us);
                return true;
            }
            let id = record.id.clone();
            self.remove(&id);
        }
        if self
            .removed
            .get(&record.id)
            .is_some_and(|removed| record.entry_version() <= removed.last.entry_version())
        {
            return false;
        }
        self.insert(record, now_us);
        true
    }

    fn insert(&mut self, record: UpstreamRecord, now_us: u64) {
        let key = UpstreamKey(self.next_key);
        self.next_key += 1;
        self.by_id.insert(record.id.clone(), key);
        let near = record.data_centre == self.data_centre;
        let draw = self.rng.random();
        self.by_service.entry(record.service.clone()).or_default().add(key, near, draw);
        self.services.entry(record.service.clone()).or_insert_with(|| ServiceState::new(record.slots));
        self.contention.add(&record.service, &record.data_centre);
        let notices = self.initial_notices(&record, now_us);
        if notices.limit.per_1000_s().is_some() {
            self.limited.insert(key);
        }
        self.upstreams.insert(key, UpstreamState { notices, ..UpstreamState::new(record, now_us) });
    }

    /// The notices that still apply to an upstream whose entry was removed earlier. Without a start time in
    /// the entry, it is unknown whether this is the same incarnation, and it is treated as a later one.
    fn initial_notices(&self, record: &UpstreamRecord, now_us: u64) -> Notices {
        let Some(RemovedUpstream { last, notices }) = self.removed.get(&record.id) else {
            return Notices::default();
        };
        let is_known_incarnation = record.born_ms.is_some() && is_same_incarnation(last, record);
        if is_known_incarnation { *notices } else { notices.for_new_incarnation(now_us) }
    }

    /// Handles the removal of an upstream's entry from the platform; true if the upstream is removed at once.
    ///
    /// Before `grace_until_us` the entry may only have expired while the store was unavailable, so the
    /// upstream stays in use until then, unless it was draining or leaving.
    pub fn handle_entry_removal(&mut self, id: &Name, grace_until_us: u64, now_us: u64) -> bool {
        let state = self.by_id.get(id).and_then(|key| self.upstreams.get_mut(key));
        if now_us < grace_until_us
            && let Some(state) = state.filter(|state| !state.is_departing())
        {
            state.grace_until_us.get_or_insert(grace_until_us);
            return false;
        }
        self.remove(id)
    }

    /// Whether the upstream with this key and identity has announced its end, or is no longer the one that has the
    /// identity; `None` if neither is known.
    pub fn departure(&self, key: UpstreamKey, id: &Name) -> Option<Departure> {
        match self.upstreams.get(&key) {
            Some(state) => state.is_departing().then_some(Departure::Announced),
            None if self.by_id.contains_key(id) => Some(Departure::Replaced),
            None => Some(Departure::Announced),
        }
    }

    /// Removes upstreams whose grace period is over; returns their identities.
    pub fn remove_expired(&mut self, now_us: u64) -> Vec<Name> {
        let is_expired =
            |state: &&UpstreamState| state.grace_until_us.is_some_and(|until_us| now_us >= until_us);
        let expired: Vec<Name> =
            self.upstreams.values().filter(is_expired).map(|state| state.id().clone()).collect();
        expired.iter().for_each(|id| _ = self.remove(id));
        expired
    }

    /// Removes an upstream; false if it was not known.
    pub fn remove(&mut self, id: &Name) -> bool {
        let Some(key) = self.by_id.remove(id) else {
            return false;
        };
        self.limited.remove(&key);
        if let Some(state) = self.upstreams.remove(&key) {
            if self.removed.len() >= REMOVED_MAX {
                self.removed.clear();
            }
            if let Some(upstreams) = self.by_service.get_mut(&state.record.service) {
                upstreams.remove(key);
            }
            let removed = RemovedUpstream { last: state.record, notices: state.notices };
            self.removed.insert(id.clone(), removed);
        }
        true
    }

    /// Sets the deployment's bound on requests to cold upstreams, and the largest number of nodes ever seen
    /// at once.
    pub fn set_warm_up_bound(&mut self, bound: WarmUpBound, nodes: usize, now_us: u64) {
        self.warm_up.set_bound(bound, nodes, now_us);
    }

    /// Sets the requests per second that a cold upstream of each service can take. Services without a rate
    /// are absent.
    pub fn set_warm_up_rates(&mut self, rates_per_s: HashMap<Name, f64>) {
        self.warm_up.set_rates(rates_per_s);
    }

    /// Sets the region of each data centre.
    pub fn set_regions(&mut self, regions: BTreeMap<Name, Name>) {
        self.regions = regions;
    }

    /// Applies an entry on the evacuation of a data centre; true if it changes whether the data centre may
    /// get work.
    pub fn apply_evacuation(&mut self, evacuation: Evacuation) -> bool {
        self.evacuations.apply(evacuation)
    }

    /// The active evacuations.
    pub fn evacuations(&self) -> impl Iterator<Item = &Evacuation> {
        self.evacuations.active()
    }

    /// The platform's entries of all upstreams except those in their grace period.
    pub fn records(&self) -> impl Iterator<Item = &UpstreamRecord> {
        let listed = self.upstreams.values().filter(|state| state.grace_until_us.is_none());
        listed.map(|state| &state.record)
    }

    /// The platform's entry of an upstream.
    pub fn record(&self, id: &Name) -> Option<&UpstreamRecord> {
        self.by_id.get(id).and_then(|key| self.upstreams.get(key)).map(|state| &state.record)
    }

    /// The key of an upstream, if it is known.
    pub(crate) fn key_of(&self, id: &Name) -> Option<UpstreamKey> {
        self.by_id.get(id).copied()
    }

    /// Identities of all upstreams.
    pub fn ids(&self) -> impl Iterator<Item = &Name> {
        self.by_id.keys()
    }

    /// The state of the platform as a list of changes, without upstreams in their grace period.
    pub fn listed_changes(&self) -> impl Iterator<Item = Change> {
        self.records().cloned().map(Change::Upstream).chain(self.evacuation_changes())
    }

    /// The known state as a list of changes, including upstreams in their grace period.
    pub fn known_changes(&self) -> impl Iterator<Item = Change> {
        let known = self.upstreams.values().map(|state| Change::Upstream(state.record.clone()));
        known.chain(self.evacuation_changes())
    }

    fn evacuation_changes(&self) -> impl Iterator<Item = Change> {
        self.evacuations.active().cloned().map(Change::Evacuation)
    }

    /// Number of upstreams.
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// The state of an upstream; none once it has been removed.
    pub fn get(&self, key: UpstreamKey) -> Option<&UpstreamState> {
        self.upstreams.get(&key)
    }

    /// Mutable access to the state of an upstream; none once it has been removed.
    pub fn get_mut(&mut self, key: UpstreamKey) -> Option<&mut UpstreamState> {
        self.upstreams.get_mut(&key)
    }
}

fn is_same_incarnation(one: &UpstreamRecord, other: &UpstreamRecord) -> bool {
    (one.born_ms, &one.service, one.address) == (other.born_ms, &other.service, other.address)
}
