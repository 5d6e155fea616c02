//! How many requests a second an upstream takes from all processes together, and which part of them one process may send.
//!
//! Source: the users' platform; of both forms, each of which asks [`RequestLimit::holds`] where it decides whether an upstream may get work, and records sends
//! and answers. Rates are whole requests in a thousand seconds, so that they compare and travel exactly.
//!
//! Nothing is shared and no request waits for another process: as many processes as the limit has requests a second, the first in an order that all work out
//! alike, use the upstream, each with an equal part; the others send nothing. While nothing confirms the limit, the number of those that use the upstream doubles, so
//! that it gets requests whoever has callers. Inputs: what answers say, what other processes report, the place of this process in the order, the steady clock.
//! Invariant: for one view of the fleet all processes together send at most the limit, and one request each of those that use the upstream besides, in any time.
//! Tests: `tests/request_limit.rs`, in fleets `pointvane-dispatch/tests/limits_fleet.rs`.

mod notice;
mod pace;

pub use notice::LimitNotice;

use {crate::US_PER_MS, pace::Pace};

/// Requests in a thousand seconds that come to one a second.
pub const PER_1000_S: f64 = 1_000.0;
/// Lowest rate of all processes together, in requests a second: by these it is learned that an upstream takes more again.
const LEAST_PER_S: f64 = 0.25;
/// Answers in a row without a limit, by which it ends.
const LIFTED_AFTER_ANSWERS: u32 = 2;
/// Age of what is known of a limit from which on the next request goes to the upstream, in microseconds.
const REFRESH_AFTER_US: u64 = 1_000 * US_PER_MS;
/// Age of what is known of a limit after each multiple of which twice as many processes use the upstream, in microseconds.
const DOUBLE_AFTER_US: u64 = 3_000 * US_PER_MS;
/// Age of what is known of a limit at which it is forgotten, in microseconds.
const EXPIRES_AFTER_US: u64 = 60_000 * US_PER_MS;
/// Shortest time between two announcements of one limit, in microseconds.
const ANNOUNCE_INTERVAL_US: u64 = 1_000 * US_PER_MS;
/// Shortest time between two announcements of the end of one limit, in microseconds.
const END_ANNOUNCE_INTERVAL_US: u64 = 200 * US_PER_MS;
/// Time for which the end of a limit is announced, in microseconds.
const END_ANNOUNCED_FOR_US: u64 = 3 * END_ANNOUNCE_INTERVAL_US;
/// Time that each limit takes of the interval between announcements, in microseconds: bounds datagrams where many upstreams advertise one.
const ANNOUNCE_SLOT_US: u64 = 10 * US_PER_MS;

/// How a limit changes, as one process knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// The upstream advertises a limit, or another one, in requests in a thousand seconds.
    Set(u32),
    /// It advertises none any more.
    Lifted,
}

/// What an upstream advertised, as one process reports it to others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitReport {
    /// Requests in a thousand seconds; none if the upstream advertises no limit any more.
    pub per_1000_s: Option<u32>,
    /// When the upstream did so, in microseconds of the steady clock.
    pub reported_at_us: u64,
}

/// The place of a process among those that may use an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitPlace {
    /// Processes before it in the order.
    pub before: usize,
    /// Processes that can be reached, this one included.
    pub processes: usize,
    /// The part that these are of the whole fleet: the others, if they live, do the same.
    pub reached_share: f64,
}

impl LimitPlace {
    /// The last place in a fleet of so many processes: that of one which does not know the others yet. If all of a fleet that is no larger take it, they send the limit at most.
    pub const fn last_of(processes: usize) -> Self {
        Self { before: processes.saturating_sub(1), processes, reached_share: 1.0 }
    }
}

/// A limit that holds.
#[derive(Clone, Copy, Debug, PartialEq)]
struct HeldLimit {
    per_1000_s: u32,
    /// When this process learned that there is one.
    since_us: u64,
    /// When the upstream last advertised it, to whichever process.
    advertised_at_us: u64,
    /// Answers in a row to this process that advertised none.
    answers_without: u32,
    pace: Pace,
}

