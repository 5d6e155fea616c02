//! The other VMs, as listed by the control process of this VM.

use {
    pointvane_core::{Incarnation, LimitRank, Name, VmState},
    pointvane_mesh::{MemberRow, rank},
    std::net::{IpAddr, SocketAddr},
};

/// Members of the fleet other than this VM.
#[derive(Debug, Default)]
pub struct Members {
    rows: Vec<MemberRow>,
    /// Name of this VM; `None` until the first list has been received.
    own_name: Option<Name>,
}

impl Members {
    /// Creates the list from all rows; the row of this VM is left out.
    pub fn new(mut rows: Vec<MemberRow>, own_name: &Name) -> Self {
        rows.retain(|row| row.identity.name != *own_name);
        Self { rows, own_name: Some(own_name.clone()) }
    }

    /// This entry VM's position among those that may use an upstream; `None` until the first list has been
    /// received.
    ///
    /// All VMs compute the same order by rendezvous hashing. VMs that leave as planned are excluded. VMs that
    /// are believed dead may be running behind a network partition, and count as members that are not
    /// reached.
    pub fn limit_rank(&self, upstream: &Name) -> Option<LimitRank> {
        let own_rank = rank(upstream.as_str(), self.own_name.as_ref()?);
        let is_leaving =
            |row: &&MemberRow| row.state == VmState::Leaving || row.entry.is_some_and(|entry| entry.leaving);
        let staying = || self.rows.iter().filter(|row| !is_leaving(row));
        let reachable = || staying().filter(|row| row.state != VmState::Dead);
        let limit_rank =
            reachable().filter(|row| rank(upstream.as_str(), &row.identity.name) > own_rank).count();
        let (processes, total) = (reachable().count() + 1, staying().count() + 1);
        Some(LimitRank { rank: limit_rank, processes, reachable_share: processes as f64 / total as f64 })
    }

    /// Addresses to which load is sent: entries that are believed to be running.
    pub fn load_peers(&self) -> impl Iterator<Item = SocketAddr> {
        let running = self.rows.iter().filter(|row| row.state != VmState::Dead && row.entry.is_some());
        running.map(row_address)
    }

    /// Addresses from which load is accepted.
    pub fn addresses(&self) -> Vec<IpAddr> {
        self.rows.iter().map(|row| row.identity.address).collect()
    }

    /// Address of an incarnation of an entry; `None` if it is known to have ended or its VM is believed dead.
    pub fn entry_address(&self, vm: &Name, incarnation: Incarnation) -> Option<SocketAddr> {
        let row = self.rows.iter().find(|row| row.identity.name == *vm)?;
        let ended = row.entry.is_some_and(|entry| entry.incarnation != incarnation);
        (row.state != VmState::Dead && !ended).then(|| row_address(row))
    }
}

fn row_address(row: &MemberRow) -> SocketAddr {
    SocketAddr::new(row.identity.address, row.entry_port)
}
