//! Evidence about one request: the sequence of upstream crashes while it ran, and its last successful run.

use serde::{Deserialize, Serialize};

/// Maximum number of crashes retained for one request. Bounds memory and datagram size; the hold time has
/// reached its maximum before this many crashes.
pub(super) const CRASHES_MAX: usize = 8;
/// Resolution of ages in messages between nodes, in microseconds. Events no further apart may have been
/// simultaneous.
const AGE_RESOLUTION_US: i64 = 1_000;
/// Minimum time between a crash reported by another node and the start of a run that counts as its successor,
/// in microseconds. Exceeds the difference in latency between nodes and is shorter than the retry delay of
/// callers.
///
/// Without this gap, and with simultaneous crashes counted as sequential, up to 46 of 7,253 attempts were
/// refused wrongly in simulated fleets whose upstreams all crashed at once, because some had just been sent;
/// with it none.
const REMOTE_GAP_MIN_US: i64 = 5_000;

/// Identifies a crash under a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CrashId {
    /// Identity of the node that observed the crash.
    pub reporter: u64,
    /// Sequence number of the crash on that node; increases across restarts of its process.
    pub number: u64,
}

/// A crash of an upstream while it ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Crash {
    pub id: CrashId,
    /// When the request was sent, in microseconds of this node's monotonic clock; negative if before that
    /// clock's zero.
    pub began_at_us: i64,
    /// When the crash was detected, in microseconds of the same clock.
    pub ended_at_us: i64,
}

impl Crash {
    /// Returns true if the request was sent after the crash `before` had been detected.
    fn follows(&self, before: &Self) -> bool {
        let gap_us =
            if self.id.reporter == before.id.reporter { -AGE_RESOLUTION_US } else { REMOTE_GAP_MIN_US };
        self.began_at_us >= before.ended_at_us.saturating_add(gap_us)
            && self.ended_at_us > before.ended_at_us.saturating_add(AGE_RESOLUTION_US)
    }
}

/// All evidence about one request.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashHistory {
    /// Sequential crashes, oldest first: each run began after the preceding crash.
    ///
    /// If upstreams crash for another reason, such as a rack losing power, the requests running on them fail
    /// together. A request that causes crashes causes them one after another. Overlapping runs therefore
    /// count once.
    crashes: Vec<Crash>,
    /// Time of the last known successful run, in microseconds of the monotonic clock.
    succeeded_at_us: Option<i64>,
}

impl CrashHistory {
    /// Returns the sequential crashes, oldest first.
    pub fn crashes(&self) -> &[Crash] {
        &self.crashes
    }

    /// Returns the time of the last successful run, in microseconds of the monotonic clock.
    pub fn succeeded_at_us(&self) -> Option<i64> {
        self.succeeded_at_us
    }

    /// Returns the time of the newest crash or success, in microseconds of the monotonic clock.
    pub fn last_evidence_at_us(&self) -> i64 {
        let crashed = self.crashes.last().map(|crash| crash.ended_at_us);
        crashed.max(self.succeeded_at_us).unwrap_or(i64::MIN)
    }

    /// Returns the duration of the longest run that ended in a crash, in microseconds.
    pub fn longest_run_us(&self) -> i64 {
        self.crashes.iter().map(|crash| crash.ended_at_us - crash.began_at_us).max().unwrap_or_default()
    }

    /// Returns true if all crashes were reported by the same node, other than `own`.
    ///
    /// A faulty node, for example one behind its own firewall, sees refused connections from
    /// upstreams that serve all other nodes.
    pub fn has_single_remote_reporter(&self, own: u64) -> bool {
        let mut reporters = self.crashes.iter().map(|crash| crash.id.reporter);
        let first = reporters.next();
        first != Some(own) && reporters.all(|reporter| Some(reporter) == first)
    }

    /// Adds a crash and returns true if it joined the sequence. Crashes may arrive repeatedly and in any
    /// order.
    pub fn record_crash(&mut self, crash: Crash) -> bool {
        if self.succeeded_at_us.is_some_and(|succeeded_at_us| crash.ended_at_us <= succeeded_at_us) {
            return false;
        }
        if let Some(known) = self.crashes.iter_mut().find(|known| known.id == crash.id) {
            // Network latency makes a reported crash appear later than it was, so the earliest time is the
            // best one.
            if crash.ended_at_us < known.ended_at_us {
                *known = crash;
                self.retain_sequential();
            }
            return false;
        }
        self.crashes.push(crash);
        self.retain_sequential();
        self.crashes.iter().any(|known| known.id == crash.id)
    }

    /// Records a successful run and returns true if that removes any crash.
    pub fn record_success(&mut self, at_us: i64) -> bool {
        self.succeeded_at_us = self.succeeded_at_us.max(Some(at_us));
        let before = self.crashes.len();
        self.crashes.retain(|crash| crash.ended_at_us > at_us);
        self.crashes.len() < before
    }

    /// Sorts the crashes, removes those that overlap an earlier one, and limits their number.
    fn retain_sequential(&mut self) {
        self.crashes.sort_unstable_by_key(|crash| (crash.ended_at_us, crash.id));
        let mut before: Option<Crash> = None;
        self.crashes.retain(|crash| {
            let follows = before.is_none_or(|before| crash.follows(&before));
            if follows {
                before = Some(*crash);
            }
            follows
        });
        if self.crashes.len() > CRASHES_MAX {
            // The newest crash is kept because it determines when the quarantine ends.
            self.crashes.remove(CRASHES_MAX - 1);
        }
    }
}
