//! Differences between routing configurations, which nodes send to each other in place of complete
//! configurations.
//!
//! A change of one route out of thousands then takes a few hundred bytes. Routes and client accounts are
//! identified by name. Tests: `tests/routing_delta.rs`.

use {
    crate::{AccountRule, CallerLimits, Name, RouteRule, RoutingConfiguration, ServiceRule},
    serde::{Deserialize, Serialize},
    std::{collections::HashMap, sync::Arc},
};

/// Difference between two versions of the routing configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingDelta {
    /// Version of the configuration that the delta applies to.
    pub from_version: u64,
    /// Version of the resulting configuration.
    pub to_version: u64,
    /// Added and changed routes.
    pub changed: Vec<Arc<RouteRule>>,
    /// Names of removed routes.
    pub removed: Vec<Name>,
    /// All services of the resulting configuration.
    pub services: Vec<ServiceRule>,
    /// Limits for callers of the resulting configuration.
    pub limits: CallerLimits,
    /// Number of routes in the resulting configuration, as a check.
    pub routes: usize,
    /// Changes of the client accounts.
    pub accounts: AccountsDelta,
}

/// Changes of the client accounts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AccountsDelta {
    /// There are no accounts: callers need no API key.
    Absent,
    /// There are accounts, with these changes.
    Present {
        /// Added and changed accounts.
        changed: Vec<Arc<AccountRule>>,
        /// Names of removed accounts.
        removed: Vec<Name>,
        /// Number of accounts in the resulting configuration, as a check.
        accounts: usize,
    },
}

impl AccountsDelta {
    /// Computes the changes between the accounts of two configurations; `None` if account names are not
    /// unique.
    fn between(from: Option<&[Arc<AccountRule>]>, to: Option<&[Arc<AccountRule>]>) -> Option<Self> {
        let Some(to) = to else { return Some(Self::Absent) };
        let old = index_by_name(from.unwrap_or_default(), |account| &account.name)?;
        let new = index_by_name(to, |account| &account.name)?;
        let changed = to.iter().filter(|account| old.get(&account.name) != Some(account));
        let removed = old.keys().filter(|name| !new.contains_key(**name));
        Some(Self::Present {
            changed: changed.cloned().collect(),
            removed: removed.map(|name| Name::clone(name)).collect(),
            accounts: to.len(),
        })
    }

    fn apply(
        &self,
        base: Option<Vec<Arc<AccountRule>>>,
    ) -> Result<Option<Vec<Arc<AccountRule>>>, DeltaMismatch> {
        let Self::Present { changed, removed, accounts } = self else { return Ok(None) };
        let mut by_name: HashMap<Name, Arc<AccountRule>> =
            base.into_iter().flatten().map(|account| (account.name.clone(), account)).collect();
        removed.iter().for_each(|name| _ = by_name.remove(name));
        by_name.extend(changed.iter().map(|account| (account.name.clone(), Arc::clone(account))));
        if by_name.len() == *accounts {
            Ok(Some(by_name.into_values().collect()))
        } else {
            Err(DeltaMismatch::Accounts)
        }
    }

    /// Number of accounts that are added, changed or removed.
    fn change_count(&self) -> usize {
        match self {
            Self::Absent => 0,
            Self::Present { changed, removed, .. } => changed.len() + removed.len(),
        }
    }
}

/// Reasons for which a delta cannot be applied to a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeltaMismatch {
    /// The delta applies to another version.
    Version,
    /// The result does not have the expected number of routes.
    Routes,
    /// The result does not have the expected number of client accounts.
    Accounts,
}

impl RoutingDelta {
    /// Computes the delta between two configurations; `None` if the names of their routes or client accounts
    /// are not unique.
    pub fn between(from: &RoutingConfiguration, to: &RoutingConfiguration) -> Option<Self> {
        let old = index_by_name(&from.routes, |route| &route.name)?;
        let new = index_by_name(&to.routes, |route| &route.name)?;
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
            accounts: AccountsDelta::between(from.accounts.as_deref(), to.accounts.as_deref())?,
        })
    }

    /// Applies consecutive deltas to `base`. The routes are copied once, however many deltas there are.
    ///
    /// # Errors
    /// A [`DeltaMismatch`] when a delta does not match the configuration that it is applied to.
    pub fn apply(deltas: &[Self], base: RoutingConfiguration) -> Result<RoutingConfiguration, DeltaMismatch> {
        let Some(last) = deltas.last() else { return Ok(base) };
        let mut version = base.version;
        let mut accounts = base.accounts;
        let mut routes: HashMap<Name, Arc<RouteRule>> =
            base.routes.into_iter().map(|route| (route.name.clone(), route)).collect();
        for delta in deltas {
            if delta.from_version != version {
                return Err(DeltaMismatch::Version);
            }
            delta.apply_to(&mut routes)?;
            accounts = delta.accounts.apply(accounts)?;
            version = delta.to_version;
        }
        Ok(RoutingConfiguration {
            version,
            routes: routes.into_values().collect(),
            services: last.services.clone(),
            limits: last.limits,
            accounts,
        })
    }

    fn apply_to(&self, routes: &mut HashMap<Name, Arc<RouteRule>>) -> Result<(), DeltaMismatch> {
        self.removed.iter().for_each(|name| _ = routes.remove(name));
        routes.extend(self.changed.iter().map(|route| (route.name.clone(), Arc::clone(route))));
        if routes.len() == self.routes { Ok(()) } else { Err(DeltaMismatch::Routes) }
    }

    /// Number of routes and client accounts that are added, changed or removed, as a measure of the delta's
    /// size.
    pub fn change_count(&self) -> usize {
        self.changed.len() + self.removed.len() + self.accounts.change_count()
    }
}

/// Indexes items by name; `None` if names are not unique.
fn index_by_name<T>(items: &[Arc<T>], name: impl Fn(&T) -> &Name) -> Option<HashMap<&Name, &Arc<T>>> {
    let index: HashMap<_, _> = items.iter().map(|item| (name(item), item)).collect();
    (index.len() == items.len()).then_some(index)
}
