//! Membership in the manner of SWIM: checks of random members, suspicion, refutation, spread by piggyback.
//!
//! A process that was paused itself does not hold its own silence against others. Dead members and seeds are
//! tried again from time to time, so that a healed cut is noticed.

use {
    crate::{
        codec,
        member::{EntryRow, Member, MemberRow},
        message::{GossipMessage, Payload, Stamps},
    },
    pointvane_core::{Name, US_PER_MS, VmState},
    rand::{SeedableRng, rngs::SmallRng, seq::IteratorRandom},
    std::{collections::BTreeMap, net::SocketAddr},
};

mod check;
mod merge;

/// Rules of membership.
#[derive(Clone, Debug)]
pub struct MembershipOptions {
    /// Time between two checks by one process, in milliseconds.
    pub probe_interval_ms: u64,
    /// Time from suspicion to death, in milliseconds.
    pub suspect_ms: u64,
    /// Members asked to check for this one when a member does not answer.
    pub helpers: usize,
    /// Members told at once of a new value or of this VM's leaving.
    pub fan_out: usize,
    /// Time for which the dead are remembered, in milliseconds.
    pub remember_dead_ms: u64,
    /// Rounds between two tries of a dead member or seed.
    pub rounds_per_retry: u64,
    /// Control addresses asked first after a start.
    pub seeds: Vec<SocketAddr>,
}

impl Default for MembershipOptions {
    fn default() -> Self {
        Self {
            probe_interval_ms: 500,
            suspect_ms: 2_000,
            helpers: 2,
            fan_out: 4,
            remember_dead_ms: 600_000,
            rounds_per_retry: 4,
            seeds: Vec::new(),
        }
    }
}

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

/// A change of what is believed of a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberChange {
    /// The VM.
    pub name: Name,
    /// What is believed of it now.
    pub state: VmState,
}

/// One check under way.
#[derive(Clone, Debug)]
struct Check {
    target: Name,
    sequence: u64,
    sent_at_us: u64,
    helped: bool,
}

/// A ping sent for another VM.
#[derive(Clone, Debug)]
struct Errand {
    sequence: u64,
    for_vm: SocketAddr,
    their_sequence: u64,
    sent_at_us: u64,
}

/// Changed rows that fit a datagram beside the sender's own.
const ROWS_PER_MESSAGE: usize = 12;
/// Tellings of a changed row, as a multiple of the logarithm of the fleet's size.
const TRANSMISSIONS_FACTOR: u32 = 3;
const ERRANDS_MAX: usize = 64;

/// The members as one process knows them.
#[derive(Debug)]
pub struct Membership {
    options: MembershipOptions,
    me: MemberRow,
    stamps: Stamps,
    members: BTreeMap<Name, Member>,
    check: Option<Check>,
    errands: Vec<Errand>,
    sequence: u64,
    rounds: u64,
    round_at_us: u64,
    order: Vec<Name>,
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
            check: None,
            errands: Vec::new(),
            sequence: 0,
            rounds: 0,
            round_at_us: now_us,
            order: Vec::new(),
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

    /// Takes what this VM's entry told of itself.
    pub fn set_entry(&mut self, entry: Option<EntryRow>) {
        let (before, after) = (self.me.entry, entry);
        self.me.entry = entry;
        let identity = |row: Option<EntryRow>| row.map(|row| (row.incarnation, row.leaving));
        if identity(before) != identity(after) {
            self.me.version += 1;
        }
    }

    /// Takes what this process holds; a newer configuration is announced at once.
    pub fn set_stamps(&mut self, stamps: Stamps) -> Vec<Action> {
        if stamps == self.stamps {
            return Vec::new();
        }
        self.stamps = stamps;
        self.me.stamp = stamps.configuration;
        self.announce()
    }

    /// Says that this VM is leaving.
    pub fn leave(&mut self) -> Vec<Action> {
        self.me.state = VmState::Leaving;
        self.me.version += 1;
        self.announce()
    }

