//! The promises of the brief on real processes under kills, freezes, cuts and outages.

use {
    common::{call, deploy, key_prefix, plan, request, times_run},
    googletest::prelude::*,
    pointvane_standins::{
        deployment::{Deployment, Program, wait},
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

/// "Within a few seconds" and "in force everywhere within 3 s".
const BOUND: Duration = Duration::from_secs(3);

/// Calls in a thread of their own: reads, bookings and uploads.
fn start_calls(deployment: &Deployment, seconds: u64) -> JoinHandle<LoadReport> {
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

/// Keys begun more than once, over all upstreams.
fn keys_run_twice(deployment: &Deployment) -> usize {
    let service = &deployment.plan.services[0];
    let mut times = std::collections::HashMap::<String, u32>::new();
    for number in 0..service.instances {
        let done = deployment.admin.done(deployment.steering(), &service.upstream_name(number)).unwrap();
        for (key, count) in done.keys {
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

/// The revisions that a VM's control took since its start.
fn accepted(deployment: &Deployment, vm: usize) -> Vec<u64> {
    let control = deployment.vms[vm].operator(Program::Control);
    let page: EventPage = deployment.admin.json(control, "/events").unwrap();
    let kinds = page.events.into_iter().map(|event| event.kind);
    let revisions = kinds.filter_map(|kind| match kind {
        EventKind::ConfigurationAccepted { revision, .. } => Some(revision),
        _ => None,
    });
    revisions.collect()
}

fn wait_revision(deployment: &Deployment, wanted: u64) -> Duration {
    let began = Instant::now();
    let running = |number: &usize| deployment.vms[*number].runs();
    wait("the revision", || {
        (0..deployment.vms.len()).filter(running).all(|vm| revision(deployment, vm) == wanted)
    })
    .unwrap();
    began.elapsed()
}

#[gtest]
fn a_planned_stop_of_an_entry_vm_cuts_nothing() {
    let mut deployment = deploy(3, 3, "");
    let calls = start_calls(&deployment, 6);
    thread::sleep(Duration::from_secs(1));
    let status = deployment.vms[1].stop();
    expect_that!(status.and_then(|status| status.code()), some(eq(0)));
    let report = calls.join().unwrap();
    expect_that!(report.sum(|kind| kind.whole), eq(report.sum(|kind| kind.calls)));
    expect_that!(report.lost, eq(0));
    expect_that!(keys_run_twice(&deployment), eq(0));
}

#[gtest]
fn a_planned_stop_waits_for_a_long_session() {
    let mut deployment = deploy(2, 1, "");
    let entry = deployment.vms[1].entry();
    let session = thread::spawn(move || call(entry, &request("GET", "/dispatch/call?work_ms=6000", &[], "")));
    wait("the session", || deployment.counter(Program::Entry, "pointvane_attempts") > 0.0).unwrap();
    deployment.vms[1].stop();
    let answer = session.join().unwrap();
    expect_that!(answer.status, eq(200));
    expect_that!(answer.whole, eq(true));
}

#[gtest]
fn a_leaving_upstream_gets_no_new_work_on_any_entry_and_is_cut_off_nothing() {
    let deployment = deploy(3, 3, "");
    let calls = start_calls(&deployment, 6);
    thread::sleep(Duration::from_secs(1));
    let name = deployment.plan.services[0].upstream_name(0);
    let draining = Behaviour { draining: true, ..Behaviour::default() };
    deployment.admin.set_behaviour(deployment.steering(), &name, &draining).unwrap();
    thread::sleep(BOUND);
    let at_bound = deployment.admin.done(deployment.steering(), &name).unwrap().begun_draining;
    let report = calls.join().unwrap();
    let done = deployment.admin.done(deployment.steering(), &name).unwrap();
    expect_that!(done.begun_draining, eq(at_bound));
    expect_that!(report.sum(|kind| kind.whole), eq(report.sum(|kind| kind.calls)));
}

#[gtest]
fn a_leaving_upstream_is_noticed_by_an_entry_that_hears_nobody() {
    // One entry alone: no peer, and the platform goes down. Its own evidence grows old, so it asks first.
    let deployment = deploy(1, 2, "");
    let entry = deployment.vms[0].entry();
    let text = request("GET", "/dispatch/call?work_ms=1", &[], "");
    expect_that!(call(entry, &text).status, eq(200));
    deployment.admin.set_platform(deployment.platform(), "down=true").unwrap();
    let name = deployment.plan.services[0].upstream_name(0);
    let draining = Behaviour { draining: true, ..Behaviour::default() };
    deployment.admin.set_behaviour(deployment.steering(), &name, &draining).unwrap();
    thread::sleep(BOUND);
    for _ in 0..20 {
        expect_that!(call(entry, &text).status, eq(200));
    }
    let done = deployment.admin.done(deployment.steering(), &name).unwrap();
    expect_that!(done.begun_draining, eq(0));
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
    wait("the list", || deployment.vms.iter().all(leaving)).unwrap();
}

#[gtest]
fn a_key_whose_owner_was_killed_is_unknown_and_never_run_by_anybody() {
    let mut deployment = deploy(3, 2, "");
    let key = key_prefix(&deployment, 0) + "order";
    let text = request("POST", "/dispatch/call?work_ms=1", &[("idempotency-key", &key)], "booking");
    deployment.vms[0].kill_program(Program::Entry);
    for vm in [1, 2] {
        let answer = call(deployment.vms[vm].entry(), &text);
        expect_that!(answer.header("pointvane-outcome"), some(eq("unknown")));
    }
    // Nor by a later life under the same name and address.
    deployment.start_program(0, Program::Entry).unwrap();
    deployment.wait_ready().unwrap();
    for vm in [0, 1, 2] {
        let answer = call(deployment.vms[vm].entry(), &text);
        expect_that!(answer.header("pointvane-error"), some(eq("key-owner-gone")));
    }
    expect_that!(times_run(&deployment, &key), eq(0));
}

#[gtest]
fn an_owner_frozen_with_the_request_in_hand_and_woken_late_does_not_run_it() {
    let deployment = deploy(2, 1, "[admission]\nqueue_share = 0\nwait_max_ms = 5000\n");
    let entry = deployment.vms[0].entry();
    // All slots are taken, so the order waits in the owner's hand while that freezes.
    let long = request("GET", "/dispatch/call?work_ms=1500", &[], "");
    let long_calls: Vec<_> = (0..6)
        .map(|_| {
            thread::spawn({
                let text = long.clone();
                move || call(entry, &text)
            })
        })
        .collect();
    wait("the slots", || deployment.counter(Program::Entry, "pointvane_attempts") >= 6.0).unwrap();
    let key = key_prefix(&deployment, 0) + "frozen";
    let headers = [("idempotency-key", key.as_str()), ("pointvane-deadline-ms", "1000")];
    let text = request("POST", "/dispatch/call?work_ms=1", &headers, "booking");
    let order = thread::spawn({
        let text = text.clone();
        move || call(entry, &text)
    });
    thread::sleep(Duration::from_millis(300));
    deployment.vms[0].freeze();
    // Meanwhile the caller tries the other entry, which passes it on in vain.
    let answer = call(deployment.vms[1].entry(), &text);
    expect_that!(answer.header("pointvane-outcome"), some(eq("unknown")));
    thread::sleep(Duration::from_millis(1_500));
    deployment.vms[0].thaw();
    expect_that!(order.join().unwrap().header("pointvane-outcome"), some(eq("not-run")));
    for call in long_calls {
        expect_that!(call.join().unwrap().status, eq(200));
    }
    thread::sleep(Duration::from_millis(300));
    expect_that!(times_run(&deployment, &key), eq(0));
}

#[gtest]
fn kills_and_freezes_of_entry_vms_under_load_run_no_key_twice_and_mix_no_answers() {
    let mut deployment = deploy(3, 3, "");
    let calls = start_calls(&deployment, 8);
    thread::sleep(Duration::from_secs(1));
    deployment.vms[0].freeze();
    thread::sleep(Duration::from_secs(2));
    deployment.vms[0].thaw();
    deployment.vms[1].kill();
    thread::sleep(Duration::from_secs(1));
    deployment.start_vm(1).unwrap();
    let report = calls.join().unwrap();
    expect_that!(report.sum(|kind| kind.wrong), eq(0));
    expect_that!(report.lost, eq(0));
    expect_that!(report.sum(|kind| kind.whole), gt(report.sum(|kind| kind.calls) / 2));
    expect_that!(keys_run_twice(&deployment), eq(0));
}

#[gtest]
fn a_control_or_locate_that_dies_costs_no_call() {
    let mut deployment = deploy(3, 3, "");
    let calls = start_calls(&deployment, 5);
    thread::sleep(Duration::from_secs(1));
    deployment.vms[0].kill_program(Program::Control);
    deployment.vms[1].kill_program(Program::Locate);
    thread::sleep(Duration::from_secs(1));
    deployment.start_program(0, Program::Control).unwrap();
    deployment.start_program(1, Program::Locate).unwrap();
    let report = calls.join().unwrap();
    expect_that!(report.sum(|kind| kind.whole), eq(report.sum(|kind| kind.calls)));
    deployment.wait_ready().unwrap();
}

#[gtest]
fn a_configuration_is_in_force_everywhere_within_seconds_read_by_a_few() {
    let mut deployment = deploy(6, 2, "");
    let reads = || deployment_reads(&deployment);
    let before = reads();
    deployment.publish().unwrap();
    let wanted = deployment.revision();
    expect_that!(wait_revision(&deployment, wanted), le(BOUND));
    // Three readers of two keys: one answer and one new wait each.
    expect_that!(deployment_reads(&deployment) - before, le(12.0));
}

fn deployment_reads(deployment: &Deployment) -> f64 {
    deployment.counter(Program::Control, "pointvane_platform_reads")
}

#[gtest]
fn an_older_revision_is_never_taken_back_however_the_platform_answers() {
    let mut deployment = deploy(3, 1, "");
    let old = deployment.packed(1).unwrap();
    deployment.publish().unwrap();
    deployment.publish().unwrap();
    let newest = deployment.revision();
    wait_revision(&deployment, newest);
    // An operator publishes an old file set over it; the platform is restored and counts backwards.
    deployment.admin.publish(deployment.platform(), "pointvane/configuration", &old).unwrap();
    thread::sleep(Duration::from_secs(1));
    deployment.admin.set_platform(deployment.platform(), "index=0").unwrap();
    deployment.admin.publish(deployment.platform(), "pointvane/configuration", &old).unwrap();
    thread::sleep(Duration::from_secs(1));
    // A VM that starts now reads the old value from the platform, but asks its peers first.
    deployment.vms[2].kill();
    deployment.start_vm(2).unwrap();
    wait("the new VM", || {
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
    expect_that!(accepted(&deployment, 2), eq(&vec![newest]));
    // A larger revision is taken whatever the platform's count says.
    deployment.publish().unwrap();
    expect_that!(wait_revision(&deployment, newest + 1), le(BOUND));
}

#[gtest]
fn a_platform_that_is_down_changes_nothing_and_a_new_vm_still_starts() {
    let mut deployment = deploy(3, 2, "");
    deployment.admin.set_platform(deployment.platform(), "down=true").unwrap();
    deployment.vms[0].kill();
    deployment.start_vm(0).unwrap();
    deployment.wait_ready().unwrap();
    let answer = call(deployment.vms[0].entry(), &request("GET", "/dispatch/call?work_ms=1", &[], ""));
    expect_that!(answer.status, eq(200));
    deployment.admin.set_platform(deployment.platform(), "down=false").unwrap();
    deployment.publish().unwrap();
    // The readers back off for up to 5 s while it is down.
    wait_revision(&deployment, deployment.revision());
}

#[gtest]
fn a_damaged_value_is_refused_whole() {
    let deployment = deploy(1, 1, "");
    let mut damaged = deployment.packed(9).unwrap();
    let middle = damaged.len() / 2;
    damaged.truncate(middle);
    deployment.admin.publish(deployment.platform(), "pointvane/configuration", &damaged).unwrap();
    let control = deployment.vms[0].operator(Program::Control);
    let refused = || deployment.admin.text(control, "/events").unwrap().contains("configuration-refused");
    wait("the refusal", refused).unwrap();
    expect_that!(revision(&deployment, 0), eq(1));
}

#[gtest]
fn all_vms_replaced_one_after_another_lose_neither_members_nor_configuration() {
    let mut deployment = Deployment::start(plan(4, 2, "")).unwrap();
    deployment.admin.set_platform(deployment.platform(), "down=true").unwrap();
    for number in 0..4 {
        deployment.vms[number].kill();
        deployment.start_vm(number).unwrap();
        deployment.wait_ready().unwrap();
    }
    expect_that!(revision(&deployment, 0), eq(1));
}
