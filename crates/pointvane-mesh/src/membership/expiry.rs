//! Timeouts of rows: suspects are declared dead, dead members are removed, and dead members and seeds are
//! pinged again.

use {
    super::{Action, Membership, state_changed},
    crate::{member::Member, message::Payload},
    pointvane_core::{US_PER_MS, VmState},
    rand::seq::IteratorRandom,
    std::net::SocketAddr,
};

impl Membership {
    /// Declares suspects dead after the suspicion timeout, and removes dead members after the retention time.
    pub(super) fn expire(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        let suspect_timeout_us = self.options.suspect_ms * US_PER_MS;
        let dead_retention_us = self.options.dead_retention_ms * US_PER_MS;
        let transmissions = self.transmissions();
        for member in self.members.values_mut().filter(|member| member.row.state == VmState::Suspect) {
            if now_us.saturating_sub(member.changed_at_us) >= suspect_timeout_us {
                member.row.state = VmState::Dead;
                member.changed_at_us = now_us;
                member.start_transmissions(transmissions, now_us);
                actions.push(state_changed(&member.row));
            }
        }
        let is_expired = |member: &Member| {
            member.row.state == VmState::Dead
                && now_us.saturating_sub(member.changed_at_us) >= dead_retention_us
        };
        self.members.retain(|_, member| !is_expired(member));
        self.indirect_pings.retain(|ping| now_us.saturating_sub(ping.sent_at_us) < suspect_timeout_us);
    }

    /// Restarts all timers after a pause of this process, during which it could not receive answers.
    pub(super) fn restart_timers(&mut self, now_us: u64) {
        self.pending_ping = None;
        for member in self.members.values_mut() {
            member.changed_at_us = now_us;
        }
    }

    /// Pings some dead members and seeds that are not live members, so that the end of a network partition is
    /// noticed.
    pub(super) fn ping_dead_and_seeds(&mut self, actions: &mut Vec<Action>) {
        let is_isolated = self.members.values().all(|member| member.row.state == VmState::Dead);
        if !is_isolated && !self.rounds.is_multiple_of(self.options.reconnect_interval_rounds) {
            return;
        }
        let dead = self.members.values().filter(|member| member.row.state == VmState::Dead);
        let dead = dead.map(|member| member.row.control_address());
        let own_address = self.local_row.control_address();
        let is_alive = |seed: &SocketAddr| {
            let alive = self.members.values().filter(|member| member.row.state != VmState::Dead);
            alive.map(|member| member.row.control_address()).any(|address| address == *seed)
        };
        let seeds = self.options.seeds.iter().copied().filter(|seed| *seed != own_address && !is_alive(seed));
        let targets = dead.chain(seeds).choose_multiple(&mut self.rng, self.options.indirect_ping_targets);
        for to in targets {
            // No pending ping has sequence 0, so its ack only delivers rows.
            actions.push(self.send(to, Payload::Ping { sequence: 0 }));
        }
    }
}
