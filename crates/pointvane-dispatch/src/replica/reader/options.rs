//! Timeouts, intervals and limits of reading the platform.

/// Timeouts, intervals and limits of reading the platform.
///
/// The requirements bound how long a published change may take to reach all nodes, even when watchers fail;
/// `tests/reader.rs` checks the defaults against a simulated platform.
#[derive(Clone, Copy, Debug)]
pub struct ReaderOptions {
    /// Longest wait of a watcher for a change, in milliseconds.
    ///
    /// A watch that hangs because the platform became unreachable is noticed only when its wait is over.
    pub wait_ms: u64,
    /// Timeout for the first byte of a platform response beyond the requested wait, in milliseconds.
    pub timeout_ms: u64,
    /// Timeout for the first byte of a peer's response, in milliseconds.
    pub peer_timeout_ms: u64,
    /// Peers queried for a new state before the platform is called. Together with the standbys, these queries
    /// reduced the calls to the platform in one run from 1,263 to 220.
    pub peer_queries: u32,
    /// Pause after a peer responded that it knows nothing newer, in milliseconds.
    pub declined_pause_ms: u64,
    /// Peers queried after the start before the platform is called.
    pub start_queries: u32,
    /// Timeout for the first byte of each of their responses, in milliseconds. Short, because no node has any
    /// state when all start together.
    pub start_timeout_ms: u64,
    /// Timeout for the connection to the first of them, in milliseconds; doubled for the others. Many times
    /// the latency between data centres of a region; a node without power does not respond at all.
    pub start_connect_timeout_ms: u64,
    /// Period over which starting nodes read the platform themselves unless peers have supplied a state, in
    /// milliseconds. With 0 a node reads right after its queries.
    pub start_spread_ms: u64,
    /// Pause between two of these queries, in milliseconds.
    pub start_pause_ms: u64,
    /// Time for peers to supply a new state before the platform is called, in milliseconds. Leaves half of
    /// the required bound on propagation for that call.
    pub catch_up_ms: u64,
    /// Period over which all nodes spread their queries for a new state, in milliseconds.
    pub spread_ms: u64,
    /// Size up to which the response to a watch is read however small the platform's state is, in bytes.
    ///
    /// Transfers in 0.2 s at 10 Mbit/s, less than a second call and its response take together.
    pub answer_bytes_min: usize,
    /// Interval between the first byte of a response with changes and the next call of a watcher, in
    /// milliseconds, so that changes are batched.
    pub settle_ms: u64,
    /// First pause after a failed call, in milliseconds; doubles with each further failure.
    pub retry_ms: u64,
    /// Longest pause of a watcher after failed calls, in milliseconds.
    ///
    /// Together with `timeout_ms` it bounds how late the recovery of the platform is noticed. Both and
    /// `grace_ms` must add up to less than the 3 s after which a node is required to be connected again
    /// (`reader::expired_entries_are_removed_before_nodes_must_be_connected_again`).
    pub retry_max_ms: u64,
    /// Longest pause of all other nodes after failed calls, in milliseconds. Longer than that of a watcher,
    /// because the calls of many nodes add up. `polls_per_s` extends it in a large fleet.
    pub retry_others_max_ms: u64,
    /// Number of followers that poll in quick succession once their leases have expired; the others follow at
    /// the lower rate `polls_per_s`. If the platform refuses a third of the nodes, the chance that it refuses
    /// all of twenty is below one in a billion.
    pub initial_polls: f64,
    /// Rate of these initial polls in calls per second, whatever the size of the fleet. The first comes about
    /// 25 ms after `follower_wait_min_ms`.
    pub initial_polls_per_s: f64,
    /// Calls per second of all followers together after the initial polls and after failed calls, whatever
    /// the size of the fleet.
    ///
    /// With pauses of at most `retry_others_max_ms`, a platform that refused all calls for 9 s was called
    /// 3,680 times in 16 s by 472 nodes and 13,777 times by 1,800; with this limit 229 and 231 times
    /// (simulated fleet, `tests/large_fleets.rs`).
    pub polls_per_s: f64,
    /// Time after which a peer's later revision makes this node catch up, in milliseconds.
    pub behind_ms: u64,
    /// Lease: age of the platform's last response up to which the state counts as current, in milliseconds.
    pub lease_ms: u64,
    /// Shortest time a follower waits for a standby's relay after its lease has expired, in milliseconds.
    pub follower_wait_min_ms: u64,
    /// Time without a platform response after which entries of live upstreams may have expired, in
    /// milliseconds.
    pub outage_ms: u64,
    /// Grace period after the platform has recovered, within which such entries may be registered again, in
    /// milliseconds.
    ///
    /// Upstreams are expected to register again within about two seconds. `retry_max_ms` explains the upper
    /// limit.
    pub grace_ms: u64,
    /// Time for which peers must have been ahead for an outage to count as local to this node, in
    /// milliseconds.
    pub local_outage_ms: u64,
}

impl Default for ReaderOptions {
    fn default() -> Self {
        Self {
            wait_ms: 1_200,
            timeout_ms: 700,
            peer_timeout_ms: 200,
            peer_queries: 2,
            declined_pause_ms: 120,
            start_queries: 1,
            start_timeout_ms: 40,
            start_connect_timeout_ms: 30,
            start_spread_ms: 0,
            start_pause_ms: 0,
            catch_up_ms: 800,
            spread_ms: 300,
            answer_bytes_min: 256 << 10,
            settle_ms: 300,
            retry_ms: 100,
            retry_max_ms: 200,
            retry_others_max_ms: 1_600,
            initial_polls: 20.0,
            initial_polls_per_s: 40.0,
            polls_per_s: 5.0,
            behind_ms: 500,
            lease_ms: 1_450,
            follower_wait_min_ms: 120,
            outage_ms: 2_500,
            grace_ms: 2_150,
            local_outage_ms: 1_000,
        }
    }
}
