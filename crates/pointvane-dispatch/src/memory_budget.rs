//! One bound on the memory that all bodies of requests and answers occupy together.
//!
//! Each body is a holder that reserves memory before it grows. While there is room, every holder gets what it
//! asks for. Once there is none:
//!
//! - Holders of more than [`SMALL_BYTES`], or of an unknown length, wait in order of arrival, and their senders
//!   are read no further. A part of the memory is kept for small ones, so that large ones do not delay them.
//! - Holders whose sender has stopped are refused to make room, those of the largest size class first.
//! - After a wait of [`WAIT_MAX_US`], or at once if all others wait as well, holders wait for each other: those
//!   that came last are refused to make room, or the one that waited if none of them holds memory.
//! - A holder that would wait is refused at once if too many wait already, since the sockets of those who wait
//!   fill with unread bytes.
//!
//! A complete body is never refused. It is released at the latest when its request ends, so holders never wait
//! for each other without end.

mod holder;
mod limits;
mod pressure;
mod size_classes;

pub use {
    holder::{HolderId, MemoryRefusal, Reservation},
    limits::MemoryLimits,
};

use {
    self::{
        holder::{Holder, State, WaitPosition},
        size_classes::SizeClasses,
    },
    std::{
        collections::{BTreeMap, VecDeque},
        mem,
    },
};

/// Largest body that may use the part of the memory that is kept for small ones, in bytes.
pub const SMALL_BYTES: u64 = 16 << 10;
/// Time without [`PROGRESS_BYTES_MIN`] after which a sender counts as stopped, in microseconds: longer than
/// the first retransmissions of a lost TCP segment take.
pub const STALLED_US: u64 = 1_000_000;
/// Fewest bytes that count as progress. A sender that sends less in [`STALLED_US`] counts as stopped.
pub const PROGRESS_BYTES_MIN: u64 = 1_024;
/// Longest time that a holder waits, in microseconds: longer than [`STALLED_US`], so that the holders that were
/// stopped when it began to wait are refused first.
pub const WAIT_MAX_US: u64 = 1_250_000;
/// Share of the memory below which pressure ends.
const RELIEVED_SHARE: f64 = 0.75;

/// Memory that is reserved by the bodies of one process.
#[derive(Debug)]
pub struct MemoryBudget {
    limits: MemoryLimits,
    holders: Vec<Holder>,
    free_ids: Vec<HolderId>,
    held_bytes: u64,
    /// Bytes of refused holders that are not released yet.
    refused_bytes: u64,
    /// Holders with memory that neither wait nor are refused.
    moving: usize,
    waiting: BTreeMap<WaitPosition, HolderId>,
    sequence: u64,
    incomplete: SizeClasses,
    decided: VecDeque<HolderId>,
    is_under_pressure: bool,
}

impl MemoryBudget {
    /// Creates a budget without holders.
    pub fn new(limits: MemoryLimits) -> Self {
        Self {
            limits,
            holders: Vec::new(),
            free_ids: Vec::new(),
            held_bytes: 0,
            refused_bytes: 0,
            moving: 0,
            waiting: BTreeMap::new(),
            sequence: 0,
            incomplete: SizeClasses::default(),
            decided: VecDeque::new(),
            is_under_pressure: false,
        }
    }

    /// Replaces the limits. Holders keep what they have.
    pub fn set_limits(&mut self, limits: MemoryLimits, now_us: u64) {
        self.limits = limits;
        self.settle(now_us);
    }

    /// The limits.
    pub fn limits(&self) -> &MemoryLimits {
        &self.limits
    }

    /// Adds a holder without memory. It counts as small while it is, if `length_bytes`, the announced length of
    /// its body, is small too.
    pub fn open(&mut self, length_bytes: Option<u64>, now_us: u64) -> HolderId {
        let holder = Holder {
            state: State::Granted,
            bytes: 0,
            is_announced_small: length_bytes.is_some_and(|length_bytes| length_bytes <= SMALL_BYTES),
            progress_us: now_us,
            received_bytes: 0,
            is_listed: false,
        };
        if let Some(id) = self.free_ids.pop() {
            self.holders[id.index()] = holder;
            return id;
        }
        self.holders.push(holder);
        HolderId((self.holders.len() - 1) as u32)
    }

    /// Reserves `more_bytes` in addition to what the holder has.
    pub fn reserve(&mut self, id: HolderId, more_bytes: u64, now_us: u64) -> Reservation {
        if let Some(decided) = self.undecided(id) {
            return decided;
        }
        if more_bytes == 0 {
            return Reservation::Granted;
        }
        let is_large = self.is_large(id, more_bytes);
        let is_first = self
            .waiting
            .keys()
            .next()
            .is_none_or(|first| *first > WaitPosition { is_large, sequence: u64::MAX });
        if is_first && self.fits(id, more_bytes) {
            self.grant(id, more_bytes);
            return Reservation::Granted;
        }
        self.is_under_pressure = true;
        if self.waiting.len() >= self.limits.waiting_max {
            self.refuse(id, MemoryRefusal::TooManyWaiting);
        } else {
            self.wait(id, more_bytes, is_large, now_us);
            self.settle(now_us);
        }
        self.reservation(id)
    }

    /// Reserves `more_bytes` if there is room now; the holder never waits and is not refused.
    pub fn try_reserve(&mut self, id: HolderId, more_bytes: u64) -> bool {
        let granted = self.undecided(id).is_none() && (more_bytes == 0 || self.fits(id, more_bytes));
        if granted {
            self.grant(id, more_bytes);
        }
        self.is_under_pressure |= !granted;
        granted
    }

