//! Counts requests in flight per upstream, and detects attempts that were abandoned because the upstream did
//! not respond.

use {
    crate::{node::Node, request::CallerRequest},
    pointvane_core::{PlatformAdapter, US_PER_MS},
    pointvane_dispatch::{ConnectionKind, UpstreamKey},
    pointvane_telemetry::EventKind,
    std::rc::Rc,
};

/// Guard that counts a request as in flight at its upstream until it is dropped.
///
/// If it is dropped without [`Self::ended`], the attempt was abandoned: the caller left, the deadline passed,
/// or another attempt was answered first. If a response was overdue by then, this counts as a failure of the
/// upstream.
pub struct InFlight<A: PlatformAdapter> {
    node: Rc<Node<A>>,
    request: Rc<CallerRequest>,
    key: UpstreamKey,
    started_at_us: u64,
    /// Time from which the upstream counts as unresponsive; `u64::MAX` once the attempt has ended.
    unresponsive_at_us: u64,
}

impl<A: PlatformAdapter> InFlight<A> {
    /// Counts a request whose upstream is unresponsive if it has not responded after `unresponsive_after_ms`.
    pub fn start(
        node: &Rc<Node<A>>,
        request: &Rc<CallerRequest>,
        key: UpstreamKey,
        unresponsive_after_ms: f64,
    ) -> Self {
        let started_at_us = node.now_us();
        let unresponsive_at_us = started_at_us + (unresponsive_after_ms * US_PER_MS as f64) as u64;
        if let Some(state) = node.dispatcher.pool_mut().get_mut(key) {
            state.request_started();
        }
        Self { node: Rc::clone(node), request: Rc::clone(request), key, started_at_us, unresponsive_at_us }
    }

    /// Marks the attempt as ended, whether it succeeded or failed.
    pub fn ended(mut self) {
        self.unresponsive_at_us = u64::MAX;
    }
}

impl<A: PlatformAdapter> Drop for InFlight<A> {
    fn drop(&mut self) {
        let now_us = self.node.now_us();
        let mut pool = self.node.dispatcher.pool_mut();
        let Some(state) = pool.get_mut(self.key) else { return };
        state.request_finished();
        if now_us < self.unresponsive_at_us {
            return;
        }
        state.record_unresponsive(now_us);
        self.node.dispatcher.connections.discard(state.address());
        self.node.report.failure(now_us, || EventKind::AttemptGivenUp {
            request: self.request.id.clone(),
            upstream: state.id().clone(),
            after_ms: now_us.saturating_sub(self.started_at_us) / US_PER_MS,
        });
        drop(pool);
        self.node.record_silence(self.key, ConnectionKind::Reused, self.started_at_us);
    }
}
