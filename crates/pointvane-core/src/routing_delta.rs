//! What changed from one routing configuration to the next: what nodes send each other in place of a whole configuration.
//!
//! A change of one route of thousands then costs some hundred bytes. Routes are told apart by name. Tests:
//! `tests/routing_delta.rs`.

use {
    crate::{CallerLimits, Name, RouteRule, RoutingConfiguration, ServiceRule},
    serde::{Deserialize, Serialize},
    std::{collections::HashMap, sync::Arc},
};

/// What changed from one configuration to a later one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingDelta {
    /// Version of the configuration that it is applied to.
    pub from_version: u64,
    /// Version of the configuration that it leads to.
    pub to_version: u64,
    /// Routes that are new or changed.
    pub changed: Vec<Arc<RouteRule>>,
    /// Names of routes that are gone.
    pub removed: Vec<Name>,
    /// All services.
    pub services: Vec<ServiceRule>,
    /// Limits for callers.
    pub limits: CallerLimits,
    /// Routes of the configuration that it leads to, as a check.
    pub routes: usize,
}

/// Why a delta cannot be applied to a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeltaMismatch {
    /// It is for another version.
    Version,
    /// It does not lead to as many routes as it says.
    Routes,
}

impl RoutingDelta {
    /// What changed between two configurations; none if their routes cannot be told apart by name.
    pub fn between(from: &RoutingConfiguration, to: &RoutingConfiguration) -> Option<Self> {
        let old = by_name(&from.routes)?;
        let new = by_name(&to.routes)?;
        let changed = to.routes.iter().filter(|route| old.get(&route.name) != Some(route));
        let removed = from.routes.iter().filter(|route| !new.contains_key(&route.name));
        Some(Self {
            from_version: from.version,
            to_version: to.version,
            changed: changed.cloned().collect(),
            removed: removed.map(|route| route.name.clone()).collect(),
            services: to.services.clone(),
            limits: to.limits,
            routes: to.routes.len(),
        })
    }

    /// The configuration that deltas lead to, each from the one before; one pass over its routes.
    ///
    /// # Errors
    /// When one of them does not fit the configuration that it is applied to.
    pub fn apply(deltas: &[Self], base: RoutingConfiguration) -> Result<RoutingConfiguration, DeltaMismatch> {
        let Some(last) = deltas.last() else { return Ok(base) };
        let mut version = base.version;
        let mut routes: HashMap<Name, Arc<RouteRule>> =
            base.routes.into_iter().map(|route| (route.name.clone(), route)).collect();
        for delta in deltas {
            if delta.from_version != version {
                return Err(DeltaMismatch::Version);
            }
            delta.apply_to(&mut routes)?;
            version = delta.to_version;
        }
        Ok(RoutingConfiguration {
            version,
            routes: routes.into_values().collect(),
            services: last.services.clone(),
            limits: last.limits,
        })
    }

    fn apply_to(&self, routes: &mut HashMap<Name, Arc<RouteRule>>) -> Result<(), DeltaMismatch> {
        self.removed.iter().for_each(|name| _ = routes.remove(name));
        routes.extend(self.changed.iter().map(|route| (route.name.clone(), Arc::clone(route))));
        if routes.len() == self.routes { Ok(()) } else { Err(DeltaMismatch::Routes) }
    }

    /// Routes that it changes or removes: a measure of its size.
    pub fn touched(&self) -> usize {
        self.changed.len() + self.removed.len()
    }
}

/// Routes by their names; none if two have the same.
fn by_name(routes: &[Arc<RouteRule>]) -> Option<HashMap<&Name, &Arc<RouteRule>>> {
    let named: HashMap<_, _> = routes.iter().map(|route| (&route.name, route)).collect();
    (named.len() == routes.len()).then_some(named)
}
