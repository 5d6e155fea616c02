//! Peers that requests are forwarded to, and from which forwarded requests are accepted.

use {
    super::Fleet,
    crate::settings::NodeSettings,
    pointvane_core::{Name, VmState},
    pointvane_dispatch::{AllowedRegions, PeerCandidate, PeerTable},
    pointvane_mesh::MemberRow,
    std::net::{IpAddr, SocketAddr},
};

/// Offset of the port for forwarded requests from the gossip port.
pub const FORWARD_PORT_OFFSET: u16 = 5;

/// The request that a node is chosen for.
#[derive(Clone, Debug)]
pub struct ForwardChoice<'r> {
    /// Its service.
    pub service: &'r Name,
    /// The regions that may serve it.
    pub regions: AllowedRegions,
    /// Nodes that it was forwarded to before.
    pub tried: &'r [SocketAddr],
}

impl Fleet {
    /// Chooses the node to forward a request for `service` to; none if there is none left.
    ///
    /// Considered are nodes that are alive, have read the platform and are not shutting down, as far as is
    /// known, in regions that may serve the request. `tried` holds those it was forwarded to before.
    pub fn choose_forward_peer(
        &self,
        settings: &NodeSettings,
        experience: &PeerTable,
        request: ForwardChoice<'_>,
        now_us: u64,
    ) -> Option<SocketAddr> {
        let membership = self.membership.borrow();
        let local = &membership.local_row().identity.data_centre;
        let regions = &request.regions;
        let is_allowed = |row: &&MemberRow| {
            *regions == AllowedRegions::ANY || regions.allow(settings.regions.get(&row.identity.data_centre))
        };
        let rows = membership.rows().skip(1).filter(|row| accepts_forwards(row)).filter(is_allowed);
        let candidates = rows.map(|row| PeerCandidate {
            address: SocketAddr::new(row.identity.address, row.control_port + FORWARD_PORT_OFFSET),
            is_near: row.identity.data_centre == *local,
        });
        let mut rng = self.rng.borrow_mut();
        experience.choose(request.service, candidates, request.tried, now_us, &mut rng)
    }

    /// Whether an address belongs to another node of the fleet that is not known to be dead.
    pub fn is_member(&self, address: IpAddr) -> bool {
        let membership = self.membership.borrow();
        let mut others = membership.rows().skip(1).filter(|row| row.state != VmState::Dead);
        others.any(|row| row.identity.address == address)
    }
}

fn accepts_forwards(row: &MemberRow) -> bool {
    row.state == VmState::Live && row.stamp.revision > 0 && row.entry.is_some_and(|entry| !entry.leaving)
}
