//! Which entry VMs a caller is told: a pure decision.

use {
    pointvane_core::Name,
    pointvane_mesh::{MemberRow, home_vms},
    rand::Rng,
};

/// What is asked for.
#[derive(Clone, Debug)]
pub struct ChooseOptions {
    /// The service.
    pub service: Name,
    /// Entry VMs that serve it; 0 for all.
    pub home_vms: usize,
    /// The caller's data centre, or this VM's.
    pub near: Name,
    /// Most entry VMs to tell.
    pub count_max: usize,
}

/// The entry VMs to tell: near ones first, lightly loaded ones more often, and one elsewhere at the end so
/// that the loss of a data centre leaves the caller a way.
pub fn choose_entries<'a>(
    rows: impl Iterator<Item = &'a MemberRow>,
    options: &ChooseOptions,
    rng: &mut impl Rng,
) -> Vec<&'a MemberRow> {
    let home = home_vms(&options.service, rows, options.home_vms);
    let (near, far): (Vec<_>, Vec<_>) =
        home.into_iter().partition(|row| row.identity.data_centre == options.near);
    let far_first = draw_all(far, rng);
    let mut chosen = draw_all(near, rng);
    if !far_first.is_empty() {
        chosen.truncate(options.count_max.saturating_sub(1).max(1));
    }
    chosen.extend(far_first);
    chosen.truncate(options.count_max);
    chosen
}

/// All rows in a random order in which lighter ones tend to stand first: each place goes to the lighter of two.
fn draw_all<'a>(mut rows: Vec<&'a MemberRow>, rng: &mut impl Rng) -> Vec<&'a MemberRow> {
    let mut drawn = Vec::with_capacity(rows.len());
    while !rows.is_empty() {
        let (a, b) = (rng.random_range(0..rows.len()), rng.random_range(0..rows.len()));
        let lighter = if requests(rows[b]) < requests(rows[a]) { b } else { a };
        drawn.push(rows.swap_remove(lighter));
    }
    drawn
}

fn requests(row: &MemberRow) -> u32 {
    row.entry.map_or(u32::MAX, |entry| entry.requests)
}
