//! Load curve: how much longer work takes as the slots of an upstream fill up, and how many slots are worth
//! filling. Learned per service.
//!
//! Input, for each response: the share of the upstream's slots in use when the request was sent (that request
//! included), and its latency as a multiple of the latency expected of an uncontended upstream. Some services
//! slow down above some share of their slots, others do not, so the only assumption is a weak prior that the
//! first responses outweigh. Levels above the limit are explored by a few requests that may exceed it by one
//! level. Once a level has some responses, a single response changes its factor by at most a tenth. Tests:
//! `tests/load_curve.rs`, with a simulated service with and without a knee.

use std::iter;

/// Maximum number of occupancy levels; an upstream with fewer slots has one level per slot.
const LEVELS_MAX: u32 = 12;
/// Prior: share of the slots above which work is assumed to take [`PRIOR_FACTOR`] times as long.
///
/// With neither a prior nor learning, upstreams that do slow down were overfilled.
const PRIOR_KNEE_SHARE: f32 = 0.8;
/// Prior: factor on the latency above [`PRIOR_KNEE_SHARE`].
const PRIOR_FACTOR: f32 = 1.5;
/// Weight of the prior, in responses.
///
/// With 1, noise in levels that are rarely reached made idle upstreams look slow.
const PRIOR_WEIGHT: f32 = 4.0;
/// Maximum weight of a level's estimate, in responses, so that the estimate follows changes.
///
/// Latencies vary widely, since noise from co-located workloads changes faster than load reports show, so
/// many responses are averaged. With 24, a half-life of 7 s and a prior weight of 1, a change of the knee is
/// followed sooner, but results without such changes were slightly worse.
const LEVEL_WEIGHT_MAX: f32 = 80.0;
/// Half-life of the weight of a response, in microseconds. See [`LEVEL_WEIGHT_MAX`] for the effect of a
/// shorter one.
const RESPONSE_HALF_LIFE_US: f32 = 15_000_000.0;
/// Responses per level after which the weight of older evidence has dropped to 1/e, whatever its age.
///
/// A level wrongly estimated as slow gets no more requests, so its evidence is not replaced; decaying by age
/// alone, it outweighs the prior for a minute. In 135 simulated cases (nine knees, three seeds, five initial
/// curves) the lowest goodput between 40 s and 80 s, relative to the best fixed limit, was 0.38 when decaying
/// by age alone (24 cases below 0.9) and 0.92 with this decay (none below 0.9). Where 3 in 100 responses took
/// ten times as long, the cases below 0.9 after two minutes were 17 with a value of 80, 8 with 160, 9 with
/// 320, and 3 when decaying by age alone.
const DECAY_RESPONSES: f32 = 160.0;
/// Responses between two requests that may exceed the limit by one level.
///
/// Without exploration, and with estimates that decay within seconds instead, the goodput of a simulated
/// service with a knee at 0.4 and a slowdown of 4 was 0.67 of the best: whenever the limit rose, all
/// upstreams were overfilled at once. With one in 17 of the offered requests, most of which are refused, it
/// was 0.5 to 0.75.
const RESPONSES_PER_EXPLORATION: u32 = 50;
/// Bound on the latency ratio of one response, and on its inverse, so that heavy tails do not dominate the
/// mean.
const LATENCY_RATIO_MAX: f32 = 6.0;
/// Minimum share of the best throughput at which more slots are still filled.
///
/// Between two requests a slot is idle for the time of a report and a send, which the curve does not see.
/// Upstreams with three slots that by their latencies reach 0.88 of the best throughput when full did better
/// full than with two slots in use.
const THROUGHPUT_SHARE_MIN: f32 = 0.85;

/// Tolerance at the boundary of a level, as a share of a level.
const BOUNDARY_TOLERANCE: f32 = 0.01;

/// Estimate of one occupancy level.
#[derive(Clone, Copy, Debug, Default)]
struct Level {
    /// Number of responses behind the estimate, older ones weighted less.
    weight: f32,
    /// Mean logarithm of their latency ratios.
    log_mean: f32,
}

/// Latency factor by occupancy for the upstreams of one service, and the resulting limit on the slots in use.
#[derive(Clone, Debug)]
pub struct LoadCurve {
    levels: Vec<Level>,
    /// Factor on the latency for each level, non-decreasing.
    factors: Vec<f32>,
    /// Number of levels that are worth filling.
    limit: usize,
    recorded_at_us: u64,
    /// Responses since a request last exceeded the limit.
    responses: u32,
}

impl LoadCurve {
    /// A curve for upstreams with `slots` slots and no responses yet.
    pub fn new(slots: u32) -> Self {
        let count = slots.clamp(1, LEVELS_MAX) as usize;
        let mut curve = Self {
            levels: vec![Level::default(); count],
            factors: vec![1.0; count],
            limit: count,
            recorded_at_us: 0,
            responses: 0,
        };
        curve.update_factors();
        curve
    }

    /// Records a response: the share of the slots in use with its request, and its latency as a multiple of
    /// the latency expected of an uncontended upstream. Ignored if the request was queued (`occupancy` above
    /// 1) or `ratio` is not finite.
    pub fn record(&mut self, occupancy: f32, ratio: f32, now_us: u64) {
        if occupancy > 1.0 || !ratio.is_finite() {
            return;
        }
        self.responses = self.responses.saturating_add(1);
        self.decay(now_us);
        let index = self.index(occupancy);
        self.levels[index].record(ratio.clamp(1.0 / LATENCY_RATIO_MAX, LATENCY_RATIO_MAX).ln());
        self.update_factors();
        self.update_limit();
    }

