//! Simulation of a fleet of readers and a platform with changes and outages, in simulated time.
#![allow(dead_code)]

use {
    crate::common::{configuration, configuration_change, page, upstream_change},
    pointvane_core::{Change, ChangePage, RoutingConfiguration, RoutingDelta},
    pointvane_dispatch::{
        Broadcaster, CallFailure, KnownState, PeerQuery, PlatformReader, QueryCandidate, QueryTarget,
        ReadMark, ReaderCall, ReaderOptions, ReaderQuery, ReaderRole, Relay, StateReply, earlier_peer,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng, seq::IteratorRandom},
    std::{net::SocketAddr, ops::Range},
};

pub const MS: u64 = 1_000;
pub const STEP_MS: u64 = 20;
/// Time in which gossip spreads the revision of a node to the others, in milliseconds.
const GOSSIP_MS: u64 = 400;
/// Interval between two relays of a watcher, in milliseconds.
const RELAY_MS: u64 = 300;
/// Response time of a peer, in milliseconds.
const PEER_ANSWER_MS: u64 = 20;
/// Capacity of a link, in bytes per millisecond: 10 Mbit/s.
const LINK_BYTES_PER_MS: u64 = 1_250;
/// Longest transfer of a response after the timeout of its first byte, in milliseconds.
const TRANSFER_MAX_MS: u64 = 4_500;
/// Pause between two queries of peers after the start, in milliseconds.
const START_PAUSE_MS: u64 = 80;
const WATCHERS: usize = 2;
const STANDBYS: usize = 4;

/// The nodes that the platform does not respond to during an outage.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum OutageScope {
    All,
    /// The watchers only.
    Watchers,
    /// The watchers and standbys.
    Readers,
    /// All nodes; their calls are refused at once.
    AllRefused,
}

/// A platform whose revision rises at given times, with an outage for some nodes.
pub struct SimPlatform {
    pub outage_ms: Range<u64>,
    pub outage_scope: OutageScope,
    pub changes_ms: Vec<u64>,
    /// Whether the changes are configurations, which relays do not contain.
    pub publishes_configurations: bool,
    /// Transfer time of each change in a response, in milliseconds. A watch returns all versions that a node
    /// lacks, a snapshot only the newest.
    pub transfer_ms: u64,
    /// When the platform drops its history, if it does, in milliseconds. For a second before that, watches
    /// return no changes; then they fail.
    pub history_gone_ms: Option<u64>,
    /// Number of pages of a snapshot.
    pub pages: u64,
    /// Time that a node takes to read a page, in milliseconds.
    pub page_ms: u64,
    /// Number of upstreams that the platform lists.
    pub upstreams: usize,
    /// Start period of all nodes but the seed nodes, in milliseconds; with 0 all nodes read at once.
    pub start_spread_ms: u64,
}

/// Number of nodes that all others know from the start.
const SEEDS: usize = 3;
/// Full states that a node sends in each step.
const WHOLE_STATES_PER_STEP: usize = 1;

/// Time before the history is dropped during which watches return no changes, in milliseconds.
const OMITTED_CHANGES_MS: u64 = 1_000;

impl Default for SimPlatform {
    /// A platform that responds to all nodes and never changes.
    fn default() -> Self {
        Self {
            outage_ms: 0..0,
            outage_scope: OutageScope::All,
            changes_ms: Vec::new(),
            publishes_configurations: false,
            transfer_ms: 0,
            history_gone_ms: None,
            pages: 1,
            page_ms: 0,
            upstreams: 0,
            start_spread_ms: 0,
        }
    }
}

impl SimResult {
    /// Number of calls to the platform.
    pub fn calls(&self) -> usize {
        self.calls_ms.len()
    }

    /// Number of calls to the platform within a period.
    pub fn calls_in(&self, time_ms: Range<u64>) -> usize {
        self.calls_ms.iter().filter(|at_ms| time_ms.contains(at_ms)).count()
    }
}

impl SimPlatform {
    fn revision(&self, now_ms: u64) -> u64 {
        1 + self.changes_ms.iter().filter(|at| **at <= now_ms).count() as u64
    }

