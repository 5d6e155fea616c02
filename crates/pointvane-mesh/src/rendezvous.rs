//! Choices that all processes make alike without agreement: rendezvous hashing over the members.

use {
    crate::member::MemberRow,
    pointvane_core::{Name, VmState},
    std::{cmp::Reverse, collections::BTreeSet},
};

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Rank of a VM for a subject; the same in every process and build.
pub fn rank(subject: &str, vm: &Name) -> u64 {
    let bytes = subject.bytes().chain([0]).chain(vm.as_str().bytes());
    let hash = bytes.fold(FNV_OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
    mix(hash)
}

/// Spreads FNV's weak high bits (the finishing step of SplitMix64).
fn mix(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

/// The VMs that read a key of the platform: one a data centre before a second anywhere; where there is a choice those with the
/// widest links, the best ranked among equals.
///
/// What readers have read goes out over their links to many others at once (docs/incidents/2026-12-02-late-configurations.md).
pub fn choose_readers<'a>(key: &str, rows: impl Iterator<Item = &'a MemberRow>, count: usize) -> Vec<Name> {
    let mut live: Vec<_> = rows.filter(|row| row.state == VmState::Live).collect();
    let order = |row: &MemberRow| (Reverse(row.link_mbps), Reverse(rank(key, &row.identity.name)));
    live.sort_by_cached_key(|row| (order(row), row.identity.name.clone()));
    let mut centres = BTreeSet::new();
    let (firsts, others): (Vec<_>, Vec<_>) =
        live.into_iter().partition(|row| centres.insert(&row.identity.data_centre));
    firsts.into_iter().chain(others).take(count).map(|row| row.identity.name.clone()).collect()
}

/// The entry VMs that callers of a service are sent to; all of them when `count` is 0 or covers them.
pub fn home_vms<'a>(
    service: &Name,
    rows: impl Iterator<Item = &'a MemberRow>,
    count: usize,
) -> Vec<&'a MemberRow> {
    let mut usable: Vec<_> = rows.filter(|row| row.takes_callers()).collect();
    if count == 0 || count >= usable.len() {
        return usable;
    }
    usable.sort_by_key(|row| Reverse(rank(service.as_str(), &row.identity.name)));
    usable.truncate(count);
    usable
}
