//! The coordinator of an account: sums the usage of all nodes and computes the share of requests that each
//! may admit.
//!
//! Each account has two coordinators, chosen by rendezvous hashing among the members that a node sees, so
//! that a report reaches one of them if the other has failed. A report covers everything that a node admitted
//! within the window. A new coordinator therefore knows the usage of the whole window after one round of
//! reports, and a duplicate report counts once. If a node stops reporting, its last counts leave the window
//! by the ages that it reported.
//!
//! Nodes and coordinators lose their counts when they restart. Nodes pass on the fleet-wide usage that
//! earlier coordinators sent them. A coordinator whose own process has just started assumes that the whole
//! quota is used: the usage may lie right before its start. Until a window has passed it grants less than the
//! quota's rate, but more than the usual demand of an account (`quota/estimate.rs`), and counts the other
//! coordinator as unreachable until it has received a message from it.
//!
//! If a part of the fleet is unreachable, the account's quota is scaled by the fraction of nodes that is
//! reachable (`quota/reach.rs`). Coordinators on the other side of a partition do the same.
//!
//! Nodes whose reports stay unanswered send them also to the next nodes in the order of coordinators. Such a
//! substitute computes and broadcasts shares like a coordinator, of a part of the quota, while it receives no
//! messages from the first coordinator itself: that one may be granting the quota to nodes out of reach.

use {
    super::{
        estimate::{UsageEstimate, usage_before_start},
        messages::{AccountShare, AccountUsage, FIFTHS, FleetUsage, PER_MILLE},
        node_usage::NodeUsage,
        pace::requests_in_span,
        peers::CoordinatorPeers,
        reach::Reach,
    },
    pointvane_core::{Name, PER_1000_S, Quota, US_PER_MS},
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
    },
};

/// Forecast horizon of a share, in microseconds: the account may use up its quota within this time.
const FORECAST_US: u64 = 400 * US_PER_MS;
/// Age up to which a reported request rate counts, in microseconds.
const RATE_MAX_AGE_US: u64 = 500 * US_PER_MS;
/// Shortest time between two broadcasts of an account's share, in microseconds.
const BROADCAST_MIN_US: u64 = 200 * US_PER_MS;
/// Longest time between two broadcasts of a share below 100 %, in microseconds.
const BROADCAST_MAX_US: u64 = 700 * US_PER_MS;
/// Change of a share that is broadcast once the shortest time has passed, in thousandths.
const BROADCAST_CHANGE_PER_MILLE: u16 = 50;
/// A share of 100 %, in thousandths.
const FULL_SHARE: u16 = PER_MILLE as u16;
/// Fraction of the quota that a coordinator grants while the other one is unreachable; the other does the
/// same if it is running. More than half, because the other may have stopped and the account's usual requests
/// have to be served.
const SHARE_WITHOUT_PEER: f64 = 0.55;
/// Shortest delay after which a refused caller should retry, in milliseconds.
const RETRY_AFTER_MIN_MS: f64 = 100.0;
/// Microseconds in a second.
const US_PER_S: f64 = 1e6;
/// Milliseconds in a second.
const MS_PER_S: f64 = 1e3;

/// Address of a reporting node and incarnation of its process.
type Reporter = (SocketAddr, u64);

/// State of one account that this node coordinates.
#[derive(Clone, Debug)]
struct CoordinatedAccount {
    quota: Quota,
    usage_by_reporter: BTreeMap<Reporter, NodeUsage>,
    /// When the first report arrived.
    first_report_us: u64,
    /// Highest fleet-wide usage that nodes had received from other coordinators before that.
    prior_usage: Option<UsageEstimate>,
    broadcast: Option<Broadcast>,
    peer: PeerCoordinator,
}

/// The other coordinator of an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PeerCoordinator {
    /// Has to be looked up.
    Unknown,
    /// This node is the only coordinator.
    NoPeer,
    /// Address of the other coordinator.
    Node(SocketAddr),
    /// This node is a substitute for the coordinators, one of which has this address.
    Primary(SocketAddr),
}

impl PeerCoordinator {
    /// Whether this node may grant shares. A substitute may not while a coordinator is reachable, which knows
    /// more of the account's usage.
    fn may_grant(self, peers: &CoordinatorPeers, now_us: u64) -> bool {
        match self {
            Self::Unknown | Self::NoPeer | Self::Node(_) => true,
            Self::Primary(address) => peers.is_lost(address, now_us),
        }
    }
}

