//! Checks that upstreams that left receive no requests after the allowed time.

use {
    crate::{fleet::Fleet, record::Record, upstreams::ListedUpstream},
    std::time::{Duration, Instant},
};

/// Time from the store's acknowledgement that an upstream leaves until reachable nodes must send it nothing
/// more: 2 s by the rules, plus 0.5 s for loopback and a busy machine. Wall clock; no node is checked while
/// the machine stalls.
const STOP_SENDING_WITHIN: Duration = Duration::from_millis(2_500);

/// Checks arrivals at upstreams that left; returns how many left and how many requests arrived after the
/// acknowledgement.
pub fn check(fleet: &Fleet, record: &Record) -> (usize, usize) {
    let departed: Vec<(ListedUpstream, Instant)> = fleet
        .upstreams()
        .into_iter()
        .filter_map(|listed| listed.left_at.map(|left_at| (listed, left_at)))
        .collect();
    let mut arrivals_after = 0;
    for (listed, left_at) in &departed {
        for (id, at) in listed.upstream.arrivals.lock().unwrap().iter().filter(|(_, at)| at > left_at) {
            arrivals_after += 1;
            let late = at.duration_since(*left_at);
            if late > STOP_SENDING_WITHIN && is_path_fault_free(fleet, listed, id, *at) {
                record
                    .add_violation(format!("{id} reached {} {late:?} after it had left", listed.upstream.id));
            }
        }
    }
    (departed.len(), arrivals_after)
}

/// Returns whether the sending node, the upstream's link and the machine were free of faults at `at`, so that
/// bounds apply.
pub fn is_path_fault_free(fleet: &Fleet, listed: &ListedUpstream, id: &str, at: Instant) -> bool {
    let Some(node) = node_index_of(id).and_then(|index| fleet.nodes.get(index)) else {
        return true;
    };
    [&node.faults, &listed.faults, &fleet.machine_stalls].iter().all(|faults| faults.is_fault_free(at, at))
}

/// Returns the index of the node that a request was sent to, which its ID contains.
pub fn node_index_of(id: &str) -> Option<usize> {
    id.split('-').nth(1)?.parse().ok()
}
