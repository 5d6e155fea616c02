//! New connections to all upstreams of a service open late, as on a busy machine, for all nodes of a fleet.

mod partitioned_fleet;
#[path = "soak/proxy.rs"]
#[allow(dead_code)]
mod proxy;
mod users_platform;

use {
    googletest::prelude::*,
    partitioned_fleet::{FirstTry, Fleet},
    proxy::Partition,
    std::{thread, time::Duration},
};

const NODES: usize = 4;
/// Their slots suffice for all callers at once.
const UPSTREAMS: usize = 11;
/// Deadline of a request, in milliseconds.
const DEADLINE_MS: u64 = 2_000;
/// Time for which new connections fail or are late.
const DISTURBANCE: Duration = Duration::from_secs(2);
/// Time after the disturbance within which the fleet must have recovered.
const RECOVERY_TIME: Duration = Duration::from_secs(5);
/// Requests sent to each node after that time, all of which must be served.
const LAST_REQUESTS: usize = 30;
/// Time that an upstream takes to accept a connection. They accept 110 per second together; three checks of each node
/// every 100 ms would be 120.
const ACCEPT_TIME: Duration = Duration::from_millis(100);
/// Share of first tries that may fail.
const FAILURES_ALLOWED: f64 = 1.0 / 50.0;

/// Statuses of the last requests that were not served, by node.
fn unserved(fleet: &Fleet) -> Vec<(usize, Vec<u16>)> {
    let unserved = |node: usize| -> Vec<u16> {
        let statuses = (0..LAST_REQUESTS).map(|number| {
            let answer =
                fleet.nodes[node].request("GET", "/safe/a", &format!("last-{node}-{number}"), DEADLINE_MS);
            answer.map_or(0, |answer| answer.status())
        });
        statuses.filter(|status| *status != 200).collect()
    };
    (0..fleet.nodes.len())
        .map(|node| (node, unserved(node)))
        .filter(|(_, statuses)| !statuses.is_empty())
        .collect()
}

/// Checks that first tries were served, but for [`FAILURES_ALLOWED`].
fn expect_served(tries: &[FirstTry]) {
    // Those with a short deadline cannot all be served by a connection that opens late.
    let judged: Vec<&FirstTry> = tries.iter().filter(|one| one.status != 0).collect();
    let refused = judged.iter().filter(|one| one.status != 200).count();
    println!(
        "{refused} of {} refused, {} without a response in time",
        judged.len(),
        tries.len() - judged.len()
    );
    expect_that!(judged.len(), gt(100));
    expect_that!(refused as f64, le(judged.len() as f64 * FAILURES_ALLOWED));
}

/// Guards against a service being taken for lost by all nodes at once, each of which declines the requests of the
/// others, because its upstreams answer later than a probe waits.
#[gtest]
fn callers_are_served_while_new_connections_to_all_upstreams_open_late() {
    let fleet = Fleet::start(NODES, UPSTREAMS);
    fleet.partition(NODES, Partition::DelayNew);
    let tries = fleet.with_callers(|| thread::sleep(DISTURBANCE));
    expect_served(&tries);
    fleet.heal();
    thread::sleep(RECOVERY_TIME);
    expect_that!(unserved(&fleet), is_empty());
}

/// Guards against checks of a lost service that keep it lost: more new connections than its upstreams can accept.
#[gtest]
fn a_lost_service_is_regained_although_its_upstreams_accept_few_connections() {
    let fleet = Fleet::start(NODES, UPSTREAMS);
    fleet.set_accept_time(ACCEPT_TIME);
    fleet.with_callers(|| {
        thread::sleep(Duration::from_secs(1));
        fleet.partition(NODES, Partition::Silent);
        thread::sleep(DISTURBANCE);
        fleet.heal();
        thread::sleep(RECOVERY_TIME);
    });
    expect_that!(unserved(&fleet), is_empty());
}
