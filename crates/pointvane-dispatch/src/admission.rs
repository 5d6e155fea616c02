//! Whether a request is sent now or told to come back: what would be late anyway only delays the others.

use pointvane_core::RouteRule;

/// Rules of admission.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionOptions {
    /// Part of the target time that the most urgent work may be expected to take.
    pub target_share: f64,
    /// What each rank takes off that part, so that less urgent work gives way first.
    pub rank_step: f64,
    /// Least and most part of the target time after which it is told to come back.
    pub come_back_share: (f64, f64),
    /// Time between caller and node and back, in milliseconds.
    pub caller_way_ms: f64,
    /// Part of the target time for which a good upstream is looked for.
    pub look_share: f64,
    /// Part of the target time within which a refusal reaches the caller, who then comes back in good time.
    pub refusal_share: f64,
}

impl Default for AdmissionOptions {
    fn default() -> Self {
        Self {
            target_share: 3.0,
            rank_step: 1.0,
            come_back_share: (0.5, 1.3),
            caller_way_ms: 16.0,
            look_share: 0.1,
            refusal_share: 0.25,
        }
    }
}

/// What is known of a request that found no good upstream.
#[derive(Clone, Copy, Debug)]
pub struct Outlook {
    /// Time since it came, in milliseconds.
    pub spent_ms: f64,
    /// Time that its upstream is expected to take, in milliseconds.
    pub expected_ms: f64,
}

/// Time that a refusal takes within this node, in milliseconds.
const REFUSAL_MS: f64 = 4.0;
/// Least time for which a good upstream is looked for, in milliseconds.
const LOOK_MIN_MS: f64 = 5.0;

impl AdmissionOptions {
    /// How long a good upstream is looked for, in milliseconds, for a request that has not been sent and came
    /// `spent_ms` ago: so long that a refusal still reaches its caller early.
    pub fn look_ms(&self, route: &RouteRule, spent_ms: f64) -> f64 {
        let target_ms = route.target_latency_ms as f64;
        let refusal_in_ms = target_ms * self.refusal_share - self.caller_way_ms - REFUSAL_MS - spent_ms;
        self.look_again_ms(route).min(refusal_in_ms).max(LOOK_MIN_MS)
    }

    /// The same for a request that was sent before.
    pub fn look_again_ms(&self, route: &RouteRule) -> f64 {
        route.target_latency_ms as f64 * self.look_share
    }

    /// Whether a request is to be refused at once.
    pub fn refuses(&self, route: &RouteRule, outlook: &Outlook) -> bool {
        let target_ms = route.target_latency_ms as f64;
        let share = self.target_share - self.rank_step * f64::from(route.priority);
        let finish_ms = outlook.spent_ms + outlook.expected_ms + self.caller_way_ms;
        finish_ms > target_ms * share
    }

    /// When a refused caller is to come back, in milliseconds; `draw` lies between 0 and 1.
    pub fn come_back_ms(&self, route: &RouteRule, draw: f64) -> f64 {
        let (least, most) = self.come_back_share;
        route.target_latency_ms as f64 * (least + (most - least) * draw)
    }
}
