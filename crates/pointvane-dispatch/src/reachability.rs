//! Reachability: whether this node has lost the path to all upstreams of a service.
//!
//! Upstreams that a node cannot reach look failed to it, although other nodes may reach them. A single failed
//! upstream says little, but a service of which several upstreams in a row give no sign of life is lost to
//! this node, and requests for it are forwarded through other nodes (`attempt_path.rs`).
//!
//! Decided whenever a probe or an attempt ends. Inputs: whether any byte of a response came, whether the
//! connection was new or reused, when the attempt began, the monotonic clock. Open connections may outlive
//! the path that new ones need, and the reverse, so both are judged. A lost service is checked in the
//! background, by probes on new connections, and is regained with the first response. Requests return to it
//! gradually, since many nodes may regain it at the same moment and reports of load are old by then. Failures
//! that upstreams were charged with in the meantime are dropped. Tests: `tests/reachability.rs`.

use {
    crate::{pool::Pool, upstream::UpstreamState, upstream_key::UpstreamKey},
    pointvane_core::{Name, US_PER_MS},
    rand::{SeedableRng, rngs::SmallRng, seq::IteratorRandom},
    std::net::SocketAddr,
};

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
/// Upstreams of a lost service that are checked at once.
const CHECKS_PER_SERVICE: usize = 3;

/// Upstreams of a service that are looked at to tell whether most are ejected; bounds the time of a refusal.
const EJECTED_COUNTED_MAX: usize = 64;
/// Other upstreams by which a failure of one is distinguished from one of the path: several, since they may have failed
/// as well.
const PATH_REFERENCES: usize = 3;

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
    /// None of its upstreams responds.
    Lost {
        /// Time for which that is known, in microseconds.
        for_us: u64,
    },
}

/// A change of the reachability of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReachChange {
    /// None of its upstreams responds any more.
    Lost {
        /// The service.
        service: Name,
        /// Number of upstreams that were tried since the last response.
        tried: usize,
        /// Time since the last response of any of its upstreams, in milliseconds; none if there was none.
        silent_ms: Option<u64>,
    },
    /// An upstream responds again.
    Regained {
        /// The service.
        service: Name,
        /// Time for which it was lost, in milliseconds.
        lost_ms: u64,
    },
}

#[derive(Clone, Copy, Debug, Default)]
enum State {
    #[default]
    Reached,
    Lost {
        since_us: u64,
    },
    Returning {
        since_us: u64,
    },
}

/// An attempt or a probe without any response.
#[derive(Clone, Copy, Debug)]
struct Silence {
    key: UpstreamKey,
    connection: ConnectionKind,
    began_us: u64,
    ended_us: u64,
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
}

impl ServiceReach {
    /// Records a response; returns when the service was lost if it is regained by it.
    fn record_answer(&mut self, connection: ConnectionKind, now_us: u64) -> Option<u64> {
        self.answered_us = Some(now_us);
        if connection == ConnectionKind::Reused {
            self.silences.retain(|silence| silence.connection == ConnectionKind::New);
            return None;
        }
        self.answered_on_new_us = Some(now_us);
        self.silences.clear();
        let State::Lost { since_us } = self.state else { return None };
        self.state = State::Returning { since_us: now_us };
        Some(since_us)
    }

    /// Records an attempt without a response; true if the service is lost by it. `upstreams` is the number of
    /// its upstreams.
    fn record_silence(&mut self, silence: Silence, upstreams: usize) -> bool {
        if matches!(self.state, State::Lost { .. }) || silence.began_us <= self.last_answer_us(silence) {
            return false;
        }
        let now_us = silence.ended_us;
        self.silences.retain(|one| one.key != silence.key && one.ended_us + EVIDENCE_US > now_us);
        self.silences.push(silence);
        let needed = upstreams.clamp(1, UPSTREAMS_TO_LOSE);
        let on_new = |one: &&Silence| one.connection == ConnectionKind::New;
        let since_answer = |one: &&Silence| one.began_us > self.answered_us.unwrap_or_default();
        let is_lost = self.silences.iter().filter(on_new).count() >= needed
            || self.silences.iter().filter(since_answer).count() >= needed;
        if is_lost {
            self.state = State::Lost { since_us: now_us };
        }
        is_lost
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

    fn reach(&self, now_us: u64) -> Reach {
        match self.state {
            State::Reached => Reach::Reached,
            State::Lost { since_us } => Reach::Lost { for_us: now_us.saturating_sub(since_us) },
            State::Returning { since_us } => match now_us.saturating_sub(since_us) {
                RETURN_US.. => Reach::Reached,
                returning_us => Reach::Returning { share: returning_us as f32 / RETURN_US as f32 },
            },
        }
    }

    fn lost_since_us(&self) -> Option<u64> {
        if let State::Lost { since_us } = self.state { Some(since_us) } else { None }
    }
}

impl Pool {
    /// Records that an upstream sent a response, whatever it was.
    pub fn record_contact(
        &mut self,
        key: UpstreamKey,
        connection: ConnectionKind,
        now_us: u64,
    ) -> Option<ReachChange> {
        let service = self.upstreams.get(&key)?.record.service.clone();
        let lost_us = self.services.get_mut(&service)?.reach.record_answer(connection, now_us)?;
        self.lost.remove(&service);
        self.drop_failures(&service);
        Some(ReachChange::Regained { service, lost_ms: now_us.saturating_sub(lost_us) / US_PER_MS })
    }

