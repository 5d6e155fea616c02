//! Quarantine: requests under which upstreams crash are not sent to more of them.
//!
//! Not every crash is its upstream's fault. While nodes judged upstreams alone, and each by itself, one read ended 50 upstreams of a service of 28,
//! one or two at each node that it came to (docs/incidents/2026-12-03-requests-that-crash-upstreams.md).
//!
//! Decided before each search for an upstream, and again right before each send, so that what is queued, searching, hedged, retried or
//! forwarded early heeds news that came meanwhile. Inputs: crashes of upstreams under requests and requests that ran well, as this node saw
//! them or as others tell; the steady clock; how many nodes there are. What a request is: `fingerprint.rs`. What counts: `quarantine/crash_history.rs`.
//!
//! A request is in quarantine once [`QuarantineOptions::after_crashes`] upstreams have crashed under it, one after the other, with no good
//! run since, by this node's own evidence or by that of two nodes. Then no node sends it until the time of quarantine is over. After that it is
//! tried: by few nodes at first, one run at a time, by twice as many each two seconds. A crash begins the next quarantine, four times as long;
//! a good run ends it everywhere. All is forgotten ten minutes after the quarantine is over; if the request comes then, all begins anew.
//!
//! Missing or late evidence delays a quarantine and never causes one. Invariant: without a crash of an upstream while a request ran there,
//! that request is never refused (`tests/quarantine.rs`). In fleets: `tests/quarantine_fleet.rs`; ways weighed: docs/design/crashing-requests.md.

mod crash_history;
mod news;
mod news_budget;
mod spread;

pub use {
    crash_history::CrashId,
    news::{NEWS_MAX, QuarantineMessage, SuspectNews},
    news_budget::NewsBudget,
};

use {
    crate::fingerprint::{HeadFingerprint, RequestFingerprint},
    crash_history::{Crash, CrashHistory},
    pointvane_core::{US_PER_MS, US_PER_S},
    std::collections::{BTreeMap, HashMap},
};

/// What each further crash multiplies the time of quarantine by: a request that comes all the time crashes three upstreams in trials within
/// two and a half minutes. Worked out from the default of [`QuarantineOptions::hold_ms`]: trials after 2, 10, 42 and 170 s.
const HOLD_GROWTH: i64 = 4;
/// Longest time of quarantine, in microseconds: one upstream an hour is the price of noticing that a request has become harmless.
/// Not measured.
const HOLD_MAX_US: i64 = 3_600 * US_PER_S as i64;
/// Time after which a request is forgotten, from the end of its quarantine on, in microseconds. Not measured.
const KEPT_US: i64 = 600 * US_PER_S as i64;
/// Time for which a request that ran well is remembered, so that late news of earlier crashes do not count. Not measured: longer than nodes
/// are paused or cut off for on the users' days (20 s).
const CLEARED_KEPT_US: i64 = 60 * US_PER_S as i64;
/// Time in which twice as many nodes may try, in microseconds: 22 s until all of 1,800 may. Not measured at other values.
const TRIAL_SPREAD_US: i64 = 2 * US_PER_S as i64;
/// Shortest time between two trials of a node, in microseconds; longer for requests that ran longer before their crashes. Not measured.
const TRIAL_PAUSE_US: i64 = US_PER_S as i64;
/// Requests of which anything is kept: bounds memory to some 200 KB, and is more than stand in the upstreams of a rack. At the bound the one
/// with the fewest crashes goes, of those the oldest. Not measured.
const SUSPECTS_MAX: usize = 512;
/// Rounds in which news are sent on after they changed. Worked out, not measured: each node sends to 12 others, so that one in 160,000 misses
/// all of what its peers send.
const NEWS_ROUNDS: u8 = 6;

/// When a request is quarantined, and for how long at first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineOptions {
    /// Crashes in a row after which it is; 0 for never.
    pub after_crashes: usize,
    /// Time of the first quarantine, in milliseconds.
    pub hold_ms: u64,
}

/// Two crashes in a row and 2 s. In simulated fleets of 18 nodes four requests that come again crash 30 upstreams in the worst of 20 seeds, with
/// three crashes in a row 34. If all 36 upstreams end one after the other within 3.6 s, 68 of 6,094 innocent attempts are refused at the worst,
/// with 8 s 163, with three crashes 37; for upstreams that end together none (`tests/quarantine_fleet.rs`).
impl Default for QuarantineOptions {
    fn default() -> Self {
        Self { after_crashes: 2, hold_ms: 2_000 }
    }
}