    fn is_unavailable_to(&self, role: ReaderRole, now_ms: u64) -> bool {
        let in_scope = match self.outage_scope {
            OutageScope::All | OutageScope::AllRefused => true,
            OutageScope::Watchers => role == ReaderRole::Watcher,
            OutageScope::Readers => role != ReaderRole::Follower,
        };
        in_scope && self.outage_ms.contains(&now_ms)
    }

    /// Whether watches return no changes, since the history is about to be dropped.
    fn omits_changes(&self, now_ms: u64) -> bool {
        self.history_gone_ms
            .is_some_and(|gone_ms| (gone_ms.saturating_sub(OMITTED_CHANGES_MS)..gone_ms).contains(&now_ms))
    }

    /// Whether the changes after a revision have been dropped.
    fn has_dropped_history(&self, after: u64, now_ms: u64) -> bool {
        self.history_gone_ms.is_some_and(|gone_ms| now_ms >= gone_ms && after < self.revision(gone_ms))
    }

    /// The page of a snapshot with the given number.
    fn page(&self, number: u64, now_ms: u64) -> ChangePage {
        let revision = self.revision(now_ms);
        let next_page = (number + 1 < self.pages).then(|| (number + 1).to_string());
        ChangePage { next_page, ..page(revision, self.changes(revision)) }
    }

    /// Time since the publication of the first change that a node at a revision lacks, in milliseconds.
    fn lag_ms(&self, revision: u64, now_ms: u64) -> u64 {
        let first_missing = self.changes_ms.iter().filter(|at| **at <= now_ms).nth(revision as usize - 1);
        first_missing.map_or(0, |at| now_ms - at)
    }

    fn changes(&self, revision: u64) -> Vec<Change> {
        match self.publishes_configurations {
            true => vec![configuration_change(revision)],
            false => vec![upstream_change("one", 1)],
        }
    }
}

/// The network between the nodes.
#[derive(Clone, Copy)]
pub struct SimNetwork {
    /// Share of relays and queries that are lost.
    pub loss: f64,
    /// Whether all messages are lost.
    pub partitioned: bool,
}

pub const HEALTHY: SimNetwork = SimNetwork { loss: 0.02, partitioned: false };
pub const PARTITIONED: SimNetwork = SimNetwork { loss: 0.0, partitioned: true };

/// A call to the platform in progress.
struct Pending {
    call: ReaderCall,
    due_ms: u64,
    timeout_at_ms: u64,
    unanswered: bool,
    /// The response being transferred, and when its last byte arrives.
    transfer: Option<(u64, ChangePage)>,
}

/// State held by a simulated node.
struct SimState {
    mark: ReadMark,
    upstreams: usize,
}

impl KnownState for SimState {
    fn entries(&self) -> Vec<Change> {
        (0..self.upstreams).map(|number| upstream_change(&format!("i-{number}"), 1)).collect()
    }

    fn configuration(&self) -> RoutingConfiguration {
        configuration(self.mark.version)
    }

    fn configuration_since(&self, _version: u64) -> Option<Vec<RoutingDelta>> {
        None
    }
}

/// A simulated node with its reader and its calls in progress.
struct SimNode {
    reader: PlatformReader,
    role: ReaderRole,
    /// Position in the order in which nodes query each other.
    position: f64,
    /// The call to the platform in progress.
    pending: Option<Pending>,
    /// The query of a peer in progress, and when its response arrives.
    query: Option<(PeerQuery, u64)>,
    /// Times of its calls to the platform, in milliseconds.
    calls_ms: Vec<u64>,
    /// The broadcaster that it would query; the port of the address is the number of that node.
    broadcaster: Option<Broadcaster>,
    response_received: bool,
}

impl SimNode {
    fn new(platform: &SimPlatform, seed: u64, number: usize, nodes: usize) -> Self {
        let role = match number {
            _ if number < WATCHERS => ReaderRole::Watcher,
            _ if number < WATCHERS + STANDBYS => ReaderRole::Standby,
            _ => ReaderRole::Follower,
        };
        let start_spread_ms = if number < SEEDS { 0 } else { platform.start_spread_ms };
        let options = ReaderOptions {
            start_queries: 0,
            start_spread_ms,
            start_pause_ms: START_PAUSE_MS,
            ..ReaderOptions::default()
        };
        let reader = PlatformReader::new(options, seed);
        let position = number as f64 / nodes as f64;
        Self {
            reader,
            role,
            position,
            pending: None,
            query: None,
            calls_ms: Vec::new(),
            broadcaster: None,
            response_received: false,
        }
    }

