//! The UDP sockets to other nodes. A datagram that cannot be sent immediately is dropped: all protocols here
//! tolerate lost datagrams.

use {
    super::Fleet,
    crate::cross_traffic::{CrossTraffic, TrafficKind},
    std::{
        net::{IpAddr, SocketAddr},
        rc::Rc,
    },
    tokio::net::UdpSocket,
};

/// The UDP sockets to other nodes.
#[derive(Clone, Debug)]
pub struct Sockets {
    /// For membership gossip.
    pub gossip: Rc<UdpSocket>,
    /// For relays of platform state.
    pub relays: Rc<UdpSocket>,
    /// For updates on quarantined requests.
    pub quarantine: Rc<UdpSocket>,
    /// For quotas of client accounts.
    pub quotas: Rc<UdpSocket>,
    /// For limits of upstreams.
    pub limits: Rc<UdpSocket>,
    /// For load reports on contended services.
    pub contention: Rc<UdpSocket>,
    /// Counts datagrams to other data centres.
    pub traffic: CrossTraffic,
}

impl Fleet {
    /// Sets the sockets. Must be called once, before the first datagram is sent.
    pub fn set_sockets(&self, sockets: Sockets) {
        // A second call has no effect.
        _ = self.sockets.set(sockets);
    }

    /// Sends a gossip datagram to another node.
    pub fn send_gossip(&self, bytes: &[u8], to: SocketAddr) {
        self.send(bytes, to, TrafficKind::Gossip, |sockets| &sockets.gossip);
    }

    /// Sends a relay to another node.
    pub fn send_relay(&self, bytes: &[u8], to: SocketAddr) {
        self.send(bytes, to, TrafficKind::Relay, |sockets| &sockets.relays);
    }

    /// Sends a quarantine message to another node.
    pub fn send_quarantine_update(&self, bytes: &[u8], to: SocketAddr) {
        self.send(bytes, to, TrafficKind::Quarantine, |sockets| &sockets.quarantine);
    }

    /// Sends a quota message to another node.
    pub fn send_quotas(&self, bytes: &[u8], to: SocketAddr) {
        self.send(bytes, to, TrafficKind::Quota, |sockets| &sockets.quotas);
    }

    /// Sends a limit message to another node.
    pub fn send_limits(&self, bytes: &[u8], to: SocketAddr) {
        self.send(bytes, to, TrafficKind::Limit, |sockets| &sockets.limits);
    }

    /// Sends a contention message to another node.
    pub fn send_contention(&self, bytes: &[u8], to: SocketAddr) {
        self.send(bytes, to, TrafficKind::Contention, |sockets| &sockets.contention);
    }

    fn send(
        &self,
        bytes: &[u8],
        to: SocketAddr,
        kind: TrafficKind,
        socket: impl Fn(&Sockets) -> &Rc<UdpSocket>,
    ) {
        let Some(sockets) = self.sockets.get() else { return };
        if socket(sockets).try_send_to(bytes, to).is_ok() && self.is_in_other_data_centre(to.ip()) {
            sockets.traffic.sent(kind, bytes.len());
        }
    }

    /// Whether a node at this address is known and belongs to another data centre.
    pub fn is_in_other_data_centre(&self, address: IpAddr) -> bool {
        let membership = self.membership.borrow();
        let row = membership.rows().find(|row| row.identity.address == address);
        row.is_some_and(|row| row.identity.data_centre != membership.local_row().identity.data_centre)
    }
}
