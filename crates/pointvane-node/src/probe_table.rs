//! The probes under way, and the searches that wait for their answers.

use {
    pointvane_dispatch::UpstreamKey,
    std::{cell::RefCell, collections::HashMap},
    tokio::sync::mpsc::UnboundedSender,
};

/// Where a search receives the upstreams whose probes were answered.
pub type ProbeAnswers = UnboundedSender<UpstreamKey>;

/// The probes under way, by upstream, with the searches that wait for each.
#[derive(Debug, Default)]
pub struct ProbeTable {
    waiting: RefCell<HashMap<UpstreamKey, Vec<ProbeAnswers>>>,
}

impl ProbeTable {
    /// Lets a search wait for a probe under way; false if there is none.
    pub fn join(&self, key: UpstreamKey, answers: &ProbeAnswers) -> bool {
        let mut waiting = self.waiting.borrow_mut();
        let searches = waiting.get_mut(&key);
        searches.map(|searches| searches.push(answers.clone())).is_some()
    }

    /// Adds a probe, and the search that it is sent for.
    pub fn start(&self, key: UpstreamKey, answers: ProbeAnswers) {
        self.waiting.borrow_mut().insert(key, vec![answers]);
    }

    /// Removes a probe that has ended; the searches receive its upstream if that is healthy.
    pub fn end(&self, key: UpstreamKey, healthy: bool) {
        let searches = self.waiting.borrow_mut().remove(&key);
        for search in searches.into_iter().flatten().filter(|_| healthy) {
            // A search that is over has dropped its receiver.
            _ = search.send(key);
        }
    }
}
