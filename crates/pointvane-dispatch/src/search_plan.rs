//! The plan of one pass of a search: which data centres its probes go to, and how many are sent at once.
//!
//! Upstreams of the node's own data centre are probed first, and alone while they have room. Inputs: the
//! contention of each data centre (`contention.rs`), the distance to it (`locality.rs`) and the cost of its
//! upstreams (`cost.rs`). The more contended the own data centre is, the more of the first probes go to
//! others; a later round, which is sent only after near upstreams were contended, always contains others. The
//! others are drawn at random, in proportion to the room of their data centres, so that nodes with the same
//! information spread. One probe in each first round stays near, which shows when there is room again. Tests:
//! `tests/placement.rs`.

use {
    crate::{
        contention::Contention, locality::DistanceCriteria, pool::Pool, ranking::CandidateCriteria,
        search::SearchOptions, upstream_key::UpstreamKey,
    },
    pointvane_core::Name,
    rand::Rng,
};

/// Share of uncontended reports of the own data centre from which its upstreams are probed first, and alone.
const NEAR_ROOM_SHARE: f32 = 0.5;
/// Share of uncontended reports from which a single upstream is probed first.
const SINGLE_PROBE_SHARE: f32 = 0.85;
/// Number of upstreams probed in the round after a single one.
const SECOND_ROUND_IN_CALM: usize = 2;
/// Share of uncontended reports assumed for a data centre without recent ones.
const UNKNOWN_ROOM_SHARE: f32 = 0.5;
/// Minimum share of uncontended reports that is assumed, so that room is found when it returns.
const ROOM_SHARE_MIN: f32 = 0.02;

/// Numbers of upstreams probed in the rounds of a pass.
pub(crate) type RoundSizes = [usize; 3];

/// The plan of one pass.
#[derive(Clone, Debug, Default)]
pub(crate) struct SearchPlan {
    /// The candidates in the order of their probes.
    pub(crate) candidates: Vec<UpstreamKey>,
    /// Sizes of the rounds.
    pub(crate) round_sizes: RoundSizes,
    /// Whether the own data centre is contended.
    pub(crate) is_near_contended: bool,
    /// The cheapest upstream that a fresh report shows to be contended; it needs no probe.
    pub(crate) best_contended: Option<UpstreamKey>,
}

/// A candidate with its sort key: near ones first, then by `order`.
#[derive(Clone, Copy, Debug)]
struct Ranked {
    is_far: bool,
    order: f32,
    key: UpstreamKey,
}

/// Shares of the probes that go to other data centres.
#[derive(Clone, Copy, Debug)]
struct FarShares {
    first_round: f32,
    later_rounds: f32,
    first_round_size: usize,
    /// Position of the first probe that goes to another data centre for certain.
    first_far: usize,
}

impl FarShares {
    fn new(near: Option<Contention>, far_room: f32, first_round_size: usize, first_far: usize) -> Self {
        let near_room = near.map_or(1.0, |near| near.uncontended_share);
        let by_room = far_room / (far_room + near_room.max(ROOM_SHARE_MIN));
        let contended_share = (1.0 - near_room / NEAR_ROOM_SHARE).max(0.0);
        Self {
            first_round: contended_share * by_room,
            later_rounds: (1.0 - near_room) * by_room,
            first_round_size,
            first_far,
        }
    }

    fn at(&self, position: usize) -> f32 {
        match position {
            0 => 0.0,
            _ if position == self.first_far => 1.0,
            _ if position < self.first_round_size => self.first_round,
            _ if position < self.first_far => 0.0,
            _ => self.later_rounds,
        }
    }
}

