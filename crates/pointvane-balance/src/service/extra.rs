//! Additional attempts of one request: redirects, retries and hedges. A request that has been admitted is as
//! urgent as any other.

use {super::ServiceBalancer, pointvane_core::Class};

impl<W> ServiceBalancer<W> {
    /// Another upstream for a repeatable request whose attempt failed, if the retry budget allows it.
    pub fn retry(&mut self, failed: usize, now_us: u64) -> Option<usize> {
        let upstream = self.pick_upstream(Class::Urgent, now_us, Some(failed)).ok()?;
        if !self.retry_budget.try_take(1.0, now_us) {
            return None;
        }
        self.begin_attempt(upstream, now_us);
        Some(upstream)
    }

    /// Another upstream for a request of which no byte was sent. This uses no budget.
    pub fn redirect(&mut self, unreachable: usize, now_us: u64) -> Option<usize> {
        let upstream = self.pick_upstream(Class::Urgent, now_us, Some(unreachable)).ok()?;
        self.begin_attempt(upstream, now_us);
        Some(upstream)
    }

    /// Time after which a repeatable request may be hedged, in microseconds; `None` if hedging is off or no
    /// latency has been measured.
    pub fn hedge_after_us(&self) -> Option<u64> {
        let is_enabled = self.service.hedge.budget_share > 0.0 && self.mean_latency_us > 0.0;
        is_enabled.then(|| (f64::from(self.mean_latency_us) * self.service.hedge.after_factor) as u64)
    }

    /// A second upstream for a slow repeatable request, only if the hedge budget allows it, the upstream's
    /// load is at most `slack_share` and no request waits.
    pub fn hedge(&mut self, first: usize, now_us: u64) -> Option<usize> {
        if !self.admission.is_empty() {
            return None;
        }
        let upstream = self.pick_upstream(Class::Urgent, now_us, Some(first)).ok()?;
        let state = &self.upstreams[upstream];
        let load = state.total(&self.context(now_us)) / f32::from(state.upstream.slots);
        if f64::from(load) > self.service.hedge.slack_share || !self.hedge_budget.try_take(1.0, now_us) {
            return None;
        }
        self.begin_attempt(upstream, now_us);
        Some(upstream)
    }
}
