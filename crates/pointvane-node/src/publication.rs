//! What the platform and the upstreams tell, put in force.

use {
    crate::node::Node,
    pointvane_core::{
        Change, PlatformAdapter, RefusedItem, RoutingConfiguration, UpstreamLoad, UpstreamRecord,
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
                Change::UpstreamGone(id) => {
                    if self.pool.borrow_mut().remove(&id) {
                        self.report.note(EventKind::UpstreamGone { upstream: id });
                    }
                }
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
            self.report.note(told);
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
            self.report.note(EventKind::ItemRefused { key, problem });
        }
    }
}
