//! Size and completeness of quarantine messages when the table is full.

use {
    googletest::prelude::*,
    pointvane_dispatch::{
        BodyFingerprint, HeadFingerprint, Quarantine, QuarantineMessage, QuarantineOptions, QueryScope,
        RequestFingerprint, SUSPECTS_PER_DATAGRAM_MAX,
    },
    pointvane_mesh::codec,
};

const S: u64 = 1_000_000;

fn request(number: u64) -> RequestFingerprint {
    let path = format!("/{number}");
    HeadFingerprint::new("GET", "app.example", &path, None)
        .with_query_and_body(QueryScope::Any, BodyFingerprint::new(b"", Some(0)))
}

/// A node with a full table and the maximum evidence per request, with numbers that have the longest encoding.
fn full_quarantine() -> Quarantine {
    let mut node = Quarantine::new(QuarantineOptions::default(), u64::MAX, u64::MAX - 100_000);
    for number in 0..600 {
        for crash in 0..12 {
            let began_at_us = number * 1_000 + crash * 2 * S;
            node.record_crash(request(number), began_at_us, began_at_us + S);
        }
        node.record_success(request(number), 0);
    }
    node
}

#[gtest]
fn every_message_fits_in_one_datagram() {
    let mut node = full_quarantine();
    let now_us = 4_000_000 * S;
    let mut messages: Vec<_> = (0..300).map(|_| node.next_page(now_us)).collect();
    messages.extend((0..200).map(|_| node.take_gossip_round(now_us)));
    messages.extend((0..200).map(|_| node.take_broadcast(now_us)));
    messages.extend(node.pages_for_pull(now_us));
    for reports in messages {
        expect_that!(reports.len(), le(SUSPECTS_PER_DATAGRAM_MAX));
        expect_that!(codec::encode(&QuarantineMessage::Reports(reports)), ok(anything()));
    }
}

/// Guards against paging that never reaches some of the tracked requests.
#[gtest]
fn pages_alone_transfer_all_evidence() {
    let mut sender = full_quarantine();
    let mut receiver = Quarantine::new(QuarantineOptions::default(), 1, 0);
    let pages = 2 * sender.len().div_ceil(SUSPECTS_PER_DATAGRAM_MAX);
    for _ in 0..pages {
        let page = sender.next_page(30 * S);
        receiver.receive(&page, 30 * S);
    }
    expect_that!(receiver.len(), eq(sender.len()));
}
