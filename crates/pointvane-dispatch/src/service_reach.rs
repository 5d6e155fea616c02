//! What a node knows of the reachability of one service: whether its upstreams respond to this node.
//!
//! `reachability.rs` applies it to the upstreams of a pool, and documents the rule as a whole.

use crate::{check_schedule::CheckSchedule, upstream_key::UpstreamKey};

/// Number of upstreams without a response, one after another, after which a service is lost; all of a smaller
/// service. Fewer would take upstreams that failed together for a lost path.
const UPSTREAMS_TO_LOSE: usize = 3;
/// Time for which a missing response counts, in microseconds.
const EVIDENCE_US: u64 = 3_000_000;
/// Time over which requests return to a regained service, in microseconds: about a second, in which the
/// reports of load become current again.
const RETURN_US: u64 = 1_000_000;
/// Time between two requests that are sent to a lost service although no other node reaches it, in
/// microseconds. They regain a service whose upstreams answer requests but not probes.
const TRIAL_INTERVAL_US: u64 = 1_000_000;
/// Time within which slow upstreams of a lost service are expected to respond, in microseconds.
const RESPONSE_MAX_US: u64 = 700_000;

/// Kind of the connection that an attempt or a probe used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionKind {
    /// It was opened for this purpose.
    New,
    /// It was kept open after an earlier response.
    Reused,
}

/// Whether requests for a service may go directly to its upstreams.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reach {
    /// Its upstreams respond, or nothing is known.
    Reached,
    /// Its upstreams respond again; this share of the requests goes to them, from 0 to 1.
    Returning {
        /// Share of the requests.
        share: f32,
    },
    /// None of its upstreams responds, or none on new connections.
    Lost {
        /// Time for which a response has been overdue, in microseconds.
        for_us: u64,
    },
}

/// Why a service counts as lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LossCause {
    /// New connections cannot be opened, or break.
    NewConnectionsFail,
    /// No response came on any connection. The upstreams may merely be slow.
    NoResponse,
}

#[derive(Clone, Copy, Debug, Default)]
enum State {
    #[default]
    Reached,
    Lost {
        since_us: u64,
        cause: LossCause,
    },
    Returning {
        since_us: u64,
    },
}

/// An attempt or a probe without any response.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Silence {
    pub(crate) key: UpstreamKey,
    pub(crate) connection: ConnectionKind,
    pub(crate) began_us: u64,
    pub(crate) ended_us: u64,
}

/// What a node knows of the reachability of one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceReach {
    state: State,
    /// The latest attempt without a response at each upstream, since the last response.
    silences: Vec<Silence>,
    answered_us: Option<u64>,
    answered_on_new_us: Option<u64>,
    trial_us: Option<u64>,
    /// Its checks since it was lost.
    pub(crate) checks: CheckSchedule,
}

impl ServiceReach {
    /// Records a response; returns when the service was lost if it is regained by it.
    pub(crate) fn record_answer(&mut self, connection: ConnectionKind, now_us: u64) -> Option<u64> {
        self.answered_us = Some(now_us);
        if connection == ConnectionKind::Reused {
            self.silences.retain(|silence| silence.connection == ConnectionKind::New);
            return None;
        }
        self.answered_on_new_us = Some(now_us);
        self.silences.clear();
        let State::Lost { since_us, .. } = self.state else { return None };
        self.state = State::Returning { since_us: now_us };
        Some(since_us)
    }

    /// Records an attempt without a response; true if the service is lost by it. `upstreams` is the number of
    /// its upstreams.
    pub(crate) fn record_silence(&mut self, silence: Silence, upstreams: usize) -> bool {
        if matches!(self.state, State::Lost { .. }) || silence.began_us <= self.last_answer_us(silence) {
            return false;
        }
        let now_us = silence.ended_us;
        self.silences.retain(|one| one.key != silence.key && one.ended_us + EVIDENCE_US > now_us);
        self.silences.push(silence);
        let needed = upstreams.clamp(1, UPSTREAMS_TO_LOSE);
        let on_new = |one: &&Silence| one.connection == ConnectionKind::New;
        let since_answer = |one: &&Silence| one.began_us > self.answered_us.unwrap_or_default();
        let cause = if self.silences.iter().filter(on_new).count() >= needed {
            LossCause::NewConnectionsFail
        } else if self.silences.iter().filter(since_answer).count() >= needed {
            LossCause::NoResponse
        } else {
            return false;
        };
        self.state = State::Lost { since_us: now_us, cause };
        self.checks = CheckSchedule::default();
        true
    }

    /// The last response that speaks against a silence: an open connection that works does not show that new
    /// ones can be opened.
    fn last_answer_us(&self, silence: Silence) -> u64 {
        let answered_us = match silence.connection {
            ConnectionKind::New => self.answered_on_new_us,
            ConnectionKind::Reused => self.answered_us,
        };
        answered_us.unwrap_or_default()
    }

    pub(crate) fn reach(&self, now_us: u64) -> Reach {
        match self.state {
            State::Reached => Reach::Reached,
            State::Lost { since_us, cause } => {
                let expected_us = match cause {
                    LossCause::NewConnectionsFail => since_us,
                    LossCause::NoResponse => {
                        self.answered_us.max(Some(since_us)).unwrap_or_default() + RESPONSE_MAX_US
                    }
                };
                Reach::Lost { for_us: now_us.saturating_sub(expected_us) }
            }
            State::Returning { since_us } => match now_us.saturating_sub(since_us) {
                RETURN_US.. => Reach::Reached,
                returning_us => Reach::Returning { share: returning_us as f32 / RETURN_US as f32 },
            },
        }
    }

    pub(crate) fn lost_since_us(&self) -> Option<u64> {
        if let State::Lost { since_us, .. } = self.state { Some(since_us) } else { None }
    }

    /// Time since the last response, in microseconds; none before the first.
    pub(crate) fn silent_us(&self, now_us: u64) -> Option<u64> {
        self.answered_us.map(|answered_us| now_us.saturating_sub(answered_us))
    }

    /// Number of upstreams without a response since the last one.
    pub(crate) fn silent_upstreams(&self) -> usize {
        self.silences.len()
    }

    /// Takes the turn of a request to a lost service; false if the last one was too recent.
    pub(crate) fn take_trial(&mut self, now_us: u64) -> bool {
        let is_due = self.trial_us.is_none_or(|trial_us| trial_us + TRIAL_INTERVAL_US <= now_us);
        if is_due {
            self.trial_us = Some(now_us);
        }
        is_due
    }
}
