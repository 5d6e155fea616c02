//! The rounds of probes of one pass: how many are sent at once, and which share of them goes to other data
//! centres than the node's own. Inputs: the share of uncontended reports of the own data centre and of the
//! others, and the options of the node. `search_plan.rs` selects the upstreams.

use crate::search::SearchOptions;

/// Share of uncontended reports of the own data centre from which its upstreams are probed first, and alone.
const NEAR_ROOM_SHARE: f32 = 0.5;
/// Share of uncontended reports from which a single upstream is probed first.
const SINGLE_PROBE_SHARE: f32 = 0.85;
/// Number of upstreams probed in the round after a single one.
const SECOND_ROUND_IN_CALM: usize = 2;
/// Minimum share of uncontended reports that is assumed, so that room is found when it returns.
pub(crate) const ROOM_SHARE_MIN: f32 = 0.02;

/// Numbers of upstreams probed in the rounds of a pass.
pub(crate) type RoundSizes = [usize; 3];

/// The rounds of probes of one pass.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ProbeRounds {
    /// Sizes of the rounds.
    pub(crate) sizes: RoundSizes,
    /// Whether the own data centre is contended.
    pub(crate) is_near_contended: bool,
    /// Position of the first probe that goes to another data centre for certain, if there is one.
    first_far: Option<usize>,
    /// Share of the probes of the first round, except its first, that go to other data centres.
    first_round_share: f32,
    /// Share of the probes after `first_far` that go to other data centres.
    later_share: f32,
}

impl ProbeRounds {
    /// `is_near_only`: other data centres are probed only if the own one is contended.
    pub(crate) fn new(options: SearchOptions, near_room: f32, far_room: f32, is_near_only: bool) -> Self {
        let SearchOptions { first_round, second_round, .. } = options;
        let is_near_contended = near_room < NEAR_ROOM_SHARE;
        let (sizes, first_far) = if is_near_contended {
            ([first_round, second_round, 0], Some(first_round))
        } else if near_room >= SINGLE_PROBE_SHARE {
            let first = first_round.min(1);
            let second = SECOND_ROUND_IN_CALM.min(second_round);
            let sizes = [first, second, first_round + second_round - first - second];
            (sizes, (!is_near_only).then_some(first + second))
        } else if is_near_only {
            ([first_round, second_round, 0], None)
        } else {
            // The probe to another data centre has a round of its own.
            let near_second = second_round.saturating_sub(1);
            ([first_round, near_second, second_round - near_second], Some(first_round + near_second))
        };
        let by_room = far_room / (far_room + near_room.max(ROOM_SHARE_MIN));
        let contended_share = (1.0 - near_room / NEAR_ROOM_SHARE).max(0.0);
        Self {
            sizes,
            is_near_contended,
            first_far,
            first_round_share: contended_share * by_room,
            later_share: (1.0 - near_room) * by_room,
        }
    }

    /// Probability that the probe at a position goes to another data centre.
    pub(crate) fn far_share(&self, position: usize) -> f32 {
        match self.first_far {
            _ if position == 0 => 0.0,
            Some(first_far) if position == first_far => 1.0,
            Some(first_far) if position > first_far => self.later_share,
            _ if position < self.sizes[0] => self.first_round_share,
            _ => 0.0,
        }
    }
}
