//! What the platform and the upstreams tell, put in force.

use {
    crate::node::Node,
    pointvane_core::{
        Change, Name, PlatformAdapter, RefusedItem, RoutingConfiguration, UpstreamLoad, UpstreamRecord,
    },
    pointvane_dispatch::{RouteTable, UpstreamKey},
    pointvane_telemetry::EventKind,
    std::rc::Rc,
};

impl<A: PlatformAdapter> Node<A> {
    /// Takes an upstream's own word on its load.
    pub fn hear_load(&self, key: UpstreamKey, load: UpstreamLoad) {
        self.pool.borrow_mut().hear(key, load, self.now_us());
    }

    /// Puts what the platform told in force.
    pub fn apply(&self, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::Configuration(configuration) => self.take_configuration(*configuration),
                Change::Upstream(record) => self.take_upstream(record),
                Change::UpstreamGone(id) => self.take_gone(id),
            }
        }
        self.share_budgets();
        self.tell_entry();
    }

    fn take_upstream(&self, record: UpstreamRecord) {
        let told = EventKind::UpstreamTold {
            service: record.service.clone(),
            upstream: record.id.clone(),
            draining: record.draining,
            sequence: record.sequence,
        };
        if self.pool.borrow_mut().put(record, self.now_us()) {
            self.report.believed(self.now_us(), told);
        }
    }

    fn take_gone(&self, id: Name) {
        let reentry_until_us = self.feed.borrow().reentry_until_us();
        if self.pool.borrow_mut().gone(&id, reentry_until_us, self.now_us()) {
            self.report.believed(self.now_us(), EventKind::UpstreamGone { upstream: id });
        }
    }

    /// Forgets upstreams whose entries went while the platform was away and did not come back.
    pub fn forget_lapsed(&self) {
        let forgotten = self.pool.borrow_mut().forget_lapsed(self.now_us());
        for upstream in forgotten {
            self.report.believed(self.now_us(), EventKind::UpstreamGone { upstream });
        }
    }

    /// A node never goes back to an older configuration within its life.
    fn take_configuration(&self, configuration: RoutingConfiguration) {
        if configuration.version <= self.routes.borrow().version() {
            return;
        }
        let index = self.feed.borrow().mark().revision;
        self.report.note(EventKind::ConfigurationAccepted { revision: configuration.version, index });
        *self.routes.borrow_mut() = Rc::new(RouteTable::new(configuration));
    }

    /// Notes items that could not be understood.
    pub fn refuse_items(&self, refused: Vec<RefusedItem>) {
        for RefusedItem { key, problem } in refused {
            self.report.believed(self.now_us(), EventKind::ItemRefused { key, problem });
        }
    }
}
