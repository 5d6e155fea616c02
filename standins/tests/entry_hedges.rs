//! Hedges of entry programs.

mod common;

use {
    common::{call, deploy, key_prefix, request},
    googletest::prelude::*,
    pointvane_standins::deployment::Deployment,
    std::{thread, time::Duration},
};

/// Work of which so much is under way that no upstream has slack for a hedge, however it is divided: eight of twelve slots.
const FILLING: usize = 8;

fn cancelled(deployment: &Deployment) -> u64 {
    let service = &deployment.plan.services[0];
    let names = (0..service.instances).map(|number| service.upstream_name(number));
    names.map(|name| deployment.admin.done(deployment.steering(), &name).unwrap().cancelled).sum()
}

/// A request that waited for a slow upstream to its end, since the one moment at which a hedge was considered found no slack.
#[gtest]
fn a_slow_request_is_hedged_when_slack_comes_later() {
    let deployment = deploy(1, 2, "[hedge]\nslack_share = 0.3\n");
    let entry = deployment.vms[0].entry();
    let get = |work_ms: u32| call(entry, &request("GET", &format!("/dispatch?work_ms={work_ms}"), &[], ""));
    // Answers earn the budget of which a hedge takes, and tell how long one usually takes.
    (0..30).for_each(|_| expect_that!(get(5).status, eq(200)));
    let before = cancelled(&deployment);
    let prefix = key_prefix(&deployment, 0);
    let fill = |number: usize| {
        let headers = [("idempotency-key", format!("{prefix}{number}"))];
        let headers = headers.each_ref().map(|(name, value)| (*name, value.as_str()));
        call(entry, &request("POST", "/dispatch?work_ms=400", &headers, "x"))
    };
    thread::scope(|scope| {
        for number in 0..FILLING {
            let fill = &fill;
            scope.spawn(move || assert_eq!(fill(number).status, 200));
        }
        thread::sleep(Duration::from_millis(150));
        expect_that!(get(2_000).status, eq(200));
    });
    // The upstream notices some time later that nobody waits.
    let noticed = (0..100).any(|_| {
        thread::sleep(Duration::from_millis(20));
        cancelled(&deployment) > before
    });
    expect_that!(noticed, eq(true), "of the two attempts one lost");
}
