//! What time does to rows: suspects die, the dead are forgotten, the lost are tried again.

use {
    super::{Action, Membership, changed},
    crate::{member::Member, message::Payload},
    pointvane_core::{US_PER_MS, VmState},
    rand::seq::IteratorRandom,
    std::net::SocketAddr,
};

impl Membership {
    /// Declares suspects dead after their time, and forgets the dead after theirs.
    pub(super) fn expire(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        let suspect_us = self.options.suspect_ms * US_PER_MS;
        let remember_us = self.options.remember_dead_ms * US_PER_MS;
        let transmissions = self.transmissions();
        for member in self.members.values_mut().filter(|member| member.row.state == VmState::Suspect) {
            if now_us.saturating_sub(member.changed_at_us) >= suspect_us {
                member.row.state = VmState::Dead;
                member.changed_at_us = now_us;
                member.transmissions_left = transmissions;
                actions.push(changed(&member.row));
            }
        }
        let forgotten = |member: &Member| {
            member.row.state == VmState::Dead && now_us.saturating_sub(member.changed_at_us) >= remember_us
        };
        self.members.retain(|_, member| !forgotten(member));
        self.indirect_pings.retain(|ping| now_us.saturating_sub(ping.sent_at_us) < suspect_us);
    }

    /// Starts all times anew after a pause of this process: the silence was its own.
    pub(super) fn reset_times(&mut self, now_us: u64) {
        self.pending_ping = None;
        for member in self.members.values_mut() {
            member.changed_at_us = now_us;
        }
    }

    /// Pings some dead members and unknown seeds, so that a healed cut is noticed.
    pub(super) fn ping_lost(&mut self, actions: &mut Vec<Action>) {
        let alone = self.members.values().all(|member| member.row.state == VmState::Dead);
        if !alone && !self.rounds.is_multiple_of(self.options.rounds_per_retry) {
            return;
        }
        let lost = self.members.values().filter(|member| member.row.state == VmState::Dead);
        let lost = lost.map(|member| member.row.control_address());
        let mine = self.me.control_address();
        let known = |seed: &SocketAddr| {
            let alive = self.members.values().filter(|member| member.row.state != VmState::Dead);
            alive.map(|member| member.row.control_address()).any(|address| address == *seed)
        };
        let seeds = self.options.seeds.iter().copied().filter(|seed| *seed != mine && !known(seed));
        let targets = lost.chain(seeds).choose_multiple(&mut self.rng, self.options.ping_requests);
        for to in targets {
            // Sequence 0 belongs to no ping that is waited for, so its ack only brings rows.
            actions.push(self.send(to, Payload::Ping { sequence: 0 }));
        }
    }
}
