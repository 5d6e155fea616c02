//! Distributed rate limit of an upstream: the requests per second that it accepts from all processes
//! together, and the share of one process.
//!
//! Upstreams of the target platform advertise the limit in their responses. Both forms of pointvane (the node
//! and the entry programs) check [`RequestLimit::blocks_sends`] when they select an upstream, and record sends
//! and responses. Advertised rates are whole requests per 1000 seconds, so that they are compared and
//! transmitted exactly.
//!
//! No request waits for coordination between processes. All processes compute the same order of processes for
//! an upstream. The first ones in it, as many as the limit has requests per second, use the upstream with
//! equal shares; the others send nothing. As long as the limit is not confirmed, the number of processes that
//! use the upstream doubles at intervals, so that it gets requests even if the first processes have no
//! callers.
//!
//! Inputs: limits advertised in responses, reports of other processes, this process's rank in the order, and
//! a monotonic clock. Invariant: with the same view of the fleet, all processes together send in any period
//! at most the limit, plus one request for each process that uses the upstream. Tests:
//! `tests/request_limit.rs`, and for whole fleets `pointvane-dispatch/tests/limits_fleet.rs`.

mod notice;
mod pace;

pub use notice::LimitNotice;

use {crate::US_PER_MS, pace::Pacer};

/// Requests per 1000 seconds that make one request per second.
pub const PER_1000_S: f64 = 1_000.0;
/// Lowest total rate of all processes, in requests per second: these requests detect that a limit has been
/// raised or lifted.
const TOTAL_RATE_MIN_PER_S: f64 = 0.25;
/// Number of consecutive responses without a limit that lifts it.
const LIFTED_AFTER_RESPONSES: u32 = 2;
/// Time without confirmation of a limit after which the next request goes to the upstream, in microseconds.
const REFRESH_AFTER_US: u64 = 1_000 * US_PER_MS;
/// Time without confirmation of a limit after each multiple of which the number of processes that use the
/// upstream doubles, in microseconds.
const DOUBLING_INTERVAL_US: u64 = 3_000 * US_PER_MS;
/// Time without confirmation of a limit after which it expires, in microseconds.
const EXPIRES_AFTER_US: u64 = 60_000 * US_PER_MS;
/// Minimum interval between announcements of a limit, in microseconds.
const ANNOUNCE_INTERVAL_US: u64 = 1_000 * US_PER_MS;
/// Minimum interval between announcements that a limit was lifted, in microseconds.
const LIFTED_ANNOUNCE_INTERVAL_US: u64 = 200 * US_PER_MS;
/// Time for which the lifting of a limit is announced, in microseconds.
const LIFTED_ANNOUNCED_FOR_US: u64 = 3 * LIFTED_ANNOUNCE_INTERVAL_US;
/// Minimum announcement interval per known limit, in microseconds: this bounds the datagrams sent when many
/// upstreams advertise limits.
const ANNOUNCE_SLOT_US: u64 = 10 * US_PER_MS;

/// Change of a limit as known to this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// The upstream advertises a new limit, in requests per 1000 seconds.
    Set(u32),
    /// The upstream no longer advertises a limit.
    Lifted,
}

/// Report of an upstream's limit that one process sends to others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitReport {
    /// Limit in requests per 1000 seconds; `None` if the upstream no longer advertises one.
    pub per_1000_s: Option<u32>,
    /// When the upstream advertised this, in microseconds of the monotonic clock.
    pub reported_at_us: u64,
}

/// Position of a process in the order of processes that may use an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitRank {
    /// Number of processes before it in the order.
    pub rank: usize,
    /// Number of reachable processes, this one included.
    pub processes: usize,
    /// Share of the fleet that is reachable, from 0 to 1. Unreachable processes may be alive on the other
    /// side of a partition and use their share of the limit.
    pub reachable_share: f64,
}

impl LimitRank {
    /// Last rank in a fleet of `processes` processes, for a process that does not know the others yet. Even
    /// if all processes of a fleet of at most this size take it, they together stay within the limit.
    pub const fn last_of(processes: usize) -> Self {
        Self { rank: processes.saturating_sub(1), processes, reachable_share: 1.0 }
    }
}

/// A limit in force.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ActiveLimit {
    per_1000_s: u32,
    /// When this process learned that there is a limit.
    since_us: u64,
    /// When the upstream last advertised the limit, to any process.
    advertised_at_us: u64,
    /// Consecutive responses to this process that advertised no limit.
    responses_without_limit: u32,
    pacer: Pacer,
}

