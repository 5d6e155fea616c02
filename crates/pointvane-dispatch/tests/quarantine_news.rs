//! Datagrams of news fit, however much is known.

use {
    googletest::prelude::*,
    pointvane_dispatch::{
        BodyFingerprint, HeadFingerprint, NEWS_MAX, Quarantine, QuarantineMessage, QuarantineOptions,
        QueryScope, RequestFingerprint,
    },
    pointvane_mesh::codec,
};

const S: u64 = 1_000_000;

fn request(number: u64) -> RequestFingerprint {
    let path = format!("/{number}");
    HeadFingerprint::new("GET", "app.example", &path, None)
        .with_rest(QueryScope::Any, BodyFingerprint::new(b"", Some(0)))
}

/// A node that knows as much of as many requests as it keeps, with numbers that take the most bytes.
fn full() -> Quarantine {
    let mut node = Quarantine::new(QuarantineOptions::default(), u64::MAX, u64::MAX - 100_000);
    for number in 0..600 {
        for crash in 0..12 {
            let began = number * 1_000 + crash * 2 * S;
            node.crashed(request(number), began, began + S);
        }
        node.survived(request(number), 0);
    }
    node
}

#[gtest]
fn every_message_fits_a_datagram() {
    let mut node = full();
    let late = 4_000_000 * S;
    let mut messages: Vec<_> = (0..300).map(|_| node.next_page(late)).collect();
    messages.extend((0..200).map(|_| node.take_round(late)));
    messages.extend((0..200).map(|_| node.take_urgent(late)));
    messages.extend(node.pages_for_pull(late));
    for news in messages {
        expect_that!(news.len(), le(NEWS_MAX));
        expect_that!(codec::encode(&QuarantineMessage::News(news)), ok(anything()));
    }
}

/// Pages by turns reach all that is known.
#[gtest]
fn a_node_that_hears_pages_alone_learns_everything() {
    let mut known = full();
    let mut other = Quarantine::new(QuarantineOptions::default(), 1, 0);
    let pages = 2 * known.len().div_ceil(NEWS_MAX);
    for _ in 0..pages {
        let page = known.next_page(30 * S);
        other.receive(&page, 30 * S);
    }
    expect_that!(other.len(), eq(known.len()));
}
