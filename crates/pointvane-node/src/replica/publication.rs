//! Applies changes from the platform, and records load reports of upstreams.

use {
    crate::node::Node,
    hyper::HeaderMap,
    pointvane_core::{
        Change, Evacuation, Name, PlatformAdapter, RefusedItem, RoutingConfiguration, RoutingDelta,
        UpstreamLoad, UpstreamRecord,
    },
    pointvane_dispatch::UpstreamKey,
    pointvane_telemetry::EventKind,
};

impl<A: PlatformAdapter> Node<A> {
    /// Records the load report of a response; `None` if it carried no report or an invalid one.
    pub fn record_load(&self, key: UpstreamKey, load: Option<UpstreamLoad>) {
        match load {
            Some(load) => self.dispatcher.pool_mut().record_load(key, load, self.now_us()),
            None => self.dispatcher.pool_mut().record_no_load(key),
        }
    }

    /// Parses the load report in the headers of a response.
    ///
    /// An invalid report counts as absent: the response is still valid, and the upstream is then ranked by
    /// the latencies that this node observed.
    pub fn load_report(&self, headers: &HeaderMap) -> Option<UpstreamLoad> {
        let text = headers.get(&self.headers.load)?.to_str().ok()?;
        self.adapter.load(text)
    }

    /// Applies changes, then updates the budgets and this node's readiness.
    pub fn apply(&self, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::Configuration(configuration) => self.apply_configuration(*configuration),
                Change::ConfigurationDeltas(deltas) => self.apply_deltas(deltas),
                Change::Upstream(record) => self.apply_upstream(record),
                Change::UpstreamGone(id) => self.apply_removal(id),
                Change::Evacuation(evacuation) => self.apply_evacuation(evacuation),
            }
        }
        self.share_budgets();
        self.publish_entry();
        if self.has_platform_state() {
            self.platform.notify_state_known();
        }
    }

    fn apply_upstream(&self, record: UpstreamRecord) {
        let kind = EventKind::UpstreamTold {
            service: record.service.clone(),
            upstream: record.id.clone(),
            draining: record.draining,
            entry_sequence: record.sequence,
        };
        let before = self.dispatcher.pool().record(&record.id).cloned();
        let born_ms = record.born_ms;
        if self.dispatcher.pool_mut().upsert(record, self.now_us()) {
            if let Some(before) = before.filter(|before| before.born_ms != born_ms) {
                // Idle connections to the previous process are dead. Across a network partition no FIN or RST
                // announced it.
                self.dispatcher.connections.discard(before.address);
            }
            self.report.record_rate_limited(self.now_us(), kind);
        }
    }

    fn apply_removal(&self, id: Name) {
        let grace_until_us = self.platform.state().grace_until_us();
        if self.dispatcher.pool_mut().handle_entry_removal(&id, grace_until_us, self.now_us()) {
            self.report.record_rate_limited(self.now_us(), EventKind::UpstreamGone { upstream: id });
        }
    }

    fn apply_evacuation(&self, evacuation: Evacuation) {
        let Evacuation { data_centre, active, revision } = evacuation.clone();
        if self.dispatcher.pool_mut().apply_evacuation(evacuation) {
            self.report.record(EventKind::EvacuationChanged { data_centre, active, revision });
        }
    }

    /// Removes upstreams whose entries expired during a store outage and were not restored.
    pub fn remove_expired(&self) {
        let expired = self.dispatcher.pool_mut().remove_expired(self.now_us());
        for upstream in expired {
            self.report.record_rate_limited(self.now_us(), EventKind::UpstreamGone { upstream });
        }
    }

    /// Applies a configuration if it is newer than the current one: a running node never goes back to an older
    /// version.
    fn apply_configuration(&self, configuration: RoutingConfiguration) {
        let (revision, index) = (configuration.version, self.platform.mark().revision);
        if self.dispatcher.accept_configuration(configuration) {
            self.report.record(EventKind::ConfigurationAccepted { revision, index });
        }
    }

    /// Applies configuration deltas. If they do not match the current version, requests a new read of
    /// everything.
    fn apply_deltas(&self, deltas: Vec<RoutingDelta>) {
        let index = self.platform.mark().revision;
        let accepted = self.dispatcher.accept_deltas(deltas);
        let revision = self.dispatcher.routes().version();
        match accepted {
            Ok(()) => self.report.record(EventKind::ConfigurationAccepted { revision, index }),
            Err(mismatch) => {
                self.platform.state_mut().configuration_missing(revision);
                let reason = format!("deltas do not match the current version: {mismatch:?}");
                self.report.record(EventKind::ConfigurationRefused { revision, index, reason });
            }
        }
    }

    /// Reports that a full read contained no usable configuration, so that this node cannot serve requests.
    pub fn note_no_configuration(&self, index: u64) {
        self.report.missing_configuration();
        let reason = "the platform holds no usable configuration".into();
        self.report.record(EventKind::ConfigurationRefused { revision: 0, index, reason });
    }

    /// Reports items, or parts of items, that were rejected as invalid.
    pub fn note_refused_items(&self, refused: impl IntoIterator<Item = RefusedItem>) {
        for RefusedItem { key, fault, problem } in refused {
            self.report.refused_item(fault);
            self.report.record_rate_limited(self.now_us(), EventKind::ItemRefused { key, problem });
        }
    }
}
