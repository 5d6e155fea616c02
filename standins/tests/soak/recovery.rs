//! Whether all is well some time after the last disturbance.

use {
    crate::{
        caller::{DEADLINE_MS, TRAFFIC_PORT},
        fleet::Fleet,
        record::Record,
        site::Site,
        users_platform::{Message, call, request_head},
        versions::Marker,
    },
    std::{
        io,
        sync::atomic::{AtomicU64, Ordering},
        thread,
        time::{Duration, Instant},
    },
};

/// Time after the last disturbance within which all must be well again.
pub const RECOVERY: Duration = Duration::from_secs(5);
/// Requests to each node after that time, all of which must be served.
const LAST_REQUESTS: usize = 30;
/// Time for a node's last lines to be written. They tell more than the answer, but nothing is judged by them.
const LINES_WITHIN: Duration = Duration::from_millis(200);

/// A request that was not served.
struct Unserved {
    id: String,
    took: Duration,
    answer: io::Result<Message>,
}

impl Unserved {
    /// What its caller saw, and the node's own lines about it.
    fn explain(&self, site: &Site) -> String {
        let seen = match &self.answer {
            Ok(answer) => {
                let body = String::from_utf8_lossy(&answer.body);
                let retry_after = answer.header("retry-after").unwrap_or("none");
                format!("{} {}, retry after {retry_after}", answer.status(), body.trim())
            }
            Err(error) => format!("no answer: {error}"),
        };
        let lines = site.lines_with(&self.id).join("\n    ");
        format!("{} after {:?}: {seen}\n    {lines}", self.id, self.took)
    }
}

/// All nodes run and serve on the newest version's route, and send nothing to upstreams that left.
pub fn check(fleet: &Fleet, record: &Record, ids: &AtomicU64) {
    let failures = fleet.upstreams().into_iter().filter_map(|one| {
        let failure = one.upstream.accept_failure.lock().unwrap().clone()?;
        Some(format!("the harness could not accept a connection to {}: {failure}", one.upstream.id))
    });
    failures.for_each(|failure| record.broke(failure));
    let left = runs_of_left(fleet);
    let head = Marker::Since(fleet.versions.newest()).path();
    for (index, site) in fleet.sites.iter().enumerate() {
        let unserved: Vec<Unserved> = (0..LAST_REQUESTS)
            .filter_map(|_| {
                let id = format!("safe-{index}-{}", ids.fetch_add(1, Ordering::SeqCst));
                unserved(site, &head, id)
            })
            .collect();
        let served = LAST_REQUESTS - unserved.len();
        if served < LAST_REQUESTS {
            thread::sleep(LINES_WITHIN);
            let why: Vec<String> = unserved.iter().map(|one| one.explain(site)).collect();
            let why = why.join("\n  ");
            record.broke(format!(
                "{} served {served} of {LAST_REQUESTS} after all was healed:\n  {why}",
                site.ip
            ));
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

/// Sends a request; gives it back if it is not served.
fn unserved(site: &Site, path: &str, id: String) -> Option<Unserved> {
    let sent_at = Instant::now();
    let head = request_head("GET", path, &id, DEADLINE_MS);
    let answer = call((site.ip, TRAFFIC_PORT).into(), &head);
    let is_served = answer.as_ref().is_ok_and(|answer| answer.status() == 200);
    (!is_served).then(|| Unserved { id, took: sent_at.elapsed(), answer })
}

fn runs_of_left(fleet: &Fleet) -> Vec<usize> {
    fleet.upstreams().iter().filter(|one| one.left.is_some()).map(|one| one.upstream.runs()).collect()
}
