//! Evidence that an upstream is, or is not, leaving.
//!
//! An upstream gets new work only while its last sign of not leaving is fresh. So a cut, a lagging list or a
//! late wake all fall on the safe side without anybody announcing anything.

/// What is known of an upstream's leaving.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    staying_at_us: Option<u64>,
    leaving_at_us: Option<u64>,
}

impl Evidence {
    /// Takes a sign made at `at_us`.
    pub fn observe(&mut self, leaving: bool, at_us: u64) {
        let sign = if leaving { &mut self.leaving_at_us } else { &mut self.staying_at_us };
        *sign = (*sign).max(Some(at_us));
    }

    /// Whether the newest sign says that the upstream is leaving.
    pub fn leaving(&self) -> bool {
        self.leaving_at_us.is_some() && self.leaving_at_us >= self.staying_at_us
    }

    /// Whether a sign of not leaving is at most `bound_us` old and not overtaken.
    pub fn fresh(&self, now_us: u64, bound_us: u64) -> bool {
        let young = |at_us: u64| now_us.saturating_sub(at_us) <= bound_us;
        !self.leaving() && self.staying_at_us.is_some_and(young)
    }

    /// When the last sign of not leaving was made; 0 if there was none.
    pub fn staying_at_us(&self) -> u64 {
        self.staying_at_us.unwrap_or(0)
    }
}
