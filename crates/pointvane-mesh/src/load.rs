//! Exchange of load between entry VMs (in the deployment form with three programs only): the datagram, its
//! sender, which keeps to a bandwidth budget, and its receiver.

use {
    crate::codec::{self, CodecError, IP_UDP_HEADER_BYTES},
    pointvane_core::{Incarnation, Observation, ObservedLimit, US_PER_MS, US_PER_S},
    serde::{Deserialize, Serialize},
    std::{collections::HashMap, net::IpAddr},
};

/// The load that one entry VM reports to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadDatagram {
    /// Incarnation of the sender's entry process.
    pub incarnation: Incarnation,
    /// Sequence number of the sender's datagrams in this incarnation; the first is 1.
    pub sequence: u64,
    /// Revision of the configuration that the positions refer to.
    pub revision: u64,
    /// The sender's requests in flight and waiting, over all services.
    pub requests: u32,
    /// Observed load, by service.
    pub services: Vec<ServiceLoad>,
}

/// The load of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Position of the service in the configuration.
    pub position: u16,
    /// Observed load of the service's upstreams.
    pub observations: Vec<Observation>,
}

/// The request limits that the upstreams of one service advertise.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLimits {
    /// Position of the service in the configuration.
    pub position: u16,
    /// The advertised limits.
    pub limits: Vec<ObservedLimit>,
}

/// A load datagram with the advertised limits.
///
/// Without limits it is encoded as a plain [`LoadDatagram`], which entry VMs of releases without limits can
/// decode; they drop messages that contain limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadMessage {
    /// The load datagram.
    pub load: LoadDatagram,
    /// Advertised limits, by service.
    pub limits: Vec<ServiceLimits>,
}

impl LoadMessage {
    fn encode(&self) -> Result<Vec<u8>, CodecError> {
        if self.limits.is_empty() { codec::encode(&self.load) } else { codec::encode(self) }
    }

    fn decode(bytes: &[u8]) -> Result<Self, CodecError> {
        let load = codec::decode(bytes).map(|load| Self { load, limits: Vec::new() });
        load.or_else(|_| codec::decode(bytes))
    }
}

/// Limits on what a [`LoadSender`] sends.
#[derive(Clone, Debug)]
pub struct LoadSenderOptions {
    /// Bandwidth budget in bytes per second, IP and UDP headers included.
    pub bytes_per_s: u32,
    /// Maximum number of observations in one datagram.
    pub observations_max: usize,
    /// Maximum number of peers that one round is sent to.
    pub peers_max: usize,
    /// Minimum interval between two rounds, in milliseconds.
    pub interval_min_ms: u64,
}

impl Default for LoadSenderOptions {
    fn default() -> Self {
        Self { bytes_per_s: 15_000, observations_max: 12, peers_max: 32, interval_min_ms: 5 }
    }
}

/// Decides when load is sent, and keeps to the bandwidth budget with a token bucket.
#[derive(Debug)]
pub struct LoadSender {
    options: LoadSenderOptions,
    incarnation: Incarnation,
    sequence: u64,
    budget_bytes: f64,
    refilled_at_us: u64,
    last_round_at_us: u64,
    /// Size of the last round's datagram, used to estimate the cost of the next round.
    datagram_bytes: usize,
}

/// Estimated size of the first datagram, in bytes, before any has been encoded.
const INITIAL_DATAGRAM_BYTES: usize = 60;
/// Capacity of the token bucket, as the time in which the budget refills it, in microseconds.
const BURST_US: u64 = 200 * US_PER_MS;

impl LoadSender {
    /// Creates a sender for this incarnation of the process; its token bucket starts empty.
    pub fn new(options: LoadSenderOptions, incarnation: Incarnation, now_us: u64) -> Self {
        Self {
            options,
            incarnation,
            sequence: 0,
            budget_bytes: 0.0,
            refilled_at_us: now_us,
            last_round_at_us: now_us,
            datagram_bytes: INITIAL_DATAGRAM_BYTES,
        }
    }

    /// Changes the bandwidth budget, in bytes per second.
    pub fn set_bytes_per_s(&mut self, bytes_per_s: u32) {
        self.options.bytes_per_s = bytes_per_s;
    }

