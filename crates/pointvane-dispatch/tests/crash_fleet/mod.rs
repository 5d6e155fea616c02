//! A fleet of nodes before upstreams that crash under some requests, or for other reasons; all time is given, all chance is seeded.
#![allow(dead_code)]

use {
    pointvane_dispatch::{
        BodyFingerprint, DIRECT_MAX, FAN_OUT, HeadFingerprint, NewsBudget, Quarantine, QuarantineMessage,
        QuarantineOptions, QueryScope, RequestFingerprint, SuspectNews, TrialTurn,
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
/// Time that a datagram takes.
const WAY_US: Range<u64> = 200..3_000;
/// Time between two rounds of news.
const ROUND_US: u64 = 200 * MS;
/// Time between two datagrams of membership.
const PING_US: u64 = 400 * MS;
/// Nodes that news go to in a round.
const ROUND_PEERS: usize = 2;
/// Rounds between two pages.
const ROUNDS_PER_PAGE: u64 = 5;
/// Time that a request runs.
const RUN_US: Range<u64> = 40_000..130_000;
/// Time after which an upstream that crashed is back.
const BACK_US: u64 = 3 * S;
/// Pause before a caller's second attempt; twice as long before the third.
const CALLER_PAUSE_US: u64 = 100 * MS;
/// Attempts of a caller.
const CALLER_ATTEMPTS: u32 = 3;
/// Time after the third crash from which on sends count as too late.
const KNOWN_AFTER_US: u64 = 3 * S;

/// How nodes judge requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Design {
    /// Not at all.
    Off,
    /// Each by what it has seen itself.
    Alone(usize),
    /// By what all have seen, after so many crashes.
    Fleet(usize),
}

/// What becomes of a node for some time.
#[derive(Clone, Debug)]
pub enum Trouble {
    /// No datagram comes or goes.
    Cut(Range<u64>),
    /// No news come or go, while all else passes: what is lost by chance, at its worst.
    CutFromNews(Range<u64>),
    /// It stands still; what comes meanwhile waits, but for datagrams beyond a few.
    Paused(Range<u64>),
    /// It starts at this time.
    Starts(u64),
}

/// What a run comes to.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Upstreams that crashed under a guilty request.
    pub ended: usize,
    /// The most under one of them later than 3 s after the third.
    pub ended_late: usize,
    /// Attempts of innocent requests that nodes refused.
    pub innocent_refused: usize,
    /// Attempts of innocent requests in all.
    pub innocent: usize,
    /// Bytes of news that the busiest node sent in any second.
    pub bytes_a_second: usize,
}

struct Node {
    quarantine: Quarantine,
    budget: NewsBudget,
    trouble: Option<Trouble>,
    /// Bytes of news sent in each second.
    sent: BTreeMap<u64, usize>,
    /// Whether a pull was answered.
    pulled: bool,
}

impl Node {
    /// Until when it stands still.
    fn still_until(&self, at_us: u64) -> Option<u64> {
        match &self.trouble {
            Some(Trouble::Paused(range)) if range.contains(&at_us) => Some(range.end),
            Some(Trouble::Starts(start)) if at_us < *start => Some(*start),
            _ => None,
        }
    }

