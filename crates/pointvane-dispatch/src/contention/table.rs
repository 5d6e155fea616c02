//! Contention of all services and data centres, and the exchange of load reports with other nodes.

use {
    super::{
        Contention, ContentionChange, ContentionMessage, ContentionSample,
        messages::{CONTENTION_ENTRIES_MAX, PairId},
        pair::{self, Pair},
        sums::DecayingSums,
    },
    pointvane_core::Name,
    std::collections::{BTreeMap, BTreeSet, HashMap},
};

/// Number of nodes that a node sends to in each round of the exchange.
pub const CONTENTION_PEERS: usize = 2;

/// Weight of a node's own reports on a service from which it knows the service without those of others.
const OWN_SUFFICIENT: f64 = 4.0;
/// A node with that many reports takes part in one of this many rounds, for the nodes that have fewer.
const ROUNDS_IF_SUFFICIENT: u64 = 8;

/// Contention by service and data centre.
#[derive(Clone, Debug)]
pub struct ContentionTable {
    pairs: Vec<Pair>,
    by_service: HashMap<Name, BTreeMap<Name, usize>>,
    by_id: HashMap<PairId, usize>,
    /// Indexes of the pairs that are exchanged or count as contended.
    active: BTreeSet<usize>,
    /// Number of nodes that exchange reports, this one included.
    nodes: usize,
    /// Number of rounds of the exchange so far.
    rounds: u64,
}

impl Default for ContentionTable {
    fn default() -> Self {
        Self {
            pairs: Vec::new(),
            by_service: HashMap::new(),
            by_id: HashMap::new(),
            active: BTreeSet::new(),
            nodes: 1,
            rounds: 0,
        }
    }
}

impl ContentionTable {
    /// Adds a service and a data centre in which it has an upstream. Reports of other nodes on unknown
    /// services and data centres are ignored.
    pub fn add(&mut self, service: &Name, data_centre: &Name) -> usize {
        if let Some(index) = self.index(service, data_centre) {
            return index;
        }
        let (index, pair) = (self.pairs.len(), Pair::new(service.clone(), data_centre.clone()));
        self.by_id.insert(pair.id, index);
        self.by_service.entry(service.clone()).or_default().insert(data_centre.clone(), index);
        self.pairs.push(pair);
        index
    }

    fn index(&self, service: &Name, data_centre: &Name) -> Option<usize> {
        self.by_service.get(service)?.get(data_centre).copied()
    }

    /// Records what a load report of an upstream says.
    pub fn record(&mut self, service: &Name, data_centre: &Name, sample: ContentionSample, now_us: u64) {
        let index = self.add(service, data_centre);
        self.pairs[index].record(sample, now_us);
        self.activate(index, now_us);
    }

    /// Whether this node has few reports of its own on a service.
    fn needs_reports(&self, service: &Name, now_us: u64) -> bool {
        let indexes = self.by_service.get(service).into_iter().flat_map(BTreeMap::values);
        let own_weight: f64 = indexes.map(|index| self.pairs[*index].own_weight(now_us)).sum();
        own_weight < OWN_SUFFICIENT
    }

    fn activate(&mut self, index: usize, now_us: u64) {
        if self.pairs[index].is_exchanged(now_us) || self.pairs[index].holds_contended() {
            self.active.insert(index);
        }
    }

    /// Takes over reports that another node sent.
    pub fn receive(&mut self, message: &ContentionMessage, now_us: u64) {
        let entries = &message.entries[..message.entries.len().min(CONTENTION_ENTRIES_MAX)];
        for (position, entry) in entries.iter().enumerate() {
            // A message has one entry a pair, each of bounded weight.
            if entries[..position].iter().any(|earlier| earlier.pair == entry.pair) {
                continue;
            }
            if let Some(index) = self.by_id.get(&entry.pair).copied() {
                self.pairs[index].receive(entry, now_us);
                self.activate(index, now_us);
            }
        }
    }

    /// Begins a round of the exchange in a fleet of `nodes`; returns one message for each of at most
    /// [`CONTENTION_PEERS`] other nodes.
    pub fn take_messages(&mut self, nodes: usize, now_us: u64) -> Vec<ContentionMessage> {
        self.nodes = nodes;
        self.rounds = self.rounds.wrapping_add(1);
        let peers = CONTENTION_PEERS.min(nodes.saturating_sub(1));
        let messages = (0..peers).map(|_| self.take_message(now_us));
        messages.filter(|message| !message.entries.is_empty()).collect()
    }

    /// Takes reports on the pairs of which this node holds most: others know less of these.
    fn take_message(&mut self, now_us: u64) -> ContentionMessage {
        let is_for_all = self.rounds.is_multiple_of(ROUNDS_IF_SUFFICIENT);
        let exchanged = self.active.iter().copied().filter(|index| {
            let pair = &self.pairs[*index];
            pair.is_exchanged(now_us) && (is_for_all || self.needs_reports(&pair.service, now_us))
        });
        let mut indexes: Vec<usize> = exchanged.collect();
        if indexes.len() > CONTENTION_ENTRIES_MAX {
            let weight = |index: &usize| self.pairs[*index].held_weight(now_us);
            indexes.sort_by(|one, other| weight(other).total_cmp(&weight(one)));
            indexes.truncate(CONTENTION_ENTRIES_MAX);
        }
        let entries = indexes.into_iter().filter_map(|index| self.pairs[index].take_entry(now_us));
        ContentionMessage { entries: entries.collect() }
    }

    /// Returns the pairs that became contended, or no longer are, since the last call.
    pub fn take_changes(&mut self, now_us: u64) -> Vec<ContentionChange> {
        let (nodes, mut changes) = (self.nodes, Vec::new());
        let pairs = &mut self.pairs;
        self.active.retain(|index| {
            let pair = &mut pairs[*index];
            if pair.update_state(nodes, now_us) {
                changes.push(ContentionChange::new(pair, nodes, now_us));
            }
            pair.is_exchanged(now_us) || pair.is_contended()
        });
        changes
    }

    /// Whether no pair is exchanged or counts as contended.
    pub fn is_calm(&self) -> bool {
        self.active.is_empty()
    }

    /// The pairs that count as contended.
    pub fn contended(&self, now_us: u64) -> impl Iterator<Item = ContentionChange> {
        let pairs = self.active.iter().map(|index| &self.pairs[*index]);
        pairs
            .filter(|pair| pair.is_contended())
            .map(move |pair| ContentionChange::new(pair, self.nodes, now_us))
    }

    /// Contention of a service in a data centre; none without recent reports.
    pub fn get(&self, service: &Name, data_centre: &Name, now_us: u64) -> Option<Contention> {
        self.pairs[self.index(service, data_centre)?].contention(self.nodes, now_us)
    }

    /// Contention of a service over those of its data centres that `includes` selects.
    pub fn of_service(
        &self,
        service: &Name,
        includes: impl Fn(&Name) -> bool,
        now_us: u64,
    ) -> Option<Contention> {
        let included = self.by_service.get(service)?.iter().filter(|(data_centre, _)| includes(data_centre));
        let sums = included.map(|(_, index)| self.pairs[*index].sums(self.nodes, now_us));
        pair::contention(&sums.fold(DecayingSums::default(), |total, sums| total.plus(&sums)))
    }
}
