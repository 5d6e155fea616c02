//! Holders of memory, and what is decided on them.

/// A holder of memory; valid until it is released.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HolderId(pub(super) u32);

impl HolderId {
    /// Index of the holder; indices are reused and stay below the largest number of concurrent holders.
    pub fn index(self) -> usize {
        self.0 as usize
    }
}

/// Why a holder is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryRefusal {
    /// Its sender stopped, and others need the memory.
    Stalled,
    /// It waited for [`WAIT_MAX_US`](super::WAIT_MAX_US), and none that came later holds memory.
    WaitedTooLong,
    /// As many holders wait as may wait.
    TooManyWaiting,
    /// Holders wait for each other, and it came last.
    AllWaiting,
}

impl MemoryRefusal {
    /// The value of the label `reason` in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Stalled => "stalled",
            Self::WaitedTooLong => "waited-too-long",
            Self::TooManyWaiting => "too-many-waiting",
            Self::AllWaiting => "all-waiting",
        }
    }
}

/// Result of a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reservation {
    /// The memory is reserved.
    Granted,
    /// The holder waits; it is named by [`MemoryBudget::take_decided`](super::MemoryBudget::take_decided) once its reservation is decided.
    Waiting,
    /// The holder must be released.
    Refused(MemoryRefusal),
}

/// Position of a waiting holder: small ones first, then in order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct WaitPosition {
    pub(super) is_large: bool,
    pub(super) sequence: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    Free,
    Granted,
    Waiting { more_bytes: u64, since_us: u64, position: WaitPosition },
    Refused(MemoryRefusal),
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Holder {
    pub(super) state: State,
    pub(super) bytes: u64,
    pub(super) is_announced_small: bool,
    pub(super) progress_us: u64,
    /// Bytes received since `progress_us`.
    pub(super) received_bytes: u64,
    /// Whether it is in the size classes, from which stopped holders are chosen.
    pub(super) is_listed: bool,
}