    fn step(&mut self, platform: &SimPlatform, now_ms: u64) {
        self.finish_call(platform, now_ms);
        if self.query.is_none()
            && let ReaderQuery::Peer(query) = self.reader.next_query(now_ms * MS)
        {
            self.query = Some((query, now_ms + PEER_ANSWER_MS));
        }
        if self.reader.should_interrupt() {
            self.pending = None;
        }
        // After the start a node waits for the peer's response before it calls the platform.
        let is_startup_query = self.query.is_some_and(|(query, _)| query.target == QueryTarget::Any);
        if self.pending.is_none() && !is_startup_query {
            self.call(platform, now_ms);
        }
    }

    /// Starts the next call to the platform, if one is due.
    fn call(&mut self, platform: &SimPlatform, now_ms: u64) {
        let call = self.reader.next(now_ms * MS);
        let (wait_ms, timeout_ms) = match call {
            ReaderCall::Wait { .. } => return,
            ReaderCall::QueryPeer(query) => return self.query = Some((query, now_ms + PEER_ANSWER_MS)),
            ReaderCall::Watch { wait_ms, timeout_ms, .. } => (wait_ms, timeout_ms),
            ReaderCall::Snapshot { timeout_ms, .. } => (0, timeout_ms),
        };
        self.calls_ms.push(now_ms);
        let unanswered = platform.is_unavailable_to(self.role, now_ms);
        if unanswered && platform.outage_scope == OutageScope::AllRefused {
            return self.reader.call_failed(CallFailure::Unavailable, now_ms * MS);
        }
        self.pending = Some(Pending {
            call,
            due_ms: now_ms + wait_ms,
            timeout_at_ms: now_ms + timeout_ms,
            unanswered,
            transfer: None,
        });
    }

    fn finish_call(&mut self, platform: &SimPlatform, now_ms: u64) {
        let Some(mut pending) = self.pending.take() else { return };
        if let Some((at_ms, page)) = pending.transfer.take() {
            return self.receive_response(pending, at_ms, page, now_ms);
        }
        pending.unanswered |= platform.is_unavailable_to(self.role, now_ms);
        let revision = platform.revision(now_ms);
        let changed = match pending.call {
            ReaderCall::Watch { after, .. }
                if platform.has_dropped_history(after, now_ms) && !pending.unanswered =>
            {
                return self.reader.call_failed(CallFailure::HistoryGone, now_ms * MS);
            }
            ReaderCall::Watch { after, .. } => revision > after && !platform.omits_changes(now_ms),
            _ => true,
        };
        if now_ms >= pending.timeout_at_ms {
            self.reader.call_failed(CallFailure::Unavailable, now_ms * MS);
        } else if pending.unanswered || !(changed || now_ms >= pending.due_ms) {
            self.pending = Some(pending);
        } else {
            self.begin_response(pending, platform, now_ms);
        }
    }

    /// Delivers the head of a response.
    fn begin_response(&mut self, pending: Pending, platform: &SimPlatform, now_ms: u64) {
        let revision = match pending.call {
            ReaderCall::Watch { after, .. } if platform.omits_changes(now_ms) => after,
            _ => platform.revision(now_ms),
        };
        if let ReaderCall::Snapshot { next_page, .. } = &pending.call
            && platform.pages > 1
        {
            let number = next_page.as_ref().map_or(0, |number| number.parse().unwrap());
            self.reader.response_started(now_ms * MS);
            return self.receive_response(
                pending,
                now_ms + platform.page_ms,
                platform.page(number, now_ms),
                now_ms,
            );
        }
        let (versions, bytes_max) = match pending.call {
            ReaderCall::Watch { after, answer_bytes_max, .. } => (revision - after, answer_bytes_max),
            _ => (1, usize::MAX),
        };
        let changes = if versions > 0 { platform.changes(revision) } else { Vec::new() };
        let transfer_ms = versions * platform.transfer_ms;
        let size_bytes = (transfer_ms * LINK_BYTES_PER_MS) as usize;
        self.reader.response_started(now_ms * MS);
        if size_bytes > bytes_max {
            return self.reader.call_failed(CallFailure::ExceedsSnapshotSize, now_ms * MS);
        }
        self.reader.response_received(size_bytes);
        self.receive_response(pending, now_ms + transfer_ms, page(revision, changes), now_ms);
    }

