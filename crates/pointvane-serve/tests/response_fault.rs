//! Faults of responses by their status.

use {googletest::prelude::*, hyper::StatusCode, pointvane_serve::ResponseFault};

/// Guards against a status that is no answer and reaches a caller as one.
#[gtest]
fn only_statuses_from_200_to_599_are_final() {
    let fault = |status| ResponseFault::of_status(StatusCode::from_u16(status).unwrap());
    for status in [200, 204, 304, 404, 500, 599] {
        expect_that!(fault(status), none(), "{status}");
    }
    for status in [100, 102, 199, 600, 999] {
        expect_that!(fault(status), some(eq(ResponseFault::InvalidStatus)), "{status}");
    }
    expect_that!(fault(101), some(eq(ResponseFault::UnrequestedUpgrade)));
}
