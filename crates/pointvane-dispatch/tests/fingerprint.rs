//! Which requests count as the same.

use {
    googletest::prelude::*,
    pointvane_dispatch::{FINGERPRINT_BODY_BYTES, FingerprintParts, RequestFingerprint},
    std::net::{IpAddr, Ipv4Addr},
};

const CALLER: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 0, 0, 1));
const PARTS: FingerprintParts<'static> = FingerprintParts {
    caller: CALLER,
    method: "POST",
    host: "app.example",
    target: "/orders/1?page=2",
    body: b"data",
    body_length: Some(4),
};

#[gtest]
fn a_request_that_comes_again_is_the_same() {
    expect_that!(RequestFingerprint::new(&PARTS), eq(RequestFingerprint::new(&PARTS.clone())));
}

#[gtest]
fn requests_that_differ_in_any_part_that_counts_are_not_the_same() {
    let others = [
        FingerprintParts { caller: IpAddr::V4(Ipv4Addr::new(10, 0, 0, 2)), ..PARTS },
        FingerprintParts { method: "PUT", ..PARTS },
        FingerprintParts { host: "other.example", ..PARTS },
        FingerprintParts { target: "/orders/1?page=3", ..PARTS },
        FingerprintParts { body: b"date", ..PARTS },
        FingerprintParts { body_length: Some(5), ..PARTS },
        FingerprintParts { body_length: None, ..PARTS },
        // The same bytes, cut elsewhere.
        FingerprintParts { host: "app.example/", target: "orders/1?page=2", ..PARTS },
    ];
    for other in others {
        expect_that!(RequestFingerprint::new(&other), not(eq(RequestFingerprint::new(&PARTS))), "{other:?}");
    }
}

/// Of a streamed body each node has a first part of its own length.
#[gtest]
fn of_a_long_body_its_first_part_and_its_length_count() {
    let long = vec![7; FINGERPRINT_BODY_BYTES * 2];
    let length = Some(long.len() as u64);
    let whole = FingerprintParts { body: &long, body_length: length, ..PARTS };
    let first = FingerprintParts { body: &long[..FINGERPRINT_BODY_BYTES + 9], ..whole };
    let longer = FingerprintParts { body_length: length.map(|length| length + 1), ..whole };
    expect_that!(RequestFingerprint::new(&first), eq(RequestFingerprint::new(&whole)));
    expect_that!(RequestFingerprint::new(&longer), not(eq(RequestFingerprint::new(&whole))));
}
