//! Evidence of whether an upstream is leaving.
//!
//! An upstream gets new requests only while its last report of staying is recent. A network partition, an
//! outdated VM list or a VM that resumes after a pause therefore stops new requests without any announcement.

/// Times of the newest reports that an upstream stays or leaves.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    last_staying_us: Option<u64>,
    last_leaving_us: Option<u64>,
}

impl Evidence {
    /// Records a report made at `at_us`.
    pub fn observe(&mut self, leaving: bool, at_us: u64) {
        let last_us = if leaving { &mut self.last_leaving_us } else { &mut self.last_staying_us };
        *last_us = (*last_us).max(Some(at_us));
    }

    /// Whether the newest report says that the upstream is leaving. A tie counts as leaving.
    pub fn is_leaving(&self) -> bool {
        self.last_leaving_us.is_some() && self.last_leaving_us >= self.last_staying_us
    }

    /// Whether the last report of staying is at most `age_max_us` old and no report of leaving is as new.
    pub fn is_fresh(&self, now_us: u64, age_max_us: u64) -> bool {
        let is_recent = |at_us: u64| now_us.saturating_sub(at_us) <= age_max_us;
        !self.is_leaving() && self.last_staying_us.is_some_and(is_recent)
    }

    /// Time of the last report of staying; 0 if there is none.
    pub fn last_staying_us(&self) -> u64 {
        self.last_staying_us.unwrap_or(0)
    }
}
