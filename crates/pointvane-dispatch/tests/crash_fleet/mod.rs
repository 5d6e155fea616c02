//! Discrete-event simulation of a fleet whose upstreams crash under some requests or for unrelated reasons.
//! Time is simulated and all randomness is seeded.
#![allow(dead_code)]

use {
    pointvane_dispatch::{
        BodyFingerprint, BroadcastBudget, DIRECT_SEND_MAX, FAN_OUT, HeadFingerprint, Quarantine,
        QuarantineMessage, QuarantineOptions, QueryScope, RequestFingerprint, SuspectReport, TrialPosition,
    },
    pointvane_mesh::codec,
    rand::{Rng, SeedableRng, rngs::SmallRng, seq::IteratorRandom},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap},
        ops::Range,
    },
};

pub const MS: u64 = 1_000;
pub const S: u64 = 1_000_000;
/// Latency of a datagram.
const LATENCY_US: Range<u64> = 200..3_000;
/// Interval between gossip rounds.
const GOSSIP_ROUND_US: u64 = 200 * MS;
/// Interval between membership datagrams.
const MEMBERSHIP_PING_US: u64 = 400 * MS;
/// Number of nodes to which evidence is sent in a gossip round.
const GOSSIP_PEERS: usize = 2;
/// Gossip rounds between two pages.
const ROUNDS_PER_PAGE: u64 = 5;
/// Run time of a request.
const RUN_DURATION_US: Range<u64> = 40_000..130_000;
/// Time until a crashed upstream is running again.
const RESTART_US: u64 = 3 * S;
/// Delay before a caller's second attempt; the delay before the third is twice as long.
const RETRY_DELAY_US: u64 = 100 * MS;
/// Maximum number of attempts of a caller.
const CALLER_ATTEMPTS_MAX: u32 = 3;
/// Time after the third crash within which all nodes must know of it; later crashes count as late.
const PROPAGATION_MAX_US: u64 = 3 * S;

/// Which evidence nodes use to quarantine requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Design {
    /// Quarantine is disabled.
    Off,
    /// Only the node's own observations, after this many crashes.
    LocalEvidence(usize),
    /// The observations of all nodes, after this many crashes.
    SharedEvidence(usize),
}

/// A temporary fault of a node.
#[derive(Clone, Debug)]
pub enum Fault {
    /// No datagrams are sent or received.
    Partitioned(Range<u64>),
    /// Only quarantine datagrams are lost: the worst case of random loss.
    NewsPartitioned(Range<u64>),
    /// The process is paused. Requests wait; about half of the datagrams received meanwhile are dropped.
    Paused(Range<u64>),
    /// The node starts at this time.
    Starts(u64),
}

/// Results of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Stats {
    /// Number of upstream crashes caused by crashing requests.
    pub upstream_crashes: usize,
    /// Maximum per crashing request of the crashes later than 3 s after its third.
    pub late_crashes_max: usize,
    /// Number of refused attempts of harmless requests.
    pub false_refusals: usize,
    /// Number of attempts of harmless requests.
    pub harmless_attempts: usize,
    /// Maximum number of quarantine bytes sent by one node in one second.
    pub peak_bytes_per_s: usize,
}

struct Node {
    quarantine: Quarantine,
    budget: BroadcastBudget,
    fault: Option<Fault>,
    /// Quarantine bytes sent, by second.
    bytes_by_second: BTreeMap<u64, usize>,
    /// Whether a pull of this node was answered.
    pull_answered: bool,
}

impl Node {
    /// Returns the end of the node's pause, or its start time if it has not started; `None` if it is running.
    fn paused_until(&self, at_us: u64) -> Option<u64> {
        match &self.fault {
            Some(Fault::Paused(range)) if range.contains(&at_us) => Some(range.end),
            Some(Fault::Starts(start)) if at_us < *start => Some(*start),
            _ => None,
        }
    }