/// Request limit of one upstream, as known to one process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestLimit {
    active: Option<ActiveLimit>,
    /// When the last limit was lifted.
    lifted_at_us: u64,
    /// Whether this state has yet to be announced to other processes.
    is_unannounced: bool,
    /// When this process last sent or received an announcement.
    announced_at_us: u64,
}

impl RequestLimit {
    /// Records the notice in a response. `sent_at_us` is when the request was sent; `None` for a health
    /// probe, whose response may omit the header and therefore never lifts a limit.
    pub fn record_response(
        &mut self,
        notice: LimitNotice,
        sent_at_us: Option<u64>,
        now_us: u64,
    ) -> Option<LimitChange> {
        match notice {
            LimitNotice::Malformed => None,
            LimitNotice::Advertised(per_1000_s) => {
                let change = self.set(per_1000_s, now_us);
                self.is_unannounced = true;
                if change.is_some() {
                    self.announced_at_us = 0;
                }
                change
            }
            LimitNotice::Absent => {
                let sent_at_us = sent_at_us?;
                let active = self.active.as_mut().filter(|active| sent_at_us > active.since_us)?;
                active.responses_without_limit += 1;
                active.pacer.allow_one(now_us);
                if active.responses_without_limit < LIFTED_AFTER_RESPONSES {
                    return None;
                }
                self.lift(now_us);
                (self.is_unannounced, self.announced_at_us) = (true, 0);
                Some(LimitChange::Lifted)
            }
        }
    }

    /// Records another process's report. The latest report applies; one from the future counts as made now.
    pub fn receive(&mut self, report: LimitReport, now_us: u64) -> Option<LimitChange> {
        let reported_at_us = report.reported_at_us.min(now_us);
        if !self.is_newer(&LimitReport { reported_at_us, ..report }) {
            return None;
        }
        (self.is_unannounced, self.announced_at_us) = (false, now_us);
        match report.per_1000_s {
            Some(per_1000_s) => self.set(per_1000_s, reported_at_us),
            None => {
                let was_limited = self.active.is_some();
                self.lift(reported_at_us);
                was_limited.then_some(LimitChange::Lifted)
            }
        }
    }

    /// Makes this process announce a report that it received. Used where an announcement reaches only some of
    /// the processes, so that each has to forward it.
    pub fn forward(&mut self) {
        self.is_unannounced = true;
    }

    /// Whether a report is newer than the known state.
    pub fn is_newer(&self, report: &LimitReport) -> bool {
        report.reported_at_us > self.active.map_or(self.lifted_at_us, |active| active.advertised_at_us)
    }

    fn set(&mut self, per_1000_s: u32, at_us: u64) -> Option<LimitChange> {
        let known = self.active.map(|active| active.per_1000_s);
        match &mut self.active {
            Some(active) => {
                (active.per_1000_s, active.responses_without_limit) = (per_1000_s, 0);
                active.advertised_at_us = active.advertised_at_us.max(at_us);
            }
            None => {
                self.active = Some(ActiveLimit {
                    per_1000_s,
                    since_us: at_us,
                    advertised_at_us: at_us,
                    responses_without_limit: 0,
                    pacer: Pacer::default(),
                });
            }
        }
        (known != Some(per_1000_s)).then_some(LimitChange::Set(per_1000_s))
    }

    fn lift(&mut self, at_us: u64) {
        self.active = None;
        self.lifted_at_us = self.lifted_at_us.max(at_us);
    }

    /// Lifts the limit if it has not been confirmed for `EXPIRES_AFTER_US`.
    pub fn expire(&mut self, now_us: u64) -> Option<LimitChange> {
        let active = self.active?;
        let is_expired = now_us.saturating_sub(active.advertised_at_us) >= EXPIRES_AFTER_US;
        is_expired.then(|| {
            self.lift(now_us);
            LimitChange::Lifted
        })
    }

    /// Whether an announcement is due; see [`Self::take_announcement`].
    pub fn is_announcement_due(&self, limits: usize, now_us: u64) -> bool {
        let interval_us =
            if self.active.is_some() { ANNOUNCE_INTERVAL_US } else { LIFTED_ANNOUNCE_INTERVAL_US };
        let due_after_us = interval_us.max(limits as u64 * ANNOUNCE_SLOT_US);
        self.is_unannounced && now_us.saturating_sub(self.announced_at_us) >= due_after_us
    }