    /// The last reservation of a holder.
    pub fn reservation(&self, id: HolderId) -> Reservation {
        match self.holders[id.index()].state {
            State::Waiting { .. } => Reservation::Waiting,
            State::Refused(reason) => Reservation::Refused(reason),
            State::Granted | State::Free => Reservation::Granted,
        }
    }

    /// Records `received_bytes` of a body that is not complete yet; from the first call on the holder is
    /// refused if its sender stops and others need the memory.
    pub fn received(&mut self, id: HolderId, received_bytes: u64, now_us: u64) {
        let holder = &mut self.holders[id.index()];
        holder.received_bytes += received_bytes;
        if holder.received_bytes >= PROGRESS_BYTES_MIN {
            (holder.progress_us, holder.received_bytes) = (now_us, 0);
        }
        if !holder.is_listed {
            holder.is_listed = true;
            self.incomplete.insert(id, holder.bytes, holder.progress_us);
        }
    }

    /// Records that the body is complete. Returns whether it may be used; a holder that was refused before may
    /// not.
    pub fn complete(&mut self, id: HolderId) -> bool {
        self.unlist(id);
        !matches!(self.holders[id.index()].state, State::Refused(_))
    }

    /// Returns a part of the memory of a holder, down to `bytes`.
    pub fn shrink(&mut self, id: HolderId, bytes: u64, now_us: u64) {
        let holder = self.holders[id.index()];
        if bytes < holder.bytes && holder.state == State::Granted {
            self.unlist(id);
            self.holders[id.index()].bytes = bytes;
            self.held_bytes -= holder.bytes - bytes;
            self.moving -= usize::from(bytes == 0);
            self.settle(now_us);
        }
    }

    /// Removes a holder and returns its memory.
    pub fn release(&mut self, id: HolderId, now_us: u64) {
        self.unlist(id);
        let Holder { state, bytes, .. } = self.holders[id.index()];
        match state {
            State::Free => return,
            State::Granted => self.moving -= usize::from(bytes > 0),
            State::Waiting { position, .. } => _ = self.waiting.remove(&position),
            State::Refused(_) => self.refused_bytes -= bytes,
        }
        self.held_bytes -= bytes;
        self.holders[id.index()].state = State::Free;
        self.holders[id.index()].bytes = 0;
        self.free_ids.push(id);
        self.settle(now_us);
    }

    /// Refuses holders that have waited too long, and those that stopped while others wait. Must be called
    /// regularly while [`Self::is_under_pressure`].
    pub fn tick(&mut self, now_us: u64) {
        self.settle(now_us);
    }

    /// Takes a holder that was decided upon since it began to wait, or that was refused while it did not.
    pub fn take_decided(&mut self) -> Option<HolderId> {
        self.decided.pop_front()
    }

    /// Memory that holders have, in bytes.
    pub fn held_bytes(&self) -> u64 {
        self.held_bytes
    }

    /// Number of holders that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Whether a reservation was delayed or refused, and the memory has not been well below its limit since.
    pub fn is_under_pressure(&self) -> bool {
        self.is_under_pressure
    }

    fn undecided(&self, id: HolderId) -> Option<Reservation> {
        Some(self.reservation(id)).filter(|reservation| *reservation != Reservation::Granted)
    }

    fn is_large(&self, id: HolderId, more_bytes: u64) -> bool {
        let holder = &self.holders[id.index()];
        !holder.is_announced_small || holder.bytes + more_bytes > SMALL_BYTES
    }

    fn fits(&self, id: HolderId, more_bytes: u64) -> bool {
        let limit_bytes = match self.is_large(id, more_bytes) {
            true => self.limits.large_bytes,
            false => self.limits.bytes,
        };
        self.held_bytes.saturating_add(more_bytes) <= limit_bytes
    }

    fn grant(&mut self, id: HolderId, more_bytes: u64) {
        let is_listed = self.unlist(id);
        let holder = &mut self.holders[id.index()];
        self.moving += usize::from(holder.bytes == 0 && more_bytes > 0);
        holder.bytes += more_bytes;
        self.held_bytes += more_bytes;
        if is_listed {
            holder.is_listed = true;
            self.incomplete.insert(id, holder.bytes, holder.progress_us);
        }
    }

    fn wait(&mut self, id: HolderId, more_bytes: u64, is_large: bool, now_us: u64) {
        self.sequence += 1;
        let position = WaitPosition { is_large, sequence: self.sequence };
        self.waiting.insert(position, id);
        // Bytes that its sender has sent cannot be read meanwhile, so it cannot be taken for stopped.
        self.unlist(id);
        let holder = &mut self.holders[id.index()];
        holder.state = State::Waiting { more_bytes, since_us: now_us, position };
        self.moving -= usize::from(holder.bytes > 0);
    }

    fn refuse(&mut self, id: HolderId, reason: MemoryRefusal) {
        self.unlist(id);
        let holder = &mut self.holders[id.index()];
        match mem::replace(&mut holder.state, State::Refused(reason)) {
            State::Waiting { position, .. } => _ = self.waiting.remove(&position),
            _ => self.moving -= usize::from(holder.bytes > 0),
        }
        self.refused_bytes += holder.bytes;
    }

    /// Removes a holder from the size classes; returns whether it was there.
    fn unlist(&mut self, id: HolderId) -> bool {
        let holder = &mut self.holders[id.index()];
        if holder.is_listed {
            self.incomplete.remove(id, holder.bytes);
        }
        mem::take(&mut holder.is_listed)
    }
}