/// The place of this node among those that may try a request after its quarantine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrialTurn {
    /// Drawn from the request and the node, from 0 to 1: another order of nodes for each request.
    pub position: f64,
    /// Nodes in the fleet.
    pub nodes: usize,
}

/// What changed for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineChange {
    /// It is not sent to upstreams any more.
    Began {
        /// The request.
        request: RequestFingerprint,
        /// Crashes in a row that are known.
        crashes: usize,
        /// How long, in milliseconds.
        hold_ms: u64,
    },
    /// It ran well and is sent as any other.
    Lifted {
        /// The request.
        request: RequestFingerprint,
    },
}

/// One request under which an upstream has crashed.
#[derive(Clone, Debug, Default)]
struct Suspect {
    history: CrashHistory,
    next_trial_at_us: i64,
    /// Rounds in which it is still sent on.
    rounds_left: u8,
    /// Whether it goes to as many nodes as can be reached at once.
    urgent: bool,
    /// Crashes at the last change that was reported; 0 while it is not in quarantine.
    reported: usize,
}

/// The requests under which upstreams have crashed.
#[derive(Clone, Debug)]
pub struct Quarantine {
    options: QuarantineOptions,
    reporter: u64,
    crash_number: u64,
    suspects: BTreeMap<RequestFingerprint, Suspect>,
    /// Suspects by all but their queries and bodies.
    heads: HashMap<HeadFingerprint, usize>,
    /// Pages of all suspects that were told so far.
    pages: usize,
}

impl Quarantine {
    /// Nothing is known. `reporter` is this node's identity; its crashes are numbered from `first_number` on, which is higher than any number
    /// of an earlier life.
    pub fn new(options: QuarantineOptions, reporter: u64, first_number: u64) -> Self {
        Self {
            options,
            reporter,
            crash_number: first_number,
            suspects: BTreeMap::new(),
            heads: HashMap::new(),
            pages: 0,
        }
    }

    /// Whether anything is known of a request that looks like this but for its query and body; false for nearly all requests, at little cost.
    pub fn may_know(&self, head: impl FnOnce() -> HeadFingerprint) -> bool {
        !self.heads.is_empty() && self.heads.contains_key(&head())
    }

    /// Whether a request may not be sent now.
    pub fn refuses(&self, request: &RequestFingerprint, turn: &TrialTurn, now_us: u64) -> bool {
        let suspect = self.suspects.get(request);
        suspect.is_some_and(|suspect| self.is_held(suspect, turn, now_us as i64))
    }

    /// Takes note that a request is sent now, which nothing refuses. Of a request that is tried, the next trial waits.
    pub fn begin_send(&mut self, request: &RequestFingerprint, now_us: u64) {
        if let Some(suspect) = self.suspects.get_mut(request)
            && suspect.reported > 0
        {
            let pause_us = TRIAL_PAUSE_US.max(2 * suspect.history.longest_run_us());
            suspect.next_trial_at_us = now_us as i64 + pause_us;
        }
    }

    /// Takes note that an upstream crashed while it ran a request, which was sent there at `began_at_us`.
    pub fn crashed(
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
        if suspect.history.add(crash) {
            suspect.urgent = true;
            suspect.rounds_left = NEWS_ROUNDS;
        }
        self.report_change(request)
    }

    /// Takes note that a request ran to a good end.
    pub fn survived(&mut self, request: RequestFingerprint, now_us: u64) -> Option<QuarantineChange> {
        let suspect = self.suspects.get_mut(&request)?;
        if suspect.history.survive(now_us as i64) {
            suspect.rounds_left = NEWS_ROUNDS;
            suspect.urgent = suspect.reported > 0;
        }
        self.report_change(request)
    }

    /// Takes what another node tells.
    pub fn receive(&mut self, news: &[SuspectNews], now_us: u64) -> Vec<QuarantineChange> {
        if self.options.after_crashes == 0 {
            return Vec::new();
        }
        let changes = news.iter().filter_map(|news| {
            let suspect = self.suspect(news.request);
            if news.tell(&mut suspect.history, now_us as i64) {
                suspect.rounds_left = NEWS_ROUNDS;
            }
            self.report_change(news.request)
        });
        changes.collect()
    }

