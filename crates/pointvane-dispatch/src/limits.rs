//! Request limits advertised by upstreams, which apply to all nodes together, and their announcement between
//! nodes.
//!
//! [`pointvane_core::RequestLimit`] decides which share of a limit this node may use and for how long;
//! `eligibility.rs` decides whether an upstream may receive work at all. Inputs: response headers, messages
//! from other nodes, this node's rank among the nodes that use the upstream, and the monotonic clock. A
//! message refers to one incarnation of an upstream and is ignored if the upstream is unknown or has another
//! incarnation. After a limit is lifted, this node returns to the upstream in the same way as after a
//! back-off.
//!
//! Tests: `tests/limits.rs`, fleet simulations: `tests/limits_fleet.rs`.

use {
    crate::{
        pool::Pool, ranking::CandidateCriteria, replica::fan_out::Segment, upstream::UpstreamState,
        upstream_key::UpstreamKey,
    },
    pointvane_core::{
        LimitChange, LimitNotice, LimitRank, LimitReport, Name, US_PER_MS, US_PER_S, resume_delay_max_us,
    },
    rand::Rng,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Maximum number of upstreams in one datagram; they fit if their identities have at most 64 bytes.
pub const LIMITS_MAX: usize = 14;

/// A datagram between nodes with the limits that some upstreams advertise.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitMessage {
    /// Address of the announcing node.
    pub origin: SocketAddr,
    /// Range of nodes to which the receiver forwards the message.
    pub segment: Segment,
    /// The announced limits, at most [`LIMITS_MAX`].
    pub limits: Vec<LimitAnnouncement>,
}

/// The limit that one upstream advertises.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitAnnouncement {
    /// Identity of the upstream.
    pub upstream: Name,
    /// Start time of this incarnation, in milliseconds since the Unix epoch; `None` if its directory entry
    /// has none.
    pub born_ms: Option<u64>,
    /// Limit in requests per 1,000 seconds; `None` if the upstream no longer advertises one.
    pub per_1000_s: Option<u32>,
    /// Time since the upstream advertised this, in milliseconds.
    pub age_ms: u32,
}

impl Pool {
    /// Records the limit that an upstream advertised, or did not advertise, in a response. `sent_at_us` is
    /// the time at which the request was sent, `None` for a probe.
    pub fn record_limit(
        &mut self,
        key: UpstreamKey,
        notice: LimitNotice,
        sent_at_us: Option<u64>,
        now_us: u64,
    ) -> Option<LimitChange> {
        let state = self.upstreams.get_mut(&key)?;
        let change = state.notices.limit.record_response(notice, sent_at_us, now_us);
        self.apply_limit_change(key, change, now_us);
        change
    }

    /// Applies another node's announcement of an upstream's limit. Returns `None` if it changes nothing, the
    /// upstream is unknown, or the announcement refers to another incarnation.
    pub fn receive_limit(
        &mut self,
        announced: &LimitAnnouncement,
        now_us: u64,
    ) -> Option<(UpstreamKey, LimitChange)> {
        let key = self.key_of(&announced.upstream)?;
        let state = self.upstreams.get_mut(&key).filter(|state| state.record.born_ms == announced.born_ms)?;
        let reported_at_us = now_us.saturating_sub(u64::from(announced.age_ms) * US_PER_MS);
        let report = LimitReport { per_1000_s: announced.per_1000_s, reported_at_us };
        let change = state.notices.limit.receive(report, now_us);
        self.apply_limit_change(key, change, now_us);
        Some((key, change?))
    }

    /// Removes limits that have not been confirmed recently and returns the resulting changes.
    pub fn expire_limits(&mut self, now_us: u64) -> Vec<(UpstreamKey, LimitChange)> {
        let mut expired = Vec::new();
        for key in self.limited() {
            let state = self.upstreams.get_mut(&key);
            let change = state.and_then(|state| state.notices.limit.expire(now_us));
            self.apply_limit_change(key, change, now_us);
            expired.extend(change.map(|change| (key, change)));
        }
        expired
    }

    /// Updates the set of limited upstreams and schedules this node's return to an upstream whose limit was
    /// lifted.
    fn apply_limit_change(&mut self, key: UpstreamKey, change: Option<LimitChange>, now_us: u64) {
        match change {
            Some(LimitChange::Set(_)) => _ = self.limited.insert(key),
            Some(LimitChange::Lifted) => self.schedule_return(key, now_us),
            None => {}
        }
    }

    /// Schedules this node's return after a random delay, so that the nodes do not return all at once.
    fn schedule_return(&mut self, key: UpstreamKey, now_us: u64) {
        let Some(record) = self.upstreams.get(&key).map(|state| &state.record) else { return };
        let (nodes, slots) = (self.nodes_using(&record.service), record.slots);
        let jitter_us = self.rng.random_range(0..=resume_delay_max_us(nodes, slots, US_PER_S));
        if let Some(state) = self.upstreams.get_mut(&key) {
            state.notices.backoff.record_limit_lifted(jitter_us, now_us);
        }
    }

    /// Returns the upstreams that advertise a limit or have an announcement pending.
    pub fn limited(&self) -> Vec<UpstreamKey> {
        self.limited.iter().copied().collect()
    }

    /// Sets this node's rank among those that may use an upstream; `None` if it may not use it.
    pub fn set_limit_rank(&mut self, key: UpstreamKey, rank: Option<LimitRank>, now_us: u64) {
        let phase = self.rng.random();
        if let Some(state) = self.upstreams.get_mut(&key) {
            state.notices.limit.set_rank(rank, phase, now_us);
        }
    }

    /// Returns the announcements due now. Stops tracking upstreams that have neither a limit nor a pending
    /// announcement.
    pub fn take_limit_announcements(&mut self, now_us: u64) -> Vec<LimitAnnouncement> {
        let count = self.limited.len();
        let mut announcements = Vec::new();
        for key in self.limited() {
            let Some(state) = self.upstreams.get_mut(&key) else {
                self.limited.remove(&key);
                continue;
            };
            if let Some(report) = state.notices.limit.take_announcement(count, now_us) {
                announcements.push(limit_announcement(state, report, now_us));
            }
            let limit = state.limit();
            if limit.per_1000_s().is_none() && !limit.is_unannounced() {
                self.limited.remove(&key);
            }
        }
        announcements
    }

    /// Returns an upstream of the service to which the next request should be sent to learn whether its limit
    /// still applies.
    pub fn limit_to_refresh(
        &self,
        service: &Name,
        criteria: &CandidateCriteria<'_>,
        now_us: u64,
    ) -> Option<UpstreamKey> {
        self.limited.iter().copied().find(|key| {
            let is_due = |state: &UpstreamState| {
                state.record.service == *service && state.limit().is_refresh_due(now_us)
            };
            self.upstreams.get(key).is_some_and(is_due)
                && self.eligibility(*key, now_us).is_ok()
                && self.meets_criteria(*key, criteria, now_us)
        })
    }

    /// Returns true if an upstream advertises a limit.
    pub fn is_limited(&self, key: UpstreamKey) -> bool {
        self.limited.contains(&key)
            && self.upstreams.get(&key).is_some_and(|state| state.limit().per_1000_s().is_some())
    }
}

fn limit_announcement(state: &UpstreamState, report: LimitReport, now_us: u64) -> LimitAnnouncement {
    let age_ms = now_us.saturating_sub(report.reported_at_us) / US_PER_MS;
    LimitAnnouncement {
        upstream: state.id().clone(),
        born_ms: state.record.born_ms,
        per_1000_s: report.per_1000_s,
        age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
    }
}
