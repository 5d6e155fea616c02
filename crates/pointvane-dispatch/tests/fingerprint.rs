//! Which requests have the same fingerprint.

use {
    googletest::prelude::*,
    pointvane_dispatch::{
        BodyFingerprint, FINGERPRINT_BODY_BYTES, HeadFingerprint, QueryScope, RequestFingerprint,
    },
};

/// The fields of a request that its fingerprint covers.
#[derive(Clone, Copy, Debug)]
struct RequestParts {
    method: &'static str,
    host: &'static str,
    path: &'static str,
    credentials: Option<&'static [u8]>,
    query: QueryScope<'static>,
    body: &'static [u8],
    length: Option<u64>,
}

impl RequestParts {
    fn fingerprint(self) -> RequestFingerprint {
        HeadFingerprint::new(self.method, self.host, self.path, self.credentials)
            .with_query_and_body(self.query, BodyFingerprint::new(self.body, self.length))
    }
}

const BASE_REQUEST: RequestParts = RequestParts {
    method: "POST",
    host: "app.example",
    path: "/orders/1",
    credentials: Some(b"Bearer one"),
    query: QueryScope::Exact(Some("page=2")),
    body: b"data",
    length: Some(4),
};

#[gtest]
fn repeated_request_has_the_same_fingerprint() {
    expect_that!(BASE_REQUEST.fingerprint(), eq(BASE_REQUEST.fingerprint()));
}

#[gtest]
fn requests_that_differ_in_any_covered_field_have_different_fingerprints() {
    let variants = [
        RequestParts { method: "PUT", ..BASE_REQUEST },
        RequestParts { host: "other.example", ..BASE_REQUEST },
        RequestParts { path: "/orders/2", ..BASE_REQUEST },
        RequestParts { credentials: Some(b"Bearer two"), ..BASE_REQUEST },
        RequestParts { credentials: None, ..BASE_REQUEST },
        RequestParts { query: QueryScope::Exact(Some("page=3")), ..BASE_REQUEST },
        RequestParts { query: QueryScope::Exact(Some("")), ..BASE_REQUEST },
        RequestParts { query: QueryScope::Exact(None), ..BASE_REQUEST },
        RequestParts { query: QueryScope::Any, ..BASE_REQUEST },
        RequestParts { body: b"date", ..BASE_REQUEST },
        RequestParts { length: Some(5), ..BASE_REQUEST },
        RequestParts { length: None, ..BASE_REQUEST },
        // The same bytes, divided differently between host and path.
        RequestParts { host: "app.example/", path: "orders/1", ..BASE_REQUEST },
    ];
    for variant in variants {
        expect_that!(variant.fingerprint(), not(eq(BASE_REQUEST.fingerprint())), "{variant:?}");
    }
}

#[gtest]
fn requests_that_differ_only_in_query_or_body_share_the_head() {
    let variant = RequestParts { query: QueryScope::Any, body: b"other", ..BASE_REQUEST };
    expect_that!(variant.fingerprint().head(), eq(BASE_REQUEST.fingerprint().head()));
}

/// Nodes may hold prefixes of different lengths of the same streamed body.
#[gtest]
fn long_bodies_are_covered_by_their_prefix_and_length() {
    let head = HeadFingerprint::new(BASE_REQUEST.method, BASE_REQUEST.host, BASE_REQUEST.path, None);
    let long = vec![7; FINGERPRINT_BODY_BYTES * 2];
    let length = long.len() as u64;
    let fingerprint =
        |body, length| head.with_query_and_body(BASE_REQUEST.query, BodyFingerprint::new(body, Some(length)));
    let whole = fingerprint(&long, length);
    expect_that!(fingerprint(&long[..FINGERPRINT_BODY_BYTES + 9], length), eq(whole));
    expect_that!(fingerprint(&long, length + 1), not(eq(whole)));
}
