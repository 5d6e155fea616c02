//! Messages between nodes about requests under which upstreams crash. Times are sent as ages because clocks
//! differ.

use {
    super::crash_history::{Crash, CrashHistory, CrashId},
    crate::fingerprint::RequestFingerprint,
    pointvane_core::US_PER_MS,
    serde::{Deserialize, Serialize},
};

/// Maximum number of requests in one datagram. Each takes up to 8 crashes of at most 32 bytes plus 30 bytes.
/// Tests: `tests/quarantine_messages.rs`.
pub const SUSPECTS_PER_DATAGRAM_MAX: usize = 4;

/// A quarantine datagram between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineMessage {
    /// The sender's evidence about some requests.
    Reports(Vec<SuspectReport>),
    /// Asks the receiver for its evidence, because the sender has just started or was paused.
    Pull,
    /// Marks the end of the answer to a pull.
    PullComplete,
}

/// A node's evidence about one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    pub(super) request: RequestFingerprint,
    crashes: Vec<CrashReport>,
    succeeded_ago_ms: Option<u32>,
}

/// Wire form of a crash.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct CrashReport {
    id: CrashId,
    began_ago_ms: u32,
    ended_ago_ms: u32,
}

impl SuspectReport {
    pub(super) fn new(request: RequestFingerprint, history: &CrashHistory, now_us: i64) -> Self {
        let crashes = history.crashes().iter().map(|crash| CrashReport {
            id: crash.id,
            began_ago_ms: age_ms(crash.began_at_us, now_us),
            ended_ago_ms: age_ms(crash.ended_at_us, now_us),
        });
        Self {
            request,
            crashes: crashes.collect(),
            succeeded_ago_ms: history.succeeded_at_us().map(|at_us| age_ms(at_us, now_us)),
        }
    }

    /// Merges this evidence into `history` and returns true if that changes it.
    pub(super) fn apply(&self, history: &mut CrashHistory, now_us: i64) -> bool {
        let mut changed =
            self.succeeded_ago_ms.is_some_and(|ago_ms| history.record_success(at_us(ago_ms, now_us)));
        for crash in &self.crashes {
            changed |= history.record_crash(Crash {
                id: crash.id,
                began_at_us: at_us(crash.began_ago_ms, now_us),
                ended_at_us: at_us(crash.ended_ago_ms, now_us),
            });
        }
        changed
    }
}

/// Age of a time, in milliseconds, limited to `u32::MAX` (49 days).
fn age_ms(at_us: i64, now_us: i64) -> u32 {
    u32::try_from((now_us - at_us).max(0) / US_PER_MS as i64).unwrap_or(u32::MAX)
}

fn at_us(ago_ms: u32, now_us: i64) -> i64 {
    now_us - i64::from(ago_ms) * US_PER_MS as i64
}
