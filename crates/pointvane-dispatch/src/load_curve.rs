//! Load curve: how much longer work takes as an upstream's slots fill, and how many of them are worth filling; learned for each
//! service.
//!
//! Input: for each answer, the share of the upstream's slots that were taken when the request was sent, this one included, and its
//! latency as a multiple of what was expected of an uncontended upstream. Some services slow down from a part of their slots on, some
//! not at all, so nothing is assumed but a start value, which the first answers outweigh. What lies above the limit is learned from a
//! few requests that may exceed it by one level. One answer moves a level by at most a tenth.
//! Tests: `tests/load_curve.rs`, against a simulated service with knees and without.

use std::iter;

/// Levels of occupancy that are told apart at most; with fewer slots each is a level.
const LEVELS_MAX: u32 = 12;
/// Share of the slots from which on work is taken to last [`FIRST_FACTOR`] times as long before anything was measured.
///
/// With nothing assumed, and nothing learned, upstreams that do slow down were overfilled: 0.626 in place of 0.671 on five days of Roteiro
/// Vivo and Heatline, whose upstreams do. The figures themselves were not measured at other values.
const FIRST_SHARE: f32 = 0.8;
/// See [`FIRST_SHARE`].
const FIRST_FACTOR: f32 = 1.5;
/// Answers that the start value counts for. With 1, noise in levels that are rarely filled made idle upstreams seem slow.
const FIRST_WEIGHT: f32 = 4.0;
/// Answers that a level's estimate counts for at most, so that it follows changes.
///
/// Answers deviate by much, since the neighbours' noise changes behind the reports. With 24, a half life of 7 s and a start value of one
/// answer, Roteiro Vivo's scale-2 had 0.681 (0.689 so, three seeds), but a site of the trials with a knee at 0.6 followed sooner
/// (trouble-1 0.518 in place of 0.494, two seeds).
const WEIGHT_MAX: f32 = 80.0;
/// Age at which an answer counts half, in microseconds. Measured together with [`WEIGHT_MAX`].
const HALF_LIFE_US: f32 = 15_000_000.0;
/// Answers for each level after which older evidence counts 1/e, whatever its age.
///
/// Requests no longer reach a level that is wrongly taken for slow, so its evidence is not replaced, and by age alone it outweighs the
/// start value for a minute. Simulated service of the tests, 135 cases (nine knees, three seeds, five starts), least goodput as a share
/// of the best fixed limit's from 40 s to 80 s: 0.38 by age alone, 0.92 so; cases under 0.9: 24 and none. With 80, 3 in 100 answers
/// taking ten times as long put 17 cases under 0.9 after two minutes, with 160 eight, with 320 nine, by age alone three.
const AGING_ANSWERS: f32 = 160.0;
/// Answers for each of which one request may exceed the limit by one level.
///
/// Without such requests, and with estimates that fade within seconds instead, goodput at a knee of 0.4 with a slowdown of 4 was 0.67
/// of the best (simulated service of the tests): whenever the limit rose, all upstreams were overfilled at once. With one in 17 of
/// the requests offered, of which most are refused, it was 0.5 to 0.75.
const ANSWERS_PER_EXPLORATION: u32 = 50;
/// Largest deviation of one answer, as a multiple of what was expected: heavy tails count no more than that.
const RATIO_MAX: f32 = 6.0;
/// Least share of the best throughput at which more slots are filled: between two requests a slot is empty for the time of a report and
/// a send, which the curve does not see.
///
/// Where full upstreams have 0.88 of the best throughput by their latencies, filling two of three slots gave 0.626 and 0.460 on
/// Heatline's scale-1 and scale-2, filling all 0.677 and 0.505.
const THROUGHPUT_SHARE: f32 = 0.85;

/// Part of a level by which an occupancy may be over its boundary.
const BOUNDARY_MARGIN: f32 = 0.01;

/// What was learned of one level of occupancy.
#[derive(Clone, Copy, Debug, Default)]
struct Level {
    /// Answers that it rests on, older ones counting less.
    weight: f32,
    /// Mean logarithm of their latencies as multiples of what was expected.
    log_mean: f32,
}

/// How much longer work takes as an upstream's slots fill.
#[derive(Clone, Debug)]
pub struct LoadCurve {
    levels: Vec<Level>,
    /// Factors on the latency by level, never falling.
    factors: Vec<f32>,
    /// Levels that are worth filling.
    limit: usize,
    recorded_at_us: u64,
    /// Answers since a request last exceeded the limit.
    answers: u32,
}

impl LoadCurve {
    /// A service whose upstreams have so many slots, of which nothing was measured.
    pub fn new(slots: u32) -> Self {
        let count = slots.clamp(1, LEVELS_MAX) as usize;
        let mut curve = Self {
            levels: vec![Level::default(); count],
            factors: vec![1.0; count],
            limit: count,
            recorded_at_us: 0,
            answers: 0,
        };
        curve.derive();
        curve
    }

