//! Replication of values, load datagrams and the codec with late, repeated and malformed messages.

use {
    googletest::prelude::*,
    pointvane_core::{Incarnation, Observation},
    pointvane_mesh::{
        FeedUpdate, GossipMessage, LoadDatagram, LoadDatagramError, LoadReceiver, LoadSender,
        LoadSenderOptions, Offer, OfferResult, PeerAnswer, ReplicatedValue, ReplicationAction, ServiceLoad,
        Stamp, StampedValue, codec,
    },
    proptest::{collection::vec, prelude::*, test_runner::RngSeed},
    std::net::{IpAddr, SocketAddr},
};

const S_US: u64 = 1_000_000;

fn stamped(revision: u64, index: u64) -> StampedValue {
    StampedValue { stamp: Stamp { revision, index }, value: vec![revision as u8] }
}

fn peer() -> SocketAddr {
    "10.0.0.2:7001".parse().unwrap()
}

#[gtest]
fn the_larger_revision_wins_then_the_later_write() {
    let mut replicated = ReplicatedValue::new(0);
    let now_us = 10 * S_US;
    expect_that!(replicated.offer(Offer::Platform(stamped(5, 10)), now_us), eq(OfferResult::Accepted));
    expect_that!(replicated.offer(Offer::Platform(stamped(4, 11)), now_us), eq(OfferResult::Stale));
    expect_that!(replicated.offer(Offer::Peer(stamped(5, 9)), now_us), eq(OfferResult::Stale));
    expect_that!(replicated.offer(Offer::Peer(stamped(5, 12)), now_us), eq(OfferResult::Accepted));
    expect_that!(replicated.offer(Offer::Platform(stamped(6, 1)), now_us), eq(OfferResult::Accepted));
}

#[gtest]
fn a_new_process_queries_its_peers_before_it_accepts_the_platforms_value() {
    let mut replicated = ReplicatedValue::new(0);
    expect_that!(replicated.offer(Offer::Platform(stamped(1, 1)), 10), eq(OfferResult::Deferred));
    expect_that!(replicated.offer(Offer::Peer(stamped(3, 3)), 20), eq(OfferResult::Accepted));
    expect_that!(replicated.peers_answered(), some(eq(OfferResult::Stale)));
    expect_that!(replicated.stamp().revision, eq(3));
    // If no peer answers, the platform's value is accepted after a timeout.
    let mut without_peers = ReplicatedValue::new(0);
    without_peers.offer(Offer::Platform(stamped(1, 1)), 10);
    expect_that!(without_peers.tick(S_US), none());
    expect_that!(without_peers.tick(2 * S_US), some(eq(OfferResult::Accepted)));
}

#[gtest]
fn a_newer_stamp_is_fetched_once_and_retried_if_unanswered() {
    let mut replicated = ReplicatedValue::new(0);
    let stamp = Stamp { revision: 2, index: 2 };
    expect_that!(replicated.observe_stamp(stamp, peer(), S_US), some(eq(ReplicationAction::Fetch(peer()))));
    expect_that!(replicated.observe_stamp(stamp, peer(), S_US + 1), none());
    expect_that!(
        replicated.observe_stamp(stamp, peer(), 2 * S_US),
        some(eq(ReplicationAction::Fetch(peer())))
    );
    replicated.offer(Offer::Peer(stamped(2, 2)), 2 * S_US);
    expect_that!(replicated.observe_stamp(stamp, peer(), 9 * S_US), none());
}

fn datagram(incarnation: u64, sequence: u64) -> Vec<u8> {
    let observations = vec![Observation { position: 3, requests: 4, leaving: false, age_ms: 5 }];
    let services = vec![ServiceLoad { position: 0, observations }];
    let incarnation = Incarnation(incarnation);
    codec::encode(&LoadDatagram { incarnation, sequence, revision: 1, requests: 9, services }).unwrap()
}

#[gtest]
fn late_and_repeated_datagrams_and_those_of_earlier_incarnations_are_dropped() {
    let from: IpAddr = "10.0.0.2".parse().unwrap();
    let mut receiver = LoadReceiver::default();
    expect_that!(receiver.receive(from, &datagram(5, 1)), err(eq(&LoadDatagramError::UnknownSender)));
    receiver.set_members(&[from]);
    expect_that!(receiver.receive(from, &datagram(5, 7)), ok(anything()));
    expect_that!(receiver.receive(from, &datagram(5, 7)), err(eq(&LoadDatagramError::Stale)));
    expect_that!(receiver.receive(from, &datagram(5, 6)), err(eq(&LoadDatagramError::Stale)));
    expect_that!(receiver.receive(from, &datagram(6, 1)), ok(anything()));
    expect_that!(receiver.receive(from, &datagram(5, 99)), err(eq(&LoadDatagramError::Stale)));
    expect_that!(receiver.receive(from, &[9, 9, 9]), err(eq(&LoadDatagramError::Malformed)));
}

#[gtest]
fn a_sender_never_sends_more_than_its_budget() {
    for peers in [1, 16, 200] {
        let options = LoadSenderOptions::default();
        let budget = u64::from(options.bytes_per_s);
        let mut sender = LoadSender::new(options, Incarnation(1), 0);
        let mut bytes = 0;
        for now_ms in 0..10_000 {
            let now_us = now_ms * 1_000;
            let recipients = sender.round_recipients(peers, now_us);
            if recipients == 0 {
                continue;
            }
            let observation = Observation { position: 300, requests: 400, leaving: false, age_ms: 500 };
            let services = vec![ServiceLoad { position: 1, observations: vec![observation; 12] }];
            let datagram = sender.next_datagram(1, 9, (services, Vec::new()), recipients, now_us).unwrap();
            bytes += (recipients * (datagram.len() + codec::IP_UDP_HEADER_BYTES)) as u64;
        }
        // Allows for the token bucket (a fifth of a second's budget) and for one round of underestimated
        // size.
        expect_that!(bytes, le(budget * 10 + budget / 5 + 32 * 200), "{peers} peers");
        expect_that!(bytes, ge(budget * 5), "{peers} peers");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn malformed_bytes_are_an_error_and_never_a_panic(mut bytes in vec(any::<u8>(), 0..200)) {
        if let Some(version) = bytes.first_mut() {
            *version = codec::VERSION;
        }
        let _ = codec::decode::<LoadDatagram>(&bytes);
        let _ = codec::decode::<GossipMessage>(&bytes);
        let _ = codec::decode::<FeedUpdate>(&bytes);
        let _ = codec::read_frame::<PeerAnswer>(&mut &bytes[..]);
    }

    #[test]
    fn no_order_of_offers_makes_a_process_revert(stamps in vec((1..6_u64, 1..6_u64, any::<bool>()), 1..40)) {
        let mut replicated = ReplicatedValue::new(0);
        let mut current = Stamp::default();
        for (revision, index, from_peer) in stamps {
            let value = stamped(revision, index);
            replicated.offer(if from_peer { Offer::Peer(value) } else { Offer::Platform(value) }, 10 * S_US);
            prop_assert!(replicated.stamp() >= current);
            current = replicated.stamp();
        }
    }
}
