//! SWIM membership: pings of random members, indirect pings (ping-req), suspicion, refutation by a higher
//! version within an incarnation, and dissemination by piggybacking on datagrams.
//!
//! The state machine serves both deployment forms: it takes datagrams and the current time, returns
//! [`Action`]s, and owns the rows of all members. A process that was paused does not suspect others for the
//! time of its own pause. Dead members and seeds are pinged periodically, so that members find each other
//! again after a network partition. Tests: `tests/membership.rs`, `tests/restart.rs`.

use {
    crate::{
        member::{EntryRow, Member, MemberRow},
        message::{GossipMessage, Payload, Stamps},
    },
    pointvane_core::{Name, US_PER_MS, VmState},
    rand::{SeedableRng, rngs::SmallRng},
    std::{collections::BTreeMap, net::SocketAddr},
};

mod dissemination;
mod expiry;
mod merge;
mod options;
mod ping;

pub use options::MembershipOptions;

/// An action for the caller of the state machine to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Destination address.
        to: SocketAddr,
        /// Message to encode.
        message: Box<GossipMessage>,
    },
    /// A member's state has changed.
    Changed(MemberChange),
}

/// A change of state of a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberChange {
    /// The VM.
    pub name: Name,
    /// Its new state.
    pub state: VmState,
}

/// A ping that has not been acknowledged yet.
#[derive(Clone, Debug)]
struct PendingPing {
    target: Name,
    sequence: u64,
    sent_at_us: u64,
    /// Whether other members have been sent a ping-req for the target.
    indirect: bool,
}

/// A ping sent on behalf of another member that requested it by a ping-req.
#[derive(Clone, Debug)]
struct IndirectPing {
    sequence: u64,
    requested_by: SocketAddr,
    requested_sequence: u64,
    sent_at_us: u64,
}

/// The membership state machine of one process.
#[derive(Debug)]
pub struct Membership {
    options: MembershipOptions,
    local_row: MemberRow,
    stamps: Stamps,
    members: BTreeMap<Name, Member>,
    pending_ping: Option<PendingPing>,
    indirect_pings: Vec<IndirectPing>,
    sequence: u64,
    rounds: u64,
    last_round_at_us: u64,
    /// Members still to be pinged before all are shuffled again, in random order; the last is next.
    ping_queue: Vec<Name>,
    rng: SmallRng,
}

impl Membership {
    /// Creates the state of a process that knows no other member; `local_row` is its own row, `seed` seeds its
    /// random numbers.
    pub fn new(options: MembershipOptions, local_row: MemberRow, seed: u64, now_us: u64) -> Self {
        Self {
            options,
            local_row,
            stamps: Stamps::default(),
            members: BTreeMap::new(),
            pending_ping: None,
            indirect_pings: Vec::new(),
            sequence: 0,
            rounds: 0,
            last_round_at_us: now_us,
            ping_queue: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// This process's own row.
    pub fn local_row(&self) -> &MemberRow {
        &self.local_row
    }

    /// All rows, this process's own first.
    pub fn rows(&self) -> impl Iterator<Item = &MemberRow> {
        std::iter::once(&self.local_row).chain(self.members.values().map(|member| &member.row))
    }

    /// Sets the state of this VM's entry process. A change of its incarnation or of `leaving` raises the
    /// row's version.
    pub fn set_entry(&mut self, entry: Option<EntryRow>) {
        let (before, after) = (self.local_row.entry, entry);
        self.local_row.entry = entry;
        let versioned = |row: Option<EntryRow>| row.map(|row| (row.incarnation, row.leaving));
        if versioned(before) != versioned(after) {
            self.local_row.version += 1;
        }
    }

    /// Sets the stamps of the values that this process holds; a change is announced at once.
    pub fn set_stamps(&mut self, stamps: Stamps) -> Vec<Action> {
        if stamps == self.stamps {
            return Vec::new();
        }
        self.stamps = stamps;
        self.local_row.stamp = stamps.configuration;
        self.announce()
    }

    /// Announces that this VM is leaving.
    pub fn leave(&mut self) -> Vec<Action> {
        self.local_row.state = VmState::Leaving;
        self.local_row.version += 1;
        self.announce()
    }

    /// Advances the time; must be called several times in each probe interval.
    pub fn tick(&mut self, now_us: u64) -> Vec<Action> {
        let interval_us = self.options.probe_interval_ms * US_PER_MS;
        let elapsed_us = now_us.saturating_sub(self.last_round_at_us);
        let mut actions = Vec::new();
        if elapsed_us > 2 * interval_us {
            self.restart_timers(now_us);
        }
        self.send_ping_requests(now_us, &mut actions);
        if elapsed_us >= interval_us {
            self.last_round_at_us = now_us;
            self.rounds += 1;
            self.suspect_unanswered(now_us, &mut actions);
            self.ping_next_member(now_us, &mut actions);
            self.ping_dead_and_seeds(&mut actions);
            self.expire(now_us, &mut actions);
            self.stop_settled_transmissions(now_us);
        }
        actions
    }

    /// Handles a datagram from another member: merges its rows and answers it.
    pub fn receive(&mut self, from: SocketAddr, message: &GossipMessage, now_us: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        self.merge_row(&message.from, now_us, &mut actions);
        for row in &message.rows {
            self.merge_row(row, now_us, &mut actions);
        }
        match &message.payload {
            Payload::Ping { sequence } => {
                let refutable = self.row_to_refute(&message.from);
                actions.push(self.send_with(from, Payload::Ack { sequence: *sequence }, refutable));
            }
            Payload::Ack { sequence } => self.receive_ack(*sequence, &mut actions),
            Payload::PingRequest { sequence, target } => {
                self.handle_ping_request(from, *sequence, target, now_us, &mut actions);
            }
            Payload::Announce => {}
        }
        actions
    }

    /// Merges all rows of another process.
    pub fn merge(&mut self, rows: &[MemberRow], now_us: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        for row in rows {
            self.merge_row(row, now_us, &mut actions);
        }
        actions
    }
}

fn state_changed(row: &MemberRow) -> Action {
    Action::Changed(MemberChange { name: row.identity.name.clone(), state: row.state })
}
