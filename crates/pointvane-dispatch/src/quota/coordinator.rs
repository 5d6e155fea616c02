//! The coordinator of an account: adds up what all nodes use of it, and says which part of its requests each may admit.
//!
//! Two nodes coordinate an account, chosen by rendezvous hashing among the members that a node sees, so a report reaches one though
//! the other is lost. Reports hold all that a node admitted within the window, so a coordinator that has just become one knows the use of
//! the whole window after one round of reports, and a report that comes twice counts once. What a node admitted that reports no more
//! leaves the window by the ages that it told. What nodes have lost that started again, as coordinators too, others know that were told of it;
//! a coordinator that has just started itself takes the quota for used, and until a window has passed gives out less than the quota's rate,
//! which is more than an account's usual requests: what was used may have been used right before. Where a part of the fleet cannot be reached, the account may use the part of its quota
//! here that the nodes which can be reached are of all: the others, if they live, do the same.

use {
    super::{
        messages::{AccountShare, AccountUsage, FIFTHS, PER_MILLE, ToldUse},
        peers::CoordinatorPeers,
    },
    pointvane_core::{Name, PER_1000_S, Quota, US_PER_MS},
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
    },
};

/// Time ahead for which a share is reckoned, in microseconds: by its end the account may have used up its quota.
const AHEAD_US: u64 = 400 * US_PER_MS;
/// Time for which the rate that a node reports counts, in microseconds.
const RATE_FRESH_US: u64 = 500 * US_PER_MS;
/// Shortest time between two broadcasts of an account's share, in microseconds.
const BROADCAST_MIN_US: u64 = 200 * US_PER_MS;
/// Longest time between two broadcasts of a share that is less than the whole, in microseconds.
const BROADCAST_MAX_US: u64 = 700 * US_PER_MS;
/// Change of a share that is broadcast at once, in thousandths.
const BROADCAST_CHANGE_PER_MILLE: u16 = 50;
/// The whole, in thousandths.
const WHOLE: u16 = PER_MILLE as u16;
/// Part of the quota's rate that a coordinator which has just started gives out until it has seen a whole window: of a burst before its start everything
/// may still be in the window when that ends.
const UNSEEN_RATE_SHARE: f64 = 0.7;
/// Part of the quota that a coordinator gives out while it does not hear the other one, which does the same if it lives. More than half, since the other may
/// only have ended, and an account's usual requests are to be served meanwhile.
const SHARE_WITHOUT_PEER: f64 = 0.55;
/// Shortest time to retry, in milliseconds.
const RETRY_AFTER_MIN_MS: f64 = 100.0;
/// Microseconds in a second.
const US_PER_S: f64 = 1e6;
/// Milliseconds in a second.
const MS_PER_S: f64 = 1e3;

/// What one node reported last.
#[derive(Clone, Copy, Debug)]
struct NodeUsage {
    admitted: [u32; FIFTHS],
    offered_per_1000_s: u32,
    at_us: u64,
}

impl NodeUsage {
    /// How many of its requests were admitted within a time before now, as if evenly in each fifth of a window.
    fn admitted_within(&self, time_us: u64, window_us: u64, now_us: u64) -> f64 {
        let unreported_us = now_us.saturating_sub(self.at_us);
        let fifths = time_us.saturating_sub(unreported_us) as f64 * FIFTHS as f64 / window_us as f64;
        let within =
            |(fifth, count): (usize, &u32)| f64::from(*count) * (fifths - fifth as f64).clamp(0.0, 1.0);
        self.admitted.iter().enumerate().map(within).sum()
    }
}

/// What was used of a quota at a moment, by something else than reports.
#[derive(Clone, Copy, Debug)]
struct Checkpoint {
    /// The part of the quota.
    used: f64,
    at_us: u64,
}

impl Checkpoint {
    /// What of it is still within the window, as if it had been admitted evenly.
    fn left(&self, window_us: u64, now_us: u64) -> f64 {
        self.used * part_left(window_us, now_us.saturating_sub(self.at_us))
    }
}

/// The part of a window that is left after a time.
fn part_left(window_us: u64, age_us: u64) -> f64 {
    window_us.saturating_sub(age_us) as f64 / window_us as f64
}

/// The part of a quota that may have been used before a coordinator started and still be within the window, after so long a life.
fn unseen_left(window_us: u64, life_us: u64) -> f64 {
    if life_us < window_us { 1.0 - UNSEEN_RATE_SHARE * life_us as f64 / window_us as f64 } else { 0.0 }
}

/// One life of a node.
type Reporter = (SocketAddr, u64);

/// One account that this node coordinates.
#[derive(Clone, Debug)]
struct Coordinated {
    quota: Quota,
    by_node: BTreeMap<Reporter, NodeUsage>,
    /// When the first report came.
    began_us: u64,
    /// The most that nodes had been told by other coordinators before that.
    told: Option<Checkpoint>,
    broadcast: Option<Broadcast>,
    peer: OtherCoordinator,
}

/// Who else coordinates an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OtherCoordinator {
    /// To be looked up.
    Unknown,
    Nobody,
    Node(SocketAddr),
}

