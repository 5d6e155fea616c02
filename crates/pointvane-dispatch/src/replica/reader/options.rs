//! Times and counts of reading the platform.

/// Times and counts of reading the platform.
///
/// The users' rules bound how long a published change may take to be in force, also when watchers fail; the tests of
/// `tests/reader.rs` play these times against a simulated platform. Figures marked so were not measured at other values.
#[derive(Clone, Copy, Debug)]
pub struct ReaderOptions {
    /// Longest wait of a watcher for a change, in milliseconds. Not measured.
    ///
    /// A watch that hangs since the platform went away is noticed only when its wait is over.
    pub wait_ms: u64,
    /// Longest time to the first byte of the platform's answer beyond the wait that was asked for, in milliseconds. Not measured.
    pub timeout_ms: u64,
    /// Longest time to the first byte of a peer's answer, in milliseconds. Not measured.
    pub peer_timeout_ms: u64,
    /// Peers that are queried for a state before the platform is. Not measured at other values; queries and standbys together
    /// took the calls on grown Heatline's quiet-1 from 1,263 to 220 (docs/MEASUREMENTS.md, "The round on NEWS-24").
    pub peer_queries: u32,
    /// Pause after a peer that knows no more, in milliseconds. Not measured.
    pub declined_pause_ms: u64,
    /// Peers that are queried after the start before the platform is. Not measured at other values.
    pub start_queries: u32,
    /// Longest time to the first byte of each of their answers, in milliseconds: when all nodes start together, none knows anything.
    ///
    /// A short one was kept together with the probe savings (docs/MEASUREMENTS.md, as above: 0.628).
    pub start_timeout_ms: u64,
    /// Longest time for a connection to the first of them, in milliseconds; twice as long for the others. Not measured: many times the way
    /// between data centres of a region, where a node that has no power says nothing.
    pub start_connect_timeout_ms: u64,
    /// Time over which nodes that start read the platform themselves unless peers have answered, in milliseconds; 0 where a node reads
    /// after its queries.
    pub start_spread_ms: u64,
    /// Pause between two of these queries, in milliseconds.
    pub start_pause_ms: u64,
    /// Time within which peers must have brought a new state, in milliseconds; then the platform is called. Not measured: it leaves
    /// half of the users' bound for changes to that call.
    pub catch_up_ms: u64,
    /// Time over which all nodes query peers for a new state, in milliseconds. Not measured.
    pub spread_ms: u64,
    /// Size of a watch's answer up to which it is read however small the platform's state is, in bytes.
    ///
    /// Worked out, not measured: it takes 0.2 s at 10 Mbit/s, less than a second call and its answer take together.
    pub answer_bytes_min: usize,
    /// Pause of a watcher between the first byte of an answer with changes and the next call, in milliseconds, so that changes come
    /// in batches. Not measured apart; batches of 1 s were used first (docs/MEASUREMENTS.md, "The way there").
    pub settle_ms: u64,
    /// First pause after a failed call, in milliseconds; it doubles. Not measured.
    pub retry_ms: u64,
    /// Longest pause of a watcher after failed calls, in milliseconds.
    ///
    /// With `timeout_ms` it bounds how late the platform's return is noticed: both and `grace_ms` together must stay under the 3 s
    /// after which the users count a node as in touch again (`reader::expired_entries_are_dropped_before_nodes_are_in_touch_again`).
    pub retry_max_ms: u64,
    /// Longest pause of all other nodes after failed calls, in milliseconds: their calls add up. Not measured. In a large fleet
    /// `turns_per_s` makes it longer.
    pub retry_others_max_ms: u64,
    /// Followers that call soon after one another when no reader is heard, by then sparsely. Not measured: where the platform turns away
    /// a third of the nodes, none of twenty is answered but once in a billion times.
    pub first_turns: f64,
    /// Calls a second of these, whatever the size of the fleet. Not measured at other values: the first calls some 25 ms after
    /// `follower_wait_min_ms`.
    pub first_turns_per_s: f64,
    /// Calls a second that all followers together make after these and after failed calls, whatever the size of the fleet.
    ///
    /// A platform that refuses all for 9 s was called 3,680 times in 16 s by 472 nodes and 13,777 times by 1,800 while each node paused for
    /// `retry_others_max_ms` at most, 229 and 231 times so (simulated fleet, `tests/large_fleets.rs`).
    pub turns_per_s: f64,
    /// Time after which a peer's later revision makes this node catch up, in milliseconds. Not measured.
    pub behind_ms: u64,
    /// Lease: age of the platform's last answer up to which it counts as current, in milliseconds. Not measured.
    pub lease_ms: u64,
    /// Shortest time that a follower waits for a standby's relay after the lease, in milliseconds. Not measured.
    pub follower_wait_min_ms: u64,
    /// Time without the platform after which it may have dropped entries of live upstreams, in milliseconds. Not measured.
    pub outage_ms: u64,
    /// Grace period after its return within which such entries come back, in milliseconds.
    ///
    /// The users say about two seconds. With 2.2 s a day with such an outage gave 0.837 on Heatline, 0.734 before
    /// (docs/MEASUREMENTS.md, "The round on NEWS-24"); why no longer: see `retry_max_ms`.
    pub grace_ms: u64,
    /// Time for which peers have read on after which an outage counts as this node's own, in milliseconds. Not measured.
    pub own_outage_ms: u64,
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
            first_turns: 20.0,
            first_turns_per_s: 40.0,
            turns_per_s: 5.0,
            behind_ms: 500,
            lease_ms: 1_450,
            follower_wait_min_ms: 120,
            outage_ms: 2_500,
            grace_ms: 2_150,
            own_outage_ms: 1_000,
        }
    }
}
