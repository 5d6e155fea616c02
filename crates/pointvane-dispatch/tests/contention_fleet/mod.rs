//! A fleet of nodes that receive load reports and exchange contention messages over a lossy network.

use {
    pointvane_core::Name,
    pointvane_dispatch::{ContentionMessage, ContentionSample, ContentionTable},
    pointvane_mesh::codec,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::ops::Range,
};

pub const MS: u64 = 1_000;
/// Time between two rounds of a node, as in `contention_loop.rs` of `pointvane-node`.
const ROUND_MS: u64 = 50;
/// Resolution of the simulation, and latency of a datagram.
const STEP_MS: u64 = 10;
/// Share of lost datagrams.
const LOSS: f64 = 0.02;
/// Share of load reports by which an upstream is uncontended, in contention and in calm.
pub const CONTENDED: f64 = 0.05;
pub const CALM: f64 = 0.95;
/// Requests that all nodes together receive in a second.
pub const REQUESTS_PER_S: f64 = 900.0;
/// Load reports that a node receives for each request.
const REPORTS_PER_REQUEST: usize = 5;

/// A fleet, with one upstream data centre and any number of services.
pub struct Fleet {
    pub tables: Vec<ContentionTable>,
    pub services: Vec<Name>,
    pub data_centre: Name,
    /// The true uncontended share of each service.
    pub truth: Vec<f64>,
    /// Nodes that neither send nor receive.
    pub stopped: Vec<bool>,
    /// Whether each node is in the first or second part of a partitioned network.
    pub part: Vec<bool>,
    /// Requests that all nodes together receive in a second.
    pub requests_per_s: f64,
    pub now_us: u64,
    pub bytes: usize,
    pub rng: SmallRng,
    in_transit: Vec<(usize, ContentionMessage)>,
}

impl Fleet {
    pub fn new(nodes: usize, services: usize) -> Self {
        let (mut table, data_centre) = (ContentionTable::default(), Name::from("north"));
        let services: Vec<Name> =
            (0..services).map(|number| Name::from(format!("service-{number}").as_str())).collect();
        services.iter().for_each(|service| _ = table.add(service, &data_centre));
        Self {
            tables: vec![table; nodes],
            truth: vec![CALM; services.len()],
            services,
            data_centre,
            stopped: vec![false; nodes],
            part: vec![false; nodes],
            requests_per_s: REQUESTS_PER_S,
            now_us: 1_000_000 * MS,
            bytes: 0,
            rng: SmallRng::seed_from_u64(1),
            in_transit: Vec::new(),
        }
    }

    pub fn set_truth(&mut self, services: Range<usize>, share: f64) {
        self.truth[services].fill(share);
    }

    /// Advances the time.
    pub fn run_ms(&mut self, time_ms: u64) {
        for _ in 0..time_ms / STEP_MS {
            self.now_us += STEP_MS * MS;
            self.deliver();
            self.report();
            let phase = (self.now_us / MS / STEP_MS) % (ROUND_MS / STEP_MS);
            for node in (0..self.tables.len()).filter(|node| *node as u64 % (ROUND_MS / STEP_MS) == phase) {
                self.send(node);
            }
        }
    }

    fn deliver(&mut self) {
        for (to, message) in std::mem::take(&mut self.in_transit) {
            if !self.stopped[to] {
                self.tables[to].receive(&message, self.now_us);
            }
        }
    }

    /// Sends requests to random nodes, each of which probes some upstreams of one service.
    fn report(&mut self) {
        let expected = self.requests_per_s * STEP_MS as f64 / 1e3;
        let count = expected as usize + usize::from(self.rng.random_bool(expected.fract()));
        for _ in 0..count {
            let node = self.rng.random_range(0..self.tables.len());
            let service = self.rng.random_range(0..self.services.len());
            for _ in 0..REPORTS_PER_REQUEST {
                self.record(node, service);
            }
        }
    }

    /// Hands a node one load report on a service.
    pub fn record(&mut self, node: usize, service: usize) {
        let is_uncontended = self.rng.random_bool(self.truth[service]);
        let sample = ContentionSample { is_uncontended, occupancy: if is_uncontended { 0.3 } else { 1.0 } };
        if !self.stopped[node] {
            self.tables[node].record(&self.services[service], &self.data_centre, sample, self.now_us);
        }
    }

    fn send(&mut self, node: usize) {
        if self.stopped[node] {
            return;
        }
        let reachable = self.part.iter().filter(|part| **part == self.part[node]).count();
        for message in self.tables[node].take_messages(reachable, self.now_us) {
            let bytes = codec::encode(&message).unwrap();
            self.bytes += bytes.len() + codec::IP_UDP_HEADER_BYTES;
            let to = self.rng.random_range(0..self.tables.len());
            if to != node && self.part[to] == self.part[node] && !self.rng.random_bool(LOSS) {
                self.in_transit.push((to, codec::decode(&bytes).unwrap()));
            }
        }
        self.tables[node].take_changes(self.now_us);
    }

    /// The estimate of a node.
    pub fn estimate(&self, node: usize, service: usize) -> Option<f64> {
        let contention = self.tables[node].get(&self.services[service], &self.data_centre, self.now_us);
        contention.map(|contention| f64::from(contention.uncontended_share))
    }

    /// The share of the nodes `among` whose estimates of a service pass a check, averaged over services.
    pub fn share_of_nodes(
        &self,
        among: Range<usize>,
        services: Range<usize>,
        check: impl Fn(Option<f64>) -> bool,
    ) -> f64 {
        let pairs = among.flat_map(|node| services.clone().map(move |service| (node, service)));
        let (mut passed, mut count) = (0, 0);
        for (node, service) in pairs.filter(|(node, _)| !self.stopped[*node]) {
            count += 1;
            passed += usize::from(check(self.estimate(node, service)));
        }
        f64::from(passed as u32) / f64::from(count.max(1))
    }

    /// Time until nine in ten estimates pass a check, in milliseconds; `None` if not within `limit_ms`.
    pub fn time_until_ms(
        &mut self,
        services: Range<usize>,
        limit_ms: u64,
        check: impl Fn(Option<f64>) -> bool,
    ) -> Option<u64> {
        const CHECK_INTERVAL_MS: u64 = 50;
        let nodes = 0..self.tables.len();
        (1..=limit_ms / CHECK_INTERVAL_MS).map(|count| count * CHECK_INTERVAL_MS).find(|_| {
            self.run_ms(CHECK_INTERVAL_MS);
            self.share_of_nodes(nodes.clone(), services.clone(), &check) >= 0.9
        })
    }
}

/// Whether an estimate says that a service is contended.
pub fn is_contended(estimate: Option<f64>) -> bool {
    estimate.is_some_and(|share| share < 0.5)
}

/// Whether an estimate leads to the same decisions as calm.
pub fn is_calm(estimate: Option<f64>) -> bool {
    estimate.is_none_or(|share| share > 0.5)
}

/// Whether an estimate is within 0.1 of a share.
pub fn is_near(truth: f64) -> impl Fn(Option<f64>) -> bool {
    move |estimate| estimate.is_some_and(|share| (share - truth).abs() <= 0.1)
}
