//! Pings of members, ping-req, and suspicion of members that do not answer.

use {
    super::{Action, IndirectPing, Membership, PendingPing, state_changed},
    crate::{member::MemberRow, message::Payload},
    pointvane_core::{Name, US_PER_MS, VmState},
    rand::{Rng, seq::IteratorRandom},
    std::net::SocketAddr,
};

/// Maximum number of indirect pings that await an ack; limits memory.
const INDIRECT_PINGS_MAX: usize = 64;

impl Membership {
    /// Pings the next member in random order.
    pub(super) fn ping_next_member(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        let Some(target) = self.next_target() else { return };
        let Some(member) = self.members.get(&target) else {
            return;
        };
        let to = member.row.control_address();
        self.sequence += 1;
        let sequence = self.sequence;
        self.pending_ping = Some(PendingPing { target, sequence, sent_at_us: now_us, indirect: false });
        // A suspect must know of the suspicion to refute it.
        let suspicion = Some(member.row.clone()).filter(|row| row.state == VmState::Suspect);
        actions.push(self.send_with(to, Payload::Ping { sequence }, suspicion));
    }

    /// Returns the next member to ping. All members are pinged once, in random order, before any is pinged
    /// again.
    fn next_target(&mut self) -> Option<Name> {
        if self.ping_queue.is_empty() {
            let alive = self.members.values().filter(|member| member.row.state != VmState::Dead);
            self.ping_queue = alive.map(|member| member.row.identity.name.clone()).collect();
            for last in (1..self.ping_queue.len()).rev() {
                let other = self.rng.random_range(0..=last);
                self.ping_queue.swap(last, other);
            }
        }
        self.ping_queue.pop()
    }

    /// Asks other members to ping the target if it has not answered within half of the probe interval.
    pub(super) fn send_ping_requests(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        let half_us = self.options.probe_interval_ms * US_PER_MS / 2;
        let Some(ping) = &mut self.pending_ping else { return };
        if ping.indirect || now_us.saturating_sub(ping.sent_at_us) < half_us {
            return;
        }
        ping.indirect = true;
        let (target, sequence) = (ping.target.clone(), ping.sequence);
        let others = self.members.values().map(|member| &member.row);
        let live = others.filter(|row| row.state == VmState::Live && row.identity.name != target);
        let recipients = live
            .map(MemberRow::control_address)
            .choose_multiple(&mut self.rng, self.options.indirect_ping_targets);
        for to in recipients {
            actions.push(self.send(to, Payload::PingRequest { sequence, target: target.clone() }));
        }
    }

    /// Pings a member on behalf of another one that sent a ping-req.
    pub(super) fn handle_ping_request(
        &mut self,
        requested_by: SocketAddr,
        requested_sequence: u64,
        target: &Name,
        now_us: u64,
        actions: &mut Vec<Action>,
    ) {
        let Some(member) = self.members.get(target) else {
            return;
        };
        let to = member.row.control_address();
        self.sequence += 1;
        let sequence = self.sequence;
        self.indirect_pings.truncate(INDIRECT_PINGS_MAX - 1);
        let ping = IndirectPing { sequence, requested_by, requested_sequence, sent_at_us: now_us };
        self.indirect_pings.push(ping);
        actions.push(self.send(to, Payload::Ping { sequence }));
    }

    /// Handles an ack, and forwards it if the ping was sent on behalf of another member.
    pub(super) fn receive_ack(&mut self, sequence: u64, actions: &mut Vec<Action>) {
        if self.pending_ping.as_ref().is_some_and(|ping| ping.sequence == sequence) {
            self.pending_ping = None;
        }
        let acked = self.indirect_pings.iter().position(|ping| ping.sequence == sequence);
        if let Some(index) = acked {
            let ping = self.indirect_pings.swap_remove(index);
            actions.push(self.send(ping.requested_by, Payload::Ack { sequence: ping.requested_sequence }));
        }
    }

    /// Marks the member whose ack did not arrive within the interval as suspect, or as dead if it was
    /// leaving.
    pub(super) fn suspect_unanswered(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        let Some(ping) = self.pending_ping.take() else { return };
        let transmissions = self.transmissions();
        let Some(member) = self.members.get_mut(&ping.target) else {
            return;
        };
        let next_state = match member.row.state {
            VmState::Live => Some(VmState::Suspect),
            VmState::Leaving => Some(VmState::Dead),
            VmState::Suspect | VmState::Dead => None,
        };
        if let Some(state) = next_state {
            member.row.state = state;
            member.changed_at_us = now_us;
            member.start_transmissions(transmissions, now_us);
            let row = member.row.clone();
            actions.push(state_changed(&row));
            // The member is notified at once, since only it can refute the suspicion. Without this, 5 %
            // datagram loss caused live VMs to be declared dead (docs/DESIGN.md, "Membership").
            actions.push(self.send_with(row.control_address(), Payload::Announce, Some(row.clone())));
        }
    }
}
