//! Makes all upstreams report that they are full during other faults; checks that no node considers the service
//! contended for long afterwards.

use {
    crate::{
        faults::misbehave_for,
        fleet::Fleet,
        node::Node,
        record::Record,
        users_platform::{Upstream, UpstreamBehaviour, call},
    },
    rand::{Rng, rngs::SmallRng},
    serde_json::Value,
    std::{
        net::SocketAddr,
        ops::Range,
        thread,
        time::{Duration, Instant},
    },
};

/// Contentions per run.
const COUNT: usize = 3;
/// Duration of a contention, in milliseconds.
const DURATION_MS: Range<u64> = 800..3_000;
/// Longest pause between two contentions, in milliseconds.
const INTERVAL_MAX_MS: u64 = 2_000;
/// Time after the callers have stopped within which no node may consider a service contended.
const OVER_WITHIN: Duration = Duration::from_secs(3);
const POLL_INTERVAL: Duration = Duration::from_millis(100);
const OPERATOR_PORT: u16 = 9_464;

/// Makes all upstreams report that they are full, several times.
pub fn run(fleet: &Fleet, rng: &mut SmallRng) {
    for _ in 0..COUNT {
        thread::sleep(Duration::from_millis(rng.random_range(0..INTERVAL_MAX_MS)));
        let time = Duration::from_millis(rng.random_range(DURATION_MS));
        fleet.count("all full");
        let upstreams: Vec<Upstream> = fleet.upstreams().into_iter().map(|listed| listed.upstream).collect();
        thread::scope(|scope| {
            upstreams.iter().for_each(|upstream| {
                _ = scope.spawn(|| misbehave_for(upstream, UpstreamBehaviour::ReportFull, time));
            });
        });
    }
}

/// Checks that no node considers a service contended; returns how many nodes answered.
pub fn check(fleet: &Fleet, record: &Record) -> usize {
    let until = Instant::now() + OVER_WITHIN;
    fleet.nodes.iter().filter(|node| check_node(node, until, record)).count()
}

fn check_node(node: &Node, until: Instant, record: &Record) -> bool {
    loop {
        let contended = contended_services(node);
        if contended.as_ref().is_some_and(Vec::is_empty) {
            return true;
        }
        if Instant::now() >= until {
            record.add_violation(format!("{} considers services contended: {contended:?}", node.ip));
            return contended.is_some();
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// The services that a node considers contended; `None` if it does not answer.
fn contended_services(node: &Node) -> Option<Vec<Value>> {
    let head = "GET /status HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    let answer = call(SocketAddr::from((node.ip, OPERATOR_PORT)), head).ok()?;
    let status: Value = serde_json::from_slice(&answer.body).ok()?;
    status["contended_services"].as_array().cloned()
}
