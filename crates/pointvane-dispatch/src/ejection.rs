//! Outlier ejection: when an upstream that fails or does not respond gets no new requests, and for how long.
//!
//! Decided at the end of each attempt and each probe, and when an attempt is abandoned. Inputs: the outcome,
//! the time that the attempt was given, the monotonic clock. An ejected upstream is eligible again when its
//! ejection time is over, or when all others of its service are ejected as well. Tests: `tests/upstreams.rs`
//! and `standins/tests/platform_node.rs`, the latter with an upstream that passes its probes but never
//! answers requests.

use crate::outcome::{AttemptOutcome, NotRunReason};

/// Consecutive failures that eject an upstream.
const FAILURES_TO_EJECT: u32 = 3;
/// First ejection time, in microseconds; each further ejection in a row doubles it.
const EJECTION_BASE_US: u64 = 400_000;
/// Maximum number of doublings of the ejection time: 6.4 s at most.
const EJECTION_DOUBLINGS_MAX: u32 = 4;
/// Weight of the newest outcome in the exponentially weighted failure share: about the last seven outcomes
/// count.
const FAILURE_WEIGHT: f32 = 0.15;
/// Increase of an upstream's cost factor at a failure share of 1.
///
/// A failing upstream answers fast and looks idle, so failures have to weigh like load. The weight is limited
/// so that an upstream that broke off a few answers is not avoided for long.
const FAILURE_COST_FACTOR: f32 = 2.0;
/// Multiple of the expected latency after which an abandoned attempt counts as a failure of its upstream.
const UNRESPONSIVE_LATENCY_FACTOR: f64 = 3.0;
/// Largest cost factor by which that time is extended: an upstream known to be slow must not get unlimited
/// time.
const UNRESPONSIVE_COST_FACTOR_MAX: f32 = 2.0;
/// Multiple of the probe timeout: if a failed probe took longer than this, this process itself was paused,
/// and the probe does not count as a failure.
const LOCAL_PAUSE_TIMEOUTS: u64 = 2;

/// Time without an answer after which an abandoned attempt counts as a failure of its upstream, in
/// milliseconds. `cost` is the upstream's cost (see `cost.rs`).
pub fn unresponsive_after_ms(baseline_ms: f64, cost: f32) -> f64 {
    baseline_ms * f64::from(cost.clamp(1.0, UNRESPONSIVE_COST_FACTOR_MAX)) * UNRESPONSIVE_LATENCY_FACTOR
}

/// How a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The upstream answered that it is healthy or too busy; either makes it a candidate.
    Healthy,
    /// The upstream answered with another status.
    Unhealthy,
    /// A different upstream answered at its address.
    OtherUpstream,
    /// No answer came on a reused connection: the connection may be dead while a new one would work.
    ReusedConnectionSilent,
    /// No answer came within the timeout on a new connection, or the connection failed.
    NoAnswer {
        /// Time since the probe was sent, in microseconds.
        waited_us: u64,
        /// The timeout, in microseconds.
        timeout_us: u64,
    },
}

/// Effect of an outcome on the failure history of its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Effect {
    Success,
    Failure,
    Eject,
    Ignore,
}

impl AttemptOutcome {
    pub(crate) const fn effect(self) -> Effect {
        match self {
            Self::Answered { failed: false } => Effect::Success,
            // Another upstream uses the address now, or none does; the platform will report that soon.
            Self::NotRun(NotRunReason::Misdirected) | Self::Unreachable => Effect::Eject,
            // An upstream that rejects requests despite free slots looks idle and would attract more of them,
            // so its rejections count against its load report.
            Self::NotRun(NotRunReason::BusyWithRoom) => Effect::Failure,
            // A busy upstream is not failing; its load report already lowers its rank.
            Self::NotRun(NotRunReason::Busy | NotRunReason::Other)
            | Self::Withheld(_)
            | Self::Quarantined
            | Self::Unauthorized
            | Self::Expired
            | Self::Declined => Effect::Ignore,
            Self::Answered { failed: true } | Self::Unsent | Self::Broken | Self::Crashed => Effect::Failure,
        }
    }
}

impl ProbeOutcome {
    /// The name of the outcome in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Healthy => "healthy",
            Self::Unhealthy => "unhealthy",
            Self::OtherUpstream => "other-upstream",
            Self::ReusedConnectionSilent => "reused-connection-silent",
            Self::NoAnswer { .. } => "no-answer",
        }
    }

    /// Whether the outcome says something of the upstream. A probe that took far longer than its timeout does
    /// not: this process was paused.
    pub const fn is_evidence(self) -> bool {
        !matches!(
            self,
            Self::NoAnswer { waited_us, timeout_us } if waited_us > LOCAL_PAUSE_TIMEOUTS * timeout_us
        )
    }

    pub(crate) const fn effect(self) -> Effect {
        match self {
            // An answered probe does not offset failed requests.
            Self::Healthy | Self::ReusedConnectionSilent => Effect::Ignore,
            Self::Unhealthy => Effect::Failure,
            Self::OtherUpstream => Effect::Eject,
            Self::NoAnswer { .. } if !self.is_evidence() => Effect::Ignore,
            Self::NoAnswer { .. } => Effect::Failure,
        }
    }
}

/// Failures of one upstream, and the end of its ejection in microseconds of the monotonic clock.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FailureHistory {
    failure_share: f32,
    consecutive_failures: u32,
    consecutive_ejections: u32,
    ejected_until_us: u64,
}

impl FailureHistory {
    pub(crate) fn apply(&mut self, effect: Effect, now_us: u64) {
        match effect {
            Effect::Success => self.record_success(),
            Effect::Failure => self.record_failure(now_us),
            Effect::Eject => self.eject(now_us),
            Effect::Ignore => {}
        }
    }

    fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.consecutive_ejections = 0;
        self.failure_share -= self.failure_share * FAILURE_WEIGHT;
    }

    fn record_failure(&mut self, now_us: u64) {
        self.failure_share += (1.0 - self.failure_share) * FAILURE_WEIGHT;
        self.consecutive_failures += 1;
        if self.consecutive_failures >= FAILURES_TO_EJECT {
            self.eject(now_us);
        }
    }

    fn eject(&mut self, now_us: u64) {
        if self.is_ejected(now_us) {
            return;
        }
        self.ejected_until_us =
            now_us + (EJECTION_BASE_US << self.consecutive_ejections.min(EJECTION_DOUBLINGS_MAX));
        self.consecutive_ejections += 1;
        self.consecutive_failures = 0;
    }

    pub(crate) fn is_ejected(&self, now_us: u64) -> bool {
        now_us < self.ejected_until_us
    }

    /// Factor on the upstream's cost: 1 for an upstream without failures.
    pub(crate) fn cost_factor(&self) -> f32 {
        1.0 + self.failure_share * FAILURE_COST_FACTOR
    }
}
