//! A node whose log output nobody reads keeps serving requests and still stops on a signal.

mod users_platform;

use {
    googletest::prelude::*,
    users_platform::{Log, NodeProcess, Store, Upstream, UpstreamBehaviour},
};

/// More requests than the pipe and the queue of log lines hold lines.
const REQUESTS: usize = 2_500;

#[gtest]
fn a_stalled_log_reader_delays_neither_requests_nor_shutdown() {
    let store = Store::start();
    let upstream = Upstream::start("i-0", UpstreamBehaviour::Normal);
    store.configure(5, &[("/safe/", "safe", 5_000, "app")]);
    store.list(&upstream, "ready", 1);
    let mut node = NodeProcess::start_with(&store, &[], Log::NeverRead);
    node.wait_until_ready();
    for number in 0..REQUESTS {
        let response = node.request("GET", "/safe/a", &format!("id-{number}"), 5_000).unwrap();
        assert_eq!(response.status(), 200, "request {number}");
    }
    node.signal("TERM");
    expect_that!(node.wait_for_exit(), some(eq(0)));
}
