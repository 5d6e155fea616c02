//! What is known against a request: crashes of upstreams while it ran there, one after another, and whether it has run well since.

use serde::{Deserialize, Serialize};

/// Crashes of one request that are kept. Not measured: bounds memory and datagrams; the time of quarantine has reached its longest by then.
pub(super) const CRASHES_KEPT: usize = 8;
/// Times go between nodes in whole milliseconds: what lies no further apart may be at the same time, in microseconds.
const ROUNDING_US: i64 = 1_000;
/// Time by which a run has to begin after a crash that another node saw, in microseconds: longer than ways between nodes differ, and shorter
/// than a caller takes to come back.
///
/// Without it, and with crashes at the same moment taken for a row, up to 46 of 7,253 innocent attempts were refused in simulated fleets of
/// which all upstreams crash at once, since some had just been sent; with it none. Not measured at other values.
const GAP_US: i64 = 5_000;

/// Identity of a crash under a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CrashId {
    /// The node that saw it.
    pub reporter: u64,
    /// Number of the crash at that node; rises over its lives.
    pub number: u64,
}

/// A crash of an upstream while a request ran there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Crash {
    pub id: CrashId,
    /// When the request was sent there, in microseconds of this node's steady clock; before its zero if the node is younger.
    pub began_at_us: i64,
    /// When the upstream was found to have crashed.
    pub ended_at_us: i64,
}

impl Crash {
    /// Whether the request was sent after an earlier crash was over.
    fn follows(&self, before: &Self) -> bool {
        let gap_us = if self.id.reporter == before.id.reporter { -ROUNDING_US } else { GAP_US };
        self.began_at_us >= before.ended_at_us.saturating_add(gap_us)
            && self.ended_at_us > before.ended_at_us.saturating_add(ROUNDING_US)
    }
}

/// All that is known of one request.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashHistory {
    /// Crashes each of which began after the one before was over, oldest first.
    ///
    /// Requests that stood in upstreams which crash for another reason break off together: a rack without power, upstreams that end at once. A
    /// request that causes its crashes causes one after the other. So runs that overlap count once.
    crashes: Vec<Crash>,
    /// When it was last known to have run to a good end.
    survived_at_us: Option<i64>,
}

impl CrashHistory {
    /// Crashes in a row.
    pub fn crashes(&self) -> &[Crash] {
        &self.crashes
    }

    /// When it last ran well, if it has, in microseconds of the steady clock.
    pub fn survived_at_us(&self) -> Option<i64> {
        self.survived_at_us
    }

    /// When anything was learned last, in microseconds of the steady clock.
    pub fn latest_at_us(&self) -> i64 {
        let crashed = self.crashes.last().map(|crash| crash.ended_at_us);
        crashed.max(self.survived_at_us).unwrap_or(i64::MIN)
    }

    /// The longest run before a crash, in microseconds.
    pub fn longest_run_us(&self) -> i64 {
        self.crashes.iter().map(|crash| crash.ended_at_us - crash.began_at_us).max().unwrap_or_default()
    }

    /// Whether nodes other than `own` have to be believed for this, and only one of them says so.
    ///
    /// A node that errs, behind a firewall of its own for example, sees upstreams refuse it that serve all others.
    pub fn rests_on_one_other(&self, own: u64) -> bool {
        let mut reporters = self.crashes.iter().map(|crash| crash.id.reporter);
        let first = reporters.next();
        first != Some(own) && reporters.all(|reporter| Some(reporter) == first)
    }

    /// Adds a crash; true if the crashes in a row have changed. May be given the same one again, and in any order.
    pub fn add(&mut self, crash: Crash) -> bool {
        if self.survived_at_us.is_some_and(|survived| crash.ended_at_us <= survived) {
            return false;
        }
        if let Some(known) = self.crashes.iter_mut().find(|known| known.id == crash.id) {
            // Each way between nodes makes it seem later than it was.
            if crash.ended_at_us < known.ended_at_us {
                *known = crash;
                self.leave_one_after_another();
            }
            return false;
        }
        self.crashes.push(crash);
        self.leave_one_after_another();
        self.crashes.iter().any(|known| known.id == crash.id)
    }

    /// Takes note that it ran well; true if that clears it of any crash.
    pub fn survive(&mut self, at_us: i64) -> bool {
        self.survived_at_us = self.survived_at_us.max(Some(at_us));
        let before = self.crashes.len();
        self.crashes.retain(|crash| crash.ended_at_us > at_us);
        self.crashes.len() < before
    }

    fn leave_one_after_another(&mut self) {
        self.crashes.sort_unstable_by_key(|crash| (crash.ended_at_us, crash.id));
        let mut before: Option<Crash> = None;
        self.crashes.retain(|crash| {
            let follows = before.is_none_or(|before| crash.follows(&before));
            if follows {
                before = Some(*crash);
            }
            follows
        });
        if self.crashes.len() > CRASHES_KEPT {
            // The newest one says how long the quarantine lasts.
            self.crashes.remove(CRASHES_KEPT - 1);
        }
    }
}