    fn is_partitioned(&self, at_us: u64) -> bool {
        match &self.fault {
            Some(Fault::Partitioned(range) | Fault::NewsPartitioned(range)) => range.contains(&at_us),
            Some(Fault::Starts(start)) => at_us < *start,
            _ => false,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CallerAttempt {
    request: usize,
    /// Number of the caller's attempt, from 1.
    attempt_number: u32,
    /// Number of sends that the node has made for this attempt.
    sends: u32,
    node: usize,
}

#[derive(Debug)]
struct Run {
    caller_attempt: CallerAttempt,
    began_us: u64,
}

#[derive(Debug)]
enum Event {
    Attempt(CallerAttempt),
    RunEnd { upstream: usize, run: u64 },
    Crash(usize),
    Restart(usize),
    Reports { to: usize, reports: Vec<SuspectReport> },
    Pull { from: usize, to: usize },
    Round { node: usize, number: u64 },
}

/// A simulated fleet of nodes and upstreams.
pub struct CrashFleet {
    pub stats: Stats,
    design: Design,
    nodes: Vec<Node>,
    /// Requests running on each upstream; `None` while it is down.
    upstreams: Vec<Option<BTreeMap<u64, Run>>>,
    /// Requests, and whether upstreams crash under them.
    requests: Vec<(RequestFingerprint, bool)>,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    events_by_number: BTreeMap<u64, Event>,
    next_number: u64,
    now_us: u64,
    loss_rate: f64,
    rng: SmallRng,
    /// Times of the crashes caused by each crashing request, in order.
    crash_times_us: BTreeMap<usize, Vec<u64>>,
    /// Number of late crashes caused by each crashing request.
    late_crashes: BTreeMap<usize, usize>,
    /// A node that observes crashes of healthy upstreams, and when.
    faulty_observer: Option<(usize, Range<u64>)>,
    /// Number of refused harmless attempts, by node.
    false_refusals_by_node: BTreeMap<usize, usize>,
}

impl CrashFleet {
    pub fn new(design: Design, nodes: usize, upstreams: usize, loss_rate: f64, seed: u64) -> Self {
        let options = QuarantineOptions {
            after_crashes: match design {
                Design::Off => 0,
                Design::LocalEvidence(after) | Design::SharedEvidence(after) => after,
            },
            ..QuarantineOptions::default()
        };
        let node = |number| Node {
            quarantine: Quarantine::new(options, number as u64, 0),
            budget: BroadcastBudget::new(0),
            fault: None,
            bytes_by_second: BTreeMap::new(),
            pull_answered: false,
        };
        let mut fleet = Self {
            stats: Stats::default(),
            design,
            nodes: (0..nodes).map(node).collect(),
            upstreams: (0..upstreams).map(|_| Some(BTreeMap::new())).collect(),
            requests: Vec::new(),
            events: BinaryHeap::new(),
            events_by_number: BTreeMap::new(),
            next_number: 0,
            now_us: 0,
            loss_rate,
            rng: SmallRng::seed_from_u64(seed),
            crash_times_us: BTreeMap::new(),
            late_crashes: BTreeMap::new(),
            faulty_observer: None,
            false_refusals_by_node: BTreeMap::new(),
        };
        if matches!(design, Design::SharedEvidence(_)) {
            for node in 0..nodes {
                let first = fleet.rng.random_range(0..GOSSIP_ROUND_US);
                fleet.schedule(first, Event::Round { node, number: 0 });
            }
        }
        fleet
    }

    /// Adds a distinct request and returns its index. Upstreams crash under a `crashing` one.
    pub fn request(&mut self, crashing: bool) -> usize {
        let path = format!("/{}", self.requests.len());
        let head = HeadFingerprint::new("GET", "app.example", &path, None);
        self.requests
            .push((head.with_query_and_body(QueryScope::Any, BodyFingerprint::new(b"", Some(0))), crashing));
        self.requests.len() - 1
    }

    /// Sets the fault of a node.
    pub fn set_fault(&mut self, node: usize, fault: Fault) {
        let pulls_at_us = match &fault {
            Fault::Starts(start) => Some(*start + GOSSIP_ROUND_US),
            // Membership datagrams show that the partition is over.
            Fault::Partitioned(range) => Some(range.end + MEMBERSHIP_PING_US),
            Fault::Paused(_) | Fault::NewsPartitioned(_) => None,
        };
        if let Some(at_us) = pulls_at_us {
            self.schedule(at_us, Event::Pull { from: node, to: usize::MAX });
        }
        self.nodes[node].fault = Some(fault);
    }

    /// Makes a node observe a crash in every run that ends in the given period.
    pub fn set_faulty_observer(&mut self, node: usize, when_us: Range<u64>) {
        self.faulty_observer = Some((node, when_us));
    }

    /// Returns the number of harmless attempts refused by nodes other than `node`.
    pub fn false_refusals_at_others(&self, node: usize) -> usize {
        self.false_refusals_by_node
            .iter()
            .filter(|(other, _)| **other != node)
            .map(|(_, refused)| refused)
            .sum()
    }

    /// Schedules a caller's request, at a given node or at a random one.
    pub fn call(&mut self, at_us: u64, request: usize, node: Option<usize>) {
        let node = node.unwrap_or_else(|| self.rng.random_range(0..self.nodes.len()));
        self.schedule(at_us, Event::Attempt(CallerAttempt { request, attempt_number: 1, sends: 0, node }));
    }

    /// Schedules an upstream crash that no request causes.
    pub fn schedule_crash(&mut self, at_us: u64, upstream: usize) {
        self.schedule(at_us, Event::Crash(upstream));
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.next_number += 1;
        self.events_by_number.insert(self.next_number, event);
        self.events.push(Reverse((at_us, self.next_number)));
    }

    /// Runs the simulation up to a time and returns the results so far.
    pub fn run(&mut self, until_us: u64) -> Stats {
        while let Some(Reverse((at_us, number))) = self.events.peek().copied() {
            if at_us > until_us {
                break;
            }
            self.events.pop();
            self.now_us = at_us;
            if let Some(event) = self.events_by_number.remove(&number) {
                self.handle(event);
            }
        }
        self.now_us = until_us;
        let busiest = self.nodes.iter().flat_map(|node| node.bytes_by_second.values());
        self.stats.peak_bytes_per_s = busiest.copied().max().unwrap_or_default();
        self.stats.clone()
    }

    /// Returns true if a node would refuse a request now.
    pub fn refuses(&self, node: usize, request: usize) -> bool {
        let trial_position = TrialPosition { position: 1.0, nodes: self.nodes.len() };
        self.nodes[node].quarantine.refuses(&self.requests[request].0, &trial_position, self.now_us)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Attempt(caller_attempt) => match self.nodes[caller_attempt.node].paused_until(self.now_us)
            {
                Some(later) => self.schedule(later, Event::Attempt(caller_attempt)),
                None => self.start_attempt(caller_attempt),
            },
            Event::RunEnd { upstream, run } => self.end_run(upstream, run),
            Event::Crash(upstream) => self.crash_upstream(upstream),
            Event::Restart(upstream) => self.upstreams[upstream] = Some(BTreeMap::new()),
            Event::Reports { to, reports } => match self.nodes[to].paused_until(self.now_us) {
                Some(later) if self.rng.random_bool(0.5) => {
                    self.schedule(later, Event::Reports { to, reports })
                }
                Some(_) => {}
                None => {
                    self.nodes[to].quarantine.receive(&reports, self.now_us);
                }
            },
            Event::Pull { from, to } => self.pull(from, to),
            Event::Round { node, number } => self.round(node, number),
        }
    }

    fn trial_position(&self, caller_attempt: &CallerAttempt) -> TrialPosition {
        // A different order of nodes for each request.
        let position = ((caller_attempt.node * 7 + caller_attempt.request * 13) % self.nodes.len()) as f64;
        TrialPosition { position: position / self.nodes.len() as f64, nodes: self.nodes.len() }
    }

    fn start_attempt(&mut self, caller_attempt: CallerAttempt) {
        let (fingerprint, crashing) = self.requests[caller_attempt.request];
        let trial_position = self.trial_position(&caller_attempt);
        self.stats.harmless_attempts += usize::from(!crashing);
        let quarantine = &mut self.nodes[caller_attempt.node].quarantine;
        if quarantine.refuses(&fingerprint, &trial_position, self.now_us) {
            self.stats.false_refusals += usize::from(!crashing);
            *self.false_refusals_by_node.entry(caller_attempt.node).or_default() += usize::from(!crashing);
            return self.schedule_retry(caller_attempt);
        }
        let running = (0..self.upstreams.len()).filter(|number| self.upstreams[*number].is_some());
        let Some(upstream) = running.choose(&mut self.rng) else {
            return self.schedule_retry(caller_attempt);
        };
        quarantine.begin_send(&fingerprint, self.now_us);
        self.next_number += 1;
        let (run, began_us) = (self.next_number, self.now_us);
        let caller_attempt = CallerAttempt { sends: caller_attempt.sends + 1, ..caller_attempt };
        if let Some(runs) = &mut self.upstreams[upstream] {
            runs.insert(run, Run { caller_attempt, began_us });
        }
        let ends_us = self.now_us + self.rng.random_range(RUN_DURATION_US);
        self.schedule(ends_us, Event::RunEnd { upstream, run });
    }

    fn end_run(&mut self, upstream: usize, run: u64) {
        let Some(caller_attempt) =
            self.upstreams[upstream].as_ref().and_then(|runs| runs.get(&run)).map(|run| run.caller_attempt)
        else {
            return;
        };
        let (fingerprint, crashing) = self.requests[caller_attempt.request];
        if crashing {
            self.record_crash(caller_attempt.request);
            return self.crash_upstream(upstream);
        }
        if let Some(runs) = &mut self.upstreams[upstream] {
            runs.remove(&run);
        }
        let is_misreported = self
            .faulty_observer
            .as_ref()
            .is_some_and(|(node, when)| *node == caller_attempt.node && when.contains(&self.now_us));
        if is_misreported {
            self.nodes[caller_attempt.node].quarantine.record_crash(
                fingerprint,
                self.now_us - RUN_DURATION_US.start,
                self.now_us,
            );
        } else {
            self.nodes[caller_attempt.node].quarantine.record_success(fingerprint, self.now_us);
        }
        self.broadcast(caller_attempt.node);
    }

    fn record_crash(&mut self, request: usize) {
        let crash_times_us = self.crash_times_us.entry(request).or_default();
        crash_times_us.push(self.now_us);
        self.stats.upstream_crashes += 1;
        if let Some(third) = crash_times_us.get(2) {
            let since_us = self.now_us - third;
            if since_us > PROPAGATION_MAX_US {
                let late_crashes = self.late_crashes.entry(request).or_default();
                *late_crashes += 1;
                self.stats.late_crashes_max = self.stats.late_crashes_max.max(*late_crashes);
            }
        }
    }

    /// Crashes an upstream; all requests running on it fail.
    fn crash_upstream(&mut self, upstream: usize) {
        let Some(runs) = self.upstreams[upstream].take() else { return };
        for run in runs.into_values() {
            let (fingerprint, _) = self.requests[run.caller_attempt.request];
            let node = &mut self.nodes[run.caller_attempt.node];
            let detected_us = node.paused_until(self.now_us).unwrap_or(self.now_us);
            node.quarantine.record_crash(fingerprint, run.began_us, detected_us);
            self.broadcast(run.caller_attempt.node);
            if run.caller_attempt.sends < 2 {
                self.schedule(detected_us + MS, Event::Attempt(run.caller_attempt));
            } else {
                self.schedule_retry(run.caller_attempt);
            }
        }
        self.schedule(self.now_us + RESTART_US, Event::Restart(upstream));
    }

    fn schedule_retry(&mut self, caller_attempt: CallerAttempt) {
        if caller_attempt.attempt_number >= CALLER_ATTEMPTS_MAX {
            return;
        }
        let node = self.rng.random_range(0..self.nodes.len());
        let at_us = self.now_us + RETRY_DELAY_US * u64::from(caller_attempt.attempt_number);
        self.schedule(
            at_us,
            Event::Attempt(CallerAttempt {
                attempt_number: caller_attempt.attempt_number + 1,
                sends: 0,
                node,
                ..caller_attempt
            }),
        );
    }

    /// Broadcasts the new evidence of a node, within its budget.
    fn broadcast(&mut self, node: usize) {
        if !matches!(self.design, Design::SharedEvidence(_)) {
            return;
        }
        loop {
            let reports = self.nodes[node].quarantine.take_broadcast(self.now_us);
            if reports.is_empty() {
                return;
            }
            let others = self.nodes.len() - 1;
            let wanted = if others <= DIRECT_SEND_MAX { others } else { FAN_OUT };
            let peers = self.nodes[node].budget.take(datagram_bytes(&reports), wanted, self.now_us);
            self.send_to_random(node, &reports, peers);
        }
    }

    fn round(&mut self, node: usize, number: u64) {
        let at_us = self.nodes[node].paused_until(self.now_us).unwrap_or(self.now_us + GOSSIP_ROUND_US);
        self.schedule(at_us, Event::Round { node, number: number + 1 });
        if at_us != self.now_us + GOSSIP_ROUND_US {
            return;
        }
        let reports = self.nodes[node].quarantine.take_gossip_round(self.now_us);
        self.send_to_random(node, &reports, GOSSIP_PEERS);
        if number.is_multiple_of(ROUNDS_PER_PAGE) {
            self.nodes[node].quarantine.expire(self.now_us);
            let page = self.nodes[node].quarantine.next_page(self.now_us);
            self.send_to_random(node, &page, 1);
        }
    }

    /// Pulls evidence from a random node and repeats that until one has answered. `to` is `usize::MAX` for
    /// the timer that starts the next pull.
    fn pull(&mut self, from: usize, to: usize) {
        if to == usize::MAX {
            if !self.nodes[from].pull_answered {
                self.schedule(self.now_us + GOSSIP_ROUND_US, Event::Pull { from, to });
                let peer = self.rng.random_range(0..self.nodes.len());
                self.schedule(self.now_us + LATENCY_US.start, Event::Pull { from, to: peer });
            }
            return;
        }
        let pages = self.nodes[to].quarantine.pages_for_pull(self.now_us);
        self.nodes[from].pull_answered |= to != from;
        pages.iter().for_each(|page| self.send_datagram(to, from, page));
    }

    fn send_to_random(&mut self, from: usize, reports: &[SuspectReport], peers: usize) {
        if reports.is_empty() {
            return;
        }
        let others = (0..self.nodes.len()).filter(|other| *other != from);
        for peer in others.choose_multiple(&mut self.rng, peers) {
            self.send_datagram(from, peer, reports);
        }
    }

    fn send_datagram(&mut self, from: usize, to: usize, reports: &[SuspectReport]) {
        let bytes = datagram_bytes(reports);
        *self.nodes[from].bytes_by_second.entry(self.now_us / S).or_default() += bytes;
        let lost = self.rng.random_bool(self.loss_rate);
        if lost || self.nodes[from].is_partitioned(self.now_us) || self.nodes[to].is_partitioned(self.now_us)
        {
            return;
        }
        let latency_us = self.rng.random_range(LATENCY_US);
        self.schedule(self.now_us + latency_us, Event::Reports { to, reports: reports.to_vec() });
    }
}

/// Size of a datagram in bytes, including IP and UDP headers.
fn datagram_bytes(reports: &[SuspectReport]) -> usize {
    let message = QuarantineMessage::Reports(reports.to_vec());
    codec::encode(&message).map_or(0, |bytes| bytes.len() + codec::IP_UDP_HEADER_BYTES)
}