/// Inputs to the computation of a share, besides the state of its account.
#[derive(Clone, Copy, Debug)]
struct ShareInputs {
    window_us: u64,
    /// Fraction of the fleet's nodes that is reachable, from 0 to 1.
    fleet_share: f64,
    /// When this coordinator's process started.
    started_us: u64,
    now_us: u64,
}

impl ShareInputs {
    /// Returns these inputs, with the quota reduced if the other coordinator is unreachable.
    fn adjusted_for_peer(&self, peer: PeerCoordinator, peers: &CoordinatorPeers) -> Self {
        let is_starting = self.now_us.saturating_sub(self.started_us) < self.window_us;
        let is_alone = match peer {
            PeerCoordinator::Unknown | PeerCoordinator::NoPeer => false,
            PeerCoordinator::Node(address) if is_starting => {
                !peers.is_confirmed_reachable(address, self.now_us)
            }
            PeerCoordinator::Node(address) => peers.is_unreachable(address, self.now_us),
            PeerCoordinator::Primary(_) => true,
        };
        let fleet_share = if is_alone { self.fleet_share.min(SHARE_WITHOUT_PEER) } else { self.fleet_share };
        Self { fleet_share, ..*self }
    }
}

/// The last broadcast of a share.
#[derive(Clone, Copy, Debug)]
struct Broadcast {
    share_per_mille: u16,
    at_us: u64,
}

/// State of all accounts that this node coordinates.
#[derive(Clone, Debug)]
pub struct Coordinator {
    window_us: u64,
    started_us: u64,
    accounts: HashMap<Name, CoordinatedAccount>,
    peers: CoordinatorPeers,
    reach: Option<Reach>,
}

impl Coordinator {
    /// Creates an empty coordinator for a process that starts at `now_us`.
    pub fn new(window_us: u64, now_us: u64) -> Self {
        Self {
            window_us,
            started_us: now_us,
            accounts: HashMap::new(),
            peers: CoordinatorPeers::default(),
            reach: None,
        }
    }

    fn share_inputs(&mut self, fleet_share: f64, now_us: u64) -> ShareInputs {
        let before = self.reach.unwrap_or(Reach { share: fleet_share, at_us: now_us });
        let reach = before.update(fleet_share, self.window_us, now_us);
        self.reach = Some(reach);
        ShareInputs {
            window_us: self.window_us,
            fleet_share: reach.share,
            started_us: self.started_us,
            now_us,
        }
    }

    /// Accounts whose other coordinator has not been looked up.
    pub fn accounts_without_peer(&self) -> Vec<Name> {
        let unknown = self.accounts.iter().filter(|(_, state)| state.peer == PeerCoordinator::Unknown);
        unknown.map(|(account, _)| account.clone()).collect()
    }

    /// Sets the other coordinator of an account, `None` if this node is the only one.
    pub fn set_peer(&mut self, account: &Name, peer: Option<SocketAddr>, now_us: u64) {
        if let Some(state) = self.accounts.get_mut(account) {
            state.peer = peer.map_or(PeerCoordinator::NoPeer, PeerCoordinator::Node);
            self.track_peers(now_us);
        }
    }

    /// Sets one of the coordinators of an account that this node is a substitute for.
    pub fn set_primary(&mut self, account: &Name, primary: SocketAddr, now_us: u64) {
        if let Some(state) = self.accounts.get_mut(account) {
            state.peer = PeerCoordinator::Primary(primary);
            self.track_peers(now_us);
        }
    }

    /// Marks the other coordinators of all accounts for a new lookup.
    pub fn reset_peers(&mut self) {
        self.accounts.values_mut().for_each(|state| state.peer = PeerCoordinator::Unknown);
    }

    /// Updates the set of coordinators that heartbeats are exchanged with.
    fn track_peers(&mut self, now_us: u64) {
        let peers = self.accounts.values().filter_map(|state| match state.peer {
            PeerCoordinator::Node(address) | PeerCoordinator::Primary(address) => Some(address),
            PeerCoordinator::Unknown | PeerCoordinator::NoPeer => None,
        });
        self.peers.track(&peers.collect(), now_us);
    }

    /// Records that a message arrived from a node. Returns false if that node is not one of the other
    /// coordinators.
    pub fn record_message(&mut self, from: SocketAddr, now_us: u64) -> bool {
        self.peers.record_message(from, now_us)
    }

