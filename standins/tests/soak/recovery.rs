//! Checks that the fleet works again some time after the last fault.

use {
    crate::{
        caller::{DEADLINE_MS, TRAFFIC_PORT},
        fleet::Fleet,
        node::Node,
        record::Record,
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

/// Time after the last fault within which the fleet must have recovered.
pub const RECOVERY_TIME: Duration = Duration::from_secs(5);
/// Requests sent to each node after that time, all of which must be served.
const LAST_REQUESTS: usize = 30;
/// Time for a node to flush its log. The log only adds detail to a violation; no check reads it.
const LOG_FLUSH_TIME: Duration = Duration::from_millis(200);

/// A request that was not served.
struct Unserved {
    id: String,
    took: Duration,
    answer: io::Result<Message>,
}

impl Unserved {
    /// Describes what the caller saw, with the node's log lines for the request.
    fn explain(&self, node: &Node) -> String {
        let seen = match &self.answer {
            Ok(answer) => {
                let body = String::from_utf8_lossy(&answer.body);
                let retry_after = answer.header("retry-after").unwrap_or("none");
                format!("{} {}, retry after {retry_after}", answer.status(), body.trim())
            }
            Err(error) => format!("no answer: {error}"),
        };
        let lines = node.lines_with(&self.id).join("\n    ");
        format!("{} after {:?}: {seen}\n    {lines}", self.id, self.took)
    }
}

/// Checks that all nodes run, serve the newest version's route, and send nothing to upstreams that left.
pub fn check(fleet: &Fleet, record: &Record, ids: &AtomicU64) {
    let failures = fleet.upstreams().into_iter().filter_map(|listed| {
        let failure = listed.upstream.accept_error.lock().unwrap().clone()?;
        Some(format!("the harness could not accept a connection to {}: {failure}", listed.upstream.id))
    });
    failures.for_each(|failure| record.add_violation(failure));
    let runs_before = runs_of_departed(fleet);
    let head = Marker::Since(fleet.versions.newest()).path();
    for (index, node) in fleet.nodes.iter().enumerate() {
        let unserved: Vec<Unserved> = (0..LAST_REQUESTS)
            .filter_map(|_| {
                let id = format!("safe-{index}-{}", ids.fetch_add(1, Ordering::SeqCst));
                unserved(node, &head, id)
            })
            .collect();
        let served = LAST_REQUESTS - unserved.len();
        if served < LAST_REQUESTS {
            thread::sleep(LOG_FLUSH_TIME);
            let details: Vec<String> = unserved.iter().map(|request| request.explain(node)).collect();
            let details = details.join("\n  ");
            record.add_violation(format!(
                "{} served {served} of {LAST_REQUESTS} after all faults had ended:\n  {details}",
                node.ip
            ));
        }
        if node.has_exited() {
            record.add_violation(format!("the process of {} exited unexpectedly", node.ip));
        }
    }
    let runs_after = runs_of_departed(fleet);
    if runs_after != runs_before {
        record.add_violation(format!(
            "upstreams that left received requests: {runs_before:?}, then {runs_after:?}"
        ));
    }
}

/// Sends a request; returns it if it is not served.
fn unserved(node: &Node, path: &str, id: String) -> Option<Unserved> {
    let sent_at = Instant::now();
    let head = request_head("GET", path, &id, DEADLINE_MS);
    let answer = call((node.ip, TRAFFIC_PORT).into(), &head);
    let is_served = answer.as_ref().is_ok_and(|answer| answer.status() == 200);
    (!is_served).then(|| Unserved { id, took: sent_at.elapsed(), answer })
}

fn runs_of_departed(fleet: &Fleet) -> Vec<usize> {
    fleet
        .upstreams()
        .iter()
        .filter(|listed| listed.left_at.is_some())
        .map(|listed| listed.upstream.run_count())
        .collect()
}
