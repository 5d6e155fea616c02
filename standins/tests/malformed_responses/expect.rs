//! What callers must see of responses, whichever program relays them.

use {
    crate::{
        caller::{Delivery, Request, deliver_in_turn, deliver_pipelined},
        table::Row,
    },
    googletest::prelude::*,
    std::net::SocketAddr,
};

/// Checks what a caller has seen of a response whose body has `bytes`.
#[track_caller]
pub fn expect_allowed(row: &Row, bytes: usize, delivery: &Delivery) {
    let is_allowed = row.allows(delivery, bytes);
    expect_that!(is_allowed, eq(true), "{}, {bytes} bytes, {:?}: {delivery:?}", row.name, row.seen);
}

/// Sends requests in turn on one connection, and checks that the responses have no body and announce this length.
#[track_caller]
pub fn expect_bodiless(address: SocketAddr, requests: &[(String, Request)], length: Option<&str>) {
    let (ids, requests): (Vec<String>, Vec<Request>) = requests.iter().cloned().unzip();
    let deliveries = deliver_in_turn(address, &requests);
    expect_that!(deliveries.len(), eq(requests.len()));
    for (id, delivery) in ids.iter().zip(&deliveries) {
        expect_that!(delivery.header("pointvane-request-id"), some(eq(id.as_str())));
        expect_that!(delivery.status, any!(eq(200), eq(204), eq(304)), "{id}");
        expect_that!(delivery.is_complete, eq(true), "{id}: {delivery:?}");
        expect_that!(delivery.body_bytes, eq(0), "{id}");
        expect_that!(delivery.header("transfer-encoding"), none(), "{id}");
        expect_that!(delivery.header("content-length"), eq(length), "{id}");
    }
}

/// A request for a row, with its id.
pub type RowRequest<'r> = (&'r Row, &'r str, Request);

/// Sends requests at once on one connection, and checks that each is answered by its own response.
#[track_caller]
pub fn expect_in_order(address: SocketAddr, requests: &[RowRequest<'_>], bytes: usize) {
    let sent: Vec<Request> = requests.iter().map(|(.., request)| request.clone()).collect();
    let deliveries = deliver_pipelined(address, &sent);
    expect_that!(deliveries.len(), eq(requests.len()));
    for ((row, id, _), delivery) in requests.iter().zip(&deliveries) {
        // Errors of an entry name no request.
        let names_own = delivery.header("pointvane-request-id").is_none_or(|named| named == *id);
        expect_that!(names_own, eq(true), "{id}: {delivery:?}");
        expect_allowed(row, bytes, delivery);
    }
}
