//! Options of ranking, and their defaults. The rule itself is in `ranking.rs`.

/// The quantity upstreams are ranked by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ranking {
    /// The cost: expected latency, raised for failures and for other data centres.
    Cost,
    /// This node's requests in flight at the upstream.
    InFlight,
    /// None: the order is random.
    Random,
}

/// How upstreams are ranked, and which ones count as uncontended.
#[derive(Clone, Debug)]
pub struct RankingOptions {
    /// The quantity upstreams are ranked by.
    pub ranking: Ranking,
    /// Maximum cost of an upstream that counts as uncontended.
    pub uncontended_cost: f32,
    /// Age up to which a load report is used, in microseconds, until the rate of change of a service's reports
    /// is known.
    pub report_fresh_us: u64,
    /// Factor on the cost of upstreams in other data centres where upstreams report no load.
    ///
    /// Trades traffic between data centres against latency: with 2.0, a fifth fewer bytes cross between data
    /// centres than with 1.25.
    pub far_factor: f32,
    /// Preference for upstreams of the own data centre among equals, as a share of the cost.
    pub near_preference: f32,
    /// Added to the factor of other data centres for each 100 KB of a request's body.
    pub far_factor_per_100_kb: f32,
    /// Maximum that a body adds to that factor.
    pub far_factor_added_max: f32,
    /// Maximum random share added to a cost, so that nodes with the same information choose different
    /// upstreams.
    pub jitter: f32,
}

impl Default for RankingOptions {
    fn default() -> Self {
        Self {
            ranking: Ranking::Cost,
            uncontended_cost: 1.3,
            report_fresh_us: 15_000,
            far_factor: 2.0,
            near_preference: 0.1,
            far_factor_per_100_kb: 1.0,
            far_factor_added_max: 0.75,
            jitter: 0.1,
        }
    }
}
