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
        contention::Contention,
        locality::DistanceCriteria,
        pool::Pool,
        probe_rounds::{ProbeRounds, ROOM_SHARE_MIN, RoundSizes},
        ranking::CandidateCriteria,
        search::SearchOptions,
        upstream::UpstreamState,
        upstream_key::UpstreamKey,
    },
    pointvane_core::Name,
    rand::{Rng, SeedableRng, rngs::SmallRng},
};

/// Share of uncontended reports assumed of the own data centre without recent ones.
const ASSUMED_NEAR_SHARE: f32 = 0.75;
/// Share of uncontended reports assumed of another data centre without recent ones.
const ASSUMED_FAR_SHARE: f32 = 0.5;
/// Number of reports that the assumed share counts as, since a few reports of a node alone say little.
const ASSUMED_REPORTS: f32 = 4.0;

/// The plan of one pass.
#[derive(Clone, Debug, Default)]
pub(crate) struct SearchPlan {
    /// The candidates in the order of their probes.
    pub(crate) candidates: Vec<UpstreamKey>,
    /// Sizes of the rounds.
    pub(crate) round_sizes: RoundSizes,
    /// Whether the own data centre is contended.
    pub(crate) is_near_contended: bool,
    /// Whether the own data centre has no upstream that may get the request.
    pub(crate) is_far_only: bool,
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

/// The candidates of one pass.
#[derive(Clone, Debug, Default)]
struct RankedCandidates {
    candidates: Vec<Ranked>,
    /// Whether an upstream of the own data centre may get the request.
    has_near: bool,
    /// The most room in another data centre.
    far_room: f32,
    /// The cheapest upstream that needs no probe, since a valid report shows it to be contended.
    best_contended: Option<(f32, UpstreamKey)>,
}

impl RankedCandidates {
    fn add_contended(&mut self, key: UpstreamKey, cost: f32) {
        if self.best_contended.is_none_or(|(best, _)| cost < best) {
            self.best_contended = Some((cost, key));
        }
    }

    /// Whether upstreams of other data centres are among the sorted candidates.
    fn has_far(&self) -> bool {
        self.candidates.last().is_some_and(|candidate| candidate.is_far)
    }
}

impl Pool {
    /// Plans a pass of a search. If `is_near_preferred`, other data centres are probed only while the own one is
    /// known to be contended.
    pub(crate) fn plan_search(
        &mut self,
        service: &Name,
        criteria: &CandidateCriteria<'_>,
        options: SearchOptions,
        distance: DistanceCriteria,
        is_near_preferred: bool,
        now_us: u64,
    ) -> SearchPlan {
        let near_room = room_share(self.contention(service, &self.data_centre, now_us), ASSUMED_NEAR_SHARE);
        let keys = self.preferred_upstreams(service, criteria, now_us);
        let mut ranked =
            RankedCandidates { candidates: Vec::with_capacity(keys.len()), ..Default::default() };
        // A separate generator, since the candidates borrow the pool.
        let mut rng = SmallRng::from_rng(&mut self.rng);
        for key in keys {
            self.rank_candidate(&mut ranked, key, service, distance, &mut rng, now_us);
        }
        ranked.candidates.sort_by(|a, b| a.is_far.cmp(&b.is_far).then(a.order.total_cmp(&b.order)));
        let is_near_only = is_near_preferred || !ranked.has_far();
        let rounds = ProbeRounds::new(options, near_room, ranked.far_room, is_near_only);
        SearchPlan {
            candidates: interleaved(&ranked.candidates, criteria.count, rounds, &mut rng),
            round_sizes: rounds.sizes,
            is_near_contended: rounds.is_near_contended,
            is_far_only: !ranked.has_near,
            best_contended: ranked.best_contended.map(|(_, key)| key),
        }
    }

    /// Adds an upstream with its sort key, unless a valid report shows it to be contended.
    fn rank_candidate(
        &self,
        ranked: &mut RankedCandidates,
        key: UpstreamKey,
        service: &Name,
        distance: DistanceCriteria,
        rng: &mut SmallRng,
        now_us: u64,
    ) {
        let Some((state, service_state)) = self.upstreams.get(&key).zip(self.services.get(service)) else {
            return;
        };
        let is_far = state.record.data_centre != self.data_centre;
        ranked.has_near |= !is_far;
        let cost = state.cost(service_state, now_us);
        let is_contended = cost > self.options.uncontended_cost;
        if is_contended && self.has_fresh_report(state, now_us) {
            ranked.add_contended(key, cost * self.distance_factor(state, distance));
            return;
        }
        let order = if is_far {
            let room = self.room_at_distance(service, state, distance, now_us);
            ranked.far_room = ranked.far_room.max(room);
            // The least of exponential variates is distributed in proportion to their rates.
            -(1.0 - rng.random::<f32>()).ln() * cost * cost / room
        } else {
            cost * (1.0 + self.options.jitter * rng.random::<f32>())
        };
        ranked.candidates.push(Ranked { is_far, order, key });
    }

    /// Share of uncontended reports of an upstream's data centre, the less the further away it is.
    fn room_at_distance(
        &self,
        service: &Name,
        state: &UpstreamState,
        distance: DistanceCriteria,
        now_us: u64,
    ) -> f32 {
        let contention = self.contention(service, &state.record.data_centre, now_us);
        room_share(contention, ASSUMED_FAR_SHARE).max(ROOM_SHARE_MIN) / self.distance_factor(state, distance)
    }
}

/// Share of uncontended reports, drawn towards the assumed one where there are few.
fn room_share(contention: Option<Contention>, assumed_share: f32) -> f32 {
    let (reports, uncontended_share) =
        contention.map_or((0.0, 0.0), |contention| (contention.reports, contention.uncontended_share));
    (reports * uncontended_share + ASSUMED_REPORTS * assumed_share) / (reports + ASSUMED_REPORTS)
}

/// The order of the probes, from candidates sorted by [`Ranked`].
fn interleaved(ranked: &[Ranked], count: usize, rounds: ProbeRounds, rng: &mut SmallRng) -> Vec<UpstreamKey> {
    let (near, far) = ranked.split_at(ranked.partition_point(|candidate| !candidate.is_far));
    let (mut near, mut far) = (near.iter(), far.iter());
    let mut candidates = Vec::with_capacity(count);
    for position in 0..count {
        let is_far = rng.random::<f32>() < rounds.far_share(position);
        let next = if is_far { far.next().or_else(|| near.next()) } else { near.next() };
        let Some(next) = next.or_else(|| far.next()) else { break };
        candidates.push(next.key);
    }
    candidates
}
