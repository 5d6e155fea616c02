//! The probes in progress, and the searches that wait for their responses.

use {
    pointvane_dispatch::UpstreamKey,
    std::{cell::RefCell, collections::HashMap},
    tokio::sync::mpsc::UnboundedSender,
};

/// Channel on which a search receives the upstreams that were probed as healthy.
pub type ProbeAnswers = UnboundedSender<UpstreamKey>;

/// The probes in progress by upstream, with the searches that wait for each.
#[derive(Debug, Default)]
pub struct ProbeTable {
    waiting: RefCell<HashMap<UpstreamKey, Vec<ProbeAnswers>>>,
}

impl ProbeTable {
    /// Subscribes a search to the probe of an upstream; false if none is in progress.
    pub fn join(&self, key: UpstreamKey, answers: &ProbeAnswers) -> bool {
        let mut waiting = self.waiting.borrow_mut();
        let searches = waiting.get_mut(&key);
        searches.map(|searches| searches.push(answers.clone())).is_some()
    }

    /// Adds a probe with the search that started it.
    pub fn start(&self, key: UpstreamKey, answers: ProbeAnswers) {
        self.waiting.borrow_mut().insert(key, vec![answers]);
    }

    /// Removes a finished probe; its searches receive the upstream if it is healthy.
    pub fn end(&self, key: UpstreamKey, healthy: bool) {
        let searches = self.waiting.borrow_mut().remove(&key);
        for search in searches.into_iter().flatten().filter(|_| healthy) {
            // The send fails if the search has ended and dropped its receiver.
            _ = search.send(key);
        }
    }
}
