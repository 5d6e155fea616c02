//! Restart of a member with an earlier wall clock, from which incarnations are taken.

use {
    googletest::prelude::*,
    pointvane_core::{Incarnation, VmIdentity, VmState},
    pointvane_mesh::{Action, MemberRow, Membership, MembershipOptions, Stamp},
    std::net::SocketAddr,
};

const MS: u64 = 1_000;

fn member(name: &str, last_byte: u8, incarnation: u64, seeds: &[SocketAddr]) -> (Membership, SocketAddr) {
    let address = SocketAddr::from(([10, 0, 0, last_byte], 7_001));
    let local_row = MemberRow {
        identity: VmIdentity {
            name: name.into(),
            data_centre: "one".into(),
            address: address.ip(),
            incarnation: Incarnation(incarnation),
        },
        control_port: address.port(),
        entry_port: 80,
        state: VmState::Live,
        version: 0,
        entry: None,
        stamp: Stamp::default(),
        link_mbps: 0,
    };
    let options = MembershipOptions { seeds: seeds.to_vec(), ..MembershipOptions::default() };
    (Membership::new(options, local_row, u64::from(last_byte), 0), address)
}

/// Lets two members exchange datagrams for a time, without loss.
fn exchange_datagrams(pair: &mut [(Membership, SocketAddr); 2], from_ms: u64, to_ms: u64) {
    for now_ms in (from_ms..to_ms).step_by(100) {
        let mut queue = Vec::new();
        for (index, (member, _)) in pair.iter_mut().enumerate() {
            queue.extend(member.tick(now_ms * MS).into_iter().map(|action| (index, action)));
        }
        while let Some((sender, action)) = queue.pop() {
            let Action::Send { to, message } = action else { continue };
            let from = pair[sender].1;
            let Some(receiver) = pair.iter().position(|(_, address)| *address == to) else { continue };
            let answers = pair[receiver].0.receive(from, &message, now_ms * MS);
            queue.extend(answers.into_iter().map(|action| (receiver, action)));
        }
    }
}

fn known_state(of: &Membership, name: &str) -> Option<VmState> {
    of.rows().skip(1).find(|row| row.identity.name.as_str() == name).map(|row| row.state)
}

#[gtest]
fn a_process_restarted_with_an_earlier_wall_clock_is_live_to_all() {
    let (a, a_address) = member("a", 1, 1_000, &[]);
    let (b, _) = member("b", 2, 9_000, &[a_address]);
    let mut pair = [(a, a_address), (b, SocketAddr::from(([10, 0, 0, 2], 7_001)))];
    exchange_datagrams(&mut pair, 0, 5_000);
    expect_that!(known_state(&pair[0].0, "b"), some(eq(VmState::Live)));
    // The process is killed and restarts at once, after its wall clock was set back.
    pair[1] = member("b", 2, 2_000, &[a_address]);
    exchange_datagrams(&mut pair, 5_000, 12_000);
    expect_that!(known_state(&pair[0].0, "b"), some(eq(VmState::Live)));
    let restarted = pair[0].0.rows().find(|row| row.identity.name.as_str() == "b").unwrap();
    expect_that!(restarted.identity.incarnation.0, gt(9_000));
}
