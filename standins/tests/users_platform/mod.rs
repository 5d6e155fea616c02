//! Stand-ins on loopback for the platform's store and for upstreams, and a node running as a process.
#![allow(dead_code, unused_imports)]

mod addresses;
mod behaviour;
mod malformed;
mod message;
mod node;
mod process;
mod store;
mod throttled_write;
mod upstream;
mod upstream_responses;

pub use {
    addresses::unique_address,
    behaviour::{BodyEnd, BodyLength, RespondTime, UpstreamBehaviour},
    malformed::{MALFORMED, Malformed},
    message::{Message, call, read_message, request_head},
    node::{Log, NodeProcess, Options},
    store::{Account, ConfigurationOptions, Incarnation, Store},
    throttled_write::write_throttled,
    upstream::Upstream,
};

use std::{
    thread,
    time::{Duration, Instant},
};

/// Host of all routes in these tests.
pub const HOST: &str = "app.example";
/// Header by which an upstream marks its own responses.
pub const RESPONSE_STAMP_HEADER: &str = "pointvane-response-stamp";
/// Maximum time that a test waits for anything.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Polls until a condition holds; panics after [`WAIT_TIMEOUT`].
#[track_caller]
pub fn eventually(mut condition: impl FnMut() -> bool) {
    let until = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < until, "condition not met in time");
        thread::sleep(Duration::from_millis(10));
    }
}
