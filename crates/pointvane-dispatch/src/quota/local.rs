//! State of one account at one node: the requests that it admitted, and the shares received from
//! coordinators.

use {
    super::{
        FleetView, QuotaDecision,
        allowance::{Allowance, equal_part},
        messages::{AccountShare, AccountUsage, FleetUsage, PER_MILLE},
        usage::Usage,
    },
    pointvane_core::{Name, US_PER_MS},
    std::net::SocketAddr,
};

/// Shortest time between two reports on an account that is not near its quota, in microseconds.
const REPORT_INTERVAL_US: u64 = 250 * US_PER_MS;
/// Shortest time between two reports on an account that is near its quota, in microseconds.
const REPORT_INTERVAL_NEAR_QUOTA_US: u64 = 100 * US_PER_MS;
/// Used part of the quota from which an account counts as near its quota, in thousandths.
const NEAR_QUOTA_PER_MILLE: u16 = 300;
/// Time for which a received share is valid, in microseconds.
const SHARE_LIFETIME_US: u64 = 1_500 * US_PER_MS;
/// Time without an answer to a report after which the coordinators count as unreachable, in microseconds.
/// Shares received before are then ignored.
const ANSWER_TIMEOUT_US: u64 = 250 * US_PER_MS;
/// Time without an answer to a report after which reports also go to substitutes, in microseconds.
const FAILOVER_TIMEOUT_US: u64 = 90 * US_PER_MS;
/// Delay after which a caller should retry if the node that refused it reaches no coordinator, in
/// milliseconds. It is short because another node may reach one.
const RETRY_AT_OTHER_NODE_MS: u32 = 50;

/// The last share received from one coordinator.
#[derive(Clone, Copy, Debug)]
struct ReceivedShare {
    origin: SocketAddr,
    share_per_mille: u16,
    used_per_mille: u16,
    retry_after_ms: u32,
    received_at_us: u64,
}

impl ReceivedShare {
    /// Whether the share has not expired.
    fn is_valid(&self, now_us: u64) -> bool {
        now_us.saturating_sub(self.received_at_us) < SHARE_LIFETIME_US
    }

    /// Admits a request if its random number from 0 to 1 lies below the share.
    fn decide(&self, draw: f32) -> QuotaDecision {
        if draw * PER_MILLE < f32::from(self.share_per_mille) {
            QuotaDecision::Admitted
        } else {
            QuotaDecision::Refused { retry_after_ms: self.retry_after_ms }
        }
    }
}

/// State of one account at this node.
#[derive(Clone, Debug)]
pub struct LocalAccount {
    usage: Usage,
    /// Whether a request was offered or refunded since the last report.
    unreported: bool,
    reported_at_us: u64,
    /// When the first report was sent since a coordinator last answered.
    unanswered_since_us: Option<u64>,
    /// When a coordinator last answered, 0 if none did.
    answered_at_us: u64,
    /// Since when this node has decided by its part of the quota, `None` while coordinators answer.
    alone_since_us: Option<u64>,
    /// The last share of each coordinator; some may have expired.
    shares: Vec<ReceivedShare>,
    /// Highest fleet-wide usage received lately, in thousandths of the quota, and the time of receipt in
    /// microseconds of the monotonic clock.
    fleet_usage: Option<(u16, u64)>,
    allowance: Allowance,
    window_us: u64,
}

/// Inputs to the decision on a request, besides the state of its account.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionInputs {
    /// Quota of the account, in requests per window.
    pub quota: f64,
    /// Connectivity of the fleet as the node sees it.
    pub fleet_view: FleetView,
    /// Time since the node started, in microseconds.
    pub uptime_us: u64,
    pub now_us: u64,
    /// A uniform random number from 0 to 1.
    pub draw: f32,
}

impl LocalAccount {
    /// Creates an empty state for a window of `window_us` microseconds.
    pub fn new(window_us: u64) -> Self {
        Self {
            usage: Usage::new(window_us),
            unreported: false,
            reported_at_us: 0,
            unanswered_since_us: None,
            answered_at_us: 0,
            alone_since_us: None,
            shares: Vec::new(),
            fleet_usage: None,
            allowance: Allowance::default(),
            window_us,
        }
    }

    /// Records the fleet-wide usage that a coordinator sent, unless a higher value was received within the
    /// lifetime of a share: two coordinators may have received different reports.
    fn record_fleet_usage(&mut self, used_per_mille: u16, now_us: u64) {
        let is_higher = |(used, at_us): (u16, u64)| {
            used > used_per_mille && now_us.saturating_sub(at_us) < SHARE_LIFETIME_US
        };
        if !self.fleet_usage.is_some_and(is_higher) {
            self.fleet_usage = Some((used_per_mille, now_us));
        }
    }

