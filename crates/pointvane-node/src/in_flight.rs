//! Requests at their upstreams.

use {
    crate::{node::Node, request::CallerRequest},
    pointvane_core::{PlatformAdapter, US_PER_MS},
    pointvane_dispatch::UpstreamKey,
    pointvane_telemetry::EventKind,
    std::rc::Rc,
};

/// Counts a request at its upstream for as long as it lives; one that is given up long after its time speaks against
/// the upstream.
pub struct InFlight<A: PlatformAdapter> {
    node: Rc<Node<A>>,
    request: Rc<CallerRequest>,
    key: UpstreamKey,
    since_us: u64,
    /// When silence begins to speak against the upstream; never, once it has answered.
    silent_at_us: u64,
}

impl<A: PlatformAdapter> InFlight<A> {
    /// Counts a request whose silence speaks against the upstream after a time.
    pub fn new(
        node: &Rc<Node<A>>,
        request: &Rc<CallerRequest>,
        key: UpstreamKey,
        silent_after_ms: f64,
    ) -> Self {
        let since_us = node.now_us();
        let silent_at_us = since_us + (silent_after_ms * US_PER_MS as f64) as u64;
        if let Some(state) = node.pool.borrow_mut().get_mut(key) {
            state.sent();
        }
        Self { node: Rc::clone(node), request: Rc::clone(request), key, since_us, silent_at_us }
    }
}

impl<A: PlatformAdapter> InFlight<A> {
    /// The upstream has answered, or failed at once: its silence says nothing.
    pub fn ended(mut self) {
        self.silent_at_us = u64::MAX;
    }
}

impl<A: PlatformAdapter> Drop for InFlight<A> {
    fn drop(&mut self) {
        let now_us = self.node.now_us();
        let mut pool = self.node.pool.borrow_mut();
        let Some(state) = pool.get_mut(self.key) else { return };
        state.done();
        if now_us >= self.silent_at_us {
            state.failed(now_us);
            self.node.report.wrong(now_us, || EventKind::AttemptGivenUp {
                request: self.request.id(&self.node),
                upstream: state.id().clone(),
                after_ms: now_us.saturating_sub(self.since_us) / US_PER_MS,
            });
        }
    }
}
