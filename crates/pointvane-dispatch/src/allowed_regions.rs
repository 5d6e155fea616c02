//! Regions whose upstreams may serve a request, according to its route and its client account. Checked in
//! `eligibility.rs`.

use {crate::routes::RoutedRequest, pointvane_core::Name};

/// Regions whose upstreams may serve a request. An empty list allows all regions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AllowedRegions {
    /// Regions allowed by the route.
    pub of_route: Vec<Name>,
    /// Regions allowed by the client account.
    pub of_account: Vec<Name>,
}

impl AllowedRegions {
    /// Allows all regions.
    pub const ANY: Self = Self { of_route: Vec::new(), of_account: Vec::new() };

    /// Returns the regions allowed for a routed request.
    pub fn of(routed: &RoutedRequest) -> Self {
        let account = routed.account.as_ref();
        Self {
            of_route: routed.route.allowed_regions.clone(),
            of_account: account.map(|account| account.allowed_regions.clone()).unwrap_or_default(),
        }
    }

    /// Returns true if both lists allow a region. An unknown region is allowed only if all regions are.
    pub fn allow(&self, region: Option<&Name>) -> bool {
        let allows = |list: &[Name]| list.is_empty() || region.is_some_and(|region| list.contains(region));
        allows(&self.of_route) && allows(&self.of_account)
    }
}