    /// Returns the other coordinators that a heartbeat is due to, and marks these heartbeats as sent.
    pub fn take_due_heartbeats(&mut self, now_us: u64) -> Vec<SocketAddr> {
        self.peers.take_due_heartbeats(now_us)
    }

    /// Stores a usage report of a node.
    pub fn receive(&mut self, reporter: Reporter, usage: &AccountUsage, quota: Quota, now_us: u64) {
        let empty = || CoordinatedAccount::new(quota, now_us);
        let state = self.accounts.entry(usage.account.clone()).or_insert_with(empty);
        state.quota = quota;
        if let Some(fleet_usage) = usage.fleet_usage {
            state.receive_fleet_usage(&fleet_usage, self.window_us, now_us);
        }
        state.usage_by_reporter.insert(reporter, NodeUsage::new(usage, now_us));
    }

    /// Returns the share of an account's requests that nodes may admit, `None` without any report on the
    /// account, or if this node is a substitute for a coordinator that is reachable. `fleet_share` is the
    /// reachable fraction of the fleet.
    pub fn share(&mut self, account: &Name, fleet_share: f64, now_us: u64) -> Option<AccountShare> {
        let inputs = self.share_inputs(fleet_share, now_us);
        let state = self.accounts.get(account)?;
        if !state.peer.may_grant(&self.peers, now_us) {
            return None;
        }
        Some(state.share(account, &inputs.adjusted_for_peer(state.peer, &self.peers)))
    }

    /// Returns the shares that have to be broadcast now, and marks them as sent: shares that changed, and
    /// periodically those below 100 %.
    pub fn take_broadcast(&mut self, fleet_share: f64, now_us: u64) -> Vec<AccountShare> {
        self.remove_idle(now_us);
        let inputs = self.share_inputs(fleet_share, now_us);
        let mut shares = Vec::new();
        for (account, state) in &mut self.accounts {
            if !state.peer.may_grant(&self.peers, now_us) {
                continue;
            }
            let share = state.share(account, &inputs.adjusted_for_peer(state.peer, &self.peers));
            if state.is_broadcast_due(share.share_per_mille, now_us) {
                let share_per_mille = share.share_per_mille;
                state.broadcast = Some(Broadcast { share_per_mille, at_us: now_us });
                shares.push(share);
            }
        }
        shares
    }

    /// Whether no account has reports within the window.
    pub fn is_idle(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Removes reports that have left the window, and accounts without reports.
    fn remove_idle(&mut self, now_us: u64) {
        let window_us = self.window_us;
        for state in self.accounts.values_mut() {
            state.usage_by_reporter.retain(|_, usage| now_us.saturating_sub(usage.at_us) < window_us);
        }
        let before = self.accounts.len();
        self.accounts.retain(|_, state| !state.usage_by_reporter.is_empty());
        if self.accounts.len() < before {
            self.track_peers(now_us);
        }
    }
}

impl CoordinatedAccount {
    fn new(quota: Quota, now_us: u64) -> Self {
        Self {
            quota,
            usage_by_reporter: BTreeMap::new(),
            first_report_us: now_us,
            prior_usage: None,
            broadcast: None,
            peer: PeerCoordinator::Unknown,
        }
    }

    /// Stores the fleet-wide usage that a node received from a coordinator, if that was before the first
    /// report here. Later values add nothing, since they may come from this coordinator.
    fn receive_fleet_usage(&mut self, fleet_usage: &FleetUsage, window_us: u64, now_us: u64) {
        let at_us = now_us.saturating_sub(u64::from(fleet_usage.age_ms) * US_PER_MS);
        let used_share = f64::from(fleet_usage.used_per_mille) / f64::from(PER_MILLE);
        let received = UsageEstimate { used_share, at_us };
        let remaining_share = |estimate: &UsageEstimate| estimate.remaining_share(window_us, now_us);
        let more =
            self.prior_usage.as_ref().is_none_or(|known| remaining_share(&received) > remaining_share(known));
        if at_us <= self.first_report_us && more {
            self.prior_usage = Some(received);
        }
    }