impl Pool {
    /// Plans a pass of a search.
    pub(crate) fn plan_search(
        &mut self,
        service: &Name,
        criteria: &CandidateCriteria<'_>,
        options: SearchOptions,
        distance: DistanceCriteria,
        now_us: u64,
    ) -> SearchPlan {
        let near = self.contention(service, &self.data_centre, now_us);
        let keys = self.preferred_upstreams(service, criteria, now_us);
        let mut ranked: Vec<Ranked> = Vec::with_capacity(keys.len());
        let mut far_room = 0.0_f32;
        let mut best_contended: Option<(f32, UpstreamKey)> = None;
        for key in keys {
            if self.is_known_contended(key, now_us) {
                let cost = self.cost_at_distance(key, distance, now_us);
                if best_contended.is_none_or(|(best, _)| cost < best) {
                    best_contended = Some((cost, key));
                }
                continue;
            }
            let (candidate, room) = self.ranked(key, service, distance, now_us);
            far_room = far_room.max(room);
            ranked.push(candidate);
        }
        ranked.sort_by(|a, b| a.is_far.cmp(&b.is_far).then(a.order.total_cmp(&b.order)));
        let is_near_contended = near.is_some_and(|near| near.uncontended_share < NEAR_ROOM_SHARE);
        let has_far = ranked.last().is_some_and(|candidate| candidate.is_far);
        let round_sizes = match near {
            Some(near) if near.uncontended_share >= SINGLE_PROBE_SHARE => single_probe_first(options),
            _ if has_far && !is_near_contended => far_last(options),
            _ => [options.first_round, options.second_round, 0],
        };
        let first_far = if is_near_contended { round_sizes[0] } else { round_sizes[0] + round_sizes[1] };
        let shares = FarShares::new(near, far_room, round_sizes[0], first_far);
        SearchPlan {
            candidates: self.interleaved(&ranked, criteria.count, shares),
            round_sizes,
            is_near_contended,
            best_contended: best_contended.map(|(_, key)| key),
        }
    }

    /// A candidate with its sort key, and the room of its data centre if that is another one than the node's.
    fn ranked(
        &mut self,
        key: UpstreamKey,
        service: &Name,
        distance: DistanceCriteria,
        now_us: u64,
    ) -> (Ranked, f32) {
        let cost = self.cost(key, now_us);
        let random: f32 = self.rng.random();
        let far = self.upstreams.get(&key).filter(|state| state.record.data_centre != self.data_centre);
        let Some(state) = far else {
            let order = cost * (1.0 + self.options.jitter * random);
            return (Ranked { is_far: false, order, key }, 0.0);
        };
        let contention = self.contention(service, &state.record.data_centre, now_us);
        let room = contention.map_or(UNKNOWN_ROOM_SHARE, |contention| contention.uncontended_share);
        let room = room.max(ROOM_SHARE_MIN) / self.distance_factor(state, distance);
        // The least of exponential variates is distributed in proportion to their rates.
        let order = -(1.0 - random).ln() * cost * cost / room;
        (Ranked { is_far: true, order, key }, room)
    }

    /// The order of the probes, from candidates sorted by [`Ranked`].
    fn interleaved(&mut self, ranked: &[Ranked], count: usize, shares: FarShares) -> Vec<UpstreamKey> {
        let (near, far) = ranked.split_at(ranked.partition_point(|candidate| !candidate.is_far));
        let (mut near, mut far) = (near.iter(), far.iter());
        let mut candidates = Vec::with_capacity(count);
        for position in 0..count {
            let is_far = self.rng.random::<f32>() < shares.at(position);
            let next = if is_far { far.next().or_else(|| near.next()) } else { near.next() };
            let Some(next) = next.or_else(|| far.next()) else { break };
            candidates.push(next.key);
        }
        candidates
    }
}

/// A single probe, then two, then the others.
fn single_probe_first(options: SearchOptions) -> RoundSizes {
    let count = options.first_round + options.second_round;
    let first = options.first_round.min(1);
    let second = SECOND_ROUND_IN_CALM.min(options.second_round);
    [first, second, count - first - second]
}

/// The last probe in a round of its own, since it goes to another data centre.
fn far_last(options: SearchOptions) -> RoundSizes {
    let SearchOptions { first_round, second_round, .. } = options;
    [first_round, second_round.saturating_sub(1), second_round.min(1)]
}