    /// Factor on the latency of a request with which `occupancy` of the slots are in use.
    pub fn factor(&self, occupancy: f32) -> f32 {
        self.factors[self.index(occupancy)]
    }

    /// Share of the slots that is worth filling.
    pub fn limit(&self) -> f32 {
        self.occupancy(self.limit - 1)
    }

    /// Whether a request may be sent with which `occupancy` of the slots are in use. Occasionally true for
    /// one level above the limit, to explore it.
    pub fn admits(&mut self, occupancy: f32) -> bool {
        if occupancy > 1.0 {
            return false;
        }
        let levels_above_limit = (self.index(occupancy) + 1).saturating_sub(self.limit);
        if levels_above_limit == 1 && self.responses >= RESPONSES_PER_EXPLORATION {
            self.responses = 0;
            return true;
        }
        levels_above_limit == 0
    }

    /// Decays the weight of all levels by the time since the last response, and by one response.
    fn decay(&mut self, now_us: u64) {
        let elapsed_us = now_us.saturating_sub(self.recorded_at_us);
        self.recorded_at_us = now_us;
        let response_decay = 1.0 - 1.0 / (DECAY_RESPONSES * self.levels.len() as f32);
        let decay_factor = response_decay * (-(elapsed_us as f32) / RESPONSE_HALF_LIFE_US).exp2();
        self.levels.iter_mut().for_each(|level| level.weight *= decay_factor);
    }

    /// Recomputes the factors by isotonic regression (pool adjacent violators): a level whose estimate is
    /// below that of a lower level is merged with it into a weighted mean. Factors are relative to the lowest
    /// level; the prior of a level is relative to the estimate of the level below it.
    fn update_factors(&mut self) {
        let mut blocks: Vec<LevelBlock> = Vec::with_capacity(self.levels.len());
        let mut previous = LevelPrior { factor: 1.0, log_mean: 0.0 };
        for index in 0..self.levels.len() {
            let factor = if self.occupancy(index) > PRIOR_KNEE_SHARE { PRIOR_FACTOR } else { 1.0 };
            let prior = LevelPrior { factor, log_mean: previous.log_mean + (factor / previous.factor).ln() };
            let mut block = self.levels[index].estimate(prior);
            previous = LevelPrior { factor, log_mean: block.log_mean };
            while let Some(lower) = blocks.pop_if(|lower| lower.log_mean > block.log_mean) {
                block = block.merged(&lower);
            }
            blocks.push(block);
        }
        let lowest_log_mean = blocks.first().map_or(0.0, |block| block.log_mean);
        let factors = blocks
            .iter()
            .flat_map(|block| iter::repeat_n((block.log_mean - lowest_log_mean).exp(), block.levels));
        self.factors = factors.collect();
    }

    /// Sets the limit to the highest level whose throughput is near the best. It falls at once and rises by
    /// one level for each response.
    fn update_limit(&mut self) {
        let throughput = |index: usize| self.occupancy(index) / self.factors[index];
        let indices = 0..self.levels.len();
        let best = indices.clone().map(throughput).fold(0.0, f32::max);
        let highest = indices.rev().find(|index| throughput(*index) >= best * THROUGHPUT_SHARE_MIN);
        let target = highest.map_or(self.levels.len(), |index| index + 1);
        self.limit = target.min(self.limit + 1);
    }

    /// Upper bound of a level, as a share of the slots.
    fn occupancy(&self, index: usize) -> f32 {
        (index + 1) as f32 / self.levels.len() as f32
    }

    /// The level of an occupancy; the highest level if it is above 1.
    fn index(&self, occupancy: f32) -> usize {
        // A boundary belongs to the lower level, also where the product is rounded up.
        let index = (occupancy * self.levels.len() as f32 - BOUNDARY_TOLERANCE).max(0.0) as usize;
        index.min(self.levels.len() - 1)
    }
}

/// Prior of one level.
#[derive(Clone, Copy, Debug)]
struct LevelPrior {
    factor: f32,
    log_mean: f32,
}

/// Adjacent levels with a common estimate.
#[derive(Clone, Copy, Debug)]
struct LevelBlock {
    levels: usize,
    weight: f32,
    log_mean: f32,
}

impl Level {
    fn record(&mut self, log_ratio: f32) {
        self.weight = (self.weight + 1.0).min(LEVEL_WEIGHT_MAX);
        self.log_mean += (log_ratio - self.log_mean) / self.weight;
    }

    /// The weighted mean of the prior and the recorded responses.
    fn estimate(&self, prior: LevelPrior) -> LevelBlock {
        let weight = self.weight + PRIOR_WEIGHT;
        let log_mean = (self.log_mean * self.weight + prior.log_mean * PRIOR_WEIGHT) / weight;
        LevelBlock { levels: 1, weight, log_mean }
    }
}

impl LevelBlock {
    fn merged(&self, other: &Self) -> Self {
        let weight = self.weight + other.weight;
        let log_mean = (self.log_mean * self.weight + other.log_mean * other.weight) / weight;
        Self { levels: self.levels + other.levels, weight, log_mean }
    }
}
