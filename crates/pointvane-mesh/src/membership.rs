//! Membership by SWIM: pings of random members, ping-req to others, suspicion, refutation by a higher version within an
//! incarnation, dissemination by piggyback.
//!
//! A state machine for both forms: datagrams and the time come in, [`Action`]s go out. It owns the rows of all members. A
//! process that was paused does not count its own silence against others; dead members and seeds are pinged from time to
//! time, so that a healed cut is noticed. Tests: `tests/membership.rs`, `tests/restart.rs`.

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

/// What the shell should do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send this datagram.
    Send {
        /// Where to.
        to: SocketAddr,
        /// What.
        message: Box<GossipMessage>,
    },
    /// Note a change of state.
    Changed(MemberChange),
}

/// A change of state of a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberChange {
    /// The VM.
    pub name: Name,
    /// Its state now.
    pub state: VmState,
}

/// A ping whose ack is waited for.
#[derive(Clone, Debug)]
struct PendingPing {
    target: Name,
    sequence: u64,
    sent_at_us: u64,
    /// Whether others were sent a ping-req for it.
    indirect: bool,
}

/// A ping sent for another member, at its ping-req.
#[derive(Clone, Debug)]
struct IndirectPing {
    sequence: u64,
    requested_by: SocketAddr,
    requested_sequence: u64,
    sent_at_us: u64,
}

/// The members as one process knows them.
#[derive(Debug)]
pub struct Membership {
    options: MembershipOptions,
    me: MemberRow,
    stamps: Stamps,
    members: BTreeMap<Name, Member>,
    pending_ping: Option<PendingPing>,
    indirect_pings: Vec<IndirectPing>,
    sequence: u64,
    rounds: u64,
    round_at_us: u64,
    /// Members that are still to be pinged in this turn, in random order.
    ping_order: Vec<Name>,
    rng: SmallRng,
}

impl Membership {
    /// A process that knows only itself.
    pub fn new(options: MembershipOptions, me: MemberRow, seed: u64, now_us: u64) -> Self {
        Self {
            options,
            me,
            stamps: Stamps::default(),
            members: BTreeMap::new(),
            pending_ping: None,
            indirect_pings: Vec::new(),
            sequence: 0,
            rounds: 0,
            round_at_us: now_us,
            ping_order: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// This process's own row.
    pub fn me(&self) -> &MemberRow {
        &self.me
    }

    /// All rows, this process's own first.
    pub fn rows(&self) -> impl Iterator<Item = &MemberRow> {
        std::iter::once(&self.me).chain(self.members.values().map(|member| &member.row))
    }

    /// Sets this VM's entry process; a new life or a change to leaving makes a new version of the row.
    pub fn set_entry(&mut self, entry: Option<EntryRow>) {
        let (before, after) = (self.me.entry, entry);
        self.me.entry = entry;
        let identity = |row: Option<EntryRow>| row.map(|row| (row.incarnation, row.leaving));
        if identity(before) != identity(after) {
            self.me.version += 1;
        }
    }

    /// Sets what this process holds; a change is announced at once.
    pub fn set_stamps(&mut self, stamps: Stamps) -> Vec<Action> {
        if stamps == self.stamps {
            return Vec::new();
        }
        self.stamps = stamps;
        self.me.stamp = stamps.configuration;
        self.announce()
    }

    /// Announces that this VM is leaving.
    pub fn leave(&mut self) -> Vec<Action> {
        self.me.state = VmState::Leaving;
        self.me.version += 1;
        self.announce()
    }

    /// Lets time pass; call it several times in each ping interval.
    pub fn tick(&mut self, now_us: u64) -> Vec<Action> {
        let interval_us = self.options.probe_interval_ms * US_PER_MS;
        let since_us = now_us.saturating_sub(self.round_at_us);
        let mut actions = Vec::new();
        if since_us > 2 * interval_us {
            self.reset_times(now_us);
        }
        self.send_ping_requests(now_us, &mut actions);
        if since_us >= interval_us {
            self.round_at_us = now_us;
            self.rounds += 1;
            self.end_ping(now_us, &mut actions);
            self.begin_ping(now_us, &mut actions);
            self.ping_lost(&mut actions);
            self.expire(now_us, &mut actions);
        }
        actions
    }

    /// Takes a datagram of another member.
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
                self.ping_for(from, *sequence, target, now_us, &mut actions);
            }
            Payload::Announce => {}
        }
        actions
    }

    /// Takes all rows of another process.
    pub fn merge(&mut self, rows: &[MemberRow], now_us: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        for row in rows {
            self.merge_row(row, now_us, &mut actions);
        }
        actions
    }
}

fn changed(row: &MemberRow) -> Action {
    Action::Changed(MemberChange { name: row.identity.name.clone(), state: row.state })
}
