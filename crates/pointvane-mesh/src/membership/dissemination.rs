//! Dissemination: announcements, and changed rows that ride on every datagram.

use {
    super::{Action, Membership},
    crate::{
        codec,
        member::MemberRow,
        message::{GossipMessage, Payload},
    },
    pointvane_core::VmState,
    rand::seq::IteratorRandom,
    std::net::SocketAddr,
};

/// Changed rows in a datagram beside the sender's own; rows that do not fit are left for the next. Not measured.
const ROWS_PER_MESSAGE: usize = 12;
/// Times that a changed row is sent, as a multiple of the logarithm of the fleet's size, as in SWIM.
const TRANSMISSIONS_FACTOR: u32 = 3;

impl Membership {
    /// Sends to a few random members at once.
    pub fn announce(&mut self) -> Vec<Action> {
        let alive = self.members.values().filter(|member| member.row.state != VmState::Dead);
        let targets = alive.map(|member| member.row.control_address());
        let targets = targets.choose_multiple(&mut self.rng, self.options.fan_out);
        targets.into_iter().map(|to| self.send(to, Payload::Announce)).collect()
    }

    /// Times that a changed row is sent.
    pub(super) fn transmissions(&self) -> u32 {
        let size = self.members.len() as u32 + 2;
        TRANSMISSIONS_FACTOR * (u32::BITS - size.leading_zeros())
    }

    /// A datagram with rows that changed lately.
    pub(super) fn send(&mut self, to: SocketAddr, payload: Payload) -> Action {
        self.send_with(to, payload, None)
    }

    /// The same, with another row first.
    pub(super) fn send_with(&mut self, to: SocketAddr, payload: Payload, first: Option<MemberRow>) -> Action {
        let mut changed: Vec<_> =
            self.members.values_mut().filter(|member| member.transmissions_left > 0).collect();
        changed.sort_by_key(|member| std::cmp::Reverse(member.transmissions_left));
        let rows = changed.into_iter().take(ROWS_PER_MESSAGE).map(|member| {
            member.transmissions_left -= 1;
            member.row.clone()
        });
        let rows = first.into_iter().chain(rows).collect();
        let mut message = GossipMessage { from: self.me.clone(), stamps: self.stamps, payload, rows };
        while codec::encode(&message).is_err() && message.rows.pop().is_some() {}
        Action::Send { to, message: Box::new(message) }
    }
}