/// What one process knows of one upstream's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RequestLimit {
    held: Option<HeldLimit>,
    /// When the last limit ended.
    lifted_at_us: u64,
    /// Whether what this process knows is still to be announced to the others.
    is_unannounced: bool,
    /// When this process last announced it, or received an announcement.
    announced_at_us: u64,
}

impl RequestLimit {
    /// Records what an answer says. `sent_at_us` is when its request was sent; none for a probe, which may leave the header out.
    pub fn record_answer(
        &mut self,
        notice: LimitNotice,
        sent_at_us: Option<u64>,
        now_us: u64,
    ) -> Option<LimitChange> {
        match notice {
            LimitNotice::Unreadable => None,
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
                let held = self.held.as_mut().filter(|held| sent_at_us > held.since_us)?;
                held.answers_without += 1;
                held.pace.allow_one(now_us);
                if held.answers_without < LIFTED_AFTER_ANSWERS {
                    return None;
                }
                self.lift(now_us);
                (self.is_unannounced, self.announced_at_us) = (true, 0);
                Some(LimitChange::Lifted)
            }
        }
    }

    /// Receives what another process reports. The latest report holds.
    pub fn receive(&mut self, report: LimitReport, now_us: u64) -> Option<LimitChange> {
        let reported_at_us = report.reported_at_us.min(now_us);
        if !self.is_newer(&LimitReport { reported_at_us, ..report }) {
            return None;
        }
        (self.is_unannounced, self.announced_at_us) = (false, now_us);
        match report.per_1000_s {
            Some(per_1000_s) => self.set(per_1000_s, reported_at_us),
            None => {
                let was_held = self.held.is_some();
                self.lift(reported_at_us);
                was_held.then_some(LimitChange::Lifted)
            }
        }
    }

    /// Has this process announce what it received: where an announcement goes to some of the others only, each forwards it.
    pub fn forward(&mut self) {
        self.is_unannounced = true;
    }

    /// Whether a report is later than what is known.
    pub fn is_newer(&self, report: &LimitReport) -> bool {
        report.reported_at_us > self.held.map_or(self.lifted_at_us, |held| held.advertised_at_us)
    }

    fn set(&mut self, per_1000_s: u32, at_us: u64) -> Option<LimitChange> {
        let known = self.held.map(|held| held.per_1000_s);
        match &mut self.held {
            Some(held) => {
                (held.per_1000_s, held.answers_without) = (per_1000_s, 0);
                held.advertised_at_us = held.advertised_at_us.max(at_us);
            }
            None => {
                self.held = Some(HeldLimit {
                    per_1000_s,
                    since_us: at_us,
                    advertised_at_us: at_us,
                    answers_without: 0,
                    pace: Pace::default(),
                });
            }
        }
        (known != Some(per_1000_s)).then_some(LimitChange::Set(per_1000_s))
    }

    fn lift(&mut self, at_us: u64) {
        self.held = None;
        self.lifted_at_us = self.lifted_at_us.max(at_us);
    }

    /// Forgets a limit that was not confirmed for long.
    pub fn expire(&mut self, now_us: u64) -> Option<LimitChange> {
        let held = self.held?;
        let is_over = now_us.saturating_sub(held.advertised_at_us) >= EXPIRES_AFTER_US;
        is_over.then(|| {
            self.lift(now_us);
            LimitChange::Lifted
        })
    }

    /// Whether an announcement is due (see [`Self::take_announcement`]).
    pub fn is_announcement_due(&self, limits: usize, now_us: u64) -> bool {
        let interval_us = if self.held.is_some() { ANNOUNCE_INTERVAL_US } else { END_ANNOUNCE_INTERVAL_US };
        let every_us = interval_us.max(limits as u64 * ANNOUNCE_SLOT_US);
        self.is_unannounced && now_us.saturating_sub(self.announced_at_us) >= every_us
    }

    /// What is to be announced to the other processes now, if anything. `limits` counts all limits that this process knows: the more there are, the less often
    /// each is announced.
    pub fn take_announcement(&mut self, limits: usize, now_us: u64) -> Option<LimitReport> {
        if !self.is_announcement_due(limits, now_us) {
            return None;
        }
        self.announced_at_us = now_us;
        // Nobody confirms the end of a limit, so whoever misses all of its announcements learns of it late.
        let next_us = now_us + END_ANNOUNCE_INTERVAL_US;
        self.is_unannounced = self.held.is_none() && next_us < self.lifted_at_us + END_ANNOUNCED_FOR_US;
        Some(match self.held {
            Some(held) => {
                LimitReport { per_1000_s: Some(held.per_1000_s), reported_at_us: held.advertised_at_us }
            }
            None => LimitReport { per_1000_s: None, reported_at_us: self.lifted_at_us },
        })
    }

    /// Whether something is still to be announced.
    pub fn is_unannounced(&self) -> bool {
        self.is_unannounced
    }

    /// The limit that holds, in requests in a thousand seconds.
    pub fn per_1000_s(&self) -> Option<u32> {
        self.held.map(|held| held.per_1000_s)
    }

    /// How often the number of processes that use the upstream has doubled, since nothing confirmed the limit.
    pub fn doublings(&self, now_us: u64) -> u32 {
        let silent_us = self.held.map_or(0, |held| now_us.saturating_sub(held.advertised_at_us));
        (silent_us / DOUBLE_AFTER_US) as u32
    }

    /// Takes this process's place; `phase` from 0 to 1 is drawn by each process, so that their first requests do not come together.
    pub fn set_place(&mut self, place: Option<LimitPlace>, phase: f64, now_us: u64) {
        let doublings = self.doublings(now_us);
        if let Some(held) = &mut self.held {
            let part_per_s = place.map_or(0.0, |place| part_per_s(held.per_1000_s, place, doublings));
            held.pace.set(part_per_s, phase, now_us);
        }
    }

    /// The requests a second that this process may send.
    pub fn part_per_s(&self) -> Option<f64> {
        self.held.map(|held| held.pace.per_s())
    }

    /// Whether nothing may be sent now.
    pub fn holds(&self, now_us: u64) -> bool {
        self.held.is_some_and(|held| !held.pace.allows(now_us))
    }

    /// Whether what may be sent is kept for more urgent work than that of a priority, 0 being the most urgent.
    pub fn is_reserved(&self, priority: u32, now_us: u64) -> bool {
        self.held.is_some_and(|held| held.pace.is_reserved(priority, now_us))
    }

    /// Whether the next request is to go there, to learn whether the limit still holds.
    pub fn is_refresh_due(&self, now_us: u64) -> bool {
        self.held.is_some_and(|held| {
            let is_silent = now_us.saturating_sub(held.advertised_at_us) >= REFRESH_AFTER_US;
            (is_silent || held.answers_without > 0) && held.pace.allows(now_us)
        })
    }

    /// Time until something of a priority may be sent, in microseconds: by this process, or if it may send nothing, by any.
    pub fn back_in_us(&self, priority: u32, now_us: u64) -> Option<u64> {
        let held =
            self.held.filter(|held| held.pace.is_reserved(priority, now_us) || !held.pace.allows(now_us))?;
        Some(
            held.pace
                .back_in_us(priority, now_us)
                .unwrap_or_else(|| pace::interval_us(whole_per_s(held.per_1000_s))),
        )
    }

    /// Takes note of a send.
    pub fn send_began(&mut self, now_us: u64) {
        if let Some(held) = &mut self.held {
            held.pace.send_began(now_us);
        }
    }
}

/// The rate of all processes together.
fn whole_per_s(per_1000_s: u32) -> f64 {
    (f64::from(per_1000_s) / PER_1000_S).max(LEAST_PER_S)
}

/// How many processes use an upstream: as many as it takes requests a second.
fn users(per_1000_s: u32, doublings: u32) -> usize {
    let users = whole_per_s(per_1000_s).ceil() as usize;
    users.saturating_mul(1_usize.checked_shl(doublings).unwrap_or(usize::MAX))
}

/// The rate of one process.
fn part_per_s(per_1000_s: u32, place: LimitPlace, doublings: u32) -> f64 {
    let users = users(per_1000_s, doublings).min(place.processes.max(1));
    if place.before >= users {
        return 0.0;
    }
    whole_per_s(per_1000_s) * place.reached_share / users as f64
}
