//! Quarantine: stops sending a request to further upstreams after several of them have crashed while running
//! it.
//!
//! A crash may be caused by the request instead of the upstream. When each node tracked only upstream health,
//! and only from its own observations, one read request crashed 50 upstream processes of a service with 28
//! upstreams, one or two through each node that received it.
//!
//! The check runs before each search for an upstream and again immediately before each send, so that queued,
//! hedged, retried and early-forwarded requests, and those whose search is in progress, respect evidence that
//! arrived in the meantime. Inputs: crashes and successful runs observed by this node or reported by others,
//! the monotonic clock, and the number of nodes. Request identity is defined in `fingerprint.rs`, the
//! evidence rules in `quarantine/crash_history.rs`.
//!
//! A request is quarantined once [`QuarantineOptions::after_crashes`] upstreams have crashed under it in
//! sequence without a successful run since, according to this node's own evidence or the evidence of at least
//! two nodes. No node sends it until the hold time has passed. Trials follow: one run at a time per node, on
//! few nodes at first and on twice as many every two seconds. A crash starts another quarantine four times as
//! long; a success ends the quarantine on all nodes. The evidence expires ten minutes after the hold time; a
//! later request starts with a clean history.
//!
//! Missing or late evidence delays a quarantine and never causes one. Invariant: a request is never refused
//! unless an upstream has crashed while running it (`tests/quarantine.rs`). Fleet simulations:
//! `tests/quarantine_fleet.rs`; alternatives considered: docs/design/crashing-requests.md.

mod broadcast_budget;
mod crash_history;
mod gossip;
mod messages;

pub use {
    broadcast_budget::BroadcastBudget,
    crash_history::CrashId,
    messages::{QuarantineMessage, SUSPECTS_PER_DATAGRAM_MAX, SuspectReport},
};

use {
    crate::fingerprint::{HeadFingerprint, RequestFingerprint},
    crash_history::{Crash, CrashHistory},
    pointvane_core::{US_PER_MS, US_PER_S},
    std::collections::{BTreeMap, HashMap},
};

/// Factor by which each further crash lengthens the hold time.
///
/// With the default [`QuarantineOptions::hold_ms`], trials take place after 2, 10, 42 and 170 s, so a request
/// that is repeated continuously crashes three upstreams in trials within two and a half minutes.
const HOLD_GROWTH: i64 = 4;
/// Longest hold time, in microseconds. Bounds the cost of detecting that a request has become harmless to one
/// upstream crash per hour.
const HOLD_MAX_US: i64 = 3_600 * US_PER_S as i64;
/// Time for which evidence is retained after the hold time has passed, in microseconds.
const RETENTION_US: i64 = 600 * US_PER_S as i64;
/// Time for which a success is retained, in microseconds, so that late reports of earlier crashes are ignored.
///
/// Must exceed the time for which a node can be paused or partitioned; such faults have lasted up to 20 s.
const SUCCESS_RETENTION_US: i64 = 60 * US_PER_S as i64;
/// Time in which the number of nodes that may run a trial doubles, in microseconds: 22 s until all of 1,800
/// nodes may.
const TRIAL_DOUBLING_US: i64 = 2 * US_PER_S as i64;
/// Shortest time between two trials on one node, in microseconds. Longer for requests that ran longer before
/// crashing.
const TRIAL_INTERVAL_MIN_US: i64 = US_PER_S as i64;
/// Maximum number of tracked requests. Bounds memory to about 200 KB and exceeds the number of requests in
/// progress on the upstreams of one rack. When full, the request with the fewest crashes is evicted, the
/// oldest among equals.
const SUSPECTS_MAX: usize = 512;
/// Gossip rounds in which changed evidence is forwarded. Each node thus sends it to 12 others, so that one
/// node in 160,000 receives none of these datagrams.
const GOSSIP_ROUNDS: u8 = 6;

/// Settings for when a request is quarantined and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineOptions {
    /// Number of sequential crashes that starts a quarantine; 0 disables quarantine.
    pub after_crashes: usize,
    /// Duration of the first quarantine, in milliseconds.
    pub hold_ms: u64,
}

/// Two sequential crashes and 2 s.
///
/// In 20 simulated runs with 18 nodes, four repeated requests crash at most 30 upstreams; a threshold of three
/// crashes raises this to 34. If all 36 upstreams crash one after another within 3.6 s for an unrelated
/// reason, at most 68 of 6,094 attempts are refused wrongly; a hold time of 8 s raises this to 163, a
/// threshold of three crashes lowers it to 37. If they crash simultaneously, none is refused
/// (`tests/quarantine_fleet.rs`).
impl Default for QuarantineOptions {
    fn default() -> Self {
        Self { after_crashes: 2, hold_ms: 2_000 }
    }
}

/// Position of this node in the order in which nodes may try a request after its hold time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrialPosition {
    /// Position from 0 to 1, derived from the request and the node so that the order of nodes differs between
    /// requests.
    pub position: f64,
    /// Number of nodes in the fleet.
    pub nodes: usize,
}

