//! A node process with a stand-in store and stand-in upstreams: what callers, upstreams and operators see.

mod users_platform;

use {
    googletest::prelude::*,
    std::{
        io::{BufReader, Write},
        net::TcpStream,
        sync::atomic::Ordering,
        thread,
        time::Duration,
    },
    users_platform::{
        ConfigurationOptions, HOST, NodeProcess, Options, RESPONSE_STAMP_HEADER, Store, Upstream,
        UpstreamBehaviour, eventually, read_message, request_head,
    },
};

const ROUTES: [(&str, &str, u64, &str); 3] = [
    ("/safe/", "safe", 5_000, "app"),
    ("/unsafe/", "unsafe", 5_000, "app"),
    ("/short/", "unsafe", 300, "app"),
];

/// Starts a ready node and upstreams with the given behaviours.
fn start_with_upstreams(behaviours: &[UpstreamBehaviour]) -> (NodeProcess, Store, Vec<Upstream>) {
    let store = Store::start();
    let start =
        |(index, behaviour): (usize, &UpstreamBehaviour)| Upstream::start(&format!("i-{index}"), *behaviour);
    let upstreams: Vec<Upstream> = behaviours.iter().enumerate().map(start).collect();
    store.configure(5, &ROUTES);
    upstreams.iter().for_each(|upstream| store.list(upstream, "ready", 1));
    let node = NodeProcess::start(&store);
    node.wait_until_ready();
    (node, store, upstreams)
}

fn run_count(upstreams: &[Upstream]) -> usize {
    upstreams.iter().map(Upstream::run_count).sum()
}

#[gtest]
fn without_a_configuration_requests_are_refused_with_retry_after() {
    let store = Store::start();
    let node = NodeProcess::start(&store);
    let response = node.request("GET", "/safe/a", "1", 1_000).unwrap();
    expect_that!(response.status(), eq(503));
    expect_that!(response.header("retry-after"), some(anything()));
    expect_that!(node.ready(), eq(503));
}

/// The start wait, the deadline and the target latency are long, so that the test does not depend on the
/// speed of the machine. With a target of 200 ms the request would already be late once the wait ends, and
/// would be refused if its upstream does not answer the probe within the search time of 10 ms.
#[gtest]
fn a_request_that_arrives_before_the_configuration_waits_for_it_and_is_served() {
    let store = Store::start();
    let upstream = Upstream::start("i-0", UpstreamBehaviour::Normal);
    let options = Options { start_wait_ms: Some(60_000), ..Options::default() };
    let node = NodeProcess::start_with_options(&store, options);
    let response = thread::scope(|scope| {
        let response = scope.spawn(|| node.request("GET", "/safe/a", "1", 60_000).unwrap());
        thread::sleep(Duration::from_millis(300));
        store.list(&upstream, "ready", 1);
        store.configure_with(
            5,
            &ROUTES,
            &ConfigurationOptions { target_latency_ms: 60_000, ..ConfigurationOptions::default() },
        );
        response.join().unwrap()
    });
    expect_that!(response.status(), eq(200));
    expect_that!(response.body, eq(b"hello"));
}

#[gtest]
fn a_request_and_its_response_are_forwarded_unchanged() {
    let (node, _store, upstreams) = start_with_upstreams(&[UpstreamBehaviour::Normal]);
    let response = node.request("POST", "/unsafe/a?b=c", "id-1", 1_000).unwrap();
    expect_that!(response.status(), eq(200));
    expect_that!(response.body, eq(b"hello"));
    expect_that!(response.header(RESPONSE_STAMP_HEADER), some(eq("s")));
    expect_that!(response.header("pointvane-request-id"), some(eq("id-1")));
    let forwarded = upstreams[0].last.lock().unwrap().clone();
    expect_that!(forwarded.first_line, eq("POST /unsafe/a?b=c HTTP/1.1"));
    expect_that!(forwarded.body, eq(b"data"));
    expect_that!(forwarded.header("host"), some(eq(HOST)));
    expect_that!(forwarded.header("pointvane-expect-instance"), some(eq("i-0")));
    let remaining_ms: u64 = forwarded.header("pointvane-deadline-ms").unwrap().parse().unwrap();
    expect_that!(remaining_ms, le(1_000));
    expect_that!(node.request("GET", "/none/", "id-2", 1_000).unwrap().status(), eq(404));
}