    /// Returns the recorded fleet-wide usage with its age.
    fn fleet_usage(&self, now_us: u64) -> Option<FleetUsage> {
        self.fleet_usage.map(|(used_per_mille, at_us)| {
            let age_ms = now_us.saturating_sub(at_us) / US_PER_MS;
            FleetUsage { used_per_mille, age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX) }
        })
    }

    /// Returns the smallest share that has not expired.
    fn smallest_valid_share(&self, now_us: u64) -> Option<ReceivedShare> {
        let valid = self.shares.iter().filter(|share| share.is_valid(now_us));
        valid.min_by_key(|share| share.share_per_mille).copied()
    }

    /// Decides whether a request is admitted, and counts it.
    pub fn admit(&mut self, inputs: &AdmissionInputs) -> QuotaDecision {
        let AdmissionInputs { fleet_view, now_us, draw, .. } = *inputs;
        self.usage.record_offered(now_us);
        self.unreported = true;
        let is_alone = !fleet_view.connected || self.are_coordinators_unreachable(now_us);
        let decision = if is_alone {
            self.decide_by_allowance(inputs)
        } else {
            self.alone_since_us = None;
            match self.smallest_valid_share(now_us) {
                Some(share) => share.decide(draw),
                None => QuotaDecision::Admitted,
            }
        };
        if decision == QuotaDecision::Admitted {
            self.usage.record_admitted(now_us);
        }
        decision
    }

    /// Decides by this node's equal part of the quota.
    fn decide_by_allowance(&mut self, inputs: &AdmissionInputs) -> QuotaDecision {
        let AdmissionInputs { quota, fleet_view, uptime_us, now_us, draw } = *inputs;
        let part = equal_part(quota, fleet_view, uptime_us);
        let started_us = now_us.saturating_sub(uptime_us);
        let rest = self.rest_of_part(part, started_us, now_us);
        if self.allowance.covers(rest, self.window_us, now_us, draw) {
            QuotaDecision::Admitted
        } else {
            QuotaDecision::Refused { retry_after_ms: RETRY_AT_OTHER_NODE_MS }
        }
    }

    /// Returns what is left of this node's part of the quota, in requests. The part accrues over a window
    /// since the node started or lost its coordinators: until then its requests counted as the fleet's usage.
    fn rest_of_part(&mut self, part: f64, started_us: u64, now_us: u64) -> f64 {
        let lost_us = self.unanswered_since_us.unwrap_or(self.answered_at_us).max(started_us);
        // A node that is isolated becomes its own coordinator, whose answers do not end that.
        let alone_since_us = *self.alone_since_us.get_or_insert(lost_us);
        let alone_us = now_us.saturating_sub(alone_since_us).min(self.window_us);
        let accrued = part * alone_us as f64 / self.window_us as f64;
        let rest_of_accrued = accrued - f64::from(self.usage.admitted_since(alone_since_us, now_us));
        rest_of_accrued.min(part - f64::from(self.usage.admitted(now_us)))
    }

    /// Refunds a request that was admitted at `admitted_at_us` but not sent.
    pub fn refund(&mut self, admitted_at_us: u64) {
        self.usage.refund(admitted_at_us);
        self.unreported = true;
    }

    /// Stores a share sent by the coordinator `origin`.
    pub fn receive_share(&mut self, origin: SocketAddr, share: &AccountShare, now_us: u64) {
        self.unanswered_since_us = None;
        self.answered_at_us = now_us;
        self.record_fleet_usage(share.used_per_mille, now_us);
        self.shares.retain(|other| other.origin != origin && other.is_valid(now_us));
        self.shares.push(ReceivedShare {
            origin,
            share_per_mille: share.share_per_mille,
            used_per_mille: share.used_per_mille,
            retry_after_ms: share.retry_after_ms,
            received_at_us: now_us,
        });
    }

    /// Whether there was no request within the window and no share is valid.
    pub fn is_idle(&mut self, now_us: u64) -> bool {
        self.usage.is_idle(now_us) && self.smallest_valid_share(now_us).is_none()
    }

    /// Whether no report was sent yet, or none since the coordinators changed.
    pub fn was_never_reported(&self) -> bool {
        self.reported_at_us == 0
    }

    /// Makes a report due at once.
    pub fn force_report(&mut self) {
        self.unreported = true;
        self.reported_at_us = 0;
    }

    /// Whether a report is due now.
    pub fn is_report_due(&self, now_us: u64) -> bool {
        let share = self.smallest_valid_share(now_us);
        let is_near_quota = share.is_some_and(|share| share.used_per_mille >= NEAR_QUOTA_PER_MILLE);
        let is_unanswered = self.unanswered_since_us.is_some();
        let is_urgent = is_near_quota || is_unanswered;
        let interval_us = if is_urgent { REPORT_INTERVAL_NEAR_QUOTA_US } else { REPORT_INTERVAL_US };
        // An unanswered report is repeated, since an answer shows that a coordinator is reachable.
        let has_to_report = self.unreported || is_unanswered;
        has_to_report && now_us.saturating_sub(self.reported_at_us) >= interval_us
    }

    /// Returns a usage report for the coordinators of `account` and marks it as sent.
    pub fn take_report(&mut self, account: &Name, now_us: u64) -> AccountUsage {
        self.unreported = false;
        self.reported_at_us = now_us;
        self.unanswered_since_us.get_or_insert(now_us);
        let (admitted, mean_age_per_mille) = self.usage.admitted_by_fifths(now_us);
        AccountUsage {
            account: account.clone(),
            admitted,
            mean_age_per_mille,
            offered_per_1000_s: self.usage.offered_per_1000_s(now_us),
            fleet_usage: self.fleet_usage(now_us),
        }
    }

    /// Whether reports are also due to the substitutes of the coordinators, which have not answered.
    pub fn needs_substitutes(&self, now_us: u64) -> bool {
        self.unanswered_since_us
            .is_some_and(|since_us| now_us.saturating_sub(since_us) >= FAILOVER_TIMEOUT_US)
    }

    /// Whether no coordinator has answered a report within the timeout.
    fn are_coordinators_unreachable(&self, now_us: u64) -> bool {
        self.unanswered_since_us.is_some_and(|since_us| now_us.saturating_sub(since_us) >= ANSWER_TIMEOUT_US)
    }
}