    /// Number of rounds sent so far.
    pub fn rounds_sent(&self) -> u64 {
        self.sequence
    }

    /// Maximum number of observations in one datagram.
    pub fn observations_max(&self) -> usize {
        self.options.observations_max
    }

    /// Number of peers, out of `peers`, that a round may be sent to now; 0 while the budget or the minimum
    /// interval forbids a round.
    pub fn round_recipients(&mut self, peers: usize, now_us: u64) -> usize {
        let rate = f64::from(self.options.bytes_per_s);
        let elapsed_us = now_us.saturating_sub(self.refilled_at_us);
        self.refilled_at_us = now_us;
        let burst_bytes = rate * BURST_US as f64 / US_PER_S as f64;
        self.budget_bytes = (self.budget_bytes + rate * elapsed_us as f64 / US_PER_S as f64).min(burst_bytes);
        let too_early =
            now_us.saturating_sub(self.last_round_at_us) < self.options.interval_min_ms * US_PER_MS;
        let recipients = peers.min(self.options.peers_max);
        let cost_bytes = (recipients * (self.datagram_bytes + IP_UDP_HEADER_BYTES)) as f64;
        if too_early || self.budget_bytes < cost_bytes.min(burst_bytes) { 0 } else { recipients }
    }

    /// Encodes the datagram of the next round and charges the budget for sending it to `peers` peers. Returns
    /// `None` if it cannot be encoded, for example because it is too long; nothing is charged then.
    pub fn next_datagram(
        &mut self,
        revision: u64,
        requests: u32,
        content: (Vec<ServiceLoad>, Vec<ServiceLimits>),
        peers: usize,
        now_us: u64,
    ) -> Option<Vec<u8>> {
        self.sequence += 1;
        let (incarnation, sequence) = (self.incarnation, self.sequence);
        let (services, limits) = content;
        let load = LoadDatagram { incarnation, sequence, revision, requests, services };
        let bytes = LoadMessage { load, limits }.encode().ok()?;
        self.datagram_bytes = bytes.len();
        self.budget_bytes -= (peers * (bytes.len() + IP_UDP_HEADER_BYTES)) as f64;
        self.last_round_at_us = now_us;
        Some(bytes)
    }
}

/// Reason why a load datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadDatagramError {
    /// The bytes are not a load datagram of this protocol version.
    Malformed,
    /// The sender is not a member.
    UnknownSender,
    /// The datagram is of an earlier incarnation, a duplicate, or older than one already received.
    Stale,
}

#[derive(Debug, Default)]
struct Peer {
    incarnation: Incarnation,
    sequence: u64,
    requests: u32,
}

/// Accepts load datagrams of members, and drops duplicates and those out of order.
#[derive(Debug, Default)]
pub struct LoadReceiver {
    peers: HashMap<IpAddr, Peer>,
}

impl LoadReceiver {
    /// Sets the members whose datagrams are accepted; the state of all other senders is discarded.
    pub fn set_members(&mut self, addresses: &[IpAddr]) {
        self.peers.retain(|address, _| addresses.contains(address));
        for &address in addresses {
            self.peers.entry(address).or_default();
        }
    }

    /// Decodes a datagram from the network and checks its sender, incarnation and sequence number.
    ///
    /// # Errors
    /// The reason why the datagram was dropped.
    pub fn receive(&mut self, from: IpAddr, bytes: &[u8]) -> Result<LoadMessage, LoadDatagramError> {
        let message = LoadMessage::decode(bytes).map_err(|_| LoadDatagramError::Malformed)?;
        let datagram = &message.load;
        let peer = self.peers.get_mut(&from).ok_or(LoadDatagramError::UnknownSender)?;
        let newer = (datagram.incarnation, datagram.sequence) > (peer.incarnation, peer.sequence);
        if !newer {
            return Err(LoadDatagramError::Stale);
        }
        peer.incarnation = datagram.incarnation;
        peer.sequence = datagram.sequence;
        peer.requests = datagram.requests;
        Ok(message)
    }

    /// Number of requests that a peer last reported; `None` if it has not sent a datagram.
    pub fn requests(&self, from: IpAddr) -> Option<u32> {
        self.peers.get(&from).filter(|peer| peer.sequence > 0).map(|peer| peer.requests)
    }
}
