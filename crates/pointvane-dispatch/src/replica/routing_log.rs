//! The latest configuration deltas, for nodes that have an earlier version.
//!
//! Inputs: each configuration that takes effect, whole or as deltas. A node whose version is not in the log
//! gets the whole configuration. Tests: `tests/routing_log.rs`.

use {
    pointvane_core::{RoutingConfiguration, RoutingDelta},
    std::collections::VecDeque,
};

/// Maximum number of changed routes in the logged deltas; limits memory to about one megabyte.
const LOGGED_ROUTES_MAX: usize = 4_096;
/// Maximum number of logged deltas: about one minute at four changes per second.
const LOGGED_DELTAS_MAX: usize = 256;

/// The latest deltas; each starts at the version where the previous one ends.
#[derive(Debug, Default)]
pub struct RoutingLog {
    deltas: VecDeque<RoutingDelta>,
    changed_routes: usize,
}

impl RoutingLog {
    /// Appends the delta between a configuration and the one that replaced it.
    pub fn add_replacement(&mut self, from: &RoutingConfiguration, to: &RoutingConfiguration) {
        // The delta from an empty configuration (version 0) would be as large as the configuration itself.
        let delta = if from.version == 0 { None } else { RoutingDelta::between(from, to) };
        match delta {
            Some(delta) => self.add(delta),
            None => self.clear(),
        }
    }

    /// Appends a delta that was applied. A gap between versions clears the log first.
    pub fn add(&mut self, delta: RoutingDelta) {
        if self.deltas.back().is_some_and(|last| last.to_version != delta.from_version) {
            self.clear();
        }
        self.changed_routes += delta.change_count();
        self.deltas.push_back(delta);
        while self.changed_routes > LOGGED_ROUTES_MAX || self.deltas.len() > LOGGED_DELTAS_MAX {
            let oldest = self.deltas.pop_front();
            self.changed_routes -= oldest.map_or(0, |delta| delta.change_count());
        }
    }

    fn clear(&mut self) {
        *self = Self::default();
    }

    /// The deltas from a version to the one in force; none if no logged delta starts at that version.
    pub fn since(&self, version: u64) -> Option<Vec<RoutingDelta>> {
        let first = self.deltas.iter().position(|delta| delta.from_version == version)?;
        Some(self.deltas.iter().skip(first).cloned().collect())
    }
}
