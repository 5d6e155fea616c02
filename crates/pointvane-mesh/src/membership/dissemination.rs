//! Dissemination: announcements, and changed rows piggybacked on every datagram.

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

/// Maximum number of changed rows in a datagram, besides the sender's own and a row that the receiver must
/// refute. Rows beyond it are left for later datagrams.
const ROWS_PER_MESSAGE: usize = 12;
/// Number of times that a changed row is sent, as a multiple of the binary logarithm of the fleet's size (as
/// in SWIM).
const TRANSMISSIONS_FACTOR: u32 = 3;
/// The same for rows that are sent for longer than [`SETTLED_US`].
const SETTLED_TRANSMISSIONS_FACTOR: u32 = 2;
/// Time after which a changed row is sent less often, in microseconds.
///
/// A few changed rows have been sent as often as [`TRANSMISSIONS_FACTOR`] requires by then. Only when many rows
/// change at once, as at the start of a fleet, do they wait for their turn longer; all members have then
/// received most of them, and receive the others with the pings of the members themselves.
const SETTLED_US: u64 = 8_000_000;

impl Membership {
    /// Sends an announcement to a few random members that are not dead.
    pub fn announce(&mut self) -> Vec<Action> {
        let alive = self.members.values().filter(|member| member.row.state != VmState::Dead);
        let targets = alive.map(|member| member.row.control_address());
        let targets = targets.choose_multiple(&mut self.rng, self.options.announce_fan_out);
        targets.into_iter().map(|to| self.send(to, Payload::Announce)).collect()
    }

    /// Number of times that a changed row is sent.
    pub(super) fn transmissions(&self) -> u32 {
        TRANSMISSIONS_FACTOR * self.log_size()
    }

    /// Binary logarithm of the fleet's size, rounded up.
    fn log_size(&self) -> u32 {
        let size = self.members.len() as u32 + 2;
        u32::BITS - size.leading_zeros()
    }

    /// Stops sending rows that changed long ago and have been sent often enough.
    pub(super) fn stop_settled_transmissions(&mut self, now_us: u64) {
        let left_max = (TRANSMISSIONS_FACTOR - SETTLED_TRANSMISSIONS_FACTOR) * self.log_size();
        for member in self.members.values_mut() {
            let is_settled = now_us.saturating_sub(member.sent_since_us) >= SETTLED_US;
            if is_settled && member.transmissions_left <= left_max {
                member.transmissions_left = 0;
            }
        }
    }

    /// Creates a datagram with recently changed rows.
    pub(super) fn send(&mut self, to: SocketAddr, payload: Payload) -> Action {
        self.send_with(to, payload, None)
    }

    /// As [`Self::send`], with another row before the changed ones. Trailing rows are dropped until the
    /// datagram fits.
    pub(super) fn send_with(&mut self, to: SocketAddr, payload: Payload, first: Option<MemberRow>) -> Action {
        let mut changed: Vec<_> =
            self.members.values_mut().filter(|member| member.transmissions_left > 0).collect();
        changed.sort_by_key(|member| std::cmp::Reverse(member.transmissions_left));
        let rows = changed.into_iter().take(ROWS_PER_MESSAGE).map(|member| {
            member.transmissions_left -= 1;
            member.row.clone()
        });
        let rows = first.into_iter().chain(rows).collect();
        let mut message = GossipMessage { from: self.local_row.clone(), stamps: self.stamps, payload, rows };
        while codec::encode(&message).is_err() && message.rows.pop().is_some() {}
        Action::Send { to, message: Box::new(message) }
    }
}
