//! Whether all is well some time after the last disturbance.

use {
    crate::{
        caller::{DEADLINE_MS, TRAFFIC_PORT},
        fleet::Fleet,
        record::Record,
        users_platform::{call, request_head},
        versions::Marker,
    },
    std::{
        sync::atomic::{AtomicU64, Ordering},
        time::Duration,
    },
};

/// Time after the last disturbance within which all must be well again.
pub const RECOVERY: Duration = Duration::from_secs(5);
/// Requests to each node after that time, all of which must be served.
const LAST_REQUESTS: usize = 30;

/// All nodes run and serve on the newest version's route, and send nothing to upstreams that left.
pub fn check(fleet: &Fleet, record: &Record, ids: &AtomicU64) {
    let left = runs_of_left(fleet);
    let head = Marker::Since(fleet.versions.newest()).path();
    for (index, site) in fleet.sites.iter().enumerate() {
        let served = (0..LAST_REQUESTS).filter(|_| {
            let id = format!("safe-{index}-{}", ids.fetch_add(1, Ordering::SeqCst));
            let head = request_head("GET", &head, &id, DEADLINE_MS);
            call((site.ip, TRAFFIC_PORT).into(), &head).is_ok_and(|answer| answer.status() == 200)
        });
        let served = served.count();
        if served < LAST_REQUESTS {
            record.broke(format!("{} served {served} of {LAST_REQUESTS} after all was healed", site.ip));
        }
        if site.ended() {
            record.broke(format!("{} ended by itself", site.ip));
        }
    }
    let now = runs_of_left(fleet);
    if now != left {
        record.broke(format!("upstreams that left were sent work: {left:?}, then {now:?}"));
    }
}

fn runs_of_left(fleet: &Fleet) -> Vec<usize> {
    fleet.upstreams().iter().filter(|one| one.left.is_some()).map(|one| one.upstream.runs()).collect()
}
