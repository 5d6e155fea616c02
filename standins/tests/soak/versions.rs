//! The versions of the configuration that were published, and when the store had taken them.

use {
    crate::users_platform::Store,
    std::{sync::Mutex, time::Instant},
};

/// Time-out of each route, in milliseconds.
const TIMEOUT_MS: u64 = 2_000;

/// A route that tells which version is in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Marker {
    /// It stands in a version and in all later ones.
    Since(u64),
    /// It stands in one version alone.
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
    bulk: Vec<String>,
    taken: Mutex<Vec<Instant>>,
}

impl Versions {
    pub fn new(store: Store, bulk_routes: usize) -> Self {
        let bulk = (0..bulk_routes).map(|number| format!("/bulk{number}/")).collect();
        Self { store, bulk, taken: Mutex::default() }
    }

    /// Publishes the next version.
    pub fn publish(&self) {
        let mut taken = self.taken.lock().unwrap();
        let version = taken.len() as u64 + 1;
        let mut paths: Vec<String> = (1..=version).map(|since| format!("/v{since}/")).collect();
        paths.push(format!("/only{version}/"));
        let mut routes =
            vec![("/safe/", "safe", TIMEOUT_MS, "app"), ("/unsafe/", "unsafe", TIMEOUT_MS, "app")];
        let safe = paths.iter().chain(&self.bulk);
        routes.extend(safe.map(|path| (path.as_str(), "safe", TIMEOUT_MS, "app")));
        self.store.configure(version, &routes);
        // After the store has taken it: bounds run from here.
        taken.push(Instant::now());
    }

    /// The newest one.
    pub fn newest(&self) -> u64 {
        self.taken.lock().unwrap().len() as u64
    }

    /// When the store had taken a version; none for one that is not published.
    pub fn taken_at(&self, version: u64) -> Option<Instant> {
        let index = usize::try_from(version.checked_sub(1)?).ok()?;
        self.taken.lock().unwrap().get(index).copied()
    }

    pub fn bulk_path(&self, number: usize) -> Option<String> {
        let path = self.bulk.get(number % self.bulk.len().max(1))?;
        Some(format!("{path}a"))
    }
}