    /// Forgets what is over for long.
    pub fn expire(&mut self, now_us: u64) {
        let is_over = |suspect: &Suspect| now_us as i64 >= forgotten_at_us(&self.options, &suspect.history);
        let over = self.suspects.iter().filter(|(_, suspect)| is_over(suspect)).map(|(request, _)| *request);
        over.collect::<Vec<_>>().iter().for_each(|request| self.forget(request));
    }

    /// Requests of which anything is known.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether nothing is known of any request.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Requests in quarantine or tried after it.
    pub fn quarantined(&self) -> usize {
        self.suspects.values().filter(|suspect| suspect.reported > 0).count()
    }

    fn is_held(&self, suspect: &Suspect, turn: &TrialTurn, now_us: i64) -> bool {
        if !self.binds(&suspect.history) {
            return false;
        }
        let over_for_us = now_us - held_until_us(&self.options, &suspect.history);
        over_for_us < 0 || now_us < suspect.next_trial_at_us || !is_turn(turn, over_for_us)
    }

    fn binds(&self, history: &CrashHistory) -> bool {
        history.crashes().len() >= self.options.after_crashes && !history.rests_on_one_other(self.reporter)
    }

    /// The entry of a request, made if there is none.
    fn suspect(&mut self, request: RequestFingerprint) -> &mut Suspect {
        if !self.suspects.contains_key(&request) {
            if self.suspects.len() >= SUSPECTS_MAX {
                self.drop_least();
            }
            *self.heads.entry(request.head()).or_default() += 1;
        }
        self.suspects.entry(request).or_default()
    }

    fn drop_least(&mut self) {
        let weight = |suspect: &Suspect| (suspect.history.crashes().len(), suspect.history.latest_at_us());
        let least =
            self.suspects.iter().min_by_key(|(_, suspect)| weight(suspect)).map(|(request, _)| *request);
        least.inspect(|request| self.forget(request));
    }

    fn forget(&mut self, request: &RequestFingerprint) {
        self.suspects.remove(request);
        if let Some(count) = self.heads.get_mut(&request.head()) {
            *count -= 1;
            if *count == 0 {
                self.heads.remove(&request.head());
            }
        }
    }

    /// What has changed for a request since that was last asked.
    fn report_change(&mut self, request: RequestFingerprint) -> Option<QuarantineChange> {
        let suspect = self.suspects.get(&request)?;
        let crashes = suspect.history.crashes().len();
        let now = if self.binds(&suspect.history) { crashes } else { 0 };
        let hold_ms = hold_us(&self.options, crashes) as u64 / US_PER_MS;
        let suspect = self.suspects.get_mut(&request)?;
        let before = std::mem::replace(&mut suspect.reported, now);
        match (before, now) {
            (0, 0) => None,
            (_, 0) => Some(QuarantineChange::Lifted { request }),
            (before, now) if now > before => Some(QuarantineChange::Began { request, crashes, hold_ms }),
            _ => None,
        }
    }
}

/// Time of quarantine after so many crashes, in microseconds.
fn hold_us(options: &QuarantineOptions, crashes: usize) -> i64 {
    let further = crashes.saturating_sub(options.after_crashes) as u32;
    let first_us = options.hold_ms as i64 * US_PER_MS as i64;
    first_us.saturating_mul(HOLD_GROWTH.saturating_pow(further)).min(HOLD_MAX_US)
}

fn held_until_us(options: &QuarantineOptions, history: &CrashHistory) -> i64 {
    let crashed_at_us = history.crashes().last().map_or(i64::MIN, |crash| crash.ended_at_us);
    crashed_at_us.saturating_add(hold_us(options, history.crashes().len()))
}

fn forgotten_at_us(options: &QuarantineOptions, history: &CrashHistory) -> i64 {
    let cleared_at_us = history.survived_at_us().map(|at_us| at_us + CLEARED_KEPT_US);
    let held_until_us = history.crashes().last().map(|_| held_until_us(options, history) + KEPT_US);
    held_until_us.max(cleared_at_us).unwrap_or(i64::MIN)
}

/// Whether a node may try a request whose quarantine has been over for a time.
fn is_turn(turn: &TrialTurn, over_for_us: i64) -> bool {
    let doublings = over_for_us as f64 / TRIAL_SPREAD_US as f64;
    turn.position < doublings.exp2() / turn.nodes.max(1) as f64
}
