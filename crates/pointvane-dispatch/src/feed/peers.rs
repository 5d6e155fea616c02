//! What a feed makes of other nodes' words, and what it tells them.

use {
    super::{Feed, Lag, ReaderRole},
    crate::{
        relay::Relay,
        state::{HeldState, ReadMark, StateReply, StateRequest},
    },
    pointvane_core::{Change, Name, US_PER_MS},
};

/// Upstreams beyond which a node that needs all of them is left to the platform: some hundred KB for each of hundreds of
/// nodes would fill the links of those that are asked.
const WHOLE_UPSTREAMS_MAX: usize = 512;

/// All upstreams as changes, unless there are too many.
fn whole_state(held: &impl HeldState) -> Option<Vec<Change>> {
    let upstreams = held.upstreams();
    let few = upstreams.len() <= WHOLE_UPSTREAMS_MAX;
    few.then(|| upstreams.into_iter().map(Change::Upstream).collect())
}

impl Feed {
    /// Takes what another node relays; gives what is to be applied.
    ///
    /// `order` tells this node's place in the order in which nodes ask each other, from 0 for the first to 1.
    pub fn hear_relay(&mut self, relay: Relay, order: f64, now_us: u64) -> Vec<Change> {
        let older = relay.mark.revision < self.mark.revision || relay.age_ms >= self.options.lease_ms;
        if self.reading.is_some() || older {
            return Vec::new();
        }
        let gap = relay.mark.revision > self.mark.revision && relay.since > self.mark.revision;
        if gap || relay.mark.version > self.mark.version {
            self.note_lag(relay.mark, order, now_us);
            return Vec::new();
        }
        self.alone = false;
        self.freshness.confirm(now_us.saturating_sub(relay.age_ms * US_PER_MS), &self.options);
        self.advance(relay.mark.revision, &relay.changes);
        relay.changes
    }

    fn note_lag(&mut self, wanted: ReadMark, order: f64, now_us: u64) {
        if self.lag.is_some() || (self.role == ReaderRole::Sentinel && self.watching) {
            // It is asked for already, or a watch under way will tell it.
            return;
        }
        let delay_ms = self.options.spread_ms as f64 * order;
        let peer_asks = if self.role == ReaderRole::Sentinel { 0 } else { self.options.peer_asks };
        self.lag = Some(Lag { wanted, ask_at_us: now_us + delay_ms as u64 * US_PER_MS, peer_asks });
    }

    /// Takes what this node does for the others, and the latest revision that any peer has seen.
    pub fn hear_peers(&mut self, role: ReaderRole, latest: u64, now_us: u64) {
        self.role = role;
        self.freshness.passed(latest > self.mark.revision, now_us);
        let waits = self.reading.is_some() || now_us < self.rest_until_us || self.lag.is_some();
        if latest <= self.mark.revision || waits {
            self.behind_since_us = None;
            return;
        }
        let since_us = *self.behind_since_us.get_or_insert(now_us);
        if now_us.saturating_sub(since_us) >= self.options.behind_ms * US_PER_MS {
            self.behind_since_us = None;
            self.watching = false;
            self.note_lag(ReadMark { revision: latest, version: 0 }, 0.0, now_us);
        }
    }

    /// Answers another node, from what this one holds, if that is more and current.
    pub fn answer(&self, request: &StateRequest, held: &impl HeldState, now_us: u64) -> Option<StateReply> {
        let age_ms = self.current_age_ms(now_us)?;
        let known = request.known;
        if self.mark.revision < known.revision || self.mark == known {
            return None;
        }
        let steps = if known.revision == 0 { None } else { self.log.changes_since(known.revision) };
        let whole = steps.is_none();
        let changes = match steps {
            Some(steps) => steps,
            None => whole_state(held)?,
        };
        let configuration = (known.version < self.mark.version).then(|| held.configuration());
        Some(StateReply::new(self.mark, age_ms, whole, changes, configuration))
    }

    /// Takes another node's answer; `known` are the upstreams this node knows. Gives what is to be applied.
    pub fn hear_state<'n>(
        &mut self,
        reply: StateReply,
        known: impl Iterator<Item = &'n Name>,
        now_us: u64,
    ) -> Vec<Change> {
        let begun = self.reading.as_ref().is_some_and(|reading| !reading.is_unbegun());
        let useful = reply.age_ms < self.options.lease_ms && reply.leads_from(self.mark);
        if begun || !useful || (self.mark.revision == 0 && !reply.whole) {
            self.ask_failed(now_us);
            return Vec::new();
        }
        let StateReply { mark, whole, .. } = reply;
        self.freshness.confirm(now_us.saturating_sub(reply.age_ms * US_PER_MS), &self.options);
        let changes = reply.into_changes(known);
        self.mark.version = self.mark.version.max(mark.version);
        if self.reading.take().is_some() {
            self.rest_after_start(now_us);
        }
        match whole {
            true => self.restart(mark.revision),
            false => self.advance(mark.revision, &changes),
        }
        changes
    }

    /// Notes that a peer told nothing.
    pub fn ask_failed(&mut self, now_us: u64) {
        if self.reading.is_some() && self.start_asks > 0 {
            self.rest_until_us = now_us + self.options.start_rest_ms * US_PER_MS;
        }
    }
}
