//! Choosing one upstream: the policies.

use {
    crate::upstream::{ScoreContext, UpstreamView},
    pointvane_config::Policy,
    rand::{Rng, rngs::SmallRng},
};

/// Draws beyond the wanted number of candidates before all upstreams are considered. Not measured.
const EXTRA_DRAWS: usize = 4;

/// Chooses by one policy.
#[derive(Clone, Debug)]
pub struct Chooser {
    policy: Policy,
    choices: usize,
    next: usize,
    rng: SmallRng,
}

impl Chooser {
    /// A chooser that compares `choices` upstreams where its policy compares a few.
    pub fn new(policy: Policy, choices: u8, rng: SmallRng) -> Self {
        Self { policy, choices: usize::from(choices), next: 0, rng }
    }

    /// The index of the upstream to use among those that `usable` allows.
    pub fn choose<U>(
        &mut self,
        upstreams: &[UpstreamView],
        context: &ScoreContext<'_>,
        usable: U,
    ) -> Option<usize>
    where
        U: Fn(usize, &UpstreamView) -> bool,
    {
        let own = |state: &UpstreamView| f32::from(state.own) / f32::from(state.upstream.slots);
        match self.policy {
            Policy::Random => self.best_of(1, upstreams, usable, |_| 0.0),
            Policy::RoundRobin => self.in_turn(upstreams, usable),
            Policy::LocalLeast => self.best_of_all(upstreams, usable, own),
            Policy::LocalTwoChoices => self.best_of(2, upstreams, usable, own),
            Policy::Shared => self.best_of(self.choices, upstreams, usable, |state| state.score(context)),
        }
    }

    /// The best of `count` random usable upstreams.
    fn best_of<U, S>(
        &mut self,
        count: usize,
        upstreams: &[UpstreamView],
        usable: U,
        score: S,
    ) -> Option<usize>
    where
        U: Fn(usize, &UpstreamView) -> bool,
        S: Fn(&UpstreamView) -> f32,
    {
        if count >= upstreams.len() {
            return self.best_of_all(upstreams, usable, score);
        }
        let mut best: Option<(usize, f32)> = None;
        let mut found = 0;
        for _ in 0..count + EXTRA_DRAWS {
            let index = self.rng.random_range(0..upstreams.len());
            let drawn_again = best.is_some_and(|(held, _)| held == index);
            if drawn_again || !usable(index, &upstreams[index]) {
                continue;
            }
            found += 1;
            best = better(best, index, score(&upstreams[index]));
            if found == count {
                break;
            }
        }
        match best {
            Some((index, _)) => Some(index),
            None => self.best_of_all(upstreams, usable, score),
        }
    }

    /// The best of all usable upstreams; among equals, the first after a random place.
    fn best_of_all<U, S>(&mut self, upstreams: &[UpstreamView], usable: U, score: S) -> Option<usize>
    where
        U: Fn(usize, &UpstreamView) -> bool,
        S: Fn(&UpstreamView) -> f32,
    {
        if upstreams.is_empty() {
            return None;
        }
        let start = self.rng.random_range(0..upstreams.len());
        let order = (start..upstreams.len()).chain(0..start);
        let candidates = order.filter(|&index| usable(index, &upstreams[index]));
        let best = candidates.fold(None, |best, index| better(best, index, score(&upstreams[index])));
        best.map(|(index, _)| index)
    }

    fn in_turn<U>(&mut self, upstreams: &[UpstreamView], usable: U) -> Option<usize>
    where
        U: Fn(usize, &UpstreamView) -> bool,
    {
        let count = upstreams.len();
        let index = (0..count).map(|step| (self.next + step) % count).find(|&i| usable(i, &upstreams[i]))?;
        self.next = (index + 1) % count;
        Some(index)
    }
}

fn better(best: Option<(usize, f32)>, index: usize, score: f32) -> Option<(usize, f32)> {
    match best {
        Some((_, least)) if least <= score => best,
        _ => Some((index, score)),
    }
}