/// A change of a request's quarantine state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineChange {
    /// The request was quarantined, or its quarantine was extended by a further crash.
    Began {
        /// The request.
        request: RequestFingerprint,
        /// Number of known sequential crashes.
        crashes: usize,
        /// Duration of the quarantine, in milliseconds.
        hold_ms: u64,
    },
    /// The quarantine ended because the request ran successfully or its evidence no longer suffices.
    Lifted {
        /// The request.
        request: RequestFingerprint,
    },
}

/// State of one request under which an upstream has crashed.
#[derive(Clone, Debug, Default)]
struct Suspect {
    history: CrashHistory,
    /// Earliest time of the next trial, in microseconds of the monotonic clock.
    next_trial_at_us: i64,
    /// Gossip rounds in which this evidence is still to be forwarded.
    rounds_left: u8,
    /// Whether this evidence is to be broadcast immediately.
    broadcast_pending: bool,
    /// Number of crashes in the last reported change; 0 while the request is not quarantined.
    reported_crashes: usize,
}

/// Tracks the requests under which upstreams have crashed and decides which of them may be sent.
#[derive(Clone, Debug)]
pub struct Quarantine {
    options: QuarantineOptions,
    /// Identity of this node.
    reporter: u64,
    /// Number of the last crash observed by this node.
    crash_number: u64,
    suspects: BTreeMap<RequestFingerprint, Suspect>,
    /// Number of suspects with the same head, that is, equal except for query and body.
    suspects_per_head: HashMap<HeadFingerprint, usize>,
    /// Number of pages sent so far by [`Quarantine::next_page`].
    pages_sent: usize,
}

impl Quarantine {
    /// Creates an empty quarantine. `reporter` is this node's identity. Its crashes are numbered from
    /// `first_number`, which must exceed every number used by an earlier process of the same node.
    pub fn new(options: QuarantineOptions, reporter: u64, first_number: u64) -> Self {
        Self {
            options,
            reporter,
            crash_number: first_number,
            suspects: BTreeMap::new(),
            suspects_per_head: HashMap::new(),
            pages_sent: 0,
        }
    }

    /// Returns true if a tracked request has this head. Cheap, and false for nearly all requests; `head` is
    /// only evaluated if any request is tracked.
    pub fn tracks_head(&self, head: impl FnOnce() -> HeadFingerprint) -> bool {
        !self.suspects_per_head.is_empty() && self.suspects_per_head.contains_key(&head())
    }

    /// Returns true if a request must not be sent now.
    pub fn refuses(&self, request: &RequestFingerprint, trial_position: &TrialPosition, now_us: u64) -> bool {
        let suspect = self.suspects.get(request);
        suspect.is_some_and(|suspect| self.is_blocked(suspect, trial_position, now_us as i64))
    }

    /// Records that a request is being sent after [`Quarantine::refuses`] returned false. If it is a trial,
    /// delays the next trial on this node.
    pub fn begin_send(&mut self, request: &RequestFingerprint, now_us: u64) {
        if let Some(suspect) = self.suspects.get_mut(request)
            && suspect.reported_crashes > 0
        {
            let pause_us = TRIAL_INTERVAL_MIN_US.max(2 * suspect.history.longest_run_us());
            suspect.next_trial_at_us = now_us as i64 + pause_us;
        }
    }

    /// Records that an upstream crashed at `ended_at_us` while running a request sent at `began_at_us`.
    pub fn record_crash(
        &mut self,
        request: RequestFingerprint,
        began_at_us: u64,
        ended_at_us: u64,
    ) -> Option<QuarantineChange> {
        if self.options.after_crashes == 0 {
            return None;
        }
        self.crash_number += 1;
        let id = CrashId { reporter: self.reporter, number: self.crash_number };
        let crash = Crash { id, began_at_us: began_at_us as i64, ended_at_us: ended_at_us as i64 };
        let suspect = self.suspect(request);
        if suspect.history.record_crash(crash) {
            suspect.broadcast_pending = true;
            suspect.rounds_left = GOSSIP_ROUNDS;
        }
        self.report_change(request)
    }

    /// Records that a request completed successfully.
    pub fn record_success(&mut self, request: RequestFingerprint, now_us: u64) -> Option<QuarantineChange> {
        let suspect = self.suspects.get_mut(&request)?;
        if suspect.history.record_success(now_us as i64) {
            suspect.rounds_left = GOSSIP_ROUNDS;
            suspect.broadcast_pending = suspect.reported_crashes > 0;
        }
        self.report_change(request)
    }

    /// Merges evidence received from another node and returns the resulting changes.
    pub fn receive(&mut self, reports: &[SuspectReport], now_us: u64) -> Vec<QuarantineChange> {
        if self.options.after_crashes == 0 {
            return Vec::new();
        }
        let changes = reports.iter().filter_map(|report| {
            let suspect = self.suspect(report.request);
            if report.apply(&mut suspect.history, now_us as i64) {
                suspect.rounds_left = GOSSIP_ROUNDS;
            }
            self.report_change(report.request)
        });
        changes.collect()
    }

