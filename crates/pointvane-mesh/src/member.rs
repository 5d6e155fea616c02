//! What is known of one VM of the fleet.

use {
    crate::spread::Stamp,
    pointvane_core::{Incarnation, VmIdentity, VmState},
    serde::{Deserialize, Serialize},
    std::{cmp::Ordering, net::SocketAddr},
};

/// The entry process of a VM, as its control last published.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRow {
    /// The entry process's life, which keys name.
    pub incarnation: Incarnation,
    /// Requests it holds.
    pub requests: u32,
    /// Whether it is stopping as planned.
    pub leaving: bool,
}

/// One VM, as exchanged between controls or nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRow {
    /// Who it is, with its control's life.
    pub identity: VmIdentity,
    /// Port of its control.
    pub control_port: u16,
    /// Port of its entry.
    pub entry_port: u16,
    /// What is believed of it.
    pub state: VmState,
    /// Version of this life's own row; a higher one overrides a suspicion (SWIM's incarnation number).
    pub version: u32,
    /// Its entry process; none while that does not run.
    pub entry: Option<EntryRow>,
    /// The configuration it holds.
    pub stamp: Stamp,
    /// What its link carries, in Mbit/s; 0 where that is not known.
    pub link_mbps: u32,
}

/// Precedence of a row over another about the same VM; the larger is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Precedence {
    incarnation: Incarnation,
    dead: bool,
    version: u32,
    suspicion: u8,
}

impl MemberRow {
    /// Where its control takes datagrams and streams.
    pub fn control_address(&self) -> SocketAddr {
        SocketAddr::new(self.identity.address, self.control_port)
    }

    /// The row's precedence: a later life first, then death, then a higher version, then suspicion.
    pub fn precedence(&self) -> Precedence {
        let suspicion = match self.state {
            VmState::Live => 0,
            VmState::Suspect => 1,
            VmState::Leaving => 2,
            VmState::Dead => 3,
        };
        let dead = self.state == VmState::Dead;
        Precedence { incarnation: self.identity.incarnation, dead, version: self.version, suspicion }
    }

    /// Whether new callers may be sent to its entry.
    pub fn takes_callers(&self) -> bool {
        self.state == VmState::Live && self.entry.is_some_and(|entry| !entry.leaving)
    }
}

/// A row with what this process keeps beside it.
#[derive(Clone, Debug)]
pub struct Member {
    /// The row.
    pub row: MemberRow,
    /// When the state last changed here.
    pub changed_at_us: u64,
    /// How many more times the row is passed on.
    pub transmissions_left: u32,
}

impl Member {
    /// Compares a row that was received with the one held.
    pub fn compare(&self, received: &MemberRow) -> Ordering {
        received.precedence().cmp(&self.row.precedence())
    }
}
