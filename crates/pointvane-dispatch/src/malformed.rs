//! Pauses for upstreams that send malformed responses again and again.
//!
//! Decided when a response was read or refused. [`pointvane_core::MalformedStreak`] has the rule, for both forms; the
//! pause is a back-off (`notices.rs`), so it binds also where the service has no other upstream, and ends with a single
//! trial request. Tests: `tests/malformed.rs`, `standins/tests/malformed_services.rs`.

use crate::{pool::Pool, upstream_key::UpstreamKey};

impl Pool {
    /// Records a malformed response of an upstream; returns the time for which this node sends it nothing, in
    /// microseconds, if a pause follows.
    pub fn record_malformed(&mut self, key: UpstreamKey, now_us: u64) -> Option<u64> {
        let state = self.upstreams.get_mut(&key)?;
        if state.notices.backoff.is_backing_off(now_us) {
            // Its request was sent before the pause.
            return None;
        }
        let pause_us = state.malformed.record_malformed()?;
        self.record_back_off(key, pause_us, now_us)
    }

    /// Records a valid response of an upstream.
    pub fn record_valid_response(&mut self, key: UpstreamKey) {
        if let Some(state) = self.upstreams.get_mut(&key) {
            state.malformed.record_valid_response();
        }
    }
}