    fn is_cut(&self, at_us: u64) -> bool {
        match &self.trouble {
            Some(Trouble::Cut(range) | Trouble::CutFromNews(range)) => range.contains(&at_us),
            Some(Trouble::Starts(start)) => at_us < *start,
            _ => false,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Asked {
    request: usize,
    /// Which attempt of its caller it is.
    attempt: u32,
    /// Sends that the node has made for this attempt.
    sends: u32,
    node: usize,
}

#[derive(Debug)]
struct Run {
    asked: Asked,
    began_us: u64,
}

#[derive(Debug)]
enum Event {
    Attempt(Asked),
    Ends { upstream: usize, run: u64 },
    Crash(usize),
    Back(usize),
    News { to: usize, news: Vec<SuspectNews> },
    Pull { from: usize, to: usize },
    Round { node: usize, number: u64 },
}

/// A fleet.
pub struct CrashFleet {
    pub figures: Figures,
    design: Design,
    nodes: Vec<Node>,
    /// Runs of each upstream; none while it is down.
    upstreams: Vec<Option<BTreeMap<u64, Run>>>,
    requests: Vec<(RequestFingerprint, bool)>,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    by_number: BTreeMap<u64, Event>,
    next_number: u64,
    now_us: u64,
    loss: f64,
    rng: SmallRng,
    /// Crashes by guilty request, in order.
    crashes: BTreeMap<usize, Vec<u64>>,
    /// Crashes by guilty request that came too late.
    late: BTreeMap<usize, usize>,
    /// A node to which upstreams that live seem to crash, and when.
    erring: Option<(usize, Range<u64>)>,
    /// Innocent attempts that were refused, by node.
    refused_at: BTreeMap<usize, usize>,
}

impl CrashFleet {
    pub fn new(design: Design, nodes: usize, upstreams: usize, loss: f64, seed: u64) -> Self {
        let options = QuarantineOptions {
            after_crashes: match design {
                Design::Off => 0,
                Design::Alone(after) | Design::Fleet(after) => after,
            },
            ..QuarantineOptions::default()
        };
        let node = |number| Node {
            quarantine: Quarantine::new(options, number as u64, 0),
            budget: NewsBudget::new(0),
            trouble: None,
            sent: BTreeMap::new(),
            pulled: false,
        };
        let mut fleet = Self {
            figures: Figures::default(),
            design,
            nodes: (0..nodes).map(node).collect(),
            upstreams: (0..upstreams).map(|_| Some(BTreeMap::new())).collect(),
            requests: Vec::new(),
            events: BinaryHeap::new(),
            by_number: BTreeMap::new(),
            next_number: 0,
            now_us: 0,
            loss,
            rng: SmallRng::seed_from_u64(seed),
            crashes: BTreeMap::new(),
            late: BTreeMap::new(),
            erring: None,
            refused_at: BTreeMap::new(),
        };
        if matches!(design, Design::Fleet(_)) {
            for node in 0..nodes {
                let first = fleet.rng.random_range(0..ROUND_US);
                fleet.at(first, Event::Round { node, number: 0 });
            }
        }
        fleet
    }

    /// A request of its own; under a guilty one upstreams crash.
    pub fn request(&mut self, guilty: bool) -> usize {
        let path = format!("/{}", self.requests.len());
        let head = HeadFingerprint::new("GET", "app.example", &path, None);
        self.requests.push((head.with_rest(QueryScope::Any, BodyFingerprint::new(b"", Some(0))), guilty));
        self.requests.len() - 1
    }

    pub fn trouble(&mut self, node: usize, trouble: Trouble) {
        let pulls_at_us = match &trouble {
            Trouble::Starts(start) => Some(*start + ROUND_US),
            // Other datagrams show that the silence is over.
            Trouble::Cut(range) => Some(range.end + PING_US),
            Trouble::Paused(_) | Trouble::CutFromNews(_) => None,
        };
        if let Some(at_us) = pulls_at_us {
            self.at(at_us, Event::Pull { from: node, to: usize::MAX });
        }
        self.nodes[node].trouble = Some(trouble);
    }

    /// To a node all upstreams seem to crash for some time.
    pub fn err(&mut self, node: usize, when_us: Range<u64>) {
        self.erring = Some((node, when_us));
    }

    /// Innocent attempts that other nodes refused.
    pub fn refused_elsewhere(&self, node: usize) -> usize {
        self.refused_at.iter().filter(|(other, _)| **other != node).map(|(_, refused)| refused).sum()
    }

    /// A caller sends a request, at any node or a given one.
    pub fn call(&mut self, at_us: u64, request: usize, node: Option<usize>) {
        let node = node.unwrap_or_else(|| self.rng.random_range(0..self.nodes.len()));
        self.at(at_us, Event::Attempt(Asked { request, attempt: 1, sends: 0, node }));
    }

    /// An upstream crashes for another reason.
    pub fn crash(&mut self, at_us: u64, upstream: usize) {
        self.at(at_us, Event::Crash(upstream));
    }

    fn at(&mut self, at_us: u64, event: Event) {
        self.next_number += 1;
        self.by_number.insert(self.next_number, event);
        self.events.push(Reverse((at_us, self.next_number)));
    }

    pub fn run(&mut self, until_us: u64) -> Figures {
        while let Some(Reverse((at_us, number))) = self.events.peek().copied() {
            if at_us > until_us {
                break;
            }
            self.events.pop();
            self.now_us = at_us;
            if let Some(event) = self.by_number.remove(&number) {
                self.happen(event);
            }
        }
        self.now_us = until_us;
        let busiest = self.nodes.iter().flat_map(|node| node.sent.values());
        self.figures.bytes_a_second = busiest.copied().max().unwrap_or_default();
        self.figures.clone()
    }

    /// Whether a node would refuse a request now.
    pub fn refuses(&self, node: usize, request: usize) -> bool {
        let turn = TrialTurn { position: 1.0, nodes: self.nodes.len() };
        self.nodes[node].quarantine.refuses(&self.requests[request].0, &turn, self.now_us)
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Attempt(asked) => match self.nodes[asked.node].still_until(self.now_us) {
                Some(later) => self.at(later, Event::Attempt(asked)),
                None => self.attempt(asked),
            },
            Event::Ends { upstream, run } => self.run_ends(upstream, run),
            Event::Crash(upstream) => self.crashes(upstream),
            Event::Back(upstream) => self.upstreams[upstream] = Some(BTreeMap::new()),
            Event::News { to, news } => match self.nodes[to].still_until(self.now_us) {
                Some(later) if self.rng.random_bool(0.5) => self.at(later, Event::News { to, news }),
                Some(_) => {}
                None => {
                    self.nodes[to].quarantine.receive(&news, self.now_us);
                }
            },
            Event::Pull { from, to } => self.pull(from, to),
            Event::Round { node, number } => self.round(node, number),
        }
    }

    fn turn(&self, asked: &Asked) -> TrialTurn {
        // Any order of nodes that is another one for each request.
        let position = ((asked.node * 7 + asked.request * 13) % self.nodes.len()) as f64;
        TrialTurn { position: position / self.nodes.len() as f64, nodes: self.nodes.len() }
    }

    fn attempt(&mut self, asked: Asked) {
        let (fingerprint, guilty) = self.requests[asked.request];
        let turn = self.turn(&asked);
        self.figures.innocent += usize::from(!guilty);
        let quarantine = &mut self.nodes[asked.node].quarantine;
        if quarantine.refuses(&fingerprint, &turn, self.now_us) {
            self.figures.innocent_refused += usize::from(!guilty);
            *self.refused_at.entry(asked.node).or_default() += usize::from(!guilty);
            return self.caller_retries(asked);
        }
        let up = (0..self.upstreams.len()).filter(|number| self.upstreams[*number].is_some());
        let Some(upstream) = up.choose(&mut self.rng) else { return self.caller_retries(asked) };
        quarantine.begin_send(&fingerprint, self.now_us);
        self.next_number += 1;
        let (run, began_us) = (self.next_number, self.now_us);
        let asked = Asked { sends: asked.sends + 1, ..asked };
        if let Some(runs) = &mut self.upstreams[upstream] {
            runs.insert(run, Run { asked, began_us });
        }
        let ends_us = self.now_us + self.rng.random_range(RUN_US);
        self.at(ends_us, Event::Ends { upstream, run });
    }

    fn run_ends(&mut self, upstream: usize, run: u64) {
        let Some(asked) =
            self.upstreams[upstream].as_ref().and_then(|runs| runs.get(&run)).map(|run| run.asked)
        else {
            return;
        };
        let (fingerprint, guilty) = self.requests[asked.request];
        if guilty {
            self.note_crash(asked.request);
            return self.crashes(upstream);
        }
        if let Some(runs) = &mut self.upstreams[upstream] {
            runs.remove(&run);
        }
        let errs = self
            .erring
            .as_ref()
            .is_some_and(|(node, when)| *node == asked.node && when.contains(&self.now_us));
        if errs {
            self.nodes[asked.node].quarantine.crashed(fingerprint, self.now_us - RUN_US.start, self.now_us);
        } else {
            self.nodes[asked.node].quarantine.survived(fingerprint, self.now_us);
        }
        self.broadcast(asked.node);
    }

    fn note_crash(&mut self, request: usize) {
        let crashes = self.crashes.entry(request).or_default();
        crashes.push(self.now_us);
        self.figures.ended += 1;
        if let Some(third) = crashes.get(2) {
            let since_us = self.now_us - third;
            if since_us > KNOWN_AFTER_US {
                let late = self.late.entry(request).or_default();
                *late += 1;
                self.figures.ended_late = self.figures.ended_late.max(*late);
            }
        }
    }

    /// An upstream ends, and all that runs there breaks off.
    fn crashes(&mut self, upstream: usize) {
        let Some(runs) = self.upstreams[upstream].take() else { return };
        for run in runs.into_values() {
            let (fingerprint, _) = self.requests[run.asked.request];
            let node = &mut self.nodes[run.asked.node];
            let seen_us = node.still_until(self.now_us).unwrap_or(self.now_us);
            node.quarantine.crashed(fingerprint, run.began_us, seen_us);
            self.broadcast(run.asked.node);
            if run.asked.sends < 2 {
                self.at(seen_us + MS, Event::Attempt(run.asked));
            } else {
                self.caller_retries(run.asked);
            }
        }
        self.at(self.now_us + BACK_US, Event::Back(upstream));
    }

    fn caller_retries(&mut self, asked: Asked) {
        if asked.attempt >= CALLER_ATTEMPTS {
            return;
        }
        let node = self.rng.random_range(0..self.nodes.len());
        let at_us = self.now_us + CALLER_PAUSE_US * u64::from(asked.attempt);
        self.at(at_us, Event::Attempt(Asked { attempt: asked.attempt + 1, sends: 0, node, ..asked }));
    }

    fn broadcast(&mut self, node: usize) {
        if !matches!(self.design, Design::Fleet(_)) {
            return;
        }
        loop {
            let news = self.nodes[node].quarantine.take_urgent(self.now_us);
            if news.is_empty() {
                return;
            }
            let others = self.nodes.len() - 1;
            let wanted = if others <= DIRECT_MAX { others } else { FAN_OUT };
            let peers = self.nodes[node].budget.take(size(&news), wanted, self.now_us);
            self.send(node, &news, peers);
        }
    }

    fn round(&mut self, node: usize, number: u64) {
        let at_us = self.nodes[node].still_until(self.now_us).unwrap_or(self.now_us + ROUND_US);
        self.at(at_us, Event::Round { node, number: number + 1 });
        if at_us != self.now_us + ROUND_US {
            return;
        }
        let news = self.nodes[node].quarantine.take_round(self.now_us);
        self.send(node, &news, ROUND_PEERS);
        if number.is_multiple_of(ROUNDS_PER_PAGE) {
            self.nodes[node].quarantine.expire(self.now_us);
            let page = self.nodes[node].quarantine.next_page(self.now_us);
            self.send(node, &page, 1);
        }
    }

    /// A node asks any other for all that it knows, until it is answered.
    fn pull(&mut self, from: usize, to: usize) {
        if to == usize::MAX {
            if !self.nodes[from].pulled {
                self.at(self.now_us + ROUND_US, Event::Pull { from, to });
                let peer = self.rng.random_range(0..self.nodes.len());
                self.at(self.now_us + WAY_US.start, Event::Pull { from, to: peer });
            }
            return;
        }
        let pages = self.nodes[to].quarantine.pages_for_pull(self.now_us);
        self.nodes[from].pulled |= to != from;
        pages.iter().for_each(|page| self.send_one(to, from, page));
    }

    fn send(&mut self, from: usize, news: &[SuspectNews], peers: usize) {
        if news.is_empty() {
            return;
        }
        let others = (0..self.nodes.len()).filter(|other| *other != from);
        for peer in others.choose_multiple(&mut self.rng, peers) {
            self.send_one(from, peer, news);
        }
    }

    fn send_one(&mut self, from: usize, to: usize, news: &[SuspectNews]) {
        let bytes = size(news);
        *self.nodes[from].sent.entry(self.now_us / S).or_default() += bytes;
        let lost = self.rng.random_bool(self.loss);
        if lost || self.nodes[from].is_cut(self.now_us) || self.nodes[to].is_cut(self.now_us) {
            return;
        }
        let way_us = self.rng.random_range(WAY_US);
        self.at(self.now_us + way_us, Event::News { to, news: news.to_vec() });
    }
}

/// Bytes of a datagram, IP and UDP heads included.
fn size(news: &[SuspectNews]) -> usize {
    let message = QuarantineMessage::News(news.to_vec());
    codec::encode(&message).map_or(0, |bytes| bytes.len() + codec::UDP_HEAD_BYTES)
}