    /// Returns the report to announce to other processes now, if one is due. `limits` is the number of limits
    /// that this process knows: the more there are, the less often each is announced.
    pub fn take_announcement(&mut self, limits: usize, now_us: u64) -> Option<LimitReport> {
        if !self.is_announcement_due(limits, now_us) {
            return None;
        }
        self.announced_at_us = now_us;
        // Responses do not confirm that a limit was lifted, so a process that misses all announcements learns
        // of it late; the announcement is therefore repeated.
        let next_us = now_us + LIFTED_ANNOUNCE_INTERVAL_US;
        self.is_unannounced = self.active.is_none() && next_us < self.lifted_at_us + LIFTED_ANNOUNCED_FOR_US;
        Some(match self.active {
            Some(active) => {
                LimitReport { per_1000_s: Some(active.per_1000_s), reported_at_us: active.advertised_at_us }
            }
            None => LimitReport { per_1000_s: None, reported_at_us: self.lifted_at_us },
        })
    }

    /// Whether an announcement is pending.
    pub fn is_unannounced(&self) -> bool {
        self.is_unannounced
    }

    /// The limit in force, in requests per 1000 seconds.
    pub fn per_1000_s(&self) -> Option<u32> {
        self.active.map(|active| active.per_1000_s)
    }

    /// How often the number of processes that use the upstream has doubled since the limit was last
    /// confirmed.
    pub fn doublings(&self, now_us: u64) -> u32 {
        let unconfirmed_us = self.active.map_or(0, |active| now_us.saturating_sub(active.advertised_at_us));
        (unconfirmed_us / DOUBLING_INTERVAL_US) as u32
    }

    /// Sets this process's rank in the order; `None` allows it no requests. Each process draws a random
    /// `phase` from 0 to 1, so that the first requests of the processes do not coincide.
    pub fn set_rank(&mut self, rank: Option<LimitRank>, phase: f64, now_us: u64) {
        let doublings = self.doublings(now_us);
        if let Some(active) = &mut self.active {
            let share_per_s = rank.map_or(0.0, |rank| share_per_s(active.per_1000_s, rank, doublings));
            active.pacer.set(share_per_s, phase, now_us);
        }
    }

    /// Requests per second that this process may send; `None` if no limit is in force.
    pub fn share_per_s(&self) -> Option<f64> {
        self.active.map(|active| active.pacer.per_s())
    }

    /// Whether the limit blocks all sends now.
    pub fn blocks_sends(&self, now_us: u64) -> bool {
        self.active.is_some_and(|active| !active.pacer.allows(now_us))
    }

    /// Whether the next request is reserved for more urgent requests than those of `priority`; 0 is the most
    /// urgent.
    pub fn is_reserved(&self, priority: u32, now_us: u64) -> bool {
        self.active.is_some_and(|active| active.pacer.is_reserved(priority, now_us))
    }

    /// Whether the next request should go to this upstream, to learn whether the limit is still in force.
    pub fn is_refresh_due(&self, now_us: u64) -> bool {
        self.active.is_some_and(|active| {
            let is_unconfirmed = now_us.saturating_sub(active.advertised_at_us) >= REFRESH_AFTER_US;
            (is_unconfirmed || active.responses_without_limit > 0) && active.pacer.allows(now_us)
        })
    }

    /// Time until a request of `priority` may be sent, in microseconds: by this process or, if its share is
    /// 0, by any process. `None` if it may be sent now.
    pub fn available_in_us(&self, priority: u32, now_us: u64) -> Option<u64> {
        let active = self
            .active
            .filter(|active| active.pacer.is_reserved(priority, now_us) || !active.pacer.allows(now_us))?;
        Some(
            active
                .pacer
                .available_in_us(priority, now_us)
                .unwrap_or_else(|| pace::interval_us(total_per_s(active.per_1000_s))),
        )
    }

    /// Records a send.
    pub fn record_send(&mut self, now_us: u64) {
        if let Some(active) = &mut self.active {
            active.pacer.record_send(now_us);
        }
    }
}

/// Total rate of all processes, in requests per second.
fn total_per_s(per_1000_s: u32) -> f64 {
    (f64::from(per_1000_s) / PER_1000_S).max(TOTAL_RATE_MIN_PER_S)
}

/// Number of processes that use an upstream: one per request per second of its limit, before doublings.
fn active_processes(per_1000_s: u32, doublings: u32) -> usize {
    let processes = total_per_s(per_1000_s).ceil() as usize;
    processes.saturating_mul(1_usize.checked_shl(doublings).unwrap_or(usize::MAX))
}

/// Rate of one process, in requests per second.
fn share_per_s(per_1000_s: u32, rank: LimitRank, doublings: u32) -> f64 {
    let senders = active_processes(per_1000_s, doublings).min(rank.processes.max(1));
    if rank.rank >= senders {
        return 0.0;
    }
    total_per_s(per_1000_s) * rank.reachable_share / senders as f64
}
