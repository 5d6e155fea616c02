//! Size and completeness of quarantine messages when the table is full.

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

/// A node with a full table and the maximum evidence per request, with numbers that have the longest encoding.
fn full_quarantine() -> Quarantine {
    let mut node = Quarantine::new(QuarantineOptions::default(), u64::MAX, u64::MAX - 100_000);
    for number in 0..600 {
        for crash in 0..12 {
            let began_at_us = number * 1_000 + crash * 2 * S;
            node.crashed(request(number), began_at_us, began_at_us + S);
        }
        node.survived(request(number), 0);
    }
    node
}

#[gtest]
fn every_message_fits_in_one_datagram() {
    let mut node = full_quarantine();
    let now_us = 4_000_000 * S;
    let mut messages: Vec<_> = (0..300).map(|_| node.next_page(now_us)).collect();
    messages.extend((0..200).map(|_| node.take_round(now_us)));
    messages.extend((0..200).map(|_| node.take_urgent(now_us)));
    messages.extend(node.pages_for_pull(now_us));
    for news in messages {
        expect_that!(news.len(), le(NEWS_MAX));
        expect_that!(codec::encode(&QuarantineMessage::News(news)), ok(anything()));
    }
}

/// Guards against paging that never reaches some of the tracked requests.
#[gtest]
fn pages_alone_transfer_all_evidence() {
    let mut sender = full_quarantine();
    let mut receiver = Quarantine::new(QuarantineOptions::default(), 1, 0);
    let pages = 2 * sender.len().div_ceil(NEWS_MAX);
    for _ in 0..pages {
        let page = sender.next_page(30 * S);
        receiver.receive(&page, 30 * S);
    }
    expect_that!(receiver.len(), eq(sender.len()));
}
