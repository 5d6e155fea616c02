//! Connection reuse: which idle connection to an upstream a request or probe is sent on, and why a new one is
//! opened instead.
//!
//! Probes take the connection that was idle longest, which refreshes it. Requests take the most recently used
//! one, since upstreams may have closed older ones, but skip those on which surplus bytes of the last response
//! may still arrive. Requests that may run at most once take one that was idle for less than
//! [`NON_REPEATABLE_IDLE_MAX_US`] only. Tests: `tests/connection_reuse.rs`.

const MS_PER_S: u64 = 1_000;
/// Time after a response within which surplus bytes of it may still arrive, in microseconds.
pub const SURPLUS_BYTES_WINDOW_US: u64 = 300_000;

/// Longest idle time of a connection on which a request is sent that may run at most once, in microseconds.
///
/// An upstream may have dropped an idle connection, or the path may have gone silent; a request that is sent
/// on it may still have run, and cannot be retried. A probe sent just before uses the connection that the
/// request then gets, unless its response is late.
pub const NON_REPEATABLE_IDLE_MAX_US: u64 = 50_000;

/// Longest time that a connection is kept idle if its upstream announces none, in milliseconds.
const IDLE_DEFAULT_MS: u64 = 7_000;
/// Longest time that a connection is kept idle, whatever its upstream announces, in milliseconds; bounds memory.
const IDLE_MAX_MS: u64 = 30_000;
/// Time by which a connection is closed before its upstream would close it, in milliseconds.
const IDLE_MARGIN_MS: u64 = 1_000;

/// Longest time that a connection is kept idle, in milliseconds, from the `timeout` that its upstream announces
/// in `Keep-Alive`, in seconds.
pub fn idle_max_ms(announced_s: Option<u64>) -> u64 {
    let announced_ms =
        announced_s.map(|seconds| seconds.saturating_mul(MS_PER_S).saturating_sub(IDLE_MARGIN_MS));
    announced_ms.unwrap_or(IDLE_DEFAULT_MS).min(IDLE_MAX_MS)
}

/// What a connection is used for; decides which idle connection is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ConnectionPurpose {
    /// A health probe.
    Probe,
    /// A check whether a lost service responds again; always on a new connection.
    Check,
    /// A caller's request that may be repeated.
    Repeatable,
    /// A caller's request that may run at most once, or a retry of one that may be repeated.
    NonRepeatable,
    /// A request that is forwarded to another node and may be repeated.
    RepeatableForward,
    /// A request that is forwarded to another node and may run at most once.
    NonRepeatableForward,
}

impl ConnectionPurpose {
    /// The purpose of a caller's request to an upstream, after it was sent `sends` times.
    ///
    /// What closed the connection of the first attempt may have closed other idle ones too. So a retry is sent
    /// like a request that may run at most once: two attempts must not fail for the same cause.
    pub const fn request(is_repeatable: bool, sends: u32) -> Self {
        if is_repeatable && sends == 0 { Self::Repeatable } else { Self::NonRepeatable }
    }

    /// The purpose of a request that is forwarded to another node, after it was sent `sends` times.
    pub const fn forward(is_repeatable: bool, sends: u32) -> Self {
        if is_repeatable && sends == 0 { Self::RepeatableForward } else { Self::NonRepeatableForward }
    }

    /// Whether the connection carries a request of a caller.
    pub const fn is_request(self) -> bool {
        !matches!(self, Self::Probe | Self::Check)
    }

    /// The value of the label `purpose` in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Probe => "probe",
            Self::Check => "check",
            Self::Repeatable => "repeatable",
            Self::NonRepeatable => "non-repeatable",
            Self::RepeatableForward => "forward-repeatable",
            Self::NonRepeatableForward => "forward-non-repeatable",
        }
    }
}

/// An idle connection that is open and within its idle time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdleTimes {
    /// Time since it was last used, in microseconds.
    pub idle_us: u64,
    /// Time since the last response to a caller's request on it ended, in microseconds; none if it carried
    /// probes only.
    pub since_request_us: Option<u64>,
}

impl IdleTimes {
    /// Whether surplus bytes of the last response to a request would have arrived by now.
    fn is_past_surplus_window(self) -> bool {
        self.since_request_us.is_none_or(|since_us| since_us >= SURPLUS_BYTES_WINDOW_US)
    }
}

/// Why an idle connection left the pool without being used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Removal {
    /// Its idle time ended.
    Expired,
    /// The other end closed it.
    Closed,
    /// It was discarded with all others to its address, of which one went silent.
    Discarded,
}

/// Why a new connection is opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OpenReason {
    /// The address was not used before, or not recently.
    NoneKept,
    /// All connections to the address are in use.
    AllInUse,
    /// The idle time of the last connection ended.
    Expired,
    /// The other end closed the last connection.
    Closed,
    /// The last connections were discarded after one of them went silent.
    Discarded,
    /// All idle connections were idle too long for a request that may run at most once.
    IdleTooLong,
    /// Surplus bytes of the last response may still arrive on all idle connections.
    SurplusWindow,
    /// A reused connection broke before it gave a response.
    ReusedBroke,
    /// The purpose requires a new connection.
    Required,
}

impl OpenReason {
    /// The value of the label `reason` in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoneKept => "none-kept",
            Self::AllInUse => "all-in-use",
            Self::Expired => "expired",
            Self::Closed => "closed",
            Self::Discarded => "discarded",
            Self::IdleTooLong => "idle-too-long",
            Self::SurplusWindow => "surplus-window",
            Self::ReusedBroke => "reused-broke",
            Self::Required => "required",
        }
    }
}

/// Other connections to the same address, by which the reason for a new one is told apart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OtherConnections {
    /// Number of connections in use.
    pub in_use: usize,
    /// How the last idle connection left the pool, if that was recently.
    pub removal: Option<Removal>,
}

/// Chooses among the idle connections to an address, in the order in which they became idle.
///
/// # Errors
/// Why none of them may be used.
pub fn choose_idle(
    idle: &[IdleTimes],
    others: OtherConnections,
    purpose: ConnectionPurpose,
) -> Result<usize, OpenReason> {
    if idle.is_empty() {
        return Err(reason_without_idle(others));
    }
    match purpose {
        ConnectionPurpose::Check => Err(OpenReason::Required),
        ConnectionPurpose::Probe => Ok(0),
        ConnectionPurpose::Repeatable | ConnectionPurpose::RepeatableForward => {
            Ok(idle.iter().rposition(|idle| idle.is_past_surplus_window()).unwrap_or(0))
        }
        ConnectionPurpose::NonRepeatable | ConnectionPurpose::NonRepeatableForward => {
            let is_fresh = |idle: &&IdleTimes| idle.idle_us < NON_REPEATABLE_IDLE_MAX_US;
            let usable = |idle: &IdleTimes| is_fresh(&idle) && idle.is_past_surplus_window();
            idle.iter().rposition(usable).ok_or(match idle.iter().find(is_fresh) {
                Some(_) => OpenReason::SurplusWindow,
                None => OpenReason::IdleTooLong,
            })
        }
    }
}

fn reason_without_idle(others: OtherConnections) -> OpenReason {
    match (others.in_use, others.removal) {
        (0, None) => OpenReason::NoneKept,
        (0, Some(Removal::Expired)) => OpenReason::Expired,
        (0, Some(Removal::Closed)) => OpenReason::Closed,
        (0, Some(Removal::Discarded)) => OpenReason::Discarded,
        _ => OpenReason::AllInUse,
    }
}
