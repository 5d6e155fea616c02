//! Metrics of the control process; docs/METRICS.md lists them.

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Meter},
};

/// Counters of the control process.
#[derive(Clone, Debug)]
pub struct ControlCounters {
    sent_bytes: Counter<u64>,
    sent_datagrams: Counter<u64>,
    dropped: Counter<u64>,
    platform_reads: Counter<u64>,
    fetched_bytes: Counter<u64>,
    served_bytes: Counter<u64>,
}

impl ControlCounters {
    /// Creates the counters on `meter`.
    pub fn new(meter: &Meter) -> Self {
        let counter = |name: &'static str| meter.u64_counter(name).build();
        Self {
            sent_bytes: counter("pointvane_gossip_sent_bytes"),
            sent_datagrams: counter("pointvane_gossip_sent_datagrams"),
            dropped: counter("pointvane_gossip_dropped_datagrams"),
            platform_reads: counter("pointvane_platform_reads"),
            fetched_bytes: counter("pointvane_values_fetched_bytes"),
            served_bytes: counter("pointvane_values_served_bytes"),
        }
    }

    /// Counts a sent datagram; `bytes` includes the IP and UDP headers.
    pub fn record_sent(&self, bytes: usize) {
        self.sent_datagrams.add(1, &[]);
        self.sent_bytes.add(bytes as u64, &[]);
    }

    /// Counts a received datagram that could not be decoded.
    pub fn record_dropped(&self) {
        self.dropped.add(1, &[]);
    }

    /// Counts one read of the platform; `key` names the value read.
    pub fn record_platform_read(&self, key: &'static str) {
        self.platform_reads.add(1, &[KeyValue::new("key", key)]);
    }

    /// Counts the bytes of a value fetched from a peer.
    pub fn record_fetched(&self, bytes: usize) {
        self.fetched_bytes.add(bytes as u64, &[]);
    }

    /// Counts the bytes of a value served to a peer.
    pub fn record_served(&self, bytes: usize) {
        self.served_bytes.add(bytes as u64, &[]);
    }
}
