//! Published configuration versions and when the store acknowledged them.

use {
    crate::users_platform::Store,
    std::{sync::Mutex, time::Instant},
};

/// Timeout of each route, in milliseconds.
const TIMEOUT_MS: u64 = 2_000;

/// A route that shows which version is applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Marker {
    /// Contained in this version and all later ones.
    Since(u64),
    /// Contained in this version only.
    Only(u64),
}

impl Marker {
    pub fn path(self) -> String {
        match self {
            Self::Since(version) => format!("/v{version}/a"),
            Self::Only(version) => format!("/only{version}/a"),
        }
    }

    pub fn version(self) -> u64 {
        let (Self::Since(version) | Self::Only(version)) = self;
        version
    }
}

/// All published versions.
pub struct Versions {
    store: Store,
    extra_routes: Vec<String>,
    acknowledged: Mutex<Vec<Instant>>,
}

impl Versions {
    pub fn new(store: Store, extra_routes_count: usize) -> Self {
        let extra_routes = (0..extra_routes_count).map(|number| format!("/bulk{number}/")).collect();
        Self { store, extra_routes, acknowledged: Mutex::default() }
    }

    /// Publishes the next version.
    pub fn publish(&self) {
        let mut acknowledged = self.acknowledged.lock().unwrap();
        let version = acknowledged.len() as u64 + 1;
        let mut paths: Vec<String> = (1..=version).map(|since| format!("/v{since}/")).collect();
        paths.push(format!("/only{version}/"));
        let mut routes =
            vec![("/safe/", "safe", TIMEOUT_MS, "app"), ("/unsafe/", "unsafe", TIMEOUT_MS, "app")];
        let safe = paths.iter().chain(&self.extra_routes);
        routes.extend(safe.map(|path| (path.as_str(), "safe", TIMEOUT_MS, "app")));
        self.store.configure(version, &routes);
        // Recorded after the store's acknowledgement, where the time bounds begin.
        acknowledged.push(Instant::now());
    }

    /// Returns the newest version, or 0 if none is published.
    pub fn newest(&self) -> u64 {
        self.acknowledged.lock().unwrap().len() as u64
    }

    /// Returns when the store acknowledged a version; none if it is not published.
    pub fn acknowledged_at(&self, version: u64) -> Option<Instant> {
        let index = usize::try_from(version.checked_sub(1)?).ok()?;
        self.acknowledged.lock().unwrap().get(index).copied()
    }

    pub fn extra_path(&self, number: usize) -> Option<String> {
        let path = self.extra_routes.get(number % self.extra_routes.len().max(1))?;
        Some(format!("{path}a"))
    }
}
