//! Fleet-wide rate limits of client accounts: decides whether a request of an account is admitted.
//!
//! Each request is decided once, from local state; no request waits for another node. Nodes report the
//! requests that they admitted within the window (`quota/local.rs`) to the account's coordinators
//! (`quota/coordinator.rs`), and report again when other nodes become coordinators. While the account is well
//! below its quota, every request is admitted. Near the quota, coordinators send all nodes the share of
//! requests to admit. Nodes apply it by random sampling, so that callers are treated alike at all nodes,
//! however few requests each node receives. Within spans shorter than the window the coordinators grant the
//! burst and the quota's rate only (`quota/pace.rs`).
//!
//! Inputs: the account's quota, the last share received, whether other nodes and the coordinators are
//! reachable. Reports that stay unanswered also go to substitutes of the coordinators. A node that is isolated
//! or gets no answer at all admits an equal part of the quota, which accrues over a window
//! (`quota/allowance.rs`), and tells refused callers to retry soon, so that they reach other nodes.
//! Coordinators that no longer receive each other's heartbeats (`quota/peers.rs`) divide the quota between
//! them. A request that was admitted but not sent is refunded.
//!
//! Invariant: in any window the nodes together admit at most the quota plus what arrives before the
//! coordinators learn of it. Tests: `tests/quota.rs`, `tests/quota_peers.rs`, in fleets
//! `tests/quota_fleet.rs`, `tests/quota_order.rs`.

mod allowance;
mod coordinator;
mod estimate;
mod local;
mod messages;
mod node_usage;
mod pace;
mod peers;
mod reach;
mod usage;

pub use messages::{ACCOUNTS_PER_DATAGRAM_MAX, AccountShare, AccountUsage, FleetUsage, QuotaMessage};

use {
    coordinator::Coordinator,
    local::{AdmissionInputs, LocalAccount},
    messages::PER_MILLE,
    pointvane_core::{Name, Quota},
    std::{collections::HashMap, net::SocketAddr},
};

/// Connectivity of the fleet as this node sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetView {
    /// Whether messages of other nodes arrive; also true if the fleet has no other nodes.
    pub connected: bool,
    /// Number of nodes in the fleet, including this one. `None` while other nodes are configured and no
    /// message of any has arrived.
    pub nodes: Option<usize>,
    /// Fraction of these nodes that is reachable, from 0 to 1.
    pub reachable_share: f64,
}

/// Whether a request is admitted under its account's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaDecision {
    /// The request is within the quota.
    Admitted,
    /// The request exceeds the quota.
    Refused {
        /// Delay after which the caller should retry, in milliseconds.
        retry_after_ms: u32,
    },
}

/// State of all account quotas at one node, including the accounts that this node coordinates.
#[derive(Clone, Debug)]
pub struct Quotas {
    window_us: u64,
    started_us: u64,
    accounts: HashMap<Name, LocalAccount>,
    has_unreported_account: bool,
    coordinator: Coordinator,
}

impl Quotas {
    /// Creates an empty state for sliding windows of `window_us` microseconds.
    pub fn new(window_us: u64, now_us: u64) -> Self {
        Self {
            window_us,
            started_us: now_us,
            accounts: HashMap::new(),
            has_unreported_account: false,
            coordinator: Coordinator::new(window_us, now_us),
        }
    }

    /// Decides whether a request of an account is admitted. `draw` is a uniform random number from 0 to 1.
    pub fn admit(
        &mut self,
        account: &Name,
        quota: Quota,
        fleet_view: FleetView,
        now_us: u64,
        draw: f32,
    ) -> QuotaDecision {
        let window_us = self.window_us;
        let local = match self.accounts.get_mut(account) {
            Some(local) => local,
            None => self.accounts.entry(account.clone()).or_insert_with(|| LocalAccount::new(window_us)),
        };
        self.has_unreported_account |= local.was_never_reported();
        let uptime_us = now_us.saturating_sub(self.started_us);
        local.admit(&AdmissionInputs {
            quota: quota.requests_in_window(window_us),
            fleet_view,
            uptime_us,
            now_us,
            draw,
        })
    }

    /// Refunds a request that was admitted at `admitted_at_us` but not sent.
    pub fn refund(&mut self, account: &Name, admitted_at_us: u64) {
        if let Some(local) = self.accounts.get_mut(account) {
            local.refund(admitted_at_us);
        }
    }

    /// Whether an account has requests but no report to its current coordinators yet: a report is due at
    /// once.
    pub fn has_unreported_account(&self) -> bool {
        self.has_unreported_account
    }

    /// Accounts with requests within the window.
    pub fn accounts(&self) -> impl Iterator<Item = &Name> {
        self.accounts.keys()
    }

