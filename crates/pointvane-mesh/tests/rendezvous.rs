//! Choice of the VMs that read the platform on behalf of the fleet.

use {
    googletest::prelude::*,
    pointvane_core::{Incarnation, Name, VmIdentity, VmState},
    pointvane_mesh::{MemberRow, Stamp, choose_readers},
};

fn row(name: &str, data_centre: &str, link_mbps: u32) -> MemberRow {
    MemberRow {
        identity: VmIdentity {
            name: name.into(),
            data_centre: data_centre.into(),
            address: "10.0.0.1".parse().unwrap(),
            incarnation: Incarnation(1),
        },
        control_port: 1,
        entry_port: 2,
        state: VmState::Live,
        version: 1,
        entry: None,
        stamp: Stamp::default(),
        link_mbps,
    }
}

#[gtest]
fn readers_have_the_widest_links_and_are_spread_over_data_centres() {
    let thin = (0..40).map(|number| row(&format!("thin-{number}"), ["a", "b"][number % 2], 10));
    let wide = [row("wide-a", "a", 200), row("wide-b", "b", 200), row("wider-b", "b", 1_000)];
    let rows: Vec<MemberRow> = thin.chain(wide).collect();
    let chosen = choose_readers("platform", rows.iter(), 4);
    let names: Vec<&str> = chosen[..3].iter().map(Name::as_str).collect();
    expect_that!(names, elements_are![eq(&"wider-b"), eq(&"wide-a"), eq(&"wide-b")]);
    expect_that!(chosen[3].as_str(), starts_with("thin-"));
}

#[gtest]
fn readers_exclude_suspects_and_do_not_depend_on_the_order_of_rows() {
    let mut rows: Vec<MemberRow> = (0..20).map(|number| row(&format!("vm-{number}"), "a", 0)).collect();
    let chosen = choose_readers("platform", rows.iter(), 3);
    rows.reverse();
    expect_that!(choose_readers("platform", rows.iter(), 3), eq(&chosen));
    rows.iter_mut().filter(|row| row.identity.name == chosen[0]).for_each(|row| row.state = VmState::Suspect);
    expect_that!(choose_readers("platform", rows.iter(), 2), eq(&chosen[1..].to_vec()));
}
