//! The last changes of the configuration, for nodes that have an earlier one.
//!
//! Inputs: each configuration that comes in force, whole or as a delta. A node that has none of the versions logged, or one
//! from before the log, gets the whole configuration. Tests: `tests/routing_log.rs`.

use {
    pointvane_core::{RoutingConfiguration, RoutingDelta},
    std::collections::VecDeque,
};

/// Routes that the deltas of a log touch at most. Worked out, not measured: with what a route takes it bounds memory to a
/// megabyte.
const LOGGED_ROUTES_MAX: usize = 4_096;
/// Deltas of a log at most. Not measured: a minute of four changes a second.
const LOGGED_DELTAS_MAX: usize = 256;

/// The last deltas; each leads from the version that the one before it led to.
#[derive(Debug, Default)]
pub struct RoutingLog {
    deltas: VecDeque<RoutingDelta>,
    touched: usize,
}

impl RoutingLog {
    /// Adds what changed when a configuration was replaced by another.
    pub fn replaced(&mut self, from: &RoutingConfiguration, to: &RoutingConfiguration) {
        // From no configuration at all everything changes: there is nothing to be saved.
        let delta = if from.version == 0 { None } else { RoutingDelta::between(from, to) };
        match delta {
            Some(delta) => self.add(delta),
            None => self.clear(),
        }
    }

    /// Adds a delta that was applied.
    pub fn add(&mut self, delta: RoutingDelta) {
        if self.deltas.back().is_some_and(|last| last.to_version != delta.from_version) {
            self.clear();
        }
        self.touched += delta.touched();
        self.deltas.push_back(delta);
        while self.touched > LOGGED_ROUTES_MAX || self.deltas.len() > LOGGED_DELTAS_MAX {
            let dropped = self.deltas.pop_front();
            self.touched -= dropped.map_or(0, |delta| delta.touched());
        }
    }

    fn clear(&mut self) {
        *self = Self::default();
    }

    /// The deltas that lead from a version to the one in force; none if the log does not hold them.
    pub fn since(&self, version: u64) -> Option<Vec<RoutingDelta>> {
        let first = self.deltas.iter().position(|delta| delta.from_version == version)?;
        Some(self.deltas.iter().skip(first).cloned().collect())
    }
}