    /// Removes requests whose retention time has passed.
    pub fn expire(&mut self, now_us: u64) {
        let is_expired = |suspect: &Suspect| now_us as i64 >= expires_at_us(&self.options, &suspect.history);
        let expired =
            self.suspects.iter().filter(|(_, suspect)| is_expired(suspect)).map(|(request, _)| *request);
        expired.collect::<Vec<_>>().iter().for_each(|request| self.remove_suspect(request));
    }

    /// Returns the number of tracked requests.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns true if no request is tracked.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the number of requests that are quarantined or in the trial phase.
    pub fn quarantined(&self) -> usize {
        self.suspects.values().filter(|suspect| suspect.reported_crashes > 0).count()
    }

    /// Returns true if the quarantine of a request prevents this node from sending it now.
    fn is_blocked(&self, suspect: &Suspect, trial_position: &TrialPosition, now_us: i64) -> bool {
        if !self.is_quarantined(&suspect.history) {
            return false;
        }
        let since_hold_us = now_us - held_until_us(&self.options, &suspect.history);
        since_hold_us < 0 || now_us < suspect.next_trial_at_us || !may_try(trial_position, since_hold_us)
    }

    /// Returns true if the evidence suffices for a quarantine.
    fn is_quarantined(&self, history: &CrashHistory) -> bool {
        history.crashes().len() >= self.options.after_crashes
            && !history.has_single_remote_reporter(self.reporter)
    }

    /// Returns the state of a request, creating it if necessary.
    fn suspect(&mut self, request: RequestFingerprint) -> &mut Suspect {
        if !self.suspects.contains_key(&request) {
            if self.suspects.len() >= SUSPECTS_MAX {
                self.evict_suspect();
            }
            *self.suspects_per_head.entry(request.head()).or_default() += 1;
        }
        self.suspects.entry(request).or_default()
    }

    /// Evicts the request with the fewest crashes, the one with the oldest evidence among equals.
    fn evict_suspect(&mut self) {
        let weight =
            |suspect: &Suspect| (suspect.history.crashes().len(), suspect.history.last_evidence_at_us());
        let evicted =
            self.suspects.iter().min_by_key(|(_, suspect)| weight(suspect)).map(|(request, _)| *request);
        evicted.inspect(|request| self.remove_suspect(request));
    }

    fn remove_suspect(&mut self, request: &RequestFingerprint) {
        self.suspects.remove(request);
        if let Some(count) = self.suspects_per_head.get_mut(&request.head()) {
            *count -= 1;
            if *count == 0 {
                self.suspects_per_head.remove(&request.head());
            }
        }
    }

    /// Returns the change of a request's state since the previous call, and records the new state as reported.
    fn report_change(&mut self, request: RequestFingerprint) -> Option<QuarantineChange> {
        let suspect = self.suspects.get(&request)?;
        let crashes = suspect.history.crashes().len();
        let now = if self.is_quarantined(&suspect.history) { crashes } else { 0 };
        let hold_ms = hold_us(&self.options, crashes) as u64 / US_PER_MS;
        let suspect = self.suspects.get_mut(&request)?;
        let before = std::mem::replace(&mut suspect.reported_crashes, now);
        match (before, now) {
            (0, 0) => None,
            (_, 0) => Some(QuarantineChange::Lifted { request }),
            (before, now) if now > before => Some(QuarantineChange::Began { request, crashes, hold_ms }),
            _ => None,
        }
    }
}

/// Duration of the quarantine after a number of crashes, in microseconds.
fn hold_us(options: &QuarantineOptions, crashes: usize) -> i64 {
    let further = crashes.saturating_sub(options.after_crashes) as u32;
    let first_us = options.hold_ms as i64 * US_PER_MS as i64;
    first_us.saturating_mul(HOLD_GROWTH.saturating_pow(further)).min(HOLD_MAX_US)
}

fn held_until_us(options: &QuarantineOptions, history: &CrashHistory) -> i64 {
    let crashed_at_us = history.crashes().last().map_or(i64::MIN, |crash| crash.ended_at_us);
    crashed_at_us.saturating_add(hold_us(options, history.crashes().len()))
}

fn expires_at_us(options: &QuarantineOptions, history: &CrashHistory) -> i64 {
    let success_expires_at_us = history.succeeded_at_us().map(|at_us| at_us + SUCCESS_RETENTION_US);
    let held_until_us = history.crashes().last().map(|_| held_until_us(options, history) + RETENTION_US);
    held_until_us.max(success_expires_at_us).unwrap_or(i64::MIN)
}

/// Returns true if a node may try a request `since_hold_us` microseconds after its hold time.
fn may_try(trial_position: &TrialPosition, since_hold_us: i64) -> bool {
    let doublings = since_hold_us as f64 / TRIAL_DOUBLING_US as f64;
    trial_position.position < doublings.exp2() / trial_position.nodes.max(1) as f64
}
