//! The answer of the control's operator port to `/status`.

use {
    crate::state::State,
    pointvane_core::Incarnation,
    pointvane_mesh::{MemberRow, Stamp},
    pointvane_telemetry::OperatorState,
    serde::Serialize,
};

/// What the operator port shows.
#[derive(Debug, Serialize)]
pub struct ControlStatus {
    /// This life.
    pub incarnation: Incarnation,
    /// The configuration in force.
    pub configuration: Stamp,
    /// The list of VMs held.
    pub vm_list: Stamp,
    /// Whether this VM reads the platform for the others.
    pub reads_platform: bool,
    /// All VMs as known here, this one first.
    pub members: Vec<MemberRow>,
}

impl OperatorState for State {
    type Status = ControlStatus;

    fn status(&self) -> ControlStatus {
        let core = self.lock();
        ControlStatus {
            incarnation: core.membership.me().identity.incarnation,
            configuration: core.configuration.stamp(),
            vm_list: core.vm_list.stamp(),
            reads_platform: core.reads_platform,
            members: core.membership.rows().cloned().collect(),
        }
    }
}
