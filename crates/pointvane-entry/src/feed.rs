//! Updates that the entry receives from the control process of its VM.

use {
    crate::{entry::Entry, members::Members},
    pointvane_config::unpack,
    pointvane_feed::FeedHandler,
    pointvane_mesh::{EntryReport, FeedRole, FeedUpdate, StampedValue},
    pointvane_telemetry::EventKind,
};

impl FeedHandler for Entry {
    const ROLE: FeedRole = FeedRole::Entry;

    fn update(&self, update: FeedUpdate) {
        match update {
            FeedUpdate::Configuration(stamped) => apply_configuration(self, &stamped),
            FeedUpdate::Members(rows) => self.set_members(Members::new(rows, &self.settings.vm.name)),
            FeedUpdate::VmList(list) => self.apply_vm_list(&list),
            FeedUpdate::Beat => {}
        }
    }

    fn connection_changed(&self, connected: bool) {
        self.events.record(if connected { EventKind::FeedBack } else { EventKind::FeedLost });
    }

    fn report(&self) -> Option<EntryReport> {
        let (incarnation, requests) = (self.incarnation, self.requests());
        Some(EntryReport { incarnation, requests, leaving: self.is_stopping() })
    }
}

/// Applies a configuration if it is newer than the current one. A control process that has restarted may send
/// an older one.
fn apply_configuration(entry: &Entry, stamped: &StampedValue) {
    let Ok(packed) = unpack(&stamped.value) else { return };
    let (revision, index) = (stamped.stamp.revision, stamped.stamp.index);
    if !entry.advance(stamped.stamp) {
        return;
    }
    entry.configure(&packed.configuration);
    entry.events.record(EventKind::ConfigurationAccepted { revision, index });
}
