//! State of one VM of the fleet as exchanged between members, and the precedence of such states.

use {
    crate::replication::Stamp,
    pointvane_core::{Incarnation, VmIdentity, VmState},
    serde::{Deserialize, Serialize},
    std::{cmp::Ordering, net::SocketAddr},
};

/// State of a VM's entry process as its control process last published it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRow {
    /// Incarnation of the entry process; request keys contain it.
    pub incarnation: Incarnation,
    /// Number of requests in flight and waiting.
    pub requests: u32,
    /// Whether the process is shutting down gracefully.
    pub leaving: bool,
}

/// State of one VM, as exchanged between control processes or nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRow {
    /// Identity of the VM, with the incarnation of its control process.
    pub identity: VmIdentity,
    /// Port of its control process.
    pub control_port: u16,
    /// Port of its entry process.
    pub entry_port: u16,
    /// Membership state of the VM as its sender knows it.
    pub state: VmState,
    /// Version of the row within the incarnation (SWIM's incarnation number); the VM refutes a suspicion by
    /// raising it.
    pub version: u32,
    /// Its entry process; `None` while that is not running.
    pub entry: Option<EntryRow>,
    /// Stamp of the configuration that it holds.
    pub stamp: Stamp,
    /// Bandwidth of its network link, in Mbit/s; 0 if unknown.
    pub link_mbps: u32,
}

/// Precedence of a row among rows about the same VM; the row with the greatest precedence is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Precedence {
    incarnation: Incarnation,
    dead: bool,
    version: u32,
    state_rank: u8,
}

impl MemberRow {
    /// Address at which its control process receives datagrams and accepts streams.
    pub fn control_address(&self) -> SocketAddr {
        SocketAddr::new(self.identity.address, self.control_port)
    }

    /// The row's precedence: by incarnation, then [`VmState::Dead`] over all other states, then by version,
    /// then by state.
    pub fn precedence(&self) -> Precedence {
        let state_rank = match self.state {
            VmState::Live => 0,
            VmState::Suspect => 1,
            VmState::Leaving => 2,
            VmState::Dead => 3,
        };
        let dead = self.state == VmState::Dead;
        Precedence { incarnation: self.identity.incarnation, dead, version: self.version, state_rank }
    }

    /// Whether new callers may be sent to its entry process.
    pub fn accepts_callers(&self) -> bool {
        self.state == VmState::Live && self.entry.is_some_and(|entry| !entry.leaving)
    }
}

/// A member's row with this process's local bookkeeping.
#[derive(Clone, Debug)]
pub struct Member {
    /// The member's row.
    pub row: MemberRow,
    /// Local time of the last change of state, in microseconds.
    pub changed_at_us: u64,
    /// Local time from which the row is sent to other members, in microseconds.
    pub sent_since_us: u64,
    /// How many more times the row is sent to other members.
    pub transmissions_left: u32,
}

impl Member {
    /// Starts to send the row to other members.
    pub fn start_transmissions(&mut self, transmissions: u32, now_us: u64) {
        self.transmissions_left = transmissions;
        self.sent_since_us = now_us;
    }

    /// Compares the precedence of a received row with that of the stored row.
    pub fn compare(&self, received: &MemberRow) -> Ordering {
        received.precedence().cmp(&self.row.precedence())
    }
}
