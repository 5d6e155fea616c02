//! State of a service's upstreams as shown to operators.

use {
    super::ServiceBalancer,
    pointvane_core::{Name, PER_1000_S, US_PER_MS},
    serde::Serialize,
};

/// What one entry VM knows about one upstream.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct UpstreamSummary {
    /// Name of the upstream.
    pub name: Name,
    /// This entry VM's own requests in flight at the upstream.
    pub own: u16,
    /// Estimated requests of all entry VMs in flight at the upstream.
    pub total: f32,
    /// Whether the upstream is leaving.
    pub leaving: bool,
    /// Whether the upstream is ejected.
    pub ejected: bool,
    /// Remaining time for which the upstream has asked for no requests, in milliseconds; `None` if it accepts
    /// requests.
    pub back_in_ms: Option<u64>,
    /// Requests that the upstream accepts from all entry VMs in 1,000 seconds; `None` if it advertises no
    /// limit.
    pub limit_per_1000_s: Option<u32>,
    /// Part of that limit that this entry VM may send.
    pub limit_part_per_1000_s: Option<u32>,
    /// Age of the last report that the upstream stays, in milliseconds; `None` if there is none.
    pub evidence_age_ms: Option<u64>,
}

impl<W> ServiceBalancer<W> {
    /// State of each upstream, in the order of the configuration.
    pub fn summaries(&self, now_us: u64) -> Vec<UpstreamSummary> {
        let context = self.context(now_us);
        let states = self.index_by_position.iter().map(|&index| &self.upstreams[index]);
        states
            .map(|state| UpstreamSummary {
                name: state.upstream.name.clone(),
                own: state.own_in_flight,
                total: state.total(&context),
                leaving: state.evidence.is_leaving(),
                ejected: state.health.is_ejected(now_us),
                back_in_ms: state.backoff.until_us(now_us).map(|until_us| (until_us - now_us) / US_PER_MS),
                limit_per_1000_s: state.limit.per_1000_s(),
                limit_part_per_1000_s: state.limit.share_per_s().map(|per_s| (per_s * PER_1000_S) as u32),
                evidence_age_ms: match state.evidence.last_staying_us() {
                    0 => None,
                    at_us => Some(now_us.saturating_sub(at_us) / US_PER_MS),
                },
            })
            .collect()
    }
}