    /// Makes a report of an account due at once. Called when its coordinators change, since new ones have no
    /// reports.
    pub fn force_report(&mut self, account: &Name) {
        if let Some(local) = self.accounts.get_mut(account) {
            local.force_report();
        }
    }

    /// Whether reports on an account are also due to the substitutes of its coordinators.
    pub fn needs_substitutes(&self, account: &Name, now_us: u64) -> bool {
        self.accounts.get(account).is_some_and(|local| local.needs_substitutes(now_us))
    }

    /// Whether no account has any state at this node.
    pub fn is_idle(&self) -> bool {
        self.accounts.is_empty() && self.coordinator.is_idle()
    }

    /// Returns the usage reports that are due and marks them as sent.
    pub fn take_reports(&mut self, now_us: u64) -> Vec<AccountUsage> {
        self.has_unreported_account = false;
        self.accounts.retain(|_, local| !local.is_idle(now_us));
        let due = self.accounts.iter_mut().filter(|(_, local)| local.is_report_due(now_us));
        due.map(|(account, local)| local.take_report(account, now_us)).collect()
    }

    /// Stores the shares sent by the coordinator `origin`.
    pub fn receive_shares(&mut self, origin: SocketAddr, shares: &[AccountShare], now_us: u64) {
        for share in shares {
            // A share below 100 % is stored even before the first request of the account at this node.
            let window_us = self.window_us;
            let local = match self.accounts.get_mut(&share.account) {
                Some(local) => local,
                None if f32::from(share.share_per_mille) < PER_MILLE => {
                    let local = || LocalAccount::new(window_us);
                    self.accounts.entry(share.account.clone()).or_insert_with(local)
                }
                None => continue,
            };
            local.receive_share(origin, share, now_us);
        }
    }

    /// Stores a usage report as a coordinator. `reporter` is the address of the reporting node and the
    /// incarnation of its process.
    pub fn receive_report(
        &mut self,
        reporter: (SocketAddr, u64),
        usage: &AccountUsage,
        quota: Quota,
        now_us: u64,
    ) {
        self.coordinator.receive(reporter, usage, quota, now_us);
    }

    /// Returns the share to answer a report on an account with, `None` if this node has none to grant.
    pub fn share(&mut self, account: &Name, fleet_view: FleetView, now_us: u64) -> Option<AccountShare> {
        self.coordinator.share(account, fleet_view.reachable_share, now_us)
    }

    /// Processes a usage report as a coordinator and returns the share to answer with. `reporter` is the
    /// address of the reporting node and the incarnation of its process.
    pub fn coordinate(
        &mut self,
        reporter: (SocketAddr, u64),
        usage: &AccountUsage,
        quota: Quota,
        fleet_view: FleetView,
        now_us: u64,
    ) -> Option<AccountShare> {
        self.receive_report(reporter, usage, quota, now_us);
        self.share(&usage.account, fleet_view, now_us)
    }

    /// Accounts that this node coordinates and whose other coordinator has not been looked up.
    pub fn accounts_without_peer(&self) -> Vec<Name> {
        self.coordinator.accounts_without_peer()
    }

    /// Sets the other coordinator of an account, `None` if this node is the only one.
    pub fn set_peer(&mut self, account: &Name, peer: Option<SocketAddr>, now_us: u64) {
        self.coordinator.set_peer(account, peer, now_us);
    }

    /// Sets one of the coordinators of an account that this node is a substitute for.
    pub fn set_primary(&mut self, account: &Name, primary: SocketAddr, now_us: u64) {
        self.coordinator.set_primary(account, primary, now_us);
    }

    /// Marks the other coordinators of all accounts for a new lookup, after a change of membership.
    pub fn reset_peers(&mut self) {
        self.coordinator.reset_peers();
    }

    /// Records that a message arrived from a node. Returns false if that node is not one of the other
    /// coordinators.
    pub fn record_message(&mut self, from: SocketAddr, now_us: u64) -> bool {
        self.coordinator.record_message(from, now_us)
    }

    /// Returns the other coordinators that a heartbeat is due to, and marks these heartbeats as sent.
    pub fn take_due_heartbeats(&mut self, now_us: u64) -> Vec<SocketAddr> {
        self.coordinator.take_due_heartbeats(now_us)
    }

    /// Returns the shares that this node, as a coordinator, has to broadcast now, and marks them as sent.
    pub fn take_broadcast(&mut self, fleet_view: FleetView, now_us: u64) -> Vec<AccountShare> {
        self.coordinator.take_broadcast(fleet_view.reachable_share, now_us)
    }
}
