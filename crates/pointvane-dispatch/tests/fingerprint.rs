//! Which requests count as the same.

use {
    googletest::prelude::*,
    pointvane_dispatch::{
        BodyFingerprint, FINGERPRINT_BODY_BYTES, HeadFingerprint, QueryScope, RequestFingerprint,
    },
};

/// The parts of a request that count.
#[derive(Clone, Copy, Debug)]
struct Parts {
    method: &'static str,
    host: &'static str,
    path: &'static str,
    credentials: Option<&'static [u8]>,
    query: QueryScope<'static>,
    body: &'static [u8],
    length: Option<u64>,
}

impl Parts {
    fn fingerprint(self) -> RequestFingerprint {
        HeadFingerprint::new(self.method, self.host, self.path, self.credentials)
            .with_rest(self.query, BodyFingerprint::new(self.body, self.length))
    }
}

const PARTS: Parts = Parts {
    method: "POST",
    host: "app.example",
    path: "/orders/1",
    credentials: Some(b"Bearer one"),
    query: QueryScope::Exact(Some("page=2")),
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
        Parts { method: "PUT", ..PARTS },
        Parts { host: "other.example", ..PARTS },
        Parts { path: "/orders/2", ..PARTS },
        Parts { credentials: Some(b"Bearer two"), ..PARTS },
        Parts { credentials: None, ..PARTS },
        Parts { query: QueryScope::Exact(Some("page=3")), ..PARTS },
        Parts { query: QueryScope::Exact(Some("")), ..PARTS },
        Parts { query: QueryScope::Exact(None), ..PARTS },
        Parts { query: QueryScope::Any, ..PARTS },
        Parts { body: b"date", ..PARTS },
        Parts { length: Some(5), ..PARTS },
        Parts { length: None, ..PARTS },
        // The same bytes, cut elsewhere.
        Parts { host: "app.example/", path: "orders/1", ..PARTS },
    ];
    for other in others {
        expect_that!(other.fingerprint(), not(eq(PARTS.fingerprint())), "{other:?}");
    }
}

#[gtest]
fn requests_that_differ_in_query_or_body_have_the_same_head() {
    let other = Parts { query: QueryScope::Any, body: b"other", ..PARTS };
    expect_that!(other.fingerprint().head(), eq(PARTS.fingerprint().head()));
}

/// Of a streamed body each node has a first part of its own length.
#[gtest]
fn of_a_long_body_its_first_part_and_its_length_count() {
    let head = HeadFingerprint::new(PARTS.method, PARTS.host, PARTS.path, None);
    let long = vec![7; FINGERPRINT_BODY_BYTES * 2];
    let length = long.len() as u64;
    let fingerprint = |body, length| head.with_rest(PARTS.query, BodyFingerprint::new(body, Some(length)));
    let whole = fingerprint(&long, length);
    expect_that!(fingerprint(&long[..FINGERPRINT_BODY_BYTES + 9], length), eq(whole));
    expect_that!(fingerprint(&long, length + 1), not(eq(whole)));
}