    /// Records that an attempt or a probe that began at `began_us` ended without any response.
    pub fn record_silence(
        &mut self,
        key: UpstreamKey,
        connection: ConnectionKind,
        began_us: u64,
        now_us: u64,
    ) -> Option<ReachChange> {
        let service = self.upstreams.get(&key)?.record.service.clone();
        let upstreams = self.by_service.get(&service)?.len();
        let reach = &mut self.services.get_mut(&service)?.reach;
        let silence = Silence { key, connection, began_us, ended_us: now_us };
        if !reach.record_silence(silence, upstreams) {
            return None;
        }
        let silent_ms = reach.answered_us.map(|answered_us| now_us.saturating_sub(answered_us) / US_PER_MS);
        let tried = reach.silences.len();
        self.lost.insert(service.clone());
        Some(ReachChange::Lost { service, tried, silent_ms })
    }

    /// Whether requests for a service may go directly to its upstreams. A service without a usable upstream
    /// counts as reached: the search then names the reason.
    pub fn reach(&self, service: &Name, now_us: u64) -> Reach {
        let reach = self.services.get(service).map_or(Reach::Reached, |state| state.reach.reach(now_us));
        match reach {
            Reach::Lost { .. } if !self.usable(service, now_us).any(|_| true) => Reach::Reached,
            reach => reach,
        }
    }

    /// Whether most upstreams of a service are ejected, so that the others may be overloaded by this node
    /// alone. Of a large service, the upstreams that this node prefers are counted.
    pub fn is_mostly_ejected(&self, service: &Name, now_us: u64) -> bool {
        let Some(upstreams) = self.by_service.get(service) else { return false };
        let counted = || upstreams.keys().take(EJECTED_COUNTED_MAX);
        let is_ejected = |key: &UpstreamKey| self.get(*key).is_some_and(|state| state.is_ejected(now_us));
        counted().filter(is_ejected).count() * 2 > counted().count()
    }

    /// The services that are lost, each with the time since then in microseconds.
    pub fn lost_services(&self, now_us: u64) -> impl Iterator<Item = (&Name, u64)> {
        self.lost.iter().filter_map(move |service| {
            let since_us = self.services.get(service)?.reach.lost_since_us()?;
            Some((service, now_us.saturating_sub(since_us)))
        })
    }

    /// Time for which a service has been lost, in milliseconds; none if it is not.
    pub fn lost_ms(&self, service: &Name, now_us: u64) -> Option<u64> {
        let since_us = self.services.get(service)?.reach.lost_since_us()?;
        Some(now_us.saturating_sub(since_us) / US_PER_MS)
    }

    /// Random upstreams of up to `services` lost services, to be probed on new connections. Every service has
    /// its turn.
    pub fn reachability_checks(&mut self, services: usize, now_us: u64) -> Vec<UpstreamKey> {
        let after = self.last_checked.take();
        let later = self.lost.iter().filter(|service| after.as_ref().is_none_or(|after| *service > after));
        let earlier =
            self.lost.iter().filter(|service| after.as_ref().is_some_and(|after| *service <= after));
        let due: Vec<Name> = later.chain(earlier).take(services).cloned().collect();
        self.last_checked = due.last().cloned();
        // A separate generator, since the eligibility checks borrow the pool.
        let mut rng = SmallRng::from_rng(&mut self.rng);
        due.iter()
            .flat_map(|service| self.usable(service, now_us).choose_multiple(&mut rng, CHECKS_PER_SERVICE))
            .collect()
    }

    /// Addresses of random other upstreams, by which a failure of one can be distinguished from one of the path: of its
    /// service, or of all services if it is the only one.
    pub fn path_references(&mut self, key: UpstreamKey) -> Vec<SocketAddr> {
        let mut rng = SmallRng::from_rng(&mut self.rng);
        let service = self.upstreams.get(&key).map(|state| &state.record.service);
        let same_service = service.and_then(|service| self.by_service.get(service)).into_iter();
        let same_service = same_service.flat_map(|upstreams| upstreams.keys()).filter(|other| *other != key);
        let mut keys = same_service.choose_multiple(&mut rng, PATH_REFERENCES);
        if keys.is_empty() {
            let others = self.upstreams.keys().copied().filter(|other| *other != key);
            keys = others.choose_multiple(&mut rng, PATH_REFERENCES);
        }
        keys.iter().filter_map(|key| self.get(*key)).map(UpstreamState::address).collect()
    }

    /// Whether a request may be sent to a lost service although no other node reaches it.
    pub fn take_trial(&mut self, service: &Name, now_us: u64) -> bool {
        let Some(state) = self.services.get_mut(service) else { return true };
        let is_due = state.reach.trial_us.is_none_or(|trial_us| trial_us + TRIAL_INTERVAL_US <= now_us);
        if is_due {
            state.reach.trial_us = Some(now_us);
        }
        is_due
    }

    fn usable(&self, service: &Name, now_us: u64) -> impl Iterator<Item = UpstreamKey> {
        let keys = self.by_service.get(service).into_iter().flat_map(|upstreams| upstreams.keys());
        keys.filter(move |key| self.is_usable(*key, now_us))
    }

    /// Drops the failures of a service's upstreams: while it was lost, they were charged with those of the
    /// path.
    fn drop_failures(&mut self, service: &Name) {
        let keys: Vec<UpstreamKey> =
            self.by_service.get(service).map(|upstreams| upstreams.keys().collect()).unwrap_or_default();
        for key in keys {
            if let Some(state) = self.upstreams.get_mut(&key) {
                state.drop_failures();
            }
        }
    }
}