    /// Delivers a response once its last byte has arrived, or a truncated one if the transfer takes too long.
    fn receive_response(&mut self, mut pending: Pending, at_ms: u64, page: ChangePage, now_ms: u64) {
        if now_ms >= pending.timeout_at_ms + TRANSFER_MAX_MS {
            return self.reader.call_failed(CallFailure::Truncated, now_ms * MS);
        }
        if now_ms < at_ms {
            pending.transfer = Some((at_ms, page));
            self.pending = Some(pending);
            return;
        }
        self.response_received = true;
        match pending.call {
            ReaderCall::Watch { .. } => self.reader.receive_watch_response(page, now_ms * MS),
            _ => self.reader.receive_page(page, [].into_iter(), now_ms * MS),
        };
    }

    /// Takes the query of a peer whose response is due.
    fn take_due_query(&mut self, now_ms: u64) -> Option<PeerQuery> {
        let due = self.query.take_if(|(_, due_ms)| now_ms >= *due_ms);
        due.map(|(query, _)| query)
    }
}

/// Result of a simulation.
pub struct SimResult {
    /// Times of the calls to the platform, in milliseconds.
    pub calls_ms: Vec<u64>,
    /// When the last node that the platform responds to had the newest revision, in milliseconds.
    pub all_converged_ms: u64,
    /// The longest time for which any node lacked a published change, in milliseconds.
    pub lag_max_ms: u64,
    /// When the last grace period of expired entries ended at any node, in milliseconds; 0 if there was none.
    pub grace_end_ms: u64,
}

fn answer_queries(
    fleet: &mut [SimNode],
    upstreams: usize,
    network: SimNetwork,
    rng: &mut SmallRng,
    now_ms: u64,
) {
    let mut whole_states = vec![0; fleet.len()];
    for querier in 0..fleet.len() {
        let Some(PeerQuery { target, request, .. }) = fleet[querier].take_due_query(now_ms) else { continue };
        let peer = query_target(fleet, querier, target, rng);
        let lost = network.partitioned || peer == querier || rng.random_bool(network.loss);
        let is_reading = fleet[peer].reader.is_reading();
        let state = SimState { mark: fleet[peer].reader.mark(), upstreams };
        let is_newer = fleet[peer].reader.newer_age_ms(&request, now_ms * MS).is_some();
        let whole = is_newer && fleet[peer].reader.answers_with_full_state(&request);
        whole_states[peer] += usize::from(whole);
        let rejected = whole && whole_states[peer] > WHOLE_STATES_PER_STEP;
        let reply: Option<StateReply> = match lost || rejected {
            true => None,
            false => fleet[peer].reader.answer(&request, &state, now_ms * MS),
        };
        match reply {
            Some(reply) => _ = fleet[querier].reader.receive_state(reply, [].into_iter(), now_ms * MS),
            None if lost => fleet[querier].reader.query_failed(now_ms * MS),
            None if is_reading => fleet[querier].reader.query_found_reading_peer(now_ms * MS),
            None => fleet[querier].reader.query_declined(now_ms * MS),
        }
    }
}

fn query_target(fleet: &[SimNode], querier: usize, target: QueryTarget, rng: &mut SmallRng) -> usize {
    let broadcaster = fleet[querier].broadcaster.map(|broadcaster| usize::from(broadcaster.address.port()));
    let fallback = broadcaster.unwrap_or_else(|| rng.random_range(0..WATCHERS));
    let peers = fleet.iter().enumerate().filter(|(node, _)| *node != querier);
    let peers =
        peers.map(|(node, sim)| QueryCandidate { node, position: sim.position, same_data_centre: true });
    match target {
        QueryTarget::Earlier { .. } => earlier_peer(fleet[querier].position, peers, rng).unwrap_or(fallback),
        QueryTarget::Broadcaster => fallback,
        QueryTarget::Any => {
            let informed = (0..fleet.len()).filter(|node| fleet[*node].reader.mark().revision > 0);
            informed.choose(rng).unwrap_or_else(|| rng.random_range(0..SEEDS))
        }
    }
}

