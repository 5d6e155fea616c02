//! Quotas of client accounts over the whole fleet: whether a request of an account is admitted.
//!
//! Decided once for each request, from what this node knows; no request waits for another node. Nodes report what they have admitted of
//! an account within the window (`quota/local.rs`) to its coordinators (`quota/coordinator.rs`), and again to others that take their place.
//! While the account is well within its quota everything is admitted. Near it, coordinators tell all nodes which part of its requests to admit, drawn at random, so that callers of all nodes are
//! treated alike however few each node sees. Inputs: the account's quota, the part told last, whether other nodes and coordinators are
//! heard. A node that hears nobody, or gets no answer to its reports, admits an equal part of the quota (`quota/allowance.rs`): its callers are told to retry
//! soon, and find other nodes. Coordinators that no longer hear each other (`quota/peers.rs`) divide the quota. A request that is admitted and then not sent is given back.
//!
//! Invariant: in any window the nodes together admit at most the quota, and beyond it what arrives before the coordinators know of it.
//! Tests: `tests/quota.rs`, `tests/quota_peers.rs`, in fleets `tests/quota_fleet.rs`.

mod allowance;
mod coordinator;
mod local;
mod messages;
mod peers;
mod usage;

pub use messages::{ACCOUNTS_MAX, AccountShare, AccountUsage, QuotaMessage, ToldUse};

use {
    coordinator::Coordinator,
    local::{AdmitTerms, LocalAccount},
    messages::PER_MILLE,
    pointvane_core::{Name, Quota},
    std::{collections::HashMap, net::SocketAddr},
};

/// What a node sees of the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetContact {
    /// Whether other nodes are heard; also where there are none.
    pub connected: bool,
    /// Nodes of the fleet, this one included; none while none of the others was ever heard.
    pub nodes: Option<usize>,
    /// The part of them that can be reached, from 0 to 1.
    pub reached_share: f64,
}

/// What becomes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaDecision {
    /// It is within the quota.
    Admitted,
    /// It is not.
    Refused {
        /// When its caller should retry, in milliseconds.
        retry_after_ms: u32,
    },
}

/// The quotas of accounts, as one node knows them.
#[derive(Clone, Debug)]
pub struct Quotas {
    window_us: u64,
    started_us: u64,
    accounts: HashMap<Name, LocalAccount>,
    has_unknown: bool,
    coordinator: Coordinator,
}

impl Quotas {
    /// Nothing was admitted yet; quotas hold over windows of so many microseconds.
    pub fn new(window_us: u64, now_us: u64) -> Self {
        Self {
            window_us,
            started_us: now_us,
            accounts: HashMap::new(),
            has_unknown: false,
            coordinator: Coordinator::new(window_us, now_us),
        }
    }

    /// Whether a request of an account is admitted; `draw` lies between 0 and 1.
    pub fn admit(
        &mut self,
        account: &Name,
        quota: Quota,
        contact: FleetContact,
        now_us: u64,
        draw: f32,
    ) -> QuotaDecision {
        let window_us = self.window_us;
        let local = match self.accounts.get_mut(account) {
            Some(local) => local,
            None => self.accounts.entry(account.clone()).or_insert_with(|| LocalAccount::new(window_us)),
        };
        self.has_unknown |= local.was_never_reported();
        let life_us = now_us.saturating_sub(self.started_us);
        local.admit(&AdmitTerms { quota: quota.in_window(window_us), contact, life_us, now_us, draw })
    }

    /// Takes back a request that was admitted at a time and not sent.
    pub fn give_back(&mut self, account: &Name, admitted_at_us: u64) {
        if let Some(local) = self.accounts.get_mut(account) {
            local.give_back(admitted_at_us);
        }
    }

    /// Whether an account was used of which no report was sent: its share is to be asked for at once.
    pub fn has_unknown(&self) -> bool {
        self.has_unknown
    }

    /// The accounts of which requests were admitted or offered within the window.
    pub fn accounts(&self) -> impl Iterator<Item = &Name> {
        self.accounts.keys()
    }

    /// Has an account reported at once: others coordinate it now, and know nothing of what was admitted.
    pub fn report_again(&mut self, account: &Name) {
        if let Some(local) = self.accounts.get_mut(account) {
            local.report_again();
        }
    }

    /// Whether nothing is known of any account.
    pub fn is_idle(&self) -> bool {
        self.accounts.is_empty() && self.coordinator.is_idle()
    }

    /// What the coordinators have to learn now.
    pub fn take_reports(&mut self, now_us: u64) -> Vec<AccountUsage> {
        self.has_unknown = false;
        self.accounts.retain(|_, local| !local.is_idle(now_us));
        let due = self.accounts.iter_mut().filter(|(_, local)| local.is_report_due(now_us));
        due.map(|(account, local)| local.take_report(account, now_us)).collect()
    }

    /// Takes a coordinator's shares.
    pub fn receive_shares(&mut self, origin: SocketAddr, shares: &[AccountShare], now_us: u64) {
        for share in shares {
            // Whoever has not seen the account is to know all the same that it is near its quota.
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

    /// Takes, as a coordinator, what a life of a node uses of an account; gives the share that answers it.
    pub fn coordinate(
        &mut self,
        reporter: (SocketAddr, u64),
        usage: &AccountUsage,
        quota: Quota,
        contact: FleetContact,
        now_us: u64,
    ) -> Option<AccountShare> {
        self.coordinator.receive(reporter, usage, quota, now_us);
        self.coordinator.share(&usage.account, contact.reached_share, now_us)
    }

    /// The accounts that this node coordinates and of which it does not know who else does.
    pub fn accounts_without_peer(&self) -> Vec<Name> {
        self.coordinator.accounts_without_peer()
    }

    /// Takes note of the other coordinator of an account; none if this node is the only one.
    pub fn set_peer(&mut self, account: &Name, peer: Option<SocketAddr>, now_us: u64) {
        self.coordinator.set_peer(account, peer, now_us);
    }

    /// Has the other coordinators of all accounts looked up again: the membership has changed.
    pub fn forget_peers(&mut self) {
        self.coordinator.forget_peers();
    }

    /// Takes note of a message of another node; false if that is none of the other coordinators.
    pub fn heard(&mut self, from: SocketAddr, now_us: u64) -> bool {
        self.coordinator.heard(from, now_us)
    }

    /// The other coordinators that are due for a heartbeat now.
    pub fn take_heartbeats(&mut self, now_us: u64) -> Vec<SocketAddr> {
        self.coordinator.take_heartbeats(now_us)
    }

    /// Shares that this node, as a coordinator, has to tell all nodes now.
    pub fn take_broadcast(&mut self, contact: FleetContact, now_us: u64) -> Vec<AccountShare> {
        self.coordinator.take_broadcast(contact.reached_share, now_us)
    }
}
