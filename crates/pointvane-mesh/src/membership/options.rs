//! Times and counts of membership.

use std::net::SocketAddr;

/// Times and counts of membership; the node and the settings of a VM replace some of them.
#[derive(Clone, Debug)]
pub struct MembershipOptions {
    /// Time between two pings by one process, in milliseconds. Not measured.
    pub probe_interval_ms: u64,
    /// Time from suspicion to death, in milliseconds. Not measured.
    pub suspect_ms: u64,
    /// Members that get a ping-req when a member does not answer. Not measured.
    pub ping_requests: usize,
    /// Members that an announcement goes to. Not measured: with it a revision reaches 170 members within 3 s though 5 % of
    /// the datagrams are lost (`a_revision_reaches_all_within_the_bound_though_datagrams_are_lost`).
    pub fan_out: usize,
    /// Time for which the dead are remembered, in milliseconds. Not measured.
    pub remember_dead_ms: u64,
    /// Rounds between two pings of dead members or seeds. Not measured.
    pub rounds_per_retry: u64,
    /// Addresses that are pinged first after a start.
    pub seeds: Vec<SocketAddr>,
}

impl Default for MembershipOptions {
    fn default() -> Self {
        Self {
            probe_interval_ms: 500,
            suspect_ms: 2_000,
            ping_requests: 2,
            fan_out: 4,
            remember_dead_ms: 600_000,
            rounds_per_retry: 4,
            seeds: Vec::new(),
        }
    }
}