#[gtest]
fn an_unsafe_request_runs_once_although_its_response_is_lost() {
    let (node, _store, upstreams) =
        start_with_upstreams(&[UpstreamBehaviour::LoseResponse, UpstreamBehaviour::LoseResponse]);
    for number in 0..10 {
        let response = node.request("POST", "/unsafe/a", &format!("id-{number}"), 2_000).unwrap();
        expect_that!(response.status(), eq(502));
        expect_that!(response.header(RESPONSE_STAMP_HEADER), none());
        expect_that!(run_count(&upstreams), eq(number + 1));
    }
}

#[gtest]
fn a_safe_request_whose_response_is_lost_or_truncated_is_retried_at_another_upstream() {
    for behaviour in
        [UpstreamBehaviour::LoseResponse, UpstreamBehaviour::Truncated, UpstreamBehaviour::WrongRequestId]
    {
        let (node, _store, upstreams) = start_with_upstreams(&[behaviour, UpstreamBehaviour::Normal]);
        // Fills the retry budget.
        (0..60).for_each(|number| _ = node.request("GET", "/safe/a", &format!("{number}"), 5_000));
        let succeeded = (0..20).filter(|number| {
            let response = node.request("GET", "/safe/a", &format!("id-{number}"), 5_000).unwrap();
            expect_that!(response.status(), any!(eq(200), eq(502)));
            response.status() == 200 && response.body == b"hello"
        });
        expect_that!(succeeded.count(), ge(18), "{behaviour:?}");
        expect_that!(upstreams[1].run_count(), ge(18));
    }
}

#[gtest]
fn a_response_with_the_id_of_another_request_is_never_delivered() {
    let (node, _store, _upstreams) = start_with_upstreams(&[UpstreamBehaviour::WrongRequestId]);
    let response = node.request("POST", "/unsafe/a", "id-1", 2_000).unwrap();
    expect_that!(response.status(), eq(502));
    expect_that!(response.header("pointvane-request-id"), some(eq("id-1")));
}

#[gtest]
fn duplicate_responses_are_never_matched_to_later_requests() {
    let (node, _store, upstreams) = start_with_upstreams(&[UpstreamBehaviour::DuplicateResponse]);
    for number in 0..20 {
        let id = format!("id-{number}");
        let response = node.request("POST", "/unsafe/a", &id, 2_000).unwrap();
        expect_that!(response.header("pointvane-request-id"), some(eq(id.as_str())));
    }
    expect_that!(upstreams[0].run_count(), eq(20));
}

#[gtest]
fn a_request_rejected_by_an_upstream_is_retried_at_another_even_if_unsafe() {
    for behaviour in [UpstreamBehaviour::Reject, UpstreamBehaviour::Misdirected] {
        let (node, _store, upstreams) = start_with_upstreams(&[behaviour, UpstreamBehaviour::Normal]);
        (0..60).for_each(|number| _ = node.request("POST", "/unsafe/a", &format!("{number}"), 5_000));
        let runs_before = upstreams[1].run_count();
        let response = node.request("POST", "/unsafe/a", "id", 5_000).unwrap();
        expect_that!(response.status(), eq(200));
        expect_that!(upstreams[1].run_count(), eq(runs_before + 1));
        expect_that!(upstreams[0].run_count(), eq(0));
    }
}

#[gtest]
fn a_503_without_a_not_executed_header_is_passed_on_as_502() {
    let (node, _store, upstreams) = start_with_upstreams(&[UpstreamBehaviour::Unmarked503]);
    let response = node.request("POST", "/unsafe/a", "id", 2_000).unwrap();
    expect_that!(response.status(), eq(502));
    expect_that!(upstreams[0].run_count(), eq(1));
}

#[gtest]
fn callers_get_retry_after_when_every_upstream_rejects_the_request() {
    let (node, _store, upstreams) =
        start_with_upstreams(&[UpstreamBehaviour::Reject, UpstreamBehaviour::Reject]);
    let response = node.request("POST", "/unsafe/a", "id", 2_000).unwrap();
    expect_that!(response.status(), eq(503));
    expect_that!(response.header("retry-after"), some(anything()));
    expect_that!(run_count(&upstreams), eq(0));
}

#[gtest]
fn a_request_times_out_after_the_time_out_of_its_route() {
    let (node, _store, _upstreams) = start_with_upstreams(&[UpstreamBehaviour::Silent]);
    let response = node.request("POST", "/short/a", "id", 600_000).unwrap();
    expect_that!(response.status(), eq(504));
}

