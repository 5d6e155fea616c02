//! Selects the entry VMs of an answer, without I/O.

use {
    pointvane_core::Name,
    pointvane_mesh::{MemberRow, home_vms},
    rand::Rng,
};

/// Parameters of a selection.
#[derive(Clone, Debug)]
pub struct ChooseOptions {
    /// Name of the service.
    pub service: Name,
    /// Number of entry VMs that serve the service; 0 for all.
    pub home_vms: usize,
    /// Preferred data centre: the caller's, or this VM's if the caller gave none.
    pub near: Name,
    /// Maximum number of entry VMs to return.
    pub count_max: usize,
}

/// Selects entry VMs at random, with a preference for lightly loaded ones: first those of the preferred data
/// centre, then at least one of another data centre, so that the caller can fail over when a data centre is
/// lost.
pub fn choose_entries<'a>(
    rows: impl Iterator<Item = &'a MemberRow>,
    options: &ChooseOptions,
    rng: &mut impl Rng,
) -> Vec<&'a MemberRow> {
    let home_rows = home_vms(&options.service, rows, options.home_vms);
    let (local, remote): (Vec<_>, Vec<_>) =
        home_rows.into_iter().partition(|row| row.identity.data_centre == options.near);
    let remote_shuffled = shuffle_by_load(remote, rng);
    let mut chosen = shuffle_by_load(local, rng);
    if !remote_shuffled.is_empty() {
        chosen.truncate(options.count_max.saturating_sub(1).max(1));
    }
    chosen.extend(remote_shuffled);
    chosen.truncate(options.count_max);
    chosen
}

/// Returns all rows in a random order that favours lightly loaded ones: each next row is the less loaded of
/// two that are drawn at random.
fn shuffle_by_load<'a>(mut rows: Vec<&'a MemberRow>, rng: &mut impl Rng) -> Vec<&'a MemberRow> {
    let mut shuffled = Vec::with_capacity(rows.len());
    while !rows.is_empty() {
        let (a, b) = (rng.random_range(0..rows.len()), rng.random_range(0..rows.len()));
        let less_loaded = if request_count(rows[b]) < request_count(rows[a]) { b } else { a };
        shuffled.push(rows.swap_remove(less_loaded));
    }
    shuffled
}

fn request_count(row: &MemberRow) -> u32 {
    row.entry.map_or(u32::MAX, |entry| entry.requests)
}