/// What a share is reckoned from.
#[derive(Clone, Copy, Debug)]
struct Terms {
    window_us: u64,
    /// The part of the fleet that can be reached.
    fleet_share: f64,
    /// When the process of this coordinator started.
    started_us: u64,
    now_us: u64,
}

impl Terms {
    /// The same, with a part of the quota only where the other coordinator is out of reach.
    fn without_silent(&self, peer: OtherCoordinator, peers: &CoordinatorPeers) -> Self {
        match peer {
            OtherCoordinator::Node(address) if peers.is_silent(address, self.now_us) => {
                Self { fleet_share: self.fleet_share.min(SHARE_WITHOUT_PEER), ..*self }
            }
            OtherCoordinator::Unknown | OtherCoordinator::Nobody | OtherCoordinator::Node(_) => *self,
        }
    }
}

/// The share that was broadcast last.
#[derive(Clone, Copy, Debug)]
struct Broadcast {
    share_per_mille: u16,
    at_us: u64,
}

/// The accounts that this node coordinates.
#[derive(Clone, Debug)]
pub struct Coordinator {
    window_us: u64,
    started_us: u64,
    accounts: HashMap<Name, Coordinated>,
    peers: CoordinatorPeers,
}

impl Coordinator {
    /// A coordinator of a process that has started now.
    pub fn new(window_us: u64, now_us: u64) -> Self {
        Self { window_us, started_us: now_us, accounts: HashMap::new(), peers: CoordinatorPeers::default() }
    }

    fn terms(&self, fleet_share: f64, now_us: u64) -> Terms {
        Terms { window_us: self.window_us, fleet_share, started_us: self.started_us, now_us }
    }

    /// The accounts of which it is not known who else coordinates them.
    pub fn accounts_without_peer(&self) -> Vec<Name> {
        let unknown =
            self.accounts.iter().filter(|(_, coordinated)| coordinated.peer == OtherCoordinator::Unknown);
        unknown.map(|(account, _)| account.clone()).collect()
    }

    /// Takes note of who else coordinates an account.
    pub fn set_peer(&mut self, account: &Name, peer: Option<SocketAddr>, now_us: u64) {
        if let Some(coordinated) = self.accounts.get_mut(account) {
            coordinated.peer = peer.map_or(OtherCoordinator::Nobody, OtherCoordinator::Node);
            self.follow_peers(now_us);
        }
    }

    /// Has all looked up again.
    pub fn forget_peers(&mut self) {
        self.accounts.values_mut().for_each(|coordinated| coordinated.peer = OtherCoordinator::Unknown);
    }

    fn follow_peers(&mut self, now_us: u64) {
        let peers = self.accounts.values().filter_map(|coordinated| match coordinated.peer {
            OtherCoordinator::Node(address) => Some(address),
            OtherCoordinator::Unknown | OtherCoordinator::Nobody => None,
        });
        self.peers.follow(&peers.collect(), now_us);
    }

    /// Takes note of a message of another node; false if that is none of the other coordinators.
    pub fn heard(&mut self, from: SocketAddr, now_us: u64) -> bool {
        self.peers.heard(from, now_us)
    }

    /// The other coordinators that are due for a heartbeat now.
    pub fn take_heartbeats(&mut self, now_us: u64) -> Vec<SocketAddr> {
        self.peers.take_due(now_us)
    }

    /// Takes what a life of a node uses of an account.
    pub fn receive(&mut self, reporter: Reporter, usage: &AccountUsage, quota: Quota, now_us: u64) {
        let empty = || Coordinated::new(quota, now_us);
        let coordinated = self.accounts.entry(usage.account.clone()).or_insert_with(empty);
        coordinated.quota = quota;
        let AccountUsage { admitted, offered_per_1000_s, told, .. } = *usage;
        if let Some(told) = told {
            coordinated.hear_told(&told, self.window_us, now_us);
        }
        let usage = NodeUsage { admitted, offered_per_1000_s, at_us: now_us };
        coordinated.by_node.insert(reporter, usage);
    }

    /// How much of an account's requests may be admitted; `fleet_share` is the part of the fleet that can be reached. None if nothing was reported of it.
    pub fn share(&self, account: &Name, fleet_share: f64, now_us: u64) -> Option<AccountShare> {
        let coordinated = self.accounts.get(account)?;
        let terms = self.terms(fleet_share, now_us);
        Some(coordinated.share(account, &terms.without_silent(coordinated.peer, &self.peers)))
    }

    /// Shares that all nodes have to learn now: those that changed, and those that are less than the whole now and then.
    pub fn take_broadcast(&mut self, fleet_share: f64, now_us: u64) -> Vec<AccountShare> {
        self.forget_idle(now_us);
        let terms = self.terms(fleet_share, now_us);
        let mut shares = Vec::new();
        for (account, coordinated) in &mut self.accounts {
            let share = coordinated.share(account, &terms.without_silent(coordinated.peer, &self.peers));
            if coordinated.is_due(share.share_per_mille, now_us) {
                let share_per_mille = share.share_per_mille;
                coordinated.broadcast = Some(Broadcast { share_per_mille, at_us: now_us });
                shares.push(share);
            }
        }
        shares
    }

