//! A node whose lines nobody reads goes on serving, and stops when it is told to.

mod users_platform;

use {
    googletest::prelude::*,
    users_platform::{Log, Manner, NodeProcess, Store, Upstream},
};

/// More than a pipe and the queue of lines hold.
const REQUESTS: usize = 2_500;

#[gtest]
fn a_reader_of_lines_that_stands_still_holds_up_no_request_and_no_stop() {
    let store = Store::start();
    let upstream = Upstream::start("i-0", Manner::Well);
    store.configure(5, &[("/safe/", "safe", 5_000, "app")]);
    store.list(&upstream, "ready", 1);
    let mut node = NodeProcess::start_with(&store, &[], Log::NeverRead);
    node.until_ready();
    for number in 0..REQUESTS {
        let answer = node.request("GET", "/safe/a", &format!("id-{number}"), 5_000).unwrap();
        assert_eq!(answer.status(), 200, "request {number}");
    }
    node.signal("TERM");
    expect_that!(node.ended(), some(eq(0)));
}