pub fn simulate(
    platform: &SimPlatform,
    network: SimNetwork,
    seed: u64,
    nodes: usize,
    until_ms: u64,
) -> SimResult {
    let new_node = |number: usize| SimNode::new(platform, seed * 100 + number as u64, number, nodes);
    let mut fleet: Vec<SimNode> = (0..nodes).map(new_node).collect();
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut revisions: Vec<(u64, u64)> = Vec::new();
    let (mut all_converged_ms, mut lag_max_ms) = (0, 0);
    for now_ms in (0..until_ms).step_by(STEP_MS as usize) {
        let gossiped_revision =
            revisions.iter().rev().find(|(at, _)| at + GOSSIP_MS <= now_ms).map_or(0, |(_, newest)| *newest);
        for node in &mut fleet {
            node.reader.set_reachable_nodes(if network.partitioned { 1 } else { nodes });
            node.step(platform, now_ms);
            node.reader.compare_with_peers(
                node.role,
                if network.partitioned { 0 } else { gossiped_revision },
                now_ms * MS,
            );
        }
        answer_queries(&mut fleet, platform.upstreams, network, &mut rng, now_ms);
        for (sender, relay) in relays(&mut fleet, now_ms) {
            for (receiver, node) in fleet.iter_mut().enumerate() {
                if sender != receiver && !network.partitioned && !rng.random_bool(network.loss) {
                    node.reader.observe_reader(relay.age_ms, sender < receiver);
                    let broadcaster = Broadcaster {
                        address: SocketAddr::from(([127, 0, 0, 1], sender as u16)),
                        revision: relay.mark.revision,
                        received_at_us: now_ms * MS,
                    };
                    node.broadcaster = Some(broadcaster.most_advanced(node.broadcaster));
                    node.reader.receive_relay(relay.clone(), node.position, now_ms * MS);
                }
            }
        }
        revisions.push((now_ms, fleet.iter().map(|node| node.reader.mark().revision).max().unwrap_or(0)));
        // Nodes that the platform does not respond to are not required to converge.
        let served = |node: &&SimNode| {
            matches!(platform.outage_scope, OutageScope::All | OutageScope::AllRefused)
                || !platform.is_unavailable_to(node.role, now_ms)
        };
        let revision = platform.revision(now_ms);
        if fleet.iter().filter(served).any(|node| node.reader.mark().revision < revision) {
            all_converged_ms = now_ms;
        }
        let lag_ms = |node: &SimNode| platform.lag_ms(node.reader.mark().revision.max(1), now_ms);
        lag_max_ms = lag_max_ms.max(fleet.iter().map(lag_ms).max().unwrap_or_default());
    }
    let grace_over_us = fleet.iter().map(|node| node.reader.grace_until_us()).max().unwrap_or_default();
    SimResult {
        calls_ms: fleet.iter().flat_map(|node| node.calls_ms.clone()).collect(),
        all_converged_ms,
        lag_max_ms,
        grace_end_ms: grace_over_us / MS,
    }
}

/// The relays sent in this step, each with the number of its sender.
fn relays(fleet: &mut [SimNode], now_ms: u64) -> Vec<(usize, Relay)> {
    let broadcasts = |node: &mut SimNode| {
        let response_received = std::mem::take(&mut node.response_received) && node.reader.broadcasts();
        response_received || (node.reader.watches() && now_ms % RELAY_MS < STEP_MS)
    };
    let relay = |(number, node): (usize, &mut SimNode)| {
        let relay = if broadcasts(node) { node.reader.relay(now_ms * MS) } else { None };
        relay.map(|relay| (number, relay))
    };
    fleet.iter_mut().enumerate().filter_map(relay).collect()
}
