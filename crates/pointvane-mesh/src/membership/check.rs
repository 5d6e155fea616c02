//! Checks of members: pings, helpers, and what follows from silence.

use {
    super::{Action, Check, ERRANDS_MAX, Errand, Membership, changed},
    crate::{member::MemberRow, message::Payload},
    pointvane_core::{Name, US_PER_MS, VmState},
    rand::{Rng, seq::IteratorRandom},
    std::net::SocketAddr,
};

impl Membership {
    pub(super) fn begin_check(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        let Some(target) = self.next_target() else { return };
        let Some(member) = self.members.get(&target) else {
            return;
        };
        let to = member.row.control_address();
        self.sequence += 1;
        let sequence = self.sequence;
        self.check = Some(Check { target, sequence, sent_at_us: now_us, helped: false });
        // One that is suspected must hear of it, to be able to refute it.
        let believed = Some(member.row.clone()).filter(|row| row.state == VmState::Suspect);
        actions.push(self.send_with(to, Payload::Ping { sequence }, believed));
    }

    /// Members in a random order, each once before any a second time.
    pub(super) fn next_target(&mut self) -> Option<Name> {
        if self.order.is_empty() {
            let alive = self.members.values().filter(|member| member.row.state != VmState::Dead);
            self.order = alive.map(|member| member.row.identity.name.clone()).collect();
            for last in (1..self.order.len()).rev() {
                let other = self.rng.random_range(0..=last);
                self.order.swap(last, other);
            }
        }
        self.order.pop()
    }

    pub(super) fn call_helpers(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        let half_us = self.options.probe_interval_ms * US_PER_MS / 2;
        let Some(check) = &mut self.check else { return };
        if check.helped || now_us.saturating_sub(check.sent_at_us) < half_us {
            return;
        }
        check.helped = true;
        let (target, sequence) = (check.target.clone(), check.sequence);
        let others = self.members.values().map(|member| &member.row);
        let able = others.filter(|row| row.state == VmState::Live && row.identity.name != target);
        let helpers =
            able.map(MemberRow::control_address).choose_multiple(&mut self.rng, self.options.helpers);
        for to in helpers {
            actions.push(self.send(to, Payload::PingRequest { sequence, target: target.clone() }));
        }
    }

    pub(super) fn run_errand(
        &mut self,
        for_vm: SocketAddr,
        their_sequence: u64,
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
        self.errands.truncate(ERRANDS_MAX - 1);
        self.errands.push(Errand { sequence, for_vm, their_sequence, sent_at_us: now_us });
        actions.push(self.send(to, Payload::Ping { sequence }));
    }

    pub(super) fn acknowledged(&mut self, sequence: u64, actions: &mut Vec<Action>) {
        if self.check.as_ref().is_some_and(|check| check.sequence == sequence) {
            self.check = None;
        }
        let done = self.errands.iter().position(|errand| errand.sequence == sequence);
        if let Some(index) = done {
            let errand = self.errands.swap_remove(index);
            actions.push(self.send(errand.for_vm, Payload::Ack { sequence: errand.their_sequence }));
        }
    }

    pub(super) fn end_check(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        let Some(check) = self.check.take() else { return };
        let transmissions = self.transmissions();
        let Some(member) = self.members.get_mut(&check.target) else {
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
            // It hears of the suspicion at once, since only it can refute it.
            actions.push(self.send_with(row.control_address(), Payload::Announce, Some(row.clone())));
        }
    }
}
