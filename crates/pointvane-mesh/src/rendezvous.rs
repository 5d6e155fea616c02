//! Rendezvous hashing over the members: processes with the same member rows choose the same VMs without
//! coordination.

use {
    crate::member::MemberRow,
    pointvane_core::{Name, VmState},
    std::{cmp::Reverse, collections::BTreeSet},
};

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Rank of a VM for a hash key, such as a platform key or a service; the same in every process and build.
/// Higher ranks are chosen first.
pub fn rank(hash_key: &str, vm: &Name) -> u64 {
    let bytes = hash_key.bytes().chain([0]).chain(vm.as_str().bytes());
    let hash = bytes.fold(FNV_OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
    splitmix64_finalizer(hash)
}

/// Improves the weak distribution of FNV's high bits with the finalizer of SplitMix64.
fn splitmix64_finalizer(mut hash: u64) -> u64 {
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

/// Chooses the live VMs that read a key of the platform, at most `count`: one in each data centre before a
/// second one in any. VMs with greater link bandwidth are preferred, and among equals those of higher rank.
///
/// Readers send what they have read over their links to many other VMs at once.
pub fn choose_readers<'a>(key: &str, rows: impl Iterator<Item = &'a MemberRow>, count: usize) -> Vec<Name> {
    let mut live: Vec<_> = rows.filter(|row| row.state == VmState::Live).collect();
    let order = |row: &MemberRow| (Reverse(row.link_mbps), Reverse(rank(key, &row.identity.name)));
    live.sort_by_cached_key(|row| (order(row), row.identity.name.clone()));
    let mut data_centres = BTreeSet::new();
    let (first_per_data_centre, others): (Vec<_>, Vec<_>) =
        live.into_iter().partition(|row| data_centres.insert(&row.identity.data_centre));
    first_per_data_centre.into_iter().chain(others).take(count).map(|row| row.identity.name.clone()).collect()
}

/// Chooses the entry VMs that callers of a service are sent to, by rank, among those that accept callers.
/// Returns all of these if `count` is 0 or at least their number.
pub fn home_vms<'a>(
    service: &Name,
    rows: impl Iterator<Item = &'a MemberRow>,
    count: usize,
) -> Vec<&'a MemberRow> {
    let mut usable: Vec<_> = rows.filter(|row| row.accepts_callers()).collect();
    if count == 0 || count >= usable.len() {
        return usable;
    }
    usable.sort_by_key(|row| Reverse(rank(service.as_str(), &row.identity.name)));
    usable.truncate(count);
    usable
}
