//! Options of membership.

use std::net::SocketAddr;

/// Timeouts, intervals and fan-outs of membership; the node and the settings of a VM override some of the
/// defaults.
#[derive(Clone, Debug)]
pub struct MembershipOptions {
    /// Interval between two pings by one process, in milliseconds.
    pub probe_interval_ms: u64,
    /// Time from suspicion until a member is declared dead, in milliseconds.
    pub suspect_ms: u64,
    /// Number of members that are sent a ping-req when a member does not answer; also the number of dead
    /// members and seeds that are pinged in one round.
    pub indirect_ping_targets: usize,
    /// Number of members that an announcement is sent to. With 4, a revision reaches 170 members within 3 s
    /// at 5 % datagram loss (`a_revision_reaches_all_within_the_bound_though_datagrams_are_lost`).
    pub announce_fan_out: usize,
    /// Time for which the rows of dead members are kept, in milliseconds.
    pub dead_retention_ms: u64,
    /// Number of rounds (probe intervals) between two pings of dead members and seeds. If no member is alive, they
    /// are pinged in every round.
    pub reconnect_interval_rounds: u64,
    /// Addresses that are pinged to join the fleet after a start, and to rejoin it after a network partition.
    pub seeds: Vec<SocketAddr>,
}

impl Default for MembershipOptions {
    fn default() -> Self {
        Self {
            probe_interval_ms: 500,
            suspect_ms: 2_000,
            indirect_ping_targets: 2,
            announce_fan_out: 4,
            dead_retention_ms: 600_000,
            reconnect_interval_rounds: 4,
            seeds: Vec::new(),
        }
    }
}
