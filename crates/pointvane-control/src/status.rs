//! Status of the control process, served on its operator port as `/status`.

use {
    crate::state::State,
    pointvane_core::Incarnation,
    pointvane_mesh::{MemberRow, Stamp},
    pointvane_telemetry::OperatorState,
    serde::Serialize,
};

/// Status of the control process.
#[derive(Debug, Serialize)]
pub struct ControlStatus {
    /// Incarnation of this process: its start on the wall clock, in milliseconds.
    pub incarnation: Incarnation,
    /// Stamp of the current configuration.
    pub configuration: Stamp,
    /// Stamp of the current list of VMs.
    pub vm_list: Stamp,
    /// Whether this VM reads the platform for the fleet.
    pub reads_platform: bool,
    /// All known VMs, this one first.
    pub members: Vec<MemberRow>,
}

impl OperatorState for State {
    type Status = ControlStatus;

    fn status(&self) -> ControlStatus {
        let inner = self.lock();
        ControlStatus {
            incarnation: inner.membership.local_row().identity.incarnation,
            configuration: inner.configuration.stamp(),
            vm_list: inner.vm_list.stamp(),
            reads_platform: inner.reads_platform,
            members: inner.membership.rows().cloned().collect(),
        }
    }
}
