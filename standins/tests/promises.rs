//! The documented guarantees, checked on real processes under kills, freezes and outages of the platform.

use {
    common::{call, deploy, key_prefix, plan, request, run_count},
    googletest::prelude::*,
    pointvane_standins::{
        deployment::{Deployment, Program, wait_until},
        load::{self, CallKind, LoadPlan, LoadReport, Rate},
        upstream::Behaviour,
    },
    pointvane_telemetry::{EventKind, EventPage},
    std::{
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
};

mod common;

/// Time within which a leaving upstream gets no more new requests and a configuration is in force everywhere.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);

/// Generates load in a thread of its own: reads, bookings and uploads.
fn start_load(deployment: &Deployment, seconds: u64) -> JoinHandle<LoadReport> {
    let plan = LoadPlan {
        locates: deployment.locates(),
        service: "dispatch".into(),
        rates: vec![
            Rate { kind: CallKind::Lookup, per_s: 60.0 },
            Rate { kind: CallKind::Booking, per_s: 30.0 },
            Rate { kind: CallKind::Upload(200_000), per_s: 5.0 },
        ],
        time: Duration::from_secs(seconds),
        deadline_ms: 10_000,
        seed: 3,
        warm_up: Duration::ZERO,
    };
    thread::spawn(move || {
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
        runtime.block_on(load::run(&plan))
    })
}

/// Number of idempotency keys started more than once, over all upstreams.
fn duplicate_keys(deployment: &Deployment) -> usize {
    let service = &deployment.plan.services[0];
    let mut times = std::collections::HashMap::<String, u32>::new();
    for number in 0..service.instances {
        let records = deployment
            .admin
            .records(deployment.upstream_control_address(), &service.upstream_name(number))
            .unwrap();
        for (key, count) in records.keys {
            *times.entry(key).or_default() += count;
        }
    }
    times.values().filter(|&&count| count > 1).count()
}

fn revision(deployment: &Deployment, vm: usize) -> u64 {
    let status: serde_json::Value =
        deployment.admin.json(deployment.vms[vm].operator(Program::Entry), "/status").unwrap();
    status["revision"].as_u64().unwrap()
}

/// The revisions that the control program of a VM has accepted since its start.
fn accepted_revisions(deployment: &Deployment, vm: usize) -> Vec<u64> {
    let control = deployment.vms[vm].operator(Program::Control);
    let page: EventPage = deployment.admin.json(control, "/events").unwrap();
    let kinds = page.events.into_iter().map(|event| event.kind);
    let revisions = kinds.filter_map(|kind| match kind {
        EventKind::ConfigurationAccepted { revision, .. } => Some(revision),
        _ => None,
    });
    revisions.collect()
}

fn wait_revision(deployment: &Deployment, expected: u64) -> Duration {
    let began = Instant::now();
    let running = |number: &usize| deployment.vms[*number].is_running();
    wait_until("the revision", || {
        (0..deployment.vms.len()).filter(running).all(|vm| revision(deployment, vm) == expected)
    })
    .unwrap();
    began.elapsed()
}

#[gtest]
fn a_graceful_shutdown_of_an_entry_vm_fails_no_request() {
    let mut deployment = deploy(3, 3, "");
    let calls = start_load(&deployment, 6);
    thread::sleep(Duration::from_secs(1));
    let status = deployment.vms[1].stop();
    expect_that!(status.and_then(|status| status.code()), some(eq(0)));
    let report = calls.join().unwrap();
    expect_that!(report.sum(|kind| kind.complete), eq(report.sum(|kind| kind.calls)));
    expect_that!(report.lost, eq(0));
    expect_that!(duplicate_keys(&deployment), eq(0));
}

#[gtest]
fn a_graceful_shutdown_waits_for_a_long_request() {
    let mut deployment = deploy(2, 1, "");
    let entry = deployment.vms[1].entry();
    let session = thread::spawn(move || call(entry, &request("GET", "/dispatch/call?work_ms=6000", &[], "")));
    wait_until("the session", || deployment.counter(Program::Entry, "pointvane_attempts") > 0.0).unwrap();
    deployment.vms[1].stop();
    let response = session.join().unwrap();
    expect_that!(response.status, eq(200));
    expect_that!(response.is_complete, eq(true));
}

#[gtest]
fn a_leaving_upstream_gets_no_new_requests_from_any_entry_and_loses_none() {
    let deployment = deploy(3, 3, "");
    let calls = start_load(&deployment, 6);
    thread::sleep(Duration::from_secs(1));
    let name = deployment.plan.services[0].upstream_name(0);
    let draining = Behaviour { draining: true, ..Behaviour::default() };
    deployment.admin.set_behaviour(deployment.upstream_control_address(), &name, &draining).unwrap();
    thread::sleep(PROPAGATION_TIME);
    let begun_at_bound =
        deployment.admin.records(deployment.upstream_control_address(), &name).unwrap().begun_draining;
    let report = calls.join().unwrap();
    let records = deployment.admin.records(deployment.upstream_control_address(), &name).unwrap();
    expect_that!(records.begun_draining, eq(begun_at_bound));
    expect_that!(report.sum(|kind| kind.complete), eq(report.sum(|kind| kind.calls)));
}

#[gtest]
fn an_isolated_entry_notices_a_leaving_upstream() {
    // A single entry without peers while the platform is down: its own evidence becomes stale, so it probes
    // first.
    let deployment = deploy(1, 2, "");
    let entry = deployment.vms[0].entry();
    let text = request("GET", "/dispatch/call?work_ms=1", &[], "");
    expect_that!(call(entry, &text).status, eq(200));
    deployment.admin.set_platform(deployment.platform(), "down=true").unwrap();
    let name = deployment.plan.services[0].upstream_name(0);
    let draining = Behaviour { draining: true, ..Behaviour::default() };
    deployment.admin.set_behaviour(deployment.upstream_control_address(), &name, &draining).unwrap();
    thread::sleep(PROPAGATION_TIME);
    for _ in 0..20 {
        expect_that!(call(entry, &text).status, eq(200));
    }
    let records = deployment.admin.records(deployment.upstream_control_address(), &name).unwrap();
    expect_that!(records.begun_draining, eq(0));
}

#[gtest]
fn the_platforms_list_of_leaving_vms_reaches_every_entry() {
    let deployment = deploy(3, 2, "");
    let name = deployment.plan.services[0].upstream_name(0);
    deployment.publish_vm_list(&[&name]).unwrap();
    let leaving = |vm: &pointvane_standins::deployment::Vm| {
        let status: serde_json::Value =
            deployment.admin.json(vm.operator(Program::Entry), "/status").unwrap();
        status["services"][0]["upstreams"][0]["leaving"] == true
    };
    wait_until("the list", || deployment.vms.iter().all(leaving)).unwrap();
}

#[gtest]
fn a_key_whose_owner_was_killed_has_an_unknown_outcome_and_is_never_run() {
    let mut deployment = deploy(3, 2, "");
    let key = key_prefix(&deployment, 0) + "order";
    let text = request("POST", "/dispatch/call?work_ms=1", &[("idempotency-key", &key)], "booking");
    deployment.vms[0].kill_program(Program::Entry);
    for vm in [1, 2] {
        let response = call(deployment.vms[vm].entry(), &text);
        expect_that!(response.header("pointvane-outcome"), some(eq("unknown")));
    }
    // Nor may a later process under the same name and address run it.
    deployment.start_program(0, Program::Entry).unwrap();
    deployment.wait_ready().unwrap();
    for vm in [0, 1, 2] {
        let response = call(deployment.vms[vm].entry(), &text);
        expect_that!(response.header("pointvane-error"), some(eq("key-owner-gone")));
    }
    expect_that!(run_count(&deployment, &key), eq(0));
}

#[gtest]
fn an_owner_frozen_with_a_queued_request_does_not_run_it_after_the_deadline() {
    let deployment = deploy(2, 1, "[admission]\nqueue_share = 0\nwait_max_ms = 5000\n");
    let entry = deployment.vms[0].entry();
    // All slots are taken, so the request waits in the owner's queue when the owner freezes.
    let long_request = request("GET", "/dispatch/call?work_ms=1500", &[], "");
    let long_calls: Vec<_> = (0..6)
        .map(|_| {
            thread::spawn({
                let text = long_request.clone();
                move || call(entry, &text)
            })
        })
        .collect();
    wait_until("the slots", || deployment.counter(Program::Entry, "pointvane_attempts") >= 6.0).unwrap();
    let key = key_prefix(&deployment, 0) + "frozen";
    let headers = [("idempotency-key", key.as_str()), ("pointvane-deadline-ms", "1000")];
    let text = request("POST", "/dispatch/call?work_ms=1", &headers, "booking");
    let booking_call = thread::spawn({
        let text = text.clone();
        move || call(entry, &text)
    });
    thread::sleep(Duration::from_millis(300));
    deployment.vms[0].freeze();
    // Meanwhile the caller tries the other entry, which forwards the request to the frozen owner without
    // success.
    let response = call(deployment.vms[1].entry(), &text);
    expect_that!(response.header("pointvane-outcome"), some(eq("unknown")));
    thread::sleep(Duration::from_millis(1_500));
    deployment.vms[0].thaw();
    expect_that!(booking_call.join().unwrap().header("pointvane-outcome"), some(eq("not-run")));
    for call in long_calls {
        expect_that!(call.join().unwrap().status, eq(200));
    }
    thread::sleep(Duration::from_millis(300));
    expect_that!(run_count(&deployment, &key), eq(0));
}

#[gtest]
fn kills_and_freezes_of_entry_vms_under_load_run_no_key_twice_and_mix_up_no_responses() {
    let mut deployment = deploy(3, 3, "");
    let calls = start_load(&deployment, 8);
    thread::sleep(Duration::from_secs(1));
    deployment.vms[0].freeze();
    thread::sleep(Duration::from_secs(2));
    deployment.vms[0].thaw();
    deployment.vms[1].kill();
    thread::sleep(Duration::from_secs(1));
    deployment.start_vm(1).unwrap();
    let report = calls.join().unwrap();
    expect_that!(report.sum(|kind| kind.mismatched), eq(0));
    expect_that!(report.lost, eq(0));
    expect_that!(report.sum(|kind| kind.complete), gt(report.sum(|kind| kind.calls) / 2));
    expect_that!(duplicate_keys(&deployment), eq(0));
}

#[gtest]
fn a_killed_control_or_locate_program_fails_no_request() {
    let mut deployment = deploy(3, 3, "");
    let calls = start_load(&deployment, 5);
    thread::sleep(Duration::from_secs(1));
    deployment.vms[0].kill_program(Program::Control);
    deployment.vms[1].kill_program(Program::Locate);
    thread::sleep(Duration::from_secs(1));
    deployment.start_program(0, Program::Control).unwrap();
    deployment.start_program(1, Program::Locate).unwrap();
    let report = calls.join().unwrap();
    expect_that!(report.sum(|kind| kind.complete), eq(report.sum(|kind| kind.calls)));
    deployment.wait_ready().unwrap();
}

#[gtest]
fn a_configuration_is_in_force_everywhere_within_seconds_with_few_platform_reads() {
    let mut deployment = deploy(6, 2, "");
    let read_count = || platform_reads(&deployment);
    let before = read_count();
    deployment.publish().unwrap();
    let expected = deployment.revision();
    expect_that!(wait_revision(&deployment, expected), le(PROPAGATION_TIME));
    // Three readers of two keys: one response and one new watch each.
    expect_that!(platform_reads(&deployment) - before, le(12.0));
}

fn platform_reads(deployment: &Deployment) -> f64 {
    deployment.counter(Program::Control, "pointvane_platform_reads")
}

#[gtest]
fn an_older_revision_is_never_accepted_whatever_the_platform_returns() {
    let mut deployment = deploy(3, 1, "");
    let old = deployment.packed_configuration(1).unwrap();
    deployment.publish().unwrap();
    deployment.publish().unwrap();
    let newest = deployment.revision();
    wait_revision(&deployment, newest);
    // An operator publishes an old configuration; then the platform is restored with a lower index.
    deployment.admin.publish(deployment.platform(), "pointvane/configuration", &old).unwrap();
    thread::sleep(Duration::from_secs(1));
    deployment.admin.set_platform(deployment.platform(), "index=0").unwrap();
    deployment.admin.publish(deployment.platform(), "pointvane/configuration", &old).unwrap();
    thread::sleep(Duration::from_secs(1));
    // A VM that starts now would read the old value from the platform, but asks its peers first.
    deployment.vms[2].kill();
    deployment.start_vm(2).unwrap();
    wait_until("the new VM", || {
        deployment
            .admin
            .json::<serde_json::Value>(deployment.vms[2].operator(Program::Entry), "/status")
            .is_ok()
            && revision(&deployment, 2) > 0
    })
    .unwrap();
    for vm in 0..3 {
        expect_that!(revision(&deployment, vm), eq(newest));
    }
    expect_that!(accepted_revisions(&deployment, 2), eq(&vec![newest]));
    // A higher revision is accepted whatever the index of the platform.
    deployment.publish().unwrap();
    expect_that!(wait_revision(&deployment, newest + 1), le(PROPAGATION_TIME));
}

#[gtest]
fn a_platform_that_is_down_changes_nothing_and_a_new_vm_still_starts() {
    let mut deployment = deploy(3, 2, "");
    deployment.admin.set_platform(deployment.platform(), "down=true").unwrap();
    deployment.vms[0].kill();
    deployment.start_vm(0).unwrap();
    deployment.wait_ready().unwrap();
    let response = call(deployment.vms[0].entry(), &request("GET", "/dispatch/call?work_ms=1", &[], ""));
    expect_that!(response.status, eq(200));
    deployment.admin.set_platform(deployment.platform(), "down=false").unwrap();
    deployment.publish().unwrap();
    // The readers back off for up to 5 s while the platform is down.
    wait_revision(&deployment, deployment.revision());
}

#[gtest]
fn a_truncated_configuration_is_refused_entirely() {
    let deployment = deploy(1, 1, "");
    let mut truncated = deployment.packed_configuration(9).unwrap();
    let middle = truncated.len() / 2;
    truncated.truncate(middle);
    deployment.admin.publish(deployment.platform(), "pointvane/configuration", &truncated).unwrap();
    let control = deployment.vms[0].operator(Program::Control);
    let refused = || deployment.admin.text(control, "/events").unwrap().contains("configuration-refused");
    wait_until("the refusal", refused).unwrap();
    expect_that!(revision(&deployment, 0), eq(1));
}

#[gtest]
fn a_rolling_restart_of_all_vms_loses_neither_members_nor_configuration() {
    let mut deployment = Deployment::start(plan(4, 2, "")).unwrap();
    deployment.admin.set_platform(deployment.platform(), "down=true").unwrap();
    for number in 0..4 {
        deployment.vms[number].kill();
        deployment.start_vm(number).unwrap();
        deployment.wait_ready().unwrap();
    }
    expect_that!(revision(&deployment, 0), eq(1));
}