    /// Whether nothing is reported of any account.
    pub fn is_idle(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Forgets what has left the window.
    fn forget_idle(&mut self, now_us: u64) {
        let window_us = self.window_us;
        for coordinated in self.accounts.values_mut() {
            coordinated.by_node.retain(|_, usage| now_us.saturating_sub(usage.at_us) < window_us);
        }
        let before = self.accounts.len();
        self.accounts.retain(|_, coordinated| !coordinated.by_node.is_empty());
        if self.accounts.len() < before {
            self.follow_peers(now_us);
        }
    }
}

impl Coordinated {
    fn new(quota: Quota, now_us: u64) -> Self {
        Self {
            quota,
            by_node: BTreeMap::new(),
            began_us: now_us,
            told: None,
            broadcast: None,
            peer: OtherCoordinator::Unknown,
        }
    }

    /// Takes what a node was told, if that was before this coordinator had any report: what it told itself says nothing more.
    fn hear_told(&mut self, told: &ToldUse, window_us: u64, now_us: u64) {
        let at_us = now_us.saturating_sub(u64::from(told.ago_ms) * US_PER_MS);
        let used = f64::from(told.used_per_mille) / f64::from(PER_MILLE);
        let heard = Checkpoint { used, at_us };
        let left = |checkpoint: &Checkpoint| checkpoint.left(window_us, now_us);
        let more = self.told.as_ref().is_none_or(|known| left(&heard) > left(known));
        if at_us <= self.began_us && more {
            self.told = Some(heard);
        }
    }

    fn share(&self, account: &Name, terms: &Terms) -> AccountShare {
        let Terms { window_us, fleet_share, now_us, .. } = *terms;
        let window_s = window_us as f64 / US_PER_S;
        let quota = self.quota.in_window(window_us) * fleet_share;
        let used = self.used(terms);
        let offered_per_s = self.offered_per_s(now_us);
        let left = (quota - self.used(&Terms { now_us: now_us + AHEAD_US, ..*terms })).max(0.0);
        let allowed_per_s = left * US_PER_S / AHEAD_US as f64;
        let share = if offered_per_s <= allowed_per_s { 1.0 } else { allowed_per_s / offered_per_s };
        // Until then the account earns what was refused within a second.
        let refused_per_s = offered_per_s * (1.0 - share);
        let earned_after_ms = refused_per_s * window_s / quota.max(1.0) * MS_PER_S;
        let longest_ms = (window_us / US_PER_MS) as f64;
        AccountShare {
            account: account.clone(),
            share_per_mille: (share * f64::from(PER_MILLE)) as u16,
            used_per_mille: (used / self.quota.in_window(window_us).max(1.0) * f64::from(PER_MILLE))
                .min(f64::from(u16::MAX)) as u16,
            retry_after_ms: earned_after_ms.clamp(RETRY_AFTER_MIN_MS, longest_ms) as u32,
        }
    }

    /// Requests admitted within the window at all nodes: those reported, but at least, of before a checkpoint, what that says.
    fn used(&self, terms: &Terms) -> f64 {
        let Terms { window_us, fleet_share, started_us, now_us } = *terms;
        let quota = self.quota.in_window(window_us);
        let reported = self.reported_within(window_us, window_us, now_us);
        let at_least = |left: f64, at_us: u64| {
            let since_us = now_us.saturating_sub(at_us).min(window_us);
            let since = self.reported_within(since_us, window_us, now_us);
            since + (reported - since).max(left * quota)
        };
        let unseen =
            at_least(fleet_share * unseen_left(window_us, now_us.saturating_sub(started_us)), started_us);
        let told = self.told.map(|told| at_least(told.left(window_us, now_us), told.at_us));
        reported.max(unseen).max(told.unwrap_or_default())
    }

    fn reported_within(&self, time_us: u64, window_us: u64, now_us: u64) -> f64 {
        self.by_node.values().map(|usage| usage.admitted_within(time_us, window_us, now_us)).sum()
    }

    fn offered_per_s(&self, now_us: u64) -> f64 {
        let fresh = self.by_node.values().filter(|usage| now_us.saturating_sub(usage.at_us) <= RATE_FRESH_US);
        fresh.map(|usage| f64::from(usage.offered_per_1000_s)).sum::<f64>() / PER_1000_S
    }

    fn is_due(&self, share_per_mille: u16, now_us: u64) -> bool {
        let last = self.broadcast.unwrap_or(Broadcast { share_per_mille: WHOLE, at_us: 0 });
        let since_us = now_us.saturating_sub(last.at_us);
        let changed = share_per_mille.abs_diff(last.share_per_mille) >= BROADCAST_CHANGE_PER_MILLE
            || (share_per_mille == WHOLE) != (last.share_per_mille == WHOLE);
        (changed && since_us >= BROADCAST_MIN_US) || (share_per_mille < WHOLE && since_us >= BROADCAST_MAX_US)
    }
}
