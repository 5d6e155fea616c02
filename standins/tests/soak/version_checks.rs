//! Checks the configuration versions that callers observe at nodes: each must apply in time and never be
//! rolled back.

use {
    crate::{fleet::Fleet, versions::Marker},
    std::{
        collections::HashMap,
        sync::Mutex,
        time::{Duration, Instant},
    },
};

/// Time from the store's acknowledgement until a change applies at every reachable node: 2 s by the rules,
/// plus 0.5 s for loopback and a busy machine. Wall clock; no node is checked while the machine stalls.
pub const PROPAGATION_MAX: Duration = Duration::from_millis(2_500);

/// Caller's state when it sent a version query.
#[derive(Clone, Copy)]
pub struct VersionQuery {
    node_index: usize,
    incarnation: u32,
    marker: Marker,
    sent: Instant,
    newest_before: u64,
}

/// The newest version observed at each process of each node, and the violations found.
#[derive(Default)]
pub struct VersionChecks {
    newest: Mutex<HashMap<(usize, u32), u64>>,
    checked: Mutex<usize>,
    violations: Mutex<Vec<String>>,
}

impl VersionChecks {
    pub fn begin_query(
        &self,
        node_index: usize,
        incarnation: u32,
        marker: Marker,
        sent: Instant,
    ) -> VersionQuery {
        let newest_before =
            self.newest.lock().unwrap().get(&(node_index, incarnation)).copied().unwrap_or_default();
        VersionQuery { node_index, incarnation, marker, sent, newest_before }
    }

    /// Checks the answer to a query that the same process received and answered.
    pub fn check_answer(&self, query: VersionQuery, status: u16, fleet: &Fleet) {
        let version = query.marker.version();
        let is_applied = matches!(status, 200 | 502 | 504);
        if is_applied {
            let mut newest = self.newest.lock().unwrap();
            let newest_seen = newest.entry((query.node_index, query.incarnation)).or_default();
            *newest_seen = (*newest_seen).max(version);
        }
        // The version that, by this answer, is not applied.
        let contradicted = match query.marker {
            Marker::Since(_) if status == 404 => version,
            Marker::Only(_) if is_applied => version + 1,
            Marker::Since(_) | Marker::Only(_) => {
                self.check(&query, status, None, fleet);
                return;
            }
        };
        self.check(&query, status, Some(contradicted), fleet);
    }

    fn check(&self, query: &VersionQuery, status: u16, contradicted: Option<u64>, fleet: &Fleet) {
        let VersionQuery { node_index, incarnation, marker, sent, newest_before } = *query;
        let node = &fleet.nodes[node_index];
        if contradicted.is_some_and(|contradicted| contradicted <= newest_before) {
            self.add_violation(format!(
                "{} incarnation {incarnation} rolled back: {marker:?} gave {status} \
                 after version {newest_before} had been seen",
                node.ip
            ));
        }
        let deciding_version = match marker {
            Marker::Since(version) => version,
            Marker::Only(version) => version + 1,
        };
        let Some(age) = fleet
            .versions
            .acknowledged_at(deciding_version)
            .map(|acknowledged| sent.saturating_duration_since(acknowledged))
        else {
            return;
        };
        let now = Instant::now();
        if age <= PROPAGATION_MAX
            || !node.faults.is_fault_free(sent, now)
            || !fleet.machine_stalls.is_fault_free(sent, now)
        {
            return;
        }
        *self.checked.lock().unwrap() += 1;
        if contradicted.is_some() {
            self.add_violation(format!(
                "{} incarnation {incarnation} is stale: {marker:?} gave {status}, \
                 but version {deciding_version} was acknowledged {age:?} before",
                node.ip
            ));
        }
    }

    fn add_violation(&self, violation: String) {
        self.violations.lock().unwrap().push(violation);
    }

    /// Returns the number of answers that the time bound was checked on.
    pub fn checked(&self) -> usize {
        *self.checked.lock().unwrap()
    }

    pub fn violations(&self) -> Vec<String> {
        self.violations.lock().unwrap().clone()
    }
}
