//! Whether upstreams that left were sent work too late.

use {
    crate::{directory::Listed, fleet::Fleet, record::Record},
    std::time::{Duration, Instant},
};

/// Time from the store's acknowledgement that an upstream leaves until nodes in touch send it nothing more: 2 s by the
/// rules, and slack for loopback and a busy machine. Wall clock; stalls of the machine put all nodes out of touch.
const NO_WORK_AFTER: Duration = Duration::from_millis(2_500);

/// Checks all arrivals at upstreams that left; gives how many upstreams left and how many arrivals came behind the
/// acknowledgement.
pub fn check(fleet: &Fleet, record: &Record) -> (usize, usize) {
    let left: Vec<(Listed, Instant)> =
        fleet.upstreams().into_iter().filter_map(|one| one.left.map(|left| (one, left))).collect();
    let mut behind = 0;
    for (one, left) in &left {
        for (id, at) in one.upstream.arrivals.lock().unwrap().iter().filter(|(_, at)| at > left) {
            behind += 1;
            let late = at.duration_since(*left);
            if late > NO_WORK_AFTER && is_bound(fleet, one, id, *at) {
                record.broke(format!("{id} reached {} {late:?} after it had left", one.upstream.id));
            }
        }
    }
    (left.len(), behind)
}

/// Whether the node that sent a request was in touch, and its way to the upstream was sound.
pub fn is_bound(fleet: &Fleet, one: &Listed, id: &str, at: Instant) -> bool {
    let Some(site) = site_of(id).and_then(|site| fleet.sites.get(site)) else {
        return true;
    };
    [&site.contact, &one.contact, &fleet.machine].iter().all(|contact| contact.sound(at, at))
}

/// The number of the node that a request came by.
pub fn site_of(id: &str) -> Option<usize> {
    id.split('-').nth(1)?.parse().ok()
}