    /// Computes the share of requests to admit, the used part of the quota and the delay for refused callers.
    fn share(&self, account: &Name, inputs: &ShareInputs) -> AccountShare {
        let ShareInputs { window_us, fleet_share, now_us, .. } = *inputs;
        let window_s = window_us as f64 / US_PER_S;
        let quota = self.quota.requests_in_window(window_us) * fleet_share;
        let used = self.used(inputs);
        let offered_per_s = self.offered_per_s(now_us);
        let forecast = ShareInputs { now_us: now_us + FORECAST_US, ..*inputs };
        let remaining = (quota - self.used(&forecast)).min(self.paced_remaining(&forecast)).max(0.0);
        let allowed_per_s = remaining * US_PER_S / FORECAST_US as f64;
        let share = if offered_per_s <= allowed_per_s { 1.0 } else { allowed_per_s / offered_per_s };
        // Time in which the quota's rate replenishes the requests refused within one second.
        let refused_per_s = offered_per_s * (1.0 - share);
        let replenished_after_ms = refused_per_s * window_s / quota.max(1.0) * MS_PER_S;
        let window_ms = (window_us / US_PER_MS) as f64;
        AccountShare {
            account: account.clone(),
            share_per_mille: (share * f64::from(PER_MILLE)) as u16,
            used_per_mille: (used / self.quota.requests_in_window(window_us).max(1.0) * f64::from(PER_MILLE))
                .min(f64::from(u16::MAX)) as u16,
            retry_after_ms: replenished_after_ms.clamp(RETRY_AFTER_MIN_MS, window_ms) as u32,
        }
    }

    /// Returns the number of requests admitted within the window at all nodes. Reported counts from before an
    /// estimate was made are raised to that estimate.
    fn used(&self, inputs: &ShareInputs) -> f64 {
        let ShareInputs { window_us, fleet_share, started_us, now_us } = *inputs;
        let quota = self.quota.requests_in_window(window_us);
        let reported = self.reported_within(window_us, window_us, now_us);
        let at_least = |remaining_share: f64, at_us: u64| {
            let since_us = now_us.saturating_sub(at_us).min(window_us);
            let since = self.reported_within(since_us, window_us, now_us);
            since + (reported - since).max(remaining_share * quota)
        };
        let before_start = at_least(
            fleet_share * usage_before_start(window_us, now_us.saturating_sub(started_us)),
            started_us,
        );
        let prior =
            self.prior_usage.map(|usage| at_least(usage.remaining_share(window_us, now_us), usage.at_us));
        reported.max(before_start).max(prior.unwrap_or_default())
    }

    /// Returns the number of requests that the limits on spans shorter than the window leave.
    fn paced_remaining(&self, inputs: &ShareInputs) -> f64 {
        let ShareInputs { window_us, fleet_share, now_us, .. } = *inputs;
        let spans = (1..FIFTHS as u64).map(|fifths| fifths * window_us / FIFTHS as u64);
        let remaining = spans.map(|span_us| {
            requests_in_span(self.quota, span_us, window_us) * fleet_share
                - self.reported_within(span_us, window_us, now_us)
        });
        remaining.fold(f64::INFINITY, f64::min)
    }

    /// Returns the reported number of requests that all nodes admitted within the last `time_us`.
    fn reported_within(&self, time_us: u64, window_us: u64, now_us: u64) -> f64 {
        self.usage_by_reporter.values().map(|usage| usage.admitted_within(time_us, window_us, now_us)).sum()
    }

    /// Returns the rate of requests offered at all nodes, in requests per second.
    fn offered_per_s(&self, now_us: u64) -> f64 {
        let recent = self
            .usage_by_reporter
            .values()
            .filter(|usage| now_us.saturating_sub(usage.at_us) <= RATE_MAX_AGE_US);
        recent.map(|usage| f64::from(usage.offered_per_1000_s)).sum::<f64>() / PER_1000_S
    }

    /// Whether a share has to be broadcast now.
    fn is_broadcast_due(&self, share_per_mille: u16, now_us: u64) -> bool {
        let last = self.broadcast.unwrap_or(Broadcast { share_per_mille: FULL_SHARE, at_us: 0 });
        let since_us = now_us.saturating_sub(last.at_us);
        let changed = share_per_mille.abs_diff(last.share_per_mille) >= BROADCAST_CHANGE_PER_MILLE
            || (share_per_mille == FULL_SHARE) != (last.share_per_mille == FULL_SHARE);
        (changed && since_us >= BROADCAST_MIN_US)
            || (share_per_mille < FULL_SHARE && since_us >= BROADCAST_MAX_US)
    }
}