    /// Tells a few random members at once.
    pub fn announce(&mut self) -> Vec<Action> {
        let reachable = self.members.values().filter(|member| member.row.state != VmState::Dead);
        let targets = reachable.map(|member| member.row.control_address());
        let targets = targets.choose_multiple(&mut self.rng, self.options.fan_out);
        targets.into_iter().map(|to| self.send(to, Payload::Announce)).collect()
    }

    /// Takes the time; call it several times in each probe interval.
    pub fn tick(&mut self, now_us: u64) -> Vec<Action> {
        let interval_us = self.options.probe_interval_ms * US_PER_MS;
        let since_us = now_us.saturating_sub(self.round_at_us);
        let mut actions = Vec::new();
        if since_us > 2 * interval_us {
            // This process itself was away: nobody's silence counts.
            self.forgive(now_us);
        }
        self.call_helpers(now_us, &mut actions);
        if since_us >= interval_us {
            self.round_at_us = now_us;
            self.rounds += 1;
            self.end_check(now_us, &mut actions);
            self.begin_check(now_us, &mut actions);
            self.retry_lost(&mut actions);
            self.expire(now_us, &mut actions);
        }
        actions
    }

    /// Takes a datagram.
    pub fn receive(&mut self, from: SocketAddr, message: &GossipMessage, now_us: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        self.merge_row(&message.from, now_us, &mut actions);
        for row in &message.rows {
            self.merge_row(row, now_us, &mut actions);
        }
        match &message.payload {
            Payload::Ping { sequence } => {
                let believed = self.belief_to_refute(&message.from);
                actions.push(self.send_with(from, Payload::Ack { sequence: *sequence }, believed));
            }
            Payload::Ack { sequence } => self.acknowledged(*sequence, &mut actions),
            Payload::PingRequest { sequence, target } => {
                self.run_errand(from, *sequence, target, now_us, &mut actions);
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

    /// The suspected and leaving die after their time; the dead are forgotten after theirs.
    fn expire(&mut self, now_us: u64, actions: &mut Vec<Action>) {
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
        self.errands.retain(|errand| now_us.saturating_sub(errand.sent_at_us) < suspect_us);
    }

    /// Gives everybody new time after a pause of this process.
    fn forgive(&mut self, now_us: u64) {
        self.check = None;
        for member in self.members.values_mut() {
            member.changed_at_us = now_us;
        }
    }

    fn retry_lost(&mut self, actions: &mut Vec<Action>) {
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
        let targets = lost.chain(seeds).choose_multiple(&mut self.rng, self.options.helpers);
        for to in targets {
            // Sequence 0 belongs to no check, so its ack only brings rows.
            actions.push(self.send(to, Payload::Ping { sequence: 0 }));
        }
    }

    fn transmissions(&self) -> u32 {
        let size = self.members.len() as u32 + 2;
        TRANSMISSIONS_FACTOR * (u32::BITS - size.leading_zeros())
    }

    fn send(&mut self, to: SocketAddr, payload: Payload) -> Action {
        self.send_with(to, payload, None)
    }

    fn send_with(&mut self, to: SocketAddr, payload: Payload, first: Option<MemberRow>) -> Action {
        let mut hot: Vec<_> =
            self.members.values_mut().filter(|member| member.transmissions_left > 0).collect();
        hot.sort_by_key(|member| std::cmp::Reverse(member.transmissions_left));
        let rows = hot.into_iter().take(ROWS_PER_MESSAGE).map(|member| {
            member.transmissions_left -= 1;
            member.row.clone()
        });
        let rows = first.into_iter().chain(rows).collect();
        let mut message = GossipMessage { from: self.me.clone(), stamps: self.stamps, payload, rows };
        while codec::encode(&message).is_err() && message.rows.pop().is_some() {}
        Action::Send { to, message: Box::new(message) }
    }
}

fn changed(row: &MemberRow) -> Action {
    Action::Changed(MemberChange { name: row.identity.name.clone(), state: row.state })
}