    /// Records an answer: the share of the slots that were taken with its request, and its latency as a multiple of that expected of an
    /// uncontended upstream.
    pub fn record(&mut self, occupancy: f32, ratio: f32, now_us: u64) {
        if occupancy > 1.0 || !ratio.is_finite() {
            return;
        }
        self.answers = self.answers.saturating_add(1);
        self.fade(now_us);
        let index = self.index(occupancy);
        self.levels[index].record(ratio.clamp(1.0 / RATIO_MAX, RATIO_MAX).ln());
        self.derive();
        self.move_limit();
    }

    /// Factor on the latency of a request with which a share of the slots is taken.
    pub fn factor(&self, occupancy: f32) -> f32 {
        self.factors[self.index(occupancy)]
    }

    /// Share of the slots that are worth filling.
    pub fn limit(&self) -> f32 {
        self.occupancy(self.limit - 1)
    }

    /// Whether a request may be sent with which a share of the slots is taken. Once in a while one may that exceeds the limit.
    pub fn admits(&mut self, occupancy: f32) -> bool {
        if occupancy > 1.0 {
            return false;
        }
        let beyond = (self.index(occupancy) + 1).saturating_sub(self.limit);
        if beyond == 1 && self.answers >= ANSWERS_PER_EXPLORATION {
            self.answers = 0;
            return true;
        }
        beyond == 0
    }

    /// Ages the evidence by the time since the last answer, and by this one.
    fn fade(&mut self, now_us: u64) {
        let elapsed_us = now_us.saturating_sub(self.recorded_at_us);
        self.recorded_at_us = now_us;
        let by_answer = 1.0 - 1.0 / (AGING_ANSWERS * self.levels.len() as f32);
        let share = by_answer * (-(elapsed_us as f32) / HALF_LIFE_US).exp2();
        self.levels.iter_mut().for_each(|level| level.weight *= share);
    }

    /// Derives the factors anew by isotonic regression (pool adjacent violators): a level whose estimate is below that of an emptier one
    /// shares a weighted mean with it. Factors are multiples of the emptiest level's latency; a level's start value is a multiple of the
    /// estimate of the level below it.
    fn derive(&mut self) {
        let mut blocks: Vec<LevelBlock> = Vec::with_capacity(self.levels.len());
        let mut before = LevelStart { factor: 1.0, log_mean: 0.0 };
        for index in 0..self.levels.len() {
            let factor = if self.occupancy(index) > FIRST_SHARE { FIRST_FACTOR } else { 1.0 };
            let start = LevelStart { factor, log_mean: before.log_mean + (factor / before.factor).ln() };
            let mut block = self.levels[index].estimate(start);
            before = LevelStart { factor, log_mean: block.log_mean };
            while let Some(emptier) = blocks.pop_if(|emptier| emptier.log_mean > block.log_mean) {
                block = block.joined(&emptier);
            }
            blocks.push(block);
        }
        let least = blocks.first().map_or(0.0, |block| block.log_mean);
        let factors =
            blocks.iter().flat_map(|block| iter::repeat_n((block.log_mean - least).exp(), block.levels));
        self.factors = factors.collect();
    }

    /// Moves the limit to the fullest level whose throughput is near the best: down at once, up one level for each answer.
    fn move_limit(&mut self) {
        let throughput = |index: usize| self.occupancy(index) / self.factors[index];
        let indices = 0..self.levels.len();
        let best = indices.clone().map(throughput).fold(0.0, f32::max);
        let fullest = indices.rev().find(|index| throughput(*index) >= best * THROUGHPUT_SHARE);
        let wanted = fullest.map_or(self.levels.len(), |index| index + 1);
        self.limit = wanted.min(self.limit + 1);
    }

    /// Share of the slots up to which a level goes.
    fn occupancy(&self, index: usize) -> f32 {
        (index + 1) as f32 / self.levels.len() as f32
    }

    /// The level of an occupancy; beyond all slots the last.
    fn index(&self, occupancy: f32) -> usize {
        // Each boundary belongs to the level below it, whatever the division gives.
        let above = (occupancy * self.levels.len() as f32 - BOUNDARY_MARGIN).max(0.0) as usize;
        above.min(self.levels.len() - 1)
    }
}

/// What is taken of a level before it is measured.
#[derive(Clone, Copy, Debug)]
struct LevelStart {
    factor: f32,
    log_mean: f32,
}

/// Adjacent levels with one estimate.
#[derive(Clone, Copy, Debug)]
struct LevelBlock {
    levels: usize,
    weight: f32,
    log_mean: f32,
}

impl Level {
    fn record(&mut self, log_ratio: f32) {
        self.weight = (self.weight + 1.0).min(WEIGHT_MAX);
        self.log_mean += (log_ratio - self.log_mean) / self.weight;
    }

    /// The estimate, between the start value and what was measured.
    fn estimate(&self, start: LevelStart) -> LevelBlock {
        let weight = self.weight + FIRST_WEIGHT;
        let log_mean = (self.log_mean * self.weight + start.log_mean * FIRST_WEIGHT) / weight;
        LevelBlock { levels: 1, weight, log_mean }
    }
}

impl LevelBlock {
    fn joined(&self, other: &Self) -> Self {
        let weight = self.weight + other.weight;
        let log_mean = (self.log_mean * self.weight + other.log_mean * other.weight) / weight;
        Self { levels: self.levels + other.levels, weight, log_mean }
    }
}
