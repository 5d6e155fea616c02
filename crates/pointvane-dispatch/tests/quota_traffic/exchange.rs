//! What a node does on a tick, on a wake-up and on a datagram, as in `quota_loop.rs` of `pointvane-node`. All
//! coordinators answer, so that substitutes are left out.

use {
    super::{
        STEP_US, Simulation,
        fleet::{address, node_at},
    },
    pointvane_dispatch::{
        ACCOUNTS_PER_DATAGRAM_MAX, AccountShare, AccountUsage, Forwarder, QuotaMessage, Quotas, Segment,
    },
    pointvane_mesh::codec::{self, IP_UDP_HEADER_BYTES},
    rand::Rng,
    std::{collections::BTreeMap, mem, net::SocketAddr, ops::Range, rc::Rc, time::Instant},
};

/// Range of datagram latencies.
const LATENCY_US: Range<u64> = 200..4_000;
/// Number of steps within which a datagram arrives.
const STEPS_IN_FLIGHT: usize = 8;
/// Probability that a datagram is lost.
const DATAGRAM_LOSS: f64 = 0.01;
/// Incarnation of every node: a Unix time in milliseconds.
const INCARNATION: u64 = 1_796_000_000_000;

/// Purpose of a datagram.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    Report,
    Reply,
    Broadcast,
    Heartbeat,
}

/// A message with its purpose and its size as a datagram, IP and UDP headers included.
#[derive(Clone)]
struct Datagram {
    message: Rc<QuotaMessage>,
    kind: Kind,
    bytes: usize,
}

struct Delivery {
    from: usize,
    to: usize,
    datagram: Datagram,
}

/// Datagrams in flight, by step of arrival.
#[derive(Default)]
pub struct InFlight([Vec<Delivery>; STEPS_IN_FLIGHT]);

impl InFlight {
    fn at(&mut self, time_us: u64) -> &mut Vec<Delivery> {
        &mut self.0[(time_us / STEP_US) as usize % STEPS_IN_FLIGHT]
    }
}

impl Simulation {
    /// Delivers the datagrams that arrive in this step.
    pub fn deliver(&mut self) {
        for Delivery { from, to, datagram: Datagram { message, bytes, .. } } in
            mem::take(self.in_flight.at(self.now_us))
        {
            if self.is_measured {
                self.result.nodes[to].received.record(bytes);
            }
            self.receive(from, to, &message);
        }
    }

    fn receive(&mut self, from: usize, to: usize, message: &QuotaMessage) {
        let now_us = self.now_us;
        match message {
            QuotaMessage::Heartbeat { origin, wants_reply } => {
                let is_peer = self.timed(to, |quotas| quotas.record_message(*origin, now_us));
                if *wants_reply && !is_peer {
                    self.send(to, node_at(*origin), heartbeat(to, false), Kind::Heartbeat);
                }
            }
            QuotaMessage::Usage { incarnation, accounts } => {
                let shares = self.coordinate(to, (address(from), *incarnation), accounts);
                let origin = address(to);
                let reply = QuotaMessage::Shares { origin, segment: Segment::NONE, accounts: shares };
                self.send(to, from, reply, Kind::Reply);
            }
            QuotaMessage::Shares { origin, segment, accounts } => {
                self.timed(to, |quotas| quotas.receive_shares(*origin, accounts, now_us));
                self.forward(to, *origin, *segment, accounts);
            }
        }
    }

    /// Records reported usage at a coordinator and returns the shares to reply with.
    fn coordinate(
        &mut self,
        node: usize,
        reporter: (SocketAddr, u64),
        usages: &[AccountUsage],
    ) -> Vec<AccountShare> {
        let (fleet_view, now_us) = (self.fleet_view(), self.now_us);
        self.woken[node] = true;
        let quota_by_usage: Vec<_> =
            usages.iter().map(|usage| (usage, self.fleet.quota(&usage.account))).collect();
        self.timed(node, |quotas| {
            let share = |(usage, quota)| quotas.coordinate(reporter, usage, quota, fleet_view, now_us);
            quota_by_usage.into_iter().filter_map(share).collect()
        })
    }

    /// Sends what is due at a tick of a node.
    pub fn tick(&mut self, node: usize) {
        if self.quotas[node].is_idle() {
            return;
        }
        let (fleet_view, now_us) = (self.fleet_view(), self.now_us);
        self.update_peers(node);
        for peer in self.timed(node, |quotas| quotas.take_due_heartbeats(now_us)) {
            self.send(node, node_at(peer), heartbeat(node, true), Kind::Heartbeat);
        }
        let shares = self.timed(node, |quotas| {
            let shares = quotas.take_broadcast(fleet_view, now_us);
            quotas.receive_shares(address(node), &shares, now_us);
            shares
        });
        for accounts in shares.chunks(ACCOUNTS_PER_DATAGRAM_MAX) {
            self.forward(node, address(node), Segment::ALL, accounts);
        }
        self.send_reports(node);
    }

