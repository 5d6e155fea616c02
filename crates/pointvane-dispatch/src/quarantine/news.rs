//! What nodes tell each other of requests under which upstreams crash: times go as ages, since clocks differ.

use {
    super::crash_history::{Crash, CrashHistory, CrashId},
    crate::fingerprint::RequestFingerprint,
    pointvane_core::US_PER_MS,
    serde::{Deserialize, Serialize},
};

/// Requests in one datagram at most: 8 crashes of up to 32 bytes and 30 bytes besides for each. Tests: `tests/quarantine_news.rs`.
pub const NEWS_MAX: usize = 4;

/// A datagram between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineMessage {
    /// What the sender knows of some requests.
    News(Vec<SuspectNews>),
    /// The receiver is to send all that it knows: the sender has just started, or was paused.
    Pull,
    /// The end of the answer to a pull.
    Pulled,
}

/// What a node knows of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectNews {
    pub(super) request: RequestFingerprint,
    crashes: Vec<CrashNews>,
    survived_ago_ms: Option<u32>,
}

/// A crash, as it goes between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct CrashNews {
    id: CrashId,
    began_ago_ms: u32,
    ended_ago_ms: u32,
}

impl SuspectNews {
    pub(super) fn new(request: RequestFingerprint, history: &CrashHistory, now_us: i64) -> Self {
        let crashes = history.crashes().iter().map(|crash| CrashNews {
            id: crash.id,
            began_ago_ms: age_ms(crash.began_at_us, now_us),
            ended_ago_ms: age_ms(crash.ended_at_us, now_us),
        });
        Self {
            request,
            crashes: crashes.collect(),
            survived_ago_ms: history.survived_at_us().map(|at_us| age_ms(at_us, now_us)),
        }
    }

    /// Adds what it tells to what is known; true if that changes anything.
    pub(super) fn tell(&self, history: &mut CrashHistory, now_us: i64) -> bool {
        let mut changed = self.survived_ago_ms.is_some_and(|ago_ms| history.survive(at_us(ago_ms, now_us)));
        for crash in &self.crashes {
            changed |= history.add(Crash {
                id: crash.id,
                began_at_us: at_us(crash.began_ago_ms, now_us),
                ended_at_us: at_us(crash.ended_ago_ms, now_us),
            });
        }
        changed
    }
}

/// The age of a moment, in milliseconds; what is older than 49 days is told as that old.
fn age_ms(at_us: i64, now_us: i64) -> u32 {
    u32::try_from((now_us - at_us).max(0) / US_PER_MS as i64).unwrap_or(u32::MAX)
}

fn at_us(ago_ms: u32, now_us: i64) -> i64 {
    now_us - i64::from(ago_ms) * US_PER_MS as i64
}
