//! The header of forwarded requests: encoding, malformed input, division of attempts.

use {
    googletest::prelude::*,
    pointvane_core::Name,
    pointvane_dispatch::{ForwardedRequest, attempts_to_hand_over},
    rand::{Rng, SeedableRng, rngs::SmallRng},
};

#[gtest]
fn a_forwarded_request_is_read_as_it_was_written() {
    for service in ["app", "with space", "", "a b c"] {
        let request = ForwardedRequest { version: 71, attempts_left: 2, service: Name::from(service) };
        expect_that!(request.to_string().parse::<ForwardedRequest>(), ok(eq(&request)));
    }
    let text = ForwardedRequest { version: 71, attempts_left: 2, service: "app".into() }.to_string();
    expect_that!(text, eq("71 2 app"));
}

#[gtest]
fn malformed_headers_are_rejected() {
    for text in ["", "1", "1 2", "-1 2 app", "1 -2 app", "x 2 app", "1 2.5 app", "1e400 1 app", "NaN 1 app"] {
        expect_that!(text.parse::<ForwardedRequest>(), err(anything()), "{text}");
    }
    expect_that!(format!("{}0 1 app", u64::MAX).parse::<ForwardedRequest>(), err(anything()));
    expect_that!(format!("1 {}0 app", u32::MAX).parse::<ForwardedRequest>(), err(anything()));
}

#[gtest]
fn random_headers_do_not_panic() {
    let mut rng = SmallRng::seed_from_u64(1);
    for _ in 0..100_000 {
        let length = rng.random_range(0..24);
        let text: String = (0..length).map(|_| char::from(rng.random_range(0x20_u8..0x7f))).collect();
        if let Ok(request) = text.parse::<ForwardedRequest>() {
            expect_that!(request.to_string().parse::<ForwardedRequest>(), ok(eq(&request)));
        }
    }
}

#[gtest]
fn both_nodes_together_have_no_more_attempts_than_one() {
    for left in 0..6 {
        let handed_over = attempts_to_hand_over(left, true);
        expect_that!(handed_over, le(left));
        expect_that!(handed_over > 0, eq(left > 0));
        expect_that!(attempts_to_hand_over(left, false), eq(left));
    }
    expect_that!(attempts_to_hand_over(3, true), eq(2));
    expect_that!(attempts_to_hand_over(1, true), eq(1));
}
