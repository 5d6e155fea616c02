//! Load-balancing policies: selection of one upstream.

use {
    crate::upstream::{ScoreContext, UpstreamState},
    pointvane_config::Policy,
    rand::{Rng, rngs::SmallRng},
};

/// Random draws beyond the requested number of candidates before all upstreams are scanned.
const EXTRA_DRAWS: usize = 4;

/// Selects upstreams by one policy.
#[derive(Clone, Debug)]
pub struct Chooser {
    policy: Policy,
    choices: usize,
    next_index: usize,
    rng: SmallRng,
}

impl Chooser {
    /// Creates a chooser. `choices` is the number of candidates that [`Policy::Shared`] compares.
    pub fn new(policy: Policy, choices: u8, rng: SmallRng) -> Self {
        Self { policy, choices: usize::from(choices), next_index: 0, rng }
    }

    /// Returns the index of the selected upstream among those that `usable` accepts, or `None` if it accepts
    /// none.
    pub fn choose<U>(
        &mut self,
        upstreams: &[UpstreamState],
        context: &ScoreContext<'_>,
        usable: U,
    ) -> Option<usize>
    where
        U: Fn(usize, &UpstreamState) -> bool,
    {
        let own_load =
            |state: &UpstreamState| f32::from(state.own_in_flight) / f32::from(state.upstream.slots);
        match self.policy {
            Policy::Random => self.best_of(1, upstreams, usable, |_| 0.0),
            Policy::RoundRobin => self.round_robin(upstreams, usable),
            Policy::LocalLeast => self.best_of_all(upstreams, usable, own_load),
            Policy::LocalTwoChoices => self.best_of(2, upstreams, usable, own_load),
            Policy::Shared => self.best_of(self.choices, upstreams, usable, |state| state.score(context)),
        }
    }

    /// Returns the upstream with the lowest score among `candidate_count` random usable ones. Scans all
    /// upstreams if the draws find no usable one.
    fn best_of<U, S>(
        &mut self,
        candidate_count: usize,
        upstreams: &[UpstreamState],
        usable: U,
        score: S,
    ) -> Option<usize>
    where
        U: Fn(usize, &UpstreamState) -> bool,
        S: Fn(&UpstreamState) -> f32,
    {
        if candidate_count >= upstreams.len() {
            return self.best_of_all(upstreams, usable, score);
        }
        let mut best: Option<(usize, f32)> = None;
        let mut compared = 0;
        for _ in 0..candidate_count + EXTRA_DRAWS {
            let index = self.rng.random_range(0..upstreams.len());
            let is_current_best = best.is_some_and(|(best_index, _)| best_index == index);
            if is_current_best || !usable(index, &upstreams[index]) {
                continue;
            }
            compared += 1;
            best = lower_score(best, index, score(&upstreams[index]));
            if compared == candidate_count {
                break;
            }
        }
        match best {
            Some((index, _)) => Some(index),
            None => self.best_of_all(upstreams, usable, score),
        }
    }

    /// Returns the usable upstream with the lowest score. The scan starts at a random index, so that ties are
    /// broken at random.
    fn best_of_all<U, S>(&mut self, upstreams: &[UpstreamState], usable: U, score: S) -> Option<usize>
    where
        U: Fn(usize, &UpstreamState) -> bool,
        S: Fn(&UpstreamState) -> f32,
    {
        if upstreams.is_empty() {
            return None;
        }
        let start = self.rng.random_range(0..upstreams.len());
        let order = (start..upstreams.len()).chain(0..start);
        let candidates = order.filter(|&index| usable(index, &upstreams[index]));
        let best = candidates.fold(None, |best, index| lower_score(best, index, score(&upstreams[index])));
        best.map(|(index, _)| index)
    }

    fn round_robin<U>(&mut self, upstreams: &[UpstreamState], usable: U) -> Option<usize>
    where
        U: Fn(usize, &UpstreamState) -> bool,
    {
        let count = upstreams.len();
        let index =
            (0..count).map(|step| (self.next_index + step) % count).find(|&i| usable(i, &upstreams[i]))?;
        self.next_index = (index + 1) % count;
        Some(index)
    }
}

fn lower_score(best: Option<(usize, f32)>, index: usize, score: f32) -> Option<(usize, f32)> {
    match best {
        Some((_, lowest)) if lowest <= score => best,
        _ => Some((index, score)),
    }
}
