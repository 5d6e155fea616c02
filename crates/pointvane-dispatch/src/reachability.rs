//! Reachability: whether this node has lost the path to all upstreams of a service.
//!
//! Upstreams that a node cannot reach look failed to it, although other nodes may reach them. A single failed
//! upstream says little, but a service of which several upstreams in a row give no sign of life is lost to
//! this node, and requests for it are forwarded through other nodes (`attempt_path.rs`).
//!
//! Decided whenever a probe or an attempt ends. Inputs: whether any byte of a response came, whether the
//! connection was new or reused, when the attempt began, the monotonic clock. Open connections may outlive
//! the path that new ones need, and the reverse, so both are judged. A lost service is checked in the
//! background, by probes on new connections (`check_schedule.rs`), and is regained with the first response.
//! Requests return to it gradually, since many nodes may regain it at the same moment and reports of load are
//! old by then. Failures that upstreams were charged with in the meantime are dropped. Tests:
//! `tests/reachability.rs`.

use {
    crate::{
        pool::Pool,
        service_reach::{ConnectionKind, Reach, Silence},
        upstream::UpstreamState,
        upstream_key::UpstreamKey,
    },
    pointvane_core::{Name, US_PER_MS},
    rand::{SeedableRng, rngs::SmallRng, seq::IteratorRandom},
    std::net::SocketAddr,
};

/// Upstreams of a lost service that are checked at once.
const CHECKS_PER_SERVICE: usize = 3;

/// Upstreams of a service that are looked at to tell whether most are ejected; bounds the time of a refusal.
const EJECTED_COUNTED_MAX: usize = 64;
/// Other upstreams by which a failure of one is distinguished from one of the path: several, since they may have failed
/// as well.
const PATH_REFERENCES: usize = 3;

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
        let silent_ms = reach.silent_us(now_us).map(|silent_us| silent_us / US_PER_MS);
        let tried = reach.silent_upstreams();
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

    /// Random upstreams of up to `services` lost services that are due, to be probed on new connections. Every
    /// service has its turn.
    pub fn reachability_checks(&mut self, services: usize, now_us: u64) -> Vec<UpstreamKey> {
        let after = self.last_checked.take();
        let is_due = |service: &&Name| {
            self.services.get(*service).is_some_and(|state| state.reach.checks.is_due(now_us))
        };
        let lost = || self.lost.iter().filter(is_due);
        let later = lost().filter(|service| after.as_ref().is_none_or(|after| *service > after));
        let earlier = lost().filter(|service| after.as_ref().is_some_and(|after| *service <= after));
        let due: Vec<Name> = later.chain(earlier).take(services).cloned().collect();
        self.last_checked = due.last().cloned().or(after);
        for service in &due {
            if let Some(state) = self.services.get_mut(service) {
                state.reach.checks.record_round(now_us);
            }
        }
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
        self.services.get_mut(service).is_none_or(|state| state.reach.take_trial(now_us))
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
