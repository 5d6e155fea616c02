//! The UDP sockets to other nodes. A datagram that cannot be sent immediately is dropped: all protocols here
//! tolerate lost datagrams.

use {
    super::Fleet,
    std::{net::SocketAddr, rc::Rc},
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
}

impl Fleet {
    /// Sets the sockets. Must be called once, before the first datagram is sent.
    pub fn set_sockets(&self, sockets: Sockets) {
        // A second call has no effect.
        _ = self.sockets.set(sockets);
    }

    /// Sends a gossip datagram to another node.
    pub fn send_gossip(&self, bytes: &[u8], to: SocketAddr) {
        self.send(bytes, to, |sockets| &sockets.gossip);
    }

    /// Sends a relay to another node.
    pub fn send_relay(&self, bytes: &[u8], to: SocketAddr) {
        self.send(bytes, to, |sockets| &sockets.relays);
    }

    /// Sends a quarantine message to another node.
    pub fn send_quarantine_update(&self, bytes: &[u8], to: SocketAddr) {
        self.send(bytes, to, |sockets| &sockets.quarantine);
    }

    /// Sends a quota message to another node.
    pub fn send_quotas(&self, bytes: &[u8], to: SocketAddr) {
        self.send(bytes, to, |sockets| &sockets.quotas);
    }

    /// Sends a limit message to another node.
    pub fn send_limits(&self, bytes: &[u8], to: SocketAddr) {
        self.send(bytes, to, |sockets| &sockets.limits);
    }

    /// Sends a contention message to another node.
    pub fn send_contention(&self, bytes: &[u8], to: SocketAddr) {
        self.send(bytes, to, |sockets| &sockets.contention);
    }

    fn send(&self, bytes: &[u8], to: SocketAddr, socket: impl Fn(&Sockets) -> &Rc<UdpSocket>) {
        if let Some(sockets) = self.sockets.get() {
            _ = socket(sockets).try_send_to(bytes, to);
        }
    }
}
