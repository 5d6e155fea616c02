//! Pings of members, ping-req, and what follows when no ack comes.

use {
    super::{Action, IndirectPing, Membership, PendingPing, changed},
    crate::{member::MemberRow, message::Payload},
    pointvane_core::{Name, US_PER_MS, VmState},
    rand::{Rng, seq::IteratorRandom},
    std::net::SocketAddr,
};

/// Indirect pings that are remembered. Bounds memory; not measured.
const INDIRECT_PINGS_MAX: usize = 64;

impl Membership {
    /// Pings the next member.
    pub(super) fn begin_ping(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        let Some(target) = self.next_target() else { return };
        let Some(member) = self.members.get(&target) else {
            return;
        };
        let to = member.row.control_address();
        self.sequence += 1;
        let sequence = self.sequence;
        self.pending_ping = Some(PendingPing { target, sequence, sent_at_us: now_us, indirect: false });
        // A suspect has to learn of the suspicion to refute it.
        let suspicion = Some(member.row.clone()).filter(|row| row.state == VmState::Suspect);
        actions.push(self.send_with(to, Payload::Ping { sequence }, suspicion));
    }

    /// Members in a random order, each once before any a second time.
    fn next_target(&mut self) -> Option<Name> {
        if self.ping_order.is_empty() {
            let alive = self.members.values().filter(|member| member.row.state != VmState::Dead);
            self.ping_order = alive.map(|member| member.row.identity.name.clone()).collect();
            for last in (1..self.ping_order.len()).rev() {
                let other = self.rng.random_range(0..=last);
                self.ping_order.swap(last, other);
            }
        }
        self.ping_order.pop()
    }

    /// Asks others to ping a member that has not answered for half of the interval.
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
        let asked =
            live.map(MemberRow::control_address).choose_multiple(&mut self.rng, self.options.ping_requests);
        for to in asked {
            actions.push(self.send(to, Payload::PingRequest { sequence, target: target.clone() }));
        }
    }

    /// Pings a member for another one, at its ping-req.
    pub(super) fn ping_for(
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

    /// Takes an ack, and passes it on if the ping was sent for another member.
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

    /// Suspects the member whose ack did not come within the interval.
    pub(super) fn end_ping(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        let Some(ping) = self.pending_ping.take() else { return };
        let transmissions = self.transmissions();
        let Some(member) = self.members.get_mut(&ping.target) else {
            return;
        };
        let next = match member.row.state {
            VmState::Live => Some(VmState::Suspect),
            VmState::Leaving => Some(VmState::Dead),
            VmState::Suspect | VmState::Dead => None,
        };
        if let Some(state) = next {
            member.row.state = state;
            member.changed_at_us = now_us;
            member.transmissions_left = transmissions;
            let row = member.row.clone();
            actions.push(changed(&row));
            // It learns of the suspicion at once, since only it can refute it. Without that, one lost datagram in twenty
            // killed live VMs (docs/DESIGN.md, "Membership").
            actions.push(self.send_with(row.control_address(), Payload::Announce, Some(row.clone())));
        }
    }
}