    /// Sends the reports that are due at a wake-up between ticks.
    pub fn wake(&mut self, node: usize) {
        self.update_peers(node);
        self.send_reports(node);
    }

    /// Looks up the other coordinator of each account that a node coordinates.
    fn update_peers(&mut self, node: usize) {
        let now_us = self.now_us;
        for account in self.timed(node, |quotas| quotas.accounts_without_peer()) {
            let peer = self.fleet.coordinators(&account).iter().find(|other| **other != node);
            let peer = peer.map(|other| address(*other));
            self.timed(node, |quotas| quotas.set_peer(&account, peer, now_us));
        }
    }

    fn send_reports(&mut self, node: usize) {
        let now_us = self.now_us;
        let reports = self.timed(node, |quotas| quotas.take_reports(now_us));
        let mut by_coordinator: BTreeMap<usize, Vec<AccountUsage>> = BTreeMap::new();
        for usage in reports {
            for coordinator in self.fleet.coordinators(&usage.account) {
                by_coordinator.entry(*coordinator).or_default().push(usage.clone());
            }
        }
        let own_usages = by_coordinator.remove(&node);
        for (coordinator, usages) in by_coordinator {
            for accounts in usages.chunks(ACCOUNTS_PER_DATAGRAM_MAX) {
                let message = QuotaMessage::Usage { incarnation: INCARNATION, accounts: accounts.to_vec() };
                self.send(node, coordinator, message, Kind::Report);
            }
        }
        if let Some(usages) = own_usages {
            let shares = self.coordinate(node, (address(node), INCARNATION), &usages);
            self.timed(node, |quotas| quotas.receive_shares(address(node), &shares, now_us));
        }
    }

    /// Forwards shares to the next nodes of the broadcast tree.
    fn forward(&mut self, node: usize, origin: SocketAddr, segment: Segment, accounts: &[AccountShare]) {
        if segment == Segment::NONE {
            return;
        }
        let mut last: Option<(Segment, Datagram)> = None;
        for Forwarder { node: to, segment } in self.fleet.forwarders(node, segment, &mut self.rng) {
            if last.as_ref().is_none_or(|(last, _)| *last != segment) {
                let message = QuotaMessage::Shares { origin, segment, accounts: accounts.to_vec() };
                last = self.encode(message, Kind::Broadcast).map(|datagram| (segment, datagram));
            }
            if let Some((_, datagram)) = last.clone() {
                self.send_datagram(node, to, datagram);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: QuotaMessage, kind: Kind) {
        if let Some(datagram) = self.encode(message, kind) {
            self.send_datagram(from, to, datagram);
        }
    }

    /// Encodes a message; an oversized one is dropped.
    fn encode(&mut self, message: QuotaMessage, kind: Kind) -> Option<Datagram> {
        let bytes = codec::encode(&message).map(|bytes| bytes.len() + IP_UDP_HEADER_BYTES);
        self.result.oversized += u64::from(bytes.is_err());
        Some(Datagram { message: Rc::new(message), kind, bytes: bytes.ok()? })
    }

    fn send_datagram(&mut self, from: usize, to: usize, datagram: Datagram) {
        if self.is_measured {
            self.result.nodes[from].sent.record(datagram.bytes);
            self.result.sent_by_kind[datagram.kind as usize].record(datagram.bytes);
        }
        if !self.rng.random_bool(DATAGRAM_LOSS) {
            // It arrives at the end of a step.
            let arrives_us = self.now_us + self.rng.random_range(LATENCY_US) + STEP_US;
            self.in_flight.at(arrives_us).push(Delivery { from, to, datagram });
        }
    }

    /// Calls a node's quotas and adds the time spent to its costs.
    fn timed<T>(&mut self, node: usize, call: impl FnOnce(&mut Quotas) -> T) -> T {
        let began = Instant::now();
        let value = call(&mut self.quotas[node]);
        if self.is_measured {
            self.result.nodes[node].busy += began.elapsed();
        }
        value
    }
}

fn heartbeat(node: usize, wants_reply: bool) -> QuotaMessage {
    QuotaMessage::Heartbeat { origin: address(node), wants_reply }
}
