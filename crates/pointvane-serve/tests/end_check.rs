//! When the end of a connection is the end of a body without a length.

use {
    googletest::prelude::*,
    pointvane_serve::{EndCheck, UpstreamPresence, is_end_of_body},
    std::{
        cell::Cell,
        future::{pending, poll_fn},
        net::{Ipv4Addr, SocketAddr, TcpListener},
    },
    tokio::{net::TcpStream, runtime::Builder},
};

fn run<T>(test: impl Future<Output = T>) -> T {
    Builder::new_current_thread().enable_all().build().unwrap().block_on(test)
}

/// An address with a listener, and the listener.
fn listening() -> (SocketAddr, TcpListener) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    (listener.local_addr().unwrap(), listener)
}

fn is_end(address: SocketAddr, presence: UpstreamPresence) -> bool {
    run(is_end_of_body(TcpStream::connect(address), || presence))
}

/// Guards against a part of a body that looks whole after a crash, and against whole ones that are refused.
#[gtest]
fn a_body_is_whole_unless_its_upstream_is_gone_without_notice() {
    let (alive, _listener) = listening();
    let refused = listening().0;
    expect_that!(is_end(alive, UpstreamPresence::Running), eq(true));
    expect_that!(is_end(refused, UpstreamPresence::Running), eq(false));
    expect_that!(is_end(refused, UpstreamPresence::Leaving), eq(true));
    expect_that!(is_end(alive, UpstreamPresence::Replaced), eq(false));
}

/// Guards against what becomes known while the address is tried.
#[gtest]
fn an_upstream_that_announces_its_end_while_its_address_is_tried_is_leaving() {
    let asked = Cell::new(0);
    let presence = || {
        asked.set(asked.get() + 1);
        if asked.get() == 1 { UpstreamPresence::Running } else { UpstreamPresence::Leaving }
    };
    expect_that!(run(is_end_of_body(TcpStream::connect(listening().0), presence)), eq(true));
}

/// Guards against a check whose task has ended, as at the end of the process, and that counts as passed.
#[gtest]
fn without_a_result_a_body_is_not_whole() {
    run(async {
        let (mut check, task) = EndCheck::new(pending());
        drop(task);
        expect_that!(poll_fn(|cx| check.poll_is_end(cx)).await, eq(false));
    });
}
