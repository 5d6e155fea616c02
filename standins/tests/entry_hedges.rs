//! Hedged requests of the entry program.

mod common;

use {
    common::{call, deploy, key_prefix, request},
    googletest::prelude::*,
    pointvane_standins::deployment::Deployment,
    std::{thread, time::Duration},
};

/// Concurrent requests that leave no upstream enough slack for a hedge, however they are distributed: eight
/// of twelve slots.
const BLOCKING_REQUESTS: usize = 8;

fn cancelled_count(deployment: &Deployment) -> u64 {
    let service = &deployment.plan.services[0];
    let names = (0..service.instances).map(|number| service.upstream_name(number));
    names
        .map(|name| deployment.admin.records(deployment.upstream_control_address(), &name).unwrap().cancelled)
        .sum()
}

/// Guards against a hedge being considered only once: if no upstream has slack at that moment, the request
/// would wait for its slow upstream to the end.
#[gtest]
fn a_slow_request_is_hedged_once_slack_becomes_available() {
    let deployment = deploy(1, 2, "[hedge]\nslack_share = 0.3\n");
    let entry = deployment.vms[0].entry();
    let get = |work_ms: u32| call(entry, &request("GET", &format!("/dispatch?work_ms={work_ms}"), &[], ""));
    // Responses fill the hedge budget and establish the usual latency.
    (0..30).for_each(|_| expect_that!(get(5).status, eq(200)));
    let before = cancelled_count(&deployment);
    let prefix = key_prefix(&deployment, 0);
    let occupy_slot = |number: usize| {
        let headers = [("idempotency-key", format!("{prefix}{number}"))];
        let headers = headers.each_ref().map(|(name, value)| (*name, value.as_str()));
        call(entry, &request("POST", "/dispatch?work_ms=400", &headers, "x"))
    };
    thread::scope(|scope| {
        for number in 0..BLOCKING_REQUESTS {
            let occupy_slot = &occupy_slot;
            scope.spawn(move || assert_eq!(occupy_slot(number).status, 200));
        }
        thread::sleep(Duration::from_millis(150));
        expect_that!(get(2_000).status, eq(200));
    });
    // The upstream notices the disconnect with a delay.
    let noticed = (0..100).any(|_| {
        thread::sleep(Duration::from_millis(20));
        cancelled_count(&deployment) > before
    });
    expect_that!(noticed, eq(true), "the losing attempt was cancelled");
}