#[gtest]
fn a_disconnect_cancels_the_request_at_its_upstream() {
    let (node, _store, upstreams) = start_with_upstreams(&[UpstreamBehaviour::Delayed(15_000)]);
    let mut stream = TcpStream::connect(node.traffic_address()).unwrap();
    stream.write_all(request_head("GET", "/safe/a", "id", 20_000).as_bytes()).unwrap();
    eventually(|| upstreams[0].run_count() == 1);
    drop(stream);
    eventually(|| upstreams[0].disconnects.load(Ordering::SeqCst) == 1);
}

#[gtest]
fn a_draining_or_removed_upstream_gets_no_new_requests() {
    let (node, store, upstreams) =
        start_with_upstreams(&[UpstreamBehaviour::Normal, UpstreamBehaviour::Normal]);
    store.list(&upstreams[0], "draining", 2);
    eventually(|| node.log_lines().contains(r#""draining":true"#));
    let runs_before = upstreams[0].run_count();
    (0..20).for_each(|number| _ = node.request("GET", "/safe/a", &format!("{number}"), 5_000).unwrap());
    expect_that!(upstreams[0].run_count(), eq(runs_before));
    store.remove("servers/i-1");
    eventually(|| node.log_lines().contains("upstream-gone"));
    expect_that!(node.request("GET", "/safe/a", "last", 5_000).unwrap().status(), eq(503));
}

#[gtest]
fn a_newer_configuration_is_applied_and_an_older_one_is_ignored() {
    let (node, store, _upstreams) = start_with_upstreams(&[UpstreamBehaviour::Normal]);
    expect_that!(node.request("GET", "/added/a", "1", 5_000).unwrap().status(), eq(404));
    store.configure(9, &[("/added/", "safe", 5_000, "app")]);
    eventually(|| node.request("GET", "/added/a", "2", 5_000).unwrap().status() == 200);
    store.configure(7, &ROUTES);
    // The entry was published later, so a node that knows it has read the older configuration too.
    store.list(&Upstream::start("i-later", UpstreamBehaviour::Normal), "ready", 1);
    eventually(|| node.log_lines().contains("i-later"));
    expect_that!(node.log_lines().matches("configuration-accepted").count(), eq(2));
    expect_that!(node.request("GET", "/added/a", "3", 5_000).unwrap().status(), eq(200));
}

#[gtest]
fn a_graceful_shutdown_serves_requests_in_flight_and_late_ones() {
    let (mut node, _store, upstreams) = start_with_upstreams(&[UpstreamBehaviour::Delayed(700)]);
    let address = node.traffic_address();
    let in_flight = thread::spawn(move || {
        users_platform::call(address, &request_head("POST", "/unsafe/a", "held", 5_000))
    });
    eventually(|| upstreams[0].run_count() == 1);
    node.signal("TERM");
    eventually(|| node.ready() == 503);
    let late = node.request("POST", "/unsafe/a", "late", 5_000).unwrap();
    expect_that!(late.status(), eq(200));
    expect_that!(late.header("connection"), some(eq("close")));
    expect_that!(in_flight.join().unwrap().unwrap().status(), eq(200));
    expect_that!(node.wait_for_exit(), some(eq(0)));
    expect_that!(node.log_lines(), contains_substring(r#""msg":"stopped""#));
}

#[gtest]
fn a_keep_alive_connection_serves_consecutive_requests() {
    let (node, _store, _upstreams) = start_with_upstreams(&[UpstreamBehaviour::Normal]);
    let mut stream = TcpStream::connect(node.traffic_address()).unwrap();
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    for number in 0..50 {
        let id = format!("id-{number}");
        stream.write_all(request_head("POST", "/unsafe/a", &id, 5_000).as_bytes()).unwrap();
        let response = read_message(&mut reader).unwrap();
        expect_that!(response.status(), eq(200));
        expect_that!(response.header("pointvane-request-id"), some(eq(id.as_str())));
    }
}

#[gtest]
fn all_nodes_list_the_same_nodes_without_one_that_stops() {
    let store = Store::start();
    store.configure(5, &ROUTES);
    let mut first = NodeProcess::start(&store);
    let second = NodeProcess::start_in(&store, &[first.ip]);
    let lists_both = |node: &NodeProcess| {
        let response = node.directory();
        response.contains(&format!("{}:", first.ip)) && response.contains(&format!("{}:", second.ip))
    };
    eventually(|| lists_both(&first) && lists_both(&second));
    expect_that!(first.directory(), eq(&second.directory()));
    first.signal("TERM");
    eventually(|| !second.directory().contains(&format!("{}:", first.ip)));
    expect_that!(first.wait_for_exit(), some(eq(0)));
}

#[gtest]
fn an_upstream_that_passes_probes_but_never_responds_is_soon_avoided() {
    let (node, _store, upstreams) =
        start_with_upstreams(&[UpstreamBehaviour::Silent, UpstreamBehaviour::Normal]);
    let answered = (0..40).filter(|number| {
        // Load reports become stale, so that both upstreams are probed again.
        thread::sleep(Duration::from_millis(30));
        node.request("POST", "/short/a", &format!("{number}"), 5_000).unwrap().status() == 200
    });
    expect_that!(answered.count(), ge(28));
    expect_that!(upstreams[0].run_count(), le(12));
}

#[gtest]
fn an_upstream_that_drops_idle_connections_causes_no_failed_request() {
    let (node, _store, upstreams) = start_with_upstreams(&[UpstreamBehaviour::Delayed(200)]);
    // Concurrent requests leave several idle connections behind.
    let address = node.traffic_address();
    let head = |number| request_head("POST", "/unsafe/a", &format!("early-{number}"), 5_000);
    let early: Vec<_> = (0..3)
        .map(|number| {
            thread::spawn({
                let head = head(number);
                move || users_platform::call(address, &head)
            })
        })
        .collect();
    early.into_iter().for_each(|call| _ = call.join().unwrap());
    upstreams[0].set_behaviour(UpstreamBehaviour::ResetIdle);
    let runs_before = run_count(&upstreams);
    for number in 0..20 {
        thread::sleep(Duration::from_millis(150));
        let response = node.request("POST", "/unsafe/a", &format!("{number}"), 5_000).unwrap();
        expect_that!(response.status(), eq(200));
    }
    expect_that!(run_count(&upstreams), eq(runs_before + 20));
}

#[gtest]
fn an_unsafe_request_is_not_sent_on_an_idle_connection() {
    // Without load reports no probe shows that the upstream has forgotten the connection.
    let (node, _store, upstreams) = start_with_upstreams(&[UpstreamBehaviour::ResetIdleWithoutLoadReport]);
    for number in 0..12 {
        let response = node.request("POST", "/unsafe/a", &format!("{number}"), 5_000).unwrap();
        expect_that!(response.status(), eq(200), "request {number}");
        thread::sleep(Duration::from_millis(150));
    }
    expect_that!(run_count(&upstreams), eq(12));
}

#[gtest]
fn upstreams_without_load_reports_are_used_and_probed_once_per_request_at_most() {
    let (node, _store, upstreams) =
        start_with_upstreams(&[UpstreamBehaviour::NoLoadReport, UpstreamBehaviour::NoLoadReport]);
    for number in 0..60 {
        let response = node.request("POST", "/unsafe/a", &format!("{number}"), 5_000).unwrap();
        expect_that!(response.status(), eq(200));
    }
    let probes: usize = upstreams.iter().map(|upstream| upstream.health_probes.load(Ordering::SeqCst)).sum();
    // Until the node has learned that these upstreams report no load, a request may send more than one probe
    // to each; ten extra probes are allowed for that.
    expect_that!(probes, le(60 * upstreams.len() + 10));
    expect_that!(run_count(&upstreams), eq(60));
}

#[gtest]
fn a_request_whose_deadline_is_shorter_than_the_minimum_service_time_is_never_sent() {
    let (node, _store, upstreams) = start_with_upstreams(&[UpstreamBehaviour::Delayed(80)]);
    for number in 0..10 {
        let response = node.request("GET", "/safe/a", &format!("{number}"), 5_000).unwrap();
        expect_that!(response.status(), eq(200));
    }
    for number in 0..10 {
        let response = node.request("POST", "/unsafe/a", &format!("unsafe-{number}"), 5_000).unwrap();
        expect_that!(response.status(), eq(200));
    }
    let runs_before = run_count(&upstreams);
    for number in 0..10 {
        let response = node.request("GET", "/safe/a", &format!("late-{number}"), 30).unwrap();
        expect_that!(response.status(), eq(503));
    }
    expect_that!(run_count(&upstreams), eq(runs_before));
}
