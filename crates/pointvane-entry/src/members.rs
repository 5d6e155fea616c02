//! The other entry VMs, as this VM's control tells them.

use {
    pointvane_core::{Incarnation, Name, VmState},
    pointvane_mesh::MemberRow,
    std::net::{IpAddr, SocketAddr},
};

/// The other entry VMs.
#[derive(Debug, Default)]
pub struct Members {
    rows: Vec<MemberRow>,
}

impl Members {
    /// The members other than this VM.
    pub fn new(mut rows: Vec<MemberRow>, me: &Name) -> Self {
        rows.retain(|row| row.identity.name != *me);
        Self { rows }
    }

    /// Where load is told: entries that are believed to run.
    pub fn load_peers(&self) -> impl Iterator<Item = SocketAddr> {
        let running = self.rows.iter().filter(|row| row.state != VmState::Dead && row.entry.is_some());
        running.map(entry_address)
    }

    /// Whose load is heard.
    pub fn addresses(&self) -> Vec<IpAddr> {
        self.rows.iter().map(|row| row.identity.address).collect()
    }

    /// Where that life of an entry serves; none if it is known to be over.
    pub fn entry(&self, vm: &Name, incarnation: Incarnation) -> Option<SocketAddr> {
        let row = self.rows.iter().find(|row| row.identity.name == *vm)?;
        let over = row.entry.is_some_and(|entry| entry.incarnation != incarnation);
        (row.state != VmState::Dead && !over).then(|| entry_address(row))
    }
}

fn entry_address(row: &MemberRow) -> SocketAddr {
    SocketAddr::new(row.identity.address, row.entry_port)
}
