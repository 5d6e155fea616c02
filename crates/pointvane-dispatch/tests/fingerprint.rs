//! Which requests count as the same.

use {
    googletest::prelude::*,
    pointvane_dispatch::{FINGERPRINT_BODY_BYTES, HeadFingerprint, RequestFingerprint},
    std::net::{IpAddr, Ipv4Addr},
};

/// The parts of a request that count.
#[derive(Clone, Copy, Debug)]
struct Parts {
    caller: IpAddr,
    method: &'static str,
    host: &'static str,
    target: &'static str,
    body: &'static [u8],
    length: Option<u64>,
}

impl Parts {
    fn fingerprint(self) -> RequestFingerprint {
        HeadFingerprint::new(self.caller, self.method, self.host, self.target)
            .with_body(self.body, self.length)
    }
}

const PARTS: Parts = Parts {
    caller: IpAddr::V4(Ipv4Addr::new(10, 0, 0, 1)),
    method: "POST",
    host: "app.example",
    target: "/orders/1?page=2",
    body: b"data",
    length: Some(4),
};

#[gtest]
fn a_request_that_comes_again_is_the_same() {
    expect_that!(PARTS.fingerprint(), eq(PARTS.fingerprint()));
}

#[gtest]
fn requests_that_differ_in_any_part_that_counts_are_not_the_same() {
    let others = [
        Parts { caller: IpAddr::V4(Ipv4Addr::new(10, 0, 0, 2)), ..PARTS },
        Parts { method: "PUT", ..PARTS },
        Parts { host: "other.example", ..PARTS },
        Parts { target: "/orders/1?page=3", ..PARTS },
        Parts { body: b"date", ..PARTS },
        Parts { length: Some(5), ..PARTS },
        Parts { length: None, ..PARTS },
        // The same bytes, cut elsewhere.
        Parts { host: "app.example/", target: "orders/1?page=2", ..PARTS },
    ];
    for other in others {
        expect_that!(other.fingerprint(), not(eq(PARTS.fingerprint())), "{other:?}");
    }
}

/// Of a streamed body each node has a first part of its own length.
#[gtest]
fn of_a_long_body_its_first_part_and_its_length_count() {
    let head = HeadFingerprint::new(PARTS.caller, PARTS.method, PARTS.host, PARTS.target);
    let long = vec![7; FINGERPRINT_BODY_BYTES * 2];
    let length = long.len() as u64;
    let whole = head.with_body(&long, Some(length));
    expect_that!(head.with_body(&long[..FINGERPRINT_BODY_BYTES + 9], Some(length)), eq(whole));
    expect_that!(head.with_body(&long, Some(length + 1)), not(eq(whole)));
}
